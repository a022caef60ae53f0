/* Commands on running daemons. */
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tool/tool_internal.h"

#define WATCH_PERIOD_MS 2000

int
_Tool_RequireAdmin(const Tool *tool)
{
    return tool->admin_count > 0
               ? 0
               : _Tool_Fail(RESULT_REQUEST_INVALID,
                            "no daemon given; use --admin or "
                            "RADISHKNOT_ADMIN");
}

static const char *
text_of(json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));

    return text ? text : "-";
}

static json_int_t
number_of(json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}

json_t *
_Tool_ReadStatus(Tool *tool)
{
    json_t *all = json_array();

    for (unsigned i = 0; i < tool->admin_count; i++) {
        HttpAnswer answer = {0};
        Result result = _Tool_Call(tool, tool->admins[i], "GET", "/v1/status",
                                   NULL, &answer);
        json_t *status =
            result == RESULT_OK
                ? json_loadb(answer.body, answer.body_bytes, 0, NULL)
                : NULL;

        if (status == NULL) {
            status = json_pack("{s:s}", "error", Result_Text(result));
        }
        json_object_set_new(status, "admin", json_string(tool->admins[i]));
        json_array_append_new(all, status);
        HttpAnswer_Clear(&answer);
    }
    return all;
}

/* Number of the configuration in force: of a ticket, or in mode "platform" of
 * the operator's object. */
static json_int_t
ticket_of(json_t *status)
{
    return MAX(number_of(json_object_get(status, "config"), "ticket"),
               number_of(status, "configuration"));
}

static json_int_t
newest_ticket(json_t *all)
{
    json_int_t newest = 0;
    json_t *status;
    size_t index;

    json_array_foreach(all, index, status)
    {
        newest = MAX(newest, ticket_of(status));
    }
    return newest;
}

static void
print_hosts(json_t *all)
{
    json_int_t newest = newest_ticket(all);
    json_t *status;
    size_t index;

    printf("HOSTS (newest ticket in force: %" JSON_INTEGER_FORMAT ")\n",
           newest);
    printf("  %-20s %-10s %-12s %8s %s\n", "host", "region", "data centre",
           "ticket", "state");
    json_array_foreach(all, index, status)
    {
        if (json_object_get(status, "error") != NULL) {
            printf("  %-20s does not answer: %s\n", text_of(status, "admin"),
                   text_of(status, "error"));
            continue;
        }
        printf("  %-20s %-10s %-12s %8" JSON_INTEGER_FORMAT " %s\n",
               text_of(status, "host"), text_of(status, "region"),
               text_of(status, "data_centre"), ticket_of(status),
               ticket_of(status) < newest
                   ? "the newest ticket is not in force here yet"
                   : "up to date");
    }
}

static void
print_fleet(json_t *all)
{
    json_t *status;
    json_t *members;
    size_t index;

    json_array_foreach(all, index, status)
    {
        members = json_object_get(status, "members");
        if (members != NULL) {
            printf("\nFLEET as %s sees it: %" JSON_INTEGER_FORMAT
                   " hosts alive, %" JSON_INTEGER_FORMAT
                   " suspect, %" JSON_INTEGER_FORMAT
                   " dead, %" JSON_INTEGER_FORMAT
                   " left, %" JSON_INTEGER_FORMAT
                   " heard one way only; %" JSON_INTEGER_FORMAT
                   " backend servers\n",
                   text_of(status, "host"), number_of(members, "alive"),
                   number_of(members, "suspect"), number_of(members, "dead"),
                   number_of(members, "left"), number_of(members, "one_way"),
                   number_of(members, "backend_servers"));
            return;
        }
    }
}

static const char *
describe_health(json_t *server)
{
    const char *health = text_of(server, "health");
    const char *permit = text_of(server, "permit");

    if (strcmp(health, "ejected") == 0) {
        return "sick: gets no work until it has recovered";
    }
    if (strcmp(health, "degraded") == 0 && strcmp(permit, "floor") == 0) {
        return "sick, but ejecting it would go below the floor";
    }
    if (strcmp(health, "degraded") == 0) {
        return "suspect: gets less work";
    }
    if (strcmp(health, "probation") == 0) {
        return "recovering: gets a little work";
    }
    return "well";
}

static void
print_servers(json_t *all)
{
    json_t *status;
    json_t *server;
    size_t index;
    size_t server_index;

    printf("\nBACKEND SERVERS\n  %-16s %-14s %-8s %-10s %7s %9s %s\n", "name",
           "service", "pool", "announced", "slots", "latency", "health");
    json_array_foreach(all, index, status)
    {
        json_array_foreach(json_object_get(status, "backend_servers"),
                           server_index, server)
        {
            printf("  %-16s %-14s %-8s %-10s %3" JSON_INTEGER_FORMAT
                   "/%-3" JSON_INTEGER_FORMAT " %6.1f ms %s: %s (%s)\n",
                   text_of(server, "name"), text_of(server, "service"),
                   text_of(server, "pool"), text_of(server, "announced"),
                   number_of(server, "slots_in_use"),
                   number_of(server, "slots"),
                   (double)number_of(server, "latency_us") / 1000,
                   text_of(server, "health"), describe_health(server),
                   text_of(server, "reason"));
        }
    }
}

static void
print_rate(json_t *all)
{
    json_t *status;
    json_t *rate;
    size_t index;
    size_t held = 0;
    json_int_t total = 0;

    printf("\nRATE SLOTS\n");
    json_array_foreach(all, index, status)
    {
        rate = json_object_get(status, "rate");
        if (rate == NULL) {
            continue;
        }
        held += json_array_size(json_object_get(rate, "slots_held"));
        total = number_of(rate, "slots_total");
        printf("  %-20s holds %zu\n", text_of(status, "host"),
               json_array_size(json_object_get(rate, "slots_held")));
    }
    printf("  %zu of %" JSON_INTEGER_FORMAT
           " slots are held by the daemons shown\n",
           held, total);
}

static void
print_refusals(json_t *all)
{
    json_t *status;
    json_t *count;
    const char *name;
    size_t index;

    printf("\nREFUSALS since each daemon started\n");
    json_array_foreach(all, index, status)
    {
        json_object_foreach(json_object_get(status, "refusals"), name, count)
        {
            printf("  %-20s %-24s %" JSON_INTEGER_FORMAT "\n",
                   text_of(status, "host"), name, json_integer_value(count));
        }
    }
}

/* Only daemons in mode "platform" follow evacuations. */
static void
print_evacuated(json_t *all)
{
    json_t *status;
    json_t *name;
    size_t index;
    size_t place;

    json_array_foreach(all, index, status)
    {
        json_t *names = json_object_get(status, "evacuated");

        if (names == NULL) {
            continue;
        }
        printf("\nEVACUATED as %s knows it:%s", text_of(status, "host"),
               json_array_size(names) == 0 ? " none" : "");
        json_array_foreach(names, place, name)
        {
            printf(" %s", json_string_value(name));
        }
        printf("\n");
    }
}

int
Tool_Status(Tool *tool, int count, char **words)
{
    json_t *all;
    char *text;

    (void)count;
    (void)words;
    if (tool->admin_count == 0) {
        return _Tool_RequireAdmin(tool);
    }
    do {
        all = _Tool_ReadStatus(tool);
        if (tool->json) {
            text = json_dumps(all, JSON_INDENT(2));
            puts(text);
            free(text);
        }
        else {
            print_hosts(all);
            print_fleet(all);
            print_servers(all);
            print_rate(all);
            print_refusals(all);
            print_evacuated(all);
        }
        json_decref(all);
        fflush(stdout);
    } while (tool->watch && poll(NULL, 0, WATCH_PERIOD_MS) == 0);
    return 0;
}

/* Prints the answer of each daemon to a GET. */
static int
print_all(Tool *tool, const char *target,
          void (*print)(const char *admin, const HttpAnswer *answer))
{
    int code = _Tool_RequireAdmin(tool);

    for (unsigned i = 0; i < tool->admin_count; i++) {
        HttpAnswer answer = {0};
        Result result =
            _Tool_Call(tool, tool->admins[i], "GET", target, NULL, &answer);

        if (result == RESULT_OK) {
            print(tool->admins[i], &answer);
        }
        else {
            code = _Tool_Fail(result, "%s: %s", tool->admins[i],
                              Result_Text(result));
        }
        HttpAnswer_Clear(&answer);
    }
    return code;
}

static void
print_counters(const char *admin, const HttpAnswer *answer)
{
    char **lines = g_strsplit(answer->body, "\n", 0);

    printf("%s\n", admin);
    for (char **line = lines; *line != NULL; line++) {
        if ((*line)[0] != '\0' && (*line)[0] != '#' &&
            !g_str_has_suffix(*line, " 0")) {
            printf("  %s\n", *line);
        }
    }
    g_strfreev(lines);
}

int
Tool_Counters(Tool *tool, int count, char **words)
{
    (void)count;
    (void)words;
    return print_all(tool, "/metrics", print_counters);
}

static int
set_drain(Tool *tool, const char *name, gboolean drain)
{
    json_t *body =
        json_pack("{s:s, s:b}", "backend_server", name, "drain", (int)drain);
    int code = _Tool_RequireAdmin(tool);

    if (code == 0) {
        code = _Tool_CallAll(tool, "/v1/drain", body, 1);
    }
    json_decref(body);
    return code;
}

int
Tool_Drain(Tool *tool, int count, char **words)
{
    (void)count;
    return set_drain(tool, words[0], TRUE);
}

int
Tool_Undrain(Tool *tool, int count, char **words)
{
    (void)count;
    return set_drain(tool, words[0], FALSE);
}

int
Tool_HostRetire(Tool *tool, int count, char **words)
{
    json_t *body = json_pack("{s:s}", "host", words[0]);
    int code = _Tool_RequireAdmin(tool);

    (void)count;
    if (code == 0) {
        code = _Tool_CallAll(tool, "/v1/retire", body, 1);
    }
    json_decref(body);
    return code;
}
