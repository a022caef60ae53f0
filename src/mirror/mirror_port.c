#include "mirror/mirror_port.h"

#include <string.h>

#include "http/http_server.h"

/* Upper bound of the wait_ms argument. */
#define MAX_WAIT_MS 30000

/* Maximum wait for a takeover, and the interval at which it is checked. */
#define MAX_TAKEOVER_MS 400
#define TAKEOVER_POLL_MS 20

struct MirrorPort {
    MirrorPort_desc desc;
    HttpServer *server;
};

static const MirrorKind *
find_kind(const MirrorPort *port, const char *path)
{
    if (!g_str_has_prefix(path, MIRROR_PATH)) {
        return NULL;
    }
    for (unsigned i = 0; i < port->desc.kind_count; i++) {
        if (strcmp(port->desc.kinds[i].kind, path + strlen(MIRROR_PATH)) ==
            0) {
            return &port->desc.kinds[i];
        }
    }
    return NULL;
}

static int64_t
read_argument(const HttpRequest *request, const char *name, int64_t fallback)
{
    char *text = HttpRequest_Argument(request, name);
    int64_t value = text ? g_ascii_strtoll(text, NULL, 10) : fallback;

    g_free(text);
    return value;
}

static json_t *
encode_page(const ObjectPage *page)
{
    json_t *objects = json_array();

    for (guint i = 0; i < page->records->len; i++) {
        const ObjectRecord *record =
            &g_array_index(page->records, ObjectRecord, i);

        json_array_append_new(
            objects,
            json_pack("{s:s, s:I, s:b, s:O?}", "name", record->name,
                      "revision", (json_int_t)record->revision.number,
                      "deleted", record->deleted, "value", record->value));
    }
    return json_pack("{s:I, s:I, s:I, s:I, s:o}", "generation",
                     (json_int_t)page->revision.generation, "revision",
                     (json_int_t)page->revision.number, "held_ms",
                     (json_int_t)page->held_ms, "age_ms",
                     (json_int_t)page->age_ms, "objects", objects);
}

/* Waits until the host watches the kind at the store, for a short time: it may
 * be about to take over from a neighbour that failed. */
static gboolean
await_direct(const MirrorKind *kind, ClockMs wait_ms)
{
    ClockMs end = Clock_Now() + MIN(wait_ms, MAX_TAKEOVER_MS);

    while (!kind->is_direct(kind->context) && Clock_Now() < end) {
        g_usleep(TAKEOVER_POLL_MS * 1000);
    }
    return kind->is_direct(kind->context);
}

/* Waits for a change and reads it. The host must be direct before and after
 * the wait, because its source may change meanwhile. */
static Result
read_kind(const MirrorKind *kind, ObjectRevision since, ClockMs wait_ms,
          gboolean any_age, ObjectPage *page)
{
    ClockMs started = Clock_Now();
    Result result;

    if (kind->keeps_known && any_age) {
        return MirrorCache_Read(kind->cache, since, page);
    }
    if (!await_direct(kind, wait_ms)) {
        return RESULT_STORE_UNAVAILABLE;
    }
    if (since.number >= 0 || since.generation > 0) {
        MirrorCache_Wait(kind->cache, since, CLAMP(wait_ms, 0, MAX_WAIT_MS));
    }
    result = MirrorCache_Read(kind->cache, since, page);
    page->held_ms = Clock_Now() - started;
    if (result == RESULT_OK &&
        (page->age_ms > kind->max_age_ms || !kind->is_direct(kind->context))) {
        result = RESULT_STORE_UNAVAILABLE;
    }
    return result;
}

static void
serve(void *context, HttpRequest *request)
{
    const MirrorPort *port = context;
    const MirrorKind *kind = find_kind(port, HttpRequest_Path(request));
    HttpAnswer answer = {0};
    ObjectRevision since = {.generation =
                                read_argument(request, "generation", -1),
                            .number = read_argument(request, "since", 0)};
    ObjectPage page;
    Result result = RESULT_NOT_FOUND;
    json_t *body;

    ObjectPage_Init(&page);
    if (kind != NULL) {
        result = read_kind(kind, since, read_argument(request, "wait_ms", 0),
                           read_argument(request, "any_age", 0) != 0, &page);
    }
    if (result == RESULT_OK) {
        body = encode_page(&page);
        HttpAnswer_SetJson(&answer, 200, json_dumps(body, JSON_COMPACT));
        json_decref(body);
    }
    else {
        HttpAnswer_SetRefusal(&answer, result, RUN_NO, NULL, NULL);
    }
    ObjectPage_Clear(&page);
    HttpRequest_Respond(request, &answer);
}

MirrorPort *
MirrorPort_Create(const MirrorPort_desc *desc, GError **error)
{
    MirrorPort *port = g_new0(MirrorPort, 1);
    HttpServer_desc server = {.address = desc->address,
                              .event_threads = 1,
                              .worker_threads = desc->threads,
                              .max_in_flight = desc->threads,
                              .handler = serve,
                              .context = port};

    port->desc = *desc;
    port->server = HttpServer_Create(&server, error);
    if (port->server == NULL) {
        g_free(port);
        return NULL;
    }
    return port;
}

uint16_t
MirrorPort_Port(const MirrorPort *port)
{
    return HttpServer_Port(port->server);
}

void
MirrorPort_Destroy(MirrorPort *port)
{
    if (port != NULL) {
        HttpServer_Destroy(port->server);
        g_free(port);
    }
}
