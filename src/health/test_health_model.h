/* Model of one service for tests and benchmarks of Health and Permit: backend
 * servers with slots and a queue, owners, three permit coordinators, and a
 * baseline that arrives with a delay. It runs in one thread on simulated time.
 *
 * Use: fill a Model_desc, call Model_Run().
 */
#ifndef HEALTH_TEST_HEALTH_MODEL_H
#define HEALTH_TEST_HEALTH_MODEL_H

#include "health/health.h"

#define MODEL_SERVERS 12

typedef enum FaultKind {
    FAULT_NONE,
    FAULT_SLOW,  /* service time multiplied by amount */
    FAULT_HANG,  /* no answer */
    FAULT_WRONG, /* amount = share of wrong answers */
    FAULT_ERROR, /* amount = share of errors */
    FAULT_SHED,  /* amount = share of correct shedding answers */
    FAULT_COLD,  /* new session, service time multiplied by amount at first;
                  * the excess decays with a time constant of 4 s */
    FAULT_PATH   /* answers reach the entry amount ms later */
} FaultKind;

typedef struct Fault {
    FaultKind kind;
    double amount;
    ClockMs from;
    ClockMs period; /* 0: permanent; else active in its first half */
} Fault;

typedef struct Model_desc {
    const Health_desc *health;
    double rate_per_s; /* to each backend server at full weight */
    double median_ms;  /* median service time */
    double sigma;      /* standard deviation of its logarithm */
    double tail_share; /* share of requests slowed by tail_factor */
    double tail_factor;
    double pauses_per_hour; /* pauses of each backend server as a whole */
    double pause_ms;
    uint32_t floor_percent;
    ClockMs gossip_ms; /* delay of latency classes */
    ClockMs deadline_ms;
    ClockMs length_ms;
    uint64_t seed;
    Fault faults[MODEL_SERVERS];
} Model_desc;

typedef struct ModelServerResult {
    uint64_t sent;         /* number of requests sent */
    uint64_t sent_sick;    /* number sent while the fault was active */
    ClockMs last_sent;     /* last request before a second ejection */
    ClockMs first_ejected; /* time of the first ejection, or -1 */
    uint32_t ejections;
    uint32_t min_weight;   /* lowest, from 1 s after the fault began */
    HealthVerdict verdict; /* final verdict */
} ModelServerResult;

typedef struct ModelResult {
    ModelServerResult servers[MODEL_SERVERS];
    uint32_t ejections;
    uint32_t max_ejected; /* maximum number of ejected servers at a time */
    uint64_t samples;
    uint64_t permit_messages; /* number of requests to coordinators */
} ModelResult;

/* Defaults for zero fields of desc: 20 requests/s, median 20 ms, sigma 0.5, 1%
 * slower by a factor of 10, floor 75%, gossip delay 3 s, deadline 3 s, length
 * 60 s. */
void Model_Run(const Model_desc *desc, ModelResult *result);

#endif
