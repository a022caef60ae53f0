/* Commands on tickets and keys. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "base/rng.h"
#include "config/config.h"
#include "config/ticket.h"
#include "key/key.h"
#include "settings/settings.h"
#include "tool/tool_internal.h"

#define LIST_PAGE 200

/* Calls the callback for each accepted ticket in ascending order. */
static Result
for_each_ticket(Store *store, void (*callback)(void *context, json_t *ticket),
                void *context, GError **error)
{
    int64_t after = 0;
    guint found;
    Result result;

    do {
        StoreList list = {0};

        result =
            Store_List(store, "ticket/", after, 0, LIST_PAGE, &list, error);
        if (result != RESULT_OK) {
            return result;
        }
        found = list.objects->len;
        for (guint i = 0; i < found; i++) {
            StoreObject *object = &g_array_index(list.objects, StoreObject, i);

            callback(context, object->value);
            after = object->version;
        }
        StoreList_Clear(&list);
    } while (found == LIST_PAGE);
    return RESULT_OK;
}

static void
apply_to_config(void *context, json_t *value)
{
    GPtrArray *problems = Ticket_CreateProblems();
    Ticket *ticket = Ticket_FromJson(value, TICKET_FROM_STORE, problems);
    gboolean applied;

    if (ticket != NULL) {
        Config_ApplyTicket(context, ticket, &applied, NULL);
        Ticket_Free(ticket);
    }
    g_ptr_array_unref(problems);
}

/* Reads a file and parses it as a ticket; prints the problems. */
static Ticket *
read_ticket(const char *path, int *code)
{
    GPtrArray *problems = Ticket_CreateProblems();
    GError *error = NULL;
    Ticket *ticket = NULL;
    char *text;
    gsize bytes;

    if (!g_file_get_contents(path, &text, &bytes, &error)) {
        *code = _Tool_Fail(RESULT_IO, "%s", error->message);
        g_error_free(error);
    }
    else {
        ticket = Ticket_Parse(text, bytes, TICKET_FROM_OPERATOR, problems);
        g_free(text);
        if (ticket == NULL) {
            char *lines = Ticket_FormatProblems(problems);

            *code = _Tool_Fail(RESULT_TICKET_INVALID,
                               "%s is not a valid ticket:\n%s", path, lines);
            g_free(lines);
        }
    }
    g_ptr_array_unref(problems);
    return ticket;
}

/* Checks the references of a ticket and prints what it changes. */
static int
show_difference(const Ticket *ticket, Config *config)
{
    GPtrArray *problems = Ticket_CreateProblems();
    const ConfigTable *table = Config_ReadLock(config);
    int code = 0;

    if (!Ticket_CheckReferences(ticket, table, problems)) {
        char *lines = Ticket_FormatProblems(problems);

        code = _Tool_Fail(RESULT_TICKET_INVALID,
                          "the ticket does not fit the "
                          "configuration:\n%s",
                          lines);
        g_free(lines);
    }
    else {
        char *difference = Ticket_Diff(ticket, table);

        printf("ticket %" G_GINT64_FORMAT " by %s: %s\n%s",
               Ticket_GetNumber(ticket), Ticket_GetWho(ticket),
               Ticket_GetWhy(ticket), difference);
        g_free(difference);
    }
    Config_ReadUnlock(config);
    g_ptr_array_unref(problems);
    return code;
}

static int
apply_ticket(const Tool *tool, const Ticket *ticket)
{
    Store *store = _Tool_OpenStore(tool);
    Config *config = Config_Create();
    GError *error = NULL;
    Result result;
    int code = Result_ExitCode(RESULT_STORE_UNAVAILABLE);

    if (store != NULL) {
        result = for_each_ticket(store, apply_to_config, config, &error);
        if (result == RESULT_OK) {
            code = show_difference(ticket, config);
        }
        if (result == RESULT_OK && code == 0 && !tool->dry_run) {
            result = Ticket_Apply(ticket, store, &error);
        }
        if (result != RESULT_OK) {
            code = _Tool_Fail(result, "%s",
                              error ? error->message : Result_Text(result));
            g_clear_error(&error);
        }
        else if (code == 0) {
            printf("%s\n", tool->dry_run ? "dry run: nothing was changed"
                                         : "accepted");
        }
    }
    Config_Destroy(config);
    Store_Destroy(store);
    return code;
}

int
Tool_Apply(Tool *tool, int count, char **words)
{
    int code = 0;
    Ticket *ticket = read_ticket(words[0], &code);

    (void)count;
    rcu_register_thread();
    if (ticket != NULL) {
        code = apply_ticket(tool, ticket);
        Ticket_Free(ticket);
    }
    rcu_unregister_thread();
    return code;
}

int
Tool_Check(Tool *tool, int count, char **words)
{
    GError *error = NULL;
    char *text = NULL;
    json_t *json;
    Settings *settings;
    Ticket *ticket;
    int code = 0;

    (void)tool;
    (void)count;
    if (!g_file_get_contents(words[0], &text, NULL, &error)) {
        code = _Tool_Fail(RESULT_IO, "%s", error->message);
        g_error_free(error);
        return code;
    }
    json = json_loads(text, 0, NULL);
    if (json_object_get(json, "sets") != NULL ||
        json_object_get(json, "ticket") != NULL) {
        ticket = read_ticket(words[0], &code);
        Ticket_Free(ticket);
    }
    else {
        settings = Settings_Parse(text, words[0], &error);
        if (settings == NULL) {
            code = _Tool_Fail((Result)error->code, "%s", error->message);
            g_error_free(error);
        }
        Settings_Destroy(settings);
    }
    if (code == 0) {
        printf("%s is valid\n", words[0]);
    }
    json_decref(json);
    g_free(text);
    return code;
}

static const char *
text_field(json_t *ticket, const char *name)
{
    const char *text = json_string_value(json_object_get(ticket, name));

    return text ? text : "-";
}

static void
print_ticket_line(void *context, json_t *ticket)
{
    (void)context;
    printf("%6" JSON_INTEGER_FORMAT "  %-20s  %-16s  %s\n",
           json_integer_value(json_object_get(ticket, "ticket")),
           text_field(ticket, "when"), text_field(ticket, "who"),
           text_field(ticket, "why"));
}

int
Tool_TicketList(Tool *tool, int count, char **words)
{
    Store *store = _Tool_OpenStore(tool);
    GError *error = NULL;
    int code = 0;

    (void)count;
    (void)words;
    if (store == NULL) {
        return Result_ExitCode(RESULT_STORE_UNAVAILABLE);
    }
    printf("%6s  %-20s  %-16s  %s\n", "ticket", "when", "who", "why");
    if (for_each_ticket(store, print_ticket_line, NULL, &error) != RESULT_OK) {
        code = _Tool_Fail((Result)error->code, "%s", error->message);
        g_error_free(error);
    }
    Store_Destroy(store);
    return code;
}

static void
print_sets(const char *kind, json_t *set)
{
    const char *name;
    json_t *value;

    json_object_foreach(set, name, value)
    {
        if (json_is_null(value)) {
            printf("  %s %s: removed\n", kind, name);
        }
        else {
            char *text = json_dumps(value, JSON_INDENT(2) | JSON_SORT_KEYS |
                                               JSON_ENCODE_ANY);

            printf("  %s %s: set to\n%s\n", kind, name, text);
            free(text);
        }
    }
}

static void
print_ticket(json_t *ticket)
{
    const char *kind;
    json_t *set;

    printf("Ticket %" JSON_INTEGER_FORMAT "\n",
           json_integer_value(json_object_get(ticket, "ticket")));
    printf("  who:  %s\n  when: %s\n  why:  %s\n  id:   %s\n",
           text_field(ticket, "who"), text_field(ticket, "when"),
           text_field(ticket, "why"), text_field(ticket, "id"));
    printf("It set or removed the following as a whole; all else stayed as it "
           "was:\n");
    json_object_foreach(json_object_get(ticket, "sets"), kind, set)
    {
        print_sets(kind, set);
    }
}

int
Tool_TicketShow(Tool *tool, int count, char **words)
{
    Store *store = _Tool_OpenStore(tool);
    StoreObject object = {0};
    GError *error = NULL;
    char *name;
    Result result;
    int code = 0;

    (void)count;
    if (store == NULL) {
        return Result_ExitCode(RESULT_STORE_UNAVAILABLE);
    }
    name = g_strconcat("ticket/", words[0], NULL);
    result = Store_Get(store, name, &object, &error);
    if (result != RESULT_OK) {
        code = _Tool_Fail(result, "%s: %s", name,
                          error ? error->message : Result_Text(result));
        g_clear_error(&error);
    }
    else if (tool->json) {
        char *text = json_dumps(object.value, JSON_INDENT(2));

        puts(text);
        free(text);
    }
    else {
        print_ticket(object.value);
    }
    StoreObject_Clear(&object);
    g_free(name);
    Store_Destroy(store);
    return code;
}

static void
hash_hex(const char *key, char hex[65])
{
    ConfigKeyHash hash;

    Key_Hash(key, hash.bytes);
    Config_HashToHex(&hash, hex);
}

int
Tool_KeyHash(Tool *tool, int count, char **words)
{
    char hex[65];

    (void)tool;
    (void)count;
    hash_hex(words[0], hex);
    puts(hex);
    return 0;
}

/* The state of a team after all tickets, and the number of the last ticket. */
typedef struct TeamState {
    const char *team;
    json_t *state;
    json_int_t ticket;
} TeamState;

static void
update_team_state(void *context, json_t *ticket)
{
    TeamState *found = context;
    json_t *teams = json_object_get(json_object_get(ticket, "sets"), "teams");
    json_t *state = json_object_get(teams, found->team);

    found->ticket = json_integer_value(json_object_get(ticket, "ticket"));
    if (state != NULL) {
        json_decref(found->state);
        found->state = json_is_null(state) ? NULL : json_deep_copy(state);
    }
}

/* Adds a hash to the team's list of keys or removes it. Returns FALSE if the
 * list needs no change. */
static gboolean
change_keys(json_t *state, const char *hex, gboolean add)
{
    json_t *keys = json_object_get(state, "keys");
    json_t *key;
    size_t index;

    json_array_foreach(keys, index, key)
    {
        if (g_ascii_strcasecmp(json_string_value(key), hex) == 0) {
            if (!add) {
                json_array_remove(keys, index);
            }
            return !add;
        }
    }
    if (add) {
        if (keys == NULL) {
            json_object_set_new(state, "keys", json_array());
            keys = json_object_get(state, "keys");
        }
        json_array_append_new(keys, json_string(hex));
    }
    return add;
}

static Ticket *
make_ticket(const Tool *tool, const TeamState *found, const char *why)
{
    GPtrArray *problems = Ticket_CreateProblems();
    GDateTime *now = g_date_time_new_now_utc();
    char *when = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");
    json_t *value =
        json_pack("{s:I, s:s, s:s, s:s, s:{s:{s:O}}}", "ticket",
                  (json_int_t)(found->ticket + 1), "who", tool->who, "when",
                  when, "why", tool->why ? tool->why : why, "sets", "teams",
                  found->team, found->state);
    Ticket *ticket = Ticket_FromJson(value, TICKET_FROM_OPERATOR, problems);

    if (ticket == NULL) {
        char *lines = Ticket_FormatProblems(problems);

        _Tool_Fail(RESULT_TICKET_INVALID, "%s", lines);
        g_free(lines);
    }
    json_decref(value);
    g_free(when);
    g_date_time_unref(now);
    g_ptr_array_unref(problems);
    return ticket;
}

static int
change_key(const Tool *tool, const char *team, const char *hex, gboolean add)
{
    Store *store = _Tool_OpenStore(tool);
    TeamState found = {.team = team};
    GError *error = NULL;
    Ticket *ticket;
    int code = Result_ExitCode(RESULT_STORE_UNAVAILABLE);

    if (store == NULL) {
        return code;
    }
    if (for_each_ticket(store, update_team_state, &found, &error) !=
        RESULT_OK) {
        code = _Tool_Fail((Result)error->code, "%s", error->message);
        g_error_free(error);
    }
    else if (found.state == NULL) {
        code = _Tool_Fail(RESULT_NOT_FOUND, "no team \"%s\"", team);
    }
    else if (!change_keys(found.state, hex, add)) {
        printf("the team's keys need no change\n");
        code = 0;
    }
    else {
        ticket =
            make_ticket(tool, &found, add ? "grant a key" : "withdraw a key");
        code = Result_ExitCode(RESULT_TICKET_INVALID);
        if (ticket != NULL) {
            code = apply_ticket(tool, ticket);
            Ticket_Free(ticket);
        }
    }
    json_decref(found.state);
    Store_Destroy(store);
    return code;
}

int
Tool_KeyGrant(Tool *tool, int count, char **words)
{
    char hex[65];
    int code;

    (void)count;
    hash_hex(words[1], hex);
    rcu_register_thread();
    code = change_key(tool, words[0], hex, TRUE);
    rcu_unregister_thread();
    return code;
}

/* Sends the withdrawal to the daemons first: it is a grow-only record that
 * takes effect without a ticket and without the store. */
int
Tool_KeyWithdraw(Tool *tool, int count, char **words)
{
    char hex[65];
    json_t *body;
    int code = 0;
    int ticket_code;

    (void)count;
    hash_hex(words[1], hex);
    if (tool->dry_run) {
        printf("dry run: would withdraw %s\n", hex);
    }
    else {
        body = json_pack("{s:s}", "key_hash", hex);
        code = _Tool_CallAll(tool, "/v1/withdraw", body, 1);
        json_decref(body);
    }
    rcu_register_thread();
    ticket_code = change_key(tool, words[0], hex, FALSE);
    rcu_unregister_thread();
    return code != 0 ? code : ticket_code;
}
