/* Tests of the record of attempts. */
#include <glib.h>
#include <pthread.h>

#include "attempt/attempt_log.h"

#define STARTED 100000
#define NOW (STARTED + 50000)
#define ID 7

/* Guards against "not seen" for an attempt that has run, that ran in an
 * earlier process, or whose record was dropped. */
static void
test_ask(void)
{
    static const struct {
        const char *name;
        ClockMs noted;       /* 0: has not arrived */
        ClockMs other_noted; /* the last of `others`, all at this time */
        uint32_t others;
        ClockMs elapsed_ms;
        AttemptState expected;
    } cases[] = {
        {"not arrived", 0, 0, 0, 100, ATTEMPT_NOT_SEEN},
        {"arrived", NOW - 50, 0, 0, 100, ATTEMPT_SEEN},
        {"sent just now", 0, 0, 0, 0, ATTEMPT_NOT_SEEN},
        {"longest time", 0, 0, 0, 49499, ATTEMPT_NOT_SEEN},
        {"sent within the margin of the start", 0, 0, 0, 49500,
         ATTEMPT_UNKNOWN},
        {"sent before the start", 0, 0, 0, 50001, ATTEMPT_UNKNOWN},
        {"above the limit", 0, 0, 0, ATTEMPT_MAX_ELAPSED_MS + 1,
         ATTEMPT_UNKNOWN},
        {"negative", 0, 0, 0, -1, ATTEMPT_UNKNOWN},
        {"smallest", 0, 0, 0, INT64_MIN, ATTEMPT_UNKNOWN},
        {"greatest", 0, 0, 0, INT64_MAX, ATTEMPT_UNKNOWN},
        {"full", 0, NOW - 700, 4, 100, ATTEMPT_NOT_SEEN},
        {"overflow before it was sent", 0, NOW - 700, 5, 100,
         ATTEMPT_NOT_SEEN},
        {"overflow within the margin", 0, NOW - 600, 5, 100, ATTEMPT_UNKNOWN},
        {"overflow since", 0, NOW - 10, 5, 100, ATTEMPT_UNKNOWN},
        {"arrived and dropped", NOW - 50, NOW - 10, 4, 100, ATTEMPT_UNKNOWN},
        {"arrived and kept", NOW - 50, NOW - 10, 3, 100, ATTEMPT_SEEN},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        AttemptLog *log = AttemptLog_Create(
            &(AttemptLog_desc){.started = STARTED, .max_noted = 4});

        g_test_message("%s", cases[i].name);
        if (cases[i].noted > 0) {
            g_assert_true(AttemptLog_Note(log, ID, cases[i].noted));
        }
        for (uint32_t j = 0; j < cases[i].others; j++) {
            g_assert_true(
                AttemptLog_Note(log, ID + 1 + j, cases[i].other_noted));
        }
        /* A repeated question gets the same reply. */
        for (int repeat = 0; repeat < 2; repeat++) {
            g_assert_cmpint(AttemptLog_Ask(log, ID, cases[i].elapsed_ms, NOW),
                            ==, cases[i].expected);
        }
        /* A late copy runs unless it is void. */
        g_assert_cmpint(AttemptLog_Note(log, ID, NOW + 10), ==,
                        cases[i].expected != ATTEMPT_NOT_SEEN);
        AttemptLog_Destroy(log);
    }
}

/* Guards against times of threads that read the clock in another order than
 * they take the lock: the latest dropped record counts. */
static void
test_order(void)
{
    AttemptLog *log = AttemptLog_Create(
        &(AttemptLog_desc){.started = STARTED, .max_noted = 1});

    g_assert_true(AttemptLog_Note(log, 1, NOW - 100));
    g_assert_true(AttemptLog_Note(log, 2, NOW - 5000));
    g_assert_true(AttemptLog_Note(log, 3, NOW - 90));
    g_assert_cmpint(AttemptLog_Ask(log, ID, 10, NOW), ==, ATTEMPT_UNKNOWN);
    AttemptLog_Destroy(log);
}

/* Guards against a void id that is dropped while its copy may still arrive,
 * and against a log that is of no use any more once it was full. */
static void
test_void_overflow(void)
{
    AttemptLog *log = AttemptLog_Create(
        &(AttemptLog_desc){.started = STARTED, .max_void = 2});
    ClockMs later = NOW + ATTEMPT_VOID_MS + 1;

    g_assert_cmpint(AttemptLog_Ask(log, 1, 10, NOW), ==, ATTEMPT_NOT_SEEN);
    g_assert_cmpint(AttemptLog_Ask(log, 2, 10, NOW + 5), ==, ATTEMPT_NOT_SEEN);
    g_assert_cmpint(AttemptLog_Ask(log, 3, 10, later - 1), ==,
                    ATTEMPT_UNKNOWN);
    g_assert_false(AttemptLog_Note(log, 1, later - 1));
    g_assert_cmpint(AttemptLog_Ask(log, 3, 10, later), ==, ATTEMPT_NOT_SEEN);
    g_assert_true(AttemptLog_Note(log, 1, later));
    g_assert_false(AttemptLog_Note(log, 2, later));
    g_assert_false(AttemptLog_Note(log, 3, later));
    AttemptLog_Destroy(log);
}

/* Guards against a log that voids attempts although an earlier process may
 * still run them. */
static void
test_never(void)
{
    AttemptLog *log =
        AttemptLog_Create(&(AttemptLog_desc){.started = CLOCK_NEVER});

    g_assert_cmpint(AttemptLog_Ask(log, ID, 0, NOW), ==, ATTEMPT_UNKNOWN);
    g_assert_true(AttemptLog_Note(log, ID, NOW));
    g_assert_cmpint(AttemptLog_Ask(log, ID, 0, NOW), ==, ATTEMPT_SEEN);
    AttemptLog_Destroy(log);
}

#define RACES 20000

typedef struct Race {
    AttemptLog *log;
    pthread_barrier_t barrier;
    gboolean may_run[RACES];
} Race;

static void *
note_all(void *context)
{
    Race *race = context;

    pthread_barrier_wait(&race->barrier);
    for (uint64_t id = 0; id < RACES; id++) {
        race->may_run[id] = AttemptLog_Note(race->log, id, NOW);
    }
    return NULL;
}

/* Guards against an attempt that runs although the question that arrived at
 * the same moment got "not seen", and against one that is lost to both. */
static void
test_race(void)
{
    Race *race = g_new0(Race, 1);
    AttemptState *states = g_new0(AttemptState, RACES);
    pthread_t thread;

    race->log = AttemptLog_Create(&(AttemptLog_desc){
        .started = STARTED, .max_noted = RACES, .max_void = RACES});
    pthread_barrier_init(&race->barrier, NULL, 2);
    pthread_create(&thread, NULL, note_all, race);
    pthread_barrier_wait(&race->barrier);
    for (uint64_t id = 0; id < RACES; id++) {
        states[id] = AttemptLog_Ask(race->log, id, 10, NOW);
    }
    pthread_join(thread, NULL);
    for (uint64_t id = 0; id < RACES; id++) {
        g_assert_cmpint(states[id], ==,
                        race->may_run[id] ? ATTEMPT_SEEN : ATTEMPT_NOT_SEEN);
    }
    pthread_barrier_destroy(&race->barrier);
    AttemptLog_Destroy(race->log);
    g_free(states);
    g_free(race);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/attempt-log/ask", test_ask);
    g_test_add_func("/attempt-log/order", test_order);
    g_test_add_func("/attempt-log/void-overflow", test_void_overflow);
    g_test_add_func("/attempt-log/never", test_never);
    g_test_add_func("/attempt-log/race", test_race);
    return g_test_run();
}
