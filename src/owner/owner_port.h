/* OwnerPort: the HTTP port on which entries reach the owner of this host.
 *
 * Use: OwnerPort_Create(), at the end OwnerPort_Drain() and
 * OwnerPort_Destroy(). OwnerPort_AskAttempt() answers RPC kind 22.
 *
 * The port remembers the attempts that arrived in the last 30 s. An entry that
 * waits for an answer longer than expected asks by RPC, on another path,
 * whether its attempt is here. An attempt that is not here is voided at the
 * same time: when it arrives later, it is refused with REQUEST_ID_VOID, so
 * that the entry may say "not run" and send it elsewhere.
 *
 * Limits: 16,384 attempts are remembered. Thread safe.
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
    OWNER_ATTEMPT_VOID,     /* never arrived, and never runs now */
    OWNER_ATTEMPT_RUNNING,  /* waits for a slot or for the backend server */
    OWNER_ATTEMPT_ANSWERED, /* the answer was written to the connection */
    OWNER_ATTEMPT_FORGOTTEN /* cannot tell */
} OwnerAttemptState;

typedef struct OwnerPort_desc {
    Owner *owner;
    struct sockaddr_in address;
    unsigned threads;
    size_t max_body_bytes;
    const void *secret;
    size_t secret_bytes;
    /* Handles other requests of daemons, those below "/peer/"; may be NULL.
     * They carry a MAC as well, which was checked. */
    HttpHandler peer_handler;
    void *peer_context;
} OwnerPort_desc;

OwnerPort *OwnerPort_Create(const OwnerPort_desc *desc, GError **error);
uint16_t OwnerPort_Number(const OwnerPort *port);
gboolean OwnerPort_Drain(OwnerPort *port, ClockMs until);
void OwnerPort_Destroy(OwnerPort *port);
OwnerAttemptState OwnerPort_AskAttempt(OwnerPort *port, OwnerAttempt attempt,
                                       ClockMs now);

/* Adds the MAC to the headers of a request to another daemon's "/peer/". */
void OwnerPort_SignPeer(const char *method, const char *target,
                        const void *body, size_t body_bytes,
                        const void *secret, size_t secret_bytes,
                        HttpHeaders *headers);

#endif
