/* Tests of the configuration tables and of the age of the configuration. */
#include <glib.h>
#include <urcu.h>

#include "catalog/catalog.h"

static void
add_route(CatalogTable *table, const char *host, const char *prefix,
          const char *service, uint32_t weight, const char *other)
{
    CatalogRoute route = {.name = g_strdup(prefix),
                          .host = g_strdup(host),
                          .prefix = g_strdup(prefix),
                          .attempts = 2};

    route.destinations[route.destination_count++] =
        (CatalogDestination){.service = g_strdup(service), .weight = weight};
    if (other != NULL) {
        route.destinations[route.destination_count++] = (CatalogDestination){
            .service = g_strdup(other), .weight = 100 - weight};
    }
    CatalogTable_AddRoute(table, &route);
}

static CatalogTable *
make_table(uint64_t version)
{
    CatalogTable *table =
        CatalogTable_Create(&(CatalogTable_desc){.version = version});
    CatalogTeam team = {.name = g_strdup("crews"), .rate_per_s = 5};
    const CatalogTeam *added = CatalogTable_AddTeam(table, &team);

    CatalogTable_AddKey(table, "k1", added);
    CatalogTable_AddKey(table, "k2", added);
    add_route(table, "a.example", "/x/", "one", 1, NULL);
    add_route(table, "a.example", "/x/y/", "two", 1, NULL);
    add_route(table, "b.example", "/", "three", 90, "four");
    return table;
}

/* Guards against a request that is routed by another host or by a shorter
 * prefix than the longest match. */
static void
test_routes(void)
{
    static const struct {
        const char *host;
        const char *path;
        const char *prefix; /* NULL: no route */
    } cases[] = {
        {"a.example", "/x/1", "/x/"}, {"a.example", "/x/y/1", "/x/y/"},
        {"a.example", "/x/y", "/x/"}, {"a.example", "/xy/1", NULL},
        {"a.example", "/", NULL},     {"b.example", "/x/1", "/"},
        {"c.example", "/x/1", NULL},
    };
    CatalogTable *table = make_table(1);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const CatalogRoute *route =
            CatalogTable_FindRoute(table, cases[i].host, cases[i].path);

        g_assert_cmpstr(route ? route->prefix : NULL, ==, cases[i].prefix);
    }
    g_assert_cmpstr(CatalogTable_FindTeamByKey(table, "k2")->name, ==,
                    "crews");
    g_assert_null(CatalogTable_FindTeamByKey(table, "k3"));
    g_assert_nonnull(CatalogTable_FindTeam(table, Rng_HashString("crews")));
    CatalogTable_Unref(table);
}

/* Guards against a split that does not follow the weights. */
static void
test_split(void)
{
    CatalogTable *table = make_table(1);
    const CatalogRoute *route =
        CatalogTable_FindRoute(table, "b.example", "/");
    Rng rng;
    int first = 0;

    Rng_Seed(&rng, 1);
    for (int i = 0; i < 10000; i++) {
        first += CatalogRoute_ChooseDestination(route, &rng) ==
                 &route->destinations[0];
    }
    g_assert_cmpint(first, >, 8800);
    g_assert_cmpint(first, <, 9200);
    CatalogTable_Unref(table);
}

/* Guards against a late update that restores an older version. */
static void
test_versions(void)
{
    Catalog *catalog = Catalog_Create();
    CatalogTable *acquired;

    g_assert_null(Catalog_Acquire(catalog));
    g_assert_true(Catalog_Publish(catalog, make_table(8), 1));
    acquired = Catalog_Acquire(catalog);
    g_assert_false(Catalog_Publish(catalog, make_table(7), 1));
    g_assert_true(Catalog_Publish(catalog, make_table(9), 1));
    g_assert_cmpuint(CatalogTable_Version(acquired), ==, 8);
    CatalogTable_Unref(acquired);
    acquired = Catalog_Acquire(catalog);
    g_assert_cmpuint(CatalogTable_Version(acquired), ==, 9);
    CatalogTable_Unref(acquired);
    Catalog_Destroy(catalog);
}

/* Guards against an age that is reported before the first confirmation, and
 * against an older confirmation that replaces a newer one. */
static void
test_age(void)
{
    Catalog *catalog = Catalog_Create();

    g_assert_cmpint(Catalog_Age(catalog, 100), ==, CLOCK_NEVER);
    Catalog_Confirm(catalog, 1000, 1);
    Catalog_Confirm(catalog, 900, 1);
    g_assert_cmpint(Catalog_Age(catalog, 1500), ==, 500);
    /* The age starts at 0 even if the uptime is below the maximum age. */
    g_assert_cmpint(Catalog_Age(catalog, 1000), ==, 0);
    Catalog_Destroy(catalog);
}

/* Guards against a proof of freshness from a store that was restored and does
 * not have the version in force: a key withdrawn by a version that was lost
 * before it was read would live on. */
static void
test_restored(void)
{
    static const struct {
        const char *what;
        uint64_t version; /* read after the restoration; 0: none */
        ClockMs age;
    } cases[] = {
        {"older", 8, 1000},
        {"not read", 0, 1000},
        {"the same", 9, 0},
        {"newer", 10, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Catalog *catalog = Catalog_Create();

        g_test_message("%s", cases[i].what);
        g_assert_true(Catalog_Publish(catalog, make_table(9), 1));
        Catalog_Confirm(catalog, 1000, 1);
        if (cases[i].version > 0) {
            g_assert_cmpint(
                Catalog_Publish(catalog, make_table(cases[i].version), 2), ==,
                cases[i].version >= 9);
        }
        Catalog_Confirm(catalog, 2000, 2);
        g_assert_cmpint(Catalog_Age(catalog, 2000), ==, cases[i].age);
        /* The operator writes the version again. */
        g_assert_true(Catalog_Publish(catalog, make_table(10), 2));
        Catalog_Confirm(catalog, 3000, 2);
        g_assert_cmpint(Catalog_Age(catalog, 3000), ==, 0);
        Catalog_Destroy(catalog);
    }
}

/* Guards against a proof of freshness while the store holds a configuration
 * that cannot be used and may have withdrawn a key. */
static void
test_rejected(void)
{
    Catalog *catalog = Catalog_Create();

    Catalog_Reject(catalog);
    Catalog_Confirm(catalog, 500, 1);
    g_assert_cmpint(Catalog_Age(catalog, 1000), ==, CLOCK_NEVER);
    g_assert_true(Catalog_Publish(catalog, make_table(8), 1));
    Catalog_Confirm(catalog, 1000, 1);
    g_assert_cmpint(Catalog_Age(catalog, 1000), ==, 0);
    Catalog_Reject(catalog);
    Catalog_Confirm(catalog, 2000, 1);
    g_assert_cmpint(Catalog_Age(catalog, 2000), ==, 1000);
    g_assert_true(Catalog_Publish(catalog, make_table(9), 1));
    Catalog_Confirm(catalog, 3000, 1);
    g_assert_cmpint(Catalog_Age(catalog, 3000), ==, 0);
    Catalog_Destroy(catalog);
}

/* Guards against a daemon that started after the store was restored and takes
 * an older version for the newest although another host has had a newer one.
 */
static void
test_required(void)
{
    Catalog *catalog = Catalog_Create();

    g_assert_cmpuint(Catalog_Version(catalog), ==, 0);
    g_assert_true(Catalog_Publish(catalog, make_table(8), 2));
    Catalog_Require(catalog, 9);
    Catalog_Require(catalog, 7);
    Catalog_Confirm(catalog, 1000, 2);
    g_assert_cmpuint(Catalog_Version(catalog), ==, 8);
    g_assert_cmpint(Catalog_Age(catalog, 1000), ==, CLOCK_NEVER);
    g_assert_true(Catalog_Publish(catalog, make_table(9), 2));
    g_assert_cmpint(Catalog_Age(catalog, 1000), ==, 0);
    Catalog_Destroy(catalog);
}

/* Guards against requests that are handled by a configuration although a newer
 * one is known for longer than a change may take, and against refusing them
 * while none is known, or still after it is in force. */
static void
test_announced(void)
{
    static const struct {
        const char *what;
        ClockMs announced; /* 0: no newer one is known; -1: its transfer has
                              failed */
        uint64_t heard;    /* version of another host, at 1500 ms */
        ClockMs confirmed; /* after it; 0: not */
        gboolean published;
        ClockMs now;
        gboolean outdated;
    } cases[] = {
        {"none known, and no proof for long", 0, 0, 0, FALSE, 99000, FALSE},
        {"known, within the time", 1500, 0, 0, FALSE, 4000, FALSE},
        {"known, at the end of the time", 3900, 0, 0, FALSE, 4001, TRUE},
        {"in force", 1500, 0, 0, TRUE, 4001, FALSE},
        {"no longer arriving", -1, 0, 0, FALSE, 9000, FALSE},
        {"confirmed by an older proof", 1500, 0, 1200, FALSE, 4201, TRUE},
        {"confirmed by a newer proof", 1500, 0, 1600, FALSE, 9000, FALSE},
        {"heard of the same", 0, 8, 0, FALSE, 9000, FALSE},
        {"heard of an older one", 0, 7, 0, FALSE, 9000, FALSE},
        {"heard of a newer one, within the time", 0, 9, 0, FALSE, 4000, FALSE},
        {"heard of a newer one", 0, 9, 0, FALSE, 4001, TRUE},
        {"heard of a newer one, not arriving", -1, 9, 0, FALSE, 4001, TRUE},
        {"heard of, and in force", 0, 9, 0, TRUE, 4001, FALSE},
        {"heard of one after that in force", 0, 10, 0, TRUE, 4001, TRUE},
        {"heard of, older proof", 0, 9, 1200, FALSE, 4201, TRUE},
        {"heard of, newer proof", 0, 9, 1600, FALSE, 9000, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Catalog *catalog = Catalog_Create();

        g_test_message("%s", cases[i].what);
        g_assert_true(Catalog_Publish(catalog, make_table(8), 1));
        Catalog_Confirm(catalog, 1000, 1);
        if (cases[i].announced != 0) {
            Catalog_Announce(catalog, ABS(cases[i].announced));
        }
        if (cases[i].announced < 0) {
            Catalog_Announce(catalog, 0);
        }
        (void)Catalog_Hear(catalog, cases[i].heard, 1500);
        if (cases[i].published) {
            g_assert_true(Catalog_Publish(catalog, make_table(9), 1));
        }
        if (cases[i].confirmed > 0) {
            Catalog_Confirm(catalog, cases[i].confirmed, 1);
        }
        g_assert_cmpint(Catalog_IsOutdated(catalog, cases[i].now, 3000), ==,
                        cases[i].outdated);
        Catalog_Destroy(catalog);
    }
}

int
main(int argc, char **argv)
{
    int result;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    g_test_add_func("/catalog/routes", test_routes);
    g_test_add_func("/catalog/split", test_split);
    g_test_add_func("/catalog/versions", test_versions);
    g_test_add_func("/catalog/age", test_age);
    g_test_add_func("/catalog/restored", test_restored);
    g_test_add_func("/catalog/required", test_required);
    g_test_add_func("/catalog/rejected", test_rejected);
    g_test_add_func("/catalog/announced", test_announced);
    result = g_test_run();
    rcu_unregister_thread();
    return result;
}
