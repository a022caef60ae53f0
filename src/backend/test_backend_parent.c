/* Tests of an owner that learns which requests make calls. */
#include "backend/test_script.h"

#define ROUTE 3
#define CALLED 9
#define RUNS 6
#define REFUSALS 3 /* of calls in each run */
#define TRIES 10

static const CalledState full = {
    .reports = 1, .slots = 8, .in_flight = 8, .waiting = 1};

/* Has room, but no retries left. */
static const CalledState limited = {
    .reports = 1, .slots = 8, .limit_usage = 0.9};

typedef struct Runner {
    Backend *backend;
    BackendCall call;
    BackendReply reply;
} Runner;

static void *
run(void *context)
{
    Runner *runner = context;

    Backend_Run(runner->backend, &runner->call, &runner->reply);
    return NULL;
}

static BackendCall
parent_call(void)
{
    BackendCall call = make_call();

    call.route = ROUTE;
    call.priority = 2;
    return call;
}

/* Runs a parent whose calls are refused. */
static void
run_parent(Fixture *fixture, int number)
{
    Runner runner = {.backend = fixture->backend, .call = parent_call()};
    CallParent parent;
    pthread_t thread;

    /* The gate does not hold back a run that is itself a call. */
    runner.call.priority = Admission_CallPriority(runner.call.priority);
    pthread_create(&thread, NULL, run, &runner);
    while (g_atomic_int_get(&fixture->script.requests) <= number) {
        g_usleep(1000);
    }
    parent = Backend_FindParent(fixture->backend, CALLED);
    g_assert_true(parent.is_known);
    g_assert_cmpint(parent.priority, ==, 2);
    Backend_NoteCalled(fixture->backend, CALLED, &full);
    for (int i = 0; i < REFUSALS; i++) {
        Backend_NoteCallEnd(fixture->backend, CALLED, parent.priority,
                            RESULT_BACKEND_SERVER_BUSY);
    }
    g_atomic_int_set(&fixture->script.opened, number + 1);
    pthread_join(thread, NULL);
    g_assert_cmpint(runner.reply.result, ==, RESULT_OK);
    HttpAnswer_Clear(&runner.reply.answer);
}

/* Number of requests that are refused because their calls would be. */
static int
count_refused(Fixture *fixture, const BackendCall *call)
{
    int refused = 0;

    for (int i = 0; i < TRIES; i++) {
        BackendReply reply;

        Backend_Run(fixture->backend, call, &reply);
        if (reply.return_ms > 0) {
            g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_BUSY);
            g_assert_cmpint(reply.run, ==, RUN_NO);
            g_assert_false(reply.arrived);
            refused++;
        }
        else {
            g_assert_cmpint(reply.result, ==, RESULT_OK);
        }
        HttpAnswer_Clear(&reply.answer);
    }
    return refused;
}

/* Guards against an owner that lets parents run whose calls are refused, that
 * refuses others or without the feature, and against retries of parents that
 * the called service's retry limit has no room for. */
static void
test_refusal(void)
{
    for (int by_value = 0; by_value < 2; by_value++) {
        Fixture fixture = {.script = {.answer = ANSWER_OK, .gated = TRUE}};
        BackendAnnouncement first;
        BackendCall call = parent_call();
        int refused;

        open_fixture(&fixture);
        if (by_value) {
            Backend_Destroy(fixture.backend);
            fixture.backend =
                Backend_Create(&(Backend_desc){.names = &names,
                                               .service = SERVICE,
                                               .client = fixture.client,
                                               .load_by_value = TRUE});
            first = announcement(&fixture, "i1", 100, 1, FALSE);
            g_assert_true(Backend_Announce(fixture.backend, &first));
        }
        for (int i = 0; i < RUNS; i++) {
            run_parent(&fixture, i);
        }
        g_atomic_int_set(&fixture.script.opened, G_MAXINT);
        refused = count_refused(&fixture, &call);
        g_assert_cmpint(refused, >=, by_value ? TRIES / 2 : 0);
        g_assert_cmpint(refused, <=, by_value ? TRIES : 0);
        call.retry = RETRY_KIND_CALM;
        Backend_NoteCalled(fixture.backend, CALLED, &limited);
        g_assert_cmpint(count_refused(&fixture, &call), ==, TRIES);
        Backend_NoteCalled(fixture.backend, CALLED, &full);
        g_assert_cmpint(count_refused(&fixture, &call), ==, 0);
        call.retry = RETRY_KIND_FIRST;
        call.priority = Admission_CallPriority(2);
        g_assert_cmpint(count_refused(&fixture, &call), ==, 0);
        close_fixture(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/backend-parent/refusal", test_refusal);
    return g_test_run();
}
