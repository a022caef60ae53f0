/* Gossip: keeps the member table up to date over Rpc.
 *
 * Use:
 *  1. Rpc_Create(), then Gossip_Create(), which registers the handlers of
 *     kinds 1 to 3, then Rpc_Start().
 *  2. Gossip_Join() exchanges tables with the seeds or with hosts of the
 *     roster. It may raise this host's incarnation, so nothing may depend on
 *     the incarnation earlier; Rpc_GetIncarnation() returns the current one.
 *  3. Gossip_SetServers() whenever this host's backend servers change.
 *  4. Gossip_Leave() for a graceful shutdown, Rpc_Stop(), Gossip_Destroy(),
 *     Rpc_Destroy().
 * Readers pass the result of Gossip_GetMember() to the reader functions of
 * member/member.h.
 *
 * Threads: the prober thread pings and exchanges digests; it waits for acks
 * for at most one period. The timer thread ends suspicions and publishes
 * changes. Callbacks run on these threads, on the threads of Rpc or in
 * Gossip_Join() and Gossip_Leave(). They are called without any lock held and
 * must not block unless stated otherwise. Only Member_desc.notify is called
 * with the lock held; it must not call functions of this module.
 *
 * Errors: Gossip_Join() returns RESULT_RPC_TIMEOUT when no seed answered; the
 * prober thread keeps retrying.
 *
 * Limits: a payload from Gossip_desc.append_payload has at most
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
    /* Reads up to `max` roster entries and returns their number; may be NULL.
     * Called by Gossip_Join() and on the prober thread: at most once in 5 s
     * while no peer is alive, otherwise every 30 min. It may block. */
    uint32_t (*read_roster)(void *context, RpcPeer *entries, uint32_t max);
    /* Appends the payload of a ping or an ack to be sent; may be NULL. */
    void (*append_payload)(void *context, GByteArray *payload);
    /* Receives the payload of a ping or an ack; may be NULL. */
    void (*read_payload)(void *context, const RpcPeer *sender,
                         const GByteArray *payload);
    /* Called once when a later incarnation of this host is in the fleet: this
     * process must stop. May be NULL. */
    void (*superseded)(void *context);
    void *context;        /* passed to the callbacks above */
    int ack_timeout_ms;   /* 0 means 300 */
    int digest_period_ms; /* 0 means 10,000 */
} Gossip_desc;

Gossip *Gossip_Create(const Gossip_desc *desc);

/* Joins through the seeds or the roster and starts the threads. Returns
 * RESULT_OK also when there are no seeds and no roster entries (the first
 * host of a fleet). Tables are exchanged for up to timeout_ms. */
Result Gossip_Join(Gossip *gossip, int timeout_ms);

/* Returns the table for the reader functions of member/member.h. */
const Member *Gossip_GetMember(const Gossip *gossip);

Result Gossip_SetServers(Gossip *gossip, const MemberServer *servers,
                         uint32_t count);

/* Stops the threads, marks this host as left and notifies up to 8 hosts. The
 * handlers keep answering until Rpc_Stop(). */
void Gossip_Leave(Gossip *gossip, uint64_t successor);

/* Stops the threads without a leave record. Call Rpc_Stop() first. */
void Gossip_Destroy(Gossip *gossip);

/* Copies the counts of the table. */
void Gossip_Count(Gossip *gossip, MemberCounts *counts);

#endif
