/* StopPlan: the times of a graceful stop, and which requests are still taken
 * in it.
 *
 * Load pattern: many hosts stop within a short time, in a planned roll of the
 * fleet. Callers then go on using a host that is not ready, because the other
 * hosts of its data centre are stopping, too. A request that is taken late is
 * passed on and cut at the end of the grace period, when its backend server is
 * at work and the request may not be sent again. Here
 *  - a request is taken in the first part of the stop, so that it can end in
 *    the rest;
 *  - later only a request that ends by itself before the stop does, because
 *    its own deadline is earlier; most calls of running requests are so;
 *  - any other one is refused as not run at once, so that its caller can
 *    return when the host has started again;
 *  - an owner takes up a run only if it expects it to end before the stop
 *    does, so that any other one goes to another backend server in time;
 *  - a run that nobody can begin anew elsewhere is lost if it is cut, and a
 *    single run may take far longer than those before it: whatever is
 * expected, an owner takes none up without the time that its sender allows for
 * a run.
 *
 * Use: StopPlan_None() until a stop begins, then StopPlan_Make();
 * StopPlan_Takes() for each request once it has been read whole,
 * StopPlan_TakesRun() before each run, and StopPlan_LeavesTime() before each
 * one that would be lost.
 *
 * Errors and limits: none; pure functions.
 */
#ifndef STOP_STOP_PLAN_H
#define STOP_STOP_PLAN_H

#include <glib.h>

#include "base/clock.h"

typedef struct StopPlan {
    ClockMs begin;
    ClockMs take_until; /* every request that arrives until then is taken */
    ClockMs abandon;    /* requests in flight get their final answer */
    ClockMs end;        /* the process has ended */
} StopPlan;

/* The plan of a daemon that does not stop; takes everything. */
StopPlan StopPlan_None(void);

/* `grace_ms` is the time from `begin` until the process is killed. */
StopPlan StopPlan_Make(ClockMs begin, ClockMs grace_ms);

/* Whether to take a request that has arrived, with its body, now and ends by
 * `deadline`, whatever happens. */
gboolean StopPlan_Takes(const StopPlan *plan, ClockMs deadline, ClockMs now);

/* Whether to take up a run that is expected to last `expected_ms` from now,
 * and ends by `deadline`, whatever happens. */
gboolean StopPlan_TakesRun(const StopPlan *plan, ClockMs deadline,
                           ClockMs expected_ms, ClockMs now);

/* Whether a process that cuts its runs at `end` leaves the allowed time to a
 * run that ends by `deadline`, whatever happens. */
gboolean StopPlan_LeavesTime(ClockMs end, ClockMs deadline,
                             ClockMs allowance_ms, ClockMs now);

#endif
