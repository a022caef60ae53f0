/* Rpc: authenticated ONC RPC over UDP between the daemons of a fleet.
 *
 * Use:
 *  1. Rpc_Create() with the host's id, incarnation, address and the fleet
 *     secret; it binds the socket. Rpc_GetPort() reads the bound port.
 *  2. Rpc_Handle() for each kind of message, then Rpc_Start().
 *  3. Rpc_Call() from any thread; bodies are XDR, see Rpc_Encode() and
 *     Rpc_Decode().
 *  4. Rpc_Stop() ends the server threads; calls fail from then on.
 *     Rpc_Destroy() once no thread makes a call any more.
 *
 * Threads: pings and digests (kinds 1 and 3) run on the server thread and must
 * not block. Ping-requests (kind 2) run on 2 threads of their own, all kinds
 * from RPC_FIRST_WORKER_KIND on `workers` threads. Both stand behind bounded
 * queues, so a slow handler never delays a ping; when a queue is full a
 * message is dropped and the sender sends it again. These threads are
 * registered with liburcu, so handlers may use rcu_read_lock(). A handler may
 * make calls itself if it is not on the server thread.
 *
 * Sessions: a message names its sender, the sender's incarnation and a
 * sequence number, all covered by an HMAC-SHA256. For each sender the receiver
 * keeps the highest incarnation and the last sequence numbers. A repeated
 * sequence number gets the cached reply; the handler runs once. A reply is
 * bound to its request by sequence number, receiver and kind. Messages with a
 * wrong MAC are dropped without an answer.
 *
 * Errors: Rpc_Call() returns the handler's Result, RESULT_RPC_TIMEOUT when no
 * valid reply came (the handler may have run), RESULT_RPC_OLD_SESSION when the
 * peer knows a later incarnation of this host, RESULT_RPC_WRONG_RECEIVER when
 * the address belongs to another host or incarnation than the one named
 * (the handler did not run), RESULT_RPC_REPLAYED when the receiver no longer
 * knows whether it saw the message, RESULT_RPC_UNKNOWN_KIND,
 * RESULT_TOO_LARGE (body above RPC_MAX_BODY_BYTES; not sent).
 *
 * Limits: IPv4; bodies up to RPC_MAX_BODY_BYTES; `max_peers` senders. A peer
 * that was heard least recently is forgotten only after 10 minutes; until then
 * an unknown sender gets RESULT_FULL.
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

/* <rpc/rpc.h>, which rpcgen's output includes, finds this file in place of
 * libtirpc's header of the same name; both are therefore included by this one.
 */

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
    RPC_KIND_LOAD = 22,
    RPC_KIND_VERSION_NOTICE = 30,
    RPC_KIND_KEY_WITHDRAWAL = 31,
    RPC_KIND_LIMIT = 64 /* kinds are below this number */
};

typedef struct Rpc Rpc;

/* Where a call goes, or where a message came from. */
typedef struct RpcPeer {
    uint64_t host;        /* host id; 0 in a call means any host */
    uint64_t incarnation; /* 0 in a call means any incarnation */
    uint32_t ip;          /* IPv4 in host byte order */
    uint16_t port;
} RpcPeer;

/* Handles one message. `reply` is empty at first and may be filled with up to
 * RPC_MAX_BODY_BYTES. The result goes to the caller. */
typedef Result (*RpcHandler)(void *context, const RpcPeer *sender,
                             const GByteArray *body, GByteArray *reply);

typedef struct Rpc_desc {
    uint64_t host; /* own host id, not 0 */
    uint64_t incarnation;
    const char *address; /* numeric IPv4; NULL means 127.0.0.1 */
    uint16_t port;       /* 0 means the kernel's choice */
    const void *secret;  /* fleet secret, copied */
    size_t secret_bytes; /* at least 16 */
    uint32_t max_peers;  /* 0 means 10,240 */
    uint32_t workers;    /* 0 means 2 */
    uint32_t handles;    /* cached client handles; 0 means 64 */
    int retransmit_ms;   /* first retransmission; 0 means 150; doubles */
    gboolean _accept_old_sessions; /* only for the test of the check */
} Rpc_desc;

/* Binds the socket. NULL with *error set when that fails. */
Rpc *Rpc_Create(const Rpc_desc *desc, GError **error);
uint16_t Rpc_GetPort(const Rpc *rpc);

/* Sets the handler of a kind. Call it before Rpc_Start(). */
void Rpc_Handle(Rpc *rpc, uint32_t kind, RpcHandler handler, void *context);

/* Starts the server threads. FALSE with *error set on failure. */
gboolean Rpc_Start(Rpc *rpc, GError **error);

/* Ends the server threads after the handlers that run now; may be called more
 * than once. */
void Rpc_Stop(Rpc *rpc);
void Rpc_Destroy(Rpc *rpc);

/* The peer at an address; any incarnation, and any host until .host is set. */
RpcPeer Rpc_PeerAt(const struct sockaddr_in *address);

/* Calls a peer and waits up to timeout_ms in all, with retransmissions.
 * `body` may be NULL (empty); `reply` may be NULL (dropped). */
Result Rpc_Call(Rpc *rpc, const RpcPeer *peer, uint32_t kind,
                const GByteArray *body, GByteArray *reply, int timeout_ms);

/* Same; *responder gets the id, incarnation and address of the host that
 * replied. It is written whenever a valid reply came, whatever its result. */
Result Rpc_CallFor(Rpc *rpc, const RpcPeer *peer, uint32_t kind,
                   const GByteArray *body, GByteArray *reply, int timeout_ms,
                   RpcPeer *responder);

/* Tells that the host has at least this incarnation, as known from elsewhere
 * (a member record); messages of earlier ones are refused from now on. */
void Rpc_NoteIncarnation(Rpc *rpc, uint64_t host, uint64_t incarnation);

/* Highest incarnation of this host's own id that a peer named when it refused
 * a message as one of an old session; 0 if none did. */
uint64_t Rpc_GetRefusedIncarnation(const Rpc *rpc);

/* Replaces the own incarnation; only while joining, before anything was bound
 * to the former one. */
void Rpc_SetIncarnation(Rpc *rpc, uint64_t incarnation);
uint64_t Rpc_GetIncarnation(const Rpc *rpc);

/* Appends the XDR encoding of *value; FALSE when it exceeds
 * RPC_MAX_BODY_BYTES. */
gboolean Rpc_Encode(GByteArray *body, xdrproc_t proc, const void *value);

/* Decodes into the zeroed *value, which is released with
 * xdr_free(proc, value). FALSE (and nothing to release) for a body that is
 * truncated or has bytes left over. */
gboolean Rpc_Decode(const GByteArray *body, xdrproc_t proc, void *value);

#endif
