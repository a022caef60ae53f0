#include <string.h>

#include "backend/backend.h"

/* A pooled connection that was idle for longer is not used for a request that
 * must not run twice: the backend server may have closed it, and then it is
 * unknown whether the request ran. */
#define MAX_IDLE_MS 3000

/* Connect timeout for a port on the same host. */
#define CONNECT_MS 500

static void
fill_headers(const BackendExchange *exchange, const BackendCall *call,
             ClockMs now, HttpHeaders *headers)
{
    const WireNames *names = exchange->names;

    HttpHeaders_AddAll(headers, call->headers);
    HttpHeaders_Add(headers, names->request_id, call->request_id);
    HttpHeaders_AddNumber(headers, names->time_left_ms,
                          MAX(call->deadline - now, 1));
    HttpHeaders_Add(headers, names->expected, exchange->instance);
    HttpHeaders_Add(headers, names->caller, call->caller);
    if (call->team != NULL) {
        HttpHeaders_Add(headers, names->team, call->team);
    }
}

/* Whether callers read the status as a promise that the request has not run
 * and never will. */
static gboolean
is_promise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Sets result and run state for a complete answer. A refusal with a signature
 * or a success contradicts itself. A status that is a promise is passed on
 * only for requests that may run twice. */
static void
classify_answer(const WireNames *names, gboolean idempotent,
                BackendReply *reply)
{
    const HttpAnswer *answer = &reply->answer;
    gboolean is_signed =
        HttpHeaders_Get(&answer->headers, names->signature) != NULL;
    gboolean is_refusal =
        answer->status == 421 ||
        HttpHeaders_Get(&answer->headers, names->not_run) != NULL;

    if (is_refusal && !is_signed && answer->status >= 400) {
        reply->result = answer->status == 421 ? RESULT_BACKEND_SERVER_OTHER
                                              : RESULT_BACKEND_SERVER_SHED;
        reply->run = RUN_NO;
    }
    else if (is_refusal || (!is_signed && answer->status < 300) ||
             (is_promise(answer->status) && !(is_signed && idempotent))) {
        reply->result = RESULT_ANSWER_MISMATCH;
        reply->run = RUN_UNKNOWN;
    }
    else {
        reply->result =
            answer->status >= 500 ? RESULT_BACKEND_SERVER_ERROR : RESULT_OK;
        reply->run = RUN_YES;
    }
}

void
_Backend_Exchange(const BackendExchange *exchange, const BackendCall *call,
                  BackendReply *reply)
{
    ClockMs started = Clock_Now();
    HttpHeaders headers = {0};
    HttpSoftTimeout timeout = {.until = started + call->attempt_timeout_ms,
                               .give_up = call->give_up,
                               .context = call->give_up_context};
    HttpCall http = {.address = exchange->address,
                     .method = call->method,
                     .target = call->target,
                     .host = call->host,
                     .headers = &headers,
                     .body = call->body,
                     .body_bytes = call->body_bytes,
                     .deadline = call->deadline,
                     .connect_ms = CONNECT_MS,
                     .max_idle_ms = call->idempotent ? 0 : MAX_IDLE_MS,
                     .allow_unframed = TRUE,
                     .match_header = exchange->names->request_id,
                     .match_value = call->request_id,
                     .soft_timeout = call->give_up ? &timeout : NULL,
                     .cancel =
                         call->idempotent ? call->cancel : call->cancel_run};
    gboolean sent;

    fill_headers(exchange, call, started, &headers);
    reply->result =
        HttpClient_Call(exchange->client, &http, &reply->answer, &sent);
    reply->server_ms = Clock_Now() - started;
    reply->arrived = sent;
    if (reply->result == RESULT_OK) {
        classify_answer(exchange->names, call->idempotent, reply);
    }
    else {
        reply->run = sent ? RUN_UNKNOWN : RUN_NO;
    }
    HttpHeaders_Clear(&headers);
}
