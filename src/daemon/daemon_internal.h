/* Types shared by the files of the daemon module. */
#ifndef DAEMON_DAEMON_INTERNAL_H
#define DAEMON_DAEMON_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "config/config.h"
#include "config/config_sync.h"
#include "daemon/daemon.h"
#include "entry/entry.h"
#include "entry/entry_watch.h"
#include "http/http_client.h"
#include "http/http_executor.h"
#include "http/http_server.h"
#include "issue/run_table.h"
#include "member/gossip.h"
#include "owner/owner.h"
#include "owner/owner_port.h"
#include "rate/rate_service.h"
#include "rpc/rpc.h"
#include "store/store.h"

typedef struct DaemonPermits DaemonPermits;

struct Daemon {
    Settings *settings;
    uint64_t host;
    uint64_t incarnation;
    size_t secret_bytes;
    char *store_addresses; /* joined by commas; NULL without a store */
    int region;
    int data_centre;

    Rpc *rpc;
    Gossip *gossip;
    const Member *member;
    Config *config;
    ConfigSync *sync;
    RateService *rate;
    RunTable *runs;
    Owner *owner;
    OwnerPort *owner_port;
    Entry *entry;
    HttpServer *admin;
    HttpClient *client;
    HttpExecutor *background; /* notices to peers, permit requests */
    DaemonPermits *permits;

    pthread_mutex_t store_lock;
    Store *store;           /* for rate slots, roster and retired hosts */
    GHashTable *retired;    /* host id -> end of caching "not retired" */
    ClockMs roster_written; /* time of the last write, for the ticker only */

    pthread_t ticker;
    gboolean ticker_started;
    atomic_bool stopping;
    atomic_bool superseded;
    char *tls_certificate_pem;
    char *tls_key_pem;
};

/* daemon_peers.c: configuration exchange, hand-over of runs, roster. */
void _Daemon_HandlePeer(void *context, HttpRequest *request);
GBytes *_Daemon_FetchBundle(void *context, uint64_t peer,
                            const ConfigSyncRequest *request, GError **error);
size_t _Daemon_ListPeers(void *context, uint64_t *ids, size_t max);
void _Daemon_ConfigChanged(void *context, int64_t version,
                           uint64_t withdrawals);
gboolean _Daemon_IsWatcher(void *context);
void _Daemon_AppendVersion(void *context, GByteArray *payload);
void _Daemon_ReadVersion(void *context, const RpcPeer *sender,
                         const GByteArray *payload);
Result _Daemon_HandleNotice(void *context, const RpcPeer *sender,
                            const GByteArray *body, GByteArray *reply);
uint32_t _Daemon_ReadRoster(void *context, RpcPeer *entries, uint32_t max);
void _Daemon_WriteRoster(Daemon *daemon, ClockMs now);

/* Hands the run table over. Returns the host id of the successor, 0 if no host
 * accepted it. */
uint64_t _Daemon_HandOverRuns(Daemon *daemon);

/* Returns the RPC address of a host, FALSE if the host is unknown. The caller
 * is in an RCU read section. */
gboolean _Daemon_FindPeer(const Daemon *daemon, uint64_t host, RpcPeer *peer);

/* daemon_rate.c */
RateService *_Daemon_CreateRate(Daemon *daemon);
void _Daemon_RegisterRate(Daemon *daemon);

/* daemon_permits.c */
DaemonPermits *_DaemonPermits_Create(Daemon *daemon);
void _DaemonPermits_Destroy(DaemonPermits *permits);
void _DaemonPermits_Request(void *context, const PermitRequest *request);
Result _DaemonPermits_Handle(void *context, const RpcPeer *sender,
                             const GByteArray *body, GByteArray *reply);

/* daemon_admin.c: announcements, status and the tool's calls. */
HttpServer *_Daemon_CreateAdmin(Daemon *daemon, GError **error);

/* daemon_announce.c: returns FALSE if the body is not a valid announcement. */
gboolean _Daemon_ReadAnnouncement(const char *body, size_t bytes,
                                  OwnerAnnouncement *announcement);

/* daemon_status.c */
char *_Daemon_StatusJson(Daemon *daemon);

#endif
