#include "replay/replay.h"

#include <math.h>
#include <string.h>

#include "replay/replay_private.h"

#define BIN_MS 100
#define WINDOW_BINS 100

#define MS_PER_WINDOW 10000
#define WINDOWS_PER_MINUTE 6

static Replay_desc
resolve(const Replay_desc *desc)
{
    Replay_desc resolved = *desc;

    resolved.regions = MAX(desc->regions, 1);
    resolved.senders = desc->senders > 0 ? desc->senders : 12;
    resolved.attempts = desc->attempts > 0 ? desc->attempts : 2;
    resolved.rounds = desc->rounds > 0 ? desc->rounds : 12;
    resolved.transit_ms = desc->transit_ms > 0 ? desc->transit_ms : 60;
    resolved.length_ms = desc->length_ms > 0 ? desc->length_ms : 30000;
    resolved.retry_ratio = desc->retry_ratio > 0 ? desc->retry_ratio : 0.2;
    resolved.retry_slack = desc->retry_slack > 0 ? desc->retry_slack : 60;
    return resolved;
}

/* Latest end of a request. */
static ClockMs
end_of(const Replay *replay)
{
    ClockMs longest = 0;

    for (guint i = 0; i < replay->desc.stream_count; i++) {
        longest = MAX(longest, replay->desc.streams[i].deadline_ms);
    }
    return REPLAY_START_MS + replay->desc.length_ms + longest + 1000;
}

static void
add_server(Replay *replay, guint service, guint index)
{
    ReplayServer *server = &replay->servers[replay->server_count++];
    char host[ROSTER_NAME_BYTES];

    (void)g_snprintf(host, sizeof(host), "s%u-%u", service, index);
    *server =
        (ReplayServer){.service = service,
                       .index = index,
                       .region = index % replay->desc.regions,
                       .host = Rng_HashString(host),
                       .admission = Admission_Create(),
                       .waiting = g_ptr_array_new(),
                       .last_sent = REPLAY_START_MS,
                       .speed = 1 + replay->desc.services[service].unequal *
                                        ((double)(index % 3) - 1)};
    GrayFilter_Init(&server->filter, NULL, REPLAY_START_MS);
    Admission_SetSlots(server->admission,
                       replay->desc.services[service].slots);
    g_hash_table_insert(replay->by_host, &server->host, server);
}

static void
open_services(Replay *replay)
{
    guint bins = (guint)(end_of(replay) / BIN_MS) + 1;

    replay->spreads = g_new0(ReplaySpread, replay->desc.service_count);
    for (guint i = 0; i < replay->desc.service_count; i++) {
        replay->bins[i] =
            g_array_sized_new(FALSE, TRUE, sizeof(ReplayBin), bins);
        g_array_set_size(replay->bins[i], bins);
        for (guint n = 0; n < replay->desc.services[i].servers; n++) {
            add_server(replay, i, n);
        }
    }
}

static void
fill_roster(const Replay *replay, Roster *roster)
{
    for (guint i = 0; i < replay->server_count; i++) {
        const ReplayServer *server = &replay->servers[i];
        const ReplayService *service = &replay->desc.services[server->service];
        RosterEntry entry = {.slots = service->slots};

        (void)g_snprintf(entry.host, sizeof(entry.host), "s%u-%u",
                         server->service, server->index);
        g_strlcpy(entry.instance, "i", sizeof(entry.instance));
        g_strlcpy(entry.service, service->name, sizeof(entry.service));
        (void)g_snprintf(entry.data_centre, sizeof(entry.data_centre), "d%u",
                         server->region);
        (void)g_snprintf(entry.region, sizeof(entry.region), "r%u",
                         server->region);
        Roster_Set(roster, &entry, REPLAY_START_MS);
    }
}

static void
open_sender(Replay *replay, guint index)
{
    ReplaySender *sender = &replay->senders[index];
    Retry_desc budget = {
        .budget_percent =
            (uint32_t)(replay->desc.retry_ratio * 100 * RETRY_EVEN_SHARE),
        .min_per_minute =
            (uint32_t)ceil(replay->desc.retry_slack * WINDOWS_PER_MINUTE *
                           RETRY_EVEN_SHARE / replay->desc.senders)};
    char host[ROSTER_NAME_BYTES];
    char data_centre[ROSTER_NAME_BYTES];
    char region[ROSTER_NAME_BYTES];

    sender->region = index % replay->desc.regions;
    (void)g_snprintf(host, sizeof(host), "g%u", index);
    (void)g_snprintf(data_centre, sizeof(data_centre), "d%u", sender->region);
    (void)g_snprintf(region, sizeof(region), "r%u", sender->region);
    sender->roster =
        Roster_Create(&(Roster_desc){.host = host,
                                     .data_centre = data_centre,
                                     .region = region,
                                     .seed = replay->desc.seed + index + 1,
                                     .even_load = replay->desc.even_load});
    fill_roster(replay, sender->roster);
    sender->budgets = g_new0(RetryBudget, replay->desc.service_count);
    for (guint i = 0; i < replay->desc.service_count; i++) {
        RetryBudget_Init(&sender->budgets[i], &budget, REPLAY_START_MS);
    }
}

Replay *
Replay_Create(const Replay_desc *desc)
{
    Replay *replay = g_new0(Replay, 1);

    replay->desc = resolve(desc);
    replay->servers = g_new0(ReplayServer, REPLAY_MAX_SERVERS);
    replay->by_host = g_hash_table_new(g_int64_hash, g_int64_equal);
    replay->active = g_ptr_array_new_with_free_func(g_free);
    replay->outcomes = g_new0(ReplayOutcome, desc->stream_count);
    replay->senders = g_new0(ReplaySender, replay->desc.senders);
    replay->bins = g_new0(GArray *, desc->service_count);
    Rng_Seed(&replay->rng, desc->seed + 1);
    open_services(replay);
    for (guint i = 0; i < replay->desc.senders; i++) {
        open_sender(replay, i);
    }
    return replay;
}

void
Replay_Destroy(Replay *replay)
{
    for (guint i = 0; i < replay->server_count; i++) {
        Admission_Destroy(replay->servers[i].admission);
        g_ptr_array_unref(replay->servers[i].waiting);
    }
    for (guint i = 0; i < replay->desc.senders; i++) {
        Roster_Destroy(replay->senders[i].roster);
        g_free(replay->senders[i].budgets);
    }
    for (guint i = 0; i < replay->desc.service_count; i++) {
        g_array_unref(replay->bins[i]);
    }
    g_free(replay->bins);
    g_ptr_array_unref(replay->active);
    g_hash_table_destroy(replay->by_host);
    g_free(replay->senders);
    g_free(replay->servers);
    g_free(replay->spreads);
    g_free(replay->outcomes);
    g_free(replay);
}

const ReplayStream *
_Replay_Stream(const Replay *replay, const ReplayRequest *request)
{
    return &replay->desc.streams[request->stream];
}

ReplayOutcome *
_Replay_OutcomeOf(const Replay *replay, const ReplayRequest *request)
{
    return &replay->outcomes[request->stream];
}

ReplayBin *
_Replay_Bin(const Replay *replay, guint service, ClockMs now)
{
    GArray *bins = replay->bins[service];

    return &g_array_index(bins, ReplayBin,
                          MIN((guint)(now / BIN_MS), bins->len - 1));
}

double
_Replay_FaultAt(const Replay *replay, const ReplayServer *server,
                ReplayFault fault, ClockMs now)
{
    ClockMs time = now - REPLAY_START_MS;

    for (guint i = 0; i < replay->desc.phase_count; i++) {
        const ReplayPhase *phase = &replay->desc.phases[i];
        double share = phase->share > 0 ? phase->share : 1;
        guint servers = replay->desc.services[phase->service].servers;

        if (phase->fault == fault && phase->service == server->service &&
            time >= phase->begin && time < phase->end &&
            server->index < ceil(share * servers)) {
            return phase->value > 0 ? phase->value : 1;
        }
    }
    return 0;
}

void
_Replay_AddRequest(Replay *replay, guint stream, ReplaySender *sender,
                   ReplayRequest *parent, ClockMs now)
{
    ReplayRequest *request = g_new0(ReplayRequest, 1);
    ClockMs deadline = now + replay->desc.streams[stream].deadline_ms;

    request->stream = stream;
    request->sender = sender;
    request->parent = parent;
    request->state = REPLAY_AT_SENDER;
    request->due = now;
    request->asked = now;
    request->arrived = now;
    request->deadline = deadline;
    if (parent != NULL) {
        request->deadline = MIN(deadline, parent->deadline);
        request->is_retry = parent->is_retry || parent->attempts > 0;
    }
    replay->outcomes[stream].asked++;
    g_ptr_array_add(replay->active, request);
}

static double
rate_of(const Replay *replay, const ReplayStream *stream, ClockMs now)
{
    ClockMs time = now - REPLAY_START_MS;
    double rate = stream->per_s;

    for (guint i = 0; i < replay->desc.phase_count; i++) {
        const ReplayPhase *phase = &replay->desc.phases[i];

        if (phase->fault == REPLAY_BURST &&
            phase->service == stream->service && time >= phase->begin &&
            time < phase->end) {
            rate *= phase->value;
        }
    }
    return rate;
}

static void
add_arrivals(Replay *replay, ClockMs now)
{
    if (now >= REPLAY_START_MS + replay->desc.length_ms) {
        return;
    }
    for (guint i = 0; i < replay->desc.stream_count; i++) {
        const ReplayStream *stream = &replay->desc.streams[i];
        guint senders =
            stream->senders > 0 ? stream->senders : replay->desc.senders;
        double expected = rate_of(replay, stream, now) / 1000;

        while (expected > 0 && Rng_Unit(&replay->rng) < expected) {
            guint sender = (guint)Rng_Below(&replay->rng, senders);

            _Replay_AddRequest(replay, i, &replay->senders[sender], NULL, now);
            expected -= 1;
        }
    }
}

/* Ends the calls of a request that has ended itself. */
static void
cancel_calls(Replay *replay, const ReplayRequest *parent, ClockMs now)
{
    for (guint i = 0; i < replay->active->len; i++) {
        ReplayRequest *call = g_ptr_array_index(replay->active, i);

        if (call->parent == parent && call->state != REPLAY_DONE) {
            _Replay_LeaveOwner(replay, call, now);
            _Replay_EndAttempt(call);
            call->state = REPLAY_DONE;
            cancel_calls(replay, call, now);
        }
        if (call->parent == parent) {
            call->parent = NULL;
        }
    }
}

static void
step_run(Replay *replay, ReplayRequest *request, ClockMs now)
{
    gboolean stands =
        _Replay_FaultAt(replay, request->server, REPLAY_STALL, now) > 0 ||
        _Replay_FaultAt(replay, request->server, REPLAY_GONE, now) > 0;

    if (now >= request->deadline) {
        _Replay_LeaveOwner(replay, request, now);
        _Replay_Expire(replay, request);
    }
    else if (!stands && (request->call_failed ||
                         (now >= request->due && request->pending == 0))) {
        _Replay_EndRun(replay, request, now);
    }
    if (request->state != REPLAY_RUNNING) {
        cancel_calls(replay, request, now);
    }
}

static void
step_request(Replay *replay, ReplayRequest *request, ClockMs now)
{
    switch (request->state) {
    case REPLAY_AT_SENDER:
        if (now >= request->due) {
            _Replay_Choose(replay, request, now);
        }
        break;
    case REPLAY_TO_OWNER:
        if (now >= request->due) {
            _Replay_Arrive(replay, request, now);
        }
        break;
    case REPLAY_TO_SENDER:
        if (now >= request->due) {
            _Replay_TakeResult(replay, request, now);
        }
        break;
    case REPLAY_WAITING:
        if (now >= request->deadline) {
            _Replay_LeaveOwner(replay, request, now);
            _Replay_Expire(replay, request);
        }
        break;
    case REPLAY_RUNNING:
        step_run(replay, request, now);
        break;
    default:
        break;
    }
}

static void
step(Replay *replay, ClockMs now)
{
    add_arrivals(replay, now);
    for (guint i = 0; i < replay->active->len; i++) {
        step_request(replay, g_ptr_array_index(replay->active, i), now);
    }
    for (guint i = 0; i < replay->server_count; i++) {
        _Replay_AdvanceOwner(replay, &replay->servers[i], now);
    }
    _Replay_Sample(replay, now);
    for (guint i = replay->active->len; i > 0; i--) {
        const ReplayRequest *request =
            g_ptr_array_index(replay->active, i - 1);

        if (request->state == REPLAY_DONE) {
            g_ptr_array_remove_index_fast(replay->active, i - 1);
        }
    }
}

void
Replay_Run(Replay *replay)
{
    ClockMs last = REPLAY_START_MS + replay->desc.length_ms;
    ClockMs end = end_of(replay);

    for (ClockMs now = REPLAY_START_MS;
         now < end && (now < last || replay->active->len > 0); now++) {
        step(replay, now);
    }
}

const ReplayOutcome *
Replay_Outcome(const Replay *replay, guint stream)
{
    return &replay->outcomes[stream];
}

double
Replay_BudgetUsage(const Replay *replay, guint service)
{
    const GArray *bins = replay->bins[service];
    double slack =
        replay->desc.retry_slack * WINDOW_BINS * BIN_MS / MS_PER_WINDOW;
    double firsts = 0;
    double retries = 0;
    double most = 0;

    for (guint i = 0; i < bins->len; i++) {
        firsts += g_array_index(bins, ReplayBin, i).firsts;
        retries += g_array_index(bins, ReplayBin, i).retries;
        if (i >= WINDOW_BINS) {
            firsts -= g_array_index(bins, ReplayBin, i - WINDOW_BINS).firsts;
            retries -= g_array_index(bins, ReplayBin, i - WINDOW_BINS).retries;
        }
        most =
            MAX(most, retries / (replay->desc.retry_ratio * firsts + slack));
    }
    return most;
}
