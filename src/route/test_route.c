/* Tests of the choice of a backend server. */
#include <glib.h>
#include <math.h>

#include "route/route.h"
#include "route/test_route_model.h"

#define CANDIDATES 64

typedef struct Fixture {
    Route *route;
    RouteSet set;
    RouteCandidate candidates[CANDIDATES];
} Fixture;

/* near, region, far: numbers of candidates in each tier. The own region and
 * data centre are 1. */
static void
set_up(Fixture *fixture, uint32_t near, uint32_t region, uint32_t far)
{
    uint32_t count = near + region + far;

    for (uint32_t i = 0; i < count; i++) {
        /* Mixed order, so that Route_Order() has to sort them. */
        uint32_t at = (i * 7 + 3) % count;

        while (fixture->candidates[at].slots != 0) {
            at = (at + 1) % count;
        }
        fixture->candidates[at] =
            (RouteCandidate){.backend_server = i + 1,
                             .host = 100 + i,
                             .region = i < near + region ? 1 : 2,
                             .data_centre = i < near            ? 1
                                            : i < near + region ? 2
                                                                : 3,
                             .weight = 100,
                             .slots = 5};
    }
    Route_Order(9, fixture->candidates, count, 1, 1, &fixture->set);
    fixture->route = Route_Create(&(Route_desc){.seed = 7});
}

static uint64_t
choose(Fixture *fixture, ClockMs now, RouteTier *tier)
{
    int index =
        Route_Choose(fixture->route, &fixture->set, NULL, 0, now, tier);

    return index < 0 ? 0 : fixture->candidates[index].backend_server;
}

static RouteCandidate *
find(Fixture *fixture, uint64_t id)
{
    for (uint32_t i = 0; i < fixture->set.count; i++) {
        if (fixture->candidates[i].backend_server == id) {
            return &fixture->candidates[i];
        }
    }
    return NULL;
}

/* Runs one request that is answered after `latency_us`. */
static void
run_request(Fixture *fixture, uint64_t id, int64_t latency_us)
{
    Route_Start(fixture->route, id, 0);
    Route_End(fixture->route, id, &(RouteLoad){.latency_us = latency_us}, 1);
}

/* Guards against choosing backend servers that are draining, leaving or
 * ejected, or that already failed for this request. */
static void
test_unusable(void)
{
    Fixture fixture = {0};
    uint64_t excluded[] = {4, 5};

    set_up(&fixture, 6, 0, 0);
    find(&fixture, 1)->state = ROUTE_DRAINING;
    find(&fixture, 2)->state = ROUTE_LEAVING;
    find(&fixture, 3)->weight = 0;
    for (int i = 0; i < 2000; i++) {
        int index =
            Route_Choose(fixture.route, &fixture.set, excluded, 2, i, NULL);

        g_assert_cmpint(index, >=, 0);
        g_assert_cmpuint(fixture.candidates[index].backend_server, ==, 6);
    }
    find(&fixture, 6)->weight = 0;
    g_assert_cmpint(
        Route_Choose(fixture.route, &fixture.set, excluded, 2, 0, NULL), ==,
        -1);
    Route_Destroy(fixture.route);
}

/* Guards against a weight that has no effect, and against one that is applied
 * twice, so that a backend server on probation gets no trials. */
static void
test_weight(void)
{
    Fixture fixture = {0};
    int low = 0;
    int calls = 40000;

    set_up(&fixture, 12, 0, 0);
    find(&fixture, 1)->weight = 5;
    for (int i = 0; i < calls; i++) {
        low += choose(&fixture, i, NULL) == 1;
    }
    g_assert_cmpint(low, >, calls / 12 / 50);
    g_assert_cmpint(low, <, calls / 12 / 5);
    Route_Destroy(fixture.route);
}

/* Guards against choices that ignore the reported slots in use and queue, and
 * against old reports that never expire. */
static void
test_load(void)
{
    Fixture fixture = {0};
    int busy = 0;

    set_up(&fixture, 12, 0, 0);
    Route_Start(fixture.route, 1, 0);
    Route_End(fixture.route, 1, &(RouteLoad){.slots_in_use = 5, .queue = 5},
              0);
    for (int i = 0; i < 2000; i++) {
        busy += choose(&fixture, 100, NULL) == 1;
    }
    g_assert_cmpint(busy, <, 20);
    busy = 0;
    /* A report that is 10 minutes old must no longer count. */
    for (int i = 0; i < 2000; i++) {
        uint64_t id = choose(&fixture, 600000, NULL);

        busy += id == 1;
        Route_Start(fixture.route, id, 600000);
        Route_End(fixture.route, id, NULL, 600000);
    }
    g_assert_cmpint(busy, >, 20);
    Route_Destroy(fixture.route);
}

typedef struct TierCase {
    const char *name;
    uint32_t near, region, far;
    gboolean near_full, region_full;
    double min_far, max_far; /* shares of the choices */
    double min_near, max_near;
} TierCase;

/* Guards against requests to other regions while the own one has room or
 * beyond cross_region_percent, and against requests that fail although another
 * tier has room. */
static void
test_tiers(void)
{
    static const TierCase cases[] = {
        {"near", 4, 4, 4, FALSE, FALSE, 0, 0, 1, 1},
        {"near full", 4, 4, 4, TRUE, FALSE, 0, 0, 0, 0.1},
        {"near missing", 0, 4, 4, FALSE, FALSE, 0, 0, 0, 0},
        {"region full", 4, 4, 4, TRUE, TRUE, 0.15, 0.2, 0, 1},
        {"region full, none far", 4, 4, 0, TRUE, TRUE, 0, 0, 0, 1},
        {"region missing", 0, 0, 4, FALSE, FALSE, 1, 1, 0, 0},
    };
    int calls = 4000;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {0};
        int counts[3] = {0};
        uint32_t near = cases[i].near;

        set_up(&fixture, near, cases[i].region, cases[i].far);
        for (uint64_t id = 1; id <= near + cases[i].region; id++) {
            gboolean full =
                id <= near ? cases[i].near_full : cases[i].region_full;

            for (int k = 0; full && k < 6; k++) {
                Route_Start(fixture.route, id, 0);
            }
        }
        for (int k = 0; k < calls; k++) {
            RouteTier tier;

            g_assert_cmpuint(choose(&fixture, k, &tier), !=, 0);
            counts[tier]++;
        }
        g_test_message("%s: %d %d %d", cases[i].name, counts[0], counts[1],
                       counts[2]);
        g_assert_cmpfloat(counts[2], >=, cases[i].min_far * calls);
        g_assert_cmpfloat(counts[2], <=, cases[i].max_far * calls + 3);
        g_assert_cmpfloat(counts[0], >=, cases[i].min_near * calls);
        g_assert_cmpfloat(counts[0], <=, cases[i].max_near * calls);
        Route_Destroy(fixture.route);
    }
}

/* Guards against spilling that continues after the own data centre has free
 * slots again. */
static void
test_spill_ends(void)
{
    Fixture fixture = {0};
    RouteTier tier;

    set_up(&fixture, 2, 0, 2);
    for (int k = 0; k < 6; k++) {
        Route_Start(fixture.route, 1, 0);
        Route_Start(fixture.route, 2, 0);
    }
    for (int k = 0; k < 1000; k++) {
        choose(&fixture, k, NULL);
    }
    for (int k = 0; k < 6; k++) {
        Route_End(fixture.route, 1, NULL, 1000);
        Route_End(fixture.route, 2, NULL, 1000);
    }
    for (int k = 0; k < 1000; k++) {
        g_assert_cmpuint(choose(&fixture, 1000 + k, &tier), !=, 0);
        g_assert_cmpint(tier, ==, ROUTE_TIER_DATA_CENTRE);
    }
    Route_Destroy(fixture.route);
}

/* Guards against requests to a host that cannot be reached, against a host
 * that is never tried again, and against more than one trial at a time. */
static void
test_avoid(void)
{
    Fixture fixture = {0};
    ClockMs now = 0;
    ClockMs expected = 500;

    set_up(&fixture, 2, 0, 0);
    for (int round = 0; round < 8; round++) {
        uint64_t host = find(&fixture, 1)->host;
        int trials = 0;

        /* Ten concurrent requests fail; they count as one failure. */
        for (int i = 0; i < 10; i++) {
            Route_ConnectFailed(fixture.route, host, now);
        }
        for (ClockMs end = now + expected; now < end; now += 10) {
            g_assert_true(Route_IsAvoided(fixture.route, host, now));
            g_assert_cmpuint(choose(&fixture, now, NULL), ==, 2);
        }
        for (int i = 0; i < 200; i++) {
            trials += choose(&fixture, now, NULL) == 1;
        }
        g_assert_cmpint(trials, ==, 1);
        expected = MIN(expected * 2, 30000);
    }
    Route_ConnectOk(fixture.route, find(&fixture, 1)->host);
    g_assert_false(
        Route_IsAvoided(fixture.route, find(&fixture, 1)->host, now));
    Route_ConnectFailed(fixture.route, find(&fixture, 1)->host, now);
    g_assert_false(
        Route_IsAvoided(fixture.route, find(&fixture, 1)->host, now + 500));
    Route_Destroy(fixture.route);
}

/* Guards against subjects that change pools although the shares stay the same
 * or their pool grows, against shares that are not met, and against requests
 * to a pool with share 0. */
static void
test_pools(void)
{
    RoutePool before[] = {{11, 10}, {22, 90}, {33, 0}};
    RoutePool after[] = {{22, 75}, {11, 25}};
    int old_side = 0;
    int new_side = 0;
    Rng rng;

    Rng_Seed(&rng, 3);
    for (uint64_t subject = 1; subject <= 20000; subject++) {
        uint64_t hash = Rng_Mix(subject, 99);
        uint64_t before_pool =
            before[Route_ChoosePool(before, 3, hash, &rng)].pool;
        uint64_t again = before[Route_ChoosePool(before, 3, hash, &rng)].pool;
        uint64_t after_pool =
            after[Route_ChoosePool(after, 2, hash, &rng)].pool;

        g_assert_cmpuint(before_pool, ==, again);
        g_assert_true(before_pool == after_pool || after_pool == 11);
        old_side += before_pool == 11;
        new_side += after_pool == 11;
    }
    g_assert_cmpint(ABS(old_side - 2000), <, 200);
    g_assert_cmpint(ABS(new_side - 5000), <, 300);
    g_assert_cmpint(Route_ChoosePool(&before[2], 1, 5, &rng), ==, -1);
    g_assert_cmpint(Route_ChoosePool(before, 2, 0, &rng), >=, 0);
}

/* Guards against a load cache that, when full, evicts the count of a backend
 * server with requests in flight. */
static void
test_full_cache(void)
{
    Route *route = Route_Create(&(Route_desc){.max_servers = 8, .seed = 1});

    Route_Start(route, 1, 0);
    for (uint64_t id = 2; id < 1000; id++) {
        Route_Start(route, id, (ClockMs)id);
        Route_End(route, id, NULL, (ClockMs)id);
    }
    g_assert_cmpuint(Route_InFlight(route, 1), ==, 1);
    Route_End(route, 1, NULL, 1000);
    Route_End(route, 1, NULL, 1000);
    g_assert_cmpuint(Route_InFlight(route, 1), ==, 0);
    Route_Destroy(route);
}

/* Guards against a backend server that has become 10 times slower but still
 * gets work whenever the others are slightly loaded, because a weight of 1/8
 * for each latency moves the average too slowly. Guards also against a healthy
 * backend server that loses its work after one slow answer of the long
 * tail. */
static void
test_latency_step(void)
{
    static const struct {
        int slow_answers;
        gboolean chosen;
    } cases[] = {{1, TRUE}, {2, FALSE}, {3, FALSE}};

    for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
        Fixture fixture = {0};
        int chosen = 0;

        set_up(&fixture, 4, 0, 0);
        for (uint64_t id = 1; id <= 4; id++) {
            run_request(&fixture, id, 20000);
        }
        for (int i = 0; i < cases[c].slow_answers; i++) {
            run_request(&fixture, 1, 200000);
        }
        /* Each of the others has 3 requests in flight from this entry. */
        for (uint64_t id = 2; id <= 4; id++) {
            for (int i = 0; i < 3; i++) {
                Route_Start(fixture.route, id, 1);
            }
        }
        for (int i = 0; i < 1000; i++) {
            chosen += choose(&fixture, 2, NULL) == 1;
        }
        g_test_message("%d slow: chosen %d", cases[c].slow_answers, chosen);
        g_assert_cmpint(chosen > 0, ==, cases[c].chosen);
        Route_Destroy(fixture.route);
    }
}

/* Guards against a backend server that is slightly slower than the others and
 * gets no requests at all while they are idle: neither a recovery nor a
 * failure of it would be detected. */
static void
test_idle_pair(void)
{
    Fixture fixture = {0};
    int chosen = 0;

    set_up(&fixture, 2, 0, 0);
    run_request(&fixture, 1, 24000);
    run_request(&fixture, 2, 20000);
    for (int i = 0; i < 1000; i++) {
        chosen += choose(&fixture, 2, NULL) == 1;
    }
    g_test_message("chosen %d of 1000", chosen);
    g_assert_cmpint(chosen, >, 100);
    Route_Destroy(fixture.route);
}

/* Guards against a gray (slow, but not failing) backend server that dominates
 * the tail latency, as it does under round robin, and against load that is
 * spread unevenly over the others. */
static void
test_gray_server(void)
{
    static const double factors[] = {3, 10};

    for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
        RouteModel_desc desc = {.load = 0.5,
                                .retries = RETRIES_BUDGET,
                                .gray_factor = factors[i],
                                .seed = i + 1};
        RouteModelResult routed;
        RouteModelResult round_robin;

        RouteModel_Run(&desc, &routed);
        desc.policy = POLICY_ROUND_ROBIN;
        RouteModel_Run(&desc, &round_robin);
        g_assert_cmpfloat(routed.gray_share, <, 0.5);
        g_assert_cmpfloat(routed.p99_ms, <, 0.8 * round_robin.p99_ms);
        g_assert_cmpfloat(routed.spread, <, 1.25);
    }
}

/* Guards against retries that use up the capacity under overload: at twice the
 * capacity, goodput stays above 90% and attempts stay within the budget.
 * Without a budget the same load must show the loss; otherwise the model would
 * prove nothing. */
static void
test_overload(void)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        RouteModel_desc desc = {.load = 2,
                                .retries = RETRIES_BUDGET,
                                .refusal_ms = 1,
                                .seed = seed};
        RouteModelResult budget;
        RouteModelResult unlimited;

        RouteModel_Run(&desc, &budget);
        desc.retries = RETRIES_UNLIMITED;
        RouteModel_Run(&desc, &unlimited);
        g_test_message("goodput %.3f, without a budget %.3f", budget.goodput,
                       unlimited.goodput);
        g_assert_cmpfloat(budget.goodput, >, 0.9);
        g_assert_cmpfloat(budget.amplification, <, 1.11);
        g_assert_cmpfloat(unlimited.goodput, <, 0.9);
        g_assert_cmpfloat(unlimited.amplification, >, 2);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route/unusable", test_unusable);
    g_test_add_func("/route/weight", test_weight);
    g_test_add_func("/route/load", test_load);
    g_test_add_func("/route/tiers", test_tiers);
    g_test_add_func("/route/spill_ends", test_spill_ends);
    g_test_add_func("/route/avoid", test_avoid);
    g_test_add_func("/route/pools", test_pools);
    g_test_add_func("/route/full_cache", test_full_cache);
    g_test_add_func("/route/latency_step", test_latency_step);
    g_test_add_func("/route/idle_pair", test_idle_pair);
    g_test_add_func("/route/gray_server", test_gray_server);
    g_test_add_func("/route/overload", test_overload);
    return g_test_run();
}
