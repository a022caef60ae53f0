#include <string.h>

#include "base/counter.h"
#include "gateway/gateway_internal.h"
#include "gateway/peer_wire.h"

/* Share of the time that a request may take, by its route or else its caller,
 * that is allowed for a run. The rest is for waits, refusals and the caller's
 * return; hardly a run takes longer. */
#define RUN_ALLOWANCE_SHARE 0.5

/* Latency target of a route that has none. */
#define DEFAULT_TARGET_MS 2000

/* Whether the proxy sets the header itself and drops the caller's value. */
static gboolean
is_set_by_proxy(const WireNames *names, const char *name)
{
    const char *const own[] = {names->request_id, names->time_left_ms,
                               names->key,        names->team,
                               names->caller,     names->expected};

    for (size_t i = 0; i < G_N_ELEMENTS(own); i++) {
        if (g_ascii_strcasecmp(name, own[i]) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
copy_headers(GatewayRequest *request)
{
    const HttpHeaders *headers = HttpRequest_Headers(request->http);
    const WireNames *names = request->gateway->desc.names;

    for (size_t i = 0; i < headers->count; i++) {
        const HttpHeader *header = &headers->items[i];

        if (!is_set_by_proxy(names, header->name) &&
            PeerWire_IsPassedOn(header->name)) {
            HttpHeaders_Add(&request->forwarded, header->name, header->value);
        }
    }
}

/* Returns `result`, or RESULT_ISOLATED if the configuration is too old to deny
 * a request: it may lack a new route or key. */
static Result
deny(const GatewayRequest *request, Result result)
{
    return request->catalog_age > request->gateway->desc.config_apply_ms
               ? RESULT_ISOLATED
               : result;
}

void
_Gateway_SetAge(GatewayRequest *request, ClockMs now)
{
    const Gateway_desc *desc = &request->gateway->desc;

    request->catalog_age = Catalog_Age(desc->catalog, now);
    request->is_outdated =
        Catalog_IsOutdated(desc->catalog, now, desc->config_apply_ms);
}

Result
_Gateway_FindRoute(GatewayRequest *request, const char *host, const char *path)
{
    if (request->is_outdated) {
        return RESULT_ISOLATED;
    }
    request->route = CatalogTable_FindRoute(request->table, host, path);
    return request->route == NULL ? deny(request, RESULT_ROUTE_UNKNOWN)
                                  : RESULT_OK;
}

static gboolean
needs_key(const GatewayRequest *request)
{
    return CatalogTable_NeedsKeys(request->table) &&
           !request->route->anonymous;
}

Result
_Gateway_FindTeam(GatewayRequest *request, const char *key)
{
    if (!needs_key(request)) {
        return RESULT_OK;
    }
    if (key == NULL) {
        return deny(request, RESULT_KEY_MISSING);
    }
    request->team = CatalogTable_FindTeamByKey(request->table, key);
    if (request->team == NULL) {
        return deny(request, RESULT_KEY_UNKNOWN);
    }
    if (request->catalog_age > request->gateway->desc.max_catalog_age_ms) {
        return RESULT_ISOLATED;
    }
    return RESULT_OK;
}

ClockMs
_Gateway_CallerDeadline(const Gateway *gateway, const HttpRequest *http)
{
    int64_t left = HttpHeaders_GetNumber(HttpRequest_Headers(http),
                                         gateway->desc.names->time_left_ms,
                                         GATEWAY_DEFAULT_DEADLINE_MS);

    return HttpRequest_Arrived(http) + CLAMP(left, 0, GATEWAY_MAX_DEADLINE_MS);
}

void
_Gateway_SetTimes(GatewayRequest *request, ClockMs caller_deadline)
{
    const CatalogRoute *route = request->route;
    ClockMs target_ms =
        route->target_ms > 0 ? route->target_ms : DEFAULT_TARGET_MS;

    request->caller_deadline = caller_deadline;
    request->deadline = caller_deadline;
    if (route->timeout_ms > 0) {
        request->deadline =
            MIN(request->deadline, request->arrived + route->timeout_ms);
    }
    request->target_time =
        MIN(request->arrived + target_ms, request->deadline);
    request->call.run_allowance_ms =
        (ClockMs)(RUN_ALLOWANCE_SHARE *
                  (double)(route->timeout_ms > 0
                               ? route->timeout_ms
                               : request->deadline - request->arrived));
}

Result
_Gateway_ApplyStop(GatewayRequest *request, const StopPlan *stop, ClockMs now)
{
    if (request->arrived >= stop->begin) {
        request->stop_ms = request->arrived - stop->begin;
    }
    return StopPlan_Takes(stop, request->deadline, now) ? RESULT_OK
                                                        : RESULT_SHUTTING_DOWN;
}

void
_Gateway_LimitToStop(GatewayRequest *request)
{
    Gateway *gateway = request->gateway;
    ClockMs abandon;

    pthread_mutex_lock(&gateway->lock);
    abandon = gateway->stop.abandon;
    pthread_mutex_unlock(&gateway->lock);
    if (abandon < request->deadline) {
        request->deadline = abandon;
        request->target_time = MIN(request->target_time, abandon);
        request->call.ends_by_stop = TRUE;
    }
    request->call.deadline = request->deadline;
    request->call.target_time = request->target_time;
}

/* Finds the likely parent of a call and its place among the requests. */
static void
fill_parent(GatewayRequest *request)
{
    const Gateway *gateway = request->gateway;

    request->parent =
        Backend_FindParent(gateway->desc.backend, request->route->hash);
    request->call.priority = BACKEND_PRIORITY_NESTED;
    if (gateway->desc.load_by_value && request->parent.priority >= 0) {
        request->call.priority =
            Admission_CallPriority(request->parent.priority);
        Counter_Add(COUNTER_CALLS_WITH_PARENT, 1);
    }
}

static void
fill_call(GatewayRequest *request)
{
    const CatalogTeam *team = request->team;
    BackendCall *call = &request->call;

    call->team = team ? team->name : NULL;
    call->service = request->destination->service;
    call->caller = request->gateway->desc.service;
    call->method = HttpRequest_Method(request->http);
    call->target = request->target;
    call->host = HttpHeaders_Get(HttpRequest_Headers(request->http), "Host");
    call->headers = &request->forwarded;
    call->body = HttpRequest_Body(request->http, &call->body_bytes);
    request->regions_check = (GatewayRegionsCheck){
        .catalog = request->gateway->desc.catalog,
        .region = RegionSet_Hash(request->gateway->desc.region),
        .key = {.host = call->host,
                .path = HttpRequest_Path(request->http),
                .team = call->team},
        .request_id = call->request_id};
    (void)GatewayRegions_Update(&request->regions, request->table,
                                &request->regions_check.key);
    call->may_run = GatewayRegions_Check;
    call->may_run_context = &request->regions_check;
    call->idempotent = request->route->idempotent;
    call->is_local = TRUE;
    call->route = request->route->hash;
    call->priority = request->route->priority;
    if (team != NULL && team->has_priority) {
        call->priority = team->priority;
    }
    else if (team == NULL) {
        fill_parent(request);
    }
}

Result
_Gateway_Prepare(GatewayRequest *request)
{
    Gateway *gateway = request->gateway;
    const HttpHeaders *headers = HttpRequest_Headers(request->http);
    const char *host = HttpHeaders_Get(headers, "Host");
    const char *id = HttpHeaders_Get(headers, gateway->desc.names->request_id);
    StopPlan stop;
    Result result;

    request->call.request_id = id;
    request->arrived = HttpRequest_Arrived(request->http);
    request->target = HttpRequest_Target(request->http);
    request->table = Catalog_Acquire(gateway->desc.catalog);
    _Gateway_SetAge(request, Clock_Now());
    if (host == NULL || id == NULL) {
        return RESULT_REQUEST_INVALID;
    }
    if (request->table == NULL) {
        return RESULT_NOT_CONFIGURED;
    }
    result =
        _Gateway_FindRoute(request, host, HttpRequest_Path(request->http));
    if (result != RESULT_OK) {
        return result;
    }
    Counter_Add(COUNTER_KEY_LOOKUPS, needs_key(request));
    result = _Gateway_FindTeam(
        request, HttpHeaders_Get(headers, gateway->desc.names->key));
    if (result != RESULT_OK) {
        return result;
    }
    pthread_mutex_lock(&gateway->lock);
    request->destination =
        CatalogRoute_ChooseDestination(request->route, &gateway->rng);
    stop = gateway->stop;
    pthread_mutex_unlock(&gateway->lock);
    if (request->destination == NULL) {
        return RESULT_NO_BACKEND_SERVER;
    }
    _Gateway_SetTimes(request,
                      _Gateway_CallerDeadline(gateway, request->http));
    result = _Gateway_ApplyStop(request, &stop, Clock_Now());
    if (result != RESULT_OK) {
        return result;
    }
    copy_headers(request);
    fill_call(request);
    if (request->team != NULL) {
        result = Quota_Take(gateway->desc.quota, request->team,
                            &request->quota_source);
        Counter_Observe(HISTOGRAM_ENTRY_RATE,
                        (Clock_Now() - request->arrived) * 1000);
    }
    return result;
}

void
_Gateway_ClearRequest(GatewayRequest *request)
{
    CatalogTable_Unref(request->table);
    GatewayRegions_Clear(&request->regions);
    HttpHeaders_Clear(&request->forwarded);
    g_free(request->target);
}
