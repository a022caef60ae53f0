#include "retry/retry.h"

#include <math.h>

/* Time constant of the moving rate of first attempts, which determines the
 * size of the bucket. */
#define RATE_TIME_CONSTANT_S 5.0

/* Time constant of the rates that owners measure. */
#define MEASURE_TIME_CONSTANT_S 5.0

/* Maximum factor of the refill, used while the fleet makes few retries. It
 * falls to 0 between these two shares of the fleet's limit. */
#define MAX_REFILL 3.0
#define FULL_REFILL_USAGE 0.4
#define NO_REFILL_USAGE 0.75

static const Retry_desc defaults = {
    .budget_percent = 10,
    .min_per_s = 1,
    .burst_s = 5,
    .max_attempts = 3,
    .min_time_left_ms = 5,
    .backoff_ms = 10,
    .backoff_max_ms = 200,
};

#define USE_DEFAULT(field)               \
    if (resolved.field == 0) {           \
        resolved.field = defaults.field; \
    }

static Retry_desc
resolve(const Retry_desc *desc)
{
    Retry_desc resolved = desc ? *desc : defaults;

    USE_DEFAULT(budget_percent)
    if (resolved.min_per_minute == 0) {
        USE_DEFAULT(min_per_s)
    }
    USE_DEFAULT(burst_s)
    USE_DEFAULT(max_attempts)
    USE_DEFAULT(min_time_left_ms)
    USE_DEFAULT(backoff_ms)
    USE_DEFAULT(backoff_max_ms)
    return resolved;
}

/* Retries per second that are granted regardless of traffic. */
static double
min_rate(const Retry_desc *desc)
{
    return desc->min_per_minute > 0 ? desc->min_per_minute / 60.0
                                    : desc->min_per_s;
}

void
RetryBudget_Init(RetryBudget *budget, const Retry_desc *desc, ClockMs now)
{
    *budget =
        (RetryBudget){.desc = resolve(desc), .refill = 1, .updated = now};
    budget->tokens = MAX(min_rate(&budget->desc), 1);
}

static double
bucket_size(const RetryBudget *budget)
{
    return budget->desc.burst_s *
           (min_rate(&budget->desc) +
            budget->rate_per_s * budget->desc.budget_percent / 100);
}

static void
refill_tokens(RetryBudget *budget, ClockMs now)
{
    double seconds = (double)MAX(now - budget->updated, 0) / 1000;

    if (seconds > 0) {
        budget->updated = now;
        budget->rate_per_s *= exp(-seconds / RATE_TIME_CONSTANT_S);
        budget->tokens += seconds * min_rate(&budget->desc) * budget->refill;
    }
    budget->tokens = MIN(budget->tokens, bucket_size(budget));
}

void
RetryBudget_Request(RetryBudget *budget, ClockMs now)
{
    budget->rate_per_s += 1 / RATE_TIME_CONSTANT_S;
    budget->tokens += budget->desc.budget_percent / 100.0 * budget->refill;
    refill_tokens(budget, now);
}

void
RetryBudget_SetRefill(RetryBudget *budget, double refill, ClockMs now)
{
    refill_tokens(budget, now);
    budget->refill = refill;
}

RetryRates
RetryRates_At(const RetryRates *rates, ClockMs now)
{
    double seconds = (double)MAX(now - rates->updated, 0) / 1000;
    double decay = exp(-seconds / MEASURE_TIME_CONSTANT_S);

    return (RetryRates){.per_s = rates->per_s * decay,
                        .retries_per_s = rates->retries_per_s * decay,
                        .updated = now};
}

void
RetryRates_Add(RetryRates *rates, gboolean is_retry, ClockMs now)
{
    *rates = RetryRates_At(rates, now);
    rates->per_s += 1 / MEASURE_TIME_CONSTANT_S;
    rates->retries_per_s += is_retry ? 1 / MEASURE_TIME_CONSTANT_S : 0;
}

double
RetryRates_Usage(const RetryRates *rates, double ratio, double slack_per_s)
{
    double limit = ratio * (rates->per_s - rates->retries_per_s) + slack_per_s;

    return limit > 0 ? rates->retries_per_s / limit : 0;
}

double
RetryRates_Refill(const RetryRates *rates, double ratio, double slack_per_s)
{
    double left;

    if (ratio * (rates->per_s - rates->retries_per_s) + slack_per_s <= 0) {
        return 1;
    }
    left = (NO_REFILL_USAGE - RetryRates_Usage(rates, ratio, slack_per_s)) /
           (NO_REFILL_USAGE - FULL_REFILL_USAGE);
    return MAX_REFILL * CLAMP(left, 0, 1);
}

gboolean
RetryBudget_HasRetry(RetryBudget *budget, ClockMs now)
{
    refill_tokens(budget, now);
    return budget->tokens >= 1;
}

void
RetryBudget_Debit(RetryBudget *budget, double retries, ClockMs now)
{
    refill_tokens(budget, now);
    budget->tokens = MAX(budget->tokens - retries, -bucket_size(budget));
}

gboolean
RetryBudget_TakeRetry(RetryBudget *budget, ClockMs now)
{
    if (!RetryBudget_HasRetry(budget, now)) {
        return FALSE;
    }
    budget->tokens -= 1;
    return TRUE;
}

void
RetryBudget_ReturnRetry(RetryBudget *budget)
{
    budget->tokens += 1;
}

/* Results for which an attempt at another target may succeed. All other
 * results concern the request or the caller. */
static gboolean
is_target_fault(Result result)
{
    switch (result) {
    case RESULT_IO:
    case RESULT_OVERLOADED:
    case RESULT_BACKEND_SERVER_BUSY:
    case RESULT_BACKEND_SERVER_LEAVING:
    case RESULT_CONNECT_FAILED:
    case RESULT_ANSWER_LOST:
    case RESULT_ANSWER_TRUNCATED:
    case RESULT_ANSWER_MISMATCH:
    case RESULT_SHUTTING_DOWN:
    case RESULT_BACKEND_SERVER_EJECTED:
    case RESULT_BACKEND_SERVER_SHED:
    case RESULT_BACKEND_SERVER_OTHER:
    case RESULT_BACKEND_SERVER_ERROR:
    case RESULT_CONNECTION_SILENT:
    case RESULT_REQUEST_ID_VOID:
        return TRUE;
    default:
        return FALSE;
    }
}

static gboolean
is_overload(Result result)
{
    return result == RESULT_OVERLOADED || result == RESULT_BACKEND_SERVER_BUSY;
}

/* Full jitter: uniform in [0, 2 * mean), where the mean doubles with each
 * attempt, so that the callers of an overloaded pool do not retry at the same
 * time. */
static ClockMs
draw_backoff(const Retry_desc *desc, uint32_t attempts, Rng *rng)
{
    ClockMs mean = desc->backoff_ms;

    for (uint32_t i = 1; i < attempts && mean < desc->backoff_max_ms; i++) {
        mean *= 2;
    }
    mean = MIN(mean, desc->backoff_max_ms);
    return (ClockMs)Rng_Below(rng, (uint64_t)(2 * mean));
}

static RetryReason
check_rules(const Retry_desc *desc, const RetryInput *input)
{
    uint32_t max_attempts = MIN(desc->max_attempts, 1 + input->route_retries);

    if (!is_target_fault(input->result)) {
        return RETRY_FINAL_DONE;
    }
    if (input->run != RUN_NO && (input->issuance || !input->idempotent)) {
        return RETRY_FINAL_MAY_RUN;
    }
    if (input->attempts >= max_attempts) {
        return RETRY_FINAL_ATTEMPTS;
    }
    if (input->time_left_ms < desc->min_time_left_ms) {
        return RETRY_FINAL_DEADLINE;
    }
    return input->other_target ? RETRY_AGAIN : RETRY_FINAL_NO_TARGET;
}

RetryDecision
Retry_Decide(RetryBudget *budget, const Retry_desc *desc,
             const RetryInput *input, ClockMs now, Rng *rng)
{
    Retry_desc settings = budget ? budget->desc : resolve(desc);
    RetryDecision decision = {.reason = check_rules(&settings, input)};

    if (decision.reason != RETRY_AGAIN) {
        return decision;
    }
    if (is_overload(input->result)) {
        decision.backoff_ms = draw_backoff(&settings, input->attempts, rng);
        if (decision.backoff_ms + settings.min_time_left_ms >
            input->time_left_ms) {
            return (RetryDecision){.reason = RETRY_FINAL_DEADLINE};
        }
    }
    if (budget && !RetryBudget_TakeRetry(budget, now)) {
        return (RetryDecision){.reason = RETRY_FINAL_BUDGET};
    }
    return decision;
}

const char *
Retry_ReasonName(RetryReason reason)
{
    static const char *const names[] = {"again",    "done",     "may_run",
                                        "attempts", "deadline", "no_place",
                                        "budget"};

    return (size_t)reason < G_N_ELEMENTS(names) ? names[reason] : "?";
}
