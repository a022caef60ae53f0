#include "health/permit.h"

#include <string.h>

#define MAX_SERVERS 256
#define SETTLE_MS 400
#define SERVICE_WIDE_MS 5000
#define SERVICE_WIDE_PERCENT 34
/* After a fault of the whole service, backend servers recover one by one. The
 * last ones must not be mistaken for faults of a single backend server. */
#define SERVICE_WIDE_HOLD_MS 30000

typedef struct ServerRecord {
    gboolean used;
    char backend_server[PERMIT_NAME_BYTES];
    uint64_t host;
    uint64_t incarnation;
    uint64_t claim;
    uint64_t released_claim;
    int32_t number; /* permit held, or PERMIT_NO_NUMBER */
    ClockMs renewed;
    ClockMs first_message; /* of this claim */
    ClockMs last_message;
} ServerRecord;

struct PermitCoordinator {
    PermitCoordinator_desc desc;
    ClockMs started;
    ClockMs service_wide_until;
    ServerRecord *servers;
};

PermitCoordinator *
PermitCoordinator_Create(const PermitCoordinator_desc *desc, ClockMs now)
{
    PermitCoordinator *coordinator = g_new0(PermitCoordinator, 1);

    coordinator->desc = *desc;
    if (coordinator->desc.max_servers == 0) {
        coordinator->desc.max_servers = MAX_SERVERS;
    }
    if (coordinator->desc.settle_ms == 0) {
        coordinator->desc.settle_ms = SETTLE_MS;
    }
    if (coordinator->desc.service_wide_ms == 0) {
        coordinator->desc.service_wide_ms = SERVICE_WIDE_MS;
    }
    if (coordinator->desc.service_wide_percent == 0) {
        coordinator->desc.service_wide_percent = SERVICE_WIDE_PERCENT;
    }
    coordinator->started = now;
    coordinator->service_wide_until = now;
    coordinator->servers = g_new0(ServerRecord, coordinator->desc.max_servers);
    return coordinator;
}

void
PermitCoordinator_Destroy(PermitCoordinator *coordinator)
{
    if (coordinator) {
        g_free(coordinator->servers);
        g_free(coordinator);
    }
}

uint32_t
Permit_Total(const PermitView *view)
{
    uint32_t floor_percent = MIN(view->floor_percent, 100);

    return (uint32_t)((uint64_t)view->total * (100 - floor_percent) / 100);
}

/* Number of permits that may be granted at once. Each missing backend server
 * counts as a permit in use. */
static uint32_t
usable_permits(const PermitView *view)
{
    uint32_t permits = Permit_Total(view);
    uint32_t missing =
        view->total > view->ready ? view->total - view->ready : 0;

    return permits > missing ? permits - missing : 0;
}

/* Frees lapsed permits and removes backend servers that hold no permit and
 * have sent no message within the retention period. */
static void
expire(PermitCoordinator *coordinator, ClockMs now)
{
    ClockMs retention =
        MAX(coordinator->desc.service_wide_ms, PERMIT_LAPSE_MS);

    for (uint32_t i = 0; i < coordinator->desc.max_servers; i++) {
        ServerRecord *server = &coordinator->servers[i];

        if (!server->used) {
            continue;
        }
        if (server->number != PERMIT_NO_NUMBER &&
            now - server->renewed >= PERMIT_LAPSE_MS) {
            server->number = PERMIT_NO_NUMBER;
        }
        if (server->number == PERMIT_NO_NUMBER &&
            now - server->last_message > retention) {
            server->used = FALSE;
        }
    }
}

/* Finds or adds the record of the backend server that the request names. NULL
 * if the table is full. */
static ServerRecord *
find_server(PermitCoordinator *coordinator, const PermitRequest *request,
            ClockMs now)
{
    ServerRecord *vacant = NULL;

    for (uint32_t i = 0; i < coordinator->desc.max_servers; i++) {
        ServerRecord *server = &coordinator->servers[i];

        if (!server->used) {
            vacant = vacant ? vacant : server;
        }
        else if (server->host == request->host &&
                 server->incarnation == request->incarnation &&
                 strcmp(server->backend_server, request->backend_server) ==
                     0) {
            return server;
        }
    }
    if (vacant) {
        memset(vacant, 0, sizeof(*vacant));
        vacant->used = TRUE;
        g_strlcpy(vacant->backend_server, request->backend_server,
                  PERMIT_NAME_BYTES);
        vacant->host = request->host;
        vacant->incarnation = request->incarnation;
        vacant->number = PERMIT_NO_NUMBER;
        vacant->last_message = now;
    }
    return vacant;
}

static gboolean
is_in_use(const PermitCoordinator *coordinator, int32_t number)
{
    for (uint32_t i = 0; i < coordinator->desc.max_servers; i++) {
        if (coordinator->servers[i].used &&
            coordinator->servers[i].number == number) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Number of suspected backend servers: those without a permit that announced
 * a suspicion or requested a permit within service_wide_ms, and those with a
 * permit whose claim began within that time. */
static uint32_t
count_suspected(const PermitCoordinator *coordinator, ClockMs now)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < coordinator->desc.max_servers; i++) {
        const ServerRecord *server = &coordinator->servers[i];
        ClockMs suspected_at = server->number == PERMIT_NO_NUMBER
                                   ? server->last_message
                                   : server->first_message;

        if (server->used && server->claim > server->released_claim &&
            now - suspected_at <= coordinator->desc.service_wide_ms) {
            count++;
        }
    }
    return count;
}

static void
detect_service_wide(PermitCoordinator *coordinator, const PermitView *view,
                    ClockMs now)
{
    uint32_t suspected = count_suspected(coordinator, now);

    if (suspected > Permit_Total(view) &&
        (uint64_t)suspected * 100 >
            (uint64_t)view->total * coordinator->desc.service_wide_percent) {
        coordinator->service_wide_until = now + SERVICE_WIDE_HOLD_MS;
    }
}

static PermitStatus
grant_new(PermitCoordinator *coordinator, ServerRecord *server,
          const PermitRequest *request, const PermitView *view, ClockMs now,
          PermitReply *reply)
{
    ClockMs waited = now - server->first_message;

    if (now - coordinator->started < PERMIT_LAPSE_MS) {
        return PERMIT_NEW_COORDINATOR;
    }
    if (!request->settled && waited < coordinator->desc.settle_ms) {
        reply->retry_ms = (uint32_t)(coordinator->desc.settle_ms - waited);
        return PERMIT_WAIT;
    }
    if (now < coordinator->service_wide_until) {
        return PERMIT_SERVICE_WIDE;
    }
    for (uint32_t i = coordinator->desc.place; i < usable_permits(view);
         i += PERMIT_PLACES) {
        if (!is_in_use(coordinator, (int32_t)i)) {
            server->number = (int32_t)i;
            server->renewed = now;
            return PERMIT_GRANTED;
        }
    }
    return PERMIT_FLOOR;
}

static PermitStatus
acquire(PermitCoordinator *coordinator, ServerRecord *server,
        const PermitRequest *request, const PermitView *view, ClockMs now,
        PermitReply *reply)
{
    int64_t usable = usable_permits(view);
    gboolean is_new = now - coordinator->started < PERMIT_LAPSE_MS;

    if (server->number != PERMIT_NO_NUMBER) {
        /* The permit may stem from a renewal that was delayed until the
         * former coordinator had granted the permit to another owner. Only
         * an owner that still holds the permit may renew it. */
        if (is_new && request->number != server->number) {
            return PERMIT_NEW_COORDINATOR;
        }
        /* A permit beyond the usable ones is not renewed, so it lapses. */
        if (server->number >= usable) {
            return PERMIT_FLOOR;
        }
        server->renewed = now;
        return PERMIT_GRANTED;
    }
    if (is_new && request->number != PERMIT_NO_NUMBER &&
        request->number < usable &&
        (uint32_t)request->number % PERMIT_PLACES == coordinator->desc.place &&
        !is_in_use(coordinator, request->number)) {
        server->number = request->number;
        server->renewed = now;
        return PERMIT_GRANTED;
    }
    return grant_new(coordinator, server, request, view, now, reply);
}

void
PermitCoordinator_Handle(PermitCoordinator *coordinator,
                         const PermitRequest *request, const PermitView *view,
                         ClockMs now, PermitReply *reply)
{
    ServerRecord *server;

    *reply = (PermitReply){
        .claim = request->claim,
        .sequence = request->sequence,
        .status = PERMIT_FLOOR,
        .number = PERMIT_NO_NUMBER,
    };
    expire(coordinator, now);
    server = find_server(coordinator, request, now);
    if (!server) {
        return;
    }
    if (request->action == PERMIT_RELEASE) {
        if (request->claim >= server->claim) {
            server->claim = request->claim;
            server->number = PERMIT_NO_NUMBER;
        }
        server->released_claim = MAX(server->released_claim, request->claim);
        reply->status = PERMIT_RELEASED;
        return;
    }
    if (request->claim <= server->released_claim) {
        reply->status = PERMIT_RELEASED;
        return;
    }
    if (request->claim > server->claim) {
        server->claim = request->claim;
        server->first_message = now;
    }
    server->last_message = now;
    detect_service_wide(coordinator, view, now);
    if (request->action == PERMIT_ANNOUNCE) {
        reply->status = PERMIT_WAIT;
        return;
    }
    reply->status = acquire(coordinator, server, request, view, now, reply);
    if (reply->status == PERMIT_GRANTED) {
        reply->number = server->number;
    }
}

uint32_t
PermitCoordinator_InUse(const PermitCoordinator *coordinator, ClockMs now)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < coordinator->desc.max_servers; i++) {
        const ServerRecord *server = &coordinator->servers[i];

        if (server->used && server->number != PERMIT_NO_NUMBER &&
            now - server->renewed < PERMIT_LAPSE_MS) {
            count++;
        }
    }
    return count;
}

const char *
Permit_StatusName(PermitStatus status)
{
    static const char *const names[] = {
        "granted", "wait", "floor", "service_wide", "new_keeper", "released"};

    return (size_t)status < G_N_ELEMENTS(names) ? names[status] : "?";
}
