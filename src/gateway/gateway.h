/* Gateway: serves the callers of this host.
 *
 * For each request: route, team of the key, proof that the configuration is
 * fresh, the team's quota, then attempts at owners of backend servers of the
 * route's service until one answers, within the caller's deadline, the route's
 * timeout and the fleet's retry budget.
 *
 * Use: Gateway_Create(), which listens at once; Gateway_Leave() when a
 * graceful stop begins: answers then close their connections; Gateway_Drain()
 * stops accepting and waits; Gateway_Close() refuses what still comes on open
 * connections; Gateway_Abandon() gives all requests that are still unanswered
 * their final answer; Gateway_Destroy().
 *
 * What may have run is never answered with a status that promises otherwise:
 * 429 and 503 only while every attempt is known not to have run, else 502, or
 * 504 at the deadline. A request that must not run twice is sent on only after
 * an attempt that is known not to have run.
 *
 * Limits: `threads` requests are worked on at once. Thread safe.
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

typedef struct Gateway Gateway;

typedef struct Gateway_desc {
    struct sockaddr_in address;
    unsigned threads;
    size_t max_body_bytes;
    const char *host;    /* own name */
    const char *service; /* of the backend server on this host */
    const WireNames *names;
    Catalog *catalog;
    Roster *roster;
    Backend *backend;
    Quota *quota;
    HttpClient *client;
    ClockMs proof_ms;        /* age up to which a configuration is fresh */
    double retry_ratio;      /* repeats as a share of requests */
    double retry_per_minute; /* repeats of the fleet at any traffic */
} Gateway_desc;

Gateway *Gateway_Create(const Gateway_desc *desc, GError **error);

/* Requests that arrive from now on end by the given time. */
void Gateway_Leave(Gateway *gateway, ClockMs until);
gboolean Gateway_Drain(Gateway *gateway, ClockMs until);
gboolean Gateway_Close(Gateway *gateway, ClockMs until);
void Gateway_Abandon(Gateway *gateway);
unsigned Gateway_InFlight(const Gateway *gateway);
void Gateway_Destroy(Gateway *gateway);

#endif
