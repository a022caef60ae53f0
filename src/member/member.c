#include "member/member.h"

#include <math.h>
#include <string.h>

#include "base/counter.h"
#include "member/table.h"

#define DEFAULT_HOSTS 10000
#define DEFAULT_SERVICES 8192
#define DEFAULT_PERIOD_MS 1000
#define DEFAULT_SUSPICION_PERIODS 3
#define DEFAULT_REMOVE_AFTER_MS (2 * 60 * 60 * 1000)
#define DEFAULT_LATENCY_INTERVAL_MS (10 * 60 * 1000)
/* One regular ping in this many goes to a dead host, to find the other side of
 * a partition again; once a dead host has answered, every second one. */
#define DEAD_PING_PERIODS 8
#define HEALING_PING_PERIODS 2
/* Consecutive pings without an ack, while helpers did get one, after which a
 * host is considered one-way. A single lost ping must not remove a host from
 * the view. */
#define ONE_WAY_FAILURES 2
/* A longer gap between two ticks means that the process was paused. Suspicions
 * are then extended by the gap, because acks and refutations may be unread. */
#define PAUSE_PERIODS 3

static Member_desc
with_defaults(const Member_desc *desc)
{
    Member_desc full = *desc;

    full.max_hosts = full.max_hosts ? full.max_hosts : DEFAULT_HOSTS;
    full.max_services =
        full.max_services ? full.max_services : DEFAULT_SERVICES;
    full.period_ms = full.period_ms ? full.period_ms : DEFAULT_PERIOD_MS;
    full.suspicion_periods = full.suspicion_periods
                                 ? full.suspicion_periods
                                 : DEFAULT_SUSPICION_PERIODS;
    full.remove_after_ms =
        full.remove_after_ms ? full.remove_after_ms : DEFAULT_REMOVE_AFTER_MS;
    full.latency_interval_ms = full.latency_interval_ms
                                   ? full.latency_interval_ms
                                   : DEFAULT_LATENCY_INTERVAL_MS;
    return full;
}

static void
allocate(Member *member)
{
    uint32_t capacity = 16;

    while (capacity < member->max_hosts) {
        capacity *= 2;
    }
    member->slots = g_new0(MemberSlot, member->max_hosts);
    member->index = g_new(uint32_t, capacity);
    memset(member->index, 0xff, capacity * sizeof(uint32_t));
    member->index_mask = capacity - 1;
    member->order = g_new0(uint32_t, member->max_hosts);
    member->dirty = g_new0(uint32_t, member->max_hosts);
    member->wanted = g_new0(uint64_t, MEMBER_WIRE_VERSIONS);
}

Member *
Member_Create(const Member_desc *desc, ClockMs now)
{
    Member *member = g_new0(Member, 1);
    MemberHost *self = g_new0(MemberHost, 1);

    member->desc = with_defaults(desc);
    member->max_hosts = member->desc.max_hosts;
    Rng_Seed(&member->rng, desc->seed);
    member->first_free = MEMBER_NO_SLOT;
    member->last_tick = now;
    member->next_ping = now;
    member->next_recheck = now;
    member->latency_due = now;
    memset(member->update_heads, 0xff, sizeof(member->update_heads));
    allocate(member);
    if (!desc->no_view) {
        member->view =
            MemberView_Create(member->max_hosts, member->desc.max_services);
    }
    *self = (MemberHost){.id = desc->self.id,
                         .incarnation = desc->self.incarnation,
                         .serial = 1,
                         .ip = desc->self.ip,
                         .entry_port = desc->self.entry_port,
                         .owner_port = desc->self.owner_port,
                         .rpc_port = desc->self.rpc_port,
                         .state = MEMBER_ALIVE,
                         .region = desc->self.region,
                         .data_centre = desc->self.data_centre};
    (void)MemberTable_Add(member, self);
    MemberUpdate_Queue(member, MEMBER_SELF_SLOT, TRUE);
    Member_PublishNow(member, now);
    return member;
}

void
Member_Destroy(Member *member)
{
    if (member == NULL) {
        return;
    }
    for (uint32_t slot = 0; slot < member->slot_count; slot++) {
        MemberHost *host = member->slots[slot].host;

        if (host != NULL && !MemberView_IsPublished(member, slot, host)) {
            g_free(host);
        }
    }
    MemberView_Destroy(member);
    g_free(member->slots);
    g_free(member->index);
    g_free(member->order);
    g_free(member->dirty);
    g_free(member->tombstones);
    g_free(member->wanted);
    g_free(member);
}

void
Member_Notify(Member *member, MemberEvent event, const MemberHost *host)
{
    if (member->desc.notify != NULL) {
        member->desc.notify(member->desc.context, event, host);
    }
}

ClockMs
Member_SuspicionMs(const Member *member)
{
    double factor = log10((double)MemberTable_LiveCount(member));

    return (ClockMs)(member->desc.suspicion_periods *
                     (double)member->desc.period_ms * MAX(factor, 1.0));
}

void
Member_SetState(Member *member, uint32_t slot, ClockMs now, MemberState state,
                uint32_t refutation)
{
    MemberSlot *entry = &member->slots[slot];
    MemberState old = (MemberState)entry->host->state;
    MemberHost *host =
        MemberTable_CopyHost(entry->host, entry->host->server_count);

    host->state = (uint8_t)state;
    host->refutation = refutation;
    MemberTable_Replace(member, slot, host);
    switch (state) {
    case MEMBER_ALIVE:
        entry->deadline = CLOCK_NEVER;
        if (old != MEMBER_ALIVE) {
            Member_Notify(member, MEMBER_EVENT_REFUTED, host);
        }
        break;
    case MEMBER_SUSPECT:
        entry->deadline = now + Member_SuspicionMs(member);
        Counter_Add(COUNTER_MEMBER_SUSPECTED, 1);
        Member_Notify(member, MEMBER_EVENT_SUSPECTED, host);
        break;
    case MEMBER_DEAD:
        entry->deadline = now + member->desc.remove_after_ms;
        Counter_Add(COUNTER_MEMBER_DIED, 1);
        Member_Notify(member, MEMBER_EVENT_DIED, host);
        break;
    case MEMBER_LEFT:
        entry->deadline = now + member->desc.remove_after_ms;
        Member_Notify(member, MEMBER_EVENT_LEFT, host);
        break;
    }
}

/* Returns TRUE if the servers differ; *is_latency_only is set to whether their
 * latency classes are the only difference. */
static gboolean
compare_servers(const MemberHost *self, const MemberServer *servers,
                uint32_t count, gboolean *is_latency_only)
{
    gboolean is_changed = count != self->server_count;

    *is_latency_only = !is_changed;
    for (uint32_t i = 0; !is_changed && i < count; i++) {
        is_changed =
            memcmp(&servers[i], &self->servers[i], sizeof(servers[i])) != 0;
    }
    for (uint32_t i = 0; *is_latency_only && i < count; i++) {
        MemberServer same = servers[i];

        same.latency_class = self->servers[i].latency_class;
        *is_latency_only = memcmp(&same, &self->servers[i], sizeof(same)) == 0;
    }
    return is_changed;
}

Result
Member_SetServers(Member *member, ClockMs now, const MemberServer *servers,
                  uint32_t count)
{
    const MemberHost *self = member->slots[MEMBER_SELF_SLOT].host;
    MemberHost *host;
    gboolean is_latency_only;

    if (count > MEMBER_MAX_SERVERS) {
        return RESULT_TOO_LARGE;
    }
    if (!compare_servers(self, servers, count, &is_latency_only) ||
        (is_latency_only && now < member->latency_due)) {
        return RESULT_OK;
    }
    host = MemberTable_CopyHost(self, count);
    memcpy(host->servers, servers, count * sizeof(MemberServer));
    host->serial++;
    member->latency_due = now + member->desc.latency_interval_ms;
    MemberTable_Replace(member, MEMBER_SELF_SLOT, host);
    if (!is_latency_only) {
        MemberUpdate_Queue(member, MEMBER_SELF_SLOT, TRUE);
    }
    return RESULT_OK;
}

void
Member_Leave(Member *member, ClockMs now, uint64_t successor)
{
    const MemberHost *self = member->slots[MEMBER_SELF_SLOT].host;
    MemberHost *host = MemberTable_CopyHost(self, self->server_count);

    (void)now;
    host->state = MEMBER_LEFT;
    host->successor = successor;
    MemberTable_Replace(member, MEMBER_SELF_SLOT, host);
    MemberUpdate_Queue(member, MEMBER_SELF_SLOT, FALSE);
}

const MemberHost *
Member_GetSelf(const Member *member)
{
    return member->slots[MEMBER_SELF_SLOT].host;
}

uint64_t
Member_GetSupersededBy(const Member *member)
{
    return member->superseded_by;
}

void
Member_SetIncarnation(Member *member, ClockMs now, uint64_t incarnation)
{
    const MemberHost *self = member->slots[MEMBER_SELF_SLOT].host;
    MemberHost *host = MemberTable_CopyHost(self, self->server_count);

    (void)now;
    host->incarnation = incarnation;
    host->refutation = 0;
    member->superseded_by = 0;
    MemberTable_Replace(member, MEMBER_SELF_SLOT, host);
    MemberUpdate_Queue(member, MEMBER_SELF_SLOT, TRUE);
}

static void
shift_suspicions(Member *member, ClockMs gap)
{
    for (uint32_t slot = 0; slot < member->slot_count; slot++) {
        MemberSlot *entry = &member->slots[slot];

        if (entry->host != NULL && entry->host->state == MEMBER_SUSPECT) {
            entry->deadline += gap;
        }
    }
}

void
Member_Tick(Member *member, ClockMs now)
{
    ClockMs gap = now - member->last_tick;

    member->last_tick = now;
    if (gap > (ClockMs)PAUSE_PERIODS * member->desc.period_ms) {
        shift_suspicions(member, gap);
    }
    if (member->state_counts[MEMBER_SUSPECT] +
            member->state_counts[MEMBER_DEAD] +
            member->state_counts[MEMBER_LEFT] ==
        0) {
        return;
    }
    for (uint32_t slot = 1; slot < member->slot_count; slot++) {
        MemberSlot *entry = &member->slots[slot];

        if (entry->host == NULL || now < entry->deadline) {
            continue;
        }
        if (entry->host->state == MEMBER_SUSPECT) {
            Member_SetState(member, slot, now, MEMBER_DEAD,
                            entry->host->refutation);
            MemberUpdate_Remove(member, slot);
        }
        else if (!MemberTable_IsLive(entry->host)) {
            MemberTable_Remove(member, slot);
        }
    }
}

static void
shuffle(Member *member)
{
    for (uint32_t i = member->order_count; i > 1; i--) {
        uint32_t j = (uint32_t)Rng_Below(&member->rng, i);
        uint32_t slot = member->order[i - 1];

        member->order[i - 1] = member->order[j];
        member->order[j] = slot;
    }
    member->order_next = 0;
}

static uint32_t
next_live(Member *member)
{
    for (uint32_t tried = 0; tried <= member->order_count; tried++) {
        uint32_t slot;

        if (member->order_next >= member->order_count) {
            if (member->order_count == 0) {
                return MEMBER_NO_SLOT;
            }
            shuffle(member);
        }
        slot = member->order[member->order_next++];
        if (MemberTable_IsLive(member->slots[slot].host)) {
            return slot;
        }
    }
    return MEMBER_NO_SLOT;
}

/* Returns a random host other than this one and `except`: a dead one, or one
 * that is alive and not one-way. */
static uint32_t
random_host(Member *member, gboolean is_dead, uint32_t except)
{
    uint32_t start;

    if (member->order_count == 0) {
        return MEMBER_NO_SLOT;
    }
    start = (uint32_t)Rng_Below(&member->rng, member->order_count);
    for (uint32_t i = 0; i < member->order_count; i++) {
        uint32_t slot = member->order[(start + i) % member->order_count];
        const MemberHost *host = member->slots[slot].host;

        if (slot != except &&
            (is_dead ? host->state == MEMBER_DEAD
                     : host->state == MEMBER_ALIVE && !host->is_one_way)) {
            return slot;
        }
    }
    return MEMBER_NO_SLOT;
}

static void
add_recheck(Member *member, uint32_t slot)
{
    if (!member->slots[slot].is_recheck &&
        member->recheck_count < MEMBER_MAX_RECHECKS) {
        member->slots[slot].is_recheck = 1;
        member->rechecks[member->recheck_count++] = slot;
    }
}

/* Removes and returns the oldest live host that is due for another ping;
 * MEMBER_NO_SLOT if there is none. */
static uint32_t
pop_recheck(Member *member)
{
    while (member->recheck_count > 0) {
        uint32_t slot = member->rechecks[0];
        MemberSlot *entry = &member->slots[slot];

        member->recheck_count--;
        memmove(&member->rechecks[0], &member->rechecks[1],
                member->recheck_count * sizeof(uint32_t));
        if (entry->host != NULL && entry->is_recheck) {
            entry->is_recheck = 0;
            if (MemberTable_IsLive(entry->host)) {
                return slot;
            }
        }
    }
    return MEMBER_NO_SLOT;
}

static uint32_t
next_regular(Member *member)
{
    uint32_t every =
        member->is_healing ? HEALING_PING_PERIODS : DEAD_PING_PERIODS;
    uint32_t slot = MEMBER_NO_SLOT;

    member->periods++;
    if (member->state_counts[MEMBER_DEAD] > 0 &&
        member->periods % every == 0) {
        slot = random_host(member, TRUE, MEMBER_NO_SLOT);
    }
    if (slot == MEMBER_NO_SLOT) {
        slot = next_live(member);
    }
    if (slot == MEMBER_NO_SLOT) {
        slot = random_host(member, TRUE, MEMBER_NO_SLOT);
    }
    return slot;
}

gboolean
Member_NextPing(Member *member, ClockMs now, const MemberHost **host)
{
    uint32_t slot = MEMBER_NO_SLOT;

    if (now >= member->next_ping) {
        member->next_ping = MAX(member->next_ping + member->desc.period_ms,
                                now + member->desc.period_ms / 2);
        slot = next_regular(member);
    }
    if (slot == MEMBER_NO_SLOT && now >= member->next_recheck) {
        member->next_recheck = now + member->desc.period_ms;
        slot = pop_recheck(member);
    }
    if (slot == MEMBER_NO_SLOT) {
        return FALSE;
    }
    *host = member->slots[slot].host;
    return TRUE;
}

gboolean
Member_ChoosePeer(Member *member, const MemberHost **host)
{
    uint32_t slot = random_host(member, FALSE, MEMBER_NO_SLOT);

    if (slot == MEMBER_NO_SLOT) {
        return FALSE;
    }
    *host = member->slots[slot].host;
    return TRUE;
}

/* The recheck's ping includes the suspicion, so that the host can refute it at
 * once if it is alive. */
static void
suspect(Member *member, ClockMs now, uint32_t slot)
{
    const MemberHost *host = member->slots[slot].host;

    if (host->state == MEMBER_ALIVE) {
        Member_SetState(member, slot, now, MEMBER_SUSPECT, host->refutation);
        MemberUpdate_Queue(member, slot, FALSE);
        add_recheck(member, slot);
    }
}

/* Chooses up to MEMBER_HELPERS different hosts other than the target. */
static uint32_t
choose_helpers(Member *member, uint32_t target,
               const MemberHost *helpers[MEMBER_HELPERS])
{
    uint32_t count = 0;

    for (int tries = 0; tries < 4 * MEMBER_HELPERS && count < MEMBER_HELPERS;
         tries++) {
        uint32_t slot = random_host(member, FALSE, target);
        gboolean is_new = slot != MEMBER_NO_SLOT;

        for (uint32_t i = 0; is_new && i < count; i++) {
            is_new = helpers[i] != member->slots[slot].host;
        }
        if (is_new) {
            helpers[count++] = member->slots[slot].host;
        }
    }
    return count;
}

uint32_t
Member_PingFailed(Member *member, ClockMs now, uint64_t host,
                  uint64_t incarnation,
                  const MemberHost *helpers[MEMBER_HELPERS])
{
    uint32_t slot = MemberTable_Find(member, host);
    const MemberHost *record;
    uint32_t count;

    if (slot == MEMBER_NO_SLOT) {
        return 0;
    }
    record = member->slots[slot].host;
    if (record->state == MEMBER_DEAD) {
        member->is_healing = FALSE;
    }
    if (record->state == MEMBER_SUSPECT) {
        add_recheck(member, slot);
    }
    if (record->state != MEMBER_ALIVE || record->incarnation != incarnation) {
        return 0;
    }
    count = choose_helpers(member, slot, helpers);
    if (count == 0) {
        suspect(member, now, slot);
    }
    return count;
}

void
Member_IndirectDone(Member *member, ClockMs now, uint64_t host,
                    uint64_t incarnation, gboolean is_reached)
{
    uint32_t slot = MemberTable_Find(member, host);
    MemberSlot *entry;
    MemberHost *copy;

    if (slot == MEMBER_NO_SLOT ||
        member->slots[slot].host->incarnation != incarnation) {
        return;
    }
    if (!is_reached) {
        suspect(member, now, slot);
        return;
    }
    entry = &member->slots[slot];
    entry->direct_failures = (uint8_t)MIN(entry->direct_failures + 1, 100);
    add_recheck(member, slot);
    if (entry->direct_failures >= ONE_WAY_FAILURES &&
        !entry->host->is_one_way) {
        copy = MemberTable_CopyHost(entry->host, entry->host->server_count);
        copy->is_one_way = 1;
        MemberTable_Replace(member, slot, copy);
        Member_Notify(member, MEMBER_EVENT_ONE_WAY, copy);
    }
}

const MemberHost *
Member_Peek(const Member *member, uint64_t host)
{
    uint32_t slot = MemberTable_Find(member, host);

    return slot == MEMBER_NO_SLOT ? NULL : member->slots[slot].host;
}

void
Member_Count(const Member *member, MemberCounts *counts)
{
    *counts = (MemberCounts){
        .alive = member->state_counts[MEMBER_ALIVE],
        .suspect = member->state_counts[MEMBER_SUSPECT],
        .dead = member->state_counts[MEMBER_DEAD],
        .left = member->state_counts[MEMBER_LEFT],
        .one_way = member->one_way_count,
        .servers = member->server_count,
        .queued_updates = member->update_count,
        .bytes =
            sizeof(*member) +
            member->max_hosts * (sizeof(MemberSlot) + 2 * sizeof(uint32_t)) +
            ((size_t)member->index_mask + 1) * sizeof(uint32_t) +
            member->tombstone_size * sizeof(MemberTombstone) +
            MEMBER_WIRE_VERSIONS * sizeof(uint64_t) + member->record_bytes};
    if (member->view != NULL) {
        counts->bytes += MemberView_GetBytes(member->view);
    }
}
