/* Tests of failure detection: tables of gray failures, run in the model of
 * test_health_model.c. The bounds are the targets of the design page or, where
 * it has none, what an operator would expect; they do not come from
 * measurements. */
#include <glib.h>

#include "base/rng.h"
#include "health/health.h"
#include "health/test_health_model.h"

#define FAULT_AT 20000
#define NEVER (-1)

typedef struct Case {
    const char *name;
    Fault fault; /* fault of server 0; `from` is set by the test */
    double rate_per_s;
    ClockMs within_ms; /* limit for the ejection; NEVER: none allowed */
} Case;

static const Case cases[] = {
    {"hang", {FAULT_HANG, 0, 0, 0}, 20, 2000},
    {"slow10", {FAULT_SLOW, 10, 0, 0}, 20, 2000},
    {"slow3", {FAULT_SLOW, 3, 0, 0}, 20, 10000},
    {"wrong50", {FAULT_WRONG, 0.5, 0, 0}, 20, 5000},
    {"wrong10", {FAULT_WRONG, 0.1, 0, 0}, 20, 30000},
    {"error50", {FAULT_ERROR, 0.5, 0, 0}, 20, 5000},
    {"error10", {FAULT_ERROR, 0.1, 0, 0}, 20, 60000},
    {"hang_100", {FAULT_HANG, 0, 0, 0}, 100, 2000},
    {"slow10_100", {FAULT_SLOW, 10, 0, 0}, 100, 2000},
    {"wrong10_100", {FAULT_WRONG, 0.1, 0, 0}, 100, 10000},
    {"hang_low", {FAULT_HANG, 0, 0, 0}, 1, 20000},
    {"slow10_low", {FAULT_SLOW, 10, 0, 0}, 1, 40000},
    {"wrong50_low", {FAULT_WRONG, 0.5, 0, 0}, 1, 60000},
    {"healthy", {FAULT_NONE, 0, 0, 0}, 20, NEVER},
    {"healthy_low", {FAULT_NONE, 0, 0, 0}, 1, NEVER},
    {"slow_path", {FAULT_PATH, 300, 0, 0}, 20, NEVER},
    {"shed50", {FAULT_SHED, 0.5, 0, 0}, 20, NEVER},
    {"shed_all", {FAULT_SHED, 1, 0, 0}, 20, NEVER},
    {"cold_slow5", {FAULT_COLD, 5, 0, 0}, 20, NEVER},
    {"cold_slow5_low", {FAULT_COLD, 5, 0, 0}, 1, NEVER},
};

/* Guards against detection that is slower than its target, and against an
 * ejection due to load, a slow path or a cold start. */
static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (uint64_t seed = 1; seed <= 10; seed++) {
            Model_desc desc = {.rate_per_s = cases[i].rate_per_s,
                               .length_ms = FAULT_AT + 70000,
                               .seed = seed};
            ModelResult result;
            ClockMs ejected;

            desc.faults[0] = cases[i].fault;
            desc.faults[0].from = FAULT_AT;
            Model_Run(&desc, &result);
            ejected = result.servers[0].first_ejected;
            g_test_message("%s seed %d: ejected at %d", cases[i].name,
                           (int)seed, (int)ejected);
            if (cases[i].within_ms == NEVER) {
                g_assert_cmpuint(result.ejections, ==, 0);
                continue;
            }
            g_assert_cmpint(ejected, >=, FAULT_AT);
            g_assert_cmpint(ejected, <=, FAULT_AT + cases[i].within_ms);
            g_assert_cmpuint(result.ejections, ==,
                             result.servers[0].ejections);
        }
    }
}

/* Guards against presets that miss the target for a backend server that hangs
 * or is slower by a factor of 10, or that eject on a slowdown of the whole
 * service. */
static void
test_presets(void)
{
    static const Fault faults[] = {{FAULT_HANG, 0, FAULT_AT, 0},
                                   {FAULT_SLOW, 10, FAULT_AT, 0}};
    Health_desc presets[] = {HEALTH_PRESET_FAST, HEALTH_PRESET_CAUTIOUS};

    for (size_t i = 0; i < 2 * G_N_ELEMENTS(presets); i++) {
        for (uint64_t seed = 1; seed <= 10; seed++) {
            Model_desc desc = {.health = &presets[i / 2], .seed = seed};
            ModelResult result;

            desc.faults[0] = faults[i % 2];
            Model_Run(&desc, &result);
            g_test_message("preset %d fault %d seed %d: ejected at %d",
                           (int)i / 2, (int)i % 2, (int)seed,
                           (int)result.servers[0].first_ejected);
            g_assert_cmpint(result.servers[0].first_ejected, >=, FAULT_AT);
            g_assert_cmpint(result.servers[0].first_ejected, <=,
                            FAULT_AT + 2000);
            for (int k = 0; k < MODEL_SERVERS; k++) {
                desc.faults[k] = (Fault){FAULT_SLOW, 3, FAULT_AT, 0};
            }
            desc.rate_per_s = 10;
            Model_Run(&desc, &result);
            g_assert_cmpuint(result.ejections, ==, 0);
        }
    }
}

/* Guards against a weight that is lowered because of shedding or a slow path,
 * which would move load away from a working backend server. */
static void
test_full_weight(void)
{
    static const Fault faults[] = {{FAULT_SHED, 0.5, 0, 0},
                                   {FAULT_PATH, 300, 0, 0}};

    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        Model_desc desc = {.seed = 3};
        ModelResult result;

        desc.faults[0] = faults[i];
        Model_Run(&desc, &result);
        g_assert_cmpuint(result.servers[0].verdict.weight, ==,
                         HEALTH_WEIGHT_FULL);
    }
}

/* Guards against a flapping backend server that keeps its load. After ten
 * minutes it must have received, while sick, at most half of the requests that
 * it would receive without detection. The number of ejections must stay small,
 * because each one is longer than the one before. */
static void
test_flapping(void)
{
    static const ClockMs periods[] = {1000,  2000,  5000, 10000,
                                      20000, 30000, 60000};
    static const FaultKind kinds[] = {FAULT_HANG, FAULT_SLOW, FAULT_WRONG};

    for (size_t i = 0; i < G_N_ELEMENTS(periods); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++) {
            Model_desc desc = {.length_ms = FAULT_AT + 600000, .seed = i + 1};
            ModelResult result;
            double without = 20.0 * 600 / 2;

            desc.faults[0] =
                (Fault){kinds[k], kinds[k] == FAULT_SLOW ? 10 : 0.5, FAULT_AT,
                        periods[i]};
            Model_Run(&desc, &result);
            g_test_message("kind %d period %d: %d sick, %d ejections",
                           kinds[k], (int)periods[i],
                           (int)result.servers[0].sent_sick,
                           (int)result.servers[0].ejections);
            g_assert_cmpfloat((double)result.servers[0].sent_sick, <=,
                              without / 2);
            g_assert_cmpuint(result.servers[0].ejections, >=, 1);
            g_assert_cmpuint(result.servers[0].ejections, <=, 12);
            g_assert_cmpuint(result.ejections, ==,
                             result.servers[0].ejections);
        }
    }
}

/* Guards against ejections when the whole service becomes slow, which is load
 * and no fault, even while the baseline still has its old value. */
static void
test_service_slow(void)
{
    static const struct {
        double factor;
        double rate_per_s;
    } slow[] = {{2, 10}, {3, 10}, {10, 10}, {10, 20}, {3, 1}, {10, 1}};

    for (size_t i = 0; i < G_N_ELEMENTS(slow); i++) {
        for (uint64_t seed = 1; seed <= 10; seed++) {
            Model_desc desc = {.rate_per_s = slow[i].rate_per_s,
                               .length_ms = FAULT_AT + 100000,
                               .seed = seed};
            ModelResult result;

            for (int k = 0; k < MODEL_SERVERS; k++) {
                desc.faults[k] =
                    (Fault){FAULT_SLOW, slow[i].factor, FAULT_AT, 0};
            }
            Model_Run(&desc, &result);
            g_test_message("factor %g rate %g seed %d: %d ejections",
                           slow[i].factor, slow[i].rate_per_s, (int)seed,
                           (int)result.ejections);
            g_assert_cmpuint(result.ejections, ==, 0);
        }
    }
}

/* Guards against ejections below the floor when nearly all backend servers are
 * sick, and against a floor that leaves the sick ones at full weight. */
static void
test_floor(void)
{
    static const FaultKind kinds[] = {FAULT_HANG, FAULT_SLOW, FAULT_WRONG};
    static const int sick_counts[] = {2, 3, 4, 6, 11};

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(sick_counts); k++) {
            Model_desc desc = {.length_ms = FAULT_AT + 60000, .seed = k + 1};
            ModelResult result;

            for (int n = 0; n < sick_counts[k]; n++) {
                desc.faults[n] = (Fault){
                    kinds[i], kinds[i] == FAULT_SLOW ? 10 : 0.5, FAULT_AT, 0};
            }
            Model_Run(&desc, &result);
            g_test_message("kind %d, %d sick: %d ejected at most", kinds[i],
                           sick_counts[k], (int)result.max_ejected);
            g_assert_cmpuint(result.max_ejected, <=, 3);
            if (sick_counts[k] <= 3) {
                g_assert_cmpuint(result.max_ejected, ==, sick_counts[k]);
            }
            for (int n = 0; n < sick_counts[k]; n++) {
                g_assert_cmpuint(result.servers[n].min_weight, <=, 50);
            }
        }
    }
}

/* Guards against false ejections: there must be none in a simulated day of 12
 * backend servers. */
static void
test_false_ejections(void)
{
    Model_desc desc = {.length_ms = 86400000, .seed = 1};
    ModelResult result;

    Model_Run(&desc, &result);
    g_test_message("%d ejections, %d permit messages in %d samples",
                   (int)result.ejections, (int)result.permit_messages,
                   (int)result.samples);
    g_assert_cmpuint(result.samples, >, 20000000);
    g_assert_cmpuint(result.ejections, <, 1);
}

/* Guards against full load at the beginning of a cold start, and against a
 * weight that stays low after it. */
static void
test_cold_weight(void)
{
    static const struct {
        ClockMs age;
        uint32_t min;
        uint32_t max;
    } steps[] = {{0, 5, 15}, {5000, 45, 65}, {10000, 100, 100}};
    Health *health = Health_Create(NULL, 0);
    HealthVerdict verdict;

    Health_ColdStart(health, 1000);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        HealthInput input = {.now = 1000 + steps[i].age};

        Health_Update(health, &input, &verdict);
        g_assert_cmpuint(verdict.weight, >=, steps[i].min);
        g_assert_cmpuint(verdict.weight, <=, steps[i].max);
    }
    Health_Destroy(health);
}

/* Guards against samples from requests of a former session and from requests
 * that are ended twice. */
static void
test_stale_request(void)
{
    Health *health = Health_Create(&(Health_desc){.max_in_flight = 2}, 0);
    HealthRequest first = Health_Start(health, 0);
    HealthRequest second;
    HealthInput input = {.now = 3600000,
                         .baseline_class = Health_ClassOf(20000, 0)};
    HealthVerdict verdict;

    g_assert_cmpuint(first, !=, 0);
    Health_ColdStart(health, 10);
    second = Health_Start(health, 20);
    Health_End(health, first, HEALTH_WRONG_ANSWER, 1, 30);
    g_assert_cmpuint(Health_Start(health, 30), !=, 0);
    g_assert_cmpuint(Health_Start(health, 30), ==, 0);
    Health_End(health, second, HEALTH_OK, 20000, 40);
    Health_End(health, second, HEALTH_WRONG_ANSWER, 20000, 50);
    g_assert_cmpuint(Health_Start(health, 60), !=, 0);
    Health_Update(health, &input, &verdict);
    g_assert_cmpint(verdict.reason, ==, HEALTH_REASON_STALLED);
    Health_Destroy(health);
}

/* Guards against a backend server that stays ejected without a permit. */
static void
test_permit_lost(void)
{
    Health *health = Health_Create(NULL, 0);
    HealthInput input = {.baseline_class = Health_ClassOf(20000, 0)};
    HealthVerdict verdict;

    for (int i = 0; i < 20; i++) {
        Health_End(health, Health_Start(health, i), HEALTH_WRONG_ANSWER, 20000,
                   i);
    }
    Health_Update(health, &input, &verdict);
    g_assert_true(verdict.permit_wanted);
    g_assert_cmpuint(verdict.weight, >, 0);
    input.now = 100;
    input.permit_held = TRUE;
    Health_Update(health, &input, &verdict);
    g_assert_cmpuint(verdict.weight, ==, 0);
    input.now = 200;
    input.permit_held = FALSE;
    Health_Update(health, &input, &verdict);
    g_assert_cmpint(verdict.state, ==, HEALTH_STATE_PROBATION);
    g_assert_cmpuint(verdict.weight, >, 0);
    Health_Destroy(health);
}

/* Guards against classes that flap at a boundary, and against medians that are
 * shifted by one sick backend server. */
static void
test_classes(void)
{
    static const struct {
        int classes[5];
        size_t count;
        int median;
    } medians[] = {
        {{40, 41}, 2, HEALTH_CLASS_UNKNOWN}, {{40, 41, 90}, 3, 41},
        {{0, 40, 0, 41, 90}, 5, 41},         {{40, 42, 44, 90}, 4, 42},
        {{90, 90, 40, 40, 40}, 5, 40},
    };
    int held = Health_ClassOf(20000, HEALTH_CLASS_UNKNOWN);

    for (size_t i = 0; i < G_N_ELEMENTS(medians); i++) {
        g_assert_cmpint(
            Health_ClassMedian(medians[i].classes, medians[i].count), ==,
            medians[i].median);
    }
    for (int i = 0; i < 100; i++) {
        g_assert_cmpint(Health_ClassOf(i % 2 ? 18500 : 21900, held), ==, held);
    }
    g_assert_cmpint(Health_ClassOf(28000, held), ==, held + 2);
    for (int i = 1; i <= HEALTH_CLASS_MAX; i++) {
        int64_t us = Health_ClassLatencyUs(i);

        g_assert_cmpint(ABS(Health_ClassOf(us, 0) - i), <=, i < 12 ? 2 : 0);
    }
}

/* Runs one request with the given latency, then calls Health_Update(). */
static void
serve_one(Health *health, int64_t latency_us, gboolean permit, ClockMs *now,
          HealthVerdict *verdict)
{
    HealthInput input = {.baseline_class = Health_ClassOf(4000, 0),
                         .permit_held = permit};
    HealthRequest request = Health_Start(health, *now);

    *now += 50;
    Health_End(health, request, HEALTH_OK, latency_us, *now);
    input.now = *now;
    Health_Update(health, &input, verdict);
}

/* Guards against an ejection for slowness that ends at the next tick because
 * most of the recorded answers predate the fault, and against one that
 * continues after the whole service has become as slow. */
static void
test_slow_ejection_lasts(void)
{
    Health *health = Health_Create(NULL, 0);
    HealthInput input = {.permit_held = TRUE};
    HealthVerdict verdict = {0};
    ClockMs now = 100000;

    for (int i = 0; i < 200; i++) {
        serve_one(health, 4000, FALSE, &now, &verdict);
    }
    g_assert_cmpint(verdict.state, ==, HEALTH_STATE_HEALTHY);
    for (int i = 0; i < 40 && verdict.state != HEALTH_STATE_EJECTED; i++) {
        serve_one(health, 40000, verdict.permit_wanted, &now, &verdict);
    }
    g_assert_cmpint(verdict.state, ==, HEALTH_STATE_EJECTED);
    for (int i = 1; i <= 10; i++) {
        input.now = now + i * HEALTH_TICK_MS;
        input.baseline_class = Health_ClassOf(4000, 0);
        Health_Update(health, &input, &verdict);
        g_assert_cmpint(verdict.state, ==, HEALTH_STATE_EJECTED);
    }
    input.now += HEALTH_TICK_MS;
    input.baseline_class = Health_ClassOf(40000, 0);
    Health_Update(health, &input, &verdict);
    g_assert_cmpint(verdict.state, ==, HEALTH_STATE_PROBATION);
    Health_Destroy(health);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/health/classes", test_classes);
    g_test_add_func("/health/stale_request", test_stale_request);
    g_test_add_func("/health/permit_lost", test_permit_lost);
    g_test_add_func("/health/slow_ejection_lasts", test_slow_ejection_lasts);
    g_test_add_func("/health/cold_weight", test_cold_weight);
    g_test_add_func("/health/cases", test_cases);
    g_test_add_func("/health/presets", test_presets);
    g_test_add_func("/health/full_weight", test_full_weight);
    g_test_add_func("/health/flapping", test_flapping);
    g_test_add_func("/health/service_slow", test_service_slow);
    g_test_add_func("/health/floor", test_floor);
    g_test_add_func("/health/false_ejections", test_false_ejections);
    return g_test_run();
}
