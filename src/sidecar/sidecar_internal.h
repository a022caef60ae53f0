/* Types shared by the files of the sidecar slice. */
#ifndef SIDECAR_SIDECAR_INTERNAL_H
#define SIDECAR_SIDECAR_INTERNAL_H

#include <stdatomic.h>

#include "catalog/catalog.h"
#include "gateway/gateway.h"
#include "gateway/peer_port.h"
#include "mirror/mirror.h"
#include "mirror/mirror_port.h"
#include "objects/object_sync.h"
#include "objects/object_writer.h"
#include "quota/quota.h"
#include "roster/roster.h"
#include "rpc/rpc.h"
#include "sidecar/sidecar.h"

/* Kind of the objects that hold RosterEntry values. */
#define SIDECAR_ROSTER_KIND "backend-servers"

/* Kinds that neighbours may follow through this host. */
enum { SIDECAR_CATALOG, SIDECAR_ROSTER, SIDECAR_KINDS };

typedef struct SidecarLost SidecarLost;

struct Sidecar {
    Settings *settings;
    const SidecarAdapter *adapter;
    ObjectStore *store;
    HttpClient *client;
    Catalog *catalog;
    Roster *roster;
    Backend *backend;
    Rpc *rpc;
    Quota *quota;
    Gateway *gateway;
    PeerPort *peer_port;
    HttpServer *announce_port;
    HttpServer *ready_port;
    HttpServer *metrics_port;
    HttpClient *mirror_client;
    MirrorKind kinds[SIDECAR_KINDS];
    MirrorPort *mirror_port;
    Mirror *catalog_mirror;
    Mirror *roster_mirror;
    ObjectSync *catalog_sync;
    ObjectSync *roster_sync;
    ObjectWriter *writer;
    ClockMs proof_ms; /* age up to which the configuration is fresh */
    atomic_bool leaving;
    SidecarLost *lost;
    gboolean was_ready; /* of the thread that answers readiness */
};

/* sidecar_state.c: follows the store and publishes the own entry. */
gboolean _Sidecar_StartState(Sidecar *sidecar, GError **error);
void _Sidecar_StopState(Sidecar *sidecar);
void _Sidecar_PublishBackend(void *context);

/* sidecar_lost.c: removes the entries of neighbours that are gone. To be
 * started before the RPC server. */
SidecarLost *_Sidecar_StartLost(Sidecar *sidecar);
void _Sidecar_StopLost(SidecarLost *self);

/* sidecar_ports.c: announcements, readiness, metrics. */
gboolean _Sidecar_OpenPorts(Sidecar *sidecar, GError **error);
void _Sidecar_ClosePorts(Sidecar *sidecar);

#endif
