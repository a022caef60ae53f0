/* GrayFilter: probability that a backend server is in a gray spell.
 *
 * A backend server is modelled as a two-state process. In a sound spell it
 * fails few requests, in a gray spell most of them; spells end at random. The
 * filter holds the probability of the gray state and updates it by Bayes' rule
 * with each outcome and by the process's own transitions with time.
 *
 * Use:
 *  1. GrayFilter_Init() with a description; zero fields take their defaults.
 *  2. GrayFilter_Observe() for each finished request.
 *  3. GrayFilter_Risk() before a choice; GrayFilter_FailShare() turns a risk
 *     into the share of requests that are expected to fail.
 *
 * Errors that the request itself causes (4xx) and refusals before work began
 * are no observations.
 *
 * Limits: no locking; the caller holds one mutex for each filter. No call
 * allocates.
 */
#ifndef HEALTH_GRAY_FILTER_H
#define HEALTH_GRAY_FILTER_H

#include <glib.h>

#include "base/clock.h"

typedef struct GrayFilter_desc {
    ClockMs sound_ms;    /* mean length of a sound spell (20,000) */
    ClockMs gray_ms;     /* mean length of a gray spell (8,000) */
    double sound_failed; /* share of failures when sound (0.03) */
    double gray_failed;  /* share of failures in a gray spell (0.75) */
} GrayFilter_desc;

typedef struct GrayFilter {
    GrayFilter_desc desc;
    double risk;
    ClockMs updated;
} GrayFilter;

void GrayFilter_Init(GrayFilter *filter, const GrayFilter_desc *desc,
                     ClockMs now);
void GrayFilter_Observe(GrayFilter *filter, gboolean failed, ClockMs now);

/* Probability of the gray state now, 0 to 1. */
double GrayFilter_Risk(const GrayFilter *filter, ClockMs now);

/* Risk of a backend server of which nothing is known. */
double GrayFilter_LongTermRisk(const GrayFilter *filter);

/* Takes over a risk that was measured elsewhere at the given time. */
void GrayFilter_Set(GrayFilter *filter, double risk, ClockMs measured);

/* Expected share of failed requests at this risk. */
double GrayFilter_FailShare(const GrayFilter *filter, double risk);

#endif
