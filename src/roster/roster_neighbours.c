#include <string.h>

#include "roster/roster.h"
#include "roster/roster_internal.h"

/* Time for which an unreachable host is avoided: MIN_AVOID_MS after the first
 * failure, doubled with each further one up to MAX_AVOID_MS. */
#define MIN_AVOID_MS 400
#define MAX_AVOID_MS 4000

void
Roster_NoteUnreachable(Roster *roster, uint64_t host, ClockMs now)
{
    RosterRow *row;

    pthread_mutex_lock(&roster->lock);
    row = g_hash_table_lookup(roster->rows, &host);
    if (row != NULL) {
        row->avoid_ms = row->avoid_ms == 0
                            ? MIN_AVOID_MS
                            : MIN(2 * row->avoid_ms, MAX_AVOID_MS);
        row->avoid_until = now + row->avoid_ms;
        row->contacted = now;
        row->ends = 0;
        if (row->unreachable_since == 0) {
            row->unreachable_since = now;
        }
        _Roster_NoteRegionFailure(row, now);
    }
    pthread_mutex_unlock(&roster->lock);
}

static void
fill_peer(const RosterRow *row, ClockMs now, RosterPeer *peer)
{
    *peer = (RosterPeer){.host = row->host,
                         .is_reachable = now >= row->avoid_until,
                         .unreachable_ms = row->unreachable_since > 0
                                               ? now - row->unreachable_since
                                               : 0,
                         .rpc = row->entry.peer,
                         .mirror = row->entry.peer};
    peer->rpc.sin_port = htons(row->entry.rpc_port);
    peer->mirror.sin_port = htons(row->entry.mirror_port);
}

static void
fill_suspect(const RosterRow *row, ClockMs now, RosterSuspect *lost)
{
    fill_peer(row, now, &lost->peer);
    g_strlcpy(lost->name, row->entry.host, ROSTER_NAME_BYTES);
}

/* Inserts a peer into the list, which is sorted by the rendezvous order of the
 * key and holds at most `max` peers. Returns the new length. */
static uint32_t
insert_peer(RosterPeer *peers, uint32_t count, uint32_t max, uint64_t key,
            const RosterPeer *peer)
{
    uint64_t rank = Rng_Mix(peer->host, key);
    uint32_t place = count;

    while (place > 0 && Rng_Mix(peers[place - 1].host, key) > rank) {
        place--;
    }
    if (place >= max) {
        return count;
    }
    count = MIN(count + 1, max);
    memmove(&peers[place + 1], &peers[place],
            (count - place - 1) * sizeof(RosterPeer));
    peers[place] = *peer;
    return count;
}

uint32_t
Roster_Rank(Roster *roster, uint64_t key, gboolean all, ClockMs now,
            RosterPeer *peers, uint32_t max)
{
    RosterPeer peer = {
        .host = roster->self, .is_self = TRUE, .is_reachable = TRUE};
    uint32_t count = insert_peer(peers, 0, max, key, &peer);

    pthread_mutex_lock(&roster->lock);
    for (guint i = 0; i < roster->neighbours->len; i++) {
        const RosterRow *row = g_ptr_array_index(roster->neighbours, i);

        fill_peer(row, now, &peer);
        if (row->entry.rpc_port > 0 && (all || peer.is_reachable)) {
            count = insert_peer(peers, count, max, key, &peer);
        }
    }
    pthread_mutex_unlock(&roster->lock);
    return count;
}

gboolean
Roster_FindPeer(Roster *roster, uint64_t host, ClockMs now, RosterPeer *peer)
{
    gboolean found = FALSE;

    pthread_mutex_lock(&roster->lock);
    for (guint i = 0; !found && i < roster->neighbours->len; i++) {
        const RosterRow *row = g_ptr_array_index(roster->neighbours, i);

        found = row->host == host && row->host != roster->self;
        if (found) {
            fill_peer(row, now, peer);
        }
    }
    pthread_mutex_unlock(&roster->lock);
    return found;
}

/* Whether this host is the first in the rendezvous order of a lost host, whose
 * hash is the key, among the other hosts of the data centre that it reaches.
 * Called with the lock held. */
static gboolean
ranks_first(const Roster *roster, uint64_t key, ClockMs now)
{
    uint64_t own = Rng_Mix(roster->self, key);

    for (guint i = 0; i < roster->neighbours->len; i++) {
        const RosterRow *row = g_ptr_array_index(roster->neighbours, i);

        if (row->host != key && now >= row->avoid_until &&
            Rng_Mix(row->host, key) < own) {
            return FALSE;
        }
    }
    return TRUE;
}

uint32_t
Roster_FindLost(Roster *roster, ClockMs lost_ms, ClockMs now,
                RosterSuspect *lost, uint32_t max)
{
    RosterPeer peer;
    uint32_t count = 0;
    uint32_t reached = 1;
    uint32_t missing = 0;

    pthread_mutex_lock(&roster->lock);
    for (guint i = 0; i < roster->neighbours->len; i++) {
        const RosterRow *row = g_ptr_array_index(roster->neighbours, i);

        fill_peer(row, now, &peer);
        reached += peer.unreachable_ms == 0;
        missing += peer.unreachable_ms >= lost_ms;
        if (count < max && peer.unreachable_ms >= lost_ms &&
            ranks_first(roster, row->host, now)) {
            fill_suspect(row, now, &lost[count++]);
        }
    }
    pthread_mutex_unlock(&roster->lock);
    return reached >= missing ? count : 0;
}

gboolean
Roster_FindSilent(Roster *roster, ClockMs silent_ms, ClockMs now,
                  RosterSuspect *silent)
{
    const RosterRow *longest = NULL;

    pthread_mutex_lock(&roster->lock);
    for (guint i = 0; i < roster->neighbours->len; i++) {
        const RosterRow *row = g_ptr_array_index(roster->neighbours, i);

        if (row->host != roster->self && now - row->contacted >= silent_ms &&
            (longest == NULL || row->contacted < longest->contacted)) {
            longest = row;
        }
    }
    if (longest != NULL) {
        fill_suspect(longest, now, silent);
    }
    pthread_mutex_unlock(&roster->lock);
    return longest != NULL;
}

void
Roster_NoteReached(Roster *roster, uint64_t host, ClockMs now)
{
    RosterRow *row;

    pthread_mutex_lock(&roster->lock);
    row = g_hash_table_lookup(roster->rows, &host);
    if (row != NULL) {
        _Roster_MarkReached(row, now);
    }
    pthread_mutex_unlock(&roster->lock);
}

uint32_t
Roster_CountDataCentre(Roster *roster)
{
    uint32_t count;

    pthread_mutex_lock(&roster->lock);
    count = roster->neighbours->len + 1;
    pthread_mutex_unlock(&roster->lock);
    return count;
}
