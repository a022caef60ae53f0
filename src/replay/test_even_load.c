/* Spread of load over the backend servers of a service, by the age of the
 * reports that the senders choose from. */
#include <glib.h>

#include "replay/replay.h"

typedef struct Fleet {
    const char *name;
    guint senders;
    guint servers;
    guint slots;
    double unequal;
    double use; /* share of the capacity */
} Fleet;

static const Fleet fleets[] = {
    {"40 to 40", 40, 40, 8, 0, 0.6},
    {"40 to 40 unequal", 40, 40, 8, 0.5, 0.6},
    {"40 to 8", 40, 8, 8, 0, 0.7},
    {"120 to 120", 120, 120, 8, 0, 0.6},
    {"120 to 40 unequal", 120, 40, 15, 0.5, 0.7},
    {"300 to 300", 300, 300, 8, 0, 0.6},
    {"300 to 85 unequal", 300, 85, 8, 0.5, 0.8},
};

#define SERVICE_MS 400

static double
share(guint count, const ReplayOutcome *outcome)
{
    return (double)count / outcome->asked;
}

static ReplaySpread
play(const Fleet *fleet, const ReplayPhase *phase, gboolean even_load,
     ReplayOutcome *outcome)
{
    ReplayService service = {"s", fleet->servers, fleet->slots,
                             fleet->unequal};
    ReplayStream stream = {.name = "a",
                           .per_s = fleet->use * fleet->servers *
                                    fleet->slots * 1000 / SERVICE_MS,
                           .service_ms = SERVICE_MS,
                           .target_ms = 2000,
                           .deadline_ms = 8000,
                           .priority = 1,
                           .idempotent = TRUE};
    Replay_desc desc = {.services = &service,
                        .service_count = 1,
                        .streams = &stream,
                        .stream_count = 1,
                        .phases = phase,
                        .phase_count = phase != NULL,
                        .senders = fleet->senders,
                        .length_ms = 16000,
                        .even_load = even_load,
                        .seed = 7};
    Replay *replay = Replay_Create(&desc);
    ReplaySpread spread;

    Replay_Run(replay);
    *outcome = *Replay_Outcome(replay, 0);
    spread = Replay_Spread(replay, 0);
    Replay_Destroy(replay);
    g_test_message("%-18s %d: avg max %.2f cv %.3f now max %.2f cv %.3f load "
                   "%.2f | offers "
                   "%.3f busy %.4f risky %.4f in time %.4f ms %.0f",
                   fleet->name, even_load, spread.max, spread.variation,
                   spread.now_max, spread.now_variation, spread.mean,
                   (double)outcome->asks / outcome->asked,
                   (double)outcome->busy / outcome->asks,
                   (double)outcome->risky / outcome->asks,
                   (double)outcome->in_time / outcome->asked,
                   (double)outcome->served_ms /
                       (outcome->in_time + outcome->late));
    return spread;
}

/* Guards against a choice that spreads load worse than the one without
 * even_load, refuses more offers, or makes more of them. */
static void
test_spread(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
        ReplayOutcome before;
        ReplayOutcome after;
        ReplaySpread spread_before = play(&fleets[i], NULL, FALSE, &before);
        ReplaySpread spread = play(&fleets[i], NULL, TRUE, &after);

        g_assert_cmpfloat(spread.now_variation, <,
                          0.95 * spread_before.now_variation);
        /* The random arrivals of the two runs differ. */
        g_assert_cmpfloat(share(after.asks, &after), <=,
                          share(before.asks, &before));
        g_assert_cmpfloat((double)after.busy / after.asks, <=,
                          (double)before.busy / before.asks);
        g_assert_cmpfloat(share(after.in_time, &after), >=,
                          share(before.in_time, &before));
    }
}

/* Guards against senders that keep preferring hosts whose last report was good
 * and that have died or become slow since, and against a service that counts
 * as full because a part of it is. */
static void
test_faults(void)
{
    static const ReplayPhase phases[] = {
        {REPLAY_GONE, 0, 6000, 10000, 0.25},
        {REPLAY_SLOW, 0, 6000, 12000, 0.33, 6},
        {REPLAY_FAIL, 0, 6000, 12000, 0.2, 0.75},
    };
    static const Fleet fleet = {"120 to 40", 120, 40, 8, 0, 0.5};

    for (size_t i = 0; i < G_N_ELEMENTS(phases); i++) {
        ReplayOutcome before;
        ReplayOutcome after;

        (void)play(&fleet, &phases[i], FALSE, &before);
        (void)play(&fleet, &phases[i], TRUE, &after);
        g_assert_cmpfloat(share(after.in_time, &after), >=,
                          share(before.in_time, &before) - 0.002);
        g_assert_cmpfloat(share(after.asks, &after), <=,
                          share(before.asks, &before) + 0.002);
    }
}

/* Plays a service of 8 with 8 slots each at `use` times its capacity. Adds up
 * the outcome of all streams. */
static ReplayOutcome
play_full(double use, gboolean even_load)
{
    static const ReplayService service = {"s", 8, 8};
    ReplayStream streams[] = {
        {"urgent", 0, 48, 360, 1500, 6000, 0, TRUE},
        {"other", 0, 0, 200, 2000, 8000, 2, TRUE},
        {"single", 0, 0, 400, 5000, 10000, 2, FALSE},
    };
    double rest = (use * 8 * 8 * 1000 - 48 * 360) / 2;
    Replay_desc desc = {.services = &service,
                        .service_count = 1,
                        .streams = streams,
                        .stream_count = G_N_ELEMENTS(streams),
                        .senders = 77,
                        .length_ms = 20000,
                        .even_load = even_load,
                        .seed = 7};
    ReplayOutcome sum = {0};
    Replay *replay;

    streams[1].per_s = rest / 200;
    streams[2].per_s = rest / 400;
    replay = Replay_Create(&desc);
    Replay_Run(replay);
    for (guint i = 0; i < G_N_ELEMENTS(streams); i++) {
        const ReplayOutcome *outcome = Replay_Outcome(replay, i);

        sum.asked += outcome->asked;
        sum.in_time += outcome->in_time;
        sum.expired += outcome->expired;
        sum.asks += outcome->asks;
    }
    Replay_Destroy(replay);
    return sum;
}

/* Guards against offers to owners of a service that is known to be full, and
 * against refusals of requests that would have been served. */
static void
test_full(void)
{
    static const double uses[] = {1.3, 1.6, 2.0};

    for (size_t i = 0; i < G_N_ELEMENTS(uses); i++) {
        ReplayOutcome before = play_full(uses[i], FALSE);
        ReplayOutcome after = play_full(uses[i], TRUE);

        g_test_message("%.1f: offers %.2f, %.2f in time %.3f, %.3f", uses[i],
                       share(before.asks, &before), share(after.asks, &after),
                       share(before.in_time, &before),
                       share(after.in_time, &after));
        g_assert_cmpfloat(share(after.asks, &after), <=,
                          0.75 * share(before.asks, &before));
        g_assert_cmpfloat(share(after.in_time, &after), >=,
                          share(before.in_time, &before));
        g_assert_cmpuint(after.expired, ==, 0);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/replay/even-load", test_spread);
    g_test_add_func("/replay/even-load-faults", test_faults);
    g_test_add_func("/replay/full", test_full);
    return g_test_run();
}
