/* Retry: decides whether a failed request is sent again, within a budget.
 *
 * Use, at the entry:
 *  1. RetryBudget_Init() one budget for each service.
 *  2. RetryBudget_Request() for each first attempt.
 *  3. Retry_Decide() after a failed attempt. On RETRY_AGAIN wait backoff_ms,
 *     then send to a target that has not failed in this request; the decision
 *     has taken one retry from the budget. Any other reason is final and says
 *     why the request is not retried.
 *
 * The budget is a token bucket. Every first attempt adds `budget_percent`/100
 * of a retry, and elapsed time adds `min_per_s` retries per second, up to
 * `burst_s` seconds of both.
 *
 * A fleet's budget is divided evenly, but failures are not: some senders run
 * out while others keep what they do not need. Each owner therefore measures
 * the rates of requests and retries that it receives (RetryRates_Add()), and
 * the senders refill faster while the fleet as a whole is below its limit, and
 * stop when it gets near (RetryRates_Refill(), RetryBudget_SetRefill()). Load
 * pattern: a service that sheds or fails part of its requests for some
 * seconds.
 *
 * An issuance is retried only if its run state is RUN_NO. Other requests are
 * retried if their run state is RUN_NO or they are idempotent.
 *
 * Locking: none inside; the caller holds one mutex for each budget. Calls take
 * some tens of nanoseconds and allocate nothing. Retry_Decide() with a NULL
 * budget decides without one (for tests and comparisons).
 */
#ifndef RETRY_RETRY_H
#define RETRY_RETRY_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"
#include "base/rng.h"

/* Settings; zero means the default. */
typedef struct Retry_desc {
    uint32_t budget_percent;  /* retries in percent of first attempts (10) */
    uint32_t min_per_s;       /* retries per second at any traffic (1) */
    uint32_t min_per_minute;  /* replaces min_per_s on hosts with little
                                 traffic; 0: not used */
    uint32_t burst_s;         /* maximum unused budget, in seconds (5) */
    uint32_t max_attempts;    /* attempts, including the first one (3) */
    ClockMs min_time_left_ms; /* minimum time left for a retry (5) */
    ClockMs backoff_ms;       /* mean wait before the first retry (10) */
    ClockMs backoff_max_ms;   /* maximum mean wait (200) */
} Retry_desc;

typedef struct RetryBudget {
    Retry_desc desc;
    double tokens;
    double rate_per_s; /* moving rate of first attempts */
    double refill;     /* factor of the refill, see RetryBudget_SetRefill() */
    ClockMs updated;
} RetryBudget;

/* Part of the fleet's limit that the even shares of all senders add up to. The
 * rest covers calls made by requests that are retries themselves, and uneven
 * traffic. */
#define RETRY_EVEN_SHARE 0.6

/* Usage of the fleet's limit below which single owners may exceed their part
 * of it (retry/retry_limit.h). The senders aim at somewhat less, 0.63 if
 * everything fails. */
#define RETRY_CALM_USAGE 0.7

/* Rates of requests and of retries among them, moving averages. */
typedef struct RetryRates {
    double per_s;         /* requests that reached a backend server */
    double retries_per_s; /* of these, retries */
    ClockMs updated;
} RetryRates;

typedef struct RetryInput {
    Result result;          /* result of the failed attempt */
    RunState run;           /* whether the failed attempt ran */
    gboolean idempotent;    /* the request may run twice */
    gboolean issuance;      /* the route issues: must never run twice */
    gboolean other_target;  /* a target that has not failed exists */
    uint32_t attempts;      /* number of attempts, including the failed one */
    uint32_t route_retries; /* number of retries that the route allows */
    ClockMs time_left_ms;   /* time until the caller's deadline */
} RetryInput;

typedef enum RetryReason {
    RETRY_AGAIN,
    RETRY_FINAL_DONE,      /* succeeded, or another target cannot help */
    RETRY_FINAL_MAY_RUN,   /* may have run and must not run twice */
    RETRY_FINAL_ATTEMPTS,  /* maximum number of attempts reached */
    RETRY_FINAL_DEADLINE,  /* too little time left */
    RETRY_FINAL_NO_TARGET, /* every target has failed */
    RETRY_FINAL_BUDGET     /* the budget is exhausted */
} RetryReason;

typedef struct RetryDecision {
    RetryReason reason;
    ClockMs backoff_ms; /* 0 unless the target was overloaded */
} RetryDecision;

/* NULL stands for all defaults. A budget starts with one second of min_per_s,
 * but at least one retry. */
void RetryBudget_Init(RetryBudget *budget, const Retry_desc *desc,
                      ClockMs now);
/* Counts a first attempt. */
void RetryBudget_Request(RetryBudget *budget, ClockMs now);

/* TRUE if a retry can be taken at `now`. */
gboolean RetryBudget_HasRetry(RetryBudget *budget, ClockMs now);

/* Takes a retry without a decision; FALSE if the budget is exhausted. */
gboolean RetryBudget_TakeRetry(RetryBudget *budget, ClockMs now);

/* Returns a retry that was taken and has not been sent. */
void RetryBudget_ReturnRetry(RetryBudget *budget);

/* Deducts retries that other senders made against the same limit. The balance
 * may become negative, down to minus the size of the bucket. */
void RetryBudget_Debit(RetryBudget *budget, double retries, ClockMs now);

/* Sets the factor by which the refill differs from the sender's even share. */
void RetryBudget_SetRefill(RetryBudget *budget, double refill, ClockMs now);

/* Counts a request that reached a backend server. */
void RetryRates_Add(RetryRates *rates, gboolean is_retry, ClockMs now);

/* Returns the rates at `now`. */
RetryRates RetryRates_At(const RetryRates *rates, ClockMs now);

/* Returns the factor of the refill for the rates of a whole service, where the
 * fleet may retry `ratio` of the first attempts and `slack_per_s` on top; 1 if
 * nothing is known of the service. */
double RetryRates_Refill(const RetryRates *rates, double ratio,
                         double slack_per_s);

/* Share of the fleet's limit of retries that these rates use; 0 if nothing is
 * known of the service. */
double RetryRates_Usage(const RetryRates *rates, double ratio,
                        double slack_per_s);

/* `desc` is used only if budget is NULL; otherwise the budget's settings
 * apply. */
RetryDecision Retry_Decide(RetryBudget *budget, const Retry_desc *desc,
                           const RetryInput *input, ClockMs now, Rng *rng);

/* "again", "done", "may_run", "attempts", "deadline", "no_place",
 * "budget". */
const char *Retry_ReasonName(RetryReason reason);

#endif
