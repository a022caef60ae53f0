/* Tests of the time after which refused callers return. */
#include <glib.h>

#include "base/rng.h"
#include "gateway/return_time.h"

/* Guards against a time that callers do not wait for, and against telling a
 * caller to return when it cannot be served in its time. */
static void
test_times(void)
{
    static const struct {
        ReturnInput input;
        ClockMs low;
        ClockMs high;
    } cases[] = {
        {{RESULT_BACKEND_SERVER_BUSY, 600, 0, 0, 6000, 0}, 600, 750},
        {{RESULT_BACKEND_SERVER_BUSY, 600, 0, 0, 6000, 1}, 600, 900},
        {{RESULT_BACKEND_SERVER_BUSY, 600, 0, 0, 1900, 9}, 600, 634},
        {{RESULT_BACKEND_SERVER_BUSY, 600, 0, 0, 1700, 0}, -1, -1},
        {{RESULT_BACKEND_SERVER_BUSY, 3, 0, 0, 6000, 0}, 100, 125},
        {{RESULT_NO_BACKEND_SERVER, 0, 0, 0, 6000, 0}, 300, 375},
        {{RESULT_RATE_EXCEEDED, 0, 0, 30, 6000, 0}, 300, 375},
        {{RESULT_RATE_EXCEEDED, 0, 0, 3000, 6000, 0}, -1, -1},
        {{RESULT_NOT_CONFIGURED, 0, 0, 0, 6000, 0}, 1000, 1250},
        {{RESULT_NOT_CONFIGURED, 0, 0, 0, -5, 0}, -1, -1},
        {{RESULT_SHUTTING_DOWN, 0, 0, 0, 8000, 0}, 1500, 1875},
        {{RESULT_SHUTTING_DOWN, 0, 0, 0, 4000, 0}, -1, -1},
        {{RESULT_HOME_REGIONS_AWAY, 0, 800, 0, 6000, 0}, 800, 1000},
        {{RESULT_HOME_REGIONS_AWAY, 0, 20, 0, 6000, 0}, 100, 125},
        {{RESULT_HOME_REGIONS_AWAY, 0, 4000, 0, 6000, 0}, 2000, 2000},
        {{RESULT_HOME_REGIONS_AWAY, 0, 0, 0, 6000, 0}, 1000, 1250},
        {{RESULT_HOME_REGIONS_AWAY, 0, 4000, 0, 200, 0}, -1, -1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (double unit = 0; unit < 1; unit += 0.1) {
            ClockMs time = ReturnTime_Compute(&cases[i].input, unit);

            g_assert_cmpint(time, >=, cases[i].low);
            g_assert_cmpint(time, <=, cases[i].high);
        }
    }
}

/* Guards against a caller that returns to a cold backend server too early, and
 * against a full one's backlog that is forgotten. */
static void
test_backlog(void)
{
    RosterReport report = {.slots = 10, .in_flight = 3, .service_ms = 400};

    g_assert_cmpint(ReturnTime_Backlog(&report), ==, 40);
    report.cold_wait_ms = 730;
    g_assert_cmpint(ReturnTime_Backlog(&report), ==, 730);
    report.waiting = 40;
    g_assert_cmpint(ReturnTime_Backlog(&report), ==, 1360);
}

#define CALLERS 400
#define SLOT_MS 10 /* a slot is freed every 10 ms */

/* Replays callers that are all refused at once and return. Guards against a
 * second peak: in no half second may more return than a backlog of that length
 * holds twice over. Also guards against an order that ignores the urgency. */
static void
test_herd(void)
{
    enum { WINDOW_MS = 500 };
    guint windows[40] = {0};
    double mean[2] = {0};
    Rng rng;

    Rng_Seed(&rng, 3);
    for (int i = 0; i < CALLERS; i++) {
        ReturnInput input = {.result = RESULT_BACKEND_SERVER_BUSY,
                             .backlog_ms = (ClockMs)i * SLOT_MS,
                             .left_ms = 30000,
                             .priority = i % 2 == 0 ? 0 : 3};
        ClockMs time = ReturnTime_Compute(&input, Rng_Unit(&rng));

        g_assert_cmpint(time, !=, RETURN_TIME_NONE);
        windows[time / WINDOW_MS]++;
        mean[i % 2] += (double)time / CALLERS * 2;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(windows); i++) {
        g_assert_cmpuint(windows[i], <=, 2 * WINDOW_MS / SLOT_MS);
    }
    g_assert_cmpfloat(mean[0], <, mean[1]);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/return-time/times", test_times);
    g_test_add_func("/return-time/backlog", test_backlog);
    g_test_add_func("/return-time/herd", test_herd);
    return g_test_run();
}
