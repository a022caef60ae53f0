/* Health: detects gray failures of one local backend server.
 *
 * Use, at the owner, one Health for each backend server of the host:
 *  1. Health_Create(); Health_ColdStart() when a session of the backend server
 *     begins.
 *  2. For each request that is sent to the backend server, Health_Start(), and
 *     Health_End() with the outcome and the time that the backend server took,
 *     without the time in the owner's queue and on the path to the entry.
 *  3. Every HEALTH_TICK_MS, Health_Update() with the service's baseline and
 *     the result of PermitClaim_IsHeld(). The verdict holds the weight,
 *     whether a permit is wanted, and the latency class for the member record.
 * The baseline is Health_ClassMedian() over the classes in the member records
 * of the service's ready backend servers, excluding ejected ones.
 *
 * How it decides: every finished request adds evidence in nats (the logarithm
 * of the likelihood ratio of a sick to a healthy backend server) to two sums,
 * one for outcomes and one for latency relative to the baseline. Neither sum
 * falls below 0. Requests in flight that are older than `stall_ms` add to the
 * latency sum, so that a hanging backend server is detected without finished
 * requests. At `threshold_nats`, ejection is wanted. If the recent answers are
 * slower by a factor of less than 4, it is wanted only after `confirm_ms`,
 * because a baseline that has not arrived yet may explain them. Probes are not
 * an input.
 *
 * Locking: none inside. The caller holds one mutex for each Health; every call
 * is short, does no I/O and allocates nothing after Health_Create().
 *
 * Limits: `max_in_flight` requests are tracked; further ones are served, but
 * their age is not evaluated. Only the permit coordinators (health/permit.h)
 * distinguish errors of a whole service from those of one backend server.
 */
#ifndef HEALTH_HEALTH_H
#define HEALTH_HEALTH_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

#define HEALTH_TICK_MS 100
#define HEALTH_WEIGHT_FULL 100

/* Latency class: 1 + quarter octaves above one microsecond. */
#define HEALTH_CLASS_UNKNOWN 0
#define HEALTH_CLASS_MAX 127

typedef enum HealthOutcome {
    HEALTH_OK,
    HEALTH_WRONG_ANSWER, /* mismatched, truncated or malformed answer */
    HEALTH_ERROR,        /* 5xx without Retry-After, or a broken connection */
    HEALTH_TIMED_OUT,    /* the deadline passed before the answer */
    HEALTH_SHED,         /* 503 with Retry-After */
    HEALTH_CANCELLED     /* the caller disconnected before the answer */
} HealthOutcome;

typedef enum HealthState {
    HEALTH_STATE_HEALTHY,
    HEALTH_STATE_DEGRADED, /* lower weight, also when a permit is refused */
    HEALTH_STATE_EJECTED,  /* weight 0 under a permit */
    HEALTH_STATE_PROBATION /* weight rises in steps after an ejection */
} HealthState;

typedef enum HealthReason {
    HEALTH_REASON_NONE,
    HEALTH_REASON_SLOW,
    HEALTH_REASON_STALLED, /* requests in flight are far too old */
    HEALTH_REASON_FAILING, /* wrong answers, errors, timeouts */
    HEALTH_REASON_COLD     /* cold start */
} HealthReason;

/* Request of the owner to the permit coordinators (health/permit.h). */
typedef enum HealthPermit {
    HEALTH_PERMIT_NONE,
    HEALTH_PERMIT_SOON, /* suspicion, announced so that coordinators detect
                           a fault of the whole service before they grant
                           the first permit */
    HEALTH_PERMIT_NOW   /* request a permit, or renew the one held */
} HealthPermit;

/* Settings; zero means the default. */
typedef struct Health_desc {
    double threshold_nats;   /* evidence for an ejection */
    double slow_factor;      /* latency, in baselines, that is evidence
                                neither for nor against health */
    double slow_cap_nats;    /* maximum evidence from one slow answer */
    double failure_share;    /* normal share of errors */
    double wrong_share;      /* normal share of wrong answers */
    double sick_share;       /* share of bad answers from a sick server */
    ClockMs stall_ms;        /* minimum age of a request in flight to count */
    ClockMs confirm_ms;      /* duration of mild slowness before ejection */
    ClockMs ejection_ms;     /* length of the first ejection */
    ClockMs ejection_max_ms; /* maximum length, reached by doubling */
    ClockMs ejection_decay_ms;  /* healthy time that halves the next length */
    ClockMs probation_step_ms;  /* time without bad answers for a step up */
    ClockMs cold_start_ms;      /* time in which the weight reaches its full
                                   value */
    uint32_t probation_answers; /* good answers for an earlier step up */
    uint32_t min_weight;        /* weight of a sick server without a permit */
    uint32_t max_in_flight;     /* requests tracked */
} Health_desc;

typedef struct HealthInput {
    ClockMs now;
    int baseline_class;   /* HEALTH_CLASS_UNKNOWN: own history is used */
    gboolean permit_held; /* PermitClaim_IsHeld() at `now` */
} HealthInput;

typedef struct HealthVerdict {
    HealthState state;
    HealthReason reason;
    uint32_t weight;        /* 0 to HEALTH_WEIGHT_FULL; 0 only if EJECTED */
    uint32_t max_in_flight; /* concurrent trial requests; 0 = no limit */
    HealthPermit permit_wanted;
    int latency_class;     /* for the member record */
    double evidence_nats;  /* the larger of the two sums */
    ClockMs ejected_until; /* 0 unless EJECTED */
} HealthVerdict;

typedef struct Health Health;

/* Handle of a started request until its Health_End(); 0 = not tracked. */
typedef uint32_t HealthRequest;

/* NULL stands for all defaults. */
Health *Health_Create(const Health_desc *desc, ClockMs now);
void Health_Destroy(Health *health);

/* Begins a new session of the backend server. Discards the samples and the
 * requests in flight of the former session; their HealthRequest becomes stale
 * and is ignored. The length of the next ejection is kept. */
void Health_ColdStart(Health *health, ClockMs now);

HealthRequest Health_Start(Health *health, ClockMs now);

/* latency_us is the time since the request was sent to the backend server. */
void Health_End(Health *health, HealthRequest request, HealthOutcome outcome,
                int64_t latency_us, ClockMs now);

void Health_Update(Health *health, const HealthInput *input,
                   HealthVerdict *verdict);

/* Class of a latency. The previous class is kept while the latency is within
 * 0.75 steps of its centre, so that the class does not flap at a boundary. */
int Health_ClassOf(int64_t latency_us, int previous_class);
/* Latency at the centre of a class; 0 for HEALTH_CLASS_UNKNOWN. */
int64_t Health_ClassLatencyUs(int latency_class);

/* Median of the known classes, the lower one for an even count. Returns
 * HEALTH_CLASS_UNKNOWN for fewer than 3, because the median of two is one of
 * them. */
int Health_ClassMedian(const int *classes, size_t count);

/* "healthy", "degraded", "ejected", "probation". */
const char *Health_StateName(HealthState state);
const char *Health_ReasonName(HealthReason reason);

/* Presets: HEALTH_PRESET_FAST favours a short detection time,
 * HEALTH_PRESET_CAUTIOUS few false ejections. The measurements are in
 * docs/decisions/health.md. */
#define HEALTH_PRESET_FAST \
    ((const Health_desc){  \
        .threshold_nats = 20, .stall_ms = 300, .confirm_ms = 3000})
#define HEALTH_PRESET_CAUTIOUS \
    ((const Health_desc){      \
        .threshold_nats = 30, .stall_ms = 900, .confirm_ms = 8000})

#endif
