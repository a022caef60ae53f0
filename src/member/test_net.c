#include "member/test_net.h"

#include <string.h>

#include "member/table.h"

#define ACK_TIMEOUT_MS 300
#define RETRANSMIT_MS 150
#define INDIRECT_MS 600
#define PERIOD_MS 1000
#define DIGEST_MS 10000
#define DIGEST_ROUNDS 8
#define JOIN_ROUNDS 20000
/* Overhead of a message in bytes: UDP and IP, ONC RPC, seal. */
#define CALL_BYTES (28 + 40 + 92)
#define REPLY_BYTES (28 + 24 + 92)

typedef enum EventKind {
    EVENT_PERIOD,  /* timer for ticks, pings and publication */
    EVENT_DIGEST,  /* start of a digest exchange */
    EVENT_TIMEOUT, /* of a probe; see Event.step */
    EVENT_PING,
    EVENT_ACK,
    EVENT_RELAY,   /* request for an indirect ping */
    EVENT_RELAYED, /* answer of a helper that got an ack */
    EVENT_DIGEST_REQUEST,
    EVENT_DIGEST_REPLY
} EventKind;

typedef struct Event {
    ClockMs time;
    uint64_t order;
    EventKind kind;
    int node;            /* node that handles the event */
    int from;            /* sending node; -1 = replayed */
    uint32_t generation; /* timers: TestNode.generation of the process */
    uint32_t token;      /* probe, or remaining rounds of a digest exchange */
    int step;            /* EVENT_TIMEOUT: 0 retransmission, 1 end of direct
                          * wait, 2 end of indirect wait */
    uint64_t sender;
    uint64_t incarnation;
    uint64_t receiver; /* host that the message is addressed to, 0 = any */
    uint64_t receiver_incarnation;
    TestProbe relay; /* EVENT_RELAY: probe to run */
    GByteArray *body;
} Event;

struct TestNet {
    TestNet_desc desc;
    Rng rng;
    ClockMs now;
    uint64_t order;
    uint32_t tokens;
    gboolean is_cut[TEST_NET_GROUPS][TEST_NET_GROUPS];
    TestNode *nodes;
    Event **heap;
    uint32_t heap_count;
    uint32_t heap_size;
    int recorded_node;
    GPtrArray *recorded;
};

static void
free_event(Event *event)
{
    if (event->body != NULL) {
        g_byte_array_unref(event->body);
    }
    g_free(event);
}

static gboolean
is_before(const Event *a, const Event *b)
{
    return a->time != b->time ? a->time < b->time : a->order < b->order;
}

static void
push(TestNet *net, Event *event)
{
    uint32_t at = net->heap_count++;

    if (net->heap_count > net->heap_size) {
        net->heap_size = MAX(1024, net->heap_size * 2);
        net->heap = g_renew(Event *, net->heap, net->heap_size);
    }
    event->order = ++net->order;
    net->heap[at] = event;
    while (at > 0 && is_before(net->heap[at], net->heap[(at - 1) / 2])) {
        Event *parent = net->heap[(at - 1) / 2];

        net->heap[(at - 1) / 2] = net->heap[at];
        net->heap[at] = parent;
        at = (at - 1) / 2;
    }
}

static Event *
pop(TestNet *net)
{
    Event *first = net->heap[0];
    uint32_t at = 0;

    net->heap[0] = net->heap[--net->heap_count];
    for (;;) {
        uint32_t child = 2 * at + 1;
        Event *event = net->heap[at];

        if (child >= net->heap_count) {
            return first;
        }
        if (child + 1 < net->heap_count &&
            is_before(net->heap[child + 1], net->heap[child])) {
            child++;
        }
        if (!is_before(net->heap[child], event)) {
            return first;
        }
        net->heap[at] = net->heap[child];
        net->heap[child] = event;
        at = child;
    }
}

static void
set_timer(TestNet *net, int node, ClockMs after, EventKind kind, int step,
          uint32_t token)
{
    Event *event = g_new0(Event, 1);

    *event = (Event){.time = net->now + after,
                     .kind = kind,
                     .node = node,
                     .generation = net->nodes[node].generation,
                     .step = step,
                     .token = token};
    push(net, event);
}

/* Sends the message or drops it at random. Takes ownership of the event. */
static void
send_event(TestNet *net, Event *event, int to)
{
    TestNode *from = &net->nodes[event->from];

    event->node = to;
    event->sender = from->id;
    event->incarnation = from->incarnation;
    from->messages_sent++;
    from->bytes_sent +=
        (event->kind == EVENT_PING || event->kind == EVENT_RELAY ||
                 event->kind == EVENT_DIGEST_REQUEST
             ? CALL_BYTES
             : REPLY_BYTES) +
        (event->body != NULL ? event->body->len : 0);
    if (net->is_cut[from->group][net->nodes[to].group] ||
        (net->desc.loss > 0 && Rng_Unit(&net->rng) < net->desc.loss)) {
        free_event(event);
        return;
    }
    event->time =
        net->now + 1 +
        (ClockMs)Rng_Below(&net->rng, (uint64_t)net->desc.max_delay_ms);
    push(net, event);
}

static Event *
message(EventKind kind, int from, uint32_t token)
{
    Event *event = g_new0(Event, 1);

    *event = (Event){.kind = kind, .from = from, .token = token};
    return event;
}

static void
send_ping(TestNet *net, int node, const TestProbe *probe)
{
    Event *event = message(EVENT_PING, node, probe->token);

    event->body = g_byte_array_new();
    event->receiver = probe->target;
    event->receiver_incarnation = probe->incarnation;
    Member_WritePing(net->nodes[node].member, net->now, probe->target, NULL,
                     event->body);
    if (node == net->recorded_node) {
        Event *copy = g_memdup2(event, sizeof(*event));

        copy->body = g_byte_array_new();
        g_byte_array_append(copy->body, event->body->data, event->body->len);
        copy->sender = net->nodes[node].id;
        copy->incarnation = net->nodes[node].incarnation;
        copy->receiver = 0;
        copy->receiver_incarnation = 0;
        g_ptr_array_add(net->recorded, copy);
    }
    send_event(net, event, (int)probe->address);
}

static void
start_probe(TestNet *net, int node, const TestProbe *wanted)
{
    for (int i = 0; i < TEST_NET_PROBES; i++) {
        TestProbe *probe = &net->nodes[node].probes[i];

        if (probe->token == 0) {
            *probe = *wanted;
            probe->token = ++net->tokens;
            send_ping(net, node, probe);
            set_timer(net, node, RETRANSMIT_MS, EVENT_TIMEOUT, 0,
                      probe->token);
            set_timer(net, node, ACK_TIMEOUT_MS, EVENT_TIMEOUT, 1,
                      probe->token);
            return;
        }
    }
}

static TestProbe *
find_probe(TestNet *net, int node, uint32_t token)
{
    for (int i = 0; i < TEST_NET_PROBES; i++) {
        if (token != 0 && net->nodes[node].probes[i].token == token) {
            return &net->nodes[node].probes[i];
        }
    }
    return NULL;
}

static void
run_period(TestNet *net, int node)
{
    Member *member = net->nodes[node].member;
    const MemberHost *host;

    Member_Tick(member, net->now);
    while (Member_NextPing(member, net->now, &host)) {
        TestProbe probe = {.target = host->id,
                           .incarnation = host->incarnation,
                           .address = host->ip,
                           .for_node = -1};

        start_probe(net, node, &probe);
    }
    (void)Member_Publish(member, net->now);
    /* Runs every half period, so that rechecks and ticks are not late. */
    set_timer(net, node, PERIOD_MS / 2, EVENT_PERIOD, 0, 0);
}

static void
send_digest(TestNet *net, int node, int to, uint32_t rounds, GByteArray *body)
{
    Event *event = message(EVENT_DIGEST_REQUEST, node, rounds);

    event->body = body;
    send_event(net, event, to);
}

static void
start_digest(TestNet *net, int node)
{
    TestNode *self = &net->nodes[node];
    const MemberHost *host;
    GByteArray *body;

    if (Member_ChoosePeer(self->member, &host)) {
        body = g_byte_array_new();
        Member_WriteDigest(self->member, net->now, body);
        send_digest(net, node, (int)host->ip,
                    self->seed_node >= 0 ? JOIN_ROUNDS : DIGEST_ROUNDS, body);
        self->seed_node = -1;
    }
    set_timer(net, node, DIGEST_MS, EVENT_DIGEST, 0, 0);
}

static void
end_direct(TestNet *net, int node, TestProbe *probe)
{
    const MemberHost *helpers[MEMBER_HELPERS];
    uint32_t count =
        Member_PingFailed(net->nodes[node].member, net->now, probe->target,
                          probe->incarnation, helpers);

    if (count == 0) {
        probe->token = 0;
        return;
    }
    probe->helpers = (int)count;
    for (uint32_t i = 0; i < count; i++) {
        Event *event = message(EVENT_RELAY, node, probe->token);

        event->relay = *probe;
        event->relay.for_node = node;
        event->relay.helpers = 0;
        event->relay.for_token = probe->token;
        send_event(net, event, (int)helpers[i]->ip);
    }
    set_timer(net, node, INDIRECT_MS, EVENT_TIMEOUT, 2, probe->token);
}

static void
handle_timeout(TestNet *net, const Event *event)
{
    TestProbe *probe = find_probe(net, event->node, event->token);

    if (probe == NULL) {
        return;
    }
    if (event->step == 0) {
        send_ping(net, event->node, probe);
    }
    else if (event->step == 2) {
        Member_IndirectDone(net->nodes[event->node].member, net->now,
                            probe->target, probe->incarnation, FALSE);
        probe->token = 0;
    }
    else if (probe->for_node >= 0) {
        probe->token = 0;
    }
    else {
        end_direct(net, event->node, probe);
    }
}

static void
handle_ping(TestNet *net, const Event *event)
{
    TestNode *self = &net->nodes[event->node];
    GByteArray *ack = g_byte_array_new();
    Event *answer;

    if (Member_ReadPing(self->member, net->now, event->sender, event->body,
                        NULL, NULL, ack) != RESULT_OK ||
        event->from < 0) {
        g_byte_array_unref(ack);
        return;
    }
    answer = message(EVENT_ACK, event->node, event->token);
    answer->receiver = event->sender;
    answer->receiver_incarnation = event->incarnation;
    answer->body = ack;
    send_event(net, answer, event->from);
}

static void
handle_ack(TestNet *net, const Event *event)
{
    TestNode *self = &net->nodes[event->node];
    TestProbe *probe = find_probe(net, event->node, event->token);
    Result result;

    if (probe == NULL) {
        return;
    }
    result = Member_ReadAck(self->member, net->now, event->sender, event->body,
                            NULL);
    if (result == RESULT_OK && probe->for_node >= 0) {
        Event *answer = message(EVENT_RELAYED, event->node, probe->for_token);

        send_event(net, answer, probe->for_node);
    }
    if (probe->helpers == 0 || result == RESULT_OK) {
        probe->token = 0;
    }
    if (self->seed_node >= 0) {
        start_digest(net, event->node);
    }
}

static void
handle_relayed(TestNet *net, const Event *event)
{
    TestProbe *probe = find_probe(net, event->node, event->token);

    if (probe != NULL && probe->helpers > 0) {
        Member_IndirectDone(net->nodes[event->node].member, net->now,
                            probe->target, probe->incarnation, TRUE);
        probe->token = 0;
    }
}

static void
handle_digest(TestNet *net, const Event *event)
{
    TestNode *self = &net->nodes[event->node];
    GByteArray *body = g_byte_array_new();

    if (event->kind == EVENT_DIGEST_REQUEST) {
        if (Member_ReadDigest(self->member, net->now, event->sender,
                              event->body, body) == RESULT_OK) {
            Event *answer =
                message(EVENT_DIGEST_REPLY, event->node, event->token);

            answer->body = g_byte_array_ref(body);
            send_event(net, answer, event->from);
        }
    }
    else if (Member_ContinueDigest(self->member, net->now, event->sender,
                                   event->body, body) &&
             event->token > 1) {
        send_digest(net, event->node, event->from, event->token - 1,
                    g_byte_array_ref(body));
    }
    g_byte_array_unref(body);
}

static gboolean
is_timer(const Event *event)
{
    return event->kind <= EVENT_TIMEOUT;
}

/* Returns FALSE if the event was deferred until the node resumes. */
static gboolean
handle_event(TestNet *net, Event *event)
{
    TestNode *self = &net->nodes[event->node];

    if (self->member == NULL ||
        (is_timer(event) && event->generation != self->generation) ||
        (event->receiver != 0 &&
         (event->receiver != self->id ||
          (event->receiver_incarnation != 0 &&
           event->receiver_incarnation != self->incarnation)))) {
        return TRUE;
    }
    if (self->is_paused) {
        g_queue_push_tail(&self->deferred, event);
        return FALSE;
    }
    switch (event->kind) {
    case EVENT_PERIOD:
        run_period(net, event->node);
        break;
    case EVENT_DIGEST:
        start_digest(net, event->node);
        break;
    case EVENT_TIMEOUT:
        handle_timeout(net, event);
        break;
    case EVENT_PING:
        handle_ping(net, event);
        break;
    case EVENT_ACK:
        handle_ack(net, event);
        break;
    case EVENT_RELAY:
        start_probe(net, event->node, &event->relay);
        break;
    case EVENT_RELAYED:
        handle_relayed(net, event);
        break;
    default:
        handle_digest(net, event);
    }
    return TRUE;
}

void
TestNet_Run(TestNet *net, ClockMs until)
{
    while (net->heap_count > 0 && net->heap[0]->time <= until) {
        Event *event = pop(net);

        net->now = event->time;
        if (handle_event(net, event)) {
            free_event(event);
        }
    }
    net->now = until;
}

static void
count_event(void *context, MemberEvent event, const MemberHost *host)
{
    TestNode *node = context;

    (void)host;
    node->suspected += event == MEMBER_EVENT_SUSPECTED;
    node->died += event == MEMBER_EVENT_DIED;
}

uint64_t
TestNet_Id(int host)
{
    char name[32];

    g_snprintf(name, sizeof(name), "host-%d", host);
    return Rng_HashString(name);
}

static void
set_servers(TestNet *net, int node, int host)
{
    MemberServer servers[MEMBER_MAX_SERVERS];

    memset(servers, 0, sizeof(servers));
    for (int i = 0; i < net->desc.servers; i++) {
        servers[i] = (MemberServer){.name = Rng_Mix((uint64_t)host, i),
                                    .service = 1 + (uint64_t)(host + i) % 7,
                                    .slots = 5,
                                    .weight = 100};
    }
    (void)Member_SetServers(net->nodes[node].member, net->now, servers,
                            (uint32_t)net->desc.servers);
}

void
TestNet_Start(TestNet *net, int node, int host, uint64_t incarnation,
              int seed_node)
{
    TestNode *self = &net->nodes[node];
    Member_desc desc = {
        .self = {.id = TestNet_Id(host),
                 .incarnation = incarnation,
                 .ip = (uint32_t)node,
                 .rpc_port = 1,
                 .region = (uint8_t)(host % net->desc.regions),
                 .data_centre = (uint8_t)(host % net->desc.regions)},
        .seed = Rng_Mix(net->desc.seed, (uint64_t)node * 1000 + incarnation),
        .max_hosts = net->desc.max_hosts,
        .remove_after_ms = net->desc.remove_after_ms,
        .notify = count_event,
        .context = self,
        .no_view = net->desc.no_view};
    TestProbe probe = {.address = (uint32_t)seed_node, .for_node = -1};

    g_assert_null(self->member);
    self->member = Member_Create(&desc, net->now);
    self->id = desc.self.id;
    self->incarnation = incarnation;
    self->seed_node = seed_node;
    self->is_paused = FALSE;
    self->generation++;
    memset(self->probes, 0, sizeof(self->probes));
    set_servers(net, node, host);
    if (seed_node >= 0) {
        start_probe(net, node, &probe);
    }
    set_timer(net, node, (ClockMs)Rng_Below(&net->rng, PERIOD_MS),
              EVENT_PERIOD, 0, 0);
    set_timer(net, node, (ClockMs)Rng_Below(&net->rng, DIGEST_MS),
              EVENT_DIGEST, 0, 0);
}

void
TestNet_Crash(TestNet *net, int node)
{
    TestNode *self = &net->nodes[node];
    Event *event;

    Member_Destroy(self->member);
    self->member = NULL;
    self->generation++;
    while ((event = g_queue_pop_head(&self->deferred)) != NULL) {
        free_event(event);
    }
}

void
TestNet_Pause(TestNet *net, int node)
{
    net->nodes[node].is_paused = TRUE;
}

/* Events received during the pause are handled at once, as from a socket's
 * buffer. */
void
TestNet_Resume(TestNet *net, int node)
{
    Event *event;

    net->nodes[node].is_paused = FALSE;
    while ((event = g_queue_pop_head(&net->nodes[node].deferred)) != NULL) {
        event->time = net->now;
        push(net, event);
    }
}

void
TestNet_Cut(TestNet *net, int from, int to, gboolean is_cut)
{
    net->is_cut[from][to] = is_cut;
}

void
TestNet_SetLoss(TestNet *net, double loss)
{
    net->desc.loss = loss;
}

void
TestNet_Record(TestNet *net, int node)
{
    net->recorded_node = node;
}

void
TestNet_Replay(TestNet *net)
{
    net->recorded_node = -1;
    for (uint32_t i = 0; i < net->recorded->len * 2; i++) {
        Event *event =
            g_memdup2(g_ptr_array_index(net->recorded, i / 2), sizeof(*event));

        event->body = g_byte_array_ref(event->body);
        event->from = -1;
        event->time = net->now + 1 + (ClockMs)Rng_Below(&net->rng, 3000);
        event->node = (int)Rng_Below(&net->rng, (uint64_t)net->desc.nodes);
        push(net, event);
    }
}

/* Adds every node's record to every table. */
static void
fill_tables(TestNet *net)
{
    for (int i = 0; i < net->desc.nodes; i++) {
        const MemberHost *self = Member_GetSelf(net->nodes[i].member);
        MemberWireHost wire;

        MemberUpdate_ToWire(self, TRUE, &wire);
        for (int j = 0; j < net->desc.nodes; j++) {
            if (i != j) {
                (void)Member_Merge(net->nodes[j].member, 0, &wire,
                                   MEMBER_FROM_DIGEST);
            }
        }
        g_free(wire.servers.servers_val);
    }
    for (int i = 0; i < net->desc.nodes; i++) {
        MemberUpdate_Remove(net->nodes[i].member, MEMBER_SELF_SLOT);
        Member_PublishNow(net->nodes[i].member, 0);
    }
}

TestNet *
TestNet_Create(const TestNet_desc *desc)
{
    TestNet *net = g_new0(TestNet, 1);

    net->desc = *desc;
    net->desc.max_hosts =
        desc->max_hosts ? desc->max_hosts : (uint32_t)desc->nodes + 64;
    net->desc.regions = desc->regions ? desc->regions : 2;
    net->desc.max_delay_ms = desc->max_delay_ms ? desc->max_delay_ms : 5;
    net->nodes = g_new0(TestNode, desc->nodes);
    net->recorded = g_ptr_array_new();
    net->recorded_node = -1;
    Rng_Seed(&net->rng, desc->seed);
    for (int i = 0; i < desc->nodes; i++) {
        g_queue_init(&net->nodes[i].deferred);
    }
    if (desc->is_prefilled) {
        for (int i = 0; i < desc->nodes; i++) {
            TestNet_Start(net, i, i, 1, -1);
        }
        fill_tables(net);
    }
    return net;
}

void
TestNet_Destroy(TestNet *net)
{
    for (int i = 0; i < net->desc.nodes; i++) {
        TestNet_Crash(net, i);
    }
    for (uint32_t i = 0; i < net->recorded->len; i++) {
        free_event(g_ptr_array_index(net->recorded, i));
    }
    g_ptr_array_free(net->recorded, TRUE);
    while (net->heap_count > 0) {
        free_event(pop(net));
    }
    g_free(net->heap);
    g_free(net->nodes);
    g_free(net);
}

ClockMs
TestNet_Now(const TestNet *net)
{
    return net->now;
}

TestNode *
TestNet_Node(TestNet *net, int node)
{
    return &net->nodes[node];
}
