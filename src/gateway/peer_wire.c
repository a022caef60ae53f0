#include "gateway/peer_wire.h"

#include <inttypes.h>
#include <stdio.h>

#define TEAM_HEADER "Radishknot-Team"
#define CALLER_HEADER "Radishknot-Caller"
#define SERVICE_HEADER "Radishknot-Service"
#define REPLY_HEADER "Radishknot-Reply"
#define RETURN_HEADER "Radishknot-Return"

#define LINE_BYTES 200

/* Maximum of a rate in a reply. */
#define MAX_RATE_PER_S 1e9

/* Maximum of each time in a call; keeps sums of times small. */
#define MAX_WAIT_MS 600000

void
PeerWire_TakeAnswer(HttpAnswer *answer, BackendReply *reply)
{
    const HttpHeaders *headers = &reply->answer.headers;

    answer->status = reply->answer.status;
    for (size_t i = 0; i < headers->count; i++) {
        if (PeerWire_IsPassedOn(headers->items[i].name)) {
            HttpHeaders_Add(&answer->headers, headers->items[i].name,
                            headers->items[i].value);
        }
    }
    HttpAnswer_TakeBody(answer, &reply->answer);
    HttpAnswer_Clear(&reply->answer);
}

gboolean
PeerWire_IsPassedOn(const char *name)
{
    return !HttpHeader_IsHopByHop(name) && !HttpHeader_IsReserved(name);
}

void
PeerWire_EncodeCall(const BackendCall *call, ClockMs now, HttpHeaders *headers)
{
    /* Never truncated: an attempt whose id is lost on the way is not noted,
     * and its owner would say that it did not arrive. */
    GString *line = g_string_sized_new(LINE_BYTES);

    g_string_printf(
        line,
        "%" PRId64 " %c %d %.3f %" PRId64 " %d %" PRId64 " %" PRId64 " %d",
        CLAMP(call->deadline - now, 0, MAX_WAIT_MS),
        call->idempotent ? 'i' : 'o', call->priority, call->max_risk,
        MIN(call->max_wait_ms, MAX_WAIT_MS), (int)call->retry,
        call->explore_idle_ms, CLAMP(call->target_time - now, 0, MAX_WAIT_MS),
        call->ends_by_stop);
    if (call->attempt_id != 0 || call->ends_by_stop) {
        g_string_append_printf(line, " %" PRIx64 " %" PRId64, call->attempt_id,
                               CLAMP(call->run_allowance_ms, 0, MAX_WAIT_MS));
    }
    HttpHeaders_Add(headers, PEER_WIRE_CALL_HEADER, line->str);
    g_string_free(line, TRUE);
    HttpHeaders_Add(headers, CALLER_HEADER, call->caller);
    HttpHeaders_Add(headers, SERVICE_HEADER, call->service);
    if (call->team != NULL) {
        HttpHeaders_Add(headers, TEAM_HEADER, call->team);
    }
}

static gboolean
is_time(int64_t time)
{
    return time >= 0 && time <= MAX_WAIT_MS;
}

gboolean
PeerWire_DecodeCall(const HttpHeaders *headers, ClockMs now, BackendCall *call)
{
    const char *line = HttpHeaders_Get(headers, PEER_WIRE_CALL_HEADER);
    int64_t left;
    int64_t target_left = MAX_WAIT_MS;
    char kind;
    int retry;

    call->team = HttpHeaders_Get(headers, TEAM_HEADER);
    call->caller = HttpHeaders_Get(headers, CALLER_HEADER);
    call->service = HttpHeaders_Get(headers, SERVICE_HEADER);
    /* Earlier versions do not send the last five fields. */
    call->explore_idle_ms = 0;
    call->ends_by_stop = FALSE;
    call->attempt_id = 0;
    call->run_allowance_ms = 0;
    if (line == NULL || call->caller == NULL || call->service == NULL ||
        sscanf(line,
               "%" SCNd64 " %c %d %lf %" SCNd64 " %d %" SCNd64 " %" SCNd64
               " %d %" SCNx64 " %" SCNd64,
               &left, &kind, &call->priority, &call->max_risk,
               &call->max_wait_ms, &retry, &call->explore_idle_ms,
               &target_left, &call->ends_by_stop, &call->attempt_id,
               &call->run_allowance_ms) < 6 ||
        (kind != 'i' && kind != 'o') || !is_time(left) ||
        !is_time(target_left) || !is_time(call->max_wait_ms) ||
        !is_time(call->explore_idle_ms) || !is_time(call->run_allowance_ms)) {
        return FALSE;
    }
    call->deadline = now + left;
    call->target_time = now + MIN(target_left, left);
    call->idempotent = kind == 'i';
    call->retry = (RetryKind)CLAMP(retry, RETRY_KIND_FIRST, RETRY_KIND_CALM);
    return TRUE;
}

/* Both are FALSE for a NaN, which no comparison orders: a backend server with
 * such a risk would never be chosen again. */
static gboolean
is_share(double value)
{
    return value >= 0 && value <= 1;
}

static gboolean
is_rate(double value)
{
    return value >= 0 && value <= MAX_RATE_PER_S;
}

void
PeerWire_EncodeReply(const BackendReply *reply, HttpHeaders *headers)
{
    const RosterReport *report = &reply->report;
    char line[LINE_BYTES];

    (void)snprintf(
        line, sizeof(line),
        "%d %d %d %.3f %u %u %u %" PRId64 " %" PRId64 " %d %" PRId64
        " %.2f %.2f %" PRId64 " %" PRId64 " %" PRIu64,
        (int)reply->result, (int)reply->run, reply->arrived, report->risk,
        report->slots, report->in_flight, report->waiting, report->service_ms,
        MAX(report->idle_ms, 0), report->leaving,
        reply->queue_ms + reply->server_ms, report->per_s,
        report->retries_per_s, MIN(report->stop_ms, MAX_WAIT_MS),
        CLAMP(report->cold_wait_ms, 0, MAX_WAIT_MS), reply->catalog_version);
    HttpHeaders_Add(headers, REPLY_HEADER, line);
    if (reply->return_ms > 0) {
        HttpHeaders_AddNumber(headers, RETURN_HEADER,
                              MIN(reply->return_ms, MAX_WAIT_MS));
    }
}

/* Reads the values of the header; FALSE if one is missing or malformed. */
static gboolean
parse_reply(const char *line, BackendReply *reply)
{
    RosterReport report = {0};
    uint64_t version = 0;
    ClockMs owner_ms = -1; /* earlier versions do not send it */
    gboolean arrived;
    Result known;
    int result;
    int run;

    if (sscanf(line,
               "%d %d %d %lf %u %u %u %" SCNd64 " %" SCNd64 " %d %" SCNd64
               " %lf %lf %" SCNd64 " %" SCNd64 " %" SCNu64,
               &result, &run, &arrived, &report.risk, &report.slots,
               &report.in_flight, &report.waiting, &report.service_ms,
               &report.idle_ms, &report.leaving, &owner_ms, &report.per_s,
               &report.retries_per_s, &report.stop_ms, &report.cold_wait_ms,
               &version) < 10 ||
        run < RUN_NO || run > RUN_UNKNOWN || !is_share(report.risk) ||
        !is_rate(report.per_s) || !is_rate(report.retries_per_s) ||
        !is_time(report.service_ms) || !is_time(report.stop_ms) ||
        !is_time(report.cold_wait_ms) || report.idle_ms < 0 ||
        !Result_FromNumber(result, &known)) {
        return FALSE;
    }
    reply->result = known;
    reply->run = (RunState)run;
    reply->arrived = arrived;
    reply->report = report;
    reply->owner_ms = owner_ms;
    reply->catalog_version = version;
    return TRUE;
}

/* Whether another program than a daemon answered that it did something with
 * the request: it may be a backend server at the address of a host that was
 * removed. */
static gboolean
is_other_program_run(int status)
{
    return (status >= 200 && status < 400) || (status >= 500 && status != 503);
}

gboolean
PeerWire_DecodeReply(const HttpHeaders *headers, BackendReply *reply)
{
    const char *line = HttpHeaders_Get(headers, REPLY_HEADER);
    gboolean may_have_run;

    if (line != NULL && parse_reply(line, reply)) {
        reply->return_ms = CLAMP(
            HttpHeaders_GetNumber(headers, RETURN_HEADER, 0), 0, MAX_WAIT_MS);
        return TRUE;
    }
    /* A daemon may have passed the request on to its backend server. */
    may_have_run = line != NULL || is_other_program_run(reply->answer.status);
    reply->result =
        may_have_run ? RESULT_ANSWER_MISMATCH : RESULT_CONNECT_FAILED;
    reply->run = may_have_run ? RUN_UNKNOWN : RUN_NO;
    reply->arrived = may_have_run;
    return FALSE;
}
