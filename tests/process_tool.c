/* Every command of the operators' tool on a small fleet. */
#include <poll.h>
#include <string.h>

#include "base/clock.h"
#include "fleet.h"

/* Exit codes are result numbers divided by 10. */
#define EXIT_NOT_FOUND 1
#define EXIT_TICKET 14
#define EXIT_HOST 23
#define EXIT_REQUEST_INVALID 34
#define EXIT_PEER_UNAUTHENTICATED 35

/* The setting rate_slots that fleet.c writes. */
#define FLEET_SLOTS 24

#define OTHER_KEY "clerks-key-0001"

/* A team's first tokens must be there after this time. */
#define RATE_MS 15000
#define POLL_MS 50

/* Requests after which a killed backend server must have been tried. */
#define MAX_TRIES 300

static Fleet *
start_fleet(void)
{
    Fleet *fleet = Fleet_Create();

    for (int i = 0; i < 2; i++) {
        Fleet_AddDaemon(fleet, NULL);
    }
    Fleet_AddServer(fleet, 0, NULL);
    Fleet_AddServer(fleet, 1, NULL);
    Fleet_ApplyDefault(fleet, 2);
    Fleet_AwaitReady(fleet);
    return fleet;
}

/* Runs the tool and checks the exit code and that its output (both streams)
 * contains each of the texts. */
static void
expect(Fleet *fleet, const char *const *words, int code,
       const char *const *texts)
{
    char *output = NULL;
    char *errors = NULL;
    int got = Fleet_ToolErrors(fleet, words, &output, &errors);
    char *all = g_strconcat(output, errors, NULL);

    if (got != code) {
        g_error("%s %s: exit code %d, expected %d:\n%s", words[0],
                words[1] ? words[1] : "", got, code, all);
    }
    for (; texts != NULL && *texts != NULL; texts++) {
        if (strstr(all, *texts) == NULL) {
            g_error("%s %s: no \"%s\" in:\n%s", words[0],
                    words[1] ? words[1] : "", *texts, all);
        }
    }
    g_free(all);
    g_free(output);
    g_free(errors);
}

#define WORDS(...) ((const char *const[]){__VA_ARGS__, NULL})

static char *
write_file(Fleet *fleet, const char *text)
{
    char *path = g_build_filename(fleet->folder, "ticket.json", NULL);

    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    return path;
}

#define TICKET(number, sets)                            \
    "{\"ticket\":" number ",\"who\":\"ana\","           \
    "\"when\":\"2026-12-04T10:00:00Z\",\"why\":\"more " \
    "hydrants\",\"sets\":" sets "}"
#define SERVICE \
    "{\"services\":{\"meters\":{\"floor_percent\":50,\"total\":3}}}"

/* Guards against a dry run that changes something, a refusal that does not
 * say what is wrong where, wrong exit codes, and tickets that cannot be read
 * back. */
static void
test_tickets(void)
{
    static const struct {
        const char *text;
        const char *command;
        int code;
        const char *texts[4];
    } cases[] = {
        {TICKET("2", SERVICE), "check", 0, {"is valid"}},
        {TICKET("2", SERVICE), "apply", 0, {"meters", "ana", "accepted"}},
        {TICKET("2", SERVICE), "apply", EXIT_TICKET, {"TICKET_CONFLICT"}},
        {TICKET("4", SERVICE), "apply", EXIT_TICKET, {"TICKET_"}},
        {TICKET("3", "{\"services\":{\"meters\":{\"floor_percent\":150,"
                     "\"total\":3}}}"),
         "apply",
         EXIT_TICKET,
         {"ticket.json", "$.sets.services[\"meters\"].floor_percent", "100"}},
        {TICKET("3", "{\"services\":{\"meters\":{\"floor_percent\":150,"
                     "\"total\":3}}}"),
         "check",
         EXIT_TICKET,
         {"ticket.json", "$.sets.services[\"meters\"].floor_percent", "100"}},
        {TICKET("3", "{\"routes\":{\"/m\":{\"service\":\"none\",\"teams\":[],"
                     "\"issuance\":false,\"deadline_ms\":10000,\"retries\":2,"
                     "\"split\":[]}}}"),
         "apply",
         EXIT_TICKET,
         {"$.sets.routes", "none"}},
        {"{\"host\":\"\"}", "check", 10, {"ticket.json", "$."}},
    };
    Fleet *fleet = start_fleet();
    char *path = write_file(fleet, TICKET("2", SERVICE));

    expect(fleet, WORDS("--dry-run", "apply", path), 0,
           WORDS("meters", "nothing was changed"));
    expect(fleet, WORDS("ticket", "show", "2"), EXIT_NOT_FOUND,
           WORDS("ticket/2"));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_free(write_file(fleet, cases[i].text));
        expect(fleet, WORDS(cases[i].command, path), cases[i].code,
               cases[i].texts);
    }
    expect(fleet, WORDS("ticket", "list"), 0,
           WORDS("     1  ", "     2  ", "ana", "more hydrants"));
    expect(fleet, WORDS("ticket", "show", "2"), 0,
           WORDS("Ticket 2", "ana", "more hydrants", "meters"));
    expect(fleet, WORDS("--json", "ticket", "show", "2"), 0,
           WORDS("\"ticket\": 2"));
    expect(fleet, WORDS("apply", "/nonexistent/t.json"), 1,
           WORDS("/nonexistent/t.json"));
    expect(fleet, WORDS("frobnicate"), EXIT_REQUEST_INVALID,
           WORDS("frobnicate", "--help"));
    expect(fleet, WORDS("ticket", "show"), EXIT_REQUEST_INVALID,
           WORDS("ticket show NUMBER"));
    g_free(path);
    Fleet_Destroy(fleet);
}

/* The result of a request with a key at a daemon. */
static int
ask(Fleet *fleet, int daemon, const char *key)
{
    FleetReply reply;
    int code;

    Fleet_Request(fleet, daemon,
                  &(FleetRequest){.path = "/permits/1", .key = key}, &reply);
    code = reply.code;
    FleetReply_Clear(&reply);
    return code;
}

/* The rate slots of a new team are empty for the first 6 s. */
static void
await_rate(Fleet *fleet)
{
    ClockMs until = Clock_Now() + RATE_MS;

    for (int i = 0; i < 2; i++) {
        while (ask(fleet, i, FLEET_KEY) != RESULT_OK) {
            g_assert_cmpint(Clock_Now(), <, until);
            (void)poll(NULL, 0, POLL_MS);
        }
    }
}

static gboolean
has_ticket(void *context, json_t *status)
{
    return Fleet_Number(status, "config.ticket") >= *(int *)context;
}

/* Guards against a grant or withdrawal that does not reach the daemons. */
static void
test_keys(void)
{
    Fleet *fleet = start_fleet();
    char *hash =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, OTHER_KEY, -1);
    int ticket = 2;

    await_rate(fleet);
    expect(fleet, WORDS("key", "hash", OTHER_KEY), 0, WORDS(hash));
    expect(fleet, WORDS("key", "grant", "nobody", OTHER_KEY), EXIT_NOT_FOUND,
           WORDS("nobody"));
    expect(fleet, WORDS("--dry-run", "key", "grant", "crews", OTHER_KEY), 0,
           WORDS("nothing was changed"));
    expect(fleet, WORDS("key", "grant", "crews", OTHER_KEY), 0,
           WORDS("accepted"));
    for (int i = 0; i < 2; i++) {
        Fleet_Await(fleet, i, has_ticket, &ticket, "the grant");
        g_assert_cmpint(ask(fleet, i, OTHER_KEY), ==, RESULT_OK);
    }
    expect(fleet, WORDS("key", "grant", "crews", OTHER_KEY), 0,
           WORDS("no change"));
    expect(fleet, WORDS("--dry-run", "key", "withdraw", "crews", OTHER_KEY), 0,
           WORDS("dry run"));
    g_assert_cmpint(ask(fleet, 0, OTHER_KEY), ==, RESULT_OK);
    expect(fleet,
           WORDS("--secret-file=/dev/null", "key", "withdraw", "crews",
                 FLEET_KEY, "--dry-run"),
           0, NULL);
    expect(fleet, WORDS("key", "withdraw", "crews", OTHER_KEY), 0,
           WORDS("accepted"));
    for (int i = 0; i < 2; i++) {
        g_assert_cmpint(ask(fleet, i, OTHER_KEY), ==, RESULT_KEY_WITHDRAWN);
        g_assert_cmpint(ask(fleet, i, FLEET_KEY), ==, RESULT_OK);
    }
    g_free(hash);
    Fleet_Destroy(fleet);
}

/* Guards against a status that lacks a part, is no JSON, or hides that a
 * daemon does not answer. */
static void
test_status(void)
{
    Fleet *fleet = start_fleet();
    char *output = NULL;
    json_t *json;

    await_rate(fleet);
    g_assert_cmpint(ask(fleet, 0, "no-such-key-1"), ==, RESULT_KEY_UNKNOWN);
    g_assert_cmpint(ask(fleet, 0, FLEET_KEY), ==, RESULT_OK);
    expect(fleet, WORDS("status"), 0,
           WORDS("host-0", "host-1", "norte", "up to date", "2 hosts alive",
                 "server-0", "server-1", "healthy", "of 24 slots",
                 "KEY_UNKNOWN"));
    g_assert_cmpint(Fleet_Tool(fleet, WORDS("status", "--json"), &output), ==,
                    0);
    json = json_loads(output, 0, NULL);
    g_assert_cmpuint(json_array_size(json), ==, 2);
    g_assert_cmpint(Fleet_Number(json_array_get(json, 0), "members.alive"), ==,
                    2);
    json_decref(json);
    g_free(output);
    expect(fleet, WORDS("counters"), 0, WORDS("KEY_UNKNOWN"));
    Fleet_End(fleet->daemons[1], SIGKILL);
    expect(fleet, WORDS("status"), 0, WORDS("host-0", "does not answer"));
    Fleet_Destroy(fleet);
}

static gboolean
is_explained(Fleet *fleet, const char *text)
{
    char *errors = NULL;
    int code = Fleet_ToolErrors(fleet, WORDS("explain", text), NULL, &errors);

    g_free(errors);
    return code == 0;
}

/* Guards against a failed attempt that cannot be found by the names that
 * operators know, or that is shown with hashes only. */
static void
test_explain(void)
{
    Fleet *fleet = start_fleet();
    FleetReply reply;
    int tries = 0;

    await_rate(fleet);
    Fleet_Request(fleet, 0, &(FleetRequest){.path = "/nothing"}, &reply);
    expect(fleet, WORDS("explain", reply.request_id), 0,
           WORDS(reply.request_id, "team=crews", "ROUTE_UNKNOWN", "run=no"));
    FleetReply_Clear(&reply);
    expect(fleet, WORDS("explain", "crews"), 0, WORDS("ROUTE_UNKNOWN"));
    expect(fleet, WORDS("explain", "server-1"), EXIT_NOT_FOUND,
           WORDS("server-1"));
    Fleet_End(fleet->servers[1], SIGKILL);
    while (!is_explained(fleet, "server-1")) {
        g_assert_cmpint(tries++, <, MAX_TRIES);
        (void)ask(fleet, 0, FLEET_KEY);
    }
    expect(fleet, WORDS("explain", "server-1"), 0,
           WORDS("server=server-1", "host=host-1", "team=crews"));
    expect(fleet, WORDS("explain", "host-1"), 0,
           WORDS("server=server-1", "host=host-1"));
    Fleet_Destroy(fleet);
}

typedef struct Announced {
    const char *name;
    const char *state;
} Announced;

static gboolean
is_announced(void *context, json_t *status)
{
    const Announced *expected = context;
    json_t *server;
    size_t index;

    json_array_foreach(json_object_get(status, "backend_servers"), index,
                       server)
    {
        if (g_strcmp0(json_string_value(json_object_get(server, "name")),
                      expected->name) == 0) {
            return g_strcmp0(
                       json_string_value(json_object_get(server, "announced")),
                       expected->state) == 0;
        }
    }
    return FALSE;
}

/* Guards against a drain that is not in force, that anybody can order, or
 * whose failure has the exit code of another one. */
static void
test_drain(void)
{
    Fleet *fleet = start_fleet();
    Announced drained = {"server-1", "drained by operator"};
    Announced ready = {"server-1", "ready"};

    await_rate(fleet);
    expect(fleet, WORDS("--secret-file=/dev/null", "drain", "server-1"),
           EXIT_PEER_UNAUTHENTICATED, WORDS("PEER_UNAUTHENTICATED"));
    Fleet_Await(fleet, 1, is_announced, &ready, "no drain");
    expect(fleet, WORDS("drain", "nobody"), EXIT_NOT_FOUND,
           WORDS("NOT_FOUND"));
    expect(fleet, WORDS("drain", "server-1"), 0, NULL);
    Fleet_Await(fleet, 1, is_announced, &drained, "the drain");
    expect(fleet, WORDS("status"), 0, WORDS("drained by operator"));
    g_assert_cmpint(ask(fleet, 0, FLEET_KEY), ==, RESULT_OK);
    expect(fleet, WORDS("undrain", "server-1"), 0, NULL);
    Fleet_Await(fleet, 1, is_announced, &ready, "the end of the drain");
    Fleet_Destroy(fleet);
}

/* One of the two hosts is not alive in the published view. */
static gboolean
is_dead(void *context, json_t *status)
{
    json_t *hosts = json_object_get(status, "hosts");
    json_t *host;
    size_t index;
    int others = 0;

    (void)context;
    json_array_foreach(hosts, index, host)
    {
        others += g_strcmp0(json_string_value(json_object_get(host, "state")),
                            "alive") != 0;
    }
    return others == 1 || json_array_size(hosts) == 1;
}

/* All rate slots of the fleet: no host of another region is alive. */
static gboolean
holds_all(void *context, json_t *status)
{
    (void)context;
    return json_array_size(json_object_get(json_object_get(status, "rate"),
                                           "slots_held")) == FLEET_SLOTS;
}

/* Guards against a live host that is retired, and against the slots of a
 * retired host that stay vacant until the end of its holds. */
static void
test_retire(void)
{
    Fleet *fleet = start_fleet();
    ClockMs retired;

    expect(fleet, WORDS("host", "retire", "host-1"), EXIT_HOST,
           WORDS("HOST_ALIVE"));
    expect(fleet, WORDS("host", "retire", "host-9"), EXIT_HOST,
           WORDS("MEMBER_UNKNOWN"));
    Fleet_End(fleet->daemons[1], SIGKILL);
    Fleet_Await(fleet, 0, is_dead, NULL, "the death of host-1");
    expect(fleet, WORDS("host", "retire", "host-1"), 0, NULL);
    retired = Clock_Now();
    Fleet_Await(fleet, 0, holds_all, NULL, "the slots of host-1");
    g_test_message("all slots held %d ms after the host was retired",
                   (int)(Clock_Now() - retired));
    Fleet_Destroy(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/tool/tickets", test_tickets);
    g_test_add_func("/tool/keys", test_keys);
    g_test_add_func("/tool/status", test_status);
    g_test_add_func("/tool/explain", test_explain);
    g_test_add_func("/tool/drain", test_drain);
    g_test_add_func("/tool/retire", test_retire);
    return g_test_run();
}
