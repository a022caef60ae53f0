#include "mirror/mirror_port.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "http/http_server.h"
#include "mirror/mirror_spread.h"
#include "pack/pack.h"

/* Upper bound of the wait_ms argument. */
#define MAX_WAIT_MS 30000

/* Maximum wait for a takeover, and the interval at which it is checked. */
#define MAX_TAKEOVER_MS 400
#define TAKEOVER_POLL_MS 20

/* Maximum age of a list. A reader that starts has nothing yet, and the host
 * that it asks may be busy with a large change. */
#define MAX_LIST_AGE_MS 2500

#define MAX_KINDS 8

struct MirrorPort {
    MirrorPort_desc desc;
    HttpServer *server;
    MirrorSpread *spreads[MAX_KINDS]; /* of each kind */
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

static uint64_t
read_host(const HttpRequest *request, const char *name)
{
    char *text = HttpRequest_Argument(request, name);
    uint64_t host = text ? g_ascii_strtoull(text, NULL, 16) : 0;

    g_free(text);
    return host;
}

static int64_t
read_argument(const HttpRequest *request, const char *name, int64_t fallback)
{
    char *text = HttpRequest_Argument(request, name);
    int64_t value = text ? g_ascii_strtoll(text, NULL, 10) : fallback;

    g_free(text);
    return value;
}

/* A body that is being written. In a compressed one the parts become frames.
 */
typedef struct Body {
    gboolean is_packed;
    GByteArray *bytes;
    GString *pending; /* text that has not been compressed yet */
} Body;

static void
append_bytes(Body *body, GBytes *bytes)
{
    g_byte_array_append(body->bytes, g_bytes_get_data(bytes, NULL),
                        (guint)g_bytes_get_size(bytes));
}

/* Writes the text that is pending, as a frame in a compressed body. */
static void
flush_pending(Body *body)
{
    GBytes *frame;

    if (body->is_packed) {
        frame = Pack_Compress(body->pending->str, body->pending->len);
        append_bytes(body, frame);
        g_bytes_unref(frame);
    }
    else {
        g_byte_array_append(body->bytes, (const guint8 *)body->pending->str,
                            (guint)body->pending->len);
    }
    g_string_truncate(body->pending, 0);
}

/* Appends the value's text, which may be compressed already. Returns FALSE if
 * there is no memory to decompress it. */
static gboolean
append_value(Body *body, const ObjectRecord *record)
{
    gsize bytes;
    const char *data = g_bytes_get_data(record->text, &bytes);
    MemoryBuffer text;
    gboolean done = TRUE;

    if (!record->is_packed) {
        g_string_append_len(body->pending, data, (gssize)bytes);
    }
    else if (body->is_packed) {
        flush_pending(body);
        append_bytes(body, record->text);
    }
    else {
        MemoryBuffer_Init(&text, Memory_Control(), MEMORY_ANSWERS_READ, 0);
        done = Pack_Decompress(data, bytes, G_MAXUINT32, &text) == RESULT_OK;
        g_string_append_len(body->pending, text.bytes, (gssize)text.length);
        MemoryBuffer_Clear(&text);
    }
    return done;
}

/* Returns FALSE if there is not enough memory. */
static gboolean
append_objects(Body *body, const ObjectPage *page)
{
    gboolean done = TRUE;

    for (guint i = 0; done && i < page->records->len; i++) {
        const ObjectRecord *record =
            &g_array_index(page->records, ObjectRecord, i);
        json_t *name = json_string(record->name);
        char *text = json_dumps(name, JSON_ENCODE_ANY);

        g_string_append_printf(body->pending,
                               "%s{\"name\":%s,\"revision\":%" PRId64
                               ",\"deleted\":%s,\"value\":",
                               i > 0 ? "," : "", text, record->revision.number,
                               record->deleted ? "true" : "false");
        done = append_value(body, record);
        g_string_append_c(body->pending, '}');
        free(text);
        json_decref(name);
    }
    return done;
}

/* Sets the answer, or leaves it clear if there is not enough memory. */
static void
set_page(HttpAnswer *answer, const ObjectPage *page, gboolean is_packed)
{
    Body body = {.is_packed = is_packed,
                 .bytes = g_byte_array_new(),
                 .pending = g_string_new(NULL)};

    g_string_append_printf(body.pending,
                           "{\"generation\":%" PRId64 ",\"revision\":%" PRId64
                           ",\"held_ms\":%" PRId64 ",\"age_ms\":%" PRId64 "%s",
                           page->revision.generation, page->revision.number,
                           page->held_ms, page->age_ms,
                           page->is_arriving ? ",\"arriving\":true" : "");
    if (page->referred != 0) {
        g_string_append_printf(
            body.pending, ",\"referred\":\"%016" PRIx64 "\"", page->referred);
    }
    g_string_append(body.pending, ",\"objects\":[");
    if (append_objects(&body, page)) {
        g_string_append(body.pending, "]}");
        flush_pending(&body);
        answer->status = 200;
        HttpHeaders_Add(&answer->headers, "Content-Type", "application/json");
        if (is_packed) {
            HttpHeaders_Add(&answer->headers, "Content-Encoding",
                            PACK_ENCODING);
        }
        HttpAnswer_SetBody(answer, body.bytes->data, body.bytes->len);
    }
    g_byte_array_unref(body.bytes);
    g_string_free(body.pending, TRUE);
}

/* Whether the page is compressed for a reader that accepts that: it has an
 * object that is, or many small ones. */
static gboolean
is_worth_packing(const ObjectPage *page)
{
    size_t bytes = 0;

    for (guint i = 0; i < page->records->len; i++) {
        const ObjectRecord *record =
            &g_array_index(page->records, ObjectRecord, i);

        bytes += g_bytes_get_size(record->text);
        if (record->is_packed || bytes >= _MIRROR_MIN_PACKED_BYTES) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
accepts_packed(const HttpRequest *request)
{
    const char *accepted =
        HttpHeaders_Get(HttpRequest_Headers(request), "Accept-Encoding");

    return accepted != NULL && strcmp(accepted, PACK_ENCODING) == 0;
}

/* What a reader asks for. */
typedef struct Question {
    ObjectRevision since;   /* number -1: all objects */
    ObjectRevision reached; /* newest state that the reader has had */
    ClockMs wait_ms;
    gboolean any_age;
    gboolean takes_notice; /* that changes are arriving */
    int64_t at_least;      /* revision that this host must have reached, with
                              whatever source; -1: it must be direct */
    uint64_t reader;       /* hash of its host; 0: it cannot be referred */
} Question;

/* Waits until the host watches the kind at the store, for a short time: it may
 * be about to take over from a neighbour that failed. A host that has changes
 * which the reader lacks needs no source of its own. Returns FALSE if it has
 * neither, or has not reached the revision that the reader names. */
static gboolean
await_state(const MirrorKind *kind, const Question *question)
{
    ClockMs end = Clock_Now() + MIN(question->wait_ms, MAX_TAKEOVER_MS);
    gboolean result = FALSE;
    gboolean is_over = FALSE;

    if (question->at_least >= 0) {
        return MirrorCache_AwaitRevision(
            kind->cache,
            (ObjectRevision){.generation = question->since.generation,
                             .number = question->at_least},
            CLAMP(question->wait_ms, 0, MAX_WAIT_MS));
    }
    while (!result && !is_over) {
        is_over = Clock_Now() >= end;
        result = kind->is_direct(kind->context) ||
                 MirrorCache_IsAhead(kind->cache, question->reached);
        if (!result && !is_over) {
            g_usleep(TAKEOVER_POLL_MS * 1000);
        }
    }
    return result;
}

/* Whether the reader can be told that it gets changes from here soon. */
static gboolean
gives_notice(const MirrorKind *kind, const Question *question)
{
    return question->takes_notice && MirrorCache_IsArriving(kind->cache);
}

/* Whether the page was the newest state lately, as far as the reader demands.
 */
static gboolean
proves_state(const MirrorKind *kind, const Question *question,
             const ObjectPage *page)
{
    ClockMs max_age_ms = kind->max_age_ms;

    if (question->since.number < 0) {
        max_age_ms = MAX(max_age_ms, MAX_LIST_AGE_MS);
    }
    return page->age_ms <= max_age_ms &&
           (question->at_least >= 0 || kind->is_direct(kind->context));
}

/* Waits for a change and reads it. To prove that there is none, the host must
 * be direct before and after the wait, because its source may change
 * meanwhile. A state that is ahead of the reader's is newer, whatever its age.
 */
static Result
read_kind(const MirrorKind *kind, const Question *question, ObjectPage *page)
{
    ObjectRevision since = question->since;
    ClockMs started = Clock_Now();
    gboolean is_there;
    Result result;

    if (kind->keeps_known && question->any_age) {
        return MirrorCache_Read(kind->cache, since, page);
    }
    is_there = await_state(kind, question);
    if (!is_there && !gives_notice(kind, question)) {
        page->revision = MirrorCache_Revision(kind->cache);
        page->held_ms = Clock_Now() - started;
        return RESULT_STORE_UNAVAILABLE;
    }
    if (since.number >= 0 || since.generation > 0) {
        MirrorCache_Wait(
            kind->cache, since,
            CLAMP(started + question->wait_ms - Clock_Now(), 0, MAX_WAIT_MS));
    }
    result = MirrorCache_Read(kind->cache, since, page);
    page->held_ms = Clock_Now() - started;
    page->is_arriving =
        (!is_there || page->records->len == 0) && gives_notice(kind, question);
    if (page->is_arriving) {
        /* There may be no complete state yet. */
        g_array_set_size(page->records, 0);
        if (result != RESULT_OK) {
            page->revision = MirrorCache_Revision(kind->cache);
        }
        result = RESULT_OK;
    }
    if (result == RESULT_OK && !page->is_arriving &&
        !proves_state(kind, question, page) &&
        !MirrorCache_IsAhead(kind->cache, question->reached)) {
        result = RESULT_STORE_UNAVAILABLE;
    }
    return result;
}

static void
read_question(const HttpRequest *request, Question *question)
{
    *question = (Question){
        .since = {.generation = read_argument(request, "generation", -1),
                  .number = read_argument(request, "since", 0)},
        .wait_ms = read_argument(request, "wait_ms", 0),
        .any_age = read_argument(request, "any_age", 0) != 0,
        .takes_notice = read_argument(request, "notice", 0) != 0,
        .at_least = read_argument(request, "at_least", -1),
        .reader = read_host(request, "reader")};
    question->reached = question->since;
    if (question->since.number < 0) {
        question->reached.number = read_argument(request, "reached", -1);
    }
}

static void
note_refusal(const MirrorKind *kind, ObjectRevision since,
             const ObjectPage *page, Result result)
{
    Log_Event(LOG_MIRROR_REFUSED,
              "kind=%s result=%s generation=%" PRId64 " since=%" PRId64
              " own_generation=%" PRId64 " own_revision=%" PRId64
              " direct=%d age_ms=%" PRId64 " held_ms=%" PRId64,
              kind->kind, Result_Name(result), since.generation, since.number,
              page->revision.generation, page->revision.number,
              kind->is_direct(kind->context), page->age_ms, page->held_ms);
}

/* Refers the reader of a large page to an earlier reader, if this host has
 * served enough of them. */
static void
refer_reader(MirrorPort *port, const MirrorKind *kind,
             const Question *question, ObjectPage *page)
{
    size_t bytes = 0;

    for (guint i = 0; i < page->records->len; i++) {
        bytes += g_bytes_get_size(
            g_array_index(page->records, ObjectRecord, i).text);
    }
    if (question->reader != 0 && bytes >= _MIRROR_MIN_PACKED_BYTES) {
        page->referred =
            MirrorSpread_Refer(port->spreads[kind - port->desc.kinds],
                               page->revision, question->reader);
    }
    if (page->referred != 0) {
        g_array_set_size(page->records, 0);
        page->is_arriving = TRUE;
    }
}

static void
serve(void *context, HttpRequest *request)
{
    MirrorPort *port = context;
    const MirrorKind *kind = find_kind(port, HttpRequest_Path(request));
    HttpAnswer answer = {0};
    Question question;
    ObjectPage page;
    Result result = RESULT_NOT_FOUND;

    ObjectPage_Init(&page);
    read_question(request, &question);
    if (kind != NULL) {
        result = read_kind(kind, &question, &page);
    }
    if (result == RESULT_OK) {
        refer_reader(port, kind, &question, &page);
        set_page(&answer, &page,
                 accepts_packed(request) && is_worth_packing(&page));
        result = answer.status == 200 ? RESULT_OK : RESULT_OVERLOADED;
    }
    if (result != RESULT_OK && kind != NULL) {
        note_refusal(kind, question.since, &page, result);
    }
    if (result != RESULT_OK) {
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

    g_assert(desc->kind_count <= MAX_KINDS);
    port->desc = *desc;
    for (unsigned i = 0; i < desc->kind_count; i++) {
        port->spreads[i] = MirrorSpread_Create();
    }
    port->server = HttpServer_Create(&server, error);
    if (port->server == NULL) {
        MirrorPort_Destroy(port);
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
        for (unsigned i = 0; i < port->desc.kind_count; i++) {
            MirrorSpread_Destroy(port->spreads[i]);
        }
        g_free(port);
    }
}
