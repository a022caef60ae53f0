/* Tests of the regions of a request while the configuration changes: the
 * gateway, with owners that are played by the test, and an owner's check. */
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "base/counter.h"
#include "gateway/test_gateway_fleet.h"

/* Checks that the set allows just the region; NULL: no restriction. */
static void
check_set(const RegionSet *set, const char *region)
{
    g_assert_cmpint(set != NULL, ==, region != NULL);
    g_assert_cmpuint(RegionSet_Count(set), ==, region != NULL);
    if (region != NULL) {
        g_assert_true(RegionSet_Allows(set, RegionSet_Hash(region)));
    }
}

/* Guards against a narrower configuration that does not apply to a request
 * which came before it, and against a restriction that is dropped because the
 * newest configuration no longer has the route or the team. */
static void
test_update(void)
{
    static const struct {
        const char *path;
        const char *team;
        const char *old_region; /* of route and team */
        const char *new_region;
        gboolean differs;
        const char *route; /* the one allowed region; NULL: no restriction */
        const char *of_team;
    } cases[] = {
        {"/read/1", "crews", NULL, NULL, FALSE, NULL, NULL},
        {"/read/1", "crews", NULL, "r2", TRUE, "r2", "r2"},
        {"/read/1", "crews", "r1", "r2", TRUE, "r2", "r2"},
        {"/read/1", "crews", "r1", "r1", FALSE, "r1", "r1"},
        {"/read/1", "crews", "r1", NULL, TRUE, NULL, NULL},
        {"/read/1", NULL, NULL, "r2", TRUE, "r2", NULL},
        {"/read/1", "gone", "r1", "r2", TRUE, "r2", NULL},
        {"/gone/1", "crews", "r1", "r2", TRUE, NULL, "r2"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GatewayRegionsKey key = {
            .host = HOST, .path = cases[i].path, .team = cases[i].team};
        CatalogTable *old =
            make_table(1, cases[i].old_region, cases[i].old_region);
        CatalogTable *newer =
            make_table(2, cases[i].new_region, cases[i].new_region);
        CatalogTable *empty =
            CatalogTable_Create(&(CatalogTable_desc){.version = 3});
        GatewayRegions regions = {0};

        g_test_message("case %zu", i);
        g_assert_false(GatewayRegions_Update(&regions, old, &key));
        g_assert_cmpint(GatewayRegions_Update(&regions, newer, &key), ==,
                        cases[i].differs);
        CatalogTable_Unref(old);
        CatalogTable_Unref(newer);
        g_assert_false(GatewayRegions_Update(&regions, empty, &key));
        CatalogTable_Unref(empty);
        check_set(regions.route, cases[i].route);
        check_set(regions.team, cases[i].of_team);
        GatewayRegions_Clear(&regions);
    }
}

/* Guards against an owner that runs a request which the configuration does not
 * allow in its region. */
static void
test_check(void)
{
    static const struct {
        const char *route;
        const char *team;
        gboolean allowed;
    } cases[] = {{NULL, NULL, TRUE}, {"r1", NULL, TRUE},  {"r2", NULL, FALSE},
                 {NULL, "r1", TRUE}, {NULL, "r2", FALSE}, {"r1", "r2", FALSE},
                 {"", NULL, FALSE},  {"r1", "r1", TRUE}};
    Catalog *catalog = Catalog_Create();
    GatewayRegionsCheck check = {.catalog = catalog,
                                 .region = RegionSet_Hash("r1"),
                                 .key = {HOST, "/read/1", "crews"},
                                 .request_id = "x"};

    g_assert_true(GatewayRegions_Check(&check));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("case %zu", i);
        Catalog_Publish(catalog,
                        make_table(i + 1, cases[i].route, cases[i].team), 1);
        g_assert_cmpint(GatewayRegions_Check(&check), ==, cases[i].allowed);
    }
    Catalog_Destroy(catalog);
}

/* Guards against a body that is sent to a host outside of the regions of its
 * route and team, at the first attempt or, if the configuration narrows in the
 * middle of the request, at a later one. */
static void
test_narrowing(void)
{
    static const struct {
        const char *route;
        const char *team;
        gboolean narrows; /* to r2, when the owner in r1 refuses */
        int status;
        int at_r1;
        int at_r2;
    } cases[] = {
        {NULL, NULL, FALSE, 200, 1, 0}, {"r2", NULL, FALSE, 200, 0, 1},
        {NULL, "r2", FALSE, 200, 0, 1}, {"r1", "r2", FALSE, 503, 0, 0},
        {"", NULL, FALSE, 503, 0, 0},   {NULL, NULL, TRUE, 200, 1, 1},
        {"r1", NULL, TRUE, 200, 1, 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fleet fleet;
        HttpAnswer answer;
        ClockMs took;

        g_test_message("case %zu", i);
        open_fleet(&fleet, make_table(1, cases[i].route, cases[i].team));
        add_owner(&fleet, 0, cases[i].narrows);
        add_owner(&fleet, 1, FALSE);
        fleet.next = cases[i].narrows ? make_table(2, "r2", "r2") : NULL;
        answer = call(&fleet, "/read/1", &took);
        g_assert_cmpint(answer.status, ==, cases[i].status);
        g_assert_cmpint(g_atomic_int_get(&fleet.owners[0].requests), ==,
                        cases[i].at_r1);
        g_assert_cmpint(g_atomic_int_get(&fleet.owners[1].requests), ==,
                        cases[i].at_r2);
        HttpAnswer_Clear(&answer);
        close_fleet(&fleet);
    }
}

/* Makes the address of an owner drop what is sent to it, as a network does
 * that is cut: the queue of connections that nobody accepts is full. */
static int
drop_packets(const FakeOwner *owner, int *fillers, int count)
{
    struct sockaddr_in address;
    socklen_t bytes = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    g_assert_true(HttpAddress_Parse("127.0.0.1:1", &address));
    address.sin_port = htons(HttpServer_Port(owner->server));
    HttpServer_Destroy(owner->server);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    g_assert_cmpint(bind(listener, (struct sockaddr *)&address, bytes), ==, 0);
    g_assert_cmpint(listen(listener, 0), ==, 0);
    for (int i = 0; i < count; i++) {
        fillers[i] =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        (void)connect(fillers[i], (struct sockaddr *)&address, bytes);
    }
    return listener;
}

static void
check_away(Fleet *fleet, ClockMs max_ms)
{
    ClockMs took;
    HttpAnswer answer = call(fleet, "/read/1", &took);
    const char *after = HttpHeaders_Get(&answer.headers, "Retry-After");

    g_test_message("status %d after %d ms, %s", answer.status, (int)took,
                   after);
    g_assert_cmpint(answer.status, ==, 503);
    g_assert_cmpint(took, <, max_ms);
    g_assert_nonnull(after);
    g_assert_cmpfloat(g_ascii_strtod(after, NULL), <=, 4.0 / 3);
    HttpAnswer_Clear(&answer);
}

/* Guards against a request that waits for its deadline, or is sent elsewhere,
 * while its region is cut off or down, and against one without a time to
 * return. */
static void
test_away(void)
{
    enum { FILLERS = 4 };
    static const struct {
        gboolean cut; /* else down */
        int hosts;    /* in the region */
        ClockMs found_ms;
    } cases[] = {{FALSE, 1, 400}, {TRUE, 1, 1000}, {TRUE, 9, 2200}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int fillers[FILLERS];
        int listener = -1;
        Fleet fleet;

        g_test_message("case %zu", i);
        open_fleet(&fleet, make_table(1, "r2", NULL));
        add_owner(&fleet, 0, FALSE);
        add_owner(&fleet, 1, FALSE);
        for (int n = 2; n <= cases[i].hosts; n++) {
            add_entry(&fleet, n, HttpServer_Port(fleet.owners[1].server));
        }
        if (cases[i].cut) {
            listener = drop_packets(&fleet.owners[1], fillers, FILLERS);
        }
        else {
            HttpServer_Destroy(fleet.owners[1].server);
        }
        fleet.owners[1].server = NULL;
        /* The first one finds out: 500 ms to connect to another region, up to
         * three times. */
        check_away(&fleet, cases[i].found_ms);
        check_away(&fleet, 300);
        check_away(&fleet, 300);
        g_assert_cmpint(g_atomic_int_get(&fleet.owners[0].requests), ==, 0);
        close_fleet(&fleet);
        for (int n = 0; cases[i].cut && n < FILLERS; n++) {
            close(fillers[n]);
        }
        close(listener);
    }
    g_assert_cmpuint(Counter_GetRefusals(RESULT_HOME_REGIONS_AWAY), >=, 9);
}

int
main(int argc, char **argv)
{
    int status;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    g_test_add_func("/gateway-regions/update", test_update);
    g_test_add_func("/gateway-regions/check", test_check);
    g_test_add_func("/gateway-regions/narrowing", test_narrowing);
    g_test_add_func("/gateway-regions/away", test_away);
    status = g_test_run();
    rcu_unregister_thread();
    return status;
}
