/* Fuzz target of the decoder of RpcSealed messages. Each input is tried twice:
 * unchanged, when its MAC must never be valid, and with a valid MAC, so that
 * it reaches the checks of the session. */
#include <stdlib.h>
#include <string.h>

#include "rpc/rpc.h"
#include "rpc/seal.h"
#include "rpc/session.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static unsigned char key[] = "sixteen bytes or more";

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static RpcSession *session;
    const RpcSecret secret = {.bytes = key, .length = sizeof(key)};
    RpcSealed message = {.header = {0}};
    GByteArray *body;
    GByteArray *reply;
    Result result;

    if (size > RPC_MAX_BODY_BYTES) {
        return 0;
    }
    if (session == NULL) {
        session = RpcSession_Create(64, FALSE);
    }
    body = g_byte_array_new();
    reply = g_byte_array_new();
    g_byte_array_append(body, data, (guint)size);
    if (Rpc_Decode(body, (xdrproc_t)xdr_RpcSealed, &message)) {
        if (RpcSeal_IsValid(&secret, &message)) {
            abort();
        }
        RpcSeal_SetMac(&secret, &message);
        if (!RpcSeal_IsValid(&secret, &message)) {
            abort();
        }
        if (RpcSession_Accept(session, 1000, message.header.sender,
                              message.header.sender_incarnation,
                              message.header.sequence, &result,
                              reply) == RPC_ACCEPT_RUN) {
            RpcSession_Store(session, message.header.sender,
                             message.header.sender_incarnation,
                             message.header.sequence, RESULT_OK, body);
        }
        xdr_free((xdrproc_t)xdr_RpcSealed, &message);
    }
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
    return 0;
}
