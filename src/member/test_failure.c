/* Tests of membership under failure: sequences of steps on a TestNet with
 * fixed seeds. Each case is named after the failure that it guards against. */
#include <glib.h>
#include <string.h>

#include "member/table.h"
#include "member/test_net.h"

typedef enum StepKind {
    STEP_END,
    STEP_CRASH, /* nodes first to last */
    STEP_PAUSE,
    STEP_RESUME,
    STEP_RESTART, /* later incarnation at the same address */
    STEP_REPLACE, /* later incarnation of host `first` at node `last` */
    STEP_LEAVE,
    STEP_GROUP, /* nodes first to last move to group `group` */
    STEP_CUT,   /* block messages from group first to group last */
    STEP_HEAL,  /* end of STEP_CUT */
    STEP_LOSS,  /* loss of messages in percent in `first` */
    STEP_RECORD,
    STEP_REPLAY,
    STEP_SERVERS, /* three changes of the node's backend servers */
    STEP_RESET,   /* reset the counts of suspicions and deaths */
    EXPECT_DEAD,  /* in the tables of all other running nodes */
    EXPECT_LEFT,
    EXPECT_ALIVE,         /* and visible */
    EXPECT_ONE_WAY,       /* one-way state of host last at node first */
    EXPECT_VISIBLE,       /* host last alive and not one-way at node first */
    EXPECT_SAME,          /* same record of host first in all tables */
    EXPECT_NO_DEATHS,     /* at nodes first to last since the last reset */
    EXPECT_MAX_SUSPICIONS /* sum over all nodes, at most `first` */
} StepKind;

typedef struct Step {
    ClockMs at;
    StepKind kind;
    int first;
    int last;
    int group;
} Step;

typedef struct FailureCase {
    const char *name; /* failure, part of the test path */
    int nodes;        /* nodes that run a host at the start */
    int spare;        /* further nodes without a host */
    double loss;      /* probability that a message is lost */
    Step steps[16];
} FailureCase;

static const FailureCase cases[] = {
    {"crash",
     20,
     0,
     0,
     {{5000, STEP_CRASH, 3, 3, 0},
      {17000, EXPECT_DEAD, 3, 3, 0},
      {60000, EXPECT_ALIVE, 4, 19, 0}}},
    {"inbound-lost",
     20,
     0,
     0,
     {{1000, STEP_GROUP, 7, 7, 1},
      {1000, STEP_CUT, 0, 1, 0},
      {1000, STEP_RESET, 0, 0, 0},
      {20000, EXPECT_DEAD, 7, 7, 0},
      {20000, EXPECT_ALIVE, 8, 19, 1},
      {20000, STEP_HEAL, 0, 1, 0},
      {60000, EXPECT_ALIVE, 0, 19, 0}}},
    {"outbound-lost",
     20,
     0,
     0,
     {{1000, STEP_GROUP, 7, 7, 1},
      {1000, STEP_CUT, 1, 0, 0},
      {20000, EXPECT_DEAD, 7, 7, 0},
      {20000, STEP_HEAL, 1, 0, 0},
      {60000, EXPECT_ALIVE, 0, 19, 0}}},
    {"both-directions-lost",
     20,
     0,
     0,
     {{1000, STEP_GROUP, 7, 7, 1},
      {1000, STEP_CUT, 1, 0, 0},
      {1000, STEP_CUT, 0, 1, 0},
      {20000, EXPECT_DEAD, 7, 7, 0},
      {20000, STEP_HEAL, 1, 0, 0},
      {20000, STEP_HEAL, 0, 1, 0},
      {60000, EXPECT_ALIVE, 0, 19, 0}}},
    {"one-way-pair",
     20,
     0,
     0,
     {{1000, STEP_GROUP, 3, 3, 1},
      {1000, STEP_GROUP, 4, 4, 2},
      {1000, STEP_CUT, 2, 1, 0},
      {60000, EXPECT_ONE_WAY, 3, 4, 0},
      {60000, EXPECT_ONE_WAY, 4, 3, 0},
      {60000, EXPECT_VISIBLE, 5, 3, 0},
      {60000, EXPECT_VISIBLE, 5, 4, 0},
      {60000, EXPECT_NO_DEATHS, 0, 19, 0},
      {60000, STEP_HEAL, 2, 1, 0},
      {90000, EXPECT_ALIVE, 0, 19, 0}}},
    {"pause-and-resume",
     20,
     0,
     0,
     {{5000, STEP_PAUSE, 6, 6, 0},
      {25000, EXPECT_DEAD, 6, 6, 0},
      {25000, STEP_RESET, 0, 0, 0},
      {25000, STEP_RESUME, 6, 6, 0},
      {60000, EXPECT_ALIVE, 0, 19, 0},
      {60000, EXPECT_NO_DEATHS, 0, 19, 0}}},
    {"restart",
     20,
     0,
     0,
     {{5000, STEP_CRASH, 6, 6, 0},
      {5500, STEP_RESTART, 6, 6, 0},
      {20000, EXPECT_ALIVE, 0, 19, 0},
      {60000, EXPECT_NO_DEATHS, 0, 19, 0}}},
    {"replacement",
     20,
     1,
     0,
     {{5000, STEP_CRASH, 6, 6, 0},
      {5500, STEP_REPLACE, 6, 20, 0},
      {20000, EXPECT_ALIVE, 0, 19, 0},
      {60000, EXPECT_NO_DEATHS, 0, 20, 0}}},
    {"replacement-of-a-running-host",
     20,
     1,
     0,
     {{5500, STEP_REPLACE, 6, 20, 0},
      {20000, STEP_CRASH, 6, 6, 0},
      {60000, EXPECT_ALIVE, 0, 19, 0}}},
    {"late-and-duplicated-messages",
     20,
     0,
     0,
     {{0, STEP_RECORD, 6, 6, 0},
      {5000, STEP_SERVERS, 6, 6, 0},
      {15000, EXPECT_SAME, 6, 6, 0},
      {20000, STEP_CRASH, 6, 6, 0},
      {20500, STEP_RESTART, 6, 6, 0},
      {30000, STEP_REPLAY, 0, 0, 0},
      {30000, STEP_RESET, 0, 0, 0},
      {34000, EXPECT_ALIVE, 0, 19, 0},
      {34000, EXPECT_SAME, 6, 6, 0},
      {60000, EXPECT_ALIVE, 0, 19, 0},
      {60000, EXPECT_NO_DEATHS, 0, 19, 0}}},
    {"late-messages-of-a-dead-host",
     20,
     0,
     0,
     {{0, STEP_RECORD, 6, 6, 0},
      {20000, STEP_CRASH, 6, 6, 0},
      {40000, EXPECT_DEAD, 6, 6, 0},
      {40000, STEP_REPLAY, 0, 0, 0},
      {42000, EXPECT_DEAD, 6, 6, 0},
      {60000, EXPECT_DEAD, 6, 6, 0}}},
    {"rack",
     40,
     0,
     0,
     {{5000, STEP_CRASH, 10, 19, 0},
      {35000, EXPECT_DEAD, 10, 19, 0},
      {35000, EXPECT_ALIVE, 20, 39, 0},
      {35000, EXPECT_ALIVE, 0, 9, 0}}},
    {"partition",
     40,
     0,
     0,
     {{5000, STEP_GROUP, 20, 39, 1},
      {5000, STEP_CUT, 0, 1, 0},
      {5000, STEP_CUT, 1, 0, 0},
      {120000, STEP_RESET, 0, 0, 0},
      {120000, STEP_HEAL, 0, 1, 0},
      {120000, STEP_HEAL, 1, 0, 0},
      {180000, EXPECT_ALIVE, 0, 39, 0},
      {180000, EXPECT_NO_DEATHS, 0, 39, 0}}},
    {"partition-in-one-direction",
     40,
     0,
     0,
     {{5000, STEP_GROUP, 20, 39, 1},
      {5000, STEP_CUT, 0, 1, 0},
      {120000, STEP_HEAL, 0, 1, 0},
      {180000, EXPECT_ALIVE, 0, 39, 0}}},
    {"loss-of-5-percent",
     50,
     0,
     0.05,
     {{600000, EXPECT_NO_DEATHS, 0, 49, 0},
      {600000, EXPECT_MAX_SUSPICIONS, 0, 0, 0},
      {600000, STEP_LOSS, 0, 0, 0},
      {630000, EXPECT_ALIVE, 0, 49, 0}}},
    {"leave",
     20,
     0,
     0,
     {{5000, STEP_LEAVE, 6, 6, 0},
      {7000, STEP_CRASH, 6, 6, 0},
      {12000, EXPECT_LEFT, 6, 6, 0},
      {60000, EXPECT_LEFT, 6, 6, 0},
      {60000, EXPECT_MAX_SUSPICIONS, 0, 0, 0}}},
};

static gboolean
is_running(TestNet *net, int node)
{
    return TestNet_Node(net, node)->member != NULL &&
           !TestNet_Node(net, node)->is_paused;
}

/* Checks the states of hosts first to last in the tables of all other running
 * nodes. Nodes outside group 0, which are cut off themselves, are skipped if
 * step->group is 1 or the expected state is MEMBER_DEAD. */
static void
expect_state(TestNet *net, const FailureCase *test, const Step *step,
             MemberState state)
{
    gboolean skips_cut = step->group == 1 || state == MEMBER_DEAD;

    for (int i = 0; i < test->nodes + test->spare; i++) {
        TestNode *node = TestNet_Node(net, i);

        if (!is_running(net, i) || (skips_cut && node->group != 0)) {
            continue;
        }
        Member_PublishNow(node->member, TestNet_Now(net));
        for (int host = step->first; host <= step->last; host++) {
            uint64_t id = TestNet_Id(host);
            const MemberHost *found = Member_Peek(node->member, id);

            if (node->id == id) {
                continue;
            }
            if (found == NULL || found->state != state ||
                (state == MEMBER_ALIVE && found->is_one_way)) {
                g_test_message("%s at %d ms: node %d has host %d in state %d, "
                               "expected %d",
                               test->name, (int)TestNet_Now(net), i, host,
                               found == NULL ? -1 : found->state, state);
                g_test_fail();
            }
            g_assert_true(Member_FindHost(node->member, id) == found);
        }
    }
}

static void
expect_same(TestNet *net, const FailureCase *test, int host)
{
    const MemberHost *own = Member_GetSelf(TestNet_Node(net, host)->member);

    for (int i = 0; i < test->nodes; i++) {
        const MemberHost *found =
            Member_Peek(TestNet_Node(net, i)->member, TestNet_Id(host));

        g_assert_cmpmem(found, MemberTable_HostBytes(found), own,
                        MemberTable_HostBytes(own));
    }
}

/* Each change raises the serial, so that the node's next incarnation starts
 * with a lower one. */
static void
change_servers(TestNet *net, int node)
{
    MemberServer server = {.name = 99, .service = 1};

    for (int i = 1; i <= 3; i++) {
        server.weight = (uint8_t)i;
        (void)Member_SetServers(TestNet_Node(net, node)->member,
                                TestNet_Now(net), &server, 1);
    }
}

static void
expect_counts(TestNet *net, const FailureCase *test, const Step *step)
{
    uint64_t suspected = 0;
    uint64_t died = 0;

    for (int i = 0; i < test->nodes + test->spare; i++) {
        TestNode *node = TestNet_Node(net, i);

        suspected += node->suspected;
        if (i >= step->first && i <= step->last) {
            died += node->died;
        }
    }
    if (step->kind == EXPECT_NO_DEATHS) {
        g_assert_cmpuint(died, ==, 0);
    }
    if (step->kind == EXPECT_MAX_SUSPICIONS) {
        g_assert_cmpuint(suspected, <=, (uint64_t)step->first);
    }
}

static void
apply_to_node(TestNet *net, const Step *step, int node)
{
    switch (step->kind) {
    case STEP_CRASH:
        TestNet_Crash(net, node);
        break;
    case STEP_PAUSE:
        TestNet_Pause(net, node);
        break;
    case STEP_RESUME:
        TestNet_Resume(net, node);
        break;
    case STEP_RESTART:
        TestNet_Start(net, node, node, 2, 0);
        break;
    case STEP_LEAVE:
        Member_Leave(TestNet_Node(net, node)->member, TestNet_Now(net), 0);
        break;
    case STEP_GROUP:
        TestNet_Node(net, node)->group = step->group;
        break;
    default:
        break;
    }
}

static void
apply(TestNet *net, const FailureCase *test, const Step *step)
{
    switch (step->kind) {
    case STEP_REPLACE:
        TestNet_Start(net, step->last, step->first, 2, 0);
        break;
    case STEP_CUT:
    case STEP_HEAL:
        TestNet_Cut(net, step->first, step->last, step->kind == STEP_CUT);
        break;
    case STEP_LOSS:
        TestNet_SetLoss(net, step->first / 100.0);
        break;
    case STEP_RECORD:
        TestNet_Record(net, step->first);
        break;
    case STEP_REPLAY:
        TestNet_Replay(net);
        break;
    case STEP_SERVERS:
        change_servers(net, step->first);
        break;
    case STEP_RESET:
        for (int i = 0; i < test->nodes + test->spare; i++) {
            TestNet_Node(net, i)->suspected = 0;
            TestNet_Node(net, i)->died = 0;
        }
        break;
    default:
        for (int node = step->first; node <= step->last; node++) {
            apply_to_node(net, step, node);
        }
    }
}

static void
expect(TestNet *net, const FailureCase *test, const Step *step)
{
    const MemberHost *host;

    switch (step->kind) {
    case EXPECT_DEAD:
        expect_state(net, test, step, MEMBER_DEAD);
        break;
    case EXPECT_LEFT:
        expect_state(net, test, step, MEMBER_LEFT);
        break;
    case EXPECT_ALIVE:
        expect_state(net, test, step, MEMBER_ALIVE);
        break;
    case EXPECT_ONE_WAY:
    case EXPECT_VISIBLE:
        host = Member_Peek(TestNet_Node(net, step->first)->member,
                           TestNet_Id(step->last));
        g_assert_nonnull(host);
        g_assert_cmpint(host->state, ==, MEMBER_ALIVE);
        g_assert_cmpint(host->is_one_way, ==, step->kind == EXPECT_ONE_WAY);
        break;
    case EXPECT_SAME:
        expect_same(net, test, step->first);
        break;
    default:
        expect_counts(net, test, step);
    }
}

static void
test_failure(const void *data)
{
    const FailureCase *test = data;

    for (uint64_t seed = 1; seed <= 3; seed++) {
        TestNet_desc desc = {.seed = seed,
                             .nodes = test->nodes + test->spare,
                             .loss = test->loss,
                             .servers = 3,
                             .is_prefilled = test->spare == 0};
        TestNet *net = TestNet_Create(&desc);

        for (int i = 0; test->spare > 0 && i < test->nodes; i++) {
            TestNet_Start(net, i, i, 1, i == 0 ? -1 : 0);
        }
        for (const Step *step = test->steps; step->kind != STEP_END; step++) {
            TestNet_Run(net, step->at);
            if (step->kind < EXPECT_DEAD) {
                apply(net, test, step);
            }
            else {
                expect(net, test, step);
            }
        }
        TestNet_Destroy(net);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strconcat("/member/failure/", cases[i].name, NULL);

        g_test_add_data_func(path, &cases[i], test_failure);
        g_free(path);
    }
    return g_test_run();
}
