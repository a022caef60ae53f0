/* Tests of a daemon that cannot get a newer configuration, of which it knows
 * or could know. */
#include "site.h"

/* Within this time after a change is acknowledged it is in force, and no
 * request may be handled by the version before. */
#define APPLY_MS 3000

#define KEYS "[\"" SITE_KEY "\"]"
#define RATE 100000
#define POLL_MS 50

/* Some 330 kB. */
#define MORE_ROUTES 1400

/* Waits until the host knows the path in its version of the configuration. */
static void
await_route(Site *site, int host, const char *path, ClockMs end)
{
    while (Site_Request(site, host, "GET", path, NULL).status != 200) {
        g_assert_cmpint(Clock_Now(), <, end);
        g_usleep(POLL_MS * 1000);
    }
}

/* Guards against requests that are handled by a version that the host knows to
 * be outdated, because it forgets the newer one when its transfer breaks off
 * although the store is well. */
static void
test_broken_off(void)
{
    static const struct {
        const char *what;
        int routes;
        int end_after;    /* bytes of a connection to the store */
        gboolean arrives; /* the change, nevertheless */
    } cases[] = {
        {"a small change", 1, 100000, TRUE},
        {"a large change that breaks off again and again", MORE_ROUTES, 100000,
         FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Site *site = Site_Create();
        ClockMs acknowledged;
        ClockMs sent = 0;

        g_test_message("%s", cases[i].what);
        Site_ConfigureRoute(site, 1, KEYS, RATE, "/probe/");
        Site_AddHost(site, &(SiteHost_desc){0});
        Site_AwaitReady(site);
        Site_BreakOffStore(site, 0, cases[i].end_after);
        Site_ConfigureSize(site, 2, KEYS, RATE, NULL, cases[i].routes);
        acknowledged = Clock_Now();
        while (sent < acknowledged + 3 * APPLY_MS) {
            SiteReply reply;

            sent = Clock_Now();
            reply = Site_Request(site, 0, "GET", "/probe/1", NULL);
            if (sent > acknowledged + APPLY_MS) {
                g_assert_cmpint(reply.status, ==,
                                cases[i].arrives ? 404 : 503);
            }
            g_usleep(POLL_MS * 1000);
        }
        Site_BreakOffStore(site, 0, 0);
        await_route(site, 0, "/more-0/1", Clock_Now() + APPLY_MS);
        Site_Destroy(site);
    }
}

/* Guards against requests that are handled for any time by an outdated version
 * because the host alone cannot read the newer one: the answers of other hosts
 * name it. A host that hears of none goes on. */
static void
test_heard(void)
{
    static const struct {
        const char *what;
        gboolean is_changed;
        gboolean is_other_cut; /* the other host has lost the store, too */
        int status;            /* in the end */
    } cases[] = {
        {"no change", FALSE, FALSE, 200},
        {"a change that nobody has read", TRUE, TRUE, 200},
        {"a change that the other host has in force", TRUE, FALSE, 503},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Site *site = Site_Create();
        ClockMs acknowledged;

        g_test_message("%s", cases[i].what);
        Site_ConfigureRoute(site, 1, KEYS, RATE, "/probe/");
        /* In different data centres, so that no host reads from the other. */
        Site_AddHost(site, &(SiteHost_desc){.no_server = TRUE});
        Site_AddHost(site, &(SiteHost_desc){.data_centre = "n2"});
        await_route(site, 0, "/probe/1", Clock_Now() + 4 * APPLY_MS);
        await_route(site, 1, "/probe/1", Clock_Now() + 4 * APPLY_MS);
        Site_CutStore(site, 0, TRUE);
        Site_CutStore(site, 1, cases[i].is_other_cut);
        if (cases[i].is_changed) {
            Site_ConfigureSize(site, 2, KEYS, RATE, NULL, 1);
        }
        acknowledged = Clock_Now();
        while (Clock_Now() < acknowledged + 2 * APPLY_MS) {
            ClockMs sent = Clock_Now();
            int status = Site_Request(site, 0, "GET", "/probe/1", NULL).status;

            if (sent > acknowledged + APPLY_MS) {
                g_assert_cmpint(status, ==, cases[i].status);
            }
            g_usleep(POLL_MS * 1000);
        }
        Site_Destroy(site);
    }
}

/* Guards against a host that has lost the store and stays outdated although
 * its neighbours have the newer version; the one that ranks first, too. */
static void
test_cut_off(void)
{
    enum { HOSTS = 3 };
    Site *site = Site_Create();
    unsigned version = 1;

    Site_Configure(site, version, KEYS, RATE);
    for (int host = 0; host < HOSTS; host++) {
        Site_AddHost(site, &(SiteHost_desc){0});
    }
    Site_AwaitReady(site);
    for (int cut = 0; cut < HOSTS; cut++) {
        char *path = g_strdup_printf("/more-%u/1", version);

        g_test_message("host %d", cut);
        Site_CutStore(site, cut, TRUE);
        version++;
        /* Each version has one route more. */
        Site_ConfigureSize(site, version, KEYS, RATE, NULL, (int)version);
        for (int host = 0; host < HOSTS; host++) {
            await_route(site, host, path, Clock_Now() + APPLY_MS);
        }
        Site_CutStore(site, cut, FALSE);
        Site_AwaitReady(site);
        g_free(path);
    }
    Site_Destroy(site);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/outdated/broken-off", test_broken_off);
    g_test_add_func("/outdated/heard", test_heard);
    g_test_add_func("/outdated/cut-off", test_cut_off);
    return g_test_run();
}
