#include "rate/rate_hold.h"

#include <string.h>

#include "base/rng.h"
#include "rate/rate_holder.h"

/* Wait before a call is repeated after the store failed, doubling. */
#define BACKOFF_MIN_MS 1000
#define BACKOFF_MAX_MS 60000
/* Wait before a write whose answer was lost is read back. */
#define UNCERTAIN_MS 200
/* A hold stops 1% before its end: more than two clocks differ. */
#define MARGIN_DIVISOR 100

/* What is planned for a slot next. */
typedef struct Slot {
    RateSlotObject object; /* as last read or written */
    gboolean known;
    gboolean mine;      /* the hold is open */
    gboolean first;     /* this host is in first place */
    gboolean claimable; /* by what was read */
    gboolean asked;     /* a call is with the store */
    gboolean must_read; /* a write may have taken effect, or a hint came */
    ClockMs end_ms;
    ClockMs due_ms; /* of the next call */
    int failures;
    RateHoldPlace place; /* first live host */
} Slot;

struct RateHold {
    RateHold_desc desc;
    Rng rng;
    gboolean releasing;
    Slot slots[RATE_SLOTS_MAX];
};

RateHold *
RateHold_Create(const RateHold_desc *desc)
{
    RateHold *hold = g_new0(RateHold, 1);
    RateHold_desc *d = &hold->desc;

    *d = *desc;
    d->fleet_slots = d->fleet_slots > 0 ? d->fleet_slots : RATE_SLOTS_MAX;
    d->regions = d->regions > 0 ? d->regions : 1;
    d->hold_ms = d->hold_ms > 0 ? d->hold_ms : INT64_C(43200000);
    d->grant_life_ms = d->grant_life_ms > 0 ? d->grant_life_ms : 1000;
    d->poll_ms = d->poll_ms > 0 ? d->poll_ms : 10000;
    d->spread_ms = d->spread_ms > 0 ? d->spread_ms : 2000;
    d->drift_ppm = d->drift_ppm > 0 ? d->drift_ppm : 2500;
    Rng_Seed(&hold->rng, Rng_Mix(d->seed, d->self.host));
    for (int i = 0; i < RATE_SLOTS_MAX; i++) {
        hold->slots[i].due_ms = CLOCK_NEVER;
    }
    return hold;
}

void
RateHold_Destroy(RateHold *hold)
{
    g_free(hold);
}

static ClockMs
spread(RateHold *hold, int64_t ms)
{
    return (ClockMs)Rng_Below(&hold->rng, (uint64_t)MAX(ms, 1));
}

static gboolean
is_own(const RateHold *hold, const RateSlotObject *object)
{
    return object->version != 0 && object->holder == hold->desc.self.host &&
           object->incarnation == hold->desc.self.incarnation;
}

/* A former incarnation of this host has ended when this one bound its port. */
static gboolean
is_former_self(const RateHold *hold, const RateSlotObject *object)
{
    const RateHost *self = &hold->desc.self;

    return object->version != 0 && object->holder == self->host &&
           object->incarnation < self->incarnation &&
           strcmp(object->address, self->address) == 0;
}

static gboolean
is_retired(const RateHold *hold, const RateSlotObject *object)
{
    return hold->desc.is_retired != NULL &&
           hold->desc.is_retired(hold->desc.context, object->holder,
                                 object->incarnation);
}

/* Whether another host may take the slot, by one reading of the store. */
static gboolean
may_take(const RateHold *hold, const RateSlotObject *object)
{
    if (is_own(hold, object)) {
        return FALSE;
    }
    return object->version == 0 || object->holder == 0 ||
           object->age_ms > hold->desc.hold_ms ||
           is_former_self(hold, object) || is_retired(hold, object);
}

static RateHoldPlace
first_place(const RateHost *hosts, int count, int region, int slot)
{
    RateHoldPlace best = {0, 0};
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
RateHold_SetView(RateHold *hold, const RateHost *hosts, int count, ClockMs now)
{
    for (int i = 0; i < hold->desc.fleet_slots; i++) {
        Slot *slot = &hold->slots[i];
        RateHoldPlace place =
            first_place(hosts, count, i % hold->desc.regions, i);
        gboolean first;

        if (place.host == 0) {
            place = first_place(hosts, count, -1, i);
        }
        slot->place = place;
        first = place.host == hold->desc.self.host;
        if (first && !slot->first) {
            slot->due_ms =
                MIN(slot->due_ms, now + spread(hold, hold->desc.spread_ms));
        }
        slot->first = first;
    }
}

/* The write that the slot needs now; a read if its object is not known. */
static RateHoldCall
next_call(const RateHold *hold, const Slot *slot, ClockMs now)
{
    if (!slot->known) {
        return RATE_HOLD_READ;
    }
    if (hold->releasing) {
        return is_own(hold, &slot->object) ? RATE_HOLD_RELEASE
                                           : RATE_HOLD_READ;
    }
    if (slot->mine && now < slot->end_ms) {
        return RATE_HOLD_RENEW;
    }
    return slot->claimable ? RATE_HOLD_CLAIM : RATE_HOLD_READ;
}

/* Whether this host still has a reason to look at the slot. */
static gboolean
concerns(const RateHold *hold, const Slot *slot)
{
    if (hold->releasing) {
        return slot->mine || slot->must_read ||
               (slot->known && is_own(hold, &slot->object));
    }
    return slot->first || slot->mine || slot->must_read ||
           (slot->known && (is_own(hold, &slot->object) ||
                            is_former_self(hold, &slot->object)));
}

static void
fill_action(RateHold *hold, int index, ClockMs now, RateHoldAction *action)
{
    Slot *slot = &hold->slots[index];
    const RateHost *self = &hold->desc.self;

    memset(action, 0, sizeof(*action));
    action->slot = index;
    action->call = next_call(hold, slot, now);
    action->object.version = slot->object.version;
    action->object.epoch =
        slot->object.epoch + (action->call == RATE_HOLD_CLAIM ? 1 : 0);
    action->object.write_id = Rng_Next(&hold->rng);
    if (action->call != RATE_HOLD_RELEASE) {
        action->object.holder = self->host;
        action->object.incarnation = self->incarnation;
        g_strlcpy(action->object.address, self->address, RATE_ADDRESS_BYTES);
    }
    slot->asked = TRUE;
}

gboolean
RateHold_Next(RateHold *hold, ClockMs now, RateHoldAction *action,
              int *wait_ms)
{
    ClockMs next = now + hold->desc.poll_ms;
    int found = -1;

    for (int i = 0; i < hold->desc.fleet_slots; i++) {
        Slot *slot = &hold->slots[i];

        if (slot->asked || slot->due_ms == CLOCK_NEVER) {
            continue;
        }
        if (!concerns(hold, slot)) {
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
    fill_action(hold, found, now, action);
    return TRUE;
}

static RateHoldEvent
event_of(RateHoldChange change, int index, const Slot *slot, ClockMs start)
{
    return (RateHoldEvent){.change = change,
                           .slot = index,
                           .epoch = slot->object.epoch,
                           .start_ms = start,
                           .end_ms = slot->end_ms};
}

/* The object names this incarnation. The hold's end counts from `sent_ms`, at
 * which the object was `age_ms` old at most. */
static RateHoldEvent
own_slot(RateHold *hold, int index, ClockMs sent_ms, ClockMs now)
{
    Slot *slot = &hold->slots[index];
    int64_t hold_ms = hold->desc.hold_ms;
    ClockMs end =
        sent_ms - slot->object.age_ms + hold_ms - hold_ms / MARGIN_DIVISOR;
    gboolean was_mine = slot->mine && now < slot->end_ms;

    slot->due_ms = sent_ms - slot->object.age_ms + hold_ms / 3 -
                   spread(hold, hold_ms / 20);
    if (hold->releasing) {
        slot->due_ms = now;
        return (RateHoldEvent){.change = RATE_HOLD_NONE};
    }
    if (end <= now) {
        /* Too old to be used. A renewal makes it a new hold; until then
         * another host may take it. */
        slot->mine = FALSE;
        slot->claimable = TRUE;
        slot->due_ms = now;
        return was_mine ? event_of(RATE_HOLD_CLOSE, index, slot, 0)
                        : (RateHoldEvent){.change = RATE_HOLD_NONE};
    }
    slot->claimable = FALSE;
    slot->mine = TRUE;
    slot->end_ms = was_mine ? MAX(slot->end_ms, end) : end;
    if (was_mine) {
        return event_of(RATE_HOLD_EXTEND, index, slot, 0);
    }
    return event_of(RATE_HOLD_OPEN, index, slot,
                    now + _RateHolder_Wait(hold->desc.grant_life_ms,
                                           hold->desc.drift_ppm));
}

static RateHoldEvent
other_slot(RateHold *hold, int index, ClockMs now)
{
    Slot *slot = &hold->slots[index];
    gboolean was_mine = slot->mine;

    slot->mine = FALSE;
    slot->claimable = may_take(hold, &slot->object);
    slot->due_ms =
        now + hold->desc.poll_ms / 2 + spread(hold, hold->desc.poll_ms);
    if (slot->claimable) {
        slot->due_ms = now + spread(hold, hold->desc.spread_ms / 4);
    }
    return was_mine ? event_of(RATE_HOLD_CLOSE, index, slot, 0)
                    : (RateHoldEvent){.change = RATE_HOLD_NONE};
}

RateHoldEvent
RateHold_Observe(RateHold *hold, int slot, const RateSlotObject *object,
                 ClockMs sent_ms, ClockMs now)
{
    Slot *place = &hold->slots[slot];

    /* An old reading that arrives late must not undo a newer one. */
    if (place->known && object->version != 0 &&
        object->version < place->object.version) {
        return (RateHoldEvent){.change = RATE_HOLD_NONE};
    }
    place->object = *object;
    place->known = TRUE;
    place->must_read = FALSE;
    if (is_own(hold, object)) {
        return own_slot(hold, slot, sent_ms, now);
    }
    return other_slot(hold, slot, now);
}

RateHoldEvent
RateHold_Done(RateHold *hold, const RateHoldAction *action, Result result,
              const RateSlotObject *object, ClockMs sent_ms, ClockMs now)
{
    Slot *slot = &hold->slots[action->slot];
    RateSlotObject missing = {.version = 0};
    ClockMs backoff;

    slot->asked = FALSE;
    if (result == RESULT_NOT_FOUND) {
        object = &missing;
    }
    if (result == RESULT_OK || result == RESULT_NOT_FOUND ||
        result == RESULT_STORE_CONFLICT) {
        slot->failures = 0;
        if (object == NULL) {
            slot->known = FALSE;
            slot->due_ms = now + spread(hold, UNCERTAIN_MS);
            return (RateHoldEvent){.change = RATE_HOLD_NONE};
        }
        return RateHold_Observe(hold, action->slot, object, sent_ms, now);
    }
    if (result == RESULT_STORE_UNCERTAIN) {
        slot->known = FALSE;
        slot->must_read = TRUE;
        slot->due_ms = now + UNCERTAIN_MS + spread(hold, UNCERTAIN_MS);
        return (RateHoldEvent){.change = RATE_HOLD_NONE};
    }
    backoff = MIN((int64_t)BACKOFF_MIN_MS << slot->failures, BACKOFF_MAX_MS);
    slot->failures = MIN(slot->failures + 1, 6);
    slot->due_ms = now + backoff / 2 + spread(hold, backoff);
    return (RateHoldEvent){.change = RATE_HOLD_NONE};
}

void
RateHold_Hint(RateHold *hold, int slot, ClockMs now)
{
    hold->slots[slot].known = FALSE;
    hold->slots[slot].must_read = TRUE;
    hold->slots[slot].due_ms = now;
    hold->slots[slot].failures = 0;
}

void
RateHold_ReleaseAll(RateHold *hold, ClockMs now)
{
    hold->releasing = TRUE;
    for (int i = 0; i < hold->desc.fleet_slots; i++) {
        Slot *slot = &hold->slots[i];

        slot->due_ms = concerns(hold, slot) ? now : CLOCK_NEVER;
    }
}

int
RateHold_Count(const RateHold *hold)
{
    int count = 0;

    for (int i = 0; i < hold->desc.fleet_slots; i++) {
        const Slot *slot = &hold->slots[i];

        count += slot->mine || (slot->known && is_own(hold, &slot->object));
    }
    return count;
}

RateHoldPlace
RateHold_First(const RateHold *hold, int slot)
{
    return hold->slots[slot].place;
}

RateHoldPlace
RateHold_Known(const RateHold *hold, int slot)
{
    const Slot *place = &hold->slots[slot];
    RateHoldPlace none = {0, 0};

    if (!place->known || place->object.version == 0) {
        return none;
    }
    return (RateHoldPlace){place->object.holder, place->object.incarnation};
}
