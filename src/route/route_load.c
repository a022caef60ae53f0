#include "route/route_load.h"

#include <string.h>

static const Route_desc defaults = {
    .max_servers = 8192,
    .max_hosts = 1024,
    .max_sets = 2048,
    .seed = 1,
    .saturated_percent = 50,
    .relaxed_percent = 20,
    .cross_region_percent = 20,
    .load_half_life_ms = 500,
    .avoid_ms = 500,
    .avoid_max_ms = 30000,
};

/* Reports older than this number of half-lives are ignored. */
#define REPORT_HALF_LIVES 8
/* Weight of one latency in the moving average. */
#define LATENCY_SHARE 0.125
/* From the second slow answer in a row the moving average follows faster: a
 * long-tailed distribution yields single slow answers now and then, a backend
 * server that has become slow yields nothing else. */
#define STEP_MIN_SLOW 2
#define STEP_SHARE 0.5

#define USE_DEFAULT(field)                  \
    if (route->desc.field == 0) {           \
        route->desc.field = defaults.field; \
    }

static uint32_t
round_up_to_groups(uint32_t entries)
{
    return (entries + ROUTE_WAYS - 1) / ROUTE_WAYS * ROUTE_WAYS;
}

static void
apply_defaults(Route *route)
{
    USE_DEFAULT(max_servers)
    USE_DEFAULT(max_hosts)
    USE_DEFAULT(max_sets)
    USE_DEFAULT(seed)
    USE_DEFAULT(saturated_percent)
    USE_DEFAULT(relaxed_percent)
    USE_DEFAULT(cross_region_percent)
    USE_DEFAULT(load_half_life_ms)
    USE_DEFAULT(avoid_ms)
    USE_DEFAULT(avoid_max_ms)
    route->desc.max_servers = round_up_to_groups(route->desc.max_servers);
    route->desc.max_hosts = round_up_to_groups(route->desc.max_hosts);
    route->desc.max_sets = round_up_to_groups(route->desc.max_sets);
}

Route *
Route_Create(const Route_desc *desc)
{
    Route *route = g_new0(Route, 1);

    route->desc = desc ? *desc : defaults;
    apply_defaults(route);
    Rng_Seed(&route->rng, route->desc.seed);
    route->servers = g_new0(RouteServer, route->desc.max_servers);
    route->hosts = g_new0(RouteHost, route->desc.max_hosts);
    route->spills = g_new0(RouteSpill, route->desc.max_sets);
    return route;
}

void
Route_Destroy(Route *route)
{
    if (route) {
        g_free(route->servers);
        g_free(route->hosts);
        g_free(route->spills);
        g_free(route);
    }
}

/* Index of the first entry of the group that the id belongs to. */
static uint32_t
group_of(uint64_t id, uint32_t entries)
{
    return (uint32_t)(Rng_Mix(id, 0) % (entries / ROUTE_WAYS)) * ROUTE_WAYS;
}

RouteServer *
RouteLoad_FindServer(const Route *route, uint64_t id)
{
    RouteServer *group =
        &route->servers[group_of(id, route->desc.max_servers)];

    for (int i = 0; i < ROUTE_WAYS; i++) {
        if (group[i].id == id) {
            return &group[i];
        }
    }
    return NULL;
}

RouteServer *
RouteLoad_AddServer(Route *route, uint64_t id, ClockMs now)
{
    RouteServer *server = RouteLoad_FindServer(route, id);
    RouteServer *group =
        &route->servers[group_of(id, route->desc.max_servers)];

    if (!server) {
        server = &group[0];
        for (int i = 1; i < ROUTE_WAYS; i++) {
            gboolean idle = group[i].in_flight == 0;
            gboolean best_idle = server->in_flight == 0;

            if (idle != best_idle ? idle : group[i].used < server->used) {
                server = &group[i];
            }
        }
        memset(server, 0, sizeof(*server));
        server->id = id;
    }
    server->used = now;
    return server;
}

RouteHost *
RouteLoad_FindHost(const Route *route, uint64_t id)
{
    RouteHost *group = &route->hosts[group_of(id, route->desc.max_hosts)];

    if (route->failing_hosts == 0) {
        return NULL;
    }
    for (int i = 0; i < ROUTE_WAYS; i++) {
        if (group[i].id == id) {
            return &group[i];
        }
    }
    return NULL;
}

RouteHost *
RouteLoad_AddHost(Route *route, uint64_t id, ClockMs now)
{
    RouteHost *host = RouteLoad_FindHost(route, id);
    RouteHost *group = &route->hosts[group_of(id, route->desc.max_hosts)];

    if (!host) {
        host = &group[0];
        for (int i = 1; i < ROUTE_WAYS; i++) {
            if (group[i].used < host->used) {
                host = &group[i];
            }
        }
        if (host->id == 0) {
            route->failing_hosts++;
        }
        memset(host, 0, sizeof(*host));
        host->id = id;
    }
    host->used = now;
    return host;
}

RouteSpill *
RouteLoad_AddSpill(Route *route, uint64_t id, ClockMs now)
{
    RouteSpill *group = &route->spills[group_of(id, route->desc.max_sets)];
    RouteSpill *spill = &group[0];

    for (int i = 0; i < ROUTE_WAYS; i++) {
        if (group[i].id == id) {
            group[i].used = now;
            return &group[i];
        }
        if (group[i].used < spill->used) {
            spill = &group[i];
        }
    }
    memset(spill, 0, sizeof(*spill));
    spill->id = id;
    spill->used = now;
    return spill;
}

double
RouteLoad_Expected(const Route *route, const RouteServer *server, ClockMs now)
{
    double others;
    double age;

    if (!server) {
        return 0;
    }
    others = server->reported > server->reported_in_flight
                 ? server->reported - server->reported_in_flight
                 : 0;
    age = (double)MAX(now - server->reported_at, 0);
    /* If old reports never expired, a backend server that was reported busy
     * once would lose every comparison with idle ones. */
    if (age > REPORT_HALF_LIVES * (double)route->desc.load_half_life_ms) {
        return server->in_flight;
    }
    others *= (double)route->desc.load_half_life_ms /
              ((double)route->desc.load_half_life_ms + age);
    return server->in_flight + others;
}

static void
add_latency(RouteServer *server, double latency_us, ClockMs now)
{
    double share;

    server->latency_at = now;
    if (server->latency_us == 0) {
        server->latency_us = latency_us;
        return;
    }
    server->consecutive_slow =
        latency_us > ROUTE_SLOW_FACTOR * server->latency_us
            ? server->consecutive_slow + 1
            : 0;
    share =
        server->consecutive_slow >= STEP_MIN_SLOW ? STEP_SHARE : LATENCY_SHARE;
    server->latency_us += (latency_us - server->latency_us) * share;
}

void
Route_Start(Route *route, uint64_t backend_server, ClockMs now)
{
    RouteLoad_AddServer(route, backend_server, now)->in_flight++;
}

void
Route_End(Route *route, uint64_t backend_server, const RouteLoad *load,
          ClockMs now)
{
    RouteServer *server = RouteLoad_AddServer(route, backend_server, now);

    if (server->in_flight > 0) {
        server->in_flight--;
    }
    if (!load) {
        return;
    }
    server->reported = load->slots_in_use + load->queue;
    server->reported_in_flight = server->in_flight;
    server->reported_at = now;
    if (load->latency_us > 0) {
        add_latency(server, (double)load->latency_us, now);
    }
}

uint32_t
Route_InFlight(const Route *route, uint64_t backend_server)
{
    const RouteServer *server = RouteLoad_FindServer(route, backend_server);

    return server ? server->in_flight : 0;
}

void
Route_ConnectFailed(Route *route, uint64_t host, ClockMs now)
{
    RouteHost *record = RouteLoad_AddHost(route, host, now);
    ClockMs avoid = route->desc.avoid_ms;

    record->trial_until = 0;
    if (now < record->avoid_until) {
        /* Concurrent requests fail together; they count as one failure. */
        return;
    }
    for (uint32_t i = 0;
         i < record->failures && avoid < route->desc.avoid_max_ms; i++) {
        avoid *= 2;
    }
    record->failures++;
    record->avoid_until = now + MIN(avoid, route->desc.avoid_max_ms);
}

void
Route_ConnectOk(Route *route, uint64_t host)
{
    RouteHost *record = RouteLoad_FindHost(route, host);

    if (record) {
        memset(record, 0, sizeof(*record));
        route->failing_hosts--;
    }
}

gboolean
Route_IsAvoided(const Route *route, uint64_t host, ClockMs now)
{
    const RouteHost *record = RouteLoad_FindHost(route, host);

    return record && (now < record->avoid_until || now < record->trial_until);
}
