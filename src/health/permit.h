/* Permit: leases that bound how many backend servers of a service are ejected.
 *
 * A service has total x (100 - floor_percent) / 100 permits. Permit i is
 * granted by the coordinator at place i mod 3. The coordinators are the hosts
 * that hold the first three rate slots of the service's rendezvous order.
 *
 * Owner side, one PermitClaim for each local backend server:
 *  1. PermitClaim_Create().
 *  2. Every HEALTH_TICK_MS, PermitClaim_Next() with the verdict's
 *     permit_wanted. When it returns TRUE, send the request (permit_wire.h) to
 *     the coordinator at request->place, with a timeout of PERMIT_TIMEOUT_MS.
 *  3. PermitClaim_Answer() with each reply, however late. A lost reply needs
 *     no call.
 *  4. PermitClaim_IsHeld() immediately before weight 0 is used or published.
 * Coordinator side, one PermitCoordinator for each service and each of its
 * three slots that this host holds:
 *  1. PermitCoordinator_Create() when the slot is taken, with the time at
 *     which the conditional update was known to have taken effect.
 *  2. PermitCoordinator_Handle() for each request, only while the slot's lease
 *     is valid at `now` (read the clock after the request arrived).
 *  3. PermitCoordinator_Destroy() when the slot is lost or released.
 *
 * Why the bound holds: a coordinator grants a permit to one backend server at
 * a time and frees it PERMIT_LAPSE_MS after its last granting answer. The
 * owner uses the permit for PERMIT_USE_MS, counted from before it sent the
 * request that was answered.
 * A new coordinator does not know which permits are in use. During its first
 * PERMIT_LAPSE_MS it grants no permit, but renews one at its owner's request.
 * Messages may be lost, duplicated, reordered and delayed. A reply counts only
 * for the request that it answers, and a release only for the claim that it
 * names.
 *
 * A fault of the whole service is treated as load, which no ejection relieves.
 * Owners announce a suspicion before they want a permit, and ask place 0
 * first, so that one coordinator sees all suspicions. It answers WAIT for
 * `settle_ms` after the first message of a claim. Then it refuses with
 * SERVICE_WIDE if the backend servers suspected in the last `service_wide_ms`
 * outnumber both `service_wide_percent` of the service and its permits, and
 * for 30 s after that.
 *
 * Locking: none inside; the caller holds one mutex for each claim and for each
 * coordinator. No call does I/O, and only the create functions allocate.
 *
 * Limits: a coordinator tracks `max_servers` backend servers and refuses
 * further ones.
 */
#ifndef HEALTH_PERMIT_H
#define HEALTH_PERMIT_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "health/health.h"

#define PERMIT_PLACES 3
#define PERMIT_LAPSE_MS 10000
/* Less than PERMIT_LAPSE_MS, because clocks run at different speeds. */
#define PERMIT_USE_MS 9500
#define PERMIT_RENEW_MS 3000
#define PERMIT_TIMEOUT_MS 500
/* A renewal counts only if its answer arrives within this time. A request that
 * is delayed further could reach a new coordinator after the former one has
 * freed the permit and granted it to another owner. The sum of 9.5 s and
 * 0.25 s is 2.5% below PERMIT_LAPSE_MS. */
#define PERMIT_RENEWAL_ANSWER_MS 250
#define PERMIT_NAME_BYTES 64

typedef enum PermitAction {
    PERMIT_ANNOUNCE, /* a permit may be wanted soon */
    PERMIT_ACQUIRE,  /* grant, or renew if a number is given */
    PERMIT_RELEASE
} PermitAction;

typedef enum PermitStatus {
    PERMIT_GRANTED,
    PERMIT_WAIT,            /* retry after PermitReply.retry_ms */
    PERMIT_FLOOR,           /* every permit of this coordinator is in use */
    PERMIT_SERVICE_WIDE,    /* fault of the whole service suspected */
    PERMIT_NEW_COORDINATOR, /* started recently, grants no new permit */
    PERMIT_RELEASED
} PermitStatus;

#define PERMIT_NO_NUMBER (-1)

typedef struct PermitRequest {
    char service[PERMIT_NAME_BYTES];
    char backend_server[PERMIT_NAME_BYTES];
    uint64_t host;        /* owner's host id */
    uint64_t incarnation; /* owner's incarnation */
    uint64_t claim;    /* number of the claim, increases with each new one */
    uint64_t sequence; /* increases with each request of this claim object */
    int32_t number;    /* permit to renew, or PERMIT_NO_NUMBER */
    /* The claim has waited for settle_ms at another coordinator, all of whose
     * permits were in use. */
    gboolean settled;
    uint32_t place; /* place of the coordinator, 0 to 2 */
    PermitAction action;
} PermitRequest;

typedef struct PermitReply {
    uint64_t claim;
    uint64_t sequence;
    PermitStatus status;
    int32_t number;
    uint32_t retry_ms;
} PermitReply;

/* Owner side. */

typedef struct PermitClaim_desc {
    const char *service; /* copied, shorter than PERMIT_NAME_BYTES */
    const char *backend_server;
    uint64_t host;
    uint64_t incarnation;
} PermitClaim_desc;

typedef struct PermitClaim PermitClaim;

PermitClaim *PermitClaim_Create(const PermitClaim_desc *desc);
void PermitClaim_Destroy(PermitClaim *claim);

/* Returns TRUE and fills in `request` if a request has to be sent at `now`.
 * Once the permit is no longer wanted, one release request is returned. */
gboolean PermitClaim_Next(PermitClaim *claim, HealthPermit wanted, ClockMs now,
                          PermitRequest *request);
void PermitClaim_Answer(PermitClaim *claim, const PermitReply *reply,
                        ClockMs now);
gboolean PermitClaim_IsHeld(const PermitClaim *claim, ClockMs now);
/* Status of the last answer. PERMIT_FLOOR and PERMIT_SERVICE_WIDE give the
 * reason why the backend server is not ejected. */
PermitStatus PermitClaim_LastStatus(const PermitClaim *claim);

/* Coordinator side. */

/* Settings; zero means the default. */
typedef struct PermitCoordinator_desc {
    uint32_t place;          /* 0 to 2; 0 is a valid place, not a default */
    uint32_t max_servers;    /* maximum number of tracked backend servers */
    ClockMs settle_ms;       /* wait of a new claim; -1 disables it */
    ClockMs service_wide_ms; /* window for counting suspected servers */
    uint32_t service_wide_percent; /* threshold, in percent of `total` */
} PermitCoordinator_desc;

/* State of the service as the coordinator knows it when a request arrives. */
typedef struct PermitView {
    uint32_t total;         /* configured backend servers of the service */
    uint32_t floor_percent; /* configured floor of the service */
    uint32_t ready;         /* backend servers announced as ready in the
                               member view, including ejected ones */
} PermitView;

typedef struct PermitCoordinator PermitCoordinator;

PermitCoordinator *PermitCoordinator_Create(const PermitCoordinator_desc *desc,
                                            ClockMs now);
void PermitCoordinator_Destroy(PermitCoordinator *coordinator);
void PermitCoordinator_Handle(PermitCoordinator *coordinator,
                              const PermitRequest *request,
                              const PermitView *view, ClockMs now,
                              PermitReply *reply);
/* Number of permits in use at `now`, for display. */
uint32_t PermitCoordinator_InUse(const PermitCoordinator *coordinator,
                                 ClockMs now);

/* Number of permits of the service at all places together. */
uint32_t Permit_Total(const PermitView *view);

/* "granted", "wait", "floor", "service_wide", "new_keeper", "released". */
const char *Permit_StatusName(PermitStatus status);

/* Bodies of RPC kind 12: XDR of permit_wire.x. The encoders return the number
 * of bytes, 0 if `size` is too small; the decoders return FALSE on a malformed
 * body. PERMIT_WIRE_BYTES is always enough. */
#define PERMIT_WIRE_BYTES 256

size_t Permit_EncodeRequest(const PermitRequest *request, void *bytes,
                            size_t size);
gboolean Permit_DecodeRequest(const void *bytes, size_t size,
                              PermitRequest *request);
size_t Permit_EncodeReply(const PermitReply *reply, void *bytes, size_t size);
gboolean Permit_DecodeReply(const void *bytes, size_t size,
                            PermitReply *reply);

#endif
