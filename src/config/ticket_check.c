#include "config/ticket_check.h"

#include <math.h>
#include <string.h>

typedef struct Checker {
    GPtrArray *problems;
    GString *path;          /* JSON path of the value being checked */
    GHashTable *keys;       /* key hashes seen so far; strings owned by the
                               JSON value */
    gboolean allow_removal; /* null is allowed as the state of a name, to
                               remove it */
    gboolean valid;
} Checker;

typedef struct Rule Rule;

/* Form of one field of an object. */
struct Rule {
    const char *name;
    gboolean optional;
    void (*check)(Checker *checker, json_t *value, const Rule *rule);
    int64_t min; /* lowest value of a number */
    int64_t max; /* highest value, bytes of a text or items of a list */
};

#define RULE_END \
    {            \
        0        \
    }

#define ADD_PROBLEM(checker, ...)                                     \
    do {                                                              \
        (checker)->valid = FALSE;                                     \
        _Ticket_AddProblem((checker)->problems, (checker)->path->str, \
                           __VA_ARGS__);                              \
    } while (0)

static gsize
enter_field(Checker *checker, const char *name)
{
    gsize length = checker->path->len;

    g_string_append_printf(checker->path, ".%.*s", TICKET_MAX_NAME, name);
    return length;
}

static gsize
enter_name(Checker *checker, const char *name)
{
    gsize length = checker->path->len;

    g_string_append_printf(checker->path, "[\"%.*s\"]", TICKET_MAX_PATH, name);
    return length;
}

static gsize
enter_item(Checker *checker, size_t index)
{
    gsize length = checker->path->len;

    g_string_append_printf(checker->path, "[%zu]", index);
    return length;
}

static void
leave_path(Checker *checker, gsize length)
{
    g_string_truncate(checker->path, length);
}

static const Rule *
find_rule(const Rule *rules, const char *name)
{
    while (rules->name != NULL && strcmp(rules->name, name) != 0) {
        rules++;
    }
    return rules->name != NULL ? rules : NULL;
}

static void
check_object(Checker *checker, json_t *object, const Rule *rules)
{
    const char *name;
    json_t *value;
    gsize mark;

    if (!json_is_object(object)) {
        ADD_PROBLEM(checker, "an object");
        return;
    }
    json_object_foreach(object, name, value)
    {
        const Rule *rule = find_rule(rules, name);

        mark = enter_field(checker, name);
        if (rule == NULL) {
            ADD_PROBLEM(checker, "a known field; this field does not exist");
        }
        else {
            rule->check(checker, value, rule);
        }
        leave_path(checker, mark);
    }
    for (; rules->name != NULL; rules++) {
        if (!rules->optional && json_object_get(object, rules->name) == NULL) {
            mark = enter_field(checker, rules->name);
            ADD_PROBLEM(checker, "a value; the field is missing");
            leave_path(checker, mark);
        }
    }
}

static void
check_integer(Checker *checker, json_t *value, const Rule *rule)
{
    json_int_t number = json_integer_value(value);

    if (!json_is_integer(value) || number < rule->min || number > rule->max) {
        ADD_PROBLEM(checker,
                    "a whole number from %" G_GINT64_FORMAT
                    " to %" G_GINT64_FORMAT,
                    rule->min, rule->max);
    }
}

/* Checks a rate or burst: a number with at most three decimals. */
static void
check_amount(Checker *checker, json_t *value, const Rule *rule)
{
    double number = json_number_value(value);
    double milli = number * 1000;

    if (!json_is_number(value) || number < (double)rule->min ||
        number > (double)rule->max || fabs(milli - round(milli)) > 1e-6) {
        ADD_PROBLEM(checker,
                    "a number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
                    " with at most three decimals",
                    rule->min, rule->max);
    }
}

static void
check_boolean(Checker *checker, json_t *value, const Rule *rule)
{
    (void)rule;
    if (!json_is_boolean(value)) {
        ADD_PROBLEM(checker, "true or false");
    }
}

static void
check_text(Checker *checker, json_t *value, const Rule *rule)
{
    if (!json_is_string(value) || json_string_length(value) < 1 ||
        json_string_length(value) > (size_t)rule->max) {
        ADD_PROBLEM(checker, "a text of 1 to %" G_GINT64_FORMAT " bytes",
                    rule->max);
    }
}

static void
check_id(Checker *checker, json_t *value, const Rule *rule)
{
    (void)rule;
    if (!json_is_string(value) ||
        !g_uuid_string_is_valid(json_string_value(value))) {
        ADD_PROBLEM(checker, "a UUID");
    }
}

static void
check_time(Checker *checker, json_t *value, const Rule *rule)
{
    GDateTime *time = NULL;

    if (json_is_string(value) &&
        json_string_length(value) <= (size_t)rule->max) {
        time = g_date_time_new_from_iso8601(json_string_value(value), NULL);
    }
    if (time == NULL) {
        ADD_PROBLEM(checker, "a time such as \"2026-01-31T12:00:00Z\"");
        return;
    }
    g_date_time_unref(time);
}

/* Returns TRUE if the text has no forbidden characters, quotes, backslashes or
 * control characters. The last three are refused because names are written
 * into answers and headers without escapes. */
static gboolean
is_plain(const char *text, const char *forbidden)
{
    for (; *text != '\0'; text++) {
        if ((unsigned char)*text < 0x20 || *text == 0x7f || *text == '"' ||
            *text == '\\' || strchr(forbidden, *text) != NULL) {
            return FALSE;
        }
    }
    return TRUE;
}

static gboolean
is_name(const char *name)
{
    size_t length = strlen(name);

    return length >= 1 && length <= TICKET_MAX_NAME && is_plain(name, "/") &&
           name[0] != ' ' && name[length - 1] != ' ';
}

#define NAME_FORM                                                            \
    "a name of 1 to 100 bytes without / \" \\ and control characters, with " \
    "no space at its ends"

static gboolean
is_path(const char *path)
{
    size_t length = strlen(path);
    char **segments;
    guint count;
    gboolean valid;

    if (path[0] != '/' || length > TICKET_MAX_PATH ||
        !is_plain(path, "?#% ")) {
        return FALSE;
    }
    segments = g_strsplit(path + 1, "/", -1);
    count = g_strv_length(segments);
    valid = count <= TICKET_MAX_SEGMENTS;
    for (guint i = 0; i < count; i++) {
        /* The last segment is empty in a path that ends with a slash. */
        valid &= strcmp(segments[i], ".") != 0 &&
                 strcmp(segments[i], "..") != 0 &&
                 (segments[i][0] != '\0' || i + 1 == count);
    }
    g_strfreev(segments);
    return valid;
}

#define PATH_FORM                                                      \
    "a path of at most 500 bytes and 16 segments that starts with /, " \
    "without empty, . and .. segments and without ? # % \" \\ and spaces"

static void
check_name(Checker *checker, json_t *value, const Rule *rule)
{
    (void)rule;
    if (!json_is_string(value) || !is_name(json_string_value(value))) {
        ADD_PROBLEM(checker, NAME_FORM);
    }
}

/* Checks a list of at most rule->max items: calls `check` for each item. */
static void
check_list(Checker *checker, json_t *value, const Rule *rule, const char *form,
           void (*check)(Checker *checker, json_t *item, GHashTable *seen))
{
    GHashTable *seen;
    json_t *item;
    size_t i;

    if (!json_is_array(value) || json_array_size(value) > (size_t)rule->max) {
        ADD_PROBLEM(checker, "a list of at most %" G_GINT64_FORMAT " %s",
                    rule->max, form);
        return;
    }
    seen = g_hash_table_new(g_str_hash, g_str_equal);
    json_array_foreach(value, i, item)
    {
        gsize mark = enter_item(checker, i);

        check(checker, item, seen);
        leave_path(checker, mark);
    }
    g_hash_table_unref(seen);
}

static void
check_key(Checker *checker, json_t *item, GHashTable *seen)
{
    const char *text = json_string_value(item);

    (void)seen;
    if (text == NULL || json_string_length(item) != 64 ||
        strspn(text, "0123456789abcdef") != 64) {
        ADD_PROBLEM(checker, "the SHA-256 of a key in 64 lower-case hex "
                             "digits");
    }
    else if (!g_hash_table_add(checker->keys, (void *)text)) {
        ADD_PROBLEM(checker, "a key that is listed once in the ticket");
    }
}

static void
check_keys(Checker *checker, json_t *value, const Rule *rule)
{
    check_list(checker, value, rule, "key hashes", check_key);
}

static void
check_team_name(Checker *checker, json_t *item, GHashTable *seen)
{
    check_name(checker, item, NULL);
    if (json_is_string(item) &&
        !g_hash_table_add(seen, (void *)json_string_value(item))) {
        ADD_PROBLEM(checker, "a team that is listed once");
    }
}

static void
check_teams(Checker *checker, json_t *value, const Rule *rule)
{
    check_list(checker, value, rule, "team names", check_team_name);
}

static const Rule split_rules[] = {
    {"pool", FALSE, check_name, 0, 0},
    {"share_percent", FALSE, check_integer, 0, 100},
    RULE_END,
};

static void
check_split_item(Checker *checker, json_t *item, GHashTable *seen)
{
    const char *pool = json_string_value(json_object_get(item, "pool"));

    check_object(checker, item, split_rules);
    if (pool != NULL && !g_hash_table_add(seen, (void *)pool)) {
        ADD_PROBLEM(checker, "a pool that is listed once");
    }
}

static void
check_split(Checker *checker, json_t *value, const Rule *rule)
{
    json_int_t sum = 0;
    json_t *item;
    size_t i;

    check_list(checker, value, rule, "sides", check_split_item);
    if (!checker->valid || json_array_size(value) == 0) {
        return;
    }
    json_array_foreach(value, i, item)
    {
        sum += json_integer_value(json_object_get(item, "share_percent"));
    }
    if (sum != 100) {
        ADD_PROBLEM(checker, "shares that add up to 100");
    }
}

static const Rule service_rules[] = {
    {"floor_percent", FALSE, check_integer, 0, 100},
    {"total", FALSE, check_integer, 0, 1000000},
    RULE_END,
};

static const Rule team_rules[] = {
    {"rate_per_s", FALSE, check_amount, 0, TICKET_MAX_RATE},
    {"burst", FALSE, check_amount, 0, TICKET_MAX_RATE},
    {"keys", FALSE, check_keys, 0, TICKET_MAX_KEYS},
    RULE_END,
};

static const Rule route_rules[] = {
    {"service", FALSE, check_name, 0, 0},
    {"teams", FALSE, check_teams, 0, TICKET_MAX_TEAMS},
    {"issuance", FALSE, check_boolean, 0, 0},
    {"deadline_ms", FALSE, check_integer, 1, 3600000},
    {"retries", FALSE, check_integer, 0, 10},
    {"split", TRUE, check_split, 0, TICKET_MAX_SPLITS},
    RULE_END,
};

/* Checks an object that maps names to states of the given form, or to null if
 * removal is allowed. */
static void
check_map(Checker *checker, json_t *value, const Rule *rules,
          gboolean (*name_is_valid)(const char *name), const char *name_form)
{
    const char *name;
    json_t *state;

    if (!json_is_object(value)) {
        ADD_PROBLEM(checker, "an object that maps names to states");
        return;
    }
    json_object_foreach(value, name, state)
    {
        gsize mark = enter_name(checker, name);

        if (!name_is_valid(name)) {
            ADD_PROBLEM(checker, "%s", name_form);
        }
        if (!json_is_null(state) || !checker->allow_removal) {
            check_object(checker, state, rules);
        }
        leave_path(checker, mark);
    }
}

static void
check_services(Checker *checker, json_t *value, const Rule *rule)
{
    (void)rule;
    check_map(checker, value, service_rules, is_name, NAME_FORM);
}

static void
check_team_map(Checker *checker, json_t *value, const Rule *rule)
{
    (void)rule;
    check_map(checker, value, team_rules, is_name, NAME_FORM);
}

static void
check_routes(Checker *checker, json_t *value, const Rule *rule)
{
    (void)rule;
    check_map(checker, value, route_rules, is_path, PATH_FORM);
}

/* Checks a fleet setting; null, if allowed, sets the default. */
static void
check_setting(Checker *checker, json_t *value, const Rule *rule)
{
    if (!json_is_null(value) || !checker->allow_removal) {
        check_integer(checker, value, rule);
    }
}

#define FLEET_RULE(name, text, min, max, value) \
    {text, TRUE, check_setting, min, max},
static const Rule fleet_rules[] = {CONFIG_FLEET_LIST(FLEET_RULE) RULE_END};
#undef FLEET_RULE

static void
check_fleet(Checker *checker, json_t *value, const Rule *rule)
{
    (void)rule;
    check_object(checker, value, fleet_rules);
}

static const Rule sets_rules[] = {
    {"fleet", TRUE, check_fleet, 0, 0},
    {"services", TRUE, check_services, 0, 0},
    {"teams", TRUE, check_team_map, 0, 0},
    {"routes", TRUE, check_routes, 0, 0},
    RULE_END,
};

static void
check_sets(Checker *checker, json_t *value, const Rule *rule)
{
    const char *name;
    json_t *map;
    size_t entries = 0;

    (void)rule;
    check_object(checker, value, sets_rules);
    json_object_foreach(value, name, map)
    {
        entries += json_object_size(map);
    }
    if (checker->allow_removal && json_is_object(value) && entries == 0) {
        ADD_PROBLEM(checker, "at least one entry in fleet, services, teams or "
                             "routes");
    }
}

static const Rule ticket_rules[] = {
    {"ticket", FALSE, check_integer, 1, TICKET_MAX_NUMBER},
    {"id", TRUE, check_id, 0, 0},
    {"who", FALSE, check_text, 0, TICKET_MAX_TEXT},
    {"when", FALSE, check_time, 0, TICKET_MAX_TEXT},
    {"why", FALSE, check_text, 0, TICKET_MAX_TEXT},
    {"sets", FALSE, check_sets, 0, 0},
    RULE_END,
};

static void
start_check(Checker *checker, GPtrArray *problems, gboolean allow_removal)
{
    *checker = (Checker){
        .problems = problems,
        .path = g_string_new("$"),
        .keys = g_hash_table_new(g_str_hash, g_str_equal),
        .allow_removal = allow_removal,
        .valid = TRUE,
    };
}

static gboolean
end_check(Checker *checker)
{
    g_string_free(checker->path, TRUE);
    g_hash_table_unref(checker->keys);
    return checker->valid;
}

gboolean
_Ticket_Check(json_t *root, TicketOrigin origin, GPtrArray *problems)
{
    Checker checker;

    start_check(&checker, problems, TRUE);
    check_object(&checker, root, ticket_rules);
    if (origin == TICKET_FROM_STORE && json_is_object(root) &&
        json_object_get(root, "id") == NULL) {
        gsize mark = enter_field(&checker, "id");

        ADD_PROBLEM(&checker, "a UUID; the field is missing");
        leave_path(&checker, mark);
    }
    return end_check(&checker);
}

gboolean
_Ticket_CheckSets(json_t *sets, GPtrArray *problems)
{
    Checker checker;

    start_check(&checker, problems, FALSE);
    check_sets(&checker, sets, NULL);
    return end_check(&checker);
}
