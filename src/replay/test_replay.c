/* Replays of load against all decision modules together, with the plain
 * policies as the baseline. */
#include <glib.h>
#include <string.h>

#include "replay/replay_file.h"

enum { ORDERS, PHOTOS, SERVICES };
enum { ORDER, LOOKUP, INDEX, UPLOAD, STREAMS };

static const ReplayService services[SERVICES] = {{"orders", 12, 4},
                                                 {"photos", 12, 4}};

/* Each order makes two calls. */
static const ReplayStream streams[STREAMS] = {
    {"order", ORDERS, 40, 400, 2000, 8000, 1, FALSE, 1, 0, 2, INDEX},
    {"lookup", ORDERS, 10, 500, 2000, 5000, 2, TRUE, 0.1},
    {"index", PHOTOS, 0, 100, 400, 1000, 0, TRUE, 0.05},
    {"upload", PHOTOS, 5, 470, 2000, 8000, 1, FALSE, 6},
};

typedef struct Pattern {
    const char *name;
    ReplayPhase phase;
    gboolean is_better; /* the policies have to gain, not just not to lose */
} Pattern;

static const Pattern patterns[] = {
    {"burst over capacity", {REPLAY_BURST, ORDERS, 5000, 13000, 0, 3}, TRUE},
    {"herd", {REPLAY_BURST, ORDERS, 5000, 6000, 0, 12}, TRUE},
    {"called service sheds half",
     {REPLAY_SHED, PHOTOS, 5000, 13000, 0, 0.5},
     TRUE},
    {"called service slow", {REPLAY_SLOW, PHOTOS, 5000, 13000, 0, 8}, FALSE},
    {"a third fails", {REPLAY_FAIL, ORDERS, 5000, 13000, 0.33, 0.9}, FALSE},
    {"a third of the called fails",
     {REPLAY_FAIL, PHOTOS, 5000, 13000, 0.33, 0.9},
     FALSE},
    {"half of the hosts gone",
     {REPLAY_GONE, ORDERS, 5000, 11000, 0.5, 0},
     FALSE},
    {"a third slow", {REPLAY_SLOW, ORDERS, 5000, 13000, 0.33, 8}, FALSE},
    {"a third stalls", {REPLAY_STALL, ORDERS, 5000, 9000, 0.33, 0}, FALSE},
};

/* Part of its worth that a late answer keeps. */
#define LATE_WORTH 0.3

/* Difference in worth that the random arrivals of two runs can make. */
#define NOISE 0.01

/* Maximum growth of the asks for each request from a small fleet to one that
 * is ten times as large. */
#define MAX_ASKS_GROWTH 1.2

typedef struct Result {
    ReplayOutcome outcomes[STREAMS];
    double usage[SERVICES];
} Result;

static Result
play_senders(const ReplayPhase *phase, gboolean plain, guint senders)
{
    Replay_desc desc = {.services = services,
                        .service_count = SERVICES,
                        .streams = streams,
                        .stream_count = STREAMS,
                        .phases = phase,
                        .phase_count = phase != NULL,
                        .regions = 3,
                        .senders = senders,
                        .length_ms = 20000,
                        .plain_queue = plain,
                        .plain_budget = plain,
                        .plain_return = plain,
                        .seed = 7};
    Replay *replay = Replay_Create(&desc);
    Result result;

    Replay_Run(replay);
    for (guint i = 0; i < STREAMS; i++) {
        const ReplayOutcome *outcome = Replay_Outcome(replay, i);

        result.outcomes[i] = *outcome;
        g_test_message("%s %s: asked %u in time %u late %u refused %u failed "
                       "%u expired %u returned %u retries %u asks %u far %u "
                       "held %" G_GINT64_FORMAT,
                       plain ? "plain" : "     ", streams[i].name,
                       outcome->asked, outcome->in_time, outcome->late,
                       outcome->refused, outcome->failed, outcome->expired,
                       outcome->returned, outcome->retries, outcome->asks,
                       outcome->far, outcome->longest_ms);
    }
    for (guint i = 0; i < SERVICES; i++) {
        result.usage[i] = Replay_BudgetUsage(replay, i);
    }
    Replay_Destroy(replay);
    return result;
}

static Result
play(const ReplayPhase *phase, gboolean plain)
{
    return play_senders(phase, plain, 24);
}

/* Worth earned of what the callers asked; calls earn nothing by themselves. */
static double
worth(const Result *result)
{
    static const guint callers[] = {ORDER, LOOKUP, UPLOAD};
    double earned = 0;
    double asked = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        const ReplayOutcome *outcome = &result->outcomes[callers[i]];

        earned += outcome->in_time + LATE_WORTH * outcome->late;
        asked += outcome->asked;
    }
    return earned / asked;
}

static guint
expired(const Result *result)
{
    guint count = 0;

    for (guint i = 0; i < STREAMS; i++) {
        count += result->outcomes[i].expired;
    }
    return count;
}

/* Replays one pattern after the other with the policies and with the plain
 * ones before them. Guards against a policy that serves callers worse under
 * some load, holds more requests until their deadline, starves a kind of
 * request, or exceeds the fleet's limit of retries. */
static void
test_patterns(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
        Result plain = play(&patterns[i].phase, TRUE);
        Result result = play(&patterns[i].phase, FALSE);

        g_test_message("%s: worth %.3f (plain %.3f) expired %u (plain %u)",
                       patterns[i].name, worth(&result), worth(&plain),
                       expired(&result), expired(&plain));
        g_assert_cmpfloat(worth(&result), >=, worth(&plain) - NOISE);
        if (patterns[i].is_better) {
            g_assert_cmpfloat(worth(&result), >, worth(&plain) + NOISE);
        }
        g_assert_cmpuint(expired(&result), <=, expired(&plain));
        for (guint n = 0; n < STREAMS; n++) {
            g_assert_cmpuint(result.outcomes[n].in_time, >, 0);
            g_assert_cmpint(result.outcomes[n].longest_ms, <,
                            streams[n].deadline_ms);
        }
        for (guint n = 0; n < SERVICES; n++) {
            g_assert_cmpfloat(result.usage[n], <=, 1);
        }
    }
}

/* Guards against policies that cost something in calm: refusals, retries, or
 * requests that go to another region. */
static void
test_calm(void)
{
    Result result = play(NULL, FALSE);

    for (guint i = 0; i < STREAMS; i++) {
        const ReplayOutcome *outcome = &result.outcomes[i];

        g_assert_cmpfloat(outcome->in_time, >=, 0.99 * outcome->asked);
        g_assert_cmpuint(outcome->refused + outcome->failed +
                             outcome->expired + outcome->retries +
                             outcome->far,
                         ==, 0);
    }
}

/* Guards against a replay that does not repeat, and against requests that are
 * counted twice or not at all. */
static void
test_counts(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
        Result first = play(&patterns[i].phase, FALSE);
        Result again = play(&patterns[i].phase, FALSE);

        g_assert_cmpmem(&first, sizeof(first), &again, sizeof(again));
        for (guint n = 0; n < STREAMS; n++) {
            const ReplayOutcome *outcome = &first.outcomes[n];
            guint ended = outcome->in_time + outcome->late + outcome->refused +
                          outcome->failed + outcome->expired;

            /* Calls that end with the request that made them count nowhere. */
            g_assert_cmpuint(ended, <=, outcome->asked);
            if (n != INDEX) {
                g_assert_cmpuint(ended, ==, outcome->asked);
            }
        }
    }
}

#define SERVICE "\"services\":[{\"name\":\"s\",\"servers\":2,\"slots\":1}]"
#define STREAM(more)                                              \
    "\"streams\":[{\"name\":\"a\",\"service\":\"s\",\"per_s\":1," \
    "\"service_ms\":5,\"target_ms\":9,\"deadline_ms\":9" more "}]"
#define PHASE(fault, end)                                     \
    "\"phases\":[{\"fault\":\"" fault "\",\"service\":\"s\"," \
    "\"begin_ms\":5,\"end_ms\":" end "}]"

/* Guards against a table that is accepted and then cannot be played, such as
 * one with an index out of range or with calls that never end. */
static void
test_files(void)
{
    static const struct {
        const char *text;
        gboolean valid;
    } cases[] = {
        {"{" SERVICE "," STREAM("") "}", TRUE},
        {"{" SERVICE "," STREAM("") "," PHASE("stall", "9") "}", TRUE},
        {"{" SERVICE "," STREAM("") "," PHASE("stall", "4") "}", FALSE},
        {"{" SERVICE
         "," STREAM("") "," PHASE("cold", "9") ",\"cold_overage\":1.5}",
         TRUE},
        {"{" SERVICE "," STREAM("") ",\"cold_overage\":-1}", FALSE},
        {"{" SERVICE "," STREAM("") "," PHASE("melt", "9") "}", FALSE},
        {"{" SERVICE "," STREAM(",\"calls\":1,\"called\":\"a\"") "}", FALSE},
        {"{" SERVICE "," STREAM(",\"calls\":1,\"called\":\"b\"") "}", FALSE},
        {"{" SERVICE "," STREAM(",\"calls\":1") "}", FALSE},
        {"{" SERVICE "," STREAM(",\"senders\":-1") "}", FALSE},
        {"{" SERVICE "," STREAM(",\"senders\":12") "}", TRUE},
        {"{" SERVICE "," STREAM(",\"senders\":13") "}", FALSE},
        {"{" SERVICE "," STREAM("") ",\"seconds\":0}", FALSE},
        {"{" SERVICE ",\"streams\":[]}", FALSE},
        {"{\"services\":[]," STREAM("") "}", FALSE},
        {"{\"services\":[{\"name\":\"s\",\"servers\":999,\"slots\":1}]"
         "," STREAM("") "}",
         FALSE},
        {"[]", FALSE},
        {"", FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GError *error = NULL;
        ReplayFile *file = ReplayFile_Parse(cases[i].text, &error);

        g_test_message("case %zu: %s", i, error ? error->message : "valid");
        g_assert_cmpint(file != NULL, ==, cases[i].valid);
        g_assert_cmpint(error == NULL, ==, cases[i].valid);
        if (file != NULL) {
            Replay_desc desc = ReplayFile_Describe(file, FALSE);
            Replay *replay = Replay_Create(&desc);
            GString *text = g_string_new(NULL);

            Replay_Run(replay);
            ReplayFile_Print(file, replay, text);
            g_assert_nonnull(strstr(text->str, "\na "));
            g_string_free(text, TRUE);
            Replay_Destroy(replay);
        }
        ReplayFile_Destroy(file);
        g_clear_error(&error);
    }
}

/* Times that an owner was asked, for each request and call. */
static double
asks(const Result *result)
{
    guint count = 0;
    guint requests = 0;

    for (guint i = 0; i < STREAMS; i++) {
        count += result->outcomes[i].asks;
        requests += result->outcomes[i].asked;
    }
    return (double)count / requests;
}

/* Replays a fleet of `scale` times 12 backend servers for each service, each
 * of them with the same load, some of which fail at any time. */
static Result
play_fleet(const ReplayPhase *phases, guint phase_count, guint scale)
{
    ReplayService larger[SERVICES];
    ReplayStream loads[STREAMS];
    Replay_desc desc = {.services = larger,
                        .service_count = SERVICES,
                        .streams = loads,
                        .stream_count = STREAMS,
                        .phases = phases,
                        .phase_count = phase_count,
                        .regions = 3,
                        .senders = 24 * scale,
                        .retry_slack = 60 * scale,
                        .length_ms = 15000,
                        .seed = 7};
    Replay *replay;
    Result result = {0};

    memcpy(larger, services, sizeof(larger));
    memcpy(loads, streams, sizeof(loads));
    for (guint i = 0; i < SERVICES; i++) {
        larger[i].servers *= scale;
    }
    for (guint i = 0; i < STREAMS; i++) {
        loads[i].per_s *= scale;
    }
    replay = Replay_Create(&desc);
    Replay_Run(replay);
    for (guint i = 0; i < STREAMS; i++) {
        result.outcomes[i] = *Replay_Outcome(replay, i);
    }
    Replay_Destroy(replay);
    return result;
}

/* Guards against requests that are refused by one owner after the other the
 * more often, the more hosts a fleet has, because each sender knows less of
 * each owner. */
static void
test_fleet_size(void)
{
    static const ReplayPhase phases[][3] = {
        {{REPLAY_FAIL, ORDERS, 2000, 8000, 0.1, 0.75},
         {REPLAY_FAIL, PHOTOS, 4000, 11000, 0.1, 0.75},
         {REPLAY_FAIL, ORDERS, 8000, 13000, 0.2, 0.75}},
        {{REPLAY_SHED, PHOTOS, 3000, 11000, 0, 0.5},
         {REPLAY_FAIL, ORDERS, 2000, 8000, 0.1, 0.75}},
        {{REPLAY_BURST, ORDERS, 3000, 9000, 0, 2.5},
         {REPLAY_FAIL, PHOTOS, 4000, 11000, 0.1, 0.75}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(phases); i++) {
        Result small = play_fleet(phases[i], G_N_ELEMENTS(phases[i]), 1);
        Result large = play_fleet(phases[i], G_N_ELEMENTS(phases[i]), 10);

        g_test_message("case %zu: asks %.3f and %.3f, worth %.3f and %.3f", i,
                       asks(&small), asks(&large), worth(&small),
                       worth(&large));
        g_assert_cmpfloat(asks(&large), <=, MAX_ASKS_GROWTH * asks(&small));
        g_assert_cmpfloat(worth(&large), >=, worth(&small) - 2 * NOISE);
    }
}

/* Replays a service of which half becomes cold at once, and a little later all
 * of it for a moment. Returns the mean number of asks for each request. */
static double
play_cold(double per_s, double overage, ReplayOutcome *outcome,
          ReplayCold *cold)
{
    static const ReplayService desks = {"desks", 45, 15};
    static const ReplayPhase phases[] = {
        {REPLAY_COLD, 0, 4000, 14000, 0.5, 9.9},
        {REPLAY_COLD, 0, 16000, 17000, 0, 9.9}};
    ReplayStream stream = {"desk", 0, per_s, 400, 2500, 8000, 1, TRUE, 1};
    Replay_desc desc = {.services = &desks,
                        .service_count = 1,
                        .streams = &stream,
                        .stream_count = 1,
                        .phases = phases,
                        .phase_count = G_N_ELEMENTS(phases),
                        .regions = 3,
                        .senders = 108,
                        .length_ms = 20000,
                        .cold_overage = overage,
                        .cold_slack = 8,
                        .seed = 5};
    Replay *replay = Replay_Create(&desc);

    Replay_Run(replay);
    *outcome = *Replay_Outcome(replay, 0);
    *cold = Replay_Cold(replay, 0);
    g_test_message("%.0f/s overage %.1f: asked %u in time %u late %u refused "
                   "%u expired %u returned %u asks %u far %u; cold: %u, at "
                   "most %u in a second",
                   per_s, overage, outcome->asked, outcome->in_time,
                   outcome->late, outcome->refused, outcome->expired,
                   outcome->returned, outcome->asks, outcome->far, cold->sent,
                   cold->most);
    Replay_Destroy(replay);
    return (double)outcome->asks / outcome->asked;
}

/* Guards against owners that send more than the bound to a cold backend
 * server, against senders that do not use the warm half instead or keep asking
 * the cold one, and against a cold half that gets nothing. */
static void
test_cold_half(void)
{
    static const double loads[] = {600, 750, 900};

    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        ReplayOutcome plain;
        ReplayOutcome outcome;
        ReplayCold cold;

        (void)play_cold(loads[i], 0, &plain, &cold);
        g_assert_cmpuint(cold.most, >, 22);
        g_assert_cmpfloat(play_cold(loads[i], 1.5, &outcome, &cold), <=, 1.2);
        g_assert_cmpuint(cold.most, <=, 22);
        g_assert_cmpuint(cold.sent, >=, 22 * 5 * 10);
        g_assert_cmpfloat(outcome.in_time, >=, 0.97 * plain.in_time);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/replay/calm", test_calm);
    g_test_add_func("/replay/counts", test_counts);
    g_test_add_func("/replay/files", test_files);
    g_test_add_func("/replay/patterns", test_patterns);
    g_test_add_func("/replay/fleet-size", test_fleet_size);
    g_test_add_func("/replay/cold-half", test_cold_half);
    return g_test_run();
}
