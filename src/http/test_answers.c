/* Tests of the HTTP client against answers that are cut, malformed or end with
 * the client's own cancellation. */
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http_client.h"

#define DEADLINE_MS 5000
#define HEAD "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n"
#define WARM "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 4\r\n\r\nwarm"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

/* A server that sends the same bytes to one request on each connection, then
 * closes or resets the connection. On a kept connection that is the second
 * request, and the first one gets WARM. */
typedef struct Server {
    int listener;
    struct sockaddr_in address;
    pthread_t thread;
    pthread_mutex_t lock;
    const char *bytes;
    size_t length;
    gboolean reset;
    gboolean kept;
    gboolean hold; /* wait for the client to close */
    int delay_ms;  /* before the answer */
} Server;

static void
serve_one(Server *server, int fd)
{
    struct linger now = {.l_onoff = 1};
    char buffer[2000];
    gboolean kept;

    (void)!recv(fd, buffer, sizeof(buffer), 0);
    pthread_mutex_lock(&server->lock);
    kept = server->kept;
    pthread_mutex_unlock(&server->lock);
    if (kept) {
        (void)!send(fd, WARM, strlen(WARM), MSG_NOSIGNAL);
        (void)!recv(fd, buffer, sizeof(buffer), 0);
    }
    g_usleep((gulong)server->delay_ms * 1000);
    pthread_mutex_lock(&server->lock);
    if (server->length > 0) {
        (void)!send(fd, server->bytes, server->length, MSG_NOSIGNAL);
    }
    while (server->hold && recv(fd, buffer, sizeof(buffer), 0) > 0) {
    }
    if (server->reset) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    pthread_mutex_unlock(&server->lock);
    close(fd);
}

static void *
run_server(void *context)
{
    Server *server = context;
    int fd;

    while ((fd = accept(server->listener, NULL, NULL)) >= 0) {
        serve_one(server, fd);
    }
    return NULL;
}

static void
start_server(Server *server)
{
    socklen_t bytes = sizeof(server->address);

    *server = (Server){.lock = PTHREAD_MUTEX_INITIALIZER};
    server->address.sin_family = AF_INET;
    server->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
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
}

/* Returns when the answer before is not being sent any more. */
static void
set_answer(Server *server, const char *bytes, size_t length, gboolean reset,
           gboolean kept)
{
    pthread_mutex_lock(&server->lock);
    server->kept = kept;
    server->bytes = bytes;
    server->length = length;
    server->reset = reset;
    pthread_mutex_unlock(&server->lock);
}

static Result
call_server(HttpClient *client, const Server *server, const char *method,
            HttpCancel *cancel, HttpAnswer *answer)
{
    HttpCall call = {.address = server->address,
                     .method = "GET",
                     .target = "/",
                     .allow_unframed = TRUE,
                     .fresh_connection = TRUE,
                     .match_header = "X-Id",
                     .match_value = "r0",
                     .deadline = Clock_Now() + DEADLINE_MS,
                     .cancel = cancel};
    gboolean sent;

    if (server->kept) {
        g_assert_cmpint(HttpClient_Call(client, &call, answer, &sent), ==,
                        RESULT_OK);
        HttpAnswer_Clear(answer);
        call.fresh_connection = FALSE;
    }
    call.method = method;
    call.match_value = "r1";
    return HttpClient_Call(client, &call, answer, &sent);
}

typedef struct CutCase {
    const char *answer;
    const char *body;
    gboolean unframed;
    const char *method; /* NULL: GET */
} CutCase;

/* Calls a server that stops before the byte `cut` of its answer. */
static void
check_cut(HttpClient *client, Server *server, const CutCase *cut_case,
          size_t cut, gboolean reset)
{
    const char *text = cut_case->answer;
    HttpAnswer answer = {0};
    gboolean whole = cut == strlen(text);
    Result result = call_server(client, server,
                                cut_case->method ? cut_case->method : "GET",
                                NULL, &answer);

    if (!reset && cut_case->unframed) {
        whole = text + cut >= strstr(text, "close\r\n\r\n") + 9;
    }
    if (whole && !reset) {
        g_assert_cmpint(result, ==, RESULT_OK);
    }
    if (!whole || (cut_case->unframed && reset)) {
        g_assert_cmpint(result, !=, RESULT_OK);
    }
    if (result == RESULT_OK && cut == strlen(text)) {
        g_assert_cmpstr(answer.body, ==, cut_case->body);
    }
    HttpAnswer_Clear(&answer);
}

/* Replays a server that stops at each byte of its answer, and closes or resets
 * the connection, which is new or kept. Guards against an answer that is
 * accepted although it ended early. One without a length that ends with the
 * connection cannot be told from a shorter one, unless the connection is
 * reset. */
static void
test_cut(void)
{
    static const CutCase cases[] = {
        {HEAD "Content-Length: 12\r\n\r\nhello, world", "hello, world", FALSE,
         NULL},
        {HEAD "Content-Length: 0\r\n\r\n", "", FALSE, NULL},
        {HEAD CHUNKED "5\r\nhello\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n",
         "hello0123456789abcdef", FALSE, NULL},
        {HEAD CHUNKED "5\r\nhello\r\n0\r\nX-Sum: 1\r\nX-End: 2\r\n\r\n",
         "hello", FALSE, NULL},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: "
         "x\r\n\r\n" HEAD "Content-Length: 5\r\n\r\nhello",
         "hello", FALSE, NULL},
        {"HTTP/1.1 204 No Content\r\nX-Id: r1\r\n\r\n", "", FALSE, NULL},
        {"HTTP/1.1 304 Not Modified\r\nX-Id: r1\r\nContent-Length: 12\r\n\r\n",
         "", FALSE, NULL},
        {HEAD "Content-Length: 12\r\n\r\n", "", FALSE, "HEAD"},
        {HEAD "Connection: close\r\n\r\nhello", "hello", TRUE, NULL},
        {HEAD "Via: HTTP/1.1 10.0.0.1\r\nX-Protocol: HTTP/1.1\r\nServer: an "
              "HTTP/1.1 server\r\nUpgrade: h2c, HTTP/1.1\r\n"
              "Content-Length: 0\r\n\r\n",
         "", FALSE, NULL},
    };
    HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
    Server server;

    start_server(&server);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (size_t cut = 0; cut <= strlen(cases[i].answer); cut++) {
            for (int variant = 0; variant < 4; variant++) {
                gboolean reset = (variant & 1) != 0;

                set_answer(&server, cases[i].answer, cut, reset,
                           (variant & 2) != 0);
                check_cut(client, &server, &cases[i], cut, reset);
            }
        }
    }
    stop_server(&server);
    HttpClient_Destroy(client);
}

#define TEXT(text) text, sizeof(text) - 1

/* Guards against an answer whose length is not understood, so that a part of
 * its body or of its head is accepted as the whole body. */
static void
test_malformed(void)
{
    static const struct {
        const char *name;
        const char *bytes;
        size_t length;
    } cases[] = {
        {"white space before the colon",
         TEXT(HEAD "Content-Length : 9\r\n\r\nhello")},
        {"white space in a name", TEXT(HEAD "Content Length: 9\r\n\r\nhello")},
        {"no name", TEXT(HEAD ": 9\r\n\r\nhello")},
        {"NUL instead of a line", TEXT(HEAD "\0\r\nContent-Length: 5\r\n\r\n"
                                            "hello")},
        {"NUL in the length", TEXT(HEAD "Content-Length: 5\0 9\r\n\r\nhello")},
        {"NUL in a chunk size", TEXT(HEAD CHUNKED "5\0 9\r\nhello\r\n0\r\n"
                                                  "\r\n")},
        {"status of four digits",
         TEXT("HTTP/1.1 2000 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\n"
              "hello")},
        {"sign in a chunk size", TEXT(HEAD CHUNKED "+5\r\nhello\r\n-0\r\n"
                                                   "\r\n")},
        {"prefix of a chunk size",
         TEXT(HEAD CHUNKED "0x5\r\nhello\r\n0\r\n\r\n")},
        {"two chunk sizes", TEXT(HEAD CHUNKED "5 9\r\nhello\r\n0\r\n\r\n")},
        {"two codings",
         TEXT(HEAD "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"
                   "\r\n5\r\nhello\r\n0\r\n\r\n")},
        {"unknown coding", TEXT(HEAD "Transfer-Encoding: gzip\r\n\r\n5\r\n"
                                     "hello\r\n0\r\n\r\n")},
        {"list of codings",
         TEXT(HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\n"
                   "hello\r\n0\r\n\r\n")},
        {"no coding", TEXT(HEAD "Transfer-Encoding:\r\n\r\nhello")},
        {"length and chunks",
         TEXT(HEAD "Content-Length: 5\r\n" CHUNKED "5\r\nhello\r\n0\r\n\r\n")},
        {"chunks and length",
         TEXT(HEAD "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
                   "5\r\nhello\r\n0\r\n\r\n")},
        {"two lengths", TEXT(HEAD "Content-Length: 9\r\nContent-Length: 5\r\n"
                                  "\r\nhello")},
        {"list of lengths", TEXT(HEAD "Content-Length: 5, 5\r\n\r\nhello")},
        {"text behind the length",
         TEXT(HEAD "Content-Length: 5 bytes\r\n\r\nhello")},
        {"empty length", TEXT(HEAD "Content-Length:\r\n\r\nhello")},
        {"sign in the length", TEXT(HEAD "Content-Length: +5\r\n\r\nhello")},
        {"empty chunk size", TEXT(HEAD CHUNKED "\r\n\r\n")},
        {"extension without a chunk size", TEXT(HEAD CHUNKED ";a\r\n\r\n")},
        {"text behind a chunk",
         TEXT(HEAD CHUNKED "5\r\nhello, world\r\n0\r\n\r\n")},
        {"text behind the last chunk",
         TEXT(HEAD CHUNKED "5\r\nhello\r\n0\r\nworld\r\n\r\n")},
    };
    HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
    Server server;

    start_server(&server);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        HttpAnswer answer = {0};
        Result result;

        set_answer(&server, cases[i].bytes, cases[i].length, FALSE, FALSE);
        result = call_server(client, &server, "GET", NULL, &answer);
        g_test_message("%s: %s", cases[i].name, Result_Name(result));
        g_assert_true(result == RESULT_ANSWER_LOST ||
                      result == RESULT_ANSWER_TRUNCATED);
        HttpAnswer_Clear(&answer);
    }
    stop_server(&server);
    HttpClient_Destroy(client);
}

/* Text behind "HTTP/1.1" of a status line that no answer may have. */
static const char *const odd_statuses[] = {
    " 000 OK", " 099 OK",  " 600 OK", " 999 OK",  " 2000 OK",
    " 20 OK",  "  200 OK", " +20 OK", " 0x1 OK",  "",
    " ",       " OK",      " 200x",   " 1e2 OK",  "\t200 OK",
    " -20 OK", " 101 OK",  "200 OK",  " 200\tOK", " 199 OK"};

/* Guards against an answer without a valid status that is accepted, as the
 * first answer on a connection, as the second one, or behind an interim
 * answer, and against one that is waited on to the deadline. */
static void
test_statuses(void)
{
    static const char *const heads[] = {
        "", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"};
    HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
    Server server;

    start_server(&server);
    /* The connection stays open, so that its end is not the reason. */
    server.hold = TRUE;
    for (size_t i = 0; i < G_N_ELEMENTS(odd_statuses) * 6; i++) {
        char *text = g_strconcat(heads[i % 3], "HTTP/1.1", odd_statuses[i / 6],
                                 "\r\nX-Id: r1\r\nX-Signature: s\r\n"
                                 "Content-Length: 2\r\n\r\nok",
                                 NULL);
        ClockMs began = Clock_Now();
        HttpAnswer answer = {0};
        Result result;

        set_answer(&server, text, strlen(text), FALSE, i / 3 % 2 != 0);
        result = call_server(client, &server, "GET", NULL, &answer);
        g_test_message("\"%s\", case %zu: %s after %d ms", odd_statuses[i / 6],
                       i % 6, Result_Name(result), (int)(Clock_Now() - began));
        g_assert_cmpint(result, ==, RESULT_ANSWER_LOST);
        g_assert_cmpint(answer.status, ==, 0);
        g_assert_cmpint(Clock_Now() - began, <, DEADLINE_MS / 2);
        HttpAnswer_Clear(&answer);
        set_answer(&server, NULL, 0, FALSE, FALSE);
        g_free(text);
    }
    stop_server(&server);
    HttpClient_Destroy(client);
}

typedef struct SecondCall {
    HttpClient *client;
    Server *server;
    HttpCancel *cancel;
    Result result;
} SecondCall;

static gboolean
call_second(void *context)
{
    SecondCall *second = context;
    HttpAnswer answer = {0};

    second->result = call_server(second->client, second->server, "GET",
                                 second->cancel, &answer);
    HttpAnswer_Clear(&answer);
    return second->result == RESULT_OK;
}

/* Replays a second attempt beside the first one, which gets its answer
 * earlier. Guards against a second attempt that is ended in favour of an
 * answer without a valid status, so that neither is left. */
static void
test_status_beside(void)
{
    static const struct {
        const char *status;
        Result first;
        Result second;
    } cases[] = {{" 200 OK", RESULT_OK, RESULT_CANCELLED},
                 {" 299", RESULT_OK, RESULT_CANCELLED},
                 {" 500 Bad", RESULT_DEADLINE_EXPIRED, RESULT_OK},
                 {" 000 OK", RESULT_DEADLINE_EXPIRED, RESULT_OK},
                 {" 2000 OK", RESULT_DEADLINE_EXPIRED, RESULT_OK},
                 {" 200x OK", RESULT_DEADLINE_EXPIRED, RESULT_OK},
                 {" 20 OK", RESULT_DEADLINE_EXPIRED, RESULT_OK},
                 {" 2", RESULT_DEADLINE_EXPIRED, RESULT_OK}};
    HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
    Server servers[2];

    for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
        start_server(&servers[i]);
        servers[i].delay_ms = i == 0 ? 100 : 200;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text =
            g_strconcat("HTTP/1.1", cases[i].status,
                        "\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok", NULL);
        HttpCancel *cancel = HttpCancel_Create();
        SecondCall second = {client, &servers[1], cancel, RESULT_OK};
        HttpSoftTimeout timeout = {.until = Clock_Now() + 30,
                                   .give_up = call_second,
                                   .context = &second};
        HttpCall call = {.address = servers[0].address,
                         .method = "GET",
                         .target = "/",
                         .fresh_connection = TRUE,
                         .soft_timeout = &timeout,
                         .deadline = Clock_Now() + DEADLINE_MS,
                         .cancel = cancel};
        HttpAnswer answer = {0};
        gboolean sent;

        set_answer(&servers[0], text, strlen(text), FALSE, FALSE);
        set_answer(&servers[1], HEAD "Content-Length: 0\r\n\r\n",
                   strlen(HEAD "Content-Length: 0\r\n\r\n"), FALSE, FALSE);
        g_test_message("\"%s\"", cases[i].status);
        g_assert_cmpint(HttpClient_Call(client, &call, &answer, &sent), ==,
                        cases[i].first);
        g_assert_cmpint(second.result, ==, cases[i].second);
        HttpAnswer_Clear(&answer);
        HttpCancel_Destroy(cancel);
        set_answer(&servers[0], NULL, 0, FALSE, FALSE);
        g_free(text);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
        stop_server(&servers[i]);
    }
    HttpClient_Destroy(client);
}

typedef struct Trigger {
    HttpCancel *cancel;
    int delay_ms;
} Trigger;

static void *
trigger_cancel(void *context)
{
    Trigger *trigger = context;

    g_usleep((gulong)trigger->delay_ms * 1000);
    HttpCancel_Trigger(trigger->cancel);
    return NULL;
}

/* Replays a daemon that ends its calls while an answer without a length
 * arrives. Guards against taking the end that the cancellation itself causes
 * for the end of the body. */
static void
test_cancelled(void)
{
    static const char *const answers[] = {
        HEAD "Connection: close\r\n\r\nhalf",
        HEAD "\r\n",
        HEAD "Content-Length: 9\r\n\r\nhalf",
        HEAD CHUNKED "4\r\nhalf\r\n",
        HEAD,
    };
    HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
    Server server;

    start_server(&server);
    server.hold = TRUE;
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        Trigger trigger = {.cancel = HttpCancel_Create(), .delay_ms = 50};
        HttpAnswer answer = {0};
        pthread_t thread;

        set_answer(&server, answers[i], strlen(answers[i]), FALSE, FALSE);
        pthread_create(&thread, NULL, trigger_cancel, &trigger);
        g_assert_cmpint(
            call_server(client, &server, "GET", trigger.cancel, &answer), ==,
            RESULT_CANCELLED);
        g_assert_cmpint(answer.status, ==, 0);
        pthread_join(thread, NULL);
        HttpCancel_Destroy(trigger.cancel);
    }
    stop_server(&server);
    HttpClient_Destroy(client);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/answers/cut", test_cut);
    g_test_add_func("/answers/malformed", test_malformed);
    g_test_add_func("/answers/statuses", test_statuses);
    g_test_add_func("/answers/status-beside", test_status_beside);
    g_test_add_func("/answers/cancelled", test_cancelled);
    return g_test_run();
}
