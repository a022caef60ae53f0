/* RpcServer: the UDP socket on which calls arrive, and its thread.
 *
 * Use: RpcServer_Create() binds, RpcServer_Start() runs the thread, which
 * passes each decoded message to `receive`. RpcServer_Send() answers from any
 * thread. RpcServer_Stop() ends the thread by an eventfd.
 *
 * libtirpc's transport handle serves one call at a time, and its reply buffer
 * belongs to the thread that received the call. RpcServer_Send() therefore
 * encodes the reply itself, so that workers can answer later.
 *
 * Limits: IPv4. Messages that cannot be decoded are counted and dropped.
 */
#ifndef RPC_SERVER_H
#define RPC_SERVER_H

#include <glib.h>

#include "rpc/rpc_wire.h"

typedef struct RpcServer RpcServer;

/* Where the reply to a call goes. */
typedef struct RpcReturn {
    uint32_t xid;
    uint32_t ip;
    uint16_t port;
} RpcReturn;

typedef struct RpcServer_desc {
    const char *address; /* numeric IPv4 */
    uint16_t port;       /* 0 = the kernel's choice */
    /* Takes a message on the server thread; `message` is valid during the
     * call. */
    void (*receive)(void *context, const RpcSealed *message,
                    const RpcReturn *back);
    void *context;
} RpcServer_desc;

RpcServer *RpcServer_Create(const RpcServer_desc *desc, GError **error);
uint16_t RpcServer_GetPort(const RpcServer *server);
gboolean RpcServer_Start(RpcServer *server, GError **error);
void RpcServer_Stop(RpcServer *server);
void RpcServer_Destroy(RpcServer *server);
void RpcServer_Send(RpcServer *server, const RpcReturn *back,
                    const RpcSealed *reply);

#endif
