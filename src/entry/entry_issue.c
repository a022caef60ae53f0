#include <jansson.h>
#include <string.h>

#include "base/counter.h"
#include "entry/entry_internal.h"
#include "issue/run_rpc.h"

#define MINT_TIMEOUT_MS 500
#define STATE_TIMEOUT_MS 300

/* Number of hosts that are queried for the run table of a former incarnation
 * of the owner. */
#define MAX_SUCCESSORS 3

/* Number of queries for the state of a token, if each of them times out. */
#define MAX_STATE_QUERIES 5

/* Number of times that one token is presented while its answers are lost. */
#define MAX_PRESENTATIONS 4

static int
time_left(const EntryRequest *request, int max_ms)
{
    ClockMs left = request->deadline - Clock_Now();

    return (int)CLAMP(left, 1, max_ms);
}

Result
_Entry_Mint(EntryRequest *request, const EntryTarget *target, uint32_t count,
            RunToken *first, uint32_t *minted)
{
    Entry *entry = request->entry;
    GByteArray *body;
    GByteArray *reply;
    Result result;

    if (target->is_local) {
        *minted = count;
        return RunTable_Mint(entry->desc.runs, request->team_hash,
                             request->route_hash, count, Clock_Now(), first);
    }
    body = g_byte_array_new();
    reply = g_byte_array_new();
    RunRpc_EncodeMint(request->team_hash, request->route_hash, count, body);
    result = Rpc_Call(entry->desc.rpc, &target->rpc, RPC_KIND_MINT_TOKEN, body,
                      reply, time_left(request, MINT_TIMEOUT_MS));
    if (result == RESULT_OK) {
        result = RunRpc_DecodeMint(reply->data, reply->len, first, minted);
    }
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
    return result;
}

static void
format_token(const EntryRequest *request, const RunToken *token, char *text)
{
    const char *secret = request->entry->desc.settings->fleet_secret;

    RunToken_Format(token, secret, strlen(secret), text);
}

/* Queries the owner for the state of the token, which voids a token that has
 * not started. */
static Result
query_token_state(EntryRequest *request, const EntryTarget *target,
                  RunTokenState *state)
{
    Entry *entry = request->entry;
    GByteArray *body;
    GByteArray *reply;
    Result result;

    if (target->is_local) {
        *state = RunTable_Void(entry->desc.runs, &request->token, Clock_Now());
        return RESULT_OK;
    }
    body = g_byte_array_new();
    reply = g_byte_array_new();
    RunRpc_EncodeState(&request->token, body);
    result = Rpc_Call(entry->desc.rpc, &target->rpc, RPC_KIND_TOKEN_STATE,
                      body, reply, time_left(request, STATE_TIMEOUT_MS));
    if (result == RESULT_OK) {
        result = RunRpc_DecodeState(reply->data, reply->len, state);
    }
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
    return result;
}

/* FALSE if the reply leaves open whether the token has run or will run. */
static gboolean
is_conclusive(const OwnerReply *reply)
{
    switch (reply->result) {
    case RESULT_ANSWER_LOST:
    case RESULT_ANSWER_TRUNCATED:
    case RESULT_ANSWER_MISMATCH:
    case RESULT_CONNECTION_SILENT:
    case RESULT_CONNECT_FAILED:
        return FALSE;
    default:
        return TRUE;
    }
}

/* Presents the token until the outcome is known or a limit is reached. The run
 * state of the reply is final: "no" only if the token cannot run any more. */
static void
present_token(EntryRequest *request, const EntryTarget *target,
              OwnerReply *reply)
{
    RunTokenState state = RUN_TOKEN_UNKNOWN;
    Result query_result = RESULT_OK;
    int queries;

    for (int i = 0; i < MAX_PRESENTATIONS; i++) {
        HttpAnswer_Clear(&reply->answer);
        _Entry_Attempt(request, target, reply);
        /* A token that was minted for this request and has not been sent yet
         * cannot run anywhere. */
        if (is_conclusive(reply) ||
            (i == 0 && reply->run == RUN_NO && !request->is_caller_token)) {
            return;
        }
        queries = 0;
        do {
            query_result = query_token_state(request, target, &state);
        } while (query_result == RESULT_RPC_TIMEOUT &&
                 ++queries < MAX_STATE_QUERIES &&
                 Clock_Now() < request->deadline);
        if (query_result != RESULT_OK || state == RUN_TOKEN_UNKNOWN) {
            break;
        }
        if (state == RUN_TOKEN_VOID) {
            reply->result =
                request->is_caller_token ? RESULT_TOKEN_VOID : reply->result;
            reply->run = RUN_NO;
            return;
        }
    }
    HttpAnswer_Clear(&reply->answer);
    reply->result = RESULT_OUTCOME_UNKNOWN;
    reply->run = RUN_UNKNOWN;
}

static void
run_with_caller_token(EntryRequest *request, OwnerReply *reply)
{
    EntryTarget target;

    if (_Entry_TokenTarget(request, 0, &target)) {
        present_token(request, &target, reply);
        if (reply->result != RESULT_OUTCOME_UNKNOWN) {
            return;
        }
    }
    for (unsigned n = 1; n <= MAX_SUCCESSORS; n++) {
        if (_Entry_TokenTarget(request, n, &target)) {
            HttpAnswer_Clear(&reply->answer);
            _Entry_Attempt(request, &target, reply);
            if (reply->result == RESULT_OK ||
                reply->result == RESULT_BACKEND_SERVER_ERROR ||
                reply->result == RESULT_TOKEN_VOID ||
                reply->result == RESULT_TOKEN_EXPIRED) {
                return;
            }
        }
    }
    HttpAnswer_Clear(&reply->answer);
    reply->result = RESULT_OUTCOME_UNKNOWN;
    reply->run = RUN_UNKNOWN;
    atomic_store(&request->run, RUN_UNKNOWN);
}

void
_Entry_RunIssuance(EntryRequest *request, OwnerReply *reply)
{
    char text[RUN_TOKEN_TEXT_BYTES];
    EntryTarget target;
    uint32_t minted;

    memset(reply, 0, sizeof(*reply));
    if (request->is_caller_token) {
        run_with_caller_token(request, reply);
        return;
    }
    reply->result = _Entry_ChooseTarget(request, &target);
    if (reply->result != RESULT_OK) {
        return;
    }
    reply->result = _Entry_Mint(request, &target, 1, &request->token, &minted);
    if (reply->result != RESULT_OK) {
        pthread_mutex_lock(&request->entry->lock);
        Route_End(request->entry->route, target.backend_server, NULL,
                  Clock_Now());
        Route_ConnectFailed(request->entry->route, target.host, Clock_Now());
        pthread_mutex_unlock(&request->entry->lock);
        reply->result = RESULT_CONNECT_FAILED;
    }
    else {
        format_token(request, &request->token, text);
        if (_Entry_SetToken(request, text)) {
            present_token(request, &target, reply);
        }
    }
    if (reply->run == RUN_NO) {
        _Entry_Exclude(request, &target);
    }
    atomic_store(&request->run, reply->run);
}

void
_Entry_ServeRunTokens(EntryRequest *request)
{
    char token_text[RUN_TOKEN_TEXT_BYTES];
    char *count_text = HttpRequest_Argument(request->http, "count");
    guint64 count = 0;
    json_t *tokens = json_array();
    HttpAnswer answer = {0};
    EntryTarget target;
    RunToken token;
    uint32_t minted = 0;
    Result result = RESULT_OK;
    json_t *body;
    char *text;

    if (!request->issuance || count_text == NULL ||
        !g_ascii_string_to_unsigned(count_text, 10, 1, RUN_RPC_MAX_TOKENS,
                                    &count, NULL)) {
        result = RESULT_REQUEST_INVALID;
    }
    if (result == RESULT_OK) {
        result = _Entry_ChooseTarget(request, &target);
    }
    if (result == RESULT_OK) {
        result =
            _Entry_Mint(request, &target, (uint32_t)count, &token, &minted);
        pthread_mutex_lock(&request->entry->lock);
        Route_End(request->entry->route, target.backend_server, NULL,
                  Clock_Now());
        pthread_mutex_unlock(&request->entry->lock);
    }
    for (uint32_t i = 0; i < minted && result == RESULT_OK; i++) {
        format_token(request, &token, token_text);
        json_array_append_new(tokens, json_string(token_text));
        token.serial++;
    }
    if (result == RESULT_OK) {
        body = json_pack("{s:O}", "tokens", tokens);
        text = json_dumps(body, JSON_COMPACT);
        HttpAnswer_SetJson(&answer, 200, g_strdup(text));
        free(text);
        json_decref(body);
    }
    else {
        Counter_Refusal(result);
        HttpAnswer_SetRefusal(&answer, result, RUN_NO, request->id, NULL);
    }
    HttpRequest_Respond(request->http, &answer);
    json_decref(tokens);
    g_free(count_text);
}
