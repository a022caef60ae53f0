#include "route/test_route_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS 5
#define QUEUE 10
#define MAX_ENTRIES 16
#define MAX_REQUESTS (1 << 20)
#define MAX_EXCLUDED 4

typedef enum EventKind { EVENT_ARRIVAL, EVENT_ATTEMPT, EVENT_END } EventKind;

typedef struct Event {
    double at;
    EventKind kind;
    uint32_t request;
} Event;

typedef struct Request {
    double arrived;
    double sent;
    uint32_t entry;
    uint32_t server;
    uint32_t attempts;
    uint64_t excluded[MAX_EXCLUDED];
} Request;

typedef struct Server {
    uint32_t running;
    uint32_t queue[QUEUE];
    uint32_t queued;
    uint64_t attempts;
    double refusal_debt_ms; /* slot time owed for refusals */
} Server;

typedef struct Model {
    RouteModel_desc desc;
    RouteModelResult *result;
    Rng rng;
    Route *routes[MAX_ENTRIES];
    RetryBudget budgets[MAX_ENTRIES];
    RouteCandidate candidates[ROUTE_MODEL_MAX_SERVERS];
    RouteSet set;
    Server servers[ROUTE_MODEL_MAX_SERVERS];
    uint32_t next_server;
    Event *heap;
    uint32_t events;
    Request *requests;
    uint32_t request_count;
    float *latencies;
    double mean_ms;
} Model;

static void
push_event(Model *model, double at, EventKind kind, uint32_t request)
{
    uint32_t i = model->events++;

    while (i > 0 && model->heap[(i - 1) / 2].at > at) {
        model->heap[i] = model->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    model->heap[i] = (Event){at, kind, request};
}

static Event
pop_event(Model *model)
{
    Event first = model->heap[0];
    Event last = model->heap[--model->events];
    uint32_t i = 0;

    for (;;) {
        uint32_t child = 2 * i + 1;

        if (child >= model->events) {
            break;
        }
        if (child + 1 < model->events &&
            model->heap[child + 1].at < model->heap[child].at) {
            child++;
        }
        if (model->heap[child].at >= last.at) {
            break;
        }
        model->heap[i] = model->heap[child];
        i = child;
    }
    model->heap[i] = last;
    return first;
}

static double
draw_service_ms(Model *model, uint32_t server)
{
    double radius = sqrt(-2 * log(1 - Rng_Unit(&model->rng)));
    double normal = radius * cos(2 * G_PI * Rng_Unit(&model->rng));
    double ms = model->desc.median_ms * exp(0.5 * normal);

    if (Rng_Unit(&model->rng) < 0.01) {
        ms *= 10;
    }
    if (server == 0 && model->desc.gray_factor > 0) {
        ms *= model->desc.gray_factor;
    }
    return ms;
}

static void
run_on_server(Model *model, uint32_t index, double now)
{
    Request *request = &model->requests[index];
    Server *server = &model->servers[request->server];
    double ms = draw_service_ms(model, request->server);

    /* Time spent on refusals delays the requests that are served. */
    ms += server->refusal_debt_ms;
    server->refusal_debt_ms = 0;
    server->running++;
    push_event(model, now + ms, EVENT_END, index);
}

static int
pick_server(Model *model, const Request *request, ClockMs now)
{
    uint32_t count = model->desc.servers;

    if (model->desc.policy == POLICY_ROUTE) {
        return Route_Choose(model->routes[request->entry], &model->set,
                            request->excluded, request->attempts, now, NULL);
    }
    for (int tries = 0; tries < 100; tries++) {
        uint32_t index = model->desc.policy == POLICY_RANDOM
                             ? (uint32_t)Rng_Below(&model->rng, count)
                             : model->next_server++ % count;
        gboolean tried = FALSE;

        for (uint32_t i = 0; i < request->attempts; i++) {
            tried = tried || request->excluded[i] == index + 1;
        }
        if (!tried) {
            return (int)index;
        }
    }
    return -1;
}

/* Returns the delay in ms before the retry, or -1 for none. */
static double
retry_after_refusal(Model *model, const Request *request, double now)
{
    static const Retry_desc rules = {.max_attempts = MAX_EXCLUDED};
    RetryInput input = {
        .result = RESULT_BACKEND_SERVER_BUSY,
        .run = RUN_NO,
        .idempotent = TRUE,
        .other_target = TRUE,
        .attempts = request->attempts,
        .route_retries = MAX_EXCLUDED - 1,
        .time_left_ms =
            model->desc.deadline_ms - (ClockMs)(now - request->arrived),
    };
    RetryDecision decision;

    if (model->desc.retries == RETRIES_NONE) {
        return -1;
    }
    decision = Retry_Decide(model->desc.retries == RETRIES_BUDGET
                                ? &model->budgets[request->entry]
                                : NULL,
                            &rules, &input, (ClockMs)now, &model->rng);
    return decision.reason == RETRY_AGAIN ? (double)decision.backoff_ms : -1;
}

static void
attempt(Model *model, uint32_t index, double now)
{
    Request *request = &model->requests[index];
    int chosen = pick_server(model, request, (ClockMs)now);
    Route *route = model->routes[request->entry];
    Server *server;
    double wait;

    if (chosen < 0) {
        return;
    }
    server = &model->servers[chosen];
    server->attempts++;
    model->result->attempts++;
    request->server = (uint32_t)chosen;
    request->excluded[request->attempts++] = (uint64_t)chosen + 1;
    request->sent = now;
    Route_Start(route, (uint64_t)chosen + 1, (ClockMs)now);
    if (server->running < SLOTS) {
        run_on_server(model, index, now);
        return;
    }
    if (server->queued < QUEUE) {
        server->queue[server->queued++] = index;
        return;
    }
    server->refusal_debt_ms += model->desc.refusal_ms;
    Route_End(
        route, (uint64_t)chosen + 1,
        &(RouteLoad){.slots_in_use = server->running, .queue = server->queued},
        (ClockMs)now);
    wait = retry_after_refusal(model, request, now);
    if (wait >= 0) {
        push_event(model, now + wait, EVENT_ATTEMPT, index);
    }
}

static void
end_attempt(Model *model, uint32_t index, double now)
{
    Request *request = &model->requests[index];
    Server *server = &model->servers[request->server];
    double total = now - request->arrived;

    server->running--;
    Route_End(
        model->routes[request->entry], (uint64_t)request->server + 1,
        &(RouteLoad){.slots_in_use = server->running,
                     .queue = server->queued,
                     .latency_us = (int64_t)((now - request->sent) * 1000)},
        (ClockMs)now);
    if (total <= (double)model->desc.deadline_ms) {
        model->latencies[model->result->answered++] = (float)total;
    }
    if (server->queued > 0) {
        uint32_t next = server->queue[0];

        server->queued--;
        memmove(server->queue, server->queue + 1,
                server->queued * sizeof(server->queue[0]));
        run_on_server(model, next, now);
    }
}

static void
arrive(Model *model, double now)
{
    double rate =
        model->desc.load * model->desc.servers * SLOTS / model->mean_ms;
    uint32_t index = model->request_count;
    Request *request = &model->requests[index];

    if (now >= (double)model->desc.duration_ms || index >= MAX_REQUESTS) {
        return;
    }
    model->request_count++;
    *request = (Request){
        .arrived = now,
        .entry = (uint32_t)Rng_Below(&model->rng, model->desc.entries)};
    RetryBudget_Request(&model->budgets[request->entry], (ClockMs)now);
    attempt(model, index, now);
    push_event(model, now + Rng_Exponential(&model->rng, 1 / rate),
               EVENT_ARRIVAL, 0);
}

static int
compare_floats(const void *a, const void *b)
{
    float x = *(const float *)a;
    float y = *(const float *)b;

    return (x > y) - (x < y);
}

static void
summarise(Model *model)
{
    RouteModelResult *result = model->result;
    uint32_t first = model->desc.gray_factor > 0 ? 1 : 0;
    uint64_t max = 0;
    uint64_t sum = 0;
    double capacity = model->desc.servers * SLOTS / model->mean_ms;
    uint64_t n = result->answered;

    result->requests = model->request_count;
    result->amplification =
        (double)result->attempts / (double)MAX(result->requests, 1);
    result->goodput = (double)n / (capacity * (double)model->desc.duration_ms);
    qsort(model->latencies, n, sizeof(float), compare_floats);
    if (n > 0) {
        result->median_ms = model->latencies[n / 2];
        result->p99_ms = model->latencies[n * 99 / 100];
        result->p999_ms = model->latencies[n * 999 / 1000];
    }
    for (uint32_t i = first; i < model->desc.servers; i++) {
        max = MAX(max, model->servers[i].attempts);
        sum += model->servers[i].attempts;
    }
    result->spread =
        (double)max * (model->desc.servers - first) / (double)MAX(sum, 1);
    result->gray_share = (double)model->servers[0].attempts *
                         model->desc.servers /
                         (double)MAX(result->attempts, 1);
}

static void
set_up(Model *model, const RouteModel_desc *desc)
{
    RouteModel_desc *config = &model->desc;

    *config = *desc;
    config->servers = config->servers ? config->servers : 12;
    config->entries = config->entries ? config->entries : 4;
    config->load = config->load > 0 ? config->load : 0.5;
    config->median_ms = config->median_ms > 0 ? config->median_ms : 20;
    config->deadline_ms = config->deadline_ms ? config->deadline_ms : 1000;
    config->duration_ms = config->duration_ms ? config->duration_ms : 30000;
    /* Mean of the log-normal distribution times that of the factor: 1% of the
     * requests take 10 times as long. */
    model->mean_ms = config->median_ms * exp(0.125) * 1.09;
    Rng_Seed(&model->rng, config->seed);
    for (uint32_t i = 0; i < config->servers; i++) {
        model->candidates[i] = (RouteCandidate){.backend_server = i + 1,
                                                .host = i + 1,
                                                .region = 1,
                                                .data_centre = 1,
                                                .weight = 100,
                                                .slots = SLOTS};
    }
    Route_Order(1, model->candidates, config->servers, 1, 1, &model->set);
    for (uint32_t i = 0; i < config->entries; i++) {
        model->routes[i] =
            Route_Create(&(Route_desc){.seed = config->seed * 100 + i + 1});
        RetryBudget_Init(&model->budgets[i],
                         &(Retry_desc){.max_attempts = MAX_EXCLUDED}, 0);
    }
}

void
RouteModel_Run(const RouteModel_desc *desc, RouteModelResult *result)
{
    Model *model = g_new0(Model, 1);

    model->heap = g_new(Event, MAX_REQUESTS);
    model->requests = g_new(Request, MAX_REQUESTS);
    model->latencies = g_new(float, MAX_REQUESTS);
    model->result = result;
    memset(result, 0, sizeof(*result));
    set_up(model, desc);
    push_event(model, 0, EVENT_ARRIVAL, 0);
    while (model->events > 0) {
        Event event = pop_event(model);

        if (event.kind == EVENT_ARRIVAL) {
            arrive(model, event.at);
        }
        else if (event.kind == EVENT_ATTEMPT) {
            attempt(model, event.request, event.at);
        }
        else {
            end_attempt(model, event.request, event.at);
        }
    }
    summarise(model);
    for (uint32_t i = 0; i < model->desc.entries; i++) {
        Route_Destroy(model->routes[i]);
    }
    g_free(model->heap);
    g_free(model->requests);
    g_free(model->latencies);
    g_free(model);
}
