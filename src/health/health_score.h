/* Scores of single samples for health.c; private to the slice.
 *
 * A score is a log-likelihood ratio in nats, so that the threshold of the sum
 * means the same for outcomes and for latency: a healthy backend server
 * crosses it about once in exp(threshold) samples.
 *
 * Latency counts in octaves above the baseline. The spread of healthy
 * latencies is learned from the samples below the baseline, because a slow
 * tail or a sickness that begins does not reach them. The share of answers in
 * the tail is learned too, and a service with a heavy tail gets less evidence
 * from each slow answer.
 */
#ifndef HEALTH_HEALTH_SCORE_H
#define HEALTH_HEALTH_SCORE_H

#include "health/health.h"

#define HEALTH_SCORE_RECENT 32

typedef struct HealthScore {
    double recent[HEALTH_SCORE_RECENT]; /* octaves above 1 us, a ring */
    double sorted[HEALTH_SCORE_RECENT]; /* the same values in order */
    uint32_t recent_count;
    uint32_t recent_next;
    double spread;  /* octaves, standard deviation */
    double tail;    /* share of answers in the tail */
    double fresh;   /* octaves above the baseline of the last few answers */
    double history; /* slowly moving median, octaves above 1 us */
    uint32_t learned;
} HealthScore;

typedef struct HealthSample {
    HealthOutcome outcome;
    int64_t latency_us;
    int baseline_class;
    gboolean cold;
    gboolean learn; /* the backend server is not under suspicion */
    /* Results. */
    gboolean counts;
    double latency_nats;
    double outcome_nats;
} HealthSample;

/* Copies `desc`, which may be NULL, with the defaults filled in. */
void HealthScore_Resolve(const Health_desc *desc, Health_desc *resolved);
void HealthScore_Reset(HealthScore *score);
void HealthScore_Add(HealthScore *score, const Health_desc *desc,
                     HealthSample *sample);

/* Evidence from a request that has been in flight for age_ms. */
double HealthScore_InFlight(const HealthScore *score, const Health_desc *desc,
                            int baseline_class, ClockMs age_ms, gboolean cold);
/* Whether a class is slow against a baseline. */
gboolean HealthScore_IsSlowClass(const HealthScore *score,
                                 const Health_desc *desc, int latency_class,
                                 int baseline_class);
/* Whether the last few answers were slow by less than 4. */
gboolean HealthScore_IsMild(const HealthScore *score);
/* Class of the recent median. */
int HealthScore_Class(const HealthScore *score, int previous_class);

#endif
