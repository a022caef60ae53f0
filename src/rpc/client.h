/* RpcClient: cached libtirpc client handles.
 *
 * Use: RpcClient_Exchange() sends a sealed request and waits for the answer.
 * A handle belongs to one address and is used by one thread at a time. When
 * all places are taken, the idle handle that was used least recently is
 * closed; when all are in use, the call waits for one within its timeout.
 *
 * The request is sealed by the callback `seal` once there is a handle to send
 * it with. A sequence number taken before a wait for a handle could fall below
 * the receiver's window meanwhile.
 *
 * Limits: the reply is not authenticated here. libtirpc sends the request
 * again after retransmit_ms, then after twice that time, and so on.
 */
#ifndef RPC_CLIENT_H
#define RPC_CLIENT_H

#include <glib.h>

#include "rpc/rpc_wire.h"

typedef struct RpcClient RpcClient;

RpcClient *RpcClient_Create(uint32_t max_handles, int retransmit_ms);
void RpcClient_Destroy(RpcClient *client);

typedef struct RpcExchange {
    uint32_t ip;
    uint16_t port;
    int timeout_ms;
    RpcSealed *request;
    void (*seal)(void *context, RpcSealed *request);
    void *context;
} RpcExchange;

/* FALSE when no answer came. On TRUE, *reply is released with xdr_free(). */
gboolean RpcClient_Exchange(RpcClient *client, const RpcExchange *exchange,
                            RpcSealed *reply);

#endif
