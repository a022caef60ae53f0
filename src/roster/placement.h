/* Placement: cost of sending a request to one backend server, without state,
 * lock or clock.
 *
 * Load pattern: part of a service fails, is slow or is full, and requests have
 * to go to other backend servers, some of them in other data centres and
 * regions. Large requests stay near, because traffic between regions is billed
 * by volume; small ones, such as the calls of running requests, may use the
 * idle backend servers of other regions.
 *
 * Use: Placement_Cost() for each candidate; the lowest cost wins.
 * Placement_Limits() gives the expected share of failures and the wait above
 * which its owner, who knows more, is to refuse the request. All costs are
 * shares of the request's value:
 *  - the expected share of failures times the cost of a failure;
 *  - the distance, in proportion to the bytes that will be moved, and more for
 *    a candidate whose state is not known, since its owner may refuse the
 *    request after the bytes have been moved;
 *  - the wait for a slot and the time on the way, as a share of the time left,
 *    and more if the answer is expected to be too late;
 *  - the load, so that requests spread while several candidates are idle.
 *
 * In calm the cost of load decides between near candidates, and the distance
 * keeps requests on the host or in the data centre.
 *
 * Limits: no allocation; some ten floating-point operations for a candidate.
 */
#ifndef ROSTER_PLACEMENT_H
#define ROSTER_PLACEMENT_H

#include <glib.h>

#include "base/clock.h"

/* Zero means the default. */
typedef struct Placement_desc {
    double data_centre_cost; /* distance cost of a request of mean size to
                                another data centre of the region (0.03) */
    double region_cost;      /* the same for another region (0.2) */
} Placement_desc;

typedef enum RosterTier {
    ROSTER_SAME_HOST,
    ROSTER_SAME_DATA_CENTRE,
    ROSTER_SAME_REGION,
    ROSTER_OTHER_REGION,
    ROSTER_TIERS
} RosterTier;

typedef struct PlacementRequest {
    double failure_cost;  /* cost of a failure, share of the request's value */
    double relative_size; /* bytes of request and answer, divided by the mean
                             of all requests */
    ClockMs time_left_ms; /* time until an answer is too late */
} PlacementRequest;

typedef struct PlacementCandidate {
    RosterTier tier;
    gboolean is_known; /* has reported lately */
    double fail_share; /* expected share of failed requests, 0 to 1 */
    double load;       /* slots in use, 0 to 1 */
    double wait_ms;    /* expected wait for a slot */
    double service_ms; /* mean service time */
    double transit_ms; /* time of request and answer on the way */
} PlacementCandidate;

typedef struct PlacementLimits {
    double max_fail_share; /* expected share of failed requests, 0 to 1 */
    ClockMs max_wait_ms;
} PlacementLimits;

typedef struct PlacementAsk {
    double other_cost;     /* cost of the second best choice; HUGE_VAL: none */
    gboolean asked_before; /* the owner has refused this request already */
    unsigned risky_owners; /* owners that refused it for their risk */
    ClockMs deadline_ms;   /* time until an answer is of no use */
} PlacementAsk;

/* Cost of a failed attempt, as a share of the request's value. */
double Placement_FailureCost(gboolean can_retry);

/* Distance part of the cost. */
double Placement_DistanceCost(const Placement_desc *desc, RosterTier tier,
                              double relative_size);

/* Limits for the owner of the chosen candidate: where the second best choice
 * would be better. The distance does not count, since a refusal does not bring
 * it back. An owner that was asked before gets the widest limits: its state is
 * known, and it is still the best choice. After one or two refusals for
 * risk, by whether a retry could follow, the risk does not count: most of the
 * service fails, which the sender did not know, and the next owner would
 * refuse as well. */
PlacementLimits Placement_Limits(const PlacementRequest *request,
                                 const PlacementAsk *ask);
double Placement_Cost(const Placement_desc *desc,
                      const PlacementRequest *request,
                      const PlacementCandidate *candidate);

#endif
