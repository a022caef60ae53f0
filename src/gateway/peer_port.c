#include "gateway/peer_port.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "gateway/gateway_regions.h"
#include "gateway/peer_wire.h"
#include "http/http_cancel_set.h"
#include "http/http_server.h"

struct PeerPort {
    PeerPort_desc desc;
    HttpServer *server;
    HttpCancelSet *cancels;      /* cancellation of the requests in flight */
    _Atomic ClockMs leave_since; /* start of a graceful stop, or CLOCK_NEVER */
};

/* Copies the caller's headers without the request id, which the call carries
 * in a field of its own. */
static void
copy_headers(const PeerPort *port, const HttpHeaders *from, HttpHeaders *to)
{
    for (size_t i = 0; i < from->count; i++) {
        if (PeerWire_IsPassedOn(from->items[i].name)) {
            HttpHeaders_Add(to, from->items[i].name, from->items[i].value);
        }
    }
    HttpHeaders_Remove(to, port->desc.names->request_id);
}

/* Turns the reply into the answer for the other daemon. */
static void
fill_answer(BackendReply *reply, HttpAnswer *answer)
{
    if (reply->answer.status == 0) {
        answer->status = 503;
    }
    else {
        PeerWire_TakeAnswer(answer, reply);
    }
    PeerWire_EncodeReply(reply, &answer->headers);
}

static void
log_call(const PeerPort *port, const HttpRequest *request,
         const BackendCall *call, const BackendReply *reply)
{
    ClockMs arrived = HttpRequest_Arrived(request);
    ClockMs leave_since = atomic_load(&port->leave_since);

    Log_Event(LOG_CALL_RUN,
              "request=%s caller=%s team=%s priority=%d max_risk=%.2f "
              "max_wait_ms=%" PRId64 " stop_ms=%" PRId64 " left_ms=%" PRId64
              " by_stop=%d risk=%.2f in_flight=%u waiting=%u "
              "queue_ms=%" PRId64 " expected_ms=%" PRId64 " server_ms=%" PRId64
              " result=%s run=%s status=%d",
              call->request_id, call->caller, call->team ? call->team : "-",
              call->priority, call->max_risk, call->max_wait_ms,
              leave_since <= arrived ? arrived - leave_since : -1,
              call->deadline - arrived, call->ends_by_stop, reply->report.risk,
              reply->report.in_flight, reply->report.waiting, reply->queue_ms,
              reply->expected_ms, reply->server_ms, Result_Name(reply->result),
              Result_RunName(reply->run), reply->answer.status);
}

/* Notes the attempt. Returns FALSE if it must not run: its sender was told
 * that it did not arrive. */
static gboolean
begin_attempt(const PeerPort *port, const BackendCall *call)
{
    gboolean may_run =
        call->attempt_id == 0 ||
        AttemptLog_Note(port->desc.attempts, call->attempt_id, Clock_Now());

    Counter_Add(COUNTER_ATTEMPTS_REFUSED, !may_run);
    return may_run;
}

/* Makes the backend server's owner check the regions of the call. */
static void
check_regions(const PeerPort *port, const HttpRequest *request,
              BackendCall *call, GatewayRegionsCheck *check)
{
    if (port->desc.catalog != NULL) {
        *check =
            (GatewayRegionsCheck){.catalog = port->desc.catalog,
                                  .region = RegionSet_Hash(port->desc.region),
                                  .key = {.host = call->host,
                                          .path = HttpRequest_Path(request),
                                          .team = call->team},
                                  .request_id = call->request_id};
        call->may_run = GatewayRegions_Check;
        call->may_run_context = check;
    }
}

/* Hash of the request's route by this host's configuration; 0: unknown. */
static uint64_t
find_route(const PeerPort *port, const HttpRequest *request, const char *host)
{
    CatalogTable *table =
        port->desc.catalog ? Catalog_Acquire(port->desc.catalog) : NULL;
    const CatalogRoute *route;
    uint64_t hash = 0;

    if (table != NULL) {
        route = CatalogTable_FindRoute(table, host, HttpRequest_Path(request));
        hash = route != NULL ? route->hash : 0;
        CatalogTable_Unref(table);
    }
    return hash;
}

static void
serve(void *context, HttpRequest *request)
{
    PeerPort *port = context;
    const HttpHeaders *received = HttpRequest_Headers(request);
    BackendCall call = {.method = HttpRequest_Method(request)};
    HttpCancel *cancel = HttpCancelSet_Begin(port->cancels);
    HttpHeaders headers = {0};
    HttpAnswer answer = {0};
    BackendReply reply = {.result = RESULT_REQUEST_ID_VOID, .run = RUN_NO};
    char *target = HttpRequest_Target(request);
    GatewayRegionsCheck check;

    Counter_Add(COUNTER_OWNER_REQUESTS, 1);
    call.target = target;
    call.body = HttpRequest_Body(request, &call.body_bytes);
    call.host = HttpHeaders_Get(received, "Host");
    call.request_id = HttpHeaders_Get(received, port->desc.names->request_id);
    call.headers = &headers;
    call.cancel = cancel;
    if (call.host == NULL || call.request_id == NULL ||
        !PeerWire_DecodeCall(received, HttpRequest_Arrived(request), &call)) {
        HttpAnswer_SetRefusal(&answer, RESULT_MALFORMED, RUN_NO,
                              call.request_id, NULL);
    }
    else {
        if (begin_attempt(port, &call)) {
            copy_headers(port, received, &headers);
            check_regions(port, request, &call, &check);
            call.route = find_route(port, request, call.host);
            HttpRequest_OnDisconnect(request, HttpCancel_Trigger, cancel);
            Backend_Run(port->desc.backend, &call, &reply);
            HttpRequest_OnDisconnect(request, NULL, NULL);
        }
        if (reply.result == RESULT_CANCELLED &&
            HttpCancelSet_IsTriggered(port->cancels)) {
            reply.result = RESULT_SHUTTING_DOWN;
        }
        if (port->desc.catalog != NULL) {
            reply.catalog_version = Catalog_Version(port->desc.catalog);
        }
        log_call(port, request, &call, &reply);
        fill_answer(&reply, &answer);
    }
    HttpRequest_Respond(request, &answer);
    HttpHeaders_Clear(&headers);
    HttpCancelSet_End(port->cancels, cancel);
    g_free(target);
}

PeerPort *
PeerPort_Create(const PeerPort_desc *desc, GError **error)
{
    PeerPort *port = g_new0(PeerPort, 1);
    HttpServer_desc server = {.address = desc->address,
                              .event_threads = 1,
                              .worker_threads = desc->threads,
                              .max_body_bytes = desc->max_body_bytes,
                              .handler = serve,
                              .time_left_header = PEER_WIRE_CALL_HEADER,
                              .context = port};

    port->desc = *desc;
    port->cancels = HttpCancelSet_Create();
    atomic_store(&port->leave_since, CLOCK_NEVER);
    port->server = HttpServer_Create(&server, error);
    if (port->server == NULL) {
        HttpCancelSet_Destroy(port->cancels);
        g_free(port);
        return NULL;
    }
    return port;
}

void
PeerPort_Leave(PeerPort *port)
{
    atomic_store(&port->leave_since, Clock_Now());
    HttpServer_Leave(port->server);
}

gboolean
PeerPort_Drain(PeerPort *port, ClockMs until)
{
    return HttpServer_Drain(port->server, until);
}

gboolean
PeerPort_Close(PeerPort *port, ClockMs until)
{
    return HttpServer_Close(port->server, until);
}

gboolean
PeerPort_AwaitReceipt(PeerPort *port, ClockMs until)
{
    return HttpServer_AwaitReceipt(port->server, until);
}

void
PeerPort_CancelRequests(PeerPort *port)
{
    HttpCancelSet_TriggerAll(port->cancels);
}

unsigned
PeerPort_InFlight(const PeerPort *port)
{
    return HttpServer_InFlight(port->server);
}

void
PeerPort_Destroy(PeerPort *port)
{
    if (port != NULL) {
        HttpServer_Destroy(port->server);
        HttpCancelSet_Destroy(port->cancels);
        g_free(port);
    }
}
