/* Types shared by the files of the sidecar module. */
#ifndef SIDECAR_SIDECAR_INTERNAL_H
#define SIDECAR_SIDECAR_INTERNAL_H

#include <stdatomic.h>

#include "attempt/attempt_rpc.h"
#include "catalog/catalog.h"
#include "departure/departure.h"
#include "departure/departure_keeper.h"
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

/* Kind of the objects with RosterEntry values. */
#define SIDECAR_ROSTER_KIND "backend-servers"

/* Kinds that neighbours may read from this host. */
enum { SIDECAR_CATALOG, SIDECAR_ROSTER, SIDECAR_EVACUATIONS, SIDECAR_KINDS };

typedef struct SidecarMonitor SidecarMonitor;
typedef struct SidecarTicker SidecarTicker;
typedef struct SidecarEvacuation SidecarEvacuation;

struct Sidecar {
    Settings *settings;
    const SidecarAdapter *adapter;
    SidecarFeatures features;
    ObjectStore *store;
    ObjectGeneration *generation;
    HttpClient *client;
    Catalog *catalog;
    Roster *roster;
    Backend *backend;
    Rpc *rpc;
    Quota *quota;
    AttemptLog *attempts;
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
    ObjectRecord read_catalog; /* to be put in force; used by the thread of
                                  catalog_sync only; no name: none */
    ObjectSync *roster_sync;
    int64_t roster_generation; /* of the last list of backend servers */
    atomic_bool roster_known;  /* the backend servers have been listed */
    int64_t asked_generation;  /* in which the neighbours were last asked for
                                  their version */
    atomic_bool must_ask;      /* no neighbour has answered yet */
    ObjectWriter *writer;
    Departure *departure;
    DepartureKeeper *keeper;
    ClockMs max_catalog_age_ms; /* maximum age of a usable configuration */
    atomic_bool leaving;
    /* NULL: evacuations are not followed; set while the monitor runs. */
    SidecarEvacuation *_Atomic evacuation;
    SidecarMonitor *monitor;
    SidecarTicker *ticker;
    gboolean was_ready; /* used by the readiness port's thread only */
};

/* sidecar_state.c: watches the store and publishes the entry of this host. */
gboolean _Sidecar_StartState(Sidecar *sidecar, GError **error);
void _Sidecar_StopState(Sidecar *sidecar);
void _Sidecar_PublishBackend(void *context);

/* Waits until the neighbours are known, for a short time. Returns FALSE if
 * they are not. */
gboolean _Sidecar_AwaitRoster(const Sidecar *sidecar);

/* sidecar_evacuation.c: follows which data centres are evacuated. Returns
 * FALSE if the settings do not ask for it; otherwise fills the kind that
 * neighbours may read. It is closed after the port that serves the kind and
 * the RPC server. */
gboolean _Sidecar_OpenEvacuation(Sidecar *sidecar, const Mirror_desc *desc,
                                 MirrorKind *kind);
void _Sidecar_StartEvacuation(Sidecar *sidecar);
void _Sidecar_StopEvacuation(Sidecar *sidecar);
void _Sidecar_CloseEvacuation(Sidecar *sidecar);

/* Body of a ping: the hashes of the evacuated data centres that this host
 * knows, 8 bytes each in network order. Free with g_byte_array_unref(). */
GByteArray *_Sidecar_EncodeEvacuations(const Sidecar *sidecar);

/* Takes what a neighbour knows while this process has read no list yet: it has
 * no address of a neighbour to ask before the store has answered. */
void _Sidecar_AdoptEvacuations(Sidecar *sidecar, const GByteArray *body);

/* Waits until the evacuated data centres are known, for a short time and only
 * the first time. */
void _Sidecar_AwaitEvacuations(Sidecar *sidecar);

/* Appends gauges, if evacuations are followed. */
void _Sidecar_WriteEvacuations(const Sidecar *sidecar, GString *out);

/* Returns a new array of the names of the evacuated data centres. */
json_t *_Sidecar_EvacuationNames(const Sidecar *sidecar);

/* sidecar_monitor.c: removes the entries of neighbours that have failed. Must
 * be started before the RPC server. */
SidecarMonitor *_Sidecar_StartMonitor(Sidecar *sidecar);
void _Sidecar_StopMonitor(SidecarMonitor *monitor);

/* sidecar_ticker.c: calls Backend_Tick(). A thread of its own, because the
 * monitor waits for other hosts. */
SidecarTicker *_Sidecar_StartTicker(Sidecar *sidecar);
void _Sidecar_StopTicker(SidecarTicker *ticker);

/* Asks some neighbours for their versions of the configuration and requires
 * the newest one. If none has one, the monitor asks again. */
void _Sidecar_AskVersions(Sidecar *sidecar);

/* sidecar_ports.c: announcements, readiness, metrics. */
gboolean _Sidecar_OpenPorts(Sidecar *sidecar, GError **error);
void _Sidecar_ClosePorts(Sidecar *sidecar);

#endif
