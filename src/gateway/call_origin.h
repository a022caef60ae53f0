/* CallOrigin: which running requests of a backend server make its calls.
 *
 * A call does not name the request that made it. The daemon beside the calling
 * backend server sees the runs of each route begin and end, and the calls in
 * between. Here the calls are counted for each pair of a calling and a called
 * route, divided among the routes at work in proportion to what is known so
 * far; the routes whose runs do not make a call then lose their part of it,
 * because they also run when none is made. The parent of a call is of the most
 * likely class of running requests, a class being a route and a priority.
 * Load pattern: a service is called by unimportant requests of others more
 * than it can serve, and has urgent requests of its own.
 *
 * Use, with a lock of the caller's:
 *  1. CallOrigin_Create().
 *  2. CallOrigin_Begin() and CallOrigin_End() for each run.
 *  3. CallOrigin_Find() for each call that the backend server makes.
 *  4. CallOrigin_CallsPerRun() tells how many calls a run will make.
 *
 * Limits: CALL_ORIGIN_CLASSES classes and CALL_ORIGIN_ROUTES routes on each
 * side; runs and calls of others are not counted and have no known parent.
 * Counts decay in some 20 s; what has not been used for minutes is dropped.
 * Decisions only; no lock, time is passed in. All calls take time in
 * proportion to these limits.
 */
#ifndef GATEWAY_CALL_ORIGIN_H
#define GATEWAY_CALL_ORIGIN_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

#define CALL_ORIGIN_CLASSES 24
#define CALL_ORIGIN_ROUTES 16

typedef struct CallOrigin CallOrigin;

/* What is known of the request that made a call. */
typedef struct CallParent {
    gboolean is_known;  /* a request that may have made it is running */
    int priority;       /* of the most likely class; -1: unknown */
    double likelihood;  /* of this priority, 0 to 1 */
    double retry_share; /* probability that the parent is a retry */
} CallParent;

CallOrigin *CallOrigin_Create(void);
void CallOrigin_Destroy(CallOrigin *origin);

/* A run of a request of the route (hash of its name, 0: unknown) begins or has
 * ended. Both are called with the same values. */
void CallOrigin_Begin(CallOrigin *origin, uint64_t route, int priority,
                      gboolean is_retry, ClockMs now);
void CallOrigin_End(CallOrigin *origin, uint64_t route, int priority,
                    gboolean is_retry, ClockMs now);

/* Counts a call on the route `called` and returns its likely parent. */
CallParent CallOrigin_Find(CallOrigin *origin, uint64_t called, ClockMs now);

/* Mean number of calls on `called` that a run of the route makes; 0 if none
 * is known. */
double CallOrigin_CallsPerRun(const CallOrigin *origin, uint64_t route,
                              uint64_t called);

/* Fills the called routes of which a run of the route makes at least `min`
 * calls in the mean; returns their number, at most `max`. */
int CallOrigin_Called(const CallOrigin *origin, uint64_t route, double min,
                      uint64_t *called, int max);

#endif
