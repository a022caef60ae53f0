/* Tests of the gray failure filter. */
#include <glib.h>

#include "health/gray_filter.h"

/* Guards against a filter that reacts too late to failures, ignores a
 * recovery, or takes one failure among many successes for a gray period. */
static void
test_sequences(void)
{
    static const struct {
        const char *outcomes; /* f = failed, s = succeeded, 200 ms apart */
        double min;
        double max;
    } cases[] = {
        {"", 0.1, 0.2},        {"ssss", 0, 0.02},
        {"ssssf", 0.1, 0.5},   {"ssssff", 0.8, 1},
        {"ssssfsss", 0, 0.05}, {"ffff", 0.95, 1},
        {"ffffssss", 0, 0.2},  {"ssssfssssfssss", 0, 0.05},
        {"sfsfsfsf", 0.5, 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GrayFilter filter;
        ClockMs now = 1000;

        GrayFilter_Init(&filter, NULL, now);
        for (const char *c = cases[i].outcomes; *c != '\0'; c++) {
            now += 200;
            GrayFilter_Observe(&filter, *c == 'f', now);
        }
        g_test_message("%s: %.3f", cases[i].outcomes,
                       GrayFilter_Risk(&filter, now));
        g_assert_cmpfloat(GrayFilter_Risk(&filter, now), >=, cases[i].min);
        g_assert_cmpfloat(GrayFilter_Risk(&filter, now), <=, cases[i].max);
    }
}

/* Guards against a risk that does not return to its long-term value as time
 * passes, and against one outside the range of a probability when the clock
 * stands still or goes back. */
static void
test_ageing(void)
{
    GrayFilter filter;
    double long_term_risk;

    GrayFilter_Init(&filter, NULL, 0);
    long_term_risk = GrayFilter_LongTermRisk(&filter);
    GrayFilter_Set(&filter, 1, 1000);
    g_assert_cmpfloat(GrayFilter_Risk(&filter, 1000), <, 1);
    g_assert_cmpfloat(GrayFilter_Risk(&filter, 500), <, 1);
    g_assert_cmpfloat(GrayFilter_Risk(&filter, 6000), <,
                      GrayFilter_Risk(&filter, 2000));
    g_assert_cmpfloat_with_epsilon(GrayFilter_Risk(&filter, 200000),
                                   long_term_risk, 0.001);
    GrayFilter_Set(&filter, 0, 1000);
    g_assert_cmpfloat(GrayFilter_Risk(&filter, 1000), >, 0);
    g_assert_cmpfloat_with_epsilon(GrayFilter_Risk(&filter, 200000),
                                   long_term_risk, 0.001);
    g_assert_cmpfloat(GrayFilter_FailShare(&filter, 0), <,
                      GrayFilter_FailShare(&filter, 1));
}

/* Guards against a limit of risk that is compared with a share of failures: a
 * backend server at the limit fails exactly that share. */
static void
test_risk_at(void)
{
    static const struct {
        double fail_share;
        double risk;
    } cases[] = {{0, 0}, {0.03, 0}, {0.21, 0.25}, {0.75, 1}, {1, 1}};
    GrayFilter filter;

    GrayFilter_Init(&filter, NULL, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        double risk = GrayFilter_RiskAt(NULL, cases[i].fail_share);

        g_assert_cmpfloat_with_epsilon(risk, cases[i].risk, 1e-9);
        if (risk > 0 && risk < 1) {
            g_assert_cmpfloat_with_epsilon(GrayFilter_FailShare(&filter, risk),
                                           cases[i].fail_share, 1e-9);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/gray-filter/sequences", test_sequences);
    g_test_add_func("/gray-filter/ageing", test_ageing);
    g_test_add_func("/gray-filter/risk-at", test_risk_at);
    return g_test_run();
}
