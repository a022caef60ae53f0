/* Owner: runs requests on the backend servers of this host.
 *
 * All requests to a backend server pass through the owner on its host.
 * Therefore only the owner knows the number of slots in use, sees every
 * latency and error, and can tell whether any byte of a request was sent to
 * the backend server.
 *
 * Use:
 *  1. Owner_Create() with the run table, an HttpClient and callbacks.
 *  2. Owner_Announce() for each announcement of a backend server.
 *  3. Owner_Execute() for each request, from any thread; it blocks.
 *  4. Owner_Tick() every HEALTH_TICK_MS: updates the health state, removes
 *     backend servers whose announcements have stopped, sends permit requests.
 *  5. Owner_Drain() for a graceful stop, then Owner_Destroy().
 *
 * Run states: "no" means that no byte was sent, that the backend server shed
 * the request (503 with Retry-After), or that the run token was voided before
 * it ran. "yes" means that a complete answer with the id of the request was
 * received.
 *
 * An issuance is not cancelled when its caller disconnects: the connection to
 * the backend server is kept up to OWNER_ISSUANCE_GRACE_MS beyond the
 * deadline, so that a duplicate request with the same token gets the outcome.
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

/* Announcement by a backend server (section 3.6 of the design page). */
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
    /* Read at each use, because settings may be reloaded while running. */
    const int64_t *queue_per_server;    /* max. requests waiting for a slot */
    const int64_t *announce_timeout_ms; /* max. age of an announcement */
    Health_desc health;

    /* Called without a lock when the records for the member table changed. */
    void (*publish)(void *context, const MemberServer *servers,
                    uint32_t count);
    /* Returns the baseline latency class of a service over the whole fleet. */
    int (*baseline)(void *context, uint64_t service);
    /* Sends a permit request; the reply goes to Owner_PermitReply(). */
    void (*request_permit)(void *context, const PermitRequest *request);
    void *context;
} Owner_desc;

typedef struct OwnerCall {
    const char *request_id;
    const char *team; /* name */
    uint64_t team_hash;
    uint64_t route_hash;
    uint64_t backend_server; /* Rng_HashString() of its name */
    const char *method;
    const char *target;         /* HTTP request target: path and query */
    const HttpHeaders *headers; /* forwarded to the backend server */
    const void *body;
    size_t body_bytes;
    ClockMs deadline;
    gboolean issuance;
    const char *run_token; /* as text; only for issuances */
    HttpCancel *cancel;    /* may be NULL; ignored for issuances */
} OwnerCall;

typedef struct OwnerReply {
    Result result; /* with OK and BACKEND_SERVER_ERROR, `answer` is filled */
    RunState run;
    gboolean replayed; /* `answer` is the stored one of the run table */
    HttpAnswer answer;
    unsigned slots_in_use;
    unsigned queue;    /* requests waiting for a slot */
    int64_t server_us; /* duration of the call to the backend server */
} OwnerReply;

/* Status of one backend server, for display. */
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

/* Adds a backend server or renews its announcement. Errors: FULL above
 * MEMBER_MAX_SERVERS, MALFORMED for a name that another service uses. */
Result Owner_Announce(Owner *owner, const OwnerAnnouncement *announcement,
                      ClockMs now);

/* Starts or ends an operator's drain of a backend server. Error: NOT_FOUND. */
Result Owner_SetDrain(Owner *owner, const char *name, gboolean drain);
void Owner_Execute(Owner *owner, const OwnerCall *call, OwnerReply *reply);
void Owner_Tick(Owner *owner, ClockMs now);
void Owner_PermitReply(Owner *owner, const PermitRequest *request,
                       const PermitReply *reply, ClockMs now);

/* Publishes all backend servers as draining from now on. Requests that still
 * arrive are run. */
void Owner_Drain(Owner *owner);

unsigned Owner_Status(Owner *owner, OwnerServerStatus *status, unsigned max);

/* Hash of a pool's name, as used in member records. */
uint32_t Owner_PoolHash(const char *pool);

#endif
