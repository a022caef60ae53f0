#include "member/gossip.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <time.h>
#include <urcu.h>

#include "base/condition.h"
#include "base/log.h"
#include "member/member_wire.h"

#define DEFAULT_ACK_TIMEOUT_MS 300
#define DEFAULT_DIGEST_PERIOD_MS 10000
/* Timeout of an indirect ping in units of ack_timeout_ms. Together with the
 * wait for the direct ack it stays within a period of 1 s. */
#define INDIRECT_FACTOR 2
#define TICK_MS 250
#define ALONE_RETRY_MS 5000
/* Interval of the pings to a random seed or roster entry. They reconnect
 * groups of hosts that no longer know each other, as after a partition that
 * outlasted Member_desc.remove_after_ms. With 7,400 hosts they cost the store
 * 4 reads/s. */
#define SPLIT_CHECK_MS (30 * 60 * 1000)
#define MAX_ROSTER 64
#define LEAVE_PINGS 8
/* Maximum number of requests in a digest exchange, except while joining. */
#define DIGEST_ROUNDS 8
#define JOIN_ROUNDS 20000

struct Gossip {
    Gossip_desc desc;
    Rpc *rpc;
    RpcPeer *seeds;

    pthread_mutex_t lock; /* protects the following fields */
    pthread_cond_t changed;
    Member *member;
    gboolean is_stopping;
    gboolean is_superseded;
    gboolean has_joined;
    gboolean is_superseded_reported; /* desc.superseded was called */

    gboolean is_running;
    pthread_t prober;
    pthread_t timer;
    ClockMs next_digest;
    ClockMs next_contact;
    ClockMs next_split_check;
    Rng rng; /* used by the prober */
};

static RpcPeer
peer_of(const MemberHost *host)
{
    return (RpcPeer){.host = host->id,
                     .incarnation = host->incarnation,
                     .ip = host->ip,
                     .port = host->rpc_port};
}

static void
log_event(LogEvent event, const MemberHost *host)
{
    Log_Event(event,
              "host=%016" PRIx64 " incarnation=%" PRIu64
              " address=%u.%u.%u.%u:%u data_centre=%u",
              host->id, host->incarnation, host->ip >> 24,
              host->ip >> 16 & 0xff, host->ip >> 8 & 0xff, host->ip & 0xff,
              host->rpc_port, host->data_centre);
}

/* Handles an event of the table. Called with the lock held. */
static void
handle_event(void *context, MemberEvent event, const MemberHost *host)
{
    static const LogEvent events[] = {
        [MEMBER_EVENT_JOINED] = LOG_MEMBER_JOINED,
        [MEMBER_EVENT_SUSPECTED] = LOG_MEMBER_SUSPECTED,
        [MEMBER_EVENT_REFUTED] = LOG_MEMBER_REFUTED,
        [MEMBER_EVENT_DIED] = LOG_MEMBER_DEAD,
        [MEMBER_EVENT_LEFT] = LOG_MEMBER_LEFT,
        [MEMBER_EVENT_ONE_WAY] = LOG_MEMBER_ONE_WAY,
        [MEMBER_EVENT_REACHED] = LOG_MEMBER_REACHED,
        [MEMBER_EVENT_SUPERSEDED] = LOG_MEMBER_SUPERSEDED};
    Gossip *gossip = context;

    if (event == MEMBER_EVENT_SUPERSEDED) {
        if (gossip->is_superseded || !gossip->has_joined) {
            return;
        }
        gossip->is_superseded = TRUE;
    }
    if (event == MEMBER_EVENT_JOINED) {
        Rpc_RecordIncarnation(gossip->rpc, host->id, host->incarnation);
    }
    log_event(events[event], host);
    if (gossip->desc.member.notify != NULL) {
        gossip->desc.member.notify(gossip->desc.member.context, event, host);
    }
}

/* Calls desc.superseded, at most once. Called without the lock. */
static void
report_superseded(Gossip *gossip)
{
    gboolean is_due;

    pthread_mutex_lock(&gossip->lock);
    is_due = gossip->is_superseded && !gossip->is_superseded_reported;
    gossip->is_superseded_reported = gossip->is_superseded_reported || is_due;
    pthread_mutex_unlock(&gossip->lock);
    if (is_due && gossip->desc.superseded != NULL) {
        gossip->desc.superseded(gossip->desc.context);
    }
}

static GByteArray *
create_payload(const Gossip *gossip)
{
    GByteArray *payload = g_byte_array_new();

    if (gossip->desc.append_payload != NULL) {
        gossip->desc.append_payload(gossip->desc.context, payload);
    }
    return payload;
}

static void
deliver_payload(const Gossip *gossip, const RpcPeer *sender,
                const GByteArray *payload)
{
    if (gossip->desc.read_payload != NULL && payload->len > 0) {
        gossip->desc.read_payload(gossip->desc.context, sender, payload);
    }
}

static Result
handle_ping(void *context, const RpcPeer *sender, const GByteArray *body,
            GByteArray *reply)
{
    Gossip *gossip = context;
    GByteArray *ack_payload = create_payload(gossip);
    GByteArray *payload = g_byte_array_new();
    Result result;

    pthread_mutex_lock(&gossip->lock);
    result = Member_ReadPing(gossip->member, Clock_Now(), sender->host, body,
                             ack_payload, payload, reply);
    pthread_cond_broadcast(&gossip->changed);
    pthread_mutex_unlock(&gossip->lock);
    deliver_payload(gossip, sender, payload);
    g_byte_array_unref(ack_payload);
    g_byte_array_unref(payload);
    return result == RESULT_FULL ? RESULT_OK : result;
}

/* Pings a peer; *responder is set to the host that answered. */
static Result
ping_once(Gossip *gossip, const RpcPeer *to, RpcPeer *responder)
{
    GByteArray *payload = create_payload(gossip);
    GByteArray *body = g_byte_array_new();
    GByteArray *ack = g_byte_array_new();
    Result result;

    pthread_mutex_lock(&gossip->lock);
    Member_WritePing(gossip->member, Clock_Now(), to->host, payload, body);
    pthread_mutex_unlock(&gossip->lock);
    g_byte_array_set_size(payload, 0);
    result = Rpc_CallWithResponder(gossip->rpc, to, RPC_KIND_PING, body, ack,
                                   gossip->desc.ack_timeout_ms, responder);
    if (result == RESULT_OK) {
        pthread_mutex_lock(&gossip->lock);
        result = Member_ReadAck(gossip->member, Clock_Now(), responder->host,
                                ack, payload);
        pthread_cond_broadcast(&gossip->changed);
        pthread_mutex_unlock(&gossip->lock);
        deliver_payload(gossip, responder, payload);
    }
    else if (result == RESULT_RPC_OLD_SESSION) {
        pthread_mutex_lock(&gossip->lock);
        if (gossip->has_joined && !gossip->is_superseded &&
            Rpc_GetRefusedIncarnation(gossip->rpc) >
                Rpc_GetIncarnation(gossip->rpc)) {
            gossip->is_superseded = TRUE;
            log_event(LOG_MEMBER_SUPERSEDED, Member_GetSelf(gossip->member));
        }
        pthread_mutex_unlock(&gossip->lock);
        report_superseded(gossip);
    }
    g_byte_array_unref(payload);
    g_byte_array_unref(body);
    g_byte_array_unref(ack);
    return result;
}

/* Pings a peer. If its process was restarted, pings the new incarnation. */
static Result
ping(Gossip *gossip, const RpcPeer *to, RpcPeer *responder)
{
    Result result = ping_once(gossip, to, responder);

    if (result == RESULT_RPC_WRONG_RECEIVER && to->host != 0 &&
        responder->host == to->host &&
        responder->incarnation > to->incarnation) {
        RpcPeer later = *responder;

        result = ping_once(gossip, &later, responder);
    }
    return result;
}

/* Runs on Rpc's threads for ping-requests, where blocking is allowed. */
static Result
handle_ping_request(void *context, const RpcPeer *sender,
                    const GByteArray *body, GByteArray *reply)
{
    Gossip *gossip = context;
    MemberWireRelay relay = {.host = 0};
    RpcPeer to;
    RpcPeer responder = {0};

    (void)sender;
    (void)reply;
    if (!Rpc_Decode(body, (xdrproc_t)xdr_MemberWireRelay, &relay) ||
        relay.host == 0 || relay.port > 0xffff) {
        return RESULT_MALFORMED;
    }
    to = (RpcPeer){.host = relay.host,
                   .incarnation = relay.incarnation,
                   .ip = relay.ip,
                   .port = (uint16_t)relay.port};
    return ping(gossip, &to, &responder);
}

static Result
handle_digest(void *context, const RpcPeer *sender, const GByteArray *body,
              GByteArray *reply)
{
    Gossip *gossip = context;
    Result result;

    pthread_mutex_lock(&gossip->lock);
    result = Member_ReadDigest(gossip->member, Clock_Now(), sender->host, body,
                               reply);
    pthread_cond_broadcast(&gossip->changed);
    pthread_mutex_unlock(&gossip->lock);
    return result;
}

/* One request for an indirect ping. */
typedef struct Indirect {
    Gossip *gossip;
    RpcPeer helper;
    GByteArray *body;
    Result result;
    pthread_t thread;
    gboolean is_started;
} Indirect;

static void *
ask_helper(void *context)
{
    Indirect *indirect = context;
    Gossip *gossip = indirect->gossip;

    indirect->result = Rpc_Call(gossip->rpc, &indirect->helper,
                                RPC_KIND_PING_REQUEST, indirect->body, NULL,
                                gossip->desc.ack_timeout_ms * INDIRECT_FACTOR);
    return NULL;
}

/* Asks the helpers concurrently; returns TRUE if one of them got an ack. */
static gboolean
ask_helpers(Gossip *gossip, const RpcPeer *target, const RpcPeer *helpers,
            uint32_t count)
{
    MemberWireRelay relay = {.host = target->host,
                             .incarnation = target->incarnation,
                             .ip = target->ip,
                             .port = target->port};
    Indirect asked[MEMBER_HELPERS];
    GByteArray *body = g_byte_array_new();
    gboolean is_reached = FALSE;

    (void)Rpc_Encode(body, (xdrproc_t)xdr_MemberWireRelay, &relay);
    for (uint32_t i = 0; i < count; i++) {
        asked[i] = (Indirect){.gossip = gossip,
                              .helper = helpers[i],
                              .body = body,
                              .result = RESULT_RPC_TIMEOUT};
        asked[i].is_started =
            pthread_create(&asked[i].thread, NULL, ask_helper, &asked[i]) == 0;
    }
    for (uint32_t i = 0; i < count; i++) {
        if (asked[i].is_started) {
            pthread_join(asked[i].thread, NULL);
        }
        is_reached = is_reached || asked[i].result == RESULT_OK;
    }
    g_byte_array_unref(body);
    return is_reached;
}

static void
probe(Gossip *gossip, const RpcPeer *target)
{
    const MemberHost *hosts[MEMBER_HELPERS];
    RpcPeer helpers[MEMBER_HELPERS];
    RpcPeer responder = {0};
    gboolean is_reached;
    uint32_t count;

    if (ping(gossip, target, &responder) == RESULT_OK) {
        return;
    }
    pthread_mutex_lock(&gossip->lock);
    count = Member_PingFailed(gossip->member, Clock_Now(), target->host,
                              target->incarnation, hosts);
    for (uint32_t i = 0; i < count; i++) {
        helpers[i] = peer_of(hosts[i]);
    }
    pthread_mutex_unlock(&gossip->lock);
    if (count == 0) {
        return;
    }
    is_reached = ask_helpers(gossip, target, helpers, count);
    pthread_mutex_lock(&gossip->lock);
    Member_IndirectDone(gossip->member, Clock_Now(), target->host,
                        target->incarnation, is_reached);
    pthread_cond_broadcast(&gossip->changed);
    pthread_mutex_unlock(&gossip->lock);
}

/* Exchanges digests with a peer until nothing differs, in at most `rounds`
 * requests and until `deadline`. */
static Result
exchange(Gossip *gossip, const RpcPeer *peer, int rounds, ClockMs deadline)
{
    GByteArray *body = g_byte_array_new();
    GByteArray *reply = g_byte_array_new();
    gboolean is_continued = TRUE;
    Result result = RESULT_OK;

    pthread_mutex_lock(&gossip->lock);
    Member_WriteDigest(gossip->member, Clock_Now(), body);
    pthread_mutex_unlock(&gossip->lock);
    while (is_continued && rounds-- > 0 && Clock_Now() < deadline) {
        g_byte_array_set_size(reply, 0);
        result = Rpc_Call(gossip->rpc, peer, RPC_KIND_DIGEST, body, reply,
                          2 * gossip->desc.ack_timeout_ms);
        if (result != RESULT_OK) {
            break;
        }
        g_byte_array_set_size(body, 0);
        pthread_mutex_lock(&gossip->lock);
        is_continued = Member_ContinueDigest(gossip->member, Clock_Now(),
                                             peer->host, reply, body) &&
                       !gossip->is_stopping;
        pthread_cond_broadcast(&gossip->changed);
        pthread_mutex_unlock(&gossip->lock);
    }
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
    return result;
}

/* Raises this host's incarnation above the one that a peer knows. Returns
 * FALSE if that was not necessary. */
static gboolean
raise_incarnation(Gossip *gossip)
{
    uint64_t own = Rpc_GetIncarnation(gossip->rpc);
    uint64_t known = Rpc_GetRefusedIncarnation(gossip->rpc);

    pthread_mutex_lock(&gossip->lock);
    known = MAX(known, Member_GetSupersededBy(gossip->member));
    if (known > own) {
        Rpc_SetIncarnation(gossip->rpc, known + 1);
        Member_SetIncarnation(gossip->member, Clock_Now(), known + 1);
    }
    pthread_mutex_unlock(&gossip->lock);
    return known > own;
}

/* Pings a seed or a roster entry and fills the table from its answers. */
static Result
contact(Gossip *gossip, const RpcPeer *entry, ClockMs deadline)
{
    RpcPeer any = {.ip = entry->ip, .port = entry->port};
    RpcPeer responder = {0};
    Result result = ping(gossip, &any, &responder);

    if (result == RESULT_RPC_OLD_SESSION && !gossip->has_joined &&
        raise_incarnation(gossip)) {
        result = ping(gossip, &any, &responder);
    }
    if (result != RESULT_OK) {
        return result;
    }
    if (responder.host == gossip->desc.member.self.id) {
        return RESULT_NOT_FOUND;
    }
    result = exchange(gossip, &responder, JOIN_ROUNDS, deadline);
    if (!gossip->has_joined && raise_incarnation(gossip)) {
        result = ping(gossip, &responder, &responder);
    }
    return result;
}

/* Contacts the seeds, then the roster entries, until one succeeds. *failures
 * is set to the number of failures, without addresses that lead to this host.
 */
static Result
contact_any(Gossip *gossip, ClockMs deadline, uint32_t *failures)
{
    RpcPeer roster[MAX_ROSTER];
    Result result = RESULT_NOT_FOUND;
    uint32_t count;

    *failures = 0;
    for (uint32_t i = 0; i < gossip->desc.seed_count; i++) {
        result = contact(gossip, &gossip->seeds[i], deadline);
        if (result == RESULT_OK) {
            return RESULT_OK;
        }
        *failures += result != RESULT_NOT_FOUND;
    }
    if (gossip->desc.read_roster == NULL) {
        return result;
    }
    count = gossip->desc.read_roster(gossip->desc.context, roster, MAX_ROSTER);
    for (uint32_t i = 0; i < MIN(count, MAX_ROSTER); i++) {
        result = contact(gossip, &roster[i], deadline);
        if (result == RESULT_OK) {
            return RESULT_OK;
        }
        *failures += result != RESULT_NOT_FOUND;
    }
    return result;
}

/* Pings one random seed or roster entry. */
static void
check_split(Gossip *gossip)
{
    RpcPeer roster[MAX_ROSTER];
    RpcPeer any = {.host = 0};
    RpcPeer responder = {0};
    uint32_t seeds = gossip->desc.seed_count;
    uint32_t count = 0;
    uint64_t chosen;

    if (gossip->desc.read_roster != NULL) {
        count =
            gossip->desc.read_roster(gossip->desc.context, roster, MAX_ROSTER);
        count = MIN(count, MAX_ROSTER);
    }
    if (seeds + count == 0) {
        return;
    }
    chosen = Rng_Below(&gossip->rng, seeds + count);
    any.ip =
        chosen < seeds ? gossip->seeds[chosen].ip : roster[chosen - seeds].ip;
    any.port = chosen < seeds ? gossip->seeds[chosen].port
                              : roster[chosen - seeds].port;
    (void)ping(gossip, &any, &responder);
}

/* Waits for a change, at most for the given time. Called with the lock held.
 */
static void
wait_for(Gossip *gossip, ClockMs milliseconds)
{
    (void)Condition_Wait(&gossip->changed, &gossip->lock,
                         CLAMP(milliseconds, 1, TICK_MS));
}

/* Ends suspicions and publishes changes on time, even while the prober waits
 * for an ack. */
static void *
run_timer(void *context)
{
    Gossip *gossip = context;
    ClockMs next_tick = 0;

    rcu_register_thread();
    pthread_mutex_lock(&gossip->lock);
    while (!gossip->is_stopping) {
        ClockMs now = Clock_Now();
        ClockMs due;

        if (now >= next_tick) {
            Member_Tick(gossip->member, now);
            next_tick = now + TICK_MS;
        }
        due = MIN(Member_Publish(gossip->member, now), next_tick);
        if (gossip->is_superseded && !gossip->is_superseded_reported) {
            pthread_mutex_unlock(&gossip->lock);
            report_superseded(gossip);
            pthread_mutex_lock(&gossip->lock);
        }
        wait_for(gossip, due - now);
    }
    pthread_mutex_unlock(&gossip->lock);
    rcu_unregister_thread();
    return NULL;
}

/* Runs the first task that is due: a ping, a digest exchange, a split check or
 * a join. Releases the lock while it waits for peers. Returns FALSE if nothing
 * was due. Called with the lock held. */
static gboolean
run_due_task(Gossip *gossip, ClockMs now)
{
    const MemberHost *host;
    MemberCounts counts;
    uint32_t failures;
    RpcPeer peer;

    if (Member_NextPing(gossip->member, now, &host)) {
        peer = peer_of(host);
        pthread_mutex_unlock(&gossip->lock);
        probe(gossip, &peer);
        pthread_mutex_lock(&gossip->lock);
        return TRUE;
    }
    if (now >= gossip->next_digest) {
        gossip->next_digest = now + gossip->desc.digest_period_ms;
        if (Member_ChoosePeer(gossip->member, &host)) {
            peer = peer_of(host);
            pthread_mutex_unlock(&gossip->lock);
            (void)exchange(gossip, &peer, DIGEST_ROUNDS, CLOCK_NEVER);
            pthread_mutex_lock(&gossip->lock);
            return TRUE;
        }
    }
    if (now >= gossip->next_split_check) {
        gossip->next_split_check = now + SPLIT_CHECK_MS;
        pthread_mutex_unlock(&gossip->lock);
        check_split(gossip);
        pthread_mutex_lock(&gossip->lock);
        return TRUE;
    }
    Member_Count(gossip->member, &counts);
    if (counts.alive + counts.suspect <= 1 && now >= gossip->next_contact) {
        gossip->next_contact = now + ALONE_RETRY_MS;
        pthread_mutex_unlock(&gossip->lock);
        (void)contact_any(gossip, now + ALONE_RETRY_MS, &failures);
        pthread_mutex_lock(&gossip->lock);
        return TRUE;
    }
    return FALSE;
}

static void *
run_prober(void *context)
{
    Gossip *gossip = context;

    rcu_register_thread();
    pthread_mutex_lock(&gossip->lock);
    while (!gossip->is_stopping) {
        if (!run_due_task(gossip, Clock_Now())) {
            wait_for(gossip, TICK_MS / 5);
        }
    }
    pthread_mutex_unlock(&gossip->lock);
    rcu_unregister_thread();
    return NULL;
}

Gossip *
Gossip_Create(const Gossip_desc *desc)
{
    Gossip *gossip = g_new0(Gossip, 1);
    Member_desc member = desc->member;

    gossip->desc = *desc;
    gossip->rpc = desc->rpc;
    gossip->seeds = g_memdup2(desc->seeds, desc->seed_count * sizeof(RpcPeer));
    if (gossip->desc.ack_timeout_ms == 0) {
        gossip->desc.ack_timeout_ms = DEFAULT_ACK_TIMEOUT_MS;
    }
    if (gossip->desc.digest_period_ms == 0) {
        gossip->desc.digest_period_ms = DEFAULT_DIGEST_PERIOD_MS;
    }
    pthread_mutex_init(&gossip->lock, NULL);
    Condition_Init(&gossip->changed);
    member.notify = handle_event;
    member.context = gossip;
    member.self.incarnation = Rpc_GetIncarnation(desc->rpc);
    if (member.self.rpc_port == 0) {
        member.self.rpc_port = Rpc_GetPort(desc->rpc);
    }
    if (member.seed == 0) {
        member.seed = Rng_ProcessSeed();
    }
    Rng_Seed(&gossip->rng, member.seed);
    gossip->member = Member_Create(&member, Clock_Now());
    Rpc_Handle(desc->rpc, RPC_KIND_PING, handle_ping, gossip);
    Rpc_Handle(desc->rpc, RPC_KIND_PING_REQUEST, handle_ping_request, gossip);
    Rpc_Handle(desc->rpc, RPC_KIND_DIGEST, handle_digest, gossip);
    return gossip;
}

Result
Gossip_Join(Gossip *gossip, int timeout_ms)
{
    ClockMs now = Clock_Now();
    uint32_t failures = 0;
    Result result = contact_any(gossip, now + timeout_ms, &failures);

    pthread_mutex_lock(&gossip->lock);
    gossip->has_joined = TRUE;
    gossip->next_digest = now + gossip->desc.digest_period_ms;
    gossip->next_contact = now + ALONE_RETRY_MS;
    gossip->next_split_check =
        now + (ClockMs)Rng_Below(&gossip->rng, SPLIT_CHECK_MS);
    Member_PublishNow(gossip->member, Clock_Now());
    pthread_mutex_unlock(&gossip->lock);
    if (pthread_create(&gossip->prober, NULL, run_prober, gossip) != 0 ||
        pthread_create(&gossip->timer, NULL, run_timer, gossip) != 0) {
        g_error("cannot start the gossip threads");
    }
    gossip->is_running = TRUE;
    if (result == RESULT_OK || failures == 0) {
        return RESULT_OK;
    }
    return result;
}

const Member *
Gossip_GetMember(const Gossip *gossip)
{
    return gossip->member;
}

Result
Gossip_SetServers(Gossip *gossip, const MemberServer *servers, uint32_t count)
{
    Result result;

    pthread_mutex_lock(&gossip->lock);
    result = Member_SetServers(gossip->member, Clock_Now(), servers, count);
    pthread_cond_broadcast(&gossip->changed);
    pthread_mutex_unlock(&gossip->lock);
    return result;
}

static void
stop_threads(Gossip *gossip)
{
    pthread_mutex_lock(&gossip->lock);
    gossip->is_stopping = TRUE;
    pthread_cond_broadcast(&gossip->changed);
    pthread_mutex_unlock(&gossip->lock);
    if (gossip->is_running) {
        pthread_join(gossip->prober, NULL);
        pthread_join(gossip->timer, NULL);
        gossip->is_running = FALSE;
    }
}

void
Gossip_Leave(Gossip *gossip, uint64_t successor)
{
    const MemberHost *host;
    RpcPeer peers[LEAVE_PINGS];
    RpcPeer responder;
    uint32_t count = 0;

    stop_threads(gossip);
    pthread_mutex_lock(&gossip->lock);
    Member_Leave(gossip->member, Clock_Now(), successor);
    while (count < LEAVE_PINGS && Member_ChoosePeer(gossip->member, &host)) {
        peers[count++] = peer_of(host);
    }
    pthread_mutex_unlock(&gossip->lock);
    for (uint32_t i = 0; i < count; i++) {
        (void)ping(gossip, &peers[i], &responder);
    }
}

void
Gossip_Destroy(Gossip *gossip)
{
    if (gossip == NULL) {
        return;
    }
    stop_threads(gossip);
    Member_Destroy(gossip->member);
    pthread_cond_destroy(&gossip->changed);
    pthread_mutex_destroy(&gossip->lock);
    g_free(gossip->seeds);
    g_free(gossip);
}

void
Gossip_Count(Gossip *gossip, MemberCounts *counts)
{
    pthread_mutex_lock(&gossip->lock);
    Member_Count(gossip->member, counts);
    pthread_mutex_unlock(&gossip->lock);
}
