#include <string.h>
#include <urcu.h>

#include "base/counter.h"
#include "base/log.h"
#include "entry/entry_internal.h"
#include "owner/owner_wire.h"

/* Number of candidates that fit on the stack; a larger array is allocated. */
#define STACK_CANDIDATES 128

static RouteState
route_state(uint8_t state)
{
    switch (state) {
    case MEMBER_SERVER_DRAINING:
        return ROUTE_DRAINING;
    case MEMBER_SERVER_LEAVING:
        return ROUTE_LEAVING;
    default:
        return ROUTE_READY;
    }
}

static uint32_t
fill_candidates(const EntryRequest *request, const MemberService *service,
                RouteCandidate *candidates)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < service->count; i++) {
        const MemberRef *ref = &service->refs[i];

        if (request->pool_count > 0 && ref->server->pool != request->pool) {
            continue;
        }
        candidates[count++] = (RouteCandidate){
            .backend_server = ref->server->name,
            .host = ref->host->id,
            .region = ref->host->region,
            .data_centre = ref->host->data_centre,
            .context = (void *)ref,
            .state = route_state(ref->server->state),
            .weight = ref->server->state == MEMBER_SERVER_EJECTED
                          ? 0
                          : ref->server->weight,
            .slots = ref->server->slots,
            .latency_class = ref->server->latency_class,
        };
    }
    return count;
}

static void
fill_owner(const Entry *entry, const MemberHost *host, EntryTarget *target)
{
    memset(target, 0, sizeof(*target));
    target->host = host->id;
    target->incarnation = host->incarnation;
    target->is_local = host->id == entry->desc.host;
    target->owner_address.sin_family = AF_INET;
    target->owner_address.sin_addr.s_addr = htonl(host->ip);
    target->owner_address.sin_port = htons(host->owner_port);
    target->rpc = (RpcPeer){.host = host->id,
                            .incarnation = host->incarnation,
                            .ip = host->ip,
                            .port = host->rpc_port};
}

/* Chooses among the backend servers of a service. Called in an RCU read-side
 * critical section. */
static gboolean
choose_from(EntryRequest *request, const MemberService *service,
            RouteCandidate *candidates, EntryTarget *target)
{
    Entry *entry = request->entry;
    const MemberHost *own =
        Member_FindHost(entry->desc.member, entry->desc.host);
    uint32_t count = fill_candidates(request, service, candidates);
    const MemberRef *ref;
    RouteTier tier;
    RouteSet set;
    int index;

    Route_Order(Rng_Mix(request->service, request->pool), candidates, count,
                own->region, own->data_centre, &set);
    pthread_mutex_lock(&entry->lock);
    index = Route_Choose(entry->route, &set, request->failed,
                         request->failed_count, Clock_Now(), &tier);
    if (index >= 0) {
        Route_Start(entry->route, candidates[index].backend_server,
                    Clock_Now());
    }
    pthread_mutex_unlock(&entry->lock);
    if (index < 0) {
        return FALSE;
    }
    ref = candidates[index].context;
    fill_owner(entry, ref->host, target);
    target->backend_server = ref->server->name;
    target->tier = tier;
    if (tier == ROUTE_TIER_OTHER_REGION) {
        Counter_Add(COUNTER_ROUTE_CROSS_REGION, 1);
    }
    return TRUE;
}

Result
_Entry_ChooseTarget(EntryRequest *request, EntryTarget *target)
{
    RouteCandidate stack[STACK_CANDIDATES];
    RouteCandidate *candidates = stack;
    const MemberService *service;
    gboolean found = FALSE;

    rcu_read_lock();
    service =
        Member_FindService(request->entry->desc.member, request->service);
    if (service != NULL) {
        if (service->count > STACK_CANDIDATES) {
            candidates = g_new(RouteCandidate, service->count);
        }
        found = choose_from(request, service, candidates, target);
    }
    rcu_read_unlock();
    if (candidates != stack) {
        g_free(candidates);
    }
    return found ? RESULT_OK : RESULT_NO_BACKEND_SERVER;
}

/* Returns a backend server of the request's service on the host; 0 if none. */
static uint64_t
server_on_host(const EntryRequest *request, const MemberHost *host)
{
    for (uint16_t i = 0; i < host->server_count; i++) {
        if (host->servers[i].service == request->service) {
            return host->servers[i].name;
        }
    }
    return 0;
}

unsigned
Entry_Successors(const Member *member, uint64_t host, uint64_t incarnation,
                 int region, int data_centre, const MemberHost **hosts,
                 unsigned max)
{
    const MemberHostList *list = Member_ListHosts(member, region, data_centre);
    uint32_t count = Member_Rank(list, Rng_Mix(host, incarnation), hosts, max);
    unsigned kept = 0;

    for (uint32_t i = 0; i < count; i++) {
        if (hosts[i]->id != host) {
            hosts[kept++] = hosts[i];
        }
    }
    return kept;
}

gboolean
_Entry_TokenTarget(EntryRequest *request, unsigned n, EntryTarget *target)
{
    const Member *member = request->entry->desc.member;
    const MemberHost *ranked[8];
    const MemberHost *host;
    gboolean found = FALSE;
    unsigned count;

    rcu_read_lock();
    host = Member_FindHost(member, request->token.owner);
    if (host != NULL && n == 0 &&
        host->incarnation == request->token.incarnation &&
        (host->state == MEMBER_ALIVE || host->state == MEMBER_SUSPECT)) {
        fill_owner(request->entry, host, target);
        target->backend_server = server_on_host(request, host);
        found = TRUE;
    }
    else if (host != NULL && n > 0) {
        count = Entry_Successors(member, host->id, request->token.incarnation,
                                 host->region, host->data_centre, ranked,
                                 G_N_ELEMENTS(ranked));
        if (n - 1 < count) {
            fill_owner(request->entry, ranked[n - 1], target);
            found = TRUE;
        }
    }
    rcu_read_unlock();
    return found;
}

static void
fill_call(const EntryRequest *request, const EntryTarget *target,
          HttpCancel *cancel, OwnerCall *call)
{
    *call = (OwnerCall){
        .request_id = request->id,
        .team = request->team,
        .team_hash = request->team_hash,
        .route_hash = request->route_hash,
        .backend_server = target->backend_server,
        .method = HttpRequest_Method(request->http),
        .target = request->target,
        .headers = &request->forwarded,
        .body = request->body,
        .body_bytes = request->body_bytes,
        .deadline = request->deadline,
        .issuance = request->issuance,
        .run_token =
            request->issuance ? atomic_load(&request->token_text) : NULL,
        .cancel = cancel,
    };
}

/* Fills the reply of a call that the watch cancelled. */
static void
apply_verdict(EntryVerdict verdict, const EntryTarget *target,
              EntryRequest *request, OwnerReply *reply)
{
    if (verdict == ENTRY_VERDICT_NONE) {
        return;
    }
    reply->result = RESULT_CONNECTION_SILENT;
    if (verdict == ENTRY_VERDICT_VOID) {
        reply->run = RUN_NO;
    }
    request->is_connection_fault = verdict != ENTRY_VERDICT_UNREACHABLE;
    HttpClient_CloseIdle(request->entry->desc.client, &target->owner_address);
}

static void
call_remote(EntryRequest *request, const EntryTarget *target,
            const OwnerCall *call, HttpCancel *cancel, OwnerReply *reply)
{
    Entry *entry = request->entry;
    const char *secret = entry->desc.settings->fleet_secret;
    HttpHeaders headers = {0};
    HttpAnswer answer = {0};
    OwnerAttempt attempt;
    EntryWatched *watched;
    EntryVerdict verdict;
    gboolean sent;
    HttpCall http = {.address = target->owner_address,
                     .method = call->method,
                     .target = call->target,
                     .headers = &headers,
                     .body = call->body,
                     .body_bytes = call->body_bytes,
                     .deadline = call->deadline,
                     .cancel = cancel};

    pthread_mutex_lock(&entry->lock);
    attempt = Rng_Next(&entry->rng);
    pthread_mutex_unlock(&entry->lock);
    OwnerWire_EncodeCall(call, attempt, secret, strlen(secret), &headers);
    watched = EntryWatch_Begin(entry->watch, &target->rpc, attempt, cancel);
    reply->result = HttpClient_Call(entry->desc.client, &http, &answer, &sent);
    verdict = EntryWatch_End(entry->watch, watched);
    if (reply->result == RESULT_OK) {
        OwnerWire_DecodeReply(&answer, call->request_id, attempt, reply);
    }
    else {
        reply->run = sent ? RUN_UNKNOWN : RUN_NO;
        apply_verdict(verdict, target, request, reply);
    }
    HttpAnswer_Clear(&answer);
    HttpHeaders_Clear(&headers);
}

void
_Entry_Exclude(EntryRequest *request, const EntryTarget *target)
{
    if (!request->is_connection_fault &&
        request->failed_count < ENTRY_MAX_FAILED) {
        request->failed[request->failed_count++] = target->backend_server;
    }
}

static void
report_to_route(const EntryRequest *request, const EntryTarget *target,
                const OwnerReply *reply, int64_t latency_us)
{
    Entry *entry = request->entry;
    gboolean reached = reply->result != RESULT_CONNECT_FAILED &&
                       reply->result != RESULT_CONNECTION_SILENT;
    RouteLoad load = {.slots_in_use = reply->slots_in_use,
                      .queue = reply->queue,
                      .latency_us = latency_us};

    pthread_mutex_lock(&entry->lock);
    Route_End(entry->route, target->backend_server, reached ? &load : NULL,
              Clock_Now());
    if (reached) {
        Route_ConnectOk(entry->route, target->host);
    }
    else if (!target->is_local && !request->is_connection_fault) {
        Route_ConnectFailed(entry->route, target->host, Clock_Now());
    }
    pthread_mutex_unlock(&entry->lock);
}

void
_Entry_Attempt(EntryRequest *request, const EntryTarget *target,
               OwnerReply *reply)
{
    Entry *entry = request->entry;
    HttpCancel *cancel = HttpCancel_Create();
    int64_t started = Clock_NowMicroseconds();
    RunState before = (RunState)atomic_load(&request->run);
    OwnerCall call;

    memset(reply, 0, sizeof(*reply));
    fill_call(request, target, cancel, &call);
    request->is_connection_fault = FALSE;
    atomic_store(&request->run, RUN_UNKNOWN);
    if (!request->issuance) {
        HttpRequest_OnDisconnect(request->http, HttpCancel_Trigger, cancel);
    }
    if (target->is_local) {
        Owner_Execute(entry->desc.owner, &call, reply);
    }
    else {
        call_remote(request, target, &call, cancel, reply);
    }
    HttpRequest_OnDisconnect(request->http, NULL, NULL);
    HttpCancel_Destroy(cancel);
    request->attempts++;
    /* If this attempt did not run, the state of earlier ones remains: one with
     * an unknown outcome may still run. */
    atomic_store(&request->run,
                 (int)(reply->run == RUN_NO ? before : reply->run));
    report_to_route(request, target, reply, Clock_NowMicroseconds() - started);
    Log_Append(request->trace, sizeof(request->trace),
               "; attempt host=%016" G_GINT64_MODIFIER
               "x server=%016" G_GINT64_MODIFIER "x %s run=%s",
               target->host, target->backend_server,
               Result_Name(reply->result), Result_RunName(reply->run));
}
