/* PeerPort: takes requests of other daemons for the backend server here.
 *
 * Use: PeerPort_Create(); PeerPort_Leave() when a graceful stop begins,
 * PeerPort_Drain() before its end, PeerPort_Close() to refuse what still
 * comes on open connections, PeerPort_Abandon() to hand back what can run
 * elsewhere, PeerPort_Destroy().
 *
 * The network between the daemons is taken to be closed to others.
 */
#ifndef GATEWAY_PEER_PORT_H
#define GATEWAY_PEER_PORT_H

#include <glib.h>
#include <netinet/in.h>

#include "backend/backend.h"

typedef struct PeerPort PeerPort;

typedef struct PeerPort_desc {
    struct sockaddr_in address;
    unsigned threads; /* requests that may block at once */
    size_t max_body_bytes;
    const WireNames *names;
    Backend *backend;
} PeerPort_desc;

PeerPort *PeerPort_Create(const PeerPort_desc *desc, GError **error);
void PeerPort_Leave(PeerPort *port);

/* Waits for what is in flight; TRUE if nothing is left. */
gboolean PeerPort_Drain(PeerPort *port, ClockMs until);
gboolean PeerPort_Close(PeerPort *port, ClockMs until);

/* Ends the requests that wait or may run more than once; their senders get
 * SHUTTING_DOWN and repeat them elsewhere. */
void PeerPort_Abandon(PeerPort *port);
unsigned PeerPort_InFlight(const PeerPort *port);
void PeerPort_Destroy(PeerPort *port);

#endif
