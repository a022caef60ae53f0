/* Types shared by the source files of the gateway. */
#ifndef GATEWAY_GATEWAY_INTERNAL_H
#define GATEWAY_GATEWAY_INTERNAL_H

#include <pthread.h>

#include "attempt/attempt_rpc.h"
#include "gateway/gateway.h"
#include "gateway/gateway_regions.h"
#include "gateway/return_time.h"
#include "gateway/size_estimate.h"
#include "http/http_cancel_set.h"
#include "http/http_server.h"
#include "retry/retry.h"

#define GATEWAY_TRACE_BYTES 700

/* Deadline of a caller that sends none. */
#define GATEWAY_DEFAULT_DEADLINE_MS 10000

/* Longest time that a caller waits, whatever it sends. */
#define GATEWAY_MAX_DEADLINE_MS 86400000

struct Gateway {
    Gateway_desc desc;
    uint64_t host; /* hash of this host's name */
    HttpServer *server;
    HttpCancelSet *cancels;     /* cancellation of the requests in flight */
    HttpCancelSet *run_cancels; /* of their runs that may not be repeated */
    pthread_mutex_t lock;       /* protects the fields below */
    GHashTable *budgets;        /* service hash -> RetryBudget */
    SizeEstimate *sizes;
    StopPlan stop;
    Rng rng;
};

typedef struct GatewayRequest {
    Gateway *gateway;
    HttpRequest *http;
    CatalogTable *table; /* referenced */
    const CatalogRoute *route;
    const CatalogDestination *destination;
    const CatalogTeam *team;           /* NULL: the request needs no key */
    GatewayRegions regions;            /* by the newest configuration */
    GatewayRegionsCheck regions_check; /* of a run on this host */
    char *target;
    HttpHeaders forwarded;
    BackendCall call;
    ClockMs arrived;
    ClockMs deadline; /* the earliest of the caller's deadline, the route's
                         timeout and the end of a stop */
    ClockMs caller_deadline; /* by the caller's header alone */
    ClockMs backlog_ms;  /* shortest wait of the owners that were full; 0: none
                            was */
    ClockMs away_ms;     /* time until a host in the allowed regions is tried
                            again; 0: unknown */
    ClockMs target_time; /* time limit set by the route's latency target */
    ClockMs stop_ms;     /* time from the start of a graceful stop to the
                            arrival; -1: arrived before, or no stop */
    ClockMs catalog_age; /* age of the configuration, Catalog_Age() */
    gboolean is_outdated; /* Catalog_IsOutdated() */
    QuotaSource quota_source;
    gboolean has_taken_retry;  /* from the budget, and no attempt since has
                                  reached a backend server */
    gboolean can_retry;        /* a retry could follow a failed next attempt */
    BackendReply *other_reply; /* answer of a second attempt that was made
                                  while the first one ran; NULL: none */
    HttpAnswer failure;        /* last error answer of a backend server */
    gboolean maybe_run;        /* an attempt may have run */
    uint64_t current_host;     /* host of the attempt in progress */
    AttemptAsk asked_owner;    /* what its owner said of a broken call */
    gboolean is_retried_call;  /* call of a request that is a retry */
    uint32_t attempts;         /* attempts that reached a backend server */
    gboolean has_explored;     /* an attempt was an exploration */
    CallParent parent;         /* of a call, as far as it is known */
    gboolean is_calm;          /* the service's retries are below the limit */
    unsigned full_offers;      /* FullService_Decide() */
    unsigned limit_refusals;   /* owners that refused it for the retry limit */
    unsigned risky_owners;     /* owners that refused it for their risk */
    uint64_t excluded[ROSTER_MAX_EXCLUDED]; /* hosts that cannot serve it */
    uint32_t excluded_count;
    uint64_t asked[ROSTER_MAX_EXCLUDED]; /* hosts already asked to serve it */
    uint32_t asked_count;
    char trace[GATEWAY_TRACE_BYTES];
} GatewayRequest;

/* gateway_request.c: the time until which the caller waits. */
ClockMs _Gateway_CallerDeadline(const Gateway *gateway,
                                const HttpRequest *http);

/* Steps of _Gateway_Prepare() that change nothing but the request, whose table
 * is set. The first one sets what depends on the age of the configuration. A
 * key of NULL is a missing one. */
void _Gateway_SetAge(GatewayRequest *request, ClockMs now);
Result _Gateway_FindRoute(GatewayRequest *request, const char *host,
                          const char *path);
Result _Gateway_FindTeam(GatewayRequest *request, const char *key);
void _Gateway_SetTimes(GatewayRequest *request, ClockMs caller_deadline);

/* Refuses a request that a graceful stop does not take. The body may have
 * ended long after the head arrived. */
Result _Gateway_ApplyStop(GatewayRequest *request, const StopPlan *stop,
                          ClockMs now);

/* Checks route, team, configuration age and quota. */
Result _Gateway_Prepare(GatewayRequest *request);
void _Gateway_ClearRequest(GatewayRequest *request);

/* Limits the deadline to the moment at which a stop that has begun abandons
 * the requests. */
void _Gateway_LimitToStop(GatewayRequest *request);

/* gateway_query.c: what the next choice depends on. These change nothing. */

/* Settings of this host's share of a service's retry budget. */
Retry_desc _Gateway_BudgetDesc(const Gateway *gateway);

/* Whether the route lets the request be retried after the next attempt. */
gboolean _Gateway_AllowsRetry(const GatewayRequest *request);

/* Fills the query for the next choice. `regions` and `can_retry` of the
 * request are up to date. */
void _Gateway_MakeQuery(const GatewayRequest *request, ClockMs now,
                        RosterQuery *query);

/* Report of this host's backend server, as the next choice takes it. */
void _Gateway_OwnReport(const Gateway *gateway, RosterReport *own);

/* gateway_attempt.c: sends the request to owners until one answers or no
 * further attempt is allowed. */
void _Gateway_Attempt(GatewayRequest *request, BackendReply *reply);

/* Whether the reply shows that the owner's host cannot be reached or does not
 * serve what the roster says. `paused_ms` is the part of the call in which
 * this process did not run; connections may have ended meanwhile. */
gboolean _Gateway_IsUnreachable(const BackendReply *reply, ClockMs left_ms,
                                ClockMs paused_ms);

/* Returns the time of an answered call on the way, -1 if it is unknown. */
ClockMs _Gateway_TransitMs(const BackendReply *reply, ClockMs paused_ms);

/* gateway_answer.c: what the caller receives after the last attempt. */

/* Whether the reply holds an answer of a backend server that is passed on. */
gboolean _Gateway_IsAnswer(const BackendReply *reply);

/* Result of a request whose attempts have ended. If the stop has cancelled it,
 * it does not count as given up by its caller, who waits for the answer. */
Result _Gateway_EndResult(Result result, gboolean is_cancelled_by_stop);

/* Completes the reply of the last attempt: an error answer of an earlier one
 * is delivered if the last one brought no answer to pass on. Clears `failure`;
 * maybe_run is TRUE if any attempt may have run. */
void _Gateway_ChooseAnswer(BackendReply *reply, HttpAnswer *failure,
                           gboolean maybe_run);

#endif
