/* Tests of the times in which the process did not run. */
#include <glib.h>

#include "backend/pause_log.h"

/* Guards against a suspension that is not noticed, or is counted twice, when a
 * request ends before the first tick after it; and against a late tick that
 * counts as one. */
static void
test_pauses(void)
{
    /* Ticks each 250 ms up to 2,000, then one at `woken`. */
    static const struct {
        ClockMs woken;
        gboolean ticked; /* the tick at `woken` has happened */
        ClockMs from;
        ClockMs now;
        ClockMs paused;
    } cases[] = {
        {2250, TRUE, 0, 2250, 0},        {2700, TRUE, 0, 2700, 0},
        {2700, FALSE, 0, 2700, 0},       {6000, TRUE, 0, 6000, 4000},
        {6000, FALSE, 0, 6000, 4000},    {6000, FALSE, 1000, 6000, 4000},
        {6000, FALSE, 3000, 6000, 3000}, {6000, TRUE, 3000, 6200, 3000},
        {6000, TRUE, 6000, 6200, 0},     {6000, TRUE, 6100, 6200, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        PauseLog log = {0};

        for (ClockMs now = 250; now <= 2000; now += PAUSE_TICK_MS) {
            PauseLog_Tick(&log, now);
        }
        if (cases[i].ticked) {
            PauseLog_Tick(&log, cases[i].woken);
        }
        g_test_message("case %zu", i);
        g_assert_cmpint(PauseLog_Between(&log, cases[i].from, cases[i].now),
                        ==, cases[i].paused);
    }
}

/* Guards against a long run that spans several suspensions of which only one
 * counts, and against a log that is full or has no tick yet. */
static void
test_many(void)
{
    PauseLog log = {0};
    ClockMs now = 1000;

    g_assert_cmpint(PauseLog_Between(&log, 0, 100000), ==, 0);
    PauseLog_Tick(&log, now);
    for (int i = 0; i < 2 * PAUSE_LOG_ENTRIES; i++) {
        now += 2000;
        PauseLog_Tick(&log, now);
        now += PAUSE_TICK_MS;
        PauseLog_Tick(&log, now);
    }
    g_assert_cmpint(PauseLog_Between(&log, 0, now), ==,
                    (ClockMs)2000 * PAUSE_LOG_ENTRIES);
    g_assert_cmpint(PauseLog_Between(&log, now - 4500, now), ==, 4000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pause-log/pauses", test_pauses);
    g_test_add_func("/pause-log/many", test_many);
    return g_test_run();
}
