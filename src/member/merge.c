/* Merge rule.
 *
 * The record with the higher incarnation wins. Within an incarnation, the
 * state with the highest (refutation, state rank) and the backend servers with
 * the highest serial win. State and backend servers are merged independently,
 * so that a change of backend servers is not lost while a host is suspected.
 *
 * A death that another host reports only starts a suspicion. Each host waits
 * for the refutation itself; otherwise, after a partition has healed, the
 * deaths declared on one side would remove live hosts on the other side.
 *
 * Records from a digest exchange are not queued as updates: they were gossiped
 * before, and a new host would otherwise gossip the whole table.
 */
#include <string.h>

#include "base/counter.h"
#include "member/table.h"

gboolean
Member_IsTrusted(const Member *member, uint64_t sender)
{
    uint32_t slot = MemberTable_Find(member, sender);

    return slot != MEMBER_NO_SLOT &&
           member->slots[slot].host->state == MEMBER_ALIVE;
}

static gboolean
is_valid(const MemberWireHost *wire)
{
    u_int region = wire->state_place >> 16 & 0xff;
    u_int data_centre = wire->state_place >> 8 & 0xff;

    if (wire->id == 0 || wire->state_place >> 24 > MEMBER_LEFT ||
        region >= MEMBER_MAX_REGIONS ||
        data_centre >= MEMBER_MAX_DATA_CENTRES || wire->rpc_port > 0xffff ||
        wire->servers.servers_len > MEMBER_MAX_SERVERS) {
        return FALSE;
    }
    for (u_int i = 0; i < wire->servers.servers_len; i++) {
        u_int packed = wire->servers.servers_val[i].weight_state_class;

        if (packed >> 16 > 100 ||
            (packed >> 8 & 0xff) > MEMBER_SERVER_EJECTED) {
            return FALSE;
        }
    }
    return TRUE;
}

static void
decode_servers(const MemberWireHost *wire, MemberHost *host)
{
    for (u_int i = 0; i < wire->servers.servers_len; i++) {
        const MemberWireServer *server = &wire->servers.servers_val[i];

        host->servers[i] = (MemberServer){
            .name = server->name,
            .service = server->service,
            .pool = server->pool,
            .ip = server->ip,
            .port = (uint16_t)(server->port_slots >> 16),
            .slots = (uint16_t)server->port_slots,
            .weight = (uint8_t)(server->weight_state_class >> 16),
            .state = (uint8_t)(server->weight_state_class >> 8),
            .latency_class = (uint8_t)server->weight_state_class};
    }
}

/* Creates a record from a message. If the message does not include the backend
 * servers, the serial stays 0, so that a digest exchange fetches them. */
static MemberHost *
from_wire(const MemberWireHost *wire)
{
    gboolean has_servers = MemberUpdate_HasServers(wire);
    u_int count = has_servers ? wire->servers.servers_len : 0;
    MemberHost *host = g_malloc0(sizeof(*host) + count * sizeof(MemberServer));

    *host = (MemberHost){.id = wire->id,
                         .incarnation = wire->incarnation,
                         .successor = wire->successor,
                         .refutation = wire->refutation,
                         .serial = has_servers ? wire->serial : 0,
                         .ip = wire->ip,
                         .entry_port = (uint16_t)(wire->entry_owner >> 16),
                         .owner_port = (uint16_t)wire->entry_owner,
                         .rpc_port = (uint16_t)wire->rpc_port,
                         .state = (uint8_t)MemberUpdate_State(wire),
                         .region = (uint8_t)(wire->state_place >> 16),
                         .data_centre = (uint8_t)(wire->state_place >> 8),
                         .server_count = (uint16_t)count};
    if (has_servers) {
        decode_servers(wire, host);
    }
    return host;
}

/* Merges a record about this host: refutes it, or detects a later incarnation.
 */
static Result
merge_self(Member *member, ClockMs now, const MemberWireHost *wire)
{
    const MemberHost *self = member->slots[MEMBER_SELF_SLOT].host;
    MemberState state = MemberUpdate_State(wire);

    if (wire->incarnation > self->incarnation) {
        member->superseded_by = MAX(member->superseded_by, wire->incarnation);
        Member_Notify(member, MEMBER_EVENT_SUPERSEDED, self);
        return RESULT_RPC_OLD_SESSION;
    }
    if (wire->incarnation < self->incarnation ||
        wire->refutation < self->refutation) {
        return RESULT_OK;
    }
    if (self->state == MEMBER_ALIVE &&
        (state != MEMBER_ALIVE || wire->refutation > self->refutation)) {
        Counter_Add(COUNTER_MEMBER_REFUTED, 1);
        Member_SetState(member, MEMBER_SELF_SLOT, now, MEMBER_ALIVE,
                        wire->refutation + 1);
        MemberUpdate_Queue(member, MEMBER_SELF_SLOT, FALSE);
        Member_Notify(member, MEMBER_EVENT_REFUTED,
                      member->slots[MEMBER_SELF_SLOT].host);
    }
    return RESULT_OK;
}

/* Returns TRUE if the record is not newer than the last state of a host that
 * was removed from the table. */
static gboolean
is_older_than_tombstone(const Member *member, const MemberWireHost *wire)
{
    const MemberTombstone *tombstone;

    if (member->desc._accept_old_sessions) {
        return FALSE;
    }
    tombstone = MemberTable_FindTombstone(member, wire->id);
    return tombstone != NULL &&
           (wire->incarnation < tombstone->incarnation ||
            (wire->incarnation == tombstone->incarnation &&
             wire->refutation <= tombstone->refutation));
}

static Result
merge_unknown(Member *member, ClockMs now, const MemberWireHost *wire,
              MemberSource source)
{
    MemberState state = MemberUpdate_State(wire);
    MemberHost *host;
    uint32_t slot;

    /* Dead and left hosts are not added again, because each host removes them
     * at a different time. */
    if (state == MEMBER_DEAD || state == MEMBER_LEFT) {
        return RESULT_OK;
    }
    if (is_older_than_tombstone(member, wire)) {
        return RESULT_RPC_OLD_SESSION;
    }
    host = from_wire(wire);
    slot = MemberTable_Add(member, host);
    if (slot == MEMBER_NO_SLOT) {
        return RESULT_FULL;
    }
    Member_Notify(member, MEMBER_EVENT_JOINED, host);
    if (state == MEMBER_SUSPECT) {
        member->slots[slot].deadline = now + Member_SuspicionMs(member);
    }
    if (source != MEMBER_FROM_DIGEST) {
        MemberUpdate_Queue(member, slot, MemberUpdate_HasServers(wire));
    }
    return RESULT_OK;
}

/* Replaces the whole record by one of a later incarnation. */
static void
merge_incarnation(Member *member, ClockMs now, uint32_t slot,
                  const MemberWireHost *wire, MemberSource source)
{
    MemberState state = MemberUpdate_State(wire);
    MemberSlot *entry = &member->slots[slot];
    MemberHost *host;

    if (state == MEMBER_DEAD) {
        state = MEMBER_SUSPECT;
    }
    host = from_wire(wire);
    host->state = (uint8_t)state;
    MemberTable_Replace(member, slot, host);
    entry->direct_failures = 0;
    entry->deadline =
        state == MEMBER_SUSPECT ? now + Member_SuspicionMs(member)
        : state == MEMBER_LEFT  ? now + member->desc.remove_after_ms
                                : CLOCK_NEVER;
    if (source != MEMBER_FROM_DIGEST) {
        MemberUpdate_Queue(member, slot, MemberUpdate_HasServers(wire));
    }
    if (MemberTable_IsLive(host)) {
        Member_Notify(member, MEMBER_EVENT_JOINED, host);
    }
    if (state == MEMBER_LEFT) {
        Member_Notify(member, MEMBER_EVENT_LEFT, host);
    }
}

static void
merge_state(Member *member, ClockMs now, uint32_t slot,
            const MemberWireHost *wire, MemberSource source)
{
    const MemberHost *old = member->slots[slot].host;
    MemberState reported = MemberUpdate_State(wire);
    MemberState state = reported == MEMBER_DEAD ? MEMBER_SUSPECT : reported;
    MemberHost *host;

    if (wire->refutation < old->refutation ||
        (wire->refutation == old->refutation && state <= old->state)) {
        return;
    }
    Member_SetState(member, slot, now, state, wire->refutation);
    if (state == MEMBER_LEFT && wire->successor != 0) {
        old = member->slots[slot].host;
        host = MemberTable_CopyHost(old, old->server_count);
        host->successor = wire->successor;
        MemberTable_Replace(member, slot, host);
    }
    /* A suspicion that this host derives from a reported death is gossiped,
     * so that the suspected host receives it in time to refute it. */
    if (source != MEMBER_FROM_DIGEST || reported != state) {
        MemberUpdate_Queue(member, slot, FALSE);
    }
}

static void
merge_servers(Member *member, uint32_t slot, const MemberWireHost *wire,
              MemberSource source)
{
    const MemberHost *old = member->slots[slot].host;
    MemberHost *host;

    if (!MemberUpdate_HasServers(wire) || wire->serial <= old->serial) {
        return;
    }
    host = MemberTable_CopyHost(old, wire->servers.servers_len);
    memset(host->servers, 0, wire->servers.servers_len * sizeof(MemberServer));
    host->serial = wire->serial;
    decode_servers(wire, host);
    MemberTable_Replace(member, slot, host);
    if (source != MEMBER_FROM_DIGEST) {
        MemberUpdate_Queue(member, slot, TRUE);
    }
}

Result
Member_Merge(Member *member, ClockMs now, const MemberWireHost *wire,
             MemberSource source)
{
    uint32_t slot;
    uint64_t known;

    if (!is_valid(wire)) {
        return RESULT_MALFORMED;
    }
    if (wire->id == member->desc.self.id) {
        return merge_self(member, now, wire);
    }
    slot = MemberTable_Find(member, wire->id);
    if (slot == MEMBER_NO_SLOT) {
        Result result = merge_unknown(member, now, wire, source);

        /* A live host that was removed here gets an ack, which includes the
         * death recorded here, so that the host refutes it. */
        return source == MEMBER_FROM_HOST &&
                       result == RESULT_RPC_OLD_SESSION &&
                       MemberTable_FindTombstone(member, wire->id)
                               ->incarnation == wire->incarnation
                   ? RESULT_OK
                   : result;
    }
    known = member->slots[slot].host->incarnation;
    if (wire->incarnation < known && !member->desc._accept_old_sessions) {
        return RESULT_RPC_OLD_SESSION;
    }
    if (wire->incarnation > known) {
        merge_incarnation(member, now, slot, wire, source);
        return RESULT_OK;
    }
    merge_state(member, now, slot, wire, source);
    merge_servers(member, slot, wire, source);
    return RESULT_OK;
}
