/* ConfigSync, private part: state shared by its files.
 *
 * config_sync.c    thread, messages of peers, withdrawals
 * config_store.c   watch and snapshots in the store
 * config_bundle.c  bundles for and from peers
 */
#ifndef CONFIG_CONFIG_SYNC_PRIVATE_H
#define CONFIG_CONFIG_SYNC_PRIVATE_H

#include <pthread.h>

#include "base/rng.h"
#include "config/config_sync.h"
#include "config/config_table.h"
#include "config/ticket.h"
#include "store/store.h"

#define CONFIG_SYNC_OFFERS 16
/* Parts of a snapshot stay below the store's limit of 1 MB although the size
 * is an estimate. */
#define CONFIG_SYNC_PART_BYTES 700000
#define CONFIG_SYNC_MAX_PARTS 10000

/* A message of a peer that has more than this host. */
typedef struct ConfigSyncOffer {
    uint64_t peer;
    int64_t version;
    uint64_t withdrawals;
} ConfigSyncOffer;

/* A ticket that is kept for peers. */
typedef struct ConfigSyncTicket {
    int64_t number;
    char *text;
    size_t length;
} ConfigSyncTicket;

/* There was no contact with the store yet. */
#define CONFIG_NO_CONTACT INT64_MIN

struct ConfigSync {
    ConfigSync_desc desc;
    Config *config;
    char *host;
    pthread_t thread;
    gboolean started;

    pthread_mutex_t lock; /* all of this block */
    pthread_cond_t wake;
    gboolean stopping;
    /* Last contact with the store. It may lie before the host's start, and is
     * then negative, when a peer had it. */
    ClockMs contact;
    ConfigSyncOffer offers[CONFIG_SYNC_OFFERS];
    size_t offer_count;
    GArray *unwritten; /* ConfigKeyHash to write to the store */
    GQueue recent;     /* ConfigSyncTicket, oldest first */
    size_t recent_bytes;

    pthread_mutex_t served_lock; /* all of this block */
    const ConfigTable *served;   /* pinned table, NULL = none */
    uint32_t served_parts;
    ClockMs served_since;
    ClockMs served_used;

    /* Of the thread only. */
    Store *store;
    Rng rng;
    gboolean loaded;       /* the start from store or peers has succeeded */
    int64_t tickets_after; /* store version up to which tickets were read;
                              -1 = to be found out */
    int64_t withdrawn_after;
    uint32_t stored_prefix; /* withdrawals before it exist in the store */
    uint32_t swept_count;   /* number of withdrawals at the last sweep */
    ClockMs next_sweep;
    ClockMs next_store; /* no call on the store before */
    int store_delay_ms;
    ClockMs next_full_pull; /* of the whole list of withdrawals */
    gboolean pull_failed;   /* the last pull brought nothing */
    int64_t last_claim;     /* ticket of the last snapshot that was claimed */
};

/* A ticket as JSON: put in force, or passed over if it is invalid. FALSE if it
 * is not the next one. */
gboolean _ConfigSync_TakeTicket(ConfigSync *sync, json_t *value);

/* Adds a withdrawal; notifies if it is new. */
gboolean _ConfigSync_TakeWithdrawal(ConfigSync *sync,
                                    const ConfigKeyHash *hash);

/* ConfigSync_Stop() was called; long loops end early. */
gboolean _ConfigSync_IsStopping(ConfigSync *sync);

/* Calls the `changed` callback. */
void _ConfigSync_Notify(ConfigSync *sync);

/* Records a contact with the store that is age_ms old. */
void _ConfigSync_NoteContact(ConfigSync *sync, int64_t age_ms);

/* Pins the table for snapshots, or keeps the one that is pinned. Called with
 * served_lock held. */
void _ConfigSync_Serve(ConfigSync *sync);

/* Unpins a table that is no longer asked for. */
void _ConfigSync_EndServing(ConfigSync *sync, gboolean at_once);

/* Puts one part of a snapshot into a draft, which it begins at part 0 and
 * commits after the last part. *open tells whether the draft is open. FALSE
 * closes it. */
gboolean _ConfigSync_TakePart(ConfigSync *sync, ConfigDraft *draft,
                              gboolean *open, int64_t number, uint32_t part,
                              uint32_t parts, json_t *sets);

/* One round on the store by a watcher: withdrawals, tickets (held up to
 * wait_ms), snapshot. FALSE if the store failed. */
gboolean _ConfigSync_Watch(ConfigSync *sync, int wait_ms);

/* Reads snapshot, tickets and withdrawals at the start. */
gboolean _ConfigSync_LoadFromStore(ConfigSync *sync);

/* Writes the queued withdrawals to the store. */
gboolean _ConfigSync_WriteQueue(ConfigSync *sync);

/* Fetches from a peer until nothing more comes. With full_list, also its whole
 * list of withdrawals if the newest ones do not make the sets equal. FALSE if
 * nothing new came. */
gboolean _ConfigSync_Pull(ConfigSync *sync, uint64_t peer, gboolean full_list);

/* The peer's version; -1 if it does not answer. */
int64_t _ConfigSync_AskVersion(ConfigSync *sync, uint64_t peer);

#endif
