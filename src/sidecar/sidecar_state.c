#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "sidecar/sidecar_internal.h"

/* One watch of the configuration; its end without a change is the proof that
 * the configuration is the newest. */
#define CATALOG_WAIT_MS 2000

/* One watch of the backend servers. */
#define ROSTER_WAIT_MS 25000

/* Pause between two watches that both brought changes: starts and releases
 * change many entries within a second. */
#define ROSTER_PAUSE_MS 300

static void
catalog_changed(void *context, const ObjectRecord *record)
{
    Sidecar *sidecar = context;
    CatalogTable *table;
    GError *error = NULL;
    uint64_t version;

    if (record->deleted ||
        strcmp(record->name, sidecar->adapter->catalog_name) != 0) {
        return;
    }
    table = sidecar->adapter->decode_catalog(record->value, &error);
    if (table == NULL) {
        Log_Event(LOG_CATALOG_REJECTED, "revision=%" PRId64 " reason=\"%s\"",
                  record->revision, error->message);
        g_error_free(error);
        return;
    }
    version = CatalogTable_Version(table);
    if (Catalog_Publish(sidecar->catalog, table)) {
        Log_Event(LOG_CATALOG_IN_FORCE,
                  "version=%" PRIu64 " revision=%" PRId64, version,
                  record->revision);
    }
}

static void
catalog_confirmed(void *context, ClockMs moment)
{
    Sidecar *sidecar = context;

    Catalog_Confirm(sidecar->catalog, moment);
}

static void
roster_changed(void *context, const ObjectRecord *record)
{
    Sidecar *sidecar = context;
    gboolean is_own = strcmp(record->name, sidecar->settings->host) == 0;
    RosterEntry entry;

    if (is_own) {
        ObjectWriter_Observe(sidecar->writer, record);
        return;
    }
    if (record->deleted) {
        Roster_Remove(sidecar->roster, record->name);
    }
    else if (RosterEntry_Decode(record->name, record->value, &entry)) {
        Roster_Set(sidecar->roster, &entry, Clock_Now());
    }
    else {
        Log_Event(LOG_OBJECT_REJECTED, "kind=%s name=%s revision=%" PRId64,
                  SIDECAR_ROSTER_KIND, record->name, record->revision);
        return;
    }
    Log_Event(LOG_ROSTER_CHANGED,
              "host=%s instance=%s service=%s revision=%" PRId64
              " deleted=%d hosts=%u",
              record->name, record->deleted ? "-" : entry.instance,
              record->deleted ? "-" : entry.service, record->revision,
              record->deleted, Roster_Count(sidecar->roster));
}

static void
roster_listed(void *context, GHashTable *names)
{
    Sidecar *sidecar = context;

    Roster_Retain(sidecar->roster, names);
}

static void
fill_entry(const Sidecar *sidecar, const BackendStatus *status,
           RosterEntry *entry)
{
    const Settings *settings = sidecar->settings;

    *entry = (RosterEntry){.rpc_port = Rpc_GetPort(sidecar->rpc),
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
        ObjectWriter_Want(sidecar->writer, RosterEntry_Encode(&entry));
    }
    else {
        Roster_Remove(sidecar->roster, sidecar->settings->host);
        ObjectWriter_Want(sidecar->writer, NULL);
    }
}

void
_Sidecar_StartState(Sidecar *sidecar)
{
    ObjectSync_desc catalog = {.store = sidecar->store,
                               .kind = sidecar->adapter->catalog_kind,
                               .wait_ms = CATALOG_WAIT_MS,
                               .changed = catalog_changed,
                               .confirmed = catalog_confirmed,
                               .context = sidecar};
    ObjectSync_desc roster = {.store = sidecar->store,
                              .kind = SIDECAR_ROSTER_KIND,
                              .wait_ms = ROSTER_WAIT_MS,
                              .pause_ms = ROSTER_PAUSE_MS,
                              .stale = TRUE,
                              .changed = roster_changed,
                              .listed = roster_listed,
                              .context = sidecar};

    sidecar->catalog_sync = ObjectSync_Start(&catalog);
    sidecar->roster_sync = ObjectSync_Start(&roster);
}

void
_Sidecar_StopState(Sidecar *sidecar)
{
    ObjectSync_Stop(sidecar->catalog_sync);
    ObjectSync_Stop(sidecar->roster_sync);
}
