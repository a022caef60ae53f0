/* Queue of updates, and the bodies of pings and acks.
 *
 * An update is sent 3 log2(n) times. Updates that were sent the fewest times
 * go first, so that older updates do not delay a new one.
 */
#include <math.h>
#include <string.h>

#include "member/table.h"
#include "rpc/rpc.h"

/* The body of a ping contains this host's record, updates and a payload, which
 * together must stay under RPC_MAX_BODY_BYTES. */
#define DEFAULT_MESSAGE_BYTES 6144

static uint32_t
send_limit(const Member *member)
{
    double hosts = MemberTable_LiveCount(member) + 1.0;

    return MIN((uint32_t)(3 * ceil(log2(hosts))), MEMBER_MAX_SENDS);
}

static void
link_update(Member *member, uint32_t slot)
{
    MemberSlot *entry = &member->slots[slot];
    uint32_t *head = &member->update_heads[entry->sends];

    entry->previous = MEMBER_NO_SLOT;
    entry->next = *head;
    if (*head != MEMBER_NO_SLOT) {
        member->slots[*head].previous = slot;
    }
    *head = slot;
}

static void
unlink_update(Member *member, uint32_t slot)
{
    MemberSlot *entry = &member->slots[slot];

    if (entry->previous != MEMBER_NO_SLOT) {
        member->slots[entry->previous].next = entry->next;
    }
    else {
        member->update_heads[entry->sends] = entry->next;
    }
    if (entry->next != MEMBER_NO_SLOT) {
        member->slots[entry->next].previous = entry->previous;
    }
}

void
MemberUpdate_Remove(Member *member, uint32_t slot)
{
    if (member->slots[slot].is_queued) {
        unlink_update(member, slot);
        member->slots[slot].is_queued = 0;
        member->slots[slot].has_servers = 0;
        member->update_count--;
    }
}

void
MemberUpdate_Queue(Member *member, uint32_t slot, gboolean has_servers)
{
    MemberSlot *entry = &member->slots[slot];
    gboolean had_servers = entry->has_servers;

    MemberUpdate_Remove(member, slot);
    entry->sends = 0;
    entry->is_queued = 1;
    entry->has_servers = has_servers || had_servers;
    member->update_count++;
    link_update(member, slot);
}

size_t
MemberUpdate_WireBytes(const MemberHost *host, gboolean has_servers)
{
    return MEMBER_WIRE_HOST_BYTES +
           (has_servers ? host->server_count * MEMBER_WIRE_SERVER_BYTES : 0);
}

gboolean
MemberUpdate_HasServers(const MemberWireHost *wire)
{
    return (wire->state_place & 1) != 0;
}

MemberState
MemberUpdate_State(const MemberWireHost *wire)
{
    return (MemberState)(wire->state_place >> 24 & 3);
}

void
MemberUpdate_ToWire(const MemberHost *host, gboolean has_servers,
                    MemberWireHost *wire)
{
    *wire = (MemberWireHost){
        .id = host->id,
        .incarnation = host->incarnation,
        .successor = host->successor,
        .refutation = host->refutation,
        .serial = host->serial,
        .state_place = (u_int)host->state << 24 | (u_int)host->region << 16 |
                       (u_int)host->data_centre << 8 | (has_servers ? 1 : 0),
        .ip = host->ip,
        .entry_owner = (u_int)host->entry_port << 16 | host->owner_port,
        .rpc_port = host->rpc_port};
    if (!has_servers || host->server_count == 0) {
        return;
    }
    wire->servers.servers_len = host->server_count;
    wire->servers.servers_val = g_new(MemberWireServer, host->server_count);
    for (uint32_t i = 0; i < host->server_count; i++) {
        const MemberServer *server = &host->servers[i];

        wire->servers.servers_val[i] = (MemberWireServer){
            .name = server->name,
            .service = server->service,
            .pool = server->pool,
            .ip = server->ip,
            .port_slots = (u_int)server->port << 16 | server->slots,
            .weight_state_class = (u_int)server->weight << 16 |
                                  (u_int)server->state << 8 |
                                  server->latency_class};
    }
}

/* Adds queued updates that fit into `budget` bytes to the ping and counts them
 * as sent. */
static void
add_updates(Member *member, const uint32_t *excluded, size_t budget,
            MemberWirePing *ping)
{
    uint32_t taken[MEMBER_WIRE_UPDATES];
    uint32_t count = 0;
    uint32_t limit = send_limit(member);

    for (uint32_t sends = 0; sends <= MEMBER_MAX_SENDS; sends++) {
        uint32_t slot = member->update_heads[sends];

        while (slot != MEMBER_NO_SLOT && count < MEMBER_WIRE_UPDATES - 1 &&
               budget >= MEMBER_WIRE_HOST_BYTES) {
            const MemberSlot *entry = &member->slots[slot];
            size_t bytes =
                MemberUpdate_WireBytes(entry->host, entry->has_servers);

            if (bytes <= budget && slot != excluded[0] &&
                slot != excluded[1]) {
                budget -= bytes;
                taken[count++] = slot;
            }
            slot = entry->next;
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        MemberSlot *entry = &member->slots[taken[i]];

        MemberUpdate_ToWire(
            entry->host, entry->has_servers,
            &ping->updates.updates_val[ping->updates.updates_len++]);
        unlink_update(member, taken[i]);
        entry->sends++;
        if (entry->sends >= limit) {
            entry->is_queued = 0;
            entry->has_servers = 0;
            member->update_count--;
        }
        else {
            link_update(member, taken[i]);
        }
    }
}

/* Adds the receiver's suspicion, death or departure as recorded here, so that
 * the receiver can refute it. */
static void
add_receiver_record(const Member *member, uint64_t receiver, uint32_t slot,
                    MemberWirePing *ping)
{
    const MemberTombstone *tombstone;
    MemberWireHost *wire =
        &ping->updates.updates_val[ping->updates.updates_len];

    if (slot != MEMBER_NO_SLOT) {
        if (member->slots[slot].host->state != MEMBER_ALIVE) {
            MemberUpdate_ToWire(member->slots[slot].host, FALSE, wire);
            ping->updates.updates_len++;
        }
        return;
    }
    tombstone =
        receiver == 0 ? NULL : MemberTable_FindTombstone(member, receiver);
    if (tombstone != NULL) {
        *wire = (MemberWireHost){.id = receiver,
                                 .incarnation = tombstone->incarnation,
                                 .refutation = tombstone->refutation,
                                 .state_place = (u_int)MEMBER_DEAD << 24};
        ping->updates.updates_len++;
    }
}

/* Writes the body of a ping or ack to the receiver. It includes this host's
 * backend servers if the receiver is not in the table or if a change of them
 * is queued. */
static void
write_message(Member *member, uint64_t receiver, const GByteArray *payload,
              GByteArray *body)
{
    MemberWireHost updates[MEMBER_WIRE_UPDATES];
    MemberWirePing ping = {.updates = {.updates_val = updates}};
    uint32_t slot =
        receiver == 0 ? MEMBER_NO_SLOT : MemberTable_Find(member, receiver);
    const uint32_t excluded[] = {MEMBER_SELF_SLOT, slot};
    const MemberSlot *self = &member->slots[MEMBER_SELF_SLOT];
    gboolean has_servers = slot == MEMBER_NO_SLOT || self->has_servers;
    size_t budget = (size_t)(member->desc.max_message_bytes != 0
                                 ? member->desc.max_message_bytes
                                 : DEFAULT_MESSAGE_BYTES);
    size_t own = MemberUpdate_WireBytes(self->host, has_servers);

    MemberUpdate_ToWire(self->host, has_servers, &ping.self);
    if (self->is_queued) {
        unlink_update(member, MEMBER_SELF_SLOT);
        member->slots[MEMBER_SELF_SLOT].sends++;
        if (self->sends >= send_limit(member)) {
            member->slots[MEMBER_SELF_SLOT].is_queued = 0;
            member->slots[MEMBER_SELF_SLOT].has_servers = 0;
            member->update_count--;
        }
        else {
            link_update(member, MEMBER_SELF_SLOT);
        }
    }
    add_receiver_record(member, receiver, slot, &ping);
    add_updates(member, excluded, budget > own ? budget - own : 0, &ping);
    if (payload != NULL && payload->len <= MEMBER_WIRE_PAYLOAD) {
        ping.payload.payload_len = payload->len;
        ping.payload.payload_val = (char *)payload->data;
    }
    if (!Rpc_Encode(body, (xdrproc_t)xdr_MemberWirePing, &ping)) {
        g_error("ping with %u updates exceeds the maximum message size",
                ping.updates.updates_len);
    }
    g_free(ping.self.servers.servers_val);
    for (uint32_t i = 0; i < ping.updates.updates_len; i++) {
        g_free(updates[i].servers.servers_val);
    }
}

void
Member_WritePing(Member *member, ClockMs now, uint64_t host,
                 const GByteArray *payload, GByteArray *body)
{
    (void)now;
    write_message(member, host, payload, body);
}

/* Reads the body of a ping or an ack and merges its records. */
static Result
read_message(Member *member, ClockMs now, uint64_t sender,
             const GByteArray *body, GByteArray *payload)
{
    MemberWirePing ping = {.payload = {0}};
    Result result = RESULT_OK;

    if (!Rpc_Decode(body, (xdrproc_t)xdr_MemberWirePing, &ping)) {
        return RESULT_MALFORMED;
    }
    if (ping.self.id != sender) {
        result = RESULT_MALFORMED;
    }
    if (result == RESULT_OK) {
        result = Member_Merge(member, now, &ping.self, MEMBER_FROM_HOST);
    }
    if (result == RESULT_OK || result == RESULT_FULL) {
        gboolean is_trusted = Member_IsTrusted(member, sender);

        for (uint32_t i = 0; i < ping.updates.updates_len; i++) {
            const MemberWireHost *update = &ping.updates.updates_val[i];

            /* A suspected host's reports on others may result from a fault of
             * its own. */
            if (is_trusted || update->id == member->desc.self.id) {
                (void)Member_Merge(member, now, update, MEMBER_FROM_GOSSIP);
            }
        }
        if (payload != NULL && ping.payload.payload_len > 0) {
            g_byte_array_append(payload,
                                (const guint8 *)ping.payload.payload_val,
                                ping.payload.payload_len);
        }
    }
    xdr_free((xdrproc_t)xdr_MemberWirePing, &ping);
    return result;
}

Result
Member_ReadPing(Member *member, ClockMs now, uint64_t sender,
                const GByteArray *body, const GByteArray *answer,
                GByteArray *payload, GByteArray *ack)
{
    Result result = read_message(member, now, sender, body, payload);

    if (result == RESULT_OK || result == RESULT_FULL) {
        write_message(member, sender, answer, ack);
    }
    return result;
}

/* Records that the host acked a ping of this host. */
static void
record_round_trip(Member *member, ClockMs now, uint32_t slot)
{
    MemberSlot *entry = &member->slots[slot];
    MemberHost *host;

    (void)now;
    entry->direct_failures = 0;
    if (entry->host->is_one_way) {
        host = MemberTable_CopyHost(entry->host, entry->host->server_count);
        host->is_one_way = 0;
        MemberTable_Replace(member, slot, host);
        Member_Notify(member, MEMBER_EVENT_REACHED, host);
    }
}

Result
Member_ReadAck(Member *member, ClockMs now, uint64_t sender,
               const GByteArray *ack, GByteArray *payload)
{
    uint32_t slot = MemberTable_Find(member, sender);
    gboolean was_live =
        slot != MEMBER_NO_SLOT && MemberTable_IsLive(member->slots[slot].host);
    Result result = read_message(member, now, sender, ack, payload);

    slot = MemberTable_Find(member, sender);
    if (result == RESULT_OK && slot != MEMBER_NO_SLOT) {
        record_round_trip(member, now, slot);
        member->is_healing =
            !was_live && MemberTable_IsLive(member->slots[slot].host);
    }
    return result;
}
