/* Test of a team that stays within its rate while another one exceeds its
 * rate. */
#include "fleet.h"

#define SERVERS 12
#define SERVICE_MS 200
/* Rate and burst of each team. The capacity is 12 x 5 / 200 ms = 300/s. */
#define RATE_PER_S 120
#define OTHER_KEY "clerks-key-0001"
#define SECONDS 6
/* Target of the design page: minimum number of OK answers beside the other
 * team, in percent of the number without it. */
#define SHARE_PERCENT 95

static void
apply_teams(Fleet *fleet)
{
    char *crews =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, FLEET_KEY, -1);
    char *clerks =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, OTHER_KEY, -1);
    char *sets = g_strdup_printf(
        "{\"services\":{\"permits\":{\"floor_percent\":50,\"total\":%d}},"
        "\"teams\":{\"crews\":{\"rate_per_s\":%d,\"burst\":%d,"
        "\"keys\":[\"%s\"]},\"clerks\":{\"rate_per_s\":%d,\"burst\":%d,"
        "\"keys\":[\"%s\"]}},"
        "\"routes\":{\"/permits\":{\"service\":\"permits\",\"teams\":[],"
        "\"issuance\":false,\"deadline_ms\":10000,\"retries\":2,"
        "\"split\":[]}}}",
        SERVERS, RATE_PER_S, RATE_PER_S, crews, RATE_PER_S, RATE_PER_S,
        clerks);

    g_assert_cmpint(Fleet_Apply(fleet, sets), ==, 0);
    g_free(sets);
    g_free(clerks);
    g_free(crews);
}

/* Starts one daemon in each region, so that all rate slots are held and the
 * whole rate is available. */
static Fleet *
start_fleet(void)
{
    static const FleetDaemon_desc places[] = {
        {.region = "norte", .data_centre = "n1"},
        {.region = "bajio", .data_centre = "b1"},
        {.region = "sureste", .data_centre = "s1"}};
    Fleet *fleet = Fleet_Create();

    for (size_t i = 0; i < G_N_ELEMENTS(places); i++) {
        Fleet_AddDaemon(fleet, &places[i]);
    }
    for (int i = 0; i < SERVERS; i++) {
        Fleet_AddServer(fleet, i % (int)G_N_ELEMENTS(places),
                        &(FleetServer_desc){.service_ms = SERVICE_MS});
    }
    apply_teams(fleet);
    Fleet_AwaitReady(fleet);
    Fleet_AwaitServed(fleet, "/permits/7");
    return fleet;
}

/* Sends three quarters of the rate at even intervals. */
static FleetProcess *
start_crews(Fleet *fleet)
{
    char *rate = g_strdup_printf("--rate=%d", RATE_PER_S * 3 / 4);
    char *count = g_strdup_printf("--count=%d", RATE_PER_S * 3 / 4 * SECONDS);
    const char *load[] = {"--path=/permits/7", rate, count,
                          "--connections=128", NULL};
    FleetProcess *caller = Fleet_StartCaller(fleet, FALSE, load);

    g_free(count);
    g_free(rate);
    return caller;
}

/* Sends five times the rate, and for 2 s longer than the other team. */
static FleetProcess *
start_clerks(Fleet *fleet)
{
    static const char key[] = "--key=" OTHER_KEY;
    char *rate = g_strdup_printf("--rate=%d", RATE_PER_S * 5);
    char *count =
        g_strdup_printf("--count=%d", RATE_PER_S * 5 * (SECONDS + 2));
    const char *load[] = {"--path=/permits/7", key, rate, count,
                          "--connections=256", NULL};
    FleetProcess *caller = Fleet_StartCaller(fleet, FALSE, load);

    g_free(count);
    g_free(rate);
    return caller;
}

/* Guards against a team that reduces the service of another team by exceeding
 * its rate, and against one that gets more than its rate and burst. */
static void
test_two_teams(void)
{
    Fleet *fleet = start_fleet();
    json_t *summary = Fleet_AwaitCaller(start_crews(fleet));
    int alone = Fleet_Number(summary, "ok");
    int sent = Fleet_Number(summary, "sent");
    FleetProcess *clerks;
    double seconds;
    int together;
    int other;

    json_decref(summary);
    clerks = start_clerks(fleet);
    summary = Fleet_AwaitCaller(start_crews(fleet));
    together = Fleet_Number(summary, "ok");
    g_assert_cmpint(Fleet_Number(summary, "wrong"), ==, 0);
    json_decref(summary);
    summary = Fleet_AwaitCaller(clerks);
    other = Fleet_Number(summary, "ok");
    seconds = json_real_value(json_object_get(summary, "seconds"));
    json_decref(summary);
    g_test_message("%d of %d answered OK alone, %d beside a team that sends "
                   "5 times its rate and got %d in %.1f s",
                   alone, sent, together, other, seconds);
    g_assert_cmpint(alone, >, 0);
    g_assert_cmpint(together * 100, >=, SHARE_PERCENT * alone);
    g_assert_cmpfloat(other, <=, RATE_PER_S * (seconds + 1));
    Fleet_Destroy(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/share/two-teams", test_two_teams);
    return g_test_run();
}
