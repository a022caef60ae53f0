#include "roster/placement.h"

#define DEFAULT_DATA_CENTRE_COST 0.03
#define DEFAULT_REGION_COST 0.2

/* Cost of the network hop to another host of the data centre, with its
 * processor time. */
#define HOP_COST 0.002

/* Extra cost of a fully loaded backend server over an idle one. */
#define LOAD_COST 0.04

/* Cost of a failed attempt as a share of the request's value: all of it if no
 * retry can follow, otherwise the lost time and the load of the retry. */
#define FAILURE_COST_FINAL 1.0
#define FAILURE_COST_RETRYABLE 0.2

/* Share of the requests that an owner without a recent report is expected to
 * refuse. */
#define REFUSED_SHARE 0.5

/* Cost by which the best backend server may exceed the second best before its
 * owner has to refuse; keeps small differences from costing another round. */
#define RISK_MARGIN 0.05

/* Minimum limit sent to an owner; healthy backend servers are expected to fail
 * up to about this share. */
#define MIN_FAIL_LIMIT 0.21

/* Number of owners that may refuse a request for their risk, and one that can
 * be retried. */
#define MAX_RISKY_OWNERS 2
#define MAX_RISKY_OWNERS_RETRYABLE 1

/* Cost of an answer that is expected to arrive too late. */
#define LATE_COST 0.5

double
Placement_FailureCost(gboolean can_retry)
{
    return can_retry ? FAILURE_COST_RETRYABLE : FAILURE_COST_FINAL;
}

double
Placement_DistanceCost(const Placement_desc *desc, RosterTier tier,
                       double relative_size)
{
    double data_centre_cost = desc->data_centre_cost > 0
                                  ? desc->data_centre_cost
                                  : DEFAULT_DATA_CENTRE_COST;
    double region_cost =
        desc->region_cost > 0 ? desc->region_cost : DEFAULT_REGION_COST;

    switch (tier) {
    case ROSTER_SAME_HOST:
        return 0;
    case ROSTER_SAME_DATA_CENTRE:
        return HOP_COST;
    case ROSTER_SAME_REGION:
        return HOP_COST + data_centre_cost * relative_size;
    default:
        return HOP_COST + region_cost * relative_size;
    }
}

double
Placement_Cost(const Placement_desc *desc, const PlacementRequest *request,
               const PlacementCandidate *candidate)
{
    double left = (double)MAX(request->time_left_ms, 1);
    double delay = candidate->wait_ms + candidate->transit_ms;
    double distance =
        Placement_DistanceCost(desc, candidate->tier, request->relative_size);
    double cost = request->failure_cost * candidate->fail_share +
                  (candidate->is_known ? 1 : 1 + REFUSED_SHARE) * distance +
                  LOAD_COST * MIN(candidate->load, 1) +
                  LATE_COST * MIN(delay / left, 1);

    if (delay + candidate->service_ms > left) {
        cost += LATE_COST;
    }
    return cost;
}

PlacementLimits
Placement_Limits(const PlacementRequest *request, const PlacementAsk *ask)
{
    double fail_share =
        (ask->other_cost + RISK_MARGIN) / request->failure_cost;

    if (ask->asked_before) {
        return (PlacementLimits){.max_fail_share = 1,
                                 .max_wait_ms = MAX(ask->deadline_ms, 0)};
    }
    if (ask->risky_owners >= (request->failure_cost < FAILURE_COST_FINAL
                                  ? MAX_RISKY_OWNERS_RETRYABLE
                                  : MAX_RISKY_OWNERS)) {
        fail_share = 1;
    }
    return (PlacementLimits){.max_fail_share =
                                 CLAMP(fail_share, MIN_FAIL_LIMIT, 1),
                             .max_wait_ms = MAX(request->time_left_ms / 2, 0)};
}
