/* Tests of the member table: merge rule, sessions, updates, digests, view. */
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "member/table.h"
#include "member/test_net.h"
#include "rpc/rpc.h"

#define HOST_A 11
#define HOST_X 42

static Member *
create_member(uint64_t id, gboolean accept_old, ClockMs remove_after_ms)
{
    Member_desc desc = {.self = {.id = id, .incarnation = 1},
                        .seed = id,
                        .max_hosts = 300,
                        .remove_after_ms = remove_after_ms,
                        ._accept_old_sessions = accept_old};

    return Member_Create(&desc, 0);
}

static MemberWireHost
wire_of(uint64_t id, uint64_t incarnation, uint32_t refutation,
        MemberState state, uint32_t serial, MemberWireServer *server)
{
    MemberWireHost wire = {.id = id,
                           .incarnation = incarnation,
                           .refutation = refutation,
                           .serial = serial,
                           .state_place = (u_int)state << 24 | 1};

    if (server != NULL) {
        *server = (MemberWireServer){.name = serial, .service = 7};
        wire.servers.servers_len = 1;
        wire.servers.servers_val = server;
    }
    return wire;
}

/* Guards against a record of an earlier incarnation that replaces a later one.
 * With the check disabled, the backend servers of the old record are accepted,
 * which shows that the case exercises the check. */
static void
test_old_record(void)
{
    static const gboolean accept_old[] = {FALSE, TRUE};

    for (size_t i = 0; i < G_N_ELEMENTS(accept_old); i++) {
        Member *member = create_member(HOST_A, accept_old[i], 0);
        MemberWireServer servers[2];
        MemberWireHost later =
            wire_of(HOST_X, 2, 0, MEMBER_ALIVE, 1, &servers[0]);
        MemberWireHost earlier =
            wire_of(HOST_X, 1, 0, MEMBER_ALIVE, 9, &servers[1]);

        g_assert_cmpint(Member_Merge(member, 0, &later, MEMBER_FROM_GOSSIP),
                        ==, RESULT_OK);
        g_assert_cmpint(Member_Merge(member, 0, &earlier, MEMBER_FROM_HOST), ==
                        , accept_old[i] ? RESULT_OK : RESULT_RPC_OLD_SESSION);
        g_assert_cmpuint(Member_Peek(member, HOST_X)->serial, ==,
                         accept_old[i] ? 9 : 1);
        Member_Destroy(member);
    }
}

/* Guards against an old record that restores a removed host, and against a
 * removed host that can never rejoin. */
static void
test_removed_host(void)
{
    static const struct {
        gboolean accept_old;
        uint64_t incarnation;
        uint32_t refutation;
        MemberState state;
        gboolean expected; /* the host is in the table afterwards */
    } cases[] = {
        {FALSE, 5, 0, MEMBER_ALIVE, FALSE}, {FALSE, 4, 9, MEMBER_ALIVE, FALSE},
        {FALSE, 5, 0, MEMBER_DEAD, FALSE},  {FALSE, 6, 0, MEMBER_DEAD, FALSE},
        {FALSE, 5, 1, MEMBER_ALIVE, TRUE},  {FALSE, 6, 0, MEMBER_ALIVE, TRUE},
        {TRUE, 4, 0, MEMBER_ALIVE, TRUE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Member *member = create_member(HOST_A, cases[i].accept_old, 100000);
        MemberWireHost wire = wire_of(HOST_X, 5, 0, MEMBER_SUSPECT, 1, NULL);

        (void)Member_Merge(member, 0, &wire, MEMBER_FROM_GOSSIP);
        for (ClockMs now = 0; now <= 110000; now += 1000) {
            Member_Tick(member, now);
        }
        g_assert_null(Member_Peek(member, HOST_X));
        wire = wire_of(HOST_X, cases[i].incarnation, cases[i].refutation,
                       cases[i].state, 1, NULL);
        (void)Member_Merge(member, 110000, &wire, MEMBER_FROM_GOSSIP);
        g_assert_cmpint(Member_Peek(member, HOST_X) != NULL, ==,
                        cases[i].expected);
        Member_Destroy(member);
    }
}

/* Guards against a merge result that depends on the order of the records:
 * random records of three hosts are merged in two orders. */
static void
test_merge_order(void)
{
    Rng rng;

    Rng_Seed(&rng, 7);
    for (int round = 0; round < 500; round++) {
        Member *members[] = {create_member(1, FALSE, 0),
                             create_member(1, FALSE, 0)};
        MemberWireHost wires[12];
        MemberWireServer servers[G_N_ELEMENTS(wires)];

        for (size_t i = 0; i < G_N_ELEMENTS(wires); i++) {
            MemberState state = (MemberState)Rng_Below(&rng, 2);

            wires[i] =
                wire_of(100 + Rng_Below(&rng, 3), 1 + Rng_Below(&rng, 2),
                        (uint32_t)Rng_Below(&rng, 3), state,
                        1 + (uint32_t)Rng_Below(&rng, 3), &servers[i]);
        }
        for (size_t i = 0; i < G_N_ELEMENTS(wires); i++) {
            size_t back = G_N_ELEMENTS(wires) - 1 - i;

            (void)Member_Merge(members[0], 0, &wires[i], MEMBER_FROM_GOSSIP);
            (void)Member_Merge(members[1], 0, &wires[back],
                               MEMBER_FROM_GOSSIP);
        }
        for (uint64_t id = 100; id < 103; id++) {
            const MemberHost *a = Member_Peek(members[0], id);
            const MemberHost *b = Member_Peek(members[1], id);

            g_assert_cmpint(a == NULL, ==, b == NULL);
            if (a != NULL) {
                g_assert_cmpmem(a, MemberTable_HostBytes(a), b,
                                MemberTable_HostBytes(b));
            }
        }
        Member_Destroy(members[0]);
        Member_Destroy(members[1]);
    }
}

/* Guards against an outage after a partition: if another host reports a death,
 * the host must stay in use until its suspicion has expired on this host. */
static void
test_reported_death(void)
{
    Member *member = create_member(HOST_A, FALSE, 0);
    MemberWireHost wire = wire_of(HOST_X, 5, 0, MEMBER_ALIVE, 1, NULL);

    (void)Member_Merge(member, 0, &wire, MEMBER_FROM_GOSSIP);
    wire = wire_of(HOST_X, 5, 0, MEMBER_DEAD, 1, NULL);
    (void)Member_Merge(member, 0, &wire, MEMBER_FROM_GOSSIP);
    (void)Member_Merge(member, 0, &wire, MEMBER_FROM_DIGEST);
    g_assert_cmpint(Member_Peek(member, HOST_X)->state, ==, MEMBER_SUSPECT);
    Member_Tick(member, 2999);
    g_assert_cmpint(Member_Peek(member, HOST_X)->state, ==, MEMBER_SUSPECT);
    Member_Tick(member, 3000);
    g_assert_cmpint(Member_Peek(member, HOST_X)->state, ==, MEMBER_DEAD);
    Member_Destroy(member);
}

/* Guards against a paused process that declares its peers dead when it
 * resumes. */
static void
test_own_pause(void)
{
    Member *member = create_member(HOST_A, FALSE, 0);
    MemberWireHost wire = wire_of(HOST_X, 5, 0, MEMBER_SUSPECT, 1, NULL);

    (void)Member_Merge(member, 0, &wire, MEMBER_FROM_GOSSIP);
    Member_Tick(member, 500);
    Member_Tick(member, 60000);
    g_assert_cmpint(Member_Peek(member, HOST_X)->state, ==, MEMBER_SUSPECT);
    Member_Tick(member, 62500);
    g_assert_cmpint(Member_Peek(member, HOST_X)->state, ==, MEMBER_DEAD);
    Member_Destroy(member);
}

/* Guards against a suspicion whose timer restarts with every report, and
 * against a refutation by a suspected host that has no effect. */
static void
test_refutation(void)
{
    Member *member = create_member(HOST_A, FALSE, 0);
    MemberWireHost wire = wire_of(HOST_X, 5, 0, MEMBER_SUSPECT, 1, NULL);
    MemberWireHost self = wire_of(HOST_A, 1, 4, MEMBER_DEAD, 1, NULL);

    for (ClockMs now = 0; now < 2500; now += 500) {
        (void)Member_Merge(member, now, &wire, MEMBER_FROM_GOSSIP);
        Member_Tick(member, now);
    }
    wire = wire_of(HOST_X, 5, 1, MEMBER_ALIVE, 1, NULL);
    (void)Member_Merge(member, 2500, &wire, MEMBER_FROM_GOSSIP);
    Member_Tick(member, 4000);
    g_assert_cmpint(Member_Peek(member, HOST_X)->state, ==, MEMBER_ALIVE);
    wire = wire_of(HOST_X, 5, 1, MEMBER_SUSPECT, 1, NULL);
    for (ClockMs now = 4000; now <= 7000; now += 500) {
        (void)Member_Merge(member, now, &wire, MEMBER_FROM_GOSSIP);
        Member_Tick(member, now);
    }
    g_assert_cmpint(Member_Peek(member, HOST_X)->state, ==, MEMBER_DEAD);
    (void)Member_Merge(member, 0, &self, MEMBER_FROM_GOSSIP);
    g_assert_cmpint(Member_GetSelf(member)->state, ==, MEMBER_ALIVE);
    g_assert_cmpuint(Member_GetSelf(member)->refutation, ==, 5);
    Member_Destroy(member);
}

/* Guards against a single lost ping that makes a host one-way, and against a
 * host that stays one-way after it acks again. */
static void
test_one_way(void)
{
    static const struct {
        gboolean is_acked; /* direct ack; else only helpers got one */
        gboolean is_one_way;
    } cases[] = {{FALSE, FALSE}, {TRUE, FALSE}, {FALSE, FALSE},
                 {FALSE, TRUE},  {FALSE, TRUE}, {TRUE, FALSE}};
    Member *member = create_member(HOST_A, FALSE, 0);
    Member *other = create_member(HOST_X, FALSE, 0);
    MemberWireHost wire = wire_of(HOST_X, 1, 0, MEMBER_ALIVE, 1, NULL);

    (void)Member_Merge(member, 0, &wire, MEMBER_FROM_GOSSIP);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GByteArray *ack = g_byte_array_new();

        if (cases[i].is_acked) {
            Member_WritePing(other, 0, HOST_A, NULL, ack);
            g_assert_cmpint(Member_ReadAck(member, 0, HOST_X, ack, NULL), ==,
                            RESULT_OK);
        }
        else {
            Member_IndirectDone(member, 0, HOST_X, 1, TRUE);
        }
        g_assert_cmpint(Member_Peek(member, HOST_X)->is_one_way, ==,
                        cases[i].is_one_way);
        Member_PublishNow(member, 0);
        g_assert_cmpuint(
            Member_ListHosts(member, MEMBER_ANY, MEMBER_ANY)->count, ==,
            cases[i].is_one_way ? 1 : 2);
        g_byte_array_unref(ack);
    }
    Member_Destroy(member);
    Member_Destroy(other);
}

/* Guards against updates that are sent without limit or not often enough. */
static void
test_resends(void)
{
    Member *member = create_member(HOST_A, FALSE, 0);
    uint32_t sent = 0;

    for (uint64_t id = 100; id < 115; id++) {
        MemberWireHost wire = wire_of(id, 1, 0, MEMBER_ALIVE, 1, NULL);

        (void)Member_Merge(member, 0, &wire,
                           id == 100 ? MEMBER_FROM_GOSSIP
                                     : MEMBER_FROM_DIGEST);
    }
    for (int i = 0; i < 100; i++) {
        GByteArray *body = g_byte_array_new();
        MemberWirePing ping = {.payload = {0}};

        Member_WritePing(member, 0, 101, NULL, body);
        g_assert_true(Rpc_Decode(body, (xdrproc_t)xdr_MemberWirePing, &ping));
        for (u_int j = 0; j < ping.updates.updates_len; j++) {
            g_assert_cmpuint(ping.updates.updates_val[j].id, ==, 100);
            sent++;
        }
        xdr_free((xdrproc_t)xdr_MemberWirePing, &ping);
        g_byte_array_unref(body);
    }
    g_assert_cmpuint(sent, ==, 15); /* 3 log2(17), rounded up */
    Member_Destroy(member);
}

/* Adds a third of the hosts to table a and the rest to table b. Then adds a
 * later serial of each host to one of the two tables. */
static void
fill_unequally(Member *a, Member *b, int hosts)
{
    MemberWireHost wire = wire_of(2, 1, 0, MEMBER_ALIVE, 1, NULL);
    MemberWireServer server;

    (void)Member_Merge(a, 0, &wire, MEMBER_FROM_HOST);
    wire = wire_of(1, 1, 0, MEMBER_ALIVE, 1, NULL);
    (void)Member_Merge(b, 0, &wire, MEMBER_FROM_HOST);
    for (int host = 0; host < hosts; host++) {
        wire = wire_of(TestNet_Id(host), 1, 0, MEMBER_ALIVE, 1, &server);
        (void)Member_Merge(host % 3 == 0 ? a : b, 0, &wire,
                           MEMBER_FROM_DIGEST);
        wire.serial = 2;
        (void)Member_Merge(host % 3 != 0 || host % 2 == 0 ? b : a, 0, &wire,
                           MEMBER_FROM_DIGEST);
    }
}

/* One digest exchange from table a (host 1) to table b (host 2). */
static void
exchange(Member *a, Member *b)
{
    GByteArray *request = g_byte_array_new();
    GByteArray *reply = g_byte_array_new();
    gboolean is_continued = TRUE;
    int rounds = 0;

    Member_WriteDigest(a, 0, request);
    while (is_continued) {
        g_assert_cmpint(++rounds, <, 200);
        g_byte_array_set_size(reply, 0);
        g_assert_cmpint(Member_ReadDigest(b, 0, 1, request, reply), ==,
                        RESULT_OK);
        g_byte_array_set_size(request, 0);
        is_continued = Member_ContinueDigest(a, 0, 2, reply, request);
    }
    g_byte_array_unref(request);
    g_byte_array_unref(reply);
}

/* Guards against lost updates that are never repaired, and against a new host
 * that never receives the whole table: digests alone make two tables equal. */
static void
test_digest(void)
{
    static const int hosts[] = {0, 1, 20, 250};

    for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++) {
        Member *a = create_member(1, FALSE, 0);
        Member *b = create_member(2, FALSE, 0);

        fill_unequally(a, b, hosts[i]);
        for (int j = 0; j < 6; j++) {
            exchange(a, b);
        }
        for (int host = 0; host < hosts[i]; host++) {
            const MemberHost *left = Member_Peek(a, TestNet_Id(host));
            const MemberHost *right = Member_Peek(b, TestNet_Id(host));

            g_assert_cmpmem(left, MemberTable_HostBytes(left), right,
                            MemberTable_HostBytes(right));
            g_assert_cmpuint(left->serial, ==, 2);
        }
        Member_Destroy(a);
        Member_Destroy(b);
    }
}

/* Guards against a crash or a changed table on truncated or random messages.
 */
static void
test_malformed(void)
{
    Member *member = create_member(HOST_A, FALSE, 0);
    Member *other = create_member(HOST_X, FALSE, 0);
    GByteArray *ping = g_byte_array_new();
    GByteArray *digest = g_byte_array_new();
    GByteArray *out = g_byte_array_new();
    Rng rng;

    Rng_Seed(&rng, 3);
    Member_WritePing(other, 0, HOST_A, NULL, ping);
    Member_WriteDigest(other, 0, digest);
    for (int i = 0; i < 20000; i++) {
        GByteArray *body = g_byte_array_new();
        const GByteArray *source = i % 2 ? ping : digest;

        g_byte_array_append(body, source->data,
                            (guint)Rng_Below(&rng, source->len));
        for (int j = 0; i % 3 == 0 && j < 40; j++) {
            guint8 byte = (guint8)Rng_Next(&rng);

            g_byte_array_append(body, &byte, 1);
        }
        g_byte_array_set_size(out, 0);
        g_assert_cmpint(
            Member_ReadPing(member, 0, HOST_X, body, NULL, NULL, out), !=,
            RESULT_OK);
        (void)Member_ReadAck(member, 0, HOST_X, body, NULL);
        (void)Member_ReadDigest(member, 0, HOST_X, body, out);
        g_byte_array_set_size(out, 0);
        (void)Member_ContinueDigest(member, 0, HOST_X, body, out);
        g_byte_array_unref(body);
    }
    g_assert_null(Member_Peek(member, HOST_X));
    /* A ping whose record is of another host than the sender. */
    g_assert_cmpint(
        Member_ReadPing(member, 0, HOST_X + 1, ping, NULL, NULL, out), ==,
        RESULT_MALFORMED);
    g_byte_array_unref(ping);
    g_byte_array_unref(digest);
    g_byte_array_unref(out);
    Member_Destroy(member);
    Member_Destroy(other);
}

static void
check_service(const Member *member, int hosts, uint64_t service)
{
    const MemberService *found = Member_FindService(member, service);
    uint32_t expected = 0;

    for (int i = 0; i < hosts; i++) {
        const MemberHost *host = Member_Peek(member, TestNet_Id(i));

        for (uint32_t j = 0; host != NULL && j < host->server_count; j++) {
            expected += host->servers[j].service == service &&
                        MemberTable_IsVisible(host);
        }
    }
    g_assert_cmpuint(found == NULL ? 0 : found->count, ==, expected);
    for (uint32_t i = 0; i < expected; i++) {
        const MemberRef *ref = &found->refs[i];

        g_assert_true(Member_Peek(member, ref->host->id) == ref->host);
        g_assert_cmpuint(ref->server->service, ==, service);
        g_assert_true(
            i == 0 || ref[-1].host->id < ref->host->id ||
            (ref[-1].host == ref->host && ref[-1].server < ref->server));
    }
}

/* In these tests each data centre has the number of its region. */
static void
check_list(const Member *member, int hosts, int region)
{
    uint32_t expected = region <= 0; /* this host */

    for (int i = 0; i < hosts; i++) {
        const MemberHost *host = Member_Peek(member, TestNet_Id(i));

        expected += host != NULL && MemberTable_IsVisible(host) &&
                    (region == MEMBER_ANY || host->region == region);
    }
    g_assert_cmpuint(Member_ListHosts(member, region, MEMBER_ANY)->count, ==,
                     expected);
    g_assert_cmpuint(Member_ListHosts(member, MEMBER_ANY, region)->count, ==,
                     expected);
}

/* Compares the view with the current records. */
static void
check_view(const Member *member, int hosts, int services)
{
    for (int service = 1; service <= services; service++) {
        check_service(member, hosts, (uint64_t)service);
    }
    for (int region = MEMBER_ANY; region < 4; region++) {
        check_list(member, hosts, region);
    }
}

/* Merges a random change of the given host. */
static void
change_host(Member *member, Rng *rng, ClockMs now, int host,
            uint64_t incarnation)
{
    MemberWireServer servers[4];
    const MemberHost *old = Member_Peek(member, TestNet_Id(host));
    MemberState state =
        (MemberState)(Rng_Below(rng, 4) == 0 ? MEMBER_LEFT
                                             : Rng_Below(rng, 2));
    MemberWireHost wire =
        wire_of(TestNet_Id(host), incarnation,
                (uint32_t)Rng_Below(rng, 3) + (old ? old->refutation : 0),
                state, 1 + (uint32_t)Rng_Below(rng, 100), NULL);

    wire.state_place |= (u_int)(host % 4) << 16 | (u_int)(host % 4) << 8;
    wire.servers.servers_len = (u_int)Rng_Below(rng, 5);
    wire.servers.servers_val = servers;
    for (u_int i = 0; i < wire.servers.servers_len; i++) {
        servers[i] =
            (MemberWireServer){.name = i, .service = 1 + Rng_Below(rng, 9)};
    }
    (void)Member_Merge(member, now, &wire, MEMBER_FROM_GOSSIP);
}

/* Guards against a view that diverges from the records because only the
 * changed services and lists are rebuilt: random changes, deaths, and hosts
 * that are removed and added again in other slots. */
static void
test_view(void)
{
    Member *member = create_member(HOST_A, FALSE, 20000);
    ClockMs now = 0;
    Rng rng;

    Rng_Seed(&rng, 99);
    for (int round = 0; round < 3000; round++) {
        for (uint64_t i = Rng_Below(&rng, 8); i > 0; i--) {
            change_host(member, &rng, now, (int)Rng_Below(&rng, 60),
                        1 + (uint64_t)round / 30);
        }
        now += (ClockMs)Rng_Below(&rng, 1000);
        Member_Tick(member, now);
        if (Rng_Below(&rng, 2) == 0) {
            Member_PublishNow(member, now);
            check_view(member, 60, 9);
        }
    }
    Member_Destroy(member);
}

/* Guards against a publication for each small change and against changes that
 * are never published: a publication runs at most once in 50 ms. */
static void
test_publish_interval(void)
{
    Member *member = create_member(HOST_A, FALSE, 0);
    MemberWireHost wire = wire_of(HOST_X, 1, 0, MEMBER_ALIVE, 1, NULL);

    g_assert_cmpint(Member_Publish(member, 1000), ==, CLOCK_NEVER);
    (void)Member_Merge(member, 1000, &wire, MEMBER_FROM_GOSSIP);
    g_assert_cmpint(Member_Publish(member, 1000), ==, CLOCK_NEVER);
    g_assert_nonnull(Member_FindHost(member, HOST_X));
    wire.incarnation = 2;
    (void)Member_Merge(member, 1010, &wire, MEMBER_FROM_GOSSIP);
    g_assert_cmpint(Member_Publish(member, 1010), ==, 1050);
    g_assert_cmpuint(Member_FindHost(member, HOST_X)->incarnation, ==, 1);
    g_assert_cmpint(Member_Publish(member, 1050), ==, CLOCK_NEVER);
    g_assert_cmpuint(Member_FindHost(member, HOST_X)->incarnation, ==, 2);
    Member_Destroy(member);
}

typedef struct Reader {
    const Member *member;
    gboolean is_ending; /* atomic */
} Reader;

static void *
read_view(void *context)
{
    Reader *reader = context;
    const MemberHost *ranked[3];

    rcu_register_thread();
    while (!__atomic_load_n(&reader->is_ending, __ATOMIC_ACQUIRE)) {
        uint64_t sum = 1;

        rcu_read_lock();
        for (uint64_t service = 1; service <= 9; service++) {
            const MemberService *found =
                Member_FindService(reader->member, service);

            for (uint32_t i = 0; found != NULL && i < found->count; i++) {
                g_assert_cmpuint(found->refs[i].server->service, ==, service);
                sum += found->refs[i].host->id;
            }
        }
        g_assert_cmpuint(
            Member_Rank(Member_ListHosts(reader->member, MEMBER_ANY, 2), sum,
                        ranked, 3),
            <=, 3);
        for (int i = 0; i < 60; i++) {
            const MemberHost *host =
                Member_FindHost(reader->member, TestNet_Id(i));

            g_assert_true(host == NULL || host->id == TestNet_Id(i));
        }
        rcu_read_unlock();
    }
    rcu_unregister_thread();
    return NULL;
}

/* Guards against memory that is freed while a request thread reads it
 * (detected by the address sanitizer) and against partially written arrays. */
static void
test_readers(void)
{
    Member *member = create_member(HOST_A, FALSE, 20000);
    Reader reader = {.member = member};
    pthread_t threads[3];
    ClockMs now = 0;
    Rng rng;

    rcu_register_thread();
    Rng_Seed(&rng, 5);
    for (size_t i = 0; i < G_N_ELEMENTS(threads); i++) {
        pthread_create(&threads[i], NULL, read_view, &reader);
    }
    for (int round = 0; round < 3000; round++) {
        change_host(member, &rng, now, (int)Rng_Below(&rng, 60),
                    1 + (uint64_t)round / 30);
        now += 100;
        Member_Tick(member, now);
        Member_PublishNow(member, now);
    }
    __atomic_store_n(&reader.is_ending, TRUE, __ATOMIC_RELEASE);
    for (size_t i = 0; i < G_N_ELEMENTS(threads); i++) {
        pthread_join(threads[i], NULL);
    }
    Member_Destroy(member);
    rcu_unregister_thread();
}

/* Guards against rendezvous orders that differ between hosts, and against keys
 * that move although their host was not the one removed. */
static void
test_rank(void)
{
    Member *member = create_member(HOST_A, FALSE, 0);
    const MemberHost *before[100][3];
    const MemberHost *after[3];
    uint32_t moved = 0;
    MemberWireHost wire;

    for (int i = 0; i < 50; i++) {
        wire = wire_of(TestNet_Id(i), 1, 0, MEMBER_ALIVE, 1, NULL);
        (void)Member_Merge(member, 0, &wire, MEMBER_FROM_GOSSIP);
    }
    Member_PublishNow(member, 0);
    for (uint64_t key = 0; key < 100; key++) {
        const MemberHostList *list =
            Member_ListHosts(member, MEMBER_ANY, MEMBER_ANY);

        g_assert_cmpuint(Member_Rank(list, key, before[key], 3), ==, 3);
        for (uint32_t i = 0; i < 3; i++) {
            g_assert_cmpuint(Member_RankOf(list, key, before[key][i]->id), ==,
                             i);
        }
        g_assert_cmpuint(Member_RankOf(list, key, 12345), ==, list->count);
    }
    wire = wire_of(TestNet_Id(7), 1, 0, MEMBER_LEFT, 1, NULL);
    (void)Member_Merge(member, 0, &wire, MEMBER_FROM_GOSSIP);
    Member_PublishNow(member, 100);
    for (uint64_t key = 0; key < 100; key++) {
        const MemberHostList *list =
            Member_ListHosts(member, MEMBER_ANY, MEMBER_ANY);

        g_assert_cmpuint(Member_Rank(list, key, after, 3), ==, 3);
        moved += after[0]->id != before[key][0]->id;
        g_assert_true(after[0] == before[key][0] ||
                      after[0] == before[key][1]);
    }
    g_assert_cmpuint(moved, <, 15);
    Member_Destroy(member);
}

/* Guards against a serial that rises without a change or with every change of
 * a latency class. */
static void
test_own_servers(void)
{
    static const struct {
        ClockMs now;
        uint8_t weight;
        uint8_t latency_class;
        uint32_t serial;
        gboolean is_queued;
    } cases[] = {{0, 100, 5, 2, TRUE},      {1000, 100, 5, 2, FALSE},
                 {1000, 100, 6, 2, FALSE},  {1000, 50, 6, 3, TRUE},
                 {300000, 50, 7, 3, FALSE}, {700000, 50, 7, 4, FALSE},
                 {700000, 50, 8, 4, FALSE}};
    Member *member = create_member(HOST_A, FALSE, 0);
    MemberCounts counts;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        MemberServer server = {.name = 1,
                               .service = 2,
                               .weight = cases[i].weight,
                               .latency_class = cases[i].latency_class};

        MemberUpdate_Remove(member, MEMBER_SELF_SLOT);
        g_assert_cmpint(Member_SetServers(member, cases[i].now, &server, 1),
                        ==, RESULT_OK);
        g_assert_cmpuint(Member_GetSelf(member)->serial, ==, cases[i].serial);
        Member_Count(member, &counts);
        g_assert_cmpuint(counts.queued_updates, ==, cases[i].is_queued);
    }
    Member_Destroy(member);
}

/* Guards against a table that exceeds max_hosts or loses this host's record.
 */
static void
test_full(void)
{
    Member *member = create_member(HOST_A, FALSE, 0);
    int refused = 0;

    for (int i = 0; i < 400; i++) {
        MemberWireHost wire =
            wire_of(TestNet_Id(i), 1, 0, MEMBER_ALIVE, 1, NULL);

        refused +=
            Member_Merge(member, 0, &wire, MEMBER_FROM_GOSSIP) == RESULT_FULL;
    }
    g_assert_cmpint(refused, ==, 101);
    g_assert_nonnull(Member_Peek(member, HOST_A));
    Member_Destroy(member);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/member/old-record", test_old_record);
    g_test_add_func("/member/forgotten", test_removed_host);
    g_test_add_func("/member/merge-order", test_merge_order);
    g_test_add_func("/member/reported-death", test_reported_death);
    g_test_add_func("/member/own-pause", test_own_pause);
    g_test_add_func("/member/refutation", test_refutation);
    g_test_add_func("/member/one-way", test_one_way);
    g_test_add_func("/member/repeats", test_resends);
    g_test_add_func("/member/digest", test_digest);
    g_test_add_func("/member/malformed", test_malformed);
    g_test_add_func("/member/view", test_view);
    g_test_add_func("/member/publish-interval", test_publish_interval);
    g_test_add_func("/member/readers", test_readers);
    g_test_add_func("/member/rank", test_rank);
    g_test_add_func("/member/own-servers", test_own_servers);
    g_test_add_func("/member/full", test_full);
    return g_test_run();
}
