/* Tests of the part of a retry limit that each owner keeps. */
#include <glib.h>

#include "base/rng.h"
#include "retry/retry_limit.h"

#define RATIO 0.2
#define WINDOW_MS 10000
#define STEP_MS 10
#define STEPS 4000
#define WINDOW_STEPS (WINDOW_MS / STEP_MS)
#define MAX_OWNERS 85

typedef struct Load {
    const char *name;
    guint owners;
    double slack;       /* of the whole service, in a window */
    double per_s;       /* requests, until `stops` */
    double retry_share; /* retries wanted for each request */
    double call_share;  /* calls of retried runs among the requests */
    double skew;        /* share of everything that goes to the first owner */
    gboolean is_calm;   /* the senders know that the limit is far */
    gint stops;         /* step after which only retries arrive */
} Load;

typedef struct Played {
    double usage;   /* of the limit, in the worst window */
    double granted; /* of the wanted retries and calls of retried runs */
} Played;

static Played
play_load(const Load *load)
{
    static double firsts[STEPS];
    static double retries[STEPS];
    RetryLimit limits[MAX_OWNERS] = {{0}};
    guint wanted = 0;
    guint granted = 0;
    double first = 0;
    double again = 0;
    Played played = {0};
    Rng rng;

    Rng_Seed(&rng, 5);
    for (guint i = 0; i < load->owners; i++) {
        RetryLimit_Set(&limits[i], RATIO, load->slack / load->owners,
                       WINDOW_MS, 0);
    }
    for (gint step = 0; step < STEPS; step++) {
        double share = load->per_s * STEP_MS / 1000;
        double retry = share * load->retry_share;
        double call = share * load->call_share;
        const double shares[RETRY_KINDS] = {
            [RETRY_KIND_FIRST] = step < load->stops ? share - call : 0,
            [RETRY_KIND_RETRY] = load->is_calm ? 0 : retry,
            [RETRY_KIND_CALL] = load->is_calm ? 0 : call,
            [RETRY_KIND_CALM] = load->is_calm ? retry + call : 0};

        firsts[step] = 0;
        retries[step] = 0;
        for (int kind = 0; kind < RETRY_KINDS; kind++) {
            double left = shares[kind];

            for (; Rng_Unit(&rng) < left; left -= 1) {
                guint owner = Rng_Unit(&rng) < load->skew
                                  ? 0
                                  : (guint)Rng_Below(&rng, load->owners);
                gboolean is_granted = RetryLimit_Reserve(
                    &limits[owner], (RetryKind)kind, step * STEP_MS);

                if (is_granted) {
                    RetryLimit_Send(&limits[owner], (RetryKind)kind,
                                    step * STEP_MS);
                }
                firsts[step] += kind == RETRY_KIND_FIRST;
                retries[step] += kind != RETRY_KIND_FIRST && is_granted;
                wanted += kind != RETRY_KIND_FIRST;
                granted += kind != RETRY_KIND_FIRST && is_granted;
            }
        }
        first += firsts[step];
        again += retries[step];
        if (step >= WINDOW_STEPS) {
            first -= firsts[step - WINDOW_STEPS];
            again -= retries[step - WINDOW_STEPS];
        }
        played.usage =
            MAX(played.usage, again / (RATIO * first + load->slack));
    }
    played.granted = wanted > 0 ? (double)granted / wanted : 1;
    return played;
}

/* Guards against any window with more retries than the limit of a service,
 * when everything fails from the start, when requests stop and only retries
 * are left, when callers' runs are retries, or when one owner gets most; and
 * against refusals while few retries are wanted. */
static void
test_windows(void)
{
    static const struct {
        Load load;
        double min_granted;
    } cases[] = {
        {{"calm, many owners", 85, 212, 430, 0.05, 0.01, 0, TRUE, STEPS},
         0.99},
        {{"calm, few owners", 8, 170, 200, 0.08, 0, 0, TRUE, STEPS}, 1},
        {{"calm, few requests", 19, 212, 5, 0.5, 0, 0, TRUE, STEPS}, 1},
        {{"no reports yet", 19, 212, 250, 0.1, 0, 0, FALSE, STEPS}, 0.95},
        {{"no reports, many owners", 85, 212, 430, 0.05, 0, 0, FALSE, STEPS},
         0.8},
        {{"all fail at once", 19, 212, 250, 2, 0, 0, FALSE, STEPS}, 0.05},
        {{"all fail, many owners", 85, 212, 250, 2, 0, 0, FALSE, STEPS}, 0.05},
        {{"callers retry", 19, 212, 250, 0.3, 0.4, 0, FALSE, STEPS}, 0.15},
        {{"requests stop", 19, 212, 250, 1, 0.3, 0, FALSE, 1500}, 0.05},
        {{"one owner gets half", 19, 212, 250, 1, 0.1, 0.5, FALSE, STEPS},
         0.05},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Played played = play_load(&cases[i].load);

        g_test_message("%s: usage %.2f granted %.2f", cases[i].load.name,
                       played.usage, played.granted);
        g_assert_cmpfloat(played.usage, <=, 0.95);
        g_assert_cmpfloat(played.granted, >=, cases[i].min_granted);
    }
}

/* Guards against retries that wait for a slot and are all sent at once later,
 * against a reservation that is lost when its retry is not sent, and against
 * calls of retried runs that retries leave nothing. */
static void
test_reservations(void)
{
    RetryLimit limit = {0};
    guint reserved = 0;

    g_assert_true(RetryLimit_Reserve(&limit, RETRY_KIND_RETRY, 0));
    RetryLimit_Return(&limit, RETRY_KIND_RETRY);
    RetryLimit_Set(&limit, RATIO, 20, WINDOW_MS, 0);
    while (RetryLimit_Reserve(&limit, RETRY_KIND_RETRY, 0)) {
        reserved++;
    }
    g_assert_cmpuint(reserved, ==, 6);
    g_assert_true(RetryLimit_Reserve(&limit, RETRY_KIND_CALL, 0));
    RetryLimit_Return(&limit, RETRY_KIND_CALL);
    RetryLimit_Return(&limit, RETRY_KIND_RETRY);
    g_assert_true(RetryLimit_Reserve(&limit, RETRY_KIND_RETRY, 0));
    for (guint i = 0; i < reserved; i++) {
        RetryLimit_Send(&limit, RETRY_KIND_RETRY, 0);
    }
    g_assert_cmpuint(limit.reserved, ==, 0);
    g_assert_false(RetryLimit_Reserve(&limit, RETRY_KIND_RETRY, 0));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry-limit/windows", test_windows);
    g_test_add_func("/retry-limit/reservations", test_reservations);
    return g_test_run();
}
