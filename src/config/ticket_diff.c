#include <string.h>

#include "config/config_table.h"
#include "config/ticket_check.h"

static const char *const kind_labels[CONFIG_KIND_KEY] = {
    [CONFIG_KIND_SERVICE] = "service",
    [CONFIG_KIND_TEAM] = "team",
    [CONFIG_KIND_ROUTE] = "route",
};

static json_t *
get_map(const Ticket *ticket, ConfigKind kind)
{
    return json_object_get(Ticket_GetSets(ticket), _Config_KindName(kind));
}

static gboolean
list_contains(json_t *list, json_t *wanted)
{
    json_t *item;
    size_t i;

    json_array_foreach(list, i, item)
    {
        if (json_equal(item, wanted)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Appends a line for each item of `list` that is not in `other`. */
static void
append_items(GString *out, const char *head, const char *field,
             const char *word, json_t *list, json_t *other)
{
    json_t *item;
    size_t i;

    json_array_foreach(list, i, item)
    {
        if (!list_contains(other, item)) {
            g_string_append_printf(out, "%s: %s %s %s\n", head, field, word,
                                   json_string_value(item));
        }
    }
}

static char *
to_text(json_t *value)
{
    char *dump = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY |
                                       JSON_REAL_PRECISION(10));
    char *text = g_strdup(dump);

    free(dump);
    return text;
}

static void
diff_field(GString *out, const char *head, const char *field, json_t *old,
           json_t *new)
{
    char *before;
    char *after;

    if (strcmp(field, "keys") == 0 || strcmp(field, "teams") == 0) {
        append_items(out, head, field, "added", new, old);
        append_items(out, head, field, "removed", old, new);
        return;
    }
    if (json_equal(old, new) ||
        (json_is_number(old) && json_is_number(new) &&
         json_number_value(old) == json_number_value(new))) {
        return;
    }
    before = to_text(old);
    after = to_text(new);
    g_string_append_printf(out, "%s: %s %s -> %s\n", head, field, before,
                           after);
    g_free(before);
    g_free(after);
}

static void
diff_record(GString *out, const ConfigTable *table, ConfigKind kind,
            const char *name, json_t *state)
{
    uint32_t slot = _Config_FindName(table, kind, name, strlen(name));
    char *head = g_strdup_printf("%s \"%s\"", kind_labels[kind], name);
    const char *field;
    json_t *value;
    json_t *old;
    char *text;

    if (json_is_null(state)) {
        if (slot != 0) {
            g_string_append_printf(out, "%s: removed\n", head);
        }
    }
    else if (slot == 0) {
        text = to_text(state);
        g_string_append_printf(out, "%s: added %s\n", head, text);
        g_free(text);
    }
    else {
        old = _Config_RecordToJson(table, kind, slot);
        /* A ticket may omit `split`, which means an empty list. */
        json_object_foreach(old, field, value)
        {
            json_t *new = json_object_get(state, field);
            json_t *empty = json_array();

            diff_field(out, head, field, value, new != NULL ? new : empty);
            json_decref(empty);
        }
        json_decref(old);
    }
    g_free(head);
}

static void
diff_fleet(GString *out, const ConfigTable *table, json_t *fleet)
{
#define _DIFF_FLEET(name, text, min, max, value)                         \
    if (json_object_get(fleet, text) != NULL) {                          \
        json_t *number = json_object_get(fleet, text);                   \
        int64_t old = table->fleet[CONFIG_FLEET_##name];                 \
        int64_t new =                                                    \
            json_is_null(number) ? (value) : json_integer_value(number); \
        if (old != new) {                                                \
            g_string_append_printf(out,                                  \
                                   "fleet: %s %" G_GINT64_FORMAT         \
                                   " -> %" G_GINT64_FORMAT "\n",         \
                                   text, old, new);                      \
        }                                                                \
    }
    CONFIG_FLEET_LIST(_DIFF_FLEET)
#undef _DIFF_FLEET
}

/* Appends a line for each listed key that has no effect because it was
 * withdrawn. */
static void
append_withdrawn_keys(GString *out, const ConfigTable *table, const char *name,
                      json_t *state)
{
    ConfigKeyHash hash;
    json_t *key;
    size_t i;

    json_array_foreach(json_object_get(state, "keys"), i, key)
    {
        if (Config_HashFromHex(json_string_value(key), &hash) &&
            ConfigWithdrawn_Has(table->config->withdrawn, &hash)) {
            g_string_append_printf(
                out, "team \"%s\": key %s was withdrawn and stays refused\n",
                name, json_string_value(key));
        }
    }
}

char *
Ticket_Diff(const Ticket *ticket, const ConfigTable *table)
{
    GString *out = g_string_new(NULL);
    const char *name;
    json_t *state;

    diff_fleet(out, table, json_object_get(Ticket_GetSets(ticket), "fleet"));
    for (int kind = 0; kind < CONFIG_KIND_KEY; kind++) {
        json_object_foreach(get_map(ticket, (ConfigKind)kind), name, state)
        {
            diff_record(out, table, (ConfigKind)kind, name, state);
        }
    }
    json_object_foreach(get_map(ticket, CONFIG_KIND_TEAM), name, state)
    {
        append_withdrawn_keys(out, table, name, state);
    }
    if (out->len == 0) {
        g_string_append(out, "no change\n");
    }
    return g_string_free(out, FALSE);
}

/* Returns TRUE if the record exists after the ticket is applied. */
static gboolean
will_exist(const Ticket *ticket, const ConfigTable *table, ConfigKind kind,
           const char *name)
{
    json_t *state = json_object_get(get_map(ticket, kind), name);

    if (state != NULL) {
        return !json_is_null(state);
    }
    return _Config_FindName(table, kind, name, strlen(name)) != 0;
}

static void
check_key_owner(const Ticket *ticket, const ConfigTable *table,
                const char *name, json_t *keys, GPtrArray *problems)
{
    for (size_t i = 0; i < json_array_size(keys); i++) {
        json_t *key = json_array_get(keys, i);
        const ConfigKeyRecord *record;
        const ConfigRecord *team;
        const char *owner;
        ConfigKeyHash hash;
        uint32_t slot = 0;
        char *path;

        if (Config_HashFromHex(json_string_value(key), &hash)) {
            slot = _Config_FindKey(table, &hash);
        }
        if (slot == 0) {
            continue;
        }
        record = _Config_Record(table, CONFIG_KIND_KEY, slot);
        team = _Config_Record(table, CONFIG_KIND_TEAM, record->team);
        owner = _Config_Name(table, team->name);
        /* A ticket lists a key only once, so a present owner that is also in
         * the ticket loses the key. */
        if (strcmp(owner, name) != 0 &&
            json_object_get(get_map(ticket, CONFIG_KIND_TEAM), owner) ==
                NULL) {
            path = g_strdup_printf("$.sets.teams[\"%s\"].keys[%zu]", name, i);
            _Ticket_AddProblem(problems, path,
                               "a key of no other team; it belongs to team "
                               "\"%s\"",
                               owner);
            g_free(path);
        }
    }
}

static void
check_route_references(const Ticket *ticket, const ConfigTable *table,
                       const char *path, json_t *state, GPtrArray *problems)
{
    const char *service = json_string_value(json_object_get(state, "service"));
    json_t *team;
    size_t i;
    char *json_path;

    if (service != NULL &&
        !will_exist(ticket, table, CONFIG_KIND_SERVICE, service)) {
        json_path = g_strdup_printf("$.sets.routes[\"%s\"].service", path);
        _Ticket_AddProblem(problems, json_path,
                           "a service that exists; \"%s\" does not", service);
        g_free(json_path);
    }
    json_array_foreach(json_object_get(state, "teams"), i, team)
    {
        if (!will_exist(ticket, table, CONFIG_KIND_TEAM,
                        json_string_value(team))) {
            json_path =
                g_strdup_printf("$.sets.routes[\"%s\"].teams[%zu]", path, i);
            _Ticket_AddProblem(problems, json_path,
                               "a team that exists; \"%s\" does not",
                               json_string_value(team));
            g_free(json_path);
        }
    }
}

static gboolean
removes_any(const Ticket *ticket, ConfigKind kind)
{
    const char *name;
    json_t *state;

    json_object_foreach(get_map(ticket, kind), name, state)
    {
        if (json_is_null(state)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Checks the routes of the table that the ticket does not change. */
static void
check_other_routes(const Ticket *ticket, const ConfigTable *table,
                   GPtrArray *problems)
{
    json_t *routes = get_map(ticket, CONFIG_KIND_ROUTE);

    for (uint32_t slot = 1; slot <= table->last_slot[CONFIG_KIND_ROUTE];
         slot++) {
        const ConfigRecord *record =
            _Config_Record(table, CONFIG_KIND_ROUTE, slot);
        const char *path;
        json_t *state;

        if (record == NULL || record->name == 0) {
            continue;
        }
        path = _Config_Name(table, record->name);
        if (json_object_get(routes, path) == NULL) {
            state = _Config_RecordToJson(table, CONFIG_KIND_ROUTE, slot);
            check_route_references(ticket, table, path, state, problems);
            json_decref(state);
        }
    }
}

gboolean
Ticket_CheckReferences(const Ticket *ticket, const ConfigTable *table,
                       GPtrArray *problems)
{
    guint before = problems->len;
    const char *name;
    json_t *state;

    json_object_foreach(get_map(ticket, CONFIG_KIND_TEAM), name, state)
    {
        check_key_owner(ticket, table, name, json_object_get(state, "keys"),
                        problems);
    }
    json_object_foreach(get_map(ticket, CONFIG_KIND_ROUTE), name, state)
    {
        check_route_references(ticket, table, name, state, problems);
    }
    if (removes_any(ticket, CONFIG_KIND_SERVICE) ||
        removes_any(ticket, CONFIG_KIND_TEAM)) {
        check_other_routes(ticket, table, problems);
    }
    return problems->len == before;
}
