/* Test of connections between daemons that carry no data although they stay
 * open. */
#include <string.h>

#include "base/clock.h"
#include "fleet.h"
#include "relay.h"

/* Requirement of the issue: later requests succeed within 1 s of the first
 * sign of the fault. The limit adds only the service time of the backend
 * server. */
#define RECOVERY_MS 1000
#define SERVICE_MS 5

/* Guards against requests that wait for an answer on a silent connection, and
 * against an issuance that runs twice or not at all because of it. */
static void
test_silent_connection(void)
{
    static const struct {
        RelayBreak kind;
        const char *method;
        const char *path;
    } cases[] = {
        {RELAY_FORWARD, "GET", "/permits/1"},
        {RELAY_BACK, "GET", "/permits/1"},
        {RELAY_BOTH, "GET", "/permits/1"},
        {RELAY_FORWARD, "POST", "/issue/1"},
        {RELAY_BACK, "POST", "/issue/1"},
        {RELAY_BOTH, "POST", "/issue/1"},
    };
    Fleet *fleet = Fleet_Create();
    Relay *relay = Relay_Create();
    char *extra =
        g_strdup_printf(",\"advertised_owner_port\":%d", Relay_Port(relay));
    json_t *stats; /* of the six issuances that are sent */

    Fleet_AddDaemon(fleet, NULL);
    Fleet_AddDaemon(fleet, &(FleetDaemon_desc){.extra = extra});
    Relay_SetTarget(relay, fleet->daemons[1]->owner_port);
    Fleet_AddServer(fleet, 1, &(FleetServer_desc){.service_ms = SERVICE_MS});
    Fleet_ApplyDefault(fleet, 1);
    Fleet_AwaitReady(fleet);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FleetRequest request = {.method = cases[i].method,
                                .path = cases[i].path};
        FleetReply reply;
        ClockMs started;

        Fleet_Request(fleet, 0, &request, &reply);
        g_assert_cmpint(reply.code, ==, RESULT_OK);
        FleetReply_Clear(&reply);
        g_assert_cmpint(Relay_Break(relay, cases[i].kind), >, 0);
        started = Clock_Now();
        Fleet_Request(fleet, 0, &request, &reply);
        g_test_message("case %zu: %d ms, result %d", i,
                       (int)(Clock_Now() - started), reply.code);
        g_assert_cmpint(reply.code, ==, RESULT_OK);
        g_assert_cmpint(Clock_Now() - started, <=, RECOVERY_MS + SERVICE_MS);
        FleetReply_Clear(&reply);
    }
    stats = Fleet_Get(fleet, fleet->servers[0]->admin_port,
                      "/v1/executions?summary=1");
    g_assert_cmpint(Fleet_Number(stats, "total"), ==, 6);
    json_decref(stats);
    g_free(extra);
    Relay_Destroy(relay);
    Fleet_Destroy(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/silent/connection", test_silent_connection);
    return g_test_run();
}
