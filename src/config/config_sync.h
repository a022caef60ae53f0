/* ConfigSync: distribution of tickets and key withdrawals.
 *
 * Use:
 *  1. ConfigSync_Create() with the Config, the store's addresses and the
 *     callbacks; ConfigSync_Start() starts the one thread.
 *  2. ConfigSync_HandlePeerVersion() for each message of a peer that carries
 *     its version, its digest of withdrawals and its contact age. If the peer
 *     has more, the thread fetches a bundle by the `fetch` callback.
 *  3. The peer answers a fetch with ConfigSync_CreateBundle(). The request is
 *     sent as text: ConfigSync_FormatRequest(), ConfigSync_ParseRequest().
 *  4. ConfigSync_Withdraw() for a withdrawal by the operator or by a peer.
 *  5. ConfigSync_Stop() wakes and joins the thread; ConfigSync_Destroy()
 *     before Config_Destroy().
 *
 * A host for which `is_watcher` returns TRUE watches `ticket/` and
 * `withdrawn/` in the store. Other hosts call the store only at the start, as
 * long as they have no configuration, and to write a withdrawal that was made
 * on them. The watchers write a snapshot every 100 tickets: the one that
 * creates `snapshot/<n>/claim`, by a conditional create, writes it.
 *
 * Errors: a failed call on the store is retried after a growing delay of at
 * most 5 s on a watcher and 30 s on a host without configuration. A malformed,
 * incomplete or old bundle or snapshot changes nothing. All daemons skip an
 * invalid ticket in the store alike: the version becomes its number, and
 * nothing else changes.
 *
 * Limits: a watcher detects a withdrawal that only the store reports after at
 * most watch_ms. On a watcher, messages of peers wait up to watch_ms. A bundle
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

/* A daemon's request for a bundle of a peer. */
typedef struct ConfigSyncRequest {
    int64_t version;          /* version in force on the requester */
    uint64_t withdrawals;     /* digest of the requester's withdrawals,
                                 Config_GetWithdrawalsDigest() */
    int64_t snapshot;         /* snapshot being fetched; 0 = none */
    uint32_t part;            /* part of that snapshot */
    uint32_t withdrawn_from;  /* position in the peer's list of withdrawals */
    gboolean versions_only;   /* the peer sends only its version, its digest
                                 and its contact age */
    gboolean accept_snapshot; /* the peer may send a snapshot if it no
                                 longer has the next ticket */
} ConfigSyncRequest;

typedef struct ConfigSync_desc {
    Config *config;              /* required */
    const char *store_addresses; /* as in Store_desc; NULL = no store */
    const char *host;            /* name in claims and withdrawals */
    int store_timeout_ms;        /* zero means 2,000 ms */
    int watch_ms;                /* zero means 2,000 ms */
    int snapshot_every; /* tickets between snapshots; zero means 100 */
    int sweep_ms; /* interval at which a watcher writes withdrawals that the
                     store lacks; zero means 10,000 ms */

    /* The callbacks run on ConfigSync's thread, which is registered with RCU;
     * `changed` also runs on the thread that calls ConfigSync_Withdraw(). Each
     * may be NULL. */
    void *context;

    /* Returns whether this host is currently a watcher. */
    gboolean (*is_watcher)(void *context);

    /* Fetches a bundle from the peer with this host id. Returns NULL with an
     * error if the peer does not answer. May block for a few seconds. */
    GBytes *(*fetch)(void *context, uint64_t peer,
                     const ConfigSyncRequest *request, GError **error);

    /* Writes at most `max` host ids of live peers, in random order, and
     * returns their number. Used while this host has no configuration. */
    size_t (*peers)(void *context, uint64_t *ids, size_t max);

    /* Receives the new version and digest when a new version is in force or a
     * key was withdrawn. */
    void (*changed)(void *context, int64_t version, uint64_t withdrawals);
} ConfigSync_desc;

ConfigSync *ConfigSync_Create(const ConfigSync_desc *desc, GError **error);
void ConfigSync_Destroy(ConfigSync *sync);
void ConfigSync_Start(ConfigSync *sync);
void ConfigSync_Stop(ConfigSync *sync);

/* Handles a message of a peer: its version, its digest of the withdrawn keys,
 * and the milliseconds since its last contact with the store, directly or
 * through any peer (-1 = never). Never blocks. */
void ConfigSync_HandlePeerVersion(ConfigSync *sync, uint64_t peer,
                                  int64_t version, uint64_t withdrawals,
                                  int64_t contact_age_ms);

/* Returns the milliseconds since the last contact of this host with the store,
 * directly or through any peer; -1 = never. The caller compares it with the
 * fleet setting isolation_limit_ms and sends it to peers. */
int64_t ConfigSync_ContactAgeMs(ConfigSync *sync);

/* Withdraws a key on this host. With `write`, also queues the write of
 * `withdrawn/<hex>` to the store: pass TRUE on the host that received the
 * operator's request, FALSE for a withdrawal that a peer sent. Returns TRUE if
 * the key was not yet withdrawn. */
gboolean ConfigSync_Withdraw(ConfigSync *sync, const ConfigKeyHash *hash,
                             gboolean write);

/* Creates the answer to a peer's request: the tickets after its version, or a
 * part of a snapshot if the peer is far behind, and the withdrawals that it
 * lacks. Free with g_bytes_unref(). The calling thread must be registered with
 * RCU. */
GBytes *ConfigSync_CreateBundle(ConfigSync *sync,
                                const ConfigSyncRequest *request);

/* Formats "version=1&withdrawals=..." for the query of a URL. Free with
 * g_free(). */
char *ConfigSync_FormatRequest(const ConfigSyncRequest *request);
gboolean ConfigSync_ParseRequest(const char *text, ConfigSyncRequest *request);

#endif
