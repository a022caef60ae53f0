/* Tests of every command of the operators' tool on a small fleet. */
#include <poll.h>
#include <string.h>

#include "base/clock.h"
#include "fleet.h"

/* Exit codes: result numbers divided by 10. */
#define EXIT_NOT_FOUND 1
#define EXIT_TICKET 14
#define EXIT_HOST 23
#define EXIT_REQUEST_INVALID 34
#define EXIT_PEER_UNAUTHENTICATED 35

/* Setting rate_slots as written by fleet.c. */
#define FLEET_SLOTS 24

#define OTHER_KEY "clerks-key-0001"

/* Maximum time until the first rate tokens of a team are available. */
#define RATE_TIMEOUT_MS 15000
#define POLL_MS 50

/* Maximum number of requests until one of them is sent to the killed backend
 * server. */
#define MAX_REQUESTS 300

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

/* Runs the tool. Checks its exit code, and that standard output and error
 * together contain each of the texts. */
static void
expect(Fleet *fleet, const char *const *arguments, int code,
       const char *const *texts)
{
    char *output = NULL;
    char *errors = NULL;
    int exit_code = Fleet_ToolErrors(fleet, arguments, &output, &errors);
    char *all = g_strconcat(output, errors, NULL);

    if (exit_code != code) {
        g_error("%s %s: exit code %d, expected %d:\n%s", arguments[0],
                arguments[1] ? arguments[1] : "", exit_code, code, all);
    }
    for (; texts != NULL && *texts != NULL; texts++) {
        if (strstr(all, *texts) == NULL) {
            g_error("%s %s: no \"%s\" in:\n%s", arguments[0],
                    arguments[1] ? arguments[1] : "", *texts, all);
        }
    }
    g_free(all);
    g_free(output);
    g_free(errors);
}

#define STRINGS(...) ((const char *const[]){__VA_ARGS__, NULL})

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
 * name the fault and its position, wrong exit codes, accepted tickets that
 * cannot be listed and shown, and an option of mode "platform" that fails in
 * the other mode without saying so. */
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

    expect(fleet, STRINGS("--dry-run", "apply", path), 0,
           STRINGS("meters", "nothing was changed"));
    expect(fleet, STRINGS("ticket", "show", "2"), EXIT_NOT_FOUND,
           STRINGS("ticket/2"));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_free(write_file(fleet, cases[i].text));
        expect(fleet, STRINGS(cases[i].command, path), cases[i].code,
               cases[i].texts);
    }
    expect(fleet, STRINGS("ticket", "list"), 0,
           STRINGS("     1  ", "     2  ", "ana", "more hydrants"));
    expect(fleet, STRINGS("ticket", "show", "2"), 0,
           STRINGS("Ticket 2", "ana", "more hydrants", "meters"));
    expect(fleet, STRINGS("--json", "ticket", "show", "2"), 0,
           STRINGS("\"ticket\": 2"));
    expect(fleet, STRINGS("apply", "/nonexistent/t.json"), 1,
           STRINGS("/nonexistent/t.json"));
    expect(fleet, STRINGS("frobnicate"), EXIT_REQUEST_INVALID,
           STRINGS("frobnicate", "--help"));
    expect(fleet, STRINGS("--request", "h/p", "explain"), EXIT_NOT_FOUND,
           STRINGS("in mode \"platform\""));
    expect(fleet, STRINGS("ticket", "show"), EXIT_REQUEST_INVALID,
           STRINGS("ticket show NUMBER"));
    g_free(path);
    Fleet_Destroy(fleet);
}

/* Returns the result of a request with a key to a daemon. */
static int
request_result(Fleet *fleet, int daemon, const char *key)
{
    FleetReply reply;
    int code;

    Fleet_Request(fleet, daemon,
                  &(FleetRequest){.path = "/permits/1", .key = key}, &reply);
    code = reply.code;
    FleetReply_Clear(&reply);
    return code;
}

/* Waits until both daemons serve the team: the token buckets of a new team
 * are empty for the first 6 s. */
static void
await_rate(Fleet *fleet)
{
    ClockMs until = Clock_Now() + RATE_TIMEOUT_MS;

    for (int i = 0; i < 2; i++) {
        while (request_result(fleet, i, FLEET_KEY) != RESULT_OK) {
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

/* Guards against a key grant or withdrawal that does not reach the daemons. */
static void
test_keys(void)
{
    Fleet *fleet = start_fleet();
    char *hash =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, OTHER_KEY, -1);
    int ticket = 2;

    await_rate(fleet);
    expect(fleet, STRINGS("key", "hash", OTHER_KEY), 0, STRINGS(hash));
    expect(fleet, STRINGS("key", "grant", "nobody", OTHER_KEY), EXIT_NOT_FOUND,
           STRINGS("nobody"));
    expect(fleet, STRINGS("--dry-run", "key", "grant", "crews", OTHER_KEY), 0,
           STRINGS("nothing was changed"));
    expect(fleet, STRINGS("key", "grant", "crews", OTHER_KEY), 0,
           STRINGS("accepted"));
    for (int i = 0; i < 2; i++) {
        Fleet_Await(fleet, i, has_ticket, &ticket, "the grant");
        g_assert_cmpint(request_result(fleet, i, OTHER_KEY), ==, RESULT_OK);
    }
    expect(fleet, STRINGS("key", "grant", "crews", OTHER_KEY), 0,
           STRINGS("no change"));
    expect(fleet, STRINGS("--dry-run", "key", "withdraw", "crews", OTHER_KEY),
           0, STRINGS("dry run"));
    g_assert_cmpint(request_result(fleet, 0, OTHER_KEY), ==, RESULT_OK);
    expect(fleet,
           STRINGS("--secret-file=/dev/null", "key", "withdraw", "crews",
                   FLEET_KEY, "--dry-run"),
           0, NULL);
    expect(fleet, STRINGS("key", "withdraw", "crews", OTHER_KEY), 0,
           STRINGS("accepted"));
    for (int i = 0; i < 2; i++) {
        g_assert_cmpint(request_result(fleet, i, OTHER_KEY), ==,
                        RESULT_KEY_WITHDRAWN);
        g_assert_cmpint(request_result(fleet, i, FLEET_KEY), ==, RESULT_OK);
    }
    g_free(hash);
    Fleet_Destroy(fleet);
}

/* Guards against a status that is incomplete, is not valid JSON, or does not
 * report a daemon that does not answer. */
static void
test_status(void)
{
    Fleet *fleet = start_fleet();
    char *output = NULL;
    json_t *json;

    await_rate(fleet);
    g_assert_cmpint(request_result(fleet, 0, "no-such-key-1"), ==,
                    RESULT_KEY_UNKNOWN);
    g_assert_cmpint(request_result(fleet, 0, FLEET_KEY), ==, RESULT_OK);
    expect(fleet, STRINGS("status"), 0,
           STRINGS("host-0", "host-1", "norte", "up to date", "2 hosts alive",
                   "server-0", "server-1", "healthy", "of 24 slots",
                   "KEY_UNKNOWN"));
    g_assert_cmpint(Fleet_Tool(fleet, STRINGS("status", "--json"), &output),
                    ==, 0);
    json = json_loads(output, 0, NULL);
    g_assert_cmpuint(json_array_size(json), ==, 2);
    g_assert_cmpint(Fleet_Number(json_array_get(json, 0), "members.alive"), ==,
                    2);
    json_decref(json);
    g_free(output);
    expect(fleet, STRINGS("counters"), 0, STRINGS("KEY_UNKNOWN"));
    Fleet_End(fleet->daemons[1], SIGKILL);
    expect(fleet, STRINGS("status"), 0, STRINGS("host-0", "does not answer"));
    Fleet_Destroy(fleet);
}

static gboolean
is_explained(Fleet *fleet, const char *text)
{
    char *errors = NULL;
    int code =
        Fleet_ToolErrors(fleet, STRINGS("explain", text), NULL, &errors);

    g_free(errors);
    return code == 0;
}

/* Guards against a failed attempt that cannot be found by the names that
 * operators know (request id, team, backend server, host), or that is shown
 * only with hashes instead of these names. */
static void
test_explain(void)
{
    Fleet *fleet = start_fleet();
    FleetReply reply;
    int requests = 0;

    await_rate(fleet);
    Fleet_Request(fleet, 0, &(FleetRequest){.path = "/nothing"}, &reply);
    expect(fleet, STRINGS("explain", reply.request_id), 0,
           STRINGS(reply.request_id, "team=crews", "ROUTE_UNKNOWN", "run=no"));
    FleetReply_Clear(&reply);
    expect(fleet, STRINGS("explain", "crews"), 0, STRINGS("ROUTE_UNKNOWN"));
    expect(fleet, STRINGS("explain", "server-1"), EXIT_NOT_FOUND,
           STRINGS("server-1"));
    Fleet_End(fleet->servers[1], SIGKILL);
    while (!is_explained(fleet, "server-1")) {
        g_assert_cmpint(requests++, <, MAX_REQUESTS);
        (void)request_result(fleet, 0, FLEET_KEY);
    }
    expect(fleet, STRINGS("explain", "server-1"), 0,
           STRINGS("server=server-1", "host=host-1", "team=crews"));
    expect(fleet, STRINGS("explain", "host-1"), 0,
           STRINGS("server=server-1", "host=host-1"));
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

/* Guards against a drain that has no effect or needs no valid secret, and
 * against failures with a wrong exit code. */
static void
test_drain(void)
{
    Fleet *fleet = start_fleet();
    Announced drained = {"server-1", "drained by operator"};
    Announced ready = {"server-1", "ready"};

    await_rate(fleet);
    expect(fleet, STRINGS("--secret-file=/dev/null", "drain", "server-1"),
           EXIT_PEER_UNAUTHENTICATED, STRINGS("PEER_UNAUTHENTICATED"));
    Fleet_Await(fleet, 1, is_announced, &ready, "no drain");
    expect(fleet, STRINGS("drain", "nobody"), EXIT_NOT_FOUND,
           STRINGS("NOT_FOUND"));
    expect(fleet, STRINGS("drain", "server-1"), 0, NULL);
    Fleet_Await(fleet, 1, is_announced, &drained, "the drain");
    expect(fleet, STRINGS("status"), 0, STRINGS("drained by operator"));
    g_assert_cmpint(request_result(fleet, 0, FLEET_KEY), ==, RESULT_OK);
    expect(fleet, STRINGS("undrain", "server-1"), 0, NULL);
    Fleet_Await(fleet, 1, is_announced, &ready, "the end of the drain");
    Fleet_Destroy(fleet);
}

/* Returns TRUE if one of the two hosts is not alive in the view of the daemon,
 * or has been removed from it. */
static gboolean
is_dead(void *context, json_t *status)
{
    json_t *hosts = json_object_get(status, "hosts");
    json_t *host;
    size_t index;
    int not_alive = 0;

    (void)context;
    json_array_foreach(hosts, index, host)
    {
        not_alive +=
            g_strcmp0(json_string_value(json_object_get(host, "state")),
                      "alive") != 0;
    }
    return not_alive == 1 || json_array_size(hosts) == 1;
}

/* Returns TRUE if the daemon holds all rate slots of the fleet. No host of
 * another region runs, so it may take the slots of all regions. */
static gboolean
holds_all_slots(void *context, json_t *status)
{
    (void)context;
    return json_array_size(json_object_get(json_object_get(status, "rate"),
                                           "slots_held")) == FLEET_SLOTS;
}

/* Guards against retiring a host that is alive, and against slots of a retired
 * host that stay vacant until its leases expire. */
static void
test_retire(void)
{
    Fleet *fleet = start_fleet();
    ClockMs retired;

    expect(fleet, STRINGS("host", "retire", "host-1"), EXIT_HOST,
           STRINGS("HOST_ALIVE"));
    expect(fleet, STRINGS("host", "retire", "host-9"), EXIT_HOST,
           STRINGS("MEMBER_UNKNOWN"));
    Fleet_End(fleet->daemons[1], SIGKILL);
    Fleet_Await(fleet, 0, is_dead, NULL, "the death of host-1");
    expect(fleet, STRINGS("host", "retire", "host-1"), 0, NULL);
    retired = Clock_Now();
    Fleet_Await(fleet, 0, holds_all_slots, NULL, "the slots of host-1");
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
