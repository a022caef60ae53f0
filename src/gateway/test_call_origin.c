/* Tests of the estimate of which running requests make a call. */
#include <glib.h>

#include "base/rng.h"
#include "gateway/call_origin.h"

enum { CLOSURE = 1, PURCHASE, LISTING, ROUTES };

#define STORE 7
#define RUN_MS 500
#define LENGTH_MS 60000
#define MAX_RUNS 200

typedef struct Run {
    int kind; /* 0: none */
    gboolean is_retry;
    ClockMs end;
    ClockMs calls[2];
} Run;

/* Requests of a kind of route at one backend server. */
typedef struct Kind {
    double per_s;
    int priority;
    int calls;          /* made one after the other in each run */
    double retry_share; /* of its runs */
} Kind;

typedef struct Guess {
    double right;       /* share of calls whose parent's priority was right */
    double retry_share; /* estimated */
    double true_share;
    double per_run; /* calls of a run of CLOSURE */
} Guess;

/* Plays runs and their calls; the first half is for learning. */
static Guess
play(const Kind *kinds)
{
    CallOrigin *origin = CallOrigin_Create();
    Run runs[MAX_RUNS] = {{0}};
    Guess guess = {0};
    guint calls = 0;
    Rng rng;

    Rng_Seed(&rng, 9);
    for (ClockMs now = 1; now < LENGTH_MS; now++) {
        for (int kind = CLOSURE; kind < ROUTES; kind++) {
            if (Rng_Unit(&rng) >= kinds[kind].per_s / 1000) {
                continue;
            }
            for (int i = 0; i < MAX_RUNS; i++) {
                if (runs[i].kind == 0) {
                    runs[i] = (Run){kind,
                                    Rng_Unit(&rng) < kinds[kind].retry_share,
                                    now + RUN_MS,
                                    {now + RUN_MS / 5, now + RUN_MS / 2}};
                    CallOrigin_Begin(origin, (uint64_t)kind,
                                     kinds[kind].priority, runs[i].is_retry,
                                     now);
                    break;
                }
            }
        }
        for (int i = 0; i < MAX_RUNS; i++) {
            const Kind *kind = &kinds[runs[i].kind];

            for (int n = 0; runs[i].kind > 0 && n < kind->calls; n++) {
                CallParent parent;

                if (runs[i].calls[n] != now) {
                    continue;
                }
                parent = CallOrigin_Find(origin, STORE, now);
                if (now > LENGTH_MS / 2) {
                    guess.right += parent.priority == kind->priority;
                    guess.retry_share += parent.retry_share;
                    guess.true_share += runs[i].is_retry;
                    calls++;
                }
            }
            if (runs[i].kind > 0 && runs[i].end == now) {
                CallOrigin_End(origin, (uint64_t)runs[i].kind, kind->priority,
                               runs[i].is_retry, now);
                runs[i].kind = 0;
            }
        }
    }
    guess.right /= calls;
    guess.retry_share /= calls;
    guess.true_share /= calls;
    guess.per_run = CallOrigin_CallsPerRun(origin, CLOSURE, STORE);
    CallOrigin_Destroy(origin);
    return guess;
}

/* Replays a backend server whose closures make calls, beside more frequent
 * requests that make none. Guards against calls that get the priority of
 * whatever runs most, and against calls of first runs that count as retries
 * because requests without calls are retried. */
static void
test_parents(void)
{
    static const struct {
        const char *name;
        Kind kinds[ROUTES];
        double min_right;
    } cases[] = {
        {"closures alone", {{0}, {4, 2, 2, 0.2}}, 1},
        {"closures beside listings",
         {{0}, {4, 2, 2, 0}, {0}, {8, 1, 0, 0.4}},
         0.95},
        {"few closures", {{0}, {1, 2, 2, 0.1}, {0}, {12, 0, 0, 0.4}}, 0.95},
        {"one call", {{0}, {3, 2, 1, 0.3}, {6, 0, 0, 0}, {6, 1, 0, 0}}, 0.95},
        {"two routes call", {{0}, {6, 2, 2, 0.1}, {2, 0, 1, 0}}, 0.7},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Guess guess = play(cases[i].kinds);

        g_test_message("%s: right %.2f retries %.3f (true %.3f) per run %.2f",
                       cases[i].name, guess.right, guess.retry_share,
                       guess.true_share, guess.per_run);
        g_assert_cmpfloat(guess.right, >=, cases[i].min_right);
        g_assert_cmpfloat(ABS(guess.retry_share - guess.true_share), <, 0.05);
        g_assert_cmpfloat(ABS(guess.per_run - cases[i].kinds[1].calls), <,
                          0.25);
    }
}

/* Guards against a parent that is made up when no request runs, and against a
 * count out of bounds when there are more routes than room. */
static void
test_limits(void)
{
    CallOrigin *origin = CallOrigin_Create();
    CallParent parent = CallOrigin_Find(origin, STORE, 1);

    g_assert_false(parent.is_known);
    g_assert_cmpint(parent.priority, ==, -1);
    for (uint64_t route = 0; route < 100; route++) {
        CallOrigin_Begin(origin, route, (int)route, TRUE, 2);
        (void)CallOrigin_Find(origin, 1000 + route, 3);
    }
    g_assert_false(CallOrigin_Find(origin, 5000, 3).is_known);
    for (uint64_t route = 0; route < 100; route++) {
        CallOrigin_End(origin, route, (int)route, TRUE, 4);
    }
    g_assert_false(CallOrigin_Find(origin, STORE, 5).is_known);
    CallOrigin_Destroy(origin);
}

/* Guards against a table that is full of routes which the configuration has
 * replaced, so that the parents of new ones stay unknown. */
static void
test_replaced_routes(void)
{
    CallOrigin *origin = CallOrigin_Create();
    ClockMs now = 1000;

    for (uint64_t version = 1; version <= 100; version++) {
        CallParent parent;

        for (int run = 0; run < 10; run++) {
            CallOrigin_Begin(origin, version, 2, FALSE, now);
            parent = CallOrigin_Find(origin, 1000 + version, now + 10);
            CallOrigin_End(origin, version, 2, FALSE, now + 20);
            now += 100;
        }
        g_assert_true(parent.is_known);
        g_assert_cmpint(parent.priority, ==, 2);
        g_assert_cmpfloat(
            CallOrigin_CallsPerRun(origin, version, 1000 + version), >, 0.9);
        now += 60000;
    }
    CallOrigin_Destroy(origin);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/call-origin/parents", test_parents);
    g_test_add_func("/call-origin/limits", test_limits);
    g_test_add_func("/call-origin/replaced-routes", test_replaced_routes);
    return g_test_run();
}
