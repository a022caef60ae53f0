/* Tests of the cost that decides where a request is sent. */
#include <glib.h>
#include <math.h>

#include "roster/placement.h"

static const Placement_desc defaults;

/* Healthy and idle candidates, one in each tier. */
static PlacementCandidate
candidate_in(RosterTier tier)
{
    static const double transit_ms[] = {0, 0.4, 2.8, 60};

    return (PlacementCandidate){.tier = tier,
                                .is_known = TRUE,
                                .fail_share = 0.03,
                                .service_ms = 300,
                                .transit_ms = transit_ms[tier]};
}

static RosterTier
choose(const PlacementRequest *request, const PlacementCandidate *candidates)
{
    RosterTier best = ROSTER_SAME_HOST;

    for (int tier = 1; tier < ROSTER_TIERS; tier++) {
        if (Placement_Cost(&defaults, request, &candidates[tier]) <
            Placement_Cost(&defaults, request, &candidates[best])) {
            best = tier;
        }
    }
    return best;
}

/* Replays a service that fails, or is full, in the nearer tiers only, for
 * requests of different sizes. Guards against moving a large body to another
 * region for a small gain, and against small requests that stay at failing or
 * full backend servers while another region has idle ones. */
static void
test_spill(void)
{
    static const struct {
        double relative_size;
        double fail_share; /* in this region */
        double wait_ms;    /* in this region */
        double failure_cost;
        RosterTier expected;
    } cases[] = {
        {1, 0.03, 0, 1, ROSTER_SAME_HOST},
        {0.05, 0.03, 0, 1, ROSTER_SAME_HOST},
        /* the whole region fails three requests of four */
        {0.05, 0.75, 0, 1, ROSTER_OTHER_REGION},
        {1, 0.75, 0, 1, ROSTER_OTHER_REGION},
        {6, 0.75, 0, 1, ROSTER_SAME_HOST},
        /* a failure costs little, since a retry can follow */
        {0.05, 0.75, 0, 0.2, ROSTER_OTHER_REGION},
        {1, 0.75, 0, 0.2, ROSTER_SAME_HOST},
        /* the whole region is full */
        {0.05, 0.03, 800, 1, ROSTER_OTHER_REGION},
        {1, 0.03, 800, 1, ROSTER_SAME_HOST},
        {1, 0.03, 1900, 1, ROSTER_OTHER_REGION},
        {6, 0.03, 1900, 1, ROSTER_SAME_HOST},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        PlacementRequest request = {.failure_cost = cases[i].failure_cost,
                                    .relative_size = cases[i].relative_size,
                                    .time_left_ms = 2000};
        PlacementCandidate candidates[ROSTER_TIERS];

        for (int tier = 0; tier < ROSTER_TIERS; tier++) {
            candidates[tier] = candidate_in(tier);
            if (tier != ROSTER_OTHER_REGION) {
                candidates[tier].fail_share = cases[i].fail_share;
                candidates[tier].wait_ms = cases[i].wait_ms;
            }
        }
        g_test_message("case %zu", i);
        g_assert_cmpint(choose(&request, candidates), ==, cases[i].expected);
    }
}

/* Guards against moving a request to a far owner that has not reported lately
 * while another one of the same region has. */
static void
test_unknown(void)
{
    PlacementRequest request = {
        .failure_cost = 1, .relative_size = 1, .time_left_ms = 2000};
    PlacementCandidate known = candidate_in(ROSTER_OTHER_REGION);
    PlacementCandidate unknown = known;

    unknown.is_known = FALSE;
    unknown.load = 0;
    known.load = 0.9;
    g_assert_cmpfloat(Placement_Cost(&defaults, &request, &unknown), >,
                      Placement_Cost(&defaults, &request, &known));
}

/* Replays a request that goes to another region, where the risk has risen
 * since the last report. Guards against a refusal that moves the bytes twice
 * although the second best choice costs more than the risk, which happened
 * while the distance counted against the owner. Also guards against limits
 * that send a request round and round. */
static void
test_limits(void)
{
    static const struct {
        double failure_cost;
        double other_cost;
        ClockMs left_ms;
        gboolean asked_before;
        double fail_share; /* at the owner */
        gboolean runs;
        ClockMs max_wait_ms;
    } cases[] = {
        {1, 0.45, 2000, FALSE, 0.4, TRUE, 1000},
        {1, 0.45, 2000, FALSE, 0.6, FALSE, 1000},
        {1, 0.01, 2000, FALSE, 0.2, TRUE, 1000},
        {0.2, 0.2, 2000, FALSE, 0.9, TRUE, 1000},
        {1, HUGE_VAL, 2000, FALSE, 1, TRUE, 1000},
        {1, 0.01, 2000, TRUE, 0.9, TRUE, 4000},
        {1, 0.45, -100, FALSE, 0.4, TRUE, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        PlacementRequest request = {.failure_cost = cases[i].failure_cost,
                                    .relative_size = 1,
                                    .time_left_ms = cases[i].left_ms};
        PlacementAsk ask = {.other_cost = cases[i].other_cost,
                            .asked_before = cases[i].asked_before,
                            .deadline_ms = 4000};
        PlacementLimits limits = Placement_Limits(&request, &ask);

        g_test_message("case %zu", i);
        g_assert_cmpint(cases[i].fail_share <= limits.max_fail_share, ==,
                        cases[i].runs);
        g_assert_cmpint(limits.max_wait_ms, ==, cases[i].max_wait_ms);
    }
}

/* Guards against a cost that falls when one of its inputs gets worse. */
static void
test_monotony(void)
{
    PlacementRequest request = {
        .failure_cost = 1, .relative_size = 1, .time_left_ms = 500};
    PlacementCandidate better = candidate_in(ROSTER_SAME_REGION);
    double before = Placement_Cost(&defaults, &request, &better);

    for (int input = 0; input < 5; input++) {
        PlacementCandidate worse = better;

        worse.fail_share += input == 0 ? 0.2 : 0;
        worse.load += input == 1 ? 0.5 : 0;
        worse.wait_ms += input == 2 ? 100 : 0;
        worse.transit_ms += input == 3 ? 100 : 0;
        worse.service_ms += input == 4 ? 300 : 0;
        g_assert_cmpfloat(Placement_Cost(&defaults, &request, &worse), >,
                          before);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/placement/spill", test_spill);
    g_test_add_func("/placement/unknown", test_unknown);
    g_test_add_func("/placement/limits", test_limits);
    g_test_add_func("/placement/monotony", test_monotony);
    return g_test_run();
}
