/* Tests of the owner against a scripted backend server that misbehaves. */
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "backend/backend.h"
#include "backend/test_script.h"

/* Guards against accepting an answer that is truncated, belongs to another
 * request or is no success, and against a wrong run state. */
static void
test_answers(void)
{
    static const struct {
        const char *answer;
        gboolean reset;
        Result result;
        RunState run;
        const char *body;
    } cases[] = {
        {ANSWER_OK, FALSE, RESULT_OK, RUN_YES, "ok"},
        /* Bytes after the answer are discarded. */
        {ANSWER_OK "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", FALSE,
         RESULT_OK, RUN_YES, "ok"},
        /* A late answer to an earlier request precedes the answer. */
        {"HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Signature: s\r\n"
         "Content-Length: 3\r\n\r\nbad" ANSWER_OK,
         FALSE, RESULT_OK, RUN_YES, "ok"},
        /* The body ends with the connection. */
        {"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n\r\nwhole", FALSE,
         RESULT_OK, RUN_YES, "whole"},
        {"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n\r\nhalf", TRUE,
         RESULT_ANSWER_TRUNCATED, RUN_UNKNOWN, NULL},
        {"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok", FALSE,
         RESULT_ANSWER_MISMATCH, RUN_UNKNOWN, NULL},
        {"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: "
         "9\r\n\r\nok",
         TRUE, RESULT_ANSWER_TRUNCATED, RUN_UNKNOWN, NULL},
        {"HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n"
         "Content-Length: 3\r\n\r\nokk",
         FALSE, RESULT_ANSWER_TRUNCATED, RUN_UNKNOWN, NULL},
        {"HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n"
         "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
         FALSE, RESULT_ANSWER_TRUNCATED, RUN_UNKNOWN, NULL},
        {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
         FALSE, RESULT_BACKEND_SERVER_SHED, RUN_NO, NULL},
        {"HTTP/1.1 421 Other\r\nX-Instance: i9\r\nContent-Length: 0\r\n\r\n",
         FALSE, RESULT_BACKEND_SERVER_OTHER, RUN_NO, NULL},
        {"HTTP/1.1 500 Bad\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n",
         FALSE, RESULT_BACKEND_SERVER_ERROR, RUN_YES, NULL},
        {"HTTP/1.1 404 No\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n",
         FALSE, RESULT_OK, RUN_YES, NULL},
        {"garbage\r\n\r\n", TRUE, RESULT_ANSWER_LOST, RUN_UNKNOWN, NULL},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {
            .script = {.answer = cases[i].answer, .reset = cases[i].reset}};
        BackendCall call;
        BackendReply reply;

        open_fixture(&fixture);
        call = make_call();
        Backend_Run(fixture.backend, &call, &reply);
        g_test_message("case %zu: %s", i, Result_Name(reply.result));
        g_assert_cmpint(reply.result, ==, cases[i].result);
        g_assert_cmpint(reply.run, ==, cases[i].run);
        g_assert_true(reply.arrived);
        if (cases[i].body != NULL) {
            g_assert_cmpstr(reply.answer.body, ==, cases[i].body);
        }
        HttpAnswer_Clear(&reply.answer);
        close_fixture(&fixture);
    }
}

/* Guards against sending the caller's key to the backend server, and against
 * missing headers for instance and team or a time left beyond the deadline. */
static void
test_headers(void)
{
    static const struct {
        const char *text;
        gboolean expected;
    } lines[] = {{"X-Id: r1\r\n", TRUE},        {"X-Team: crews\r\n", TRUE},
                 {"X-Caller: desk\r\n", TRUE},  {"X-Expected: i1\r\n", TRUE},
                 {"Host: a.example\r\n", TRUE}, {"X-Key", FALSE}};
    Fixture fixture = {.script = {.answer = ANSWER_OK}};
    BackendCall call;
    BackendReply reply;
    const char *left;

    open_fixture(&fixture);
    call = make_call();
    Backend_Run(fixture.backend, &call, &reply);
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        g_assert_cmpint(strstr(fixture.script.received, lines[i].text) != NULL,
                        ==, lines[i].expected);
    }
    left = strstr(fixture.script.received, "X-Left: ");
    g_assert_nonnull(left);
    g_assert_cmpint(g_ascii_strtoll(left + 8, NULL, 10), <=, 2000);
    HttpAnswer_Clear(&reply.answer);
    close_fixture(&fixture);
}

/* Guards against delayed announcements that make an instance ready again, and
 * against requests to an instance that announced its draining. */
static void
test_order_of_announcements(void)
{
    static const struct {
        const char *instance;
        int64_t born;
        int64_t sequence;
        gboolean draining;
        gboolean accepted;
        BackendState state;
    } steps[] = {
        {"i1", 100, 1, FALSE, FALSE, BACKEND_READY}, /* duplicate */
        {"i1", 100, 3, TRUE, TRUE, BACKEND_DRAINING},
        {"i1", 100, 2, FALSE, FALSE, BACKEND_DRAINING}, /* delayed */
        {"i1", 100, 4, FALSE, TRUE, BACKEND_DRAINING},  /* stays draining */
        {"i2", 200, 1, FALSE, TRUE, BACKEND_READY},
        {"i1", 100, 9, TRUE, FALSE, BACKEND_READY}, /* earlier instance */
        {"i2", 300, 1, FALSE, TRUE, BACKEND_READY}, /* restart, same name */
        {"i2", 300, 2, TRUE, TRUE, BACKEND_DRAINING},
    };
    Fixture fixture = {.script = {.answer = ANSWER_OK}};
    BackendStatus status;
    BackendReply reply;

    open_fixture(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        BackendAnnouncement step =
            announcement(&fixture, steps[i].instance, steps[i].born,
                         steps[i].sequence, steps[i].draining);
        BackendCall call = make_call();

        g_assert_cmpint(Backend_Announce(fixture.backend, &step), ==,
                        steps[i].accepted);
        Backend_GetStatus(fixture.backend, &status);
        g_assert_cmpint(status.state, ==, steps[i].state);
        Backend_Run(fixture.backend, &call, &reply);
        g_assert_cmpint(reply.result, ==,
                        steps[i].state == BACKEND_READY
                            ? RESULT_OK
                            : RESULT_BACKEND_SERVER_LEAVING);
        HttpAnswer_Clear(&reply.answer);
    }
    Backend_MarkStopped(fixture.backend, "i2", 200);
    Backend_GetStatus(fixture.backend, &status);
    g_assert_cmpint(status.state, ==, BACKEND_DRAINING);
    Backend_MarkStopped(fixture.backend, "i2", 300);
    Backend_GetStatus(fixture.backend, &status);
    g_assert_cmpint(status.state, ==, BACKEND_STOPPED);
    close_fixture(&fixture);
}

/* Guards against sending requests to an instance that reported its stop before
 * this process had its first announcement: an announcement that was sent
 * earlier may arrive later. */
static void
test_stop_before_announcement(void)
{
    static const struct {
        const char *known; /* instance announced before; NULL: none */
        const char *stopped;
        int64_t stopped_born; /* 0: not given */
        const char *announced;
        int64_t announced_born;
        BackendState state;
    } cases[] = {
        {NULL, "i1", 100, "i1", 100, BACKEND_STOPPED},
        {NULL, "i1", 0, "i1", 100, BACKEND_STOPPED},
        {NULL, "i1", 0, "i1", 0, BACKEND_STOPPED},
        {NULL, "i1", 0, "i1", INT64_MAX, BACKEND_READY}, /* restart */
        {NULL, "i1", 100, "i1", 200, BACKEND_READY}, /* restart, same name */
        {NULL, "i1", 100, "i2", 200, BACKEND_READY},
        {NULL, "i1", 0, "i2", 0, BACKEND_READY},
        {"i0", "i1", 100, "i1", 100, BACKEND_STOPPED},
        {"i0", "i0", 10, "i1", 100, BACKEND_READY}, /* of an earlier start */
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {.script = {.answer = ANSWER_OK}};
        BackendAnnouncement step;
        BackendStatus status;

        g_test_message("case %zu", i);
        start_script(&fixture.script);
        create_backend(&fixture, NULL);
        if (cases[i].known != NULL) {
            step = announcement(&fixture, cases[i].known, 50, 7, FALSE);
            g_assert_true(Backend_Announce(fixture.backend, &step));
        }
        Backend_MarkStopped(fixture.backend, cases[i].stopped,
                            cases[i].stopped_born);
        for (int64_t sequence = 1; sequence <= 2; sequence++) {
            step = announcement(&fixture, cases[i].announced,
                                cases[i].announced_born, sequence, FALSE);
            (void)Backend_Announce(fixture.backend, &step);
            Backend_GetStatus(fixture.backend, &status);
            g_assert_cmpint(status.state, ==, cases[i].state);
        }
        close_fixture(&fixture);
    }
}

/* Guards against running a request that is meant for another service because
 * its sender's roster still holds the previous user of this address. Also
 * covers refusals by risk and after Backend_Close(). */
static void
test_refusals(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK}};
    BackendCall call;
    BackendReply reply;

    open_fixture(&fixture);
    call = make_call();
    call.service = "other";
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_OTHER);
    g_assert_cmpint(reply.run, ==, RUN_NO);
    g_assert_false(reply.arrived);
    call = make_call();
    call.max_risk = 0;
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_EJECTED);
    g_assert_false(reply.arrived);
    Backend_Close(fixture.backend);
    call = make_call();
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_LEAVING);
    g_assert_cmpint(fixture.script.requests, ==, 0);
    close_fixture(&fixture);
}

static double
risk_after(Fixture *fixture, const char *answer, int requests)
{
    RosterReport report;

    atomic_store(&fixture->script.answer, answer);
    for (int i = 0; i < requests; i++) {
        BackendCall call = make_call();
        BackendReply reply;

        Backend_Run(fixture->backend, &call, &reply);
        g_test_message("%s risk=%.3f", Result_Name(reply.result),
                       reply.report.risk);
        HttpAnswer_Clear(&reply.answer);
    }
    Backend_GetReport(fixture->backend, &report);
    return report.risk;
}

#define ANSWER_BAD                                                        \
    "HTTP/1.1 500 Bad\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: 0" \
    "\r\n\r\n"

/* Guards against reporting a low risk for a backend server with a gray
 * failure, and against raising the risk for a failure that a failed call of
 * the backend server has caused. */
static void
test_risk(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK}};
    double healthy;
    double caused_by_call;
    ClockMs noted;

    open_fixture(&fixture);
    healthy = risk_after(&fixture, ANSWER_OK, 5);
    g_assert_cmpfloat(healthy, <, 0.05);
    noted = Clock_Now();
    Backend_NoteFailedCall(fixture.backend);
    caused_by_call = risk_after(&fixture, ANSWER_BAD, 1);
    /* If the machine stalls for longer, the failure is correctly not
     * attributed to the call. */
    if (Clock_Now() - noted < 200) {
        g_assert_cmpfloat(caused_by_call, <, 0.05);
    }
    g_assert_cmpfloat(risk_after(&fixture, ANSWER_BAD, 3), >, 0.85);
    close_fixture(&fixture);
}

typedef struct RefusedBody {
    const char *length;
    size_t used; /* by others */
    Result result;
    gboolean is_risk;
} RefusedBody;

/* Runs three requests whose answers announce the length. */
static void
check_refused_body(const RefusedBody *c, Memory *memory)
{
    char *bad = g_strconcat("HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
                            "X-Signature: s\r\nContent-Length: ",
                            c->length, "\r\n\r\nxx", NULL);
    Fixture fixture = {.script = {.answer = bad}};
    BackendReply reply;

    open_fixture_with(&fixture, memory);
    for (int i = 0; i < 3; i++) {
        BackendCall call = make_call();

        Backend_Run(fixture.backend, &call, &reply);
        g_test_message("%s: %s", c->length, Result_Name(reply.result));
        g_assert_cmpint(reply.result, ==, c->result);
        g_assert_cmpint(reply.run, ==, RUN_UNKNOWN);
        g_assert_true(reply.arrived);
        g_assert_null(reply.answer.body);
    }
    g_assert_cmpint(reply.report.risk > 0.5, ==, c->is_risk);
    close_fixture(&fixture);
    g_free(bad);
}

/* Guards against a body that does not fit reported as not run or as complete,
 * against a sender of bytes without end that stays without risk, and against
 * a risk for a lack of memory that others have caused. */
static void
test_body_refused(void)
{
    static const RefusedBody cases[] = {
        {"400000", 900000, RESULT_OVERLOADED, FALSE},
        {"1000000", 0, RESULT_OVERLOADED, FALSE},
        {"99999999999", 0, RESULT_TOO_LARGE, TRUE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Memory *memory = Memory_Create(
            &(Memory_desc){.limit_bytes = 1100000, .sender_percent = 100});
        MemoryLease other = MemoryLease_Begin(memory, MEMORY_ANSWERS_READ, 0);

        g_assert_true(MemoryLease_Take(&other, cases[i].used));
        check_refused_body(&cases[i], memory);
        g_assert_cmpuint(Memory_Used(memory), ==, cases[i].used);
        MemoryLease_End(&other);
        Memory_Destroy(memory);
    }
}

/* Guards against a risk of the backend server that rises while this process
 * has no file descriptor left. */
static void
test_no_descriptors(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK}};
    struct rlimit limit;
    struct rlimit low;
    RosterReport before;
    BackendReply reply;

    open_fixture(&fixture);
    Backend_GetReport(fixture.backend, &before);
    getrlimit(RLIMIT_NOFILE, &limit);
    low = limit;
    low.rlim_cur = 3;
    setrlimit(RLIMIT_NOFILE, &low);
    for (int i = 0; i < 3; i++) {
        BackendCall call = make_call();

        Backend_Run(fixture.backend, &call, &reply);
        g_test_message("%s run=%d risk %.3f", Result_Name(reply.result),
                       reply.run, reply.report.risk);
        g_assert_cmpint(reply.run, ==, RUN_NO);
        HttpAnswer_Clear(&reply.answer);
    }
    setrlimit(RLIMIT_NOFILE, &limit);
    /* Without evidence the risk drifts by a little with time. */
    g_assert_cmpfloat(reply.report.risk, <, before.risk + 0.01);
    close_fixture(&fixture);
}

typedef struct Caller {
    Backend *backend;
    BackendCall call;
    BackendReply reply;
    pthread_t thread;
} Caller;

static void *
run_caller(void *context)
{
    Caller *caller = context;

    Backend_Run(caller->backend, &caller->call, &caller->reply);
    return NULL;
}

static void
start_call(Caller *caller, Backend *backend, int priority, gboolean is_retry)
{
    caller->backend = backend;
    caller->call = make_call();
    caller->call.priority = priority;
    caller->call.retry = is_retry ? RETRY_KIND_RETRY : RETRY_KIND_FIRST;
    pthread_create(&caller->thread, NULL, run_caller, caller);
}

static void
start_caller(Caller *caller, Backend *backend, int priority)
{
    start_call(caller, backend, priority, FALSE);
}

/* Limit of waits that are part of no stated time. */
#define LONG_WAIT_MS 10000

static void
wait_for_load(Backend *backend, uint32_t in_flight, uint32_t waiting)
{
    RosterReport report;
    ClockMs end = Clock_Now() + LONG_WAIT_MS;

    do {
        g_usleep(1000);
        Backend_GetReport(backend, &report);
    } while ((report.in_flight != in_flight || report.waiting != waiting) &&
             Clock_Now() < end);
    g_assert_cmpuint(report.in_flight, ==, in_flight);
    g_assert_cmpuint(report.waiting, ==, waiting);
}

#define EXPLORERS 8
#define EXPLORE_IDLE_MS 300

/* Replays many senders that explore the same gray backend server at once.
 * Guards against running more than one of their requests, each of which would
 * probably fail, and against exploring a backend server that is not idle. */
static void
test_exploration(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_BAD, .delay_ms = 20}};
    Caller callers[EXPLORERS] = {0};
    ClockMs sent = 0;
    ClockMs begin;
    BackendCall call;
    BackendReply reply;

    open_fixture(&fixture);
    g_assert_cmpfloat(risk_after(&fixture, ANSWER_BAD, 3), >, 0.85);
    call = make_call();
    call.max_risk = 0.25;
    call.explore_idle_ms = 60000;
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_EJECTED);
    g_usleep(EXPLORE_IDLE_MS * 1000);
    begin = Clock_Now();
    for (int i = 0; i < EXPLORERS; i++) {
        callers[i].backend = fixture.backend;
        callers[i].call = make_call();
        callers[i].call.max_risk = 0.25;
        callers[i].call.explore_idle_ms = EXPLORE_IDLE_MS;
        pthread_create(&callers[i].thread, NULL, run_caller, &callers[i]);
    }
    for (int i = 0; i < EXPLORERS; i++) {
        pthread_join(callers[i].thread, NULL);
        g_assert_true(callers[i].reply.arrived ||
                      callers[i].reply.result ==
                          RESULT_BACKEND_SERVER_EJECTED);
        sent += callers[i].reply.arrived ? 1 : 0;
        HttpAnswer_Clear(&callers[i].reply.answer);
    }
    g_assert_cmpint(sent, >=, 1);
    g_assert_cmpint(sent, <=, 1 + (Clock_Now() - begin) / EXPLORE_IDLE_MS);
    close_fixture(&fixture);
}

static void
start_waiting(Caller *caller, Backend *backend, int priority,
              const char *target)
{
    caller->backend = backend;
    caller->call = make_call();
    caller->call.priority = priority;
    caller->call.target = target;
    caller->call.deadline = Clock_Now() + LONG_WAIT_MS;
    caller->call.max_wait_ms = LONG_WAIT_MS;
    pthread_create(&caller->thread, NULL, run_caller, caller);
}

/* Waits until the backend server has received that many requests, the last of
 * them for `target`. */
static void
await_request(const Script *script, gint requests, const char *target)
{
    ClockMs end = Clock_Now() + LONG_WAIT_MS;

    while (g_atomic_int_get(&script->requests) < requests &&
           Clock_Now() < end) {
        g_usleep(1000);
    }
    g_assert_cmpint(g_atomic_int_get(&script->requests), ==, requests);
    g_assert_nonnull(strstr(script->received, target));
}

/* Guards against more running requests than slots, and against requests that
 * are admitted before those of a higher priority. */
static void
test_slots_and_order(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK, .gated = TRUE}};
    Script *script = &fixture.script;
    Caller callers[4] = {0};

    open_fixture(&fixture);
    start_waiting(&callers[0], fixture.backend, 1, "/first");
    await_request(script, 1, "/first");
    start_waiting(&callers[1], fixture.backend, 1, "/second");
    await_request(script, 2, "/second");
    start_waiting(&callers[2], fixture.backend, 5, "/low");
    wait_for_load(fixture.backend, 2, 1);
    start_waiting(&callers[3], fixture.backend, BACKEND_PRIORITY_NESTED,
                  "/nested");
    wait_for_load(fixture.backend, 2, 2);
    g_atomic_int_set(&script->opened, 1);
    await_request(script, 3, "/nested");
    wait_for_load(fixture.backend, 2, 1);
    g_atomic_int_set(&script->opened, 2);
    await_request(script, 4, "/low");
    g_atomic_int_set(&script->opened, 4);
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        pthread_join(callers[i].thread, NULL);
        g_assert_cmpint(callers[i].reply.result, ==, RESULT_OK);
        HttpAnswer_Clear(&callers[i].reply.answer);
    }
    close_fixture(&fixture);
}

/* Guards against calls of retried requests that are not charged to the retry
 * budget, and against a share that stays after these requests have ended. */
static void
test_retry_share(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK, .delay_ms = 150}};
    Caller callers[2] = {0};

    open_fixture(&fixture);
    g_assert_cmpfloat(Backend_RetryShare(fixture.backend), ==, 0);
    start_call(&callers[0], fixture.backend, 1, TRUE);
    wait_for_load(fixture.backend, 1, 0);
    g_assert_cmpfloat(Backend_RetryShare(fixture.backend), ==, 1);
    start_call(&callers[1], fixture.backend, 1, FALSE);
    wait_for_load(fixture.backend, 2, 0);
    g_assert_cmpfloat(Backend_RetryShare(fixture.backend), ==, 0.5);
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        pthread_join(callers[i].thread, NULL);
        HttpAnswer_Clear(&callers[i].reply.answer);
    }
    g_assert_cmpfloat(Backend_RetryShare(fixture.backend), ==, 0);
    close_fixture(&fixture);
}

/* Guards against sending a request whose caller has hung up, and against
 * queueing one that cannot get a slot in time. */
static void
test_waiting(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK, .delay_ms = 400}};
    Caller callers[4] = {0};
    HttpCancel *cancel = HttpCancel_Create();
    BackendCall call;
    BackendReply reply;

    open_fixture(&fixture);
    start_caller(&callers[0], fixture.backend, 1);
    start_caller(&callers[1], fixture.backend, 1);
    wait_for_load(fixture.backend, 2, 0);
    call = make_call();
    call.max_wait_ms = 0;
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_BUSY);
    /* Its turn comes too late: refused before the deadline, so that the sender
     * can still go elsewhere. */
    call = make_call();
    call.deadline = Clock_Now() + 200;
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_BUSY);
    g_assert_cmpint(reply.run, ==, RUN_NO);
    g_assert_cmpint(reply.queue_ms, <, 150);
    HttpCancel_Trigger(cancel);
    call = make_call();
    call.idempotent = FALSE;
    call.cancel = cancel;
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_CANCELLED);
    g_assert_cmpint(reply.run, ==, RUN_NO);
    for (int i = 0; i < 2; i++) {
        pthread_join(callers[i].thread, NULL);
        HttpAnswer_Clear(&callers[i].reply.answer);
    }
    g_assert_cmpint(fixture.script.requests, ==, 2);
    HttpCancel_Destroy(cancel);
    close_fixture(&fixture);
}

static gboolean
read_permission(void *context)
{
    return g_atomic_int_get((gint *)context);
}

/* Guards against a request that is sent although it may not run here any more,
 * at once or after it has waited, and against one that keeps its slot. */
static void
test_may_not_run(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK, .gated = TRUE}};
    Script *script = &fixture.script;
    Caller callers[3] = {0};
    gint permission = TRUE;
    BackendCall call;
    BackendReply reply;

    open_fixture(&fixture);
    start_waiting(&callers[0], fixture.backend, 1, "/first");
    await_request(script, 1, "/first");
    call = make_call();
    call.may_run = read_permission;
    call.may_run_context = &(gint){FALSE};
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_LEAVING);
    g_assert_cmpint(reply.run, ==, RUN_NO);
    start_waiting(&callers[1], fixture.backend, 1, "/second");
    await_request(script, 2, "/second");
    callers[2].backend = fixture.backend;
    callers[2].call = call;
    callers[2].call.deadline = Clock_Now() + LONG_WAIT_MS;
    callers[2].call.max_wait_ms = LONG_WAIT_MS;
    callers[2].call.may_run_context = &permission;
    pthread_create(&callers[2].thread, NULL, run_caller, &callers[2]);
    wait_for_load(fixture.backend, 2, 1);
    g_atomic_int_set(&permission, FALSE);
    wait_for_load(fixture.backend, 2, 0);
    g_atomic_int_set(&script->opened, 2);
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        pthread_join(callers[i].thread, NULL);
        g_assert_cmpint(callers[i].reply.result, ==,
                        i < 2 ? RESULT_OK : RESULT_BACKEND_SERVER_LEAVING);
        HttpAnswer_Clear(&callers[i].reply.answer);
    }
    g_assert_cmpint(g_atomic_int_get(&script->requests), ==, 2);
    close_fixture(&fixture);
}

/* Replays a process that stands still between the acceptance of a request and
 * its write to a connection that is open already. Guards against sending a
 * request whose time has run out meanwhile, and against reporting that it may
 * have run. */
static void
test_paused(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK}};
    BackendCall call;
    BackendReply reply;

    open_fixture(&fixture);
    call = make_call();
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_OK);
    HttpAnswer_Clear(&reply.answer);
    for (int idempotent = 0; idempotent < 2; idempotent++) {
        for (ClockMs late = 0; late <= 5000; late += 2500) {
            call = make_call();
            call.idempotent = idempotent;
            call.deadline = Clock_Now() - late;
            Backend_Run(fixture.backend, &call, &reply);
            g_assert_cmpint(reply.result, !=, RESULT_OK);
            g_assert_cmpint(reply.run, ==, RUN_NO);
            g_assert_false(reply.arrived);
        }
    }
    g_assert_cmpint(fixture.script.requests, ==, 1);
    close_fixture(&fixture);
}

static gboolean
count_and_decline(void *context)
{
    (*(int *)context)++;
    return FALSE;
}

static gboolean
always_give_up(void *context)
{
    (void)context;
    return TRUE;
}

/* Guards against abandoning an attempt although no retry can follow, which
 * lost requests after SIGTERM. */
static void
test_attempt_timeout(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK, .delay_ms = 200}};
    BackendCall call;
    BackendReply reply;
    int asked = 0;

    open_fixture(&fixture);
    call = make_call();
    call.attempt_timeout_ms = 50;
    call.give_up = count_and_decline;
    call.give_up_context = &asked;
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_OK);
    g_assert_cmpint(asked, ==, 1);
    HttpAnswer_Clear(&reply.answer);
    call = make_call();
    call.attempt_timeout_ms = 50;
    call.give_up = always_give_up;
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_DEADLINE_EXPIRED);
    g_assert_cmpint(reply.run, ==, RUN_UNKNOWN);
    g_assert_cmpint(reply.server_ms, <, 180);
    close_fixture(&fixture);
}

/* Guards against an owner that takes the time in which it was suspended itself
 * for a backend server that hangs, and refuses requests for seconds after. */
static void
test_suspended(void)
{
    static const struct {
        gboolean suspended; /* no tick while the request is at work */
        gboolean is_gray;
    } cases[] = {{FALSE, TRUE}, {TRUE, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {.script = {.answer = NULL}};
        Caller caller = {0};
        RosterReport report = {0};

        open_fixture(&fixture);
        Backend_Tick(fixture.backend);
        start_caller(&caller, fixture.backend, 0);
        for (ClockMs end = Clock_Now() + 1900; Clock_Now() < end;) {
            g_usleep(PAUSE_TICK_MS * 1000);
            if (!cases[i].suspended) {
                Backend_Tick(fixture.backend);
            }
            Backend_GetReport(fixture.backend, &report);
        }
        g_assert_cmpint(report.risk > 0.5, ==, cases[i].is_gray);
        pthread_join(caller.thread, NULL);
        Backend_GetReport(fixture.backend, &report);
        g_assert_cmpint(report.risk > 0.5, ==, cases[i].is_gray);
        close_fixture(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/backend/answers", test_answers);
    g_test_add_func("/backend/headers", test_headers);
    g_test_add_func("/backend/announcements", test_order_of_announcements);
    g_test_add_func("/backend/stop-before-announcement",
                    test_stop_before_announcement);
    g_test_add_func("/backend/refusals", test_refusals);
    g_test_add_func("/backend/risk", test_risk);
    g_test_add_func("/backend/body-refused", test_body_refused);
    g_test_add_func("/backend/no-descriptors", test_no_descriptors);
    g_test_add_func("/backend/exploration", test_exploration);
    g_test_add_func("/backend/slots-and-order", test_slots_and_order);
    g_test_add_func("/backend/repeat-share", test_retry_share);
    g_test_add_func("/backend/waiting", test_waiting);
    g_test_add_func("/backend/may-not-run", test_may_not_run);
    g_test_add_func("/backend/paused", test_paused);
    g_test_add_func("/backend/patience", test_attempt_timeout);
    g_test_add_func("/backend/suspended", test_suspended);
    return g_test_run();
}
