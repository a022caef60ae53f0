/* Member: table of the fleet's hosts and their backend servers.
 *
 * The module decides; it does no I/O and reads no clock. src/member/gossip.c
 * drives it over src/rpc. Two sides use it:
 *
 * Readers (request threads) call, between rcu_read_lock() and
 * rcu_read_unlock(), Member_FindService(), Member_FindHost(),
 * Member_ListHosts() and Member_Rank(). What they return is immutable and
 * valid until rcu_read_unlock(). The threads are registered with
 * rcu_register_thread() of <urcu.h>.
 *
 * One writer at a time (the gossip module, under its lock):
 *  1. Member_Create(), Member_SetServers() for the own backend servers.
 *  2. In every period Member_Tick(), then Member_NextPing() and, for the
 *     outcome, Member_ReadAck() or Member_PingFailed() with
 *     Member_ChooseHelpers() and Member_IndirectDone().
 *  3. Member_ReadPing() for each ping, Member_WriteDigest() and its kin for
 *     the digest exchange.
 *  4. Member_Publish() makes changes visible to readers; it rebuilds only the
 *     services and lists that changed, at most once in 50 ms.
 *  5. Member_Leave() and, at the end, Member_Destroy().
 *
 * Merge rule: the record with the higher (incarnation, refutation, state rank,
 * serial) wins. A suspected host refutes by raising `refutation`. Liveness is
 * proved only by a round trip: a ping that arrives proves nothing.
 *
 * Errors: a malformed message gives RESULT_MALFORMED and changes nothing that
 * was not read before the fault. A full table drops the record (RESULT_FULL).
 *
 * Limits: `max_hosts` hosts, MEMBER_MAX_SERVERS backend servers on a host,
 * 63 data centres and 15 regions; IPv4. Reported deaths are hints.
 */
#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"
#include "base/rng.h"

#define MEMBER_MAX_SERVERS 64
#define MEMBER_MAX_REGIONS 16
#define MEMBER_MAX_DATA_CENTRES 64
#define MEMBER_HELPERS 3
/* Stands for every region or data centre in Member_ListHosts(). */
#define MEMBER_ANY (-1)
/* Latency class of a backend server without samples. */
#define MEMBER_NO_LATENCY 0

typedef struct Member Member;

/* In the order of their rank in the merge rule. */
typedef enum MemberState {
    MEMBER_ALIVE,
    MEMBER_SUSPECT,
    MEMBER_DEAD,
    MEMBER_LEFT
} MemberState;

typedef enum MemberServerState {
    MEMBER_SERVER_READY,
    MEMBER_SERVER_DRAINING,
    MEMBER_SERVER_LEAVING,
    MEMBER_SERVER_EJECTED
} MemberServerState;

/* One backend server; 32 bytes. */
typedef struct MemberServer {
    uint64_t name;    /* Rng_HashString() of its name */
    uint64_t service; /* Rng_HashString() of its service's name */
    uint32_t pool;    /* lower half of Rng_HashString() of its pool's name */
    uint32_t ip;      /* IPv4 in host byte order */
    uint16_t port;
    uint16_t slots;
    uint8_t weight;        /* percent, 0 to 100 */
    uint8_t state;         /* MemberServerState */
    uint8_t latency_class; /* quarter octaves, MEMBER_NO_LATENCY if unknown */
    uint8_t reserved;
} MemberServer;

/* One host with its backend servers. Immutable once published. */
typedef struct MemberHost {
    uint64_t id; /* Rng_HashString() of the host's name */
    uint64_t incarnation;
    uint64_t successor; /* host that took over, for MEMBER_LEFT; else 0 */
    uint32_t refutation;
    uint32_t serial;
    uint32_t ip; /* IPv4 in host byte order */
    uint16_t entry_port;
    uint16_t owner_port;
    uint16_t rpc_port;
    uint8_t state; /* MemberState */
    uint8_t region;
    uint8_t data_centre;   /* unique in the fleet, not only in its region */
    uint8_t is_one_way;    /* known to be up, but our pings get no ack */
    uint16_t server_count; /* backend servers that follow */
    MemberServer servers[];
} MemberHost;

/* One backend server of a service, with its host. */
typedef struct MemberRef {
    const MemberHost *host;
    const MemberServer *server;
} MemberRef;

/* The backend servers of a service on all hosts that are alive or suspect and
 * not one-way, in ascending order of (host id, position). */
typedef struct MemberService {
    uint64_t id;
    uint32_t count;
    MemberRef refs[];
} MemberService;

/* Hosts that are alive or suspect and not one-way, the own host included. */
typedef struct MemberHostList {
    uint32_t count;
    const MemberHost *hosts[];
} MemberHostList;

/* Figures for operators and tests. */
typedef struct MemberCounts {
    uint32_t alive;
    uint32_t suspect;
    uint32_t dead;
    uint32_t left;
    uint32_t one_way;
    uint32_t servers;
    uint32_t queued_updates;
    size_t bytes; /* memory of the table and of the published view */
} MemberCounts;

/* What happened to a host, for logs. */
typedef enum MemberEvent {
    MEMBER_EVENT_JOINED, /* new host, or a new incarnation of one */
    MEMBER_EVENT_SUSPECTED,
    MEMBER_EVENT_REFUTED,
    MEMBER_EVENT_DIED,
    MEMBER_EVENT_LEFT,
    MEMBER_EVENT_ONE_WAY,
    MEMBER_EVENT_REACHED,   /* no longer one-way */
    MEMBER_EVENT_SUPERSEDED /* a later incarnation of the own host exists */
} MemberEvent;

/* The own host. */
typedef struct MemberSelf {
    uint64_t id;
    uint64_t incarnation;
    uint32_t ip; /* IPv4 in host byte order */
    uint16_t entry_port;
    uint16_t owner_port;
    uint16_t rpc_port;
    uint8_t region;
    uint8_t data_centre;
} MemberSelf;

typedef struct Member_desc {
    MemberSelf self;
    uint64_t seed;
    uint32_t max_hosts;      /* 0 means 10,000 */
    uint32_t max_services;   /* 0 means 8,192 */
    int period_ms;           /* 0 means 1,000 */
    int suspicion_periods;   /* 0 means 3; times log10(n) if that is above 1 */
    ClockMs forget_ms;       /* dead hosts are dropped; 0 means 2 h */
    int latency_interval_ms; /* between records that change only latency
                              * classes; 0 means 10 min */
    int max_message_bytes;   /* of updates in a message; 0 means 6,144 */
    void (*notify)(void *context, MemberEvent event, const MemberHost *host);
    void *context;                 /* of notify */
    gboolean no_view;              /* keep no view for readers */
    gboolean _accept_old_sessions; /* only for the test of the check */
} Member_desc;

/* Returns the backend servers of a service, NULL if there are none. */
const MemberService *Member_FindService(const Member *member,
                                        uint64_t service);

/* Returns a host in any state, NULL if it is unknown. */
const MemberHost *Member_FindHost(const Member *member, uint64_t host);

/* Returns the hosts of a data centre, of a region (with data_centre
 * MEMBER_ANY) or of the fleet (both MEMBER_ANY); never NULL. */
const MemberHostList *Member_ListHosts(const Member *member, int region,
                                       int data_centre);

/* Writes the first `n` hosts of the key's rendezvous order into `out` and
 * returns how many there are. Every host computes the same order. */
uint32_t Member_Rank(const MemberHostList *list, uint64_t key,
                     const MemberHost **out, uint32_t n);

/* Position of a host in the key's rendezvous order, list->count if absent. */
uint32_t Member_RankOf(const MemberHostList *list, uint64_t key,
                       uint64_t host);

/* Weight of a host in the key's rendezvous order; the highest comes first. */
uint64_t Member_RankWeight(uint64_t key, uint64_t host);

Member *Member_Create(const Member_desc *desc, ClockMs now);

/* No reader may use the table any more. */
void Member_Destroy(Member *member);

/* Replaces the own backend servers; raises the serial if anything changed. A
 * change of latency classes alone is spread by digests only, at most once in
 * latency_interval_ms. */
Result Member_SetServers(Member *member, ClockMs now,
                         const MemberServer *servers, uint32_t count);

/* Marks the own host as left and names the host that answers for it (0 if
 * none). */
void Member_Leave(Member *member, ClockMs now, uint64_t successor);

/* Own record; the pointer is valid until the next call of a writer. */
const MemberHost *Member_GetSelf(const Member *member);

/* Highest incarnation of the own host that was seen in a record, 0 if none was
 * above the own one. */
uint64_t Member_GetSupersededBy(const Member *member);

/* Replaces the own incarnation while joining. */
void Member_SetIncarnation(Member *member, ClockMs now, uint64_t incarnation);

/* Ends suspicions whose time has come and forgets hosts long dead. */
void Member_Tick(Member *member, ClockMs now);

/* A host to ping now; FALSE if there is none. *host is valid until the next
 * call of a writer. Every live host comes once in each round of a random
 * order; hosts that are dead come now and then, so that both sides of a
 * partition find each other again. */
gboolean Member_NextPing(Member *member, ClockMs now, const MemberHost **host);

/* Appends the body of a ping to the host (0 = not known yet). `payload` may be
 * NULL. */
void Member_WritePing(Member *member, ClockMs now, uint64_t host,
                      const GByteArray *payload, GByteArray *body);

/* Takes a ping and appends the ack's body. `answer` (may be NULL) is the
 * payload of the ack, `payload` (may be NULL) gets the one of the ping. */
Result Member_ReadPing(Member *member, ClockMs now, uint64_t sender,
                       const GByteArray *body, const GByteArray *answer,
                       GByteArray *payload, GByteArray *ack);

/* Takes the ack of our own ping: proof of a round trip. */
Result Member_ReadAck(Member *member, ClockMs now, uint64_t sender,
                      const GByteArray *ack, GByteArray *payload);

/* No ack came for a ping to the host's incarnation. Returns how many helpers
 * to ask for an indirect ping; with 0 the outcome is already settled (call
 * nothing further). A failed ping counts nothing against a later incarnation
 * that became known meanwhile. */
uint32_t Member_PingFailed(Member *member, ClockMs now, uint64_t host,
                           uint64_t incarnation,
                           const MemberHost *helpers[MEMBER_HELPERS]);

/* Outcome of the indirect pings. If one helper got an ack, the host is up and
 * only not reached from here (one-way); else it becomes suspect. */
void Member_IndirectDone(Member *member, ClockMs now, uint64_t host,
                         uint64_t incarnation, gboolean is_reached);

/* The three steps of a digest exchange with a peer: A sends the digest, B
 * answers with the versions in the buckets that differ, A sends records that
 * are newer here and asks for those that are newer there, B answers with them.
 * Member_ReadDigest() handles both requests at B; Member_ContinueDigest()
 * reads B's answer at A and returns TRUE if there is a next request in `next`.
 */
void Member_WriteDigest(Member *member, ClockMs now, GByteArray *body);
Result Member_ReadDigest(Member *member, ClockMs now, uint64_t sender,
                         const GByteArray *body, GByteArray *reply);
gboolean Member_ContinueDigest(Member *member, ClockMs now, uint64_t sender,
                               const GByteArray *reply, GByteArray *next);

/* A random live host other than this one; FALSE if there is none. */
gboolean Member_ChoosePeer(Member *member, const MemberHost **host);

/* Makes changes visible to readers. Returns the time at which it should be
 * called again, CLOCK_NEVER if nothing waits. */
ClockMs Member_Publish(Member *member, ClockMs now);

/* Same at once, for tests and at start-up. */
void Member_PublishNow(Member *member, ClockMs now);

/* For the writer: the current record, published or not. */
const MemberHost *Member_Peek(const Member *member, uint64_t host);
void Member_Count(const Member *member, MemberCounts *counts);

#endif
