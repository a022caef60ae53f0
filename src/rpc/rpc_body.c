#include "rpc/rpc.h"

gboolean
Rpc_Encode(GByteArray *body, xdrproc_t proc, const void *value)
{
    char encoded[RPC_MAX_BODY_BYTES];
    gboolean is_encoded;
    XDR xdr;

    xdrmem_create(&xdr, encoded, sizeof(encoded), XDR_ENCODE);
    is_encoded = proc(&xdr, (void *)value, 0);
    if (is_encoded) {
        g_byte_array_append(body, (const guint8 *)encoded, xdr_getpos(&xdr));
    }
    xdr_destroy(&xdr);
    return is_encoded;
}

gboolean
Rpc_Decode(const GByteArray *body, xdrproc_t proc, void *value)
{
    gboolean is_decoded;
    XDR xdr;

    xdrmem_create(&xdr, (char *)body->data, body->len, XDR_DECODE);
    is_decoded = proc(&xdr, value, 0) && xdr_getpos(&xdr) == body->len;
    xdr_destroy(&xdr);
    if (!is_decoded) {
        xdr_free(proc, value);
    }
    return is_decoded;
}
