/* Gateway: accepts the requests of callers on this host.
 *
 * Each request passes these steps: match the route, find the team by its key,
 * check that the configuration is fresh enough to rely on the key, take one
 * request from the team's quota. The gateway then tries owners of backend
 * servers of the route's service until one answers, within the caller's
 * deadline, the route's timeout and the fleet's retry budget.
 *
 * Use:
 *  1. Gateway_Create(), which starts to listen.
 *  2. Gateway_Leave() when a graceful stop begins: from then on every answer
 *     closes its connection.
 *  3. Gateway_Drain() stops accepting connections and waits for the requests
 *     in flight.
 *  4. Gateway_Close() refuses requests that still arrive on open connections;
 *     Gateway_AwaitReceipt() waits for callers that read slowly.
 *  5. Gateway_CancelRequests() ends the requests that are still in flight with
 *     their final answer. Runs on this host that may not be repeated go on.
 *  6. Gateway_CancelRuns() ends these, too.
 *  7. Gateway_Destroy().
 *
 * Errors: 429 and 503 promise that the request has not run, so they are sent
 * only if every attempt is known not to have run. Otherwise the status is 502,
 * or 504 at the deadline. A request that must not run twice is sent again only
 * if the previous attempt is known not to have run. If the connection of one
 * breaks, its owner is asked whether it has arrived (attempt/attempt_rpc.h).
 *
 * A request of a route or team that is restricted to regions is sent to owners
 * in these only, by the configuration at the time of each attempt. If no owner
 * there can be reached, it is refused at once (RESULT_HOME_REGIONS_AWAY).
 *
 * Limits: handles up to `threads` requests at once. Thread safe.
 */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <glib.h>
#include <netinet/in.h>

#include "backend/backend.h"
#include "catalog/catalog.h"
#include "http/http_client.h"
#include "quota/quota.h"
#include "roster/roster.h"
#include "rpc/rpc.h"
#include "stop/stop_plan.h"

typedef struct Gateway Gateway;

typedef struct Gateway_desc {
    struct sockaddr_in address;
    unsigned threads;
    size_t max_body_bytes;
    const char *host;    /* name of this host */
    const char *region;  /* of this host */
    const char *service; /* service of the backend server on this host */
    const WireNames *names;
    Catalog *catalog;
    Roster *roster;
    Backend *backend;
    Quota *quota;
    HttpClient *client;
    Rpc *rpc; /* asks owners about attempts whose connection broke */
    ClockMs max_catalog_age_ms; /* maximum age of a configuration that admits
                                   a key */
    ClockMs config_apply_ms;    /* maximum age of one that denies a request, or
                                   that is known to be outdated; default 3,000
                                 */
    double retry_ratio;         /* maximum retries as a share of requests */
    gboolean load_by_value;     /* calls have their parent's priority */
    double retry_per_minute;    /* fleet's retries allowed at any traffic */
} Gateway_desc;

Gateway *Gateway_Create(const Gateway_desc *desc, GError **error);

/* Begins a graceful stop. From now on requests that the plan does not take are
 * refused as not run, and the others end when the plan abandons them. */
void Gateway_Leave(Gateway *gateway, const StopPlan *plan);

/* Wait up to `until`; return TRUE if no request is in flight any more. */
gboolean Gateway_Drain(Gateway *gateway, ClockMs until);
gboolean Gateway_Close(Gateway *gateway, ClockMs until);

/* Waits up to `until` for callers that still receive their answers. Returns
 * TRUE if none is left. */
gboolean Gateway_AwaitReceipt(Gateway *gateway, ClockMs until);

void Gateway_CancelRequests(Gateway *gateway);
void Gateway_CancelRuns(Gateway *gateway);
unsigned Gateway_InFlight(const Gateway *gateway);
void Gateway_Destroy(Gateway *gateway);

#endif
