#include <string.h>

#include "config/config_table.h"

static const char *const kind_names[CONFIG_KINDS] = {
    [CONFIG_KIND_SERVICE] = "services",
    [CONFIG_KIND_TEAM] = "teams",
    [CONFIG_KIND_ROUTE] = "routes",
    [CONFIG_KIND_KEY] = "keys",
};

const char *
_Config_KindName(ConfigKind kind)
{
    return kind_names[kind];
}

uint32_t
_Config_PartCount(const ConfigTable *table, size_t part_bytes)
{
    /* Upper estimates of the bytes of one record as text, without names. */
    size_t bytes = (size_t)table->count[CONFIG_KIND_TEAM] * 90 +
                   (size_t)table->count[CONFIG_KIND_KEY] * 67 +
                   (size_t)table->count[CONFIG_KIND_SERVICE] * 80 +
                   (size_t)table->count[CONFIG_KIND_ROUTE] * 120 +
                   ConfigArena_GetBytes(&table->config->arena) -
                   sizeof(ConfigArena);

    return (uint32_t)(bytes / part_bytes + 1);
}

static void
dump_kind(const ConfigTable *table, ConfigKind kind, uint32_t part,
          uint32_t parts, GString *out)
{
    uint32_t first;
    uint32_t end;
    gboolean comma = FALSE;

    _Config_PartBuckets(kind, part, parts, &first, &end);
    g_string_append_printf(out, "\"%s\":{", kind_names[kind]);
    for (uint32_t bucket = first; bucket < end; bucket++) {
        uint32_t slot = _Config_Head(table, kind, bucket);

        while (slot != 0) {
            const ConfigRecord *record = _Config_Record(table, kind, slot);
            json_t *state = _Config_RecordToJson(table, kind, slot);
            char *text = json_dumps(state, JSON_COMPACT);

            /* Names have no characters that need an escape. */
            g_string_append_printf(out, "%s\"%s\":%s", comma ? "," : "",
                                   _Config_Name(table, record->name), text);
            free(text);
            json_decref(state);
            comma = TRUE;
            slot = record->next;
        }
    }
    g_string_append_c(out, '}');
}

GString *
_Config_DumpPart(const ConfigTable *table, uint32_t part, uint32_t parts)
{
    GString *out = g_string_new("{");

    for (int kind = 0; kind < CONFIG_KIND_KEY; kind++) {
        dump_kind(table, (ConfigKind)kind, part, parts, out);
        g_string_append_c(out, ',');
    }
    g_string_append(out, "\"fleet\":{");
#define _DUMP_FLEET(name, text, min, max, value)                      \
    g_string_append_printf(out, "\"%s\":%" G_GINT64_FORMAT ",", text, \
                           table->fleet[CONFIG_FLEET_##name]);
    CONFIG_FLEET_LIST(_DUMP_FLEET)
#undef _DUMP_FLEET
    g_string_truncate(out, out->len - 1);
    g_string_append(out, "}}");
    return out;
}

/* Returns whole numbers as JSON integers, others as reals. */
static json_t *
milli_to_json(uint32_t milli)
{
    return milli % 1000 == 0 ? json_integer(milli / 1000)
                             : json_real(milli / 1000.0);
}

static json_t *
team_to_json(const ConfigTable *table, const ConfigTeamRecord *team)
{
    json_t *keys = json_array();
    uint32_t slot = team->first_key;
    char hex[65];

    while (slot != 0) {
        const ConfigKeyRecord *key =
            _Config_Record(table, CONFIG_KIND_KEY, slot);

        Config_HashToHex(&key->hash, hex);
        json_array_append_new(keys, json_string(hex));
        slot = key->next_of_team;
    }
    return json_pack("{s:o,s:o,s:o}", "rate_per_s",
                     milli_to_json(team->rate_milli), "burst",
                     milli_to_json(team->burst_milli), "keys", keys);
}

static json_t *
route_to_json(const ConfigTable *table, const ConfigRouteRecord *route)
{
    const ConfigRouteDetail *detail =
        ConfigArena_Get(&table->config->arena, route->detail);
    const char *text = detail->data + strlen(detail->data) + 1;
    json_t *splits = json_array();
    json_t *teams = json_array();

    for (int i = 0; i < detail->split_count; i++) {
        json_array_append_new(splits,
                              json_pack("{s:s,s:i}", "pool", text + 1,
                                        "share_percent", (uint8_t)text[0]));
        text += strlen(text + 1) + 2;
    }
    for (int i = 0; i < detail->team_count; i++) {
        json_array_append_new(teams, json_string(text + 1));
        text += (uint8_t)text[0] + 2;
    }
    return json_pack("{s:s,s:o,s:b,s:I,s:i,s:o}", "service", detail->data,
                     "teams", teams, "issuance", (int)route->issuance,
                     "deadline_ms", (json_int_t)route->deadline_ms, "retries",
                     (int)route->retries, "split", splits);
}

json_t *
_Config_RecordToJson(const ConfigTable *table, ConfigKind kind, uint32_t slot)
{
    const void *record = _Config_Record(table, kind, slot);
    const ConfigServiceRecord *service = record;

    switch (kind) {
    case CONFIG_KIND_SERVICE:
        return json_pack("{s:i,s:i}", "floor_percent",
                         (int)service->floor_percent, "total",
                         (int)service->total);
    case CONFIG_KIND_TEAM:
        return team_to_json(table, record);
    default:
        return route_to_json(table, record);
    }
}
