/* LoadEstimate: load of a backend server now, from an old report.
 *
 * Load pattern: many senders choose at the same moment from reports that are
 * as old as their last request to each owner. If an old report counts as no
 * load, a sender prefers the owners of which it knows least; if it counts as
 * it is, a sender that sends several requests within one round trip sends all
 * of them to the same owner.
 *
 * The estimate is the sum of two parts:
 *  - the load of the other senders: that of the report without the own
 *    requests; with the report's age it approaches the mean of the service, as
 *    requests end and other senders choose from reports like it;
 *  - the own requests under way, which are known at any time.
 * Because senders with the same reports would choose alike, each choice
 * prefers a random one of the candidates, in proportion to their capacity,
 * unless its load is much higher than that of the best.
 *
 * Use: LoadEstimate_Weight() of the report, LoadEstimate_Add() for each report
 * of the service, LoadEstimate_Mean(), then LoadEstimate_Load(),
 * LoadEstimate_RandomCost() and LoadEstimate_IsPreferred() for each candidate.
 *
 * Errors and limits: none; pure functions without allocation.
 */
#ifndef ROSTER_LOAD_ESTIMATE_H
#define ROSTER_LOAD_ESTIMATE_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

/* Half of the cost of a fully loaded candidate. */
#define LOAD_ESTIMATE_PREFERENCE 0.02

typedef struct LoadReport {
    uint32_t slots;
    uint32_t requests;   /* running and waiting at the owner */
    uint32_t own_before; /* own requests under way at the report */
    uint32_t own_now;    /* own requests under way now */
    double weight;       /* LoadEstimate_Weight(); 0: no report */
} LoadReport;

/* Sums for the mean load of a service. */
typedef struct LoadSum {
    double load;
    double weight;
} LoadSum;

/* Weight of a report of this age, 0 to 1; `service_ms` is the mean service
 * time of a request, 0: unknown. */
double LoadEstimate_Weight(ClockMs age_ms, ClockMs service_ms);

void LoadEstimate_Add(LoadSum *sum, const LoadReport *report);

/* Mean load of the other senders, requests for each slot. */
double LoadEstimate_Mean(const LoadSum *sum);

/* Requests that are expected to run and wait at the backend server. */
double LoadEstimate_Load(const LoadReport *report, double mean);

/* Random part of a candidate's cost, which decides between equal loads, more
 * often for those with more capacity. `capacity` is relative to the mean of
 * the service, `random` a random number in [0, 1). */
double LoadEstimate_RandomCost(double capacity, double random);

/* Whether the choice prefers the candidate to others of equal distance whose
 * cost is lower by less than LOAD_ESTIMATE_PREFERENCE. */
gboolean LoadEstimate_IsPreferred(double capacity, guint candidates,
                                  double random);

#endif
