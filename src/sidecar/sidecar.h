/* Sidecar: the daemon of one host in mode "platform".
 *
 * It connects the modules: the gateway for callers, the peer port for other
 * daemons, the local backend server, and the state that is synchronised with
 * the platform's store. docs/platform.md describes the whole.
 *
 * Use:
 *  1. Sidecar_Create() with the settings and the platform's adapter; it serves
 *     at once.
 *  2. Sidecar_Reload() on SIGHUP.
 *  3. Sidecar_Stop() on SIGTERM: from then on the daemon reports that it is
 *     not ready, answers close their connections, and no request that was read
 *     is dropped. It returns within the grace period. Then Sidecar_Destroy().
 *
 * Errors: IO, SETTINGS_INVALID.
 */
#ifndef SIDECAR_SIDECAR_H
#define SIDECAR_SIDECAR_H

#include <glib.h>

#include "backend/backend.h"
#include "catalog/catalog_table.h"
#include "http/http_server.h"
#include "objects/object_store.h"
#include "settings/settings.h"

typedef struct Sidecar Sidecar;

typedef enum AnnounceKind {
    ANNOUNCE_NONE, /* not an announcement, or malformed */
    ANNOUNCE_HEARTBEAT,
    ANNOUNCE_DEREGISTER
} AnnounceKind;

/* What the operator's terms ask for beyond the usual. */
typedef struct SidecarFeatures {
    gboolean load_by_value; /* room goes to urgent requests before calls of
                               less urgent ones */
} SidecarFeatures;

/* Translates between the daemon and a platform. */
typedef struct SidecarAdapter {
    const WireNames *names;
    const char *ready_path;
    const char *catalog_kind; /* the object that holds the configuration */
    const char *catalog_name;
    const char *evacuation_kind; /* objects named after data centres whose
                                    backend servers must get no requests; NULL:
                                    there are none */

    ObjectStore *(*open_store)(const struct sockaddr_in *address);
    void (*close_store)(ObjectStore *store);

    /* Returns NULL and sets *error if the configuration is malformed. */
    CatalogTable *(*decode_catalog)(const json_t *value, GError **error);

    /* Decodes an announcement of a backend server. */
    AnnounceKind (*decode_announcement)(const HttpRequest *request,
                                        BackendAnnouncement *announcement);

    /* Translates the setting "features". */
    SidecarFeatures (*decode_features)(const char *names);
} SidecarAdapter;

Sidecar *Sidecar_Create(Settings *settings, const SidecarAdapter *adapter,
                        GError **error);
void Sidecar_Reload(Sidecar *sidecar, const char *path);
void Sidecar_Stop(Sidecar *sidecar);
void Sidecar_Destroy(Sidecar *sidecar);

#endif
