/* Owner: runs requests on the backend servers of this host.
 *
 * All requests to a backend server pass through the owner on its host, so the
 * owner alone knows the slots in use, sees every sample of latency and errors,
 * and can tell whether a byte of a request reached the backend server.
 *
 * Use:
 *  1. Owner_Create() with the run table, an HttpClient and callbacks.
 *  2. Owner_Announce() for each announcement of a backend server.
 *  3. Owner_Execute() for each request, from any thread; it blocks.
 *  4. Owner_Tick() every HEALTH_TICK_MS: judges health, drops backend servers
 *     that no longer announce themselves, sends permit requests.
 *  5. Owner_Drain() for a graceful stop, then Owner_Destroy().
 *
 * Run states: "no" means that no byte was sent, or that the backend server
 * shed the request (503 with Retry-After), or that the run token was voided
 * before it ran. "yes" means that a whole answer came.
 *
 * An issuance is not cancelled when its caller leaves: its connection is kept
 * up to ISSUANCE_GRACE_MS beyond the deadline, so that a repeat of the token
 * gets the outcome.
 *
 * Limits: MEMBER_MAX_SERVERS backend servers. Thread safe.
 */
#ifndef OWNER_OWNER_H
#define OWNER_OWNER_H

#include <glib.h>

#include "base/clock.h"
#include "base/result.h"
#include "health/health.h"
#include "health/permit.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "issue/run_table.h"
#include "member/member.h"

#define OWNER_NAME_BYTES 64
#define OWNER_ISSUANCE_GRACE_MS 10000

typedef struct Owner Owner;

typedef enum OwnerServerState {
    OWNER_SERVER_READY,
    OWNER_SERVER_DRAINING,
    OWNER_SERVER_LEAVING
} OwnerServerState;

/* What a backend server says of itself (section 3.6 of the design page). */
typedef struct OwnerAnnouncement {
    char name[OWNER_NAME_BYTES];
    char service[OWNER_NAME_BYTES];
    char pool[OWNER_NAME_BYTES];
    char session[OWNER_NAME_BYTES];
    struct sockaddr_in address;
    unsigned slots; /* 1 to 1,000 */
    OwnerServerState state;
} OwnerAnnouncement;

typedef struct Owner_desc {
    uint64_t host;
    uint64_t incarnation;
    const void *secret; /* fleet secret; must stay valid */
    size_t secret_bytes;
    RunTable *runs;
    HttpClient *client;
    const int64_t *queue_per_server;    /* settings that may be reloaded */
    const int64_t *announce_timeout_ms; /* */
    Health_desc health;

    /* The records for the member table changed. Called without a lock. */
    void (*publish)(void *context, const MemberServer *servers,
                    uint32_t count);
    /* Baseline latency class of a service over the fleet. */
    int (*baseline)(void *context, uint64_t service);
    /* Sends a permit request; the reply goes to Owner_PermitReply(). */
    void (*ask_permit)(void *context, const PermitRequest *request);
    void *context;
} Owner_desc;

typedef struct OwnerCall {
    const char *request_id;
    const char *team; /* name */
    uint64_t team_hash;
    uint64_t route_hash;
    uint64_t backend_server; /* Rng_HashString() of its name */
    const char *method;
    const char *target;
    const HttpHeaders *headers; /* those that go to the backend server */
    const void *body;
    size_t body_bytes;
    ClockMs deadline;
    gboolean issuance;
    const char *run_token; /* text, for issuances */
    HttpCancel *cancel;    /* may be NULL; not used for issuances */
} OwnerCall;

typedef struct OwnerReply {
    Result result; /* OK, BACKEND_SERVER_ERROR: `answer` is filled */
    RunState run;
    gboolean repeated; /* from the run table */
    HttpAnswer answer;
    unsigned slots_in_use;
    unsigned queue;
    int64_t server_us; /* time in the backend server */
} OwnerReply;

/* One backend server, for display. */
typedef struct OwnerServerStatus {
    OwnerAnnouncement announcement;
    HealthVerdict verdict;
    PermitStatus permit;
    unsigned slots_in_use;
    unsigned waiting;
    int baseline_class;
    gboolean operator_drain;
} OwnerServerStatus;

Owner *Owner_Create(const Owner_desc *desc);
void Owner_Destroy(Owner *owner);

/* FULL, or MALFORMED for a name that another service uses. */
Result Owner_Announce(Owner *owner, const OwnerAnnouncement *announcement,
                      ClockMs now);

/* Drains a backend server on the operator's word, or ends that. NOT_FOUND. */
Result Owner_SetDrain(Owner *owner, const char *name, gboolean drain);
void Owner_Execute(Owner *owner, const OwnerCall *call, OwnerReply *reply);
void Owner_Tick(Owner *owner, ClockMs now);
void Owner_PermitReply(Owner *owner, const PermitRequest *request,
                       const PermitReply *reply, ClockMs now);

/* From now on all backend servers are published as draining; requests that
 * are on the way still run. */
void Owner_Drain(Owner *owner);

unsigned Owner_Status(Owner *owner, OwnerServerStatus *status, unsigned max);

/* Hash of a pool's name as it stands in member records. */
uint32_t Owner_PoolHash(const char *pool);

#endif
