/* RpcSession: the receiver's state of each sender.
 *
 * For each sender it keeps the highest incarnation and a window of the
 * accepted sequence numbers, each with its cached reply. The window starts
 * with 2 slots, because most senders send only rare pings. When it is full and
 * its lowest sequence number was accepted less than 5 s ago, it doubles, up to
 * 256 slots.
 *
 * Use: RpcSession_Accept() for each authenticated message. If it returns
 * RPC_ACCEPT_RUN, run the handler and call RpcSession_Store().
 *
 * Limits: not thread safe. `max_peers` senders; cached replies take up to
 * 512 KB in all, the oldest are evicted first. A sequence number below the
 * window is refused as a replay, even if the message was only delayed.
 */
#ifndef RPC_SESSION_H
#define RPC_SESSION_H

#include <glib.h>

#include "base/clock.h"
#include "base/result.h"

typedef struct RpcSession RpcSession;

typedef enum RpcAcceptance {
    RPC_ACCEPT_RUN,       /* new message: run the handler */
    RPC_ACCEPT_DUPLICATE, /* send the cached reply again */
    RPC_ACCEPT_RUNNING,   /* duplicate while the handler runs: send nothing */
    RPC_ACCEPT_REFUSE     /* refuse with *result */
} RpcAcceptance;

RpcSession *RpcSession_Create(uint32_t max_peers,
                              gboolean accept_old_sessions);
void RpcSession_Destroy(RpcSession *session);

/* For RPC_ACCEPT_DUPLICATE, *result and `reply` receive the cached reply. */
RpcAcceptance RpcSession_Accept(RpcSession *session, ClockMs now,
                                uint64_t sender, uint64_t incarnation,
                                uint64_t sequence, Result *result,
                                GByteArray *reply);

/* Caches the reply to an accepted message. */
void RpcSession_Store(RpcSession *session, uint64_t sender,
                      uint64_t incarnation, uint64_t sequence, Result result,
                      const GByteArray *reply);

/* Records that a host has at least this incarnation. Returns FALSE if a later
 * one is known. */
gboolean RpcSession_RecordIncarnation(RpcSession *session, ClockMs now,
                                      uint64_t host, uint64_t incarnation);

/* Returns the highest known incarnation of a host, 0 if unknown. */
uint64_t RpcSession_GetIncarnation(const RpcSession *session, uint64_t host);

/* Returns the memory in use, for measurements. */
size_t RpcSession_GetBytes(const RpcSession *session);

#endif
