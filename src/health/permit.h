/* Permit: leases that bound how many backend servers of a service are ejected.
 *
 * A service has total x (100 - floor_percent) / 100 permits. Permit i is kept
 * by the keeper at place i mod 3; the keepers are the holders of the first
 * three rate slots of the service's rendezvous order.
 *
 * Owner side, one PermitClaim for each local backend server:
 *  1. PermitClaim_Create().
 *  2. Every HEALTH_TICK_MS, PermitClaim_Next() with the verdict's
 *     permit_wanted. When it returns TRUE, send the request (permit_wire.h) to
 *     the keeper at request->place, with a timeout of PERMIT_TIMEOUT_MS.
 *  3. PermitClaim_Answer() with each reply, however late; a lost one needs no
 *     call.
 *  4. Right before the weight 0 is used or published, PermitClaim_IsHeld().
 * Keeper side, one PermitKeeper for each service and each of its three slots
 * that this host holds:
 *  1. PermitKeeper_Create() when the slot is taken, with the time at which the
 *     conditional update was known to have taken effect.
 *  2. PermitKeeper_Handle() for each request, only while the slot's hold is
 *     valid at `now` (read the clock after the request arrived).
 *  3. PermitKeeper_Destroy() when the slot is lost or released.
 *
 * Why the bound holds: a keeper gives one permit to one backend server at a
 * time and frees it PERMIT_LAPSE_MS after its last answer; the owner uses it
 * for PERMIT_USE_MS counted from before it sent the request that was answered.
 * A new keeper knows no permits: in its first PERMIT_LAPSE_MS it grants none,
 * but goes on with one whose owner renews it.
 * Messages may be lost, repeated, reordered and late; a reply counts only for
 * the request that it answers, and a release only for the claim that it names.
 *
 * A fault of the whole service is load, and no ejection helps it. Owners
 * announce a suspicion before they want a permit, and ask place 0 first, so
 * one keeper sees all of them. It answers WAIT for `settle_ms` after the first
 * message of a claim, and then refuses with SERVICE_WIDE if the backend
 * servers that were suspected in the last `service_wide_ms` are more than
 * `service_wide_percent` of the service and more than there are permits, and
 * for 30 s after that.
 *
 * Locking: none inside; one mutex for each claim and for each keeper. No call
 * does I/O, and none but the create functions allocates.
 *
 * Limits: a keeper remembers `max_servers` backend servers; further ones are
 * refused.
 */
#ifndef HEALTH_PERMIT_H
#define HEALTH_PERMIT_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "health/health.h"

#define PERMIT_PLACES 3
#define PERMIT_LAPSE_MS 10000
/* Less than the lapse, for clocks that run at different speeds. */
#define PERMIT_USE_MS 9500
#define PERMIT_RENEW_MS 3000
#define PERMIT_TIMEOUT_MS 500
/* A renewal counts only if its answer comes this soon: a request that is
 * delayed further could reach a new keeper after the former one has freed the
 * permit and given it to another owner. 9.5 s + 0.25 s stay below the lapse
 * by 2.5%. */
#define PERMIT_RENEWAL_ANSWER_MS 250
#define PERMIT_NAME_BYTES 64

typedef enum PermitAction {
    PERMIT_ANNOUNCE, /* a permit may be wanted soon */
    PERMIT_ACQUIRE,  /* grant or, with a number, renew */
    PERMIT_RELEASE
} PermitAction;

typedef enum PermitStatus {
    PERMIT_GRANTED,
    PERMIT_WAIT,         /* ask again after PermitReply.retry_ms */
    PERMIT_FLOOR,        /* every permit here is in use */
    PERMIT_SERVICE_WIDE, /* most of the service asks: not a single fault */
    PERMIT_NEW_KEEPER,   /* the keeper grants nothing yet */
    PERMIT_RELEASED
} PermitStatus;

#define PERMIT_NO_NUMBER (-1)

typedef struct PermitRequest {
    char service[PERMIT_NAME_BYTES];
    char backend_server[PERMIT_NAME_BYTES];
    uint64_t host;        /* owner's host id */
    uint64_t incarnation; /* owner's incarnation */
    uint64_t claim;       /* rises with each ejection of this owner */
    uint64_t sequence;    /* rises with each request of this claim object */
    int32_t number;       /* permit that is renewed, or PERMIT_NO_NUMBER */
    gboolean settled;     /* another keeper let it wait and was full */
    uint32_t place;       /* keeper, 0 to 2 */
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

/* Returns TRUE if a request is to be sent at `now` and fills it in. When the
 * permit is no longer wanted, the request is its release, sent once. */
gboolean PermitClaim_Next(PermitClaim *claim, HealthPermit wanted, ClockMs now,
                          PermitRequest *request);
void PermitClaim_Answer(PermitClaim *claim, const PermitReply *reply,
                        ClockMs now);
gboolean PermitClaim_IsHeld(const PermitClaim *claim, ClockMs now);
/* Status of the last answer; PERMIT_FLOOR or PERMIT_SERVICE_WIDE say why the
 * backend server is not ejected. */
PermitStatus PermitClaim_LastStatus(const PermitClaim *claim);

/* Keeper side. */

/* Settings; zero means the default. */
typedef struct PermitKeeper_desc {
    uint32_t place;                /* 0 to 2; zero is a place here */
    uint32_t max_servers;          /* backend servers remembered */
    ClockMs settle_ms;             /* -1 turns the wait off */
    ClockMs service_wide_ms;       /* time in which requests are counted */
    uint32_t service_wide_percent; /* of `total` */
} PermitKeeper_desc;

/* What the keeper knows at the time of a request. */
typedef struct PermitView {
    uint32_t total;         /* of the service, from the configuration */
    uint32_t floor_percent; /* the same */
    uint32_t ready;         /* backend servers that announce themselves as
                               ready in the member view, ejected ones too */
} PermitView;

typedef struct PermitKeeper PermitKeeper;

PermitKeeper *PermitKeeper_Create(const PermitKeeper_desc *desc, ClockMs now);
void PermitKeeper_Destroy(PermitKeeper *keeper);
void PermitKeeper_Handle(PermitKeeper *keeper, const PermitRequest *request,
                         const PermitView *view, ClockMs now,
                         PermitReply *reply);
/* Permits that are out at `now`, for display. */
uint32_t PermitKeeper_InUse(const PermitKeeper *keeper, ClockMs now);

/* Permits of the service, all places together. */
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
