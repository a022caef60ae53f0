#include "objects/object_sync.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <urcu.h>

#include "base/condition.h"
#include "base/counter.h"
#include "base/log.h"
#include "objects/object_backoff.h"

#define DEFAULT_WAIT_MS 20000

/* Duration of the watch after a change. It is short because a watch that
 * returns a change confirms only the state at its own start. */
#define CONFIRM_WAIT_MS 400

/* Longest wait for progress in an answer. It is doubled, beginning with the
 * shortest, each time an answer has begun and broken off: on a link that is
 * full, one that is given up too soon is sent again from its first byte, and
 * keeps the link full. */
#define MIN_STALL_MS 1000
#define MAX_STALL_MS 8000

struct ObjectSync {
    ObjectSync_desc desc;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    gboolean stopping;
    gboolean must_retry; /* the next pause is skipped */
    atomic_bool complete;
    ObjectRevision revision; /* revision to watch from; -1: list first */
    ClockMs next_wait_ms;
    gboolean has_listed;  /* no changes since the last list */
    GHashTable *rejected; /* name -> ObjectRevision, of malformed objects */
    unsigned unnamed;     /* in the last page that had some */
    gboolean failing;
    ClockMs failed_since;
    ObjectTransfer transfer; /* of the last page */
    gboolean has_answered;   /* its head has arrived */
    ClockMs stall_ms;        /* longest wait for progress in an answer */
    ObjectBackoff backoff;
};

/* Sleeps until the time has passed or the thread has to stop. Returns TRUE in
 * the latter case. */
static gboolean
sleep_for(ObjectSync *sync, ClockMs milliseconds)
{
    struct timespec until = Condition_After(milliseconds);
    gboolean stopping;

    pthread_mutex_lock(&sync->lock);
    while (!sync->stopping && !sync->must_retry && milliseconds > 0 &&
           pthread_cond_timedwait(&sync->wake, &sync->lock, &until) == 0) {
    }
    sync->must_retry = FALSE;
    stopping = sync->stopping;
    pthread_mutex_unlock(&sync->lock);
    return stopping;
}

static void
note_failure(ObjectSync *sync, Result result)
{
    if (sync->has_answered) {
        sync->stall_ms = MIN(2 * sync->stall_ms, MAX_STALL_MS);
    }
    if (sync->desc.announced != NULL && !sync->has_answered) {
        sync->desc.announced(sync->desc.context, FALSE);
    }
    if (sync->desc.receiving != NULL) {
        sync->desc.receiving(sync->desc.context, FALSE);
    }
    Log_Event(sync->failing ? LOG_OBJECTS_FAILED : LOG_STORE_LOST,
              "kind=%s result=%s generation=%" PRId64 " revision=%" PRId64
              " head_ms=%" PRId64 " body_ms=%" PRId64 " bytes=%" PRId64
              " of=%" PRId64,
              sync->desc.kind, Result_Name(result), sync->revision.generation,
              sync->revision.number, sync->transfer.head_ms,
              sync->transfer.body_ms, sync->transfer.received_bytes,
              sync->transfer.expected_bytes);
    if (!sync->failing) {
        sync->failing = TRUE;
        sync->failed_since = Clock_Now();
    }
}

/* Logs a page with changes. `ahead` counts the objects that changed after the
 * revision up to which the page is complete. */
static void
note_changes(const ObjectSync *sync, const ObjectPage *page)
{
    unsigned ahead = 0;

    for (guint i = 0; i < page->records->len; i++) {
        ahead +=
            g_array_index(page->records, ObjectRecord, i).revision.number >
            page->revision.number;
    }
    if (page->records->len > 0) {
        Log_Event(LOG_OBJECTS_READ,
                  "kind=%s generation=%" PRId64 " revision=%" PRId64
                  " objects=%u ahead=%u bytes=%" PRId64 " head_ms=%" PRId64
                  " body_ms=%" PRId64 " age_ms=%" PRId64 " source=%016" PRIx64,
                  sync->desc.kind, page->revision.generation,
                  page->revision.number, page->records->len, ahead,
                  page->transfer.received_bytes, page->transfer.head_ms,
                  page->transfer.body_ms, page->age_ms, page->source);
    }
}

static void
note_success(ObjectSync *sync)
{
    ObjectBackoff_Reset(&sync->backoff);
    sync->stall_ms = MIN_STALL_MS;
    if (sync->failing) {
        sync->failing = FALSE;
        Log_Event(LOG_STORE_REGAINED,
                  "kind=%s generation=%" PRId64 " revision=%" PRId64
                  " away_ms=%" PRId64,
                  sync->desc.kind, sync->revision.generation,
                  sync->revision.number, Clock_Now() - sync->failed_since);
    }
}

/* Checks the revision of an answer, and logs a restoration. */
static Result
check_revision(ObjectSync *sync, ObjectRevision revision)
{
    ObjectRevision known = sync->revision;
    Result result = ObjectGeneration_Check(sync->desc.generation,
                                           &sync->revision, revision);

    if (result == RESULT_STORE_HISTORY_GONE && known.generation > 0) {
        Log_Event(LOG_STORE_RESTORED,
                  "kind=%s generation=%" PRId64 " revision=%" PRId64
                  " from_generation=%" PRId64 " from_revision=%" PRId64,
                  sync->desc.kind, revision.generation, revision.number,
                  known.generation, known.number);
    }
    return result;
}

static gboolean
is_stopping(ObjectSync *sync)
{
    gboolean stopping;

    pthread_mutex_lock(&sync->lock);
    stopping = sync->stopping;
    pthread_mutex_unlock(&sync->lock);
    return stopping;
}

static void
note_unnamed(ObjectSync *sync, const ObjectPage *page)
{
    if (page->unnamed > 0 && page->unnamed != sync->unnamed) {
        sync->unnamed = page->unnamed;
        Counter_Add(COUNTER_STORE_OBJECTS_REJECTED, page->unnamed);
        Log_Event(LOG_OBJECTS_UNNAMED,
                  "kind=%s count=%u generation=%" PRId64 " revision=%" PRId64,
                  sync->desc.kind, page->unnamed, page->revision.generation,
                  page->revision.number);
    }
}

/* Logs and counts a malformed object, once for each revision. */
static void
note_rejected(ObjectSync *sync, const ObjectRecord *record)
{
    const ObjectRevision *known =
        g_hash_table_lookup(sync->rejected, record->name);

    if (known != NULL &&
        ObjectRevision_Compare(*known, record->revision) == 0) {
        return;
    }
    if (g_hash_table_size(sync->rejected) >= OBJECT_SYNC_REJECTED) {
        g_hash_table_remove_all(sync->rejected);
    }
    g_hash_table_replace(
        sync->rejected, g_strdup(record->name),
        g_memdup2(&record->revision, sizeof(record->revision)));
    Counter_Add(COUNTER_STORE_OBJECTS_REJECTED, 1);
    Log_Event(LOG_OBJECT_REJECTED,
              "kind=%s name=%s generation=%" PRId64 " revision=%" PRId64
              " decoded=%d",
              sync->desc.kind, record->name, record->revision.generation,
              record->revision.number, record->value != NULL);
}

static void
report_records(ObjectSync *sync, const ObjectPage *page, GHashTable *names)
{
    if (is_stopping(sync)) {
        return;
    }
    note_unnamed(sync, page);
    note_changes(sync, page);
    for (guint i = 0; i < page->records->len; i++) {
        const ObjectRecord *record =
            &g_array_index(page->records, ObjectRecord, i);

        if (names != NULL) {
            g_hash_table_add(names, g_strdup(record->name));
        }
        if (sync->desc.changed(sync->desc.context, record, page->revision) &&
            (record->deleted || record->value != NULL ||
             sync->desc.names_only)) {
            g_hash_table_remove(sync->rejected, record->name);
        }
        else {
            note_rejected(sync, record);
        }
    }
}

/* Reports the time at which the answer to a call was the newest state. */
static void
report_confirmation(ObjectSync *sync, ClockMs called, const ObjectPage *page)
{
    if (sync->desc.confirmed != NULL && !is_stopping(sync)) {
        sync->desc.confirmed(sync->desc.context,
                             called + page->held_ms - page->age_ms,
                             sync->revision);
    }
}

static void
note_receiving(void *context)
{
    const ObjectSync *sync = context;

    if (sync->desc.receiving != NULL) {
        sync->desc.receiving(sync->desc.context, TRUE);
    }
}

static void
note_begun(void *context)
{
    const ObjectSync *sync = context;

    note_receiving(context);
    if (sync->desc.announced != NULL) {
        sync->desc.announced(sync->desc.context, TRUE);
    }
}

/* Reads one page of a list. The first one may begin a new generation. */
static Result
list_page(ObjectSync *sync, const char *after, ObjectPage *page)
{
    const ObjectStore *store = sync->desc.store;
    Result result;

    page->stall_ms = sync->stall_ms;
    page->begun = note_receiving;
    page->context = sync;
    result = store->list(store->context, sync->desc.kind, after, page);
    sync->transfer = page->transfer;
    sync->has_answered = page->has_begun;
    if (result == RESULT_OK) {
        result = check_revision(sync, page->revision);
        if (result == RESULT_STORE_HISTORY_GONE && after[0] == '\0') {
            result = RESULT_OK;
        }
    }
    return result;
}

/* Lists the whole kind. Watching starts at the revision of the first page, so
 * the watch also reports changes made between two pages. */
static Result
list_all(ObjectSync *sync)
{
    GHashTable *names =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char *after = g_strdup("");
    ClockMs started = Clock_Now();
    ObjectPage first = {0}; /* revision and times of the first page */
    ObjectPage page;
    gboolean more = TRUE;
    Result result = RESULT_OK;

    while (more && result == RESULT_OK) {
        ObjectPage_Init(&page);
        result = list_page(sync, after, &page);
        if (result == RESULT_OK) {
            report_records(sync, &page, names);
            first = after[0] == '\0' ? page : first;
            result = ObjectPage_Advance(&page, &after, &more);
        }
        ObjectPage_Clear(&page);
    }
    g_free(after);
    if (result == RESULT_OK) {
        sync->revision = first.revision;
        sync->has_listed = TRUE;
        sync->next_wait_ms = CONFIRM_WAIT_MS;
        if (sync->desc.listed != NULL && !is_stopping(sync)) {
            sync->desc.listed(sync->desc.context, names, first.revision);
        }
        report_confirmation(sync, started, &first);
        atomic_store(&sync->complete, TRUE);
    }
    g_hash_table_destroy(names);
    return result;
}

static Result
watch_once(ObjectSync *sync, gboolean *changed)
{
    const ObjectStore *store = sync->desc.store;
    ClockMs wait_ms =
        sync->desc.confirm_changes ? sync->next_wait_ms : sync->desc.wait_ms;
    ClockMs started = Clock_Now();
    ObjectPage page;
    Result result;

    ObjectPage_Init(&page);
    page.stall_ms = sync->stall_ms;
    page.begun = note_begun;
    page.context = sync;
    result = store->watch(store->context, sync->desc.kind, sync->revision,
                          wait_ms, &page);
    sync->transfer = page.transfer;
    sync->has_answered = page.has_begun;
    if (result == RESULT_STORE_HISTORY_GONE) {
        Log_Event(LOG_STORE_HISTORY_GONE,
                  "kind=%s generation=%" PRId64 " revision=%" PRId64
                  " too_large=%d of=%" PRId64,
                  sync->desc.kind, sync->revision.generation,
                  sync->revision.number, page.is_too_large,
                  page.transfer.expected_bytes);
        sync->revision.number = -1;
    }
    else if (result == RESULT_OK) {
        result = check_revision(sync, page.revision);
    }
    if (result == RESULT_OK) {
        *changed = page.records->len > 0;
        report_records(sync, &page, NULL);
        if (page.unnamed > 0) {
            /* Which objects have changed is found in a list only. */
            sync->revision.number = -1;
        }
        else if (!page.is_arriving) {
            sync->revision.number =
                MAX(sync->revision.number, page.revision.number);
            report_confirmation(sync, started, &page);
        }
        sync->next_wait_ms = *changed ? CONFIRM_WAIT_MS : sync->desc.wait_ms;
    }
    ObjectPage_Clear(&page);
    return result;
}

/* Pause after a watch that returned changes. */
static ClockMs
next_pause(ObjectSync *sync)
{
    ClockMs pause_ms = sync->has_listed ? sync->desc.first_pause_ms : 0;

    sync->has_listed = FALSE;
    return MAX(pause_ms, sync->desc.pause_ms);
}

static void *
run(void *context)
{
    ObjectSync *sync = context;
    gboolean stopping = FALSE;
    gboolean changed;
    Result result;

    rcu_register_thread();
    while (!stopping) {
        changed = FALSE;
        result =
            ObjectGeneration_NeedsList(sync->desc.generation, sync->revision)
                ? list_all(sync)
                : watch_once(sync, &changed);
        if (result == RESULT_OK) {
            note_success(sync);
            stopping = sleep_for(sync, changed ? next_pause(sync) : 0);
        }
        else if (result == RESULT_STORE_HISTORY_GONE) {
            stopping = is_stopping(sync);
        }
        else {
            note_failure(sync, result);
            stopping = sleep_for(sync, ObjectBackoff_Next(&sync->backoff));
        }
    }
    rcu_unregister_thread();
    return NULL;
}

ObjectSync *
ObjectSync_Start(const ObjectSync_desc *desc)
{
    ObjectSync *sync = g_new0(ObjectSync, 1);

    sync->desc = *desc;
    if (sync->desc.wait_ms == 0) {
        sync->desc.wait_ms = DEFAULT_WAIT_MS;
    }
    sync->next_wait_ms = sync->desc.wait_ms;
    sync->revision.number = -1;
    sync->stall_ms = MIN_STALL_MS;
    sync->rejected =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    ObjectBackoff_Init(&sync->backoff);
    pthread_mutex_init(&sync->lock, NULL);
    Condition_Init(&sync->wake);
    pthread_create(&sync->thread, NULL, run, sync);
    return sync;
}

void
ObjectSync_Stop(ObjectSync *sync)
{
    if (sync == NULL) {
        return;
    }
    pthread_mutex_lock(&sync->lock);
    sync->stopping = TRUE;
    pthread_cond_signal(&sync->wake);
    pthread_mutex_unlock(&sync->lock);
    pthread_join(sync->thread, NULL);
    pthread_cond_destroy(&sync->wake);
    pthread_mutex_destroy(&sync->lock);
    g_hash_table_destroy(sync->rejected);
    g_free(sync);
}

void
ObjectSync_Retry(ObjectSync *sync)
{
    pthread_mutex_lock(&sync->lock);
    sync->must_retry = TRUE;
    pthread_cond_signal(&sync->wake);
    pthread_mutex_unlock(&sync->lock);
}

gboolean
ObjectSync_IsComplete(const ObjectSync *sync)
{
    return atomic_load(&sync->complete);
}
