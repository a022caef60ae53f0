/* RpcServer: the UDP socket that receives calls, and its thread.
 *
 * Use: RpcServer_Create() binds the socket, RpcServer_Start() starts the
 * thread, which passes each decoded message to `receive`. RpcServer_Send()
 * sends a reply from any thread. RpcServer_Stop() wakes the thread by an
 * eventfd and ends it.
 *
 * libtirpc's transport handle serves one call at a time, and its reply buffer
 * belongs to the thread that received the call. RpcServer_Send() therefore
 * encodes the reply itself, so that worker threads can send it later.
 *
 * Limits: IPv4. Messages that cannot be decoded are counted and dropped.
 */
#ifndef RPC_SERVER_H
#define RPC_SERVER_H

#include <glib.h>

#include "rpc/rpc_wire.h"

typedef struct RpcServer RpcServer;

/* Transaction id and address to which the reply to a call is sent. */
typedef struct RpcReplyAddress {
    uint32_t xid;
    uint32_t ip;
    uint16_t port;
} RpcReplyAddress;

typedef struct RpcServer_desc {
    const char *address; /* numeric IPv4 */
    uint16_t port;       /* 0: the kernel chooses */
    /* Called on the server thread for each message, which is valid during the
     * call. */
    void (*receive)(void *context, const RpcSealed *message,
                    const RpcReplyAddress *reply_to);
    void *context;
} RpcServer_desc;

RpcServer *RpcServer_Create(const RpcServer_desc *desc, GError **error);
uint16_t RpcServer_GetPort(const RpcServer *server);
gboolean RpcServer_Start(RpcServer *server, GError **error);
void RpcServer_Stop(RpcServer *server);
void RpcServer_Destroy(RpcServer *server);
void RpcServer_Send(RpcServer *server, const RpcReplyAddress *reply_to,
                    const RpcSealed *reply);

#endif
