#include <string.h>

#include "base/clock.h"
#include "base/rng.h"
#include "config/config_table.h"
#include "config/ticket.h"

static Result
report_full_table(GError **error, ConfigKind kind)
{
    Result_SetError(error, RESULT_TICKET_INVALID, "the table of %s is full",
                    _Config_KindName((ConfigKind)kind));
    return RESULT_TICKET_INVALID;
}

static void *
edit_record(ConfigDraft *draft, ConfigKind kind, uint32_t slot)
{
    return ConfigPages_Edit(&draft->table->records[kind], slot,
                            draft->table->serial, draft->replaced_pages);
}

static void
set_head(ConfigDraft *draft, ConfigKind kind, uint32_t bucket, uint32_t slot)
{
    uint32_t *head =
        ConfigPages_Edit(&draft->table->heads[kind], bucket,
                         draft->table->serial, draft->replaced_pages);

    *head = slot;
}

static uint32_t
add_block(ConfigDraft *draft, const void *bytes, size_t length)
{
    ConfigBlock block = {
        .reference = ConfigArena_Add(&draft->config->arena, bytes, length),
        .length = (uint32_t)length,
    };

    if (block.reference != 0) {
        g_array_append_val(draft->added_blocks, block);
    }
    return block.reference;
}

static void
retire_block(ConfigDraft *draft, uint32_t reference, size_t length)
{
    ConfigBlock block = {.reference = reference, .length = (uint32_t)length};

    g_array_append_val(draft->retired_blocks, block);
}

/* Returns the next slot in the bucket or the free list of a record. */
static uint32_t
get_next(const ConfigDraft *draft, ConfigKind kind, uint32_t slot)
{
    const void *record = _Config_Record(draft->table, kind, slot);

    return kind == CONFIG_KIND_KEY ? ((const ConfigKeyRecord *)record)->next
                                   : ((const ConfigRecord *)record)->next;
}

static void
set_next(ConfigDraft *draft, ConfigKind kind, uint32_t slot, uint32_t next)
{
    void *record = edit_record(draft, kind, slot);

    if (kind == CONFIG_KIND_KEY) {
        ((ConfigKeyRecord *)record)->next = next;
    }
    else {
        ((ConfigRecord *)record)->next = next;
    }
}

/* Allocates a slot and links it into the bucket. Returns 0 when the table is
 * full. */
static uint32_t
allocate_slot(ConfigDraft *draft, ConfigKind kind, uint32_t bucket)
{
    ConfigTable *table = draft->table;
    uint32_t slot = table->first_free[kind];

    if (slot != 0) {
        table->first_free[kind] = get_next(draft, kind, slot);
    }
    else if (table->last_slot[kind] < CONFIG_MAX_SLOT) {
        slot = ++table->last_slot[kind];
    }
    else {
        return 0;
    }
    table->count[kind]++;
    set_next(draft, kind, slot, _Config_Head(table, kind, bucket));
    set_head(draft, kind, bucket, slot);
    return slot;
}

/* Unlinks a slot from its bucket and adds it to the free list. */
static void
free_slot(ConfigDraft *draft, ConfigKind kind, uint32_t bucket, uint32_t slot)
{
    ConfigTable *table = draft->table;
    uint32_t next = get_next(draft, kind, slot);
    uint32_t at = _Config_Head(table, kind, bucket);

    if (at == slot) {
        set_head(draft, kind, bucket, next);
    }
    else {
        while (get_next(draft, kind, at) != slot) {
            at = get_next(draft, kind, at);
        }
        set_next(draft, kind, at, next);
    }
    set_next(draft, kind, slot, table->first_free[kind]);
    table->first_free[kind] = slot;
    table->count[kind]--;
}

/* Removes a key from its team and from the table. */
static void
remove_key(ConfigDraft *draft, uint32_t slot)
{
    const ConfigKeyRecord *key =
        _Config_Record(draft->table, CONFIG_KIND_KEY, slot);
    ConfigTeamRecord *team = edit_record(draft, CONFIG_KIND_TEAM, key->team);
    uint32_t bucket = _Config_KeyBucket(&key->hash);
    uint32_t next = key->next_of_team;
    uint32_t at = team->first_key;
    ConfigKeyRecord *edited;

    if (at == slot) {
        team->first_key = next;
    }
    else {
        key = _Config_Record(draft->table, CONFIG_KIND_KEY, at);
        while (key->next_of_team != slot) {
            at = key->next_of_team;
            key = _Config_Record(draft->table, CONFIG_KIND_KEY, at);
        }
        edited = edit_record(draft, CONFIG_KIND_KEY, at);
        edited->next_of_team = next;
    }
    edited = edit_record(draft, CONFIG_KIND_KEY, slot);
    edited->team = 0;
    edited->next_of_team = 0;
    free_slot(draft, CONFIG_KIND_KEY, bucket, slot);
}

/* Finds or adds the record with this name. Returns 0 when the table or the
 * arena is full. */
static uint32_t
find_or_add_record(ConfigDraft *draft, ConfigKind kind, const char *name)
{
    size_t length = strlen(name);
    uint32_t slot = _Config_FindName(draft->table, kind, name, length);
    uint32_t reference;
    ConfigRecord *record;

    if (slot != 0) {
        return slot;
    }
    reference = add_block(draft, name, length + 1);
    if (reference == 0) {
        return 0;
    }
    slot = allocate_slot(draft, kind, _Config_NameBucket(kind, name, length));
    if (slot != 0) {
        record = edit_record(draft, kind, slot);
        record->name = reference;
    }
    return slot;
}

static void
retire_detail(ConfigDraft *draft, uint32_t reference)
{
    const ConfigRouteDetail *detail =
        ConfigArena_Get(&draft->config->arena, reference);

    retire_block(draft, reference, detail->bytes);
}

/* Records the name's hash and the time of the removal of a team. */
static void
record_removed_team(ConfigDraft *draft, const char *name)
{
    Config *config = draft->config;

    config->removed_teams[config->next_removed_team] = (ConfigRemovedTeam){
        .name_hash = Rng_HashString(name),
        .removed_at_s = (uint32_t)(Clock_Now() / 1000 + 1),
    };
    config->next_removed_team =
        (config->next_removed_team + 1) % CONFIG_MAX_REMOVED_TEAMS;
}

static void
remove_record(ConfigDraft *draft, ConfigKind kind, uint32_t slot)
{
    const ConfigRecord *record = _Config_Record(draft->table, kind, slot);
    const char *name = _Config_Name(draft->table, record->name);
    size_t length = strlen(name);
    ConfigRecord *edited;
    uint32_t generation = record->generation;

    if (kind == CONFIG_KIND_TEAM) {
        const ConfigTeamRecord *team;

        record_removed_team(draft, name);
        while (team = _Config_Record(draft->table, kind, slot),
               team->first_key != 0) {
            remove_key(draft, team->first_key);
        }
    }
    if (kind == CONFIG_KIND_ROUTE) {
        retire_detail(draft, ((const ConfigRouteRecord *)record)->detail);
    }
    free_slot(draft, kind, _Config_NameBucket(kind, name, length), slot);
    edited = edit_record(draft, kind, slot);
    retire_block(draft, edited->name, length + 1);
    edited->name = 0;
    if (kind == CONFIG_KIND_ROUTE) {
        ((ConfigRouteRecord *)(void *)edited)->detail = 0;
    }
    edited->generation =
        (generation + 1) & ((1u << CONFIG_GENERATION_BITS) - 1);
}

static Result
set_service(ConfigDraft *draft, const char *name, json_t *state,
            GError **error)
{
    uint32_t slot = find_or_add_record(draft, CONFIG_KIND_SERVICE, name);
    uint32_t floor_percent =
        (uint32_t)json_integer_value(json_object_get(state, "floor_percent"));
    uint32_t total =
        (uint32_t)json_integer_value(json_object_get(state, "total"));
    const ConfigServiceRecord *record;
    ConfigServiceRecord *edited;

    if (slot == 0) {
        return report_full_table(error, CONFIG_KIND_SERVICE);
    }
    record = _Config_Record(draft->table, CONFIG_KIND_SERVICE, slot);
    if (record->floor_percent != floor_percent || record->total != total) {
        edited = edit_record(draft, CONFIG_KIND_SERVICE, slot);
        edited->floor_percent = floor_percent;
        edited->total = total;
    }
    return RESULT_OK;
}

static uint32_t
to_milli(json_t *number)
{
    return (uint32_t)(json_number_value(number) * 1000 + 0.5);
}

static gboolean
keys_contain(json_t *keys, const ConfigKeyHash *hash)
{
    ConfigKeyHash listed;
    json_t *key;
    size_t i;

    json_array_foreach(keys, i, key)
    {
        if (Config_HashFromHex(json_string_value(key), &listed) &&
            memcmp(&listed, hash, sizeof(listed)) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns limit_since_s of a limit that is set now: the current time, because
 * a host with an earlier configuration may still grant by another limit of the
 * team; 0 if the team is new to the fleet, so that no host has another limit.
 * A team that is added by the initial load or was removed recently counts as
 * not new. */
static uint32_t
limit_since(const ConfigDraft *draft, const char *name, gboolean is_new)
{
    const Config *config = draft->config;
    uint32_t now_s = (uint32_t)(Clock_Now() / 1000 + 1);
    uint64_t hash = Rng_HashString(name);

    if (!is_new || !__atomic_load_n(&config->is_loaded, __ATOMIC_ACQUIRE)) {
        return now_s;
    }
    for (int i = 0; i < CONFIG_MAX_REMOVED_TEAMS; i++) {
        if (config->removed_teams[i].name_hash == hash) {
            return now_s;
        }
    }
    return 0;
}

/* Sets rate and burst, and removes the keys that the team no longer has. Keys
 * are added in a second pass, so that a ticket can move a key between teams in
 * any order of the teams in it. */
static Result
set_team(ConfigDraft *draft, const char *name, json_t *state, GError **error)
{
    gboolean is_new = _Config_FindName(draft->table, CONFIG_KIND_TEAM, name,
                                       strlen(name)) == 0;
    uint32_t slot = find_or_add_record(draft, CONFIG_KIND_TEAM, name);
    uint32_t rate = to_milli(json_object_get(state, "rate_per_s"));
    uint32_t burst = to_milli(json_object_get(state, "burst"));
    json_t *keys = json_object_get(state, "keys");
    const ConfigTeamRecord *team;
    ConfigTeamRecord *edited;
    uint32_t at;

    if (slot == 0) {
        return report_full_table(error, CONFIG_KIND_TEAM);
    }
    team = _Config_Record(draft->table, CONFIG_KIND_TEAM, slot);
    if (is_new || team->rate_milli != rate || team->burst_milli != burst) {
        edited = edit_record(draft, CONFIG_KIND_TEAM, slot);
        edited->rate_milli = rate;
        edited->limit_since_s = limit_since(draft, name, is_new);
        edited->burst_milli = burst;
        team = edited;
    }
    at = team->first_key;
    while (at != 0) {
        const ConfigKeyRecord *key =
            _Config_Record(draft->table, CONFIG_KIND_KEY, at);
        uint32_t next = key->next_of_team;

        if (!keys_contain(keys, &key->hash)) {
            remove_key(draft, at);
        }
        at = next;
    }
    return RESULT_OK;
}

/* Adds a key to the team. With `reassign`, the key may belong to another team,
 * from which it is removed. */
static Result
add_key(ConfigDraft *draft, uint32_t team, const ConfigKeyHash *hash,
        gboolean reassign, GError **error)
{
    uint32_t slot = _Config_FindKey(draft->table, hash);
    const ConfigKeyRecord *key;
    ConfigKeyRecord *edited;
    ConfigTeamRecord *owner;

    if (slot != 0) {
        key = _Config_Record(draft->table, CONFIG_KIND_KEY, slot);
        if (key->team == team) {
            return RESULT_OK;
        }
        if (!reassign) {
            const ConfigRecord *other =
                _Config_Record(draft->table, CONFIG_KIND_TEAM, key->team);

            Result_SetError(error, RESULT_TICKET_INVALID,
                            "a key already belongs to team \"%s\"",
                            _Config_Name(draft->table, other->name));
            return RESULT_TICKET_INVALID;
        }
        remove_key(draft, slot);
    }
    slot = allocate_slot(draft, CONFIG_KIND_KEY, _Config_KeyBucket(hash));
    if (slot == 0) {
        return report_full_table(error, CONFIG_KIND_KEY);
    }
    owner = edit_record(draft, CONFIG_KIND_TEAM, team);
    edited = edit_record(draft, CONFIG_KIND_KEY, slot);
    edited->hash = *hash;
    edited->team = team;
    edited->next_of_team = owner->first_key;
    owner->first_key = slot;
    return RESULT_OK;
}

static Result
add_keys(ConfigDraft *draft, const char *name, json_t *keys, gboolean reassign,
         GError **error)
{
    uint32_t team =
        _Config_FindName(draft->table, CONFIG_KIND_TEAM, name, strlen(name));
    Result result = RESULT_OK;
    ConfigKeyHash hash;
    size_t i;

    for (i = 0; i < json_array_size(keys) && result == RESULT_OK; i++) {
        if (Config_HashFromHex(json_string_value(json_array_get(keys, i)),
                               &hash)) {
            result = add_key(draft, team, &hash, reassign, error);
        }
    }
    return result;
}

/* Appends one byte with the number (a length or a percentage), then the name
 * with its NUL. */
static void
append_entry(GByteArray *bytes, size_t number, const char *name)
{
    guint8 byte = (guint8)number;

    g_byte_array_append(bytes, &byte, 1);
    g_byte_array_append(bytes, (const guint8 *)name, (guint)strlen(name) + 1);
}

static GByteArray *
encode_detail(json_t *state)
{
    GByteArray *bytes = g_byte_array_new();
    ConfigRouteDetail head = {0};
    const char *service = json_string_value(json_object_get(state, "service"));
    json_t *splits = json_object_get(state, "split");
    json_t *teams = json_object_get(state, "teams");
    json_t *item;
    size_t i;

    head.split_count = (uint8_t)json_array_size(splits);
    head.team_count = (uint8_t)json_array_size(teams);
    g_byte_array_append(bytes, (const guint8 *)&head, sizeof(head));
    g_byte_array_append(bytes, (const guint8 *)service,
                        (guint)strlen(service) + 1);
    json_array_foreach(splits, i, item)
    {
        append_entry(
            bytes,
            (size_t)json_integer_value(json_object_get(item, "share_percent")),
            json_string_value(json_object_get(item, "pool")));
    }
    json_array_foreach(teams, i, item)
    {
        append_entry(bytes, json_string_length(item), json_string_value(item));
    }
    ((ConfigRouteDetail *)(void *)bytes->data)->bytes = (uint16_t)bytes->len;
    return bytes;
}

static Result
set_route(ConfigDraft *draft, const char *path, json_t *state, GError **error)
{
    uint32_t slot = find_or_add_record(draft, CONFIG_KIND_ROUTE, path);
    uint32_t deadline =
        (uint32_t)json_integer_value(json_object_get(state, "deadline_ms"));
    uint16_t retries =
        (uint16_t)json_integer_value(json_object_get(state, "retries"));
    uint16_t issuance = json_is_true(json_object_get(state, "issuance"));
    ConfigRouteRecord old;
    ConfigRouteRecord *edited;
    GByteArray *bytes;
    uint32_t detail;

    if (slot == 0) {
        return report_full_table(error, CONFIG_KIND_ROUTE);
    }
    old = *(const ConfigRouteRecord *)_Config_Record(draft->table,
                                                     CONFIG_KIND_ROUTE, slot);
    bytes = encode_detail(state);
    detail = old.detail;
    if (detail == 0 ||
        ((ConfigRouteDetail *)ConfigArena_Get(&draft->config->arena, detail))
                ->bytes != bytes->len ||
        memcmp(ConfigArena_Get(&draft->config->arena, detail), bytes->data,
               bytes->len) != 0) {
        detail = add_block(draft, bytes->data, bytes->len);
    }
    g_byte_array_unref(bytes);
    if (detail == 0) {
        return report_full_table(error, CONFIG_KIND_ROUTE);
    }
    if (detail != old.detail || deadline != old.deadline_ms ||
        retries != old.retries || issuance != old.issuance) {
        if (old.detail != 0 && detail != old.detail) {
            retire_detail(draft, old.detail);
        }
        edited = edit_record(draft, CONFIG_KIND_ROUTE, slot);
        edited->detail = detail;
        edited->deadline_ms = deadline;
        edited->retries = retries;
        edited->issuance = issuance;
    }
    return RESULT_OK;
}

static void
set_fleet(ConfigDraft *draft, json_t *fleet)
{
#define _SET_FLEET(name, text, min, max, value)                          \
    if (json_object_get(fleet, text) != NULL) {                          \
        json_t *number = json_object_get(fleet, text);                   \
        draft->table->fleet[CONFIG_FLEET_##name] =                       \
            json_is_null(number) ? (value) : json_integer_value(number); \
    }
    CONFIG_FLEET_LIST(_SET_FLEET)
#undef _SET_FLEET
}

static Result
set_record(ConfigDraft *draft, ConfigKind kind, const char *name,
           json_t *state, GError **error)
{
    uint32_t slot;

    if (json_is_null(state)) {
        slot = _Config_FindName(draft->table, kind, name, strlen(name));
        if (slot != 0) {
            remove_record(draft, kind, slot);
        }
        return RESULT_OK;
    }
    switch (kind) {
    case CONFIG_KIND_SERVICE:
        return set_service(draft, name, state, error);
    case CONFIG_KIND_TEAM:
        return set_team(draft, name, state, error);
    default:
        return set_route(draft, name, state, error);
    }
}

static Result
apply_sets(ConfigDraft *draft, json_t *sets, gboolean reassign, GError **error)
{
    Result result = RESULT_OK;
    const char *name;
    json_t *state;

    set_fleet(draft, json_object_get(sets, "fleet"));
    for (int kind = 0; kind < CONFIG_KIND_KEY; kind++) {
        json_object_foreach(
            json_object_get(sets, _Config_KindName((ConfigKind)kind)), name,
            state)
        {
            result = set_record(draft, (ConfigKind)kind, name, state, error);
            if (result != RESULT_OK) {
                return result;
            }
        }
    }
    json_object_foreach(json_object_get(sets, "teams"), name, state)
    {
        result = add_keys(draft, name, json_object_get(state, "keys"),
                          reassign, error);
        if (result != RESULT_OK) {
            return result;
        }
    }
    return RESULT_OK;
}

Result
_Config_ApplySets(ConfigDraft *draft, json_t *sets, GError **error)
{
    return apply_sets(draft, sets, FALSE, error);
}

void
_Config_PartBuckets(ConfigKind kind, uint32_t part, uint32_t parts,
                    uint32_t *first, uint32_t *end)
{
    uint64_t buckets = _Config_BucketCount(kind);

    *first = (uint32_t)(buckets * part / parts);
    *end = (uint32_t)(buckets * (part + 1) / parts);
}

Result
_Config_ApplyPart(ConfigDraft *draft, json_t *sets, uint32_t part,
                  uint32_t parts, GError **error)
{
    uint32_t first;
    uint32_t end;

    for (int kind = 0; kind < CONFIG_KIND_KEY; kind++) {
        json_t *names =
            json_object_get(sets, _Config_KindName((ConfigKind)kind));

        _Config_PartBuckets((ConfigKind)kind, part, parts, &first, &end);
        for (uint32_t bucket = first; bucket < end; bucket++) {
            uint32_t slot =
                _Config_Head(draft->table, (ConfigKind)kind, bucket);

            while (slot != 0) {
                const ConfigRecord *record =
                    _Config_Record(draft->table, (ConfigKind)kind, slot);
                uint32_t next = record->next;

                if (json_object_get(
                        names, _Config_Name(draft->table, record->name)) ==
                    NULL) {
                    remove_record(draft, (ConfigKind)kind, slot);
                }
                slot = next;
            }
        }
    }
    return apply_sets(draft, sets, TRUE, error);
}
