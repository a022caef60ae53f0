/* Tests of the choice of a backend server. */
#include <glib.h>
#include <math.h>

#include "route/route.h"
#include "route/test_route_model.h"

#define CANDIDATES 64

typedef struct World {
    Route *route;
    RouteSet set;
    RouteCandidate candidates[CANDIDATES];
} World;

/* near, region, far: numbers of candidates; the own place is (1, 1). */
static void
set_up(World *world, uint32_t near, uint32_t region, uint32_t far)
{
    uint32_t count = near + region + far;

    for (uint32_t i = 0; i < count; i++) {
        /* In mixed order: Route_Order() has to sort them. */
        uint32_t at = (i * 7 + 3) % count;

        while (world->candidates[at].slots != 0) {
            at = (at + 1) % count;
        }
        world->candidates[at] =
            (RouteCandidate){.backend_server = i + 1,
                             .host = 100 + i,
                             .region = i < near + region ? 1 : 2,
                             .data_centre = i < near            ? 1
                                            : i < near + region ? 2
                                                                : 3,
                             .weight = 100,
                             .slots = 5};
    }
    Route_Order(9, world->candidates, count, 1, 1, &world->set);
    world->route = Route_Create(&(Route_desc){.seed = 7});
}

static uint64_t
choose(World *world, ClockMs now, RouteTier *tier)
{
    int index = Route_Choose(world->route, &world->set, NULL, 0, now, tier);

    return index < 0 ? 0 : world->candidates[index].backend_server;
}

static RouteCandidate *
find(World *world, uint64_t id)
{
    for (uint32_t i = 0; i < world->set.count; i++) {
        if (world->candidates[i].backend_server == id) {
            return &world->candidates[i];
        }
    }
    return NULL;
}

/* One request that ends with an answer after `latency_us`. */
static void
finish(World *world, uint64_t id, int64_t latency_us)
{
    Route_Start(world->route, id, 0);
    Route_End(world->route, id, &(RouteLoad){.latency_us = latency_us}, 1);
}

/* Guards against choices of backend servers that take no new work, that
 * failed in this request, or that are ejected. */
static void
test_unusable(void)
{
    World world = {0};
    uint64_t excluded[] = {4, 5};

    set_up(&world, 6, 0, 0);
    find(&world, 1)->state = ROUTE_DRAINING;
    find(&world, 2)->state = ROUTE_LEAVING;
    find(&world, 3)->weight = 0;
    for (int i = 0; i < 2000; i++) {
        int index =
            Route_Choose(world.route, &world.set, excluded, 2, i, NULL);

        g_assert_cmpint(index, >=, 0);
        g_assert_cmpuint(world.candidates[index].backend_server, ==, 6);
    }
    find(&world, 6)->weight = 0;
    g_assert_cmpint(
        Route_Choose(world.route, &world.set, excluded, 2, 0, NULL), ==, -1);
    Route_Destroy(world.route);
}

/* Guards against a weight without effect, and against one that counts twice
 * so that a backend server on probation gets no trials. */
static void
test_weight(void)
{
    World world = {0};
    int low = 0;
    int calls = 40000;

    set_up(&world, 12, 0, 0);
    find(&world, 1)->weight = 5;
    for (int i = 0; i < calls; i++) {
        low += choose(&world, i, NULL) == 1;
    }
    g_assert_cmpint(low, >, calls / 12 / 50);
    g_assert_cmpint(low, <, calls / 12 / 5);
    Route_Destroy(world.route);
}

/* Guards against load that is not spread by slots in use. */
static void
test_load(void)
{
    World world = {0};
    int busy = 0;

    set_up(&world, 12, 0, 0);
    Route_Start(world.route, 1, 0);
    Route_End(world.route, 1, &(RouteLoad){.slots_in_use = 5, .queue = 5}, 0);
    for (int i = 0; i < 2000; i++) {
        busy += choose(&world, 100, NULL) == 1;
    }
    g_assert_cmpint(busy, <, 20);
    busy = 0;
    /* An old report loses its weight. */
    for (int i = 0; i < 2000; i++) {
        uint64_t id = choose(&world, 600000, NULL);

        busy += id == 1;
        Route_Start(world.route, id, 600000);
        Route_End(world.route, id, NULL, 600000);
    }
    g_assert_cmpint(busy, >, 20);
    Route_Destroy(world.route);
}

typedef struct TierCase {
    const char *name;
    uint32_t near, region, far;
    gboolean near_full, region_full;
    double least_far, most_far; /* shares of the choices */
    double least_near, most_near;
} TierCase;

/* Guards against traffic to other regions without need or above its bound,
 * and against requests that fail although another tier has room. */
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
        World world = {0};
        int counts[3] = {0};
        uint32_t near = cases[i].near;

        set_up(&world, near, cases[i].region, cases[i].far);
        for (uint64_t id = 1; id <= near + cases[i].region; id++) {
            gboolean full =
                id <= near ? cases[i].near_full : cases[i].region_full;

            for (int k = 0; full && k < 6; k++) {
                Route_Start(world.route, id, 0);
            }
        }
        for (int k = 0; k < calls; k++) {
            RouteTier tier;

            g_assert_cmpuint(choose(&world, k, &tier), !=, 0);
            counts[tier]++;
        }
        g_test_message("%s: %d %d %d", cases[i].name, counts[0], counts[1],
                       counts[2]);
        g_assert_cmpfloat(counts[2], >=, cases[i].least_far * calls);
        g_assert_cmpfloat(counts[2], <=, cases[i].most_far * calls + 3);
        g_assert_cmpfloat(counts[0], >=, cases[i].least_near * calls);
        g_assert_cmpfloat(counts[0], <=, cases[i].most_near * calls);
        Route_Destroy(world.route);
    }
}

/* Guards against spilling that goes on after the need has ended. */
static void
test_spill_ends(void)
{
    World world = {0};
    RouteTier tier;

    set_up(&world, 2, 0, 2);
    for (int k = 0; k < 6; k++) {
        Route_Start(world.route, 1, 0);
        Route_Start(world.route, 2, 0);
    }
    for (int k = 0; k < 1000; k++) {
        choose(&world, k, NULL);
    }
    for (int k = 0; k < 6; k++) {
        Route_End(world.route, 1, NULL, 1000);
        Route_End(world.route, 2, NULL, 1000);
    }
    for (int k = 0; k < 1000; k++) {
        g_assert_cmpuint(choose(&world, 1000 + k, &tier), !=, 0);
        g_assert_cmpint(tier, ==, ROUTE_TIER_DATA_CENTRE);
    }
    Route_Destroy(world.route);
}

/* Guards against requests to a host that cannot be reached, against a host
 * that is never tried again, and against a rush of trials. */
static void
test_avoid(void)
{
    World world = {0};
    ClockMs now = 0;
    ClockMs expected = 500;

    set_up(&world, 2, 0, 0);
    for (int round = 0; round < 8; round++) {
        uint64_t host = find(&world, 1)->host;
        int trials = 0;

        /* Ten requests fail together. */
        for (int i = 0; i < 10; i++) {
            Route_ConnectFailed(world.route, host, now);
        }
        for (ClockMs end = now + expected; now < end; now += 10) {
            g_assert_true(Route_IsAvoided(world.route, host, now));
            g_assert_cmpuint(choose(&world, now, NULL), ==, 2);
        }
        for (int i = 0; i < 200; i++) {
            trials += choose(&world, now, NULL) == 1;
        }
        g_assert_cmpint(trials, ==, 1);
        expected = MIN(expected * 2, 30000);
    }
    Route_ConnectOk(world.route, find(&world, 1)->host);
    g_assert_false(Route_IsAvoided(world.route, find(&world, 1)->host, now));
    Route_ConnectFailed(world.route, find(&world, 1)->host, now);
    g_assert_false(
        Route_IsAvoided(world.route, find(&world, 1)->host, now + 500));
    Route_Destroy(world.route);
}

/* Guards against subjects that change sides of a split, against shares that
 * are not kept, and against a pool without share that gets requests. */
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
        uint64_t first = before[Route_ChoosePool(before, 3, hash, &rng)].pool;
        uint64_t again = before[Route_ChoosePool(before, 3, hash, &rng)].pool;
        uint64_t later = after[Route_ChoosePool(after, 2, hash, &rng)].pool;

        g_assert_cmpuint(first, ==, again);
        g_assert_true(first == later || later == 11);
        old_side += first == 11;
        new_side += later == 11;
    }
    g_assert_cmpint(ABS(old_side - 2000), <, 200);
    g_assert_cmpint(ABS(new_side - 5000), <, 300);
    g_assert_cmpint(Route_ChoosePool(&before[2], 1, 5, &rng), ==, -1);
    g_assert_cmpint(Route_ChoosePool(before, 2, 0, &rng), >=, 0);
}

/* Guards against requests in flight that are forgotten when the load cache is
 * full. */
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

/* Guards against a backend server that has become 10 times slower and goes on
 * getting work whenever the others are a little loaded, because one latency in
 * eight moves the mean too slowly; and against one slow answer of a long tail
 * that takes a healthy backend server's work away. */
static void
test_latency_step(void)
{
    static const struct {
        int slow_answers;
        gboolean chosen;
    } cases[] = {{1, TRUE}, {2, FALSE}, {3, FALSE}};

    for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
        World world = {0};
        int chosen = 0;

        set_up(&world, 4, 0, 0);
        for (uint64_t id = 1; id <= 4; id++) {
            finish(&world, id, 20000);
        }
        for (int i = 0; i < cases[c].slow_answers; i++) {
            finish(&world, 1, 200000);
        }
        /* The others have 3 requests of this entry in flight each. */
        for (uint64_t id = 2; id <= 4; id++) {
            for (int i = 0; i < 3; i++) {
                Route_Start(world.route, id, 1);
            }
        }
        for (int i = 0; i < 1000; i++) {
            chosen += choose(&world, 2, NULL) == 1;
        }
        g_test_message("%d slow: chosen %d", cases[c].slow_answers, chosen);
        g_assert_cmpint(chosen > 0, ==, cases[c].chosen);
        Route_Destroy(world.route);
    }
}

/* Guards against a backend server that is a little slower than the others and
 * gets no work at all while they are idle: nobody would see that it has become
 * faster, or that it has failed. */
static void
test_idle_pair(void)
{
    World world = {0};
    int chosen = 0;

    set_up(&world, 2, 0, 0);
    finish(&world, 1, 24000);
    finish(&world, 2, 20000);
    for (int i = 0; i < 1000; i++) {
        chosen += choose(&world, 2, NULL) == 1;
    }
    g_test_message("chosen %d of 1000", chosen);
    g_assert_cmpint(chosen, >, 100);
    Route_Destroy(world.route);
}

/* Guards against a gray backend server that sets the tail latency, as it does
 * under round robin, and against load that is spread unevenly over the rest.
 */
static void
test_gray_server(void)
{
    static const double factors[] = {3, 10};

    for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
        RouteModel_desc desc = {.load = 0.5,
                                .retries = RETRIES_BUDGET,
                                .gray_factor = factors[i],
                                .seed = i + 1};
        RouteModelResult chosen;
        RouteModelResult in_turn;

        RouteModel_Run(&desc, &chosen);
        desc.policy = POLICY_ROUND_ROBIN;
        RouteModel_Run(&desc, &in_turn);
        g_assert_cmpfloat(chosen.gray_share, <, 0.5);
        g_assert_cmpfloat(chosen.tail_ms, <, 0.8 * in_turn.tail_ms);
        g_assert_cmpfloat(chosen.spread, <, 1.25);
    }
}

/* Guards against retries that take the capacity at twice the load: goodput
 * stays above 90% and attempts within the budget. Without a budget the same
 * load must show the loss, or the model proves nothing. */
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
