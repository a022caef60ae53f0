#include "attempt/attempt_rpc.h"

#include "base/counter.h"

typedef struct Question {
    uint64_t id;
    int64_t elapsed_ms;
} Question;

static bool_t
xdr_question(XDR *stream, Question *question)
{
    return xdr_uint64_t(stream, &question->id) &&
           xdr_int64_t(stream, &question->elapsed_ms);
}

static AttemptAsk
read_reply(const GByteArray *reply)
{
    int32_t state = ATTEMPT_UNKNOWN;

    if (!Rpc_Decode(reply, (xdrproc_t)xdr_int32_t, &state)) {
        return ATTEMPT_ASK_UNKNOWN;
    }
    switch (state) {
    case ATTEMPT_NOT_SEEN:
        return ATTEMPT_ASK_NOT_SEEN;
    case ATTEMPT_SEEN:
        return ATTEMPT_ASK_SEEN;
    default:
        return ATTEMPT_ASK_UNKNOWN;
    }
}

static AttemptAsk
ask(Rpc *rpc, const RpcPeer *owner, uint64_t id, ClockMs sent, int timeout_ms)
{
    ClockMs asked = Clock_Now();
    Question question = {.id = id, .elapsed_ms = asked - sent};
    GByteArray *body = g_byte_array_new();
    GByteArray *reply = g_byte_array_new();
    AttemptAsk outcome = ATTEMPT_ASK_UNKNOWN;
    Result result = RESULT_TOO_LARGE;

    if (Rpc_Encode(body, (xdrproc_t)xdr_question, &question)) {
        result = Rpc_Call(rpc, owner, RPC_KIND_ATTEMPT_VOID, body, reply,
                          timeout_ms);
    }
    if (result == RESULT_OK && Clock_Now() - asked <= ATTEMPT_MAX_TRANSIT_MS) {
        outcome = read_reply(reply);
    }
    else if (result == RESULT_RPC_TIMEOUT) {
        outcome = ATTEMPT_ASK_NO_REPLY;
    }
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
    return outcome;
}

AttemptAsk
AttemptRpc_Ask(Rpc *rpc, const RpcPeer *owner, uint64_t id, ClockMs sent,
               int timeout_ms)
{
    AttemptAsk outcome = ask(rpc, owner, id, sent, timeout_ms);

    Counter_Add(COUNTER_ATTEMPTS_NOT_SEEN, outcome == ATTEMPT_ASK_NOT_SEEN);
    Counter_Add(COUNTER_ATTEMPTS_SEEN, outcome == ATTEMPT_ASK_SEEN);
    Counter_Add(COUNTER_ATTEMPTS_UNKNOWN, outcome == ATTEMPT_ASK_UNKNOWN);
    Counter_Add(COUNTER_ATTEMPTS_NO_REPLY, outcome == ATTEMPT_ASK_NO_REPLY);
    return outcome;
}

const char *
AttemptRpc_AskName(AttemptAsk ask)
{
    static const char *const names[] = {"none", "not_seen", "seen", "unknown",
                                        "no_reply"};

    return (size_t)ask < G_N_ELEMENTS(names) ? names[ask] : "?";
}

static Result
serve_question(void *context, const RpcPeer *sender, const GByteArray *body,
               GByteArray *reply)
{
    AttemptLog *log = context;
    Question question = {0};
    int32_t state;

    (void)sender;
    if (!Rpc_Decode(body, (xdrproc_t)xdr_question, &question)) {
        return RESULT_MALFORMED;
    }
    state = (int32_t)AttemptLog_Ask(log, question.id, question.elapsed_ms,
                                    Clock_Now());
    return Rpc_Encode(reply, (xdrproc_t)xdr_int32_t, &state) ? RESULT_OK
                                                             : RESULT_INTERNAL;
}

void
AttemptRpc_Serve(Rpc *rpc, AttemptLog *log)
{
    Rpc_Handle(rpc, RPC_KIND_ATTEMPT_VOID, serve_question, log);
}
