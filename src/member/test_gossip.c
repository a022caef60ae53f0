/* Tests of gossip over real sockets on loopback. The tests poll for
 * conditions, for up to WAIT_MS, instead of sleeping for a fixed time. */
#include "member/gossip.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>
#include <urcu.h>

#include "base/clock.h"
#include "base/rng.h"

#define LOOPBACK 0x7f000001
#define HOSTS 5
#define WAIT_MS 30000

static const char secret[] = "sixteen bytes or more";

typedef struct Daemon {
    Rpc *rpc;
    Gossip *gossip;
    uint64_t id;
    int payload_to_send; /* atomic: value that append_payload() sends */
    int highest_payload; /* atomic: highest value received */
    int superseded;      /* atomic */
    RpcPeer roster[2];
    uint32_t roster_count;
} Daemon;

static void
append_payload(void *context, GByteArray *payload)
{
    Daemon *daemon = context;
    int value = __atomic_load_n(&daemon->payload_to_send, __ATOMIC_ACQUIRE);

    g_byte_array_append(payload, (const guint8 *)&value, sizeof(value));
}

static void
read_payload(void *context, const RpcPeer *sender, const GByteArray *payload)
{
    Daemon *daemon = context;
    int value;

    g_assert_cmpuint(sender->host, !=, 0);
    g_assert_cmpuint(payload->len, ==, sizeof(value));
    memcpy(&value, payload->data, sizeof(value));
    if (value > __atomic_load_n(&daemon->highest_payload, __ATOMIC_ACQUIRE)) {
        __atomic_store_n(&daemon->highest_payload, value, __ATOMIC_RELEASE);
    }
}

static void
superseded(void *context)
{
    Daemon *daemon = context;

    __atomic_store_n(&daemon->superseded, 1, __ATOMIC_RELEASE);
}

static uint32_t
read_roster(void *context, RpcPeer *entries, uint32_t max)
{
    Daemon *daemon = context;

    g_assert_cmpuint(max, >=, daemon->roster_count);
    memcpy(entries, daemon->roster, sizeof(daemon->roster));
    return daemon->roster_count;
}

static RpcPeer
address_of(const Daemon *daemon)
{
    return (RpcPeer){.ip = LOOPBACK, .port = Rpc_GetPort(daemon->rpc)};
}

static void
start(Daemon *daemon, uint64_t id, uint64_t incarnation, const RpcPeer *seed,
      Result expected)
{
    Rpc_desc rpc = {.host = id,
                    .incarnation = incarnation,
                    .secret = secret,
                    .secret_bytes = sizeof(secret)};
    Gossip_desc gossip = {.member = {.self = {.id = id, .ip = LOOPBACK},
                                     .period_ms = 100,
                                     .max_hosts = 64},
                          .seeds = seed,
                          .seed_count = seed != NULL ? 1 : 0,
                          .read_roster = read_roster,
                          .append_payload = append_payload,
                          .read_payload = read_payload,
                          .superseded = superseded,
                          .context = daemon,
                          .ack_timeout_ms = 200,
                          .digest_period_ms = 500};
    GError *error = NULL;

    daemon->id = id;
    daemon->rpc = Rpc_Create(&rpc, &error);
    g_assert_no_error(error);
    gossip.rpc = daemon->rpc;
    daemon->gossip = Gossip_Create(&gossip);
    g_assert_true(Rpc_Start(daemon->rpc, &error));
    g_assert_cmpint(Gossip_Join(daemon->gossip, 5000), ==, expected);
}

static void
stop(Daemon *daemon)
{
    if (daemon->rpc != NULL) {
        Rpc_Stop(daemon->rpc);
        Gossip_Destroy(daemon->gossip);
        Rpc_Destroy(daemon->rpc);
        memset(daemon, 0, sizeof(*daemon));
    }
}

static int
state_at(const Daemon *daemon, uint64_t id)
{
    const MemberHost *host;
    int state;

    rcu_read_lock();
    host = Member_FindHost(Gossip_GetMember(daemon->gossip), id);
    state = host == NULL ? -1 : host->state;
    rcu_read_unlock();
    return state;
}

static void
wait_for_state(const Daemon *daemon, uint64_t id, int state)
{
    ClockMs end = Clock_Now() + WAIT_MS;

    while (state_at(daemon, id) != state) {
        g_assert_cmpint(Clock_Now(), <, end);
        usleep(5000);
    }
}

static void
wait_for_value(const int *value, int min)
{
    ClockMs end = Clock_Now() + WAIT_MS;

    while (__atomic_load_n(value, __ATOMIC_ACQUIRE) < min) {
        g_assert_cmpint(Clock_Now(), <, end);
        usleep(5000);
    }
}

/* Waits until the service's first backend server is on the host. */
static void
wait_for_service(const Daemon *daemon, uint64_t service, uint64_t host)
{
    ClockMs end = Clock_Now() + WAIT_MS;
    gboolean is_found = FALSE;

    while (!is_found) {
        const MemberService *found;

        g_assert_cmpint(Clock_Now(), <, end);
        rcu_read_lock();
        found = Member_FindService(Gossip_GetMember(daemon->gossip), service);
        is_found = found != NULL && found->refs[0].host->id == host;
        rcu_read_unlock();
        usleep(5000);
    }
}

static void
check_successor(const Daemon *daemon, uint64_t host, uint64_t successor)
{
    rcu_read_lock();
    g_assert_cmpuint(
        Member_FindHost(Gossip_GetMember(daemon->gossip), host)->successor, ==,
        successor);
    rcu_read_unlock();
}

/* Guards against hosts that do not find each other: they join through one
 * seed, payloads and backend servers reach all, one host leaves, one crashes.
 */
static void
test_fleet(void)
{
    Daemon daemons[HOSTS] = {0};
    MemberServer server = {.name = 1, .service = 2, .slots = 5};
    RpcPeer seed;

    start(&daemons[0], 1, 1, NULL, RESULT_OK);
    seed = address_of(&daemons[0]);
    for (uint64_t i = 1; i < HOSTS; i++) {
        start(&daemons[i], 1 + i, 1, &seed, RESULT_OK);
    }
    __atomic_store_n(&daemons[3].payload_to_send, 77, __ATOMIC_RELEASE);
    g_assert_cmpint(Gossip_SetServers(daemons[3].gossip, &server, 1), ==,
                    RESULT_OK);
    for (int i = 0; i < HOSTS; i++) {
        for (uint64_t id = 1; id <= HOSTS; id++) {
            wait_for_state(&daemons[i], id, MEMBER_ALIVE);
        }
        if (i != 3) {
            wait_for_value(&daemons[i].highest_payload, 77);
        }
    }
    wait_for_service(&daemons[0], 2, 4);
    Gossip_Leave(daemons[4].gossip, 1);
    stop(&daemons[4]);
    stop(&daemons[3]);
    for (int i = 0; i < 3; i++) {
        wait_for_state(&daemons[i], 5, MEMBER_LEFT);
        wait_for_state(&daemons[i], 4, MEMBER_DEAD);
        wait_for_state(&daemons[i], 1, MEMBER_ALIVE);
        check_successor(&daemons[i], 5, 1);
    }
    for (int i = 0; i < HOSTS; i++) {
        stop(&daemons[i]);
    }
}

/* Guards against a host that cannot rejoin because its wall clock was set
 * back: it takes an incarnation above the one that its peers know. */
static void
test_clock_went_back(void)
{
    Daemon daemons[3] = {0};
    RpcPeer seed;

    start(&daemons[0], 1, 1000, NULL, RESULT_OK);
    seed = address_of(&daemons[0]);
    start(&daemons[1], 2, 1000, &seed, RESULT_OK);
    stop(&daemons[1]);
    start(&daemons[1], 2, 500, &seed, RESULT_OK);
    g_assert_cmpuint(Rpc_GetIncarnation(daemons[1].rpc), ==, 1001);
    wait_for_state(&daemons[0], 2, MEMBER_ALIVE);
    stop(&daemons[1]);
    stop(&daemons[0]);
}

/* Guards against two processes of one host that both keep running: the process
 * of the earlier incarnation is notified that it was superseded. */
static void
test_superseded(void)
{
    Daemon daemons[3] = {0};
    RpcPeer seed;

    start(&daemons[0], 1, 1, NULL, RESULT_OK);
    seed = address_of(&daemons[0]);
    start(&daemons[1], 2, 1, &seed, RESULT_OK);
    start(&daemons[2], 2, 2, &seed, RESULT_OK);
    wait_for_value(&daemons[1].superseded, 1);
    g_assert_cmpint(__atomic_load_n(&daemons[2].superseded, __ATOMIC_ACQUIRE),
                    ==, 0);
    for (int i = 2; i >= 0; i--) {
        stop(&daemons[i]);
    }
}

/* Guards against a new host that finds no peer because its seed has stopped:
 * Gossip_Join() reports a timeout without a roster, and joins through the
 * roster if there is one. */
static void
test_roster(void)
{
    Daemon daemons[3] = {0};
    RpcPeer stopped;

    start(&daemons[2], 3, 1, NULL, RESULT_OK);
    stopped = address_of(&daemons[2]);
    stop(&daemons[2]);
    start(&daemons[0], 1, 1, NULL, RESULT_OK);
    start(&daemons[1], 2, 1, &stopped, RESULT_RPC_TIMEOUT);
    stop(&daemons[1]);
    daemons[1].roster[0] = stopped;
    daemons[1].roster[1] = address_of(&daemons[0]);
    daemons[1].roster_count = 2;
    start(&daemons[1], 2, 2, &stopped, RESULT_OK);
    wait_for_state(&daemons[1], 1, MEMBER_ALIVE);
    wait_for_state(&daemons[0], 2, MEMBER_ALIVE);
    stop(&daemons[1]);
    stop(&daemons[0]);
}

int
main(int argc, char **argv)
{
    int status;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    g_test_add_func("/gossip/fleet", test_fleet);
    g_test_add_func("/gossip/clock-went-back", test_clock_went_back);
    g_test_add_func("/gossip/superseded", test_superseded);
    g_test_add_func("/gossip/roster", test_roster);
    status = g_test_run();
    rcu_unregister_thread();
    return status;
}
