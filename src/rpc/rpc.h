/* Rpc: authenticated ONC RPC over UDP between the daemons of a fleet.
 *
 * Use:
 *  1. Rpc_Create() with the host's id, incarnation, address and the fleet
 *     secret; it binds the socket. Rpc_GetPort() reads the bound port.
 *  2. Rpc_Handle() for each kind of message, then Rpc_Start().
 *  3. Rpc_Call() from any thread; bodies are XDR, see Rpc_Encode() and
 *     Rpc_Decode().
 *  4. Rpc_Stop() ends the server threads; calls fail from then on.
 *     Rpc_Destroy() when no call is running.
 *
 * Threads: pings and digests (kinds 1 and 3) run on the server thread and must
 * not block. Ping-requests (kind 2) run on 2 threads of their own, all kinds
 * from RPC_FIRST_WORKER_KIND on `workers` threads. Both thread pools have
 * bounded queues, so a slow handler never delays a ping; when a queue is full,
 * the message is dropped and the sender retransmits it. These threads are
 * registered with liburcu, so handlers may use rcu_read_lock(). A handler may
 * make calls itself if it is not on the server thread.
 *
 * Sessions: a message names its sender, the sender's incarnation and a
 * sequence number, all covered by an HMAC-SHA256. For each sender the receiver
 * keeps the highest incarnation and the last sequence numbers. A duplicate
 * (known sequence number) gets the cached reply; the handler runs once. A
 * reply is bound to its request by sequence number, receiver and kind.
 * Messages with a wrong MAC are dropped without a reply.
 *
 * Errors: Rpc_Call() returns the handler's Result, RESULT_RPC_TIMEOUT when no
 * valid reply was received (the handler may have run), RESULT_RPC_OLD_SESSION
 * when the peer knows a later incarnation of this host,
 * RESULT_RPC_WRONG_RECEIVER when the address belongs to another host or
 * incarnation than the one named (the handler did not run),
 * RESULT_RPC_REPLAYED when the receiver no longer knows whether it received
 * the message before, RESULT_RPC_UNKNOWN_KIND, RESULT_TOO_LARGE (body above
 * RPC_MAX_BODY_BYTES; not sent).
 *
 * Limits: IPv4; bodies up to RPC_MAX_BODY_BYTES; `max_peers` senders. When the
 * table of senders is full, a new sender replaces the least recently active
 * one, but only if that has sent nothing for 10 minutes; else the new sender
 * gets RESULT_FULL.
 */
#ifndef RPC_RPC_H
#define RPC_RPC_H

#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>
#include <tirpc/rpc/rpc.h>

#include "base/result.h"

#define RPC_MAX_BODY_BYTES 7936
#define RPC_FIRST_WORKER_KIND 10

/* rpcgen's output includes <rpc/rpc.h>, which resolves to this file and not to
 * libtirpc's header of the same name. Therefore this file includes libtirpc's
 * header. */

/* Kinds of messages. Numbers never change their meaning. */
enum {
    RPC_KIND_PING = 1,
    RPC_KIND_PING_REQUEST = 2,
    RPC_KIND_DIGEST = 3,
    RPC_KIND_DRAW = 10,
    RPC_KIND_SETTLE = 11,
    RPC_KIND_PERMIT = 12,
    RPC_KIND_QUOTA_DRAW = 13,
    RPC_KIND_QUOTA_HANDOVER = 14,
    RPC_KIND_MINT_TOKEN = 20,
    RPC_KIND_TOKEN_STATE = 21,
    RPC_KIND_ATTEMPT_STATE = 22,
    RPC_KIND_ATTEMPT_VOID = 23,
    RPC_KIND_DEPARTURE_KEEP = 24,
    RPC_KIND_DEPARTURE_COLLECT = 25,
    RPC_KIND_DEPARTURE_RETURN = 26,
    RPC_KIND_VERSION_NOTICE = 30,
    RPC_KIND_KEY_WITHDRAWAL = 31,
    RPC_KIND_LIMIT = 64 /* kinds are below this number */
};

typedef struct Rpc Rpc;

/* Destination of a call, or sender of a message. */
typedef struct RpcPeer {
    uint64_t host;        /* host id; in a call, 0 means any host */
    uint64_t incarnation; /* in a call, 0 means any incarnation */
    uint32_t ip;          /* IPv4 in host byte order */
    uint16_t port;
} RpcPeer;

/* Handles one message. `reply` is empty and may be filled with up to
 * RPC_MAX_BODY_BYTES. The result is sent to the caller. */
typedef Result (*RpcHandler)(void *context, const RpcPeer *sender,
                             const GByteArray *body, GByteArray *reply);

typedef struct Rpc_desc {
    uint64_t host; /* id of this host, not 0 */
    uint64_t incarnation;
    const char *address; /* numeric IPv4; NULL means 127.0.0.1 */
    uint16_t port;       /* 0: the kernel chooses */
    const void *secret;  /* fleet secret, copied */
    size_t secret_bytes; /* at least 16 */
    uint32_t max_peers;  /* 0 means 10,240 */
    uint32_t workers;    /* 0 means 2 */
    uint32_t handles;    /* cached client handles; 0 means 64 */
    int retransmit_ms;   /* first retransmit interval, which then doubles; 0
                            means 150 */
    gboolean _accept_old_sessions; /* disables the check of incarnations, only
                                      for its test */
} Rpc_desc;

/* Binds the socket. Returns NULL with *error set on failure. */
Rpc *Rpc_Create(const Rpc_desc *desc, GError **error);
uint16_t Rpc_GetPort(const Rpc *rpc);

/* Sets the handler of a kind. Must be called before Rpc_Start(). */
void Rpc_Handle(Rpc *rpc, uint32_t kind, RpcHandler handler, void *context);

/* Starts the server threads. Returns FALSE with *error set on failure. */
gboolean Rpc_Start(Rpc *rpc, GError **error);

/* Ends the server threads when the running and the queued handlers have
 * returned. May be called more than once. */
void Rpc_Stop(Rpc *rpc);
void Rpc_Destroy(Rpc *rpc);

/* Returns the peer at an address, with host and incarnation 0 (any). */
RpcPeer Rpc_PeerAt(const struct sockaddr_in *address);

/* Calls a peer and waits up to timeout_ms, retransmissions included. `body`
 * may be NULL (empty); `reply` may be NULL (discarded). */
Result Rpc_Call(Rpc *rpc, const RpcPeer *peer, uint32_t kind,
                const GByteArray *body, GByteArray *reply, int timeout_ms);

/* Same as Rpc_Call(). Whenever a valid reply is received, whatever its result,
 * *responder is set to the id, incarnation and address of the host that
 * replied. */
Result Rpc_CallWithResponder(Rpc *rpc, const RpcPeer *peer, uint32_t kind,
                             const GByteArray *body, GByteArray *reply,
                             int timeout_ms, RpcPeer *responder);

/* Records that the host has at least this incarnation, as known from another
 * source (a member record). From now on messages of earlier incarnations are
 * refused. */
void Rpc_RecordIncarnation(Rpc *rpc, uint64_t host, uint64_t incarnation);

/* Returns the highest incarnation of this host that a peer reported when it
 * refused a message with RESULT_RPC_OLD_SESSION; 0 if none did. */
uint64_t Rpc_GetRefusedIncarnation(const Rpc *rpc);

/* Replaces the incarnation of this host. Allowed only while the host joins,
 * before anything refers to the previous incarnation. */
void Rpc_SetIncarnation(Rpc *rpc, uint64_t incarnation);
uint64_t Rpc_GetIncarnation(const Rpc *rpc);

/* Appends the XDR encoding of *value. Returns FALSE if it exceeds
 * RPC_MAX_BODY_BYTES. */
gboolean Rpc_Encode(GByteArray *body, xdrproc_t proc, const void *value);

/* Decodes a body into the zeroed *value, which is released with
 * xdr_free(proc, value). Returns FALSE, with nothing to release, if the body
 * is truncated or has bytes after the value. */
gboolean Rpc_Decode(const GByteArray *body, xdrproc_t proc, void *value);

#endif
