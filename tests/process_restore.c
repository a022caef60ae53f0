/* Tests of daemons in mode "platform" as real processes, while the platform's
 * store is restored from an older copy. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "site.h"

/* Maximum time until a change of the configuration is in force. */
#define APPLY_MS 2500

/* Maximum time until a host writes its entry again. */
#define REWRITE_MS 4000

/* Maximum time until a withdrawn key is refused (setting revocation_ms of the
 * daemons). */
#define REVOCATION_MS 5000

#define AWAY_MS 300
#define ENTRY_KIND "backend-servers"
#define DEPARTURE_KIND "departures"

/* Maximum time until a process that was started is ready. */
#define START_MS 5000

static Site *
make_site(int hosts)
{
    static const SiteHost_desc place = {.data_centre = "n1"};
    Site *site = Site_Create();

    Site_Configure(site, 1, "[\"key-1\"]", 0);
    for (int i = 0; i < hosts; i++) {
        Site_AddHost(site, &place);
    }
    Site_AwaitReady(site);
    return site;
}

/* Writes a version whose only key is "key-<version>". */
static void
configure(Site *site, unsigned version)
{
    char *keys = g_strdup_printf("[\"key-%u\"]", version);

    Site_Configure(site, version, keys, 0);
    g_free(keys);
}

static int
status_with_key(Site *site, int host, unsigned version)
{
    char *key = g_strdup_printf("key-%u", version);
    int status = Site_Request(site, host, "GET", "/read/1", key).status;

    g_free(key);
    return status;
}

/* Waits until the key of the version is accepted on the hosts and that of the
 * version before is refused. */
static void
expect_version(Site *site, int hosts, unsigned version)
{
    ClockMs end = Clock_Now() + APPLY_MS;

    for (int i = 0; i < hosts; i++) {
        while (status_with_key(site, i, version) != 200 && Clock_Now() < end) {
            g_usleep(20000);
        }
        g_assert_cmpint(status_with_key(site, i, version), ==, 200);
        g_assert_cmpint(status_with_key(site, i, version - 1), ==, 401);
    }
}

/* Starts an outage of the store, which then holds the copy. */
static void
begin_restore(Site *site)
{
    ObjectServer_SetFault(Site_Store(site), OBJECT_FAULT_REFUSE);
    ObjectServer_Restore(Site_Store(site));
    g_usleep(AWAY_MS * 1000);
}

static void
end_restore(Site *site)
{
    ObjectServer_SetFault(Site_Store(site), OBJECT_FAULT_NONE);
}

/* Guards against a change after the restoration that hosts miss, because its
 * revision had been given out before. */
static void
test_changes(void)
{
    static const struct {
        const char *what;
        int lost;      /* versions written after the copy */
        int rewritten; /* versions written before the store is back */
        int times;     /* restorations */
    } cases[] = {
        {"behind the revision that was watched", 2, 1, 1},
        {"at the revision that was watched", 2, 2, 1},
        {"beyond the revision that was watched", 2, 4, 1},
        {"twice", 2, 1, 2},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Site *site = make_site(4);
        unsigned version = 1;

        g_test_message("%s", cases[i].what);
        ObjectServer_Save(Site_Store(site));
        for (int n = 0; n < cases[i].lost; n++) {
            configure(site, ++version);
            expect_version(site, 4, version);
        }
        for (int time = 0; time < cases[i].times; time++) {
            begin_restore(site);
            for (int n = 0; n < cases[i].rewritten; n++) {
                configure(site, ++version);
            }
            end_restore(site);
            expect_version(site, 4, version);
            for (int n = 0; n < 3; n++) {
                configure(site, ++version);
                expect_version(site, 4, version);
            }
        }
        Site_Destroy(site);
    }
}

/* Guards against hosts that miss changes, or go back to an older version,
 * because the neighbour that they read was cut off while the store was
 * restored. Each host is cut off in turn, since any may be that neighbour. */
static void
test_cut_neighbour(void)
{
    for (int cut = 0; cut < 3; cut++) {
        Site *site = make_site(3);
        unsigned version = 1;

        ObjectServer_Save(Site_Store(site));
        for (int n = 0; n < 2; n++) {
            configure(site, ++version);
            expect_version(site, 3, version);
        }
        Site_CutStore(site, cut, TRUE);
        ObjectServer_Restore(Site_Store(site));
        configure(site, ++version);
        g_usleep(APPLY_MS * 1000);
        for (int i = 0; i < 3; i++) {
            if (i != cut) {
                g_assert_cmpint(status_with_key(site, i, version), ==, 200);
            }
        }
        Site_CutStore(site, cut, FALSE);
        expect_version(site, 3, version);
        configure(site, ++version);
        expect_version(site, 3, version);
        Site_Destroy(site);
    }
}

/* Guards against a withdrawn key that is accepted again, and against a proof
 * of freshness for the version in force, while the restored store holds an
 * older version. */
static void
test_older_version(void)
{
    Site *site = make_site(3);
    ClockMs end;

    ObjectServer_Save(Site_Store(site));
    configure(site, 2);
    expect_version(site, 3, 2);
    begin_restore(site);
    end_restore(site);
    end = Clock_Now() + REVOCATION_MS + 1000;
    while (Clock_Now() < end) {
        for (int i = 0; i < 3; i++) {
            g_assert_cmpint(status_with_key(site, i, 1), !=, 200);
        }
        g_usleep(50000);
    }
    for (int i = 0; i < 3; i++) {
        g_assert_cmpint(status_with_key(site, i, 2), ==, 503);
        g_assert_cmpint(Site_Request(site, i, "GET", "/open/1", NULL).status,
                        ==, 200);
    }
    configure(site, 3);
    expect_version(site, 3, 3);
    Site_Destroy(site);
}

/* Guards against a daemon that starts while the restored store holds an older
 * version and accepts a withdrawn key, or denies what a later version allows:
 * its neighbours know of that version. */
static void
test_start(void)
{
    Site *site = make_site(3);
    ClockMs end;

    ObjectServer_Save(Site_Store(site));
    configure(site, 2);
    expect_version(site, 3, 2);
    begin_restore(site);
    end_restore(site);
    Site_Signal(site, 2, SIGKILL);
    g_assert_true(Site_AwaitExit(site, 2, 1000));
    Site_Restart(site, 2);
    end = Clock_Now() + REVOCATION_MS;
    while (Clock_Now() < end) {
        g_assert_cmpint(status_with_key(site, 2, 1), !=, 200);
        g_assert_cmpint(status_with_key(site, 2, 2), !=, 401);
        g_assert_cmpint(
            Site_Request(site, 2, "GET", "/none/1", "key-2").status, !=, 404);
        g_usleep(20000);
    }
    g_assert_cmpint(Site_Request(site, 2, "GET", "/open/1", NULL).status, ==,
                    200);
    configure(site, 3);
    expect_version(site, 3, 3);
    Site_Destroy(site);
}

/* Guards against a daemon that starts while its neighbours do not answer and
 * that goes on accepting a withdrawn key when they do. */
static void
test_start_unanswered(void)
{
    Site *site = make_site(3);
    ClockMs end;

    ObjectServer_Save(Site_Store(site));
    configure(site, 2);
    expect_version(site, 3, 2);
    begin_restore(site);
    end_restore(site);
    Site_Signal(site, 0, SIGSTOP);
    Site_Signal(site, 1, SIGSTOP);
    Site_Signal(site, 2, SIGKILL);
    g_assert_true(Site_AwaitExit(site, 2, 1000));
    Site_Restart(site, 2);
    for (end = Clock_Now() + START_MS;
         !Site_IsReady(site, 2) && Clock_Now() < end;) {
        g_usleep(20000);
    }
    Site_Signal(site, 0, SIGCONT);
    Site_Signal(site, 1, SIGCONT);
    for (end = Clock_Now() + REVOCATION_MS;
         status_with_key(site, 2, 1) == 200 && Clock_Now() < end;) {
        g_usleep(20000);
    }
    for (int n = 0; n < 20; n++) {
        g_assert_cmpint(status_with_key(site, 2, 1), !=, 200);
        g_assert_cmpint(status_with_key(site, 2, 2), !=, 401);
        g_usleep(20000);
    }
    configure(site, 3);
    expect_version(site, 3, 3);
    Site_Destroy(site);
}

static gboolean
has_object(Site *site, const char *kind, const char *name)
{
    json_t *value = ObjectServer_Read(Site_Store(site), kind, name);
    gboolean found = value != NULL;

    json_decref(value);
    return found;
}

static gboolean
has_entry(Site *site, const char *name)
{
    return has_object(site, ENTRY_KIND, name);
}

static void
expect_entry(Site *site, const char *name, gboolean found)
{
    ClockMs end = Clock_Now() + REWRITE_MS;

    while (has_entry(site, name) != found && Clock_Now() < end) {
        g_usleep(20000);
    }
    g_assert_cmpint(has_entry(site, name), ==, found);
}

/* Guards against a host that stays unknown because its entry was lost, and
 * against refusing its requests until it has written the entry again, here
 * delayed because the host is cut off from the store. */
static void
test_lost_entry(void)
{
    static const SiteHost_desc front = {.service = "front"};
    static const SiteHost_desc desk = {.service = "desk"};
    Site *site = Site_Create();
    ClockMs end;

    Site_Configure(site, 1, "[\"key-1\"]", 0);
    Site_AddHost(site, &front);
    Site_AddHost(site, &front);
    Site_AwaitReady(site);
    ObjectServer_Save(Site_Store(site));
    Site_AddHost(site, &desk);
    Site_AwaitReady(site);
    begin_restore(site);
    Site_CutStore(site, 2, TRUE);
    end_restore(site);
    end = Clock_Now() + REWRITE_MS;
    while (Clock_Now() < end) {
        if (Clock_Now() > end - REWRITE_MS / 2) {
            Site_CutStore(site, 2, FALSE);
        }
        for (int i = 0; i < 2; i++) {
            g_assert_cmpint(
                Site_Request(site, i, "GET", "/open/1", NULL).status, ==, 200);
        }
        g_usleep(20000);
    }
    expect_entry(site, "host-2", TRUE);
    Site_Destroy(site);
}

/* Guards against the entry of a backend server that has left, which the copy
 * still has: its owner removes it again. */
static void
test_left_entry(void)
{
    Site *site = make_site(3);

    ObjectServer_Save(Site_Store(site));
    Site_Drain(site, 1);
    expect_entry(site, "host-1", FALSE);
    begin_restore(site);
    g_assert_true(has_entry(site, "host-1"));
    end_restore(site);
    expect_entry(site, "host-1", FALSE);
    Site_Destroy(site);
}

/* Guards against requests to a backend server that has left: the record of it
 * was lost with the restoration, so the next process on the host takes an
 * announcement that was sent before. */
static void
test_lost_departure(void)
{
    static const gboolean drains[] = {FALSE, TRUE};

    for (size_t i = 0; i < G_N_ELEMENTS(drains); i++) {
        Site *site = make_site(2);
        unsigned before;
        ClockMs end;

        g_test_message("drains %d", drains[i]);
        ObjectServer_Save(Site_Store(site));
        Site_Silence(site, 0);
        if (drains[i]) {
            Site_Drain(site, 0);
        }
        else {
            Site_Deregister(site, 0);
        }
        begin_restore(site);
        end_restore(site);
        end = Clock_Now() + REWRITE_MS;
        while (!has_object(site, DEPARTURE_KIND, "host-0") &&
               Clock_Now() < end) {
            g_usleep(20000);
        }
        Site_Signal(site, 0, SIGKILL);
        g_assert_true(Site_AwaitExit(site, 0, 1000));
        before = Site_Runs(site, 0);
        Site_Restart(site, 0);
        for (end = Clock_Now() + START_MS;
             !Site_IsReady(site, 0) && Clock_Now() < end;) {
            g_usleep(20000);
        }
        Site_AnnounceLate(site, 0);
        g_usleep(500000);
        for (int request = 0; request < 30; request++) {
            g_assert_cmpint(status_with_key(site, request % 2, 1), ==, 200);
        }
        g_assert_cmpuint(Site_Runs(site, 0), ==, before);
        Site_Destroy(site);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/restore/changes", test_changes);
    g_test_add_func("/restore/cut-neighbour", test_cut_neighbour);
    g_test_add_func("/restore/older-version", test_older_version);
    g_test_add_func("/restore/start", test_start);
    g_test_add_func("/restore/start-unanswered", test_start_unanswered);
    g_test_add_func("/restore/lost-entry", test_lost_entry);
    g_test_add_func("/restore/left-entry", test_left_entry);
    g_test_add_func("/restore/lost-departure", test_lost_departure);
    return g_test_run();
}
