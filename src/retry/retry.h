/* Retry: decides whether a failed request is sent again, within a budget.
 *
 * Use, at the entry:
 *  1. RetryBudget_Init() one budget for each service.
 *  2. RetryBudget_Request() for each first attempt.
 *  3. After an attempt that failed, Retry_Decide(). On RETRY_AGAIN wait
 *     backoff_ms, then send to a place that has not failed in this request;
 *     the decision has taken one retry from the budget. Any other answer is
 *     final and says why.
 *
 * The budget is a token bucket: every first attempt adds `percent`/100 of a
 * retry, and time adds `min_per_s`, up to `burst_s` seconds of both.
 *
 * An issuance is repeated only when its run state is RUN_NO. Other requests
 * are repeated when their run state is RUN_NO or they are idempotent.
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
    uint32_t budget_percent;  /* retries, in percent of first attempts (10) */
    uint32_t min_per_s;       /* retries a second at any traffic (1) */
    uint32_t min_per_minute;  /* instead of min_per_s, for hosts with little
                                 traffic; 0: not used */
    uint32_t burst_s;         /* seconds of budget that can be saved (5) */
    uint32_t max_attempts;    /* with the first one (3) */
    ClockMs min_time_left_ms; /* less left: no retry (5) */
    ClockMs backoff_ms;       /* mean wait before the first retry (10) */
    ClockMs backoff_max_ms;   /* (200) */
} Retry_desc;

typedef struct RetryBudget {
    Retry_desc desc;
    double tokens;
    double rate_per_s; /* recent first attempts */
    ClockMs updated;
} RetryBudget;

typedef struct RetryInput {
    Result result;          /* of the failed attempt */
    RunState run;           /* whether it ran */
    gboolean idempotent;    /* the request may run twice */
    gboolean issuance;      /* the route issues: never run twice */
    gboolean other_place;   /* a place that has not failed exists */
    uint32_t attempts;      /* made so far, with the failed one */
    uint32_t route_retries; /* retries that the route allows */
    ClockMs time_left_ms;   /* until the caller's deadline */
} RetryInput;

typedef enum RetryReason {
    RETRY_AGAIN,
    RETRY_FINAL_DONE,     /* succeeded, or refused for what it is */
    RETRY_FINAL_MAY_RUN,  /* it may have run and must not run twice */
    RETRY_FINAL_ATTEMPTS, /* enough attempts */
    RETRY_FINAL_DEADLINE, /* too little time left */
    RETRY_FINAL_NO_PLACE, /* every place has failed */
    RETRY_FINAL_BUDGET    /* the budget is used up */
} RetryReason;

typedef struct RetryDecision {
    RetryReason reason;
    ClockMs backoff_ms; /* 0 unless the attempt met overload */
} RetryDecision;

/* NULL stands for all defaults. A budget starts with one second of
 * min_per_s. */
void RetryBudget_Init(RetryBudget *budget, const Retry_desc *desc,
                      ClockMs now);
/* Counts a first attempt. */
void RetryBudget_Request(RetryBudget *budget, ClockMs now);

/* TRUE if a retry could be taken now. */
gboolean RetryBudget_HasRetry(RetryBudget *budget, ClockMs now);

/* Takes a retry without a decision; FALSE if the budget is used up. */
gboolean RetryBudget_TakeRetry(RetryBudget *budget, ClockMs now);

/* Takes repeats that others made against the same limit; may leave the budget
 * in debt, by at most what it can hold. */
void RetryBudget_Debit(RetryBudget *budget, double retries, ClockMs now);

/* `desc` is used when budget is NULL; else the budget's settings count. */
RetryDecision Retry_Decide(RetryBudget *budget, const Retry_desc *desc,
                           const RetryInput *input, ClockMs now, Rng *rng);

/* "again", "done", "may_run", "attempts", "deadline", "no_place",
 * "budget". */
const char *Retry_ReasonName(RetryReason reason);

#endif
