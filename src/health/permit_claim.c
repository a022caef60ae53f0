#include "health/permit.h"

#include <string.h>

/* Pause after all coordinators have refused, before place 0 is asked again. */
#define ROUND_PAUSE_MS 1000
/* Announcements are sent periodically so that the coordinator counts the
 * backend server as suspected for as long as the suspicion lasts. */
#define ANNOUNCE_PERIOD_MS 2000

struct PermitClaim {
    PermitRequest identity; /* service, server, host, incarnation */
    uint64_t claim;
    uint64_t sequence;
    HealthPermit wanted;
    int32_t number; /* permit held, or PERMIT_NO_NUMBER */
    ClockMs held_until;
    uint64_t pending; /* sequence of the unanswered request, or 0 */
    ClockMs pending_sent;
    gboolean pending_renewal;
    ClockMs next_send;
    uint32_t place; /* coordinator to ask next */
    gboolean settled;
    PermitStatus status;
};

PermitClaim *
PermitClaim_Create(const PermitClaim_desc *desc)
{
    PermitClaim *claim = g_new0(PermitClaim, 1);
    PermitRequest *identity = &claim->identity;

    g_strlcpy(identity->service, desc->service, PERMIT_NAME_BYTES);
    g_strlcpy(identity->backend_server, desc->backend_server,
              PERMIT_NAME_BYTES);
    identity->host = desc->host;
    identity->incarnation = desc->incarnation;
    claim->number = PERMIT_NO_NUMBER;
    claim->status = PERMIT_RELEASED;
    return claim;
}

void
PermitClaim_Destroy(PermitClaim *claim)
{
    g_free(claim);
}

gboolean
PermitClaim_IsHeld(const PermitClaim *claim, ClockMs now)
{
    return claim->wanted == HEALTH_PERMIT_NOW &&
           claim->number != PERMIT_NO_NUMBER && now < claim->held_until;
}

PermitStatus
PermitClaim_LastStatus(const PermitClaim *claim)
{
    return claim->status;
}

static void
fill_request(PermitClaim *claim, PermitAction action, PermitRequest *request)
{
    *request = claim->identity;
    request->claim = claim->claim;
    request->sequence = ++claim->sequence;
    request->number = claim->number;
    request->settled = claim->settled;
    request->place = claim->number != PERMIT_NO_NUMBER
                         ? (uint32_t)claim->number % PERMIT_PLACES
                         : claim->place;
    request->action = action;
}

/* Selects the coordinator at the next place. After the last place, the next
 * request waits for ROUND_PAUSE_MS. */
static void
select_next_coordinator(PermitClaim *claim, ClockMs now)
{
    claim->place = (claim->place + 1) % PERMIT_PLACES;
    claim->next_send = claim->place == 0 ? now + ROUND_PAUSE_MS : now;
}

static void
release_permit(PermitClaim *claim, PermitRequest *request)
{
    claim->wanted = HEALTH_PERMIT_NONE;
    claim->pending = 0;
    fill_request(claim, PERMIT_RELEASE, request);
    claim->number = PERMIT_NO_NUMBER;
}

gboolean
PermitClaim_Next(PermitClaim *claim, HealthPermit wanted, ClockMs now,
                 PermitRequest *request)
{
    /* A held permit is released before a suspicion is announced again. */
    if (wanted != HEALTH_PERMIT_NOW && claim->number != PERMIT_NO_NUMBER) {
        wanted = HEALTH_PERMIT_NONE;
    }
    if (wanted == HEALTH_PERMIT_NONE) {
        if (claim->wanted == HEALTH_PERMIT_NONE) {
            return FALSE;
        }
        release_permit(claim, request);
        return TRUE;
    }
    if (claim->wanted == HEALTH_PERMIT_NONE) {
        claim->claim++;
        claim->place = 0;
        claim->settled = FALSE;
    }
    if (claim->wanted != wanted) {
        claim->wanted = wanted;
        claim->pending = 0;
        claim->next_send = now;
    }
    if (claim->number != PERMIT_NO_NUMBER && now >= claim->held_until) {
        claim->number = PERMIT_NO_NUMBER;
        claim->place = 0;
        claim->next_send = now;
        claim->pending = 0;
    }
    if (claim->pending != 0) {
        if (now - claim->pending_sent < PERMIT_TIMEOUT_MS) {
            return FALSE;
        }
        claim->pending = 0;
        if (claim->number == PERMIT_NO_NUMBER) {
            select_next_coordinator(claim, now);
        }
        else {
            claim->next_send = now;
        }
    }
    if (now < claim->next_send) {
        return FALSE;
    }
    fill_request(
        claim, wanted == HEALTH_PERMIT_NOW ? PERMIT_ACQUIRE : PERMIT_ANNOUNCE,
        request);
    claim->pending = request->sequence;
    claim->pending_sent = now;
    claim->pending_renewal = request->number != PERMIT_NO_NUMBER;
    return TRUE;
}

static void
accept_grant(PermitClaim *claim, int32_t number, ClockMs now)
{
    ClockMs until = claim->pending_sent + PERMIT_USE_MS;

    if (claim->pending_renewal &&
        (now - claim->pending_sent > PERMIT_RENEWAL_ANSWER_MS ||
         number != claim->number)) {
        /* The renewal does not count: its answer came too late or names
         * another permit. The permit held remains valid until held_until. */
        claim->next_send = now;
        return;
    }
    claim->number = number;
    claim->held_until = until;
    claim->next_send = claim->pending_sent + PERMIT_RENEW_MS;
}

void
PermitClaim_Answer(PermitClaim *claim, const PermitReply *reply, ClockMs now)
{
    if (claim->wanted == HEALTH_PERMIT_NONE || claim->pending == 0 ||
        reply->claim != claim->claim || reply->sequence != claim->pending) {
        return;
    }
    claim->pending = 0;
    if (claim->wanted == HEALTH_PERMIT_SOON) {
        claim->next_send = now + ANNOUNCE_PERIOD_MS;
        return;
    }
    claim->status = reply->status;
    switch (reply->status) {
    case PERMIT_GRANTED:
        accept_grant(claim, reply->number, now);
        break;
    case PERMIT_WAIT:
        claim->next_send = now + reply->retry_ms;
        break;
    case PERMIT_SERVICE_WIDE:
        claim->next_send = now + PERMIT_RENEW_MS;
        break;
    default:
        claim->settled = claim->settled || reply->status == PERMIT_FLOOR;
        if (claim->number == PERMIT_NO_NUMBER) {
            select_next_coordinator(claim, now);
        }
        else {
            claim->next_send = now + ROUND_PAUSE_MS;
        }
        break;
    }
}
