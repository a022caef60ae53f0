#include "health/health.h"

#include <math.h>

#include "health/health_score.h"

/* Without samples for this long, evidence fades with this half-life, so that
 * a degraded backend server that gets no requests is tried again. */
#define IDLE_MS 5000
#define IDLE_HALF_LIFE_MS 30000.0
/* Evidence is cut at this multiple of the threshold, so that a recovered
 * backend server is not held back by a long fault. */
#define EVIDENCE_LIMIT 1.5
/* Shares of the threshold: degraded begins and ends, an ejection that was
 * wanted is given up, probation fails. */
#define DEGRADED_SHARE (1.0 / 3)
#define RECOVERED_SHARE (1.0 / 6)
#define WANTED_SHARE 0.5
#define PROBATION_SHARE 0.5
/* A degraded backend server keeps this weight until the threshold: with less
 * load the samples that decide would come too slowly. */
#define DEGRADED_WEIGHT 50
#define COLD_WEIGHT 10
/* A service whose baseline rises by this many quarter octaves while evidence
 * is collected is slow as a whole; the evidence so far is void. */
#define BASELINE_STEP 2

/* Weight in percent and trial requests at once in each step of probation;
 * the weight of the first step is min_weight. Two trials at once are the
 * least with which two hanging requests reach the probation threshold. */
static const struct {
    uint32_t weight;
    uint32_t max_in_flight;
} probation_steps[] = {{0, 2}, {15, 4}, {35, 0}, {65, 0}};

typedef struct Flight {
    ClockMs started;
    uint32_t older; /* index + 1; 0 = none */
    uint32_t newer;
    uint32_t generation; /* odd while in use */
} Flight;

struct Health {
    Health_desc desc;
    HealthScore score;
    Flight *flights;
    uint32_t free; /* list through `newer`; index + 1 */
    uint32_t oldest;
    uint32_t newest;

    double latency_nats;
    double outcome_nats;
    int baseline_class;
    int evidence_baseline; /* when the latency evidence began */
    int own_class;

    HealthState state;
    HealthReason reason;
    gboolean wanted;
    ClockMs crossed;   /* when the threshold was reached, or CLOCK_NEVER */
    uint32_t level;    /* ejections so far, less the forgiven ones */
    int ejected_class; /* own class when ejected for slowness */
    ClockMs ejected_until;
    uint32_t step; /* of probation */
    uint32_t step_answers;
    ClockMs step_since;
    ClockMs healthy_since;
    ClockMs cold_since; /* CLOCK_NEVER: not cold */
    ClockMs sampled;
    ClockMs updated;
};

static void
clear_flights(Health *health)
{
    uint32_t count = health->desc.max_in_flight;

    for (uint32_t i = 0; i < count; i++) {
        Flight *flight = &health->flights[i];

        if (flight->generation & 1) {
            flight->generation++;
        }
        flight->newer = i + 1 < count ? i + 2 : 0;
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
    health->flights = g_new0(Flight, health->desc.max_in_flight);
    clear_flights(health);
    HealthScore_Reset(&health->score);
    health->healthy_since = now;
    health->cold_since = CLOCK_NEVER;
    health->crossed = CLOCK_NEVER;
    health->sampled = now;
    health->updated = now;
    return health;
}

void
Health_Destroy(Health *health)
{
    if (health) {
        g_free(health->flights);
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
    health->wanted = FALSE;
    health->crossed = CLOCK_NEVER;
    health->latency_nats = 0;
    health->outcome_nats = 0;
    health->step = 0;
    health->step_answers = 0;
    health->step_since = now;
}

void
Health_ColdStart(Health *health, ClockMs now)
{
    clear_flights(health);
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
        health->wanted = FALSE;
        health->crossed = CLOCK_NEVER;
        health->latency_nats = 0;
        health->outcome_nats = 0;
    }
}

HealthRequest
Health_Start(Health *health, ClockMs now)
{
    uint32_t place = health->free;
    Flight *flight;

    if (place == 0) {
        return 0;
    }
    flight = &health->flights[place - 1];
    health->free = flight->newer;
    flight->generation = (flight->generation + 1) & 0xffff;
    flight->started = now;
    flight->newer = 0;
    flight->older = health->newest;
    if (health->newest) {
        health->flights[health->newest - 1].newer = place;
    }
    else {
        health->oldest = place;
    }
    health->newest = place;
    return (flight->generation << 16) | place;
}

/* Returns FALSE for a request of a former session. */
static gboolean
remove_flight(Health *health, HealthRequest request)
{
    uint32_t place = request & 0xffff;
    Flight *flight;

    if (place == 0 || place > health->desc.max_in_flight) {
        return FALSE;
    }
    flight = &health->flights[place - 1];
    if (flight->generation != request >> 16) {
        return FALSE;
    }
    if (flight->older) {
        health->flights[flight->older - 1].newer = flight->newer;
    }
    else {
        health->oldest = flight->newer;
    }
    if (flight->newer) {
        health->flights[flight->newer - 1].older = flight->older;
    }
    else {
        health->newest = flight->older;
    }
    flight->generation++;
    flight->newer = health->free;
    health->free = place;
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

    if (request != 0 && !remove_flight(health, request)) {
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

    for (uint32_t place = health->oldest; place != 0;) {
        const Flight *flight = &health->flights[place - 1];
        double nats = HealthScore_InFlight(&health->score, &health->desc,
                                           health->baseline_class,
                                           now - flight->started, cold);

        /* The list is ordered by start, so that the rest is younger. */
        if (nats <= 0) {
            break;
        }
        sum += nats;
        place = flight->newer;
    }
    return sum;
}

static ClockMs
ejection_length(const Health *health)
{
    ClockMs length = health->desc.ejection_ms;

    for (uint32_t i = 0;
         i < health->level && length < health->desc.ejection_max_ms; i++) {
        length *= 2;
    }
    return MIN(length, health->desc.ejection_max_ms);
}

/* The class of the latest answers: soon after a fault begins, the median of
 * all recent ones is still that of the time before it. */
static int
fresh_class(const Health *health)
{
    if (health->baseline_class == HEALTH_CLASS_UNKNOWN) {
        return health->own_class;
    }
    return CLAMP(health->baseline_class + (int)lround(4 * health->score.fresh),
                 1, HEALTH_CLASS_MAX);
}

/* The class for the member record. Entries with few answers of their own learn
 * from it that a backend server has become much slower. */
static int
reported_class(const Health *health)
{
    return health->state == HEALTH_STATE_DEGRADED &&
                   health->reason == HEALTH_REASON_SLOW
               ? MAX(health->own_class, fresh_class(health))
               : health->own_class;
}

static void
eject(Health *health, ClockMs now)
{
    ClockMs length = ejection_length(health);

    health->state = HEALTH_STATE_EJECTED;
    health->ejected_until = now + length;
    health->ejected_class = fresh_class(health);
    if (length < health->desc.ejection_max_ms) {
        health->level++;
    }
}

static void
decide_wanted(Health *health, double evidence, double stalled, ClockMs now)
{
    double threshold = health->desc.threshold_nats;
    gboolean mild = stalled == 0 && health->outcome_nats < threshold &&
                    HealthScore_IsMild(&health->score);

    if (evidence < threshold * WANTED_SHARE) {
        health->wanted = FALSE;
        health->crossed = CLOCK_NEVER;
    }
    else if (evidence >= threshold) {
        if (health->crossed == CLOCK_NEVER) {
            health->crossed = now;
        }
        if (!mild || now - health->crossed >= health->desc.confirm_ms) {
            health->wanted = TRUE;
        }
    }
}

/* Handles HEALTHY and DEGRADED. */
static void
step_serving(Health *health, double evidence, double stalled, gboolean held,
             ClockMs now)
{
    double threshold = health->desc.threshold_nats;

    decide_wanted(health, evidence, stalled, now);
    if (health->wanted && held) {
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
    if (health->state == HEALTH_STATE_HEALTHY && health->level > 0 &&
        now - health->healthy_since >= health->desc.forgive_ms) {
        health->level--;
        health->healthy_since = now;
    }
}

static void
step_ejected(Health *health, gboolean held, ClockMs now)
{
    /* The service has become as slow as this backend server. */
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
        health->wanted = TRUE;
        health->step = 0;
        health->step_since = now;
    }
    else if (evidence < threshold * RECOVERED_SHARE) {
        health->wanted = FALSE;
    }
    if (health->wanted) {
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
fade_when_idle(Health *health, ClockMs now)
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
    uint32_t least = health->desc.min_weight;
    uint32_t weight = HEALTH_WEIGHT_FULL;

    if (health->state == HEALTH_STATE_EJECTED) {
        return 0;
    }
    if (health->wanted) {
        return least;
    }
    if (health->state == HEALTH_STATE_PROBATION) {
        weight = MAX(probation_steps[health->step].weight, least);
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
take_baseline(Health *health, int baseline_class)
{
    if (health->evidence_baseline == HEALTH_CLASS_UNKNOWN ||
        health->latency_nats < health->desc.threshold_nats * RECOVERED_SHARE) {
        health->evidence_baseline = baseline_class;
    }
    else if (baseline_class >= health->evidence_baseline + BASELINE_STEP) {
        health->evidence_baseline = baseline_class;
        health->latency_nats = 0;
        health->crossed = CLOCK_NEVER;
        if (health->state == HEALTH_STATE_DEGRADED) {
            health->wanted = FALSE;
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
    if (health->state == HEALTH_STATE_HEALTHY && !health->wanted) {
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
    if (health->wanted || health->state == HEALTH_STATE_EJECTED) {
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

    take_baseline(health, input->baseline_class);
    health->own_class = HealthScore_Class(&health->score, health->own_class);
    fade_when_idle(health, now);
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
