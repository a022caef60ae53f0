#include "config/config.h"

#include <string.h>
#include <urcu.h>

#include "base/rng.h"
#include "config/config_table.h"
#include "config/ticket.h"

/* liburcu is not instrumented, so these annotations tell the thread sanitizer
 * that a grace period orders the readers before the writer that frees. */
#ifdef __SANITIZE_THREAD__
#define HAVE_TSAN 1
#elif defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define HAVE_TSAN 1
#endif
#endif
#ifdef HAVE_TSAN
#include <sanitizer/tsan_interface.h>
#define ANNOTATE_READ_END(config) __tsan_release(config)
#define ANNOTATE_GRACE_PERIOD(config) __tsan_acquire(config)
#else
#define ANNOTATE_READ_END(config) (void)(config)
#define ANNOTATE_GRACE_PERIOD(config) (void)(config)
#endif

static const uint32_t bucket_bits[CONFIG_KINDS] = {
    [CONFIG_KIND_SERVICE] = 13,
    [CONFIG_KIND_TEAM] = 17,
    [CONFIG_KIND_ROUTE] = 15,
    [CONFIG_KIND_KEY] = 17,
};

static const uint32_t record_bytes[CONFIG_KINDS] = {
    [CONFIG_KIND_SERVICE] = sizeof(ConfigServiceRecord),
    [CONFIG_KIND_TEAM] = sizeof(ConfigTeamRecord),
    [CONFIG_KIND_ROUTE] = sizeof(ConfigRouteRecord),
    [CONFIG_KIND_KEY] = sizeof(ConfigKeyRecord),
};

/* Pages have 2 to 5 KB: small enough to copy for one changed record, and large
 * enough that a directory has fewer than 2,000 pages at 220,000 teams. */
#define RECORD_SHIFT 7
#define HEAD_SHIFT 9

#define _FLEET_DEFAULT(name, text, min, max, value) \
    [CONFIG_FLEET_##name] = (value),
static const int64_t fleet_defaults[] = {CONFIG_FLEET_LIST(_FLEET_DEFAULT)};
#undef _FLEET_DEFAULT

Config *
Config_Create(void)
{
    Config *config = g_new0(Config, 1);
    ConfigTable *table = g_new0(ConfigTable, 1);

    table->config = config;
    memcpy(table->fleet, fleet_defaults, sizeof(fleet_defaults));
    for (int kind = 0; kind < CONFIG_KINDS; kind++) {
        ConfigPages_Init(&table->records[kind], record_bytes[kind],
                         RECORD_SHIFT);
        ConfigPages_Init(&table->heads[kind], sizeof(uint32_t), HEAD_SHIFT);
    }
    config->current = table;
    config->withdrawn = ConfigWithdrawn_Create();
    ConfigArena_Init(&config->arena);
    pthread_mutex_init(&config->draft_lock, NULL);
    pthread_mutex_init(&config->pin_lock, NULL);
    config->retired = g_array_new(FALSE, FALSE, sizeof(ConfigRetired));
    return config;
}

void
Config_SetLoaded(Config *config)
{
    __atomic_store_n(&config->is_loaded, 1, __ATOMIC_RELEASE);
}

/* Frees a table with the pages of one draft; serial 0 means all pages. */
static void
free_table(ConfigTable *table, uint64_t serial)
{
    for (int kind = 0; kind < CONFIG_KINDS; kind++) {
        ConfigPages_Clear(&table->records[kind], serial);
        ConfigPages_Clear(&table->heads[kind], serial);
    }
    g_free(table);
}

void
Config_Destroy(Config *config)
{
    if (config == NULL) {
        return;
    }
    _Config_Unpin(config);
    free_table(config->current, 0);
    ConfigArena_Clear(&config->arena);
    ConfigWithdrawn_Destroy(config->withdrawn);
    g_array_unref(config->retired);
    pthread_mutex_destroy(&config->draft_lock);
    pthread_mutex_destroy(&config->pin_lock);
    g_free(config);
}

const ConfigTable *
Config_ReadLock(Config *config)
{
    rcu_read_lock();
    return __atomic_load_n(&config->current, __ATOMIC_ACQUIRE);
}

void
Config_ReadUnlock(Config *config)
{
    ANNOTATE_READ_END(config);
    rcu_read_unlock();
}

int64_t
Config_GetVersion(const ConfigTable *table)
{
    return table->version;
}

int64_t
Config_PeekVersion(Config *config)
{
    return __atomic_load_n(&config->version, __ATOMIC_ACQUIRE);
}

int64_t
Config_GetFleet(const ConfigTable *table, ConfigFleet setting)
{
    return table->fleet[setting];
}

uint32_t
_Config_BucketCount(ConfigKind kind)
{
    return 1u << bucket_bits[kind];
}

static uint32_t
bucket_of(ConfigKind kind, uint64_t hash)
{
    return (uint32_t)(hash >> (64 - bucket_bits[kind]));
}

uint32_t
_Config_NameBucket(ConfigKind kind, const char *name, size_t length)
{
    return bucket_of(kind, Rng_Hash(name, length));
}

uint32_t
_Config_KeyBucket(const ConfigKeyHash *hash)
{
    uint64_t value;

    memcpy(&value, hash->bytes, sizeof(value));
    return (uint32_t)(GUINT64_FROM_LE(value) >>
                      (64 - bucket_bits[CONFIG_KIND_KEY]));
}

uint32_t
_Config_FindName(const ConfigTable *table, ConfigKind kind, const char *name,
                 size_t length)
{
    uint32_t slot =
        _Config_Head(table, kind, _Config_NameBucket(kind, name, length));

    while (slot != 0) {
        const ConfigRecord *record = _Config_Record(table, kind, slot);
        const char *found = _Config_Name(table, record->name);

        if (strncmp(found, name, length) == 0 && found[length] == '\0') {
            return slot;
        }
        slot = record->next;
    }
    return 0;
}

uint32_t
_Config_FindKey(const ConfigTable *table, const ConfigKeyHash *hash)
{
    uint32_t slot =
        _Config_Head(table, CONFIG_KIND_KEY, _Config_KeyBucket(hash));

    while (slot != 0) {
        const ConfigKeyRecord *record =
            _Config_Record(table, CONFIG_KIND_KEY, slot);

        if (memcmp(&record->hash, hash, sizeof(*hash)) == 0) {
            return slot;
        }
        slot = record->next;
    }
    return 0;
}

static uint32_t
to_handle(const ConfigTable *table, ConfigKind kind, uint32_t slot)
{
    const ConfigRecord *record;

    if (slot == 0) {
        return CONFIG_NONE;
    }
    record = _Config_Record(table, kind, slot);
    return slot << CONFIG_GENERATION_BITS | record->generation;
}

/* Returns the record of a handle; NULL if it was removed. */
static const void *
from_handle(const ConfigTable *table, ConfigKind kind, uint32_t handle)
{
    uint32_t slot = handle >> CONFIG_GENERATION_BITS;
    const ConfigRecord *record =
        slot != 0 ? _Config_Record(table, kind, slot) : NULL;

    if (record == NULL || record->name == 0 ||
        record->generation !=
            (handle & ((1u << CONFIG_GENERATION_BITS) - 1))) {
        return NULL;
    }
    return record;
}

static uint32_t
find_handle(const ConfigTable *table, ConfigKind kind, const char *name)
{
    return to_handle(table, kind,
                     _Config_FindName(table, kind, name, strlen(name)));
}

ConfigService
Config_FindService(const ConfigTable *table, const char *name)
{
    return find_handle(table, CONFIG_KIND_SERVICE, name);
}

gboolean
Config_GetService(const ConfigTable *table, ConfigService service,
                  ConfigServiceInfo *info)
{
    const ConfigServiceRecord *record =
        from_handle(table, CONFIG_KIND_SERVICE, service);

    if (record == NULL) {
        return FALSE;
    }
    *info = (ConfigServiceInfo){
        .service = service,
        .name = _Config_Name(table, record->base.name),
        .floor_percent = record->floor_percent,
        .total = record->total,
    };
    return TRUE;
}

ConfigTeam
Config_FindTeam(const ConfigTable *table, const char *name)
{
    return find_handle(table, CONFIG_KIND_TEAM, name);
}

gboolean
Config_GetTeam(const ConfigTable *table, ConfigTeam team, ConfigTeamInfo *info)
{
    const ConfigTeamRecord *record =
        from_handle(table, CONFIG_KIND_TEAM, team);

    if (record == NULL) {
        return FALSE;
    }
    *info = (ConfigTeamInfo){
        .team = team,
        .name = _Config_Name(table, record->base.name),
        .rate_micro = (int64_t)record->rate_milli * 1000,
        .burst_micro = (int64_t)record->burst_milli * 1000,
        .limit_since = (ClockMs)record->limit_since_s * 1000,
    };
    return TRUE;
}

ConfigTeam
Config_FindTeamByNameHash(const ConfigTable *table, uint64_t hash)
{
    uint32_t slot = _Config_Head(table, CONFIG_KIND_TEAM,
                                 bucket_of(CONFIG_KIND_TEAM, hash));

    while (slot != 0) {
        const ConfigRecord *record =
            _Config_Record(table, CONFIG_KIND_TEAM, slot);

        if (Rng_HashString(_Config_Name(table, record->name)) == hash) {
            return to_handle(table, CONFIG_KIND_TEAM, slot);
        }
        slot = record->next;
    }
    return CONFIG_NONE;
}

void
Config_HashKey(const char *key, size_t length, ConfigKeyHash *hash)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    gsize size = sizeof(hash->bytes);

    g_checksum_update(checksum, (const guchar *)key, (gssize)length);
    g_checksum_get_digest(checksum, hash->bytes, &size);
    g_checksum_free(checksum);
}

gboolean
Config_HashFromHex(const char *hex, ConfigKeyHash *hash)
{
    for (int i = 0; i < 2 * CONFIG_KEY_HASH_BYTES; i++) {
        int digit = g_ascii_xdigit_value(hex[i]);

        if (digit < 0) {
            return FALSE;
        }
        hash->bytes[i / 2] = (uint8_t)(hash->bytes[i / 2] << 4 | digit);
    }
    return hex[2 * CONFIG_KEY_HASH_BYTES] == '\0';
}

void
Config_HashToHex(const ConfigKeyHash *hash, char hex[65])
{
    static const char digits[] = "0123456789abcdef";

    for (int i = 0; i < CONFIG_KEY_HASH_BYTES; i++) {
        hex[2 * i] = digits[hash->bytes[i] >> 4];
        hex[2 * i + 1] = digits[hash->bytes[i] & 15];
    }
    hex[64] = '\0';
}

Result
Config_FindTeamByKeyHash(const ConfigTable *table, const ConfigKeyHash *hash,
                         ConfigTeam *team)
{
    const ConfigKeyRecord *record;
    uint32_t slot;

    *team = CONFIG_NONE;
    if (ConfigWithdrawn_Has(table->config->withdrawn, hash)) {
        return RESULT_KEY_WITHDRAWN;
    }
    slot = _Config_FindKey(table, hash);
    if (slot == 0) {
        return RESULT_KEY_UNKNOWN;
    }
    record = _Config_Record(table, CONFIG_KIND_KEY, slot);
    *team = to_handle(table, CONFIG_KIND_TEAM, record->team);
    return RESULT_OK;
}

ConfigRoute
Config_FindRouteExact(const ConfigTable *table, const char *path)
{
    return find_handle(table, CONFIG_KIND_ROUTE, path);
}

ConfigRoute
Config_FindRoute(const ConfigTable *table, const char *path)
{
    size_t ends[2 * TICKET_MAX_SEGMENTS + 1];
    size_t length = strnlen(path, TICKET_MAX_PATH + 1);
    int count = 0;
    int slashes = 0;
    uint32_t slot;

    /* Ends of the prefixes to look up, in ascending order: before and after
     * each slash, and the whole path. */
    for (size_t i = 0; i < length && slashes < TICKET_MAX_SEGMENTS; i++) {
        if (path[i] == '/') {
            slashes++;
            if (i > 0 && path[i - 1] != '/') {
                ends[count++] = i;
            }
            if (i + 1 < length) {
                ends[count++] = i + 1;
            }
        }
    }
    if (length <= TICKET_MAX_PATH) {
        ends[count++] = length;
    }
    while (count-- > 0) {
        slot = _Config_FindName(table, CONFIG_KIND_ROUTE, path, ends[count]);
        if (slot != 0) {
            return to_handle(table, CONFIG_KIND_ROUTE, slot);
        }
    }
    return CONFIG_NONE;
}

gboolean
Config_GetRoute(const ConfigTable *table, ConfigRoute route,
                ConfigRouteInfo *info)
{
    const ConfigRouteRecord *record =
        from_handle(table, CONFIG_KIND_ROUTE, route);
    const ConfigRouteDetail *detail;
    const char *text;

    if (record == NULL) {
        return FALSE;
    }
    detail = ConfigArena_Get(&table->config->arena, record->detail);
    info->route = route;
    info->path = _Config_Name(table, record->base.name);
    info->service_name = detail->data;
    info->service = Config_FindService(table, detail->data);
    info->issuance = record->issuance != 0;
    info->deadline_ms = record->deadline_ms;
    info->retries = record->retries;
    info->split_count = detail->split_count;
    text = detail->data + strlen(detail->data) + 1;
    for (int i = 0; i < detail->split_count; i++) {
        info->splits[i].share_percent = (uint8_t)text[0];
        info->splits[i].pool = text + 1;
        text += strlen(text + 1) + 2;
    }
    return TRUE;
}

const char *
_Config_DetailTeams(const ConfigRouteDetail *detail)
{
    const char *text = detail->data + strlen(detail->data) + 1;

    for (int i = 0; i < detail->split_count; i++) {
        text += strlen(text + 1) + 2;
    }
    return text;
}

gboolean
Config_RouteAllows(const ConfigTable *table, ConfigRoute route,
                   ConfigTeam team)
{
    const ConfigRouteRecord *record =
        from_handle(table, CONFIG_KIND_ROUTE, route);
    const ConfigTeamRecord *owner = from_handle(table, CONFIG_KIND_TEAM, team);
    const ConfigRouteDetail *detail;
    const char *name;
    const char *text;
    size_t length;

    if (record == NULL || owner == NULL) {
        return FALSE;
    }
    detail = ConfigArena_Get(&table->config->arena, record->detail);
    if (detail->team_count == 0) {
        return TRUE;
    }
    name = _Config_Name(table, owner->base.name);
    length = strlen(name);
    text = _Config_DetailTeams(detail);
    for (int i = 0; i < detail->team_count; i++) {
        if ((uint8_t)text[0] == length &&
            memcmp(text + 1, name, length) == 0) {
            return TRUE;
        }
        text += (uint8_t)text[0] + 2;
    }
    return FALSE;
}

void
Config_ForEachService(const ConfigTable *table,
                      void (*callback)(void *context,
                                       const ConfigServiceInfo *info),
                      void *context)
{
    ConfigServiceInfo info;

    for (uint32_t i = 1; i <= table->last_slot[CONFIG_KIND_SERVICE]; i++) {
        if (Config_GetService(table, to_handle(table, CONFIG_KIND_SERVICE, i),
                              &info)) {
            callback(context, &info);
        }
    }
}

void
Config_ForEachTeam(const ConfigTable *table,
                   void (*callback)(void *context, const ConfigTeamInfo *info),
                   void *context)
{
    ConfigTeamInfo info;

    for (uint32_t i = 1; i <= table->last_slot[CONFIG_KIND_TEAM]; i++) {
        if (Config_GetTeam(table, to_handle(table, CONFIG_KIND_TEAM, i),
                           &info)) {
            callback(context, &info);
        }
    }
}

void
Config_ForEachRoute(const ConfigTable *table,
                    void (*callback)(void *context,
                                     const ConfigRouteInfo *info),
                    void *context)
{
    ConfigRouteInfo info;

    for (uint32_t i = 1; i <= table->last_slot[CONFIG_KIND_ROUTE]; i++) {
        if (Config_GetRoute(table, to_handle(table, CONFIG_KIND_ROUTE, i),
                            &info)) {
            callback(context, &info);
        }
    }
}

gboolean
Config_WithdrawKey(Config *config, const ConfigKeyHash *hash)
{
    return ConfigWithdrawn_Add(config->withdrawn, hash);
}

gboolean
Config_IsWithdrawn(Config *config, const ConfigKeyHash *hash)
{
    return ConfigWithdrawn_Has(config->withdrawn, hash);
}

uint64_t
Config_GetWithdrawalsDigest(Config *config)
{
    return ConfigWithdrawn_GetDigest(config->withdrawn);
}

void
Config_GetStats(Config *config, ConfigStats *stats)
{
    const ConfigTable *table = Config_ReadLock(config);

    *stats = (ConfigStats){
        .version = table->version,
        .services = table->count[CONFIG_KIND_SERVICE],
        .teams = table->count[CONFIG_KIND_TEAM],
        .keys = table->count[CONFIG_KIND_KEY],
        .routes = table->count[CONFIG_KIND_ROUTE],
        .withdrawn = ConfigWithdrawn_GetCount(config->withdrawn),
        .bytes = sizeof(*config) + sizeof(*table) +
                 ConfigArena_GetBytes(&config->arena) +
                 ConfigWithdrawn_GetBytes(config->withdrawn),
    };
    for (int kind = 0; kind < CONFIG_KINDS; kind++) {
        stats->bytes += ConfigPages_GetBytes(&table->records[kind]) +
                        ConfigPages_GetBytes(&table->heads[kind]);
    }
    Config_ReadUnlock(config);
}

void
_Config_BeginDraft(Config *config, ConfigDraft *draft)
{
    ConfigTable *table = g_new(ConfigTable, 1);

    pthread_mutex_lock(&config->draft_lock);
    *table = *config->current;
    table->serial = ++config->serial;
    for (int kind = 0; kind < CONFIG_KINDS; kind++) {
        ConfigPages_Copy(&table->records[kind],
                         &config->current->records[kind]);
        ConfigPages_Copy(&table->heads[kind], &config->current->heads[kind]);
    }
    *draft = (ConfigDraft){
        .config = config,
        .table = table,
        .replaced_pages = g_ptr_array_new(),
        .added_blocks = g_array_new(FALSE, FALSE, sizeof(ConfigBlock)),
        .retired_blocks = g_array_new(FALSE, FALSE, sizeof(ConfigBlock)),
    };
}

static void
free_blocks(Config *config, const GArray *blocks)
{
    for (guint i = 0; i < blocks->len; i++) {
        const ConfigBlock *block = &g_array_index(blocks, ConfigBlock, i);

        ConfigArena_Free(&config->arena, block->reference, block->length);
    }
}

/* Frees the memory that a commit replaced. Called with draft_lock held. */
static void
free_retired(Config *config, ConfigRetired *retired)
{
    for (guint i = 0; i < retired->pages->len; i++) {
        g_free(g_ptr_array_index(retired->pages, i));
    }
    free_blocks(config, retired->blocks);
    g_ptr_array_unref(retired->pages);
    g_array_unref(retired->blocks);
    for (int kind = 0; kind < CONFIG_KINDS; kind++) {
        ConfigPages_ClearDirectory(&retired->table->records[kind]);
        ConfigPages_ClearDirectory(&retired->table->heads[kind]);
    }
    g_free(retired->table);
}

/* Frees all retired memory if no table is pinned. Called with draft_lock
 * held. */
static void
free_all_retired(Config *config)
{
    GArray *retired = NULL;

    pthread_mutex_lock(&config->pin_lock);
    if (config->pinned == NULL && config->retired->len > 0) {
        retired = config->retired;
        config->retired = g_array_new(FALSE, FALSE, sizeof(ConfigRetired));
    }
    pthread_mutex_unlock(&config->pin_lock);
    for (guint i = 0; retired != NULL && i < retired->len; i++) {
        free_retired(config, &g_array_index(retired, ConfigRetired, i));
    }
    if (retired != NULL) {
        g_array_unref(retired);
    }
}

void
_Config_CommitDraft(ConfigDraft *draft, int64_t version)
{
    Config *config = draft->config;
    ConfigRetired retired = {
        .table = config->current,
        .pages = draft->replaced_pages,
        .blocks = draft->retired_blocks,
    };

    draft->table->version = version;
    /* The pin lock orders the publication with _Config_Pin(), which reads the
     * current table outside a read section. */
    pthread_mutex_lock(&config->pin_lock);
    __atomic_store_n(&config->current, draft->table, __ATOMIC_RELEASE);
    __atomic_store_n(&config->version, version, __ATOMIC_RELEASE);
    pthread_mutex_unlock(&config->pin_lock);
    synchronize_rcu();
    ANNOTATE_GRACE_PERIOD(config);
    pthread_mutex_lock(&config->pin_lock);
    g_array_append_val(config->retired, retired);
    pthread_mutex_unlock(&config->pin_lock);
    free_all_retired(config);
    g_array_unref(draft->added_blocks);
    pthread_mutex_unlock(&config->draft_lock);
}

void
_Config_AbortDraft(ConfigDraft *draft)
{
    free_blocks(draft->config, draft->added_blocks);
    free_table(draft->table, draft->table->serial);
    g_ptr_array_unref(draft->replaced_pages);
    g_array_unref(draft->added_blocks);
    g_array_unref(draft->retired_blocks);
    pthread_mutex_unlock(&draft->config->draft_lock);
}

const ConfigTable *
_Config_Pin(Config *config)
{
    const ConfigTable *table = NULL;

    pthread_mutex_lock(&config->pin_lock);
    if (config->pinned == NULL) {
        table = config->current;
        config->pinned = table;
    }
    pthread_mutex_unlock(&config->pin_lock);
    return table;
}

void
_Config_Unpin(Config *config)
{
    pthread_mutex_lock(&config->draft_lock);
    pthread_mutex_lock(&config->pin_lock);
    config->pinned = NULL;
    pthread_mutex_unlock(&config->pin_lock);
    free_all_retired(config);
    pthread_mutex_unlock(&config->draft_lock);
}

Result
Config_ApplyTicket(Config *config, const Ticket *ticket, gboolean *applied,
                   GError **error)
{
    int64_t number = Ticket_GetNumber(ticket);
    ConfigDraft draft;
    Result result = RESULT_OK;

    *applied = FALSE;
    _Config_BeginDraft(config, &draft);
    if (number != draft.table->version + 1) {
        if (number > draft.table->version + 1) {
            Result_SetError(error, RESULT_NOT_FOUND,
                            "ticket %" G_GINT64_FORMAT
                            " cannot follow version %" G_GINT64_FORMAT,
                            number, draft.table->version);
            result = RESULT_NOT_FOUND;
        }
        _Config_AbortDraft(&draft);
        return result;
    }
    result = _Config_ApplySets(&draft, Ticket_GetSets(ticket), error);
    if (result != RESULT_OK) {
        _Config_AbortDraft(&draft);
        _Config_BeginDraft(config, &draft);
        if (draft.table->version != number - 1) {
            _Config_AbortDraft(&draft);
            return result;
        }
    }
    _Config_CommitDraft(&draft, number);
    *applied = TRUE;
    return result;
}
