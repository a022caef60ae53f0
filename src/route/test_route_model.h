/* Discrete-event simulation of one service under load, for tests and
 * benchmarks of Route and Retry: entries that choose, backend servers with
 * slots and a bounded queue, callers with a deadline. It runs in one thread
 * with a heap of events.
 *
 * Use: fill a RouteModel_desc and call RouteModel_Run().
 */
#ifndef ROUTE_TEST_ROUTE_MODEL_H
#define ROUTE_TEST_ROUTE_MODEL_H

#include "retry/retry.h"
#include "route/route.h"

#define ROUTE_MODEL_MAX_SERVERS 64

typedef enum RoutePolicy {
    POLICY_ROUTE,
    POLICY_ROUND_ROBIN,
    POLICY_RANDOM
} RoutePolicy;

typedef enum RetryPolicy {
    RETRIES_NONE,
    RETRIES_BUDGET,
    RETRIES_UNLIMITED /* as Retry_Decide() allows, but without a budget */
} RetryPolicy;

typedef struct RouteModel_desc {
    RoutePolicy policy;
    RetryPolicy retries;
    uint32_t servers;
    uint32_t entries;
    double load;        /* offered load as a share of the capacity */
    double median_ms;   /* median service time; log-normal, 1% of requests
                           take 10 times as long */
    double refusal_ms;  /* slot time that a refused attempt costs */
    double gray_factor; /* multiplier of the service time of server 0; 0 = it
                           is healthy */
    ClockMs deadline_ms;
    ClockMs duration_ms; /* time during which requests arrive */
    uint64_t seed;
} RouteModel_desc;

typedef struct RouteModelResult {
    uint64_t requests;
    uint64_t attempts;
    uint64_t answered;    /* requests answered within the deadline */
    double goodput;       /* `answered` as a share of the capacity */
    double amplification; /* attempts per request */
    double median_ms;
    double p99_ms;
    double p999_ms; /* 99.9th percentile */
    double spread;  /* attempts at the busiest healthy server, divided by the
                       mean of the healthy servers */
    double gray_share; /* attempts at server 0, divided by the mean of all
                          servers */
} RouteModelResult;

/* Defaults for zero fields of desc: 12 servers, 4 entries, load 0.5, median
 * 20 ms, deadline 1 s, duration 30 s. */
void RouteModel_Run(const RouteModel_desc *desc, RouteModelResult *result);

#endif
