/* Callbacks that connect the rate service with the store, the peers, the
 * members and the configuration. */
#include <string.h>
#include <urcu.h>

#include "base/rng.h"
#include "daemon/daemon_internal.h"

/* Time for which the store's answer "not retired" is cached. Slots are read
 * every 5 to 15 s. If the answer were cached for longer than that, a read
 * after the operator's call would use the old answer, and the slots would stay
 * vacant for another period. */
#define RETIRED_CACHE_MS 2000

#define NOTICE_TIMEOUT_MS 300

static void
copy_object(const StoreObject *from, RateStoreObject *to)
{
    to->version = (uint64_t)from->version;
    to->modified_ms = from->modified_ms;
    to->now_ms = from->now_ms;
    if (from->value != NULL) {
        char *text = json_dumps(from->value, JSON_COMPACT);

        to->value = g_strdup(text);
        free(text);
    }
}

static Result
get_object(void *context, const char *name, RateStoreObject *object)
{
    Daemon *daemon = context;
    StoreObject found = {0};
    Result result;

    if (daemon->store == NULL) {
        return RESULT_STORE_UNAVAILABLE;
    }
    pthread_mutex_lock(&daemon->store_lock);
    result = Store_Get(daemon->store, name, &found, NULL);
    pthread_mutex_unlock(&daemon->store_lock);
    if (result == RESULT_OK) {
        copy_object(&found, object);
    }
    StoreObject_Clear(&found);
    return result;
}

static Result
put_object(void *context, const char *name, uint64_t if_version,
           const char *value, RateStoreObject *object)
{
    Daemon *daemon = context;
    json_t *json = json_loads(value, 0, NULL);
    StoreObject written = {0};
    Result result;

    if (daemon->store == NULL || json == NULL) {
        json_decref(json);
        return RESULT_STORE_UNAVAILABLE;
    }
    pthread_mutex_lock(&daemon->store_lock);
    result = Store_Put(daemon->store, name, (int64_t)if_version, json,
                       &written, NULL);
    pthread_mutex_unlock(&daemon->store_lock);
    if (result == RESULT_OK || result == RESULT_STORE_CONFLICT) {
        copy_object(&written, object);
    }
    StoreObject_Clear(&written);
    json_decref(json);
    return result;
}

static Result
list_objects(void *context, const char *prefix,
             void (*each)(void *each_context, const char *name,
                          const RateStoreObject *object),
             void *each_context)
{
    Daemon *daemon = context;
    StoreList list = {0};
    Result result;

    if (daemon->store == NULL) {
        return RESULT_STORE_UNAVAILABLE;
    }
    pthread_mutex_lock(&daemon->store_lock);
    result = Store_List(daemon->store, prefix, 0, 0, 10000, &list, NULL);
    pthread_mutex_unlock(&daemon->store_lock);
    for (guint i = 0; result == RESULT_OK && i < list.objects->len; i++) {
        StoreObject *found = &g_array_index(list.objects, StoreObject, i);
        RateStoreObject object = {0};

        copy_object(found, &object);
        object.now_ms = list.now_ms;
        each(each_context, found->name, &object);
        g_free(object.value);
    }
    if (result == RESULT_OK) {
        StoreList_Clear(&list);
    }
    return result;
}

/* A message that is sent without waiting for its reply. */
typedef struct Notice {
    Daemon *daemon;
    RpcPeer peer;
    uint32_t kind;
    GByteArray *body;
} Notice;

static void
send_notice(void *context)
{
    Notice *notice = context;

    Rpc_Call(notice->daemon->rpc, &notice->peer, notice->kind, notice->body,
             NULL, NOTICE_TIMEOUT_MS);
    g_byte_array_unref(notice->body);
    g_free(notice);
}

static void
queue_notice(Daemon *daemon, const RpcPeer *peer, int kind,
             const GByteArray *body)
{
    Notice *notice = g_new0(Notice, 1);

    notice->daemon = daemon;
    notice->peer = *peer;
    notice->kind = (uint32_t)kind;
    notice->body = g_byte_array_new();
    g_byte_array_append(notice->body, body->data, body->len);
    if (!HttpExecutor_Submit(daemon->background, send_notice, notice)) {
        g_byte_array_unref(notice->body);
        g_free(notice);
    }
}

static Result
call_peer(void *context, uint64_t host, uint64_t incarnation, int kind,
          const uint8_t *body, size_t body_bytes, uint8_t *reply,
          size_t *reply_bytes, int timeout_ms)
{
    Daemon *daemon = context;
    GByteArray *request;
    GByteArray *answer;
    RpcPeer peer;
    gboolean found;
    Result result;

    rcu_read_lock();
    found = _Daemon_FindPeer(daemon, host, &peer);
    rcu_read_unlock();
    if (!found) {
        return RESULT_MEMBER_UNKNOWN;
    }
    peer.incarnation = incarnation;
    request = g_byte_array_new();
    answer = g_byte_array_new();
    g_byte_array_append(request, body, (guint)body_bytes);
    if (timeout_ms == 0) {
        queue_notice(daemon, &peer, kind, request);
        g_byte_array_unref(request);
        g_byte_array_unref(answer);
        return RESULT_OK;
    }
    result = Rpc_Call(daemon->rpc, &peer, (uint32_t)kind, request, answer,
                      timeout_ms);
    if (result == RESULT_OK && answer->len > *reply_bytes) {
        result = RESULT_TOO_LARGE;
    }
    if (result == RESULT_OK) {
        memcpy(reply, answer->data, answer->len);
        *reply_bytes = answer->len;
    }
    g_byte_array_unref(request);
    g_byte_array_unref(answer);
    return result;
}

static void
fill_host(const MemberHost *from, RateHost *to)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(from->ip),
                                  .sin_port = htons(from->rpc_port)};

    *to = (RateHost){.host = from->id,
                     .incarnation = from->incarnation,
                     .region = from->region,
                     .data_centre = from->data_centre};
    HttpAddress_Format(&address, to->address, sizeof(to->address));
}

static uint64_t
view_hosts(void *context,
           void (*each)(void *each_context, const RateHost *host),
           void *each_context)
{
    Daemon *daemon = context;
    const MemberHostList *list;
    uint64_t hash = 0;
    RateHost host;

    rcu_read_lock();
    list = Member_ListHosts(daemon->member, MEMBER_ANY, MEMBER_ANY);
    for (uint32_t i = 0; i < list->count; i++) {
        hash = Rng_Mix(
            hash, Rng_Mix(list->hosts[i]->id, list->hosts[i]->incarnation));
        if (each != NULL) {
            fill_host(list->hosts[i], &host);
            each(each_context, &host);
        }
    }
    rcu_read_unlock();
    return hash;
}

/* Calls the store only for hosts that are not alive, which is rare. */
static gboolean
is_retired(void *context, uint64_t host, uint64_t incarnation)
{
    Daemon *daemon = context;
    const MemberHost *member;
    StoreObject object = {0};
    gboolean is_alive;
    gboolean retired = FALSE;
    ClockMs *until;
    char name[40];

    rcu_read_lock();
    member = Member_FindHost(daemon->member, host);
    is_alive = member != NULL && member->state == MEMBER_ALIVE &&
               member->incarnation == incarnation;
    rcu_read_unlock();
    if (is_alive || daemon->store == NULL) {
        return FALSE;
    }
    g_snprintf(name, sizeof(name), "retired/%016" G_GINT64_MODIFIER "x", host);
    pthread_mutex_lock(&daemon->store_lock);
    until = g_hash_table_lookup(daemon->retired, &host);
    if (until == NULL || *until < Clock_Now()) {
        if (Store_Get(daemon->store, name, &object, NULL) == RESULT_OK) {
            retired = json_integer_value(
                          json_object_get(object.value, "incarnation")) >=
                      (json_int_t)incarnation;
        }
        else {
            until = g_new(ClockMs, 1);
            *until = Clock_Now() + RETIRED_CACHE_MS;
            g_hash_table_replace(daemon->retired,
                                 g_memdup2(&host, sizeof(host)), until);
        }
        StoreObject_Clear(&object);
    }
    pthread_mutex_unlock(&daemon->store_lock);
    return retired;
}

static gboolean
look_up_team(void *context, uint64_t team, RateLimit *limit,
             ClockMs *in_force_ms)
{
    Daemon *daemon = context;
    const ConfigTable *table = Config_ReadLock(daemon->config);
    ConfigTeamInfo info;
    gboolean found =
        Config_GetTeam(table, Config_FindTeamByNameHash(table, team), &info);

    if (found) {
        *limit = RateLimit_FromMicro(info.rate_micro, info.burst_micro);
        *in_force_ms = info.limit_since;
    }
    Config_ReadUnlock(daemon->config);
    return found;
}

RateService *
_Daemon_CreateRate(Daemon *daemon)
{
    const Settings *settings = daemon->settings;
    RateService_desc desc = {
        .fleet_slots = (int)settings->rate_slots,
        .regions = (int)settings->regions.count,
        .lease_ms = settings->rate_hold_ms,
        .grant_life_ms = (int)settings->rate_grant_ms,
        .seed = Rng_ProcessSeed(),
        .context = daemon,
        .store_get = get_object,
        .store_put = put_object,
        .store_list = list_objects,
        .call = call_peer,
        .view = view_hosts,
        .is_retired = is_retired,
        .lookup = look_up_team,
    };

    rcu_read_lock();
    fill_host(Member_FindHost(daemon->member, daemon->host), &desc.self);
    rcu_read_unlock();
    return RateService_Create(&desc);
}

typedef Result (*RateHandler)(RateService *service, uint64_t sender,
                              uint64_t sender_incarnation, const uint8_t *body,
                              size_t body_bytes, uint8_t *reply,
                              size_t *reply_bytes);

static Result
handle_with(Daemon *daemon, RateHandler handler, const RpcPeer *sender,
            const GByteArray *body, GByteArray *reply)
{
    uint8_t bytes[RATE_MESSAGE_MAX];
    size_t count = sizeof(bytes);
    Result result;

    if (daemon->rate == NULL) {
        return RESULT_RATE_NOT_HELD;
    }
    result = handler(daemon->rate, sender->host, sender->incarnation,
                     body->data, body->len, bytes, &count);
    if (result == RESULT_OK) {
        g_byte_array_append(reply, bytes, (guint)count);
    }
    return result;
}

static Result
handle_draw(void *context, const RpcPeer *sender, const GByteArray *body,
            GByteArray *reply)
{
    return handle_with(context, RateService_HandleDraw, sender, body, reply);
}

static Result
handle_settle(void *context, const RpcPeer *sender, const GByteArray *body,
              GByteArray *reply)
{
    return handle_with(context, RateService_HandleSettle, sender, body, reply);
}

void
_Daemon_RegisterRate(Daemon *daemon)
{
    Rpc_Handle(daemon->rpc, RPC_KIND_DRAW, handle_draw, daemon);
    Rpc_Handle(daemon->rpc, RPC_KIND_SETTLE, handle_settle, daemon);
}
