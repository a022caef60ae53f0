/* Tests of the admission of requests to a backend server's slots, with the
 * replay of load. */
#include <glib.h>
#include <limits.h>
#include <math.h>

#include "admission/admission.h"
#include "base/rng.h"
#include "replay/replay.h"

#define SLOTS 4
#define SERVICE_MS 400
#define TARGET_MS 2000
#define DEADLINE_MS 4000
#define ARRIVALS_MS 20000
#define MAX_STREAMS 3

typedef struct Load {
    ReplayStream streams[MAX_STREAMS];
    guint stream_count;
    ReplayPhase phase; /* duration 0: none */
    ClockMs length_ms; /* 0: ARRIVALS_MS */
    guint slots;       /* 0: SLOTS */
    gboolean plain;    /* baseline: a queue in the order of arrival, in which
                          requests wait until their deadline */
} Load;

static ReplayStream
stream(double per_s, ClockMs service_ms, int priority)
{
    return (ReplayStream){.per_s = per_s,
                          .service_ms = service_ms,
                          .priority = priority,
                          .target_ms = TARGET_MS,
                          .deadline_ms = DEADLINE_MS};
}

/* One backend server, which is asked once for each request. */
static void
replay_load(const Load *load, ReplayOutcome *outcomes)
{
    ReplayService service = {"s", 1, load->slots > 0 ? load->slots : SLOTS};
    Replay_desc desc = {.services = &service,
                        .service_count = 1,
                        .streams = load->streams,
                        .stream_count = load->stream_count,
                        .phases = &load->phase,
                        .phase_count = load->phase.end > 0,
                        .senders = 1,
                        .rounds = 1,
                        .length_ms = load->length_ms > 0 ? load->length_ms
                                                         : ARRIVALS_MS,
                        .plain_queue = load->plain,
                        .no_return = TRUE,
                        .seed = 17};
    Replay *replay = Replay_Create(&desc);

    Replay_Run(replay);
    for (guint i = 0; i < load->stream_count; i++) {
        outcomes[i] = *Replay_Outcome(replay, i);
    }
    Replay_Destroy(replay);
}

/* Replays a rate above what the slots can serve, for 20 s. Guards against a
 * queue in which every request waits until it is late: the slots serve 10 a
 * second, and of these nine of ten have to be in time. Also guards against
 * holding a request until its deadline only to refuse it. */
static void
test_overload(void)
{
    static const double rates[] = {12, 15, 20, 40};

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        Load load = {.streams = {stream(rates[i], SERVICE_MS, 1)},
                     .stream_count = 1};
        ReplayOutcome plain;
        ReplayOutcome outcome;

        replay_load(&load, &outcome);
        load.plain = TRUE;
        replay_load(&load, &plain);
        g_test_message("rate %.0f: in time %u (plain %u) late %u expired %u "
                       "(plain %u) refused %u longest %" G_GINT64_FORMAT,
                       rates[i], outcome.in_time, plain.in_time, outcome.late,
                       outcome.expired, plain.expired, outcome.refused,
                       outcome.longest_ms);
        g_assert_cmpuint(outcome.in_time, >=, 9 * 20);
        g_assert_cmpuint(outcome.in_time, >, plain.in_time);
        g_assert_cmpuint(outcome.expired, ==, 0);
    }
}

/* Replays a backend server that stops answering for 3 s. Guards against
 * requests that wait for slots which are not freed until their deadline has
 * passed, and against slots that are wasted on them afterwards. */
static void
test_stall(void)
{
    Load load = {.streams = {stream(8, SERVICE_MS, 1)},
                 .stream_count = 1,
                 .phase = {.fault = REPLAY_STALL, .begin = 5000, .end = 8000}};
    ReplayOutcome outcome = {0};
    ReplayOutcome plain = {0};

    replay_load(&load, &outcome);
    load.plain = TRUE;
    replay_load(&load, &plain);
    g_test_message("in time %u (plain %u) expired %u (plain %u) refused %u",
                   outcome.in_time, plain.in_time, outcome.expired,
                   plain.expired, outcome.refused);
    g_assert_cmpuint(outcome.expired, ==, 0);
    g_assert_cmpuint(outcome.in_time, >, plain.in_time);
    g_assert_cmpint(outcome.longest_ms, <, DEADLINE_MS - SERVICE_MS / 2);
}

/* Replays calls of running requests and two priorities at a rate above the
 * slots. Guards against a class that is served less often than a less urgent
 * one, and against calls that wait behind new requests. */
static void
test_classes(void)
{
    Load load = {.streams = {stream(10, 100, ADMISSION_PRIORITY_NESTED),
                             stream(6, SERVICE_MS, 1),
                             stream(8, SERVICE_MS, 2)},
                 .stream_count = 3};
    ReplayOutcome outcomes[3] = {{0}};
    double shares[3];

    replay_load(&load, outcomes);
    for (int i = 0; i < 3; i++) {
        shares[i] = (double)(outcomes[i].in_time + outcomes[i].late) /
                    outcomes[i].asked;
        g_test_message(
            "class %d: share served %.3f, of %u refused %u expired %u", i,
            shares[i], outcomes[i].asked, outcomes[i].refused,
            outcomes[i].expired);
    }
    g_assert_cmpfloat(shares[0], >=, 0.99);
    g_assert_cmpfloat(shares[1], >=, shares[2]);
    g_assert_cmpfloat(shares[2], >, 0);
}

static double
served_share(const ReplayOutcome *outcome)
{
    return (double)(outcome->in_time + outcome->late) / outcome->asked;
}

/* Replays a service that is called more than it can serve and has callers of
 * its own, who need less than a quarter of the slots. Guards against calls
 * that shut these out: nine of ten of what a quarter of the slots serves
 * without any calls have to be served beside them, and the calls get the rest.
 */
static void
test_called_service(void)
{
    Load load = {.streams = {stream(1.5, SERVICE_MS, 1),
                             stream(60, 100, ADMISSION_PRIORITY_NESTED)},
                 .stream_count = 2,
                 .length_ms = 100000};
    Load alone = {.streams = {stream(1.5, SERVICE_MS, 1)},
                  .stream_count = 1,
                  .length_ms = 100000,
                  .slots = SLOTS / 4};
    ReplayOutcome beside[2] = {{0}};
    ReplayOutcome without = {0};

    replay_load(&load, beside);
    replay_load(&alone, &without);
    g_test_message("requests %.3f (without calls %.3f), calls %.3f",
                   served_share(&beside[0]), served_share(&without),
                   served_share(&beside[1]));
    g_assert_cmpfloat(served_share(&beside[0]), >=,
                      0.9 * served_share(&without));
    /* The calls need six slots, and three are left for them. */
    g_assert_cmpfloat(served_share(&beside[1]), >=, 0.9 * 3 / 6);
}

/* Replays the called service of operator B (docs/hard-load.md) at 1.2 and 1.7
 * times its capacity: urgent requests of its own and calls of less urgent
 * parents. Guards against urgent requests that are served worst because calls
 * always come first, against calls that wait behind requests less urgent than
 * their parents, and against a slot that is left unused by either. */
static void
test_calls_by_value(void)
{
    enum { SLOTS_B = 8, URGENT_MS = 360, CALL_MS = 130 };
    static const struct {
        const char *name;
        double per_s[3]; /* urgent, calls, requests less urgent than calls */
        int parent;
        double min_urgent;
        double min_calls;
    } cases[] = {
        {"unknown parents", {6, 60, 0}, -1, 0.5, 0.75},
        {"less urgent parents", {6, 60, 0}, 2, 0.97, 0.6},
        {"many calls", {6, 90, 0}, 2, 0.97, 0.4},
        {"as urgent parents", {6, 40, 3}, 0, 0.9, 0.99},
        {"requests after calls", {3, 40, 12}, 2, 0.97, 0.9},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int call = cases[i].parent < 0
                       ? ADMISSION_PRIORITY_NESTED
                       : Admission_CallPriority(cases[i].parent);
        Load load = {.streams = {stream(cases[i].per_s[0], URGENT_MS, 0),
                                 stream(cases[i].per_s[1], CALL_MS, call),
                                 stream(cases[i].per_s[2], URGENT_MS, 3)},
                     .stream_count = cases[i].per_s[2] > 0 ? 3 : 2,
                     .slots = SLOTS_B,
                     .length_ms = 40000};
        ReplayOutcome outcomes[3] = {{0}};

        replay_load(&load, outcomes);
        g_test_message("%s: urgent %.3f calls %.3f of %u expired %u others %u "
                       "of %u",
                       cases[i].name, served_share(&outcomes[0]),
                       served_share(&outcomes[1]), outcomes[1].asked,
                       outcomes[1].expired, outcomes[2].in_time,
                       outcomes[2].asked);
        g_assert_cmpfloat(served_share(&outcomes[0]), >=, cases[i].min_urgent);
        g_assert_cmpfloat(served_share(&outcomes[1]), >=, cases[i].min_calls);
        g_assert_cmpuint(outcomes[1].expired, ==, 0);
    }
}

/* Guards against a parent's priority that is lost on the way to a call's and
 * back, also at the ends of the range. */
static void
test_call_priorities(void)
{
    static const int parents[] = {0, 1, 2, 7, 100, 1000000};

    for (size_t i = 0; i < G_N_ELEMENTS(parents); i++) {
        int call = Admission_CallPriority(parents[i]);

        g_assert_cmpint(call, ==, -2 - parents[i]);
        g_assert_cmpint(Admission_ParentPriority(call), ==, parents[i]);
    }
    g_assert_cmpint(Admission_CallPriority(-5), ==, -2);
    g_assert_cmpint(Admission_ParentPriority(ADMISSION_PRIORITY_NESTED), ==,
                    -1);
    g_assert_cmpint(Admission_ParentPriority(INT_MIN), >, 0);
    g_assert_cmpint(Admission_CallPriority(INT_MAX), <, -1);
}

/* Guards against a wait or a refusal while slots are free. */
static void
test_calm(void)
{
    Admission *admission = Admission_Create();
    AdmissionTicket tickets[SLOTS + 1] = {{0}};

    Admission_SetSlots(admission, SLOTS);
    for (int i = 0; i < SLOTS; i++) {
        tickets[i].deadline = 1000;
        g_assert_true(Admission_Arrive(admission, &tickets[i], 0, 10));
        g_assert_true(Admission_Advance(admission, 10));
        g_assert_cmpint(tickets[i].state, ==, ADMISSION_ADMITTED);
    }
    g_assert_false(Admission_Arrive(admission, &tickets[SLOTS], 0, 10));
    g_assert_cmpint(Admission_Load(admission).running, ==, SLOTS);
    Admission_Release(admission, &tickets[0], 20);
    g_assert_true(Admission_Arrive(admission, &tickets[SLOTS], 0, 20));
    Admission_Withdraw(admission, &tickets[SLOTS]);
    g_assert_cmpint(Admission_Load(admission).waiting, ==, 0);
    Admission_Destroy(admission);
}

static double
draw_even(Rng *rng)
{
    return 2 * SERVICE_MS * Rng_Unit(rng);
}

/* A run in two steps, each of an exponential distribution. */
static double
draw_tail(Rng *rng)
{
    return -SERVICE_MS / 2.0 * log((1 - Rng_Unit(rng)) * (1 - Rng_Unit(rng)));
}

/* Guards against taking a multiple of the mean for the time in which nearly
 * all runs end: how far runs exceed it depends on the backend server. */
static void
test_long_runs(void)
{
    enum { RUNS = 20000 };
    static const struct {
        const char *name;
        double (*draw)(Rng *rng);
        double deviations;
        double max_longer; /* share of the runs that take longer */
    } cases[] = {
        {"even, any run", draw_even, 3, 0.05},
        {"even, last run", draw_even, 6, 0.01},
        {"long tail, any run", draw_tail, 3, 0.05},
        {"long tail, last run", draw_tail, 6, 0.01},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Admission *admission = Admission_Create();
        AdmissionTicket ticket = {.priority = 1};
        int longer = 0;
        Rng rng;

        Rng_Seed(&rng, 5);
        for (int k = 0; k < RUNS; k++) {
            double run_ms = cases[i].draw(&rng);

            longer += run_ms > (double)Admission_LongRunMs(
                                   admission, &ticket, cases[i].deviations);
            Admission_NoteService(admission, &ticket, (ClockMs)run_ms, 0);
        }
        g_test_message("%s: %d of %d longer", cases[i].name, longer, RUNS);
        g_assert_cmpfloat(longer, <=, cases[i].max_longer * RUNS);
        Admission_Destroy(admission);
    }
}

/* Guards against an estimate that stays at the short answers of a time without
 * load: as soon as runs take longer, the limit is above them. */
static void
test_long_runs_follow(void)
{
    enum { SHORT_MS = 100, LONG_MS = 1000, FEW = 5 };
    Admission *admission = Admission_Create();
    AdmissionTicket ticket = {.priority = 1};

    for (int k = 0; k < FEW; k++) {
        Admission_NoteService(admission, &ticket, SHORT_MS, 0);
    }
    g_assert_cmpint(Admission_LongRunMs(admission, &ticket, 6), >=, LONG_MS);
    for (int k = 0; k < 100; k++) {
        Admission_NoteService(admission, &ticket, SHORT_MS, 0);
    }
    for (int k = 0; k < FEW; k++) {
        Admission_NoteService(admission, &ticket, LONG_MS, 0);
    }
    g_assert_cmpint(Admission_LongRunMs(admission, &ticket, 6), >=, LONG_MS);
    Admission_Destroy(admission);
}

/* Guards against an estimate that forgets a long run within a few short ones,
 * or never. */
static void
test_longest_run(void)
{
    enum { LONG_MS = 4000, SHORT_MS = 50, NESTED_MS = 80 };
    static const struct {
        const char *name;
        gboolean is_cut; /* the long run is given up */
        int short_runs;
        ClockMs min_ms;
        ClockMs max_ms;
    } cases[] = {
        {"answered just now", FALSE, 0, LONG_MS, LONG_MS},
        {"answered, 10 short ones", FALSE, 10, 3600, LONG_MS},
        {"answered, 30 short ones", FALSE, 30, 2900, 3100},
        {"answered, long ago", FALSE, 500, SHORT_MS, 100},
        {"cut just now", TRUE, 0, LONG_MS, LONG_MS},
        {"cut, 10 short ones", TRUE, 10, 3600, LONG_MS},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Admission *admission = Admission_Create();
        AdmissionTicket ticket = {.priority = 1};
        AdmissionTicket nested = {.priority = ADMISSION_PRIORITY_NESTED};
        ClockMs longest_ms;

        if (cases[i].is_cut) {
            Admission_NoteCut(admission, &ticket, LONG_MS);
        }
        else {
            Admission_NoteService(admission, &ticket, LONG_MS, 0);
        }
        Admission_NoteService(admission, &nested, NESTED_MS, 0);
        for (int k = 0; k < cases[i].short_runs; k++) {
            Admission_NoteService(admission, &ticket, SHORT_MS, 0);
            Admission_NoteCut(admission, &ticket, SHORT_MS);
        }
        longest_ms = Admission_LongestRunMs(admission, &ticket);
        g_test_message("%s: %" G_GINT64_FORMAT " ms", cases[i].name,
                       longest_ms);
        g_assert_cmpint(longest_ms, >=, cases[i].min_ms);
        g_assert_cmpint(longest_ms, <=, cases[i].max_ms);
        g_assert_cmpint(Admission_LongestRunMs(admission, &nested), ==,
                        NESTED_MS);
        Admission_Destroy(admission);
    }
}

/* Guards against an estimate that knows nothing of the runs at work, and
 * against one that a single long run, or those of the other kind, raise. */
static void
test_runs_at_work(void)
{
    enum { NOW = 10000, RUNS = 3, CALL = ADMISSION_PRIORITY_NESTED };
    static const struct {
        const char *name;
        ClockMs started[RUNS];
        int priority[RUNS];
        ClockMs answered; /* start of a run that was answered; 0: none */
        ClockMs expected_ms;
    } cases[] = {
        {"new ones", {NOW, NOW, NOW}, {1, 1, 1}, 0, 0},
        {"one old", {NOW - 2000, NOW, NOW}, {1, 1, 1}, 0, 0},
        {"two old", {NOW - 2000, NOW - 1500, NOW}, {1, 1, 1}, 0, 3000},
        {"all old", {NOW - 2500, NOW - 2000, NOW - 1500}, {1, 2, 3}, 0, 4000},
        {"overtaken", {NOW - 2500, NOW - 2000, NOW}, {1, 1, 1}, NOW - 1900, 0},
        {"slow since",
         {NOW - 2500, NOW - 2000, NOW - 1800},
         {1, 1, 1},
         NOW - 2100,
         3600},
        {"a call", {NOW - 2500, NOW - 2000, NOW}, {1, CALL, 1}, 0, 0},
        {"calls", {NOW - 2500, NOW - 2000, NOW - 800}, {1, CALL, 1}, 0, 1600},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Admission *admission = Admission_Create();
        AdmissionTicket ticket = {.priority = 1, .started = cases[i].answered};
        AdmissionTicket running[RUNS];
        ClockMs at_work_ms;

        Admission_SetSlots(admission, RUNS);
        Admission_NoteService(admission, &ticket, 50, cases[i].answered);
        for (int k = 0; k < RUNS; k++) {
            running[k] = (AdmissionTicket){.priority = cases[i].priority[k],
                                           .deadline = CLOCK_NEVER};
            g_assert_true(Admission_Arrive(admission, &running[k], 0, NOW));
            Admission_Advance(admission, cases[i].started[k]);
        }
        at_work_ms = Admission_AtWorkRunMs(admission, &ticket, NOW);
        g_test_message("%s: %" G_GINT64_FORMAT " ms", cases[i].name,
                       at_work_ms);
        g_assert_cmpint(at_work_ms, ==, cases[i].expected_ms);
        Admission_Destroy(admission);
    }
}

/* Guards against an estimate from the first few answers, which are those of
 * the shortest runs. */
static void
test_known_runs(void)
{
    enum { KNOWN = 3 };
    Admission *admission = Admission_Create();
    AdmissionTicket ticket = {.priority = 1};
    AdmissionTicket nested = {.priority = ADMISSION_PRIORITY_NESTED};

    for (int k = 0; k < 2 * KNOWN; k++) {
        g_assert_cmpint(Admission_KnowsRuns(admission, &ticket), ==,
                        k >= KNOWN);
        Admission_NoteService(admission, &ticket, 50, 0);
        Admission_NoteCut(admission, &nested, 50);
    }
    g_assert_false(Admission_KnowsRuns(admission, &nested));
    Admission_Destroy(admission);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admission/overload", test_overload);
    g_test_add_func("/admission/stall", test_stall);
    g_test_add_func("/admission/classes", test_classes);
    g_test_add_func("/admission/called-service", test_called_service);
    g_test_add_func("/admission/calls-by-value", test_calls_by_value);
    g_test_add_func("/admission/call-priorities", test_call_priorities);
    g_test_add_func("/admission/calm", test_calm);
    g_test_add_func("/admission/long-runs", test_long_runs);
    g_test_add_func("/admission/long-runs-follow", test_long_runs_follow);
    g_test_add_func("/admission/longest-run", test_longest_run);
    g_test_add_func("/admission/runs-at-work", test_runs_at_work);
    g_test_add_func("/admission/known-runs", test_known_runs);
    return g_test_run();
}
