/* The command "explain" with the option --request. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "tool/tool_internal.h"

#define CALL_TIMEOUT_MS 5000
#define MAX_KEY_BYTES 4096

static const char *
text_of(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));

    return text ? text : "-";
}

static json_int_t
number_of(const json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}

static void
add_argument(GString *target, const char *name, const char *value)
{
    if (value != NULL) {
        char *escaped = g_uri_escape_string(value, NULL, FALSE);

        g_string_append_printf(target, "%c%s=%s",
                               strchr(target->str, '?') ? '&' : '?', name,
                               escaped);
        g_free(escaped);
    }
}

static char *
make_target(const Tool *tool)
{
    GString *target = g_string_new("/explain");
    size_t length = strcspn(tool->request, "/");
    char *host = g_strndup(tool->request, length);
    const char *path = tool->request + length;

    add_argument(target, "host", host);
    add_argument(target, "path", *path != '\0' ? path : "/");
    add_argument(target, "method", tool->method);
    add_argument(target, "bytes", tool->bytes);
    add_argument(target, "deadline_ms", tool->deadline_ms);
    g_free(host);
    return g_string_free(target, FALSE);
}

/* Reads the key into the header in which callers send it. Messages name the
 * file only. */
static int
add_key(const Tool *tool, HttpHeaders *headers)
{
    GError *error = NULL;
    char *key;
    int code = 0;

    if (tool->key_file == NULL) {
        return 0;
    }
    if (!g_file_get_contents(tool->key_file, &key, NULL, &error)) {
        code = _Tool_Fail(RESULT_IO, "%s", error->message);
        g_error_free(error);
        return code;
    }
    g_strstrip(key);
    if (*key == '\0' || strlen(key) > MAX_KEY_BYTES ||
        strpbrk(key, "\r\n") != NULL) {
        code =
            _Tool_Fail(RESULT_REQUEST_INVALID,
                       "%s does not hold one line with a key", tool->key_file);
    }
    else {
        HttpHeaders_Add(headers, Platform_Adapter()->names->key, key);
    }
    g_free(key);
    return code;
}

static void
print_route(const json_t *answer)
{
    const json_t *route = json_object_get(answer, "route");
    const json_t *services = json_object_get(route, "services");
    const json_t *service;
    size_t index;

    printf("  route     %s (%s), attempts %" JSON_INTEGER_FORMAT
           ", %s; retry %s\n",
           text_of(route, "name"), text_of(route, "prefix"),
           number_of(route, "attempts"),
           json_is_true(json_object_get(route, "idempotent"))
               ? "may run more than once"
               : "must not run twice",
           json_is_true(json_object_get(answer, "can_retry"))
               ? "possible"
               : "not possible");
    printf("  service   %s", text_of(answer, "service"));
    json_array_foreach(services, index, service)
    {
        if (json_array_size(services) > 1) {
            printf("%s%s %" JSON_INTEGER_FORMAT,
                   index == 0 ? "; weights: " : ", ",
                   text_of(service, "service"), number_of(service, "weight"));
        }
    }
    printf("\n");
}

static void
print_team(const json_t *answer)
{
    const json_t *quota = json_object_get(answer, "quota");

    printf("  team      %s\n", text_of(answer, "team"));
    if (!json_is_object(quota)) {
        printf("  quota     none\n");
        return;
    }
    printf("  quota     %" JSON_INTEGER_FORMAT
           "/s, burst %" JSON_INTEGER_FORMAT
           "; counted by %s; this host admitted %" JSON_INTEGER_FORMAT
           " in the last %" JSON_INTEGER_FORMAT " ms",
           number_of(quota, "rate_per_s"), number_of(quota, "burst"),
           text_of(quota, "source"), number_of(quota, "admitted"),
           number_of(quota, "window_ms"));
    if (json_is_integer(json_object_get(quota, "counted"))) {
        printf(", the data centre %" JSON_INTEGER_FORMAT
               " of %" JSON_INTEGER_FORMAT,
               number_of(quota, "counted"), number_of(quota, "limit"));
    }
    printf("\n");
}

static void
print_regions(const json_t *answer)
{
    const json_t *regions = json_object_get(answer, "regions");
    gboolean by_route = json_is_true(json_object_get(regions, "by_route"));
    gboolean by_team = json_is_true(json_object_get(regions, "by_team"));
    const json_t *name;
    size_t index;

    printf("  regions  ");
    json_array_foreach(json_object_get(regions, "allowed"), index, name)
    {
        printf(" %s", json_string_value(name));
    }
    printf(" (%s%s%s)\n", by_route || by_team ? "restricted by" : "no limit",
           by_route ? " route" : "", by_team ? " team" : "");
}

static void
print_candidate(const json_t *item)
{
    const char *excluded =
        json_string_value(json_object_get(item, "excluded"));
    char *age = json_is_integer(json_object_get(item, "age_ms"))
                    ? g_strdup_printf("%" JSON_INTEGER_FORMAT,
                                      number_of(item, "age_ms"))
                    : g_strdup("none");
    char *load =
        g_strdup_printf("%.1f/%" JSON_INTEGER_FORMAT,
                        json_real_value(json_object_get(item, "load")),
                        number_of(item, "slots"));

    printf("  %-20s %-10s %-10s %-16s %8s %5.1f%% %7s %7" JSON_INTEGER_FORMAT
           " %8.4f",
           text_of(item, "host"), text_of(item, "data_centre"),
           text_of(item, "region"), text_of(item, "distance"), age,
           100 * json_real_value(json_object_get(item, "fail_share")), load,
           number_of(item, "wait_ms"),
           json_real_value(json_object_get(item, "cost")));
    if (json_is_true(json_object_get(item, "chosen"))) {
        printf(" CHOSEN");
    }
    if (excluded != NULL) {
        printf(" excluded: %s", excluded);
    }
    else if (number_of(item, "explore_idle_ms") > 0) {
        printf(" for a fresh report");
    }
    printf("\n");
    g_free(age);
    g_free(load);
}

static void
print_candidates(const json_t *answer)
{
    const json_t *item;
    size_t index;

    printf("  %-20s %-10s %-10s %-16s %8s %6s %7s %7s %8s\n", "host", "centre",
           "region", "distance", "age ms", "fail", "load", "wait ms", "cost");
    json_array_foreach(json_object_get(answer, "candidates"), index, item)
    {
        print_candidate(item);
    }
    if (number_of(answer, "left_out") > 0) {
        printf("  and %" JSON_INTEGER_FORMAT " more\n",
               number_of(answer, "left_out"));
    }
}

static void
print_answer(const json_t *answer)
{
    const json_t *age = json_object_get(answer, "configuration_age_ms");

    printf("%s %s%s from %s, configuration %" JSON_INTEGER_FORMAT,
           text_of(answer, "method"), text_of(answer, "host"),
           text_of(answer, "path"), text_of(answer, "from"),
           number_of(answer, "configuration"));
    if (json_is_integer(age)) {
        printf(" (confirmed %" JSON_INTEGER_FORMAT " ms ago)",
               json_integer_value(age));
    }
    if (strcmp(text_of(answer, "result"), "OK") == 0) {
        printf("\n  result    would be sent to %s\n",
               text_of(answer, "choice"));
    }
    else {
        printf("\n  result    %s: %s\n", text_of(answer, "result"),
               text_of(answer, "message"));
    }
    if (json_object_get(answer, "candidates") == NULL) {
        return;
    }
    print_route(answer);
    print_team(answer);
    print_regions(answer);
    if (number_of(answer, "full_wait_ms") > 0) {
        printf("  full      all slots are in use, wait %" JSON_INTEGER_FORMAT
               " ms\n",
               number_of(answer, "full_wait_ms"));
    }
    print_candidates(answer);
}

/* Prints what a daemon answered; returns the exit code. */
static int
print_reply(const Tool *tool, const char *admin, const HttpAnswer *answer)
{
    json_t *object = json_loadb(answer->body, answer->body_bytes, 0, NULL);
    int code = 0;

    if (answer->status == 404) {
        code = _Tool_Fail(RESULT_NOT_FOUND,
                          "%s: explains no requests; use the metrics port of "
                          "a daemon in mode \"platform\"",
                          admin);
    }
    else if (answer->status != 200 || !json_is_object(object)) {
        code = _Tool_Fail(RESULT_REQUEST_INVALID, "%s: status %d: %s", admin,
                          answer->status, text_of(object, "message"));
    }
    else if (tool->json) {
        (void)json_dumpf(object, stdout, JSON_INDENT(2));
        putchar('\n');
    }
    else {
        print_answer(object);
    }
    json_decref(object);
    return code;
}

int
_Tool_ExplainRequest(Tool *tool)
{
    HttpHeaders headers = {0};
    char *target = make_target(tool);
    int code = _Tool_RequireAdmin(tool);

    if (code == 0) {
        code = add_key(tool, &headers);
    }
    for (unsigned i = 0; i < tool->admin_count && code == 0; i++) {
        HttpCall call = {.method = "GET",
                         .target = target,
                         .headers = &headers,
                         .deadline = Clock_Now() + CALL_TIMEOUT_MS};
        HttpAnswer answer = {0};
        gboolean sent;
        Result result =
            HttpAddress_Parse(tool->admins[i], &call.address)
                ? HttpClient_Call(tool->client, &call, &answer, &sent)
                : RESULT_MALFORMED;

        code = result == RESULT_OK
                   ? print_reply(tool, tool->admins[i], &answer)
                   : _Tool_Fail(result, "%s: %s", tool->admins[i],
                                Result_Text(result));
        HttpAnswer_Clear(&answer);
    }
    HttpHeaders_Clear(&headers);
    g_free(target);
    return code;
}
