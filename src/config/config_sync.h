/* ConfigSync: distribution of tickets and key withdrawals.
 *
 * Use:
 *  1. ConfigSync_Create() with the Config, the store's addresses and the
 *     callbacks; ConfigSync_Start() starts the one thread.
 *  2. ConfigSync_PeerVersion() for each message of a peer that carries its
 *     version, its withdrawals and its contact age. If the peer has more, the
 *     thread fetches a bundle by the `fetch` callback.
 *  3. The peer answers a fetch with ConfigSync_Bundle(). The request travels
 *     as text: ConfigSync_FormatRequest(), ConfigSync_ParseRequest().
 *  4. ConfigSync_Withdraw() for a withdrawal by the operator or by a peer.
 *  5. ConfigSync_Stop() wakes and joins the thread; ConfigSync_Destroy()
 *     before Config_Destroy().
 *
 * A host for which `is_watcher` returns TRUE watches `ticket/` and
 * `withdrawn/` in the store. Other hosts call the store only at the start, as
 * long as they have no configuration, and to write a withdrawal that was made
 * on them. Watchers write a snapshot every 100 tickets; a conditional create
 * of `snapshot/<n>/claim` chooses the one that does.
 *
 * Errors: failed calls on the store are repeated with a growing delay, at most
 * 5 s by a watcher and 30 s by a host without configuration. A bundle or
 * snapshot that is malformed, incomplete or old changes nothing. A ticket in
 * the store that is invalid is passed over by every daemon alike: its number
 * is counted, with no other effect.
 *
 * Limits: a withdrawal that comes from the store alone is noticed after at
 * most watch_ms; messages of peers wait up to watch_ms on a watcher. A bundle
 * has less than CONFIG_SYNC_BUNDLE_BYTES.
 */
#ifndef CONFIG_CONFIG_SYNC_H
#define CONFIG_CONFIG_SYNC_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"
#include "config/config.h"

#define CONFIG_SYNC_BUNDLE_BYTES 2000000

typedef struct ConfigSync ConfigSync;

/* What a daemon asks of a peer. */
typedef struct ConfigSyncRequest {
    int64_t version;          /* version in force here */
    uint64_t withdrawals;     /* digest here, Config_GetWithdrawals() */
    int64_t snapshot;         /* snapshot being fetched; 0 = none */
    uint32_t part;            /* part of that snapshot */
    uint32_t withdrawn_from;  /* position in the peer's list of withdrawals */
    gboolean versions_only;   /* the peer sends its version only */
    gboolean accept_snapshot; /* a snapshot is wanted if the peer does not
                                 keep the next ticket */
} ConfigSyncRequest;

typedef struct ConfigSync_desc {
    Config *config;              /* required */
    const char *store_addresses; /* as in Store_desc; NULL = no store */
    const char *host;            /* name in claims and withdrawals */
    int store_timeout_ms;        /* zero means 2,000 ms */
    int watch_ms;                /* zero means 2,000 ms */
    int snapshot_every;          /* tickets; zero means 100 */
    int sweep_ms; /* time between two looks of a watcher for withdrawals that
                     the store lacks; zero means 10,000 ms */

    /* All callbacks but `changed` are called by ConfigSync's thread, which is
     * registered with RCU; `changed` also by the caller of
     * ConfigSync_Withdraw(). NULL is allowed for each. */
    void *context;

    /* Says whether this host is a watcher now. */
    gboolean (*is_watcher)(void *context);

    /* Asks the peer with this host id for a bundle; NULL with an error if
     * there is no answer. May block for a few seconds. */
    GBytes *(*fetch)(void *context, uint64_t peer,
                     const ConfigSyncRequest *request, GError **error);

    /* Writes at most `max` host ids of live peers, in random order, and
     * returns their number. Used while this host has no configuration. */
    size_t (*peers)(void *context, uint64_t *ids, size_t max);

    /* A new version is in force or a key was withdrawn; the new values. */
    void (*changed)(void *context, int64_t version, uint64_t withdrawals);
} ConfigSync_desc;

ConfigSync *ConfigSync_Create(const ConfigSync_desc *desc, GError **error);
void ConfigSync_Destroy(ConfigSync *sync);
void ConfigSync_Start(ConfigSync *sync);
void ConfigSync_Stop(ConfigSync *sync);

/* A message of a peer: its version, its digest of the withdrawn keys, and the
 * milliseconds since its last contact with the store through any peer (-1 =
 * never). Never blocks. */
void ConfigSync_PeerVersion(ConfigSync *sync, uint64_t peer, int64_t version,
                            uint64_t withdrawals, int64_t contact_age_ms);

/* Milliseconds since the last contact of this host with the store, directly or
 * through any peer; -1 = never. Compare with the fleet setting
 * isolation_limit_ms, and send it to peers. */
int64_t ConfigSync_ContactAgeMs(ConfigSync *sync);

/* Withdraws a key on this host and, with `write`, also queues the write of
 * `withdrawn/<hex>` to the store (for the host that the operator told; for a
 * withdrawal that came from a peer pass FALSE). TRUE if the key was not yet
 * withdrawn. */
gboolean ConfigSync_Withdraw(ConfigSync *sync, const ConfigKeyHash *hash,
                             gboolean write);

/* The answer to a peer's request: the tickets after its version, or a part of
 * a snapshot if the peer is far behind, and withdrawals that it lacks. Free
 * with g_bytes_unref(). Any thread registered with RCU. */
GBytes *ConfigSync_Bundle(ConfigSync *sync, const ConfigSyncRequest *request);

/* "version=1&withdrawals=...", for the query of a URL. Free with g_free(). */
char *ConfigSync_FormatRequest(const ConfigSyncRequest *request);
gboolean ConfigSync_ParseRequest(const char *text, ConfigSyncRequest *request);

#endif
