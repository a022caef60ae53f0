#include "gateway/gateway_explain.h"

#include <stdlib.h>
#include <string.h>

#include "gateway/gateway_internal.h"
#include "roster/roster_explain.h"

#define MAX_NAME_BYTES 255
#define MAX_PATH_BYTES 4096
#define MAX_BODY_BYTES (INT64_C(1) << 40)

/* Whether the budget has a retry left. Reading it refills it, so a copy is
 * read. */
static gboolean
has_retry(Gateway *gateway, uint64_t service, ClockMs now)
{
    Retry_desc desc = _Gateway_BudgetDesc(gateway);
    const RetryBudget *budget;
    RetryBudget copy;

    pthread_mutex_lock(&gateway->lock);
    budget = g_hash_table_lookup(gateway->budgets, &service);
    if (budget != NULL) {
        copy = *budget;
        copy.desc.min_per_minute = desc.min_per_minute;
    }
    else {
        RetryBudget_Init(&copy, &desc, now);
    }
    pthread_mutex_unlock(&gateway->lock);
    return RetryBudget_HasRetry(&copy, now);
}

static const CatalogDestination *
main_destination(const CatalogRoute *route)
{
    const CatalogDestination *best = NULL;

    for (uint32_t i = 0; i < route->destination_count; i++) {
        if (best == NULL || route->destinations[i].weight > best->weight) {
            best = &route->destinations[i];
        }
    }
    return best;
}

/* Goes through the steps before the first attempt, except for the quota. */
static Result
prepare(GatewayRequest *request, const GatewayExplainInput *input)
{
    Gateway *gateway = request->gateway;
    GatewayRegionsKey key = {.host = input->host, .path = input->path};
    StopPlan stop;
    Result result;

    if (request->table == NULL) {
        return RESULT_NOT_CONFIGURED;
    }
    result = _Gateway_FindRoute(request, input->host, input->path);
    if (result == RESULT_OK) {
        result = _Gateway_FindTeam(request, input->key);
    }
    if (result != RESULT_OK) {
        return result;
    }
    request->destination = main_destination(request->route);
    if (request->destination == NULL) {
        return RESULT_NO_BACKEND_SERVER;
    }
    pthread_mutex_lock(&gateway->lock);
    stop = gateway->stop;
    pthread_mutex_unlock(&gateway->lock);
    _Gateway_SetTimes(request, request->arrived + input->deadline_ms);
    result = _Gateway_ApplyStop(request, &stop, request->arrived);
    key.team = request->team ? request->team->name : NULL;
    (void)GatewayRegions_Update(&request->regions, request->table, &key);
    request->call.body_bytes = input->body_bytes;
    request->call.idempotent = request->route->idempotent;
    _Gateway_LimitToStop(request);
    request->can_retry = _Gateway_AllowsRetry(request) &&
                         has_retry(gateway, request->destination->service_hash,
                                   request->arrived);
    if (result == RESULT_OK && request->deadline <= request->arrived) {
        result = RESULT_DEADLINE_EXPIRED;
    }
    return result;
}

static json_t *
describe_route(const GatewayRequest *request)
{
    const CatalogRoute *route = request->route;
    json_t *services = json_array();

    for (uint32_t i = 0; i < route->destination_count; i++) {
        json_array_append_new(
            services,
            json_pack("{s:s, s:I}", "service", route->destinations[i].service,
                      "weight", (json_int_t)route->destinations[i].weight));
    }
    return json_pack("{s:s, s:s, s:b, s:b, s:I, s:o}", "name", route->name,
                     "prefix", route->prefix, "idempotent", route->idempotent,
                     "anonymous", route->anonymous, "attempts",
                     (json_int_t)route->attempts, "services", services);
}

static json_t *
describe_quota(Quota *quota, const CatalogTeam *team)
{
    QuotaState state;

    if (team == NULL || team->rate_per_s == 0) {
        return json_null();
    }
    Quota_ReadState(quota, team, &state);
    return json_pack(
        "{s:I, s:I, s:s, s:I, s:I, s:I, s:o}", "rate_per_s",
        (json_int_t)team->rate_per_s, "burst", (json_int_t)team->burst,
        "source", Quota_SourceName(state.source), "window_ms",
        (json_int_t)state.window_ms, "limit", (json_int_t)state.limit,
        "admitted", (json_int_t)state.admitted, "counted",
        state.counted < 0 ? json_null() : json_integer(state.counted));
}

static json_t *
describe_regions(const GatewayRequest *request,
                 const RosterExplanation *explanation)
{
    json_t *names = json_array();

    for (uint32_t i = 0; i < explanation->region_count; i++) {
        json_array_append_new(names, json_string(explanation->regions[i]));
    }
    return json_pack("{s:b, s:b, s:o}", "by_route",
                     request->regions.route != NULL, "by_team",
                     request->regions.team != NULL, "allowed", names);
}

static json_t *
describe_candidate(const RosterCandidate *candidate, gboolean is_chosen)
{
    const char *why = RosterExclusion_Name(candidate->exclusion);

    return json_pack(
        "{s:s, s:s, s:s, s:s, s:o, s:f, s:f, s:I, s:I, s:I, s:f, s:o, s:b}",
        "host", candidate->entry.host, "data_centre",
        candidate->entry.data_centre, "region", candidate->entry.region,
        "distance", RosterTier_Name(candidate->tier), "age_ms",
        candidate->age_ms == CLOCK_NEVER ? json_null()
                                         : json_integer(candidate->age_ms),
        "fail_share", candidate->fail_share, "load", candidate->load, "slots",
        (json_int_t)candidate->entry.slots, "wait_ms",
        (json_int_t)candidate->wait_ms, "explore_idle_ms",
        (json_int_t)candidate->explore_idle_ms, "cost", candidate->cost,
        "excluded", *why != '\0' ? json_string(why) : json_null(), "chosen",
        is_chosen);
}

/* Adds the candidates and the choice; returns the result of the choice. */
static Result
add_candidates(const GatewayRequest *request, json_t *object)
{
    const Gateway *gateway = request->gateway;
    RosterExplanation *explanation = g_new(RosterExplanation, 1);
    json_t *candidates = json_array();
    RosterQuery query;
    RosterReport own;
    Result result = RESULT_OK;

    _Gateway_MakeQuery(request, request->arrived, &query);
    _Gateway_OwnReport(gateway, &own);
    Roster_Explain(gateway->desc.roster, &query, &own, request->arrived,
                   explanation);
    for (uint32_t i = 0; i < explanation->count; i++) {
        const RosterCandidate *candidate = &explanation->candidates[i];

        json_array_append_new(
            candidates,
            describe_candidate(candidate, explanation->is_chosen &&
                                              candidate->host ==
                                                  explanation->choice.host));
    }
    if (!explanation->is_chosen) {
        result = explanation->choice.away_ms >= 0 ? RESULT_HOME_REGIONS_AWAY
                                                  : RESULT_NO_BACKEND_SERVER;
    }
    json_object_set_new(object, "regions",
                        describe_regions(request, explanation));
    json_object_set_new(object, "choice",
                        explanation->is_chosen
                            ? json_string(explanation->choice.entry.host)
                            : json_null());
    json_object_set_new(object, "full_wait_ms",
                        json_integer(explanation->is_chosen
                                         ? explanation->choice.full_wait_ms
                                         : 0));
    json_object_set_new(object, "candidates", candidates);
    json_object_set_new(object, "left_out",
                        json_integer(explanation->left_out));
    g_free(explanation);
    return result;
}

json_t *
GatewayExplain_Make(Gateway *gateway, const GatewayExplainInput *input)
{
    GatewayRequest request = {.gateway = gateway,
                              .arrived = Clock_Now(),
                              .stop_ms = -1,
                              .table = Catalog_Acquire(gateway->desc.catalog)};
    json_t *object =
        json_pack("{s:s, s:s, s:s, s:s, s:I, s:I}", "from", gateway->desc.host,
                  "method", input->method, "host", input->host, "path",
                  input->path, "bytes", (json_int_t)input->body_bytes,
                  "deadline_ms", (json_int_t)input->deadline_ms);
    Result result;

    _Gateway_SetAge(&request, request.arrived);
    result = prepare(&request, input);
    if (request.table != NULL) {
        json_object_set_new(
            object, "configuration",
            json_integer((json_int_t)CatalogTable_Version(request.table)));
    }
    json_object_set_new(object, "configuration_age_ms",
                        request.catalog_age == CLOCK_NEVER
                            ? json_null()
                            : json_integer(request.catalog_age));
    if (request.route != NULL) {
        json_object_set_new(object, "route", describe_route(&request));
    }
    if (request.destination != NULL) {
        Result choice = RESULT_OK;

        json_object_set_new(object, "service",
                            json_string(request.destination->service));
        json_object_set_new(object, "team",
                            request.team ? json_string(request.team->name)
                                         : json_null());
        json_object_set_new(object, "quota",
                            describe_quota(gateway->desc.quota, request.team));
        json_object_set_new(object, "can_retry",
                            json_boolean(request.can_retry));
        choice = add_candidates(&request, object);
        result = result == RESULT_OK ? choice : result;
    }
    json_object_set_new(object, "result", json_string(Result_Name(result)));
    json_object_set_new(object, "message", json_string(Result_Text(result)));
    _Gateway_ClearRequest(&request);
    return object;
}

/* Reads a decimal number up to `max`; `fallback` without the argument. */
static gboolean
read_number(const HttpRequest *http, const char *name, int64_t fallback,
            int64_t max, int64_t *value)
{
    char *text = HttpRequest_Argument(http, name);
    guint64 number = (guint64)fallback;
    gboolean valid =
        text == NULL ||
        g_ascii_string_to_unsigned(text, 10, 0, (guint64)max, &number, NULL);

    *value = (int64_t)number;
    g_free(text);
    return valid;
}

/* Whether the text is printable UTF-8 without spaces, of a bounded length. */
static gboolean
is_plain(const char *text, size_t max_bytes)
{
    if (text == NULL || *text == '\0' || strlen(text) > max_bytes ||
        !g_utf8_validate(text, -1, NULL)) {
        return FALSE;
    }
    for (; *text != '\0'; text++) {
        if ((unsigned char)*text <= ' ' || *text == 0x7f) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Fills the input from the arguments, whose strings the caller frees. Returns
 * what is wrong with them; NULL: nothing. */
static const char *
read_input(const HttpRequest *http, const Gateway *gateway,
           GatewayExplainInput *input, char **strings)
{
    char *query = g_uri_unescape_string(HttpRequest_Query(http), NULL);
    gboolean is_escaped = query != NULL;
    int64_t bytes;

    g_free(query);
    if (strcmp(HttpRequest_Method(http), "GET") != 0) {
        return "only GET is served here";
    }
    if (!is_escaped) {
        return "an escape in the query is malformed";
    }
    strings[0] = HttpRequest_Argument(http, "host");
    strings[1] = HttpRequest_Argument(http, "path");
    strings[2] = HttpRequest_Argument(http, "method");
    if (!is_plain(strings[0], MAX_NAME_BYTES)) {
        return "host is missing or malformed";
    }
    if (!is_plain(strings[1], MAX_PATH_BYTES) || strings[1][0] != '/') {
        return "path is missing, malformed or does not begin with /";
    }
    if (strings[2] != NULL && !is_plain(strings[2], MAX_NAME_BYTES)) {
        return "method is malformed";
    }
    if (!read_number(http, "bytes", 0, MAX_BODY_BYTES, &bytes)) {
        return "bytes is not a number from 0 to 2^40";
    }
    if (!read_number(http, "deadline_ms", GATEWAY_DEFAULT_DEADLINE_MS,
                     GATEWAY_MAX_DEADLINE_MS, &input->deadline_ms)) {
        return "deadline_ms is not a number from 0 to 86400000";
    }
    /* Routes are matched without the query. */
    strings[1][strcspn(strings[1], "?")] = '\0';
    input->host = strings[0];
    input->path = strings[1];
    input->method = strings[2] ? strings[2] : "GET";
    input->body_bytes = (size_t)bytes;
    input->key =
        HttpHeaders_Get(HttpRequest_Headers(http), gateway->desc.names->key);
    return NULL;
}

void
GatewayExplain_Serve(Gateway *gateway, HttpRequest *http)
{
    GatewayExplainInput input = {0};
    char *strings[3] = {0};
    HttpAnswer answer = {0};
    const char *fault = read_input(http, gateway, &input, strings);
    json_t *object = fault != NULL ? json_pack("{s:s}", "message", fault)
                                   : GatewayExplain_Make(gateway, &input);

    HttpAnswer_SetJson(&answer, fault != NULL ? 400 : 200,
                       json_dumps(object, JSON_COMPACT));
    json_decref(object);
    HttpRequest_Respond(http, &answer);
    for (size_t i = 0; i < G_N_ELEMENTS(strings); i++) {
        g_free(strings[i]);
    }
}
