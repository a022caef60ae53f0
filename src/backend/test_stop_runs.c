/* Tests of which runs an owner takes up while it or the sender stops. */
#include <glib.h>

#include "backend/test_script.h"
#include "stop/stop_plan.h"

/* Number of answers before the runs of a case: enough for an owner to know how
 * long they take. */
#define KNOWN_RUNS 10

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

/* Guards against a run that a stopping host begins and cuts at its end, and
 * against refusing one that ends in time. Before one that may be repeated, no
 * run has been answered: 400 ms are expected, and as much deviation. Before
 * any other, KNOWN_RUNS short ones have been: 140 ms and 295 ms. */
static void
test_runs_in_stop(void)
{
    static const struct {
        const char *name;
        ClockMs abandon_ms; /* of this host; 0: does not stop */
        gboolean is_late;   /* in this host's stop */
        gboolean idempotent;
        ClockMs sender_ms; /* time until the sender abandons; 0: never */
        Result result;
    } cases[] = {
        {"no stop", 0, FALSE, FALSE, 0, RESULT_OK},
        {"enough time, can be repeated", 2000, FALSE, TRUE, 0, RESULT_OK},
        {"enough time, cannot", 2400, FALSE, FALSE, 0, RESULT_OK},
        {"too little, cannot", 1600, FALSE, FALSE, 0,
         RESULT_BACKEND_SERVER_LEAVING},
        {"too little", 1200, FALSE, TRUE, 0, RESULT_BACKEND_SERVER_LEAVING},
        {"late, can be repeated", 2000, TRUE, TRUE, 0, RESULT_OK},
        {"late, cannot", 1600, TRUE, FALSE, 0, RESULT_BACKEND_SERVER_LEAVING},
        {"late, cannot, enough time", 3200, TRUE, FALSE, 0, RESULT_OK},
        {"sender stops later, can be repeated", 2000, FALSE, TRUE, 2500,
         RESULT_OK},
        {"sender stops later, cannot", 1600, FALSE, FALSE, 2500,
         RESULT_BACKEND_SERVER_LEAVING},
        {"sender stops earlier", 3000, FALSE, FALSE, 2000, RESULT_OK},
        {"sender leaves too little, can be repeated", 0, FALSE, TRUE, 700,
         RESULT_SHUTTING_DOWN},
        {"sender leaves enough, can be repeated", 0, FALSE, TRUE, 1000,
         RESULT_OK},
        {"sender leaves too little, cannot", 0, FALSE, FALSE, 600,
         RESULT_SHUTTING_DOWN},
        {"sender leaves enough, cannot", 0, FALSE, FALSE, 1000, RESULT_OK},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {.script = {.answer = ANSWER_OK}};
        BackendCall call = make_call();
        BackendReply reply;
        StopPlan plan;
        ClockMs now;

        open_fixture(&fixture);
        run_short(&fixture, cases[i].idempotent ? 0 : KNOWN_RUNS);
        now = Clock_Now();
        plan = (StopPlan){.begin = now,
                          .take_until = now + (cases[i].is_late ? -1 : 1000),
                          .abandon = now + cases[i].abandon_ms,
                          .end = now + cases[i].abandon_ms};
        if (cases[i].abandon_ms > 0) {
            Backend_Leave(fixture.backend, &plan);
        }
        call.run_allowance_ms = 1; /* the estimate decides */
        call.deadline = now + 8000;
        call.idempotent = cases[i].idempotent;
        if (cases[i].sender_ms > 0) {
            call.deadline = now + cases[i].sender_ms;
            call.ends_by_stop = TRUE;
        }
        Backend_Run(fixture.backend, &call, &reply);
        g_test_message("%s: %s", cases[i].name, Result_Name(reply.result));
        g_assert_cmpint(reply.result, ==, cases[i].result);
        g_assert_cmpint(reply.run, ==,
                        reply.result == RESULT_OK ? RUN_YES : RUN_NO);
        HttpAnswer_Clear(&reply.answer);
        close_fixture(&fixture);
    }
}

/* Guards against a run that may not be repeated, taken up late in a stop since
 * all runs before were short, and lost because it is not. */
static void
test_unknown_length(void)
{
    static const struct {
        const char *name;
        ClockMs end_ms; /* of this host */
        ClockMs deadline_ms;
        ClockMs allowance_ms;
        gboolean idempotent;
        gboolean ends_by_stop;
        gboolean is_local;
        Result result;
    } cases[] = {
        {"too little", 2400, 8000, 2500, FALSE, FALSE, FALSE,
         RESULT_BACKEND_SERVER_LEAVING},
        {"enough", 2700, 8000, 2500, FALSE, FALSE, FALSE, RESULT_OK},
        {"longer allowance", 2700, 8000, 3000, FALSE, FALSE, FALSE,
         RESULT_BACKEND_SERVER_LEAVING},
        {"of an earlier version", 2700, 8000, 0, FALSE, FALSE, FALSE,
         RESULT_BACKEND_SERVER_LEAVING},
        {"ends by itself", 1400, 1300, 2500, FALSE, FALSE, FALSE, RESULT_OK},
        {"ends later", 1400, 1500, 2500, FALSE, FALSE, FALSE,
         RESULT_BACKEND_SERVER_LEAVING},
        {"can be repeated", 2400, 8000, 2500, TRUE, FALSE, FALSE, RESULT_OK},
        {"can be repeated, sender stops", 2400, 4000, 2500, TRUE, TRUE, FALSE,
         RESULT_BACKEND_SERVER_LEAVING},
        {"can be repeated, sender stops earlier", 2400, 2300, 2500, TRUE, TRUE,
         FALSE, RESULT_OK},
        {"of this host's caller", 2400, 8000, 2500, FALSE, FALSE, TRUE,
         RESULT_OK},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {.script = {.answer = ANSWER_OK}};
        BackendCall call = make_call();
        BackendReply reply;
        StopPlan plan;
        ClockMs now;

        open_fixture(&fixture);
        run_short(&fixture, KNOWN_RUNS);
        now = Clock_Now();
        plan = (StopPlan){.begin = now,
                          .take_until = now + 1000,
                          .abandon = now + cases[i].end_ms,
                          .end = now + cases[i].end_ms};
        Backend_Leave(fixture.backend, &plan);
        call.target_time = now;
        call.deadline = now + cases[i].deadline_ms;
        call.run_allowance_ms = cases[i].allowance_ms;
        call.idempotent = cases[i].idempotent;
        call.ends_by_stop = cases[i].ends_by_stop;
        call.is_local = cases[i].is_local;
        Backend_Run(fixture.backend, &call, &reply);
        g_test_message("%s: %s", cases[i].name, Result_Name(reply.result));
        g_assert_cmpint(reply.result, ==, cases[i].result);
        g_assert_cmpint(reply.run, ==,
                        reply.result == RESULT_OK ? RUN_YES : RUN_NO);
        g_assert_cmpint(reply.report.stop_ms, >, 0);
        g_assert_cmpint(reply.report.stop_ms, <=, cases[i].end_ms);
        HttpAnswer_Clear(&reply.answer);
        close_fixture(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stop-runs/expected-end", test_runs_in_stop);
    g_test_add_func("/stop-runs/unknown-length", test_unknown_length);
    return g_test_run();
}
