/* Config: the configuration in force, in compact tables published by RCU.
 *
 * Use:
 *  1. Config_Create(). There is an empty table of version 0.
 *  2. Readers (threads registered with rcu_register_thread() of <urcu.h>):
 *         const ConfigTable *table = Config_ReadLock(config);
 *         ... Config_Find*(), Config_Get*() ...
 *         Config_ReadUnlock(config);
 *     Lock and unlock wrap rcu_read_lock() and rcu_read_unlock(); they never
 *     block and may be nested. Strings and tables are valid until the unlock.
 *  3. Config_ApplyTicket() applies the next ticket, Config_WithdrawKey()
 *     withdraws a key at once. Any thread outside a read section may call
 *     them.
 *
 * Handles stay valid across tables as long as the service, team or route
 * exists, also when it is changed. A handle of a removed record is detected
 * (the Get function returns FALSE) until its slot has been reused more than
 * 4,095 times.
 *
 * Versions only increase: Config_ApplyTicket() applies only the ticket that
 * follows the version in force. Withdrawn keys form a grow-only set outside
 * the tables, so no ticket restores a withdrawn key.
 *
 * Limits: 1,048,575 each of keys, teams, routes, services and withdrawn keys.
 * A ticket copies only the pages of the tables that it changes.
 */
#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"

#define CONFIG_KEY_HASH_BYTES 32
#define CONFIG_MAX_SPLITS 16
#define CONFIG_NONE 0u

/* Handles consist of slot (upper 20 bits) and generation (lower 12 bits). */
typedef uint32_t ConfigService;
typedef uint32_t ConfigTeam;
typedef uint32_t ConfigRoute;

typedef struct Config Config;
typedef struct ConfigTable ConfigTable;
struct Ticket;

/* SHA-256 of a key. */
typedef struct ConfigKeyHash {
    uint8_t bytes[CONFIG_KEY_HASH_BYTES];
} ConfigKeyHash;

/* Settings of the whole fleet: FLEET(name, JSON name, min, max, default).
 * An isolation_limit_ms of 0 means no limit. */
#define CONFIG_FLEET_LIST(FLEET)                        \
    FLEET(RATE_SLOTS, "rate_slots", 3, 4096, 512)       \
    FLEET(GRANT_MS, "grant_ms", 100, 60000, 1000)       \
    FLEET(HOLD_MS, "hold_ms", 1000, 86400000, 43200000) \
    FLEET(ISOLATION_LIMIT_MS, "isolation_limit_ms", 0, 604800000, 0)
#define _CONFIG_FLEET_ENUM(name, text, min, max, value) CONFIG_FLEET_##name,
typedef enum ConfigFleet {
    CONFIG_FLEET_LIST(_CONFIG_FLEET_ENUM) CONFIG_FLEET_COUNT
} ConfigFleet;
#undef _CONFIG_FLEET_ENUM

typedef struct ConfigServiceInfo {
    ConfigService service;
    const char *name;
    uint32_t floor_percent; /* 0 to 100 */
    uint32_t total;         /* number of backend servers */
} ConfigServiceInfo;

typedef struct ConfigTeamInfo {
    ConfigTeam team;
    const char *name;
    int64_t rate_micro;  /* micro-tokens per second */
    int64_t burst_micro; /* micro-tokens */
    ClockMs limit_since; /* time of the last change of rate or burst on
                            this host; 0 for a team that no host can have
                            known before */
} ConfigTeamInfo;

typedef struct ConfigSplit {
    const char *pool;
    uint32_t share_percent;
} ConfigSplit;

typedef struct ConfigRouteInfo {
    ConfigRoute route;
    const char *path;
    const char *service_name;
    ConfigService service; /* CONFIG_NONE if there is no such service */
    gboolean issuance;
    uint32_t deadline_ms;
    uint32_t retries;
    uint32_t split_count; /* 0 = no split; else the shares add up to 100 */
    ConfigSplit splits[CONFIG_MAX_SPLITS];
} ConfigRouteInfo;

typedef struct ConfigStats {
    int64_t version;
    uint32_t services;
    uint32_t teams;
    uint32_t keys;
    uint32_t routes;
    uint32_t withdrawn;
    size_t bytes; /* memory of the tables, directories and strings */
} ConfigStats;

Config *Config_Create(void);

/* All readers must have left their read sections. */
void Config_Destroy(Config *config);

const ConfigTable *Config_ReadLock(Config *config);
void Config_ReadUnlock(Config *config);

/* Returns the number of the last ticket in the table, 0 if there is none. */
int64_t Config_GetVersion(const ConfigTable *table);

/* Returns the version in force without a read section; for counters and
 * messages to peers. */
int64_t Config_PeekVersion(Config *config);

int64_t Config_GetFleet(const ConfigTable *table, ConfigFleet setting);

ConfigService Config_FindService(const ConfigTable *table, const char *name);
gboolean Config_GetService(const ConfigTable *table, ConfigService service,
                           ConfigServiceInfo *info);

ConfigTeam Config_FindTeam(const ConfigTable *table, const char *name);

/* Finds a team by the Rng_HashString() of its name, which messages carry. */
ConfigTeam Config_FindTeamByNameHash(const ConfigTable *table, uint64_t hash);
gboolean Config_GetTeam(const ConfigTable *table, ConfigTeam team,
                        ConfigTeamInfo *info);

/* Computes the SHA-256 of the key's bytes. */
void Config_HashKey(const char *key, size_t length, ConfigKeyHash *hash);

/* Reads 64 lower-case or upper-case hex digits. */
gboolean Config_HashFromHex(const char *hex, ConfigKeyHash *hash);

/* Writes 64 lower-case hex digits and a NUL. */
void Config_HashToHex(const ConfigKeyHash *hash, char hex[65]);

/* Returns RESULT_OK with the team, RESULT_KEY_UNKNOWN or RESULT_KEY_WITHDRAWN.
 * Looks the key up in the current withdrawn set, not in its state at the time
 * of the table. */
Result Config_FindTeamByKeyHash(const ConfigTable *table,
                                const ConfigKeyHash *hash, ConfigTeam *team);

/* Finds the route with the longest path that equals the given path or is a
 * prefix of it up to a '/' ("/a" and "/a/" match "/a/b", not "/ab"). The path
 * must have no query and no "." and ".." segments. */
ConfigRoute Config_FindRoute(const ConfigTable *table, const char *path);

/* Finds the route with exactly this path. */
ConfigRoute Config_FindRouteExact(const ConfigTable *table, const char *path);
gboolean Config_GetRoute(const ConfigTable *table, ConfigRoute route,
                         ConfigRouteInfo *info);

/* Returns TRUE if the route lists no teams or lists this one. A route whose
 * listed teams were all removed allows no team. */
gboolean Config_RouteAllows(const ConfigTable *table, ConfigRoute route,
                            ConfigTeam team);

/* Calls the callback for each record. */
void Config_ForEachService(const ConfigTable *table,
                           void (*callback)(void *context,
                                            const ConfigServiceInfo *info),
                           void *context);
void Config_ForEachTeam(const ConfigTable *table,
                        void (*callback)(void *context,
                                         const ConfigTeamInfo *info),
                        void *context);
void Config_ForEachRoute(const ConfigTable *table,
                         void (*callback)(void *context,
                                          const ConfigRouteInfo *info),
                         void *context);

/* Applies a ticket. Returns
 *  RESULT_OK              the version is now the ticket's
 *  RESULT_TICKET_INVALID  a key belongs to another team, or a table is full;
 *                         the version is now the ticket's, and nothing else
 *                         changed (all daemons decide alike, because they
 *                         have the same table before the ticket)
 *  RESULT_NOT_FOUND       an earlier ticket is missing; no change
 * *applied is TRUE if the version changed. RESULT_OK with *applied FALSE means
 * that this version or a later one was already in force. */
Result Config_ApplyTicket(Config *config, const struct Ticket *ticket,
                          gboolean *applied, GError **error);

/* Marks the initial load as complete: the tickets that existed when this host
 * started are in force. A team that is created later is new to the whole
 * fleet. */
void Config_SetLoaded(Config *config);

/* Adds a key to the withdrawn set. Returns TRUE if it was not in the set.
 * Applies to all look-ups that start after the return. Never waits for
 * readers. */
gboolean Config_WithdrawKey(Config *config, const ConfigKeyHash *hash);
gboolean Config_IsWithdrawn(Config *config, const ConfigKeyHash *hash);

/* Returns a digest of the withdrawn set: equal sets have equal digests; the
 * digest of the empty set is 0. Peers compare digests to detect missing
 * withdrawals. */
uint64_t Config_GetWithdrawalsDigest(Config *config);

/* The calling thread must be registered with RCU. */
void Config_GetStats(Config *config, ConfigStats *stats);

#endif
