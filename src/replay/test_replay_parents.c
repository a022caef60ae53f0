/* Replays of a service that has urgent requests of its own and is called more
 * than it can serve. */
#include <glib.h>

#include "replay/replay.h"

enum { CLOSING, STORE, SERVICES };
enum { CLOSURE, CALL, PURCHASE, STREAMS };

/* Operator B (docs/hard-load.md). The closing service has room for all
 * closures. */
static const ReplayService services[SERVICES] = {{"closing", 41, 8},
                                                 {"store", 8, 8}};

static const ReplayStream streams[STREAMS] = {
    {.name = "closure",
     .service = CLOSING,
     .per_s = 164,
     .service_ms = 530,
     .target_ms = 5000,
     .deadline_ms = 10000,
     .priority = 2,
     .calls = 2,
     .called = CALL,
     .one_by_one = TRUE,
     .call_share = 0.7},
    {.name = "call",
     .service = STORE,
     .service_ms = 130,
     .target_ms = 500,
     .deadline_ms = 1500,
     .idempotent = TRUE,
     .relative_size = 0.1},
    {.name = "purchase",
     .service = STORE,
     .per_s = 48,
     .service_ms = 360,
     .target_ms = 1500,
     .deadline_ms = 6000},
};

/* Difference in a share that the random arrivals of two runs make. */
#define NOISE 0.02

/* Runs with different arrivals that are added up. */
#define SEEDS 2

/* Slot time that the requests of a second need at the called service. */
static double
demand(void)
{
    return 48 * 0.360 + 164 * 0.7 * 2 * 0.130;
}

typedef struct Result {
    ReplayOutcome outcomes[STREAMS];
    double worth; /* of what was asked, by the operator's values */
} Result;

static double
worth_of(const ReplayOutcome *outcomes)
{
    static const double values[STREAMS] = {1.1, 0, 6.1};
    double earned = 0;
    double asked = 0;

    for (guint i = 0; i < STREAMS; i++) {
        earned += values[i] * (outcomes[i].in_time + 0.3 * outcomes[i].late);
        asked += values[i] * outcomes[i].asked;
    }
    return earned / asked;
}

static void
play_seed(const ReplayStream *loads, const ReplayPhase *phase,
          gboolean by_value, gboolean no_gate, guint64 seed,
          ReplayOutcome *outcomes)
{
    Replay_desc desc = {.services = services,
                        .service_count = SERVICES,
                        .streams = loads,
                        .stream_count = STREAMS,
                        .phases = phase,
                        .phase_count = phase != NULL,
                        .regions = 3,
                        .senders = 77,
                        .retry_slack = 170,
                        .length_ms = 12000,
                        .by_value = by_value,
                        .no_gate = no_gate,
                        .seed = seed};
    Replay *replay = Replay_Create(&desc);

    Replay_Run(replay);
    for (guint i = 0; i < STREAMS; i++) {
        const ReplayOutcome *outcome = Replay_Outcome(replay, i);

        outcomes[i].asked += outcome->asked;
        outcomes[i].in_time += outcome->in_time;
        outcomes[i].late += outcome->late;
        outcomes[i].refused += outcome->refused;
        outcomes[i].failed += outcome->failed;
        outcomes[i].vain_ms += outcome->vain_ms;
    }
    Replay_Destroy(replay);
}

/* Plays the load at `factor` times the capacity of the called service. */
static Result
play(double factor, double call_share, const ReplayPhase *phase,
     gboolean by_value, gboolean no_gate)
{
    ReplayStream loads[STREAMS];
    double scale =
        factor * services[STORE].servers * services[STORE].slots / demand();
    Result result = {0};

    for (guint i = 0; i < STREAMS; i++) {
        loads[i] = streams[i];
        loads[i].per_s *= scale;
    }
    loads[CLOSURE].call_share = call_share;
    for (guint64 seed = 0; seed < SEEDS; seed++) {
        play_seed(loads, phase, by_value, no_gate, seed, result.outcomes);
    }
    result.worth = worth_of(result.outcomes);
    return result;
}

static double
share_of(guint count, const ReplayOutcome *outcome)
{
    return (double)count / outcome->asked;
}

/* The same load with the former order, with the parents' priorities, and with
 * the gate as well. */
typedef struct Results {
    Result plain;
    Result order;
    Result gate;
} Results;

static Results
play_all(double factor, double call_share, const ReplayPhase *phase)
{
    Results results = {
        .plain = play(factor, call_share, phase, FALSE, TRUE),
        .order = play(factor, call_share, phase, TRUE, TRUE),
        .gate = play(factor, call_share, phase, TRUE, FALSE),
    };
    const Result *all[] = {&results.plain, &results.order, &results.gate};

    for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
        const ReplayOutcome *closure = &all[i]->outcomes[CLOSURE];
        const ReplayOutcome *purchase = &all[i]->outcomes[PURCHASE];

        g_test_message("%.1f, %.1f call, policy %zu: worth %.3f purchases "
                       "%.2f closures %.2f failed %.2f refused %.2f vain %d s",
                       factor, call_share, i, all[i]->worth,
                       share_of(purchase->in_time, purchase),
                       share_of(closure->in_time, closure),
                       share_of(closure->failed, closure),
                       share_of(closure->refused, closure),
                       (int)(closure->vain_ms / 1000));
    }
    return results;
}

static void
check_gate(const Results *results)
{
    const ReplayOutcome *order = &results->order.outcomes[CLOSURE];
    const ReplayOutcome *gate = &results->gate.outcomes[CLOSURE];

    /* Never more refused than would have failed, so no fewer answered. */
    g_assert_cmpfloat(share_of(gate->refused, gate), <=,
                      share_of(order->failed, order));
    g_assert_cmpfloat(share_of(gate->in_time, gate), >=,
                      share_of(order->in_time, order) - NOISE);
    g_assert_cmpfloat(share_of(gate->failed, gate), <=,
                      share_of(order->failed, order) + NOISE);
}

typedef struct OverloadCase {
    const char *path; /* a test of its own in CMakeLists.txt */
    double factor;
    double call_share;
} OverloadCase;

/* Replays operator B's load from calm to 2.5 times the capacity of the called
 * service, with 7 of 10 closures that make calls and with all. Guards against
 * urgent requests that are served worst because calls come first, a gate that
 * refuses more closures than would fail without it, and a price in calm. */
static void
test_overload(gconstpointer context)
{
    const OverloadCase *overload = context;
    Results results = play_all(overload->factor, overload->call_share, NULL);
    const ReplayOutcome *gate = results.gate.outcomes;

    check_gate(&results);
    g_assert_cmpfloat(share_of(gate[PURCHASE].in_time, &gate[PURCHASE]), >=,
                      0.97);
    if (overload->factor > 1) {
        g_assert_cmpfloat(results.gate.worth, >, results.plain.worth + 0.1);
    }
    else {
        g_assert_cmpuint(gate[CLOSURE].in_time, ==, gate[CLOSURE].asked);
    }
}

/* Replays a called service that disappears for 5 s while parents wait for it.
 * Guards against a gate that stays closed on old information: no more closures
 * may be refused than fail without it, and as many answered. */
static void
test_disappearance(void)
{
    static const ReplayPhase gone = {REPLAY_GONE, STORE, 5000, 10000, 0, 0};
    static const double factors[] = {0.7, 1.7};

    for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
        Results results = play_all(factors[i], 1, &gone);

        check_gate(&results);
    }
}

int
main(int argc, char **argv)
{
    static const OverloadCase cases[] = {{"/replay/parents/0.7-0.7", 0.7, 0.7},
                                         {"/replay/parents/0.7-1.0", 0.7, 1},
                                         {"/replay/parents/1.3-0.7", 1.3, 0.7},
                                         {"/replay/parents/1.3-1.0", 1.3, 1},
                                         {"/replay/parents/2.1-0.7", 2.1, 0.7},
                                         {"/replay/parents/2.1-1.0", 2.1, 1}};

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_add_data_func(cases[i].path, &cases[i], test_overload);
    }
    g_test_add_func("/replay/parents/disappearance", test_disappearance);
    return g_test_run();
}
