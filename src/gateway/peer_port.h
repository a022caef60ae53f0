/* PeerPort: accepts requests from other daemons for the backend server on this
 * host.
 *
 * Use:
 *  1. PeerPort_Create(), which starts to listen.
 *  2. PeerPort_Leave() when a graceful stop begins.
 *  3. PeerPort_Drain() waits for the requests in flight.
 *  4. PeerPort_Close() refuses requests that still arrive on open connections;
 *     PeerPort_AwaitReceipt() waits for daemons that read slowly.
 *  5. PeerPort_CancelRequests() cancels requests that can run elsewhere.
 *  6. PeerPort_Destroy().
 *
 * Each attempt that must not run twice is noted in the AttemptLog before
 * anything else is done with it; one that is void is refused as not run.
 *
 * A request whose route or team may not be served in this host's region, by
 * this host's configuration, is returned as not run, also while it waits.
 *
 * Limits: senders are not authenticated; the network between the daemons must
 * be closed to others.
 */
#ifndef GATEWAY_PEER_PORT_H
#define GATEWAY_PEER_PORT_H

#include <glib.h>
#include <netinet/in.h>

#include "attempt/attempt_log.h"
#include "backend/backend.h"
#include "catalog/catalog.h"

typedef struct PeerPort PeerPort;

typedef struct PeerPort_desc {
    struct sockaddr_in address;
    unsigned threads; /* maximum number of requests served at once */
    size_t max_body_bytes;
    const WireNames *names;
    Backend *backend;
    Catalog *catalog;   /* for the routes and regions of requests; NULL: the
                           routes stay unknown, regions are not checked */
    const char *region; /* of this host */
    AttemptLog *attempts;
} PeerPort_desc;

PeerPort *PeerPort_Create(const PeerPort_desc *desc, GError **error);
void PeerPort_Leave(PeerPort *port);

/* Wait up to `until`; return TRUE if no request is in flight any more. */
gboolean PeerPort_Drain(PeerPort *port, ClockMs until);
gboolean PeerPort_Close(PeerPort *port, ClockMs until);

/* Waits up to `until` for daemons that still receive their answers. Returns
 * TRUE if none is left. */
gboolean PeerPort_AwaitReceipt(PeerPort *port, ClockMs until);

/* Cancels requests that wait for a slot or may run more than once. Their
 * senders receive SHUTTING_DOWN and retry them elsewhere. */
void PeerPort_CancelRequests(PeerPort *port);
unsigned PeerPort_InFlight(const PeerPort *port);
void PeerPort_Destroy(PeerPort *port);

#endif
