/* radishknot: the operators' tool. */
#include <argp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "owner/owner_port.h"
#include "tool/tool_internal.h"

const char *argp_program_version = "radishknot 0.1.0";

#define CALL_TIMEOUT_MS 5000

typedef struct Command {
    const char *name; /* one or two words */
    const char *arguments;
    const char *text;
    int min_words; /* smallest number of words after the name */
    int max_words;
    ToolCommand run;
} Command;

static const Command commands[] = {
    {"apply", "FILE", "check a change ticket, show the difference, apply it",
     1, 1, Tool_Apply},
    {"check", "FILE", "check a ticket or a settings file", 1, 1, Tool_Check},
    {"ticket list", "", "list the accepted tickets", 0, 0, Tool_TicketList},
    {"ticket show", "NUMBER", "show what a ticket set, who, when and why", 1,
     1, Tool_TicketShow},
    {"key hash", "KEY", "print the hash that stands for a key in tickets", 1,
     1, Tool_KeyHash},
    {"key grant", "TEAM KEY", "grant a key to a team by a ticket", 2, 2,
     Tool_KeyGrant},
    {"key withdraw", "TEAM KEY",
     "withdraw a key at once on all daemons given, and by a ticket", 2, 2,
     Tool_KeyWithdraw},
    {"status", "", "show the state of the daemons given", 0, 0, Tool_Status},
    {"explain", "TEXT | --request HOST/PATH",
     "show recent requests that were refused, retried or failed: by request "
     "id, team, host or backend server; with --request, show where a daemon "
     "in mode \"platform\" would send this request now, and send nothing",
     0, 1, Tool_Explain},
    {"drain", "SERVER", "drain a backend server", 1, 1, Tool_Drain},
    {"undrain", "SERVER", "end an operator's drain", 1, 1, Tool_Undrain},
    {"host retire", "HOST",
     "declare that a host will not return; its rate slots move at once", 1, 1,
     Tool_HostRetire},
    {"load", "FILE",
     "show from the logs of daemons, for each service and second, what became "
     "of the requests; - reads standard input",
     1, 1, Tool_Load},
    {"odd", "FILE",
     "show from the logs of daemons the objects of the platform's store that "
     "another program wrote and that are not used; - reads standard input",
     1, 1, Tool_Odd},
    {"replay", "FILE",
     "play a table of load and faults against the decisions, in simulated "
     "time, with this version's policies and with plain ones",
     1, 1, Tool_Replay},
    {"counters", "", "show the counters that are not zero", 0, 0,
     Tool_Counters},
};

/* Options without a short form. */
enum {
    OPTION_REQUEST = 256,
    OPTION_METHOD,
    OPTION_KEY,
    OPTION_BYTES,
    OPTION_DEADLINE
};

static const struct argp_option argp_options[] = {
    {"store", 's', "ADDRESS", 0,
     "address:port of the platform's store, several separated by commas "
     "(default $RADISHKNOT_STORE)",
     0},
    {"admin", 'a', "ADDRESS", 0,
     "address:port of a daemon's admin port; may be repeated (default "
     "$RADISHKNOT_ADMIN, separated by commas)",
     0},
    {"secret-file", 'f', "FILE", 0,
     "file with the fleet secret (default $RADISHKNOT_SECRET_FILE)", 0},
    {"json", 'j', NULL, 0, "print JSON", 0},
    {"watch", 'w', NULL, 0, "repeat the status every two seconds", 0},
    {"dry-run", 'n', NULL, 0, "check and show, change nothing", 0},
    {"who", 'o', "NAME", 0, "who makes the change (default $USER)", 0},
    {"why", 'y', "TEXT", 0, "why the change is made", 0},
    {"request", OPTION_REQUEST, "HOST/PATH", 0,
     "request to explain; --admin has a daemon's metrics port", 0},
    {"method", OPTION_METHOD, "METHOD", 0, "its method (default GET)", 0},
    {"key", OPTION_KEY, "FILE", 0, "file with its key", 0},
    {"bytes", OPTION_BYTES, "NUMBER", 0, "size of its body (default 0)", 0},
    {"deadline-ms", OPTION_DEADLINE, "NUMBER", 0,
     "time that its caller waits (default 10000)", 0},
    {0}};

typedef struct Words {
    Tool *tool;
    char *items[8];
    int count;
} Words;

/* Where the tool keeps the argument of an option that is a text; NULL: the
 * option is another one. */
static const char **
find_text(Tool *tool, int key)
{
    switch (key) {
    case 's':
        return &tool->store;
    case 'f':
        return &tool->secret_file;
    case 'o':
        return &tool->who;
    case 'y':
        return &tool->why;
    case OPTION_REQUEST:
        return &tool->request;
    case OPTION_METHOD:
        return &tool->method;
    case OPTION_KEY:
        return &tool->key_file;
    case OPTION_BYTES:
        return &tool->bytes;
    case OPTION_DEADLINE:
        return &tool->deadline_ms;
    default:
        return NULL;
    }
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    Words *words = state->input;
    Tool *tool = words->tool;
    const char **text = find_text(tool, key);

    if (text != NULL) {
        *text = argument;
        return 0;
    }
    switch (key) {
    case 'a':
        if (tool->admin_count < TOOL_MAX_ADMINS) {
            tool->admins[tool->admin_count++] = argument;
        }
        return 0;
    case 'j':
        tool->json = TRUE;
        return 0;
    case 'w':
        tool->watch = TRUE;
        return 0;
    case 'n':
        tool->dry_run = TRUE;
        return 0;
    case ARGP_KEY_ARG:
        if (words->count == (int)G_N_ELEMENTS(words->items)) {
            argp_usage(state);
        }
        words->items[words->count++] = argument;
        return 0;
    case ARGP_KEY_END:
        if (words->count == 0) {
            argp_usage(state);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
_Tool_Fail(Result result, const char *format, ...)
{
    va_list arguments;

    fprintf(stderr, "radishknot: %s (%d): ", Result_Name(result), (int)result);
    va_start(arguments, format);
    vfprintf(stderr, format, arguments);
    va_end(arguments);
    fputc('\n', stderr);
    return Result_ExitCode(result);
}

Store *
_Tool_OpenStore(const Tool *tool)
{
    Store_desc desc = {.addresses = tool->store};
    GError *error = NULL;
    Store *store = NULL;

    if (tool->store == NULL) {
        _Tool_Fail(RESULT_STORE_UNAVAILABLE,
                   "no store given; use --store or RADISHKNOT_STORE");
        return NULL;
    }
    store = Store_Create(&desc, &error);
    if (store == NULL) {
        _Tool_Fail((Result)error->code, "%s", error->message);
        g_error_free(error);
    }
    return store;
}

Result
_Tool_Call(Tool *tool, const char *admin, const char *method,
           const char *target, const char *body, HttpAnswer *answer)
{
    HttpHeaders headers = {0};
    HttpCall call = {.method = method,
                     .target = target,
                     .headers = &headers,
                     .body = body,
                     .body_bytes = body ? strlen(body) : 0,
                     .deadline = Clock_Now() + CALL_TIMEOUT_MS};
    gboolean sent;
    Result result;

    if (!HttpAddress_Parse(admin, &call.address)) {
        return RESULT_MALFORMED;
    }
    if (body != NULL && tool->secret != NULL) {
        OwnerPort_SignPeer(method, target, body, call.body_bytes, tool->secret,
                           strlen(tool->secret), &headers);
    }
    result = HttpClient_Call(tool->client, &call, answer, &sent);
    HttpHeaders_Clear(&headers);
    return result;
}

/* Prints the answer of a daemon and returns its result. */
static Result
print_outcome(const char *admin, Result result, const HttpAnswer *answer)
{
    json_t *body = result == RESULT_OK
                       ? json_loadb(answer->body, answer->body_bytes, 0, NULL)
                       : NULL;
    const char *name = json_string_value(json_object_get(body, "name"));
    const char *message = json_string_value(json_object_get(body, "message"));

    printf("%s: %s: %s\n", admin, name ? name : Result_Name(result),
           message ? message : Result_Text(result));
    if (result == RESULT_OK) {
        result =
            body != NULL
                ? (Result)json_integer_value(json_object_get(body, "code"))
                : RESULT_MALFORMED;
    }
    json_decref(body);
    return result;
}

int
_Tool_CallAll(Tool *tool, const char *target, json_t *body, unsigned needed)
{
    char *text = json_dumps(body, JSON_COMPACT);
    Result failure = RESULT_REQUEST_INVALID; /* no daemon given */
    gboolean is_refusal = FALSE; /* `failure` is a daemon's answer */
    unsigned accepted = 0;

    for (unsigned i = 0; i < tool->admin_count; i++) {
        HttpAnswer answer = {0};
        Result result =
            _Tool_Call(tool, tool->admins[i], "POST", target, text, &answer);

        gboolean answered = result == RESULT_OK;

        result = print_outcome(tool->admins[i], result, &answer);
        if (result == RESULT_OK) {
            accepted++;
        }
        else if (answered || !is_refusal) {
            /* A daemon's refusal is more specific than a failed connection. */
            failure = result;
            is_refusal = answered;
        }
        HttpAnswer_Clear(&answer);
    }
    free(text);
    if (accepted >= needed) {
        return 0;
    }
    return _Tool_Fail(failure, "%u of %u daemons accepted the call, needed %u",
                      accepted, tool->admin_count, needed);
}

/* Returns the number of words in the command's name if the words start with
 * it, else 0. */
static int
match(const Command *command, const Words *words)
{
    char **parts = g_strsplit(command->name, " ", 0);
    int length = (int)g_strv_length(parts);
    gboolean equal = words->count >= length;

    for (int i = 0; equal && i < length; i++) {
        equal = strcmp(parts[i], words->items[i]) == 0;
    }
    g_strfreev(parts);
    return equal ? length : 0;
}

static int
run_command(Tool *tool, Words *words)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const Command *command = &commands[i];
        int used = match(command, words);
        int left = words->count - used;

        if (used == 0) {
            continue;
        }
        if (left < command->min_words || left > command->max_words) {
            return _Tool_Fail(RESULT_REQUEST_INVALID,
                              "usage: radishknot [OPTIONS] %s %s",
                              command->name, command->arguments);
        }
        return command->run(tool, left, words->items + used);
    }
    return _Tool_Fail(RESULT_REQUEST_INVALID,
                      "unknown command \"%s\"; see radishknot --help",
                      words->items[0]);
}

static void
read_environment(Tool *tool, char **admin_list)
{
    const char *admins = g_getenv("RADISHKNOT_ADMIN");

    tool->store = g_getenv("RADISHKNOT_STORE");
    tool->secret_file = g_getenv("RADISHKNOT_SECRET_FILE");
    tool->who = g_getenv("USER") ? g_getenv("USER") : "operator";
    for (int i = 0; admin_list[i] != NULL && admins != NULL &&
                    tool->admin_count < TOOL_MAX_ADMINS;
         i++) {
        tool->admins[tool->admin_count++] = admin_list[i];
    }
}

static char *
describe_commands(void)
{
    GString *text = g_string_new(
        "Shows and changes the state of a radishknot fleet.\v"
        "Exit codes: 0 done, else the result number divided by 10 (see "
        "docs/results.md).\n\nCommands:\n");

    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        g_string_append_printf(text, "  %s %s\n      %s\n", commands[i].name,
                               commands[i].arguments, commands[i].text);
    }
    return g_string_free(text, FALSE);
}

int
main(int argc, char **argv)
{
    const char *admins = g_getenv("RADISHKNOT_ADMIN");
    char **admin_list = g_strsplit(admins ? admins : "", ",", 0);
    char *description = describe_commands();
    struct argp argp = {
        argp_options, parse_option, "COMMAND [WORDS]", description, 0, 0, 0};
    Tool tool = {0};
    Words words = {.tool = &tool};
    int code = 0;

    read_environment(&tool, admin_list);
    argp_parse(&argp, argc, argv, 0, NULL, &words);
    if (tool.secret_file != NULL &&
        !g_file_get_contents(tool.secret_file, &tool.secret, NULL, NULL)) {
        code = _Tool_Fail(RESULT_IO, "cannot read %s", tool.secret_file);
    }
    if (code == 0) {
        if (tool.secret != NULL) {
            g_strchomp(tool.secret);
        }
        tool.client = HttpClient_Create(&(HttpClient_desc){0});
        code = run_command(&tool, &words);
        HttpClient_Destroy(tool.client);
    }
    g_free(tool.secret);
    g_free(description);
    g_strfreev(admin_list);
    return code;
}
