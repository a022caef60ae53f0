/* MemberTable: the member table's inner parts, shared by the files of the
 * slice. Users of the table include member/member.h instead.
 *
 * A slot holds the current record of a host. Records are never changed in
 * place, because readers may hold them; MemberTable_Replace() puts a new one
 * in and marks the slot for the next publication.
 */
#ifndef MEMBER_TABLE_H
#define MEMBER_TABLE_H

#include <glib.h>

#include "member/member.h"
#include "member/member_wire.h"

#define MEMBER_NO_SLOT UINT32_MAX
#define MEMBER_SELF_SLOT 0u
/* Largest number of times that an update is sent: 3 log2(2^20). */
#define MEMBER_MAX_SENDS 60
#define MEMBER_MAX_RECHECKS 64
/* Forgotten hosts whose old records are refused: more than 11 h at 17,000
 * replaced hosts a day. */
#define MEMBER_MAX_TOMBSTONES 8192
/* Room for the fields of a message besides updates and payload. */
#define MEMBER_WIRE_HOST_BYTES 60
#define MEMBER_WIRE_SERVER_BYTES 32

typedef struct MemberSlot {
    MemberHost *host;     /* NULL = free */
    ClockMs deadline;     /* suspect: dead at; dead or left: forgotten at */
    uint64_t digest_hash; /* part in the digest, 0 if dead or left */
    uint32_t next_hash;   /* chain of the index by id */
    uint32_t previous;    /* in its list of updates */
    uint32_t next;
    uint8_t sends;        /* how often the update was sent */
    uint8_t direct_fails; /* pings in a row without ack, with indirect acks */
    unsigned is_queued : 1;
    unsigned has_servers : 1; /* the update carries the backend servers */
    unsigned is_dirty : 1;    /* to publish */
    unsigned is_recheck : 1;  /* to ping again in the next period */
} MemberSlot;

/* Last state of a host that was forgotten. */
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
    uint64_t superseded_by; /* highest incarnation of this host seen */
    ClockMs lazy_due;       /* when a change of latency classes may be told */
    uint32_t max_hosts;
    uint32_t slot_count; /* slots from here on were never used */
    uint32_t first_free; /* chain by next_hash */
    uint32_t state_counts[4];
    uint32_t one_way_count;
    uint32_t server_count;
    size_t record_bytes;
    MemberSlot *slots;
    uint32_t *index; /* heads of the chains */
    uint32_t index_mask;

    uint32_t *order; /* slots in the order of pings, without the own one */
    uint32_t order_count;
    uint32_t order_next;
    uint32_t periods;    /* pings so far */
    gboolean is_healing; /* a dead host answered lately */
    uint32_t rechecks[MEMBER_MAX_RECHECKS];
    uint32_t recheck_count;

    uint32_t update_heads[MEMBER_MAX_SENDS + 1]; /* by number of sends */
    uint32_t update_count;

    MemberTombstone *tombstones; /* ring */
    uint32_t tombstone_size;     /* grows up to MEMBER_MAX_TOMBSTONES */
    uint32_t tombstone_count;
    uint32_t tombstone_next;

    uint64_t *wanted; /* ids still to fetch in a digest exchange */
    uint32_t wanted_count;
    gboolean is_digest_cut;

    uint32_t *dirty; /* slots to publish */
    uint32_t dirty_count;
    MemberView *view; /* NULL with desc.no_view */
};

/* table.c */
uint32_t MemberTable_Find(const Member *member, uint64_t host);

/* Puts a record into a new slot; takes the record over. MEMBER_NO_SLOT (and
 * the record is freed) if the table is full. */
uint32_t MemberTable_Add(Member *member, MemberHost *host);
void MemberTable_Replace(Member *member, uint32_t slot, MemberHost *host);
void MemberTable_Forget(Member *member, uint32_t slot);
const MemberTombstone *MemberTable_FindTombstone(const Member *member,
                                                 uint64_t host);
MemberHost *MemberTable_CopyHost(const MemberHost *host,
                                 uint32_t server_count);
void MemberTable_FreeHost(Member *member, MemberHost *host);
size_t MemberTable_HostBytes(const MemberHost *host);
gboolean MemberTable_IsLive(const MemberHost *host);
/* Whether readers see the host in lists and services. */
gboolean MemberTable_IsVisible(const MemberHost *host);
uint32_t MemberTable_LiveCount(const Member *member);

/* member.c: sets the state and its deadline, counts and notifies. It does not
 * queue an update. */
void Member_SetState(Member *member, uint32_t slot, ClockMs now,
                     MemberState state, uint32_t refutation);
void Member_Notify(Member *member, MemberEvent event, const MemberHost *host);
ClockMs Member_SuspicionMs(const Member *member);

/* merge.c */
typedef enum MemberSource {
    MEMBER_FROM_HOST,   /* the host itself sent its record */
    MEMBER_FROM_GOSSIP, /* an update on a ping or an ack */
    MEMBER_FROM_DIGEST  /* a repair; it is not gossiped further */
} MemberSource;

/* Takes in one record. */
Result Member_Merge(Member *member, ClockMs now, const MemberWireHost *wire,
                    MemberSource source);
gboolean Member_IsTrusted(const Member *member, uint64_t sender);

/* update.c */
void MemberUpdate_Queue(Member *member, uint32_t slot, gboolean has_servers);
void MemberUpdate_Remove(Member *member, uint32_t slot);
/* Fills wire->servers with memory that the caller frees. */
void MemberUpdate_ToWire(const MemberHost *host, gboolean has_servers,
                         MemberWireHost *wire);
gboolean MemberUpdate_HasServers(const MemberWireHost *wire);
MemberState MemberUpdate_State(const MemberWireHost *wire);
size_t MemberUpdate_WireBytes(const MemberHost *host, gboolean has_servers);

/* view.c */
MemberView *MemberView_Create(uint32_t max_hosts, uint32_t max_services);
void MemberView_Destroy(Member *member);
/* Whether readers may hold this record of the slot. */
gboolean MemberView_IsPublished(const Member *member, uint32_t slot,
                                const MemberHost *host);
size_t MemberView_GetBytes(const MemberView *view);

#endif
