/* Tests of daemons in mode "platform" as real processes. */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>

#include "site.h"

#define KEYS "[\"" SITE_KEY "\"]"

/* Maximum time until a withdrawn key is refused (setting revocation_ms of the
 * daemons). */
#define REVOCATION_MS 5000

/* Kind of the store objects (entries) that name the hosts with a backend
 * server. */
#define ENTRY_KIND "backend-servers"

/* Maximum time for which the entry of a failed host stays in the store: twice
 * the time for which the other hosts wait before they remove it. */
#define STALE_ENTRY_MS 30000

static Site *
make_site(int hosts)
{
    static const SiteHost_desc descs[] = {
        {.data_centre = "n1"},
        {.data_centre = "n1"},
        {.data_centre = "n2"},
        {.data_centre = "s1", .region = "sur"}};
    Site *site = Site_Create();

    Site_Configure(site, 1, KEYS, 0);
    for (int i = 0; i < hosts; i++) {
        Site_AddHost(site, &descs[(size_t)i % G_N_ELEMENTS(descs)]);
    }
    Site_AwaitReady(site);
    return site;
}

/* Guards against serving a request without a valid key, refusing one with a
 * valid key, and answering with the body of another request. */
static void
test_without_faults(void)
{
    static const struct {
        const char *method;
        const char *path;
        const char *key;
        int status;
    } cases[] = {
        {"GET", "/read/1?x=%2F", SITE_KEY, 200},
        {"POST", "/issue/1", SITE_KEY, 200},
        {"GET", "/open/1", NULL, 200},
        {"GET", "/open/1", "any", 200},
        {"GET", "/read/1", NULL, 401},
        {"GET", "/read/1", "wrong", 401},
        {"GET", "/none/1", SITE_KEY, 404},
    };
    Site *site = make_site(3);

    for (int host = 0; host < 3; host++) {
        for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
            SiteReply reply = Site_Request(site, host, cases[i].method,
                                           cases[i].path, cases[i].key);

            g_assert_cmpint(reply.result, ==, RESULT_OK);
            g_assert_cmpint(reply.status, ==, cases[i].status);
            g_assert_cmpint(reply.is_signed, ==, cases[i].status == 200);
            g_assert_cmpint(reply.matches, ==, cases[i].status == 200);
        }
    }
    Site_Destroy(site);
}

static int
request_status(Site *site, int host, const char *path, const char *key)
{
    return Site_Request(site, host, "GET", path, key).status;
}

/* Guards against accepting a withdrawn key, both while the store is reachable
 * and on a host that cannot receive the withdrawal, and against refusals that
 * continue after the store has recovered. */
static void
test_withdrawal(void)
{
    Site *site = make_site(2);
    ClockMs end;
    SiteReply reply;

    g_assert_cmpint(request_status(site, 0, "/read/1", SITE_KEY), ==, 200);
    Site_Configure(site, 2, "[\"other\"]", 0);
    end = Clock_Now() + 2500;
    while (request_status(site, 0, "/read/1", SITE_KEY) != 401 &&
           Clock_Now() < end) {
        g_usleep(10000);
    }
    g_assert_cmpint(request_status(site, 0, "/read/1", SITE_KEY), ==, 401);
    g_assert_cmpint(request_status(site, 0, "/read/1", "other"), ==, 200);

    ObjectServer_SetFault(Site_Store(site), OBJECT_FAULT_SILENT);
    g_usleep((REVOCATION_MS + 200) * 1000);
    reply = Site_Request(site, 0, "GET", "/read/1", "other");
    g_assert_cmpint(reply.status, ==, 503);
    g_assert_cmpstr(reply.retry_after, !=, "");
    g_assert_cmpint(request_status(site, 0, "/open/1", NULL), ==, 200);
    g_assert_false(Site_IsReady(site, 0));
    ObjectServer_SetFault(Site_Store(site), OBJECT_FAULT_NONE);
    end = Clock_Now() + 4500;
    while (request_status(site, 0, "/read/1", "other") != 200 &&
           Clock_Now() < end) {
        g_usleep(10000);
    }
    g_assert_cmpint(request_status(site, 0, "/read/1", "other"), ==, 200);
    Site_Destroy(site);
}

/* Writes the next configuration, in which a route or tenant may be served in
 * the listed regions, and waits until the hosts have read it. */
static void
restrict_to(Site *site, const char *version, const char *kind,
            const char *name, const char *list)
{
    json_t *value = ObjectServer_Read(Site_Store(site), "config", "main");

    json_object_set_new(value, "version", json_string(version));
    json_object_set_new(json_object_get(json_object_get(value, kind), name),
                        "allowed_regions", json_loads(list, 0, NULL));
    ObjectServer_Write(Site_Store(site), "config", "main", value);
    g_usleep(1500000);
}

/* Guards against a run outside of the regions of the route or team, and
 * against a restriction that outlives its removal. */
static void
test_regions(void)
{
    enum { FAR = 3, REQUESTS = 12 };
    static const struct {
        const char *version;
        const char *kind;
        const char *name;
        const char *list;
        int far;
        int status;
    } cases[] = {
        {"00000002", "routes", "read", "[\"sur\"]", REQUESTS, 200},
        {"00000003", "tenants", "crews", "[\"norte\"]", 0, 503},
        {"00000004", "routes", "read", "[]", 0, 200},
        {"00000005", "tenants", "crews", "[\"sur\",7]", REQUESTS, 200},
    };
    Site *site = make_site(FAR + 1);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        unsigned before = Site_Runs(site, FAR);

        g_test_message("case %zu", i);
        restrict_to(site, cases[i].version, cases[i].kind, cases[i].name,
                    cases[i].list);
        for (int n = 0; n < REQUESTS; n++) {
            g_assert_cmpint(request_status(site, n % 3, "/read/1", SITE_KEY),
                            ==, cases[i].status);
        }
        g_assert_cmpint((int)(Site_Runs(site, FAR) - before), ==,
                        cases[i].far);
    }
    Site_Destroy(site);
}

/* Guards against sending requests to a backend server that has announced that
 * it drains. */
static void
test_drain(void)
{
    Site *site = make_site(3);
    unsigned before;

    Site_Drain(site, 0);
    before = Site_Runs(site, 0);
    for (int i = 0; i < 60; i++) {
        g_assert_cmpint(request_status(site, i % 3, "/read/1", SITE_KEY), ==,
                        200);
    }
    g_assert_cmpuint(Site_Runs(site, 0), ==, before);
    Site_Destroy(site);
}

/* Guards against sending requests to a backend server whose leaving an earlier
 * process has acknowledged, when a ready announcement that was sent before
 * arrives at the next process. */
static void
test_leave_before_restart(void)
{
    static const struct {
        gboolean drains; /* announces its draining; else deregisters */
        int signal;
    } cases[] = {
        {FALSE, SIGTERM}, {FALSE, SIGKILL}, {TRUE, SIGTERM}, {TRUE, SIGKILL}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Site *site = make_site(2);
        unsigned before;

        g_test_message("case %zu", i);
        Site_Silence(site, 0);
        if (cases[i].drains) {
            Site_Drain(site, 0);
        }
        else {
            Site_Deregister(site, 0);
        }
        Site_Signal(site, 0, cases[i].signal);
        g_assert_true(Site_AwaitExit(site, 0, 6000));
        before = Site_Runs(site, 0);
        Site_Restart(site, 0);
        for (ClockMs end = Clock_Now() + 5000;
             !Site_IsReady(site, 0) && Clock_Now() < end;) {
            g_usleep(20000);
        }
        Site_AnnounceLate(site, 0);
        g_usleep(500000);
        for (int request = 0; request < 30; request++) {
            g_assert_cmpint(
                request_status(site, request % 2, "/read/1", SITE_KEY), ==,
                200);
        }
        g_assert_cmpuint(Site_Runs(site, 0), ==, before);
        Site_Destroy(site);
    }
}

/* Guards against sending non-idempotent requests to a backend server with a
 * gray failure: one of three fails four of five requests, so an even
 * distribution would fail one request in four. */
static void
test_gray(void)
{
    Site *site = make_site(3);
    int failed = 0;

    Site_SetFailing(site, 1, 80);
    for (int i = 0; i < 150; i++) {
        SiteReply reply =
            Site_Request(site, i % 3, "POST", "/issue/1", SITE_KEY);

        failed += reply.status != 200;
        g_usleep(10000);
    }
    g_test_message("%d of 150 failed", failed);
    g_assert_cmpint(failed, <=, 15);
    g_assert_cmpuint(Site_MaxRunsPerId(site), ==, 1);
    Site_Destroy(site);
}

typedef struct Load {
    Site *site;
    int host;
    const char *method;
    const char *path;
    atomic_bool stopping;
    atomic_int answered;
    atomic_int lost;          /* connections closed without an answer */
    atomic_int false_not_run; /* refused as not run, although they had run */
    pthread_t thread;
} Load;

static void *
run_load(void *context)
{
    Load *load = context;
    char id[32];

    while (!atomic_load(&load->stopping)) {
        SiteReply reply = Site_Request(load->site, load->host, load->method,
                                       load->path, SITE_KEY);

        g_strlcpy(id, Site_LastId(load->site), sizeof(id));
        if (reply.result == RESULT_OK) {
            atomic_fetch_add(&load->answered, 1);
        }
        else if (reply.result != RESULT_CONNECT_FAILED) {
            atomic_fetch_add(&load->lost, 1);
        }
        if ((reply.status == 503 || reply.status == 429) &&
            Site_HasRun(load->site, id)) {
            atomic_fetch_add(&load->false_not_run, 1);
        }
        g_usleep(5000);
    }
    return NULL;
}

static void
start_load(Load *load, Site *site, int host, const char *method,
           const char *path)
{
    *load = (Load){.site = site, .host = host, .method = method, .path = path};
    pthread_create(&load->thread, NULL, run_load, load);
}

static void
stop_load(Load *load)
{
    atomic_store(&load->stopping, TRUE);
    pthread_join(load->thread, NULL);
}

/* Guards against a graceful stop that aborts a request, and against one that
 * exceeds the grace period of 6 s. */
static void
test_graceful_stop(void)
{
    Site *site = make_site(3);
    Load load;
    int before;

    for (int i = 0; i < 3; i++) {
        Site_SetWorkMs(site, i, 100);
    }
    start_load(&load, site, 0, "GET", "/read/1");
    g_usleep(500000);
    before = atomic_load(&load.answered);
    Site_Signal(site, 0, SIGTERM);
    g_usleep(200000);
    g_assert_false(Site_IsReady(site, 0));
    g_assert_true(Site_AwaitExit(site, 0, 6000));
    stop_load(&load);
    g_assert_cmpint(atomic_load(&load.answered), >, before);
    g_assert_cmpint(atomic_load(&load.lost), ==, 0);
    Site_Destroy(site);
}

/* Guards against a retry budget that is used up by retries which no other
 * backend server received: here the other hosts are down. */
static void
test_unsent_retries(void)
{
    enum { COUNT = 20 };
    Site *site = make_site(3);
    char *log;

    Site_SetFailing(site, 0, 100);
    for (int host = 1; host < 3; host++) {
        Site_Signal(site, host, SIGKILL);
        g_assert_true(Site_AwaitExit(site, host, 1000));
    }
    for (int i = 0; i < COUNT; i++) {
        SiteReply reply = Site_Request(site, 0, "GET", "/read/1", SITE_KEY);

        g_assert_cmpint(reply.result, ==, RESULT_OK);
        g_assert_cmpint(reply.status, ==, 500);
    }
    g_assert_cmpuint(Site_Runs(site, 0), ==, COUNT);
    log = Site_ReadLog(site, 0);
    g_assert_null(strstr(log, "final=budget"));
    g_free(log);
    Site_Destroy(site);
}

/* Guards against running a request twice, and against falsely reporting a
 * request as not run, while owners are killed and restarted. */
static void
test_kills(void)
{
    Site *site = make_site(3);
    Load loads[2];

    for (int i = 0; i < 3; i++) {
        Site_SetWorkMs(site, i, 30);
    }
    /* A single load, because all loads of a site share Site_LastId(). */
    start_load(&loads[0], site, 0, "POST", "/issue/1");
    for (int round = 0; round < 4; round++) {
        int victim = 1 + round % 2;

        g_usleep(300000);
        Site_Signal(site, victim, SIGKILL);
        g_assert_true(Site_AwaitExit(site, victim, 1000));
        g_usleep(300000);
        Site_Restart(site, victim);
    }
    stop_load(&loads[0]);
    g_assert_cmpint(atomic_load(&loads[0].answered), >, 20);
    g_assert_cmpint(atomic_load(&loads[0].lost), ==, 0);
    g_assert_cmpint(atomic_load(&loads[0].false_not_run), ==, 0);
    g_assert_cmpuint(Site_MaxRunsPerId(site), ==, 1);
    Site_Destroy(site);
}

/* Guards against entries of failed hosts that stay in the store: each new
 * process reads them, sends requests to these hosts, and may choose one as the
 * primary of a team's quota. Also checks that a host that was only paused for
 * 3 s keeps its entry. */
static void
test_failed_host(void)
{
    static const SiteHost_desc place = {.data_centre = "n1"};
    Site *site = Site_Create();
    ClockMs until;
    Load load;
    json_t *entry;
    char *log;

    Site_Configure(site, 1, KEYS, 0);
    for (int i = 0; i < 3; i++) {
        Site_AddHost(site, &place);
    }
    Site_AwaitReady(site);
    start_load(&load, site, 0, "GET", "/read/1");
    Site_Signal(site, 1, SIGSTOP);
    Site_Signal(site, 2, SIGKILL);
    g_assert_true(Site_AwaitExit(site, 2, 1000));
    g_usleep(3000000);
    Site_Signal(site, 1, SIGCONT);
    until = Clock_Now() + STALE_ENTRY_MS;
    while ((entry = ObjectServer_Read(Site_Store(site), ENTRY_KIND,
                                      "host-2")) != NULL &&
           Clock_Now() < until) {
        json_decref(entry);
        g_usleep(100000);
    }
    stop_load(&load);
    g_assert_null(entry);
    log = Site_ReadLog(site, 1);
    g_assert_null(strstr(log, "RPC_REFUSED"));
    g_free(log);
    entry = ObjectServer_Read(Site_Store(site), ENTRY_KIND, "host-1");
    g_assert_nonnull(entry);
    json_decref(entry);
    Site_Destroy(site);
}

/* Guards against a team that exceeds its rate by sending to many hosts. */
static void
test_quota(void)
{
    Site *site = make_site(4);
    ClockMs started;
    int served = 0;
    int refused = 0;

    Site_Configure(site, 2, KEYS, 10);
    g_usleep(6500000); /* the primaries have run for a quota window */
    started = Clock_Now();
    while (Clock_Now() - started < 4500) {
        SiteReply reply =
            Site_Request(site, served % 4, "GET", "/read/1", SITE_KEY);

        served += reply.status == 200;
        refused += reply.status == 429;
    }
    g_test_message("served %d refused %d", served, refused);
    /* Rate over the window of 5 s and burst, plus a tenth, plus the slack. */
    g_assert_cmpint(served, <=, (10 * 5 + 10) * 11 / 10 + 20);
    g_assert_cmpint(served, >=, 20);
    g_assert_cmpint(refused, >, 0);
    Site_Destroy(site);
}

/* An odd entry, by another writer, in place of a good one. */
static void
write_odd_entry(Site *site, const char *kind, const char *name,
                const char *value)
{
    char *text = g_strdup_printf(
        "{\"metadata\":{\"name\":\"%s\",\"revision\":%%d},\"spec\":%s}", name,
        value);

    ObjectServer_WriteText(Site_Store(site), kind, name, text);
    g_free(text);
}

static void
write_odd_entries(Site *site, const char *prefix)
{
    static const char *const kinds[] = {ENTRY_KIND, "config", "departures"};
    static const char port[] =
        "{\"instance\":\"i\",\"service\":\"desk\",\"dc\":\"n1\",\"region\":"
        "\"norte\",\"peer\":\"127.0.0.1:70000\",\"rpc\":4294975376,"
        "\"mirror\":-1,\"slots\":1099511627776,\"leaving\":false}";
    char *open = g_strnfill(100000, '[');
    char *close = g_strnfill(100000, ']');
    char *nested = g_strconcat(open, close, NULL);
    const char *const values[] = {
        nested, "1e999",        "123456789012345678901",
        port,   "\"\xff\xfe\"", "\"\\u0000\""};

    for (size_t kind = 0; kind < G_N_ELEMENTS(kinds); kind++) {
        for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
            char *name = g_strdup_printf("%s-%zu", prefix, i);

            write_odd_entry(site, kinds[kind], name, values[i]);
            g_free(name);
        }
    }
    g_free(nested);
    g_free(close);
    g_free(open);
}

/* Whether the entry of the host in the store can be read, within 3 s. */
static gboolean
await_own_entry(Site *site, const char *name)
{
    ClockMs end = Clock_Now() + 3000;
    gboolean found = FALSE;

    while (!found && Clock_Now() < end) {
        json_t *value = ObjectServer_Read(Site_Store(site), ENTRY_KIND, name);

        found = json_is_object(value);
        json_decref(value);
        g_usleep(10000);
    }
    return found;
}

/* Guards against a proof of freshness while the store holds a configuration
 * that cannot be used: it may have withdrawn a key. Requests without a key go
 * on. */
static void
test_unusable_configuration(void)
{
    static const char *const values[] = {
        "1e999", "{\"version\":\"00000002\",\"routes\":{\"r\":7}}"};

    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        Site *site = make_site(2);
        ClockMs end;

        g_assert_cmpint(request_status(site, 0, "/read/1", SITE_KEY), ==, 200);
        write_odd_entry(site, "config", "main", values[i]);
        g_usleep((REVOCATION_MS + 200) * 1000);
        for (int host = 0; host < 2; host++) {
            g_assert_cmpint(request_status(site, host, "/read/1", SITE_KEY),
                            ==, 503);
            g_assert_cmpint(request_status(site, host, "/open/1", NULL), ==,
                            200);
        }
        Site_Configure(site, 3, KEYS, 0);
        end = Clock_Now() + 2500;
        while (request_status(site, 0, "/read/1", SITE_KEY) != 200 &&
               Clock_Now() < end) {
            g_usleep(10000);
        }
        g_assert_cmpint(request_status(site, 0, "/read/1", SITE_KEY), ==, 200);
        Site_Destroy(site);
    }
}

/* Sends requests to `hosts` hosts in turn, each of which is served. Returns
 * how many the backend server of one host ran. */
static unsigned
serve_all(Site *site, int hosts, int watched)
{
    unsigned before = Site_Runs(site, watched);

    for (int i = 0; i < 60; i++) {
        g_assert_cmpint(request_status(site, i % hosts, "/read/1", "other"),
                        ==, 200);
    }
    return Site_Runs(site, watched) - before;
}

/* Guards against an odd entry, written before the start, while daemons run, or
 * under the name of a running host, that ends a daemon, keeps it from
 * starting, or keeps it from following the others: requests reach a host that
 * joins later and none that leaves. */
static void
test_odd_entries(void)
{
    static const SiteHost_desc place = {.data_centre = "n1"};
    Site *site = Site_Create();
    char *log;

    write_odd_entries(site, "a-odd");
    Site_Configure(site, 1, KEYS, 0);
    for (int i = 0; i < 3; i++) {
        Site_AddHost(site, &place);
    }
    Site_AwaitReady(site);
    write_odd_entries(site, "z-odd");
    write_odd_entry(site, ENTRY_KIND, "host-1", "1e999");
    g_assert_true(await_own_entry(site, "host-1"));
    Site_AddHost(site, &place);
    Site_AwaitReady(site);
    Site_Configure(site, 2, "[\"other\"]", 0);
    g_usleep(1500000);
    g_assert_cmpuint(serve_all(site, 3, 3), >, 0);
    Site_Drain(site, 3);
    g_assert_cmpuint(serve_all(site, 4, 3), ==, 0);
    for (int i = 0; i < 4; i++) {
        g_assert_false(Site_AwaitExit(site, i, 1));
    }
    log = Site_ReadLog(site, 0);
    g_assert_nonnull(strstr(log, "E206 OBJECT_REJECTED"));
    g_free(log);
    Site_Destroy(site);
}

/* The counters of what grows with the number of hosts. */
static void
expect_counters(const char *metrics)
{
    static const char *const lines[] = {
        "radishknot_owner_asks_total 1\n", "radishknot_owner_asks_risky_total",
        "radishknot_owner_asks_busy_total", "radishknot_store_lists_total",
        "radishknot_store_watches_total"};

    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        g_assert_nonnull(strstr(metrics, lines[i]));
    }
}

/* Guards against a request that cannot be traced in the logs, and against
 * metrics that are not served. */
static void
test_explanation(void)
{
    Site *site = make_site(2);
    char *line;
    char *log;
    char *metrics;

    g_assert_cmpint(request_status(site, 0, "/read/1", SITE_KEY), ==, 200);
    line = g_strdup_printf("request=%s ", Site_LastId(site));
    g_usleep(100000);
    log = Site_ReadLog(site, 0);
    g_assert_nonnull(strstr(log, "E405 REQUEST_ENDED"));
    g_assert_nonnull(strstr(log, line));
    g_assert_nonnull(strstr(log, "E228 CATALOG_IN_FORCE"));
    metrics = Site_ReadMetrics(site, 0);
    g_assert_nonnull(strstr(metrics, "radishknot_entry_requests_total 1\n"));
    g_assert_nonnull(strstr(metrics, "radishknot_entry_total_microseconds"));
    expect_counters(metrics);
    g_free(metrics);
    g_free(log);
    g_free(line);
    Site_Destroy(site);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sidecar/calm", test_without_faults);
    g_test_add_func("/sidecar/withdrawal", test_withdrawal);
    g_test_add_func("/sidecar/drain", test_drain);
    g_test_add_func("/sidecar/regions", test_regions);
    g_test_add_func("/sidecar/leave-before-restart",
                    test_leave_before_restart);
    g_test_add_func("/sidecar/gray", test_gray);
    g_test_add_func("/sidecar/graceful-stop", test_graceful_stop);
    g_test_add_func("/sidecar/unsent-retries", test_unsent_retries);
    g_test_add_func("/sidecar/kills", test_kills);
    g_test_add_func("/sidecar/lost-host", test_failed_host);
    g_test_add_func("/sidecar/quota", test_quota);
    g_test_add_func("/sidecar/odd-entries", test_odd_entries);
    g_test_add_func("/sidecar/unusable-configuration",
                    test_unusable_configuration);
    g_test_add_func("/sidecar/explanation", test_explanation);
    return g_test_run();
}
