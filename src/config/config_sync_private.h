/* ConfigSync, private part: state shared by its files.
 *
 * config_sync.c    thread, messages of peers, withdrawals
 * config_store.c   watch and snapshots in the store
 * config_bundle.c  bundles sent to and fetched from peers
 */
#ifndef CONFIG_CONFIG_SYNC_PRIVATE_H
#define CONFIG_CONFIG_SYNC_PRIVATE_H

#include <pthread.h>

#include "base/rng.h"
#include "config/config_sync.h"
#include "config/config_table.h"
#include "config/ticket.h"
#include "store/store.h"

#define CONFIG_SYNC_MAX_OFFERS 16
/* Estimated size of a snapshot's part; the margin keeps parts below the
 * store's limit of 1 MB. */
#define CONFIG_SYNC_PART_BYTES 700000
#define CONFIG_SYNC_MAX_PARTS 10000

/* Version and digest reported by a peer that has tickets or withdrawals that
 * this host lacks. */
typedef struct ConfigSyncOffer {
    uint64_t peer;
    int64_t version;
    uint64_t withdrawals;
} ConfigSyncOffer;

/* A ticket that is cached for peers. */
typedef struct ConfigSyncTicket {
    int64_t number;
    char *text;
    size_t length;
} ConfigSyncTicket;

/* Value of `contact` before the first contact with the store. */
#define CONFIG_NO_CONTACT INT64_MIN

struct ConfigSync {
    ConfigSync_desc desc;
    Config *config;
    char *host;
    pthread_t thread;
    gboolean started;

    pthread_mutex_t lock; /* protects this block */
    pthread_cond_t wake;
    gboolean stopping;
    /* Time of the last contact with the store. If a peer had the contact
     * before this host's start, the time is negative. */
    ClockMs contact;
    ConfigSyncOffer offers[CONFIG_SYNC_MAX_OFFERS];
    size_t offer_count;
    GArray *unwritten; /* ConfigKeyHash to write to the store */
    GQueue recent;     /* ConfigSyncTicket, oldest first */
    size_t recent_bytes;

    pthread_mutex_t served_lock; /* protects this block */
    const ConfigTable *served;   /* table pinned for snapshots, NULL = none */
    uint32_t served_parts;
    ClockMs served_since; /* time of the pin */
    ClockMs served_used;  /* time of the last use */

    /* Used only by the thread. */
    Store *store;
    Rng rng;
    gboolean loaded;         /* initial load from store or peers succeeded */
    int64_t tickets_after;   /* store version up to which tickets were read;
                                -1 = not determined yet */
    int64_t withdrawn_after; /* store version up to which withdrawals were
                                read */
    uint32_t stored_prefix;  /* number of oldest withdrawals that all exist in
                                the store */
    uint32_t swept_count;    /* number of withdrawals at the last sweep */
    ClockMs next_sweep;
    ClockMs next_store; /* earliest time of the next call on the store */
    int store_delay_ms;
    ClockMs next_full_pull; /* earliest time of the next fetch of the whole
                               list of withdrawals */
    gboolean pull_failed;   /* the last pull for a newer version made no
                               progress */
    int64_t last_claim;     /* ticket of the last snapshot claim tried */
};

/* Applies a ticket given as JSON, or skips it if it is invalid. Returns FALSE
 * if it is not the next ticket. */
gboolean _ConfigSync_ProcessTicket(ConfigSync *sync, json_t *value);

/* Adds a withdrawal. Returns TRUE and calls `changed` if it is new. */
gboolean _ConfigSync_AddWithdrawal(ConfigSync *sync,
                                   const ConfigKeyHash *hash);

/* Returns TRUE once ConfigSync_Stop() was called, so that long loops end
 * early. */
gboolean _ConfigSync_IsStopping(ConfigSync *sync);

/* Calls the `changed` callback. */
void _ConfigSync_Notify(ConfigSync *sync);

/* Records a contact with the store that is age_ms old. */
void _ConfigSync_RecordContact(ConfigSync *sync, int64_t age_ms);

/* Pins the table in force for snapshots unless a table is pinned already, and
 * records its use. Called with served_lock held. */
void _ConfigSync_PinServed(ConfigSync *sync);

/* Unpins the served table if it is idle or old, or with `immediately` in any
 * case. */
void _ConfigSync_UnpinServed(ConfigSync *sync, gboolean immediately);

/* Applies one part of a snapshot to a draft. Begins the draft at part 0 and
 * commits it after the last part; *draft_open is TRUE between the two. On
 * failure aborts the draft and returns FALSE. */
gboolean _ConfigSync_ApplyPart(ConfigSync *sync, ConfigDraft *draft,
                               gboolean *draft_open, int64_t number,
                               uint32_t part, uint32_t parts, json_t *sets);

/* Runs one round of a watcher on the store: reads and writes withdrawals,
 * reads tickets (a call that the store holds up to wait_ms), writes a snapshot
 * if one is due. Returns FALSE if the store failed. */
gboolean _ConfigSync_Watch(ConfigSync *sync, int wait_ms);

/* Reads snapshot, withdrawals and tickets for the initial load. Returns FALSE
 * if the store failed. */
gboolean _ConfigSync_LoadFromStore(ConfigSync *sync);

/* Writes the queued withdrawals to the store. Returns FALSE if the store
 * failed. */
gboolean _ConfigSync_WriteQueue(ConfigSync *sync);

/* Fetches from a peer until it has nothing more to send. With full_list, also
 * fetches its whole list of withdrawals if the newest ones do not make the
 * sets equal. Returns FALSE if nothing new was received. */
gboolean _ConfigSync_Pull(ConfigSync *sync, uint64_t peer, gboolean full_list);

/* Returns the peer's version; -1 if the peer does not answer. */
int64_t _ConfigSync_QueryVersion(ConfigSync *sync, uint64_t peer);

#endif
