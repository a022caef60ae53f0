/* Fixed tables of Route: load of backend servers, hosts that could not be
 * reached, spill state of sets. Private to the slice; the locking is Route's.
 *
 * A table is divided into groups of ROUTE_WAYS entries by hash. When a group
 * is full, its longest unused entry that has no requests in flight is
 * replaced, so that a look-up reads a bounded number of entries.
 */
#ifndef ROUTE_ROUTE_LOAD_H
#define ROUTE_ROUTE_LOAD_H

#include "route/route.h"

#define ROUTE_WAYS 8

/* A latency above another one by more than this factor is slow, as in
 * Health_desc.slow_factor. */
#define ROUTE_SLOW_FACTOR 2.0

typedef struct RouteServer {
    uint64_t id; /* 0 = vacant */
    ClockMs used;
    uint32_t in_flight;
    uint32_t reported;           /* slots in use and queue */
    uint32_t reported_in_flight; /* own part at that time */
    ClockMs reported_at;
    double latency_us; /* moving mean; 0 = unknown */
    ClockMs latency_at;
    uint32_t slow_in_row; /* latest answers far above the mean */
} RouteServer;

typedef struct RouteHost {
    uint64_t id; /* 0 = vacant */
    ClockMs used;
    uint32_t failures;
    ClockMs avoid_until;
    ClockMs trial_until; /* a trial is in flight */
} RouteHost;

/* Of a set: how often the choices of a tier met a full backend server. */
typedef struct RouteSpill {
    uint64_t id; /* 0 = vacant */
    ClockMs used;
    double near_saturated;   /* 0 to 1 */
    double region_saturated; /* 0 to 1 */
    gboolean near_spills;
    gboolean region_spills;
    double cross_credit; /* requests that may cross regions */
} RouteSpill;

struct Route {
    Route_desc desc;
    Rng rng;
    RouteServer *servers;
    RouteHost *hosts;
    RouteSpill *spills;
    uint32_t failing_hosts; /* used entries of `hosts` */
};

/* The find functions return NULL, the add functions a new entry, when there is
 * none. */
RouteServer *RouteLoad_FindServer(const Route *route, uint64_t id);
RouteServer *RouteLoad_AddServer(Route *route, uint64_t id, ClockMs now);
RouteHost *RouteLoad_FindHost(const Route *route, uint64_t id);
RouteHost *RouteLoad_AddHost(Route *route, uint64_t id, ClockMs now);
RouteSpill *RouteLoad_AddSpill(Route *route, uint64_t id, ClockMs now);

/* Requests expected at a backend server now: own ones, and what others had
 * there by the last report, which counts less the older it is. */
double RouteLoad_Expected(const Route *route, const RouteServer *server,
                          ClockMs now);

#endif
