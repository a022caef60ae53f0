/* Fixed-size tables of Route: load of backend servers, hosts that could not be
 * reached, spill state of sets. Private to this folder. The caller's mutex for
 * the Route protects them, too.
 *
 * The tables are set-associative: the hash of an id selects a group of
 * ROUTE_WAYS entries, so that a look-up reads a bounded number of them. When a
 * group is full, its least recently used entry is replaced; entries of backend
 * servers with requests in flight are replaced only if all of the group have
 * some.
 */
#ifndef ROUTE_ROUTE_LOAD_H
#define ROUTE_ROUTE_LOAD_H

#include "route/route.h"

#define ROUTE_WAYS 8

/* A latency is slow if it exceeds the one it is compared with by more than
 * this factor, as in Health_desc.slow_factor. */
#define ROUTE_SLOW_FACTOR 2.0

typedef struct RouteServer {
    uint64_t id;                 /* 0 = vacant */
    ClockMs used;                /* time of the last access */
    uint32_t in_flight;          /* requests of this entry */
    uint32_t reported;           /* slots in use plus queue, last report */
    uint32_t reported_in_flight; /* in_flight at the time of that report */
    ClockMs reported_at;
    double latency_us; /* moving average; 0 = unknown */
    ClockMs latency_at;
    uint32_t consecutive_slow; /* latest answers in a row that were slow */
} RouteServer;

typedef struct RouteHost {
    uint64_t id;         /* 0 = vacant */
    ClockMs used;        /* time of the last failed connect */
    uint32_t failures;   /* failed connects without a success since */
    ClockMs avoid_until; /* end of the pause after a failed connect */
    ClockMs trial_until; /* end of the time reserved for a trial */
} RouteHost;

/* Spill state of a set. The saturations are moving averages of the share of
 * choices in a tier whose best candidate had no free slot. */
typedef struct RouteSpill {
    uint64_t id;             /* 0 = vacant */
    ClockMs used;            /* time of the last access */
    double near_saturated;   /* 0 to 1 */
    double region_saturated; /* 0 to 1 */
    gboolean near_spills;    /* choices extend to the region */
    gboolean region_spills;  /* choices extend to other regions */
    double cross_credit;     /* requests that may go to another region */
} RouteSpill;

struct Route {
    Route_desc desc;
    Rng rng;
    RouteServer *servers;
    RouteHost *hosts;
    RouteSpill *spills;
    uint32_t failing_hosts; /* number of entries in use in `hosts` */
};

/* If the table has no entry for the id, the find functions return NULL and the
 * add functions create one. */
RouteServer *RouteLoad_FindServer(const Route *route, uint64_t id);
RouteServer *RouteLoad_AddServer(Route *route, uint64_t id, ClockMs now);
RouteHost *RouteLoad_FindHost(const Route *route, uint64_t id);
RouteHost *RouteLoad_AddHost(Route *route, uint64_t id, ClockMs now);
RouteSpill *RouteLoad_AddSpill(Route *route, uint64_t id, ClockMs now);

/* Number of requests expected at a backend server now: those of this entry
 * that are in flight, plus those of other entries by the last report, which
 * counts less the older it is. */
double RouteLoad_Expected(const Route *route, const RouteServer *server,
                          ClockMs now);

#endif
