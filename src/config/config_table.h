/* ConfigTable: layout of the tables, and drafts of new tables.
 *
 * Private to config. A draft is a copy of the table in force. It shares the
 * pages of that table until it writes to them:
 *  1. _Config_BeginDraft() locks out other drafts.
 *  2. _Config_ApplySets() or _Config_ApplyPart().
 *  3. _Config_CommitDraft() publishes it, _Config_AbortDraft() discards it.
 */
#ifndef CONFIG_CONFIG_TABLE_H
#define CONFIG_CONFIG_TABLE_H

#include <pthread.h>

#include "config/config.h"
#include "config/config_arena.h"
#include "config/config_pages.h"
#include "config/config_withdrawn.h"

#define CONFIG_SLOT_BITS 20
#define CONFIG_GENERATION_BITS 12
#define CONFIG_MAX_SLOT ((1u << CONFIG_SLOT_BITS) - 1)

typedef enum ConfigKind {
    CONFIG_KIND_SERVICE,
    CONFIG_KIND_TEAM,
    CONFIG_KIND_ROUTE,
    CONFIG_KIND_KEY,
    CONFIG_KINDS
} ConfigKind;

/* Common header of service, team and route records. A free record has name 0;
 * `next` links it to the next free record. */
typedef struct ConfigRecord {
    uint32_t name;                    /* reference to the arena; 0 = free */
    uint32_t next : CONFIG_SLOT_BITS; /* next slot of the bucket */
    uint32_t generation : CONFIG_GENERATION_BITS; /* part of the handle */
} ConfigRecord;

typedef struct ConfigServiceRecord {
    ConfigRecord base;
    uint32_t floor_percent;
    uint32_t total;
} ConfigServiceRecord;

/* 24 bytes. Rates and bursts are stored in thousandths of a token: exact for
 * the three decimals that a ticket allows, and half the size of
 * micro-tokens. */
typedef struct ConfigTeamRecord {
    ConfigRecord base;
    uint32_t rate_milli;
    uint32_t burst_milli;
    uint32_t limit_since_s; /* Clock_Now() in seconds, rounded up */
    uint32_t first_key;
} ConfigTeamRecord;

typedef struct ConfigRouteRecord {
    ConfigRecord base;
    uint32_t detail; /* ConfigRouteDetail in the arena */
    uint32_t deadline_ms;
    uint16_t retries;
    uint16_t issuance;
} ConfigRouteRecord;

/* Variable part of a route. `data` holds the service's name with NUL, then for
 * each split one byte of percent and the pool's name with NUL, then for each
 * team one byte of length and the name with NUL. */
typedef struct ConfigRouteDetail {
    uint16_t bytes; /* size of the whole detail */
    uint8_t split_count;
    uint8_t team_count;
    char data[];
} ConfigRouteDetail;

/* 40 bytes. */
typedef struct ConfigKeyRecord {
    ConfigKeyHash hash;
    uint64_t team : CONFIG_SLOT_BITS;         /* 0 = free */
    uint64_t next : CONFIG_SLOT_BITS;         /* next slot of the bucket */
    uint64_t next_of_team : CONFIG_SLOT_BITS; /* next key of the team */
} ConfigKeyRecord;

struct ConfigTable {
    Config *config;
    int64_t version;
    uint64_t serial; /* serial of the draft that created it */
    int64_t fleet[CONFIG_FLEET_COUNT];
    ConfigPages records[CONFIG_KINDS];
    ConfigPages heads[CONFIG_KINDS];  /* uint32_t slot for each bucket */
    uint32_t last_slot[CONFIG_KINDS]; /* highest slot ever used */
    uint32_t first_free[CONFIG_KINDS];
    uint32_t count[CONFIG_KINDS];
};

/* A block of the arena with its length. */
typedef struct ConfigBlock {
    uint32_t reference;
    uint32_t length;
} ConfigBlock;

/* Memory that a commit replaced; freed once no reader and no pin uses it. */
typedef struct ConfigRetired {
    ConfigTable *table;
    GPtrArray *pages;
    GArray *blocks; /* ConfigBlock */
} ConfigRetired;

typedef struct ConfigDraft {
    Config *config;
    ConfigTable *table;
    GPtrArray *replaced_pages; /* pages of the base table */
    GArray *added_blocks;      /* ConfigBlocks that an abort frees */
    GArray *retired_blocks;    /* ConfigBlocks that a commit retires */
} ConfigDraft;

/* A team that a ticket removed. */
typedef struct ConfigRemovedTeam {
    uint64_t name_hash;    /* Rng_HashString() of the name */
    uint32_t removed_at_s; /* Clock_Now() in seconds, rounded up */
} ConfigRemovedTeam;

#define CONFIG_MAX_REMOVED_TEAMS 64

struct Config {
    int is_loaded; /* atomic */
    ConfigRemovedTeam
        removed_teams[CONFIG_MAX_REMOVED_TEAMS]; /* under draft_lock */
    uint32_t next_removed_team;
    ConfigTable *current; /* RCU */
    int64_t version;      /* atomic */
    ConfigWithdrawn *withdrawn;
    pthread_mutex_t draft_lock; /* held from begin to commit or abort */
    ConfigArena arena;          /* written under draft_lock */
    uint64_t serial;            /* under draft_lock */
    pthread_mutex_t pin_lock;
    const ConfigTable *pinned;
    GArray *retired; /* ConfigRetired entries; freed after the unpin */
};

/* Returns the number of buckets of a kind, a power of two. The numbers fit the
 * table sizes expected in two years; a larger table has longer chains. They
 * are fixed, so that no ticket has to rebuild an index. */
uint32_t _Config_BucketCount(ConfigKind kind);

uint32_t _Config_NameBucket(ConfigKind kind, const char *name, size_t length);

uint32_t _Config_KeyBucket(const ConfigKeyHash *hash);

/* Returns the slot of the record with this name; 0 if there is none. */
uint32_t _Config_FindName(const ConfigTable *table, ConfigKind kind,
                          const char *name, size_t length);
uint32_t _Config_FindKey(const ConfigTable *table, const ConfigKeyHash *hash);

static inline const void *
_Config_Record(const ConfigTable *table, ConfigKind kind, uint32_t slot)
{
    return ConfigPages_Get(&table->records[kind], slot);
}

static inline uint32_t
_Config_Head(const ConfigTable *table, ConfigKind kind, uint32_t bucket)
{
    const uint32_t *head = ConfigPages_Get(&table->heads[kind], bucket);

    return head != NULL ? *head : 0;
}

static inline const char *
_Config_Name(const ConfigTable *table, uint32_t reference)
{
    return ConfigArena_Get(&table->config->arena, reference);
}

/* Returns the first team entry of a route's detail. */
const char *_Config_DetailTeams(const ConfigRouteDetail *detail);

/* Returns the complete state of a record, in the form of a ticket, as a new
 * reference. */
json_t *_Config_RecordToJson(const ConfigTable *table, ConfigKind kind,
                             uint32_t slot);

/* Returns the JSON name of a kind in `sets`. */
const char *_Config_KindName(ConfigKind kind);

void _Config_BeginDraft(Config *config, ConfigDraft *draft);

/* Applies the checked `sets` of a ticket. Fails if a key belongs to another
 * team and the ticket does not remove it from that team. */
Result _Config_ApplySets(ConfigDraft *draft, json_t *sets, GError **error);

/* Makes one part of a table equal to the checked sets of a snapshot's part.
 * Records in this part's buckets that the sets lack are removed. */
Result _Config_ApplyPart(ConfigDraft *draft, json_t *sets, uint32_t part,
                         uint32_t parts, GError **error);

void _Config_CommitDraft(ConfigDraft *draft, int64_t version);
void _Config_AbortDraft(ConfigDraft *draft);

/* Computes the range of buckets of a part: [first, end). */
void _Config_PartBuckets(ConfigKind kind, uint32_t part, uint32_t parts,
                         uint32_t *first, uint32_t *end);

/* Returns the number of parts of a snapshot, each of at most about
 * part_bytes. */
uint32_t _Config_PartCount(const ConfigTable *table, size_t part_bytes);

/* Returns the sets of one part as JSON text. */
GString *_Config_DumpPart(const ConfigTable *table, uint32_t part,
                          uint32_t parts);

/* Pins the table in force: it is not freed until _Config_Unpin(). Only one
 * table can be pinned; a second call returns NULL. */
const ConfigTable *_Config_Pin(Config *config);
void _Config_Unpin(Config *config);

#endif
