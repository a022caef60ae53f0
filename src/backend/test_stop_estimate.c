/* Tests of what an owner that stops knows of the length of a run: its history,
 * the longest run seen lately, and the runs at work. */
#include <glib.h>

#include "backend/test_script.h"
#include "stop/stop_plan.h"

/* Short runs after which the average knows nothing of what was before. */
#define SHORT_RUNS 40

/* Length of the run that is seen once, and age of the runs at work. */
#define LONG_MS 600

typedef enum History {
    HISTORY_NONE,  /* a new process */
    HISTORY_FEW,   /* a few short runs */
    HISTORY_BEGUN, /* ten short runs: the average still has the initial one */
    HISTORY_SHORT, /* short runs only */
    HISTORY_LONG,  /* a long run, then ten short ones */
    HISTORY_ONE,   /* short runs; one is long now */
    HISTORY_SLOW   /* short runs; the backend server is slow now */
} History;

typedef struct Case {
    const char *name;
    History history;
    gboolean idempotent;
    ClockMs abandon_ms; /* of this host; 0: does not stop */
    gboolean is_late;   /* in this host's stop */
    ClockMs sender_ms;  /* time until the sender abandons; 0: never */
    ClockMs own_ms;     /* time until the request's own deadline; 0: 8 s */
    Result result;
} Case;

#define MAX_SLOW 2
#define SLOTS 4

/* Runs that do not end before their deadline. */
typedef struct Slow {
    Backend *backend;
    pthread_t threads[MAX_SLOW];
    int count;
} Slow;

static void
run_short(const Fixture *fixture, int count)
{
    for (int i = 0; i < count; i++) {
        BackendCall call = make_call();
        BackendReply reply;

        Backend_Run(fixture->backend, &call, &reply);
        g_assert_cmpint(reply.result, ==, RESULT_OK);
        HttpAnswer_Clear(&reply.answer);
    }
}

static void
run_long(Fixture *fixture)
{
    fixture->script.delay_ms = LONG_MS;
    run_short(fixture, 1);
    fixture->script.delay_ms = 0;
}

static void *
run_slow(void *context)
{
    Slow *slow = context;
    BackendCall call = make_call();
    BackendReply reply;

    Backend_Run(slow->backend, &call, &reply);
    HttpAnswer_Clear(&reply.answer);
    return NULL;
}

static void
start_slow(Fixture *fixture, Slow *slow, int count)
{
    gint requests = g_atomic_int_get(&fixture->script.requests);

    slow->backend = fixture->backend;
    slow->count = count;
    atomic_store(&fixture->script.answer, NULL);
    g_usleep(5000); /* later than the last short run by the clock */
    for (int i = 0; i < count; i++) {
        pthread_create(&slow->threads[i], NULL, run_slow, slow);
    }
    while (g_atomic_int_get(&fixture->script.requests) < requests + count) {
        g_usleep(1000);
    }
    g_usleep(LONG_MS * 1000);
    atomic_store(&fixture->script.answer, ANSWER_OK);
}

static void
make_history(Fixture *fixture, History history, Slow *slow)
{
    static const int short_runs[] = {[HISTORY_FEW] = 2,
                                     [HISTORY_BEGUN] = 10,
                                     [HISTORY_SHORT] = SHORT_RUNS,
                                     [HISTORY_LONG] = SHORT_RUNS,
                                     [HISTORY_ONE] = SHORT_RUNS,
                                     [HISTORY_SLOW] = SHORT_RUNS};

    run_short(fixture, short_runs[history]);
    if (history == HISTORY_LONG) {
        run_long(fixture);
        run_short(fixture, 10);
    }
    if (history == HISTORY_ONE || history == HISTORY_SLOW) {
        start_slow(fixture, slow, history == HISTORY_ONE ? 1 : MAX_SLOW);
    }
}

static Result
run_case(const Case *item)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK}};
    BackendCall call = make_call();
    BackendReply reply;
    StopPlan plan;
    ClockMs now;
    BackendAnnouncement slots;
    Slow slow = {0};

    open_fixture(&fixture);
    slots = announcement(&fixture, "i1", 100, 2, FALSE);
    slots.slots = SLOTS;
    g_assert_true(Backend_Announce(fixture.backend, &slots));
    make_history(&fixture, item->history, &slow);
    now = Clock_Now();
    plan = (StopPlan){.begin = now,
                      .take_until = now + (item->is_late ? -1 : 1000),
                      .abandon = now + item->abandon_ms,
                      .end = now + item->abandon_ms};
    if (item->abandon_ms > 0) {
        Backend_Leave(fixture.backend, &plan);
    }
    call.target_time = now;
    call.deadline = now + (item->own_ms > 0 ? item->own_ms : 8000);
    call.idempotent = item->idempotent;
    call.run_allowance_ms = 1; /* the estimate decides */
    if (item->sender_ms > 0) {
        call.deadline = now + item->sender_ms;
        call.ends_by_stop = TRUE;
    }
    Backend_Run(fixture.backend, &call, &reply);
    g_assert_cmpint(reply.run, ==,
                    reply.result == RESULT_OK ? RUN_YES : RUN_NO);
    HttpAnswer_Clear(&reply.answer);
    for (int i = 0; i < slow.count; i++) {
        pthread_join(slow.threads[i], NULL);
    }
    close_fixture(&fixture);
    return reply.result;
}

static void
check_cases(const Case *cases, size_t count)
{
    unsigned wrong = 0;

    for (size_t i = 0; i < count; i++) {
        Result result = run_case(&cases[i]);

        g_test_message("%s: %s, %s expected", cases[i].name,
                       Result_Name(result), Result_Name(cases[i].result));
        wrong += result != cases[i].result;
    }
    g_assert_cmpuint(wrong, ==, 0);
}

/* Guards against a run that may not be repeated, taken up early in the
 * owner's stop with a weaker estimate because its sender does not stop yet:
 * once the sender stops, too, nobody can send it again. */
static void
test_sender_stops_later(void)
{
    static const Case cases[] = {
        {"cannot be repeated, too little", HISTORY_BEGUN, FALSE, 1400, FALSE,
         0, 0, RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, too little, late", HISTORY_BEGUN, FALSE, 1400, TRUE, 0, 0,
         RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, too little, sender stops, too", HISTORY_BEGUN, FALSE, 1400,
         FALSE, 2000, 0, RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, ends by itself", HISTORY_BEGUN, FALSE, 1400, FALSE, 0, 1300,
         RESULT_OK},
        {"cannot, enough time", HISTORY_BEGUN, FALSE, 2600, FALSE, 0, 0,
         RESULT_OK},
        {"can be repeated", HISTORY_BEGUN, TRUE, 1400, FALSE, 0, 0, RESULT_OK},
    };

    check_cases(cases, G_N_ELEMENTS(cases));
}

/* Guards against an estimate that forgets a long run within a few short ones.
 */
static void
test_forgotten_run(void)
{
    static const Case cases[] = {
        {"cannot be repeated, too little", HISTORY_LONG, FALSE, 480, FALSE, 0,
         0, RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, too little, late", HISTORY_LONG, FALSE, 480, TRUE, 0, 0,
         RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, too little, sender stops, too", HISTORY_LONG, FALSE, 480,
         FALSE, 600, 0, RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, sender stops", HISTORY_LONG, FALSE, 0, FALSE, 480, 0,
         RESULT_SHUTTING_DOWN},
        {"cannot, enough time", HISTORY_LONG, FALSE, 1200, FALSE, 0, 0,
         RESULT_OK},
        {"can be repeated", HISTORY_LONG, TRUE, 480, FALSE, 0, 0, RESULT_OK},
        {"short runs only", HISTORY_SHORT, FALSE, 480, FALSE, 0, 0, RESULT_OK},
    };

    check_cases(cases, G_N_ELEMENTS(cases));
}

/* Guards against an estimate that knows nothing of the runs at work, when the
 * backend server became slow after the last answer. */
static void
test_slow_now(void)
{
    static const Case cases[] = {
        {"cannot be repeated, too little", HISTORY_SLOW, FALSE, 500, FALSE, 0,
         0, RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, less than twice the age", HISTORY_SLOW, FALSE, 900, FALSE, 0,
         0, RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, too little, late", HISTORY_SLOW, FALSE, 900, TRUE, 0, 0,
         RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, too little, sender stops, too", HISTORY_SLOW, FALSE, 900,
         FALSE, 1000, 0, RESULT_SHUTTING_DOWN},
        {"cannot, sender stops", HISTORY_SLOW, FALSE, 0, FALSE, 900, 0,
         RESULT_SHUTTING_DOWN},
        {"cannot, sender leaves enough", HISTORY_SLOW, FALSE, 0, FALSE, 3000,
         0, RESULT_OK},
        {"cannot, enough time", HISTORY_SLOW, FALSE, 3000, FALSE, 0, 0,
         RESULT_OK},
        {"cannot, a single long run", HISTORY_ONE, FALSE, 500, FALSE, 0, 0,
         RESULT_OK},
        {"can be repeated, too little", HISTORY_SLOW, TRUE, 900, FALSE, 0, 0,
         RESULT_BACKEND_SERVER_LEAVING},
        {"can be repeated, enough time", HISTORY_SLOW, TRUE, 3000, FALSE, 0, 0,
         RESULT_OK},
    };

    check_cases(cases, G_N_ELEMENTS(cases));
}

/* Guards against a run that may not be repeated, taken up in a stop by an
 * owner that does not know how long its runs take. */
static void
test_no_history(void)
{
    static const Case cases[] = {
        {"cannot be repeated", HISTORY_NONE, FALSE, 3200, FALSE, 0, 0,
         RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, late", HISTORY_NONE, FALSE, 3200, TRUE, 0, 0,
         RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, sender stops, too", HISTORY_NONE, FALSE, 3200, FALSE, 4000,
         0, RESULT_SHUTTING_DOWN},
        {"cannot, sender stops", HISTORY_NONE, FALSE, 0, FALSE, 4000, 0,
         RESULT_SHUTTING_DOWN},
        {"cannot, sender stops, known runs", HISTORY_BEGUN, FALSE, 0, FALSE,
         4000, 0, RESULT_OK},
        {"cannot, a few runs", HISTORY_FEW, FALSE, 3200, FALSE, 0, 0,
         RESULT_BACKEND_SERVER_LEAVING},
        {"cannot, ends by itself", HISTORY_NONE, FALSE, 3200, FALSE, 0, 3100,
         RESULT_OK},
        {"can be repeated", HISTORY_NONE, TRUE, 3200, FALSE, 0, 0, RESULT_OK},
    };

    check_cases(cases, G_N_ELEMENTS(cases));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stop-estimate/sender-stops-later",
                    test_sender_stops_later);
    g_test_add_func("/stop-estimate/forgotten-run", test_forgotten_run);
    g_test_add_func("/stop-estimate/slow-now", test_slow_now);
    g_test_add_func("/stop-estimate/no-history", test_no_history);
    return g_test_run();
}
