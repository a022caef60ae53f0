/* Tests of the time that a configuration of the size to design for takes. */
#include <glib.h>
#include <time.h>

#include "base/clock.h"
#include "catalog/catalog_table.h"

/* The users' size: a configuration is in force within 6 s; a host gets 300
 * requests a second and spends 1.3% of a core on control. */
#define ROUTES 33000
#define IN_FORCE_MS 6000
#define REQUESTS (300 * 60)
#define LOOKUPS_MS (60 * 1000 * 13 / 1000)

/* Processor time of this thread. */
static ClockMs
cpu_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (ClockMs)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
add_route(CatalogTable *table, int number, int hosts)
{
    CatalogRoute route = {.name = g_strdup_printf("r%d", number),
                          .host = g_strdup_printf("h%d", number % hosts),
                          .prefix = g_strdup_printf("/p%d/", number)};

    route.destinations[route.destination_count++] =
        (CatalogDestination){.service = g_strdup("s"), .weight = 1};
    CatalogTable_AddRoute(table, &route);
}

/* Guards against a host that is busy for seconds with a configuration that it
 * has read, because its time grows with the square of the routes of a host
 * name, and against a search through all of them for each request. */
static void
test_many_routes(void)
{
    static const struct {
        const char *what;
        int hosts;
    } cases[] = {{"one host name", 1},
                 {"some host names", 100},
                 {"a host name for each route", ROUTES}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CatalogTable *table =
            CatalogTable_Create(&(CatalogTable_desc){.version = 1});
        ClockMs started = cpu_ms();

        g_test_message("%s", cases[i].what);
        for (int n = 0; n < ROUTES; n++) {
            add_route(table, n, cases[i].hosts);
            g_assert_cmpint(cpu_ms() - started, <, IN_FORCE_MS);
        }
        started = cpu_ms();
        for (int n = 0; n < REQUESTS; n++) {
            int number = (int)((int64_t)n * ROUTES / REQUESTS);
            char *host = g_strdup_printf("h%d", number % cases[i].hosts);
            char *path = g_strdup_printf("/p%d/a/b/c?d=e", number);
            const CatalogRoute *route =
                CatalogTable_FindRoute(table, host, path);

            g_assert_nonnull(route);
            g_assert_true(g_str_has_prefix(path, route->prefix));
            g_free(path);
            g_free(host);
        }
        g_assert_cmpint(cpu_ms() - started, <, LOOKUPS_MS);
        CatalogTable_Unref(table);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/catalog/many-routes", test_many_routes);
    return g_test_run();
}
