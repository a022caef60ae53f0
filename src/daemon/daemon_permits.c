/* Ejection permits: asks keepers for the own backend servers, and keeps the
 * permits of the services whose slots this host holds. */
#include <string.h>
#include <urcu.h>

#include "base/rng.h"
#include "daemon/daemon_internal.h"
#include "health/permit.h"
#include "rate/rate_share.h"

typedef struct Keeper {
    PermitCoordinator *keeper;
    ClockMs start_ms; /* of the hold that the keeper belongs to */
} Keeper;

struct DaemonPermits {
    Daemon *daemon;
    pthread_mutex_t lock;
    GHashTable *keepers; /* "place service" -> Keeper */
};

typedef struct Ask {
    DaemonPermits *permits;
    PermitRequest request;
} Ask;

static void
free_keeper(gpointer data)
{
    Keeper *keeper = data;

    PermitCoordinator_Destroy(keeper->keeper);
    g_free(keeper);
}

DaemonPermits *
_DaemonPermits_Create(Daemon *daemon)
{
    DaemonPermits *permits = g_new0(DaemonPermits, 1);

    permits->daemon = daemon;
    pthread_mutex_init(&permits->lock, NULL);
    permits->keepers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_keeper);
    return permits;
}

void
_DaemonPermits_Destroy(DaemonPermits *permits)
{
    if (permits != NULL) {
        g_hash_table_destroy(permits->keepers);
        pthread_mutex_destroy(&permits->lock);
        g_free(permits);
    }
}

static int
slot_of(const DaemonPermits *permits, const PermitRequest *request)
{
    uint16_t slots[PERMIT_PLACES];

    if (request->place >= PERMIT_PLACES ||
        RateShare_Slots(Rng_HashString(request->service), PERMIT_PLACES,
                        (int)permits->daemon->settings->rate_slots,
                        (int)permits->daemon->settings->regions.count,
                        slots) < PERMIT_PLACES) {
        return -1;
    }
    return slots[request->place];
}

static gboolean
fill_view(const Daemon *daemon, const char *name, PermitView *view)
{
    const ConfigTable *table = Config_ReadLock(daemon->config);
    const MemberService *service;
    ConfigServiceInfo info;
    gboolean found =
        Config_GetService(table, Config_FindService(table, name), &info);

    *view = (PermitView){0};
    if (found) {
        view->total = info.total;
        view->floor_percent = info.floor_percent;
    }
    Config_ReadUnlock(daemon->config);
    rcu_read_lock();
    service = Member_FindService(daemon->member, Rng_HashString(name));
    for (uint32_t i = 0; service != NULL && i < service->count; i++) {
        if (service->refs[i].server->state == MEMBER_SERVER_READY ||
            service->refs[i].server->state == MEMBER_SERVER_EJECTED) {
            view->ready++;
        }
    }
    rcu_read_unlock();
    return found;
}

/* With the lock held. */
static PermitCoordinator *
find_keeper(DaemonPermits *permits, const PermitRequest *request,
            ClockMs start_ms)
{
    char *key = g_strdup_printf("%u %s", request->place, request->service);
    Keeper *keeper = g_hash_table_lookup(permits->keepers, key);
    PermitCoordinator_desc desc = {.place = request->place};

    if (keeper == NULL || keeper->start_ms != start_ms) {
        keeper = g_new0(Keeper, 1);
        keeper->keeper = PermitCoordinator_Create(&desc, start_ms);
        keeper->start_ms = start_ms;
        g_hash_table_replace(permits->keepers, g_strdup(key), keeper);
    }
    g_free(key);
    return keeper->keeper;
}

static Result
keep(DaemonPermits *permits, const PermitRequest *request, PermitReply *reply)
{
    Daemon *daemon = permits->daemon;
    int slot = slot_of(permits, request);
    ClockMs start_ms;
    PermitView view;

    if (slot < 0 || !fill_view(daemon, request->service, &view)) {
        return RESULT_NOT_FOUND;
    }
    pthread_mutex_lock(&permits->lock);
    /* The hold is looked at after the request arrived. */
    if (!RateService_HoldsSlot(daemon->rate, slot, &start_ms)) {
        pthread_mutex_unlock(&permits->lock);
        return RESULT_RATE_NOT_HELD;
    }
    PermitCoordinator_Handle(find_keeper(permits, request, start_ms), request,
                             &view, Clock_Now(), reply);
    pthread_mutex_unlock(&permits->lock);
    return RESULT_OK;
}

Result
_DaemonPermits_Handle(void *context, const RpcPeer *sender,
                      const GByteArray *body, GByteArray *reply)
{
    uint8_t bytes[PERMIT_WIRE_BYTES];
    PermitRequest request;
    PermitReply answer;
    Result result;

    if (!Permit_DecodeRequest(body->data, body->len, &request) ||
        request.host != sender->host ||
        request.incarnation != sender->incarnation) {
        return RESULT_MALFORMED;
    }
    result = keep(context, &request, &answer);
    if (result == RESULT_OK) {
        g_byte_array_append(
            reply, bytes,
            (guint)Permit_EncodeReply(&answer, bytes, sizeof(bytes)));
    }
    return result;
}

static Result
ask_remote(Daemon *daemon, const RpcPeer *peer, const PermitRequest *request,
           PermitReply *reply)
{
    uint8_t bytes[PERMIT_WIRE_BYTES];
    GByteArray *body = g_byte_array_new();
    GByteArray *answer = g_byte_array_new();
    Result result;

    g_byte_array_append(
        body, bytes,
        (guint)Permit_EncodeRequest(request, bytes, sizeof(bytes)));
    result = Rpc_Call(daemon->rpc, peer, RPC_KIND_PERMIT, body, answer,
                      PERMIT_TIMEOUT_MS);
    if (result == RESULT_OK &&
        !Permit_DecodeReply(answer->data, answer->len, reply)) {
        result = RESULT_MALFORMED;
    }
    g_byte_array_unref(body);
    g_byte_array_unref(answer);
    return result;
}

static void
run_ask(void *context)
{
    Ask *ask = context;
    Daemon *daemon = ask->permits->daemon;
    int slot = slot_of(ask->permits, &ask->request);
    RateHostId place = {0};
    Result result = RESULT_NOT_FOUND;
    PermitReply reply;
    RpcPeer peer;
    gboolean found;

    if (slot >= 0) {
        place = RateService_SlotHolder(daemon->rate, slot);
    }
    if (place.host == daemon->host) {
        result = keep(ask->permits, &ask->request, &reply);
    }
    else if (place.host != 0) {
        rcu_read_lock();
        found = _Daemon_FindPeer(daemon, place.host, &peer);
        rcu_read_unlock();
        if (found) {
            result = ask_remote(daemon, &peer, &ask->request, &reply);
        }
    }
    if (result == RESULT_OK) {
        Owner_PermitReply(daemon->owner, &ask->request, &reply, Clock_Now());
    }
    g_free(ask);
}

void
_DaemonPermits_Ask(void *context, const PermitRequest *request)
{
    Daemon *daemon = context;
    Ask *ask;

    if (daemon->permits == NULL) {
        return;
    }
    ask = g_new0(Ask, 1);
    ask->permits = daemon->permits;
    ask->request = *request;
    /* A request that finds no free thread is sent again by the claim. */
    if (!HttpExecutor_Submit(daemon->background, run_ask, ask)) {
        g_free(ask);
    }
}
