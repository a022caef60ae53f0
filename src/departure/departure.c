#include "departure/departure.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#include "base/condition.h"
#include "base/log.h"
#include "objects/object_backoff.h"

#define DEFAULT_READ_WAIT_MS 500

/* An acknowledgement has to arrive within a second. */
#define RECORD_WAIT_MS 600

/* Time after which a store that has not answered is taken to be away. */
#define STORE_WAIT_MS 150

/* Pause between two times at which others are given the record: those that
 * keep it may end, too. */
#define RENEW_MS 2000

/* Age by the wall clock after which a record is removed; far more than the
 * delay of an announcement and the difference of two hosts' clocks. */
#define RETENTION_MS 600000

typedef struct Instance {
    char name[DEPARTURE_NAME_BYTES]; /* "": none */
    int64_t born;
} Instance;

struct Departure {
    Departure_desc desc;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t wake; /* signals a change of the fields below */
    gboolean stopping;
    gboolean is_listed;      /* the records in the store have been read; used
                                by the thread only */
    gboolean is_read;        /* the record of earlier processes is known */
    gboolean is_written;     /* the store has `left` */
    gboolean is_conflict;    /* the record has to be read again */
    ClockMs deposited;       /* time at which others were given the record */
    int64_t generation;      /* newest known one of the store */
    Instance left;           /* instance that left last */
    ObjectRevision revision; /* of the record; number 0: there is none */
    Instance held;           /* instance that was not admitted */
    int64_t held_sequence;
    ObjectBackoff backoff; /* used by the thread only */
};

static json_t *
encode(const Instance *instance, ClockMs at)
{
    return json_pack("{s:s, s:I, s:I}", "instance", instance->name, "born",
                     (json_int_t)instance->born, "at", (json_int_t)at);
}

static gboolean
decode(const json_t *value, Instance *instance, ClockMs *at)
{
    const char *name;
    json_int_t born;
    json_int_t wall;

    if (value == NULL ||
        json_unpack((json_t *)value, "{s:s, s:I, s:I}", "instance", &name,
                    "born", &born, "at", &wall) != 0 ||
        g_strlcpy(instance->name, name, sizeof(instance->name)) >=
            sizeof(instance->name)) {
        return FALSE;
    }
    instance->born = born;
    *at = wall;
    return TRUE;
}

static gboolean
is_same(const Instance *instance, const char *name, int64_t born)
{
    return strcmp(instance->name, name) == 0 && instance->born == born;
}

/* Notes the revision of the record as read or written. In a later generation
 * the store may have another record or none. Called with the lock held. */
static void
set_revision(Departure *departure, ObjectRevision revision,
             gboolean is_written)
{
    departure->revision = revision;
    departure->is_conflict = revision.generation < departure->generation;
    departure->is_written = is_written && !departure->is_conflict;
}

/* Takes the record of an earlier process, unless a later instance has left
 * meanwhile. */
static void
take_own(Departure *departure, const ObjectRecord *record)
{
    Instance instance;
    ClockMs at;
    gboolean is_valid = decode(record->value, &instance, &at);
    gboolean is_newest;

    pthread_mutex_lock(&departure->lock);
    is_newest =
        is_valid && (departure->left.name[0] == '\0' ||
                     is_same(&departure->left, instance.name, instance.born) ||
                     instance.born > departure->left.born);
    if (is_newest) {
        departure->left = instance;
    }
    set_revision(departure, record->revision,
                 is_newest || departure->is_written);
    pthread_mutex_unlock(&departure->lock);
    if (is_valid) {
        departure->desc.left(departure->desc.context, instance.name,
                             instance.born);
    }
}

/* Removes the record of another host if it is too old to matter. */
static void
sweep(Departure *departure, const ObjectRecord *record)
{
    const ObjectStore *store = departure->desc.store;
    Instance instance;
    ClockMs at;

    if (decode(record->value, &instance, &at) &&
        Clock_WallMs() - at > RETENTION_MS) {
        (void)store->remove(store->context, DEPARTURE_KIND, record->name,
                            record->revision);
    }
}

/* Reads all records, to find that of this host and the old ones. */
static Result
read_all(Departure *departure)
{
    const ObjectStore *store = departure->desc.store;
    char *after = g_strdup("");
    gboolean more = TRUE;
    Result result = RESULT_OK;

    while (more && result == RESULT_OK) {
        ObjectPage page;

        ObjectPage_Init(&page);
        result = store->list(store->context, DEPARTURE_KIND, after, &page);
        for (guint i = 0; i < page.records->len; i++) {
            const ObjectRecord *record =
                &g_array_index(page.records, ObjectRecord, i);

            if (strcmp(record->name, departure->desc.host) == 0) {
                take_own(departure, record);
            }
            else {
                sweep(departure, record);
            }
        }
        if (result == RESULT_OK) {
            result = ObjectPage_Advance(&page, &after, &more);
        }
        ObjectPage_Clear(&page);
    }
    g_free(after);
    return result;
}

/* Reads the record after a conflict or a lost answer. */
static Result
read_back(Departure *departure)
{
    const ObjectStore *store = departure->desc.store;
    ObjectRecord record = {0};
    Instance stored = {0};
    ClockMs at;
    Result result = store->get(store->context, DEPARTURE_KIND,
                               departure->desc.host, &record);

    if (result != RESULT_OK && result != RESULT_NOT_FOUND) {
        return result;
    }
    if (!decode(record.value, &stored, &at)) {
        stored = (Instance){0};
    }
    pthread_mutex_lock(&departure->lock);
    if (record.revision.generation < departure->generation) {
        /* A late answer from before a restoration. */
        result = RESULT_STORE_UNAVAILABLE;
    }
    else {
        set_revision(departure, record.revision,
                     is_same(&departure->left, stored.name, stored.born));
        result = RESULT_OK;
    }
    pthread_mutex_unlock(&departure->lock);
    ObjectRecord_Clear(&record);
    return result;
}

static Result
write_once(Departure *departure)
{
    const ObjectStore *store = departure->desc.store;
    Instance instance;
    ObjectRevision revision;
    json_t *value;
    Result result;

    pthread_mutex_lock(&departure->lock);
    instance = departure->left;
    revision = departure->revision;
    pthread_mutex_unlock(&departure->lock);
    value = encode(&instance, Clock_WallMs());
    result = store->put(store->context, DEPARTURE_KIND, departure->desc.host,
                        value, &revision);
    json_decref(value);
    pthread_mutex_lock(&departure->lock);
    if (result == RESULT_OK) {
        set_revision(departure, revision,
                     is_same(&departure->left, instance.name, instance.born));
    }
    else {
        departure->is_conflict = TRUE;
    }
    pthread_mutex_unlock(&departure->lock);
    Log_Event(LOG_OBJECT_WRITTEN,
              "kind=%s name=%s result=%s generation=%" PRId64
              " revision=%" PRId64 " instance=%s",
              DEPARTURE_KIND, departure->desc.host, Result_Name(result),
              revision.generation, revision.number, instance.name);
    return result;
}

/* Learns of departures before this process. */
static Result
read_earlier(Departure *departure)
{
    if (!departure->is_listed) {
        Result result = read_all(departure);

        if (result != RESULT_OK) {
            return result;
        }
        departure->is_listed = TRUE;
    }
    if (departure->desc.collect != NULL &&
        !departure->desc.collect(departure->desc.context)) {
        return RESULT_STORE_UNAVAILABLE;
    }
    pthread_mutex_lock(&departure->lock);
    departure->is_read = TRUE;
    pthread_mutex_unlock(&departure->lock);
    return RESULT_OK;
}

/* Does the next step with the store. */
static Result
step(Departure *departure)
{
    gboolean is_read;
    gboolean is_conflict;

    pthread_mutex_lock(&departure->lock);
    is_read = departure->is_read;
    is_conflict = departure->is_conflict;
    pthread_mutex_unlock(&departure->lock);
    if (!is_read) {
        return read_earlier(departure);
    }
    return is_conflict ? read_back(departure) : write_once(departure);
}

/* Sleeps for pause_ms, then waits until there is something to read or write.
 * Returns FALSE if the thread has to stop. */
static gboolean
wait_for_work(Departure *departure, ClockMs pause_ms)
{
    struct timespec until = Condition_After(pause_ms);
    gboolean stopping;

    pthread_mutex_lock(&departure->lock);
    pthread_cond_broadcast(&departure->wake);
    while (!departure->stopping && pause_ms > 0 &&
           pthread_cond_timedwait(&departure->wake, &departure->lock,
                                  &until) == 0) {
    }
    while (!departure->stopping && departure->is_read &&
           departure->is_written) {
        pthread_cond_wait(&departure->wake, &departure->lock);
    }
    stopping = departure->stopping;
    pthread_mutex_unlock(&departure->lock);
    return !stopping;
}

/* Gives the record to others, unless that was done lately. */
static gboolean
deposit(Departure *departure)
{
    const Departure_desc *desc = &departure->desc;
    ClockMs now = Clock_Now();
    Instance left;

    pthread_mutex_lock(&departure->lock);
    left = departure->left;
    departure->deposited = now;
    pthread_mutex_unlock(&departure->lock);
    return desc->deposit != NULL &&
           desc->deposit(desc->context, left.name, left.born);
}

/* Whether others have to be given the record again. */
static gboolean
is_renewal_due(Departure *departure)
{
    gboolean is_due;

    pthread_mutex_lock(&departure->lock);
    is_due = !departure->is_written && !departure->stopping &&
             Clock_Now() - departure->deposited >= RENEW_MS;
    pthread_mutex_unlock(&departure->lock);
    return is_due;
}

static void *
run(void *context)
{
    Departure *departure = context;
    ClockMs pause_ms = 0;

    while (wait_for_work(departure, pause_ms)) {
        Result result = step(departure);

        if (result == RESULT_OK || result == RESULT_STORE_CONFLICT) {
            ObjectBackoff_Reset(&departure->backoff);
            pause_ms = 0;
        }
        else {
            pause_ms = ObjectBackoff_Next(&departure->backoff);
            if (is_renewal_due(departure)) {
                (void)deposit(departure);
            }
        }
    }
    return NULL;
}

Departure *
Departure_Create(const Departure_desc *desc)
{
    Departure *departure = g_new0(Departure, 1);

    departure->desc = *desc;
    if (departure->desc.read_wait_ms == 0) {
        departure->desc.read_wait_ms = DEFAULT_READ_WAIT_MS;
    }
    departure->is_written = TRUE;
    ObjectBackoff_Init(&departure->backoff);
    pthread_mutex_init(&departure->lock, NULL);
    Condition_Init(&departure->wake);
    pthread_create(&departure->thread, NULL, run, departure);
    return departure;
}

void
Departure_Destroy(Departure *departure)
{
    if (departure == NULL) {
        return;
    }
    pthread_mutex_lock(&departure->lock);
    departure->stopping = TRUE;
    pthread_cond_broadcast(&departure->wake);
    pthread_mutex_unlock(&departure->lock);
    pthread_join(departure->thread, NULL);
    pthread_cond_destroy(&departure->wake);
    pthread_mutex_destroy(&departure->lock);
    g_free(departure);
}

/* Waits until the flag is set or the time has passed. Called with the lock
 * held. */
static gboolean
await(Departure *departure, const gboolean *flag, ClockMs milliseconds)
{
    struct timespec until = Condition_After(milliseconds);

    while (!*flag && !departure->stopping &&
           pthread_cond_timedwait(&departure->wake, &departure->lock,
                                  &until) == 0) {
    }
    return *flag;
}

gboolean
Departure_Admits(Departure *departure, const char *instance, int64_t born,
                 int64_t sequence)
{
    gboolean admits;

    pthread_mutex_lock(&departure->lock);
    admits =
        await(departure, &departure->is_read, departure->desc.read_wait_ms) ||
        (is_same(&departure->held, instance, born) &&
         sequence > departure->held_sequence);
    if (!admits) {
        g_strlcpy(departure->held.name, instance,
                  sizeof(departure->held.name));
        departure->held.born = born;
        departure->held_sequence = sequence;
    }
    pthread_mutex_unlock(&departure->lock);
    return admits;
}

/* Takes the instance for the one that left last, unless a later one has.
 * Returns TRUE if it is new. Called with the lock held. */
static gboolean
set_left(Departure *departure, const char *instance, int64_t born)
{
    if (is_same(&departure->left, instance, born) ||
        (born != 0 && born < departure->left.born)) {
        return FALSE;
    }
    g_strlcpy(departure->left.name, instance, sizeof(departure->left.name));
    departure->left.born = born;
    departure->is_written = FALSE;
    pthread_cond_broadcast(&departure->wake);
    return TRUE;
}

gboolean
Departure_Record(Departure *departure, const char *instance, int64_t born)
{
    ClockMs end = Clock_Now() + RECORD_WAIT_MS;
    gboolean is_recorded;

    pthread_mutex_lock(&departure->lock);
    (void)set_left(departure, instance, born);
    is_recorded = await(departure, &departure->is_written, STORE_WAIT_MS);
    if (!is_recorded) {
        pthread_mutex_unlock(&departure->lock);
        is_recorded = deposit(departure);
        pthread_mutex_lock(&departure->lock);
    }
    is_recorded = is_recorded || await(departure, &departure->is_written,
                                       MAX(end - Clock_Now(), 0));
    pthread_mutex_unlock(&departure->lock);
    return is_recorded;
}

gboolean
Departure_Adopt(Departure *departure, const char *instance, int64_t born)
{
    gboolean is_new;
    gboolean is_written;

    pthread_mutex_lock(&departure->lock);
    is_new = set_left(departure, instance, born);
    is_written = departure->is_written;
    pthread_mutex_unlock(&departure->lock);
    if (is_new) {
        Log_Event(LOG_DEPARTURE_RETURNED, "instance=%s born=%" PRId64,
                  instance, born);
        departure->desc.left(departure->desc.context, instance, born);
    }
    return is_written;
}

void
Departure_NoteGeneration(Departure *departure, int64_t generation)
{
    pthread_mutex_lock(&departure->lock);
    if (generation > departure->generation) {
        departure->generation = generation;
        if (departure->left.name[0] != '\0' &&
            departure->revision.generation < generation) {
            departure->is_conflict = TRUE;
            departure->is_written = FALSE;
            pthread_cond_broadcast(&departure->wake);
        }
    }
    pthread_mutex_unlock(&departure->lock);
}
