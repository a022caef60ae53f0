/* Test of the whole request path through separate processes: store, daemons,
 * backend servers and callers. */
#include <string.h>

#include "fleet.h"

static Fleet *
start_fleet(void)
{
    Fleet *fleet = Fleet_Create();

    Fleet_AddDaemon(fleet, NULL);
    Fleet_AddDaemon(fleet, &(FleetDaemon_desc){.data_centre = "n2"});
    Fleet_AddDaemon(
        fleet, &(FleetDaemon_desc){.region = "bajio", .data_centre = "b1"});
    Fleet_AddServer(fleet, 1, NULL);
    Fleet_AddServer(fleet, 2, NULL);
    Fleet_ApplyDefault(fleet, 2);
    Fleet_AwaitReady(fleet);
    return fleet;
}

/* Guards against an entry whose requests do not reach the backend servers or
 * get the answer of another request. */
static void
check_lookups(Fleet *fleet)
{
    for (int i = 0; i < 30; i++) {
        FleetReply reply;

        Fleet_Request(fleet, i % 3, &(FleetRequest){.path = "/permits/17"},
                      &reply);
        g_assert_cmpint(reply.result, ==, RESULT_OK);
        g_assert_cmpint(reply.code, ==, RESULT_OK);
        g_assert_cmpint(reply.status, ==, 200);
        g_assert_cmpint(reply.run, ==, RUN_YES);
        g_assert_nonnull(reply.request_id);
        FleetReply_Clear(&reply);
    }
}

/* Guards against running an issuance twice when it is sent again with the same
 * token through another daemon. */
static void
check_issuance(Fleet *fleet)
{
    FleetRequest request = {
        .method = "POST", .path = "/issue/9", .body = "permit"};
    FleetReply first;
    FleetReply second;

    Fleet_Request(fleet, 0, &request, &first);
    g_assert_cmpint(first.code, ==, RESULT_OK);
    g_assert_cmpint(first.run, ==, RUN_YES);
    g_assert_nonnull(first.token);
    request.token = first.token;
    Fleet_Request(fleet, 2, &request, &second);
    g_assert_cmpint(second.code, ==, RESULT_OK);
    g_assert_cmpmem(first.answer.body, first.answer.body_bytes,
                    second.answer.body, second.answer.body_bytes);
    FleetReply_Clear(&first);
    FleetReply_Clear(&second);
}

/* Guards against refusals with a wrong code, and against refusals that do not
 * report "not run". */
static void
check_refusals(Fleet *fleet)
{
    static const struct {
        FleetRequest request;
        Result code;
    } cases[] = {
        {{.path = "/permits/1", .key = ""}, RESULT_KEY_MISSING},
        {{.path = "/permits/1", .key = "no-such-key"}, RESULT_KEY_UNKNOWN},
        {{.path = "/permits/1?k=" FLEET_KEY}, RESULT_KEY_MISPLACED},
        {{.path = "/permits/1",
          .header_name = "X-Note",
          .header_value = FLEET_KEY},
         RESULT_KEY_MISPLACED},
        {{.method = "POST", .path = "/permits/1", .body = FLEET_KEY},
         RESULT_KEY_MISPLACED},
        {{.path = "/elsewhere"}, RESULT_ROUTE_UNKNOWN},
        {{.path = "/permits/../x"}, RESULT_REQUEST_INVALID},
        {{.method = "POST", .path = "/issue/1", .token = "rk1-0"},
         RESULT_TOKEN_INVALID},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FleetReply reply;

        Fleet_Request(fleet, 0, &cases[i].request, &reply);
        g_assert_cmpint(reply.code, ==, cases[i].code);
        g_assert_cmpint(reply.run, ==, RUN_NO);
        FleetReply_Clear(&reply);
    }
}

static void
test_path(void)
{
    Fleet *fleet = start_fleet();

    check_lookups(fleet);
    check_issuance(fleet);
    check_refusals(fleet);
    for (int i = 0; i < fleet->daemon_count; i++) {
        g_assert_cmpint(Fleet_End(fleet->daemons[i], SIGTERM), ==, 0);
    }
    Fleet_Destroy(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/path", test_path);
    return g_test_run();
}
