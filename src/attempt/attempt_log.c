#include "attempt/attempt_log.h"

#include <pthread.h>

#define MAX_NOTED 16384
#define MAX_VOID 4096

/* Key of the hash tables, with the time of its arrival or of its question. */
typedef struct Record {
    uint64_t id;
    ClockMs time;
} Record;

/* The last records, in a ring. */
typedef struct Ring {
    Record *records;
    uint32_t size;
    uint32_t first; /* the oldest */
    uint32_t count;
    GHashTable *ids; /* set of &Record.id */
} Ring;

struct AttemptLog {
    pthread_mutex_t lock;
    Ring noted;
    Ring voids;
    ClockMs covered_since; /* no record of a later arrival was dropped */
};

static void
init_ring(Ring *ring, uint32_t size)
{
    ring->records = g_new0(Record, size);
    ring->size = size;
    ring->ids = g_hash_table_new(g_int64_hash, g_int64_equal);
}

static void
clear_ring(Ring *ring)
{
    g_hash_table_destroy(ring->ids);
    g_free(ring->records);
}

static gboolean
contains(const Ring *ring, uint64_t id)
{
    return g_hash_table_contains(ring->ids, &id);
}

static gboolean
is_full(const Ring *ring)
{
    return ring->count == ring->size;
}

static ClockMs
drop_oldest(Ring *ring)
{
    Record *oldest = &ring->records[ring->first];

    g_hash_table_remove(ring->ids, &oldest->id);
    ring->first = (ring->first + 1) % ring->size;
    ring->count--;
    return oldest->time;
}

static void
add(Ring *ring, uint64_t id, ClockMs now)
{
    Record *record = &ring->records[(ring->first + ring->count) % ring->size];

    *record = (Record){.id = id, .time = now};
    g_hash_table_add(ring->ids, &record->id);
    ring->count++;
}

AttemptLog *
AttemptLog_Create(const AttemptLog_desc *desc)
{
    AttemptLog *log = g_new0(AttemptLog, 1);

    pthread_mutex_init(&log->lock, NULL);
    init_ring(&log->noted, desc->max_noted > 0 ? desc->max_noted : MAX_NOTED);
    init_ring(&log->voids, desc->max_void > 0 ? desc->max_void : MAX_VOID);
    log->covered_since = desc->started;
    return log;
}

void
AttemptLog_Destroy(AttemptLog *log)
{
    if (log != NULL) {
        clear_ring(&log->noted);
        clear_ring(&log->voids);
        pthread_mutex_destroy(&log->lock);
        g_free(log);
    }
}

gboolean
AttemptLog_Note(AttemptLog *log, uint64_t id, ClockMs now)
{
    gboolean may_run;

    pthread_mutex_lock(&log->lock);
    may_run = !contains(&log->voids, id);
    if (may_run && !contains(&log->noted, id)) {
        if (is_full(&log->noted)) {
            /* Threads read the clock before they take the lock, so the times
             * of the records may be out of order. */
            log->covered_since =
                MAX(log->covered_since, drop_oldest(&log->noted));
        }
        add(&log->noted, id, now);
    }
    pthread_mutex_unlock(&log->lock);
    return may_run;
}

/* Whether every attempt that was sent `elapsed_ms` ago or later, and that has
 * arrived, is on record. */
static gboolean
covers(const AttemptLog *log, ClockMs elapsed_ms, ClockMs now)
{
    return elapsed_ms >= 0 && elapsed_ms <= ATTEMPT_MAX_ELAPSED_MS &&
           now - elapsed_ms - ATTEMPT_MARGIN_MS > log->covered_since;
}

/* Makes room for a void id; FALSE if all are still needed. */
static gboolean
make_room(AttemptLog *log, ClockMs now)
{
    Ring *voids = &log->voids;

    if (!is_full(voids)) {
        return TRUE;
    }
    if (now - voids->records[voids->first].time <= ATTEMPT_VOID_MS) {
        return FALSE;
    }
    (void)drop_oldest(voids);
    return TRUE;
}

AttemptState
AttemptLog_Ask(AttemptLog *log, uint64_t id, ClockMs elapsed_ms, ClockMs now)
{
    AttemptState state = ATTEMPT_UNKNOWN;

    pthread_mutex_lock(&log->lock);
    if (contains(&log->voids, id)) {
        state = ATTEMPT_NOT_SEEN;
    }
    else if (contains(&log->noted, id)) {
        state = ATTEMPT_SEEN;
    }
    else if (covers(log, elapsed_ms, now) && make_room(log, now)) {
        add(&log->voids, id, now);
        state = ATTEMPT_NOT_SEEN;
    }
    pthread_mutex_unlock(&log->lock);
    return state;
}
