/* MemberTable: internals of the member table, shared by the files of this
 * folder. Users of the table include member/member.h instead.
 *
 * A slot holds the current record of a host. Records are never changed in
 * place, because readers may hold them; MemberTable_Replace() stores a new one
 * and marks the slot for the next publication.
 */
#ifndef MEMBER_TABLE_H
#define MEMBER_TABLE_H

#include <glib.h>

#include "member/member.h"
#include "member/member_wire.h"

#define MEMBER_NO_SLOT UINT32_MAX
#define MEMBER_SELF_SLOT 0u
/* Maximum number of times that an update is sent: 3 log2(2^20). */
#define MEMBER_MAX_SENDS 60
#define MEMBER_MAX_RECHECKS 64
/* Removed hosts whose old records are refused. At 17,000 replaced hosts a day
 * this covers more than 11 h. */
#define MEMBER_MAX_TOMBSTONES 8192
/* Upper bounds of the encoded size of a host's record without its backend
 * servers, and of one backend server. */
#define MEMBER_WIRE_HOST_BYTES 60
#define MEMBER_WIRE_SERVER_BYTES 32

typedef struct MemberSlot {
    MemberHost *host;     /* NULL = free */
    ClockMs deadline;     /* time at which a suspect host becomes dead, or a
                           * dead or left one is removed */
    uint64_t digest_hash; /* contribution to the digest, 0 if dead or left */
    uint32_t next_hash;   /* next slot in the hash chain or free list */
    uint32_t previous;    /* previous slot in the list of updates */
    uint32_t next;        /* next slot in the list of updates */
    uint8_t sends;        /* number of times the update was sent */
    uint8_t direct_failures; /* consecutive pings with an indirect ack only */
    unsigned is_queued : 1;
    unsigned has_servers : 1; /* update includes the backend servers */
    unsigned is_dirty : 1;    /* not published yet */
    unsigned is_recheck : 1;  /* due for another ping in the next period */
} MemberSlot;

/* Last version of a host that was removed from the table. */
typedef struct MemberTombstone {
    uint64_t id;
    uint64_t incarnation;
    uint32_t refutation;
} MemberTombstone;

typedef struct MemberView MemberView;

struct Member {
    Member_desc desc;
    Rng rng;
    ClockMs last_tick;
    ClockMs next_ping;
    ClockMs next_recheck;
    uint64_t superseded_by; /* highest incarnation of this host received */
    ClockMs latency_due;    /* earliest time of the next record that changes
                             * only latency classes */
    uint32_t max_hosts;
    uint32_t slot_count; /* number of slots ever used */
    uint32_t first_free; /* free list, linked by next_hash */
    uint32_t state_counts[4];
    uint32_t one_way_count;
    uint32_t server_count;
    size_t record_bytes;
    MemberSlot *slots;
    uint32_t *index; /* heads of the hash chains by id */
    uint32_t index_mask;

    uint32_t *order; /* slots in ping order, without this host's */
    uint32_t order_count;
    uint32_t order_next;
    uint32_t periods;    /* number of regular pings so far */
    gboolean is_healing; /* a dead host has answered, so dead hosts are
                          * pinged more often */
    uint32_t rechecks[MEMBER_MAX_RECHECKS];
    uint32_t recheck_count;

    uint32_t update_heads[MEMBER_MAX_SENDS + 1]; /* lists by number of sends */
    uint32_t update_count;

    MemberTombstone *tombstones; /* ring buffer */
    uint32_t tombstone_size;     /* grows up to MEMBER_MAX_TOMBSTONES */
    uint32_t tombstone_count;
    uint32_t tombstone_next;

    uint64_t *wanted; /* ids yet to be fetched in a digest exchange */
    uint32_t wanted_count;
    gboolean is_digest_truncated; /* the peer left out differing buckets */

    uint32_t *dirty; /* slots with unpublished changes */
    uint32_t dirty_count;
    MemberView *view; /* NULL with desc.no_view */
};

/* table.c */
uint32_t MemberTable_Find(const Member *member, uint64_t host);

/* Stores a record in a new slot and takes ownership of it. If the table is
 * full, frees the record and returns MEMBER_NO_SLOT. */
uint32_t MemberTable_Add(Member *member, MemberHost *host);
void MemberTable_Replace(Member *member, uint32_t slot, MemberHost *host);
void MemberTable_Remove(Member *member, uint32_t slot);
const MemberTombstone *MemberTable_FindTombstone(const Member *member,
                                                 uint64_t host);
MemberHost *MemberTable_CopyHost(const MemberHost *host,
                                 uint32_t server_count);
void MemberTable_FreeHost(Member *member, MemberHost *host);
size_t MemberTable_HostBytes(const MemberHost *host);
gboolean MemberTable_IsLive(const MemberHost *host);
/* Returns TRUE if lists and services include the host. */
gboolean MemberTable_IsVisible(const MemberHost *host);
uint32_t MemberTable_LiveCount(const Member *member);

/* member.c: sets the state and its deadline, updates the counters and calls
 * notify. It does not queue an update. */
void Member_SetState(Member *member, uint32_t slot, ClockMs now,
                     MemberState state, uint32_t refutation);
void Member_Notify(Member *member, MemberEvent event, const MemberHost *host);
ClockMs Member_SuspicionMs(const Member *member);

/* merge.c */
typedef enum MemberSource {
    MEMBER_FROM_HOST,   /* the host itself sent its record */
    MEMBER_FROM_GOSSIP, /* an update on a ping or an ack */
    MEMBER_FROM_DIGEST  /* a digest exchange; the record is not gossiped */
} MemberSource;

/* Merges one received record into the table. */
Result Member_Merge(Member *member, ClockMs now, const MemberWireHost *wire,
                    MemberSource source);
/* Returns TRUE if the sender is known and alive. Records about other hosts are
 * merged from trusted senders only; a digest exchange is an exception while
 * this host knows no live peer. */
gboolean Member_IsTrusted(const Member *member, uint64_t sender);

/* update.c */
void MemberUpdate_Queue(Member *member, uint32_t slot, gboolean has_servers);
void MemberUpdate_Remove(Member *member, uint32_t slot);
/* Allocates wire->servers, which the caller frees. */
void MemberUpdate_ToWire(const MemberHost *host, gboolean has_servers,
                         MemberWireHost *wire);
gboolean MemberUpdate_HasServers(const MemberWireHost *wire);
MemberState MemberUpdate_State(const MemberWireHost *wire);
size_t MemberUpdate_WireBytes(const MemberHost *host, gboolean has_servers);

/* view.c */
MemberView *MemberView_Create(uint32_t max_hosts, uint32_t max_services);
void MemberView_Destroy(Member *member);
/* Returns TRUE if readers may hold this record of the slot. */
gboolean MemberView_IsPublished(const Member *member, uint32_t slot,
                                const MemberHost *host);
size_t MemberView_GetBytes(const MemberView *view);

#endif
