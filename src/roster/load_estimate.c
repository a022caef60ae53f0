#include "roster/load_estimate.h"

#include <math.h>

/* Time constants of a report's weight. Half of the requests that it counted
 * have ended after about a service time. */
#define MIN_DECAY_MS 100
#define MAX_DECAY_MS 2000
#define UNKNOWN_DECAY_MS 500

/* Number of candidates of equal distance whose load is compared. Many senders
 * that compare all of them would choose the same one at the same moment. */
#define COMPARED 3

/* Extra cost of a candidate that is not compared: that of a full one. */
#define NOT_COMPARED_COST 0.04

/* Bounds of a capacity relative to the mean. */
#define MIN_CAPACITY 0.25
#define MAX_CAPACITY 4

/* Mean and maximum of the random cost that decides between equal loads. */
#define RANDOM_COST 0.005
#define MAX_RANDOM_COST 0.01

/* Weight of the assumption that a service is idle in its mean load; matters
 * before the first reports. */
#define PRIOR_WEIGHT 0.1

double
LoadEstimate_Weight(ClockMs age_ms, ClockMs service_ms)
{
    ClockMs decay_ms = service_ms > 0
                           ? CLAMP(service_ms, MIN_DECAY_MS, MAX_DECAY_MS)
                           : UNKNOWN_DECAY_MS;

    return exp(-(double)MAX(age_ms, 0) / (double)decay_ms);
}

/* Requests of other senders in the report. */
static double
others(const LoadReport *report)
{
    return report->requests > report->own_before
               ? report->requests - report->own_before
               : 0;
}

void
LoadEstimate_Add(LoadSum *sum, const LoadReport *report)
{
    sum->load += report->weight * others(report) / MAX(report->slots, 1);
    sum->weight += report->weight;
}

double
LoadEstimate_Mean(const LoadSum *sum)
{
    return sum->load / (sum->weight + PRIOR_WEIGHT);
}

double
LoadEstimate_Load(const LoadReport *report, double mean)
{
    return report->weight * others(report) +
           (1 - report->weight) * mean * MAX(report->slots, 1) +
           report->own_now;
}

double
LoadEstimate_RandomCost(double capacity, guint candidates, double compared,
                        double random)
{
    double share = CLAMP(capacity, MIN_CAPACITY, MAX_CAPACITY);
    double cost = MIN(-log(1 - random) * RANDOM_COST / share, MAX_RANDOM_COST);

    return compared < COMPARED * share / MAX(candidates, 1)
               ? cost
               : cost + NOT_COMPARED_COST;
}
