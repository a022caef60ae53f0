/* bench_rate: compares the fleet-wide rate limit with static shares and with a
 * single leased home host per team, and measures the cost of a take and a
 * draw.
 *
 * Usage: bench_rate [--seed N] [--csv]
 *
 * "calm" runs 120 s without failures. "day" is an ordinary day at 1/60 of its
 * length: leases of 12 min instead of 12 h, and the fleet's crashes (440 of
 * 7,400 hosts a day) and restarts (17,000 a day) at 60 times their rate.
 * Grants and take-overs are not shortened, so their share of the loss is
 * overstated.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "rate/rate_sim.h"

#define HOSTS 48
#define DAY_SECONDS 1440
#define DRAWS 200000

static const RateSimTeam_desc teams[] = {
    {{1, 2}, 0.3, RATE_SIM_EVEN},       {{1, 2}, 0.3, RATE_SIM_SKEWED},
    {{10, 10}, 0.7, RATE_SIM_EVEN},     {{20, 40}, 0.7, RATE_SIM_EVEN},
    {{20, 40}, 0.7, RATE_SIM_SKEWED},   {{100, 200}, 0.7, RATE_SIM_EVEN},
    {{100, 200}, 0.7, RATE_SIM_REGION}, {{100, 200}, 0.7, RATE_SIM_SKEWED},
    {{200, 400}, 0.9, RATE_SIM_EVEN},   {{100, 100}, 4.0, RATE_SIM_EVEN},
};

static const char *const traffic_names[] = {"even", "one region", "skewed"};
static const char *const scheme_names[] = {"slots", "static", "one home"};

static const struct {
    const char *name;
    int seconds;
    double crashes;  /* crashes per second in the fleet */
    double restarts; /* restarts per second in the fleet */
} runs[] = {
    {"calm", 120, 0.0, 0.0},
    {"day", DAY_SECONDS, HOSTS * 440.0 / 7400.0 / DAY_SECONDS,
     HOSTS * 17000.0 / 7400.0 / DAY_SECONDS},
};

typedef struct Day {
    double crashes;
    double restarts;
    int crash_count;
    int restart_count;
    int down_until[HOSTS];
} Day;

static void
day_script(void *context, RateSim *sim, int second)
{
    Day *day = context;

    for (int i = 0; i < HOSTS; i++) {
        if (day->down_until[i] == second) {
            RateSim_Start(sim, i, FALSE);
        }
    }
    if (Rng_Unit(RateSim_Rng(sim)) < day->crashes) {
        int host = (int)Rng_Below(RateSim_Rng(sim), HOSTS);

        if (RateSim_IsUp(sim, host)) {
            RateSim_Kill(sim, host);
            day->down_until[host] = second + 30;
            day->crash_count++;
        }
    }
    if (Rng_Unit(RateSim_Rng(sim)) < day->restarts) {
        RateSim_Restart(sim, (int)Rng_Below(RateSim_Rng(sim), HOSTS));
        day->restart_count++;
    }
}

static double
percent(int64_t part, int64_t whole)
{
    return whole > 0 ? 100.0 * (double)part / (double)whole : 0.0;
}

static void
print_team(const char *run, const RateSimTeam *team, gboolean csv)
{
    const char *format =
        csv ? "%s,%d,%d,%.1f,%s,%ld,%ld,%s,%ld,%.4f,%.4f,%ld\n"
            : "%-5s %4d %4d %4.1f %-10s %7ld %7ld %-8s %7ld %8.4f %8.4f %ld\n";

    for (int i = 0; i < RATE_SIM_SCHEMES; i++) {
        const RateSimScore *score = &team->score[i];

        printf(format, run, (int)team->desc.limit.rate_per_s,
               (int)team->desc.limit.burst, team->desc.load,
               traffic_names[team->desc.traffic], (long)team->offered,
               (long)team->ideal, scheme_names[i], (long)score->admitted,
               percent(score->wrong, team->offered),
               percent(score->strict, team->offered),
               (long)(i == RATE_SIM_SLOTS ? team->above : 0));
    }
}

/* Prints sums over the teams that stay within their rate, and the worst-served
 * of them. */
static void
print_sums(const char *run, const RateSim *sim)
{
    for (int i = 0; i < RATE_SIM_SCHEMES; i++) {
        int64_t offered = 0;
        int64_t wrong = 0;
        double worst = 100.0;

        for (size_t k = 0; k < G_N_ELEMENTS(teams); k++) {
            const RateSimTeam *team = RateSim_Team(sim, (int)k);

            if (team->desc.load < 1.0) {
                offered += team->offered;
                wrong += team->score[i].wrong;
                worst =
                    MIN(worst, percent(team->score[i].admitted, team->ideal));
            }
        }
        printf("%s, teams within their rate, %s: %.4f%% refused wrongly, "
               "worst-served team gets %.2f%% of the ideal\n",
               run, scheme_names[i], percent(wrong, offered), worst);
    }
}

static void
compare(uint64_t seed, size_t run, gboolean csv)
{
    Day day = {.crashes = runs[run].crashes, .restarts = runs[run].restarts};
    RateSimCost cost;
    RateSim *sim;
    int64_t offered = 0;
    int64_t admitted = 0;

    sim = RateSim_Create(&(RateSim_desc){.seed = seed,
                                         .hosts = HOSTS,
                                         .regions = 3,
                                         .data_centres = 2,
                                         .fleet_slots = 512,
                                         .lease_ms = 720000,
                                         .seconds = runs[run].seconds,
                                         .drift_ppm = 2500,
                                         .loss = 0.0001,
                                         .deadline_ms = 1000,
                                         .script = day_script,
                                         .context = &day});
    for (size_t i = 0; i < G_N_ELEMENTS(teams); i++) {
        RateSim_AddTeam(sim, &teams[i]);
    }
    RateSim_Run(sim);
    for (size_t i = 0; i < G_N_ELEMENTS(teams); i++) {
        const RateSimTeam *team = RateSim_Team(sim, (int)i);

        print_team(runs[run].name, team, csv);
        offered += team->offered;
        admitted += team->score[RATE_SIM_SLOTS].admitted;
    }
    cost = RateSim_Cost(sim);
    if (!csv) {
        print_sums(runs[run].name, sim);
        printf("%s: %d crashes, %d restarts; for each request %.3f draws and "
               "%.3f settlements, %.2f ms mean wait; %ld store reads, %ld "
               "writes, at most %ld writes in one second\n\n",
               runs[run].name, day.crash_count, day.restart_count,
               (double)cost.draws / (double)offered,
               (double)cost.settles / (double)offered,
               (double)cost.wait_us / 1000.0 / (double)admitted,
               (long)cost.store_reads, (long)cost.store_writes,
               (long)cost.max_writes_in_second);
    }
    RateSim_Destroy(sim);
}

static gboolean
lookup(void *context, uint64_t team, RateLimit *limit, ClockMs *in_force_ms)
{
    (void)context;
    *limit = team % 100 == 0 ? (RateLimit){1000, 2000} : (RateLimit){10, 20};
    *in_force_ms = -100000;
    return TRUE;
}

/* Measures one entry at 300 requests/s over many teams: the rate of draws, and
 * the time of a take with its use and of a draw. */
static void
measure_entry(uint64_t seed, uint32_t active)
{
    RateHolder *holder = RateHolder_Create(
        &(RateHolder_desc){.lookup = lookup, .fleet_slots = 512});
    RateCache *cache =
        RateCache_Create(&(RateCache_desc){.entry = 1, .incarnation = 1});
    int64_t take_us = 0;
    int64_t draw_us = 0;
    long draws = 0;
    Rng rng;

    Rng_Seed(&rng, seed);
    for (int i = 0; i < 512; i++) {
        RateHolder_OpenSlot(holder, i, 1, 1, INT64_C(1) << 40, 0);
        RateCache_SetHolder(cache, i, 9, 1, RATE_REGION);
    }
    for (int i = 0; i < DRAWS; i++) {
        ClockMs now = 10000 + i * INT64_C(1000) / 300;
        /* 80% of the requests come from 1% of the teams. */
        uint64_t span = Rng_Below(&rng, 5) > 0 ? MAX(active / 100, 1) : active;
        uint64_t team = 1 + Rng_Below(&rng, span);
        RateLimit limit;
        ClockMs in_force;
        RateToken token;
        RatePlan plan;
        RateGrant grant;
        int retry;
        int64_t start = Clock_NowMicroseconds();
        Result result;

        lookup(NULL, team, &limit, &in_force);
        result = RateCache_Take(cache, team, &limit, now, &token, &retry);
        if (result == RESULT_NOT_FOUND) {
            int64_t before = Clock_NowMicroseconds();

            if (RateCache_Plan(cache, team, 1, now, &plan, 1) == 1 &&
                RateHolder_Draw(holder, &plan.draw, now, &grant) ==
                    RESULT_OK) {
                RateCache_Granted(cache, &plan, &grant, now);
            }
            draw_us += Clock_NowMicroseconds() - before;
            draws++;
            start = Clock_NowMicroseconds();
            result = RateCache_Take(cache, team, &limit, now, &token, &retry);
        }
        if (result == RESULT_OK) {
            RateCache_Use(cache, &token, now);
        }
        take_us += Clock_NowMicroseconds() - start;
        if (i % 15 == 0) {
            uint64_t host;
            uint64_t incarnation;
            RateUse uses[64];

            RateCache_Tick(cache, now);
            while (RateCache_NextSettlement(cache, now, &host, &incarnation)) {
                int count =
                    RateCache_Settle(cache, host, incarnation, uses, 64, now);

                RateHolder_Settle(holder, 1, uses, count, now);
            }
            RateHolder_Tick(holder, now);
        }
    }
    printf("%u active teams at 300 requests/s: %.1f draws/s, take and use "
           "%.0f ns, plan and draw %.0f ns, cache %zu KiB, holder %zu KiB\n",
           active, 300.0 * (double)draws / DRAWS,
           1000.0 * (double)take_us / DRAWS,
           1000.0 * (double)draw_us / (double)MAX(draws, 1),
           RateCache_MemoryBytes(cache) / 1024,
           RateHolder_MemoryBytes(holder) / 1024);
    RateCache_Destroy(cache);
    RateHolder_Destroy(holder);
}

int
main(int argc, char **argv)
{
    uint64_t seed = 1;
    gboolean csv = FALSE;

    for (int i = 1; i < argc; i++) {
        if (strcmp(argv[i], "--csv") == 0) {
            csv = TRUE;
        }
        else if (strcmp(argv[i], "--seed") == 0 && i + 1 < argc) {
            seed = strtoull(argv[++i], NULL, 10);
        }
    }
    printf(csv ? "run,rate,burst,load,traffic,offered,ideal,scheme,admitted,"
                 "wrong_percent,strict_percent,above\n"
               : "run   rate burst load traffic  offered   ideal scheme  "
                 "admitted  wrong %%  strict %% above\n");
    for (size_t i = 0; i < G_N_ELEMENTS(runs); i++) {
        compare(seed, i, csv);
    }
    if (!csv) {
        measure_entry(seed, 8);
        measure_entry(seed, 1000);
        measure_entry(seed, 30000);
    }
    return 0;
}
