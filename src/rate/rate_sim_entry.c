/* RateSim: requests at the entries, draws and settlements. */
#include "rate/rate_sim_private.h"

static void
finish_request(RateSim *sim, Request *request, gboolean admitted)
{
    TeamState *team = &sim->teams[request->team];

    _RateSim_Count(&team->results, RATE_SIM_SLOTS, admitted, request->ideal);
    if (admitted) {
        sim->cost.wait_us += sim->now_us - request->arrived_us;
        _RateSim_CheckAdmission(sim, team);
    }
    g_free(request);
}

static void
add_holders(const RateSim *sim, int index, uint64_t id, Reply *reply)
{
    const Host *host = &sim->hosts[index];
    uint16_t slots[RATE_SLOTS_MAX];
    RateLimit limit;
    ClockMs in_force;
    int count;

    if (!_RateSim_Lookup((void *)host, id, &limit, &in_force)) {
        return;
    }
    count = RateShare_Slots(
        id, RateShare_Make(&limit, sim->desc.fleet_slots).slots,
        sim->desc.fleet_slots, sim->desc.regions, slots);
    for (int i = 0; i < count && reply->holder_count < MAX_HOLDERS; i++) {
        RateHostId known = RateLease_Known(host->lease, slots[i]);

        if (RateLease_First(host->lease, slots[i]).host == host->record.host &&
            known.host != host->record.host) {
            reply->slots[reply->holder_count] = slots[i];
            reply->holders[reply->holder_count++] = known;
        }
    }
}

static gboolean
is_lost(RateSim *sim, int from, int to)
{
    return from != to &&
           (sim->cut[from][to] || Rng_Unit(&sim->rng) < sim->desc.loss);
}

void
_RateSim_SendDraw(RateSim *sim, PendingDraw *pending)
{
    int copies = 1 + (Rng_Unit(&sim->rng) < sim->desc.duplicate);

    for (int copy = 0; copy < copies; copy++) {
        Event *event;
        int64_t late = copy * (int64_t)Rng_Below(&sim->rng, 2 * SECOND_US);

        if (is_lost(sim, pending->from, pending->to)) {
            continue;
        }
        event = _RateSim_NewEvent(sim, EV_DRAW, pending->to);
        event->incarnation = pending->plan.holder_incarnation;
        event->pending = pending;
        pending->refs++;
        _RateSim_Push(sim, event,
                      sim->now_us + late +
                          _RateSim_Latency(sim, pending->from, pending->to));
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

    count = RateCache_Plan(host->cache, sim->teams[team].results.id,
                           waiting_count(host, team),
                           _RateSim_LocalMs(sim, index), plans, 4);
    for (int i = 0; i < count; i++) {
        PendingDraw *pending;
        Event *event;
        int to = _RateSim_HostIndex(sim, plans[i].holder);

        pending = g_new0(PendingDraw, 1);
        pending->plan = plans[i];
        pending->team = team;
        pending->from = index;
        pending->to = to >= 0 ? to : index;
        pending->use_count = RateCache_Settle(
            host->cache, plans[i].holder, plans[i].holder_incarnation,
            pending->uses, MAX_USES, _RateSim_LocalMs(sim, index));
        sim->cost.draws++;
        event = _RateSim_NewEvent(sim, EV_TIMEOUT, index);
        event->pending = pending;
        pending->refs++;
        _RateSim_Push(sim, event, sim->now_us + TIMEOUT_US);
        event = _RateSim_NewEvent(sim, EV_RESEND, index);
        event->pending = pending;
        pending->refs++;
        _RateSim_Push(sim, event, sim->now_us + RESEND_US);
        _RateSim_SendDraw(sim, pending);
    }
}

static void
append_waiting(Host *host, Request *request)
{
    Request **link = &host->waiting[request->team];

    while (*link != NULL) {
        link = &(*link)->next;
    }
    request->next = NULL;
    *link = request;
}

/* Tries to take a token for the request, which then continues, waits or is
 * refused. */
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

    result = RateCache_Take(host->cache, team->results.id,
                            &_RateSim_LimitAt(sim, index, team)->limit, now,
                            &token, &retry_ms);
    if (result == RESULT_OK) {
        int64_t delay = 50;

        if (Rng_Below(&sim->rng, 100) < (uint64_t)sim->desc.pause_percent) {
            delay = (int64_t)Rng_Below(&sim->rng, 3 * SECOND_US);
        }
        event = _RateSim_NewEvent(sim, EV_USE, index);
        event->token = token;
        event->request = request;
        _RateSim_Push(sim, event, sim->now_us + delay);
        return;
    }
    if (now >= request->deadline ||
        waiting_count(host, request->team) >= RATE_QUEUE_MAX ||
        (result != RESULT_NOT_FOUND &&
         (now + retry_ms > MIN(request->deadline, request->wait_deadline) ||
          waiting_count(host, request->team) >= RATE_WAIT_MAX))) {
        gboolean last = host->waiting[request->team] == NULL;

        finish_request(sim, request, FALSE);
        if (last) {
            RateCache_GiveBack(host->cache, team->results.id, now);
        }
        return;
    }
    append_waiting(host, request);
    if (result != RESULT_NOT_FOUND) {
        int64_t at_us = sim->now_us + (retry_ms + 1) * 1000;
        int64_t *retry_us = &host->retry_us[request->team];

        /* Parts that stay here could complete a token at another entry. */
        RateCache_GiveBack(host->cache, team->results.id, now);
        if (*retry_us <= sim->now_us || at_us < *retry_us) {
            *retry_us = at_us;
            event = _RateSim_NewEvent(sim, EV_RETRY, index);
            event->number = request->team;
            _RateSim_Push(sim, event, at_us);
        }
    }
}

void
_RateSim_ServeWaiting(RateSim *sim, int index, int team)
{
    Host *host = &sim->hosts[index];
    Request *request = host->waiting[team];
    Request **end = &host->waiting[team];

    host->waiting[team] = NULL;
    while (request != NULL) {
        Request *next = request->next;

        /* If one request has to wait again, so do those behind it. */
        if (host->waiting[team] != NULL &&
            _RateSim_LocalMs(sim, index) < request->wait_deadline) {
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
        Event *event = _RateSim_NewEvent(sim, EV_RETRY, index);

        host->retry_us[team] = sim->now_us + CACHE_TICK_US;
        event->number = team;
        _RateSim_Push(sim, event, host->retry_us[team]);
    }
}

void
_RateSim_SendSettlements(RateSim *sim, int index)
{
    Host *host = &sim->hosts[index];
    ClockMs now = _RateSim_LocalMs(sim, index);
    uint64_t holder;
    uint64_t incarnation;

    while (RateCache_NextSettlement(host->cache, now, &holder, &incarnation)) {
        Event *event =
            _RateSim_NewEvent(sim, EV_SETTLE, _RateSim_HostIndex(sim, holder));

        event->use_count = RateCache_Settle(host->cache, holder, incarnation,
                                            event->uses, MAX_USES, now);
        event->incarnation = incarnation;
        event->sender = host->record.host;
        if (event->use_count == 0 || event->host < 0 ||
            is_lost(sim, index, event->host)) {
            _RateSim_FreeEvent(event);
            continue;
        }
        sim->cost.settles++;
        _RateSim_Push(sim, event,
                      sim->now_us + _RateSim_Latency(sim, index, event->host));
    }
}

void
_RateSim_OnArrival(RateSim *sim, Event *event)
{
    TeamState *team = &sim->teams[event->number];
    RateSimTraffic traffic = team->results.desc.traffic;
    const RateLimit *limit = &team->changes[team->change_count - 1].limit;
    Request *request;
    double rate = team->results.desc.load * (double)limit->rate_per_s;
    int index = 0;
    gboolean ideal;

    _RateSim_Push(
        sim, event,
        sim->now_us + 1 +
            (int64_t)Rng_Exponential(&sim->rng, (double)SECOND_US / rate));
    for (int tries = 0; tries < 1000; tries++) {
        index = (int)Rng_Below(&sim->rng, (uint64_t)sim->host_count);
        if (traffic == RATE_SIM_SKEWED && Rng_Below(&sim->rng, 10) < 9) {
            index = (int)((team->results.id + Rng_Below(&sim->rng, 2) +
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
    team->results.offered++;
    team->results.ideal += ideal;
    _RateSim_Count(&team->results, RATE_SIM_STATIC,
                   _RateSim_AdmitStatic(sim, team, limit, index), ideal);
    _RateSim_Count(&team->results, RATE_SIM_HOME,
                   _RateSim_AdmitHome(sim, team, limit), ideal);
    request = g_new0(Request, 1);
    request->team = event->number;
    request->arrived_us = sim->now_us;
    request->deadline = _RateSim_LocalMs(sim, index) + sim->desc.deadline_ms;
    request->wait_deadline = _RateSim_LocalMs(sim, index) + RATE_WAIT_MS;
    request->ideal = ideal;
    serve(sim, index, request);
    if (sim->hosts[index].waiting[event->number] != NULL) {
        plan_draws(sim, index, event->number);
    }
}

void
_RateSim_OnDraw(RateSim *sim, Event *event)
{
    Host *host = &sim->hosts[event->host];
    PendingDraw *pending = event->pending;
    ClockMs now = _RateSim_LocalMs(sim, event->host);
    Reply *reply = g_new0(Reply, 1);
    Event *answer;

    RateHolder_Settle(host->holder, pending->plan.draw.entry, pending->uses,
                      pending->use_count, now);
    reply->result =
        RateHolder_Draw(host->holder, &pending->plan.draw, now, &reply->grant);
    add_holders(sim, event->host, pending->plan.draw.team, reply);
    if (is_lost(sim, event->host, pending->from)) {
        g_free(reply);
        return;
    }
    answer = _RateSim_NewEvent(sim, EV_REPLY, pending->from);
    answer->incarnation = pending->plan.draw.entry_incarnation;
    answer->pending = pending;
    answer->reply = reply;
    pending->refs++;
    _RateSim_Push(sim, answer,
                  sim->now_us +
                      _RateSim_Latency(sim, event->host, pending->from));
}

void
_RateSim_OnReply(RateSim *sim, Event *event)
{
    Host *host = &sim->hosts[event->host];
    PendingDraw *pending = event->pending;
    const Reply *reply = event->reply;
    const RatePlan *plan = &pending->plan;
    ClockMs now = _RateSim_LocalMs(sim, event->host);

    if (pending->done) {
        return;
    }
    pending->done = TRUE;
    if (reply->result == RESULT_OK) {
        RateCache_Granted(host->cache, plan, &reply->grant, now);
    }
    else {
        RateCache_Failed(host->cache, plan, reply->result, now);
    }
    if (reply->result == RESULT_RATE_NOT_HELD) {
        uint16_t slots[RATE_SLOTS_MAX];
        const RateLimit *limit =
            &_RateSim_LimitAt(sim, event->host, &sim->teams[pending->team])
                 ->limit;
        int count =
            RateShare_Slots(plan->draw.team,
                            RateShare_Make(limit, sim->desc.fleet_slots).slots,
                            sim->desc.fleet_slots, sim->desc.regions, slots);

        RateDirectory_NotHeld(host->directory, plan->holder,
                              plan->holder_incarnation, slots, count, now);
    }
    for (int i = 0; i < reply->holder_count; i++) {
        RateDirectory_Learn(host->directory, reply->slots[i],
                            reply->holders[i].host,
                            reply->holders[i].incarnation, now);
    }
    _RateSim_ServeWaiting(sim, event->host, pending->team);
}

void
_RateSim_OnTimeout(RateSim *sim, Event *event)
{
    Host *host = &sim->hosts[event->host];
    PendingDraw *pending = event->pending;

    if (!pending->done) {
        pending->done = TRUE;
        RateCache_Failed(host->cache, &pending->plan, RESULT_RPC_TIMEOUT,
                         _RateSim_LocalMs(sim, event->host));
        _RateSim_ServeWaiting(sim, event->host, pending->team);
    }
}

void
_RateSim_OnUse(RateSim *sim, Event *event)
{
    Host *host = &sim->hosts[event->host];
    Request *request = event->request;
    Result result = RateCache_Use(host->cache, &event->token,
                                  _RateSim_LocalMs(sim, event->host));

    event->request = NULL;
    if (result == RESULT_OK) {
        finish_request(sim, request, TRUE);
    }
    else {
        int team = request->team;

        serve(sim, event->host, request);
        plan_draws(sim, event->host, team);
    }
}
