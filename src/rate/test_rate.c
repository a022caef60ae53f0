/* Tests of the decision modules of the rate limit, and of RateService's
 * message handling between two hosts in one process. */
#include <string.h>

#include "base/rng.h"
#include "rate/rate_cache.h"
#include "rate/rate_codec.h"
#include "rate/rate_holder.h"
#include "rate/rate_lease.h"
#include "rate/rate_service.h"

#define TEAM 42
#define TOKEN ((int64_t)RATE_MICRO)

static RateLimit limit = {8, 24};
static ClockMs in_force = -100000;

static gboolean
lookup(void *context, uint64_t team, RateLimit *out, ClockMs *in_force_ms)
{
    (void)context;
    *out = limit;
    *in_force_ms = in_force;
    return team == TEAM;
}

/* Guards against shares that add up to more or less than the limit, also for
 * limits with a fraction. */
static void
test_share(void)
{
    static const struct {
        RateLimit limit;
        int slots;
    } cases[] = {{{1, 2}, 3},
                 {{1, 1000}, 3},
                 {{100, 1000}, 13},
                 {{100, 40}, 10},
                 {{4096, 9999}, 512},
                 {{1000000, 10000000}, 512},
                 {{2000000, 1 << 30}, 512},
                 {{0, 1, 500000, 0}, 3},
                 {{8, 16, 1, 250000}, 3}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        RateShare share = RateShare_Make(&cases[i].limit, 512);
        int64_t rate =
            MIN(cases[i].limit.rate_per_s, RATE_PER_S_MAX) * RATE_MICRO +
            cases[i].limit.rate_fraction;
        int64_t burst =
            MIN(cases[i].limit.burst, RATE_BURST_MAX) * RATE_MICRO +
            cases[i].limit.burst_fraction;
        RateLimit same = RateLimit_FromMicro(rate, burst);

        g_assert_cmpint(share.slots, ==, cases[i].slots);
        g_assert_cmpint(
            share.micro_per_second * share.slots + share.rate_extra, ==, rate);
        g_assert_cmpint(share.burst_micro * share.slots + share.burst_extra,
                        ==, burst);
        g_assert_cmpint(RateShare_Make(&same, 512).slots, ==, share.slots);
    }
}

/* Guards against slots of a team that are spread unevenly over the regions,
 * and against a larger K that does not begin with the slots of a smaller K. */
static void
test_slots(void)
{
    uint16_t all[RATE_SLOTS_MAX];
    uint16_t some[RATE_SLOTS_MAX];

    for (int regions = 1; regions <= 5; regions++) {
        g_assert_cmpint(RateShare_Slots(TEAM, 512, 512, regions, all), ==,
                        512);
        for (int k = 3; k < 512; k += 50) {
            int used[5] = {0};

            RateShare_Slots(TEAM, k, 512, regions, some);
            g_assert_cmpmem(all, (size_t)k * 2, some, (size_t)k * 2);
            for (int i = 0; i < k; i++) {
                used[some[i] % regions]++;
            }
            for (int r = 0; r < regions; r++) {
                g_assert_cmpint(ABS(used[r] - k / regions), <=, 1);
            }
        }
    }
}

static RateHolder *
open_holder(int slots)
{
    RateHolder *holder =
        RateHolder_Create(&(RateHolder_desc){.lookup = lookup,
                                             .fleet_slots = slots,
                                             .max_buckets = 64,
                                             .max_grants = 64});

    for (int i = 0; i < slots; i++) {
        RateHolder_OpenSlot(holder, i, 1, 1000, 100000, 0);
    }
    return holder;
}

static int64_t
draw_at(RateHolder *holder, uint64_t serial, int tokens, ClockMs now,
        RateGrant *grant)
{
    RateDraw draw = {TEAM, 7, 5, serial, tokens * TOKEN, tokens * TOKEN};

    g_assert_cmpint(RateHolder_Draw(holder, &draw, now, grant), ==, RESULT_OK);
    return grant->micro / TOKEN;
}

/* Guards against tokens that are granted twice for a duplicate draw, and
 * against refill in place of outstanding tokens that were neither reported nor
 * expired. */
static void
test_holder_outstanding(void)
{
    RateHolder *holder = open_holder(3);
    RateGrant grant;
    RateGrant again;
    RateUse use;

    g_assert_cmpint(draw_at(holder, 1, 24, 20000, &grant), ==, 24);
    g_assert_cmpint(draw_at(holder, 1, 24, 20100, &again), ==, 24);
    g_assert_cmpuint(again.number, ==, grant.number);
    /* All 24 are outstanding, so there is no refill. */
    g_assert_cmpint(draw_at(holder, 2, 1, 20900, &again), ==, 0);
    /* 10 tokens are used; duplicate and reordered reports count once. */
    use = (RateUse){grant.number, 10 * TOKEN, FALSE};
    RateHolder_Settle(holder, 7, &use, 1, 20900);
    RateHolder_Settle(holder, 7, &use, 1, 20900);
    use.used_micro = 4 * TOKEN;
    RateHolder_Settle(holder, 7, &use, 1, 20900);
    /* Another entry's report is ignored. */
    use.used_micro = 20 * TOKEN;
    RateHolder_Settle(holder, 8, &use, 1, 20900);
    g_assert_cmpint(draw_at(holder, 3, 24, 20990, &again), ==, 0);
    /* At most 10 tokens are refilled until the grant has expired. */
    g_assert_cmpint(draw_at(holder, 4, 24, 21003, &again), ==, 0);
    g_assert_cmpint(draw_at(holder, 5, 24, 60000, &again), ==, 24);
    RateHolder_Destroy(holder);
}

/* Guards against returned tokens that are lost or counted twice. */
static void
test_holder_return(void)
{
    RateHolder *holder = open_holder(3);
    RateGrant grant;
    RateUse use;

    g_assert_cmpint(draw_at(holder, 1, 20, 20000, &grant), ==, 20);
    use = (RateUse){grant.number, 5 * TOKEN, TRUE};
    RateHolder_Settle(holder, 7, &use, 1, 20001);
    RateHolder_Settle(holder, 7, &use, 1, 20001);
    g_assert_cmpint(draw_at(holder, 2, 24, 20001, &grant), ==, 19);
    RateHolder_Destroy(holder);
}

/* Guards against grants before the start or at the end of a lease, and against
 * grants to a former incarnation of an entry. */
static void
test_holder_refusals(void)
{
    RateHolder *holder = open_holder(3);
    RateDraw draw = {TEAM, 7, 5, 1, TOKEN, TOKEN};
    RateGrant grant;
    static const struct {
        ClockMs now;
        uint64_t incarnation;
        Result result;
        int64_t tokens;
    } cases[] = {{900, 5, RESULT_OK, 0},
                 {20000, 5, RESULT_OK, 1},
                 {20001, 4, RESULT_RPC_OLD_SESSION, 0},
                 {99999, 6, RESULT_OK, 1},
                 {100000, 6, RESULT_RATE_NOT_HELD, 0}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        draw.serial = i + 1;
        draw.entry_incarnation = cases[i].incarnation;
        g_assert_cmpint(RateHolder_Draw(holder, &draw, cases[i].now, &grant),
                        ==, cases[i].result);
        g_assert_cmpint(grant.micro / TOKEN, ==, cases[i].tokens);
    }
    g_assert_false(RateHolder_ExtendSlot(holder, 0, 1, 200000, 100000));
    RateHolder_Destroy(holder);
}

/* Guards against a raised burst that is granted before the ticket is in force
 * everywhere, and a lowered one that keeps the old level. */
static void
test_holder_changed_limit(void)
{
    RateHolder *holder = open_holder(3);
    RateGrant grant;

    g_assert_cmpint(draw_at(holder, 1, 1, 20000, &grant), ==, 1);
    limit = (RateLimit){8, 240};
    in_force = 22000;
    g_assert_cmpint(draw_at(holder, 2, 240, 27999, &grant), <=, 24);
    limit = (RateLimit){8, 5};
    in_force = 40000;
    g_assert_cmpint(draw_at(holder, 3, 240, 40001, &grant), <=, 5);
    limit = (RateLimit){8, 24};
    in_force = -100000;
    RateHolder_Destroy(holder);
}

/* Guards against a slot that starts with tokens, and against a refill above
 * the rate in true time when this host's clock runs 0.25% fast. */
static void
test_holder_refill(void)
{
    RateHolder *holder = open_holder(3);
    RateGrant grant;
    int64_t total = 0;
    uint64_t serial = 0;

    for (ClockMs now = 10; now < 100000; now += 10) {
        int64_t true_us = (now - 1000) * 1000000 / 1002500 * 1000;
        RateUse use;

        total += draw_at(holder, ++serial, 24, now, &grant);
        g_assert_cmpint(total * 1000000, <=, MAX(8 * true_us, 0));
        use = (RateUse){grant.number, grant.micro, TRUE};
        RateHolder_Settle(holder, 7, &use, 1, now);
    }
    g_assert_cmpint(total, >=, 8 * 98);
    RateHolder_Destroy(holder);
}

/* Guards against eviction of a bucket that is not full: its level would be
 * higher when the bucket is created again. */
static void
test_holder_eviction(void)
{
    RateHolder *holder = open_holder(3);
    RateBucketStatus bucket;
    RateGrant grant;

    g_assert_cmpint(draw_at(holder, 1, 24, 20000, &grant), ==, 24);
    RateHolder_Tick(holder, 21500);
    g_assert_cmpint(RateHolder_Buckets(holder, &bucket, 1), ==, 1);
    RateHolder_Tick(holder, 40000);
    g_assert_cmpint(RateHolder_Buckets(holder, &bucket, 1), ==, 0);
    RateHolder_Destroy(holder);
}

/* Creates a cache with a grant; one host holds all slots. */
static RateCache *
cache_with_grant(RatePlan *plan)
{
    RateCache *cache = RateCache_Create(
        &(RateCache_desc){.entry = 7, .incarnation = 5, .fleet_slots = 3});
    RateGrant grant = {.number = 9, .micro = 2 * TOKEN, .life_ms = 1000};
    RateToken token;
    RatePlan other;
    int retry;

    for (int i = 0; i < 3; i++) {
        RateCache_SetHolder(cache, i, 77, 3, RATE_REGION);
    }
    g_assert_cmpint(RateCache_Take(cache, TEAM, &limit, 100, &token, &retry),
                    ==, RESULT_NOT_FOUND);
    g_assert_cmpint(RateCache_Plan(cache, TEAM, 2, 100, plan, 1), ==, 1);
    /* The draw in flight is shared. */
    g_assert_cmpint(RateCache_Plan(cache, TEAM, 2, 100, &other, 1), ==, 0);
    RateCache_Granted(cache, plan, &grant, 400);
    return cache;
}

/* Guards against a second draw for requests that a draw in flight covers, a
 * token that is used after its end, and a token that is reported as used
 * before it is. */
static void
test_cache_expiry(void)
{
    RatePlan plan;
    RateCache *cache = cache_with_grant(&plan);
    RateToken first;
    RateToken second;
    RateUse use;
    int retry;

    g_assert_cmpint(plan.draw.need_micro, ==, 2 * TOKEN);
    RateCache_Take(cache, TEAM, &limit, 400, &first, &retry);
    g_assert_cmpint(RateCache_Settle(cache, 77, 3, &use, 1, 400), ==, 0);
    g_assert_cmpint(RateCache_Use(cache, &first, 1099), ==, RESULT_OK);
    g_assert_cmpint(RateCache_Settle(cache, 77, 3, &use, 1, 1099), ==, 1);
    g_assert_cmpint(use.used_micro, ==, TOKEN);
    g_assert_false(use.closed);
    g_assert_cmpint(RateCache_Take(cache, TEAM, &limit, 1099, &second, &retry),
                    ==, RESULT_OK);
    g_assert_cmpint(RateCache_Use(cache, &second, 1100), !=, RESULT_OK);
    RateCache_Destroy(cache);
}

/* Guards against claims of slots whose holder may still grant tokens. */
static void
test_lease_claims(void)
{
    static const struct {
        RateSlotObject object;
        gboolean claim;
    } cases[] = {
        {{.version = 0}, TRUE},
        {{.version = 4, .holder = 0}, TRUE},
        {{.version = 4, .holder = 2, .incarnation = 1, .age_ms = 10}, FALSE},
        {{.version = 4, .holder = 2, .incarnation = 1, .age_ms = 90000},
         FALSE},
        {{.version = 4, .holder = 2, .incarnation = 1, .age_ms = 90001}, TRUE},
        {{.version = 4, .holder = 1, .incarnation = 4, .address = "a:1"},
         TRUE},
        {{.version = 4, .holder = 1, .incarnation = 4, .address = "b:1"},
         FALSE},
        {{.version = 4, .holder = 2, .incarnation = 4, .address = "a:1"},
         FALSE},
    };
    RateHost self = {.host = 1, .incarnation = 5, .address = "a:1"};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        RateLease *lease = RateLease_Create(&(RateLease_desc){
            .self = self, .fleet_slots = 1, .lease_ms = 90000});
        RateLeaseAction action;
        RateLeaseEvent event;
        int wait;

        RateLease_SetView(lease, &self, 1, 0);
        g_assert_true(RateLease_Next(lease, 5000, &action, &wait));
        g_assert_cmpint(action.call, ==, RATE_LEASE_READ);
        RateLease_Done(lease, &action,
                       cases[i].object.version ? RESULT_OK : RESULT_NOT_FOUND,
                       cases[i].object.version ? &cases[i].object : NULL, 5000,
                       5010);
        g_assert_cmpint(RateLease_Next(lease, 7000, &action, &wait) &&
                            action.call == RATE_LEASE_CLAIM,
                        ==, cases[i].claim);
        if (cases[i].claim) {
            action.object.version = 9;
            event = RateLease_Done(lease, &action, RESULT_OK, &action.object,
                                   7000, 7100);
            g_assert_cmpint(event.change, ==, RATE_LEASE_OPEN);
            g_assert_cmpint(event.start_ms, >, 8100);
            g_assert_cmpint(event.end_ms, ==, 7000 + 90000 - 900);
        }
        RateLease_Destroy(lease);
    }
}

/* Guards against a write that takes effect while its response is lost: the
 * lease must not be missed, and its end must be counted from the write, not
 * from the later read. */
static void
test_lease_lost_answer(void)
{
    RateHost self = {.host = 1, .incarnation = 5, .address = "a:1"};
    RateLease *lease = RateLease_Create(
        &(RateLease_desc){.self = self, .fleet_slots = 1, .lease_ms = 90000});
    RateLeaseAction action;
    RateLeaseEvent event;
    int wait;

    RateLease_SetView(lease, &self, 1, 0);
    g_assert_true(RateLease_Next(lease, 5000, &action, &wait));
    RateLease_Done(lease, &action, RESULT_NOT_FOUND, NULL, 5000, 5001);
    g_assert_true(RateLease_Next(lease, 7000, &action, &wait));
    event = RateLease_Done(lease, &action, RESULT_STORE_UNCERTAIN, NULL, 7000,
                           8000);
    g_assert_cmpint(event.change, ==, RATE_LEASE_NONE);
    action.object.version = 1;
    action.object.age_ms = 2000;
    RateSlotObject written = action.object;

    g_assert_true(RateLease_Next(lease, 9000, &action, &wait));
    g_assert_cmpint(action.call, ==, RATE_LEASE_READ);
    event = RateLease_Done(lease, &action, RESULT_OK, &written, 9000, 9010);
    g_assert_cmpint(event.change, ==, RATE_LEASE_OPEN);
    g_assert_cmpint(event.end_ms, ==, 9000 - 2000 + 90000 - 900);
    RateLease_Destroy(lease);
}

/* Guards against crashes on malformed bodies and against fields that are lost
 * in the encoding. */
static void
test_codec(void)
{
    RateDrawMessage draw = {.team = 1, .serial = 2, .use_count = 64};
    RateDrawMessage decoded;
    RateSlotObject object = {.holder = 0xfedcba9876543210u,
                             .incarnation = 5,
                             .epoch = 6,
                             .write_id = 7,
                             .address = "127.0.0.1:9"};
    RateSlotObject read = {.version = 1};
    uint8_t body[RATE_MESSAGE_MAX];
    size_t bytes = sizeof(body);
    char *json = _RateCodec_SlotToJson(&object);

    draw.uses[63] = (RateUse){8, 9, TRUE};
    g_assert_true(_RateCodec_EncodeDraw(&draw, body, &bytes));
    g_assert_true(_RateCodec_DecodeDraw(body, bytes, &decoded));
    g_assert_cmpint(decoded.uses[63].used_micro, ==, 9);
    for (size_t cut = 0; cut < bytes; cut += 4) {
        g_assert_false(_RateCodec_DecodeDraw(body, cut, &decoded));
    }
    _RateCodec_SlotFromJson(json, &read);
    g_assert_cmpuint(read.holder, ==, object.holder);
    g_assert_cmpstr(read.address, ==, object.address);
    g_free(json);
    _RateCodec_SlotFromJson("{", &read);
    g_assert_cmpuint(read.holder, !=, 0);
}

/* Two hosts in one process, with a store and calls between them. */
typedef struct Pair {
    RateService *services[2];
    RateHost hosts[2];
    char *values[8];
    uint64_t versions[8];
    ClockMs modified[8];
    uint64_t version;
    pthread_mutex_t lock;
} Pair;

static Result
fill_object(Pair *pair, int slot, RateStoreObject *object)
{
    object->version = pair->versions[slot];
    object->modified_ms = pair->modified[slot];
    object->now_ms = Clock_Now();
    object->value = g_strdup(pair->values[slot]);
    return object->version != 0 ? RESULT_OK : RESULT_NOT_FOUND;
}

static Result
pair_get(void *context, const char *name, RateStoreObject *object)
{
    Pair *pair = context;
    Result result;

    pthread_mutex_lock(&pair->lock);
    result = fill_object(pair, name[5] - '0', object);
    pthread_mutex_unlock(&pair->lock);
    return result;
}

static Result
pair_put(void *context, const char *name, uint64_t if_version,
         const char *value, RateStoreObject *object)
{
    Pair *pair = context;
    int slot = name[5] - '0';
    Result result = RESULT_STORE_CONFLICT;

    pthread_mutex_lock(&pair->lock);
    if (pair->versions[slot] == if_version) {
        g_free(pair->values[slot]);
        pair->values[slot] = g_strdup(value);
        pair->versions[slot] = ++pair->version;
        pair->modified[slot] = Clock_Now();
        result = RESULT_OK;
    }
    fill_object(pair, slot, object);
    pthread_mutex_unlock(&pair->lock);
    return result;
}

static Result
pair_call(void *context, uint64_t host, uint64_t incarnation, int kind,
          const uint8_t *body, size_t body_bytes, uint8_t *reply,
          size_t *reply_bytes, int timeout_ms)
{
    Pair *pair = context;
    RateService *service = pair->services[host - 1];

    (void)incarnation;
    (void)timeout_ms;
    return (kind == RATE_KIND_DRAW ? RateService_HandleDraw
                                   : RateService_HandleSettle)(
        service, 3 - host, 1, body, body_bytes, reply, reply_bytes);
}

static uint64_t
pair_view(void *context, void (*each)(void *each_context, const RateHost *),
          void *each_context)
{
    Pair *pair = context;

    for (int i = 0; i < 2 && each != NULL; i++) {
        each(each_context, &pair->hosts[i]);
    }
    return 1;
}

static int
take_tokens(RateService *service, int count)
{
    RateToken token;
    int taken = 0;

    for (int i = 0; i < count; i++) {
        ClockMs deadline = Clock_Now() + 400;

        if (RateService_TakeToken(service, TEAM, &limit, deadline, &token) ==
                RESULT_OK &&
            RateService_UseToken(service, &token) == RESULT_OK) {
            taken++;
        }
    }
    return taken;
}

static gpointer
take_many(gpointer service)
{
    return GINT_TO_POINTER(take_tokens(service, 10));
}

static void
start_pair(Pair *pair)
{
    for (int i = 0; i < 2; i++) {
        pair->hosts[i] = (RateHost){.host = (uint64_t)i + 1, .incarnation = 1};
        g_snprintf(pair->hosts[i].address, RATE_ADDRESS_BYTES, "h:%d", i);
    }
    for (int i = 0; i < 2; i++) {
        pair->services[i] =
            RateService_Create(&(RateService_desc){.self = pair->hosts[i],
                                                   .fleet_slots = 8,
                                                   .grant_life_ms = 200,
                                                   .context = pair,
                                                   .store_get = pair_get,
                                                   .store_put = pair_put,
                                                   .call = pair_call,
                                                   .view = pair_view,
                                                   .lookup = lookup});
    }
    for (int i = 0; i < 2; i++) {
        RateService_Start(pair->services[i]);
    }
}

/* Waits at most 10 s until all slots are held. */
static void
wait_for_leases(Pair *pair)
{
    RateServiceStatus status;
    int held = 0;

    for (int round = 0; round < 200 && held < 8; round++) {
        held = 0;
        g_usleep(50000);
        for (int i = 0; i < 2; i++) {
            RateService_Status(pair->services[i], &status);
            held += status.slots_held;
        }
    }
    g_assert_cmpint(held, ==, 8);
}

static void
stop_pair(Pair *pair)
{
    for (int i = 0; i < 2; i++) {
        g_assert_cmpint(RateService_Stop(pair->services[i], 5000), ==, 0);
    }
    for (int i = 0; i < 8; i++) {
        g_assert_nonnull(
            strstr(pair->values[i], "\"holder\":\"0000000000000000\""));
        g_free(pair->values[i]);
    }
    RateService_Destroy(pair->services[0]);
    RateService_Destroy(pair->services[1]);
}

/* Guards against admissions above the limit by threads of two entries, and
 * against slots that a stopped host still holds. The wait for the leases to
 * open takes real time; the checks do not depend on how long it is. */
static void
test_service(void)
{
    Pair pair = {.version = 0};
    GThread *threads[8];
    ClockMs start = Clock_Now();
    int taken = 0;

    limit = (RateLimit){2, 20};
    start_pair(&pair);
    wait_for_leases(&pair);
    for (int i = 0; i < 8; i++) {
        threads[i] = g_thread_new(NULL, take_many, pair.services[i % 2]);
    }
    for (int i = 0; i < 8; i++) {
        taken += GPOINTER_TO_INT(g_thread_join(threads[i]));
    }
    /* A slot's bucket is empty when the lease starts, so the admissions are
     * limited to the refill since the start. */
    g_assert_cmpint(taken, >, 0);
    g_assert_cmpint(taken, <=, 2 * (Clock_Now() - start) / 1000 + 1);
    stop_pair(&pair);
    limit = (RateLimit){8, 24};
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/rate/share", test_share);
    g_test_add_func("/rate/slots", test_slots);
    g_test_add_func("/rate/holder/outstanding", test_holder_outstanding);
    g_test_add_func("/rate/holder/return", test_holder_return);
    g_test_add_func("/rate/holder/refusals", test_holder_refusals);
    g_test_add_func("/rate/holder/changed_limit", test_holder_changed_limit);
    g_test_add_func("/rate/holder/refill", test_holder_refill);
    g_test_add_func("/rate/holder/eviction", test_holder_eviction);
    g_test_add_func("/rate/wallet/expiry", test_cache_expiry);
    g_test_add_func("/rate/hold/claims", test_lease_claims);
    g_test_add_func("/rate/hold/lost_answer", test_lease_lost_answer);
    g_test_add_func("/rate/codec", test_codec);
    g_test_add_func("/rate/service", test_service);
    return g_test_run();
}
