#include "gateway/size_estimate.h"

#define MAX_ROUTES 4096

/* Mean bytes of the heads of a request and its answer between two daemons. */
#define HEADER_BYTES 520

/* Weight of the newest sample in the moving averages. The first samples weigh
 * as in a plain average. */
#define ROUTE_WEIGHT 0.1
#define MEAN_WEIGHT 0.02

typedef struct Average {
    double value;
    uint32_t count; /* samples, until the weight is constant */
} Average;

struct SizeEstimate {
    GHashTable *routes; /* route hash -> Average of the answer's bytes */
    Average mean;       /* bytes of a request and its answer */
};

static void
add_sample(Average *average, double sample, double weight)
{
    average->count += average->count * weight < 1 ? 1 : 0;
    average->value +=
        (sample - average->value) * MAX(weight, 1.0 / average->count);
}

SizeEstimate *
SizeEstimate_Create(void)
{
    SizeEstimate *estimate = g_new0(SizeEstimate, 1);

    estimate->routes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return estimate;
}

void
SizeEstimate_Destroy(SizeEstimate *estimate)
{
    if (estimate != NULL) {
        g_hash_table_destroy(estimate->routes);
        g_free(estimate);
    }
}

void
SizeEstimate_Observe(SizeEstimate *estimate, uint64_t route,
                     size_t request_bytes, size_t answer_bytes,
                     gboolean is_call)
{
    Average *answer = g_hash_table_lookup(estimate->routes, &route);

    if (answer == NULL) {
        if (g_hash_table_size(estimate->routes) >= MAX_ROUTES) {
            g_hash_table_remove_all(estimate->routes);
        }
        answer = g_new0(Average, 1);
        g_hash_table_insert(estimate->routes, g_memdup2(&route, sizeof(route)),
                            answer);
    }
    add_sample(answer, (double)answer_bytes, ROUTE_WEIGHT);
    if (!is_call) {
        add_sample(&estimate->mean,
                   (double)(request_bytes + answer_bytes) + HEADER_BYTES,
                   MEAN_WEIGHT);
    }
}

double
SizeEstimate_Relative(const SizeEstimate *estimate, uint64_t route,
                      size_t request_bytes)
{
    const Average *answer = g_hash_table_lookup(estimate->routes, &route);

    if (answer == NULL || estimate->mean.count == 0) {
        return 1;
    }
    return (answer->value + (double)request_bytes + HEADER_BYTES) /
           estimate->mean.value;
}
