/* Replay: plays a table of load and faults against the decision modules, in
 * simulated time, and counts what becomes of the requests.
 *
 * Whoever changes a policy sees its price here before deploying it; tests use
 * it to replay a load pattern with and without a policy. The senders choose by
 * Roster, the owners admit by Admission, Exploration and GrayFilter, retries
 * follow Retry, and refused callers return by ReturnTime. It is no model of a
 * network or of the daemon: requests take a fixed time to another region and
 * none within one, and reports are as old as the last answer.
 *
 * Use:
 *  1. Fill a Replay_desc with tables of services, streams and phases.
 *  2. Replay_Create(), Replay_Run().
 *  3. Replay_Outcome() for each stream, Replay_BudgetUsage() and
 *     Replay_Spread() for each service.
 *  4. Replay_Destroy().
 *
 * The same table and seed give the same outcome.
 *
 * Errors: the tables are not checked; indexes have to be in range.
 * Limits: REPLAY_MAX_SERVERS backend servers in all. Steps of a millisecond;
 * some seconds for a minute of load with thousands of requests.
 */
#ifndef REPLAY_REPLAY_H
#define REPLAY_REPLAY_H

#include <glib.h>

#include "base/clock.h"

#define REPLAY_MAX_SERVERS 512

typedef struct Replay Replay;

typedef struct ReplayService {
    const char *name;
    guint servers;  /* spread evenly over the regions */
    guint slots;    /* of each backend server */
    double unequal; /* speeds of every three: 1 - unequal, 1, 1 + unequal */
} ReplayService;

/* Requests of one kind. A stream that another one calls arrives by these calls
 * alone if its rate is 0. */
typedef struct ReplayStream {
    const char *name;
    guint service; /* index */
    double per_s;
    ClockMs service_ms;
    ClockMs target_ms;
    ClockMs deadline_ms;
    int priority;
    gboolean idempotent;
    double relative_size; /* 0: 1 */
    guint senders;        /* 0: all hosts send */
    guint calls;          /* made together by each running request */
    guint called;         /* index of the stream of these calls */
} ReplayStream;

typedef enum ReplayFault {
    REPLAY_BURST, /* `value` times the rate of the streams to the service */
    REPLAY_SHED,  /* a share `value` of the requests is turned away */
    REPLAY_FAIL,  /* a share `value` of the requests fails at once */
    REPLAY_SLOW,  /* requests take `value` times as long */
    REPLAY_STALL, /* no request ends */
    REPLAY_GONE,  /* accepts and ends nothing; its daemon does not answer */
    REPLAY_FAULTS
} ReplayFault;

/* A fault of a share of the service's backend servers for some time. */
typedef struct ReplayPhase {
    ReplayFault fault;
    guint service;
    ClockMs begin;
    ClockMs end;
    double share; /* 0: all of them */
    double value;
} ReplayPhase;

/* Zero means the default. */
typedef struct Replay_desc {
    const ReplayService *services;
    guint service_count;
    const ReplayStream *streams;
    guint stream_count;
    const ReplayPhase *phases;
    guint phase_count;
    guint regions;      /* (1) */
    guint senders;      /* hosts that send requests (12) */
    guint attempts;     /* backend servers tried for one request (2) */
    guint rounds;       /* owners asked for one request (12) */
    ClockMs transit_ms; /* there and back to another region (60) */
    ClockMs length_ms;  /* of the arrivals (30,000); what is in flight then is
                           played to its end */
    double retry_ratio; /* fleet's limit of retries (0.2) */
    double retry_slack; /* on top of it, in 10 s (60) */
    gboolean plain_queue;  /* baseline: in the order of arrival, each request
                              waits until its deadline */
    gboolean plain_budget; /* baseline: the limit of retries divided evenly */
    gboolean plain_return; /* baseline: refused callers return after 300 ms */
    gboolean even_load;    /* Roster_desc.even_load */
    gboolean no_return;    /* refused callers do not return */
    guint64 seed;
} Replay_desc;

typedef struct ReplayOutcome {
    guint asked;
    guint in_time;
    guint late;    /* served after the target */
    guint refused; /* told that it has not run, and not served afterwards */
    guint failed;
    guint expired;      /* still waiting at its deadline */
    guint returned;     /* came back after a refusal */
    guint retries;      /* attempts beyond the first of each request */
    guint asks;         /* times that an owner was asked to run a request */
    guint busy;         /* asks that were refused as busy */
    guint risky;        /* asks that were refused for risk */
    ClockMs served_ms;  /* sum over those served, from arrival to answer */
    guint far;          /* times that a request went to another region */
    ClockMs longest_ms; /* longest time that a request was held before it was
                           refused */
} ReplayOutcome;

/* How evenly the load of a service was spread over its backend servers. The
 * load is the number of requests that run and wait, for each slot; a backend
 * server that is twice as fast has the same load at twice the rate. */
typedef struct ReplaySpread {
    guint samples;
    double mean;      /* load, mean of all backend servers and of time */
    double max;       /* largest load averaged over time, by the mean */
    double variation; /* coefficient of variation of these loads */
    double now_max;   /* the same two at one moment, mean over time */
    double now_variation;
} ReplaySpread;

Replay *Replay_Create(const Replay_desc *desc);
void Replay_Destroy(Replay *replay);
void Replay_Run(Replay *replay);

const ReplayOutcome *Replay_Outcome(const Replay *replay, guint stream);

ReplaySpread Replay_Spread(const Replay *replay, guint service);

/* Largest share of the fleet's limit of retries that was used in any 10 s. */
double Replay_BudgetUsage(const Replay *replay, guint service);

#endif
