/* RunRpc: XDR bodies of RPC kinds 20 and 21. */
#include "issue/run_rpc.h"

#include "issue/issue_wire.h"

/* Larger than the XDR form of every message in this file. */
#define MESSAGE_BYTES 128

static void
encode(xdrproc_t procedure, void *message, GByteArray *out)
{
    char buffer[MESSAGE_BYTES];
    XDR xdr;

    xdrmem_create(&xdr, buffer, sizeof(buffer), XDR_ENCODE);
    if (!procedure(&xdr, message)) {
        g_error("a message about a run token cannot be encoded");
    }
    g_byte_array_append(out, (const guint8 *)buffer, xdr_getpos(&xdr));
    xdr_destroy(&xdr);
}

/* The messages hold no pointers, so nothing needs to be freed. */
static Result
decode(xdrproc_t procedure, void *message, const void *bytes, size_t count)
{
    XDR xdr;
    gboolean is_complete;

    if (count > MESSAGE_BYTES) {
        return RESULT_MALFORMED;
    }
    xdrmem_create(&xdr, (char *)bytes, (u_int)count, XDR_DECODE);
    is_complete = procedure(&xdr, message) && xdr_getpos(&xdr) == count;
    xdr_destroy(&xdr);
    return is_complete ? RESULT_OK : RESULT_MALFORMED;
}

static RunWireToken
to_wire(const RunToken *token)
{
    return (RunWireToken){.owner = token->owner,
                          .incarnation = token->incarnation,
                          .serial = token->serial,
                          .team = token->team,
                          .route = token->route,
                          .valid_until = token->valid_until};
}

static RunToken
from_wire(const RunWireToken *wire)
{
    return (RunToken){.owner = wire->owner,
                      .incarnation = wire->incarnation,
                      .serial = wire->serial,
                      .team = wire->team,
                      .route = wire->route,
                      .valid_until = wire->valid_until};
}

void
RunRpc_EncodeMint(uint64_t team, uint64_t route, uint32_t count,
                  GByteArray *body)
{
    RunWireMint message = {.team = team, .route = route, .count = count};

    encode((xdrproc_t)xdr_RunWireMint, &message, body);
}

Result
RunRpc_ServeMint(RunTable *table, const void *body, size_t bytes, ClockMs now,
                 GByteArray *reply)
{
    RunWireMint message;
    RunWireMinted answer = {0};
    RunToken first = {0};
    Result result = decode((xdrproc_t)xdr_RunWireMint, &message, body, bytes);

    if (result != RESULT_OK) {
        return result;
    }
    if (message.count == 0 || message.count > RUN_RPC_MAX_TOKENS) {
        return RESULT_MALFORMED;
    }
    answer.result = (int)RunTable_Mint(table, message.team, message.route,
                                       message.count, now, &first);
    answer.first = to_wire(&first);
    answer.count = message.count;
    encode((xdrproc_t)xdr_RunWireMinted, &answer, reply);
    return RESULT_OK;
}

Result
RunRpc_DecodeMint(const void *reply, size_t bytes, RunToken *first,
                  uint32_t *count)
{
    RunWireMinted answer;
    Result result =
        decode((xdrproc_t)xdr_RunWireMinted, &answer, reply, bytes);

    if (result != RESULT_OK) {
        return result;
    }
    if (!Result_FromNumber(answer.result, &result) ||
        answer.count > RUN_RPC_MAX_TOKENS) {
        return RESULT_MALFORMED;
    }
    *first = from_wire(&answer.first);
    *count = answer.count;
    return result;
}

void
RunRpc_EncodeState(const RunToken *token, GByteArray *body)
{
    RunWireToken message = to_wire(token);

    encode((xdrproc_t)xdr_RunWireToken, &message, body);
}

Result
RunRpc_ServeState(RunTable *table, const void *body, size_t bytes, ClockMs now,
                  GByteArray *reply)
{
    RunWireToken message;
    RunWireState answer = {.result = RESULT_OK};
    RunToken token;
    Result result = decode((xdrproc_t)xdr_RunWireToken, &message, body, bytes);

    if (result != RESULT_OK) {
        return result;
    }
    token = from_wire(&message);
    answer.state = (int)RunTable_Void(table, &token, now);
    encode((xdrproc_t)xdr_RunWireState, &answer, reply);
    return RESULT_OK;
}

Result
RunRpc_DecodeState(const void *reply, size_t bytes, RunTokenState *state)
{
    RunWireState answer;
    Result result = decode((xdrproc_t)xdr_RunWireState, &answer, reply, bytes);

    if (result != RESULT_OK) {
        return result;
    }
    if (!Result_FromNumber(answer.result, &result) ||
        answer.state < RUN_TOKEN_FRESH || answer.state > RUN_TOKEN_UNKNOWN) {
        return RESULT_MALFORMED;
    }
    *state = (RunTokenState)answer.state;
    return result;
}
