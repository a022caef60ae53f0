/* Tests of the owner against a backend server that writes further answers, or
 * parts of them, on a connection that stays open, and against answers that
 * contradict themselves. */
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "backend/backend.h"

#define SERVICE "permits"
#define MAX_CONNECTIONS 4
#define PAUSE_MS 30

#define ID(id) "X-Id: " id "\r\n"
#define EMPTY "Content-Length: 0\r\n\r\n"
#define REFUSAL(status, id) \
    "HTTP/1.1 " status "\r\n" id "X-Not-Run: 1\r\n" EMPTY
#define SHED(id) REFUSAL("503 Busy", id)
#define OTHER(id) "HTTP/1.1 421 Other\r\nX-Instance: i9\r\n" id EMPTY
#define DONE(id) \
    "HTTP/1.1 200 OK\r\n" id "X-Signature: s\r\nContent-Length: 2\r\n\r\nok"

static const WireNames names = {.request_id = "X-Id",
                                .time_left_ms = "X-Left",
                                .key = "X-Key",
                                .team = "X-Team",
                                .caller = "X-Caller",
                                .expected = "X-Expected",
                                .instance = "X-Instance",
                                .signature = "X-Signature",
                                .not_run = "X-Not-Run"};

/* What the server sends. A connection's first request gets `first`, and
 * `behind` PAUSE_MS later without a further request. A later one on the same
 * connection gets the two parts of `extra` with a pause between them, then
 * `second`. On a connection of its own the second request gets only that. */
typedef struct Script {
    const char *first;
    const char *behind;
    const char *extra[2];
    const char *second;
} Script;

typedef struct Server {
    Script script;
    int listener;
    struct sockaddr_in address;
    pthread_t thread;
    pthread_t threads[MAX_CONNECTIONS];
    int fds[MAX_CONNECTIONS];
    gint connections; /* atomic */
    gint requests;    /* atomic */
    gint sent_behind; /* atomic: all bytes behind the first answer are sent */
} Server;

typedef struct Connection {
    Server *server;
    int fd;
} Connection;

static void
send_text(int fd, const char *text)
{
    if (text != NULL && text[0] != '\0') {
        (void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
    }
}

static void *
run_connection(void *context)
{
    Connection *connection = context;
    const Script *script = &connection->server->script;
    int fd = connection->fd;
    gboolean kept = FALSE;
    char buffer[4000];

    while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
        if (g_atomic_int_add(&connection->server->requests, 1) == 0) {
            send_text(fd, script->first);
            g_usleep(PAUSE_MS * 1000);
            send_text(fd, script->behind);
            g_atomic_int_set(&connection->server->sent_behind, TRUE);
        }
        else {
            for (size_t i = 0; kept && i < G_N_ELEMENTS(script->extra); i++) {
                send_text(fd, script->extra[i]);
                g_usleep(PAUSE_MS * 1000);
            }
            send_text(fd, script->second);
        }
        kept = TRUE;
    }
    g_free(connection);
    return NULL;
}

static void *
run_server(void *context)
{
    Server *server = context;
    int fd;

    while ((fd = accept(server->listener, NULL, NULL)) >= 0) {
        Connection *connection = g_new0(Connection, 1);
        int n = g_atomic_int_add(&server->connections, 1);

        connection->server = server;
        connection->fd = fd;
        g_assert_cmpint(n, <, MAX_CONNECTIONS);
        server->fds[n] = fd;
        pthread_create(&server->threads[n], NULL, run_connection, connection);
    }
    return NULL;
}

static void
start_server(Server *server)
{
    socklen_t bytes = sizeof(server->address);

    g_assert_true(HttpAddress_Parse("127.0.0.1:0", &server->address));
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(
        bind(server->listener, (struct sockaddr *)&server->address, bytes), ==,
        0);
    g_assert_cmpint(listen(server->listener, 16), ==, 0);
    getsockname(server->listener, (struct sockaddr *)&server->address, &bytes);
    pthread_create(&server->thread, NULL, run_server, server);
}

static void
stop_server(Server *server)
{
    shutdown(server->listener, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->listener);
    for (int i = 0; i < server->connections; i++) {
        shutdown(server->fds[i], SHUT_RDWR);
        pthread_join(server->threads[i], NULL);
        close(server->fds[i]);
    }
}

static Backend *
create_backend(const Server *server, HttpClient *client)
{
    Backend *backend = Backend_Create(&(Backend_desc){
        .names = &names, .service = SERVICE, .client = client});
    BackendAnnouncement announcement = {.address = server->address,
                                        .instance = "i1",
                                        .service = SERVICE,
                                        .slots = 2,
                                        .born = 100,
                                        .sequence = 1};

    g_assert_true(Backend_Announce(backend, &announcement));
    return backend;
}

static void
run_request(Backend *backend, const char *id, gboolean idempotent,
            BackendReply *reply)
{
    static const HttpHeaders no_headers;
    BackendCall call = {.request_id = id,
                        .service = SERVICE,
                        .caller = "desk",
                        .team = "crews",
                        .method = "POST",
                        .target = "/x",
                        .host = "a.example",
                        .headers = &no_headers,
                        .body = "body",
                        .body_bytes = 4,
                        .deadline = Clock_Now() + 2000,
                        .idempotent = idempotent,
                        .max_risk = 1,
                        .max_wait_ms = 2000};

    Backend_Run(backend, &call, reply);
}

/* Runs a request that must not run twice. */
static void
run_once(Backend *backend, const char *id, BackendReply *reply)
{
    run_request(backend, id, FALSE, reply);
}

static const struct {
    const char *name;
    Script script;
    const char *id; /* of the second request; NULL: r2 */
    Result result;
    RunState run;
    int connections;
} repeated_refusals[] = {
    {"none",
     {.first = SHED(ID("r1")), .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"behind the answer",
     {.first = SHED(ID("r1")) SHED(ID("r1")), .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     2},
    {"behind an answer in chunks",
     {.first = "HTTP/1.1 503 Busy\r\n" ID(
          "r1") "X-Not-Run: 1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" SHED(""),
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     2},
    {"a part of it behind the answer",
     {.first = SHED(ID("r1")) "HTTP/1.1 503 Bu",
      .extra = {"sy\r\nX-Not-Run: 1\r\n" EMPTY},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     2},
    {"before the next request",
     {.first = SHED(ID("r1")), .behind = SHED(""), .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     2},
    {"a part of it before the next request",
     {.first = SHED(ID("r1")),
      .behind = "HTTP/1.1 503 Bu",
      .extra = {"sy\r\nX-Not-Run: 1\r\n" EMPTY},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     2},
    {"id of the earlier request",
     {.first = SHED(ID("r1")),
      .extra = {SHED(ID("r1"))},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"no id",
     {.first = SHED(ID("r1")), .extra = {SHED("")}, .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"in two segments",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 503 Busy\r\nX-N", "ot-Run: 1\r\n" EMPTY},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"429 without an id",
     {.first = SHED(ID("r1")),
      .extra = {REFUSAL("429 Many", "")},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"421 of the earlier request",
     {.first = SHED(ID("r1")),
      .extra = {OTHER(ID("r1"))},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"421 without an id",
     {.first = SHED(ID("r1")), .extra = {OTHER("")}, .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"behind interim answers",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 102 Wait\r\n" ID("r2") "X-Not-Run: 1\r\n\r\n",
                SHED(ID("r1")) "HTTP/1.1 100 Continue\r\n\r\n"},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"in front of a refusal",
     {.first = SHED(ID("r1")),
      .extra = {SHED(ID("r1"))},
      .second = SHED(ID("r2"))},
     NULL,
     RESULT_BACKEND_SERVER_SHED,
     RUN_NO,
     1},
    {"shorter than its length",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
                "Content-Length: 9\r\n\r\nabc"},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_ANSWER_LOST,
     RUN_UNKNOWN,
     1},
    {"with the end of the connection",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
                "Connection: close\r\n" EMPTY},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_ANSWER_LOST,
     RUN_UNKNOWN,
     1},
    {"same id again",
     {.first = SHED(ID("r1")),
      .extra = {SHED(ID("r1"))},
      .second = DONE(ID("r1"))},
     "r1",
     RESULT_OK,
     RUN_YES,
     2},
    {"cut in a header",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1"},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_ANSWER_LOST,
     RUN_UNKNOWN,
     1},
    {"cut in a line break",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r"},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_ANSWER_LOST,
     RUN_UNKNOWN,
     1},
    {"cut behind a line",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_ANSWER_LOST,
     RUN_UNKNOWN,
     1},
    {"cut in the first line",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 503 Bu"},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_ANSWER_LOST,
     RUN_UNKNOWN,
     1},
    {"success that is cut, before an error",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 200 OK\r\nX-Old: "},
      .second = "HTTP/1.1 500 Bad\r\n" ID("r2") "X-Signature: s\r\n" EMPTY},
     NULL,
     RESULT_ANSWER_LOST,
     RUN_UNKNOWN,
     1},
};

/* Replays a backend server that writes an earlier refusal once more, whole or
 * in part. Guards against reporting the next request on the connection as not
 * run while it runs. */
static void
test_repeated_refusal(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(repeated_refusals); i++) {
        Server server = {.script = repeated_refusals[i].script};
        HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
        Backend *backend;
        BackendReply reply;

        start_server(&server);
        backend = create_backend(&server, client);
        run_once(backend, "r1", &reply);
        g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_SHED);
        g_assert_cmpint(reply.run, ==, RUN_NO);
        HttpAnswer_Clear(&reply.answer);
        while (!g_atomic_int_get(&server.sent_behind)) {
            g_usleep(1000);
        }
        run_once(backend,
                 repeated_refusals[i].id ? repeated_refusals[i].id : "r2",
                 &reply);
        g_test_message("%s: %s", repeated_refusals[i].name,
                       Result_Name(reply.result));
        g_assert_cmpint(reply.result, ==, repeated_refusals[i].result);
        g_assert_cmpint(reply.run, ==, repeated_refusals[i].run);
        g_assert_cmpint(g_atomic_int_get(&server.connections), ==,
                        repeated_refusals[i].connections);
        HttpAnswer_Clear(&reply.answer);
        Backend_Destroy(backend);
        HttpClient_Destroy(client);
        stop_server(&server);
    }
}

/* Replays answers in front of the first one on a connection. Guards against
 * taking a refusal without an id for the request's own once an answer of
 * another request has shown that the connection carries those, too. */
static void
test_new_connection(void)
{
    static const struct {
        const char *first;
        Result result;
        RunState run;
    } cases[] = {
        {SHED(""), RESULT_BACKEND_SERVER_SHED, RUN_NO},
        {OTHER(""), RESULT_BACKEND_SERVER_OTHER, RUN_NO},
        {SHED(ID("r0")) DONE(ID("r1")), RESULT_OK, RUN_YES},
        {SHED(ID("r0")) SHED("") DONE(ID("r1")), RESULT_OK, RUN_YES},
        {DONE(ID("r0")) OTHER("") DONE(ID("r1")), RESULT_OK, RUN_YES},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Server server = {.script.first = cases[i].first};
        HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
        Backend *backend;
        BackendReply reply;

        start_server(&server);
        backend = create_backend(&server, client);
        run_once(backend, "r1", &reply);
        g_test_message("case %zu: %s", i, Result_Name(reply.result));
        g_assert_cmpint(reply.result, ==, cases[i].result);
        g_assert_cmpint(reply.run, ==, cases[i].run);
        HttpAnswer_Clear(&reply.answer);
        Backend_Destroy(backend);
        HttpClient_Destroy(client);
        stop_server(&server);
    }
}

#define STATED "X-Not-Run: 1\r\n"
#define SIGNED "X-Signature: s\r\n"
#define ANSWER(status, headers) \
    "HTTP/1.1 " status "\r\n" ID("r1") headers EMPTY

/* Guards against the promise "not run" for an answer that does not state it,
 * or that also states the opposite. */
static void
test_statements(void)
{
    static const struct {
        const char *answer;
        gboolean idempotent;
        Result result;
        RunState run;
    } cases[] = {
        {ANSWER("503 Busy", STATED), FALSE, RESULT_BACKEND_SERVER_SHED,
         RUN_NO},
        {ANSWER("429 Many", STATED), FALSE, RESULT_BACKEND_SERVER_SHED,
         RUN_NO},
        {ANSWER("400 Bad", STATED), FALSE, RESULT_BACKEND_SERVER_SHED, RUN_NO},
        {ANSWER("421 Other", STATED), FALSE, RESULT_BACKEND_SERVER_OTHER,
         RUN_NO},
        {ANSWER("421 Other", ""), FALSE, RESULT_BACKEND_SERVER_OTHER, RUN_NO},
        {ANSWER("503 Busy", STATED SIGNED), FALSE, RESULT_ANSWER_MISMATCH,
         RUN_UNKNOWN},
        {ANSWER("421 Other", SIGNED), FALSE, RESULT_ANSWER_MISMATCH,
         RUN_UNKNOWN},
        {ANSWER("200 OK", STATED), FALSE, RESULT_ANSWER_MISMATCH, RUN_UNKNOWN},
        {ANSWER("200 OK", STATED SIGNED), TRUE, RESULT_ANSWER_MISMATCH,
         RUN_UNKNOWN},
        {ANSWER("503 Busy", ""), FALSE, RESULT_ANSWER_MISMATCH, RUN_UNKNOWN},
        {ANSWER("429 Many", ""), FALSE, RESULT_ANSWER_MISMATCH, RUN_UNKNOWN},
        {ANSWER("408 Late", ""), FALSE, RESULT_ANSWER_MISMATCH, RUN_UNKNOWN},
        {ANSWER("503 Busy", ""), TRUE, RESULT_ANSWER_MISMATCH, RUN_UNKNOWN},
        {ANSWER("503 Busy", SIGNED), FALSE, RESULT_ANSWER_MISMATCH,
         RUN_UNKNOWN},
        {ANSWER("429 Many", SIGNED), FALSE, RESULT_ANSWER_MISMATCH,
         RUN_UNKNOWN},
        /* The caller may send these again in any case. */
        {ANSWER("503 Busy", SIGNED), TRUE, RESULT_BACKEND_SERVER_ERROR,
         RUN_YES},
        {ANSWER("429 Many", SIGNED), TRUE, RESULT_OK, RUN_YES},
        {ANSWER("500 Bad", SIGNED), FALSE, RESULT_BACKEND_SERVER_ERROR,
         RUN_YES},
        {ANSWER("504 Late", SIGNED), FALSE, RESULT_BACKEND_SERVER_ERROR,
         RUN_YES},
        {ANSWER("404 No", SIGNED), FALSE, RESULT_OK, RUN_YES},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Server server = {.script.first = cases[i].answer};
        HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
        Backend *backend;
        BackendReply reply;

        start_server(&server);
        backend = create_backend(&server, client);
        run_request(backend, "r1", cases[i].idempotent, &reply);
        g_test_message("case %zu: %s %s", i, Result_Name(reply.result),
                       Result_RunName(reply.run));
        g_assert_cmpint(reply.result, ==, cases[i].result);
        g_assert_cmpint(reply.run, ==, cases[i].run);
        HttpAnswer_Clear(&reply.answer);
        Backend_Destroy(backend);
        HttpClient_Destroy(client);
        stop_server(&server);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/extra-answers/repeated-refusal", test_repeated_refusal);
    g_test_add_func("/extra-answers/new-connection", test_new_connection);
    g_test_add_func("/extra-answers/statements", test_statements);
    return g_test_run();
}
