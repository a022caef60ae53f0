/* The worker of host 0 leaves while the store is down. Its daemon acknowledges
 * that and is killed before the store is back. The next process gets a ready
 * heartbeat that the worker sent before it left, and sends it requests. */
#include <stdlib.h>

#include "record.h"
#include "site.h"

#define HOSTS 3
#define REQUESTS 60

/* Bounds of the deployment. */
#define DRAIN_MS 2500
#define STABILITY_MS 4000

/* Times since the beginning of the outage. */
#define HEARTBEAT_SENT_MS 300
#define LEAVE_MS 400
#define KILL_MS 1200
#define RESTART_AFTER_MS 1000
#define OUTAGE_MS 3000
#define HEARTBEAT_ARRIVES_MS 4200
#define REQUESTS_MS 7400

static const char extra_settings[] =
    "\"quota_window_ms\":\"5s\",\"quota_overage\":0.1,\"quota_slack\":20,"
    "\"retry_ratio\":0.2,\"retry_slack\":60,\"retry_window_ms\":\"10s\","
    "\"max_body_bytes\":16777216,\"memory_mb\":260,";

static ClockMs begin;

static void
at(ClockMs after)
{
    Record_SleepUntil(begin + after);
}

static void
kill_daemon(Site *site, int host)
{
    Site_Signal(site, host, SIGKILL);
    if (!Site_AwaitExit(site, host, 5000)) {
        exit(CASE_NOT_RUN);
    }
}

/* Sends the requests; returns how many of them the worker of host 0 ran. */
static int
send_requests(Site *site)
{
    int runs = 0;

    for (int i = 0; i < REQUESTS; i++) {
        char id[SITE_ID_BYTES];
        ClockMs sent = Record_Now();
        SiteReply reply = Site_RequestAs(site, i % HOSTS, "GET", "/read/1",
                                         SITE_KEY, id);
        SiteRun run = {.host = -1};

        (void)Site_GetRun(site, id, &run);
        Record_Line("request %s sent at %.3f s to host %d: status %d, run by "
                    "worker %d",
                    id, (double)sent / 1000, i % HOSTS, reply.status,
                    run.host);
        runs += run.host == 0;
    }
    return runs;
}

int
main(int argc, char **argv)
{
    static const SiteHost_desc desc = {.data_centre = "n1",
                                       .settings = extra_settings};
    gboolean trouble;
    Site *site;
    ClockMs acknowledged;
    ClockMs first;
    int runs;

    Record_Open(argc, argv);
    trouble = Record_HasTrouble();
    site = Site_Create();
    Site_Configure(site, 1, "[\"" SITE_KEY "\"]", 0);
    for (int i = 0; i < HOSTS; i++) {
        (void)Site_AddHost(site, &desc);
    }
    Site_AwaitReady(site);
    Record_Line("%d hosts are ready; trouble %d", HOSTS, trouble);
    g_usleep(STABILITY_MS * 1000);

    begin = Record_Now();
    if (trouble) {
        ObjectServer_SetFault(Site_Store(site), OBJECT_FAULT_SILENT);
        Record_Line("the store is down (silent)");
    }
    at(HEARTBEAT_SENT_MS);
    Site_Silence(site, 0);
    Record_Line("worker 0 sends a ready heartbeat, which is delayed");
    at(LEAVE_MS);
    Record_Line("worker 0 deregisters; it goes on serving");
    Site_Deregister(site, 0);
    acknowledged = Record_Now();
    Record_Line("daemon 0 has acknowledged that");
    if (trouble) {
        at(KILL_MS);
        kill_daemon(site, 0);
        Record_Line("daemon 0 is killed");
        g_usleep(RESTART_AFTER_MS * 1000);
        Site_Restart(site, 0);
        Record_Line("daemon 0 is started again");
        at(OUTAGE_MS);
        ObjectServer_SetFault(Site_Store(site), OBJECT_FAULT_NONE);
        Record_Line("the store is back");
    }
    at(HEARTBEAT_ARRIVES_MS);
    Site_AnnounceLate(site, 0);
    Record_Line("the delayed ready heartbeat of worker 0 has arrived");
    at(REQUESTS_MS);
    for (int i = 0; i < HOSTS; i++) {
        Record_Line("daemon %d is %sready", i,
                    Site_IsReady(site, i) ? "" : "not ");
    }
    first = Record_Now();
    runs = send_requests(site);
    Record_Line("%d of %d requests were run by worker 0, all sent %.3f s or "
                "later after the acknowledgement (bound: %.3f s)",
                runs, REQUESTS, (double)(first - acknowledged) / 1000,
                (double)DRAIN_MS / 1000);
    Site_Destroy(site);
    Record_Close();
    return runs > 0 ? CASE_BROKEN : CASE_HELD;
}
