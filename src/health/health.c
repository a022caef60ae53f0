#include "health/health.h"

#include <math.h>

#include "health/health_score.h"

/* After IDLE_MS without samples, evidence decays with this half-life, so that
 * a degraded backend server that gets no requests is tried again. */
#define IDLE_MS 5000
#define IDLE_HALF_LIFE_MS 30000.0
/* Evidence is capped at this multiple of the threshold, so that a long fault
 * does not delay the recovery of a backend server. */
#define EVIDENCE_LIMIT 1.5
/* Shares of the threshold at which a backend server becomes degraded
 * (DEGRADED) or healthy again (RECOVERED), a wanted ejection is withdrawn
 * (WANTED), or a probation fails (PROBATION). */
#define DEGRADED_SHARE (1.0 / 3)
#define RECOVERED_SHARE (1.0 / 6)
#define WANTED_SHARE 0.5
#define PROBATION_SHARE 0.5
/* Minimum weight of a degraded backend server below the threshold. With less
 * load, the samples that confirm or refute the suspicion would arrive too
 * slowly. */
#define DEGRADED_WEIGHT 50
#define COLD_WEIGHT 10
/* If the baseline rises by this many quarter octaves while evidence is
 * collected, the whole service is slow and the evidence is discarded. */
#define BASELINE_STEP 2

/* Weight in percent and concurrent trial requests in each step of probation.
 * The first step has the weight min_weight. It takes at least two concurrent
 * trials for hanging requests to reach the probation threshold. */
static const struct {
    uint32_t weight;
    uint32_t max_in_flight;
} probation_steps[] = {{0, 2}, {15, 4}, {35, 0}, {65, 0}};

typedef struct TrackedRequest {
    ClockMs started;
    uint32_t older; /* position, 1-based; 0 = none */
    uint32_t newer;
    uint32_t generation; /* odd while in use */
} TrackedRequest;

struct Health {
    Health_desc desc;
    HealthScore score;
    TrackedRequest *tracked;
    uint32_t free; /* head of the free list through `newer`, 1-based */
    uint32_t oldest;
    uint32_t newest;

    double latency_nats;
    double outcome_nats;
    int baseline_class;
    int evidence_baseline; /* baseline when the latency evidence began */
    int own_class;

    HealthState state;
    HealthReason reason;
    gboolean ejection_wanted;
    ClockMs threshold_reached; /* CLOCK_NEVER: not reached */
    uint32_t doublings;        /* ejections so far, minus decayed ones */
    int ejected_class;         /* latest class when ejected */
    ClockMs ejected_until;
    uint32_t step; /* index into probation_steps */
    uint32_t step_answers;
    ClockMs step_since; /* start of the step, or last fault seen in it */
    ClockMs healthy_since;
    ClockMs cold_since; /* CLOCK_NEVER: no cold start yet */
    ClockMs sampled;    /* last sample that counted */
    ClockMs updated;
};

static void
clear_tracked(Health *health)
{
    uint32_t count = health->desc.max_in_flight;

    for (uint32_t i = 0; i < count; i++) {
        TrackedRequest *item = &health->tracked[i];

        if (item->generation & 1) {
            item->generation++;
        }
        item->newer = i + 1 < count ? i + 2 : 0;
    }
    health->free = 1;
    health->oldest = 0;
    health->newest = 0;
}

Health *
Health_Create(const Health_desc *desc, ClockMs now)
{
    Health *health = g_new0(Health, 1);

    HealthScore_Resolve(desc, &health->desc);
    health->tracked = g_new0(TrackedRequest, health->desc.max_in_flight);
    clear_tracked(health);
    HealthScore_Reset(&health->score);
    health->healthy_since = now;
    health->cold_since = CLOCK_NEVER;
    health->threshold_reached = CLOCK_NEVER;
    health->sampled = now;
    health->updated = now;
    return health;
}

void
Health_Destroy(Health *health)
{
    if (health) {
        g_free(health->tracked);
        g_free(health);
    }
}

static gboolean
is_cold(const Health *health, ClockMs now)
{
    return health->cold_since != CLOCK_NEVER &&
           now - health->cold_since < health->desc.cold_start_ms;
}

static void
begin_probation(Health *health, ClockMs now)
{
    health->state = HEALTH_STATE_PROBATION;
    health->ejection_wanted = FALSE;
    health->threshold_reached = CLOCK_NEVER;
    health->latency_nats = 0;
    health->outcome_nats = 0;
    health->step = 0;
    health->step_answers = 0;
    health->step_since = now;
}

void
Health_ColdStart(Health *health, ClockMs now)
{
    clear_tracked(health);
    HealthScore_Reset(&health->score);
    health->own_class = HEALTH_CLASS_UNKNOWN;
    health->cold_since = now;
    health->sampled = now;
    if (health->state == HEALTH_STATE_EJECTED ||
        health->state == HEALTH_STATE_PROBATION) {
        begin_probation(health, now);
    }
    else {
        health->state = HEALTH_STATE_HEALTHY;
        health->healthy_since = now;
        health->ejection_wanted = FALSE;
        health->threshold_reached = CLOCK_NEVER;
        health->latency_nats = 0;
        health->outcome_nats = 0;
    }
}

HealthRequest
Health_Start(Health *health, ClockMs now)
{
    uint32_t position = health->free;
    TrackedRequest *item;

    if (position == 0) {
        return 0;
    }
    item = &health->tracked[position - 1];
    health->free = item->newer;
    item->generation = (item->generation + 1) & 0xffff;
    item->started = now;
    item->newer = 0;
    item->older = health->newest;
    if (health->newest) {
        health->tracked[health->newest - 1].newer = position;
    }
    else {
        health->oldest = position;
    }
    health->newest = position;
    return (item->generation << 16) | position;
}

/* Returns FALSE for a request that is no longer tracked, such as one of a
 * former session. */
static gboolean
remove_tracked(Health *health, HealthRequest request)
{
    uint32_t position = request & 0xffff;
    TrackedRequest *item;

    if (position == 0 || position > health->desc.max_in_flight) {
        return FALSE;
    }
    item = &health->tracked[position - 1];
    if (item->generation != request >> 16) {
        return FALSE;
    }
    if (item->older) {
        health->tracked[item->older - 1].newer = item->newer;
    }
    else {
        health->oldest = item->newer;
    }
    if (item->newer) {
        health->tracked[item->newer - 1].older = item->older;
    }
    else {
        health->newest = item->older;
    }
    item->generation++;
    item->newer = health->free;
    health->free = position;
    return TRUE;
}

static double
add_evidence(const Health *health, double sum, double nats)
{
    return CLAMP(sum + nats, 0, health->desc.threshold_nats * EVIDENCE_LIMIT);
}

void
Health_End(Health *health, HealthRequest request, HealthOutcome outcome,
           int64_t latency_us, ClockMs now)
{
    HealthSample sample;

    if (request != 0 && !remove_tracked(health, request)) {
        return;
    }
    sample = (HealthSample){
        .outcome = outcome,
        .latency_us = latency_us,
        .baseline_class = health->baseline_class,
        .cold = is_cold(health, now),
        .learn = health->state == HEALTH_STATE_HEALTHY &&
                 health->latency_nats < health->desc.threshold_nats / 2,
    };
    HealthScore_Add(&health->score, &health->desc, &sample);
    if (!sample.counts) {
        return;
    }
    health->sampled = now;
    health->latency_nats =
        add_evidence(health, health->latency_nats, sample.latency_nats);
    health->outcome_nats =
        add_evidence(health, health->outcome_nats, sample.outcome_nats);
    if (sample.latency_nats > 0 || sample.outcome_nats > 0) {
        health->step_answers = 0;
        health->step_since = now;
    }
    else {
        health->step_answers++;
    }
}

/* Evidence from requests in flight, oldest first. */
static double
stalled_nats(const Health *health, ClockMs now)
{
    gboolean cold = is_cold(health, now);
    double sum = 0;

    for (uint32_t position = health->oldest; position != 0;) {
        const TrackedRequest *item = &health->tracked[position - 1];
        double nats = HealthScore_InFlight(&health->score, &health->desc,
                                           health->baseline_class,
                                           now - item->started, cold);

        /* The list is ordered by start time; all further ones are younger. */
        if (nats <= 0) {
            break;
        }
        sum += nats;
        position = item->newer;
    }
    return sum;
}

static ClockMs
ejection_length(const Health *health)
{
    ClockMs length = health->desc.ejection_ms;

    for (uint32_t i = 0;
         i < health->doublings && length < health->desc.ejection_max_ms; i++) {
        length *= 2;
    }
    return MIN(length, health->desc.ejection_max_ms);
}

/* Latency class of the last few answers. Soon after a fault begins, the median
 * of all recent answers still reflects the time before the fault. */
static int
latest_class(const Health *health)
{
    if (health->baseline_class == HEALTH_CLASS_UNKNOWN) {
        return health->own_class;
    }
    return CLAMP(health->baseline_class +
                     (int)lround(4 * health->score.recent_excess),
                 1, HEALTH_CLASS_MAX);
}

/* Latency class for the member record. It tells entries with few answers of
 * their own that a backend server has become much slower. */
static int
reported_class(const Health *health)
{
    return health->state == HEALTH_STATE_DEGRADED &&
                   health->reason == HEALTH_REASON_SLOW
               ? MAX(health->own_class, latest_class(health))
               : health->own_class;
}

static void
eject(Health *health, ClockMs now)
{
    ClockMs length = ejection_length(health);

    health->state = HEALTH_STATE_EJECTED;
    health->ejected_until = now + length;
    health->ejected_class = latest_class(health);
    if (length < health->desc.ejection_max_ms) {
        health->doublings++;
    }
}

static void
decide_ejection(Health *health, double evidence, double stalled, ClockMs now)
{
    double threshold = health->desc.threshold_nats;
    gboolean mild = stalled == 0 && health->outcome_nats < threshold &&
                    HealthScore_IsMild(&health->score);

    if (evidence < threshold * WANTED_SHARE) {
        health->ejection_wanted = FALSE;
        health->threshold_reached = CLOCK_NEVER;
    }
    else if (evidence >= threshold) {
        if (health->threshold_reached == CLOCK_NEVER) {
            health->threshold_reached = now;
        }
        if (!mild ||
            now - health->threshold_reached >= health->desc.confirm_ms) {
            health->ejection_wanted = TRUE;
        }
    }
}

/* Handles HEALTHY and DEGRADED. */
static void
step_serving(Health *health, double evidence, double stalled, gboolean held,
             ClockMs now)
{
    double threshold = health->desc.threshold_nats;

    decide_ejection(health, evidence, stalled, now);
    if (health->ejection_wanted && held) {
        eject(health, now);
        return;
    }
    if (evidence > threshold * DEGRADED_SHARE) {
        health->state = HEALTH_STATE_DEGRADED;
        health->healthy_since = now;
    }
    else if (evidence < threshold * RECOVERED_SHARE) {
        health->state = HEALTH_STATE_HEALTHY;
    }
    if (health->state == HEALTH_STATE_HEALTHY && health->doublings > 0 &&
        now - health->healthy_since >= health->desc.ejection_decay_ms) {
        health->doublings--;
        health->healthy_since = now;
    }
}

static void
step_ejected(Health *health, gboolean held, ClockMs now)
{
    /* The whole service has become as slow as this backend server. */
    gboolean service_slow = health->reason == HEALTH_REASON_SLOW &&
                            !HealthScore_IsSlowClass(
                                &health->score, &health->desc,
                                health->ejected_class, health->baseline_class);

    if (!held || now >= health->ejected_until || service_slow) {
        begin_probation(health, now);
    }
}

static void
step_probation(Health *health, double evidence, double stalled, gboolean held,
               ClockMs now)
{
    double threshold = health->desc.threshold_nats;

    if (evidence >= threshold * PROBATION_SHARE) {
        health->ejection_wanted = TRUE;
        health->step = 0;
        health->step_since = now;
    }
    else if (evidence < threshold * RECOVERED_SHARE) {
        health->ejection_wanted = FALSE;
    }
    if (health->ejection_wanted) {
        if (held) {
            eject(health, now);
        }
        return;
    }
    if (stalled > 0 || evidence >= threshold * RECOVERED_SHARE) {
        health->step_since = now;
        return;
    }
    if (health->step_answers >= health->desc.probation_answers ||
        now - health->step_since >= health->desc.probation_step_ms) {
        health->step++;
        health->step_answers = 0;
        health->step_since = now;
    }
    if (health->step == G_N_ELEMENTS(probation_steps)) {
        health->state = HEALTH_STATE_HEALTHY;
        health->healthy_since = now;
    }
}

static void
decay_when_idle(Health *health, ClockMs now)
{
    if (now - health->sampled > IDLE_MS) {
        double share =
            exp2(-(double)(now - health->updated) / IDLE_HALF_LIFE_MS);

        health->latency_nats *= share;
        health->outcome_nats *= share;
    }
}

static uint32_t
weight_of(const Health *health, double evidence, ClockMs now)
{
    double threshold = health->desc.threshold_nats;
    uint32_t min_weight = health->desc.min_weight;
    uint32_t weight = HEALTH_WEIGHT_FULL;

    if (health->state == HEALTH_STATE_EJECTED) {
        return 0;
    }
    if (health->ejection_wanted) {
        return min_weight;
    }
    if (health->state == HEALTH_STATE_PROBATION) {
        weight = MAX(probation_steps[health->step].weight, min_weight);
    }
    else if (evidence > threshold * DEGRADED_SHARE) {
        double share =
            (threshold - evidence) / (threshold - threshold * DEGRADED_SHARE);

        weight =
            DEGRADED_WEIGHT +
            (uint32_t)(MAX(share, 0) * (HEALTH_WEIGHT_FULL - DEGRADED_WEIGHT));
    }
    if (is_cold(health, now)) {
        ClockMs age = now - health->cold_since;
        uint32_t cold =
            COLD_WEIGHT + (uint32_t)(age * (HEALTH_WEIGHT_FULL - COLD_WEIGHT) /
                                     health->desc.cold_start_ms);

        weight = MIN(weight, cold);
    }
    return weight;
}

static void
update_baseline(Health *health, int baseline_class)
{
    if (health->evidence_baseline == HEALTH_CLASS_UNKNOWN ||
        health->latency_nats < health->desc.threshold_nats * RECOVERED_SHARE) {
        health->evidence_baseline = baseline_class;
    }
    else if (baseline_class >= health->evidence_baseline + BASELINE_STEP) {
        health->evidence_baseline = baseline_class;
        health->latency_nats = 0;
        health->threshold_reached = CLOCK_NEVER;
        if (health->state == HEALTH_STATE_DEGRADED) {
            health->ejection_wanted = FALSE;
        }
    }
    health->baseline_class = baseline_class;
}

static HealthReason
reason_of(const Health *health, double stalled, ClockMs now)
{
    if (health->state == HEALTH_STATE_EJECTED) {
        return health->reason;
    }
    if (health->state == HEALTH_STATE_HEALTHY && !health->ejection_wanted) {
        return is_cold(health, now) ? HEALTH_REASON_COLD : HEALTH_REASON_NONE;
    }
    if (health->outcome_nats > health->latency_nats + stalled) {
        return HEALTH_REASON_FAILING;
    }
    if (stalled > health->latency_nats) {
        return HEALTH_REASON_STALLED;
    }
    /* Probation without new evidence keeps the reason of the ejection. */
    return health->latency_nats > 0 ? HEALTH_REASON_SLOW : health->reason;
}

static HealthPermit
permit_of(const Health *health)
{
    if (health->ejection_wanted || health->state == HEALTH_STATE_EJECTED) {
        return HEALTH_PERMIT_NOW;
    }
    return health->state == HEALTH_STATE_DEGRADED ? HEALTH_PERMIT_SOON
                                                  : HEALTH_PERMIT_NONE;
}

void
Health_Update(Health *health, const HealthInput *input, HealthVerdict *verdict)
{
    ClockMs now = input->now;
    HealthState before = health->state;
    double stalled;
    double evidence;

    update_baseline(health, input->baseline_class);
    health->own_class = HealthScore_Class(&health->score, health->own_class);
    decay_when_idle(health, now);
    health->updated = now;
    stalled = stalled_nats(health, now);
    evidence = MAX(health->latency_nats + stalled, health->outcome_nats);
    health->reason = reason_of(health, stalled, now);
    if (health->state == HEALTH_STATE_EJECTED) {
        step_ejected(health, input->permit_held, now);
    }
    else if (health->state == HEALTH_STATE_PROBATION) {
        step_probation(health, evidence, stalled, input->permit_held, now);
    }
    else {
        step_serving(health, evidence, stalled, input->permit_held, now);
    }
    if (before != health->state) {
        health->reason = reason_of(health, stalled, now);
    }
    *verdict = (HealthVerdict){
        .state = health->state,
        .reason = health->reason,
        .weight = weight_of(health, evidence, now),
        .permit_wanted = permit_of(health),
        .latency_class = reported_class(health),
        .evidence_nats = evidence,
        .ejected_until =
            health->state == HEALTH_STATE_EJECTED ? health->ejected_until : 0,
    };
    if (health->state == HEALTH_STATE_PROBATION) {
        verdict->max_in_flight = probation_steps[health->step].max_in_flight;
    }
}
