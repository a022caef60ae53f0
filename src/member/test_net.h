/* TestNet: simulates many member tables in one process over an in-memory
 * message queue. It supports test_member.c, test_failure.c and
 * bench/bench_member.c.
 *
 * A node simulates a process at an address. It implements the protocol of
 * gossip.c: a ping with one retransmission, indirect pings, digest exchanges.
 * Messages can be lost, delayed, blocked between groups of nodes in one
 * direction, recorded and replayed.
 */
#ifndef MEMBER_TEST_NET_H
#define MEMBER_TEST_NET_H

#include <glib.h>

#include "member/member.h"

#define TEST_NET_GROUPS 4
#define TEST_NET_PROBES 4

typedef struct TestNet TestNet;

typedef struct TestProbe {
    uint32_t token; /* 0 = free */
    uint64_t target;
    uint64_t incarnation;
    uint32_t address;
    int helpers;        /* helpers asked; 0 while the direct ping is pending */
    int for_node;       /* node that requested the indirect ping, else -1 */
    uint32_t for_token; /* token of that node's probe */
} TestProbe;

typedef struct TestNode {
    Member *member; /* NULL = no running process */
    uint64_t id;
    uint64_t incarnation;
    int group;
    int seed_node; /* node to join through, -1 if none */
    gboolean is_paused;
    uint32_t generation; /* sequence number of the process at the address */
    TestProbe probes[TEST_NET_PROBES];
    GQueue deferred;    /* events received during the pause */
    uint64_t suspected; /* MEMBER_EVENT_SUSPECTED events of this node */
    uint64_t died;      /* MEMBER_EVENT_DIED events of this node */
    uint64_t bytes_sent;
    uint64_t messages_sent;
} TestNode;

typedef struct TestNet_desc {
    uint64_t seed;
    int nodes;             /* number of addresses */
    double loss;           /* probability that a message is lost */
    gboolean is_prefilled; /* every table holds every host at the start */
    gboolean no_view;
    uint32_t max_hosts; /* 0 means 64 + nodes */
    int servers;        /* backend servers per host */
    int regions;        /* 0 means 2 */
    ClockMs remove_after_ms;
    ClockMs max_delay_ms; /* maximum delay of a message; 0 means 5 */
} TestNet_desc;

TestNet *TestNet_Create(const TestNet_desc *desc);
void TestNet_Destroy(TestNet *net);
ClockMs TestNet_Now(const TestNet *net);
void TestNet_Run(TestNet *net, ClockMs until);
TestNode *TestNet_Node(TestNet *net, int node);

/* Returns the id of the n-th host. */
uint64_t TestNet_Id(int host);

/* Starts a process with the given host's id at the node, which joins through
 * seed_node (-1 for none). */
void TestNet_Start(TestNet *net, int node, int host, uint64_t incarnation,
                   int seed_node);
void TestNet_Crash(TestNet *net, int node);
void TestNet_Pause(TestNet *net, int node);
void TestNet_Resume(TestNet *net, int node);

/* Blocks or unblocks messages from one group to another. Nodes start in group
 * 0. */
void TestNet_Cut(TestNet *net, int from, int to, gboolean is_cut);
void TestNet_SetLoss(TestNet *net, double loss);

/* Records copies of the pings that the node sends. */
void TestNet_Record(TestNet *net, int node);

/* Stops recording and sends each recorded ping twice, to random nodes. */
void TestNet_Replay(TestNet *net);

#endif
