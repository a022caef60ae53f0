/* Tests of draining, graceful stops and rolling restarts under load. */
#include <poll.h>
#include <string.h>

#include "base/clock.h"
#include "fleet.h"

/* Limit until a draining backend server receives no new work. The brief
 * requires "a few seconds"; the issue sets 2 s. */
#define NO_NEW_WORK_MS 2000

static Fleet *
start_fleet(int daemons)
{
    Fleet *fleet = Fleet_Create();

    for (int i = 0; i < daemons; i++) {
        Fleet_AddDaemon(fleet, NULL);
        Fleet_AddServer(fleet, i, &(FleetServer_desc){.service_ms = 10});
    }
    Fleet_ApplyDefault(fleet, daemons);
    Fleet_AwaitReady(fleet);
    return fleet;
}

static const char *const load[] = {"--path=/permits/7",
                                   "--issue-path=/issue/7",
                                   "--issuances=20",
                                   "--tokens",
                                   "--rate=150",
                                   "--count=2000",
                                   "--duration=60",
                                   "--repeats=4",
                                   "--stay",
                                   NULL};

static void
check_nothing_failed(json_t *summary)
{
    g_assert_cmpint(Fleet_Number(summary, "sent"), ==, 2000);
    g_assert_cmpint(Fleet_Number(summary, "ok"), ==, 2000);
    g_assert_cmpint(Fleet_Number(summary, "executions.duplicated"), ==, 0);
}

/* Guards against requests that are aborted or refused while daemons restart
 * one after the other. The caller connects to another entry when one refuses
 * the connection, as the instructions for callers require. */
static void
test_rolling_restart(void)
{
    Fleet *fleet = start_fleet(4);
    FleetProcess *caller = Fleet_StartCaller(fleet, TRUE, load);
    json_t *summary;

    for (int i = 0; i < fleet->daemon_count; i++) {
        g_assert_cmpint(Fleet_End(fleet->daemons[i], SIGTERM), ==, 0);
        Fleet_Restart(fleet, i);
        Fleet_AwaitReady(fleet);
    }
    summary = Fleet_AwaitCaller(caller);
    check_nothing_failed(summary);
    json_decref(summary);
    Fleet_Destroy(fleet);
}

static int
executions(Fleet *fleet, int server)
{
    json_t *stats =
        Fleet_Get(fleet, fleet->servers[server]->admin_port, "/v1/stats");
    int count =
        Fleet_Number(stats, "executions") + Fleet_Number(stats, "served");

    json_decref(stats);
    return count;
}

/* Guards against sending new work to a draining backend server, also from a
 * daemon that was paused while the drain was announced. */
static void
test_drain(void)
{
    Fleet *fleet = start_fleet(3);
    FleetProcess *caller = Fleet_StartCaller(fleet, TRUE, load);
    json_t *summary;
    int before;

    Fleet_Signal(fleet->daemons[2], SIGSTOP);
    Fleet_Post(fleet, fleet->servers[0]->admin_port, "/v1/drain", "");
    (void)poll(NULL, 0, NO_NEW_WORK_MS);
    Fleet_Signal(fleet->daemons[2], SIGCONT);
    before = executions(fleet, 0);
    summary = Fleet_AwaitCaller(caller);
    g_assert_cmpint(executions(fleet, 0), ==, before);
    g_assert_cmpint(Fleet_Number(summary, "wrong"), ==, 0);
    g_assert_cmpint(Fleet_Number(summary, "executions.duplicated"), ==, 0);
    json_decref(summary);
    Fleet_Destroy(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/leave/rolling-restart", test_rolling_restart);
    g_test_add_func("/process/leave/drain", test_drain);
    return g_test_run();
}
