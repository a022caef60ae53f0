/* RpcSeal: the MAC of a message.
 *
 * Use: fill the header and body of an RpcSealed, then call RpcSeal_SetMac().
 * The receiver calls RpcSeal_IsValid() before it reads the message.
 *
 * The MAC is HMAC-SHA256 over the XDR encoding of the header (of fixed size)
 * followed by the body. The header holds the direction, so that a request
 * cannot be sent back as a reply.
 */
#ifndef RPC_SEAL_H
#define RPC_SEAL_H

#include <glib.h>

#include "rpc/rpc_wire.h"

/* Encoded size of an RpcSealed without its body. */
#define RPC_SEAL_BYTES 92

typedef struct RpcSecret {
    unsigned char *bytes;
    size_t length;
} RpcSecret;

/* Sets header.body_bytes and mac. */
void RpcSeal_SetMac(const RpcSecret *secret, RpcSealed *message);

/* Verifies the MAC. The comparison takes constant time. */
gboolean RpcSeal_IsValid(const RpcSecret *secret, const RpcSealed *message);

#endif
