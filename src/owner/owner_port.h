/* OwnerPort: the HTTP port on which entries reach the owner of this host.
 *
 * Use: OwnerPort_Create(), at the end OwnerPort_Drain() and
 * OwnerPort_Destroy(). OwnerPort_QueryAttempt() answers RPC kind 22.
 *
 * The port records the attempts that run, and those that were answered or
 * voided in the last 30 s. An entry that
 * waits longer than expected for an answer queries by RPC, which takes another
 * network path, whether its attempt has arrived. If not, the query voids the
 * attempt: should it arrive later, it is refused with REQUEST_ID_VOID.
 * Therefore the entry may report "not run" and send the request elsewhere.
 *
 * An earlier process of the host is not asked: the query names the incarnation
 * of the one to which the attempt was sent.
 *
 * Limits: 16,384 attempts that have ended are recorded. Thread safe.
 */
#ifndef OWNER_OWNER_PORT_H
#define OWNER_OWNER_PORT_H

#include <glib.h>
#include <netinet/in.h>

#include "http/http_server.h"
#include "owner/owner.h"
#include "owner/owner_wire.h"

typedef struct OwnerPort OwnerPort;

typedef enum OwnerAttemptState {
    OWNER_ATTEMPT_VOID,     /* has not arrived and will not be run */
    OWNER_ATTEMPT_RUNNING,  /* waits for a slot or for the backend server */
    OWNER_ATTEMPT_ANSWERED, /* the answer was written to the connection */
    OWNER_ATTEMPT_UNKNOWN   /* no record, and no room to void the attempt */
} OwnerAttemptState;

typedef struct OwnerPort_desc {
    Owner *owner;
    struct sockaddr_in address;
    unsigned threads;
    size_t max_body_bytes;
    const void *secret;
    size_t secret_bytes;
    /* Handles the other requests from daemons, those to "/peer/"; may be NULL.
     * Their MAC has been verified. */
    HttpHandler peer_handler;
    void *peer_context;
} OwnerPort_desc;

OwnerPort *OwnerPort_Create(const OwnerPort_desc *desc, GError **error);
uint16_t OwnerPort_Number(const OwnerPort *port);
gboolean OwnerPort_Drain(OwnerPort *port, ClockMs until);

/* Waits up to `until` for entries that still receive their answers. Returns
 * TRUE if none is left. */
gboolean OwnerPort_AwaitReceipt(OwnerPort *port, ClockMs until);
void OwnerPort_Destroy(OwnerPort *port);

/* Returns the state of an attempt. Voids it if it has not arrived. */
OwnerAttemptState OwnerPort_QueryAttempt(OwnerPort *port, OwnerAttempt attempt,
                                         ClockMs now);

/* Adds the MAC to the headers of a request to a "/peer/" path of a daemon. */
void OwnerPort_SignPeer(const char *method, const char *target,
                        const void *body, size_t body_bytes,
                        const void *secret, size_t secret_bytes,
                        HttpHeaders *headers);

#endif
