/* TestNet: many member tables in one process over a message queue in memory.
 * It supports test_member.c and bench/bench_member.c.
 *
 * A node stands for a process at an address. It does what gossip.c does: a
 * ping with one retransmission, indirect pings, digest exchanges. Messages can
 * be lost, delayed, cut between groups of nodes in one direction, recorded and
 * sent again.
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
    int helpers;  /* asked; 0 while the direct ping waits */
    int for_node; /* helper's probe: node that asked, else -1 */
    uint32_t for_token;
} TestProbe;

typedef struct TestNode {
    Member *member; /* NULL = no process */
    uint64_t id;
    uint64_t incarnation;
    int group;
    int seed_node; /* node to join through, -1 if none */
    gboolean is_paused;
    uint32_t start; /* number of the process at this address */
    TestProbe probes[TEST_NET_PROBES];
    GQueue held;        /* events that arrived during the pause */
    uint64_t suspected; /* events seen by this node */
    uint64_t died;
    uint64_t bytes_sent;
    uint64_t messages_sent;
} TestNode;

typedef struct TestNet_desc {
    uint64_t seed;
    int nodes;             /* addresses */
    double loss;           /* of each message */
    gboolean is_prefilled; /* every table knows every host at the start */
    gboolean no_view;
    uint32_t max_hosts; /* 0 means 64 + nodes */
    int servers;        /* of each host */
    int regions;        /* 0 means 2 */
    ClockMs forget_ms;
    ClockMs max_delay_ms; /* of a message; 0 means 5 */
} TestNet_desc;

TestNet *TestNet_Create(const TestNet_desc *desc);
void TestNet_Destroy(TestNet *net);
ClockMs TestNet_Now(const TestNet *net);
void TestNet_Run(TestNet *net, ClockMs until);
TestNode *TestNet_Node(TestNet *net, int node);

/* Id of the n-th host. */
uint64_t TestNet_Id(int host);

/* Starts a process with the given host's id at the node. */
void TestNet_Start(TestNet *net, int node, int host, uint64_t incarnation,
                   int seed_node);
void TestNet_Crash(TestNet *net, int node);
void TestNet_Pause(TestNet *net, int node);
void TestNet_Resume(TestNet *net, int node);

/* Cuts messages from one group to another. Nodes are in group 0 at first. */
void TestNet_Cut(TestNet *net, int from, int to, gboolean is_cut);
void TestNet_SetLoss(TestNet *net, double loss);

/* Keeps copies of the pings that the node sends. */
void TestNet_Record(TestNet *net, int node);

/* Sends the kept copies to random nodes, each one twice. */
void TestNet_Replay(TestNet *net);

#endif
