/* Gossip: keeps the member table up to date over Rpc.
 *
 * Use:
 *  1. Rpc_Create(), then Gossip_Create(), which registers the handlers of
 *     kinds 1 to 3, then Rpc_Start().
 *  2. Gossip_Join() exchanges tables with the seeds or with hosts of the
 *     roster. It may raise the own incarnation (Rpc_GetIncarnation() tells the
 *     one in force), so nothing is bound to an incarnation before it.
 *  3. Gossip_SetServers() whenever the own backend servers change.
 *  4. Gossip_Leave() for a graceful end, Rpc_Stop(), Gossip_Destroy(),
 *     Rpc_Destroy().
 * Readers use Gossip_GetMember() with the reading functions of
 * member/member.h.
 *
 * Threads: one thread pings and exchanges digests. It waits for acks for at
 * most one period. Callbacks run on that thread or on the Rpc server thread,
 * without any lock held, and must not block. Member_desc.notify alone is
 * called with the lock held and must not call functions of this module.
 *
 * Errors: Gossip_Join() returns RESULT_RPC_TIMEOUT when no seed answered; the
 * thread goes on trying.
 *
 * Limits: a payload of Gossip_desc.describe has at most
 * GOSSIP_MAX_PAYLOAD_BYTES; a longer one is not sent.
 */
#ifndef MEMBER_GOSSIP_H
#define MEMBER_GOSSIP_H

#include <glib.h>

#include "member/member.h"
#include "rpc/rpc.h"

#define GOSSIP_MAX_PAYLOAD_BYTES 512

typedef struct Gossip Gossip;

typedef struct Gossip_desc {
    Rpc *rpc;
    Member_desc member;   /* self.rpc_port 0 means Rpc_GetPort() */
    const RpcPeer *seeds; /* host ids may be 0; copied */
    uint32_t seed_count;
    /* Reads up to `max` roster entries and returns how many; may be NULL.
     * Called on the gossip thread when no peer is alive, at most once in 5 s,
     * and else every 30 min; it may block. */
    uint32_t (*read_roster)(void *context, RpcPeer *entries, uint32_t max);
    /* Fills the payload of a ping or an ack; may be NULL. */
    void (*describe)(void *context, GByteArray *payload);
    /* Takes the payload of a ping or an ack; may be NULL. */
    void (*learn)(void *context, const RpcPeer *sender,
                  const GByteArray *payload);
    /* A later incarnation of this host is in the fleet: this process must
     * stop. May be NULL. */
    void (*superseded)(void *context);
    void *context;        /* of the callbacks above */
    int ack_timeout_ms;   /* 0 means 300 */
    int digest_period_ms; /* 0 means 10,000 */
} Gossip_desc;

Gossip *Gossip_Create(const Gossip_desc *desc);

/* Joins through the seeds or the roster and starts the thread. Returns
 * RESULT_OK also when there are no seeds and no roster entries (the first
 * host of a fleet). Tables are exchanged for up to timeout_ms. */
Result Gossip_Join(Gossip *gossip, int timeout_ms);

/* For the reading functions of member/member.h. */
const Member *Gossip_GetMember(const Gossip *gossip);

Result Gossip_SetServers(Gossip *gossip, const MemberServer *servers,
                         uint32_t count);

/* Stops the thread, marks the own host as left and tells up to 8 hosts. The
 * handlers keep answering until Rpc_Stop(). */
void Gossip_Leave(Gossip *gossip, uint64_t successor);

/* Stops the thread without a leave record. Rpc_Stop() comes first. */
void Gossip_Destroy(Gossip *gossip);

/* Copies the counts of the table. */
void Gossip_Count(Gossip *gossip, MemberCounts *counts);

#endif
