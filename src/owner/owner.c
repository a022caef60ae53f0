#include "owner/owner.h"

#include <pthread.h>
#include <string.h>
#include <time.h>

#include "base/condition.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/rng.h"
#include "issue/run_token.h"

typedef struct Server {
    OwnerAnnouncement announcement;
    uint64_t name;    /* hash */
    uint64_t service; /* hash */
    ClockMs announced_at;
    gboolean operator_drain;
    Health *health;
    PermitClaim *claim;
    HealthVerdict verdict;
    int baseline_class;
    unsigned in_use;
    unsigned waiting;
    unsigned references; /* requests that use the record */
    gboolean removed;    /* freed when the last reference ends */
    /* Signalled when a slot is freed, and on an announcement, a change of the
     * health state and the removal of the server. */
    pthread_cond_t slot_freed;
} Server;

struct Owner {
    Owner_desc desc;
    pthread_mutex_t lock;
    Server *servers[MEMBER_MAX_SERVERS];
    unsigned count;
    gboolean draining;
    uint64_t published; /* hash of the records published last */
};

Owner *
Owner_Create(const Owner_desc *desc)
{
    Owner *owner = g_new0(Owner, 1);

    owner->desc = *desc;
    pthread_mutex_init(&owner->lock, NULL);
    return owner;
}

static void
free_server(Server *server)
{
    Health_Destroy(server->health);
    PermitClaim_Destroy(server->claim);
    pthread_cond_destroy(&server->slot_freed);
    g_free(server);
}

void
Owner_Destroy(Owner *owner)
{
    if (owner == NULL) {
        return;
    }
    for (unsigned i = 0; i < owner->count; i++) {
        free_server(owner->servers[i]);
    }
    pthread_mutex_destroy(&owner->lock);
    g_free(owner);
}

uint32_t
Owner_PoolHash(const char *pool)
{
    return (uint32_t)Rng_HashString(pool);
}

/* The functions from here to fill_records() are called with the lock held. */
static Server *
find_server(Owner *owner, uint64_t name)
{
    for (unsigned i = 0; i < owner->count; i++) {
        if (owner->servers[i]->name == name) {
            return owner->servers[i];
        }
    }
    return NULL;
}

static Server *
add_server(Owner *owner, const OwnerAnnouncement *announcement, ClockMs now)
{
    PermitClaim_desc claim = {.service = announcement->service,
                              .backend_server = announcement->name,
                              .host = owner->desc.host,
                              .incarnation = owner->desc.incarnation};
    Server *server;

    if (owner->count == MEMBER_MAX_SERVERS) {
        return NULL;
    }
    server = g_new0(Server, 1);
    server->name = Rng_HashString(announcement->name);
    server->service = Rng_HashString(announcement->service);
    server->health = Health_Create(&owner->desc.health, now);
    server->claim = PermitClaim_Create(&claim);
    server->verdict.weight = HEALTH_WEIGHT_FULL;
    Condition_Init(&server->slot_freed);
    owner->servers[owner->count++] = server;
    return server;
}

static void
release_server(Server *server)
{
    if (--server->references == 0 && server->removed) {
        free_server(server);
    }
}

static void
remove_server(Owner *owner, unsigned index)
{
    Server *server = owner->servers[index];

    Log_Event(LOG_BACKEND_SERVER_GONE, "name=%s service=%s",
              server->announcement.name, server->announcement.service);
    owner->servers[index] = owner->servers[--owner->count];
    server->removed = TRUE;
    server->references++;
    pthread_cond_broadcast(&server->slot_freed);
    release_server(server);
}

/* Whether the backend server accepts new requests. A drain of the whole owner
 * does not count: the owner still runs requests of entries that have not yet
 * received its draining state, and run tokens that only this owner may run. */
static gboolean
accepts_requests(const Server *server)
{
    return !server->removed && !server->operator_drain &&
           server->announcement.state == OWNER_SERVER_READY;
}

static MemberServerState
member_state(const Owner *owner, const Server *server)
{
    if (server->announcement.state == OWNER_SERVER_LEAVING) {
        return MEMBER_SERVER_LEAVING;
    }
    if (owner->draining || !accepts_requests(server)) {
        return MEMBER_SERVER_DRAINING;
    }
    return server->verdict.state == HEALTH_STATE_EJECTED
               ? MEMBER_SERVER_EJECTED
               : MEMBER_SERVER_READY;
}

static uint32_t
fill_records(const Owner *owner, MemberServer *records)
{
    memset(records, 0, sizeof(MemberServer) * MEMBER_MAX_SERVERS);
    for (unsigned i = 0; i < owner->count; i++) {
        const Server *server = owner->servers[i];
        const OwnerAnnouncement *announcement = &server->announcement;

        records[i] = (MemberServer){
            .name = server->name,
            .service = server->service,
            .pool = Owner_PoolHash(announcement->pool),
            .ip = ntohl(announcement->address.sin_addr.s_addr),
            .port = ntohs(announcement->address.sin_port),
            .slots = (uint16_t)announcement->slots,
            .weight = (uint8_t)server->verdict.weight,
            .state = (uint8_t)member_state(owner, server),
            .latency_class = (uint8_t)server->verdict.latency_class,
        };
    }
    return owner->count;
}

/* Publishes the records if they changed. Takes the lock. */
static void
publish(Owner *owner)
{
    MemberServer records[MEMBER_MAX_SERVERS];
    uint32_t count;
    uint64_t hash;
    gboolean changed;

    pthread_mutex_lock(&owner->lock);
    count = fill_records(owner, records);
    hash = Rng_Hash(records, count * sizeof(MemberServer));
    changed = hash != owner->published;
    owner->published = hash;
    pthread_mutex_unlock(&owner->lock);
    if (changed && owner->desc.publish != NULL) {
        owner->desc.publish(owner->desc.context, records, count);
    }
}

Result
Owner_Announce(Owner *owner, const OwnerAnnouncement *announcement,
               ClockMs now)
{
    uint64_t name = Rng_HashString(announcement->name);
    Result result = RESULT_OK;
    Server *server;

    pthread_mutex_lock(&owner->lock);
    server = find_server(owner, name);
    if (server == NULL) {
        server = add_server(owner, announcement, now);
    }
    if (server == NULL) {
        result = RESULT_FULL;
    }
    else if (server->service != Rng_HashString(announcement->service)) {
        result = RESULT_MALFORMED;
    }
    else {
        if (strcmp(server->announcement.session, announcement->session) != 0) {
            Health_ColdStart(server->health, now);
            Log_Event(LOG_BACKEND_SERVER_ANNOUNCED,
                      "name=%s service=%s pool=%s slots=%u",
                      announcement->name, announcement->service,
                      announcement->pool, announcement->slots);
        }
        server->announcement = *announcement;
        server->announced_at = now;
        pthread_cond_broadcast(&server->slot_freed);
    }
    pthread_mutex_unlock(&owner->lock);
    publish(owner);
    return result;
}

Result
Owner_SetDrain(Owner *owner, const char *name, gboolean drain)
{
    Server *server;

    pthread_mutex_lock(&owner->lock);
    server = find_server(owner, Rng_HashString(name));
    if (server != NULL) {
        server->operator_drain = drain;
    }
    pthread_mutex_unlock(&owner->lock);
    publish(owner);
    return server != NULL ? RESULT_OK : RESULT_NOT_FOUND;
}

/* Number of slots that may be used: fewer while the health state limits the
 * requests in flight. Called with the lock held. */
static unsigned
usable_slots(const Server *server)
{
    unsigned health_limit = server->verdict.max_in_flight;

    return health_limit > 0 && health_limit < server->announcement.slots
               ? health_limit
               : server->announcement.slots;
}

/* Waits in the server's queue for a slot. Called with the lock held. */
static Result
wait_for_slot(Owner *owner, Server *server, ClockMs deadline)
{
    struct timespec until = Condition_After(MAX(deadline - Clock_Now(), 0));
    unsigned limit = (unsigned)__atomic_load_n(owner->desc.queue_per_server,
                                               __ATOMIC_RELAXED);
    Result result = RESULT_OK;

    if (server->waiting >= limit) {
        return RESULT_BACKEND_SERVER_BUSY;
    }
    server->waiting++;
    while (result == RESULT_OK && server->in_use >= usable_slots(server)) {
        if (!accepts_requests(server)) {
            result = RESULT_BACKEND_SERVER_LEAVING;
        }
        else if (server->verdict.state == HEALTH_STATE_EJECTED) {
            result = RESULT_BACKEND_SERVER_EJECTED;
        }
        else if (pthread_cond_timedwait(&server->slot_freed, &owner->lock,
                                        &until) != 0) {
            result = RESULT_DEADLINE_EXPIRED;
        }
    }
    server->waiting--;
    return result;
}

/* Takes a slot, waiting for one if necessary. On OK, the server is referenced
 * and its in_use incremented. Called with the lock held. */
static Result
admit(Owner *owner, const OwnerCall *call, Server **admitted,
      HealthRequest *health)
{
    Server *server = find_server(owner, call->backend_server);
    Result result = RESULT_OK;

    if (server == NULL) {
        return RESULT_NO_BACKEND_SERVER;
    }
    if (!accepts_requests(server)) {
        return RESULT_BACKEND_SERVER_LEAVING;
    }
    if (server->verdict.state == HEALTH_STATE_EJECTED) {
        return RESULT_BACKEND_SERVER_EJECTED;
    }
    server->references++;
    if (server->in_use >= usable_slots(server)) {
        result = wait_for_slot(owner, server, call->deadline);
    }
    /* The deadline may have passed while the process was paused. */
    if (result == RESULT_OK && Clock_Now() >= call->deadline) {
        result = RESULT_DEADLINE_EXPIRED;
    }
    if (result != RESULT_OK) {
        release_server(server);
        return result;
    }
    server->in_use++;
    *health = Health_Start(server->health, Clock_Now());
    *admitted = server;
    return RESULT_OK;
}

/* The functions below are called without the lock, unless noted. */

static gboolean
is_shed(const HttpAnswer *answer)
{
    return answer->status == 503 &&
           HttpHeaders_Get(&answer->headers, "Retry-After") != NULL;
}

static HealthOutcome
health_outcome(Result result)
{
    switch (result) {
    case RESULT_OK:
        return HEALTH_OK;
    case RESULT_BACKEND_SERVER_SHED:
        return HEALTH_SHED;
    case RESULT_BACKEND_SERVER_ERROR:
        return HEALTH_ERROR;
    case RESULT_ANSWER_MISMATCH:
    case RESULT_ANSWER_TRUNCATED:
        return HEALTH_WRONG_ANSWER;
    case RESULT_DEADLINE_EXPIRED:
        return HEALTH_TIMED_OUT;
    case RESULT_CANCELLED:
        return HEALTH_CANCELLED;
    default:
        return HEALTH_ERROR;
    }
}

/* Returns the result and the run state of a complete answer. */
static Result
classify_answer(const HttpAnswer *answer, RunState *run)
{
    if (is_shed(answer)) {
        *run = RUN_NO;
        return RESULT_BACKEND_SERVER_SHED;
    }
    *run = RUN_YES;
    return answer->status >= 500 ? RESULT_BACKEND_SERVER_ERROR : RESULT_OK;
}

static void
send_to_server(Owner *owner, const struct sockaddr_in *address,
               const OwnerCall *call, OwnerReply *reply)
{
    HttpCall http = {.address = *address,
                     .method = call->method,
                     .target = call->target,
                     .body = call->body,
                     .body_bytes = call->body_bytes,
                     .deadline = call->deadline,
                     .match_header = "Radishknot-Request-Id",
                     .match_value = call->request_id,
                     .match_strictly = TRUE,
                     .cancel = call->issuance ? NULL : call->cancel,
                     .fresh_connection = call->issuance};
    HttpHeaders headers = {0};
    gboolean sent;

    for (size_t i = 0; i < call->headers->count; i++) {
        HttpHeaders_Add(&headers, call->headers->items[i].name,
                        call->headers->items[i].value);
    }
    HttpHeaders_Add(&headers, "Radishknot-Request-Id", call->request_id);
    HttpHeaders_Add(&headers, "Radishknot-Team", call->team);
    HttpHeaders_AddNumber(&headers, "Radishknot-Deadline-Ms",
                          MAX(call->deadline - Clock_Now(), 0));
    if (call->issuance) {
        HttpHeaders_Add(&headers, "Radishknot-Run-Token", call->run_token);
        http.deadline += OWNER_ISSUANCE_GRACE_MS;
    }
    http.headers = &headers;
    Counter_Add(COUNTER_OWNER_SENT, 1);
    reply->result =
        HttpClient_Call(owner->desc.client, &http, &reply->answer, &sent);
    if (reply->result == RESULT_OK) {
        reply->result = classify_answer(&reply->answer, &reply->run);
    }
    else {
        reply->run = sent ? RUN_UNKNOWN : RUN_NO;
    }
    HttpHeaders_Clear(&headers);
}

static void
run_on_server(Owner *owner, const OwnerCall *call, OwnerReply *reply)
{
    struct sockaddr_in address;
    HealthRequest health = 0;
    Server *server = NULL;
    int64_t started = Clock_NowMicroseconds();

    pthread_mutex_lock(&owner->lock);
    reply->result = admit(owner, call, &server, &health);
    if (server != NULL) {
        address = server->announcement.address;
    }
    pthread_mutex_unlock(&owner->lock);
    reply->run = RUN_NO;
    if (reply->result != RESULT_OK) {
        return;
    }
    Counter_Observe(HISTOGRAM_OWNER_QUEUE, Clock_NowMicroseconds() - started);
    started = Clock_NowMicroseconds();
    send_to_server(owner, &address, call, reply);
    reply->server_us = Clock_NowMicroseconds() - started;
    Counter_Observe(HISTOGRAM_OWNER_SERVER, reply->server_us);

    pthread_mutex_lock(&owner->lock);
    Health_End(server->health, health, health_outcome(reply->result),
               reply->server_us, Clock_Now());
    server->in_use--;
    reply->slots_in_use = server->in_use;
    reply->queue = server->waiting;
    pthread_cond_signal(&server->slot_freed);
    release_server(server);
    pthread_mutex_unlock(&owner->lock);
}

/* Records the outcome of a run in the run table, for duplicate requests with
 * its token. */
static void
record_outcome(Owner *owner, PoolHandle handle, const OwnerReply *reply)
{
    RunAnswer_desc desc = {.status = reply->answer.status,
                           .result = reply->result,
                           .run = reply->run,
                           .body = reply->answer.body,
                           .body_bytes = reply->answer.body_bytes};
    RunHeader *headers;
    RunAnswer *answer;

    if (reply->run == RUN_NO) {
        RunTable_Abort(owner->desc.runs, handle, Clock_Now());
        return;
    }
    if (reply->run == RUN_UNKNOWN) {
        desc.result = RESULT_OUTCOME_UNKNOWN;
        desc.status = Result_HttpStatus(RESULT_OUTCOME_UNKNOWN);
        desc.body_bytes = 0;
    }
    headers = g_new0(RunHeader, reply->answer.headers.count + 1);
    for (size_t i = 0; i < reply->answer.headers.count; i++) {
        headers[i].name = reply->answer.headers.items[i].name;
        headers[i].value = reply->answer.headers.items[i].value;
    }
    desc.headers = headers;
    desc.header_count =
        reply->run == RUN_YES ? reply->answer.headers.count : 0;
    answer = RunAnswer_Create(&desc);
    RunTable_Finish(owner->desc.runs, handle, answer, Clock_Now());
    RunAnswer_Unref(answer);
    g_free(headers);
}

/* Fills the reply from a stored answer, and releases it. */
static void
replay_answer(RunAnswer *stored, OwnerReply *reply)
{
    const RunAnswer_desc *desc = RunAnswer_Get(stored);

    Counter_Add(COUNTER_ISSUE_REPEATS, 1);
    reply->result = desc->result;
    reply->run = desc->run;
    reply->replayed = TRUE;
    reply->answer.status = desc->status;
    for (size_t i = 0; i < desc->header_count; i++) {
        HttpHeaders_Add(&reply->answer.headers, desc->headers[i].name,
                        desc->headers[i].value);
    }
    HttpAnswer_SetBody(&reply->answer, desc->body, desc->body_bytes);
    RunAnswer_Unref(stored);
}

static void
run_issuance(Owner *owner, const OwnerCall *call, OwnerReply *reply)
{
    RunToken token;
    RunBegin begin;

    reply->run = RUN_NO;
    reply->result = call->run_token == NULL
                        ? RESULT_TOKEN_INVALID
                        : RunToken_Verify(call->run_token, owner->desc.secret,
                                          owner->desc.secret_bytes, &token);
    if (reply->result != RESULT_OK) {
        return;
    }
    begin = RunTable_Begin(owner->desc.runs, &token, call->team_hash,
                           call->route_hash, Clock_Now());
    if (begin.action == RUN_WAIT) {
        begin = RunTable_Await(owner->desc.runs, &token, call->team_hash,
                               call->route_hash, call->deadline);
    }
    switch (begin.action) {
    case RUN_EXECUTE:
        run_on_server(owner, call, reply);
        record_outcome(owner, begin.handle, reply);
        if (reply->run == RUN_UNKNOWN) {
            reply->result = RESULT_OUTCOME_UNKNOWN;
            HttpAnswer_Clear(&reply->answer);
        }
        return;
    case RUN_ANSWER:
        replay_answer(begin.answer, reply);
        return;
    default:
        reply->result = begin.result;
        reply->run = begin.run;
        return;
    }
}

void
Owner_Execute(Owner *owner, const OwnerCall *call, OwnerReply *reply)
{
    memset(reply, 0, sizeof(*reply));
    Counter_Add(COUNTER_OWNER_REQUESTS, 1);
    if (call->issuance) {
        run_issuance(owner, call, reply);
    }
    else {
        run_on_server(owner, call, reply);
    }
}

/* Updates the health state of one backend server. Returns TRUE if the permit
 * request `request` has to be sent. Called with the lock held. */
static gboolean
update_health(Owner *owner, Server *server, ClockMs now,
              PermitRequest *request)
{
    HealthInput input = {.now = now};
    HealthState before = server->verdict.state;

    if (owner->desc.baseline != NULL) {
        input.baseline_class =
            owner->desc.baseline(owner->desc.context, server->service);
    }
    server->baseline_class = input.baseline_class;
    input.permit_held = PermitClaim_IsHeld(server->claim, now);
    Health_Update(server->health, &input, &server->verdict);
    if (server->verdict.state != before) {
        Log_Event(
            LOG_HEALTH_CHANGED, "name=%s service=%s from=%s to=%s reason=%s",
            server->announcement.name, server->announcement.service,
            Health_StateName(before), Health_StateName(server->verdict.state),
            Health_ReasonName(server->verdict.reason));
        if (server->verdict.state == HEALTH_STATE_EJECTED) {
            Counter_Add(COUNTER_HEALTH_EJECTIONS, 1);
        }
        pthread_cond_broadcast(&server->slot_freed);
    }
    return PermitClaim_Next(server->claim, server->verdict.permit_wanted, now,
                            request);
}

void
Owner_Tick(Owner *owner, ClockMs now)
{
    PermitRequest requests[MEMBER_MAX_SERVERS];
    ClockMs timeout =
        __atomic_load_n(owner->desc.announce_timeout_ms, __ATOMIC_RELAXED);
    unsigned request_count = 0;

    pthread_mutex_lock(&owner->lock);
    for (unsigned i = owner->count; i > 0; i--) {
        if (now - owner->servers[i - 1]->announced_at > timeout) {
            remove_server(owner, i - 1);
        }
        else if (update_health(owner, owner->servers[i - 1], now,
                               &requests[request_count])) {
            request_count++;
        }
    }
    pthread_mutex_unlock(&owner->lock);
    publish(owner);
    for (unsigned i = 0;
         i < request_count && owner->desc.request_permit != NULL; i++) {
        owner->desc.request_permit(owner->desc.context, &requests[i]);
    }
}

void
Owner_PermitReply(Owner *owner, const PermitRequest *request,
                  const PermitReply *reply, ClockMs now)
{
    Server *server;

    if (reply->status == PERMIT_FLOOR) {
        Counter_Add(COUNTER_HEALTH_PERMITS_REFUSED, 1);
        Log_Event(LOG_PERMIT_REFUSED, "name=%s service=%s",
                  request->backend_server, request->service);
    }
    pthread_mutex_lock(&owner->lock);
    server = find_server(owner, Rng_HashString(request->backend_server));
    if (server != NULL) {
        PermitClaim_Answer(server->claim, reply, now);
    }
    pthread_mutex_unlock(&owner->lock);
}

void
Owner_Drain(Owner *owner)
{
    pthread_mutex_lock(&owner->lock);
    owner->draining = TRUE;
    pthread_mutex_unlock(&owner->lock);
    publish(owner);
}

unsigned
Owner_Status(Owner *owner, OwnerServerStatus *status, unsigned max)
{
    unsigned count;

    pthread_mutex_lock(&owner->lock);
    count = MIN(owner->count, max);
    for (unsigned i = 0; i < count; i++) {
        const Server *server = owner->servers[i];

        status[i] = (OwnerServerStatus){
            .announcement = server->announcement,
            .verdict = server->verdict,
            .permit = PermitClaim_LastStatus(server->claim),
            .slots_in_use = server->in_use,
            .waiting = server->waiting,
            .baseline_class = server->baseline_class,
            .operator_drain = server->operator_drain,
        };
    }
    pthread_mutex_unlock(&owner->lock);
    return count;
}
