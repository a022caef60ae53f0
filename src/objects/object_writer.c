#include "objects/object_writer.h"

#include <inttypes.h>
#include <pthread.h>

#include "base/condition.h"
#include "base/log.h"
#include "objects/object_backoff.h"

struct ObjectWriter {
    ObjectWriter_desc desc;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    gboolean stopping;
    gboolean is_set;       /* ObjectWriter_Set() has been called */
    gboolean stored_known; /* `stored` is up to date */
    json_t *desired;       /* desired value; NULL: the object must not exist */
    json_t *stored;        /* value in the store, JSON null if it cannot be
                              decoded; NULL: no such object */
    ObjectRevision seen;   /* newest known state of the object */
    int64_t condition;     /* revision number of `stored`; 0: none */
    ObjectBackoff backoff; /* used by the thread only */
};

static gboolean
is_up_to_date(const ObjectWriter *writer)
{
    if (!writer->is_set) {
        return TRUE;
    }
    if (!writer->stored_known) {
        return FALSE;
    }
    if (writer->desired == NULL || writer->stored == NULL) {
        return writer->desired == writer->stored;
    }
    return json_equal(writer->desired, writer->stored);
}

/* Records a state of the object in the store, unless a newer one is known.
 * Called with the lock held. */
static void
set_stored(ObjectWriter *writer, json_t *value, ObjectRevision revision)
{
    if (ObjectRevision_Compare(revision, writer->seen) < 0) {
        writer->stored_known = FALSE;
        json_decref(value);
        return;
    }
    json_decref(writer->stored);
    writer->stored = value;
    writer->seen = revision;
    writer->condition = value != NULL ? revision.number : 0;
    writer->stored_known = TRUE;
}

/* Returns the value of an object that exists. */
static json_t *
existing_value(const ObjectRecord *record)
{
    return record->value != NULL ? json_deep_copy(record->value) : json_null();
}

static Result
read_back(ObjectWriter *writer)
{
    const ObjectStore *store = writer->desc.store;
    ObjectRecord record = {0};
    Result result = store->get(store->context, writer->desc.kind,
                               writer->desc.name, &record);
    json_t *value = result == RESULT_OK ? existing_value(&record) : NULL;

    pthread_mutex_lock(&writer->lock);
    if (result == RESULT_NOT_FOUND) {
        /* The absence has no revision of its own. After a restoration the
         * next one may be below that of the earlier generation. */
        if (record.revision.generation == writer->seen.generation) {
            record.revision.number = writer->seen.number;
        }
        result = RESULT_OK;
    }
    if (result == RESULT_OK) {
        set_stored(writer, value, record.revision);
        result = writer->stored_known ? RESULT_OK : RESULT_STORE_UNAVAILABLE;
    }
    pthread_mutex_unlock(&writer->lock);
    ObjectRecord_Clear(&record);
    return result;
}

/* Brings the stored object to the desired value with one write. */
static Result
write_once(ObjectWriter *writer)
{
    const ObjectStore *store = writer->desc.store;
    ObjectRevision revision;
    json_t *value;
    Result result;

    pthread_mutex_lock(&writer->lock);
    revision = writer->seen;
    revision.number = writer->condition;
    value = json_deep_copy(writer->desired);
    pthread_mutex_unlock(&writer->lock);
    if (value != NULL) {
        result = store->put(store->context, writer->desc.kind,
                            writer->desc.name, value, &revision);
    }
    else {
        result = store->remove(store->context, writer->desc.kind,
                               writer->desc.name, revision);
    }
    pthread_mutex_lock(&writer->lock);
    if (result == RESULT_OK) {
        set_stored(writer, json_incref(value), revision);
    }
    else {
        /* After a conflict or a lost answer the store's state is unknown. */
        writer->stored_known = FALSE;
    }
    pthread_mutex_unlock(&writer->lock);
    Log_Event(LOG_OBJECT_WRITTEN,
              "kind=%s name=%s result=%s generation=%" PRId64
              " revision=%" PRId64,
              writer->desc.kind, writer->desc.name, Result_Name(result),
              revision.generation, value != NULL ? revision.number : 0);
    json_decref(value);
    return result;
}

/* Sleeps for pause_ms, then waits until the stored object has to be written or
 * read back. Returns FALSE if the thread has to stop. */
static gboolean
wait_for_work(ObjectWriter *writer, ClockMs pause_ms, gboolean *stored_known)
{
    struct timespec until = Condition_After(pause_ms);
    gboolean stopping;

    pthread_mutex_lock(&writer->lock);
    while (!writer->stopping && pause_ms > 0 &&
           pthread_cond_timedwait(&writer->wake, &writer->lock, &until) == 0) {
    }
    while (!writer->stopping && is_up_to_date(writer)) {
        pthread_cond_wait(&writer->wake, &writer->lock);
    }
    stopping = writer->stopping;
    *stored_known = writer->stored_known;
    pthread_mutex_unlock(&writer->lock);
    return !stopping;
}

static void *
run(void *context)
{
    ObjectWriter *writer = context;
    ClockMs pause_ms = 0;
    gboolean stored_known;
    Result result;

    while (wait_for_work(writer, pause_ms, &stored_known)) {
        result = stored_known ? write_once(writer) : read_back(writer);
        if (result == RESULT_OK || result == RESULT_STORE_CONFLICT) {
            ObjectBackoff_Reset(&writer->backoff);
            pause_ms = 0;
        }
        else {
            pause_ms = ObjectBackoff_Next(&writer->backoff);
        }
    }
    return NULL;
}

ObjectWriter *
ObjectWriter_Start(const ObjectWriter_desc *desc)
{
    ObjectWriter *writer = g_new0(ObjectWriter, 1);

    writer->desc = *desc;
    /* Usually the object does not exist yet; otherwise the first write gets a
     * conflict. */
    writer->stored_known = TRUE;
    ObjectBackoff_Init(&writer->backoff);
    pthread_mutex_init(&writer->lock, NULL);
    Condition_Init(&writer->wake);
    pthread_create(&writer->thread, NULL, run, writer);
    return writer;
}

void
ObjectWriter_Set(ObjectWriter *writer, json_t *value)
{
    pthread_mutex_lock(&writer->lock);
    json_decref(writer->desired);
    writer->desired = value;
    writer->is_set = TRUE;
    pthread_cond_signal(&writer->wake);
    pthread_mutex_unlock(&writer->lock);
}

void
ObjectWriter_Observe(ObjectWriter *writer, const ObjectRecord *record)
{
    pthread_mutex_lock(&writer->lock);
    if (ObjectRevision_Compare(record->revision, writer->seen) > 0) {
        set_stored(writer, record->deleted ? NULL : existing_value(record),
                   record->revision);
        pthread_cond_signal(&writer->wake);
    }
    pthread_mutex_unlock(&writer->lock);
}

void
ObjectWriter_Stop(ObjectWriter *writer)
{
    if (writer == NULL) {
        return;
    }
    pthread_mutex_lock(&writer->lock);
    writer->stopping = TRUE;
    pthread_cond_signal(&writer->wake);
    pthread_mutex_unlock(&writer->lock);
    pthread_join(writer->thread, NULL);
    pthread_cond_destroy(&writer->wake);
    pthread_mutex_destroy(&writer->lock);
    json_decref(writer->desired);
    json_decref(writer->stored);
    g_free(writer);
}
