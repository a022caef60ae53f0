/* RpcClient: cached libtirpc client handles.
 *
 * Use: RpcClient_Exchange() sends a sealed request and waits for the answer.
 * A handle belongs to one address and is used by one thread at a time. When
 * max_handles are open, the least recently used idle handle is closed; when
 * all are in use, the call waits for one within its timeout.
 *
 * The callback `seal` assigns the sequence number and the MAC after the call
 * has obtained a handle. If the number were assigned before a wait for a
 * handle, it could fall below the receiver's window during the wait.
 *
 * Limits: the reply is not authenticated here. libtirpc retransmits the
 * request after retransmit_ms; the interval then doubles each time.
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

/* Returns FALSE if no reply was received. After TRUE, release *reply with
 * xdr_free(). */
gboolean RpcClient_Exchange(RpcClient *client, const RpcExchange *exchange,
                            RpcSealed *reply);

#endif
