/* Model of one service under load for tests and benchmarks of Route and Retry:
 * entries that choose, backend servers with slots and a bounded queue, callers
 * with a deadline, all in one thread with a heap of events.
 *
 * Use: fill a RouteModel_desc, call RouteModel_Run().
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
    RETRIES_UNLIMITED /* by rules, but without a budget */
} RetryPolicy;

typedef struct RouteModel_desc {
    RoutePolicy policy;
    RetryPolicy retries;
    uint32_t servers;
    uint32_t entries;
    double load;        /* offered, in shares of capacity */
    double median_ms;   /* service time, log-normal, 1% slow by 10 */
    double refusal_ms;  /* slot time that a refused attempt costs */
    double gray_factor; /* service time of server 0; 0 = healthy */
    ClockMs deadline_ms;
    ClockMs length_ms;
    uint64_t seed;
} RouteModel_desc;

typedef struct RouteModelResult {
    uint64_t requests;
    uint64_t attempts;
    uint64_t answered; /* within the deadline */
    double goodput;    /* answered, in shares of capacity */
    double amplification;
    double median_ms;
    double tail_ms;    /* 99th percentile */
    double tail_3_ms;  /* 99.9th percentile */
    double spread;     /* most busy healthy server over the mean of them */
    double gray_share; /* of the attempts that server 0 got, times servers */
} RouteModelResult;

/* Zero fields of desc: 12 servers, 4 entries, load 0.5, 20 ms, deadline 1 s,
 * 30 s. */
void RouteModel_Run(const RouteModel_desc *desc, RouteModelResult *result);

#endif
