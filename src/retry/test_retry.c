/* Tests of retry decisions and of the budget. */
#include <glib.h>

#include "retry/retry.h"

typedef struct Case {
    const char *name;
    RetryInput input;
    RetryReason reason;
} Case;

#define BASE                                                 \
    .idempotent = TRUE, .other_target = TRUE, .attempts = 1, \
    .route_retries = 2, .time_left_ms = 500

/* Guards against a second run of an issuance, retries of failures that another
 * target cannot remedy, and retries beyond the limits. */
static void
test_decisions(void)
{
    static const Case cases[] = {
        {"ok", {RESULT_OK, RUN_YES, BASE}, RETRY_FINAL_DONE},
        {"refused", {RESULT_KEY_UNKNOWN, RUN_NO, BASE}, RETRY_FINAL_DONE},
        {"rate", {RESULT_RATE_EXCEEDED, RUN_NO, BASE}, RETRY_FINAL_DONE},
        {"deadline",
         {RESULT_DEADLINE_EXPIRED, RUN_NO, BASE},
         RETRY_FINAL_DONE},
        {"cancelled", {RESULT_CANCELLED, RUN_UNKNOWN, BASE}, RETRY_FINAL_DONE},
        {"connect", {RESULT_CONNECT_FAILED, RUN_NO, BASE}, RETRY_AGAIN},
        {"lost, idempotent",
         {RESULT_ANSWER_LOST, RUN_UNKNOWN, BASE},
         RETRY_AGAIN},
        {"wrong, idempotent",
         {RESULT_ANSWER_MISMATCH, RUN_YES, BASE},
         RETRY_AGAIN},
        {"lost, not idempotent",
         {RESULT_ANSWER_LOST, RUN_UNKNOWN, .other_target = TRUE, .attempts = 1,
          .route_retries = 2, .time_left_ms = 500},
         RETRY_FINAL_MAY_RUN},
        {"connect, not idempotent",
         {RESULT_CONNECT_FAILED, RUN_NO, .other_target = TRUE, .attempts = 1,
          .route_retries = 2, .time_left_ms = 500},
         RETRY_AGAIN},
        {"issuance, unknown",
         {RESULT_ANSWER_LOST, RUN_UNKNOWN, BASE, .issuance = TRUE},
         RETRY_FINAL_MAY_RUN},
        {"issuance, ran",
         {RESULT_ANSWER_TRUNCATED, RUN_YES, BASE, .issuance = TRUE},
         RETRY_FINAL_MAY_RUN},
        {"issuance, not run",
         {RESULT_CONNECT_FAILED, RUN_NO, BASE, .issuance = TRUE},
         RETRY_AGAIN},
        {"no target",
         {RESULT_CONNECT_FAILED, RUN_NO, .attempts = 1, .route_retries = 2,
          .time_left_ms = 500},
         RETRY_FINAL_NO_TARGET},
        {"route allows none",
         {RESULT_CONNECT_FAILED, RUN_NO, .other_target = TRUE, .attempts = 1,
          .time_left_ms = 500},
         RETRY_FINAL_ATTEMPTS},
        {"third attempt",
         {RESULT_CONNECT_FAILED, RUN_NO, .other_target = TRUE, .attempts = 3,
          .route_retries = 9, .time_left_ms = 500},
         RETRY_FINAL_ATTEMPTS},
        {"no time",
         {RESULT_CONNECT_FAILED, RUN_NO, .other_target = TRUE, .attempts = 1,
          .route_retries = 2, .time_left_ms = 4},
         RETRY_FINAL_DEADLINE},
    };
    Rng rng;

    Rng_Seed(&rng, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        RetryBudget budget;
        RetryDecision decision;

        RetryBudget_Init(&budget, NULL, 0);
        decision = Retry_Decide(&budget, NULL, &cases[i].input, 0, &rng);
        g_test_message("%s: %s", cases[i].name,
                       Retry_ReasonName(decision.reason));
        g_assert_cmpint(decision.reason, ==, cases[i].reason);
        g_assert_cmpint(decision.backoff_ms, ==, 0);
    }
}

/* Guards against any combination of inputs for which an issuance that may have
 * run, or a request that must not run twice, is sent again. */
static void
test_never_twice(void)
{
    Rng rng;

    Rng_Seed(&rng, 2);
    for (int i = 0; i < 200000; i++) {
        Result result;
        RetryInput input = {
            .run = (RunState)Rng_Below(&rng, 3),
            .idempotent = Rng_Below(&rng, 2) != 0,
            .issuance = Rng_Below(&rng, 2) != 0,
            .other_target = TRUE,
            .attempts = 1,
            .route_retries = 5,
            .time_left_ms = 1000,
        };

        if (!Result_FromNumber((int)Rng_Below(&rng, 400), &result)) {
            continue;
        }
        input.result = result;
        if (Retry_Decide(NULL, NULL, &input, 0, &rng).reason == RETRY_AGAIN) {
            g_assert_true(input.run == RUN_NO ||
                          (input.idempotent && !input.issuance));
        }
    }
}

/* Guards against a budget that permits more retries than its share, or none at
 * low traffic. */
static void
test_budget(void)
{
    static const struct {
        int requests_per_s;
        int seconds;
    } loads[] = {{1, 60}, {20, 60}, {1000, 60}, {5000, 20}};
    RetryInput input = {RESULT_CONNECT_FAILED, RUN_NO, BASE};
    Rng rng;

    Rng_Seed(&rng, 3);
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        RetryBudget budget;
        int retries = 0;
        int requests = loads[i].requests_per_s * loads[i].seconds;
        double share = loads[i].requests_per_s * 0.1;

        RetryBudget_Init(&budget, NULL, 0);
        for (int n = 0; n < requests; n++) {
            ClockMs now = (ClockMs)n * 1000 / loads[i].requests_per_s;

            RetryBudget_Request(&budget, now);
            for (int k = 0; k < 2; k++) {
                retries +=
                    Retry_Decide(&budget, NULL, &input, now, &rng).reason ==
                    RETRY_AGAIN;
            }
        }
        g_assert_cmpfloat(retries, <=,
                          (share + 1) * loads[i].seconds + 5 * (share + 1));
        g_assert_cmpfloat(retries, >=, (share + 1) * loads[i].seconds * 0.9);
    }
}

/* Guards against a burst of retries from a budget that accumulated during an
 * idle hour. */
static void
test_budget_is_capped(void)
{
    RetryInput input = {RESULT_CONNECT_FAILED, RUN_NO, BASE};
    RetryBudget budget;
    int retries = 0;
    Rng rng;

    Rng_Seed(&rng, 4);
    RetryBudget_Init(&budget, NULL, 0);
    while (Retry_Decide(&budget, NULL, &input, 3600000, &rng).reason ==
           RETRY_AGAIN) {
        retries++;
    }
    g_assert_cmpint(retries, <=, 5);
    g_assert_cmpint(Retry_Decide(&budget, NULL, &input, 3600000, &rng).reason,
                    ==, RETRY_FINAL_BUDGET);
}

/* Guards against retries beyond the limit of a service whose callers also
 * retry their own work, because each such run calls the service once more. */
static void
test_debit(void)
{
    Retry_desc desc = {.budget_percent = 10, .min_per_minute = 6};
    RetryBudget budget;
    int retries = 0;

    RetryBudget_Init(&budget, &desc, 0);
    for (ClockMs now = 0; now < 60000; now += 50) {
        RetryBudget_Request(&budget, now);
        /* A tenth of the requests come from retried runs. */
        RetryBudget_Debit(&budget, 0.1, now);
        retries += RetryBudget_TakeRetry(&budget, now);
    }
    /* 6 per minute, plus the initial token. */
    g_assert_cmpint(retries, <=, 8);
    RetryBudget_Debit(&budget, 1e9, 60000);
    for (ClockMs now = 60000; now < 120000; now += 50) {
        RetryBudget_Request(&budget, now);
        retries += RetryBudget_TakeRetry(&budget, now);
    }
    g_assert_cmpint(retries, >, 50);
}

/* Guards against retries after overload that arrive at the same time, and
 * against a wait beyond the deadline. */
static void
test_backoff(void)
{
    RetryInput input = {RESULT_BACKEND_SERVER_BUSY, RUN_NO, BASE};
    gboolean low = FALSE;
    gboolean high = FALSE;
    Rng rng;

    Rng_Seed(&rng, 5);
    for (int i = 0; i < 1000; i++) {
        ClockMs wait = Retry_Decide(NULL, NULL, &input, 0, &rng).backoff_ms;

        g_assert_cmpint(wait, <, 20);
        low = low || wait < 5;
        high = high || wait >= 15;
    }
    g_assert_true(low && high);
    input.time_left_ms = 5;
    for (int i = 0; i < 1000; i++) {
        RetryDecision decision = Retry_Decide(NULL, NULL, &input, 0, &rng);

        g_assert_true(decision.reason == RETRY_FINAL_DEADLINE ||
                      decision.backoff_ms == 0);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry/decisions", test_decisions);
    g_test_add_func("/retry/never_twice", test_never_twice);
    g_test_add_func("/retry/budget", test_budget);
    g_test_add_func("/retry/budget_is_capped", test_budget_is_capped);
    g_test_add_func("/retry/debit", test_debit);
    g_test_add_func("/retry/backoff", test_backoff);
    return g_test_run();
}
