/* bench_route: compares the routing choice with round robin and random choice
 * (load spread, tail latency, overload) and measures the cost of one choice.
 * Prints CSV.
 *
 * Usage: bench_route [SEED]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "route/test_route_model.h"

static const char *const policy_names[] = {"route", "round_robin", "random"};
static const char *const retry_names[] = {"none", "budget", "unlimited"};

static void
print_run(const char *name, const RouteModel_desc *desc)
{
    RouteModelResult result;

    RouteModel_Run(desc, &result);
    printf("%s,%s,%s,%g,%.3f,%.3f,%.1f,%.1f,%.1f,%.3f,%.2f,%.4f\n", name,
           policy_names[desc->policy], retry_names[desc->retries], desc->load,
           result.goodput, result.amplification, result.median_ms,
           result.p99_ms, result.p999_ms, result.spread, result.gray_share,
           1 - (double)result.answered / (double)result.requests);
}

static void
print_cost(uint32_t count)
{
    enum { CALLS = 2000000 };
    RouteCandidate *candidates = g_new0(RouteCandidate, count);
    Route *route = Route_Create(&(Route_desc){.seed = 1});
    RouteSet set;
    int64_t start_us;
    int64_t elapsed_us;
    uint64_t sum = 0;

    for (uint32_t i = 0; i < count; i++) {
        candidates[i] = (RouteCandidate){.backend_server = i + 1,
                                         .host = i + 1,
                                         .region = 1 + i % 3,
                                         .data_centre = 1 + i % 6,
                                         .weight = i % 12 == 5 ? 5 : 100,
                                         .slots = 5,
                                         .latency_class = 60};
    }
    Route_Order(1, candidates, count, 1, 1, &set);
    start_us = Clock_NowMicroseconds();
    for (int i = 0; i < CALLS; i++) {
        ClockMs now = i / 1000;
        int chosen = Route_Choose(route, &set, NULL, 0, now, NULL);

        if (chosen >= 0) {
            uint64_t id = set.candidates[chosen].backend_server;
            RouteLoad load = {.slots_in_use = 1, .latency_us = 20000};

            sum += id;
            Route_Start(route, id, now);
            Route_End(route, id, &load, now);
        }
    }
    elapsed_us = Clock_NowMicroseconds() - start_us;
    printf("cost,candidates=%u,ns_for_choose_start_end=%.0f,check=%d\n", count,
           (double)elapsed_us * 1000 / CALLS, sum > 0);
    Route_Destroy(route);
    g_free(candidates);
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    static const double grays[] = {0, 3, 10, 50};
    static const double loads[] = {0.3, 0.6, 0.8};

    printf("case,policy,retries,load,goodput,amplification,median_ms,p99_ms,"
           "p999_ms,spread,gray_share,missed\n");
    for (int policy = 0; policy < 3; policy++) {
        for (size_t i = 0; i < G_N_ELEMENTS(grays); i++) {
            for (size_t k = 0; k < G_N_ELEMENTS(loads); k++) {
                char name[32];

                snprintf(name, sizeof(name), "gray%g", grays[i]);
                print_run(name,
                          &(RouteModel_desc){.policy = (RoutePolicy)policy,
                                             .retries = RETRIES_BUDGET,
                                             .load = loads[k],
                                             .gray_factor = grays[i],
                                             .seed = seed});
            }
        }
        for (int retries = 0; retries < 3; retries++) {
            print_run("overload",
                      &(RouteModel_desc){.policy = (RoutePolicy)policy,
                                         .retries = (RetryPolicy)retries,
                                         .load = 2,
                                         .refusal_ms = 1,
                                         .seed = seed});
        }
    }
    print_cost(12);
    print_cost(1000);
    return 0;
}
