#include "rpc/seal.h"

#include <string.h>

#define HEADER_BYTES 56

static void
compute(const RpcSecret *secret, const RpcSealed *message,
        unsigned char mac[RPC_MAC_BYTES])
{
    char encoded[HEADER_BYTES];
    RpcHeader header = message->header;
    gsize length = RPC_MAC_BYTES;
    GHmac *hmac;
    XDR xdr;

    xdrmem_create(&xdr, encoded, sizeof(encoded), XDR_ENCODE);
    if (!xdr_RpcHeader(&xdr, &header) || xdr_getpos(&xdr) != sizeof(encoded)) {
        g_error("the sealed header is not %d bytes long", HEADER_BYTES);
    }
    xdr_destroy(&xdr);
    hmac = g_hmac_new(G_CHECKSUM_SHA256, secret->bytes, secret->length);
    g_hmac_update(hmac, (const guchar *)encoded, sizeof(encoded));
    if (message->body.body_len > 0) {
        g_hmac_update(hmac, (const guchar *)message->body.body_val,
                      (gssize)message->body.body_len);
    }
    g_hmac_get_digest(hmac, mac, &length);
    g_hmac_unref(hmac);
}

void
RpcSeal_SetMac(const RpcSecret *secret, RpcSealed *message)
{
    unsigned char mac[RPC_MAC_BYTES];

    message->header.body_bytes = message->body.body_len;
    compute(secret, message, mac);
    memcpy(message->mac, mac, sizeof(mac));
}

gboolean
RpcSeal_IsValid(const RpcSecret *secret, const RpcSealed *message)
{
    unsigned char mac[RPC_MAC_BYTES];
    unsigned difference = 0;

    if (message->header.body_bytes != message->body.body_len) {
        return FALSE;
    }
    compute(secret, message, mac);
    for (size_t i = 0; i < sizeof(mac); i++) {
        difference |= mac[i] ^ (unsigned char)message->mac[i];
    }
    return difference == 0;
}
