/* Estimates of the load of backend servers from old reports. */
#include <glib.h>

#include "roster/load_estimate.h"

/* Guards against an old report that counts as an idle or as a full backend
 * server, and against own requests that are counted twice or not at all. */
static void
test_load(void)
{
    static const struct {
        LoadReport report;
        double load;
    } cases[] = {
        {{.slots = 8, .requests = 6, .weight = 1}, 6},
        {{.slots = 8, .requests = 6, .weight = 0}, 4},
        {{.slots = 8, .requests = 0, .weight = 0.5}, 2},
        {{.slots = 8,
          .requests = 6,
          .own_before = 2,
          .own_now = 2,
          .weight = 1},
         6},
        {{.slots = 8,
          .requests = 1,
          .own_before = 2,
          .own_now = 3,
          .weight = 1},
         3},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpfloat_with_epsilon(
            LoadEstimate_Load(&cases[i].report, 0.5), cases[i].load, 1e-9);
    }
}

/* Guards against a report of a host that has died which still decides, and
 * against a clock that runs backwards. */
static void
test_weight(void)
{
    g_assert_cmpfloat(LoadEstimate_Weight(0, 400), ==, 1);
    g_assert_cmpfloat(LoadEstimate_Weight(-5, 400), ==, 1);
    g_assert_cmpfloat(LoadEstimate_Weight(5000, 0), <, 0.01);
    g_assert_cmpfloat(LoadEstimate_Weight(20000, 600000), <, 0.01);
}

/* Guards against backend servers with more capacity that get no more requests,
 * or ones with little that get none. */
static void
test_capacity(void)
{
    g_assert_true(LoadEstimate_IsPreferred(1, 1, 0.99));
    g_assert_true(LoadEstimate_IsPreferred(2, 10, 0.19));
    g_assert_false(LoadEstimate_IsPreferred(1, 10, 0.19));
    g_assert_true(LoadEstimate_IsPreferred(0, 10, 0.02));
    g_assert_cmpfloat(LoadEstimate_RandomCost(2, 0.5), <,
                      LoadEstimate_RandomCost(1, 0.5));
    g_assert_cmpfloat(LoadEstimate_RandomCost(0, 0.999999), <=, 0.01);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/load-estimate/load", test_load);
    g_test_add_func("/load-estimate/weight", test_weight);
    g_test_add_func("/load-estimate/capacity", test_capacity);
    return g_test_run();
}
