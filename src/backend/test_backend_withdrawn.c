/* Tests of a backend server whose data centre is evacuated. */
#include <glib.h>
#include <pthread.h>

#include "backend/backend.h"
#include "backend/test_script.h"

enum { CALLS = 4, SLOTS = 2 };

typedef struct Run {
    Backend *backend;
    pthread_t thread;
    BackendReply reply;
} Run;

static void *
run_call(void *context)
{
    Run *run = context;
    BackendCall call = make_call();

    call.deadline = Clock_Now() + 10000;
    call.max_wait_ms = 10000;
    Backend_Run(run->backend, &call, &run->reply);
    return NULL;
}

static void
start_runs(Run *runs, Fixture *fixture)
{
    for (int i = 0; i < CALLS; i++) {
        runs[i] = (Run){.backend = fixture->backend};
        pthread_create(&runs[i].thread, NULL, run_call, &runs[i]);
    }
}

static RosterReport
await_load(Fixture *fixture, uint32_t in_flight, uint32_t waiting)
{
    ClockMs end = Clock_Now() + 5000;
    RosterReport report;

    do {
        g_usleep(1000);
        Backend_GetReport(fixture->backend, &report);
    } while ((report.in_flight != in_flight || report.waiting != waiting) &&
             Clock_Now() < end);
    g_assert_cmpuint(report.in_flight, ==, in_flight);
    g_assert_cmpuint(report.waiting, ==, waiting);
    return report;
}

/* A request that explores is refused, too. */
static void
expect_refusal(Fixture *fixture)
{
    BackendCall call = make_call();
    BackendReply reply;

    call.max_risk = 0;
    call.explore_idle_ms = 1;
    Backend_Run(fixture->backend, &call, &reply);
    g_assert_cmpint(reply.result, ==, RESULT_BACKEND_SERVER_LEAVING);
    g_assert_cmpint(reply.run, ==, RUN_NO);
}

/* Guards against a request that is sent after the evacuation began, against
 * one that waits on, and against a run that is cut or counted as not run. */
static void
test_refused(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK, .gated = TRUE}};
    Run runs[CALLS];
    int served = 0;

    open_fixture(&fixture);
    start_runs(runs, &fixture);
    (void)await_load(&fixture, SLOTS, CALLS - SLOTS);
    (void)Backend_SetWithdrawn(fixture.backend, TRUE);
    g_assert_true(await_load(&fixture, SLOTS, 0).leaving);
    expect_refusal(&fixture);
    g_atomic_int_set(&fixture.script.opened, CALLS);
    for (int i = 0; i < CALLS; i++) {
        pthread_join(runs[i].thread, NULL);
        served += runs[i].reply.result == RESULT_OK;
        if (runs[i].reply.result != RESULT_OK) {
            g_assert_cmpint(runs[i].reply.result, ==,
                            RESULT_BACKEND_SERVER_LEAVING);
            g_assert_cmpint(runs[i].reply.run, ==, RUN_NO);
        }
        HttpAnswer_Clear(&runs[i].reply.answer);
    }
    g_assert_cmpint(served, ==, SLOTS);
    g_assert_cmpint(g_atomic_int_get(&fixture.script.requests), ==, SLOTS);
    close_fixture(&fixture);
}

/* Waits until the backend server has got this many requests. */
static void
await_requests(Fixture *fixture, int count)
{
    ClockMs end = Clock_Now() + 5000;

    while (g_atomic_int_get(&fixture->script.requests) < count &&
           Clock_Now() < end) {
        Backend_Tick(fixture->backend);
        g_usleep(1000);
    }
}

/* Guards against all slots being filled at the moment at which an evacuation
 * ends, also by way of an announcement, and against slots that stay unused. */
static void
test_return(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK, .gated = TRUE}};
    BackendAnnouncement next;
    Run runs[CALLS];

    open_fixture(&fixture);
    (void)Backend_SetWithdrawn(fixture.backend, FALSE);
    Backend_Tick(fixture.backend);
    g_assert_cmpuint(await_load(&fixture, 0, 0).slots, ==, SLOTS);
    (void)Backend_SetWithdrawn(fixture.backend, TRUE);
    (void)Backend_SetWithdrawn(fixture.backend, FALSE);
    next = announcement(&fixture, "i1", 100, 2, FALSE);
    g_assert_true(Backend_Announce(fixture.backend, &next));
    start_runs(runs, &fixture);
    (void)await_load(&fixture, SLOTS / 2, CALLS - SLOTS / 2);
    g_assert_cmpint(g_atomic_int_get(&fixture.script.requests), <=, SLOTS / 2);
    await_requests(&fixture, SLOTS);
    g_assert_false(await_load(&fixture, SLOTS, CALLS - SLOTS).leaving);
    g_atomic_int_set(&fixture.script.opened, CALLS);
    for (int i = 0; i < CALLS; i++) {
        pthread_join(runs[i].thread, NULL);
        g_assert_cmpint(runs[i].reply.result, ==, RESULT_OK);
        HttpAnswer_Clear(&runs[i].reply.answer);
    }
    close_fixture(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/withdrawn/refused", test_refused);
    g_test_add_func("/withdrawn/return", test_return);
    return g_test_run();
}
