/* RpcSession: what the receiver remembers of each sender.
 *
 * For each sender it keeps the highest incarnation and a window of the
 * sequence numbers that it accepted, each with its cached reply. The window
 * starts with 2 places and grows to 256 while its places are younger than 5 s,
 * because most of the senders ping once in a long time.
 *
 * Use: RpcSession_Accept() for each authenticated message. If it says
 * RPC_ACCEPT_RUN, run the handler and call RpcSession_Store().
 *
 * Limits: not thread safe. `max_peers` senders; cached replies take up to
 * 512 KB in all, the oldest go first. A sequence number below the window is
 * refused as a replay, also if the message was only late.
 */
#ifndef RPC_SESSION_H
#define RPC_SESSION_H

#include <glib.h>

#include "base/clock.h"
#include "base/result.h"

typedef struct RpcSession RpcSession;

typedef enum RpcAcceptance {
    RPC_ACCEPT_RUN,     /* first arrival: run the handler */
    RPC_ACCEPT_REPEAT,  /* send the cached reply again */
    RPC_ACCEPT_RUNNING, /* the handler still runs: send nothing */
    RPC_ACCEPT_REFUSE   /* answer with *result */
} RpcAcceptance;

RpcSession *RpcSession_Create(uint32_t max_peers,
                              gboolean accept_old_sessions);
void RpcSession_Destroy(RpcSession *session);

/* For RPC_ACCEPT_REPEAT, *result and `reply` get the cached reply. */
RpcAcceptance RpcSession_Accept(RpcSession *session, ClockMs now,
                                uint64_t sender, uint64_t incarnation,
                                uint64_t sequence, Result *result,
                                GByteArray *reply);

/* Caches the reply to an accepted message. */
void RpcSession_Store(RpcSession *session, uint64_t sender,
                      uint64_t incarnation, uint64_t sequence, Result result,
                      const GByteArray *reply);

/* Raises the highest known incarnation of a host. FALSE if it is below the one
 * known. */
gboolean RpcSession_Note(RpcSession *session, ClockMs now, uint64_t host,
                         uint64_t incarnation);

/* Highest known incarnation of a host, 0 if unknown. */
uint64_t RpcSession_GetIncarnation(const RpcSession *session, uint64_t host);

/* Memory in use, for measurements. */
size_t RpcSession_GetBytes(const RpcSession *session);

#endif
