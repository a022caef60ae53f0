#include "health/test_health_model.h"

#include <math.h>
#include <string.h>

#include "base/rng.h"
#include "health/permit.h"

#define SLOTS 5
#define QUEUE 10
#define DELAY_TICKS 256

typedef struct Job {
    double end;
    double start;
    HealthOutcome outcome;
    HealthRequest request;
} Job;

typedef struct Server {
    Health *health;
    PermitClaim *claim;
    HealthVerdict verdict;
    Job jobs[SLOTS];
    uint32_t running;
    uint32_t queued;
    double next_arrival;
    double rate_per_ms;
    double paused_until;
    gboolean was_ejected;
    gboolean cold_started;
    int published[DELAY_TICKS]; /* latency class by tick, ring buffer */
} Server;

typedef struct Model {
    Model_desc desc;
    ModelResult *result;
    Rng rng;
    Server servers[MODEL_SERVERS];
    PermitCoordinator *coordinators[PERMIT_PLACES];
} Model;

static gboolean
is_active(const Fault *fault, double now)
{
    double since = now - (double)fault->from;

    if (fault->kind == FAULT_NONE || since < 0) {
        return FALSE;
    }
    return fault->period == 0 ||
           fmod(since, (double)fault->period) < (double)fault->period / 2;
}

static double
draw_service_ms(Model *model)
{
    double radius = sqrt(-2 * log(1 - Rng_Unit(&model->rng)));
    double normal = radius * cos(2 * G_PI * Rng_Unit(&model->rng));
    double ms = model->desc.median_ms * exp(model->desc.sigma * normal);

    if (Rng_Unit(&model->rng) < model->desc.tail_share) {
        ms *= model->desc.tail_factor;
    }
    return ms;
}

static void
start_job(Model *model, uint32_t index, double now)
{
    Server *server = &model->servers[index];
    const Fault *fault = &model->desc.faults[index];
    ModelServerResult *result = &model->result->servers[index];
    Job *job = &server->jobs[server->running++];
    gboolean sick = is_active(fault, now);
    double ms = draw_service_ms(model);
    double uniform = Rng_Unit(&model->rng);

    job->outcome = HEALTH_OK;
    if (sick && fault->kind == FAULT_SLOW) {
        ms *= fault->amount;
    }
    else if (sick && fault->kind == FAULT_COLD) {
        double age_s = (now - (double)fault->from) / 1000;

        ms *= 1 + (fault->amount - 1) * exp(-age_s / 4);
    }
    else if (sick && fault->kind == FAULT_HANG) {
        ms = 1e9;
    }
    else if (sick && fault->kind != FAULT_PATH && uniform < fault->amount) {
        job->outcome = fault->kind == FAULT_WRONG   ? HEALTH_WRONG_ANSWER
                       : fault->kind == FAULT_ERROR ? HEALTH_ERROR
                                                    : HEALTH_SHED;
        ms = fault->kind == FAULT_SHED ? 1 : ms;
    }
    if (now < server->paused_until) {
        ms += server->paused_until - now;
    }
    if (ms > (double)model->desc.deadline_ms) {
        ms = (double)model->desc.deadline_ms;
        job->outcome = HEALTH_TIMED_OUT;
    }
    job->start = now;
    job->end = now + ms;
    job->request = Health_Start(server->health, (ClockMs)now);
    result->sent++;
    result->sent_sick += sick;
    if (result->ejections < 2 && !(server->was_ejected)) {
        result->last_sent = (ClockMs)now;
    }
}

static void
end_job(Model *model, uint32_t index, uint32_t job_index)
{
    Server *server = &model->servers[index];
    Job job = server->jobs[job_index];

    /* A slow path delays the answer only after the owner has taken its
     * sample. */
    server->jobs[job_index] = server->jobs[--server->running];
    Health_End(server->health, job.request, job.outcome,
               (int64_t)((job.end - job.start) * 1000), (ClockMs)job.end);
    model->result->samples++;
    if (server->queued > 0) {
        server->queued--;
        start_job(model, index, job.end);
    }
}

static double
draw_arrival(Model *model, const Server *server, double now)
{
    return server->rate_per_ms > 0
               ? now + Rng_Exponential(&model->rng, 1 / server->rate_per_ms)
               : 1e18;
}

/* Starts a pause, such as a garbage collection, in a random share of the
 * ticks. */
static void
draw_pause(Model *model, Server *server, double now)
{
    double share = model->desc.pauses_per_hour * HEALTH_TICK_MS / 3600000;

    if (share <= 0 || Rng_Unit(&model->rng) >= share) {
        return;
    }
    server->paused_until = now + model->desc.pause_ms;
    for (uint32_t i = 0; i < server->running; i++) {
        server->jobs[i].end += model->desc.pause_ms;
    }
}

/* Processes arrivals and completions of requests until the end of a tick. */
static void
run_tick(Model *model, uint32_t index, double until)
{
    Server *server = &model->servers[index];

    for (;;) {
        uint32_t first = 0;

        for (uint32_t i = 1; i < server->running; i++) {
            if (server->jobs[i].end < server->jobs[first].end) {
                first = i;
            }
        }
        if (server->running > 0 &&
            server->jobs[first].end <= server->next_arrival) {
            if (server->jobs[first].end > until) {
                return;
            }
            end_job(model, index, first);
            continue;
        }
        if (server->next_arrival > until) {
            return;
        }
        uint32_t limit = server->verdict.max_in_flight;

        if (server->running < SLOTS &&
            (limit == 0 || server->running < limit)) {
            start_job(model, index, server->next_arrival);
        }
        else if (limit == 0 && server->queued < QUEUE) {
            server->queued++;
        }
        server->next_arrival =
            draw_arrival(model, server, server->next_arrival);
    }
}

static void
exchange_permit(Model *model, uint32_t index, ClockMs now)
{
    PermitView view = {.total = MODEL_SERVERS,
                       .floor_percent = model->desc.floor_percent,
                       .ready = MODEL_SERVERS};
    Server *server = &model->servers[index];
    PermitRequest request;
    PermitReply reply;

    if (PermitClaim_Next(server->claim, server->verdict.permit_wanted, now,
                         &request)) {
        model->result->permit_messages++;
        PermitCoordinator_Handle(model->coordinators[request.place], &request,
                                 &view, now, &reply);
        PermitClaim_Answer(server->claim, &reply, now);
    }
}

static int
baseline_of(const Model *model, uint64_t tick)
{
    uint64_t delay = (uint64_t)(model->desc.gossip_ms / HEALTH_TICK_MS);
    int classes[MODEL_SERVERS];
    size_t count = 0;

    if (tick < delay) {
        return HEALTH_CLASS_UNKNOWN;
    }
    for (uint32_t i = 0; i < MODEL_SERVERS; i++) {
        if (model->servers[i].verdict.state != HEALTH_STATE_EJECTED) {
            classes[count++] =
                model->servers[i].published[(tick - delay) % DELAY_TICKS];
        }
    }
    return Health_ClassMedian(classes, count);
}

static void
record_verdict(Model *model, uint32_t index, ClockMs now)
{
    Server *server = &model->servers[index];
    ModelServerResult *result = &model->result->servers[index];
    gboolean ejected = server->verdict.state == HEALTH_STATE_EJECTED;

    if (ejected && !server->was_ejected) {
        result->ejections++;
        model->result->ejections++;
        if (result->first_ejected < 0) {
            result->first_ejected = now;
        }
    }
    server->was_ejected = ejected;
    if (now >= model->desc.faults[index].from + 1000) {
        result->min_weight = MIN(result->min_weight, server->verdict.weight);
    }
    result->verdict = server->verdict;
}

static void
end_tick(Model *model, uint64_t tick, ClockMs now)
{
    uint32_t total_weight = 0;
    uint32_t ejected = 0;
    int baseline = baseline_of(model, tick);

    for (uint32_t i = 0; i < MODEL_SERVERS; i++) {
        Server *server = &model->servers[i];
        HealthInput input = {.now = now,
                             .baseline_class = baseline,
                             .permit_held =
                                 PermitClaim_IsHeld(server->claim, now)};
        const Fault *fault = &model->desc.faults[i];

        if (fault->kind == FAULT_COLD && !server->cold_started &&
            now >= fault->from) {
            server->cold_started = TRUE;
            Health_ColdStart(server->health, now);
        }
        Health_Update(server->health, &input, &server->verdict);
        exchange_permit(model, i, now);
        server->published[tick % DELAY_TICKS] = server->verdict.latency_class;
        record_verdict(model, i, now);
        total_weight += server->verdict.weight;
        ejected += server->was_ejected;
    }
    model->result->max_ejected = MAX(model->result->max_ejected, ejected);
    for (uint32_t i = 0; i < MODEL_SERVERS; i++) {
        Server *server = &model->servers[i];
        double share = (double)server->verdict.weight / MAX(total_weight, 1);
        double rate = model->desc.rate_per_s * MODEL_SERVERS * share / 1000;

        if (rate != server->rate_per_ms) {
            server->rate_per_ms = rate;
            server->next_arrival = draw_arrival(model, server, (double)now);
        }
    }
}

static void
set_defaults(Model_desc *desc)
{
    desc->rate_per_s = desc->rate_per_s > 0 ? desc->rate_per_s : 20;
    desc->median_ms = desc->median_ms > 0 ? desc->median_ms : 20;
    desc->sigma = desc->sigma > 0 ? desc->sigma : 0.5;
    desc->tail_share = desc->tail_share > 0 ? desc->tail_share : 0.01;
    desc->tail_factor = desc->tail_factor > 0 ? desc->tail_factor : 10;
    desc->floor_percent = desc->floor_percent ? desc->floor_percent : 75;
    desc->gossip_ms = desc->gossip_ms ? desc->gossip_ms : 3000;
    desc->deadline_ms = desc->deadline_ms ? desc->deadline_ms : 3000;
    desc->length_ms = desc->length_ms ? desc->length_ms : 60000;
}

void
Model_Run(const Model_desc *desc, ModelResult *result)
{
    Model *model = g_new0(Model, 1);
    uint64_t tick = 0;

    model->desc = *desc;
    set_defaults(&model->desc);
    model->result = result;
    memset(result, 0, sizeof(*result));
    Rng_Seed(&model->rng, desc->seed);
    for (uint32_t i = 0; i < PERMIT_PLACES; i++) {
        model->coordinators[i] = PermitCoordinator_Create(
            &(PermitCoordinator_desc){.place = i}, -PERMIT_LAPSE_MS);
    }
    for (uint32_t i = 0; i < MODEL_SERVERS; i++) {
        Server *server = &model->servers[i];
        PermitClaim_desc claim = {.service = "s",
                                  .backend_server = "b",
                                  .host = i + 1,
                                  .incarnation = 1};

        server->health = Health_Create(desc->health, 0);
        server->claim = PermitClaim_Create(&claim);
        server->rate_per_ms = model->desc.rate_per_s / 1000;
        server->next_arrival = draw_arrival(model, server, 0);
        result->servers[i].first_ejected = -1;
        result->servers[i].min_weight = HEALTH_WEIGHT_FULL;
    }
    for (ClockMs now = HEALTH_TICK_MS; now <= model->desc.length_ms;
         now += HEALTH_TICK_MS) {
        for (uint32_t i = 0; i < MODEL_SERVERS; i++) {
            draw_pause(model, &model->servers[i],
                       (double)(now - HEALTH_TICK_MS));
            run_tick(model, i, (double)now);
        }
        end_tick(model, tick++, now);
    }
    for (uint32_t i = 0; i < MODEL_SERVERS; i++) {
        Health_Destroy(model->servers[i].health);
        PermitClaim_Destroy(model->servers[i].claim);
    }
    for (uint32_t i = 0; i < PERMIT_PLACES; i++) {
        PermitCoordinator_Destroy(model->coordinators[i]);
    }
    g_free(model);
}
