/* Replays of failures against the retry limit of a called service. */
#include <glib.h>

#include "replay/replay.h"

enum { DESK, VAULT, SERVICES };
enum { TICKET, LOOKUP, FETCH, DEPOSIT, STREAMS };

/* The services of operator C (docs/hard-load.md) with its numbers of hosts,
 * slots and requests. */
static const ReplayService services[SERVICES] = {{"desk", 85, 8},
                                                 {"vault", 19, 8}};
static const ReplayStream streams[STREAMS] = {
    {"ticket", DESK, 90, 450, 2000, 8000, 1, TRUE, 1, 0, 2, FETCH},
    {"lookup", DESK, 100, 200, 1000, 5000, 2, TRUE, 0.1},
    {"fetch", VAULT, 0, 120, 500, 1500, 0, TRUE, 0.05},
    {"deposit", VAULT, 60, 300, 2000, 8000, 1, TRUE, 6},
};

#define LIMIT_SLACK 212

/* Difference in the share served that the random arrivals of two runs make. */
#define NOISE 0.002

typedef struct Case {
    const char *name;
    ReplayPhase phases[2];
    guint phase_count;
    gboolean is_calm; /* nothing may be refused that was not before */
} Case;

static const Case cases[] = {
    {"no fault", {{0}}, 0, TRUE},
    {"one in fifty fails",
     {{REPLAY_FAIL, VAULT, 400, 19000, 0, 0.02}},
     1,
     TRUE},
    {"vault fails from the start",
     {{REPLAY_FAIL, VAULT, 400, 10000, 0, 0.6}},
     1,
     FALSE},
    {"vault sheds from the start",
     {{REPLAY_SHED, VAULT, 400, 10000, 0, 0.6}},
     1,
     FALSE},
    {"vault fails later",
     {{REPLAY_FAIL, VAULT, 6000, 14000, 0, 0.9}},
     1,
     FALSE},
    {"desk fails, vault as well",
     {{REPLAY_FAIL, DESK, 400, 12000, 0, 0.4},
      {REPLAY_FAIL, VAULT, 400, 12000, 0, 0.5}},
     2,
     FALSE},
    {"desk sheds, vault fails later",
     {{REPLAY_SHED, DESK, 1000, 12000, 0, 0.5},
      {REPLAY_FAIL, VAULT, 5000, 12000, 0, 0.5}},
     2,
     FALSE},
    {"a third of vault gone",
     {{REPLAY_GONE, VAULT, 400, 10000, 0.33, 0}},
     1,
     FALSE},
};

typedef struct Result {
    ReplayOutcome outcomes[STREAMS];
    double usage[SERVICES];
} Result;

static Result
play(const Case *load, gboolean no_limit)
{
    Replay_desc desc = {.services = services,
                        .service_count = SERVICES,
                        .streams = streams,
                        .stream_count = STREAMS,
                        .phases = load->phases,
                        .phase_count = load->phase_count,
                        .regions = 2,
                        .senders = 104,
                        .attempts = 3,
                        .length_ms = 20000,
                        .retry_slack = LIMIT_SLACK,
                        .no_limit = no_limit,
                        .seed = 7};
    Replay *replay = Replay_Create(&desc);
    Result result;

    Replay_Run(replay);
    for (guint i = 0; i < STREAMS; i++) {
        result.outcomes[i] = *Replay_Outcome(replay, i);
    }
    for (guint i = 0; i < SERVICES; i++) {
        result.usage[i] = Replay_BudgetUsage(replay, i);
    }
    Replay_Destroy(replay);
    return result;
}

static double
served(const ReplayOutcome *outcome)
{
    return (double)outcome->in_time / outcome->asked;
}

/* Guards against retries of a called service, or calls of retried runs, beyond
 * the fleet's limit in any window, with 104 senders that all have an unused
 * budget; and against a limit that costs something while it is far. */
static void
test_called_service(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Result before = play(&cases[i], TRUE);
        Result result = play(&cases[i], FALSE);

        g_test_message("%s: usage %.2f %.2f (before %.2f %.2f)", cases[i].name,
                       result.usage[DESK], result.usage[VAULT],
                       before.usage[DESK], before.usage[VAULT]);
        for (guint n = 0; n < SERVICES; n++) {
            g_assert_cmpfloat(result.usage[n], <=, 0.95);
        }
        for (guint n = 0; cases[i].is_calm && n < STREAMS; n++) {
            g_assert_cmpfloat(served(&result.outcomes[n]), >=,
                              served(&before.outcomes[n]) - NOISE);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/replay/called-service", test_called_service);
    return g_test_run();
}
