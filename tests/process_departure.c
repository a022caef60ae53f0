/* Tests of backend servers that leave during an outage of the store, beside
 * daemons that end before the store is back. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "site.h"

#define KEYS "[\"" SITE_KEY "\"]"
#define REQUESTS 30

/* The wait of a daemon that starts for the store, and for its neighbours. */
#define START_MS 6000

typedef enum Outage {
    OUTAGE_SILENT,
    OUTAGE_REFUSED,
    OUTAGE_CUT /* of the host whose backend server leaves, alone */
} Outage;

typedef struct Case {
    const char *name;
    Outage outage;
    gboolean drains;  /* else deregisters */
    int signal;       /* ends the daemon */
    ClockMs leave_ms; /* after the begin of the outage */
    ClockMs end_ms;   /* of the daemon, after the departure */
    ClockMs down_ms;
    ClockMs back_ms; /* of the store, after the start of the daemon */
    int early;       /* late announcements before the store is back */
} Case;

static void
set_outage(Site *site, Outage outage, gboolean is_away)
{
    if (outage == OUTAGE_CUT) {
        Site_CutStore(site, 0, is_away);
        return;
    }
    ObjectServer_SetFault(Site_Store(site), !is_away ? OBJECT_FAULT_NONE
                                            : outage == OUTAGE_SILENT
                                                ? OBJECT_FAULT_SILENT
                                                : OBJECT_FAULT_REFUSE);
}

static Site *
make_site(int hosts)
{
    Site *site = Site_Create();

    Site_Configure(site, 1, KEYS, 0);
    for (int i = 0; i < hosts; i++) {
        (void)Site_AddHost(site, &(SiteHost_desc){0});
    }
    Site_AwaitReady(site);
    g_usleep(1000000); /* the hosts know of each other */
    return site;
}

static void
leave(Site *site, gboolean drains)
{
    Site_Silence(site, 0);
    if (drains) {
        Site_Drain(site, 0);
    }
    else {
        Site_Deregister(site, 0);
    }
}

static void
await_ready(Site *site, int host)
{
    for (ClockMs end = Clock_Now() + START_MS;
         !Site_IsReady(site, host) && Clock_Now() < end;) {
        g_usleep(20000);
    }
}

/* Returns the number of requests that the backend server of host 0 ran. */
static unsigned
send_requests(Site *site, int hosts)
{
    unsigned before = Site_Runs(site, 0);

    for (int i = 0; i < REQUESTS; i++) {
        SiteReply reply =
            Site_Request(site, i % hosts, "GET", "/open/1", SITE_KEY);

        g_assert_cmpint(reply.result, ==, RESULT_OK);
        g_assert_cmpint(reply.status, ==, 200);
    }
    return Site_Runs(site, 0) - before;
}

static unsigned
play(const Case *item)
{
    enum { HOSTS = 3, APART_US = 300000 };
    Site *site = make_site(HOSTS);
    unsigned runs = 0;

    set_outage(site, item->outage, TRUE);
    g_usleep((gulong)item->leave_ms * 1000);
    leave(site, item->drains);
    g_usleep((gulong)item->end_ms * 1000);
    Site_Signal(site, 0, item->signal);
    g_assert_true(Site_AwaitExit(site, 0, START_MS));
    g_usleep((gulong)item->down_ms * 1000);
    Site_Restart(site, 0);
    g_usleep((gulong)item->back_ms * 1000);
    for (int i = 0; i < item->early; i++) {
        Site_AnnounceLate(site, 0);
        g_usleep(APART_US);
    }
    if (item->early > 0) {
        /* Host 0 itself knows no route yet. */
        unsigned before = Site_Runs(site, 0);

        for (int i = 0; i < REQUESTS; i++) {
            (void)Site_Request(site, 1 + i % (HOSTS - 1), "GET", "/open/1",
                               SITE_KEY);
        }
        runs += Site_Runs(site, 0) - before;
    }
    set_outage(site, item->outage, FALSE);
    await_ready(site, 0);
    Site_AnnounceLate(site, 0);
    g_usleep(APART_US);
    runs += send_requests(site, HOSTS);
    g_test_message("%s: %u requests at the backend server that has left",
                   item->name, runs);
    Site_Destroy(site);
    return runs;
}

/* Guards against requests to a backend server whose departure was acknowledged
 * while the store was away: its daemon ended before it could write the record,
 * and the next one takes a late announcement. */
static void
test_unrecorded(void)
{
    static const Case cases[] = {
        {"killed", OUTAGE_SILENT, FALSE, SIGKILL, 400, 200, 500, 300, 0},
        {"killed, at once", OUTAGE_SILENT, FALSE, SIGKILL, 50, 0, 100, 0, 0},
        {"drains, killed", OUTAGE_REFUSED, TRUE, SIGKILL, 400, 200, 500, 300,
         0},
        {"stopped", OUTAGE_SILENT, FALSE, SIGTERM, 400, 200, 500, 300, 0},
        {"drains, stopped", OUTAGE_SILENT, TRUE, SIGTERM, 400, 0, 300, 0, 0},
        {"cut off, killed", OUTAGE_CUT, FALSE, SIGKILL, 400, 200, 500, 300, 0},
        {"cut off, drains, stopped", OUTAGE_CUT, TRUE, SIGTERM, 400, 200, 500,
         300, 0},
        {"long outage", OUTAGE_SILENT, FALSE, SIGKILL, 400, 200, 500, 4000, 0},
        {"long outage, announcements within", OUTAGE_REFUSED, FALSE, SIGKILL,
         400, 200, 500, 2500, 3},
    };
    unsigned runs = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        runs += play(&cases[i]);
    }
    g_assert_cmpuint(runs, ==, 0);
}

/* Guards against a backend server that stays unused, because its daemon
 * started during an outage or beside neighbours that keep the departure of the
 * instance before it. */
static void
test_next_instance(void)
{
    enum { HOSTS = 3, WAIT_MS = 5000 };
    Site *site = make_site(HOSTS);
    ClockMs end;

    set_outage(site, OUTAGE_SILENT, TRUE);
    leave(site, FALSE);
    Site_Signal(site, 0, SIGKILL);
    g_assert_true(Site_AwaitExit(site, 0, 1000));
    Site_Restart(site, 0);
    g_usleep(300000);
    set_outage(site, OUTAGE_SILENT, FALSE);
    Site_Rejoin(site, 0);
    end = Clock_Now() + WAIT_MS;
    while (!Site_HasEntry(site, 0) && Clock_Now() < end) {
        g_usleep(20000);
    }
    g_assert_true(Site_HasEntry(site, 0));
    await_ready(site, 0);
    g_usleep(2000000); /* the neighbours return their copies */
    g_assert_cmpuint(send_requests(site, HOSTS), >, 0);
    Site_Destroy(site);
}

/* Guards against a departure that is forgotten because the hosts that keep it
 * were replaced one after the other within the outage. */
static void
test_keepers_replaced(void)
{
    enum { HOSTS = 3, APART_US = 3500000 };
    Site *site = make_site(HOSTS);

    set_outage(site, OUTAGE_SILENT, TRUE);
    leave(site, FALSE);
    g_assert_true(Site_HasAcknowledged(site, 0));
    for (int host = 1; host < HOSTS; host++) {
        Site_Signal(site, host, SIGKILL);
        g_assert_true(Site_AwaitExit(site, host, 1000));
        Site_Restart(site, host);
        g_usleep(APART_US);
    }
    Site_Signal(site, 0, SIGKILL);
    g_assert_true(Site_AwaitExit(site, 0, 1000));
    Site_Restart(site, 0);
    set_outage(site, OUTAGE_SILENT, FALSE);
    for (int host = 0; host < HOSTS; host++) {
        await_ready(site, host);
    }
    Site_AnnounceLate(site, 0);
    g_usleep(2000000); /* the other servers have announced themselves */
    g_assert_cmpuint(send_requests(site, HOSTS), ==, 0);
    Site_Destroy(site);
}

/* Guards against an acknowledgement that binds nobody: no store, and no
 * neighbour to keep the record. */
static void
test_nobody_keeps(void)
{
    Site *site = make_site(1);
    char *log;

    set_outage(site, OUTAGE_SILENT, TRUE);
    leave(site, FALSE);
    log = Site_ReadLog(site, 0);
    g_assert_nonnull(strstr(log, "DEPARTURE_NOT_RECORDED"));
    g_free(log);
    g_assert_false(Site_HasAcknowledged(site, 0));
    set_outage(site, OUTAGE_SILENT, FALSE);
    for (int i = 0; i < 100 && !Site_HasAcknowledged(site, 0); i++) {
        leave(site, FALSE);
        g_usleep(50000);
    }
    g_assert_true(Site_HasAcknowledged(site, 0));
    Site_Destroy(site);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/leaving/unrecorded", test_unrecorded);
    g_test_add_func("/leaving/next-instance", test_next_instance);
    g_test_add_func("/leaving/keepers-replaced", test_keepers_replaced);
    g_test_add_func("/leaving/nobody-keeps", test_nobody_keeps);
    return g_test_run();
}
