#include "base/counter.h"

#include <stdatomic.h>

/* Result numbers are below 400 (base/result_list.h). */
#define RESULT_NUMBERS 400

/* Log-linear buckets: 8 for each power of two of microseconds. */
#define SUB_BUCKET_BITS 3
#define SUB_BUCKETS (1 << SUB_BUCKET_BITS)
#define BUCKETS (40 * SUB_BUCKETS)

static _Atomic uint64_t counters[COUNTER_COUNT];
static _Atomic uint64_t refusals[RESULT_NUMBERS];
static _Atomic uint64_t retries[RESULT_NUMBERS];
static _Atomic uint64_t histograms[HISTOGRAM_COUNT][BUCKETS];

static const char *const histogram_names[HISTOGRAM_COUNT] = {
    [HISTOGRAM_ENTRY_TOTAL] = "entry_total",
    [HISTOGRAM_ENTRY_RATE] = "entry_rate",
    [HISTOGRAM_OWNER_QUEUE] = "owner_queue",
    [HISTOGRAM_OWNER_SERVER] = "owner_server",
};

static int
bucket_of(int64_t microseconds)
{
    int bits;
    int bucket;

    if (microseconds < SUB_BUCKETS) {
        return microseconds < 0 ? 0 : (int)microseconds;
    }
    bits = 63 - __builtin_clzll((unsigned long long)microseconds);
    bucket =
        (bits - SUB_BUCKET_BITS + 1) * SUB_BUCKETS +
        (int)((microseconds >> (bits - SUB_BUCKET_BITS)) & (SUB_BUCKETS - 1));
    return MIN(bucket, BUCKETS - 1);
}

static int64_t
bucket_limit(int bucket)
{
    int shift;

    if (bucket < SUB_BUCKETS) {
        return bucket;
    }
    shift = bucket / SUB_BUCKETS - 1;
    return (((int64_t)SUB_BUCKETS + bucket % SUB_BUCKETS + 1) << shift) - 1;
}

void
Counter_Add(Counter counter, uint64_t amount)
{
    atomic_fetch_add_explicit(&counters[counter], amount,
                              memory_order_relaxed);
}

uint64_t
Counter_Get(Counter counter)
{
    return atomic_load_explicit(&counters[counter], memory_order_relaxed);
}

void
Counter_Refusal(Result result)
{
    atomic_fetch_add_explicit(&refusals[result], 1, memory_order_relaxed);
}

uint64_t
Counter_GetRefusals(Result result)
{
    return atomic_load_explicit(&refusals[result], memory_order_relaxed);
}

void
Counter_Retry(Result reason)
{
    atomic_fetch_add_explicit(&retries[reason], 1, memory_order_relaxed);
}

uint64_t
Counter_GetRetries(Result reason)
{
    return atomic_load_explicit(&retries[reason], memory_order_relaxed);
}

void
Counter_Observe(CounterHistogram histogram, int64_t microseconds)
{
    atomic_fetch_add_explicit(&histograms[histogram][bucket_of(microseconds)],
                              1, memory_order_relaxed);
}

static uint64_t
histogram_total(CounterHistogram histogram)
{
    uint64_t total = 0;

    for (int i = 0; i < BUCKETS; i++) {
        total += atomic_load_explicit(&histograms[histogram][i],
                                      memory_order_relaxed);
    }
    return total;
}

int64_t
Counter_Quantile(CounterHistogram histogram, double share)
{
    uint64_t total = histogram_total(histogram);
    uint64_t wanted = (uint64_t)((double)total * share);
    uint64_t seen = 0;

    for (int i = 0; i < BUCKETS; i++) {
        seen += atomic_load_explicit(&histograms[histogram][i],
                                     memory_order_relaxed);
        if (seen > wanted || (seen == total && total > 0)) {
            return bucket_limit(i);
        }
    }
    return 0;
}

typedef struct WriteState {
    GString *out;
    _Atomic uint64_t *values;
    const char *metric;
} WriteState;

static void
write_by_result(void *context, Result result, const char *name,
                int http_status, const char *text)
{
    WriteState *state = context;

    (void)http_status;
    (void)text;
    g_string_append_printf(
        state->out, "%s{reason=\"%s\",code=\"%d\"} %" G_GUINT64_FORMAT "\n",
        state->metric, name, (int)result,
        atomic_load_explicit(&state->values[result], memory_order_relaxed));
}

static void
write_histogram(GString *out, CounterHistogram histogram)
{
    static const double shares[] = {0.5, 0.9, 0.99, 0.999};

    g_string_append_printf(out, "# TYPE radishknot_%s_microseconds summary\n",
                           histogram_names[histogram]);
    for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
        g_string_append_printf(
            out,
            "radishknot_%s_microseconds{quantile=\"%g\"} %" G_GINT64_FORMAT
            "\n",
            histogram_names[histogram], shares[i],
            Counter_Quantile(histogram, shares[i]));
    }
    g_string_append_printf(
        out, "radishknot_%s_microseconds_count %" G_GUINT64_FORMAT "\n",
        histogram_names[histogram], histogram_total(histogram));
}

void
Counter_Write(GString *out)
{
#define COUNTER_NAME(name, help) {#name, help},
    static const struct {
        const char *name;
        const char *help;
    } names[] = {COUNTER_LIST(COUNTER_NAME)};
#undef COUNTER_NAME
    WriteState state = {.out = out};

    for (int i = 0; i < COUNTER_COUNT; i++) {
        char *lower = g_ascii_strdown(names[i].name, -1);

        g_string_append_printf(out,
                               "# HELP radishknot_%s_total %s\n"
                               "# TYPE radishknot_%s_total counter\n"
                               "radishknot_%s_total %" G_GUINT64_FORMAT "\n",
                               lower, names[i].help, lower, lower,
                               Counter_Get((Counter)i));
        g_free(lower);
    }
    state.metric = "radishknot_refusals_total";
    state.values = refusals;
    g_string_append(out, "# TYPE radishknot_refusals_total counter\n");
    Result_ForEach(write_by_result, &state);
    state.metric = "radishknot_retries_total";
    state.values = retries;
    g_string_append(out, "# TYPE radishknot_retries_total counter\n");
    Result_ForEach(write_by_result, &state);
    for (int i = 0; i < HISTOGRAM_COUNT; i++) {
        write_histogram(out, (CounterHistogram)i);
    }
}
