#include "rate/rate_sim.h"

#include <string.h>

#include "rate/rate_sim_private.h"

static gboolean
before(const Event *a, const Event *b)
{
    return a->at_us < b->at_us ||
           (a->at_us == b->at_us && a->order < b->order);
}

static void
push(RateSim *sim, Event *event, int64_t at_us)
{
    int i = sim->heap_count++;

    event->at_us = MAX(at_us, sim->now_us);
    event->order = sim->order++;
    if (sim->heap_count > sim->heap_room) {
        sim->heap_room = MAX(1024, 2 * sim->heap_room);
        sim->heap = g_renew(Event *, sim->heap, sim->heap_room);
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

static Event *
new_event(const RateSim *sim, EventKind kind, int host)
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

/* True time as a reading of the host's clock. */
static ClockMs
to_local(const RateSim *sim, int host, int64_t true_us)
{
    const Host *h = &sim->hosts[host];

    return (h->clock_offset_us + true_us + true_us * h->drift_ppm / 1000000) /
           1000;
}

static int64_t
latency(RateSim *sim, int from, int to)
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

/* The limit at a host, which puts a ticket in force 0 to 5.9 s after it was
 * accepted. */
static const Change *
limit_at(const RateSim *sim, int host, const TeamState *team)
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

static gboolean
lookup(void *context, uint64_t id, RateLimit *limit, ClockMs *in_force_ms)
{
    const Host *host = context;
    const RateSim *sim = host->self.sim;

    for (int i = 0; i < sim->team_count; i++) {
        const TeamState *team = &sim->teams[i];
        const Change *change;
        int64_t since = host->started_us;

        if (team->out.id != id) {
            continue;
        }
        change = limit_at(sim, host->self.index, team);
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
    RateHold_Destroy(host->hold);
    RateHolder_Destroy(host->holder);
    RateWallet_Destroy(host->wallet);
    RateDirectory_Destroy(host->directory);
    host->hold = NULL;
    host->holder = NULL;
    host->wallet = NULL;
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
    push(sim, new_event(sim, EV_VIEW, NO_HOST), sim->now_us + delay_us);
}

void
_RateSim_ShowView(RateSim *sim)
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
            RateHold_SetView(host->hold, live, count,
                             _RateSim_LocalMs(sim, i));
            RateDirectory_SetView(host->directory, host->hold, live, count);
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
    host->at_store = FALSE;
    memset(host->retry_us, 0, sizeof(host->retry_us));
    host->self.sim = sim;
    host->self.index = index;
    host->hold =
        RateHold_Create(&(RateHold_desc){.self = host->record,
                                         .fleet_slots = d->fleet_slots,
                                         .regions = d->regions,
                                         .hold_ms = d->hold_ms,
                                         .seed = d->seed + (uint64_t)index,
                                         .is_retired = is_retired,
                                         .context = host});
    host->holder =
        RateHolder_Create(&(RateHolder_desc){.lookup = lookup,
                                             .context = host,
                                             .fleet_slots = d->fleet_slots,
                                             .regions = d->regions,
                                             .max_buckets = 128,
                                             .max_grants = 16384,
                                             .max_entries = 512});
    host->wallet = RateWallet_Create(
        &(RateWallet_desc){.entry = host->record.host,
                           .incarnation = host->record.incarnation,
                           .fleet_slots = d->fleet_slots,
                           .regions = d->regions,
                           .max_teams = 256,
                           .max_grants = 4096});
    host->directory =
        RateDirectory_Create(host->wallet, &host->record, d->fleet_slots);
    push(sim, new_event(sim, EV_WALLET, index),
         sim->now_us + (int64_t)Rng_Below(&sim->rng, 50000));
    push(sim, new_event(sim, EV_HOLD, index),
         sim->now_us + (int64_t)Rng_Below(&sim->rng, HOLD_US));
    _RateSim_SendView(sim, 300000);
}

static void
free_event(Event *event)
{
    if (event->flight != NULL && --event->flight->refs == 0) {
        g_free(event->flight);
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
    _RateSim_ShowView(sim);
    return sim;
}

void
RateSim_Destroy(RateSim *sim)
{
    for (int i = 0; i < sim->host_count; i++) {
        _RateSim_CloseHost(&sim->hosts[i]);
    }
    for (int i = 0; i < sim->heap_count; i++) {
        free_event(sim->heap[i]);
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

    team->out.desc = *desc;
    team->out.id = Rng_Mix(UINT64_C(99), (uint64_t)index);
    team->changes[0].limit = desc->limit;
    team->change_count = 1;
    team->ideal.micro = full;
    team->check.micro = full;
    team->home.micro = full;
    team->home_host = (int)(team->out.id % (uint64_t)sim->host_count);
    for (int i = 0; i < sim->host_count; i++) {
        team->shares[i].micro = full / sim->host_count;
    }
    return index;
}

static void
finish(RateSim *sim, Request *request, gboolean admitted)
{
    TeamState *team = &sim->teams[request->team];

    _RateSim_Count(&team->out, RATE_SIM_SLOTS, admitted, request->ideal);
    if (admitted) {
        sim->cost.wait_us += sim->now_us - request->arrived_us;
        _RateSim_CheckAdmission(sim, team);
    }
    g_free(request);
}


static void
add_places(const RateSim *sim, int index, uint64_t id, Reply *reply)
{
    const Host *host = &sim->hosts[index];
    uint16_t slots[RATE_SLOTS_MAX];
    RateLimit limit;
    ClockMs in_force;
    int count;

    if (!lookup((void *)host, id, &limit, &in_force)) {
        return;
    }
    count = RateShare_Slots(
        id, RateShare_Make(&limit, sim->desc.fleet_slots).slots,
        sim->desc.fleet_slots, sim->desc.regions, slots);
    for (int i = 0; i < count && reply->places < PLACES; i++) {
        RateHoldPlace known = RateHold_Known(host->hold, slots[i]);

        if (RateHold_First(host->hold, slots[i]).host == host->record.host &&
            known.host != host->record.host) {
            reply->slot[reply->places] = slots[i];
            reply->place[reply->places++] = known;
        }
    }
}

static gboolean
is_lost(RateSim *sim, int from, int to)
{
    return from != to &&
           (sim->cut[from][to] || Rng_Unit(&sim->rng) < sim->desc.loss);
}

static void
post_draw(RateSim *sim, Flight *flight)
{
    int copies = 1 + (Rng_Unit(&sim->rng) < sim->desc.repeat);

    for (int copy = 0; copy < copies; copy++) {
        Event *event;
        int64_t late = copy * (int64_t)Rng_Below(&sim->rng, 2 * SECOND_US);

        if (is_lost(sim, flight->from, flight->to)) {
            continue;
        }
        event = new_event(sim, EV_DRAW, flight->to);
        event->incarnation = flight->plan.holder_incarnation;
        event->flight = flight;
        flight->refs++;
        push(sim, event,
             sim->now_us + late + latency(sim, flight->from, flight->to));
    }
}

int
_RateSim_HostIndex(const RateSim *sim, uint64_t id)
{
    for (int i = 0; i < sim->host_count; i++) {
        if (sim->hosts[i].record.host == id) {
            return i;
        }
    }
    return NO_HOST;
}

static int
waiting_count(const Host *host, int team)
{
    int count = 0;

    for (const Request *r = host->waiting[team]; r != NULL; r = r->next) {
        count++;
    }
    return count;
}

static void
plan_draws(RateSim *sim, int index, int team)
{
    Host *host = &sim->hosts[index];
    RatePlan plans[4];
    int count;

    count = RateWallet_Plan(host->wallet, sim->teams[team].out.id,
                            waiting_count(host, team),
                            _RateSim_LocalMs(sim, index), plans, 4);
    for (int i = 0; i < count; i++) {
        Flight *flight;
        Event *event;
        int to = _RateSim_HostIndex(sim, plans[i].holder);

        flight = g_new0(Flight, 1);
        flight->plan = plans[i];
        flight->team = team;
        flight->from = index;
        flight->to = to >= 0 ? to : index;
        flight->use_count = RateWallet_Settle(
            host->wallet, plans[i].holder, plans[i].holder_incarnation,
            flight->uses, USES, _RateSim_LocalMs(sim, index));
        sim->cost.draws++;
        event = new_event(sim, EV_TIMEOUT, index);
        event->flight = flight;
        flight->refs++;
        push(sim, event, sim->now_us + TIMEOUT_US);
        event = new_event(sim, EV_RESEND, index);
        event->flight = flight;
        flight->refs++;
        push(sim, event, sim->now_us + RESEND_US);
        post_draw(sim, flight);
    }
}

static void
append(Host *host, Request *request)
{
    Request **link = &host->waiting[request->team];

    while (*link != NULL) {
        link = &(*link)->next;
    }
    request->next = NULL;
    *link = request;
}

/* Tries to take a token for the request; it waits, is refused, or goes on. */
static void
serve(RateSim *sim, int index, Request *request)
{
    Host *host = &sim->hosts[index];
    TeamState *team = &sim->teams[request->team];
    ClockMs now = _RateSim_LocalMs(sim, index);
    Event *event;
    RateToken token;
    Result result;
    int retry_ms;

    result = RateWallet_Take(host->wallet, team->out.id,
                             &limit_at(sim, index, team)->limit, now, &token,
                             &retry_ms);
    if (result == RESULT_OK) {
        int64_t delay = 50;

        if (Rng_Below(&sim->rng, 100) < (uint64_t)sim->desc.pause_percent) {
            delay = (int64_t)Rng_Below(&sim->rng, 3 * SECOND_US);
        }
        event = new_event(sim, EV_USE, index);
        event->token = token;
        event->request = request;
        push(sim, event, sim->now_us + delay);
        return;
    }
    if (now >= request->deadline ||
        waiting_count(host, request->team) >= RATE_QUEUE_MAX ||
        (result != RESULT_NOT_FOUND &&
         (now + retry_ms > MIN(request->deadline, request->patience) ||
          waiting_count(host, request->team) >= RATE_WAIT_MAX))) {
        gboolean last = host->waiting[request->team] == NULL;

        finish(sim, request, FALSE);
        if (last) {
            RateWallet_GiveBack(host->wallet, team->out.id, now);
        }
        return;
    }
    append(host, request);
    if (result != RESULT_NOT_FOUND) {
        int64_t at_us = sim->now_us + (retry_ms + 1) * 1000;
        int64_t *retry_us = &host->retry_us[request->team];

        /* Parts that wait here could complete a token elsewhere. */
        RateWallet_GiveBack(host->wallet, team->out.id, now);
        if (*retry_us <= sim->now_us || at_us < *retry_us) {
            *retry_us = at_us;
            event = new_event(sim, EV_RETRY, index);
            event->number = request->team;
            push(sim, event, at_us);
        }
    }
}

static void
serve_waiting(RateSim *sim, int index, int team)
{
    Host *host = &sim->hosts[index];
    Request *request = host->waiting[team];
    Request **end = &host->waiting[team];

    host->waiting[team] = NULL;
    while (request != NULL) {
        Request *next = request->next;

        /* When one has to wait again, so have those behind it. */
        if (host->waiting[team] != NULL &&
            _RateSim_LocalMs(sim, index) < request->patience) {
            *end = request;
            request->next = NULL;
            end = &request->next;
        }
        else {
            serve(sim, index, request);
            while (*end != NULL) {
                end = &(*end)->next;
            }
        }
        request = next;
    }
    plan_draws(sim, index, team);
    if (host->waiting[team] != NULL && host->retry_us[team] <= sim->now_us) {
        Event *event = new_event(sim, EV_RETRY, index);

        host->retry_us[team] = sim->now_us + WALLET_US;
        event->number = team;
        push(sim, event, host->retry_us[team]);
    }
}

static void
send_settlements(RateSim *sim, int index)
{
    Host *host = &sim->hosts[index];
    ClockMs now = _RateSim_LocalMs(sim, index);
    uint64_t holder;
    uint64_t incarnation;

    while (
        RateWallet_NextSettlement(host->wallet, now, &holder, &incarnation)) {
        Event *event =
            new_event(sim, EV_SETTLE, _RateSim_HostIndex(sim, holder));

        event->use_count = RateWallet_Settle(host->wallet, holder, incarnation,
                                             event->uses, USES, now);
        event->incarnation = incarnation;
        event->sender = host->record.host;
        if (event->use_count == 0 || event->host < 0 ||
            is_lost(sim, index, event->host)) {
            free_event(event);
            continue;
        }
        sim->cost.settles++;
        push(sim, event, sim->now_us + latency(sim, index, event->host));
    }
}

static void
on_arrival(RateSim *sim, Event *event)
{
    TeamState *team = &sim->teams[event->number];
    RateSimTraffic traffic = team->out.desc.traffic;
    const RateLimit *limit = &team->changes[team->change_count - 1].limit;
    Request *request;
    double rate = team->out.desc.load * (double)limit->rate_per_s;
    int index = 0;
    gboolean ideal;

    push(sim, event,
         sim->now_us + 1 +
             (int64_t)Rng_Exponential(&sim->rng, (double)SECOND_US / rate));
    for (int tries = 0; tries < 1000; tries++) {
        index = (int)Rng_Below(&sim->rng, (uint64_t)sim->host_count);
        if (traffic == RATE_SIM_SKEWED && Rng_Below(&sim->rng, 10) < 9) {
            index = (int)((team->out.id + Rng_Below(&sim->rng, 2) +
                           (uint64_t)tries) %
                          (uint64_t)sim->host_count);
        }
        if (sim->hosts[index].up && !sim->hosts[index].stopping &&
            sim->hosts[index].paused_until_us <= sim->now_us &&
            (traffic != RATE_SIM_REGION ||
             sim->hosts[index].record.region == 0)) {
            break;
        }
    }
    if (!sim->hosts[index].up) {
        return;
    }
    ideal = _RateSim_TakeFrom(&team->ideal, limit, sim->now_us);
    team->out.offered++;
    team->out.ideal += ideal;
    _RateSim_Count(&team->out, RATE_SIM_STATIC,
                   _RateSim_AdmitStatic(sim, team, limit, index), ideal);
    _RateSim_Count(&team->out, RATE_SIM_HOME,
                   _RateSim_AdmitHome(sim, team, limit), ideal);
    request = g_new0(Request, 1);
    request->team = event->number;
    request->arrived_us = sim->now_us;
    request->deadline = _RateSim_LocalMs(sim, index) + sim->desc.deadline_ms;
    request->patience = _RateSim_LocalMs(sim, index) + RATE_WAIT_MS;
    request->ideal = ideal;
    serve(sim, index, request);
    if (sim->hosts[index].waiting[event->number] != NULL) {
        plan_draws(sim, index, event->number);
    }
}

static void
on_draw(RateSim *sim, Event *event)
{
    Host *host = &sim->hosts[event->host];
    Flight *flight = event->flight;
    ClockMs now = _RateSim_LocalMs(sim, event->host);
    Reply *reply = g_new0(Reply, 1);
    Event *answer;

    RateHolder_Settle(host->holder, flight->plan.draw.entry, flight->uses,
                      flight->use_count, now);
    reply->result =
        RateHolder_Draw(host->holder, &flight->plan.draw, now, &reply->grant);
    add_places(sim, event->host, flight->plan.draw.team, reply);
    if (is_lost(sim, event->host, flight->from)) {
        g_free(reply);
        return;
    }
    answer = new_event(sim, EV_REPLY, flight->from);
    answer->incarnation = flight->plan.draw.entry_incarnation;
    answer->flight = flight;
    answer->reply = reply;
    flight->refs++;
    push(sim, answer, sim->now_us + latency(sim, event->host, flight->from));
}

static void
on_reply(RateSim *sim, Event *event)
{
    Host *host = &sim->hosts[event->host];
    Flight *flight = event->flight;
    const Reply *reply = event->reply;
    const RatePlan *plan = &flight->plan;
    ClockMs now = _RateSim_LocalMs(sim, event->host);

    if (flight->done) {
        return;
    }
    flight->done = TRUE;
    if (reply->result == RESULT_OK) {
        RateWallet_Granted(host->wallet, plan, &reply->grant, now);
    }
    else {
        RateWallet_Failed(host->wallet, plan, reply->result, now);
    }
    if (reply->result == RESULT_RATE_NOT_HELD) {
        uint16_t slots[RATE_SLOTS_MAX];
        const RateLimit *limit =
            &limit_at(sim, event->host, &sim->teams[flight->team])->limit;
        int count =
            RateShare_Slots(plan->draw.team,
                            RateShare_Make(limit, sim->desc.fleet_slots).slots,
                            sim->desc.fleet_slots, sim->desc.regions, slots);

        RateDirectory_NotHeld(host->directory, plan->holder,
                              plan->holder_incarnation, slots, count, now);
    }
    for (int i = 0; i < reply->places; i++) {
        RateDirectory_Learn(host->directory, reply->slot[i],
                            reply->place[i].host, reply->place[i].incarnation,
                            now);
    }
    serve_waiting(sim, event->host, flight->team);
}

static void
on_timeout(RateSim *sim, Event *event)
{
    Host *host = &sim->hosts[event->host];
    Flight *flight = event->flight;

    if (!flight->done) {
        flight->done = TRUE;
        RateWallet_Failed(host->wallet, &flight->plan, RESULT_RPC_TIMEOUT,
                          _RateSim_LocalMs(sim, event->host));
        serve_waiting(sim, event->host, flight->team);
    }
}

static void
on_use(RateSim *sim, Event *event)
{
    Host *host = &sim->hosts[event->host];
    Request *request = event->request;
    Result result = RateWallet_Use(host->wallet, &event->token,
                                   _RateSim_LocalMs(sim, event->host));

    event->request = NULL;
    if (result == RESULT_OK) {
        finish(sim, request, TRUE);
    }
    else {
        int team = request->team;

        serve(sim, event->host, request);
        plan_draws(sim, event->host, team);
    }
}

static void
apply_change(RateSim *sim, int index, const RateHoldEvent *change)
{
    Host *host = &sim->hosts[index];
    ClockMs now = _RateSim_LocalMs(sim, index);

    switch (change->change) {
    case RATE_HOLD_OPEN:
        RateHolder_OpenSlot(host->holder, change->slot, change->epoch,
                            change->start_ms, change->end_ms, now);
        RateDirectory_Learn(host->directory, change->slot, host->record.host,
                            host->record.incarnation, now);
        break;
    case RATE_HOLD_EXTEND:
        RateHolder_ExtendSlot(host->holder, change->slot, change->epoch,
                              change->end_ms, now);
        break;
    case RATE_HOLD_CLOSE:
        RateHolder_CloseSlot(host->holder, change->slot, now);
        break;
    case RATE_HOLD_NONE:
        break;
    }
}

void
_RateSim_OnHold(RateSim *sim, int index)
{
    Host *host = &sim->hosts[index];
    RateHoldAction action;
    int wait_ms;
    Event *event;

    if (host->at_store ||
        !RateHold_Next(host->hold, _RateSim_LocalMs(sim, index), &action,
                       &wait_ms)) {
        return;
    }
    host->at_store = TRUE;
    event = new_event(sim, EV_STORE, index);
    event->action = action;
    event->sent_ms = _RateSim_LocalMs(sim, index);
    push(sim, event,
         sim->now_us + STORE_US / 2 +
             (int64_t)Rng_Exponential(&sim->rng, STORE_US));
}

static void
apply_write(RateSim *sim, Event *event)
{
    StoreObject *stored = &sim->store[event->action.slot];

    sim->cost.store_writes++;
    sim->writes_in_second++;
    sim->cost.most_writes_in_second =
        MAX(sim->cost.most_writes_in_second, sim->writes_in_second);
    if (stored->object.version != event->action.object.version) {
        event->result = RESULT_STORE_CONFLICT;
        return;
    }
    stored->object = event->action.object;
    stored->object.version = ++sim->store_version;
    stored->modified_us = sim->now_us;
    event->result = RESULT_OK;
}

/* The call reaches the store, whatever became of its sender. */
static void
on_store(RateSim *sim, Event *event)
{
    const StoreObject *stored = &sim->store[event->action.slot];
    int64_t delay = STORE_US;

    event->kind = EV_STORE_DONE;
    if (sim->store_down) {
        event->result = RESULT_STORE_UNAVAILABLE;
        push(sim, event, sim->now_us + SECOND_US / 2);
        return;
    }
    if (event->action.call == RATE_HOLD_READ) {
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
    push(sim, event, sim->now_us + delay);
}

static void
on_store_done(RateSim *sim, Event *event)
{
    Host *host = &sim->hosts[event->host];
    RateHoldEvent change;
    int slot = event->action.slot;

    host->at_store = FALSE;
    change = RateHold_Done(host->hold, &event->action, event->result,
                           event->has_object ? &event->object : NULL,
                           event->sent_ms, _RateSim_LocalMs(sim, event->host));
    apply_change(sim, event->host, &change);
    if (event->action.call == RATE_HOLD_RELEASE &&
        event->result == RESULT_OK) {
        int next =
            _RateSim_HostIndex(sim, RateHold_First(host->hold, slot).host);

        if (next >= 0 && sim->hosts[next].up) {
            Event *hint = new_event(sim, EV_HINT, next);

            hint->number = slot;
            push(sim, hint, sim->now_us + latency(sim, event->host, next));
        }
    }
    _RateSim_OnHold(sim, event->host);
}

void
_RateSim_Schedule(RateSim *sim, EventKind kind, int index, int64_t delay_us)
{
    push(sim, new_event(sim, kind, index), sim->now_us + delay_us);
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

    if (event->kind == EV_WALLET) {
        ClockMs now = _RateSim_LocalMs(sim, event->host);

        RateWallet_Tick(host->wallet, now);
        RateHolder_Tick(host->holder, now);
        RateDirectory_Tick(host->directory, now);
        send_settlements(sim, event->host);
        _RateSim_Schedule(sim, EV_WALLET, event->host, WALLET_US);
    }
    else {
        _RateSim_OnHold(sim, event->host);
        _RateSim_Schedule(sim, EV_HOLD, event->host, HOLD_US);
    }
}

static void
on_host_event(RateSim *sim, Event *event)
{
    int index = event->host;

    switch (event->kind) {
    case EV_DRAW:
        on_draw(sim, event);
        break;
    case EV_REPLY:
        on_reply(sim, event);
        break;
    case EV_RESEND:
        if (!event->flight->done) {
            post_draw(sim, event->flight);
        }
        break;
    case EV_TIMEOUT:
        on_timeout(sim, event);
        break;
    case EV_SETTLE:
        RateHolder_Settle(sim->hosts[event->host].holder, event->sender,
                          event->uses, event->use_count,
                          _RateSim_LocalMs(sim, event->host));
        break;
    case EV_USE:
        on_use(sim, event);
        break;
    case EV_RETRY:
        sim->hosts[event->host].retry_us[event->number] = 0;
        serve_waiting(sim, event->host, event->number);
        break;
    case EV_HINT:
        RateHold_Hint(sim->hosts[event->host].hold, event->number,
                      _RateSim_LocalMs(sim, event->host));
        _RateSim_OnHold(sim, event->host);
        break;
    default:
        on_timer(sim, event);
        break;
    }
    send_settlements(sim, index);
}

/* FALSE if the event was put back into the queue. */
static gboolean
dispatch(RateSim *sim, Event *event)
{
    const Host *host = event->host >= 0 ? &sim->hosts[event->host] : NULL;

    switch (event->kind) {
    case EV_ARRIVAL:
        on_arrival(sim, event);
        return FALSE;
    case EV_STORE:
        on_store(sim, event);
        return FALSE;
    case EV_VIEW:
        _RateSim_ShowView(sim);
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
        push(sim, event, sim->now_us + SECOND_US);
        return FALSE;
    default:
        break;
    }
    g_assert(host != NULL);
    if (!host->up || host->record.incarnation != event->incarnation) {
        return TRUE;
    }
    if (host->paused_until_us > sim->now_us) {
        push(sim, event, host->paused_until_us);
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

    /* Traffic starts when the first slots are open. */
    for (int i = 0; i < sim->team_count; i++) {
        Event *event = new_event(sim, EV_ARRIVAL, NO_HOST);

        event->number = i;
        push(sim, event, 20 * SECOND_US);
    }
    push(sim, new_event(sim, EV_SECOND, NO_HOST), SECOND_US);
    while (sim->heap_count > 0 && sim->heap[0]->at_us < end_us) {
        Event *event = pop(sim);

        sim->now_us = event->at_us;
        if (dispatch(sim, event)) {
            free_event(event);
        }
    }
}
