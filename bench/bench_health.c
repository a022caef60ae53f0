/* bench_health: detection time and false ejections per day over a grid of
 * settings, as CSV.
 *
 * Usage: bench_health [DAYS] [RUNS] [THREADS]
 *
 * Each line is one setting. For each kind of fault it has the median and the
 * slowest detection time over the runs, in ms from the start of the fault
 * until the weight is 0. Then follow the false ejections per day for 12
 * healthy backend servers at 20 requests/s each, with 1% of the requests slow
 * by a factor of 10, in four cases: log-normal latencies with sigma 0.5, with
 * sigma 0.8, and with sigma 0.5 and one pause an hour of 400 ms and of 800 ms
 * in each backend server. The seeds are 1 to RUNS, and 1 for the false
 * ejections.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "health/test_health_model.h"

typedef struct Setting {
    const char *name;
    Health_desc desc;
} Setting;

typedef struct Case {
    const char *name;
    Fault fault;
    double rate_per_s;
} Case;

static const Case cases[] = {
    {"hang_20", {FAULT_HANG, 0, 20000, 0}, 20},
    {"slow10_20", {FAULT_SLOW, 10, 20000, 0}, 20},
    {"slow3_20", {FAULT_SLOW, 3, 20000, 0}, 20},
    {"wrong50_20", {FAULT_WRONG, 0.5, 20000, 0}, 20},
    {"wrong10_20", {FAULT_WRONG, 0.1, 20000, 0}, 20},
    {"error10_20", {FAULT_ERROR, 0.1, 20000, 0}, 20},
    {"hang_1", {FAULT_HANG, 0, 60000, 0}, 1},
    {"slow10_1", {FAULT_SLOW, 10, 60000, 0}, 1},
    {"wrong50_1", {FAULT_WRONG, 0.5, 60000, 0}, 1},
    {"slow10_100", {FAULT_SLOW, 10, 20000, 0}, 100},
};

static int
compare_times(const void *a, const void *b)
{
    ClockMs x = *(const ClockMs *)a;
    ClockMs y = *(const ClockMs *)b;

    return (x > y) - (x < y);
}

/* Returns 120,000 (the rest of the run) if the fault was not detected. */
static ClockMs
detection_time_ms(const Setting *setting, const Case *test_case, uint64_t seed)
{
    Model_desc desc = {.health = &setting->desc,
                       .rate_per_s = test_case->rate_per_s,
                       .length_ms = test_case->fault.from + 120000,
                       .seed = seed};
    ModelResult result;

    desc.faults[0] = test_case->fault;
    Model_Run(&desc, &result);
    return result.servers[0].first_ejected >= test_case->fault.from
               ? result.servers[0].first_ejected - test_case->fault.from
               : 120000;
}

static double
false_ejections_per_day(const Setting *setting, double days, double sigma,
                        double pause_ms)
{
    Model_desc desc = {.health = &setting->desc,
                       .sigma = sigma,
                       .pauses_per_hour = pause_ms > 0 ? 1 : 0,
                       .pause_ms = pause_ms,
                       .length_ms = (ClockMs)(days * 86400000),
                       .seed = 1};
    ModelResult result;

    Model_Run(&desc, &result);
    return result.ejections / days;
}

typedef struct Bench {
    Setting settings[64];
    char *lines[64];
    int count;
    double days;
    int runs;
    atomic_int next;
} Bench;

static char *
run_setting(const Bench *bench, const Setting *setting)
{
    ClockMs *times = g_new(ClockMs, bench->runs);
    GString *line = g_string_new(NULL);
    Health_desc desc = setting->desc;

    g_string_append_printf(line, "%s,%g,%d,%d", setting->name,
                           desc.threshold_nats, (int)desc.stall_ms,
                           (int)desc.confirm_ms);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (int run = 0; run < bench->runs; run++) {
            times[run] =
                detection_time_ms(setting, &cases[i], (uint64_t)run + 1);
        }
        qsort(times, bench->runs, sizeof(*times), compare_times);
        g_string_append_printf(line, ",%d,%d", (int)times[bench->runs / 2],
                               (int)times[bench->runs - 1]);
    }
    g_string_append_printf(
        line, ",%.2f,%.2f,%.2f,%.2f",
        false_ejections_per_day(setting, bench->days, 0.5, 0),
        false_ejections_per_day(setting, bench->days, 0.8, 0),
        false_ejections_per_day(setting, bench->days, 0.5, 400),
        false_ejections_per_day(setting, bench->days, 0.5, 800));
    g_free(times);
    return g_string_free(line, FALSE);
}

static void *
run_settings(void *context)
{
    Bench *bench = context;

    for (;;) {
        int i = atomic_fetch_add(&bench->next, 1);

        if (i >= bench->count) {
            return NULL;
        }
        bench->lines[i] = run_setting(bench, &bench->settings[i]);
    }
}

int
main(int argc, char **argv)
{
    static const double thresholds[] = {8, 12, 16, 20, 24, 30, 40};
    static const ClockMs stalls[] = {300, 600, 1000};
    static Bench bench;
    pthread_t threads[8];
    int thread_count = argc > 3 ? atoi(argv[3]) : 4;

    bench.days = argc > 1 ? atof(argv[1]) : 1;
    bench.runs = argc > 2 ? atoi(argv[2]) : 20;
    thread_count = CLAMP(thread_count, 1, (int)G_N_ELEMENTS(threads));
    for (size_t i = 0; i < G_N_ELEMENTS(thresholds); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(stalls); k++) {
            bench.settings[bench.count++] = (Setting){
                "grid",
                {.threshold_nats = thresholds[i], .stall_ms = stalls[k]}};
        }
    }
    bench.settings[bench.count++] = (Setting){.name = "default"};
    bench.settings[bench.count++] = (Setting){"fast", HEALTH_PRESET_FAST};
    bench.settings[bench.count++] =
        (Setting){"cautious", HEALTH_PRESET_CAUTIOUS};
    printf("setting,threshold_nats,stall_ms,confirm_ms");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        printf(",%s_median_ms,%s_slowest_ms", cases[i].name, cases[i].name);
    }
    printf(",false_a_day,false_a_day_sigma_0.8,false_a_day_pause_400,"
           "false_a_day_pause_800\n");
    for (int i = 0; i < thread_count; i++) {
        pthread_create(&threads[i], NULL, run_settings, &bench);
    }
    for (int i = 0; i < thread_count; i++) {
        pthread_join(threads[i], NULL);
    }
    for (int i = 0; i < bench.count; i++) {
        printf("%s\n", bench.lines[i]);
        g_free(bench.lines[i]);
    }
    return 0;
}
