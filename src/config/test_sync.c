/* Tests of ConfigSync: hosts in one process, with the store stand-in. */
#include <pthread.h>
#include <urcu.h>

#include "config/config_sync_private.h"
#include "config/test_support.h"
#include "store_standin.h"

#define HOSTS 4
#define WAIT_TIMEOUT_MS 30000
#define TEAM "{'rate_per_s':1,'burst':2,'keys':[]}"

typedef struct Fleet Fleet;

typedef struct Host {
    Fleet *fleet;
    uint64_t id;
    Config *config;
    ConfigSync *sync;
    int watcher;           /* atomic */
    int unresponsive;      /* atomic: requests of peers time out */
    int truncate_bundles;  /* atomic: its bundles are truncated to half */
    int changes;           /* atomic: number of calls of `changed` */
    int bundle_requests;   /* atomic: number of bundles requested by peers */
    int64_t last_version;  /* atomic: last version passed to `changed` */
    int version_decreased; /* atomic: `changed` received a lower version */
} Host;

struct Fleet {
    StoreStandin *standin;
    int port;
    char *address;
    Store *store; /* connection of the operator */
    Host hosts[HOSTS];
    int host_count; /* number of hosts from which `peers` selects */
};

static gboolean
is_watcher(void *context)
{
    return __atomic_load_n(&((Host *)context)->watcher, __ATOMIC_ACQUIRE);
}

static GBytes *
fetch(void *context, uint64_t peer, const ConfigSyncRequest *request,
      GError **error)
{
    Host *host = &((Host *)context)->fleet->hosts[peer - 1];
    ConfigSyncRequest copy;
    char *text;
    GBytes *bytes;
    GBytes *half;

    if (__atomic_load_n(&host->unresponsive, __ATOMIC_ACQUIRE)) {
        Result_SetError(error, RESULT_RPC_TIMEOUT, "no answer");
        return NULL;
    }
    __atomic_add_fetch(&host->bundle_requests, 1, __ATOMIC_ACQ_REL);
    /* Requests are sent as text. */
    text = ConfigSync_FormatRequest(request);
    g_assert_true(ConfigSync_ParseRequest(text, &copy));
    g_free(text);
    bytes = ConfigSync_CreateBundle(host->sync, &copy);
    if (__atomic_load_n(&host->truncate_bundles, __ATOMIC_ACQUIRE)) {
        half = g_bytes_new_from_bytes(bytes, 0, g_bytes_get_size(bytes) / 2);
        g_bytes_unref(bytes);
        return half;
    }
    return bytes;
}

static size_t
peers(void *context, uint64_t *ids, size_t max)
{
    Host *host = context;
    size_t count = 0;

    for (int i = 0; i < host->fleet->host_count && count < max; i++) {
        if (host->fleet->hosts[i].id != host->id) {
            ids[count++] = host->fleet->hosts[i].id;
        }
    }
    return count;
}

static void
changed(void *context, int64_t version, uint64_t withdrawals)
{
    Host *host = context;
    int64_t last_version =
        __atomic_load_n(&host->last_version, __ATOMIC_ACQUIRE);

    (void)withdrawals;
    if (version < last_version) {
        __atomic_store_n(&host->version_decreased, 1, __ATOMIC_RELEASE);
    }
    __atomic_store_n(&host->last_version, version, __ATOMIC_RELEASE);
    __atomic_add_fetch(&host->changes, 1, __ATOMIC_ACQ_REL);
}

/* Creates host number `index` without starting its thread. */
static Host *
make_host(Fleet *fleet, int index)
{
    Host *host = &fleet->hosts[index];
    ConfigSync_desc desc = {
        .store_addresses = fleet->address,
        .host = "test",
        .store_timeout_ms = 1000,
        .watch_ms = 100,
        .snapshot_every = 10,
        .sweep_ms = 100,
        .context = host,
        .is_watcher = is_watcher,
        .fetch = fetch,
        .peers = peers,
        .changed = changed,
    };

    *host = (Host){.fleet = fleet, .id = (uint64_t)index + 1};
    host->config = Config_Create();
    desc.config = host->config;
    host->sync = ConfigSync_Create(&desc, NULL);
    g_assert_nonnull(host->sync);
    fleet->host_count = MAX(fleet->host_count, index + 1);
    return host;
}

static Host *
start_host(Fleet *fleet, int index, gboolean watcher)
{
    Host *host = make_host(fleet, index);

    host->watcher = watcher;
    ConfigSync_Start(host->sync);
    return host;
}

static void
set_up(Fleet *fleet, gconstpointer data)
{
    Store_desc desc = {.timeout_ms = 1000};

    (void)data;
    fleet->standin = StoreStandin_Create();
    fleet->port = StoreStandin_Listen(fleet->standin, 0);
    fleet->address = g_strdup_printf("127.0.0.1:%d", fleet->port);
    desc.addresses = fleet->address;
    fleet->store = Store_Create(&desc, NULL);
}

static void
tear_down(Fleet *fleet, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < HOSTS; i++) {
        if (fleet->hosts[i].sync != NULL) {
            g_assert_cmpint(fleet->hosts[i].version_decreased, ==, 0);
            ConfigSync_Stop(fleet->hosts[i].sync);
        }
    }
    for (int i = 0; i < HOSTS; i++) {
        ConfigSync_Destroy(fleet->hosts[i].sync);
        Config_Destroy(fleet->hosts[i].config);
    }
    Store_Destroy(fleet->store);
    StoreStandin_Destroy(fleet->standin);
    g_free(fleet->address);
}

/* Writes the tickets from first to last, each setting one team. */
static void
write_tickets(Fleet *fleet, int first, int last)
{
    for (int i = first; i <= last; i++) {
        char *sets = g_strdup_printf("{'teams':{'t%d':" TEAM "}}", i % 17);
        Ticket *ticket = make_ticket(i, "ana", sets);

        g_assert_cmpint(Ticket_Apply(ticket, fleet->store, NULL), ==,
                        RESULT_OK);
        Ticket_Free(ticket);
        g_free(sets);
    }
}

#define WAIT_UNTIL(condition)                         \
    do {                                              \
        ClockMs _end = Clock_Now() + WAIT_TIMEOUT_MS; \
        while (!(condition)) {                        \
            g_assert_cmpint(Clock_Now(), <, _end);    \
            g_usleep(1000);                           \
        }                                             \
    } while (0)

static void
wait_version(const Host *host, int64_t version)
{
    WAIT_UNTIL(Config_PeekVersion(host->config) >= version);
    g_assert_cmpint(Config_PeekVersion(host->config), ==, version);
}

static void
send_version(Host *to, const Host *from)
{
    ConfigSync_HandlePeerVersion(to->sync, from->id,
                                 Config_PeekVersion(from->config),
                                 Config_GetWithdrawalsDigest(from->config),
                                 ConfigSync_ContactAgeMs(from->sync));
}

static ConfigKeyHash
key_hash(int number)
{
    ConfigKeyHash hash;
    char hex[65];

    g_assert_true(Config_HashFromHex(key_hex(number, hex), &hash));
    return hash;
}

/* Guards against tickets that a watcher misses, also when the store restarts
 * during a watch. */
static void
test_watch_restart(Fleet *fleet, gconstpointer data)
{
    Host *host = start_host(fleet, 0, TRUE);

    (void)data;
    write_tickets(fleet, 1, 3);
    wait_version(host, 3);
    WAIT_UNTIL(StoreStandin_GetWaiting(fleet->standin) > 0);
    StoreStandin_Close(fleet->standin);
    g_assert_cmpint(StoreStandin_Listen(fleet->standin, fleet->port), >, 0);
    write_tickets(fleet, 4, 5);
    wait_version(host, 5);
    g_assert_cmpint(ConfigSync_ContactAgeMs(host->sync), >=, 0);
}

static int64_t
count_reads(Fleet *fleet)
{
    return StoreStandin_GetCalls(fleet->standin, "get") +
           StoreStandin_GetCalls(fleet->standin, "list") +
           StoreStandin_GetCalls(fleet->standin, "watch");
}

/* Waits until an object exists. */
static void
wait_object(Fleet *fleet, const char *name)
{
    StoreObject object;

    WAIT_UNTIL(Store_Get(fleet->store, name, &object, NULL) == RESULT_OK);
    StoreObject_Clear(&object);
}

static gboolean
object_exists(Fleet *fleet, const char *name)
{
    StoreObject object;
    gboolean found = Store_Get(fleet->store, name, &object, NULL) == RESULT_OK;

    StoreObject_Clear(&object);
    return found;
}

/* Returns the ticket of the newest snapshot in the store, 0 if none. */
static int64_t
newest_snapshot(Fleet *fleet)
{
    StoreObject object;
    int64_t ticket = 0;

    if (Store_Get(fleet->store, "snapshot/newest", &object, NULL) ==
        RESULT_OK) {
        ticket = json_integer_value(json_object_get(object.value, "ticket"));
    }
    StoreObject_Clear(&object);
    return ticket;
}

typedef struct FaultCase {
    const char *name;
    const char *faults;
} FaultCase;

static const FaultCase fault_cases[] = {
    {"down", "{\"down\":true,\"count\":20}"},
    {"slow", "{\"slow_ms\":1500,\"count\":2}"},
    {"stale", "{\"stale_versions\":2,\"count\":20}"},
    {"lost", "{\"lose_answer_percent\":50,\"count\":10}"},
};

/* Guards against a watcher that returns to an older version, or does not catch
 * up, after the store was down, slow or stale, or lost answers, for some
 * calls. */
static void
test_faults(Fleet *fleet, gconstpointer data)
{
    const FaultCase *one = data;
    Host *host = start_host(fleet, 0, TRUE);
    int64_t calls;

    write_tickets(fleet, 1, 4);
    wait_version(host, 4);
    g_assert_true(StoreStandin_SetFaults(fleet->standin, one->faults));
    calls = count_reads(fleet);
    WAIT_UNTIL(count_reads(fleet) >= calls + 4);
    g_assert_true(StoreStandin_SetFaults(fleet->standin, "{}"));
    g_assert_cmpint(Config_PeekVersion(host->config), ==, 4);
    write_tickets(fleet, 5, 6);
    wait_version(host, 6);
}

/* Guards against an invalid ticket that blocks all later ones. */
static void
test_invalid_ticket(Fleet *fleet, gconstpointer data)
{
    static const char *const values[] = {
        "7", "{\"ticket\":9}", "{\"ticket\":4,\"sets\":{}}",
        "{\"ticket\":5,\"id\":\"0b0f4d3e-8a54-4a6c-9d0f-5c8f3f1c2a11\","
        "\"who\":\"a\",\"when\":\"2026-01-31T12:00:00Z\",\"why\":\"x\","
        "\"sets\":{\"teams\":{\"bad\":{\"rate_per_s\":1}}}}"};
    Host *host;
    Host *other;

    (void)data;
    write_tickets(fleet, 1, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        json_t *value = json_loads(values[i], JSON_DECODE_ANY, NULL);
        char name[20];

        g_snprintf(name, sizeof(name), "ticket/%zu", i + 2);
        g_assert_cmpint(Store_Put(fleet->store, name, 0, value, NULL, NULL),
                        ==, RESULT_OK);
        json_decref(value);
    }
    write_tickets(fleet, 6, 6);
    host = start_host(fleet, 0, TRUE);
    wait_version(host, 6);
    /* A peer skips the same tickets. */
    other = make_host(fleet, 1);
    other->sync->loaded = TRUE;
    ConfigSync_Start(other->sync);
    send_version(other, host);
    wait_version(other, 6);
}

/* Guards against a host that calls the store although it is no watcher, and
 * against a version that does not spread from peer to peer. */
static void
test_peers(Fleet *fleet, gconstpointer data)
{
    Host *watcher = start_host(fleet, 0, TRUE);
    Host *middle;
    Host *last;
    int64_t calls;

    (void)data;
    write_tickets(fleet, 1, 5);
    wait_version(watcher, 5);
    middle = start_host(fleet, 1, FALSE);
    last = start_host(fleet, 2, FALSE);
    wait_version(middle, 5);
    wait_version(last, 5);
    ConfigSync_Stop(watcher->sync);
    write_tickets(fleet, 6, 8);
    ConfigSync_Start(watcher->sync);
    wait_version(watcher, 8);
    ConfigSync_Stop(watcher->sync);
    calls = count_reads(fleet);
    send_version(middle, watcher);
    wait_version(middle, 8);
    send_version(last, middle);
    wait_version(last, 8);
    /* A delayed message of a peer with an older version changes nothing. */
    ConfigSync_HandlePeerVersion(last->sync, 2, 3, 0, -1);
    g_assert_cmpint(Config_PeekVersion(last->config), ==, 8);
    g_assert_cmpint(count_reads(fleet), ==, calls);
}

/* Guards against a new daemon that stays without configuration, or loads an
 * older one, when the store is down: it must load the highest version of its
 * peers. */
static void
test_start_without_store(Fleet *fleet, gconstpointer data)
{
    Host *low;
    Host *high;
    Host *new;

    (void)data;
    write_tickets(fleet, 1, 12);
    high = start_host(fleet, 1, FALSE);
    wait_version(high, 12);
    ConfigSync_Stop(high->sync);
    low = make_host(fleet, 0);
    for (int i = 1; i <= 3; i++) {
        apply_sets(low->config, "{'teams':{'low':" TEAM "}}");
    }
    StoreStandin_Close(fleet->standin);
    new = start_host(fleet, 2, FALSE);
    wait_version(new, 12);
    g_assert_cmpint(ConfigSync_ContactAgeMs(new->sync), >=, 0);
    send_version(new, low);
    g_assert_cmpint(Config_PeekVersion(new->config), ==, 12);
    /* The host with the older version catches up from a peer. */
    low->sync->loaded = TRUE;
    ConfigSync_Start(low->sync);
    send_version(low, high);
    wait_version(low, 12);
}

/* Guards against a host that applies half of a bundle, or stops fetching after
 * a truncated or missing answer. */
static void
test_bad_bundles(Fleet *fleet, gconstpointer data)
{
    Host *good = make_host(fleet, 0);
    Host *host = make_host(fleet, 1);

    (void)data;
    StoreStandin_Close(fleet->standin);
    for (int i = 1; i <= 30; i++) {
        apply_sets(good->config, "{'teams':{'a':" TEAM "}}");
    }
    host->sync->loaded = TRUE;
    ConfigSync_Start(host->sync);
    __atomic_store_n(&good->truncate_bundles, 1, __ATOMIC_RELEASE);
    send_version(host, good);
    WAIT_UNTIL(__atomic_load_n(&good->bundle_requests, __ATOMIC_ACQUIRE) > 0);
    g_assert_cmpint(Config_PeekVersion(host->config), ==, 0);
    __atomic_store_n(&good->truncate_bundles, 0, __ATOMIC_RELEASE);
    __atomic_store_n(&good->unresponsive, 1, __ATOMIC_RELEASE);
    send_version(host, good);
    __atomic_store_n(&good->unresponsive, 0, __ATOMIC_RELEASE);
    send_version(host, good);
    wait_version(host, 30);
}

/* Fills a table so that its snapshot has several parts. */
static void
fill(Config *config, int teams)
{
    GString *sets = g_string_new(NULL);

    for (int i = 0; i < teams;) {
        g_string_assign(sets, "{'teams':{");
        for (int n = 0; n < 2000 && i < teams; n++, i++) {
            char hex[65];

            g_string_append_printf(sets,
                                   "%s't%d':{'rate_per_s':1,'burst':1,"
                                   "'keys':['%s']}",
                                   n > 0 ? "," : "", i, key_hex(i, hex));
        }
        g_string_append(sets, "}}");
        g_assert_cmpint(apply_sets(config, sets->str), ==, RESULT_OK);
    }
    g_string_free(sets, TRUE);
}

static ConfigStats
get_stats(const Host *host)
{
    ConfigStats stats;

    Config_GetStats(host->config, &stats);
    return stats;
}

/* Guards against a snapshot whose parts are of different versions: the peer's
 * table changes while another host fetches it. */
static void
test_peer_snapshot(Fleet *fleet, gconstpointer data)
{
    Host *from = make_host(fleet, 0);
    Host *to = make_host(fleet, 1);
    ConfigStats stats;

    (void)data;
    StoreStandin_Close(fleet->standin);
    fill(from->config, 12000);
    to->sync->loaded = TRUE;
    ConfigSync_Start(to->sync);
    send_version(to, from);
    WAIT_UNTIL(__atomic_load_n(&from->bundle_requests, __ATOMIC_ACQUIRE) > 1);
    apply_sets(from->config, "{'teams':{'t5':null}}");
    WAIT_UNTIL(Config_PeekVersion(to->config) >= 6);
    g_assert_cmpint(from->sync->served_parts, >, 1);
    stats = get_stats(to);
    g_assert_cmpint(stats.teams, ==, stats.version == 6 ? 12000 : 11999);
    /* The peer has not cached ticket 7, and serves version 6 as long as it is
     * requested; only a new snapshot brings version 7. */
    _ConfigSync_UnpinServed(from->sync, TRUE);
    WAIT_UNTIL((send_version(to, from), Config_PeekVersion(to->config) == 7));
    stats = get_stats(to);
    g_assert_cmpint(stats.teams, ==, 11999);
    g_assert_cmpint(stats.keys, ==, 11999);
}

/* Guards against snapshots that are not written, written by several watchers,
 * or never deleted, and against a new daemon that does not load one. */
static void
test_store_snapshot(Fleet *fleet, gconstpointer data)
{
    Host *one = start_host(fleet, 0, TRUE);
    Host *two = start_host(fleet, 1, TRUE);
    Host *new;
    int64_t gets;

    (void)data;
    for (int i = 10; i <= 30; i += 10) {
        write_tickets(fleet, i - 9, i);
        WAIT_UNTIL(newest_snapshot(fleet) == i);
    }
    wait_version(one, 30);
    wait_version(two, 30);
    WAIT_UNTIL(!object_exists(fleet, "snapshot/10/0"));
    g_assert_true(object_exists(fleet, "snapshot/20/0"));
    ConfigSync_Stop(one->sync);
    ConfigSync_Stop(two->sync);
    gets = StoreStandin_GetCalls(fleet->standin, "get");
    new = start_host(fleet, 2, FALSE);
    wait_version(new, 30);
    ConfigSync_Stop(new->sync);
    g_assert_cmpint(StoreStandin_GetCalls(fleet->standin, "get") - gets, ==,
                    2);
    g_assert_cmpint(new->changes, ==, 1);
}

typedef struct BrokenSnapshotCase {
    const char *name;
    const char *object; /* name of the object to replace */
    const char *value;  /* its new value; NULL = delete the object */
} BrokenSnapshotCase;

static const BrokenSnapshotCase broken_snapshot_cases[] = {
    {"part-missing", "snapshot/10/0", NULL},
    {"part-of-another", "snapshot/10/0",
     "{\"id\":\"x\",\"ticket\":10,\"part\":0,\"parts\":1,\"sets\":{}}"},
    {"part-not-object", "snapshot/10/0", "[]"},
    {"newest-not-object", "snapshot/newest", "3"},
    {"newest-without-parts", "snapshot/newest",
     "{\"id\":\"x\",\"ticket\":99,\"ticket_version\":1,\"parts\":[],"
     "\"old_ticket\":0,\"old_parts\":[]}"},
};

/* Guards against a broken snapshot that is applied, or that leaves a new
 * daemon without configuration: it must read the tickets instead. */
static void
test_broken_snapshot(Fleet *fleet, gconstpointer data)
{
    const BrokenSnapshotCase *one = data;
    Host *host = start_host(fleet, 0, TRUE);
    json_t *value =
        one->value ? json_loads(one->value, JSON_DECODE_ANY, NULL) : NULL;
    StoreObject object;

    write_tickets(fleet, 1, 10);
    WAIT_UNTIL(newest_snapshot(fleet) == 10);
    ConfigSync_Stop(host->sync);
    write_tickets(fleet, 11, 12);
    g_assert_cmpint(Store_Get(fleet->store, one->object, &object, NULL), ==,
                    RESULT_OK);
    if (value != NULL) {
        g_assert_cmpint(Store_Put(fleet->store, one->object, object.version,
                                  value, NULL, NULL),
                        ==, RESULT_OK);
    }
    else {
        g_assert_cmpint(Store_Delete(fleet->store, one->object, object.version,
                                     NULL, NULL),
                        ==, RESULT_OK);
    }
    StoreObject_Clear(&object);
    json_decref(value);
    host = start_host(fleet, 1, FALSE);
    wait_version(host, 12);
    g_assert_cmpint(get_stats(host).teams, ==, 12);
}

/* Guards against a watcher that returns to an older version, or applies no
 * more tickets and withdrawals, after the store was restored from an older
 * copy and the operators write the lost tickets again. */
static void
test_store_restored(Fleet *fleet, gconstpointer data)
{
    Host *host = start_host(fleet, 0, TRUE);
    ConfigKeyHash hash = key_hash(1);
    json_t *value = json_pack("{s:s}", "id", "x");
    char hex[65];
    char *name = g_strconcat("withdrawn/", key_hex(1, hex), NULL);

    (void)data;
    write_tickets(fleet, 1, 6);
    wait_version(host, 6);
    StoreStandin_Destroy(fleet->standin);
    fleet->standin = StoreStandin_Create();
    g_assert_cmpint(StoreStandin_Listen(fleet->standin, fleet->port), >, 0);
    write_tickets(fleet, 1, 2);
    g_assert_cmpint(Store_Put(fleet->store, name, 0, value, NULL, NULL), ==,
                    RESULT_OK);
    WAIT_UNTIL(Config_IsWithdrawn(host->config, &hash));
    g_assert_cmpint(Config_PeekVersion(host->config), ==, 6);
    write_tickets(fleet, 3, 7);
    wait_version(host, 7);
    json_decref(value);
    g_free(name);
}

/* Guards against a withdrawal that does not reach the store, a watcher or a
 * peer. */
static void
test_withdrawal(Fleet *fleet, gconstpointer data)
{
    Host *watcher = start_host(fleet, 0, TRUE);
    Host *origin = start_host(fleet, 1, FALSE);
    Host *peer = start_host(fleet, 2, FALSE);
    ConfigKeyHash hash = key_hash(1);

    (void)data;
    /* Through the store. */
    g_assert_true(ConfigSync_Withdraw(origin->sync, &hash, TRUE));
    g_assert_false(ConfigSync_Withdraw(origin->sync, &hash, TRUE));
    WAIT_UNTIL(Config_IsWithdrawn(watcher->config, &hash));
    /* Through a peer, even without a new version. */
    send_version(peer, origin);
    WAIT_UNTIL(Config_IsWithdrawn(peer->config, &hash));
}

/* Guards against a withdrawal that is lost when the host on which it was made
 * fails before writing it: a watcher that knows the withdrawal must write it.
 */
static void
test_withdrawal_sweep(Fleet *fleet, gconstpointer data)
{
    Host *watcher = start_host(fleet, 0, TRUE);
    Host *origin = make_host(fleet, 1);
    ConfigKeyHash hash = key_hash(2);
    char hex[65];
    char *name = g_strconcat("withdrawn/", key_hex(2, hex), NULL);

    (void)data;
    ConfigSync_Withdraw(origin->sync, &hash, TRUE);
    send_version(watcher, origin);
    WAIT_UNTIL(Config_IsWithdrawn(watcher->config, &hash));
    wait_object(fleet, name);
    g_free(name);
}

/* Guards against sets of withdrawals that never become equal when each lacks
 * something of the other, and against losing part of a list that is longer
 * than one bundle. */
static void
test_withdrawals_diverged(Fleet *fleet, gconstpointer data)
{
    Host *one = make_host(fleet, 0);
    Host *two = make_host(fleet, 1);

    (void)data;
    StoreStandin_Close(fleet->standin);
    for (int i = 0; i < 20000; i++) {
        ConfigKeyHash hash = key_hash(i);

        Config_WithdrawKey(i < 9000 ? one->config : two->config, &hash);
    }
    one->sync->loaded = TRUE;
    two->sync->loaded = TRUE;
    ConfigSync_Start(one->sync);
    send_version(one, two);
    WAIT_UNTIL(one->config->withdrawn != NULL &&
               ConfigWithdrawn_GetCount(one->config->withdrawn) == 20000);
    ConfigSync_Start(two->sync);
    send_version(two, one);
    WAIT_UNTIL(Config_GetWithdrawalsDigest(two->config) ==
               Config_GetWithdrawalsDigest(one->config));
}

/* Age in ms that exceeds any uptime. */
#define LONG_AGO_MS INT64_C(4000000000000)

/* Guards against a contact age that is not the smallest one reported, which
 * would isolate a host wrongly, and against treating a contact before the
 * host's start as no contact. */
static void
test_contact(Fleet *fleet, gconstpointer data)
{
    Host *host = make_host(fleet, 0);

    (void)data;
    g_assert_cmpint(ConfigSync_ContactAgeMs(host->sync), ==, -1);
    ConfigSync_HandlePeerVersion(host->sync, 2, 0, 0, -1);
    g_assert_cmpint(ConfigSync_ContactAgeMs(host->sync), ==, -1);
    /* Longer ago than this host's uptime. */
    ConfigSync_HandlePeerVersion(host->sync, 2, 0, 0, LONG_AGO_MS);
    g_assert_cmpint(ConfigSync_ContactAgeMs(host->sync), >=, LONG_AGO_MS);
    ConfigSync_HandlePeerVersion(host->sync, 2, 0, 0, 500000);
    g_assert_cmpint(ConfigSync_ContactAgeMs(host->sync), >=, 500000);
    ConfigSync_HandlePeerVersion(host->sync, 3, 0, 0, 100000);
    ConfigSync_HandlePeerVersion(host->sync, 2, 0, 0, 900000);
    g_assert_cmpint(ConfigSync_ContactAgeMs(host->sync), >=, 100000);
    g_assert_cmpint(ConfigSync_ContactAgeMs(host->sync), <, 500000);
}

/* Guards against accepting malformed requests. */
static void
test_requests(void)
{
    static const char *const invalid[] = {
        "version",     "version=-1",       "version=x", "other=1",
        "part=1&&x=1", "part=99999999999", "=1",
    };
    ConfigSyncRequest request;

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_false(ConfigSync_ParseRequest(invalid[i], &request));
    }
}

static void
add_test(const char *path, const void *data,
         void (*test)(Fleet *fleet, gconstpointer data))
{
    g_test_add(path, Fleet, data, set_up, test, tear_down);
}

int
main(int argc, char **argv)
{
    int result;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    init_error_domains();
    add_test("/sync/watch-restart", NULL, test_watch_restart);
    for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
        char *path = g_strconcat("/sync/faults/", fault_cases[i].name, NULL);

        add_test(path, &fault_cases[i], test_faults);
        g_free(path);
    }
    add_test("/sync/invalid-ticket", NULL, test_invalid_ticket);
    add_test("/sync/peers", NULL, test_peers);
    add_test("/sync/start-without-store", NULL, test_start_without_store);
    add_test("/sync/bad-bundles", NULL, test_bad_bundles);
    add_test("/sync/peer-snapshot", NULL, test_peer_snapshot);
    add_test("/sync/store-snapshot", NULL, test_store_snapshot);
    for (size_t i = 0; i < G_N_ELEMENTS(broken_snapshot_cases); i++) {
        char *path = g_strconcat("/sync/snapshot-cut/",
                                 broken_snapshot_cases[i].name, NULL);

        add_test(path, &broken_snapshot_cases[i], test_broken_snapshot);
        g_free(path);
    }
    add_test("/sync/store-set-back", NULL, test_store_restored);
    add_test("/sync/withdrawal", NULL, test_withdrawal);
    add_test("/sync/withdrawal-sweep", NULL, test_withdrawal_sweep);
    add_test("/sync/withdrawals-diverged", NULL, test_withdrawals_diverged);
    add_test("/sync/contact", NULL, test_contact);
    g_test_add_func("/sync/requests", test_requests);
    result = g_test_run();
    rcu_unregister_thread();
    return result;
}
