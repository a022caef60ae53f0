/* Member: table of the fleet's hosts and their backend servers.
 *
 * The module holds the membership protocol's state and rules. It does no I/O
 * and reads no clock; src/member/gossip.c drives it over src/rpc. It is used
 * by readers and by one writer.
 *
 * Readers (request threads) call Member_FindService(), Member_FindHost(),
 * Member_ListHosts() and Member_Rank() between rcu_read_lock() and
 * rcu_read_unlock(). The results are immutable and valid until
 * rcu_read_unlock(). Reader threads are registered with
 * rcu_register_thread() of <urcu.h>.
 *
 * One writer at a time (the gossip module, under its lock):
 *  1. Member_Create(), Member_SetServers() for this host's backend servers.
 *  2. In every period Member_Tick(), then Member_NextPing() and, for the
 *     outcome, Member_ReadAck() or Member_PingFailed(). The latter chooses
 *     the helpers of the indirect pings, whose outcome is reported by
 *     Member_IndirectDone().
 *  3. Member_ReadPing() for each ping received; Member_WriteDigest(),
 *     Member_ReadDigest() and Member_ContinueDigest() for digest exchanges.
 *  4. Member_Publish() makes changes visible to readers; it rebuilds only the
 *     services and lists that changed, at most once in 50 ms.
 *  5. Member_Leave() and, at the end, Member_Destroy().
 *
 * Merge rule: the record with the higher (incarnation, refutation, state rank,
 * serial) wins. A suspected host refutes by raising `refutation`. Only an ack
 * of this host's ping proves that a peer is alive: a ping received from it
 * does not, because messages in the other direction may be lost.
 *
 * Errors: a malformed message gives RESULT_MALFORMED; parts that were read
 * before the fault stay applied. A full table drops the record (RESULT_FULL).
 *
 * Limits: `max_hosts` hosts, MEMBER_MAX_SERVERS backend servers on a host,
 * 63 data centres and 15 regions; IPv4. A death reported by another host is a
 * hint: it only starts a suspicion here.
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
/* Selects all regions or data centres in Member_ListHosts(). */
#define MEMBER_ANY (-1)
/* Latency class of a backend server without samples. */
#define MEMBER_NO_LATENCY 0

typedef struct Member Member;

/* Ascending by rank in the merge rule. */
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
    uint64_t successor; /* MEMBER_LEFT: host that took over; else 0 */
    uint32_t refutation;
    uint32_t serial;
    uint32_t ip; /* IPv4 in host byte order */
    uint16_t entry_port;
    uint16_t owner_port;
    uint16_t rpc_port;
    uint8_t state; /* MemberState */
    uint8_t region;
    uint8_t data_centre;   /* unique in the fleet, not only in its region */
    uint8_t is_one_way;    /* alive, but this host's pings get no ack */
    uint16_t server_count; /* elements of `servers` */
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

/* Hosts that are alive or suspect and not one-way, this host included. */
typedef struct MemberHostList {
    uint32_t count;
    const MemberHost *hosts[];
} MemberHostList;

/* Statistics for operators and tests. */
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

/* Changes of a host's state, for logs. */
typedef enum MemberEvent {
    MEMBER_EVENT_JOINED, /* new host, or a new incarnation of one */
    MEMBER_EVENT_SUSPECTED,
    MEMBER_EVENT_REFUTED,
    MEMBER_EVENT_DIED,
    MEMBER_EVENT_LEFT,
    MEMBER_EVENT_ONE_WAY,
    MEMBER_EVENT_REACHED,   /* no longer one-way */
    MEMBER_EVENT_SUPERSEDED /* a later incarnation of this host exists */
} MemberEvent;

/* Identity and addresses of this host. */
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
    int suspicion_periods;   /* duration of a suspicion in periods, multiplied
                              * by log10(hosts) if above 1; 0 means 3 */
    ClockMs remove_after_ms; /* time until a record of a dead or left host is
                              * removed; 0 means 2 h */
    int latency_interval_ms; /* minimum time between records that change only
                              * latency classes; 0 means 10 min */
    int max_message_bytes;   /* updates in a message; 0 means 6,144 */
    void (*notify)(void *context, MemberEvent event, const MemberHost *host);
    void *context;                 /* passed to notify */
    gboolean no_view;              /* maintain no view for readers */
    gboolean _accept_old_sessions; /* skip the check for records of
                                    * earlier sessions; tests only */
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
 * returns the number written. Every host computes the same order. */
uint32_t Member_Rank(const MemberHostList *list, uint64_t key,
                     const MemberHost **out, uint32_t n);

/* Returns a host's position in the key's rendezvous order, list->count if it
 * is absent. */
uint32_t Member_RankOf(const MemberHostList *list, uint64_t key,
                       uint64_t host);

/* Returns a host's weight in the key's rendezvous order, which is descending
 * by weight. */
uint64_t Member_RankWeight(uint64_t key, uint64_t host);

Member *Member_Create(const Member_desc *desc, ClockMs now);

/* All readers must have finished. */
void Member_Destroy(Member *member);

/* Replaces this host's backend servers; raises the serial if anything changed.
 * If only latency classes changed, the record is replaced at most once in
 * latency_interval_ms and propagated by digests only. */
Result Member_SetServers(Member *member, ClockMs now,
                         const MemberServer *servers, uint32_t count);

/* Marks this host as left and records the host that takes over from it (0 if
 * none). */
void Member_Leave(Member *member, ClockMs now, uint64_t successor);

/* Returns this host's record, valid until the next call by the writer. */
const MemberHost *Member_GetSelf(const Member *member);

/* Returns the highest incarnation of this host received in a record, 0 if none
 * was above the current one. */
uint64_t Member_GetSupersededBy(const Member *member);

/* Replaces this host's incarnation while it joins. */
void Member_SetIncarnation(Member *member, ClockMs now, uint64_t incarnation);

/* Declares suspects dead whose deadline has passed, and removes hosts that
 * have been dead or left for remove_after_ms. */
void Member_Tick(Member *member, ClockMs now);

/* Chooses a host to ping now; FALSE if none is due. *host is valid until the
 * next call by the writer. Each round covers every live host once in random
 * order. Dead hosts are pinged occasionally, so that the two sides of a
 * partition find each other again. */
gboolean Member_NextPing(Member *member, ClockMs now, const MemberHost **host);

/* Appends the body of a ping to the host (0 = id not known yet). `payload` may
 * be NULL. */
void Member_WritePing(Member *member, ClockMs now, uint64_t host,
                      const GByteArray *payload, GByteArray *body);

/* Applies a received ping and appends the ack's body. `answer` (may be NULL)
 * is the payload of the ack; `payload` (may be NULL) receives the ping's. */
Result Member_ReadPing(Member *member, ClockMs now, uint64_t sender,
                       const GByteArray *body, const GByteArray *answer,
                       GByteArray *payload, GByteArray *ack);

/* Applies the ack of a ping that this host sent, which proves a round trip. */
Result Member_ReadAck(Member *member, ClockMs now, uint64_t sender,
                      const GByteArray *ack, GByteArray *payload);

/* Reports that a ping to the host's incarnation got no ack. Returns the number
 * of helpers to ask for an indirect ping; 0 means that the failure has been
 * handled and Member_IndirectDone() must not be called. The failure is not
 * held against a later incarnation that became known meanwhile. */
uint32_t Member_PingFailed(Member *member, ClockMs now, uint64_t host,
                           uint64_t incarnation,
                           const MemberHost *helpers[MEMBER_HELPERS]);

/* Reports the outcome of the indirect pings. If a helper got an ack, the host
 * is alive and only unreachable from this host, which counts towards one-way;
 * otherwise it becomes suspect. */
void Member_IndirectDone(Member *member, ClockMs now, uint64_t host,
                         uint64_t incarnation, gboolean is_reached);

/* Digest exchange between host A, which starts it, and its peer B:
 *  1. A sends its digest; B answers with the versions of the hosts in the
 *     buckets that differ.
 *  2. A sends the records that are newer at A and the ids of those that are
 *     newer at B; B answers with the latter records.
 * B calls Member_ReadDigest() for both requests. A calls
 * Member_ContinueDigest() for both answers; it returns TRUE if it wrote a
 * further request to `next`. */
void Member_WriteDigest(Member *member, ClockMs now, GByteArray *body);
Result Member_ReadDigest(Member *member, ClockMs now, uint64_t sender,
                         const GByteArray *body, GByteArray *reply);
gboolean Member_ContinueDigest(Member *member, ClockMs now, uint64_t sender,
                               const GByteArray *reply, GByteArray *next);

/* Chooses a random host other than this one that is alive and not one-way;
 * FALSE if there is none. */
gboolean Member_ChoosePeer(Member *member, const MemberHost **host);

/* Makes changes visible to readers. Returns the time of the next call that is
 * needed, CLOCK_NEVER if no change is pending. */
ClockMs Member_Publish(Member *member, ClockMs now);

/* Publishes without the minimum interval, for tests and at start-up. */
void Member_PublishNow(Member *member, ClockMs now);

/* For the writer: returns the current record, published or not; NULL if the
 * host is unknown. */
const MemberHost *Member_Peek(const Member *member, uint64_t host);
void Member_Count(const Member *member, MemberCounts *counts);

#endif
