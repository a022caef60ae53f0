/* AttemptRpc: asks an owner by RPC whether an attempt has reached it.
 *
 * Use: AttemptRpc_Serve() before Rpc_Start(); AttemptRpc_Ask() when the
 * connection of a call to the owner has broken before its answer. Only
 * ATTEMPT_ASK_NOT_SEEN allows to run the request elsewhere, see attempt_log.h.
 *
 * Kind RPC_KIND_ATTEMPT_VOID, in XDR; question: id (8 bytes), time since the
 * attempt was sent in ms (8 bytes); reply: AttemptState (4 bytes).
 *
 * Errors: an owner of an earlier version, one that refuses the message and one
 * with another host at its address count as ATTEMPT_ASK_UNKNOWN. So does a
 * reply that was received so late that the question may have been on its way
 * for longer than ATTEMPT_MAX_TRANSIT_MS, for example because this process was
 * suspended.
 */
#ifndef ATTEMPT_ATTEMPT_RPC_H
#define ATTEMPT_ATTEMPT_RPC_H

#include "attempt/attempt_log.h"
#include "rpc/rpc.h"

/* Timeout of a question: a lost message is sent again after 150 ms, and the
 * rest is enough for the round trip to another region. */
#define ATTEMPT_ASK_MS 250

/* Time after the peer port has closed in which questions about attempts that
 * met the closed port arrive. It is enough for the request, its reset and the
 * question to travel from region to region. */
#define ATTEMPT_LAST_QUESTIONS_MS 250

typedef enum AttemptAsk {
    ATTEMPT_ASK_NONE, /* the owner was not asked */
    ATTEMPT_ASK_NOT_SEEN,
    ATTEMPT_ASK_SEEN,
    ATTEMPT_ASK_UNKNOWN,
    ATTEMPT_ASK_NO_REPLY
} AttemptAsk;

/* Asks about an attempt that was not sent before `sent`, and waits for up to
 * timeout_ms. Counts the outcome. */
AttemptAsk AttemptRpc_Ask(Rpc *rpc, const RpcPeer *owner, uint64_t id,
                          ClockMs sent, int timeout_ms);

/* "none", "not_seen", "seen", "unknown", "no_reply". */
const char *AttemptRpc_AskName(AttemptAsk ask);

/* Registers the handler of the questions. */
void AttemptRpc_Serve(Rpc *rpc, AttemptLog *log);

#endif
