#include <string.h>

#include "base/condition.h"
#include "base/log.h"
#include "rate/rate_service_private.h"

/* Minimum time between two updates of the member view; each one visits all
 * hosts for each slot. */
#define VIEW_MIN_MS 1000
#define LEASES_TICK_MS 500
#define HINT_TIMEOUT_MS 100

typedef struct HostList {
    RateHost *hosts;
    int count;
    int capacity;
} HostList;

static void
collect_host(void *context, const RateHost *host)
{
    HostList *list = context;

    if (list->count == list->capacity) {
        list->capacity = MAX(64, 2 * list->capacity);
        list->hosts = g_renew(RateHost, list->hosts, list->capacity);
    }
    list->hosts[list->count++] = *host;
}

/* Applies the member view, without this host once it releases its slots. */
static void
update_view(RateService *service, ClockMs now)
{
    uint64_t number = service->desc.view(service->desc.context, NULL, NULL);
    HostList list = {NULL, 0, 0};

    if (service->view_known && (number == service->view_number ||
                                now - service->view_ms < VIEW_MIN_MS)) {
        return;
    }
    service->view_number =
        service->desc.view(service->desc.context, collect_host, &list);
    service->view_known = TRUE;
    service->view_ms = now;
    for (int i = 0; service->releasing && i < list.count; i++) {
        if (list.hosts[i].host == service->desc.self.host) {
            list.hosts[i] = list.hosts[--list.count];
            break;
        }
    }
    pthread_mutex_lock(&service->lease_lock);
    pthread_mutex_lock(&service->cache_lock);
    RateLease_SetView(service->lease, list.hosts, list.count, now);
    RateDirectory_SetView(service->directory, service->lease, list.hosts,
                          list.count);
    pthread_mutex_unlock(&service->cache_lock);
    pthread_mutex_unlock(&service->lease_lock);
    g_free(list.hosts);
}

static void
apply_event(RateService *service, const RateLeaseEvent *event, ClockMs now)
{
    const RateHost *self = &service->desc.self;

    if (event->change == RATE_LEASE_NONE) {
        return;
    }
    pthread_mutex_lock(&service->holder_lock);
    if (event->change == RATE_LEASE_OPEN) {
        RateHolder_OpenSlot(service->holder, event->slot, event->epoch,
                            event->start_ms, event->end_ms, now);
    }
    else if (event->change == RATE_LEASE_EXTEND) {
        RateHolder_ExtendSlot(service->holder, event->slot, event->epoch,
                              event->end_ms, now);
    }
    else {
        RateHolder_CloseSlot(service->holder, event->slot, now);
    }
    pthread_mutex_unlock(&service->holder_lock);
    if (event->change == RATE_LEASE_OPEN) {
        Log_Event(LOG_SLOT_TAKEN, "slot=%d epoch=%" G_GUINT64_FORMAT,
                  event->slot, event->epoch);
        pthread_mutex_lock(&service->cache_lock);
        RateDirectory_Learn(service->directory, event->slot, self->host,
                            self->incarnation, now);
        pthread_mutex_unlock(&service->cache_lock);
    }
    else if (event->change == RATE_LEASE_CLOSE) {
        Log_Event(LOG_SLOT_LOST, "slot=%d", event->slot);
    }
}

static void
read_object(const RateStoreObject *stored, RateSlotObject *object)
{
    memset(object, 0, sizeof(*object));
    _RateCodec_SlotFromJson(stored->value, object);
    object->version = stored->version;
    object->age_ms = stored->now_ms - stored->modified_ms;
}

/* Makes one store call. Returns FALSE if its response has no object. */
static gboolean
call_store(RateService *service, const RateLeaseAction *action, Result *result,
           RateSlotObject *object)
{
    RateStoreObject stored = {.version = 0};
    char name[32];
    gboolean has_object;

    g_snprintf(name, sizeof(name), "slot/%d", action->slot);
    if (action->call == RATE_LEASE_READ) {
        *result =
            service->desc.store_get(service->desc.context, name, &stored);
    }
    else {
        char *value = _RateCodec_SlotToJson(&action->object);

        *result =
            service->desc.store_put(service->desc.context, name,
                                    action->object.version, value, &stored);
        g_free(value);
    }
    has_object = *result == RESULT_OK ||
                 (*result == RESULT_STORE_CONFLICT && stored.value != NULL);
    if (action->call != RATE_LEASE_READ && *result == RESULT_OK) {
        *object = action->object;
        object->version = stored.version;
        object->age_ms = 0;
    }
    else if (has_object) {
        read_object(&stored, object);
    }
    g_free(stored.value);
    return has_object;
}

/* Notifies the next host of the slot that the slot was released. */
static void
send_hint(RateService *service, int slot)
{
    RateSettleMessage message = {.released_count = 1};
    RateHostId next;

    pthread_mutex_lock(&service->lease_lock);
    next = RateLease_First(service->lease, slot);
    pthread_mutex_unlock(&service->lease_lock);
    Log_Event(LOG_SLOT_RELEASED, "slot=%d", slot);
    message.released[0] = slot;
    if (next.host != 0 && next.host != service->desc.self.host) {
        _RateService_SendSettlement(service, next.host, next.incarnation,
                                    &message, HINT_TIMEOUT_MS);
    }
}

/* Releases all slots; no more tokens are granted from them. */
void
_RateService_ReleaseAll(RateService *service)
{
    ClockMs now = _RateService_Now(service);

    pthread_mutex_lock(&service->lease_lock);
    service->releasing = TRUE;
    RateLease_ReleaseAll(service->lease, now);
    pthread_mutex_unlock(&service->lease_lock);
    pthread_mutex_lock(&service->holder_lock);
    for (int i = 0; i < service->desc.fleet_slots; i++) {
        RateHolder_CloseSlot(service->holder, i, now);
    }
    pthread_mutex_unlock(&service->holder_lock);
    service->view_known = FALSE;
}

static gboolean
is_retired(const RateService *service)
{
    const RateHost *self = &service->desc.self;

    return service->desc.is_retired != NULL &&
           service->desc.is_retired(service->desc.context, self->host,
                                    self->incarnation);
}

int
RateService_TickLeases(RateService *service)
{
    int wait_ms = LEASES_TICK_MS;

    if (!service->releasing && is_retired(service)) {
        _RateService_ReleaseAll(service);
    }
    update_view(service, _RateService_Now(service));
    for (;;) {
        RateLeaseAction action;
        RateSlotObject object;
        RateLeaseEvent event;
        Result result;
        ClockMs sent = _RateService_Now(service);
        ClockMs now;
        gboolean due;
        gboolean has_object;

        pthread_mutex_lock(&service->lease_lock);
        due = RateLease_Next(service->lease, sent, &action, &wait_ms);
        pthread_mutex_unlock(&service->lease_lock);
        if (!due) {
            return MIN(wait_ms, LEASES_TICK_MS);
        }
        sent = _RateService_Now(service);
        has_object = call_store(service, &action, &result, &object);
        now = _RateService_Now(service);
        pthread_mutex_lock(&service->lease_lock);
        service->status.store_calls++;
        event = RateLease_Done(service->lease, &action, result,
                               has_object ? &object : NULL, sent, now);
        pthread_mutex_unlock(&service->lease_lock);
        apply_event(service, &event, now);
        if (action.call == RATE_LEASE_RELEASE && result == RESULT_OK) {
            send_hint(service, action.slot);
        }
        if (result != RESULT_OK && result != RESULT_NOT_FOUND) {
            return MIN(wait_ms, LEASES_TICK_MS);
        }
    }
}

static void
observe_listed(void *context, const char *name, const RateStoreObject *stored)
{
    RateService *service = context;
    RateSlotObject object;
    RateLeaseEvent event;
    ClockMs now = _RateService_Now(service);
    guint64 slot;

    if (!g_str_has_prefix(name, "slot/") ||
        !g_ascii_string_to_unsigned(name + 5, 10, 0,
                                    (guint64)service->desc.fleet_slots - 1,
                                    &slot, NULL)) {
        return;
    }
    read_object(stored, &object);
    pthread_mutex_lock(&service->lease_lock);
    /* The list was requested before `now`. It cannot have an object of this
     * new incarnation, so no lease's end is counted from `now`. */
    event = RateLease_Observe(service->lease, (int)slot, &object, now, now);
    pthread_mutex_unlock(&service->lease_lock);
    apply_event(service, &event, now);
}

void *
_RateService_RunLeases(void *context)
{
    RateService *service = context;

    if (service->desc.store_list != NULL) {
        service->desc.store_list(service->desc.context, "slot/",
                                 observe_listed, service);
    }
    for (;;) {
        int wait_ms = RateService_TickLeases(service);

        pthread_mutex_lock(&service->lease_lock);
        if (!service->stop && wait_ms > 0) {
            (void)Condition_Wait(&service->lease_wake, &service->lease_lock,
                                 wait_ms);
        }
        if (service->stop) {
            pthread_mutex_unlock(&service->lease_lock);
            return NULL;
        }
        pthread_mutex_unlock(&service->lease_lock);
    }
}
