/* Tests of the answer that a caller receives after the last attempt. */
#include <glib.h>

#include "gateway/gateway_internal.h"

/* Guards against an error answer of a backend server that is lost because
 * later attempts were refused, and against reporting a request as not run that
 * an earlier attempt may have run. */
static void
test_choice(void)
{
    static const struct {
        const char *name;
        int failure;   /* status of an earlier error answer; 0: none */
        Result result; /* of the last attempt */
        RunState run;
        int status; /* of its answer; 0: none */
        gboolean maybe_run;
        int expected; /* status passed on; 0: an answer of our own */
        RunState expected_run;
    } cases[] = {
        {"success", 0, RESULT_OK, RUN_YES, 200, TRUE, 200, RUN_YES},
        {"success after an error", 500, RESULT_OK, RUN_YES, 200, TRUE, 200,
         RUN_YES},
        {"error", 0, RESULT_BACKEND_SERVER_ERROR, RUN_YES, 500, TRUE, 500,
         RUN_YES},
        {"two errors", 500, RESULT_BACKEND_SERVER_ERROR, RUN_YES, 504, TRUE,
         504, RUN_YES},
        {"refused", 0, RESULT_BACKEND_SERVER_BUSY, RUN_NO, 0, FALSE, 0,
         RUN_NO},
        {"refused by another daemon", 0, RESULT_BACKEND_SERVER_LEAVING, RUN_NO,
         503, FALSE, 0, RUN_NO},
        {"refused after an error", 500, RESULT_BACKEND_SERVER_BUSY, RUN_NO, 0,
         TRUE, 500, RUN_YES},
        {"refused by another daemon after an error", 500,
         RESULT_BACKEND_SERVER_LEAVING, RUN_NO, 503, TRUE, 500, RUN_YES},
        {"shed by a backend server after an error", 500,
         RESULT_BACKEND_SERVER_SHED, RUN_NO, 503, TRUE, 500, RUN_YES},
        {"unsigned answer after an error", 500, RESULT_ANSWER_MISMATCH,
         RUN_UNKNOWN, 200, TRUE, 500, RUN_YES},
        {"lost after an error", 500, RESULT_ANSWER_LOST, RUN_UNKNOWN, 0, TRUE,
         500, RUN_YES},
        {"refused after a lost answer", 0, RESULT_BACKEND_SERVER_LEAVING,
         RUN_NO, 503, TRUE, 0, RUN_UNKNOWN},
        {"unsigned answer", 0, RESULT_ANSWER_MISMATCH, RUN_UNKNOWN, 200, TRUE,
         0, RUN_UNKNOWN},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        BackendReply reply = {.result = cases[i].result,
                              .run = cases[i].run,
                              .answer.status = cases[i].status};
        HttpAnswer failure = {.status = cases[i].failure};

        g_test_message("%s", cases[i].name);
        _Gateway_ChooseAnswer(&reply, &failure, cases[i].maybe_run);
        g_assert_cmpint(_Gateway_IsAnswer(&reply), ==, cases[i].expected != 0);
        if (cases[i].expected != 0) {
            g_assert_cmpint(reply.answer.status, ==, cases[i].expected);
        }
        g_assert_cmpint(reply.run, ==, cases[i].expected_run);
        g_assert_cmpint(failure.status, ==, 0);
        HttpAnswer_Clear(&reply.answer);
    }
}

/* Guards against 499 for a caller that waits for its answer: the stop has
 * cancelled its request, which is refused as not run if no run had begun. */
static void
test_cancelled_by_stop(void)
{
    static const struct {
        Result result;
        gboolean by_stop;
        int status;
    } cases[] = {{RESULT_CANCELLED, TRUE, 503},
                 {RESULT_CANCELLED, FALSE, 499},
                 {RESULT_BACKEND_SERVER_BUSY, TRUE, 503},
                 {RESULT_RATE_EXCEEDED, TRUE, 429}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Result result = _Gateway_EndResult(cases[i].result, cases[i].by_stop);

        g_test_message("%s: %s", Result_Name(cases[i].result),
                       Result_Name(result));
        g_assert_cmpint(Result_HttpStatus(result), ==, cases[i].status);
    }
}

/* Guards against a sender that takes the time in which it was suspended itself
 * for the time on the way, or for hosts out of reach, and sends requests
 * elsewhere for seconds after. */
static void
test_suspended(void)
{
    static const struct {
        Result result;
        gboolean arrived;
        uint32_t slots; /* 0: no report of the owner */
        ClockMs owner_ms;
        ClockMs left_ms;
        ClockMs paused_ms;
        gboolean unreachable;
        ClockMs transit_ms;
    } cases[] = {
        {RESULT_OK, TRUE, 4, 440, 1000, 0, FALSE, 60},
        {RESULT_OK, TRUE, 4, 440, 1000, 4000, FALSE, -1},
        {RESULT_OK, TRUE, 4, 600, 1000, 0, FALSE, 0},
        {RESULT_OK, TRUE, 4, -1, 1000, 0, FALSE, -1},
        {RESULT_CONNECT_FAILED, FALSE, 0, 0, 1000, 0, TRUE, -1},
        {RESULT_CONNECT_FAILED, FALSE, 0, 0, 1000, 4000, FALSE, -1},
        {RESULT_ANSWER_LOST, TRUE, 0, 0, 1000, 0, TRUE, -1},
        {RESULT_ANSWER_LOST, TRUE, 0, 0, 1000, 4000, FALSE, -1},
        {RESULT_DEADLINE_EXPIRED, TRUE, 0, 0, 0, 0, FALSE, -1},
        {RESULT_DEADLINE_EXPIRED, TRUE, 0, 0, 1000, 0, TRUE, -1},
        {RESULT_CANCELLED, TRUE, 0, 0, 1000, 0, FALSE, -1},
        {RESULT_BACKEND_SERVER_OTHER, FALSE, 4, 1, 1000, 4000, TRUE, -1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        BackendReply reply = {.result = cases[i].result,
                              .arrived = cases[i].arrived,
                              .report.slots = cases[i].slots,
                              .server_ms = 500,
                              .owner_ms = cases[i].owner_ms};

        g_test_message("case %zu", i);
        g_assert_cmpint(_Gateway_IsUnreachable(&reply, cases[i].left_ms,
                                               cases[i].paused_ms),
                        ==, cases[i].unreachable);
        g_assert_cmpint(_Gateway_TransitMs(&reply, cases[i].paused_ms), ==,
                        cases[i].transit_ms);
    }
}

/* Guards against a host that is taken for unreachable because this one had no
 * room for its answer. */
static void
test_answer_without_room(void)
{
    static const struct {
        Result result;
        gboolean unreachable;
    } cases[] = {{RESULT_OVERLOADED, FALSE},
                 {RESULT_TOO_LARGE, FALSE},
                 {RESULT_ANSWER_LOST, TRUE},
                 {RESULT_CONNECT_FAILED, TRUE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        BackendReply reply = {.result = cases[i].result, .arrived = TRUE};

        g_test_message("%s", Result_Name(reply.result));
        g_assert_cmpint(_Gateway_IsUnreachable(&reply, 1000, 0), ==,
                        cases[i].unreachable);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/gateway-answer/choice", test_choice);
    g_test_add_func("/gateway-answer/suspended", test_suspended);
    g_test_add_func("/gateway-answer/without-room", test_answer_without_room);
    g_test_add_func("/gateway-answer/cancelled-by-stop",
                    test_cancelled_by_stop);
    return g_test_run();
}
