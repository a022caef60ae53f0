/* Model of one service for tests and benchmarks of Health and Permit: backend
 * servers with slots and a queue, owners, three permit keepers, and a baseline
 * that arrives late, all in one thread with the time passed in.
 *
 * Use: fill a Model_desc, call Model_Run().
 */
#ifndef HEALTH_TEST_HEALTH_MODEL_H
#define HEALTH_TEST_HEALTH_MODEL_H

#include "health/health.h"

#define MODEL_SERVERS 12

typedef enum FaultKind {
    FAULT_NONE,
    FAULT_SLOW,  /* service time times amount */
    FAULT_HANG,  /* no answer */
    FAULT_WRONG, /* share of wrong answers */
    FAULT_ERROR, /* share of errors */
    FAULT_SHED,  /* share of correct shedding answers */
    FAULT_COLD,  /* new session, slow by amount at first, less every second */
    FAULT_PATH   /* answers reach the entry amount ms later */
} FaultKind;

typedef struct Fault {
    FaultKind kind;
    double amount;
    ClockMs from;
    ClockMs period; /* 0: without a break; else the first half of each */
} Fault;

typedef struct Model_desc {
    const Health_desc *health;
    double rate_per_s; /* to each backend server at full weight */
    double median_ms;  /* of the service time */
    double sigma;      /* of its logarithm */
    double tail_share; /* of requests that are slow by tail_factor */
    double tail_factor;
    double pauses_per_hour; /* of each backend server as a whole */
    double pause_ms;
    uint32_t floor_percent;
    ClockMs gossip_ms; /* delay of latency classes */
    ClockMs deadline_ms;
    ClockMs length_ms;
    uint64_t seed;
    Fault faults[MODEL_SERVERS];
} Model_desc;

typedef struct ModelServerResult {
    uint64_t sent;         /* requests sent to it */
    uint64_t sent_sick;    /* of these, while its fault was active */
    ClockMs last_sent;     /* last request before the first readmission */
    ClockMs first_ejected; /* -1: never */
    uint32_t ejections;
    uint32_t least_weight; /* since 1 s after the fault began */
    HealthVerdict verdict; /* at the end */
} ModelServerResult;

typedef struct ModelResult {
    ModelServerResult servers[MODEL_SERVERS];
    uint32_t ejections;
    uint32_t most_ejected; /* at once */
    uint64_t samples;
    uint64_t permit_messages; /* requests to keepers */
} ModelResult;

/* Zero fields of desc: 20 requests/s, 20 ms, sigma 0.5, 1% slow by 10, floor
 * 75%, 3 s, 3 s, 60 s. */
void Model_Run(const Model_desc *desc, ModelResult *result);

#endif
