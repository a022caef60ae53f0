#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "sidecar/sidecar_internal.h"

/* Duration of one watch of the configuration. A watch that ends without a
 * change proves that the configuration is the newest. Hosts that read from a
 * neighbour which is cut off from the store notice it after about this time.
 */
#define CATALOG_WAIT_MS 800

/* Lowest generation of a store that has been restored. */
#define FIRST_RESTORED 2

/* Maximum time for which a new process waits for the list of its neighbours
 * before it takes the store's word for the newest configuration. */
#define ROSTER_KNOWN_MS 500
#define ROSTER_POLL_MS 10

/* Number of watches in the maximum age of the configuration while no neighbour
 * is known; all hosts of a fleet that starts watch the store at once. */
#define ALONE_WATCHES 2

/* Duration of one watch of the backend servers. */
#define ROSTER_WAIT_MS 25000

/* Pause after a watch that returned changes: starts and releases change many
 * entries within a second. */
#define ROSTER_PAUSE_MS 300

/* The same after the first watch: when all hosts start, each learns of few
 * others by it, and of the rest shortly after. */
#define ROSTER_FIRST_PAUSE_MS 1000

/* Time in which a host writes its entry again after the store was restored
 * from a copy that lacks it. It covers one watch of a neighbour, a list and a
 * few refused writes. */
#define REWRITE_MS 6000

/* Maximum age of a state that is served to neighbours: one watch, the round
 * trip to the store, and a slow answer. */
#define MAX_CATALOG_AGE_MS (CATALOG_WAIT_MS + 500)
#define MAX_ROSTER_AGE_MS (ROSTER_WAIT_MS + 500)

/* What the configuration says about this host's service; empty if nothing. */
static BackendColdRate
cold_rate(const Sidecar *sidecar, const CatalogTable *table)
{
    const CatalogService *service =
        CatalogTable_FindService(table, sidecar->settings->service);

    return service == NULL
               ? (BackendColdRate){0}
               : (BackendColdRate){.per_s = service->cold_per_s,
                                   .start_ms = service->cold_start_ms};
}

/* Puts the configuration in force that was read last, if there is one. */
static void
apply_catalog(Sidecar *sidecar)
{
    ObjectRecord *record = &sidecar->read_catalog;
    CatalogTable *table;
    BackendColdRate cold;
    GError *error = NULL;
    uint64_t version;
    unsigned teams;
    unsigned keys;
    gboolean needs_keys;
    ClockMs started = Clock_Now();
    ClockMs age;

    if (record->name == NULL) {
        return;
    }
    table = sidecar->adapter->decode_catalog(record->value, &error);
    if (table == NULL) {
        Log_Event(LOG_CATALOG_REJECTED,
                  "generation=%" PRId64 " revision=%" PRId64 " reason=\"%s\"",
                  record->revision.generation, record->revision.number,
                  error->message);
        g_error_free(error);
        Catalog_Reject(sidecar->catalog);
        ObjectRecord_Clear(record);
        return;
    }
    _Sidecar_AwaitEvacuations(sidecar);
    version = CatalogTable_Version(table);
    teams = CatalogTable_TeamCount(table);
    keys = CatalogTable_KeyCount(table);
    needs_keys = CatalogTable_NeedsKeys(table);
    cold = cold_rate(sidecar, table);
    age = Catalog_Age(sidecar->catalog, Clock_Now());
    if (Catalog_Publish(sidecar->catalog, table,
                        record->revision.generation)) {
        Backend_SetColdRate(sidecar->backend, &cold);
        Log_Event(LOG_CATALOG_IN_FORCE,
                  "version=%" PRIu64 " generation=%" PRId64
                  " revision=%" PRId64 " teams=%u keys=%u needs_keys=%d"
                  " decoded_ms=%" PRId64 " proof_age_ms=%" PRId64,
                  version, record->revision.generation,
                  record->revision.number, teams, keys, needs_keys,
                  Clock_Now() - started, age == CLOCK_NEVER ? -1 : age);
    }
    else {
        Log_Event(
            LOG_CATALOG_OLDER,
            "version=%" PRIu64 " generation=%" PRId64 " revision=%" PRId64,
            version, record->revision.generation, record->revision.number);
    }
    ObjectRecord_Clear(record);
}

/* Keeps the configuration until the answer is confirmed: neighbours get it
 * first, since decoding it takes long if it is large. */
static gboolean
catalog_changed(void *context, const ObjectRecord *record,
                ObjectRevision revision)
{
    Sidecar *sidecar = context;

    MirrorCache_Update(sidecar->kinds[SIDECAR_CATALOG].cache, record,
                       revision);
    if (!record->deleted &&
        strcmp(record->name, sidecar->adapter->catalog_name) == 0) {
        ObjectRecord_Clear(&sidecar->read_catalog);
        sidecar->read_catalog =
            (ObjectRecord){.name = g_strdup(record->name),
                           .revision = record->revision,
                           .value = json_incref(record->value)};
    }
    return TRUE;
}

static void
catalog_announced(void *context, gboolean is_arriving)
{
    const Sidecar *sidecar = context;
    ClockMs now = Clock_Now();
    ClockMs age;

    if (Catalog_Announce(sidecar->catalog, is_arriving ? now : 0)) {
        age = Catalog_Age(sidecar->catalog, now);
        Log_Event(is_arriving ? LOG_CATALOG_ANNOUNCED : LOG_CATALOG_RETRACTED,
                  "version=%" PRIu64 " proof_age_ms=%" PRId64,
                  Catalog_Version(sidecar->catalog),
                  age == CLOCK_NEVER ? -1 : age);
    }
}

static void
catalog_receiving(void *context, gboolean is_arriving)
{
    const Sidecar *sidecar = context;

    MirrorCache_Announce(sidecar->kinds[SIDECAR_CATALOG].cache, is_arriving);
}

static void
catalog_listed(void *context, GHashTable *names, ObjectRevision revision)
{
    Sidecar *sidecar = context;

    MirrorCache_Retain(sidecar->kinds[SIDECAR_CATALOG].cache, names, revision);
}

gboolean
_Sidecar_AwaitRoster(const Sidecar *sidecar)
{
    ClockMs end = Clock_Now() + ROSTER_KNOWN_MS;

    while (!atomic_load(&sidecar->roster_known) &&
           !atomic_load(&sidecar->leaving) && Clock_Now() < end) {
        g_usleep(ROSTER_POLL_MS * 1000);
    }
    return atomic_load(&sidecar->roster_known);
}

/* Called with each confirmed generation of the store. A store that was
 * restored may lack the record of this host's departure, and may hold an older
 * version than the neighbours have read: asks them in each generation. */
static void
enter_generation(Sidecar *sidecar, int64_t generation)
{
    if (generation == sidecar->asked_generation) {
        return;
    }
    if (sidecar->asked_generation > 0) {
        /* A watch of the backend servers may wait on a dead connection. */
        sidecar->store->end_watches(sidecar->store->context);
    }
    sidecar->asked_generation = generation;
    Departure_NoteGeneration(sidecar->departure, generation);
    if (generation >= FIRST_RESTORED) {
        (void)_Sidecar_AwaitRoster(sidecar);
        _Sidecar_AskVersions(sidecar);
    }
}

static void
catalog_confirmed(void *context, ClockMs as_of, ObjectRevision revision)
{
    Sidecar *sidecar = context;

    MirrorCache_Confirm(sidecar->kinds[SIDECAR_CATALOG].cache, as_of,
                        revision);
    apply_catalog(sidecar);
    enter_generation(sidecar, revision.generation);
    Catalog_Confirm(sidecar->catalog, as_of, revision.generation);
}

static gboolean
roster_changed(void *context, const ObjectRecord *record,
               ObjectRevision revision)
{
    Sidecar *sidecar = context;
    gboolean is_own = strcmp(record->name, sidecar->settings->host) == 0;
    RosterEntry entry;

    MirrorCache_Update(sidecar->kinds[SIDECAR_ROSTER].cache, record, revision);
    if (is_own) {
        ObjectWriter_Observe(sidecar->writer, record);
        return record->deleted ||
               RosterEntry_Decode(record->name, record->value, &entry);
    }
    if (record->deleted) {
        Roster_Remove(sidecar->roster, record->name);
    }
    else if (RosterEntry_Decode(record->name, record->value, &entry)) {
        Roster_Set(sidecar->roster, &entry, Clock_Now());
    }
    else {
        return FALSE;
    }
    Log_Event(LOG_ROSTER_CHANGED,
              "host=%s instance=%s service=%s generation=%" PRId64
              " revision=%" PRId64 " deleted=%d hosts=%u",
              record->name, record->deleted ? "-" : entry.instance,
              record->deleted ? "-" : entry.service,
              record->revision.generation, record->revision.number,
              record->deleted, Roster_Count(sidecar->roster));
    return TRUE;
}

static void
roster_listed(void *context, GHashTable *names, ObjectRevision revision)
{
    Sidecar *sidecar = context;
    ClockMs keep_until = 0;

    MirrorCache_Retain(sidecar->kinds[SIDECAR_ROSTER].cache, names, revision);
    if (!g_hash_table_contains(names, sidecar->settings->host)) {
        ObjectRecord absent = {.name = sidecar->settings->host,
                               .revision = revision,
                               .deleted = TRUE};

        ObjectWriter_Observe(sidecar->writer, &absent);
    }
    if (sidecar->roster_generation > 0 &&
        revision.generation > sidecar->roster_generation) {
        keep_until = Clock_Now() + REWRITE_MS;
    }
    sidecar->roster_generation = revision.generation;
    Roster_Retain(sidecar->roster, names, keep_until);
    atomic_store(&sidecar->roster_known, TRUE);
}

static void
roster_confirmed(void *context, ClockMs as_of, ObjectRevision revision)
{
    Sidecar *sidecar = context;

    MirrorCache_Confirm(sidecar->kinds[SIDECAR_ROSTER].cache, as_of, revision);
}

static void
fill_entry(const Sidecar *sidecar, const BackendStatus *status,
           RosterEntry *entry)
{
    const Settings *settings = sidecar->settings;

    *entry =
        (RosterEntry){.rpc_port = Rpc_GetPort(sidecar->rpc),
                      .mirror_port = MirrorPort_Port(sidecar->mirror_port),
                      .slots = MAX(status->announcement.slots, 1)};
    g_strlcpy(entry->host, settings->host, ROSTER_NAME_BYTES);
    g_strlcpy(entry->instance, status->announcement.instance,
              ROSTER_NAME_BYTES);
    g_strlcpy(entry->service, settings->service, ROSTER_NAME_BYTES);
    g_strlcpy(entry->data_centre, settings->data_centre, ROSTER_NAME_BYTES);
    g_strlcpy(entry->region, settings->region, ROSTER_NAME_BYTES);
    (void)HttpAddress_Parse(settings->peer_address, &entry->peer);
}

void
_Sidecar_PublishBackend(void *context)
{
    Sidecar *sidecar = context;
    BackendStatus status;
    RosterEntry entry;

    Backend_GetStatus(sidecar->backend, &status);
    if (status.state == BACKEND_READY) {
        fill_entry(sidecar, &status, &entry);
        Roster_Set(sidecar->roster, &entry, Clock_Now());
        ObjectWriter_Set(sidecar->writer, RosterEntry_Encode(&entry));
    }
    else {
        Roster_Remove(sidecar->roster, sidecar->settings->host);
        ObjectWriter_Set(sidecar->writer, NULL);
    }
}

static void
await_roster(void *context)
{
    (void)_Sidecar_AwaitRoster(context);
}

/* Opens the port from which neighbours read the state. */
static gboolean
open_mirror(Sidecar *sidecar, GError **error)
{
    const Settings *settings = sidecar->settings;
    Mirror_desc mirror = {.store = sidecar->store,
                          .generation = sidecar->generation,
                          .roster = sidecar->roster,
                          .host = settings->host,
                          .client = sidecar->mirror_client,
                          .alone_wait_ms =
                              sidecar->max_catalog_age_ms / ALONE_WATCHES};
    MirrorPort_desc port = {.kinds = sidecar->kinds};
    MirrorCache *catalog_cache;
    MirrorCache *roster_cache;

    catalog_cache = MirrorCache_Create();
    roster_cache = MirrorCache_Create();
    mirror.cache = catalog_cache;
    mirror.await_roster = await_roster;
    mirror.context = sidecar;
    sidecar->catalog_mirror = Mirror_Create(&mirror);
    mirror.await_roster = NULL;
    mirror.cache = roster_cache;
    sidecar->roster_mirror = Mirror_Create(&mirror);
    sidecar->kinds[SIDECAR_CATALOG] =
        (MirrorKind){.kind = sidecar->adapter->catalog_kind,
                     .cache = catalog_cache,
                     .max_age_ms = MAX_CATALOG_AGE_MS,
                     .is_direct = Mirror_IsDirect,
                     .context = sidecar->catalog_mirror};
    sidecar->kinds[SIDECAR_ROSTER] =
        (MirrorKind){.kind = SIDECAR_ROSTER_KIND,
                     .cache = roster_cache,
                     .max_age_ms = MAX_ROSTER_AGE_MS,
                     .is_direct = Mirror_IsDirect,
                     .context = sidecar->roster_mirror};
    port.kind_count =
        _Sidecar_OpenEvacuation(sidecar, &mirror,
                                &sidecar->kinds[SIDECAR_EVACUATIONS])
            ? SIDECAR_KINDS
            : SIDECAR_EVACUATIONS;
    /* One watch at a time for each host of the group and each kind. */
    port.threads = port.kind_count * MIRROR_GROUP;
    (void)HttpAddress_Parse(settings->peer_address, &port.address);
    port.address.sin_port = htons((uint16_t)settings->mirror_port);
    sidecar->mirror_port = MirrorPort_Create(&port, error);
    return sidecar->mirror_port != NULL;
}

gboolean
_Sidecar_StartState(Sidecar *sidecar, GError **error)
{
    ObjectSync_desc catalog = {.kind = sidecar->adapter->catalog_kind,
                               .wait_ms = CATALOG_WAIT_MS,
                               .confirm_changes = TRUE,
                               .changed = catalog_changed,
                               .listed = catalog_listed,
                               .confirmed = catalog_confirmed,
                               .announced = catalog_announced,
                               .receiving = catalog_receiving,
                               .context = sidecar};
    ObjectSync_desc roster = {.kind = SIDECAR_ROSTER_KIND,
                              .wait_ms = ROSTER_WAIT_MS,
                              .pause_ms = ROSTER_PAUSE_MS,
                              .first_pause_ms = ROSTER_FIRST_PAUSE_MS,
                              .changed = roster_changed,
                              .listed = roster_listed,
                              .confirmed = roster_confirmed,
                              .context = sidecar};

    sidecar->generation = ObjectGeneration_Create();
    if (!open_mirror(sidecar, error)) {
        return FALSE;
    }
    catalog.generation = sidecar->generation;
    roster.generation = sidecar->generation;
    catalog.store = Mirror_AsStore(sidecar->catalog_mirror);
    roster.store = Mirror_AsStore(sidecar->roster_mirror);
    /* First, because the configuration waits for it. */
    _Sidecar_StartEvacuation(sidecar);
    sidecar->catalog_sync = ObjectSync_Start(&catalog);
    sidecar->roster_sync = ObjectSync_Start(&roster);
    return TRUE;
}

void
_Sidecar_StopState(Sidecar *sidecar)
{
    ObjectSync_Stop(sidecar->catalog_sync);
    ObjectSync_Stop(sidecar->roster_sync);
    _Sidecar_StopEvacuation(sidecar);
    MirrorPort_Destroy(sidecar->mirror_port);
    Mirror_Destroy(sidecar->catalog_mirror);
    Mirror_Destroy(sidecar->roster_mirror);
    MirrorCache_Destroy(sidecar->kinds[SIDECAR_CATALOG].cache);
    MirrorCache_Destroy(sidecar->kinds[SIDECAR_ROSTER].cache);
    ObjectRecord_Clear(&sidecar->read_catalog);
    ObjectGeneration_Destroy(sidecar->generation);
}
