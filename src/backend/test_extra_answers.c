/* Tests of the owner against a backend server that writes further answers, or
 * parts of them, on an open connection, and contradictory answers. */
#include <glib.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "backend/backend.h"
#include "http/test_address.h"

#define SERVICE "permits"
#define MAX_CONNECTIONS 4
#define PAUSE_MS 30
#define UPLOAD_BYTES (8 * 1024 * 1024)

#define ID(id) "X-Id: " id "\r\n"
#define SIGNED "X-Signature: s\r\n"
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
    int pause_ms; /* 0: PAUSE_MS */
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

static void
make_pause(const Script *script)
{
    int pause_ms = script->pause_ms > 0 ? script->pause_ms : PAUSE_MS;

    g_usleep((gulong)pause_ms * 1000);
}

static void *
run_connection(void *context)
{
    Connection *connection = context;
    const Script *script = &connection->server->script;
    int fd = connection->fd;
    gboolean kept = FALSE;
    char buffer[4000];
    int on = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
        if (g_atomic_int_add(&connection->server->requests, 1) == 0) {
            send_text(fd, script->first);
            make_pause(script);
            send_text(fd, script->behind);
            g_atomic_int_set(&connection->server->sent_behind, TRUE);
        }
        else {
            for (size_t i = 0; kept && i < G_N_ELEMENTS(script->extra); i++) {
                send_text(fd, script->extra[i]);
                make_pause(script);
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
    int receive_bytes = 4096;

    server->address = own_address();
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(server->listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
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

static void
announce(Backend *backend, const Server *server, const char *instance,
         int64_t born)
{
    BackendAnnouncement announcement = {.address = server->address,
                                        .service = SERVICE,
                                        .slots = 2,
                                        .born = born,
                                        .sequence = 1};

    g_strlcpy(announcement.instance, instance, sizeof(announcement.instance));
    g_assert_true(Backend_Announce(backend, &announcement));
}

static Backend *
create_backend(const Server *server, HttpClient *client)
{
    Backend *backend = Backend_Create(&(Backend_desc){
        .names = &names, .service = SERVICE, .client = client});

    announce(backend, server, "i1", 100);
    return backend;
}

static void
run_body(Backend *backend, const char *method, const char *id,
         gboolean idempotent, GBytes *body, BackendReply *reply)
{
    static const HttpHeaders no_headers;
    size_t bytes;
    const char *data = g_bytes_get_data(body, &bytes);
    BackendCall call = {.request_id = id,
                        .service = SERVICE,
                        .caller = "desk",
                        .team = "crews",
                        .method = method,
                        .target = "/x",
                        .host = "a.example",
                        .headers = &no_headers,
                        .body = data,
                        .body_bytes = bytes,
                        .deadline = Clock_Now() + 2000,
                        .idempotent = idempotent,
                        .max_risk = 1,
                        .max_wait_ms = 2000};

    Backend_Run(backend, &call, reply);
}

static void
run_request(Backend *backend, const char *id, gboolean idempotent,
            BackendReply *reply)
{
    GBytes *body = g_bytes_new_static("body", 4);

    run_body(backend, "POST", id, idempotent, body, reply);
    g_bytes_unref(body);
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
    {"after a 421",
     {.first = OTHER(ID("r1")),
      .extra = {OTHER(""), OTHER(ID("r1"))},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"after the end of the connection was announced",
     {.first = "HTTP/1.1 503 Busy\r\n" ID("r1") "X-Not-Run: 1\r\n"
                                                "Connection: close\r\n" EMPTY,
      .behind = SHED(""),
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     2},
    {"after the end was announced among other options",
     {.first = "HTTP/1.1 503 Busy\r\n" ID(
          "r1") "X-Not-Run: 1\r\n"
                "Connection: x-option, Close\r\n" EMPTY,
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     2},
    {"without a length",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n\r\n"},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_DEADLINE_EXPIRED,
     RUN_UNKNOWN,
     1},
    {"204 and 304",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 204 No\r\nX-Not-Run: 1\r\n\r\n",
                "HTTP/1.1 304 No\r\n" ID("r1") "Content-Length: 9\r\n\r\n"},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"in front of the end of the connection",
     {.first = SHED(ID("r1")),
      .extra = {SHED("") SHED(ID("r1"))},
      .second = "HTTP/1.1 200 OK\r\n" ID(
          "r2") "X-Signature: s\r\n"
                "Connection: close\r\nContent-Length: 2\r\n\r\nok"},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"interim answers on both sides",
     {.first = SHED(ID("r1")),
      .extra = {"HTTP/1.1 100 Continue\r\n\r\n" SHED(""),
                "HTTP/1.1 103 Hints\r\n" ID("r1") "X-Not-Run: 1\r\n\r\n"},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"behind the answer with the same id",
     {.first = SHED(ID("r1")), .second = DONE(ID("r2")) SHED(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
     1},
    {"nine of them",
     {.first = SHED(ID("r1")),
      .extra = {SHED("") SHED("") SHED("") SHED("") SHED(""),
                SHED("") SHED("") SHED("") SHED("")},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_ANSWER_LOST,
     RUN_UNKNOWN,
     1},
    {"two ids",
     {.first = SHED(ID("r1")),
      .extra = {SHED(ID("r2") ID("r1"))},
      .second = DONE(ID("r2"))},
     NULL,
     RESULT_OK,
     RUN_YES,
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
        if (reply.answer.status == 421) {
            g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_OTHER);
            announce(backend, &server, "i9", 200);
        }
        else {
            g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_SHED);
        }
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

/* Runs two requests on one connection, and a third one if asked. Returns the
 * outcome of the second one, which need not be POST. */
static void
run_second(const Script *script, const char *method, GBytes *body,
           gboolean third, BackendReply *reply, int *connections)
{
    Server server = {.script = *script};
    HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
    Backend *backend;

    start_server(&server);
    backend = create_backend(&server, client);
    run_once(backend, "r1", reply);
    g_assert_cmpint(reply->run, ==, RUN_NO);
    HttpAnswer_Clear(&reply->answer);
    while (!g_atomic_int_get(&server.sent_behind)) {
        g_usleep(100);
    }
    run_body(backend, method, "r2", FALSE, body, reply);
    if (third) {
        BackendReply other;

        run_once(backend, "r3", &other);
        HttpAnswer_Clear(&other.answer);
    }
    *connections = g_atomic_int_get(&server.connections);
    Backend_Destroy(backend);
    HttpClient_Destroy(client);
    stop_server(&server);
}

/* Checks the second answer behind a part of a copy, and behind the whole copy
 * in two segments. */
static void
check_cut_copy(const char *copy, size_t cut, gboolean whole)
{
    GBytes *body = g_bytes_new_static("body", 4);
    g_autofree char *part = g_strndup(copy, cut);
    g_autofree char *rest =
        g_strconcat(whole ? copy + cut : "", DONE(ID("r2")), NULL);
    Script script = {.first = SHED(ID("r1")),
                     .extra = {part},
                     .second = rest,
                     .pause_ms = 1};
    BackendReply reply;
    int connections;

    run_second(&script, "POST", body, FALSE, &reply, &connections);
    g_assert_cmpint(reply.run, !=, RUN_NO);
    g_assert_cmpint(connections, ==, 1);
    if (whole || cut == 0 || cut == strlen(copy)) {
        g_assert_cmpint(reply.result, ==, RESULT_OK);
    }
    if (reply.result == RESULT_OK) {
        g_assert_cmpint(reply.answer.status, ==, 200);
        g_assert_cmpstr(reply.answer.body, ==, "ok");
        g_assert_cmpstr(HttpHeaders_Get(&reply.answer.headers, "X-Signature"),
                        ==, "s");
    }
    HttpAnswer_Clear(&reply.answer);
    g_bytes_unref(body);
}

/* Replays earlier answers that are written once more up to each of their
 * bytes, on a kept connection. Guards against a part of such a copy that
 * becomes a part of the answer in flight. */
static void
test_cut_copies(void)
{
    static const char *const copies[] = {
        SHED(""),
        SHED(ID("r1")),
        OTHER(""),
        "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nTransfer-Encoding: "
        "chunked\r\n\r\n2;a=b\r\nno\r\n0\r\nX-End: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" REFUSAL("429 Many", ""),
        "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 3\r\n\r\nold",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(copies); i++) {
        for (size_t cut = 0; cut <= strlen(copies[i]); cut++) {
            g_test_message("copy %zu to byte %zu", i, cut);
            check_cut_copy(copies[i], cut, FALSE);
            check_cut_copy(copies[i], cut, TRUE);
        }
    }
}

/* Guards against a copy that is taken for the answer to a request whose body
 * is still being sent, or to a HEAD request, whose answer has no body, and
 * against a request that is read as the rest of an earlier body. */
static void
test_other_requests(void)
{
    static const struct {
        const char *name;
        const char *method;
        size_t body_bytes;
        const char *extra;
        const char *second;
        Result result;
        RunState run;
        int connections; /* 2: of a third request, too */
    } cases[] = {
        {"copy during an upload", "POST", UPLOAD_BYTES, SHED(""),
         DONE(ID("r2")), RESULT_ANSWER_LOST, RUN_UNKNOWN, 1},
        {"copy with the earlier id during an upload", "POST", UPLOAD_BYTES,
         SHED(ID("r1")), DONE(ID("r2")), RESULT_ANSWER_LOST, RUN_UNKNOWN, 1},
        {"refusal during an upload", "POST", UPLOAD_BYTES, NULL,
         SHED(ID("r2")), RESULT_BACKEND_SERVER_SHED, RUN_NO, 1},
        {"answer during an upload", "POST", UPLOAD_BYTES, NULL, DONE(ID("r2")),
         RESULT_OK, RUN_YES, 2},
        {"HEAD", "HEAD", 0, SHED(""),
         "HTTP/1.1 200 OK\r\n" ID("r2") SIGNED "Content-Length: 9\r\n\r\n",
         RESULT_OK, RUN_YES, 1},
        {"copy with a body before HEAD", "HEAD", 0,
         "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\n"
         "full",
         "HTTP/1.1 200 OK\r\n" ID("r2") SIGNED "Content-Length: 9\r\n\r\n",
         RESULT_ANSWER_LOST, RUN_UNKNOWN, 1},
        {"204", "POST", 4, SHED(""),
         "HTTP/1.1 204 No\r\n" ID("r2") SIGNED "\r\n", RESULT_OK, RUN_YES, 1},
    };
    char *bytes = g_malloc0(UPLOAD_BYTES);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GBytes *body = g_bytes_new_static(bytes, cases[i].body_bytes);
        Script script = {.first = SHED(ID("r1")),
                         .extra = {cases[i].extra},
                         .second = cases[i].second};
        BackendReply reply;
        int connections;

        run_second(&script, cases[i].method, body, cases[i].connections > 1,
                   &reply, &connections);
        g_test_message("%s: %s", cases[i].name, Result_Name(reply.result));
        g_assert_cmpint(reply.result, ==, cases[i].result);
        g_assert_cmpint(reply.run, ==, cases[i].run);
        g_assert_cmpint(connections, ==, cases[i].connections);
        HttpAnswer_Clear(&reply.answer);
        g_bytes_unref(body);
    }
    g_free(bytes);
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
    g_test_add_func("/extra-answers/cut-copies", test_cut_copies);
    g_test_add_func("/extra-answers/other-requests", test_other_requests);
    g_test_add_func("/extra-answers/new-connection", test_new_connection);
    g_test_add_func("/extra-answers/statements", test_statements);
    return g_test_run();
}
