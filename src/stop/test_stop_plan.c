/* Tests of the times of a graceful stop. */
#include <glib.h>

#include "stop/stop_plan.h"

/* Guards against a request that is taken so late in a stop that it is cut at
 * the end, and against a refusal of one that can still be served. */
static void
test_takes(void)
{
    static const struct {
        ClockMs grace_ms;
        ClockMs now;
        ClockMs deadline;
        gboolean taken;
    } cases[] = {
        {6000, 0, 8000, TRUE},      {6000, 2300, 15000, TRUE},
        {6000, 2301, 8000, FALSE},  {6000, 4000, 5201, FALSE},
        {6000, 4000, 5200, TRUE},   {6000, 5100, 5150, TRUE},
        {6000, 5300, 5400, FALSE},  {10000, 2300, 9300, TRUE},
        {10000, 2400, 9300, FALSE}, {10000, 8900, 9100, TRUE},
        {2000, 1000, 5000, TRUE},   {2000, 1001, 5000, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        StopPlan plan = StopPlan_Make(0, cases[i].grace_ms);

        g_assert_cmpint(StopPlan_Takes(&plan, cases[i].deadline, cases[i].now),
                        ==, cases[i].taken);
    }
}

/* Guards against a run that may not be repeated, taken up with less time left
 * than a long run needs. */
static void
test_leaves_time(void)
{
    static const struct {
        ClockMs now;
        ClockMs deadline;
        gboolean taken;
    } cases[] = {
        {0, 8000, TRUE},     {3100, 8000, TRUE},  {3101, 8000, FALSE},
        {3101, 5600, TRUE},  {3101, 5601, FALSE}, {5500, 5600, TRUE},
        {5500, 5601, FALSE}, {5700, 5800, FALSE},
    };
    StopPlan plan = StopPlan_Make(0, 6000);
    StopPlan none = StopPlan_None();

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpint(StopPlan_LeavesTime(plan.end, cases[i].deadline, 2500,
                                            cases[i].now),
                        ==, cases[i].taken);
        g_assert_true(StopPlan_LeavesTime(none.end, cases[i].deadline,
                                          CLOCK_NEVER, cases[i].now));
    }
}

/* Guards against a run that is taken up although it cannot be expected to end
 * before the stop does. */
static void
test_takes_run(void)
{
    static const struct {
        ClockMs now;
        ClockMs deadline;
        ClockMs expected_ms;
        gboolean taken;
    } cases[] = {
        {0, 8000, 5200, TRUE},     {0, 8000, 5201, FALSE},
        {0, 5200, 9000, TRUE},     {2000, 8000, 3200, TRUE},
        {2000, 8000, 3300, FALSE}, {5300, 8000, 0, FALSE},
    };
    StopPlan plan = StopPlan_Make(0, 6000);
    StopPlan none = StopPlan_None();

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpint(StopPlan_TakesRun(&plan, cases[i].deadline,
                                          cases[i].expected_ms, cases[i].now),
                        ==, cases[i].taken);
        g_assert_true(StopPlan_TakesRun(&none, cases[i].deadline,
                                        cases[i].expected_ms, cases[i].now));
        g_assert_true(StopPlan_Takes(&none, cases[i].deadline, cases[i].now));
    }
}

/* Guards against times out of order for any grace period, against a run that
 * is cut before the last sixth of the grace period, and against a process that
 * is killed because it does not end in time. */
static void
test_order(void)
{
    for (ClockMs grace = 100; grace <= 60000; grace += 100) {
        StopPlan plan = StopPlan_Make(7, grace);

        g_assert_cmpint(plan.begin, ==, 7);
        g_assert_cmpint(plan.take_until, >, plan.begin);
        g_assert_cmpint(plan.take_until, <, plan.abandon);
        g_assert_cmpint(6 * (plan.abandon - 7), >=, 5 * grace);
        g_assert_cmpint(plan.abandon, <, plan.end);
        g_assert_cmpint(plan.end, <, plan.begin + grace);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stop-plan/takes", test_takes);
    g_test_add_func("/stop-plan/takes-run", test_takes_run);
    g_test_add_func("/stop-plan/leaves-time", test_leaves_time);
    g_test_add_func("/stop-plan/order", test_order);
    return g_test_run();
}
