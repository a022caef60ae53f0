/* RpcSeal: the sealed message's MAC.
 *
 * Use: fill the header and body of an RpcSealed, then RpcSeal_Close(); the
 * receiver calls RpcSeal_IsValid() before it reads anything else.
 *
 * The MAC is HMAC-SHA256 over the XDR encoding of the header (of fixed size)
 * followed by the body. The header holds the direction, so that a request
 * cannot be sent back as a reply.
 */
#ifndef RPC_SEAL_H
#define RPC_SEAL_H

#include <glib.h>

#include "rpc/rpc_wire.h"

/* Bytes of a sealed message without its body. */
#define RPC_SEAL_BYTES 92

typedef struct RpcSecret {
    unsigned char *bytes;
    size_t length;
} RpcSecret;

/* Sets header.body_bytes and mac. */
void RpcSeal_Close(const RpcSecret *secret, RpcSealed *message);

/* The comparison takes the same time for every wrong MAC. */
gboolean RpcSeal_IsValid(const RpcSecret *secret, const RpcSealed *message);

#endif
