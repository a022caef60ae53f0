#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/rng.h"
#include "evacuation/evacuation.h"
#include "sidecar/sidecar_internal.h"

/* Part of the time within which an evacuation must take effect that one watch
 * may last. A failed watch is noticed after about one more second, and its
 * repetition through another host takes the rest. */
#define WATCH_PART 5
#define MIN_WATCH_MS 100

/* Maximum age of the state that is served to neighbours, in addition to the
 * time of a watch: the round trip to the store, and a slow answer. */
#define AGE_MARGIN_MS 500

/* Maximum time for which a new process waits for the set before it puts its
 * first configuration in force. It covers a call that began before the store
 * answered again and lasts for its whole timeout, and the next one. */
#define KNOWN_MS 1500
#define KNOWN_POLL_MS 10

struct SidecarEvacuation {
    Evacuation *set;
    Mirror *mirror;
    MirrorCache *cache;
    ObjectSync *sync;
    pthread_mutex_t lock; /* while the set is changed */
    ClockMs watch_ms;
    atomic_bool is_known; /* a list has been read */
    gboolean has_waited;  /* used by the configuration's thread only */
};

/* Applies the set to the choice of backend servers and to the one here.
 * Returns the time since the last request was sent to that one. */
static ClockMs
apply(Sidecar *sidecar)
{
    Evacuation *set = sidecar->evacuation->set;
    uint32_t count;
    uint64_t *hashes = Evacuation_Hashes(set, &count);

    Roster_SetWithdrawn(sidecar->roster, hashes, count);
    g_free(hashes);
    return Backend_SetWithdrawn(
        sidecar->backend,
        Evacuation_Contains(set, sidecar->settings->data_centre));
}

static void
note_began(Sidecar *sidecar, const char *name, ObjectRevision revision)
{
    ClockMs since_ms;

    Counter_Add(COUNTER_EVACUATIONS_BEGUN, 1);
    Log_Event(LOG_EVACUATION_BEGAN,
              "data_centre=%s generation=%" PRId64 " revision=%" PRId64, name,
              revision.generation, revision.number);
    since_ms = apply(sidecar);
    if (strcmp(name, sidecar->settings->data_centre) == 0) {
        Log_Event(LOG_EVACUATION_LAST_SENT,
                  "data_centre=%s since_ms=%" PRId64 " sent=%" PRIu64, name,
                  since_ms, Counter_Get(COUNTER_OWNER_SENT));
    }
}

static void
note_ended(Sidecar *sidecar, const char *name, ObjectRevision revision,
           ClockMs lasted_ms)
{
    Counter_Add(COUNTER_EVACUATIONS_ENDED, 1);
    Log_Event(LOG_EVACUATION_ENDED,
              "data_centre=%s generation=%" PRId64 " revision=%" PRId64
              " lasted_ms=%" PRId64,
              name, revision.generation, revision.number, lasted_ms);
    (void)apply(sidecar);
}

/* Returns FALSE if no data centre has the name. */
static gboolean
set_one(Sidecar *sidecar, const char *name, gboolean is_evacuated,
        ObjectRevision revision)
{
    ClockMs lasted_ms = 0;
    EvacuationChange change = Evacuation_Set(
        sidecar->evacuation->set, name, is_evacuated, Clock_Now(), &lasted_ms);

    if (change == EVACUATION_BEGAN) {
        note_began(sidecar, name, revision);
    }
    else if (change == EVACUATION_ENDED) {
        note_ended(sidecar, name, revision, lasted_ms);
    }
    return change != EVACUATION_UNKNOWN;
}

static gboolean
changed(void *context, const ObjectRecord *record, ObjectRevision revision)
{
    Sidecar *sidecar = context;
    gboolean is_valid;

    pthread_mutex_lock(&sidecar->evacuation->lock);
    is_valid = set_one(sidecar, record->name, !record->deleted, revision);
    pthread_mutex_unlock(&sidecar->evacuation->lock);
    MirrorCache_Update(sidecar->evacuation->cache, record, revision);
    return is_valid || record->deleted;
}

static void
listed(void *context, GHashTable *names, ObjectRevision revision)
{
    Sidecar *sidecar = context;
    const SettingsNames *known = &sidecar->settings->data_centres;

    MirrorCache_Retain(sidecar->evacuation->cache, names, revision);
    pthread_mutex_lock(&sidecar->evacuation->lock);
    for (unsigned i = 0; i < known->count; i++) {
        if (!g_hash_table_contains(names, known->items[i])) {
            (void)set_one(sidecar, known->items[i], FALSE, revision);
        }
    }
    atomic_store(&sidecar->evacuation->is_known, TRUE);
    pthread_mutex_unlock(&sidecar->evacuation->lock);
}

GByteArray *
_Sidecar_EncodeEvacuations(const Sidecar *sidecar)
{
    GByteArray *body = g_byte_array_new();
    uint32_t count = 0;
    uint64_t *hashes = NULL;

    if (sidecar->evacuation != NULL) {
        hashes = Evacuation_Hashes(sidecar->evacuation->set, &count);
    }
    for (uint32_t i = 0; i < count; i++) {
        uint64_t hash = GUINT64_TO_BE(hashes[i]);

        g_byte_array_append(body, (const guint8 *)&hash, sizeof(hash));
    }
    g_free(hashes);
    return body;
}

/* Whether the body contains the hash. */
static gboolean
contains_hash(const GByteArray *body, uint64_t hash)
{
    uint64_t item;

    for (guint i = 0; i + sizeof(item) <= body->len; i += sizeof(item)) {
        memcpy(&item, body->data + i, sizeof(item));
        if (GUINT64_FROM_BE(item) == hash) {
            return TRUE;
        }
    }
    return FALSE;
}

void
_Sidecar_AdoptEvacuations(Sidecar *sidecar, const GByteArray *body)
{
    const SettingsNames *known = &sidecar->settings->data_centres;
    SidecarEvacuation *evacuation = sidecar->evacuation;

    if (evacuation == NULL || atomic_load(&evacuation->is_known)) {
        return;
    }
    pthread_mutex_lock(&evacuation->lock);
    for (unsigned i = 0;
         !atomic_load(&evacuation->is_known) && i < known->count; i++) {
        if (contains_hash(body, Rng_HashString(known->items[i]))) {
            (void)set_one(sidecar, known->items[i], TRUE, (ObjectRevision){0});
        }
    }
    pthread_mutex_unlock(&evacuation->lock);
}

static void
confirmed(void *context, ClockMs as_of, ObjectRevision revision)
{
    Sidecar *sidecar = context;

    MirrorCache_Confirm(sidecar->evacuation->cache, as_of, revision);
}

static Evacuation *
create_set(const Settings *settings)
{
    const SettingsNames *known = &settings->data_centres;
    const char *names[SETTINGS_MAX_NAMES];

    for (unsigned i = 0; i < known->count; i++) {
        names[i] = known->items[i];
    }
    return Evacuation_Create(names, known->count);
}

gboolean
_Sidecar_OpenEvacuation(Sidecar *sidecar, const Mirror_desc *desc,
                        MirrorKind *kind)
{
    ClockMs evacuate_ms = sidecar->settings->evacuate_ms;
    SidecarEvacuation *evacuation;
    Mirror_desc mirror = *desc;

    if (evacuate_ms <= 0 || sidecar->adapter->evacuation_kind == NULL) {
        return FALSE;
    }
    mirror.alone_wait_ms = 0;
    mirror.keeps_known = TRUE;
    evacuation = g_new0(SidecarEvacuation, 1);
    pthread_mutex_init(&evacuation->lock, NULL);
    evacuation->set = create_set(sidecar->settings);
    evacuation->cache = MirrorCache_Create();
    mirror.cache = evacuation->cache;
    evacuation->mirror = Mirror_Create(&mirror);
    evacuation->watch_ms = MAX(evacuate_ms / WATCH_PART, MIN_WATCH_MS);
    *kind = (MirrorKind){.kind = sidecar->adapter->evacuation_kind,
                         .cache = evacuation->cache,
                         .max_age_ms = evacuation->watch_ms + AGE_MARGIN_MS,
                         .keeps_known = TRUE,
                         .is_direct = Mirror_IsDirect,
                         .context = evacuation->mirror};
    sidecar->evacuation = evacuation;
    return TRUE;
}

void
_Sidecar_StartEvacuation(Sidecar *sidecar)
{
    SidecarEvacuation *evacuation = sidecar->evacuation;
    ObjectSync_desc desc = {.kind = sidecar->adapter->evacuation_kind,
                            .generation = sidecar->generation,
                            .names_only = TRUE,
                            .changed = changed,
                            .listed = listed,
                            .confirmed = confirmed,
                            .context = sidecar};

    if (evacuation != NULL) {
        desc.store = Mirror_AsStore(evacuation->mirror);
        desc.wait_ms = evacuation->watch_ms;
        evacuation->sync = ObjectSync_Start(&desc);
    }
}

void
_Sidecar_StopEvacuation(Sidecar *sidecar)
{
    if (sidecar->evacuation != NULL) {
        ObjectSync_Stop(sidecar->evacuation->sync);
    }
}

void
_Sidecar_CloseEvacuation(Sidecar *sidecar)
{
    SidecarEvacuation *evacuation = sidecar->evacuation;

    if (evacuation != NULL) {
        Mirror_Destroy(evacuation->mirror);
        MirrorCache_Destroy(evacuation->cache);
        Evacuation_Destroy(evacuation->set);
        pthread_mutex_destroy(&evacuation->lock);
        g_free(evacuation);
        sidecar->evacuation = NULL;
    }
}

void
_Sidecar_AwaitEvacuations(Sidecar *sidecar)
{
    SidecarEvacuation *evacuation = sidecar->evacuation;
    ClockMs end = Clock_Now() + KNOWN_MS;

    if (evacuation == NULL || evacuation->has_waited) {
        return;
    }
    evacuation->has_waited = TRUE;
    if (!atomic_load(&evacuation->is_known)) {
        ObjectSync_Retry(evacuation->sync);
    }
    while (!atomic_load(&evacuation->is_known) &&
           !atomic_load(&sidecar->leaving) && Clock_Now() < end) {
        g_usleep(KNOWN_POLL_MS * 1000);
    }
    if (!atomic_load(&evacuation->is_known)) {
        Log_Event(LOG_EVACUATIONS_UNKNOWN, "waited_ms=%d", KNOWN_MS);
    }
}

void
_Sidecar_WriteEvacuations(const Sidecar *sidecar, GString *out)
{
    if (sidecar->evacuation != NULL) {
        Evacuation_Write(sidecar->evacuation->set, Clock_Now(), out);
    }
}

json_t *
_Sidecar_EvacuationNames(const Sidecar *sidecar)
{
    const SettingsNames *known = &sidecar->settings->data_centres;
    json_t *names = json_array();

    for (unsigned i = 0; sidecar->evacuation != NULL && i < known->count;
         i++) {
        if (Evacuation_Contains(sidecar->evacuation->set, known->items[i])) {
            json_array_append_new(names, json_string(known->items[i]));
        }
    }
    return names;
}
