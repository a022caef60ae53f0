/* Route: chooses the backend server for one request.
 *
 * Use, at the entry:
 *  1. Route_Create() once.
 *  2. When the member view changes, fill an array of RouteCandidate for each
 *     service and pool, and call Route_Order(). It sorts the array into own
 *     data centre, own region, other regions; publish the RouteSet with the
 *     view.
 *  3. For each request: Route_ChoosePool() if the route has a split, then
 *     Route_Choose() for an index into set->candidates.
 *  4. Route_Start() before the request is sent, then Route_End(), with the
 *     load that the response carried. Route_ConnectFailed() and
 *     Route_ConnectOk() tell whether the owner's host could be reached.
 *
 * How it chooses: two candidates are drawn by weight from the nearest tier
 * that is not saturated; the one with the lower expected wait (load by slots,
 * times latency) is taken. The tier widens to the region when the
 * own data centre is saturated or missing, and for at most
 * `cross_region_percent` of the requests to other regions when the own region
 * is saturated. Saturation begins and ends at different levels. When the own
 * region has no usable backend server at all, every request may cross.
 *
 * Locking: none inside; the caller holds one mutex for each Route around every
 * call that takes a Route, but Route_Create() and Route_Destroy(). Calls take
 * less than a few microseconds and allocate nothing. Route_Order(),
 * Route_ChoosePool() and RouteSets need no lock.
 *
 * Limits: the load cache has `max_servers` places and the table of failing
 * hosts `max_hosts`; the longest unused entry is replaced. Errors: choosing
 * returns -1 when no candidate can take the request.
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
    void *context; /* the caller's own record */
    RouteState state;
    uint16_t weight; /* 0 to 100 */
    uint16_t slots;
    int16_t latency_class; /* Health_ClassOf(); 0 = unknown */
} RouteCandidate;

/* Candidates [0, near_count) are in the own data centre, [near_count,
 * region_count) elsewhere in the own region, the others in other regions. */
typedef struct RouteSet {
    uint64_t id; /* hash of service and pool; names the spill state */
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
    uint32_t saturated_percent; /* choices that met a full server: spill */
    uint32_t relaxed_percent;   /* below this, spilling ends */
    uint32_t cross_region_percent;
    ClockMs load_half_life_ms; /* a reported load counts half after it */
    ClockMs avoid_ms;          /* after the first failed connect */
    ClockMs avoid_max_ms;
} Route_desc;

/* Load that a response carries. */
typedef struct RouteLoad {
    uint32_t slots_in_use;
    uint32_t queue;
    int64_t latency_us; /* of this request, seen by the entry; 0 = none */
} RouteLoad;

/* How far a choice went. */
typedef enum RouteTier {
    ROUTE_TIER_DATA_CENTRE,
    ROUTE_TIER_REGION,
    ROUTE_TIER_OTHER_REGION
} RouteTier;

typedef struct Route Route;

Route *Route_Create(const Route_desc *desc);
void Route_Destroy(Route *route);

/* Sorts the candidates in place and describes them; they must stay valid as
 * long as the set is used. */
void Route_Order(uint64_t id, RouteCandidate *candidates, uint32_t count,
                 uint64_t own_region, uint64_t own_data_centre, RouteSet *set);

/* Index of the pool for a request. Requests with the same subject_hash always
 * get the same pool while the shares stay; with subject_hash 0 the pool is
 * drawn at random. When a share grows, only subjects that move to this pool
 * change theirs if there are two pools. Returns -1 if the shares add up to
 * 0. */
int Route_ChoosePool(const RoutePool *pools, uint32_t count,
                     uint64_t subject_hash, Rng *rng);

/* Index of the chosen candidate, or -1. `excluded` lists backend servers that
 * must not be taken again. `tier`, if not NULL, gets the tier of the choice.
 * A choice of a host on trial after failed connects reserves its trial until
 * Route_ConnectOk(), Route_ConnectFailed() or avoid_ms. */
int Route_Choose(Route *route, const RouteSet *set, const uint64_t *excluded,
                 uint32_t excluded_count, ClockMs now, RouteTier *tier);

void Route_Start(Route *route, uint64_t backend_server, ClockMs now);
/* `load` is NULL when no response arrived. */
void Route_End(Route *route, uint64_t backend_server, const RouteLoad *load,
               ClockMs now);

void Route_ConnectFailed(Route *route, uint64_t host, ClockMs now);
void Route_ConnectOk(Route *route, uint64_t host);
/* TRUE while the host gets no request because connecting failed. */
gboolean Route_IsAvoided(const Route *route, uint64_t host, ClockMs now);

/* Requests in flight from this entry to a backend server. */
uint32_t Route_InFlight(const Route *route, uint64_t backend_server);

#endif
