#include "roster/load_estimate.h"

#include <math.h>

/* Time constants of a report's weight. */
#define MIN_DECAY_MS 200
#define MAX_DECAY_MS 4000
#define UNKNOWN_DECAY_MS 1000

/* Mean service times in a time constant. */
#define DECAY_SERVICE_TIMES 2

/* Number of the candidates of equal distance that a choice prefers on average;
 * in a third of the choices it is none, and the loads alone decide. With two
 * the measured loads were less even; with none, single backend servers had up
 * to 1.45 times the mean load over time. */
#define PREFERRED 1

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
    ClockMs decay_ms = service_ms > 0 ? CLAMP(DECAY_SERVICE_TIMES * service_ms,
                                              MIN_DECAY_MS, MAX_DECAY_MS)
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

static double
bounded(double capacity)
{
    return CLAMP(capacity, MIN_CAPACITY, MAX_CAPACITY);
}

double
LoadEstimate_RandomCost(double capacity, double random)
{
    return MIN(-log(1 - random) * RANDOM_COST / bounded(capacity),
               MAX_RANDOM_COST);
}

gboolean
LoadEstimate_IsPreferred(double capacity, guint candidates, double random)
{
    return random < PREFERRED * bounded(capacity) / MAX(candidates, 1);
}
