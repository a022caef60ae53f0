/* Tests of the owner with an in-process backend server, and of the messages
 * between entry and owner. */
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/rng.h"
#include "http/http_server.h"
#include "issue/run_token.h"
#include "owner/owner_port.h"
#include "owner/owner_wire.h"

#define SECRET "0123456789abcdef"

typedef enum Mode {
    MODE_GOOD,
    MODE_WRONG_ID,
    MODE_ERROR,
    MODE_SHED,
    MODE_HANG /* no answer until `released` is set */
} Mode;

typedef struct Fixture {
    HttpServer *server;
    HttpClient *client;
    RunTable *runs;
    Owner *owner;
    Mode mode;
    atomic_int executions;
    atomic_bool released;
    OwnerAnnouncement announcement;
} Fixture;

static const int64_t queue_limit = 1;
static const int64_t announce_timeout_ms = 3000;

static void
serve(void *context, HttpRequest *request)
{
    Fixture *fixture = context;
    HttpAnswer answer = {.status = 200};
    const char *id =
        HttpHeaders_Get(HttpRequest_Headers(request), "Radishknot-Request-Id");

    atomic_fetch_add(&fixture->executions, 1);
    while (fixture->mode == MODE_HANG && !atomic_load(&fixture->released)) {
        g_usleep(1000);
    }
    HttpHeaders_Add(&answer.headers, "Radishknot-Request-Id",
                    fixture->mode == MODE_WRONG_ID ? "other" : id);
    if (fixture->mode == MODE_ERROR) {
        answer.status = 500;
    }
    if (fixture->mode == MODE_SHED) {
        answer.status = 503;
        HttpHeaders_Add(&answer.headers, "Retry-After", "1");
    }
    HttpAnswer_SetBody(&answer, "permit", 6);
    HttpRequest_Respond(request, &answer);
}

static void
set_up(Fixture *fixture, gconstpointer data)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    HttpServer_desc server = {
        .handler = serve, .context = fixture, .worker_threads = 4};
    RunTable_desc runs = {.owner = 1, .incarnation = 2};
    Owner_desc owner = {.host = 1,
                        .incarnation = 2,
                        .secret = SECRET,
                        .secret_bytes = strlen(SECRET),
                        .queue_per_server = &queue_limit,
                        .announce_timeout_ms = &announce_timeout_ms};

    (void)data;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server.address = address;
    fixture->server = HttpServer_Create(&server, NULL);
    fixture->client = HttpClient_Create(&(HttpClient_desc){0});
    fixture->runs = RunTable_Create(&runs);
    owner.runs = fixture->runs;
    owner.client = fixture->client;
    fixture->owner = Owner_Create(&owner);
    fixture->announcement = (OwnerAnnouncement){.name = "s1",
                                                .service = "permits",
                                                .pool = "main",
                                                .session = "a",
                                                .slots = 1,
                                                .address = address};
    fixture->announcement.address.sin_port =
        htons(HttpServer_Port(fixture->server));
    g_assert_cmpint(
        Owner_Announce(fixture->owner, &fixture->announcement, Clock_Now()),
        ==, RESULT_OK);
}

static void
tear_down(Fixture *fixture, gconstpointer data)
{
    (void)data;
    atomic_store(&fixture->released, TRUE);
    Owner_Destroy(fixture->owner);
    RunTable_Destroy(fixture->runs);
    HttpClient_Destroy(fixture->client);
    HttpServer_Destroy(fixture->server);
}

static const HttpHeaders no_headers;

static OwnerCall
make_call(void)
{
    return (OwnerCall){.request_id = "r1",
                       .team = "crews",
                       .team_hash = RunToken_NameHash("crews"),
                       .route_hash = RunToken_NameHash("/issue"),
                       .backend_server = Rng_HashString("s1"),
                       .method = "POST",
                       .target = "/issue/1",
                       .headers = &no_headers,
                       .deadline = Clock_Now() + 5000};
}

/* Guards against a wrong result or run state, for each way in which the
 * backend server or the owner's admission can end a request. */
static void
test_outcomes(Fixture *fixture, gconstpointer data)
{
    static const struct {
        Mode mode;
        OwnerServerState state;
        const char *server;
        int deadline_ms;
        Result result;
        RunState run;
        int executions;
    } cases[] = {
        {MODE_GOOD, OWNER_SERVER_READY, "s1", 5000, RESULT_OK, RUN_YES, 1},
        {MODE_WRONG_ID, OWNER_SERVER_READY, "s1", 5000, RESULT_ANSWER_MISMATCH,
         RUN_UNKNOWN, 1},
        {MODE_ERROR, OWNER_SERVER_READY, "s1", 5000,
         RESULT_BACKEND_SERVER_ERROR, RUN_YES, 1},
        {MODE_SHED, OWNER_SERVER_READY, "s1", 5000, RESULT_BACKEND_SERVER_SHED,
         RUN_NO, 1},
        {MODE_HANG, OWNER_SERVER_READY, "s1", 100, RESULT_DEADLINE_EXPIRED,
         RUN_UNKNOWN, 1},
        {MODE_GOOD, OWNER_SERVER_READY, "s2", 5000, RESULT_NO_BACKEND_SERVER,
         RUN_NO, 0},
        {MODE_GOOD, OWNER_SERVER_DRAINING, "s1", 5000,
         RESULT_BACKEND_SERVER_LEAVING, RUN_NO, 0},
        {MODE_GOOD, OWNER_SERVER_LEAVING, "s1", 5000,
         RESULT_BACKEND_SERVER_LEAVING, RUN_NO, 0},
        {MODE_GOOD, OWNER_SERVER_READY, "s1", -1, RESULT_DEADLINE_EXPIRED,
         RUN_NO, 0},
    };

    (void)data;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        OwnerCall call = make_call();
        OwnerReply reply;

        fixture->mode = cases[i].mode;
        atomic_store(&fixture->executions, 0);
        fixture->announcement.state = cases[i].state;
        Owner_Announce(fixture->owner, &fixture->announcement, Clock_Now());
        call.backend_server = Rng_HashString(cases[i].server);
        call.deadline = Clock_Now() + cases[i].deadline_ms;
        Owner_Execute(fixture->owner, &call, &reply);
        atomic_store(&fixture->released, TRUE);
        g_assert_cmpint(reply.result, ==, cases[i].result);
        g_assert_cmpint(reply.run, ==, cases[i].run);
        g_assert_cmpint(atomic_load(&fixture->executions), ==,
                        cases[i].executions);
        HttpAnswer_Clear(&reply.answer);
        while (HttpServer_InFlight(fixture->server) > 0) {
            g_usleep(1000);
        }
        atomic_store(&fixture->released, FALSE);
    }
}

/* Guards against run state "yes" or "unknown" for a request whose backend
 * server refused the connection. */
static void
test_connect_failed(Fixture *fixture, gconstpointer data)
{
    OwnerCall call = make_call();
    OwnerReply reply;

    (void)data;
    fixture->announcement.address.sin_port = htons(1);
    Owner_Announce(fixture->owner, &fixture->announcement, Clock_Now());
    Owner_Execute(fixture->owner, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_CONNECT_FAILED);
    g_assert_cmpint(reply.run, ==, RUN_NO);
}

#define COPY(id)                                    \
    "HTTP/1.1 200 OK\r\nRadishknot-Request-Id: " id \
    "\r\nContent-Length: 6\r\n\r\npermit"

static void
send_text(int fd, const char *text)
{
    (void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Answers three requests. The second gets a copy of the first answer while it
 * runs; its own follows when the third arrives on the same connection. */
static void *
serve_copies(void *context)
{
    int listener = *(int *)context;
    char buffer[2000];
    int received = 0;
    int on_connection;
    int fd;

    while (received < 3) {
        fd = accept(listener, NULL, NULL);
        on_connection = 0;
        while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
            received++;
            on_connection++;
            if (received == 3 && on_connection > 1) {
                send_text(fd, COPY("r2"));
            }
            send_text(fd, received == 3 ? COPY("r3") : COPY("r1"));
        }
        close(fd);
    }
    return NULL;
}

/* Replays a backend server that writes an earlier answer once more. Guards
 * against a connection on which each later answer is the one of the request
 * before. */
static void
test_late_copy(Fixture *fixture, gconstpointer data)
{
    static const struct {
        const char *id;
        Result result;
        RunState run;
    } steps[] = {{"r1", RESULT_OK, RUN_YES},
                 {"r2", RESULT_ANSWER_MISMATCH, RUN_UNKNOWN},
                 {"r3", RESULT_OK, RUN_YES}};
    struct sockaddr_in *address = &fixture->announcement.address;
    socklen_t bytes = sizeof(*address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    pthread_t thread;

    (void)data;
    address->sin_port = 0;
    g_assert_cmpint(bind(listener, (struct sockaddr *)address, bytes), ==, 0);
    g_assert_cmpint(listen(listener, 4), ==, 0);
    getsockname(listener, (struct sockaddr *)address, &bytes);
    Owner_Announce(fixture->owner, &fixture->announcement, Clock_Now());
    pthread_create(&thread, NULL, serve_copies, &listener);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        OwnerCall call = make_call();
        OwnerReply reply;

        call.request_id = steps[i].id;
        Owner_Execute(fixture->owner, &call, &reply);
        g_assert_cmpint(reply.result, ==, steps[i].result);
        g_assert_cmpint(reply.run, ==, steps[i].run);
        HttpAnswer_Clear(&reply.answer);
    }
    HttpClient_CloseIdle(fixture->client, address);
    pthread_join(thread, NULL);
    close(listener);
}

static void
mint(Fixture *fixture, const OwnerCall *call, char *text)
{
    RunToken token;

    g_assert_cmpint(RunTable_Mint(fixture->runs, call->team_hash,
                                  call->route_hash, 1, Clock_Now(), &token),
                    ==, RESULT_OK);
    RunToken_Format(&token, SECRET, strlen(SECRET), text);
}

/* Guards against a second run of an issuance, whatever the outcome of the
 * first was, and against a duplicate request that does not get the first
 * answer. */
static void
test_issuance_once(Fixture *fixture, gconstpointer data)
{
    static const struct {
        Mode mode;
        Result first;
        RunState first_run;
        Result second;
        RunState second_run;
    } cases[] = {
        {MODE_GOOD, RESULT_OK, RUN_YES, RESULT_OK, RUN_YES},
        {MODE_ERROR, RESULT_BACKEND_SERVER_ERROR, RUN_YES,
         RESULT_BACKEND_SERVER_ERROR, RUN_YES},
        {MODE_WRONG_ID, RESULT_OUTCOME_UNKNOWN, RUN_UNKNOWN,
         RESULT_OUTCOME_UNKNOWN, RUN_UNKNOWN},
        {MODE_SHED, RESULT_BACKEND_SERVER_SHED, RUN_NO, RESULT_TOKEN_VOID,
         RUN_NO},
    };

    (void)data;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char text[RUN_TOKEN_TEXT_BYTES];
        OwnerCall call = make_call();
        OwnerReply reply;

        call.issuance = TRUE;
        call.run_token = text;
        mint(fixture, &call, text);
        fixture->mode = cases[i].mode;
        atomic_store(&fixture->executions, 0);
        Owner_Execute(fixture->owner, &call, &reply);
        g_assert_cmpint(reply.result, ==, cases[i].first);
        g_assert_cmpint(reply.run, ==, cases[i].first_run);
        HttpAnswer_Clear(&reply.answer);
        fixture->mode = MODE_GOOD;
        Owner_Execute(fixture->owner, &call, &reply);
        g_assert_cmpint(reply.result, ==, cases[i].second);
        g_assert_cmpint(reply.run, ==, cases[i].second_run);
        g_assert_cmpint(atomic_load(&fixture->executions), ==, 1);
        HttpAnswer_Clear(&reply.answer);
    }
}

typedef struct Waiter {
    Fixture *fixture;
    OwnerReply reply;
} Waiter;

static void *
execute(void *context)
{
    Waiter *waiter = context;
    OwnerCall call = make_call();

    Owner_Execute(waiter->fixture->owner, &call, &waiter->reply);
    return NULL;
}

/* Guards against more concurrent requests to a backend server than it has
 * slots, and against an unbounded queue. */
static void
test_slots_and_queue(Fixture *fixture, gconstpointer data)
{
    Waiter waiters[2] = {{.fixture = fixture}, {.fixture = fixture}};
    OwnerServerStatus status;
    OwnerCall call = make_call();
    pthread_t threads[2];
    OwnerReply reply;

    (void)data;
    fixture->mode = MODE_HANG;
    for (int i = 0; i < 2; i++) {
        pthread_create(&threads[i], NULL, execute, &waiters[i]);
    }
    do {
        g_usleep(1000);
        Owner_Status(fixture->owner, &status, 1);
    } while (status.slots_in_use != 1 || status.waiting != 1);
    Owner_Execute(fixture->owner, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_BUSY);
    g_assert_cmpint(reply.run, ==, RUN_NO);
    atomic_store(&fixture->released, TRUE);
    for (int i = 0; i < 2; i++) {
        pthread_join(threads[i], NULL);
        g_assert_cmpint(waiters[i].reply.result, ==, RESULT_OK);
        HttpAnswer_Clear(&waiters[i].reply.answer);
    }
    g_assert_cmpint(atomic_load(&fixture->executions), ==, 2);
}

/* Guards against a backend server that stays registered after its
 * announcements have stopped. */
static void
test_announcements_stop(Fixture *fixture, gconstpointer data)
{
    OwnerServerStatus status;

    (void)data;
    Owner_Tick(fixture->owner, Clock_Now() + announce_timeout_ms - 500);
    g_assert_cmpuint(Owner_Status(fixture->owner, &status, 1), ==, 1);
    Owner_Tick(fixture->owner, Clock_Now() + announce_timeout_ms + 1);
    g_assert_cmpuint(Owner_Status(fixture->owner, &status, 1), ==, 0);
}

static void
replace(HttpHeaders *headers, const char *name, const char *value)
{
    HttpHeaders_Remove(headers, name);
    HttpHeaders_Add(headers, name, value);
}

/* Guards against accepting a message between daemons that was modified in
 * transit, for each of its parts. */
static void
test_wire_tampering(Fixture *fixture, gconstpointer data)
{
    static const struct {
        const char *name; /* header to change; NULL: none */
        const char *value;
        const char *target;
        const char *body;
        Result result;
    } cases[] = {
        {NULL, NULL, "/issue/1", "body", RESULT_OK},
        {NULL, NULL, "/issue/2", "body", RESULT_PEER_UNAUTHENTICATED},
        {NULL, NULL, "/issue/1", "bodY", RESULT_PEER_UNAUTHENTICATED},
        {"Radishknot-Team", "clerks", "/issue/1", "body",
         RESULT_PEER_UNAUTHENTICATED},
        {"Radishknot-Run-Token", "t2", "/issue/1", "body",
         RESULT_PEER_UNAUTHENTICATED},
        {"Radishknot-Attempt", "0000000000000008", "/issue/1", "body",
         RESULT_PEER_UNAUTHENTICATED},
        {"Radishknot-Mac", "00", "/issue/1", "body",
         RESULT_PEER_UNAUTHENTICATED},
        {"X-Other", "changed", "/issue/1", "body",
         RESULT_PEER_UNAUTHENTICATED},
    };
    HttpHeaders forwarded = {0};

    (void)fixture;
    (void)data;
    HttpHeaders_Add(&forwarded, "X-Other", "kept");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        OwnerCall call = make_call();
        HttpHeaders headers = {0};
        OwnerWireCall decoded;

        call.headers = &forwarded;
        call.body = "body";
        call.body_bytes = 4;
        call.run_token = "t1";
        OwnerWire_EncodeCall(&call, 7, SECRET, strlen(SECRET), &headers);
        HttpHeaders_Add(&headers, "Host", "127.0.0.1");
        if (cases[i].name != NULL) {
            replace(&headers, cases[i].name, cases[i].value);
        }
        g_assert_cmpint(OwnerWire_DecodeCall(
                            "POST", cases[i].target, &headers, cases[i].body,
                            4, SECRET, strlen(SECRET), Clock_Now(), &decoded),
                        ==, cases[i].result);
        if (cases[i].result == RESULT_OK) {
            g_assert_cmpuint(decoded.attempt, ==, 7);
            g_assert_cmpstr(decoded.call.team, ==, "crews");
            g_assert_cmpuint(decoded.forwarded.count, ==, 1);
        }
        OwnerWire_ClearCall(&decoded);
        HttpHeaders_Clear(&headers);
    }
    HttpHeaders_Clear(&forwarded);
}

/* Guards against accepting the answer to another request or attempt. */
static void
test_wire_crossed_answer(Fixture *fixture, gconstpointer data)
{
    static const struct {
        const char *id;
        OwnerAttempt attempt;
        Result result;
    } cases[] = {
        {"r1", 7, RESULT_OK},
        {"r2", 7, RESULT_ANSWER_MISMATCH},
        {"r1", 8, RESULT_ANSWER_MISMATCH},
    };

    (void)fixture;
    (void)data;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        OwnerReply reply = {.result = RESULT_OK,
                            .run = RUN_YES,
                            .slots_in_use = 3,
                            .queue = 2,
                            .server_us = 1500};
        HttpAnswer answer = {0};
        OwnerReply decoded;

        reply.answer.status = 200;
        HttpAnswer_SetBody(&reply.answer, "x", 1);
        OwnerWire_EncodeReply(&reply, "r1", 7, &answer);
        g_assert_cmpint(OwnerWire_DecodeReply(&answer, cases[i].id,
                                              cases[i].attempt, &decoded),
                        ==, cases[i].result);
        if (cases[i].result == RESULT_OK) {
            g_assert_cmpuint(decoded.slots_in_use, ==, 3);
            g_assert_cmpint(decoded.server_us, ==, 1500);
        }
        else {
            g_assert_cmpint(decoded.run, ==, RUN_UNKNOWN);
        }
        HttpAnswer_Clear(&decoded.answer);
        HttpAnswer_Clear(&answer);
    }
}

/* Guards against an attempt that arrives late and runs after its entry
 * received "not run" for it. */
static void
test_attempt_voided(Fixture *fixture, gconstpointer data)
{
    OwnerPort_desc desc = {.owner = fixture->owner,
                           .threads = 2,
                           .secret = SECRET,
                           .secret_bytes = strlen(SECRET)};
    OwnerCall call = make_call();
    HttpHeaders headers = {0};
    HttpAnswer answer = {0};
    OwnerReply reply;
    OwnerPort *port;
    gboolean sent;
    HttpCall http = {.method = "POST",
                     .target = "/issue/1",
                     .headers = &headers,
                     .deadline = Clock_Now() + 5000};

    (void)data;
    desc.address.sin_family = AF_INET;
    desc.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    port = OwnerPort_Create(&desc, NULL);
    g_assert_nonnull(port);
    http.address = desc.address;
    http.address.sin_port = htons(OwnerPort_Number(port));
    OwnerWire_EncodeCall(&call, 7, SECRET, strlen(SECRET), &headers);
    g_assert_cmpint(OwnerPort_QueryAttempt(port, 7, Clock_Now()), ==,
                    OWNER_ATTEMPT_VOID);
    g_assert_cmpint(HttpClient_Call(fixture->client, &http, &answer, &sent),
                    ==, RESULT_OK);
    g_assert_cmpint(OwnerWire_DecodeReply(&answer, "r1", 7, &reply), ==,
                    RESULT_OK);
    g_assert_cmpint(reply.result, ==, RESULT_REQUEST_ID_VOID);
    g_assert_cmpint(reply.run, ==, RUN_NO);
    g_assert_cmpint(atomic_load(&fixture->executions), ==, 0);
    HttpAnswer_Clear(&reply.answer);
    HttpHeaders_Clear(&headers);
    OwnerPort_Destroy(port);
}

typedef struct LongCall {
    HttpClient *client;
    HttpCall http;
    HttpAnswer answer;
} LongCall;

static void *
run_long_call(void *context)
{
    LongCall *call = context;
    gboolean sent;

    (void)HttpClient_Call(call->client, &call->http, &call->answer, &sent);
    return NULL;
}

/* Guards against an entry that is told that a run has not arrived because it
 * lasts longer than a record is kept. */
static void
test_running_is_not_void(Fixture *fixture, gconstpointer data)
{
    OwnerPort_desc desc = {.owner = fixture->owner,
                           .threads = 2,
                           .secret = SECRET,
                           .secret_bytes = strlen(SECRET)};
    OwnerCall call = make_call();
    HttpHeaders headers = {0};
    LongCall running = {.client = fixture->client,
                        .http = {.method = "POST",
                                 .target = "/issue/1",
                                 .headers = &headers,
                                 .deadline = Clock_Now() + 5000}};
    ClockMs later = Clock_Now() + 31000;
    OwnerAttemptState states[3];
    OwnerPort *port;
    pthread_t thread;

    (void)data;
    fixture->mode = MODE_HANG;
    desc.address.sin_family = AF_INET;
    desc.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    port = OwnerPort_Create(&desc, NULL);
    running.http.address = desc.address;
    running.http.address.sin_port = htons(OwnerPort_Number(port));
    OwnerWire_EncodeCall(&call, 7, SECRET, strlen(SECRET), &headers);
    pthread_create(&thread, NULL, run_long_call, &running);
    while (atomic_load(&fixture->executions) == 0) {
        g_usleep(1000);
    }
    /* Another attempt drops the records that are too old. */
    (void)OwnerPort_QueryAttempt(port, 8, later);
    states[0] = OwnerPort_QueryAttempt(port, 7, later);
    atomic_store(&fixture->released, TRUE);
    pthread_join(thread, NULL);
    states[1] = OwnerPort_QueryAttempt(port, 7, Clock_Now());
    states[2] = OwnerPort_QueryAttempt(port, 8, later);
    HttpAnswer_Clear(&running.answer);
    HttpHeaders_Clear(&headers);
    OwnerPort_Destroy(port);
    g_assert_cmpint(states[0], ==, OWNER_ATTEMPT_RUNNING);
    g_assert_cmpint(states[1], ==, OWNER_ATTEMPT_ANSWERED);
    g_assert_cmpint(states[2], ==, OWNER_ATTEMPT_VOID);
}

#define ADD(path, function) \
    g_test_add(path, Fixture, NULL, set_up, function, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/owner/running-is-not-void", test_running_is_not_void);
    ADD("/owner/outcomes", test_outcomes);
    ADD("/owner/connect-failed", test_connect_failed);
    ADD("/owner/late-copy", test_late_copy);
    ADD("/owner/issuance-once", test_issuance_once);
    ADD("/owner/slots-and-queue", test_slots_and_queue);
    ADD("/owner/announcements-stop", test_announcements_stop);
    ADD("/owner/wire/tampering", test_wire_tampering);
    ADD("/owner/wire/crossed-answer", test_wire_crossed_answer);
    ADD("/owner/attempt-voided", test_attempt_voided);
    return g_test_run();
}
