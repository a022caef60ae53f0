/* GrayFilter: probability that a backend server is in a gray period.
 *
 * A backend server is modelled as a two-state Markov process. It fails few
 * requests in a sound period and most requests in a gray period; periods end
 * at random. The filter holds the probability of the gray state. It updates
 * this probability by Bayes' rule with each outcome, and by the transition
 * rates of the process as time passes.
 *
 * Use:
 *  1. GrayFilter_Init() with a description; zero fields take their defaults.
 *  2. GrayFilter_Observe() for each finished request.
 *  3. GrayFilter_Risk() before a choice; GrayFilter_FailShare() turns a risk
 *     into the share of requests that are expected to fail.
 *
 * Errors caused by the request itself (4xx) and refusals before work began
 * are not observations.
 *
 * Limits: no locking; the caller holds one mutex for each filter. No call
 * allocates.
 */
#ifndef HEALTH_GRAY_FILTER_H
#define HEALTH_GRAY_FILTER_H

#include <glib.h>

#include "base/clock.h"

typedef struct GrayFilter_desc {
    ClockMs sound_ms;    /* mean length of a sound period (20,000) */
    ClockMs gray_ms;     /* mean length of a gray period (8,000) */
    double sound_failed; /* share of failures in a sound period (0.03) */
    double gray_failed;  /* share of failures in a gray period (0.75) */
} GrayFilter_desc;

typedef struct GrayFilter {
    GrayFilter_desc desc;
    double risk;
    ClockMs updated;
} GrayFilter;

void GrayFilter_Init(GrayFilter *filter, const GrayFilter_desc *desc,
                     ClockMs now);
void GrayFilter_Observe(GrayFilter *filter, gboolean failed, ClockMs now);

/* Probability of the gray state at `now`, 0 to 1. */
double GrayFilter_Risk(const GrayFilter *filter, ClockMs now);

/* Risk of a backend server without any observations. */
double GrayFilter_LongTermRisk(const GrayFilter *filter);

/* Sets a risk that was determined elsewhere at the time `measured`. */
void GrayFilter_Set(GrayFilter *filter, double risk, ClockMs measured);

/* Expected share of failed requests at this risk. */
double GrayFilter_FailShare(const GrayFilter *filter, double risk);

/* Highest risk, 0 to 1, whose expected share of failed requests is at most
 * `fail_share`. */
double GrayFilter_RiskAt(const GrayFilter_desc *desc, double fail_share);

#endif
