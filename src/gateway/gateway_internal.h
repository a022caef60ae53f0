/* Types shared by the files of the gateway slice. */
#ifndef GATEWAY_GATEWAY_INTERNAL_H
#define GATEWAY_GATEWAY_INTERNAL_H

#include <pthread.h>

#include "gateway/gateway.h"
#include "http/http_cancel_set.h"
#include "http/http_server.h"
#include "retry/retry.h"

#define GATEWAY_TRACE_BYTES 700

struct Gateway {
    Gateway_desc desc;
    uint64_t host; /* hash of the own name */
    HttpServer *server;
    HttpCancelSet *cancels; /* of the requests in flight */
    pthread_mutex_t lock;   /* for what follows */
    GHashTable *budgets;    /* service hash -> RetryBudget */
    ClockMs leave_until;    /* requests end by then; CLOCK_NEVER */
    Rng rng;
};

/* One request of a caller. */
typedef struct GatewayRequest {
    Gateway *gateway;
    HttpRequest *http;
    CatalogTable *table; /* referenced */
    const CatalogRoute *route;
    const CatalogDestination *part;
    const CatalogTeam *team; /* NULL: no key was needed */
    char *target;
    HttpHeaders forwarded;
    BackendCall call;
    ClockMs arrived;
    ClockMs deadline;    /* of the caller, or the route's timeout if earlier */
    ClockMs target_time; /* an answer is in time until then */
    ClockMs proof_age;
    QuotaSource quota_source;
    gboolean has_repeat;   /* a failure of it could be repaired */
    gboolean repeat_taken; /* from the budget, for an attempt given up */
    uint32_t arrivals;     /* attempts that reached a backend server */
    uint64_t avoided[ROSTER_MAX_TRIED]; /* hosts that cannot serve it */
    uint32_t avoided_count;
    uint64_t asked[ROSTER_MAX_TRIED]; /* hosts whose state is known */
    uint32_t asked_count;
    char trace[GATEWAY_TRACE_BYTES];
} GatewayRequest;

/* gateway_request.c: route, team, freshness and quota. */
Result _Gateway_Prepare(GatewayRequest *request);
void _Gateway_ClearRequest(GatewayRequest *request);

/* gateway_attempt.c: attempts until the request is answered or given up. */
void _Gateway_Attempt(GatewayRequest *request, BackendReply *reply);

#endif
