#include "mirror/mirror_cache.h"

#include <pthread.h>
#include <string.h>
#include <time.h>

#include "base/condition.h"
#include "pack/pack.h"

typedef struct Entry {
    ObjectRecord record;
    size_t bytes;    /* of the text, before it was compressed */
    int64_t filed;   /* revision under which readers find this change */
    ClockMs updated; /* local time of the update */
} Entry;

struct MirrorCache {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GHashTable *entries; /* name -> Entry */
    GHashTable *staged;  /* the same, not confirmed yet */
    int64_t staged_generation;
    gboolean staged_list;    /* the whole kind has been listed */
    ObjectRevision revision; /* all changes up to it are present; number -1:
                                none yet in this generation */
    int64_t newest;          /* revision of the last change */
    int64_t discarded;       /* deletions up to it are unknown */
    ClockMs confirmed;
    uint64_t confirmations;
    gboolean is_arriving; /* MirrorCache_Announce() */
};

static void
free_entry(gpointer data)
{
    Entry *entry = data;

    ObjectRecord_Clear(&entry->record);
    g_free(entry);
}

MirrorCache *
MirrorCache_Create(void)
{
    MirrorCache *cache = g_new0(MirrorCache, 1);

    pthread_mutex_init(&cache->lock, NULL);
    Condition_Init(&cache->changed);
    cache->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    cache->staged =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    cache->revision.number = -1;
    return cache;
}

void
MirrorCache_Destroy(MirrorCache *cache)
{
    if (cache != NULL) {
        g_hash_table_destroy(cache->entries);
        g_hash_table_destroy(cache->staged);
        pthread_cond_destroy(&cache->changed);
        pthread_mutex_destroy(&cache->lock);
        g_free(cache);
    }
}

/* Returns the text of a value. A large one is compressed here, once for all
 * readers. */
static GBytes *
encode_value(const ObjectRecord *record, gboolean *is_packed, size_t *bytes)
{
    GBytes *text = record->text ? g_bytes_ref(record->text) : NULL;
    GBytes *packed;
    char *dump;

    if (text == NULL) {
        dump = record->value != NULL
                   ? json_dumps(record->value, JSON_COMPACT | JSON_ENCODE_ANY)
                   : NULL;
        text = dump != NULL ? g_bytes_new(dump, strlen(dump))
                            : g_bytes_new_static("null", strlen("null"));
        free(dump);
    }
    *bytes = g_bytes_get_size(text);
    *is_packed = *bytes >= _MIRROR_MIN_PACKED_BYTES;
    if (*is_packed) {
        packed = Pack_Compress(g_bytes_get_data(text, NULL),
                               g_bytes_get_size(text));
        g_bytes_unref(text);
        text = packed;
    }
    return text;
}

/* Creates the entry of a state that the host has read. A deletion is filed
 * under the revision of the answer, because its own is not known. */
static Entry *
create_entry(const ObjectRecord *record, ObjectRevision revision)
{
    Entry *entry = g_new0(Entry, 1);

    entry->record = (ObjectRecord){.name = g_strdup(record->name),
                                   .revision = record->revision,
                                   .deleted = record->deleted};
    entry->record.text =
        encode_value(record, &entry->record.is_packed, &entry->bytes);
    entry->filed = record->deleted ? revision.number : record->revision.number;
    entry->updated = Clock_Now();
    return entry;
}

/* Whether the entry is a later state of the object than the one before. */
static gboolean
is_later(const Entry *entry, const Entry *before)
{
    return before == NULL || entry->filed > before->filed ||
           (entry->record.deleted && entry->filed == before->filed);
}

static void
put_entry(GHashTable *entries, Entry *entry)
{
    if (is_later(entry, g_hash_table_lookup(entries, entry->record.name))) {
        g_hash_table_replace(entries, entry->record.name, entry);
    }
    else {
        free_entry(entry);
    }
}

/* Discards what was staged in an earlier generation. Returns FALSE if the
 * revision is of an earlier generation itself. Called with the lock held. */
static gboolean
enter_staging(MirrorCache *cache, ObjectRevision revision)
{
    if (revision.generation > cache->staged_generation) {
        g_hash_table_remove_all(cache->staged);
        cache->staged_list = FALSE;
        cache->staged_generation = revision.generation;
    }
    return revision.generation == cache->staged_generation;
}

void
MirrorCache_Update(MirrorCache *cache, const ObjectRecord *record,
                   ObjectRevision revision)
{
    /* Compressing a large value takes a while, so readers are not blocked. */
    Entry *entry = create_entry(record, revision);

    pthread_mutex_lock(&cache->lock);
    if (enter_staging(cache, revision)) {
        put_entry(cache->staged, entry);
    }
    else {
        free_entry(entry);
    }
    pthread_mutex_unlock(&cache->lock);
}

/* Stages the deletion of the entries that are not among the names. Called with
 * the lock held. */
static void
stage_deletions(MirrorCache *cache, GHashTable *entries, GHashTable *names,
                ObjectRevision revision)
{
    GList *values = g_hash_table_get_values(entries);

    for (GList *item = values; item != NULL; item = item->next) {
        const Entry *entry = item->data;
        ObjectRecord deletion = {.name = entry->record.name, .deleted = TRUE};

        if (!entry->record.deleted &&
            !g_hash_table_contains(names, entry->record.name)) {
            put_entry(cache->staged, create_entry(&deletion, revision));
        }
    }
    g_list_free(values);
}

void
MirrorCache_Retain(MirrorCache *cache, GHashTable *names,
                   ObjectRevision revision)
{
    pthread_mutex_lock(&cache->lock);
    if (enter_staging(cache, revision)) {
        cache->staged_list = TRUE;
        stage_deletions(cache, cache->staged, names, revision);
        if (revision.generation == cache->revision.generation) {
            stage_deletions(cache, cache->entries, names, revision);
        }
    }
    pthread_mutex_unlock(&cache->lock);
}

/* Discards the state of an earlier generation. Returns FALSE if the revision
 * is of an earlier generation itself. Called with the lock held. */
static gboolean
enter_generation(MirrorCache *cache, ObjectRevision revision)
{
    if (revision.generation > cache->revision.generation) {
        g_hash_table_remove_all(cache->entries);
        cache->revision =
            (ObjectRevision){.generation = revision.generation, .number = -1};
        cache->newest = 0;
        cache->discarded = 0;
    }
    return revision.generation == cache->revision.generation;
}

/* Called with the lock held. */
static void
publish_staged(MirrorCache *cache, int64_t revision)
{
    GHashTableIter iterator;
    gpointer value;

    if (cache->staged_list || cache->revision.number < 0) {
        /* An object that was created and deleted since the state before is
         * unknown, so a reader that may have it has to list, too. */
        cache->discarded = MAX(cache->discarded, revision);
    }
    cache->staged_list = FALSE;
    g_hash_table_iter_init(&iterator, cache->staged);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Entry *entry = value;

        g_hash_table_iter_steal(&iterator);
        cache->newest = MAX(cache->newest, entry->filed);
        put_entry(cache->entries, entry);
    }
}

/* Discards deletions older than MIRROR_DELETION_MS. Called with the lock held.
 */
static void
discard_deletions(MirrorCache *cache, ClockMs now)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, cache->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const Entry *entry = value;

        if (entry->record.deleted &&
            now - entry->updated > MIRROR_DELETION_MS) {
            cache->discarded = MAX(cache->discarded, entry->filed);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

void
MirrorCache_Confirm(MirrorCache *cache, ClockMs as_of, ObjectRevision revision)
{
    pthread_mutex_lock(&cache->lock);
    if (enter_generation(cache, revision)) {
        if (cache->staged_generation != revision.generation ||
            revision.number < cache->revision.number) {
            /* Of an earlier generation, or a list of a source that is behind.
             */
            g_hash_table_remove_all(cache->staged);
            cache->staged_list = FALSE;
        }
        publish_staged(cache, revision.number);
        cache->revision.number = MAX(cache->revision.number, revision.number);
        cache->confirmed = MAX(cache->confirmed, as_of);
        cache->confirmations++;
        cache->is_arriving = FALSE;
        pthread_cond_broadcast(&cache->changed);
        discard_deletions(cache, Clock_Now());
    }
    pthread_mutex_unlock(&cache->lock);
}

void
MirrorCache_Announce(MirrorCache *cache, gboolean is_arriving)
{
    pthread_mutex_lock(&cache->lock);
    cache->is_arriving = is_arriving;
    pthread_mutex_unlock(&cache->lock);
}

gboolean
MirrorCache_IsArriving(MirrorCache *cache)
{
    gboolean is_arriving;

    pthread_mutex_lock(&cache->lock);
    is_arriving = cache->is_arriving;
    pthread_mutex_unlock(&cache->lock);
    return is_arriving;
}

/* Called with the lock held. */
static gboolean
has_news(const MirrorCache *cache, ObjectRevision since)
{
    if (cache->revision.number < 0 ||
        since.generation > cache->revision.generation) {
        return FALSE;
    }
    return since.number < 0 ||
           (since.generation >= 0 &&
            since.generation < cache->revision.generation) ||
           since.number < cache->discarded ||
           MIN(cache->newest, cache->revision.number) > since.number;
}

void
MirrorCache_Wait(MirrorCache *cache, ObjectRevision revision, ClockMs wait_ms)
{
    struct timespec until = Condition_After(wait_ms);
    uint64_t confirmations;

    pthread_mutex_lock(&cache->lock);
    confirmations = cache->confirmations;
    while (!has_news(cache, revision) &&
           (cache->confirmations == confirmations ||
            revision.generation > cache->revision.generation) &&
           pthread_cond_timedwait(&cache->changed, &cache->lock, &until) ==
               0) {
    }
    pthread_mutex_unlock(&cache->lock);
}

gboolean
MirrorCache_AwaitRevision(MirrorCache *cache, ObjectRevision revision,
                          ClockMs wait_ms)
{
    struct timespec until = Condition_After(wait_ms);
    gboolean reached;

    pthread_mutex_lock(&cache->lock);
    while (ObjectRevision_Compare(cache->revision, revision) < 0 &&
           pthread_cond_timedwait(&cache->changed, &cache->lock, &until) ==
               0) {
    }
    reached = ObjectRevision_Compare(cache->revision, revision) >= 0;
    pthread_mutex_unlock(&cache->lock);
    return reached;
}

/* Called with the lock held. */
static void
copy_entries(MirrorCache *cache, int64_t revision, ObjectPage *page)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, cache->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const Entry *entry = value;
        ObjectRecord copy = entry->record;

        if (entry->filed <= revision || (revision < 0 && copy.deleted)) {
            continue;
        }
        copy.name = g_strdup(copy.name);
        copy.text = g_bytes_ref(copy.text);
        g_array_append_val(page->records, copy);
    }
}

/* Called with the lock held. */
static Result
check_reader(const MirrorCache *cache, ObjectRevision since)
{
    ObjectRevision own = cache->revision;

    if (since.generation > own.generation) {
        return RESULT_STORE_UNAVAILABLE;
    }
    if (since.number >= 0 && since.generation >= 0 &&
        since.generation < own.generation) {
        return RESULT_STORE_HISTORY_GONE;
    }
    if (own.number < 0) {
        return RESULT_STORE_UNAVAILABLE;
    }
    if ((since.number >= 0 && since.number < cache->discarded) ||
        (since.generation < 0 && since.number > own.number)) {
        return RESULT_STORE_HISTORY_GONE;
    }
    return RESULT_OK;
}

Result
MirrorCache_Read(MirrorCache *cache, ObjectRevision revision, ObjectPage *page)
{
    Result result;

    pthread_mutex_lock(&cache->lock);
    result = check_reader(cache, revision);
    if (result == RESULT_OK) {
        copy_entries(cache, revision.number, page);
        page->revision = cache->revision;
        page->age_ms = MAX(Clock_Now() - cache->confirmed, 0);
    }
    pthread_mutex_unlock(&cache->lock);
    return result;
}

gboolean
MirrorCache_IsAhead(MirrorCache *cache, ObjectRevision revision)
{
    gboolean result;

    pthread_mutex_lock(&cache->lock);
    result = revision.number >= 0 &&
             revision.generation == cache->revision.generation &&
             cache->revision.number > revision.number &&
             has_news(cache, revision);
    pthread_mutex_unlock(&cache->lock);
    return result;
}

size_t
MirrorCache_Bytes(MirrorCache *cache)
{
    GHashTableIter iterator;
    gpointer value;
    size_t bytes = 0;

    pthread_mutex_lock(&cache->lock);
    g_hash_table_iter_init(&iterator, cache->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        bytes += ((const Entry *)value)->bytes;
    }
    pthread_mutex_unlock(&cache->lock);
    return bytes;
}

ObjectRevision
MirrorCache_Revision(MirrorCache *cache)
{
    ObjectRevision revision;

    pthread_mutex_lock(&cache->lock);
    revision = cache->revision;
    pthread_mutex_unlock(&cache->lock);
    return revision;
}
