/* Tests of evacuated data centres with real daemons: the requests that reach a
 * backend server there, while the store or a daemon fails. */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>

#include "site.h"

#define KEYS "[\"" SITE_KEY "\"]"
#define KIND "evacuations"
#define SETTINGS "\"evacuate_ms\":\"5s\","
#define CALLERS 6

/* Second port of those that start at the site's first port. */
#define METRICS_PORT 18007

/* The bound, and its extension while a part of the store is unreachable. */
#define BOUND_MS 5000
#define UNREACHABLE_MS 6000

/* Time in which the neighbours of a host that gets no requests ping it, which
 * tells it the evacuations in an outage of the store. */
#define OUTAGE_KNOWN_MS 8000

/* Time without a request after which a backend server counts as evacuated. */
#define QUIET_MS 1500

/* Requests from several callers at a time, to each host in turn. */
typedef struct Load {
    Site *site;
    int hosts;
    pthread_t threads[CALLERS];
    atomic_bool stopping;
    atomic_int skipped; /* host that gets no requests; -1: none */
    atomic_int served;
    atomic_int failed;
} Load;

static void *
run_load(void *context)
{
    Load *load = context;
    char id[SITE_ID_BYTES];

    for (int i = g_random_int_range(0, 100); !atomic_load(&load->stopping);
         i++) {
        int host = i % load->hosts;

        if (host != atomic_load(&load->skipped)) {
            SiteReply reply = Site_RequestAs(load->site, host, "GET",
                                             "/open/1", SITE_KEY, id);

            atomic_fetch_add(
                reply.status == 200 ? &load->served : &load->failed, 1);
        }
        g_usleep(5000);
    }
    return NULL;
}

static void
start_load(Load *load, Site *site, int hosts)
{
    *load = (Load){.site = site, .hosts = hosts};
    atomic_store(&load->skipped, -1);
    for (int i = 0; i < CALLERS; i++) {
        pthread_create(&load->threads[i], NULL, run_load, load);
    }
}

static void
stop_load(Load *load)
{
    atomic_store(&load->stopping, TRUE);
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(load->threads[i], NULL);
    }
}

/* `n1` hosts in n1, which is evacuated, then the others in n2. */
static Site *
make_site(int n1, int others)
{
    Site *site = Site_Create();

    Site_Configure(site, 1, KEYS, 0);
    for (int i = 0; i < n1 + others; i++) {
        (void)Site_AddHost(
            site, &(SiteHost_desc){.settings = SETTINGS,
                                   .data_centre = i < n1 ? "n1" : "n2"});
    }
    Site_AwaitReady(site);
    g_usleep(1000000); /* the hosts know of each other */
    return site;
}

static unsigned
count_runs(Site *site, int hosts)
{
    unsigned runs = 0;

    for (int i = 0; i < hosts; i++) {
        runs += Site_Runs(site, i);
    }
    return runs;
}

/* Returns the time after `since` of the last run on the first hosts; fails if
 * they still get some after the limit. */
static ClockMs
await_quiet(Site *site, int hosts, ClockMs since, ClockMs limit_ms)
{
    unsigned runs = count_runs(site, hosts);
    ClockMs last = since;

    while (Clock_Now() < MAX(last, since) + QUIET_MS) {
        unsigned now = count_runs(site, hosts);

        if (now != runs) {
            runs = now;
            last = Clock_Now();
        }
        g_assert_cmpint(last - since, <=, limit_ms);
        g_usleep(2000);
    }
    return last - since;
}

static void
await_runs(Site *site, int hosts, ClockMs limit_ms)
{
    unsigned runs = count_runs(site, hosts);
    ClockMs end = Clock_Now() + limit_ms;

    while (count_runs(site, hosts) == runs && Clock_Now() < end) {
        g_usleep(2000);
    }
    g_assert_cmpuint(count_runs(site, hosts), >, runs);
}

static gboolean
shows(Site *site, int host, const char *line)
{
    char *metrics = Site_ReadMetrics(site, host);
    gboolean found = strstr(metrics, line) != NULL;

    g_free(metrics);
    return found;
}

static void
await_shown(Site *site, int host, ClockMs limit_ms)
{
    static const char line[] = "radishknot_evacuated{data_centre=\"n1\"} 1\n";
    ClockMs end = Clock_Now() + limit_ms;

    while (!shows(site, host, line) && Clock_Now() < end) {
        g_usleep(20000);
    }
    g_assert_true(shows(site, host, line));
}

/* Writes the object of a data centre; `value` is JSON, NULL to remove it. */
static ClockMs
evacuate(Site *site, const char *data_centre, const char *value)
{
    ClockMs now = Clock_Now();

    (void)ObjectServer_Write(Site_Store(site), KIND, data_centre,
                             value ? json_loads(value, JSON_DECODE_ANY, NULL)
                                   : NULL);
    return now;
}

static void *
run_long(void *context)
{
    static SiteReply reply;
    char id[SITE_ID_BYTES];

    reply =
        Site_RequestAs(context, 0, "POST", "/issue/work-2500", SITE_KEY, id);
    return &reply;
}

/* All hosts are ready and show the evacuation; one there logs it. */
static void
expect_evacuated(Site *site, int hosts)
{
    char *log = Site_ReadLog(site, 0);

    for (int i = 0; i < hosts; i++) {
        g_assert_true(Site_IsReady(site, i));
        g_assert_true(
            shows(site, i, "radishknot_evacuated{data_centre=\"n1\"} 1\n"));
    }
    g_assert_nonnull(strstr(log, "EVACUATION_BEGAN"));
    g_assert_nonnull(strstr(log, "EVACUATION_LAST_SENT"));
    g_free(log);
}

/* Guards against requests that reach a backend server of an evacuated data
 * centre, against callers that are refused although another data centre could
 * serve them, and against a run that is cut by an evacuation. */
static void
test_whole(void)
{
    enum { HERE = 2, HOSTS = 4 };
    Site *site = make_site(HERE, HOSTS - HERE);
    pthread_t long_run;
    void *long_reply;
    ClockMs last_ms;
    Load load;

    pthread_create(&long_run, NULL, run_long, site);
    g_usleep(300000);
    start_load(&load, site, HOSTS);
    await_runs(site, HERE, 3000);
    last_ms = await_quiet(site, HERE, evacuate(site, "n1", "{}"), BOUND_MS);
    g_test_message("last request %d ms after the object", (int)last_ms);
    pthread_join(long_run, &long_reply);
    g_assert_cmpint(((SiteReply *)long_reply)->status, ==, 200);
    expect_evacuated(site, HOSTS);
    (void)evacuate(site, "n1", NULL);
    await_runs(site, HERE, BOUND_MS);
    stop_load(&load);
    g_test_message("%d served, %d failed", atomic_load(&load.served),
                   atomic_load(&load.failed));
    g_assert_cmpint(atomic_load(&load.failed), ==, 0);
    Site_Destroy(site);
}

/* `radishknot status` shows the evacuation to operators of this mode. */
static void
expect_status(void)
{
    struct sockaddr_in metrics = Site_EntryAddress(0);
    char address[32];
    char *arguments[] = {(char *)BINARY_DIRECTORY "/src/tool/radishknot",
                         (char *)"--admin", address, (char *)"status", NULL};
    char *output = NULL;

    metrics.sin_port = htons(METRICS_PORT);
    HttpAddress_Format(&metrics, address, sizeof(address));
    g_assert_true(g_spawn_sync(NULL, arguments, NULL, G_SPAWN_DEFAULT, NULL,
                               NULL, &output, NULL, NULL, NULL));
    g_assert_nonnull(strstr(output, "\nEVACUATED as host-0 knows it: n1\n"));
    g_free(output);
}

/* Guards against callers that wait for their deadline, or are not told when to
 * return, when no backend server is left outside. */
static void
test_nothing_left(void)
{
    Site *site = make_site(2, 0);
    ClockMs began;
    SiteReply reply;

    (void)evacuate(site, "n1", "true");
    (void)await_quiet(site, 2, Clock_Now(), BOUND_MS);
    for (int i = 0; i < 10; i++) {
        began = Clock_Now();
        reply = Site_Request(site, i % 2, "GET", "/open/1", SITE_KEY);
        g_assert_cmpint(reply.status, ==, 503);
        g_assert_cmpstr(reply.retry_after, !=, "");
        g_assert_cmpint(Clock_Now() - began, <, 500);
        g_assert_false(Site_HasRun(site, Site_LastId(site)));
        g_assert_true(Site_IsReady(site, i % 2));
    }
    expect_status();
    Site_Destroy(site);
}

/* Guards against hosts that keep sending because they do not reach the store:
 * the first, the second or the third host of each data centre, one of which
 * reads the store for the others. */
static void
test_partial_store(void)
{
    enum { HERE = 3, HOSTS = 6 };

    for (int cut = 0; cut < HERE; cut++) {
        Site *site = make_site(HERE, HOSTS - HERE);
        ClockMs last_ms;
        Load load;

        start_load(&load, site, HOSTS);
        await_runs(site, HERE, 3000);
        Site_CutStore(site, cut, TRUE);
        Site_CutStore(site, HERE + cut, TRUE);
        g_usleep(300000);
        last_ms = await_quiet(site, HERE, evacuate(site, "n1", "{}"),
                              BOUND_MS + UNREACHABLE_MS);
        g_test_message("cut %d: last request %d ms after the object", cut,
                       (int)last_ms);
        for (int i = 0; i < HOSTS; i++) {
            await_shown(site, i, BOUND_MS);
        }
        stop_load(&load);
        Site_Destroy(site);
    }
}

/* Guards against a set that is forgotten in an outage of the store, by a host
 * that is restarted within it and by the others. */
static void
test_restart_in_outage(void)
{
    enum { HERE = 3, HOSTS = 5 };
    Site *site = make_site(HERE, HOSTS - HERE);
    unsigned runs;
    ClockMs end;
    Load load;

    start_load(&load, site, HOSTS);
    await_runs(site, HERE, 3000);
    (void)await_quiet(site, HERE, evacuate(site, "n1", "{}"), BOUND_MS);
    runs = count_runs(site, HERE);
    ObjectServer_SetFault(Site_Store(site), OBJECT_FAULT_SILENT);
    for (int host = 0; host < HOSTS; host += HERE) {
        atomic_store(&load.skipped, host);
        Site_Signal(site, host, SIGKILL);
        g_assert_true(Site_AwaitExit(site, host, 1000));
        Site_Restart(site, host);
        g_usleep(300000);
        atomic_store(&load.skipped, -1);
        g_usleep(3000000);
    }
    await_shown(site, 0, OUTAGE_KNOWN_MS);
    g_assert_cmpuint(count_runs(site, HERE), ==, runs);
    ObjectServer_SetFault(Site_Store(site), OBJECT_FAULT_NONE);
    end = Clock_Now() + 8000;
    while (Clock_Now() < end &&
           !(Site_IsReady(site, 0) && Site_IsReady(site, HERE))) {
        g_usleep(20000);
    }
    g_assert_true(Site_IsReady(site, 0));
    g_usleep(1000000);
    g_assert_cmpuint(count_runs(site, HERE), ==, runs);
    g_assert_cmpint(Site_Request(site, 0, "GET", "/open/1", SITE_KEY).status,
                    ==, 200);
    stop_load(&load);
    Site_Destroy(site);
}

/* Guards against an evacuation that stays although the restored store has
 * none, and against one that is missed although the restored store has it. */
static void
test_restored(void)
{
    enum { HERE = 2, HOSTS = 4 };
    Site *site = make_site(HERE, HOSTS - HERE);
    ClockMs last_ms;
    Load load;

    start_load(&load, site, HOSTS);
    ObjectServer_Save(Site_Store(site));
    (void)await_quiet(site, HERE, evacuate(site, "n1", "{}"), BOUND_MS);
    ObjectServer_Restore(Site_Store(site));
    await_runs(site, HERE, BOUND_MS + UNREACHABLE_MS);
    (void)await_quiet(site, HERE, evacuate(site, "n1", "{}"), BOUND_MS);
    ObjectServer_Save(Site_Store(site));
    (void)evacuate(site, "n1", NULL);
    await_runs(site, HERE, BOUND_MS);
    ObjectServer_Restore(Site_Store(site));
    last_ms = await_quiet(site, HERE, Clock_Now(), BOUND_MS + UNREACHABLE_MS);
    g_test_message("last request %d ms after the restoration", (int)last_ms);
    stop_load(&load);
    Site_Destroy(site);
}

/* Guards against an odd object that evacuates what it does not name, that is
 * itself overlooked because of its value, or that hides another one. */
static void
test_odd(void)
{
    static const char *const values[] = {"-5",  "1e999",    "null", "\"\"",
                                         "007", "[-1e999]", "false"};
    char *open = g_strnfill(5000, '[');
    char *close = g_strnfill(5000, ']');
    char *deep = g_strconcat(open, close, NULL);
    Site *site = make_site(1, 1);
    Load load;

    start_load(&load, site, 2);
    (void)ObjectServer_WriteText(Site_Store(site), KIND, "x9",
                                 "{\"metadata\":{\"name\":\"x9\","
                                 "\"revision\":%d},\"spec\":1e999}");
    (void)ObjectServer_WriteText(Site_Store(site), KIND, "unnamed", "{}");
    (void)ObjectServer_WriteText(Site_Store(site), KIND, "n2x", "7");
    (void)evacuate(site, "mars", "{\"zone\":\"n1\"}");
    for (size_t i = 0; i <= G_N_ELEMENTS(values); i++) {
        const char *value = i < G_N_ELEMENTS(values) ? values[i] : deep;
        char *text = g_strdup_printf("{\"metadata\":{\"name\":\"n1\","
                                     "\"revision\":%%d},\"spec\":%s}",
                                     value);

        g_test_message("value %.20s", value);
        await_runs(site, 1, BOUND_MS);
        (void)ObjectServer_WriteText(Site_Store(site), KIND, "n1", text);
        (void)await_quiet(site, 1, Clock_Now(), BOUND_MS);
        g_assert_true(
            shows(site, 1, "radishknot_evacuated{data_centre=\"n1\"} 1\n"));
        g_assert_true(
            shows(site, 1, "radishknot_evacuated{data_centre=\"n2\"} 0\n"));
        (void)evacuate(site, "n1", NULL);
        g_free(text);
    }
    await_runs(site, 1, BOUND_MS);
    stop_load(&load);
    g_assert_cmpint(atomic_load(&load.failed), ==, 0);
    Site_Destroy(site);
    g_free(open);
    g_free(close);
    g_free(deep);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/evacuation/whole", test_whole);
    g_test_add_func("/evacuation/nothing-left", test_nothing_left);
    g_test_add_func("/evacuation/partial-store", test_partial_store);
    g_test_add_func("/evacuation/restart-in-outage", test_restart_in_outage);
    g_test_add_func("/evacuation/restored", test_restored);
    g_test_add_func("/evacuation/odd", test_odd);
    return g_test_run();
}
