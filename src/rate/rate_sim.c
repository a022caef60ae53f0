#include "rate/rate_sim.h"

#include <string.h>

#include "rate/rate_sim_private.h"

static gboolean
before(const Event *a, const Event *b)
{
    return a->at_us < b->at_us ||
           (a->at_us == b->at_us && a->order < b->order);
}

void
_RateSim_Push(RateSim *sim, Event *event, int64_t at_us)
{
    int i = sim->heap_count++;

    event->at_us = MAX(at_us, sim->now_us);
    event->order = sim->order++;
    if (sim->heap_count > sim->heap_capacity) {
        sim->heap_capacity = MAX(1024, 2 * sim->heap_capacity);
        sim->heap = g_renew(Event *, sim->heap, sim->heap_capacity);
    }
    while (i > 0 && before(event, sim->heap[(i - 1) / 2])) {
        sim->heap[i] = sim->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    sim->heap[i] = event;
}

static Event *
pop(RateSim *sim)
{
    Event *top = sim->heap[0];
    Event *last = sim->heap[--sim->heap_count];
    int i = 0;

    while (2 * i + 1 < sim->heap_count) {
        int child = 2 * i + 1;

        if (child + 1 < sim->heap_count &&
            before(sim->heap[child + 1], sim->heap[child])) {
            child++;
        }
        if (!before(sim->heap[child], last)) {
            break;
        }
        sim->heap[i] = sim->heap[child];
        i = child;
    }
    sim->heap[i] = last;
    return top;
}

Event *
_RateSim_NewEvent(const RateSim *sim, EventKind kind, int host)
{
    Event *event = g_new0(Event, 1);

    event->kind = kind;
    event->host = host;
    if (host >= 0) {
        event->incarnation = sim->hosts[host].record.incarnation;
    }
    return event;
}

ClockMs
_RateSim_LocalMs(const RateSim *sim, int host)
{
    const Host *h = &sim->hosts[host];
    int64_t us = sim->now_us + sim->now_us * h->drift_ppm / 1000000;

    return (h->clock_offset_us + us) / 1000;
}

/* Converts true time to the time by the host's clock. */
static ClockMs
to_local(const RateSim *sim, int host, int64_t true_us)
{
    const Host *h = &sim->hosts[host];

    return (h->clock_offset_us + true_us + true_us * h->drift_ppm / 1000000) /
           1000;
}

int64_t
_RateSim_Latency(RateSim *sim, int from, int to)
{
    const RateHost *a = &sim->hosts[from].record;
    const RateHost *b = &sim->hosts[to].record;
    int64_t base = 100;

    if (from == to) {
        return 1;
    }
    if (a->region != b->region) {
        base = 30000;
    }
    else if (a->data_centre != b->data_centre) {
        base = 1000;
    }
    return base + (int64_t)Rng_Exponential(&sim->rng, (double)base / 5.0);
}

/* The limit in force at a host. A host puts a ticket in force 0 to 5.9 s after
 * the ticket was accepted. */
const Change *
_RateSim_LimitAt(const RateSim *sim, int host, const TeamState *team)
{
    int i = team->change_count - 1;

    while (i > 0) {
        int64_t delay = (int64_t)(Rng_Mix((uint64_t)host, (uint64_t)i) % 5900);

        if (sim->now_us >= team->changes[i].at_us + delay * 1000) {
            break;
        }
        i--;
    }
    return &team->changes[i];
}

gboolean
_RateSim_Lookup(void *context, uint64_t id, RateLimit *limit,
                ClockMs *in_force_ms)
{
    const Host *host = context;
    const RateSim *sim = host->self.sim;

    for (int i = 0; i < sim->team_count; i++) {
        const TeamState *team = &sim->teams[i];
        const Change *change;
        int64_t since = host->started_us;

        if (team->results.id != id) {
            continue;
        }
        change = _RateSim_LimitAt(sim, host->self.index, team);
        *limit = change->limit;
        if (change != team->changes) {
            int n = (int)(change - team->changes);
            int64_t delay =
                (int64_t)(Rng_Mix((uint64_t)host->self.index, (uint64_t)n) %
                          5900);

            since = MAX(since, change->at_us + delay * 1000);
        }
        *in_force_ms = to_local(sim, host->self.index, since);
        return TRUE;
    }
    return FALSE;
}

static gboolean
is_retired(void *context, uint64_t id, uint64_t incarnation)
{
    const Host *host = context;
    const RateSim *sim = host->self.sim;

    for (int i = 0; i < sim->host_count; i++) {
        const Host *other = &sim->hosts[i];

        if (other->retired && other->record.host == id &&
            other->record.incarnation >= incarnation) {
            return TRUE;
        }
    }
    return FALSE;
}

void
_RateSim_CloseHost(Host *host)
{
    RateLease_Destroy(host->lease);
    RateHolder_Destroy(host->holder);
    RateCache_Destroy(host->cache);
    RateDirectory_Destroy(host->directory);
    host->lease = NULL;
    host->holder = NULL;
    host->cache = NULL;
    host->directory = NULL;
    for (int i = 0; i < RATE_SIM_TEAMS; i++) {
        while (host->waiting[i] != NULL) {
            Request *next = host->waiting[i]->next;

            g_free(host->waiting[i]);
            host->waiting[i] = next;
        }
    }
}

void
_RateSim_SendView(RateSim *sim, int64_t delay_us)
{
    _RateSim_Push(sim, _RateSim_NewEvent(sim, EV_VIEW, NO_HOST),
                  sim->now_us + delay_us);
}

void
_RateSim_ApplyView(RateSim *sim)
{
    RateHost live[RATE_SIM_HOSTS];
    int count = 0;

    for (int i = 0; i < sim->host_count; i++) {
        if (sim->hosts[i].up && !sim->hosts[i].stopping) {
            live[count++] = sim->hosts[i].record;
        }
    }
    for (int i = 0; i < sim->host_count; i++) {
        Host *host = &sim->hosts[i];

        if (host->up) {
            RateLease_SetView(host->lease, live, count,
                              _RateSim_LocalMs(sim, i));
            RateDirectory_SetView(host->directory, host->lease, live, count);
        }
    }
}

static void
open_host(RateSim *sim, int index)
{
    Host *host = &sim->hosts[index];
    const RateSim_desc *d = &sim->desc;

    host->up = TRUE;
    host->stopping = FALSE;
    host->started_us = sim->now_us;
    host->paused_until_us = 0;
    host->store_call_pending = FALSE;
    memset(host->retry_us, 0, sizeof(host->retry_us));
    host->self.sim = sim;
    host->self.index = index;
    host->lease =
        RateLease_Create(&(RateLease_desc){.self = host->record,
                                           .fleet_slots = d->fleet_slots,
                                           .regions = d->regions,
                                           .lease_ms = d->lease_ms,
                                           .seed = d->seed + (uint64_t)index,
                                           .is_retired = is_retired,
                                           .context = host});
    host->holder =
        RateHolder_Create(&(RateHolder_desc){.lookup = _RateSim_Lookup,
                                             .context = host,
                                             .fleet_slots = d->fleet_slots,
                                             .regions = d->regions,
                                             .max_buckets = 128,
                                             .max_grants = 16384,
                                             .max_entries = 512});
    host->cache = RateCache_Create(
        &(RateCache_desc){.entry = host->record.host,
                          .incarnation = host->record.incarnation,
                          .fleet_slots = d->fleet_slots,
                          .regions = d->regions,
                          .max_teams = 256,
                          .max_grants = 4096});
    host->directory =
        RateDirectory_Create(host->cache, &host->record, d->fleet_slots);
    _RateSim_Push(sim, _RateSim_NewEvent(sim, EV_CACHE, index),
                  sim->now_us + (int64_t)Rng_Below(&sim->rng, 50000));
    _RateSim_Push(sim, _RateSim_NewEvent(sim, EV_LEASE, index),
                  sim->now_us + (int64_t)Rng_Below(&sim->rng, LEASE_TICK_US));
    _RateSim_SendView(sim, 300000);
}

void
_RateSim_FreeEvent(Event *event)
{
    if (event->pending != NULL && --event->pending->refs == 0) {
        g_free(event->pending);
    }
    g_free(event->reply);
    g_free(event->request);
    g_free(event);
}

RateSim *
RateSim_Create(const RateSim_desc *desc)
{
    RateSim *sim = g_new0(RateSim, 1);

    sim->desc = *desc;
    sim->host_count = desc->hosts;
    Rng_Seed(&sim->rng, desc->seed);
    for (int i = 0; i < desc->hosts; i++) {
        Host *host = &sim->hosts[i];
        RateHost *record = &host->record;

        record->host = Rng_Mix(UINT64_C(77), (uint64_t)i);
        record->incarnation = 1000;
        record->region = i % desc->regions;
        record->data_centre = i / desc->regions % MAX(desc->data_centres, 1);
        g_snprintf(record->address, sizeof(record->address), "10.0.0.%d:1", i);
        host->clock_offset_us =
            SECOND_US + (int64_t)Rng_Below(&sim->rng, 1000) * SECOND_US;
        host->drift_ppm = (i % 2 == 0 ? 1 : -1) * desc->drift_ppm;
        open_host(sim, i);
    }
    _RateSim_ApplyView(sim);
    return sim;
}

void
RateSim_Destroy(RateSim *sim)
{
    for (int i = 0; i < sim->host_count; i++) {
        _RateSim_CloseHost(&sim->hosts[i]);
    }
    for (int i = 0; i < sim->heap_count; i++) {
        _RateSim_FreeEvent(sim->heap[i]);
    }
    g_free(sim->heap);
    g_free(sim);
}

int
RateSim_AddTeam(RateSim *sim, const RateSimTeam_desc *desc)
{
    int index = sim->team_count++;
    TeamState *team = &sim->teams[index];
    int64_t full = desc->limit.burst * RATE_MICRO;

    team->results.desc = *desc;
    team->results.id = Rng_Mix(UINT64_C(99), (uint64_t)index);
    team->changes[0].limit = desc->limit;
    team->change_count = 1;
    team->ideal.micro = full;
    team->check.micro = full;
    team->home.micro = full;
    team->home_host = (int)(team->results.id % (uint64_t)sim->host_count);
    for (int i = 0; i < sim->host_count; i++) {
        team->shares[i].micro = full / sim->host_count;
    }
    return index;
}

static void
apply_change(RateSim *sim, int index, const RateLeaseEvent *change)
{
    Host *host = &sim->hosts[index];
    ClockMs now = _RateSim_LocalMs(sim, index);

    switch (change->change) {
    case RATE_LEASE_OPEN:
        RateHolder_OpenSlot(host->holder, change->slot, change->epoch,
                            change->start_ms, change->end_ms, now);
        RateDirectory_Learn(host->directory, change->slot, host->record.host,
                            host->record.incarnation, now);
        break;
    case RATE_LEASE_EXTEND:
        RateHolder_ExtendSlot(host->holder, change->slot, change->epoch,
                              change->end_ms, now);
        break;
    case RATE_LEASE_CLOSE:
        RateHolder_CloseSlot(host->holder, change->slot, now);
        break;
    case RATE_LEASE_NONE:
        break;
    }
}

void
_RateSim_OnLease(RateSim *sim, int index)
{
    Host *host = &sim->hosts[index];
    RateLeaseAction action;
    int wait_ms;
    Event *event;

    if (host->store_call_pending ||
        !RateLease_Next(host->lease, _RateSim_LocalMs(sim, index), &action,
                        &wait_ms)) {
        return;
    }
    host->store_call_pending = TRUE;
    event = _RateSim_NewEvent(sim, EV_STORE, index);
    event->action = action;
    event->sent_ms = _RateSim_LocalMs(sim, index);
    _RateSim_Push(sim, event,
                  sim->now_us + STORE_US / 2 +
                      (int64_t)Rng_Exponential(&sim->rng, STORE_US));
}

static void
apply_write(RateSim *sim, Event *event)
{
    StoreObject *stored = &sim->store[event->action.slot];

    sim->cost.store_writes++;
    sim->writes_in_second++;
    sim->cost.max_writes_in_second =
        MAX(sim->cost.max_writes_in_second, sim->writes_in_second);
    if (stored->object.version != event->action.object.version) {
        event->result = RESULT_STORE_CONFLICT;
        return;
    }
    stored->object = event->action.object;
    stored->object.version = ++sim->store_version;
    stored->modified_us = sim->now_us;
    event->result = RESULT_OK;
}

/* A call reaches the store even if its sender has stopped since. */
static void
on_store(RateSim *sim, Event *event)
{
    const StoreObject *stored = &sim->store[event->action.slot];
    int64_t delay = STORE_US;

    event->kind = EV_STORE_DONE;
    if (sim->store_down) {
        event->result = RESULT_STORE_UNAVAILABLE;
        _RateSim_Push(sim, event, sim->now_us + SECOND_US / 2);
        return;
    }
    if (event->action.call == RATE_LEASE_READ) {
        sim->cost.store_reads++;
        event->result =
            stored->object.version != 0 ? RESULT_OK : RESULT_NOT_FOUND;
    }
    else {
        apply_write(sim, event);
    }
    event->object = stored->object;
    event->object.age_ms = (sim->now_us - stored->modified_us) / 1000;
    event->has_object = stored->object.version != 0;
    if (Rng_Unit(&sim->rng) < sim->desc.store_loss) {
        event->result = RESULT_STORE_UNCERTAIN;
        event->has_object = FALSE;
        delay = SECOND_US;
    }
    _RateSim_Push(sim, event, sim->now_us + delay);
}

static void
on_store_done(RateSim *sim, Event *event)
{
    Host *host = &sim->hosts[event->host];
    RateLeaseEvent change;
    int slot = event->action.slot;

    host->store_call_pending = FALSE;
    change =
        RateLease_Done(host->lease, &event->action, event->result,
                       event->has_object ? &event->object : NULL,
                       event->sent_ms, _RateSim_LocalMs(sim, event->host));
    apply_change(sim, event->host, &change);
    if (event->action.call == RATE_LEASE_RELEASE &&
        event->result == RESULT_OK) {
        int next =
            _RateSim_HostIndex(sim, RateLease_First(host->lease, slot).host);

        if (next >= 0 && sim->hosts[next].up) {
            Event *hint = _RateSim_NewEvent(sim, EV_HINT, next);

            hint->number = slot;
            _RateSim_Push(sim, hint,
                          sim->now_us +
                              _RateSim_Latency(sim, event->host, next));
        }
    }
    _RateSim_OnLease(sim, event->host);
}

void
_RateSim_Schedule(RateSim *sim, EventKind kind, int index, int64_t delay_us)
{
    _RateSim_Push(sim, _RateSim_NewEvent(sim, kind, index),
                  sim->now_us + delay_us);
}

void
_RateSim_StartHost(RateSim *sim, int index)
{
    Host *host = &sim->hosts[index];

    if (host->up) {
        _RateSim_CloseHost(host);
    }
    host->up = FALSE;
    host->record.incarnation += 1000;
    open_host(sim, index);
}

static void
on_timer(RateSim *sim, Event *event)
{
    Host *host = &sim->hosts[event->host];

    if (event->kind == EV_CACHE) {
        ClockMs now = _RateSim_LocalMs(sim, event->host);

        RateCache_Tick(host->cache, now);
        RateHolder_Tick(host->holder, now);
        RateDirectory_Tick(host->directory, now);
        _RateSim_SendSettlements(sim, event->host);
        _RateSim_Schedule(sim, EV_CACHE, event->host, CACHE_TICK_US);
    }
    else {
        _RateSim_OnLease(sim, event->host);
        _RateSim_Schedule(sim, EV_LEASE, event->host, LEASE_TICK_US);
    }
}

static void
on_host_event(RateSim *sim, Event *event)
{
    int index = event->host;

    switch (event->kind) {
    case EV_DRAW:
        _RateSim_OnDraw(sim, event);
        break;
    case EV_REPLY:
        _RateSim_OnReply(sim, event);
        break;
    case EV_RESEND:
        if (!event->pending->done) {
            _RateSim_SendDraw(sim, event->pending);
        }
        break;
    case EV_TIMEOUT:
        _RateSim_OnTimeout(sim, event);
        break;
    case EV_SETTLE:
        RateHolder_Settle(sim->hosts[event->host].holder, event->sender,
                          event->uses, event->use_count,
                          _RateSim_LocalMs(sim, event->host));
        break;
    case EV_USE:
        _RateSim_OnUse(sim, event);
        break;
    case EV_RETRY:
        sim->hosts[event->host].retry_us[event->number] = 0;
        _RateSim_ServeWaiting(sim, event->host, event->number);
        break;
    case EV_HINT:
        RateLease_Hint(sim->hosts[event->host].lease, event->number,
                       _RateSim_LocalMs(sim, event->host));
        _RateSim_OnLease(sim, event->host);
        break;
    default:
        on_timer(sim, event);
        break;
    }
    _RateSim_SendSettlements(sim, index);
}

/* Returns FALSE if the event was put back into the queue. */
static gboolean
dispatch(RateSim *sim, Event *event)
{
    const Host *host = event->host >= 0 ? &sim->hosts[event->host] : NULL;

    switch (event->kind) {
    case EV_ARRIVAL:
        _RateSim_OnArrival(sim, event);
        return FALSE;
    case EV_STORE:
        on_store(sim, event);
        return FALSE;
    case EV_VIEW:
        _RateSim_ApplyView(sim);
        return TRUE;
    case EV_START:
        _RateSim_StartHost(sim, event->host);
        return TRUE;
    case EV_SECOND:
        sim->writes_in_second = 0;
        if (sim->desc.script != NULL) {
            sim->desc.script(sim->desc.context, sim, event->number);
        }
        event->number++;
        _RateSim_Push(sim, event, sim->now_us + SECOND_US);
        return FALSE;
    default:
        break;
    }
    g_assert(host != NULL);
    if (!host->up || host->record.incarnation != event->incarnation) {
        return TRUE;
    }
    if (host->paused_until_us > sim->now_us) {
        _RateSim_Push(sim, event, host->paused_until_us);
        return FALSE;
    }
    if (event->kind == EV_STORE_DONE) {
        on_store_done(sim, event);
    }
    else {
        on_host_event(sim, event);
    }
    return TRUE;
}

void
RateSim_Run(RateSim *sim)
{
    int64_t end_us = (int64_t)sim->desc.seconds * SECOND_US;

    /* Traffic starts when the slots are open: claims take up to 3 s, and
     * buckets start to fill 6 s after the limits are in force. */
    for (int i = 0; i < sim->team_count; i++) {
        Event *event = _RateSim_NewEvent(sim, EV_ARRIVAL, NO_HOST);

        event->number = i;
        _RateSim_Push(sim, event, START_US);
    }
    _RateSim_Push(sim, _RateSim_NewEvent(sim, EV_SECOND, NO_HOST), SECOND_US);
    while (sim->heap_count > 0 && sim->heap[0]->at_us < end_us) {
        Event *event = pop(sim);

        sim->now_us = event->at_us;
        if (dispatch(sim, event)) {
            _RateSim_FreeEvent(event);
        }
    }
}
