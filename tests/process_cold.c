/* Tests of cold backend servers with daemons as real processes. */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>

#include "site.h"

#define HOSTS 4
#define CALLERS 32
#define COLD_MS 6000
#define WORK_MS 40

/* cold_per_s of the site is 10: 10 * 1.5 + 8. */
#define BOUND 23
#define SETTINGS "\"cold_overage\":1.5,\"cold_slack\":8,"

typedef struct Load {
    Site *site;
    atomic_bool stopping;
    atomic_int served;
    atomic_int not_served;
} Load;

static void *
call(void *context)
{
    Load *load = context;
    int host = 0;

    while (!atomic_load(&load->stopping)) {
        char id[SITE_ID_BYTES];
        /* Host 0 is killed: callers use the others. */
        SiteReply reply = Site_RequestPooled(
            load->site, 1 + host++ % (HOSTS - 1), "GET", "/open/1", NULL, id);

        atomic_fetch_add(
            reply.status == 200 ? &load->served : &load->not_served, 1);
        g_usleep(20000);
    }
    return NULL;
}

/* The owner of a cold backend server is killed again and again. Guards against
 * a rate that each process grants anew, against a bound that only the first
 * announcement sets, and against a cold backend server that gets nothing or
 * callers that are not served by the others. */
static void
test_killed_owner(void)
{
    Load load = {.site = Site_Create()};
    pthread_t callers[CALLERS];
    ClockMs end;
    ColdCount *count;

    Site_Configure(load.site, 1, "[]", 0);
    for (int i = 0; i < HOSTS; i++) {
        Site_SetWorkMs(
            load.site,
            Site_AddHost(load.site, &(SiteHost_desc){.settings = SETTINGS}),
            WORK_MS);
    }
    Site_AwaitReady(load.site);
    for (int i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i], NULL, call, &load);
    }
    g_usleep(1000000);
    Site_SetCold(load.site, 0, 2 * COLD_MS);
    Site_SetCold(load.site, 1, COLD_MS);
    end = Clock_Now() + COLD_MS;
    while (Clock_Now() < end) {
        g_usleep(1200000);
        Site_Signal(load.site, 0, SIGKILL);
        g_assert_true(Site_AwaitExit(load.site, 0, 2000));
        Site_Restart(load.site, 0);
    }
    g_usleep(COLD_MS * 500);
    atomic_store(&load.stopping, TRUE);
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i], NULL);
    }
    for (int i = 0; i < 2; i++) {
        count = Site_Cold(load.site, i);
        g_test_message("host %d: %u while cold, at most %u in a second", i,
                       ColdCount_All(count), ColdCount_Most(count));
        g_assert_cmpuint(ColdCount_Most(count), <=, BOUND);
        g_assert_cmpuint(ColdCount_All(count), >=, 10);
    }
    g_test_message("served %d, not served %d", load.served, load.not_served);
    g_assert_cmpint(load.not_served, <=, load.served / 50);
    Site_Destroy(load.site);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cold/killed-owner", test_killed_owner);
    return g_test_run();
}
