#include "health/health_score.h"

#include <math.h>
#include <string.h>

/* Evidence for each octave above the margin. For log-normal latencies of the
 * estimated spread and a margin of 1.4 spreads, this is close to the exponent
 * at which the mean of exp(score) is 1. */
#define NATS_PER_OCTAVE 2.0
#define MARGIN_SPREADS 1.4
#define FAST_NATS (-2.0)
/* A request in flight may add more evidence than an answered one, because its
 * latency is still growing. A single one must not suffice for an
 * ejection. */
#define IN_FLIGHT_CAP_NATS 8.0
/* A process that has just started is slow until its caches and connections are
 * warm. Its margin is two octaves wider and its cap on evidence halved. */
#define COLD_OCTAVES 2.0
#define COLD_STALL_FACTOR 4
#define COLD_CAP_FACTOR 0.5

#define SPREAD_START 0.72 /* octaves; log-normal with sigma 0.5 */
#define SPREAD_MIN 0.3
#define SPREAD_MAX 1.5
#define SPREAD_SAMPLES 128.0
/* sqrt(pi / 2) converts the mean absolute deviation from the median to the
 * standard deviation. */
#define DEVIATION_TO_SPREAD 1.2533
#define TAIL_START 0.01
#define TAIL_MIN 0.005
#define TAIL_MAX 0.2
#define TAIL_START_SAMPLES 200
#define TAIL_SAMPLES 2000
/* Assumed share of tail answers from a sick backend server. */
#define TAIL_SICK 0.5
/* Slowness below MILD_OCTAVES is mild. Each answer moves the mean by a quarter
 * of the distance, so that six answers reveal a slowdown by a factor of 10. */
#define MILD_OCTAVES 2.0
#define EXCESS_SHARE 0.25
#define EXCESS_MIN (-2.0)
#define EXCESS_MAX 4.0
#define HISTORY_STEP 0.02
#define HISTORY_MIN_SAMPLES 16
/* Baseline of a service without samples or peers. */
#define UNKNOWN_BASELINE_US 100000

static const Health_desc defaults = {
    .threshold_nats = 22,
    .slow_factor = 2,
    .slow_cap_nats = 4,
    .failure_share = 0.01,
    .wrong_share = 0.001,
    .sick_share = 0.1,
    .stall_ms = 600,
    .confirm_ms = 5000,
    .ejection_ms = 5000,
    .ejection_max_ms = 300000,
    .ejection_decay_ms = 120000,
    .probation_step_ms = 5000,
    .cold_start_ms = 10000,
    .probation_answers = 8,
    .min_weight = 5,
    .max_in_flight = 64,
};

#define USE_DEFAULT(field)                \
    if (resolved->field == 0) {           \
        resolved->field = defaults.field; \
    }

void
HealthScore_Resolve(const Health_desc *desc, Health_desc *resolved)
{
    *resolved = desc ? *desc : defaults;
    USE_DEFAULT(threshold_nats)
    USE_DEFAULT(slow_factor)
    USE_DEFAULT(slow_cap_nats)
    USE_DEFAULT(failure_share)
    USE_DEFAULT(wrong_share)
    USE_DEFAULT(sick_share)
    USE_DEFAULT(stall_ms)
    USE_DEFAULT(confirm_ms)
    USE_DEFAULT(ejection_ms)
    USE_DEFAULT(ejection_max_ms)
    USE_DEFAULT(ejection_decay_ms)
    USE_DEFAULT(probation_step_ms)
    USE_DEFAULT(cold_start_ms)
    USE_DEFAULT(probation_answers)
    USE_DEFAULT(min_weight)
    USE_DEFAULT(max_in_flight)
    resolved->max_in_flight = MIN(resolved->max_in_flight, 0xfffe);
}

void
HealthScore_Reset(HealthScore *score)
{
    *score = (HealthScore){.spread = SPREAD_START, .tail = TAIL_START};
}

/* Baseline in octaves above 1 us, or 0 without a baseline. */
static double
baseline_octaves(const HealthScore *score, int baseline_class)
{
    if (baseline_class != HEALTH_CLASS_UNKNOWN) {
        return (baseline_class - 1) / 4.0;
    }
    return score->learned >= HISTORY_MIN_SAMPLES ? score->history : 0;
}

/* Latency, in octaves above the baseline, that is evidence neither for nor
 * against health. */
static double
margin_octaves(const HealthScore *score, const Health_desc *desc,
               gboolean cold)
{
    double margin =
        MAX(log2(desc->slow_factor), MARGIN_SPREADS * score->spread);

    return cold ? margin + COLD_OCTAVES : margin;
}

static void
learn(HealthScore *score, double octaves, double above, double margin)
{
    double window;

    if (score->learned < TAIL_SAMPLES) {
        score->learned++;
    }
    if (score->learned <= HISTORY_MIN_SAMPLES) {
        double sum = score->history * (score->learned - 1) + octaves;

        score->history = sum / score->learned;
    }
    else {
        score->history +=
            octaves > score->history ? HISTORY_STEP : -HISTORY_STEP;
    }
    if (above < 0) {
        score->spread +=
            (DEVIATION_TO_SPREAD * -above - score->spread) / SPREAD_SAMPLES;
        score->spread = CLAMP(score->spread, SPREAD_MIN, SPREAD_MAX);
    }
    window = MIN(score->learned + TAIL_START_SAMPLES, TAIL_SAMPLES);
    score->tail += ((above > margin + 1 ? 1 : 0) - score->tail) / window;
    score->tail = CLAMP(score->tail, TAIL_MIN, TAIL_MAX);
}

/* Adds a value to the ring of recent ones. The sorted copy is updated here so
 * that the median needs no sorting at each tick. */
static void
add_recent(HealthScore *score, double octaves)
{
    uint32_t count = score->recent_count;
    uint32_t position = 0;

    if (count == HEALTH_SCORE_RECENT) {
        double oldest = score->recent[score->recent_next];

        while (score->sorted[position] != oldest) {
            position++;
        }
        count--;
        memmove(&score->sorted[position], &score->sorted[position + 1],
                (count - position) * sizeof(double));
    }
    for (position = count;
         position > 0 && score->sorted[position - 1] > octaves; position--) {
        score->sorted[position] = score->sorted[position - 1];
    }
    score->sorted[position] = octaves;
    score->recent_count = count + 1;
    score->recent[score->recent_next] = octaves;
    score->recent_next = (score->recent_next + 1) % HEALTH_SCORE_RECENT;
}

static double
latency_score(HealthScore *score, const Health_desc *desc,
              const HealthSample *sample)
{
    double octaves = log2((double)MAX(sample->latency_us, 1));
    double base = baseline_octaves(score, sample->baseline_class);
    double margin = margin_octaves(score, desc, sample->cold);
    gboolean answered =
        sample->outcome == HEALTH_OK || sample->outcome == HEALTH_WRONG_ANSWER;
    double cap = MIN(desc->slow_cap_nats, log(TAIL_SICK / score->tail));
    double nats = 0;

    if (base > 0) {
        nats = NATS_PER_OCTAVE * (octaves - base - margin);
        nats =
            CLAMP(nats, FAST_NATS, sample->cold ? cap * COLD_CAP_FACTOR : cap);
    }
    if (!answered) {
        /* Only a lower bound of the latency is known, which cannot be evidence
         * for health. */
        return MAX(nats, 0);
    }
    add_recent(score, octaves);
    if (base > 0) {
        double above = CLAMP(octaves - base, EXCESS_MIN, EXCESS_MAX);

        score->recent_excess += (above - score->recent_excess) * EXCESS_SHARE;
    }
    if (sample->learn && !sample->cold) {
        learn(score, octaves, base > 0 ? octaves - base : 0, margin);
    }
    return nats;
}

void
HealthScore_Add(HealthScore *score, const Health_desc *desc,
                HealthSample *sample)
{
    double sick = desc->sick_share;

    sample->counts = sample->outcome != HEALTH_SHED;
    if (!sample->counts) {
        return;
    }
    sample->latency_nats = latency_score(score, desc, sample);
    switch (sample->outcome) {
    case HEALTH_OK:
        sample->outcome_nats = log((1 - sick) / (1 - desc->failure_share));
        break;
    case HEALTH_WRONG_ANSWER:
        sample->outcome_nats = log(sick / desc->wrong_share);
        break;
    case HEALTH_ERROR:
        sample->outcome_nats = log(sick / desc->failure_share);
        break;
    case HEALTH_TIMED_OUT:
        /* With a short deadline, a timeout is no evidence of a fault. */
        if (sample->latency_nats > 0) {
            sample->outcome_nats = log(sick / desc->failure_share);
        }
        break;
    default:
        break;
    }
    if (sample->outcome_nats == 0 && sample->latency_nats == 0) {
        sample->counts = FALSE;
    }
}

double
HealthScore_InFlight(const HealthScore *score, const Health_desc *desc,
                     int baseline_class, ClockMs age_ms, gboolean cold)
{
    double base = baseline_octaves(score, baseline_class);
    double nats;

    if (age_ms < desc->stall_ms * (cold ? COLD_STALL_FACTOR : 1)) {
        return 0;
    }
    if (base <= 0) {
        base = log2(UNKNOWN_BASELINE_US);
    }
    nats = NATS_PER_OCTAVE * (log2((double)age_ms * 1000) - base -
                              margin_octaves(score, desc, cold));
    return CLAMP(nats, 0, IN_FLIGHT_CAP_NATS);
}

gboolean
HealthScore_IsSlowClass(const HealthScore *score, const Health_desc *desc,
                        int latency_class, int baseline_class)
{
    if (latency_class == HEALTH_CLASS_UNKNOWN ||
        baseline_class == HEALTH_CLASS_UNKNOWN) {
        return TRUE;
    }
    return (latency_class - baseline_class) / 4.0 >=
           margin_octaves(score, desc, FALSE) / 2;
}

gboolean
HealthScore_IsMild(const HealthScore *score)
{
    return score->recent_excess < MILD_OCTAVES;
}

int
HealthScore_Class(const HealthScore *score, int previous_class)
{
    uint32_t count = score->recent_count;

    if (count < HEALTH_SCORE_RECENT / 4) {
        return previous_class;
    }
    return Health_ClassOf((int64_t)exp2(score->sorted[(count - 1) / 2]),
                          previous_class);
}

int
Health_ClassOf(int64_t latency_us, int previous_class)
{
    double exact = 1 + 4 * log2((double)MAX(latency_us, 1));

    if (previous_class != HEALTH_CLASS_UNKNOWN &&
        fabs(exact - previous_class) <= 0.75) {
        return previous_class;
    }
    return CLAMP((int)lround(exact), 1, HEALTH_CLASS_MAX);
}

int64_t
Health_ClassLatencyUs(int latency_class)
{
    return latency_class <= HEALTH_CLASS_UNKNOWN
               ? 0
               : (int64_t)llround(exp2((latency_class - 1) / 4.0));
}

int
Health_ClassMedian(const int *classes, size_t count)
{
    uint32_t class_counts[HEALTH_CLASS_MAX + 1];
    uint32_t known = 0;
    uint32_t cumulative = 0;

    memset(class_counts, 0, sizeof(class_counts));
    for (size_t i = 0; i < count; i++) {
        if (classes[i] > HEALTH_CLASS_UNKNOWN &&
            classes[i] <= HEALTH_CLASS_MAX) {
            class_counts[classes[i]]++;
            known++;
        }
    }
    if (known < 3) {
        return HEALTH_CLASS_UNKNOWN;
    }
    for (int i = 1; i <= HEALTH_CLASS_MAX; i++) {
        cumulative += class_counts[i];
        if (cumulative >= (known + 1) / 2) {
            return i;
        }
    }
    return HEALTH_CLASS_UNKNOWN;
}

const char *
Health_StateName(HealthState state)
{
    static const char *const names[] = {"healthy", "degraded", "ejected",
                                        "probation"};

    return (size_t)state < G_N_ELEMENTS(names) ? names[state] : "?";
}

const char *
Health_ReasonName(HealthReason reason)
{
    static const char *const names[] = {"none", "slow", "stalled", "failing",
                                        "cold"};

    return (size_t)reason < G_N_ELEMENTS(names) ? names[reason] : "?";
}
