/* Ejection permits: requests permits for the local backend servers, and runs
 * the permit coordinators of the services whose rate slots this host holds. */
#include <string.h>
#include <urcu.h>

#include "base/rng.h"
#include "daemon/daemon_internal.h"
#include "health/permit.h"
#include "rate/rate_share.h"

typedef struct LeasedCoordinator {
    PermitCoordinator *coordinator;
    ClockMs start_ms; /* start of the lease on the coordinator's rate slot */
} LeasedCoordinator;

struct DaemonPermits {
    Daemon *daemon;
    pthread_mutex_t lock;
    GHashTable *coordinators; /* "place service" -> LeasedCoordinator */
};

typedef struct PendingRequest {
    DaemonPermits *permits;
    PermitRequest request;
} PendingRequest;

static void
free_coordinator(gpointer data)
{
    LeasedCoordinator *leased = data;

    PermitCoordinator_Destroy(leased->coordinator);
    g_free(leased);
}

DaemonPermits *
_DaemonPermits_Create(Daemon *daemon)
{
    DaemonPermits *permits = g_new0(DaemonPermits, 1);

    permits->daemon = daemon;
    pthread_mutex_init(&permits->lock, NULL);
    permits->coordinators = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                  g_free, free_coordinator);
    return permits;
}

void
_DaemonPermits_Destroy(DaemonPermits *permits)
{
    if (permits != NULL) {
        g_hash_table_destroy(permits->coordinators);
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

/* Called with the lock held. */
static PermitCoordinator *
find_coordinator(DaemonPermits *permits, const PermitRequest *request,
                 ClockMs start_ms)
{
    char *key = g_strdup_printf("%u %s", request->place, request->service);
    LeasedCoordinator *leased =
        g_hash_table_lookup(permits->coordinators, key);
    PermitCoordinator_desc desc = {.place = request->place};

    if (leased == NULL || leased->start_ms != start_ms) {
        leased = g_new0(LeasedCoordinator, 1);
        leased->coordinator = PermitCoordinator_Create(&desc, start_ms);
        leased->start_ms = start_ms;
        g_hash_table_replace(permits->coordinators, g_strdup(key), leased);
    }
    g_free(key);
    return leased->coordinator;
}

static Result
handle_request(DaemonPermits *permits, const PermitRequest *request,
               PermitReply *reply)
{
    Daemon *daemon = permits->daemon;
    int slot = slot_of(permits, request);
    ClockMs start_ms;
    PermitView view;

    if (slot < 0 || !fill_view(daemon, request->service, &view)) {
        return RESULT_NOT_FOUND;
    }
    pthread_mutex_lock(&permits->lock);
    /* The lease must be checked after the request arrived. */
    if (!RateService_HoldsSlot(daemon->rate, slot, &start_ms)) {
        pthread_mutex_unlock(&permits->lock);
        return RESULT_RATE_NOT_HELD;
    }
    PermitCoordinator_Handle(find_coordinator(permits, request, start_ms),
                             request, &view, Clock_Now(), reply);
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
    result = handle_request(context, &request, &answer);
    if (result == RESULT_OK) {
        g_byte_array_append(
            reply, bytes,
            (guint)Permit_EncodeReply(&answer, bytes, sizeof(bytes)));
    }
    return result;
}

static Result
call_coordinator(Daemon *daemon, const RpcPeer *peer,
                 const PermitRequest *request, PermitReply *reply)
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
run_pending(void *context)
{
    PendingRequest *pending = context;
    Daemon *daemon = pending->permits->daemon;
    int slot = slot_of(pending->permits, &pending->request);
    RateHostId holder = {0};
    Result result = RESULT_NOT_FOUND;
    PermitReply reply;
    RpcPeer peer;
    gboolean found;

    if (slot >= 0) {
        holder = RateService_SlotHolder(daemon->rate, slot);
    }
    if (holder.host == daemon->host) {
        result = handle_request(pending->permits, &pending->request, &reply);
    }
    else if (holder.host != 0) {
        rcu_read_lock();
        found = _Daemon_FindPeer(daemon, holder.host, &peer);
        rcu_read_unlock();
        if (found) {
            result =
                call_coordinator(daemon, &peer, &pending->request, &reply);
        }
    }
    if (result == RESULT_OK) {
        Owner_PermitReply(daemon->owner, &pending->request, &reply,
                          Clock_Now());
    }
    g_free(pending);
}

void
_DaemonPermits_Request(void *context, const PermitRequest *request)
{
    Daemon *daemon = context;
    PendingRequest *pending;

    if (daemon->permits == NULL) {
        return;
    }
    pending = g_new0(PendingRequest, 1);
    pending->permits = daemon->permits;
    pending->request = *request;
    /* If the queue is full, the claim sends the request again later. */
    if (!HttpExecutor_Submit(daemon->background, run_pending, pending)) {
        g_free(pending);
    }
}
