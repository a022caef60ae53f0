#include "rate/rate_service.h"

#include <pthread.h>
#include <string.h>
#include <time.h>

#include "base/condition.h"
#include "base/counter.h"
#include "rate/rate_service_private.h"

#define DRAW_TIMEOUT_MS 250
#define PLANS_MAX 4
#define CACHE_TICK_MS 50
#define HOLDER_TICK_MS 1000

ClockMs
_RateService_Now(const RateService *service)
{
    return service->desc.now != NULL ? service->desc.now(service->desc.context)
                                     : Clock_Now();
}

RateService *
RateService_Create(const RateService_desc *desc)
{
    RateService *service = g_new0(RateService, 1);
    RateService_desc *d = &service->desc;

    *d = *desc;
    d->fleet_slots = d->fleet_slots > 0 ? d->fleet_slots : RATE_SLOTS_MAX;
    d->regions = d->regions > 0 ? d->regions : 1;
    pthread_mutex_init(&service->lease_lock, NULL);
    pthread_mutex_init(&service->cache_lock, NULL);
    pthread_mutex_init(&service->holder_lock, NULL);
    Condition_Init(&service->answered);
    Condition_Init(&service->settle);
    Condition_Init(&service->draw_wake);
    Condition_Init(&service->lease_wake);
    service->lease =
        RateLease_Create(&(RateLease_desc){.self = d->self,
                                           .fleet_slots = d->fleet_slots,
                                           .regions = d->regions,
                                           .lease_ms = d->lease_ms,
                                           .grant_life_ms = d->grant_life_ms,
                                           .drift_ppm = d->drift_ppm,
                                           .seed = d->seed,
                                           .is_retired = d->is_retired,
                                           .context = d->context});
    service->holder =
        RateHolder_Create(&(RateHolder_desc){.lookup = d->lookup,
                                             .context = d->context,
                                             .fleet_slots = d->fleet_slots,
                                             .regions = d->regions,
                                             .grant_life_ms = d->grant_life_ms,
                                             .drift_ppm = d->drift_ppm});
    service->cache =
        RateCache_Create(&(RateCache_desc){.entry = d->self.host,
                                           .incarnation = d->self.incarnation,
                                           .fleet_slots = d->fleet_slots,
                                           .regions = d->regions});
    service->directory =
        RateDirectory_Create(service->cache, &d->self, d->fleet_slots);
    return service;
}

void
RateService_Destroy(RateService *service)
{
    if (service == NULL) {
        return;
    }
    RateLease_Destroy(service->lease);
    RateHolder_Destroy(service->holder);
    RateDirectory_Destroy(service->directory);
    RateCache_Destroy(service->cache);
    pthread_cond_destroy(&service->answered);
    pthread_cond_destroy(&service->settle);
    pthread_cond_destroy(&service->draw_wake);
    pthread_cond_destroy(&service->lease_wake);
    pthread_mutex_destroy(&service->lease_lock);
    pthread_mutex_destroy(&service->cache_lock);
    pthread_mutex_destroy(&service->holder_lock);
    g_free(service);
}

gboolean
_RateService_IsSelf(const RateService *service, uint64_t host,
                    uint64_t incarnation)
{
    return host == service->desc.self.host &&
           incarnation == service->desc.self.incarnation;
}

/* Adds the holders of the team's slots for which this host is the first host
 * and which it does not hold. */
static void
add_holders(RateService *service, uint64_t team, RateGrantMessage *reply)
{
    uint16_t slots[RATE_SLOTS_MAX];
    RateLimit limit;
    ClockMs in_force;
    uint64_t self = service->desc.self.host;
    int fleet_slots = service->desc.fleet_slots;
    int count;

    if (!service->desc.lookup(service->desc.context, team, &limit,
                              &in_force)) {
        return;
    }
    count = RateShare_Slots(team, RateShare_Make(&limit, fleet_slots).slots,
                            fleet_slots, service->desc.regions, slots);
    pthread_mutex_lock(&service->lease_lock);
    for (int i = 0; i < count && reply->holder_count < RATE_WIRE_SLOTS; i++) {
        RateHostId known = RateLease_Known(service->lease, slots[i]);

        if (RateLease_First(service->lease, slots[i]).host == self &&
            known.host != self) {
            reply->slots[reply->holder_count] = slots[i];
            reply->holders[reply->holder_count++] = known;
        }
    }
    pthread_mutex_unlock(&service->lease_lock);
}

static void
answer_draw(RateService *service, uint64_t sender, uint64_t sender_incarnation,
            const RateDrawMessage *message, RateGrantMessage *reply)
{
    RateDraw draw = {.team = message->team,
                     .entry = sender,
                     .entry_incarnation = sender_incarnation,
                     .serial = message->serial,
                     .need_micro = message->need_micro,
                     .want_micro = message->want_micro};
    ClockMs now = _RateService_Now(service);

    memset(reply, 0, sizeof(*reply));
    pthread_mutex_lock(&service->holder_lock);
    if (message->holder_incarnation == service->desc.self.incarnation) {
        RateHolder_Settle(service->holder, sender, message->uses,
                          message->use_count, now);
    }
    reply->result =
        RateHolder_Draw(service->holder, &draw, now, &reply->grant);
    pthread_mutex_unlock(&service->holder_lock);
    add_holders(service, message->team, reply);
    /* The process may have been paused since the draw was granted. */
    if (reply->result == RESULT_OK &&
        _RateService_Now(service) >= reply->grant.lease_end_ms) {
        reply->result = RESULT_RATE_NOT_HELD;
        memset(&reply->grant, 0, sizeof(reply->grant));
    }
}

Result
RateService_HandleDraw(RateService *service, uint64_t sender,
                       uint64_t sender_incarnation, const uint8_t *body,
                       size_t body_bytes, uint8_t *reply, size_t *reply_bytes)
{
    RateDrawMessage message;
    RateGrantMessage answer;

    if (!_RateCodec_DecodeDraw(body, body_bytes, &message)) {
        return RESULT_MALFORMED;
    }
    answer_draw(service, sender, sender_incarnation, &message, &answer);
    return _RateCodec_EncodeGrant(&answer, reply, reply_bytes)
               ? RESULT_OK
               : RESULT_TOO_LARGE;
}

Result
RateService_HandleSettle(RateService *service, uint64_t sender,
                         uint64_t sender_incarnation, const uint8_t *body,
                         size_t body_bytes, uint8_t *reply,
                         size_t *reply_bytes)
{
    RateSettleMessage message;
    ClockMs now = _RateService_Now(service);

    (void)sender_incarnation;
    (void)reply;
    *reply_bytes = 0;
    if (!_RateCodec_DecodeSettle(body, body_bytes, &message)) {
        return RESULT_MALFORMED;
    }
    if (message.holder_incarnation == service->desc.self.incarnation) {
        pthread_mutex_lock(&service->holder_lock);
        RateHolder_Settle(service->holder, sender, message.uses,
                          message.use_count, now);
        pthread_mutex_unlock(&service->holder_lock);
    }
    pthread_mutex_lock(&service->lease_lock);
    for (int i = 0; i < message.released_count; i++) {
        if (message.released[i] >= 0 &&
            message.released[i] < service->desc.fleet_slots) {
            RateLease_Hint(service->lease, message.released[i], now);
            pthread_cond_signal(&service->lease_wake);
        }
    }
    pthread_mutex_unlock(&service->lease_lock);
    return RESULT_OK;
}

/* Applies the outcome of a draw to the cache and the directory. Called with
 * cache_lock. */
static void
apply_reply(RateService *service, const RatePlan *plan, Result result,
            const RateGrantMessage *reply)
{
    ClockMs now = _RateService_Now(service);

    if (result == RESULT_OK) {
        service->status.draws_answered++;
        result = reply->result;
        for (int i = 0; i < reply->holder_count; i++) {
            RateDirectory_Learn(service->directory, reply->slots[i],
                                reply->holders[i].host,
                                reply->holders[i].incarnation, now);
        }
    }
    else {
        service->status.draws_failed++;
    }
    if (result == RESULT_OK) {
        RateCache_Granted(service->cache, plan, &reply->grant, now);
    }
    else {
        RateCache_Failed(service->cache, plan, result, now);
    }
    if (result == RESULT_RATE_NOT_HELD) {
        uint16_t slots[RATE_SLOTS_MAX];
        RateLimit limit;
        ClockMs in_force;
        int fleet_slots = service->desc.fleet_slots;

        if (service->desc.lookup(service->desc.context, plan->draw.team,
                                 &limit, &in_force)) {
            int count = RateShare_Slots(
                plan->draw.team, RateShare_Make(&limit, fleet_slots).slots,
                fleet_slots, service->desc.regions, slots);

            RateDirectory_NotHeld(service->directory, plan->holder,
                                  plan->holder_incarnation, slots, count, now);
        }
    }
    pthread_cond_broadcast(&service->answered);
}

/* Sends a draw and waits for the reply. Called without a lock. */
static void
run_draw(RateService *service, const DrawJob *job)
{
    RateGrantMessage reply = {.result = RESULT_INTERNAL};
    Result result = RESULT_OK;
    const RatePlan *plan = &job->plan;

    Counter_Add(COUNTER_RATE_DRAWS, 1);
    if (_RateService_IsSelf(service, plan->holder, plan->holder_incarnation)) {
        answer_draw(service, plan->draw.entry, plan->draw.entry_incarnation,
                    &job->message, &reply);
    }
    else {
        uint8_t body[RATE_MESSAGE_MAX];
        uint8_t answer[RATE_MESSAGE_MAX];
        size_t bytes = sizeof(body);
        size_t answer_bytes = sizeof(answer);

        result = RESULT_TOO_LARGE;
        if (_RateCodec_EncodeDraw(&job->message, body, &bytes)) {
            result = service->desc.call(service->desc.context, plan->holder,
                                        plan->holder_incarnation,
                                        RATE_KIND_DRAW, body, bytes, answer,
                                        &answer_bytes, DRAW_TIMEOUT_MS);
        }
        if (result == RESULT_OK &&
            !_RateCodec_DecodeGrant(answer, answer_bytes, &reply)) {
            result = RESULT_MALFORMED;
        }
    }
    pthread_mutex_lock(&service->cache_lock);
    apply_reply(service, plan, result, &reply);
    pthread_mutex_unlock(&service->cache_lock);
}

static void *
run_draws(void *context)
{
    RateService *service = context;

    pthread_mutex_lock(&service->cache_lock);
    while (!service->stop || service->queue_count > 0) {
        DrawJob job;

        if (service->queue_count == 0) {
            pthread_cond_wait(&service->draw_wake, &service->cache_lock);
            continue;
        }
        job = service->queue[service->queue_first];
        service->queue_first = (service->queue_first + 1) % DRAW_QUEUE;
        service->queue_count--;
        pthread_mutex_unlock(&service->cache_lock);
        run_draw(service, &job);
        pthread_mutex_lock(&service->cache_lock);
    }
    pthread_mutex_unlock(&service->cache_lock);
    return NULL;
}

/* Called with cache_lock. Returns FALSE if the draw threads do not run or the
 * queue is full. */
static gboolean
queue_draw(RateService *service, const DrawJob *job)
{
    int end = (service->queue_first + service->queue_count) % DRAW_QUEUE;

    if (!service->started || service->stop ||
        service->queue_count == DRAW_QUEUE) {
        return FALSE;
    }
    service->queue[end] = *job;
    service->queue_count++;
    pthread_cond_signal(&service->draw_wake);
    return TRUE;
}

/* Plans draws and sends them: the first one in this thread, the others in the
 * draw threads, so that a token from three holders takes one round trip.
 * Called with cache_lock, which is released meanwhile. Returns FALSE if no
 * draw was planned. */
static gboolean
send_draws(RateService *service, uint64_t team, int waiting, ClockMs now)
{
    RatePlan plans[PLANS_MAX];
    DrawJob jobs[PLANS_MAX];
    gboolean queued[PLANS_MAX];
    int count =
        RateCache_Plan(service->cache, team, waiting, now, plans, PLANS_MAX);

    for (int i = 0; i < count; i++) {
        RateDrawMessage *message = &jobs[i].message;

        jobs[i].plan = plans[i];
        message->team = plans[i].draw.team;
        message->serial = plans[i].draw.serial;
        message->need_micro = plans[i].draw.need_micro;
        message->want_micro = plans[i].draw.want_micro;
        message->holder_incarnation = plans[i].holder_incarnation;
        message->use_count = RateCache_Settle(
            service->cache, plans[i].holder, plans[i].holder_incarnation,
            message->uses, RATE_WIRE_USES, now);
        service->status.draws_sent++;
    }
    if (count <= 0) {
        return FALSE;
    }
    for (int i = 1; i < count; i++) {
        queued[i] = queue_draw(service, &jobs[i]);
    }
    pthread_mutex_unlock(&service->cache_lock);
    for (int i = 1; i < count; i++) {
        if (!queued[i]) {
            run_draw(service, &jobs[i]);
        }
    }
    run_draw(service, &jobs[0]);
    pthread_mutex_lock(&service->cache_lock);
    return TRUE;
}

/* Waits for a token that is promised in `retry_ms`. Returns FALSE at once if
 * that is too late or too many requests wait already. Called with cache_lock.
 */
static gboolean
wait_for_promise(RateService *service, uint64_t team, int retry_ms,
                 int waiting, ClockMs now, ClockMs wait_deadline)
{
    if (now + retry_ms > wait_deadline || waiting > RATE_WAIT_MAX) {
        return FALSE;
    }
    RateCache_GiveBack(service->cache, team, now);
    (void)Condition_Wait(&service->answered, &service->cache_lock,
                         retry_ms + 1);
    return TRUE;
}

Result
RateService_TakeToken(RateService *service, uint64_t team,
                      const RateLimit *limit, ClockMs deadline,
                      RateToken *token)
{
    ClockMs now = _RateService_Now(service);
    ClockMs wait_deadline = MIN(deadline, now + RATE_WAIT_MS);
    gboolean is_waiting = FALSE;
    int waiting = 0;
    int retry_ms;
    Result result;

    pthread_mutex_lock(&service->cache_lock);
    for (;;) {
        result =
            RateCache_Take(service->cache, team, limit, now, token, &retry_ms);
        if (result == RESULT_OK || result == RESULT_FULL || now >= deadline ||
            service->stop) {
            break;
        }
        waiting =
            RateCache_AddWaiting(service->cache, team, is_waiting ? 0 : 1);
        is_waiting = TRUE;
        if (waiting > RATE_QUEUE_MAX) {
            result = RESULT_RATE_EXCEEDED;
            break;
        }
        if (result != RESULT_NOT_FOUND) {
            if (!wait_for_promise(service, team, retry_ms, waiting, now,
                                  wait_deadline)) {
                break;
            }
        }
        else if (!send_draws(service, team, waiting, now)) {
            (void)Condition_Wait(&service->answered, &service->cache_lock,
                                 MIN(CACHE_TICK_MS, deadline - now));
        }
        now = _RateService_Now(service);
    }
    if (is_waiting) {
        waiting = RateCache_AddWaiting(service->cache, team, -1);
    }
    if (result != RESULT_OK) {
        if (waiting == 0) {
            RateCache_GiveBack(service->cache, team, now);
        }
        result =
            result == RESULT_RATE_EXCEEDED ? result : RESULT_RATE_UNREACHABLE;
        service->status.refused_exceeded += result == RESULT_RATE_EXCEEDED;
        service->status.refused_unreachable +=
            result == RESULT_RATE_UNREACHABLE;
    }
    pthread_mutex_unlock(&service->cache_lock);
    return result;
}

Result
RateService_UseToken(RateService *service, const RateToken *token)
{
    Result result;
    uint64_t holder;
    uint64_t incarnation;
    ClockMs now;

    pthread_mutex_lock(&service->cache_lock);
    /* The clock is read under the lock, because the thread may have waited for
     * the lock. */
    now = _RateService_Now(service);
    result = RateCache_Use(service->cache, token, now);
    if (RateCache_NextSettlement(service->cache, now, &holder, &incarnation)) {
        pthread_cond_signal(&service->settle);
    }
    pthread_mutex_unlock(&service->cache_lock);
    return result;
}

void
RateService_ReturnToken(RateService *service, const RateToken *token)
{
    pthread_mutex_lock(&service->cache_lock);
    RateCache_Return(service->cache, token, _RateService_Now(service));
    pthread_mutex_unlock(&service->cache_lock);
}

void
_RateService_SendSettlement(RateService *service, uint64_t holder,
                            uint64_t incarnation,
                            const RateSettleMessage *message, int timeout_ms)
{
    uint8_t body[RATE_MESSAGE_MAX];
    uint8_t reply[RATE_MESSAGE_MAX];
    size_t bytes = sizeof(body);
    size_t reply_bytes = sizeof(reply);

    if (_RateCodec_EncodeSettle(message, body, &bytes)) {
        service->desc.call(service->desc.context, holder, incarnation,
                           RATE_KIND_SETTLE, body, bytes, reply, &reply_bytes,
                           timeout_ms);
    }
}

int
RateService_TickCache(RateService *service)
{
    ClockMs now = _RateService_Now(service);
    RateSettleMessage message;
    uint64_t holder;
    uint64_t incarnation;

    pthread_mutex_lock(&service->cache_lock);
    RateCache_Tick(service->cache, now);
    RateDirectory_Tick(service->directory, now);
    while (
        RateCache_NextSettlement(service->cache, now, &holder, &incarnation)) {
        message.holder_incarnation = incarnation;
        message.released_count = 0;
        message.use_count =
            RateCache_Settle(service->cache, holder, incarnation, message.uses,
                             RATE_WIRE_USES, now);
        if (message.use_count == 0) {
            continue;
        }
        service->status.settles_sent++;
        pthread_mutex_unlock(&service->cache_lock);
        if (_RateService_IsSelf(service, holder, incarnation)) {
            pthread_mutex_lock(&service->holder_lock);
            RateHolder_Settle(service->holder, holder, message.uses,
                              message.use_count, now);
            pthread_mutex_unlock(&service->holder_lock);
        }
        else {
            _RateService_SendSettlement(service, holder, incarnation, &message,
                                        0);
        }
        pthread_mutex_lock(&service->cache_lock);
    }
    pthread_mutex_unlock(&service->cache_lock);
    if (now - service->holder_tick_ms >= HOLDER_TICK_MS) {
        service->holder_tick_ms = now;
        pthread_mutex_lock(&service->holder_lock);
        RateHolder_Tick(service->holder, now);
        pthread_mutex_unlock(&service->holder_lock);
    }
    return CACHE_TICK_MS;
}

static void *
run_cache(void *context)
{
    RateService *service = context;

    for (;;) {
        int wait_ms = RateService_TickCache(service);

        pthread_mutex_lock(&service->cache_lock);
        if (!service->stop) {
            (void)Condition_Wait(&service->settle, &service->cache_lock,
                                 wait_ms);
        }
        if (service->stop) {
            pthread_mutex_unlock(&service->cache_lock);
            return NULL;
        }
        pthread_mutex_unlock(&service->cache_lock);
    }
}

void
RateService_Start(RateService *service)
{
    service->started = TRUE;
    for (int i = 0; i < DRAW_THREADS; i++) {
        pthread_create(&service->draw_threads[i], NULL, run_draws, service);
    }
    pthread_create(&service->lease_thread, NULL, _RateService_RunLeases,
                   service);
    pthread_create(&service->cache_thread, NULL, run_cache, service);
}

int
RateService_Stop(RateService *service, int timeout_ms)
{
    ClockMs until = _RateService_Now(service) + timeout_ms;
    int left;

    pthread_mutex_lock(&service->lease_lock);
    pthread_mutex_lock(&service->cache_lock);
    service->stop = TRUE;
    pthread_cond_broadcast(&service->answered);
    pthread_cond_broadcast(&service->settle);
    pthread_cond_broadcast(&service->draw_wake);
    pthread_cond_broadcast(&service->lease_wake);
    pthread_mutex_unlock(&service->cache_lock);
    pthread_mutex_unlock(&service->lease_lock);
    if (service->started) {
        pthread_join(service->lease_thread, NULL);
        pthread_join(service->cache_thread, NULL);
        for (int i = 0; i < DRAW_THREADS; i++) {
            pthread_join(service->draw_threads[i], NULL);
        }
        service->started = FALSE;
    }
    RateService_TickCache(service);
    _RateService_ReleaseAll(service);
    for (;;) {
        int wait_ms = RateService_TickLeases(service);

        pthread_mutex_lock(&service->lease_lock);
        left = RateLease_Count(service->lease);
        if (left > 0 && _RateService_Now(service) < until) {
            (void)Condition_Wait(&service->lease_wake, &service->lease_lock,
                                 CLAMP(wait_ms, 1, 100));
        }
        pthread_mutex_unlock(&service->lease_lock);
        if (left == 0 || _RateService_Now(service) >= until) {
            return left;
        }
    }
}

gboolean
RateService_HoldsSlot(RateService *service, int slot, ClockMs *start_ms)
{
    RateSlotStatus slots[RATE_SLOTS_MAX];
    ClockMs now = _RateService_Now(service);
    gboolean found = FALSE;
    int count;

    pthread_mutex_lock(&service->holder_lock);
    count = RateHolder_Slots(service->holder, slots, RATE_SLOTS_MAX);
    pthread_mutex_unlock(&service->holder_lock);
    for (int i = 0; i < count; i++) {
        if (slots[i].slot == slot && slots[i].end_ms > now) {
            *start_ms = slots[i].start_ms;
            found = TRUE;
        }
    }
    return found;
}

RateHostId
RateService_SlotHolder(RateService *service, int slot)
{
    RateHostId holder;

    pthread_mutex_lock(&service->cache_lock);
    holder = RateDirectory_Get(service->directory, slot);
    pthread_mutex_unlock(&service->cache_lock);
    return holder;
}

void
RateService_Status(RateService *service, RateServiceStatus *status)
{
    pthread_mutex_lock(&service->lease_lock);
    pthread_mutex_lock(&service->cache_lock);
    *status = service->status;
    for (int i = 0; i < service->desc.fleet_slots; i++) {
        status->holders[i] = RateDirectory_Get(service->directory, i);
    }
    status->memory_bytes = RateCache_MemoryBytes(service->cache);
    pthread_mutex_unlock(&service->cache_lock);
    pthread_mutex_unlock(&service->lease_lock);
    pthread_mutex_lock(&service->holder_lock);
    status->slots_held =
        RateHolder_Slots(service->holder, status->slots, RATE_SLOTS_MAX);
    status->memory_bytes += RateHolder_MemoryBytes(service->holder);
    pthread_mutex_unlock(&service->holder_lock);
}

int
RateService_Buckets(RateService *service, RateBucketStatus *buckets, int max)
{
    int count;

    pthread_mutex_lock(&service->holder_lock);
    count = RateHolder_Buckets(service->holder, buckets, max);
    pthread_mutex_unlock(&service->holder_lock);
    return count;
}
