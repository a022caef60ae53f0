#include <string.h>

#include "base/counter.h"
#include "entry/entry_internal.h"
#include "key/key.h"
#include "owner/owner_wire.h"

/* The headers of a request in the form that the key module reads. */
typedef struct KeyView {
    KeyHeader *headers;
    size_t count;
} KeyView;

static KeyView
view_headers(const HttpHeaders *headers)
{
    KeyView view = {.headers = g_new0(KeyHeader, headers->count + 1),
                    .count = headers->count};

    for (size_t i = 0; i < headers->count; i++) {
        view.headers[i].name = headers->items[i].name;
        view.headers[i].value = headers->items[i].value;
    }
    return view;
}

/* Extracts the key from the headers and hashes it. Refuses the request if the
 * key also occurs in any other place. */
static Result
read_key(EntryRequest *request, const KeyView *view, ConfigKeyHash *hash)
{
    char key[KEY_MAX_BYTES + 1];
    KeyRequest parts = {.headers = view->headers,
                        .header_count = view->count,
                        .path = HttpRequest_Path(request->http),
                        .query = HttpRequest_Query(request->http),
                        .body = request->body,
                        .body_bytes = request->body_bytes};
    Result result = Key_Extract(view->headers, view->count, key);

    Counter_Add(COUNTER_KEY_LOOKUPS, 1);
    if (result == RESULT_OK && Key_IsMisplaced(key, &parts)) {
        result = RESULT_KEY_MISPLACED;
    }
    if (result == RESULT_OK) {
        Key_Hash(key, hash->bytes);
    }
    Key_Wipe(key, sizeof(key));
    return result;
}

static void
forward_headers(EntryRequest *request, const KeyView *view)
{
    for (size_t i = 0; i < view->count; i++) {
        if (Key_Forwardable(view->headers, view->count,
                            view->headers[i].name) &&
            !OwnerWire_IsReservedHeader(view->headers[i].name)) {
            HttpHeaders_Add(&request->forwarded, view->headers[i].name,
                            view->headers[i].value);
        }
    }
}

/* Copies the data that the request needs out of the configuration tables.
 * Called in a read section. */
static void
copy_route(EntryRequest *request, const ConfigTeamInfo *team,
           const ConfigRouteInfo *route)
{
    request->team_hash = RunToken_NameHash(team->name);
    request->limit = RateLimit_FromMicro(team->rate_micro, team->burst_micro);
    request->route_hash = RunToken_NameHash(route->path);
    request->service = Rng_HashString(route->service_name);
    request->issuance = route->issuance;
    request->retries = route->retries;
    request->pool_count = route->split_count;
    for (uint32_t i = 0; i < route->split_count; i++) {
        request->pools[i].pool = Owner_PoolHash(route->splits[i].pool);
        request->pools[i].share_percent = route->splits[i].share_percent;
    }
    if (route->deadline_ms > 0) {
        request->deadline =
            HttpRequest_Arrived(request->http) + (ClockMs)route->deadline_ms;
    }
}

static Result
find_route(EntryRequest *request, const ConfigTable *table,
           const ConfigKeyHash *hash, const char *path)
{
    ConfigRouteInfo route;
    ConfigTeamInfo info;
    ConfigTeam team;
    ConfigRoute handle;
    Result result;

    if (Config_GetVersion(table) == 0) {
        return RESULT_NOT_CONFIGURED;
    }
    result = Config_FindTeamByKeyHash(table, hash, &team);
    if (result != RESULT_OK) {
        return result;
    }
    handle = Config_FindRoute(table, path);
    if (!Config_GetTeam(table, team, &info)) {
        return RESULT_ROUTE_UNKNOWN;
    }
    /* The names are copied before the checks below, because the explanation of
     * a refusal needs them. */
    g_strlcpy(request->team, info.name, sizeof(request->team));
    if (!Config_GetRoute(table, handle, &route)) {
        return RESULT_ROUTE_UNKNOWN;
    }
    g_strlcpy(request->route, route.path, sizeof(request->route));
    if (!Config_RouteAllows(table, handle, team)) {
        return RESULT_ROUTE_FORBIDDEN;
    }
    copy_route(request, &info, &route);
    return RESULT_OK;
}

/* Refuses "." and ".." segments and encoded slashes, with which a request
 * could reach the paths of another route at the backend server. */
static gboolean
is_plain_path(const char *path)
{
    char **segments = g_strsplit(path, "/", 0);
    char *decoded;
    gboolean plain = path[0] == '/';

    for (char **segment = segments; *segment != NULL && plain; segment++) {
        decoded = g_uri_unescape_string(*segment, NULL);
        plain = decoded != NULL && strcmp(decoded, ".") != 0 &&
                strcmp(decoded, "..") != 0 && strchr(decoded, '/') == NULL;
        g_free(decoded);
    }
    g_strfreev(segments);
    return plain;
}

static gboolean
is_isolated(const Entry *entry)
{
    ClockMs limit = Settings_Read(&entry->desc.settings->isolation_limit_ms);
    int64_t age;

    if (limit == 0) {
        return FALSE;
    }
    age = ConfigSync_ContactAgeMs(entry->desc.sync);
    return age < 0 || age > limit;
}

static void
read_deadline(EntryRequest *request, const HttpHeaders *headers)
{
    ClockMs arrived = HttpRequest_Arrived(request->http);
    int64_t requested_ms =
        HttpHeaders_GetNumber(headers, "Radishknot-Deadline-Ms", -1);

    if (request->deadline == 0) {
        request->deadline =
            arrived +
            Settings_Read(&request->entry->desc.settings->default_deadline_ms);
    }
    if (requested_ms >= 0 && requested_ms < request->deadline - arrived) {
        request->deadline = arrived + requested_ms;
    }
    HttpRequest_SetDeadline(request->http, request->deadline);
}

static Result
read_token(EntryRequest *request, const HttpHeaders *headers)
{
    const char *text = HttpHeaders_Get(headers, "Radishknot-Run-Token");
    Result result;

    if (!request->issuance || text == NULL) {
        return RESULT_OK;
    }
    result = RunToken_Verify(
        text, request->entry->desc.settings->fleet_secret,
        strlen(request->entry->desc.settings->fleet_secret), &request->token);
    if (result == RESULT_OK && (request->token.team != request->team_hash ||
                                request->token.route != request->route_hash)) {
        result = RESULT_TOKEN_OTHER_TEAM;
    }
    if (result == RESULT_OK) {
        request->is_caller_token = TRUE;
        _Entry_SetToken(request, text);
    }
    return result;
}

static void
choose_pool(EntryRequest *request, const HttpHeaders *headers)
{
    const char *subject = HttpHeaders_Get(headers, "Radishknot-Subject");
    Entry *entry = request->entry;
    int index;

    if (request->pool_count == 0) {
        return;
    }
    pthread_mutex_lock(&entry->lock);
    index =
        Route_ChoosePool(request->pools, request->pool_count,
                         subject ? Rng_HashString(subject) : 0, &entry->rng);
    pthread_mutex_unlock(&entry->lock);
    request->pool = (uint32_t)request->pools[MAX(index, 0)].pool;
}

Result
_Entry_ReadRequest(EntryRequest *request)
{
    const HttpHeaders *headers = HttpRequest_Headers(request->http);
    const char *method = HttpRequest_Method(request->http);
    const char *path = HttpRequest_Path(request->http);
    char *path_argument = NULL;
    KeyView view = view_headers(headers);
    ConfigKeyHash hash;
    Result result;

    request->body = HttpRequest_Body(request->http, &request->body_bytes);
    request->target = HttpRequest_Target(request->http);
    result = read_key(request, &view, &hash);
    if (strncmp(path, "/radishknot/", 12) == 0) {
        /* A request for run tokens names the path for which they are used. */
        path_argument = HttpRequest_Argument(request->http, "path");
        path = path_argument != NULL ? path_argument : "";
    }
    if (result == RESULT_OK && !is_plain_path(path)) {
        result = RESULT_REQUEST_INVALID;
    }
    if (result == RESULT_OK) {
        result =
            find_route(request, Config_ReadLock(request->entry->desc.config),
                       &hash, path);
        Config_ReadUnlock(request->entry->desc.config);
    }
    if (result == RESULT_OK && is_isolated(request->entry)) {
        result = RESULT_ISOLATED;
    }
    if (result == RESULT_OK) {
        request->issuance = request->issuance && strcmp(method, "GET") != 0 &&
                            strcmp(method, "HEAD") != 0;
        request->idempotent =
            !request->issuance &&
            (strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
             strcmp(method, "PUT") == 0 || strcmp(method, "DELETE") == 0 ||
             strcmp(method, "OPTIONS") == 0);
        read_deadline(request, headers);
        choose_pool(request, headers);
        forward_headers(request, &view);
        result = read_token(request, headers);
    }
    g_free(view.headers);
    g_free(path_argument);
    return result;
}

gboolean
_Entry_SetToken(EntryRequest *request, const char *text)
{
    if (request->token_count == ENTRY_MAX_TOKENS) {
        return FALSE;
    }
    request->token_texts[request->token_count] = g_strdup(text);
    atomic_store(&request->token_text,
                 request->token_texts[request->token_count++]);
    return TRUE;
}

void
_Entry_ClearRequest(EntryRequest *request)
{
    HttpHeaders_Clear(&request->forwarded);
    for (uint32_t i = 0; i < request->token_count; i++) {
        g_free(request->token_texts[i]);
    }
    g_free(request->target);
    g_free(request);
}
