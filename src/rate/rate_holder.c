#include "rate/rate_holder.h"

#include <string.h>

#include "base/rng.h"
#include "rate/rate_holder_private.h"

#define NO_INDEX UINT32_MAX
/* A draw may take 1/PREFETCH_DIVISOR of the level that is left after its need.
 * A small part keeps tokens from lying idle at one entry while another entry
 * needs them. */
#define PREFETCH_DIVISOR 4
/* Refused draws get successive retry times, at most RETRY_MAX_MS ahead, so
 * that a team above its rate causes few draws. */
#define RETRY_MAX_MS 2000
#define RETRY_MIN_MS 2
/* Buckets checked for eviction in one tick. */
#define EVICT_STEP 4096
/* Table positions probed for an entry's incarnation. */
#define ENTRY_PROBES 8

static uint32_t
power_of_two(uint32_t n)
{
    uint32_t power = 16;

    while (power < n) {
        power *= 2;
    }
    return power;
}

static uint32_t *
new_heads(uint32_t count)
{
    uint32_t *heads = g_new(uint32_t, count);

    memset(heads, 0xff, sizeof(*heads) * count);
    return heads;
}

RateHolder *
RateHolder_Create(const RateHolder_desc *desc)
{
    RateHolder *holder = g_new0(RateHolder, 1);
    RateHolder_desc *d = &holder->desc;

    *d = *desc;
    d->fleet_slots = d->fleet_slots > 0 ? d->fleet_slots : RATE_SLOTS_MAX;
    d->regions = d->regions > 0 ? d->regions : 1;
    d->grant_life_ms = d->grant_life_ms > 0 ? d->grant_life_ms : 1000;
    d->change_delay_ms = d->change_delay_ms > 0 ? d->change_delay_ms : 6000;
    d->drift_ppm = d->drift_ppm > 0 ? d->drift_ppm : 2500;
    d->max_buckets = d->max_buckets > 0 ? d->max_buckets : 65536;
    d->max_grants = d->max_grants > 0 ? d->max_grants : 32768;
    d->max_entries = d->max_entries > 0 ? d->max_entries : 16384;
    d->max_entries = power_of_two(d->max_entries);
    holder->life_ms = _RateHolder_Wait(d->grant_life_ms, d->drift_ppm);
    holder->version = 1;
    holder->buckets = g_new0(Bucket, d->max_buckets);
    holder->bucket_mask = power_of_two(d->max_buckets) - 1;
    holder->bucket_heads = new_heads(holder->bucket_mask + 1);
    holder->free_bucket = NO_INDEX;
    holder->grants = g_new0(Grant, d->max_grants);
    holder->grant_mask = power_of_two(d->max_grants) - 1;
    holder->grant_heads = new_heads(holder->grant_mask + 1);
    holder->grant_first = 1;
    holder->grant_next = 1;
    holder->entries = g_new0(Entry, d->max_entries);
    return holder;
}

void
RateHolder_Destroy(RateHolder *holder)
{
    if (holder != NULL) {
        g_free(holder->buckets);
        g_free(holder->bucket_heads);
        g_free(holder->grants);
        g_free(holder->grant_heads);
        g_free(holder->entries);
        g_free(holder);
    }
}

/* The rates of two clocks differ by up to twice the drift; 2 ms cover the
 * rounding of both clocks to whole milliseconds. */
ClockMs
_RateHolder_Wait(ClockMs duration_ms, int drift_ppm)
{
    return duration_ms + duration_ms * 2 * drift_ppm / 1000000 + 2;
}

/* Share of the i-th slot of a team; during a change the smaller of the old and
 * the new share. Hosts with the older configuration still use the old share,
 * so the sum of all slots stays within the larger of both limits. */
static void
slot_share(const Bucket *bucket, int i, gboolean changing, int64_t *rate,
           int64_t *burst)
{
    const RateShare *share = &bucket->share;

    *rate = share->micro_per_second + (i < share->rate_extra);
    *burst = share->burst_micro + (i < share->burst_extra);
    if (changing) {
        const RateShare *old = &bucket->old_share;

        if (i >= old->slots) {
            *rate = 0;
            *burst = 0;
        }
        else {
            *rate = MIN(*rate, old->micro_per_second + (i < old->rate_extra));
            *burst = MIN(*burst, old->burst_micro + (i < old->burst_extra));
        }
    }
}

/* Reduces a refill rate by the drift, since this host's clock may run fast. */
static int64_t
drift_safe_rate(const RateHolder *holder, int64_t rate)
{
    return rate - (rate * holder->desc.drift_ppm + 999999) / 1000000;
}

/* Sets rate, burst and valid_until for time t and limits the level so that
 * level + outstanding fits the burst. */
static void
set_parameters(RateHolder *holder, Bucket *bucket, ClockMs t)
{
    uint16_t order[RATE_SLOTS_MAX];
    gboolean changing = t < bucket->change_end_ms;
    int count =
        RateShare_Slots(bucket->team, bucket->share.slots,
                        holder->desc.fleet_slots, holder->desc.regions, order);

    bucket->version = holder->version;
    bucket->valid_until = changing ? bucket->change_end_ms : CLOCK_NEVER;
    bucket->rate = 0;
    bucket->burst = 0;
    for (int i = 0; i < count; i++) {
        const Slot *slot = &holder->slots[order[i]];
        int64_t rate;
        int64_t burst;

        if (slot->end_ms <= t) {
            continue;
        }
        if (slot->start_ms > t) {
            bucket->valid_until = MIN(bucket->valid_until, slot->start_ms);
            continue;
        }
        bucket->valid_until = MIN(bucket->valid_until, slot->end_ms);
        slot_share(bucket, i, changing, &rate, &burst);
        bucket->rate += rate;
        bucket->burst += burst;
    }
    bucket->rate = drift_safe_rate(holder, bucket->rate);
    bucket->level =
        MAX(0, MIN(bucket->level, bucket->burst - bucket->outstanding));
}

/* Adds the refill of `elapsed` ms. `room` is at most 10^13 and the rate at
 * most 10^12, so the products stay below 2^63. */
static void
refill(Bucket *bucket, ClockMs elapsed)
{
    int64_t room = bucket->burst - bucket->outstanding - bucket->level;
    int64_t amount;

    if (room <= 0 || bucket->rate == 0 || elapsed <= 0) {
        return;
    }
    if (elapsed > room * 1000 / bucket->rate) {
        bucket->level += room;
        bucket->remainder = 0;
        return;
    }
    amount = bucket->rate * elapsed + bucket->remainder;
    bucket->remainder = amount % 1000;
    bucket->level += MIN(room, amount / 1000);
}

/* Advances the bucket to time `now`. The refill of a full bucket starts at the
 * next whole millisecond, since part of the present one has passed already. */
static void
advance(RateHolder *holder, Bucket *bucket, ClockMs now)
{
    while (bucket->last < now) {
        ClockMs to;

        if (bucket->version != holder->version ||
            bucket->last >= bucket->valid_until) {
            set_parameters(holder, bucket, bucket->last);
        }
        to = MIN(now, bucket->valid_until);
        refill(bucket, to - bucket->last);
        bucket->last = to;
    }
    if (bucket->version != holder->version || now >= bucket->valid_until) {
        set_parameters(holder, bucket, now);
    }
    if (bucket->last <= now &&
        bucket->level + bucket->outstanding >= bucket->burst) {
        bucket->remainder = 0;
        bucket->last = now + 1;
    }
}

static void
advance_all(RateHolder *holder, ClockMs now)
{
    for (uint32_t i = 0; i < holder->bucket_high; i++) {
        if (holder->buckets[i].team != 0) {
            advance(holder, &holder->buckets[i], now);
        }
    }
}

static uint32_t
grant_hash(const RateHolder *holder, uint64_t entry, uint64_t serial)
{
    return (uint32_t)Rng_Mix(entry, serial) & holder->grant_mask;
}

static Grant *
grant_at(const RateHolder *holder, uint64_t number)
{
    return &holder->grants[number % holder->desc.max_grants];
}

static void
unlink_grant(RateHolder *holder, const Grant *grant)
{
    uint32_t index = (uint32_t)(grant - holder->grants);
    uint32_t *link =
        &holder->grant_heads[grant_hash(holder, grant->entry, grant->serial)];

    while (*link != index) {
        link = &holder->grants[*link].next;
    }
    *link = grant->next;
}

/* Removes expired grants. Their tokens that were not returned count as used.
 */
static void
expire_grants(RateHolder *holder, ClockMs now)
{
    while (holder->grant_first < holder->grant_next) {
        Grant *grant = grant_at(holder, holder->grant_first);
        Bucket *bucket = &holder->buckets[grant->bucket];

        if (grant->expires_ms > now) {
            break;
        }
        if (!grant->closed) {
            advance(holder, bucket, grant->expires_ms);
            bucket->outstanding -= grant->micro - grant->used;
        }
        bucket->grants--;
        unlink_grant(holder, grant);
        holder->grant_first++;
    }
}

void
RateHolder_OpenSlot(RateHolder *holder, int slot, uint64_t epoch,
                    ClockMs start_ms, ClockMs end_ms, ClockMs now)
{
    Slot *state = &holder->slots[slot];

    /* Buckets are advanced before the old lease is overwritten, because they
     * must account for the time during which the slot was not held. */
    expire_grants(holder, now);
    advance_all(holder, now);
    state->epoch = epoch;
    state->start_ms = MAX(start_ms, now + 1);
    state->end_ms = end_ms;
    holder->version++;
}

gboolean
RateHolder_ExtendSlot(RateHolder *holder, int slot, uint64_t epoch,
                      ClockMs end_ms, ClockMs now)
{
    Slot *state = &holder->slots[slot];

    if (state->end_ms <= now || state->epoch != epoch) {
        return FALSE;
    }
    if (end_ms > state->end_ms) {
        state->end_ms = end_ms;
        holder->version++;
    }
    return TRUE;
}

void
RateHolder_CloseSlot(RateHolder *holder, int slot, ClockMs now)
{
    Slot *state = &holder->slots[slot];

    state->end_ms = MIN(state->end_ms, now);
    holder->version++;
}

gboolean
RateHolder_Holds(const RateHolder *holder, int slot, ClockMs now)
{
    return holder->slots[slot].end_ms > now;
}

static uint32_t
bucket_hash(const RateHolder *holder, uint64_t team)
{
    return (uint32_t)Rng_Mix(team, 0) & holder->bucket_mask;
}

static Bucket *
find_bucket(const RateHolder *holder, uint64_t team)
{
    uint32_t i = holder->bucket_heads[bucket_hash(holder, team)];

    while (i != NO_INDEX) {
        if (holder->buckets[i].team == team) {
            return &holder->buckets[i];
        }
        i = holder->buckets[i].next;
    }
    return NULL;
}

static void
remove_bucket(RateHolder *holder, Bucket *bucket)
{
    uint32_t index = (uint32_t)(bucket - holder->buckets);
    uint32_t *link = &holder->bucket_heads[bucket_hash(holder, bucket->team)];

    while (*link != index) {
        link = &holder->buckets[*link].next;
    }
    *link = bucket->next;
    memset(bucket, 0, sizeof(*bucket));
    bucket->next = holder->free_bucket;
    holder->free_bucket = index;
}

/* Removes full buckets without grants. A bucket that is created again for the
 * team has no higher level. Removal within the change delay loses the old
 * share, but the new bucket stays empty until the delay has passed. */
static void
evict(RateHolder *holder, ClockMs now)
{
    for (uint32_t i = 0; i < MIN(EVICT_STEP, holder->bucket_high); i++) {
        Bucket *bucket =
            &holder->buckets[holder->evict_next % holder->bucket_high];

        holder->evict_next++;
        if (bucket->team == 0 || bucket->grants > 0) {
            continue;
        }
        advance(holder, bucket, now);
        if (bucket->level >= bucket->burst) {
            remove_bucket(holder, bucket);
        }
    }
}

/* Level that the team's slots have reached since their leases started, or
 * since the present limit was in force everywhere if that was later. */
static int64_t
initial_level(const RateHolder *holder, const Bucket *bucket,
              ClockMs in_force_everywhere, ClockMs now)
{
    uint16_t order[RATE_SLOTS_MAX];
    int count =
        RateShare_Slots(bucket->team, bucket->share.slots,
                        holder->desc.fleet_slots, holder->desc.regions, order);
    int64_t level = 0;

    for (int i = 0; i < count; i++) {
        const Slot *slot = &holder->slots[order[i]];
        ClockMs start = MAX(slot->start_ms, in_force_everywhere);
        int64_t rate;
        int64_t burst;

        if (slot->end_ms <= now || start >= now) {
            continue;
        }
        slot_share(bucket, i, FALSE, &rate, &burst);
        rate = drift_safe_rate(holder, rate);
        if (rate > 0 && now - start <= burst * 1000 / rate) {
            burst = MIN(burst, rate * (now - start) / 1000);
        }
        level += rate > 0 ? burst : 0;
    }
    return level;
}

static Bucket *
create_bucket(RateHolder *holder, uint64_t team, const RateLimit *limit,
              ClockMs in_force_ms, ClockMs now)
{
    uint32_t index = holder->free_bucket;
    Bucket *bucket;
    uint32_t *head;

    if (index == NO_INDEX && holder->bucket_high == holder->desc.max_buckets) {
        evict(holder, now);
        index = holder->free_bucket;
        if (index == NO_INDEX) {
            return NULL;
        }
    }
    if (index != NO_INDEX) {
        holder->free_bucket = holder->buckets[index].next;
    }
    else {
        index = holder->bucket_high++;
    }
    bucket = &holder->buckets[index];
    memset(bucket, 0, sizeof(*bucket));
    bucket->team = team;
    bucket->limit = *limit;
    bucket->share = RateShare_Make(limit, holder->desc.fleet_slots);
    bucket->change_end_ms = in_force_ms + holder->desc.change_delay_ms;
    bucket->level = initial_level(holder, bucket, bucket->change_end_ms, now);
    bucket->last = now;
    head = &holder->bucket_heads[bucket_hash(holder, team)];
    bucket->next = *head;
    *head = index;
    return bucket;
}

/* Applies a limit that differs from the bucket's. */
static void
change_limit(RateHolder *holder, Bucket *bucket, const RateLimit *limit,
             ClockMs in_force_ms, ClockMs now)
{
    RateShare *old = &bucket->old_share;
    ClockMs at = MIN(in_force_ms, now);

    advance(holder, bucket, at);
    if (at >= bucket->change_end_ms) {
        *old = bucket->share;
    }
    else {
        /* On a second change within the delay, the smallest of all shares
         * applies. */
        old->slots = MIN(old->slots, bucket->share.slots);
        old->micro_per_second =
            MIN(old->micro_per_second, bucket->share.micro_per_second);
        old->burst_micro = MIN(old->burst_micro, bucket->share.burst_micro);
        old->rate_extra = 0;
        old->burst_extra = 0;
    }
    bucket->limit = *limit;
    bucket->share = RateShare_Make(limit, holder->desc.fleet_slots);
    bucket->change_end_ms = in_force_ms + holder->desc.change_delay_ms;
    set_parameters(holder, bucket, MAX(at, bucket->last));
}

static gboolean
holds_any(const RateHolder *holder, uint64_t team, const RateLimit *limit,
          ClockMs now, ClockMs *start_ms, ClockMs *end_ms)
{
    uint16_t order[RATE_SLOTS_MAX];
    RateShare share = RateShare_Make(limit, holder->desc.fleet_slots);
    int count = RateShare_Slots(team, share.slots, holder->desc.fleet_slots,
                                holder->desc.regions, order);

    *start_ms = CLOCK_NEVER;
    *end_ms = CLOCK_NEVER;
    for (int i = 0; i < count; i++) {
        const Slot *slot = &holder->slots[order[i]];

        if (slot->end_ms > now) {
            *start_ms = MIN(*start_ms, slot->start_ms);
            *end_ms = MIN(*end_ms, slot->end_ms);
        }
    }
    return *end_ms != CLOCK_NEVER;
}

/* Records the highest incarnation of each entry; FALSE for an older one. The
 * check avoids grants to a process that has exited and could not use them. The
 * rate bound does not depend on it, so a full table may overwrite an entry. */
static gboolean
check_entry(RateHolder *holder, const RateDraw *draw)
{
    uint32_t mask = holder->desc.max_entries - 1;
    uint32_t first = (uint32_t)Rng_Mix(draw->entry, 1);
    Entry *record = &holder->entries[first & mask];

    for (uint32_t i = 0; i < ENTRY_PROBES; i++) {
        Entry *entry = &holder->entries[(first + i) & mask];

        if (entry->host == draw->entry || entry->host == 0) {
            record = entry;
            break;
        }
    }
    if (record->host != draw->entry) {
        record->host = draw->entry;
        record->incarnation = draw->entry_incarnation;
    }
    if (draw->entry_incarnation < record->incarnation) {
        return FALSE;
    }
    record->incarnation = draw->entry_incarnation;
    return TRUE;
}

static const Grant *
find_grant(const RateHolder *holder, const RateDraw *draw)
{
    uint32_t i =
        holder->grant_heads[grant_hash(holder, draw->entry, draw->serial)];

    while (i != NO_INDEX) {
        const Grant *grant = &holder->grants[i];

        if (grant->entry == draw->entry && grant->serial == draw->serial &&
            grant->incarnation == draw->entry_incarnation) {
            return grant;
        }
        i = grant->next;
    }
    return NULL;
}

/* Amount that a draw gets. If the level is below the need, the draw gets whole
 * tokens only: a fraction stays in the bucket until it has grown to a token,
 * and a draw for a fraction is granted in full or not at all. Otherwise
 * entries would take parts that do not add up to a token. */
static int64_t
grant_amount(const Bucket *bucket, const RateDraw *draw)
{
    int64_t need = MAX(draw->need_micro, 0);
    int64_t prefetch;

    if (bucket->level < need) {
        return bucket->level - bucket->level % RATE_MICRO;
    }
    prefetch = MIN(draw->want_micro - need,
                   (bucket->level - need) / PREFETCH_DIVISOR);
    return need + MAX(prefetch - prefetch % RATE_MICRO, 0);
}

/* Delay in ms until the bucket has a token that was not promised to an earlier
 * refused draw. */
static int
retry_after(Bucket *bucket, int64_t missing, int64_t left, ClockMs now)
{
    int64_t wait;
    ClockMs base = MAX(bucket->last_retry_ms, now);

    if (bucket->rate == 0) {
        return RETRY_MAX_MS;
    }
    if (missing < RATE_MICRO) {
        wait = MAX(missing - left, 1) * 1000 / bucket->rate + 1;
        return (int)CLAMP(wait, RETRY_MIN_MS, RETRY_MAX_MS);
    }
    if (bucket->last_retry_ms <= now) {
        missing -= left;
    }
    wait = MAX(missing, 1) * 1000 / bucket->rate + 1;
    bucket->last_retry_ms = MIN(base + wait, now + RETRY_MAX_MS);
    return (int)MAX(bucket->last_retry_ms - now, RETRY_MIN_MS);
}

static void
record_grant(RateHolder *holder, Bucket *bucket, const RateDraw *draw,
             const RateGrant *given, ClockMs now)
{
    uint64_t number = holder->grant_next++;
    Grant *grant = grant_at(holder, number);
    uint32_t *head =
        &holder->grant_heads[grant_hash(holder, draw->entry, draw->serial)];

    *grant = (Grant){.number = number,
                     .entry = draw->entry,
                     .incarnation = draw->entry_incarnation,
                     .serial = draw->serial,
                     .micro = given->micro,
                     .expires_ms = now + holder->life_ms,
                     .bucket = (uint32_t)(bucket - holder->buckets),
                     .next = *head,
                     .settle_now = given->settle_now,
                     .retry_ms = given->retry_ms};
    *head = (uint32_t)(grant - holder->grants);
    bucket->level -= given->micro;
    bucket->outstanding += given->micro;
    bucket->grants++;
}

static Result
draw_from(RateHolder *holder, Bucket *bucket, const RateDraw *draw,
          ClockMs now, RateGrant *grant)
{
    int64_t need = MAX(draw->need_micro, 0);

    grant->micro = grant_amount(bucket, draw);
    grant->level_micro = bucket->level - grant->micro;
    if (grant->micro < need) {
        grant->retry_ms =
            retry_after(bucket, MIN(need - grant->micro, (int64_t)RATE_MICRO),
                        bucket->level - grant->micro, now);
    }
    if (grant->micro == 0) {
        return RESULT_OK;
    }
    if (holder->grant_next - holder->grant_first >= holder->desc.max_grants) {
        return RESULT_FULL;
    }
    /* Outstanding grants delay the refill. That matters if the burst is used
     * up soon or is small compared with the rate. */
    grant->settle_now =
        bucket->level - grant->micro < bucket->burst / 2 ||
        bucket->burst < bucket->rate * holder->desc.grant_life_ms / 1000 ||
        bucket->share.burst_micro < RATE_SMALL_BURST;
    grant->number = holder->grant_next;
    grant->life_ms = holder->desc.grant_life_ms;
    record_grant(holder, bucket, draw, grant, now);
    return RESULT_OK;
}

Result
RateHolder_Draw(RateHolder *holder, const RateDraw *draw, ClockMs now,
                RateGrant *grant)
{
    RateLimit limit;
    ClockMs in_force_ms;
    ClockMs start_ms;
    Bucket *bucket;
    const Grant *earlier;

    memset(grant, 0, sizeof(*grant));
    if (draw->team == 0) {
        return RESULT_MALFORMED;
    }
    expire_grants(holder, now);
    if (!check_entry(holder, draw)) {
        return RESULT_RPC_OLD_SESSION;
    }
    if (!holder->desc.lookup(holder->desc.context, draw->team, &limit,
                             &in_force_ms)) {
        return RESULT_NOT_CONFIGURED;
    }
    if (!holds_any(holder, draw->team, &limit, now, &start_ms,
                   &grant->lease_end_ms)) {
        return RESULT_RATE_NOT_HELD;
    }
    earlier = find_grant(holder, draw);
    if (earlier != NULL) {
        grant->number = earlier->number;
        grant->micro = earlier->micro;
        grant->life_ms = holder->desc.grant_life_ms;
        grant->retry_ms = earlier->retry_ms;
        grant->settle_now = earlier->settle_now;
        return RESULT_OK;
    }
    start_ms = MAX(start_ms, in_force_ms + holder->desc.change_delay_ms);
    bucket = find_bucket(holder, draw->team);
    if (bucket == NULL) {
        if (start_ms >= now) {
            grant->retry_ms =
                (int)CLAMP(start_ms - now, RETRY_MIN_MS, RETRY_MAX_MS);
            return RESULT_OK;
        }
        bucket = create_bucket(holder, draw->team, &limit, in_force_ms, now);
    }
    if (bucket == NULL) {
        return RESULT_FULL;
    }
    if (!RateLimit_IsEqual(&bucket->limit, &limit)) {
        change_limit(holder, bucket, &limit, in_force_ms, now);
    }
    advance(holder, bucket, now);
    return draw_from(holder, bucket, draw, now, grant);
}

static void
settle_one(RateHolder *holder, uint64_t entry, const RateUse *use, ClockMs now)
{
    Grant *grant;
    Bucket *bucket;
    int64_t used;

    if (use->grant < holder->grant_first || use->grant >= holder->grant_next) {
        return;
    }
    grant = grant_at(holder, use->grant);
    if (grant->entry != entry || grant->closed) {
        return;
    }
    bucket = &holder->buckets[grant->bucket];
    advance(holder, bucket, now);
    used = CLAMP(use->used_micro, grant->used, grant->micro);
    bucket->outstanding -= used - grant->used;
    grant->used = used;
    if (use->closed) {
        bucket->outstanding -= grant->micro - used;
        bucket->level +=
            MAX(0, MIN(grant->micro - used,
                       bucket->burst - bucket->outstanding - bucket->level));
        grant->closed = TRUE;
    }
}

void
RateHolder_Settle(RateHolder *holder, uint64_t entry, const RateUse *uses,
                  int count, ClockMs now)
{
    expire_grants(holder, now);
    for (int i = 0; i < count; i++) {
        settle_one(holder, entry, &uses[i], now);
    }
}

void
RateHolder_Tick(RateHolder *holder, ClockMs now)
{
    expire_grants(holder, now);
    evict(holder, now);
}
