/* bench_member: measurements of membership, on one large table and on fleets
 * of tables connected by an in-memory message queue.
 *
 *   bench_member table            one table of 7,400 hosts and 99,000 servers
 *   bench_member fleet N [LOSS]   N tables, LOSS percent of messages lost
 *   bench_member heal N           N tables, partitioned into two halves for a
 *                                 minute
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu.h>

#include "base/clock.h"
#include "member/table.h"
#include "member/test_net.h"

#define TABLE_HOSTS 7400
#define TABLE_SERVERS 99000
#define TABLE_SERVICES 5300
#define CALM_MS 30000
#define WAIT_MS 120000

static int64_t
cpu_microseconds(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static void
fill_wire(int host, uint32_t serial, MemberWireServer *servers,
          MemberWireHost *wire)
{
    u_int first = (u_int)((int64_t)host * TABLE_SERVERS / TABLE_HOSTS);
    u_int next = (u_int)((int64_t)(host + 1) * TABLE_SERVERS / TABLE_HOSTS);

    *wire = (MemberWireHost){
        .id = TestNet_Id(host),
        .incarnation = 1,
        .serial = serial,
        .state_place = (u_int)(host % 5) << 16 | (u_int)(host % 16) << 8 | 1,
        .rpc_port = 1,
        .servers = {.servers_len = next - first, .servers_val = servers}};
    for (u_int i = first; i < next; i++) {
        servers[i - first] =
            (MemberWireServer){.name = i,
                               .service = Rng_Mix(1, i % TABLE_SERVICES),
                               .port_slots = 5,
                               .weight_state_class = 100u << 16 | serial % 16};
    }
}

static void
print_time(const char *what, int64_t microseconds, int times)
{
    printf("%-52s %10.1f us\n", what, (double)microseconds / times);
}

static void
measure_publish(Member *member)
{
    MemberWireServer servers[MEMBER_MAX_SERVERS];
    MemberWireHost wire;
    ClockMs now = 1000;
    int64_t start = cpu_microseconds();

    for (int i = 0; i < 1000; i++) {
        fill_wire(i * 7 % TABLE_HOSTS, 2 + (uint32_t)i, servers, &wire);
        (void)Member_Merge(member, now, &wire, MEMBER_FROM_GOSSIP);
        now += 50;
        (void)Member_Publish(member, now);
    }
    print_time("merge and publish one changed host",
               cpu_microseconds() - start, 1000);
    start = cpu_microseconds();
    for (int round = 0; round < 100; round++) {
        for (int i = 0; i < 20; i++) {
            fill_wire((round * 20 + i) % TABLE_HOSTS, 2000 + (uint32_t)round,
                      servers, &wire);
            (void)Member_Merge(member, now, &wire, MEMBER_FROM_GOSSIP);
        }
        now += 50;
        (void)Member_Publish(member, now);
    }
    print_time("merge and publish 20 changed hosts",
               cpu_microseconds() - start, 100);
}

static void
measure_reads(Member *member)
{
    const MemberHost *ranked[3];
    const MemberHost *host;
    GByteArray *body = g_byte_array_new();
    GByteArray *reply = g_byte_array_new();
    uint64_t sum = 0;
    int64_t start = cpu_microseconds();

    for (int i = 0; i < 1000000; i++) {
        rcu_read_lock();
        sum += Member_FindService(member,
                                  Rng_Mix(1, (uint64_t)i % TABLE_SERVICES))
                   ->count;
        rcu_read_unlock();
    }
    print_time("find a service", cpu_microseconds() - start, 1000000);
    start = cpu_microseconds();
    for (int i = 0; i < 1000; i++) {
        sum += Member_Rank(Member_ListHosts(member, MEMBER_ANY, 3),
                           (uint64_t)i, ranked, 3);
    }
    print_time("first 3 of the order of a data centre (462 hosts)",
               cpu_microseconds() - start, 1000);
    start = cpu_microseconds();
    for (int i = 0; i < 1000; i++) {
        g_byte_array_set_size(body, 0);
        Member_WriteDigest(member, 0, body);
    }
    print_time("write a digest", cpu_microseconds() - start, 1000);
    printf("%-52s %10u bytes\n", "digest", body->len);
    start = cpu_microseconds();
    for (int i = 0; i < 1000; i++) {
        g_byte_array_set_size(reply, 0);
        (void)Member_ReadDigest(member, 0, 1, body, reply);
    }
    print_time("answer an equal digest", cpu_microseconds() - start, 1000);
    start = cpu_microseconds();
    for (int i = 0; i < 1000; i++) {
        Member_Tick(member, 100000);
    }
    print_time("tick without suspicions", cpu_microseconds() - start, 1000);
    (void)Member_ChoosePeer(member, &host);
    start = cpu_microseconds();
    for (int i = 0; i < 1000; i++) {
        g_byte_array_set_size(body, 0);
        g_byte_array_set_size(reply, 0);
        Member_WritePing(member, 0, host->id, NULL, body);
        (void)Member_ReadPing(member, 0, host->id, body, NULL, NULL, reply);
    }
    print_time("write a ping", cpu_microseconds() - start, 1000);
    if (sum == 0) {
        printf("nothing was read\n");
    }
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
}

static void
measure_table(void)
{
    Member_desc desc = {.self = {.id = 1, .incarnation = 1}, .seed = 1};
    MemberWireServer servers[MEMBER_MAX_SERVERS];
    MemberCounts counts;
    MemberWireHost wire;
    struct mallinfo2 before = mallinfo2();
    Member *member = Member_Create(&desc, 0);
    int64_t start = cpu_microseconds();

    for (int i = 0; i < TABLE_HOSTS; i++) {
        fill_wire(i, 1, servers, &wire);
        (void)Member_Merge(member, 0, &wire, MEMBER_FROM_DIGEST);
    }
    print_time("merge 7,400 hosts", cpu_microseconds() - start, 1);
    start = cpu_microseconds();
    Member_PublishNow(member, 0);
    print_time("publish all of them", cpu_microseconds() - start, 1);
    rcu_barrier();
    Member_Count(member, &counts);
    printf("%-52s %10u\n", "hosts alive", counts.alive);
    printf("%-52s %10u\n", "backend servers", counts.servers);
    printf("%-52s %10.2f MB\n", "memory of table and view, by its own count",
           (double)counts.bytes / 1e6);
    printf("%-52s %10.2f MB\n", "same, by mallinfo2()",
           (double)(mallinfo2().uordblks - before.uordblks +
                    mallinfo2().hblkhd - before.hblkhd) /
               1e6);
    measure_publish(member);
    rcu_barrier();
    Member_Count(member, &counts);
    printf("%-52s %10.2f MB\n", "memory after 3,000 changes",
           (double)counts.bytes / 1e6);
    measure_reads(member);
    Member_Destroy(member);
}

/* Returns the share of running tables in which the check holds. */
static double
share_of_tables(TestNet *net, int nodes, uint64_t host,
                gboolean (*check)(const MemberHost *host, uint32_t value),
                uint32_t value)
{
    int running = 0;
    int matching = 0;

    for (int i = 0; i < nodes; i++) {
        const Member *member = TestNet_Node(net, i)->member;

        if (member != NULL) {
            running++;
            matching += check(Member_Peek(member, host), value);
        }
    }
    return (double)matching / running;
}

static gboolean
is_suspect(const MemberHost *host, uint32_t value)
{
    (void)value;
    return host->state == MEMBER_SUSPECT || host->state == MEMBER_DEAD;
}

static gboolean
is_dead(const MemberHost *host, uint32_t value)
{
    (void)value;
    return host->state == MEMBER_DEAD;
}

static gboolean
has_serial(const MemberHost *host, uint32_t value)
{
    return host->serial >= value;
}

/* Runs until the check holds in at least min_share of the tables. Returns the
 * time since start in ms, or -1 if that did not happen within WAIT_MS. */
static ClockMs
run_until(TestNet *net, int nodes, uint64_t host,
          gboolean (*check)(const MemberHost *host, uint32_t value),
          uint32_t value, double min_share, ClockMs start)
{
    while (TestNet_Now(net) < start + WAIT_MS) {
        if (share_of_tables(net, nodes, host, check, value) >= min_share) {
            return TestNet_Now(net) - start;
        }
        TestNet_Run(net, TestNet_Now(net) + 50);
    }
    return -1;
}

static void
measure_calm(TestNet *net, int nodes, const char *what)
{
    uint64_t bytes = 0;
    uint64_t messages = 0;
    uint64_t suspected = 0;
    uint64_t died = 0;
    int64_t cpu = cpu_microseconds();
    double seconds = CALM_MS / 1000.0;

    for (int i = 0; i < nodes; i++) {
        TestNode *node = TestNet_Node(net, i);

        node->bytes_sent = node->messages_sent = 0;
        node->suspected = node->died = 0;
    }
    TestNet_Run(net, TestNet_Now(net) + CALM_MS);
    cpu = cpu_microseconds() - cpu;
    for (int i = 0; i < nodes; i++) {
        const TestNode *node = TestNet_Node(net, i);

        bytes += node->bytes_sent;
        messages += node->messages_sent;
        suspected += node->suspected;
        died += node->died;
    }
    printf("%s: sent %.0f bytes/s and %.2f messages/s by a host, "
           "CPU %.1f us/s, tables with a suspicion %" PRIu64
           ", with a death %" PRIu64 "\n",
           what, (double)bytes / nodes / seconds,
           (double)messages / nodes / seconds, (double)cpu / nodes / seconds,
           suspected, died);
}

static void
measure_update(TestNet *net, int nodes)
{
    MemberServer servers[13];
    ClockMs start;
    ClockMs all;

    memset(servers, 0, sizeof(servers));
    for (int i = 0; i < 13; i++) {
        servers[i] = (MemberServer){.name = (uint64_t)i, .weight = 50};
    }
    start = TestNet_Now(net);
    (void)Member_SetServers(TestNet_Node(net, 1)->member, start, servers, 13);
    all = run_until(net, nodes, TestNet_Id(1), has_serial,
                    Member_GetSelf(TestNet_Node(net, 1)->member)->serial, 1.0,
                    start);
    printf("update of 13 servers in all tables after %d ms\n", (int)all);
}

static void
measure_crash(TestNet *net, int nodes, int victim)
{
    ClockMs start = TestNet_Now(net);
    ClockMs first;
    ClockMs half;
    ClockMs dead;

    TestNet_Crash(net, victim);
    first =
        run_until(net, nodes, TestNet_Id(victim), is_suspect, 0, 1e-9, start);
    half =
        run_until(net, nodes, TestNet_Id(victim), is_suspect, 0, 0.5, start);
    dead = run_until(net, nodes, TestNet_Id(victim), is_dead, 0, 1.0, start);
    printf("crash of one host: first suspicion after %d ms, suspected in half "
           "of the tables after %d ms, dead in all after %d ms\n",
           (int)first, (int)half, (int)dead);
}

static void
measure_fleet(int nodes, double loss)
{
    TestNet_desc desc = {.seed = 1,
                         .nodes = nodes,
                         .is_prefilled = TRUE,
                         .no_view = TRUE,
                         .max_hosts = (uint32_t)nodes + 8};
    int64_t start = cpu_microseconds();
    TestNet *net = TestNet_Create(&desc);
    MemberCounts counts;

    Member_Count(TestNet_Node(net, 0)->member, &counts);
    printf("%d tables of %.2f MB, filled in %.1f s\n", nodes,
           (double)counts.bytes / 1e6,
           (double)(cpu_microseconds() - start) / 1e6);
    TestNet_Run(net, 5000);
    measure_calm(net, nodes, "calm");
    measure_update(net, nodes);
    for (int i = 0; i < 3; i++) {
        measure_crash(net, nodes, 2 + i);
    }
    if (loss > 0) {
        TestNet_SetLoss(net, loss / 100);
        measure_calm(net, nodes, "with loss");
    }
    if (nodes <= 1000) {
        TestNet_Destroy(net);
    }
}

/* Counts pairs of hosts of which the second is not visible to the first; with
 * is_same_half, only pairs within a half. */
static uint64_t
missing_pairs(TestNet *net, int nodes, gboolean is_same_half)
{
    uint64_t missing = 0;

    for (int i = 0; i < nodes; i++) {
        for (int j = 0; j < nodes; j++) {
            const MemberHost *host =
                Member_Peek(TestNet_Node(net, i)->member, TestNet_Id(j));

            if (is_same_half && (i < nodes / 2) != (j < nodes / 2)) {
                continue;
            }
            missing += !MemberTable_IsVisible(host);
        }
    }
    return missing;
}

static void
measure_heal(int nodes)
{
    TestNet_desc desc = {.seed = 1,
                         .nodes = nodes,
                         .is_prefilled = TRUE,
                         .no_view = TRUE,
                         .max_hosts = (uint32_t)nodes + 8};
    TestNet *net = TestNet_Create(&desc);
    uint64_t bytes = 0;
    uint64_t lost = 0;
    ClockMs start;

    for (int i = nodes / 2; i < nodes; i++) {
        TestNet_Node(net, i)->group = 1;
    }
    TestNet_Run(net, 5000);
    TestNet_Cut(net, 0, 1, TRUE);
    TestNet_Cut(net, 1, 0, TRUE);
    TestNet_Run(net, 65000);
    printf("after 60 s, of %d pairs across the cut %" PRIu64
           " are given up, of the others %" PRIu64 "\n",
           nodes / 2 * (nodes / 2) * 2, missing_pairs(net, nodes, FALSE),
           missing_pairs(net, nodes, TRUE));
    TestNet_Cut(net, 0, 1, FALSE);
    TestNet_Cut(net, 1, 0, FALSE);
    for (int i = 0; i < nodes; i++) {
        TestNet_Node(net, i)->bytes_sent = 0;
    }
    start = TestNet_Now(net);
    while (TestNet_Now(net) < start + 2 * WAIT_MS &&
           missing_pairs(net, nodes, FALSE) > 0) {
        TestNet_Run(net, TestNet_Now(net) + 500);
        lost = MAX(lost, missing_pairs(net, nodes, TRUE));
        if ((TestNet_Now(net) - start) % 5000 == 0) {
            printf("%d s after the cut ended: %" PRIu64 " pairs missing\n",
                   (int)((TestNet_Now(net) - start) / 1000),
                   missing_pairs(net, nodes, FALSE));
        }
    }
    for (int i = 0; i < nodes; i++) {
        bytes += TestNet_Node(net, i)->bytes_sent;
    }
    printf("all pairs visible after %d ms, at most %" PRIu64
           " pairs lost within a half meanwhile, sent %.0f bytes/s by a "
           "host\n",
           (int)(TestNet_Now(net) - start), lost,
           (double)bytes / nodes / (double)(TestNet_Now(net) - start) * 1000);
    TestNet_Destroy(net);
}

int
main(int argc, char **argv)
{
    setvbuf(stdout, NULL, _IOLBF, 0);
    rcu_register_thread();
    if (argc > 2 && strcmp(argv[1], "fleet") == 0) {
        measure_fleet((int)strtol(argv[2], NULL, 10),
                      argc > 3 ? strtod(argv[3], NULL) : 0);
    }
    else if (argc > 2 && strcmp(argv[1], "heal") == 0) {
        measure_heal((int)strtol(argv[2], NULL, 10));
    }
    else if (argc > 1 && strcmp(argv[1], "table") == 0) {
        measure_table();
    }
    else {
        fprintf(stderr, "use: bench_member table | fleet N [LOSS] | heal N\n");
        return 2;
    }
    rcu_unregister_thread();
    return 0;
}
