/* bench_config_sync: time from the acceptance of a ticket until it is in
 * force, number of store calls, and start time of a new host.
 *
 *     bench_config_sync [TEAMS [TICKETS]]
 *
 * Runs the store stand-in, one watcher, one host that receives updates from
 * the watcher and one new host in this process, over loopback. Bundles are
 * passed between the hosts by a function call.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "config/config_sync_private.h"
#include "store_standin.h"

#define TEAMS_PER_TICKET 4000
#define HOSTS 3

static struct Host {
    uint64_t id;
    Config *config;
    ConfigSync *sync;
    gboolean watcher;
} hosts[HOSTS];

static gboolean
is_watcher(void *context)
{
    return ((struct Host *)context)->watcher;
}

static GBytes *
fetch(void *context, uint64_t peer, const ConfigSyncRequest *request,
      GError **error)
{
    (void)context;
    (void)error;
    return ConfigSync_CreateBundle(hosts[peer].sync, request);
}

/* Notifies host 1 when the watcher has a new version; in a daemon this is an
 * RPC. */
static void
changed(void *context, int64_t version, uint64_t withdrawals)
{
    struct Host *host = context;

    if (host->id == 0 && hosts[1].sync != NULL) {
        ConfigSync_HandlePeerVersion(hosts[1].sync, 0, version, withdrawals,
                                     0);
    }
}

static void
start_host(uint64_t id, const char *address, gboolean watcher)
{
    struct Host *host = &hosts[id];
    ConfigSync_desc desc = {
        .store_addresses = address,
        .context = host,
        .is_watcher = is_watcher,
        .fetch = fetch,
        .changed = changed,
    };

    host->id = id;
    host->watcher = watcher;
    host->config = Config_Create();
    desc.config = host->config;
    host->sync = ConfigSync_Create(&desc, NULL);
    ConfigSync_Start(host->sync);
}

static void
stop_host(uint64_t id)
{
    ConfigSync_Destroy(hosts[id].sync);
    Config_Destroy(hosts[id].config);
}

static void
wait_version(uint64_t id, int64_t version)
{
    while (Config_PeekVersion(hosts[id].config) < version) {
        g_usleep(100);
    }
}

/* Applies a ticket that sets the teams from first to last. */
static void
apply(Store *store, int64_t number, int first, int last)
{
    GString *text = g_string_new(NULL);
    GPtrArray *problems = Ticket_CreateProblems();
    Ticket *ticket;

    g_string_printf(text,
                    "{\"ticket\":%" G_GINT64_FORMAT ",\"who\":\"bench\","
                    "\"when\":\"2026-01-31T12:00:00Z\",\"why\":\"bench\","
                    "\"sets\":{\"teams\":{",
                    number);
    for (int i = first; i <= last; i++) {
        ConfigKeyHash hash;
        char key[32];
        char hex[65];

        g_snprintf(key, sizeof(key), "key-%d", i);
        Config_HashKey(key, strlen(key), &hash);
        Config_HashToHex(&hash, hex);
        g_string_append_printf(text,
                               "%s\"team-%06d\":{\"rate_per_s\":10,"
                               "\"burst\":%d,\"keys\":[\"%s\"]}",
                               i > first ? "," : "", i, (int)(number % 1000),
                               hex);
    }
    g_string_append(text, "}}}");
    ticket =
        Ticket_Parse(text->str, text->len, TICKET_FROM_OPERATOR, problems);
    if (ticket == NULL || Ticket_Apply(ticket, store, NULL) != RESULT_OK) {
        fprintf(stderr, "ticket refused\n");
        exit(1);
    }
    Ticket_Free(ticket);
    g_ptr_array_unref(problems);
    g_string_free(text, TRUE);
}

static int
compare(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return (left > right) - (left < right);
}

static void
print_times(const char *what, double *times, int count)
{
    qsort(times, (size_t)count, sizeof(double), compare);
    printf("%s: median %.2f ms, 99%% %.2f ms, highest %.2f ms\n", what,
           times[count / 2], times[count * 99 / 100], times[count - 1]);
}

static int64_t
count_calls(StoreStandin *standin)
{
    static const char *const kinds[] = {"get", "list", "watch", "put",
                                        "delete"};
    int64_t calls = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        calls += StoreStandin_GetCalls(standin, kinds[i]);
    }
    return calls;
}

/* Applies tickets one by one and measures the time until each is in force.
 * Returns the number of the last ticket. */
static int64_t
measure_tickets(Store *store, int64_t number, int tickets, int teams)
{
    double *direct = g_new(double, tickets);
    double *peer = g_new(double, tickets);

    for (int i = 0; i < tickets; i++) {
        int64_t start;

        number++;
        start = Clock_NowMicroseconds();
        apply(store, number, i % teams, MIN(i % teams + 9, teams - 1));
        wait_version(0, number);
        direct[i] = (double)(Clock_NowMicroseconds() - start) / 1000;
        wait_version(1, number);
        peer[i] = (double)(Clock_NowMicroseconds() - start) / 1000;
    }
    print_times("apply to in force at the watcher", direct, tickets);
    print_times("apply to in force at the watcher's peer", peer, tickets);
    g_free(direct);
    g_free(peer);
    return number;
}

int
main(int argc, char **argv)
{
    int teams = argc > 1 ? atoi(argv[1]) : 220000; /* NOLINT */
    int tickets = argc > 2 ? atoi(argv[2]) : 200;  /* NOLINT */
    StoreStandin *standin = StoreStandin_Create();
    char *address =
        g_strdup_printf("127.0.0.1:%d", StoreStandin_Listen(standin, 0));
    Store_desc desc = {.addresses = address};
    Store *store = Store_Create(&desc, NULL);
    int64_t number = 0;
    int64_t calls;
    int64_t start;

    rcu_register_thread();
    start_host(0, address, TRUE);
    start_host(1, address, FALSE);
    for (int i = 0; i < teams; i += TEAMS_PER_TICKET) {
        apply(store, ++number, i, MIN(i + TEAMS_PER_TICKET, teams) - 1);
    }
    wait_version(0, number);
    wait_version(1, number);
    number = measure_tickets(store, number, tickets, teams);
    calls = count_calls(standin);
    g_usleep(10000000);
    printf("calls on the store by an idle watcher and peer: %.1f in 10 s\n",
           (double)(count_calls(standin) - calls));
    calls = count_calls(standin);
    start = Clock_NowMicroseconds();
    start_host(2, address, FALSE);
    wait_version(2, number);
    printf("start of a new host: %.0f ms, %.0f calls\n",
           (double)(Clock_NowMicroseconds() - start) / 1000,
           (double)(count_calls(standin) - calls));
    for (uint64_t i = 0; i < HOSTS; i++) {
        stop_host(i);
    }
    rcu_unregister_thread();
    Store_Destroy(store);
    StoreStandin_Destroy(standin);
    g_free(address);
    return 0;
}
