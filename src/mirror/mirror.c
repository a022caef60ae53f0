#include "mirror/mirror.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>

#include "base/log.h"
#include "base/rng.h"
#include "mirror/mirror_port.h"
#include "pack/pack.h"
#include "json/json_text.h"

/* Number of hosts examined in rendezvous order, and number of neighbours that
 * can be skipped at a time. */
#define MAX_NEIGHBOURS 3

/* Timeout of the head of a neighbour's answer, in addition to the wait time of
 * a watch, and of progress in its body. */
#define ANSWER_TIMEOUT_MS 300
#define CONNECT_TIMEOUT_MS 250

/* Maximum duration of one watch at a neighbour. It bounds the time until a
 * daemon that has become the leader of its group starts to watch the store. */
#define MAX_WAIT_MS 2000

/* Number of neighbours that one call asks, and the duration of a watch at
 * those after the first. It is short because the first one has taken its time.
 */
#define MAX_ASKED 2
#define NEXT_WAIT_MS 400

/* Duration of a watch at any neighbour. It is short because the store may be
 * back meanwhile. */
#define ANY_WAIT_MS 50

/* Number of hosts to which a read is referred, one by the other. */
#define MAX_HOPS 4

/* Maximum time for which a list waits for a neighbour that has not noticed a
 * restoration of the store yet. */
#define RESTORED_WAIT_MS 500

/* Duration of the first watch at the store after a neighbour or the store has
 * failed. It is short because the age of the state is unknown until the watch
 * returns. */
#define TAKEOVER_WAIT_MS 100

/* Maximum size of a neighbour's answer. */
#define MAX_PAGE_BYTES ((size_t)16 << 20)

/* Wait time that asks a neighbour for what it has, however old. */
#define WAIT_ANY_AGE 0

typedef struct Avoided {
    uint64_t host;
    ClockMs until;
} Avoided;

struct Mirror {
    Mirror_desc desc;
    ObjectStore functions;
    uint64_t host;                   /* hash of this host's name */
    Avoided avoided[MAX_NEIGHBOURS]; /* used by the ObjectSync thread only */
    unsigned next_avoided;
    uint64_t source; /* host that gave the last answer; 0: the store */
    atomic_bool direct;
    ObjectRevision reached; /* newest one of an answer, for the same thread */
    Rng rng;                /* for the same thread */
    ClockMs arriving_since; /* the source reads changes itself; 0: it does not
                             */
    ClockMs away_until;     /* the store is taken as away; 0: it is not */
    gboolean knows;         /* a list has been read */
};

static gboolean
is_avoided(const Mirror *mirror, uint64_t host, ClockMs now)
{
    for (unsigned i = 0; i < MAX_NEIGHBOURS; i++) {
        if (mirror->avoided[i].host == host &&
            now < mirror->avoided[i].until) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
avoid(Mirror *mirror, uint64_t host, ClockMs until)
{
    mirror->avoided[mirror->next_avoided++ % MAX_NEIGHBOURS] =
        (Avoided){.host = host, .until = until};
}

/* Returns the rendezvous key that ranks the hosts of this host's group. */
static uint64_t
group_key(const Mirror *mirror, const char *kind)
{
    uint32_t hosts = Roster_CountDataCentre(mirror->desc.roster);
    uint32_t groups = (hosts + MIRROR_GROUP - 1) / MIRROR_GROUP;

    return Rng_Mix(Rng_HashString(kind), mirror->host % MAX(groups, 1));
}

/* Finds the neighbour to read from. Returns FALSE if this host ranks before
 * every usable neighbour and so has to read the store, unless that is away. */
static gboolean
find_neighbour(const Mirror *mirror, const char *kind, RosterPeer *peer)
{
    ClockMs now = Clock_Now();
    RosterPeer order[MAX_NEIGHBOURS];
    uint32_t count = Roster_Rank(mirror->desc.roster, group_key(mirror, kind),
                                 FALSE, now, order, MAX_NEIGHBOURS);

    for (uint32_t i = 0; i < count; i++) {
        if (order[i].is_self) {
            if (now >= mirror->away_until) {
                return FALSE;
            }
        }
        else if (order[i].mirror.sin_port != 0 &&
                 !is_avoided(mirror, order[i].host, now)) {
            *peer = order[i];
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
read_integer(JsonText object, const char *name, int64_t min, int64_t *result)
{
    JsonText text;
    json_t *value;
    gboolean valid;

    if (!JsonText_Member(object, name, &text)) {
        return FALSE;
    }
    value = JsonText_Decode(text);
    valid = Json_ReadInteger(value, min, INT64_MAX, result);
    json_decref(value);
    return valid;
}

static gboolean
read_flag(JsonText object, const char *name)
{
    JsonText text;
    json_t *value = NULL;
    gboolean result;

    if (JsonText_Member(object, name, &text)) {
        value = JsonText_Decode(text);
    }
    result = json_is_true(value);
    json_decref(value);
    return result;
}

/* Returns 0 if there is none. */
static uint64_t
read_host(JsonText object, const char *name)
{
    JsonText text;
    json_t *value = NULL;
    const char *digits;
    uint64_t host;

    if (JsonText_Member(object, name, &text)) {
        value = JsonText_Decode(text);
    }
    digits = json_string_value(value);
    host = digits != NULL ? g_ascii_strtoull(digits, NULL, 16) : 0;
    json_decref(value);
    return host;
}

/* Reads an object of a page. Returns FALSE if its name or revision cannot be
 * used; a value that cannot be decoded is NULL. */
static gboolean
decode_object(JsonText object, int64_t generation, ObjectRecord *record)
{
    JsonText text = {0};
    json_t *name;
    json_t *deleted;
    gboolean valid;

    (void)JsonText_Member(object, "name", &text);
    name = JsonText_Decode(text);
    (void)JsonText_Member(object, "deleted", &text);
    deleted = JsonText_Decode(text);
    *record = (ObjectRecord){.revision.generation = generation,
                             .deleted = json_is_true(deleted)};
    valid = ObjectName_IsValid(json_string_value(name)) &&
            json_is_boolean(deleted) &&
            read_integer(object, "revision", 0, &record->revision.number);
    if (valid) {
        record->name = g_strdup(json_string_value(name));
        (void)JsonText_Member(object, "value", &text);
        record->value = JsonText_Decode(text);
    }
    if (json_is_null(record->value)) {
        record->value = NULL;
    }
    if (record->value != NULL) {
        record->text = g_bytes_new(text.start, text.bytes);
    }
    json_decref(name);
    json_decref(deleted);
    return valid;
}

gboolean
_Mirror_ReadPage(const char *body, size_t bytes, ObjectPage *page)
{
    ObjectRevision revision = {0};
    JsonTextItems items;
    JsonText objects;
    JsonText root;
    JsonText item;

    if (!JsonText_FromBody(body, bytes, &root) ||
        !read_integer(root, "revision", INT64_MIN, &revision.number) ||
        !read_integer(root, "held_ms", 0, &page->held_ms) ||
        !read_integer(root, "age_ms", 0, &page->age_ms) ||
        !JsonText_Member(root, "objects", &objects) ||
        objects.start[0] != '[') {
        return FALSE;
    }
    (void)read_integer(root, "generation", 0, &revision.generation);
    page->is_arriving = read_flag(root, "arriving");
    page->referred = read_host(root, "referred");
    JsonTextItems_Init(&items, objects);
    while (JsonTextItems_Next(&items, &item)) {
        ObjectRecord record;

        if (decode_object(item, revision.generation, &record)) {
            g_array_append_val(page->records, record);
        }
        else {
            page->unnamed++;
        }
    }
    page->revision = revision;
    return !items.is_broken;
}

/* Reads the body of an answer, which may be compressed. */
static gboolean
read_body(const HttpAnswer *answer, const RosterPeer *peer, ObjectPage *page)
{
    const char *encoding =
        HttpHeaders_Get(&answer->headers, "Content-Encoding");
    MemoryBuffer text;
    gboolean valid;

    if (encoding == NULL) {
        return _Mirror_ReadPage(answer->body, answer->body_bytes, page);
    }
    MemoryBuffer_Init(&text, Memory_Control(), MEMORY_ANSWERS_READ,
                      peer->host);
    valid = strcmp(encoding, PACK_ENCODING) == 0 &&
            Pack_Decompress(answer->body, answer->body_bytes, MAX_PAGE_BYTES,
                            &text) == RESULT_OK &&
            _Mirror_ReadPage(text.bytes, text.length, page);
    MemoryBuffer_Clear(&text);
    return valid;
}

static void
note_failure(const char *kind, const RosterPeer *peer, Result result,
             int status, const ObjectTransfer *transfer)
{
    Log_Event(
        LOG_MIRROR_FAILED,
        "kind=%s source=%016" PRIx64 " result=%s status=%d head_ms=%" PRId64
        " body_ms=%" PRId64 " bytes=%" PRId64 " of=%" PRId64,
        kind, peer->host, Result_Name(result), status, transfer->head_ms,
        transfer->body_ms, transfer->received_bytes, transfer->expected_bytes);
}

/* What is asked of a neighbour. */
typedef struct Question {
    const char *kind;
    ObjectRevision since;
    ClockMs wait_ms;
    int64_t at_least; /* revision from which on the neighbour need not watch
                         the store itself; -1: it must */
} Question;

/* Whether an answer that is no notice is older than what the reader has, or
 * must have. A list replaces the reader's state, so it must not take that
 * back. */
static gboolean
is_behind(const Mirror *mirror, const Question *question,
          const ObjectPage *page)
{
    ObjectRevision since = question->since;

    return page->revision.generation < since.generation ||
           (since.number < 0 && !page->is_arriving &&
            ObjectRevision_Compare(page->revision, mirror->reached) < 0);
}

void
_Mirror_NoteReached(Mirror *mirror, ObjectRevision revision)
{
    if (ObjectRevision_Compare(revision, mirror->reached) > 0) {
        mirror->reached = revision;
    }
}

/* Returns the target of a call that reads a neighbour's state. */
static char *
make_target(const Mirror *mirror, const Question *question)
{
    ObjectRevision since = question->since;
    GString *target = g_string_new(NULL);

    g_string_printf(
        target,
        MIRROR_PATH "%s?generation=%" PRId64 "&since=%" PRId64
                    "&wait_ms=%" PRId64 "&notice=1&reader=%016" PRIx64 "%s",
        question->kind, since.generation, since.number, question->wait_ms,
        mirror->host, question->wait_ms == WAIT_ANY_AGE ? MIRROR_ANY_AGE : "");
    if (since.number < 0 && mirror->reached.number > 0 &&
        mirror->reached.generation == since.generation) {
        g_string_append_printf(target, "&reached=%" PRId64,
                               mirror->reached.number);
    }
    if (question->at_least >= 0) {
        g_string_append_printf(target, "&at_least=%" PRId64,
                               question->at_least);
    }
    return g_string_free(target, FALSE);
}

/* Sets `avoid_ms` to the time for which a neighbour that fails is skipped. */
static Result
request_page(Mirror *mirror, const RosterPeer *peer, const Question *question,
             ObjectPage *page, ClockMs *avoid_ms)
{
    char *target = make_target(mirror, question);
    ClockMs called = Clock_Now();
    HttpTransfer transfer = {.begun = ObjectPage_Begin, .context = page};
    HttpAnswer answer = {0};
    HttpHeader accept = {.name = "Accept-Encoding", .value = PACK_ENCODING};
    HttpHeaders headers = {.items = &accept, .count = 1};
    HttpCall call = {.address = peer->mirror,
                     .method = "GET",
                     .target = target,
                     .headers = &headers,
                     .connect_ms = CONNECT_TIMEOUT_MS,
                     .deadline =
                         called + question->wait_ms + ANSWER_TIMEOUT_MS,
                     .stall_ms = ANSWER_TIMEOUT_MS,
                     .transfer = &transfer};
    gboolean sent;
    Result result =
        HttpClient_Call(mirror->desc.client, &call, &answer, &sent);

    page->transfer =
        ObjectTransfer_Make(called, transfer.head_at, transfer.expected_bytes,
                            transfer.received_bytes);
    *avoid_ms = result == RESULT_OK && answer.status == 503 ? MIRROR_REFUSED_MS
                                                            : MIRROR_AVOID_MS;
    if (result == RESULT_OK && answer.status == 410) {
        result = RESULT_STORE_HISTORY_GONE;
    }
    else if (result != RESULT_OK || answer.status != 200 ||
             !read_body(&answer, peer, page) ||
             is_behind(mirror, question, page)) {
        note_failure(question->kind, peer, result, answer.status,
                     &page->transfer);
        result = RESULT_STORE_UNAVAILABLE;
    }
    else {
        if (!page->is_arriving) {
            _Mirror_NoteReached(mirror, page->revision);
        }
        page->source = peer->host;
    }
    HttpAnswer_Clear(&answer);
    g_free(target);
    return result;
}

static void
record_source(Mirror *mirror, const char *kind, uint64_t neighbour)
{
    if (mirror->source != neighbour) {
        mirror->source = neighbour;
        Log_Event(LOG_MIRROR_CHANGED, "kind=%s source=%016" PRIx64, kind,
                  neighbour);
    }
    atomic_store(&mirror->direct, neighbour == 0);
}

/* Whether a neighbour that is reading changes itself has done so for too long.
 */
static gboolean
is_stuck(Mirror *mirror, const ObjectPage *page, ClockMs now)
{
    if (!page->is_arriving) {
        mirror->arriving_since = 0;
        return FALSE;
    }
    if (mirror->arriving_since == 0) {
        mirror->arriving_since = now;
    }
    return now - mirror->arriving_since > MIRROR_ARRIVING_MS;
}

/* Reads from the host to which the neighbour has referred this one, which may
 * be reading itself, and again from the neighbour, which then serves it, if
 * that fails. */
static Result
follow(Mirror *mirror, const RosterPeer *neighbour, Question question,
       ObjectPage *page, ClockMs *avoid_ms)
{
    ClockMs end = Clock_Now() + MIRROR_ARRIVING_MS;
    Result result = RESULT_OK;
    ClockMs ignored_ms;
    RosterPeer peer;

    question.wait_ms = MIN(question.wait_ms, NEXT_WAIT_MS);
    for (int hop = 0; result == RESULT_OK && page->is_arriving &&
                      hop < MAX_HOPS && Clock_Now() < end;) {
        if (page->referred != 0) {
            hop++;
            question.at_least = MAX(question.at_least, page->revision.number);
            if (!Roster_FindPeer(mirror->desc.roster, page->referred,
                                 Clock_Now(), &peer)) {
                break;
            }
        }
        ObjectPage_Reset(page);
        result = request_page(mirror, &peer, &question, page, &ignored_ms);
    }
    if (result == RESULT_STORE_UNAVAILABLE || page->is_arriving) {
        ObjectPage_Reset(page);
        question.at_least = -1;
        result = request_page(mirror, neighbour, &question, page, avoid_ms);
    }
    return page->referred != 0 ? RESULT_STORE_UNAVAILABLE : result;
}

/* Reads from a neighbour, and from where it refers this host. A notice is an
 * answer to a watch; a list is asked for again until it is there. */
static Result
ask(Mirror *mirror, const RosterPeer *peer, const Question *question,
    ObjectPage *page, ClockMs *avoid_ms)
{
    Result result;
    gboolean stuck;

    do {
        ObjectPage_Reset(page);
        result = request_page(mirror, peer, question, page, avoid_ms);
        if (page->is_arriving && page->begun != NULL) {
            page->begun(page->context);
        }
        if (result == RESULT_OK && page->referred != 0) {
            result = follow(mirror, peer, *question, page, avoid_ms);
        }
        stuck = is_stuck(mirror, page, Clock_Now());
    } while (result == RESULT_OK && !stuck && page->is_arriving &&
             question->since.number < 0);
    return stuck ? RESULT_STORE_UNAVAILABLE : result;
}

/* Reads from a neighbour. Returns FALSE if the store has to be read. */
static gboolean
read_neighbour(Mirror *mirror, const char *kind, ObjectRevision since,
               ClockMs wait_ms, ObjectPage *page, Result *result)
{
    Question question = {
        .kind = kind, .since = since, .wait_ms = wait_ms, .at_least = -1};
    RosterPeer peer;
    ClockMs avoid_ms;

    question.wait_ms = MIN(wait_ms, MAX_WAIT_MS);
    for (int asked = 0;
         asked < MAX_ASKED && find_neighbour(mirror, kind, &peer); asked++) {
        *result = ask(mirror, &peer, &question, page, &avoid_ms);
        if (*result != RESULT_STORE_UNAVAILABLE) {
            record_source(mirror, kind, peer.host);
            return TRUE;
        }
        mirror->arriving_since = 0;
        avoid(mirror, peer.host, Clock_Now() + avoid_ms);
        ObjectPage_Reset(page);
        question.wait_ms = MIN(question.wait_ms, NEXT_WAIT_MS);
    }
    return FALSE;
}

/* Reads the list that some neighbour has, however old it is. Those that are
 * avoided are asked, too: they may have been so for the age of their state. */
static gboolean
read_known(Mirror *mirror, const char *kind, ObjectPage *page)
{
    ObjectRevision all = {.generation =
                              ObjectGeneration_Newest(mirror->desc.generation),
                          .number = -1};
    Question question = {
        .kind = kind, .since = all, .wait_ms = WAIT_ANY_AGE, .at_least = -1};
    RosterPeer order[MAX_NEIGHBOURS];
    uint32_t count = Roster_Rank(mirror->desc.roster, group_key(mirror, kind),
                                 FALSE, Clock_Now(), order, MAX_NEIGHBOURS);
    ClockMs avoid_ms;

    for (uint32_t i = 0; i < count; i++) {
        if (order[i].is_self || order[i].mirror.sin_port == 0) {
            continue;
        }
        if (request_page(mirror, &order[i], &question, page, &avoid_ms) ==
                RESULT_OK &&
            page->referred == 0) {
            record_source(mirror, kind, order[i].host);
            return TRUE;
        }
        ObjectPage_Reset(page);
    }
    return FALSE;
}

/* Reads from a neighbour drawn at random, whatever its own source: this host
 * has lost the store, and those that rank first may have, too. If that fails,
 * the page states how the call on the store did. */
static Result
read_any(Mirror *mirror, const char *kind, ObjectRevision since,
         ObjectPage *page)
{
    Question question = {.kind = kind,
                         .since = since,
                         .wait_ms = ANY_WAIT_MS,
                         .at_least = MAX(since.number, 0)};
    ObjectTransfer transfer = page->transfer;
    gboolean has_begun = page->has_begun;
    RosterPeer order[2];
    uint32_t count =
        Roster_Rank(mirror->desc.roster, Rng_Next(&mirror->rng), FALSE,
                    Clock_Now(), order, G_N_ELEMENTS(order));
    uint32_t chosen = count > 1 && order[0].is_self;
    ClockMs ignored_ms;
    Result result = RESULT_STORE_UNAVAILABLE;

    if (count > 1 && order[chosen].mirror.sin_port != 0) {
        result = ask(mirror, &order[chosen], &question, page, &ignored_ms);
    }
    if (result == RESULT_STORE_UNAVAILABLE) {
        ObjectPage_Reset(page);
        page->transfer = transfer;
        page->has_begun = has_begun;
    }
    else {
        record_source(mirror, kind, order[chosen].host);
        mirror->away_until = Clock_Now() + MIRROR_AWAY_MS;
    }
    return result;
}

/* Called after a failed call on the store, which may have filled the page. */
static void
note_away(Mirror *mirror, ObjectPage *page)
{
    mirror->away_until = Clock_Now() + MIRROR_AWAY_MS;
    atomic_store(&mirror->direct, FALSE);
    ObjectPage_Reset(page);
}

static Result
list(void *context, const char *kind, const char *after, ObjectPage *page)
{
    Mirror *mirror = context;
    const ObjectStore *store = mirror->desc.store;
    ObjectRevision all = {.generation =
                              ObjectGeneration_Newest(mirror->desc.generation),
                          .number = -1};
    Result result;

    if (after[0] == '\0' && !mirror->knows &&
        mirror->desc.await_roster != NULL) {
        mirror->desc.await_roster(mirror->desc.context);
    }
    if (after[0] == '\0' &&
        read_neighbour(mirror, kind, all, RESTORED_WAIT_MS, page, &result)) {
        mirror->knows = mirror->knows || result == RESULT_OK;
        return result;
    }
    if (page->begun != NULL) {
        /* Neighbours that start, too, wait for the list. */
        page->begun(page->context);
    }
    result = store->list(store->context, kind, after, page);
    if (result == RESULT_OK) {
        _Mirror_NoteReached(mirror, page->revision);
        record_source(mirror, kind, 0);
    }
    else if (mirror->desc.keeps_known && after[0] == '\0') {
        note_away(mirror, page);
        if (!mirror->knows && read_known(mirror, kind, page)) {
            result = RESULT_OK;
        }
    }
    if (result == RESULT_STORE_UNAVAILABLE && after[0] == '\0') {
        result = read_any(mirror, kind, all, page);
    }
    mirror->knows = mirror->knows || result == RESULT_OK;
    return result;
}

/* Size of a watch's answer above which a list of the kind is smaller: a watch
 * returns each state of an object that was missed, a list the last one. */
static int64_t
max_watch_bytes(const Mirror *mirror)
{
    size_t whole =
        mirror->desc.cache ? MirrorCache_Bytes(mirror->desc.cache) : 0;

    return whole > 0 ? (int64_t)(whole + whole / 2) + OBJECT_CHANGES_BYTES : 0;
}

static Result
watch(void *context, const char *kind, ObjectRevision revision,
      ClockMs wait_ms, ObjectPage *page)
{
    Mirror *mirror = context;
    const ObjectStore *store = mirror->desc.store;
    ClockMs store_wait_ms = wait_ms;
    gboolean is_away;
    Result result;

    if (read_neighbour(mirror, kind, revision, wait_ms, page, &result)) {
        return result;
    }
    is_away = Clock_Now() < mirror->away_until;
    if (revision.generation <
        ObjectGeneration_Newest(mirror->desc.generation)) {
        /* The store has been restored while the neighbour was read. */
        return RESULT_STORE_HISTORY_GONE;
    }
    if (mirror->source != 0 || is_away) {
        store_wait_ms = MIN(wait_ms, TAKEOVER_WAIT_MS);
    }
    else if (Roster_CountDataCentre(mirror->desc.roster) == 1) {
        store_wait_ms = MAX(wait_ms, mirror->desc.alone_wait_ms);
    }
    if (!is_away) {
        /* Set before the watch returns, so that neighbours can watch this host
         * while the call is in progress. They must not wait for one that has
         * just failed: each would do so until the state is too old. */
        record_source(mirror, kind, 0);
    }
    page->max_bytes = max_watch_bytes(mirror);
    result = store->watch(store->context, kind, revision, store_wait_ms, page);
    page->max_bytes = 0;
    if (result == RESULT_OK) {
        _Mirror_NoteReached(mirror, page->revision);
    }
    if (result == RESULT_OK && is_away) {
        mirror->away_until = 0;
        record_source(mirror, kind, 0);
    }
    if (result == RESULT_STORE_UNAVAILABLE && mirror->desc.keeps_known) {
        note_away(mirror, page);
        (void)read_neighbour(mirror, kind, revision, wait_ms, page, &result);
    }
    if (result == RESULT_STORE_UNAVAILABLE) {
        result = read_any(mirror, kind, revision, page);
    }
    return result;
}

Mirror *
Mirror_Create(const Mirror_desc *desc)
{
    Mirror *mirror = g_new0(Mirror, 1);

    mirror->desc = *desc;
    mirror->functions =
        (ObjectStore){.context = mirror, .list = list, .watch = watch};
    mirror->host = Rng_HashString(desc->host);
    Rng_Seed(&mirror->rng, Rng_ProcessSeed() ^ mirror->host);
    return mirror;
}

void
Mirror_Destroy(Mirror *mirror)
{
    g_free(mirror);
}

const ObjectStore *
Mirror_AsStore(Mirror *mirror)
{
    return &mirror->functions;
}

gboolean
Mirror_IsDirect(void *mirror)
{
    return atomic_load(&((Mirror *)mirror)->direct);
}
