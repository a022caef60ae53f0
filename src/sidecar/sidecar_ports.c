#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "gateway/gateway_explain.h"
#include "memory/memory.h"
#include "sidecar/sidecar_internal.h"

#define METRICS_PATH "/metrics"
#define STATUS_PATH "/v1/status"

static void
answer_status(HttpRequest *request, int status, const char *json)
{
    HttpAnswer answer = {0};

    HttpAnswer_SetJson(&answer, status, g_strdup(json));
    HttpRequest_Respond(request, &answer);
}

/* Returns whether the announcement is about this host's backend server. */
static gboolean
is_for_local_server(const Sidecar *sidecar,
                    const BackendAnnouncement *announcement)
{
    char address[32];

    HttpAddress_Format(&announcement->address, address, sizeof(address));
    return strcmp(announcement->service, sidecar->settings->service) == 0 &&
           strcmp(address, sidecar->settings->backend_server) == 0;
}

static gboolean
is_known(const Sidecar *sidecar, const BackendAnnouncement *announcement)
{
    BackendStatus status;

    Backend_GetStatus(sidecar->backend, &status);
    return status.state != BACKEND_UNKNOWN &&
           status.announcement.born == announcement->born &&
           strcmp(status.announcement.instance, announcement->instance) == 0;
}

/* Passes a heartbeat to the backend. Returns the reason for which it is
 * refused; NULL: it is not. */
static const char *
apply_heartbeat(Sidecar *sidecar, const BackendAnnouncement *announcement)
{
    if (!announcement->draining && !is_known(sidecar, announcement) &&
        !Departure_Admits(sidecar->departure, announcement->instance,
                          announcement->born, announcement->sequence)) {
        return "departures_unknown";
    }
    return Backend_Announce(sidecar->backend, announcement) ? NULL
                                                            : "out_of_date";
}

/* Stops new requests to the instance, then records that it leaves, so that the
 * acknowledgement binds the next process, too. Returns FALSE if nobody has the
 * record: the report is not acknowledged then, and may come again. */
static gboolean
apply_leave(Sidecar *sidecar, AnnounceKind kind,
            const BackendAnnouncement *announcement)
{
    if (kind == ANNOUNCE_DEREGISTER) {
        Backend_MarkStopped(sidecar->backend, announcement->instance,
                            announcement->born);
    }
    if (Departure_Record(sidecar->departure, announcement->instance,
                         announcement->born)) {
        return TRUE;
    }
    Log_Event(LOG_DEPARTURE_NOT_RECORDED, "instance=%s born=%" PRId64,
              announcement->instance, announcement->born);
    return FALSE;
}

static void
serve_announcement(void *context, HttpRequest *request)
{
    Sidecar *sidecar = context;
    BackendAnnouncement announcement = {0};
    AnnounceKind kind =
        sidecar->adapter->decode_announcement(request, &announcement);
    const char *refused = NULL;
    int status = 200;

    if (kind == ANNOUNCE_NONE ||
        (kind == ANNOUNCE_HEARTBEAT &&
         !is_for_local_server(sidecar, &announcement))) {
        Log_Event(LOG_ANNOUNCEMENT_REFUSED, "path=%s service=%s reason=%s",
                  HttpRequest_Path(request), announcement.service,
                  kind == ANNOUNCE_NONE ? "malformed" : "other_server");
        answer_status(request, 400, "{}");
        return;
    }
    if (kind == ANNOUNCE_HEARTBEAT) {
        refused = apply_heartbeat(sidecar, &announcement);
    }
    if (refused != NULL) {
        Log_Event(LOG_ANNOUNCEMENT_REFUSED,
                  "instance=%s born=%" PRId64 " seq=%" PRId64 " reason=%s",
                  announcement.instance, announcement.born,
                  announcement.sequence, refused);
    }
    else if (kind == ANNOUNCE_DEREGISTER || announcement.draining) {
        status = apply_leave(sidecar, kind, &announcement) ? 200 : 503;
    }
    answer_status(request, status, "{}");
}

static gboolean
is_ready(const Sidecar *sidecar)
{
    return !atomic_load(&sidecar->leaving) &&
           ObjectSync_IsComplete(sidecar->roster_sync) &&
           Catalog_Age(sidecar->catalog, Clock_Now()) <=
               sidecar->max_catalog_age_ms;
}

static void
serve_ready(void *context, HttpRequest *request)
{
    Sidecar *sidecar = context;
    gboolean ready = is_ready(sidecar);
    ClockMs age = Catalog_Age(sidecar->catalog, Clock_Now());

    if (strcmp(HttpRequest_Path(request), sidecar->adapter->ready_path) != 0) {
        answer_status(request, 404, "{}");
        return;
    }
    if (ready != sidecar->was_ready) {
        sidecar->was_ready = ready;
        Log_Event(LOG_READY_CHANGED,
                  "ready=%d leaving=%d roster=%d proof_age_ms=%" PRId64, ready,
                  atomic_load(&sidecar->leaving),
                  ObjectSync_IsComplete(sidecar->roster_sync),
                  age == CLOCK_NEVER ? -1 : age);
    }
    answer_status(request, ready ? 200 : 503, "{}");
}

/* Fills the answer for `radishknot status`. */
static void
add_status(const Sidecar *sidecar, HttpAnswer *answer, GString *text)
{
    const Settings *settings = sidecar->settings;
    BackendStatus backend;
    json_t *status;
    char *dump;

    Backend_GetStatus(sidecar->backend, &backend);
    status = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:o}", "mode",
                       "platform", "host", settings->host, "region",
                       settings->region, "data_centre", settings->data_centre,
                       "service", settings->service, "announced",
                       Backend_StateName(backend.state), "configuration",
                       (json_int_t)Catalog_Version(sidecar->catalog),
                       "evacuated", _Sidecar_EvacuationNames(sidecar));
    dump = json_dumps(status, JSON_COMPACT);
    g_string_append(text, dump);
    HttpHeaders_Add(&answer->headers, "Content-Type", "application/json");
    free(dump);
    json_decref(status);
}

static void
serve_metrics(void *context, HttpRequest *request)
{
    const Sidecar *sidecar = context;
    HttpAnswer answer = {.status = 200};
    GString *text;

    if (strcmp(HttpRequest_Path(request), GATEWAY_EXPLAIN_PATH) == 0) {
        GatewayExplain_Serve(sidecar->gateway, request);
        return;
    }
    text = g_string_new(NULL);
    if (strcmp(HttpRequest_Path(request), STATUS_PATH) == 0) {
        add_status(sidecar, &answer, text);
    }
    else if (strcmp(HttpRequest_Path(request), METRICS_PATH) != 0) {
        answer.status = 404;
    }
    else {
        Counter_Write(text);
        Memory_Write(Memory_Process(), text);
        _Sidecar_WriteEvacuations(sidecar, text);
        HttpHeaders_Add(&answer.headers, "Content-Type",
                        "text/plain; version=0.0.4");
    }
    HttpAnswer_SetBody(&answer, text->str, text->len);
    g_string_free(text, TRUE);
    HttpRequest_Respond(request, &answer);
}

static HttpServer *
open_port(Sidecar *sidecar, const struct sockaddr_in *address,
          HttpHandler handler, GError **error)
{
    HttpServer_desc desc = {.address = *address,
                            .event_threads = 1,
                            .worker_threads = 1,
                            .max_in_flight = 16,
                            .handler = handler,
                            .context = sidecar};

    return HttpServer_Create(&desc, error);
}

gboolean
_Sidecar_OpenPorts(Sidecar *sidecar, GError **error)
{
    const Settings *settings = sidecar->settings;
    struct sockaddr_in announce;
    struct sockaddr_in ready;
    struct sockaddr_in metrics;

    (void)HttpAddress_Parse(settings->announce_address, &announce);
    (void)HttpAddress_Parse(settings->ready_address, &ready);
    metrics = ready;
    metrics.sin_port = htons((uint16_t)settings->metrics_port);
    sidecar->announce_port =
        open_port(sidecar, &announce, serve_announcement, error);
    if (sidecar->announce_port == NULL) {
        return FALSE;
    }
    sidecar->ready_port = open_port(sidecar, &ready, serve_ready, error);
    if (sidecar->ready_port == NULL) {
        return FALSE;
    }
    sidecar->metrics_port = open_port(sidecar, &metrics, serve_metrics, error);
    return sidecar->metrics_port != NULL;
}

void
_Sidecar_ClosePorts(Sidecar *sidecar)
{
    HttpServer_Destroy(sidecar->announce_port);
    HttpServer_Destroy(sidecar->ready_port);
    HttpServer_Destroy(sidecar->metrics_port);
}
