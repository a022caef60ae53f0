#include "rate/rate_lease.h"

#include <string.h>

#include "base/rng.h"
#include "rate/rate_holder.h"

/* Delay before a failed store call is retried; doubles with each failure. */
#define BACKOFF_MIN_MS 1000
#define BACKOFF_MAX_MS 60000
/* Delay before the object is read back after a write without a response. */
#define UNCERTAIN_MS 200
/* A host stops using a lease 1% before its end. Two clocks differ by less. */
#define MARGIN_DIVISOR 100

/* What this host knows about a slot, and the next call that it needs. */
typedef struct Slot {
    RateSlotObject object; /* value last read or written */
    gboolean known;
    gboolean held;         /* this host has an open lease */
    gboolean is_first;     /* this host is the first of the slot's order */
    gboolean claimable;    /* according to the object */
    gboolean call_pending; /* a store call is in flight */
    gboolean must_read;    /* after an uncertain write or a hint */
    ClockMs end_ms;        /* end of the lease */
    ClockMs due_ms;        /* time of the next call */
    int failures;
    RateHostId first_host; /* first live host of the slot's order */
} Slot;

struct RateLease {
    RateLease_desc desc;
    Rng rng;
    gboolean releasing;
    Slot slots[RATE_SLOTS_MAX];
};

RateLease *
RateLease_Create(const RateLease_desc *desc)
{
    RateLease *lease = g_new0(RateLease, 1);
    RateLease_desc *d = &lease->desc;

    *d = *desc;
    d->fleet_slots = d->fleet_slots > 0 ? d->fleet_slots : RATE_SLOTS_MAX;
    d->regions = d->regions > 0 ? d->regions : 1;
    d->lease_ms = d->lease_ms > 0 ? d->lease_ms : INT64_C(43200000);
    d->grant_life_ms = d->grant_life_ms > 0 ? d->grant_life_ms : 1000;
    d->poll_ms = d->poll_ms > 0 ? d->poll_ms : 10000;
    d->claim_jitter_ms = d->claim_jitter_ms > 0 ? d->claim_jitter_ms : 2000;
    d->drift_ppm = d->drift_ppm > 0 ? d->drift_ppm : 2500;
    Rng_Seed(&lease->rng, Rng_Mix(d->seed, d->self.host));
    for (int i = 0; i < RATE_SLOTS_MAX; i++) {
        lease->slots[i].due_ms = CLOCK_NEVER;
    }
    return lease;
}

void
RateLease_Destroy(RateLease *lease)
{
    g_free(lease);
}

static ClockMs
jitter(RateLease *lease, int64_t ms)
{
    return (ClockMs)Rng_Below(&lease->rng, (uint64_t)MAX(ms, 1));
}

static gboolean
is_own(const RateLease *lease, const RateSlotObject *object)
{
    return object->version != 0 && object->holder == lease->desc.self.host &&
           object->incarnation == lease->desc.self.incarnation;
}

/* A former incarnation at the same address has exited, because this one could
 * bind its port. */
static gboolean
is_former_self(const RateLease *lease, const RateSlotObject *object)
{
    const RateHost *self = &lease->desc.self;

    return object->version != 0 && object->holder == self->host &&
           object->incarnation < self->incarnation &&
           strcmp(object->address, self->address) == 0;
}

static gboolean
is_retired(const RateLease *lease, const RateSlotObject *object)
{
    return lease->desc.is_retired != NULL &&
           lease->desc.is_retired(lease->desc.context, object->holder,
                                  object->incarnation);
}

/* Whether this host may claim the slot, according to one read of the store. */
static gboolean
may_claim(const RateLease *lease, const RateSlotObject *object)
{
    if (is_own(lease, object)) {
        return FALSE;
    }
    return object->version == 0 || object->holder == 0 ||
           object->age_ms > lease->desc.lease_ms ||
           is_former_self(lease, object) || is_retired(lease, object);
}

static RateHostId
find_first_host(const RateHost *hosts, int count, int region, int slot)
{
    RateHostId best = {0, 0};
    uint64_t best_key = 0;

    for (int i = 0; i < count; i++) {
        uint64_t key;

        if (region >= 0 && hosts[i].region != region) {
            continue;
        }
        key = Rng_Mix(hosts[i].host, (uint64_t)slot);
        if (best.host == 0 || key > best_key) {
            best_key = key;
            best.host = hosts[i].host;
            best.incarnation = hosts[i].incarnation;
        }
    }
    return best;
}

void
RateLease_SetView(RateLease *lease, const RateHost *hosts, int count,
                  ClockMs now)
{
    for (int i = 0; i < lease->desc.fleet_slots; i++) {
        Slot *slot = &lease->slots[i];
        RateHostId first_host =
            find_first_host(hosts, count, i % lease->desc.regions, i);
        gboolean is_first;

        if (first_host.host == 0) {
            first_host = find_first_host(hosts, count, -1, i);
        }
        slot->first_host = first_host;
        is_first = first_host.host == lease->desc.self.host;
        if (is_first && !slot->is_first) {
            slot->due_ms =
                MIN(slot->due_ms,
                    now + jitter(lease, lease->desc.claim_jitter_ms));
        }
        slot->is_first = is_first;
    }
}

/* The call that the slot needs now; a read if its object is not known. */
static RateLeaseCall
next_call(const RateLease *lease, const Slot *slot, ClockMs now)
{
    if (!slot->known) {
        return RATE_LEASE_READ;
    }
    if (lease->releasing) {
        return is_own(lease, &slot->object) ? RATE_LEASE_RELEASE
                                            : RATE_LEASE_READ;
    }
    if (slot->held && now < slot->end_ms) {
        return RATE_LEASE_RENEW;
    }
    return slot->claimable ? RATE_LEASE_CLAIM : RATE_LEASE_READ;
}

/* Whether this host may have to call the store for the slot. */
static gboolean
is_relevant(const RateLease *lease, const Slot *slot)
{
    if (lease->releasing) {
        return slot->held || slot->must_read ||
               (slot->known && is_own(lease, &slot->object));
    }
    return slot->is_first || slot->held || slot->must_read ||
           (slot->known && (is_own(lease, &slot->object) ||
                            is_former_self(lease, &slot->object)));
}

static void
fill_action(RateLease *lease, int index, ClockMs now, RateLeaseAction *action)
{
    Slot *slot = &lease->slots[index];
    const RateHost *self = &lease->desc.self;

    memset(action, 0, sizeof(*action));
    action->slot = index;
    action->call = next_call(lease, slot, now);
    action->object.version = slot->object.version;
    action->object.epoch =
        slot->object.epoch + (action->call == RATE_LEASE_CLAIM ? 1 : 0);
    action->object.write_id = Rng_Next(&lease->rng);
    if (action->call != RATE_LEASE_RELEASE) {
        action->object.holder = self->host;
        action->object.incarnation = self->incarnation;
        g_strlcpy(action->object.address, self->address, RATE_ADDRESS_BYTES);
    }
    slot->call_pending = TRUE;
}

gboolean
RateLease_Next(RateLease *lease, ClockMs now, RateLeaseAction *action,
               int *wait_ms)
{
    ClockMs next = now + lease->desc.poll_ms;
    int found = -1;

    for (int i = 0; i < lease->desc.fleet_slots; i++) {
        Slot *slot = &lease->slots[i];

        if (slot->call_pending || slot->due_ms == CLOCK_NEVER) {
            continue;
        }
        if (!is_relevant(lease, slot)) {
            slot->due_ms = CLOCK_NEVER;
            continue;
        }
        if (slot->due_ms < next) {
            next = slot->due_ms;
            found = i;
        }
    }
    *wait_ms = (int)MAX(next - now, 0);
    if (found < 0 || next > now) {
        return FALSE;
    }
    fill_action(lease, found, now, action);
    return TRUE;
}

static RateLeaseEvent
make_event(RateLeaseChange change, int index, const Slot *slot, ClockMs start)
{
    return (RateLeaseEvent){.change = change,
                            .slot = index,
                            .epoch = slot->object.epoch,
                            .start_ms = start,
                            .end_ms = slot->end_ms};
}

/* Applies an object that names this incarnation as the holder. The lease's end
 * is counted from `sent_ms`, when the object was at most `age_ms` old. */
static RateLeaseEvent
apply_own_object(RateLease *lease, int index, ClockMs sent_ms, ClockMs now)
{
    Slot *slot = &lease->slots[index];
    int64_t lease_ms = lease->desc.lease_ms;
    ClockMs end =
        sent_ms - slot->object.age_ms + lease_ms - lease_ms / MARGIN_DIVISOR;
    gboolean was_mine = slot->held && now < slot->end_ms;

    slot->due_ms = sent_ms - slot->object.age_ms + lease_ms / 3 -
                   jitter(lease, lease_ms / 20);
    if (lease->releasing) {
        slot->due_ms = now;
        return (RateLeaseEvent){.change = RATE_LEASE_NONE};
    }
    if (end <= now) {
        /* The lease has expired. A renewal starts a new lease; until then
         * another host may claim the slot. */
        slot->held = FALSE;
        slot->claimable = TRUE;
        slot->due_ms = now;
        return was_mine ? make_event(RATE_LEASE_CLOSE, index, slot, 0)
                        : (RateLeaseEvent){.change = RATE_LEASE_NONE};
    }
    slot->claimable = FALSE;
    slot->held = TRUE;
    slot->end_ms = was_mine ? MAX(slot->end_ms, end) : end;
    if (was_mine) {
        return make_event(RATE_LEASE_EXTEND, index, slot, 0);
    }
    return make_event(RATE_LEASE_OPEN, index, slot,
                      now + _RateHolder_Wait(lease->desc.grant_life_ms,
                                             lease->desc.drift_ppm));
}

/* Applies an object that does not name this incarnation as the holder. */
static RateLeaseEvent
apply_other_object(RateLease *lease, int index, ClockMs now)
{
    Slot *slot = &lease->slots[index];
    gboolean was_mine = slot->held;

    slot->held = FALSE;
    slot->claimable = may_claim(lease, &slot->object);
    slot->due_ms =
        now + lease->desc.poll_ms / 2 + jitter(lease, lease->desc.poll_ms);
    if (slot->claimable) {
        slot->due_ms = now + jitter(lease, lease->desc.claim_jitter_ms / 4);
    }
    return was_mine ? make_event(RATE_LEASE_CLOSE, index, slot, 0)
                    : (RateLeaseEvent){.change = RATE_LEASE_NONE};
}

RateLeaseEvent
RateLease_Observe(RateLease *lease, int slot, const RateSlotObject *object,
                  ClockMs sent_ms, ClockMs now)
{
    Slot *state = &lease->slots[slot];

    /* A late response with an older version must not undo a newer one. */
    if (state->known && object->version != 0 &&
        object->version < state->object.version) {
        return (RateLeaseEvent){.change = RATE_LEASE_NONE};
    }
    state->object = *object;
    state->known = TRUE;
    state->must_read = FALSE;
    if (is_own(lease, object)) {
        return apply_own_object(lease, slot, sent_ms, now);
    }
    return apply_other_object(lease, slot, now);
}

RateLeaseEvent
RateLease_Done(RateLease *lease, const RateLeaseAction *action, Result result,
               const RateSlotObject *object, ClockMs sent_ms, ClockMs now)
{
    Slot *slot = &lease->slots[action->slot];
    RateSlotObject missing = {.version = 0};
    ClockMs backoff;

    slot->call_pending = FALSE;
    if (result == RESULT_NOT_FOUND) {
        object = &missing;
    }
    if (result == RESULT_OK || result == RESULT_NOT_FOUND ||
        result == RESULT_STORE_CONFLICT) {
        slot->failures = 0;
        if (object == NULL) {
            slot->known = FALSE;
            slot->due_ms = now + jitter(lease, UNCERTAIN_MS);
            return (RateLeaseEvent){.change = RATE_LEASE_NONE};
        }
        return RateLease_Observe(lease, action->slot, object, sent_ms, now);
    }
    if (result == RESULT_STORE_UNCERTAIN) {
        slot->known = FALSE;
        slot->must_read = TRUE;
        slot->due_ms = now + UNCERTAIN_MS + jitter(lease, UNCERTAIN_MS);
        return (RateLeaseEvent){.change = RATE_LEASE_NONE};
    }
    backoff = MIN((int64_t)BACKOFF_MIN_MS << slot->failures, BACKOFF_MAX_MS);
    slot->failures = MIN(slot->failures + 1, 6);
    slot->due_ms = now + backoff / 2 + jitter(lease, backoff);
    return (RateLeaseEvent){.change = RATE_LEASE_NONE};
}

void
RateLease_Hint(RateLease *lease, int slot, ClockMs now)
{
    lease->slots[slot].known = FALSE;
    lease->slots[slot].must_read = TRUE;
    lease->slots[slot].due_ms = now;
    lease->slots[slot].failures = 0;
}

void
RateLease_ReleaseAll(RateLease *lease, ClockMs now)
{
    lease->releasing = TRUE;
    for (int i = 0; i < lease->desc.fleet_slots; i++) {
        Slot *slot = &lease->slots[i];

        slot->due_ms = is_relevant(lease, slot) ? now : CLOCK_NEVER;
    }
}

int
RateLease_Count(const RateLease *lease)
{
    int count = 0;

    for (int i = 0; i < lease->desc.fleet_slots; i++) {
        const Slot *slot = &lease->slots[i];

        count += slot->held || (slot->known && is_own(lease, &slot->object));
    }
    return count;
}

RateHostId
RateLease_First(const RateLease *lease, int slot)
{
    return lease->slots[slot].first_host;
}

RateHostId
RateLease_Known(const RateLease *lease, int slot)
{
    const Slot *state = &lease->slots[slot];
    RateHostId none = {0, 0};

    if (!state->known || state->object.version == 0) {
        return none;
    }
    return (RateHostId){state->object.holder, state->object.incarnation};
}
