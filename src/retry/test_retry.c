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

/* Guards against a budget that is used up by retries that were not sent. */
static void
test_return(void)
{
    RetryBudget budget;

    RetryBudget_Init(&budget, NULL, 0);
    for (int i = 0; i < 10; i++) {
        g_assert_true(RetryBudget_TakeRetry(&budget, 0));
        g_assert_false(RetryBudget_TakeRetry(&budget, 0));
        RetryBudget_ReturnRetry(&budget);
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

#define SENDERS 48
#define STEP_MS 100
#define STEPS 600
#define WINDOW_STEPS 100 /* 10 s */
#define RATIO 0.2
#define SLACK_PER_S 6.4
#define OWN_SHARE 0.6

typedef struct Spell {
    const char *name;
    int callers;       /* senders that have requests for the service */
    double rate_per_s; /* requests of all senders */
    double fail_share; /* during the spell, from 20 s to 30 s */
    double calm_share; /* at other times */
    int report_steps;  /* age of the rates that senders have */
} Spell;

typedef struct Retries {
    double wanted;
    double made;
    double max_usage; /* of the fleet's limit, in any window */
} Retries;

/* Replays one spell of failures with one budget for each sender. `feedback` is
 * FALSE for the baseline, an even division of the fleet's budget. */
static Retries
replay_spell(const Spell *spell, gboolean feedback)
{
    RetryBudget budgets[SENDERS];
    RetryRates rates[STEPS + 1] = {{0}};
    double firsts[STEPS] = {0};
    double retries[STEPS] = {0};
    Retries result = {0};
    Retry_desc desc = {.budget_percent = (uint32_t)(RATIO * 100 * OWN_SHARE),
                       .min_per_minute =
                           (uint32_t)(SLACK_PER_S * 60 * OWN_SHARE / SENDERS) +
                           1};
    Rng rng;

    Rng_Seed(&rng, 11);
    for (int i = 0; i < SENDERS; i++) {
        RetryBudget_Init(&budgets[i], &desc, 0);
    }
    for (int step = 0; step < STEPS; step++) {
        ClockMs now = (step + 1) * STEP_MS;
        gboolean in_spell = now > 20000 && now <= 30000;
        double fail = in_spell ? spell->fail_share : spell->calm_share;
        RetryRates known = rates[MAX(step - spell->report_steps, 0)];

        rates[step + 1] = RetryRates_At(&rates[step], now);
        for (int i = 0; i < spell->callers; i++) {
            double each = spell->rate_per_s * STEP_MS / 1000 / spell->callers;

            if (Rng_Unit(&rng) >= each) {
                continue;
            }
            if (feedback) {
                RetryBudget_SetRefill(
                    &budgets[i], RetryRates_Refill(&known, RATIO, SLACK_PER_S),
                    now);
            }
            RetryBudget_Request(&budgets[i], now);
            RetryRates_Add(&rates[step + 1], FALSE, now);
            firsts[step]++;
            for (int attempt = 1; attempt < 3 && Rng_Unit(&rng) < fail;
                 attempt++) {
                result.wanted++;
                if (!RetryBudget_TakeRetry(&budgets[i], now)) {
                    break;
                }
                RetryRates_Add(&rates[step + 1], TRUE, now);
                retries[step]++;
                result.made++;
            }
        }
    }
    for (int end = WINDOW_STEPS; end <= STEPS; end++) {
        double first = 0;
        double again = 0;

        for (int step = end - WINDOW_STEPS; step < end; step++) {
            first += firsts[step];
            again += retries[step];
        }
        result.max_usage =
            MAX(result.max_usage,
                again / (RATIO * first +
                         SLACK_PER_S * WINDOW_STEPS * STEP_MS / 1000));
    }
    return result;
}

/* Replays services that shed or fail for 10 s, with all senders or a few
 * calling them, and with reports that are up to 2 s old. Guards against
 * retries that are denied although the fleet's budget is hardly used, and
 * against exceeding it. */
static void
test_uneven_senders(void)
{
    static const Spell spells[] = {
        {"few callers", 13, 95, 0.55, 0.05, 5},
        {"few callers, old reports", 13, 95, 0.55, 0.05, 20},
        {"all callers", 48, 95, 0.55, 0.05, 5},
        {"all callers, many requests", 48, 320, 0.55, 0.05, 10},
        {"everything fails", 13, 95, 1, 0.05, 20},
        {"always failing", 48, 95, 0.3, 0.3, 20},
        {"calm", 13, 95, 0.05, 0.05, 5},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(spells); i++) {
        Retries even = replay_spell(&spells[i], FALSE);
        Retries shared = replay_spell(&spells[i], TRUE);

        g_test_message("%s: wanted %.0f made %.0f (even %.0f) usage %.2f "
                       "(even %.2f)",
                       spells[i].name, shared.wanted, shared.made, even.made,
                       shared.max_usage, even.max_usage);
        g_assert_cmpfloat(shared.max_usage, <=, 1);
        g_assert_cmpfloat(shared.made, >=, even.made);
    }
}

/* Guards against a sender with little traffic, whose reports are always old,
 * that gets no retries at all. */
static void
test_unknown_rates(void)
{
    RetryRates none = {0};
    RetryBudget budget;

    g_assert_cmpfloat(RetryRates_Refill(&none, RATIO, 0), ==, 1);
    RetryBudget_Init(&budget, &(Retry_desc){.min_per_minute = 60}, 0);
    g_assert_true(RetryBudget_TakeRetry(&budget, 0));
    RetryBudget_SetRefill(&budget, RetryRates_Refill(&none, RATIO, 0), 0);
    g_assert_true(RetryBudget_TakeRetry(&budget, 2000));
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
    g_test_add_func("/retry/uneven-senders", test_uneven_senders);
    g_test_add_func("/retry/unknown-rates", test_unknown_rates);
    g_test_add_func("/retry/backoff", test_backoff);
    g_test_add_func("/retry/return", test_return);
    return g_test_run();
}
