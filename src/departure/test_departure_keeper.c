/* Tests of departures that neighbours keep, on loopback sockets. */
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "base/rng.h"
#include "departure/departure_keeper.h"
#include "http/http_message.h"

#define SECRET "sixteen bytes or more"
#define MAX_HOSTS 4

/* A host with its RPC server. */
typedef struct Host {
    char name[16];
    Rpc *rpc;
    Roster *roster;
    DepartureKeeper *keeper;
    pthread_mutex_t lock; /* protects the fields below */
    gboolean is_written;  /* reported for each copy that is returned */
    int returned;
    char instance[64];
    int64_t born;
} Host;

static gboolean
take(void *context, const char *instance, int64_t born)
{
    Host *host = context;
    gboolean is_written;

    pthread_mutex_lock(&host->lock);
    host->returned++;
    g_strlcpy(host->instance, instance, sizeof(host->instance));
    host->born = born;
    is_written = host->is_written;
    pthread_mutex_unlock(&host->lock);
    return is_written;
}

static int
count_returned(Host *host)
{
    int returned;

    pthread_mutex_lock(&host->lock);
    returned = host->returned;
    pthread_mutex_unlock(&host->lock);
    return returned;
}

static void
expect_instance(Host *host, const char *instance)
{
    pthread_mutex_lock(&host->lock);
    g_assert_cmpstr(host->instance, ==, instance);
    pthread_mutex_unlock(&host->lock);
}

static void
expect_returned(Host *host, const char *instance, int64_t born)
{
    expect_instance(host, instance);
    pthread_mutex_lock(&host->lock);
    g_assert_cmpint(host->born, ==, born);
    pthread_mutex_unlock(&host->lock);
}

static void
set_written(Host *host)
{
    pthread_mutex_lock(&host->lock);
    host->is_written = TRUE;
    pthread_mutex_unlock(&host->lock);
}

/* Starts a process of the host; a later one has a higher incarnation. */
static void
start(Host *host, int number, uint64_t incarnation, uint16_t port,
      gboolean is_earlier_version)
{
    Roster_desc roster = {
        .host = host->name, .data_centre = "n1", .region = "norte"};
    Rpc_desc rpc = {.incarnation = incarnation,
                    .port = port,
                    .secret = SECRET,
                    .secret_bytes = sizeof(SECRET)};

    *host = (Host){0};
    pthread_mutex_init(&host->lock, NULL);
    g_snprintf(host->name, sizeof(host->name), "host-%d", number);
    rpc.host = Rng_HashString(host->name);
    host->rpc = Rpc_Create(&rpc, NULL);
    g_assert_nonnull(host->rpc);
    host->roster = Roster_Create(&roster);
    if (!is_earlier_version) {
        host->keeper = DepartureKeeper_Create(
            &(DepartureKeeper_desc){.rpc = host->rpc,
                                    .roster = host->roster,
                                    .host = host->name,
                                    .address = "127.0.0.1",
                                    .returned = take,
                                    .context = host});
    }
    g_assert_true(Rpc_Start(host->rpc, NULL));
}

static void
stop(Host *host)
{
    Rpc_Stop(host->rpc);
    Rpc_Destroy(host->rpc);
    DepartureKeeper_Destroy(host->keeper);
    Roster_Destroy(host->roster);
    pthread_mutex_destroy(&host->lock);
}

static void
introduce(Host *host, const Host *other)
{
    RosterEntry entry = {.rpc_port = Rpc_GetPort(other->rpc), .slots = 1};

    g_strlcpy(entry.host, other->name, sizeof(entry.host));
    g_strlcpy(entry.instance, "i", sizeof(entry.instance));
    g_strlcpy(entry.service, "permits", sizeof(entry.service));
    g_strlcpy(entry.data_centre, "n1", sizeof(entry.data_centre));
    g_strlcpy(entry.region, "norte", sizeof(entry.region));
    g_assert_true(HttpAddress_Parse("127.0.0.1:9", &entry.peer));
    Roster_Set(host->roster, &entry, Clock_Now());
}

/* Guards against a departure that is acknowledged although nobody keeps it,
 * and against one that the next process does not learn of. */
static void
test_next_process(void)
{
    static const struct {
        const char *name;
        int neighbours;
        int silent;  /* of these, have ended */
        int earlier; /* of these, run an earlier version */
        gboolean is_kept;
        gboolean is_collected; /* the neighbours' word is known */
    } cases[] = {{"alone", 0, 0, 0, FALSE, TRUE},
                 {"one", 1, 0, 0, TRUE, TRUE},
                 {"three", 3, 0, 0, TRUE, TRUE},
                 {"two have ended", 3, 2, 0, TRUE, TRUE},
                 {"all have ended", 2, 2, 0, FALSE, FALSE},
                 {"earlier versions", 2, 0, 2, FALSE, TRUE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Host hosts[MAX_HOSTS];
        int count = 1 + cases[i].neighbours;

        g_test_message("%s", cases[i].name);
        for (int host = 0; host < count; host++) {
            start(&hosts[host], host, 1, 0,
                  host > 0 && host <= cases[i].earlier);
        }
        for (int host = 1; host < count; host++) {
            introduce(&hosts[0], &hosts[host]);
            if (host <= cases[i].silent) {
                Rpc_Stop(hosts[host].rpc);
            }
        }
        g_assert_cmpint(DepartureKeeper_Deposit(hosts[0].keeper, "i1", 100),
                        ==, cases[i].is_kept);
        stop(&hosts[0]);

        start(&hosts[0], 0, 2, 0, FALSE);
        for (int host = 1; host < count; host++) {
            introduce(&hosts[0], &hosts[host]);
        }
        g_assert_cmpint(DepartureKeeper_Collect(hosts[0].keeper), ==,
                        cases[i].is_collected);
        g_assert_cmpint(count_returned(&hosts[0]) > 0, ==, cases[i].is_kept);
        if (cases[i].is_kept) {
            expect_returned(&hosts[0], "i1", 100);
        }
        for (int host = 0; host < count; host++) {
            stop(&hosts[host]);
        }
    }
}

/* Guards against a copy that its host never learns of, since it does not know
 * its neighbours, against one that is dropped before the store has the record,
 * and against one that is sent for ever. */
static void
test_return(void)
{
    Host hosts[2];
    uint16_t port;

    start(&hosts[0], 0, 1, 0, FALSE);
    start(&hosts[1], 1, 1, 0, FALSE);
    introduce(&hosts[0], &hosts[1]);
    g_assert_true(DepartureKeeper_Deposit(hosts[0].keeper, "i1", 100));
    port = Rpc_GetPort(hosts[0].rpc);
    stop(&hosts[0]);
    DepartureKeeper_Return(hosts[1].keeper);

    start(&hosts[0], 0, 2, port, FALSE);
    while (count_returned(&hosts[0]) < 2) {
        DepartureKeeper_Return(hosts[1].keeper);
        g_usleep(10000);
    }
    expect_returned(&hosts[0], "i1", 100);
    set_written(&hosts[0]);
    while (count_returned(&hosts[0]) < 3) {
        DepartureKeeper_Return(hosts[1].keeper);
        g_usleep(10000);
    }
    for (int i = 0; i < 50; i++) {
        DepartureKeeper_Return(hosts[1].keeper);
        g_usleep(10000);
    }
    g_assert_cmpint(count_returned(&hosts[0]), ==, 3);
    stop(&hosts[0]);
    stop(&hosts[1]);
}

/* Guards against the copy of a later departure that a late message of an
 * earlier one replaces. */
static void
test_order(void)
{
    static const struct {
        const char *instance;
        int64_t born;
        const char *kept;
    } steps[] = {{"i1", 100, "i1"}, {"i2", 200, "i2"}, {"i1", 100, "i2"},
                 {"i2", 300, "i2"}, {"i3", 0, "i3"},   {"i4", 50, "i4"}};
    Host hosts[2];

    start(&hosts[0], 0, 1, 0, FALSE);
    start(&hosts[1], 1, 1, 0, FALSE);
    introduce(&hosts[0], &hosts[1]);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        g_assert_true(DepartureKeeper_Deposit(
            hosts[0].keeper, steps[i].instance, steps[i].born));
        g_assert_true(DepartureKeeper_Collect(hosts[0].keeper));
        expect_instance(&hosts[0], steps[i].kept);
    }
    stop(&hosts[0]);
    stop(&hosts[1]);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/departure-keeper/next-process", test_next_process);
    g_test_add_func("/departure-keeper/return", test_return);
    g_test_add_func("/departure-keeper/order", test_order);
    return g_test_run();
}
