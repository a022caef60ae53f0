/* Scores of single samples for health.c; private to src/health.
 *
 * A score is a log-likelihood ratio in nats, so that the threshold of the sum
 * means the same for outcomes and for latency: a healthy backend server
 * crosses it about once in exp(threshold) samples.
 *
 * Latency is measured in octaves above the baseline. The spread of healthy
 * latencies is estimated from the samples below the baseline, because neither
 * a slow tail nor a beginning fault affects them. The share of answers in the
 * tail is estimated too: the heavier the tail of a service, the less evidence
 * each slow answer adds.
 */
#ifndef HEALTH_HEALTH_SCORE_H
#define HEALTH_HEALTH_SCORE_H

#include "health/health.h"

#define HEALTH_SCORE_RECENT 32

typedef struct HealthScore {
    double recent[HEALTH_SCORE_RECENT]; /* octaves above 1 us, ring buffer */
    double sorted[HEALTH_SCORE_RECENT]; /* values of `recent`, sorted */
    uint32_t recent_count;
    uint32_t recent_next;
    double spread;        /* octaves, standard deviation */
    double tail;          /* share of answers in the tail */
    double recent_excess; /* recent mean, octaves above the baseline */
    double history;       /* long-term median, octaves above 1 us */
    uint32_t learned;     /* number of samples learned from, capped */
} HealthScore;

typedef struct HealthSample {
    HealthOutcome outcome;
    int64_t latency_us;
    int baseline_class;
    gboolean cold;
    gboolean learn; /* the backend server is not suspected */
    /* Results. */
    gboolean counts; /* the sample is evidence */
    double latency_nats;
    double outcome_nats;
} HealthSample;

/* Copies `desc`, or the defaults if it is NULL; fills in defaults for zero
 * fields. */
void HealthScore_Resolve(const Health_desc *desc, Health_desc *resolved);
void HealthScore_Reset(HealthScore *score);
void HealthScore_Add(HealthScore *score, const Health_desc *desc,
                     HealthSample *sample);

/* Evidence from a request that has been in flight for age_ms. */
double HealthScore_InFlight(const HealthScore *score, const Health_desc *desc,
                            int baseline_class, ClockMs age_ms, gboolean cold);
/* Whether a latency class is slow compared with a baseline. */
gboolean HealthScore_IsSlowClass(const HealthScore *score,
                                 const Health_desc *desc, int latency_class,
                                 int baseline_class);
/* Whether the last few answers were slower by a factor of less than 4. */
gboolean HealthScore_IsMild(const HealthScore *score);
/* Latency class of the median of the recent answers. */
int HealthScore_Class(const HealthScore *score, int previous_class);

#endif
