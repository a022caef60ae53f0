#include "member/table.h"

#include <string.h>

uint32_t
MemberTable_Find(const Member *member, uint64_t host)
{
    uint32_t slot = member->index[host & member->index_mask];

    while (slot != MEMBER_NO_SLOT && member->slots[slot].host->id != host) {
        slot = member->slots[slot].next_hash;
    }
    return slot;
}

size_t
MemberTable_HostBytes(const MemberHost *host)
{
    return sizeof(*host) + host->server_count * sizeof(MemberServer);
}

MemberHost *
MemberTable_CopyHost(const MemberHost *host, uint32_t server_count)
{
    MemberHost *copy =
        g_malloc0(sizeof(*copy) + server_count * sizeof(MemberServer));

    memcpy(copy, host, sizeof(*copy));
    copy->server_count = (uint16_t)server_count;
    memcpy(copy->servers, host->servers,
           MIN(server_count, host->server_count) * sizeof(MemberServer));
    return copy;
}

void
MemberTable_FreeHost(Member *member, MemberHost *host)
{
    member->record_bytes -= MemberTable_HostBytes(host);
    g_free(host);
}

gboolean
MemberTable_IsLive(const MemberHost *host)
{
    return host->state == MEMBER_ALIVE || host->state == MEMBER_SUSPECT;
}

gboolean
MemberTable_IsVisible(const MemberHost *host)
{
    return MemberTable_IsLive(host) && !host->is_one_way;
}

uint32_t
MemberTable_LiveCount(const Member *member)
{
    return member->state_counts[MEMBER_ALIVE] +
           member->state_counts[MEMBER_SUSPECT];
}

static void
adjust_counts(Member *member, const MemberHost *host, int sign)
{
    member->state_counts[host->state] += (uint32_t)sign;
    member->server_count += (uint32_t)(sign * host->server_count);
    if (MemberTable_IsLive(host) && host->is_one_way) {
        member->one_way_count += (uint32_t)sign;
    }
}

static uint64_t
digest_hash(const MemberHost *host)
{
    uint64_t hash;

    if (!MemberTable_IsLive(host)) {
        return 0;
    }
    hash = Rng_Mix(host->id, host->incarnation);
    hash = Rng_Mix(hash, (uint64_t)host->refutation << 32 | host->serial);
    return Rng_Mix(hash, host->state);
}

static void
mark_dirty(Member *member, uint32_t slot)
{
    if (!member->slots[slot].is_dirty && member->view != NULL) {
        member->slots[slot].is_dirty = 1;
        member->dirty[member->dirty_count++] = slot;
    }
}

static void
set_record(Member *member, uint32_t slot, MemberHost *host)
{
    member->slots[slot].host = host;
    member->slots[slot].digest_hash = digest_hash(host);
    member->record_bytes += MemberTable_HostBytes(host);
    adjust_counts(member, host, 1);
    mark_dirty(member, slot);
}

/* Inserts the new host at a random position among the hosts not yet pinged in
 * this round. */
static void
add_to_order(Member *member, uint32_t slot)
{
    uint32_t left = member->order_count - member->order_next;
    uint32_t at =
        member->order_next + (uint32_t)Rng_Below(&member->rng, left + 1);

    member->order[member->order_count++] = member->order[at];
    member->order[at] = slot;
}

uint32_t
MemberTable_Add(Member *member, MemberHost *host)
{
    uint32_t slot = member->first_free;
    uint32_t *head = &member->index[host->id & member->index_mask];

    if (slot != MEMBER_NO_SLOT) {
        member->first_free = member->slots[slot].next_hash;
    }
    else if (member->slot_count < member->max_hosts) {
        slot = member->slot_count++;
    }
    else {
        g_free(host);
        return MEMBER_NO_SLOT;
    }
    /* A slot of a removed host may still be queued for publication. */
    member->slots[slot] = (MemberSlot){
        .next_hash = *head, .is_dirty = member->slots[slot].is_dirty};
    *head = slot;
    set_record(member, slot, host);
    if (slot != MEMBER_SELF_SLOT) {
        add_to_order(member, slot);
    }
    return slot;
}

static void
release(Member *member, uint32_t slot)
{
    MemberHost *old = member->slots[slot].host;

    adjust_counts(member, old, -1);
    if (!MemberView_IsPublished(member, slot, old)) {
        MemberTable_FreeHost(member, old);
    }
}

void
MemberTable_Replace(Member *member, uint32_t slot, MemberHost *host)
{
    release(member, slot);
    set_record(member, slot, host);
}

static void
unlink_slot(Member *member, uint32_t slot)
{
    uint64_t id = member->slots[slot].host->id;
    uint32_t *link = &member->index[id & member->index_mask];

    while (*link != slot) {
        link = &member->slots[*link].next_hash;
    }
    *link = member->slots[slot].next_hash;
}

static void
remove_from_order(Member *member, uint32_t slot)
{
    uint32_t at = 0;

    while (member->order[at] != slot) {
        at++;
    }
    member->order_count--;
    memmove(&member->order[at], &member->order[at + 1],
            (member->order_count - at) * sizeof(uint32_t));
    if (at < member->order_next) {
        member->order_next--;
    }
}

static void
add_tombstone(Member *member, const MemberHost *host)
{
    if (member->tombstone_next == member->tombstone_size) {
        member->tombstone_size = MAX(64, member->tombstone_size * 2);
        member->tombstones = g_renew(MemberTombstone, member->tombstones,
                                     member->tombstone_size);
    }
    member->tombstones[member->tombstone_next] =
        (MemberTombstone){.id = host->id,
                          .incarnation = host->incarnation,
                          .refutation = host->refutation};
    member->tombstone_next =
        (member->tombstone_next + 1) % MEMBER_MAX_TOMBSTONES;
    member->tombstone_count =
        MIN(member->tombstone_count + 1, MEMBER_MAX_TOMBSTONES);
}

void
MemberTable_Remove(Member *member, uint32_t slot)
{
    add_tombstone(member, member->slots[slot].host);
    MemberUpdate_Remove(member, slot);
    unlink_slot(member, slot);
    remove_from_order(member, slot);
    mark_dirty(member, slot);
    release(member, slot);
    member->slots[slot] =
        (MemberSlot){.next_hash = member->first_free,
                     .is_dirty = member->slots[slot].is_dirty};
    member->first_free = slot;
}

/* A linear search suffices, because it runs only for unknown hosts. */
const MemberTombstone *
MemberTable_FindTombstone(const Member *member, uint64_t host)
{
    const MemberTombstone *newest = NULL;

    for (uint32_t i = 0; i < member->tombstone_count; i++) {
        const MemberTombstone *found = &member->tombstones[i];

        if (found->id == host &&
            (newest == NULL || found->incarnation > newest->incarnation ||
             (found->incarnation == newest->incarnation &&
              found->refutation > newest->refutation))) {
            newest = found;
        }
    }
    return newest;
}
