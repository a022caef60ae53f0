/* ReturnTime: when a caller whose request was refused should send it again.
 *
 * Load pattern: a service is full, many callers are refused within a short
 * time, and all of them return. If they return at once, they find it full
 * again and add load; if they return together, they form the next peak. Each
 * one is therefore told to return when the backlog that it met will have been
 * served, with a random part that is smaller for more urgent requests, so that
 * these come first.
 *
 * Use: ReturnTime_Backlog() for each owner that is full, ReturnTime_Compute()
 * for each refusal that promises that the request has not run. A request whose
 * allowed regions are out of reach returns when a host there is tried again,
 * or earlier if its caller does not wait that long.
 * RETURN_TIME_NONE means that the caller should not be told to return: it
 * would be past the time that callers are prepared to wait.
 *
 * Errors and limits: none; a pure function.
 */
#ifndef GATEWAY_RETURN_TIME_H
#define GATEWAY_RETURN_TIME_H

#include <glib.h>

#include "base/clock.h"
#include "base/result.h"
#include "roster/roster.h"

#define RETURN_TIME_NONE (-1)

typedef struct ReturnInput {
    Result result;
    ClockMs backlog_ms; /* shortest wait for a slot among the owners that
                           refused; 0: unknown */
    ClockMs away_ms;    /* time until a host in the allowed regions is tried
                           again; 0: unknown */
    ClockMs token_ms;   /* mean time between two requests within the team's
                           rate; 0: no limit */
    ClockMs left_ms;    /* time that the caller has left */
    int priority;       /* of the request; 0 is the most urgent */
} ReturnInput;

/* Wait for a slot of an owner that is full, or for the next request that its
 * cold backend server accepts, by its report; its slots must not be 0. */
ClockMs ReturnTime_Backlog(const RosterReport *report);

/* `unit` is a random number in [0, 1). */
ClockMs ReturnTime_Compute(const ReturnInput *input, double unit);

#endif
