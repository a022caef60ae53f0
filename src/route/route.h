/* Route: chooses the backend server for one request.
 *
 * Use, at the entry:
 *  1. Route_Create() once.
 *  2. When the member view changes, fill an array of RouteCandidate for each
 *     service and pool, and call Route_Order(). It sorts the array into own
 *     data centre, own region, other regions. Publish the RouteSet together
 *     with the view.
 *  3. For each request: Route_ChoosePool() if the route has a split, then
 *     Route_Choose() for an index into set->candidates.
 *  4. Route_Start() before the request is sent, then Route_End() with the
 *     load that the response carried. Report the result of connecting to the
 *     owner's host with Route_ConnectFailed() or Route_ConnectOk().
 *
 * How it chooses: power of two choices. Two candidates are drawn by weight
 * from the nearest tier that is not saturated, and the one with the lower
 * expected wait is taken. The expected wait is the load per slot; where the
 * latencies differ by more than a factor of 2, it is multiplied by the
 * latency. Choices extend to the whole region when the own data centre is
 * saturated or has no usable backend server. When the own region is saturated,
 * at most `cross_region_percent` of the requests go to other regions; when it
 * has no usable backend server at all, every request may. Saturation begins
 * and ends at different levels (hysteresis).
 *
 * Locking: none inside. For each Route the caller holds one mutex around every
 * call that takes it, except Route_Create() and Route_Destroy(). Calls take
 * less than a few microseconds and allocate nothing. Route_Order(),
 * Route_ChoosePool() and RouteSets need no lock.
 *
 * Limits: the load cache has `max_servers` entries and the table of failing
 * hosts `max_hosts`; the least recently used entry is replaced. Errors:
 * choosing returns -1 when no candidate can take the request.
 */
#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/rng.h"

typedef enum RouteState {
    ROUTE_READY,
    ROUTE_DRAINING,
    ROUTE_LEAVING
} RouteState;

/* Names are given as 64-bit hashes (Rng_HashString()). */
typedef struct RouteCandidate {
    uint64_t backend_server;
    uint64_t host;
    uint64_t region;
    uint64_t data_centre;
    void *context; /* for the caller; not read here */
    RouteState state;
    uint16_t weight; /* 0 to 100 */
    uint16_t slots;
    int16_t latency_class; /* as from Health_ClassOf(); 0 = unknown */
} RouteCandidate;

/* Candidates [0, near_count) are in the own data centre, those in
 * [near_count, region_count) elsewhere in the own region, and the rest in
 * other regions. */
typedef struct RouteSet {
    uint64_t id; /* hash of service and pool; key of the spill state */
    const RouteCandidate *candidates;
    uint32_t count;
    uint32_t near_count;
    uint32_t region_count;
} RouteSet;

typedef struct RoutePool {
    uint64_t pool;
    uint32_t share_percent;
} RoutePool;

/* Settings; zero means the default. */
typedef struct Route_desc {
    uint32_t max_servers;
    uint32_t max_hosts;
    uint32_t max_sets;
    uint64_t seed;
    /* Share of a tier's choices whose best candidate had no free slot. Above
     * saturated_percent spilling begins, below relaxed_percent it ends. */
    uint32_t saturated_percent;
    uint32_t relaxed_percent;
    uint32_t cross_region_percent;
    ClockMs load_half_life_ms; /* age at which a reported load counts half */
    ClockMs avoid_ms;          /* pause after the first failed connect; doubled
                                  by each further failure */
    ClockMs avoid_max_ms;      /* maximum pause after failed connects */
} Route_desc;

/* Load of a backend server, as reported in a response. */
typedef struct RouteLoad {
    uint32_t slots_in_use;
    uint32_t queue;
    int64_t latency_us; /* of this request, measured by the entry; 0 = none */
} RouteLoad;

/* Tier that a candidate was chosen from. */
typedef enum RouteTier {
    ROUTE_TIER_DATA_CENTRE,
    ROUTE_TIER_REGION,
    ROUTE_TIER_OTHER_REGION
} RouteTier;

typedef struct Route Route;

Route *Route_Create(const Route_desc *desc);
void Route_Destroy(Route *route);

/* Sorts the candidates in place by tier and fills `set`, which points to them:
 * they must stay valid as long as the set is used. */
void Route_Order(uint64_t id, RouteCandidate *candidates, uint32_t count,
                 uint64_t own_region, uint64_t own_data_centre, RouteSet *set);

/* Returns the index of the pool for a request, or -1 if the shares add up to
 * 0. Requests with the same subject_hash get the same pool as long as the
 * shares stay the same; with subject_hash 0 the pool is drawn at random. With
 * two pools, a share that grows only moves subjects to its own pool. */
int Route_ChoosePool(const RoutePool *pools, uint32_t count,
                     uint64_t subject_hash, Rng *rng);

/* Returns the index of the chosen candidate, or -1. `excluded` lists backend
 * servers that must not be chosen. `tier`, if not NULL, receives the tier of
 * the choice. If the chosen host has failed connects and is due for a trial,
 * the request is that trial: the host is not chosen again before
 * Route_ConnectOk(), Route_ConnectFailed() or the end of avoid_ms. */
int Route_Choose(Route *route, const RouteSet *set, const uint64_t *excluded,
                 uint32_t excluded_count, ClockMs now, RouteTier *tier);

void Route_Start(Route *route, uint64_t backend_server, ClockMs now);
/* `load` is NULL when no response arrived. */
void Route_End(Route *route, uint64_t backend_server, const RouteLoad *load,
               ClockMs now);

void Route_ConnectFailed(Route *route, uint64_t host, ClockMs now);
void Route_ConnectOk(Route *route, uint64_t host);
/* TRUE while the host gets no requests: after a failed connect, and while a
 * trial is in flight. */
gboolean Route_IsAvoided(const Route *route, uint64_t host, ClockMs now);

/* Number of requests in flight from this entry to a backend server. */
uint32_t Route_InFlight(const Route *route, uint64_t backend_server);

#endif
