#include "health/permit.h"

#include <string.h>

#define MAX_SERVERS 256
#define SETTLE_MS 400
#define SERVICE_WIDE_MS 5000
#define SERVICE_WIDE_PERCENT 34
/* Owners leave a fault of the whole service one after the other; the last of
 * them must not look like a single fault. */
#define SERVICE_WIDE_HOLD_MS 30000

typedef struct Entry {
    gboolean used;
    char backend_server[PERMIT_NAME_BYTES];
    uint64_t host;
    uint64_t incarnation;
    uint64_t claim;
    uint64_t released_claim;
    int32_t number; /* PERMIT_NO_NUMBER: holds none */
    ClockMs renewed;
    ClockMs first_asked; /* first message of this claim */
    ClockMs last_asked;
} Entry;

struct PermitKeeper {
    PermitKeeper_desc desc;
    ClockMs began;
    ClockMs service_wide_until;
    Entry *entries;
};

PermitKeeper *
PermitKeeper_Create(const PermitKeeper_desc *desc, ClockMs now)
{
    PermitKeeper *keeper = g_new0(PermitKeeper, 1);

    keeper->desc = *desc;
    if (keeper->desc.max_servers == 0) {
        keeper->desc.max_servers = MAX_SERVERS;
    }
    if (keeper->desc.settle_ms == 0) {
        keeper->desc.settle_ms = SETTLE_MS;
    }
    if (keeper->desc.service_wide_ms == 0) {
        keeper->desc.service_wide_ms = SERVICE_WIDE_MS;
    }
    if (keeper->desc.service_wide_percent == 0) {
        keeper->desc.service_wide_percent = SERVICE_WIDE_PERCENT;
    }
    keeper->began = now;
    keeper->service_wide_until = now;
    keeper->entries = g_new0(Entry, keeper->desc.max_servers);
    return keeper;
}

void
PermitKeeper_Destroy(PermitKeeper *keeper)
{
    if (keeper) {
        g_free(keeper->entries);
        g_free(keeper);
    }
}

uint32_t
Permit_Total(const PermitView *view)
{
    uint32_t floor_percent = MIN(view->floor_percent, 100);

    return (uint32_t)((uint64_t)view->total * (100 - floor_percent) / 100);
}

/* Permits that may be out: what is missing counts as in use. */
static uint32_t
usable_permits(const PermitView *view)
{
    uint32_t permits = Permit_Total(view);
    uint32_t missing =
        view->total > view->ready ? view->total - view->ready : 0;

    return permits > missing ? permits - missing : 0;
}

/* Frees permits that lapsed and forgets backend servers that no longer ask. */
static void
expire(PermitKeeper *keeper, ClockMs now)
{
    ClockMs memory = MAX(keeper->desc.service_wide_ms, PERMIT_LAPSE_MS);

    for (uint32_t i = 0; i < keeper->desc.max_servers; i++) {
        Entry *entry = &keeper->entries[i];

        if (!entry->used) {
            continue;
        }
        if (entry->number != PERMIT_NO_NUMBER &&
            now - entry->renewed >= PERMIT_LAPSE_MS) {
            entry->number = PERMIT_NO_NUMBER;
        }
        if (entry->number == PERMIT_NO_NUMBER &&
            now - entry->last_asked > memory) {
            entry->used = FALSE;
        }
    }
}

static Entry *
find_entry(PermitKeeper *keeper, const PermitRequest *request, ClockMs now)
{
    Entry *vacant = NULL;

    for (uint32_t i = 0; i < keeper->desc.max_servers; i++) {
        Entry *entry = &keeper->entries[i];

        if (!entry->used) {
            vacant = vacant ? vacant : entry;
        }
        else if (entry->host == request->host &&
                 entry->incarnation == request->incarnation &&
                 strcmp(entry->backend_server, request->backend_server) == 0) {
            return entry;
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
        vacant->last_asked = now;
    }
    return vacant;
}

static gboolean
is_out(const PermitKeeper *keeper, int32_t number)
{
    for (uint32_t i = 0; i < keeper->desc.max_servers; i++) {
        if (keeper->entries[i].used && keeper->entries[i].number == number) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Backend servers that are suspected: those that announce it or ask in vain,
 * and those that got a permit a short time ago. */
static uint32_t
count_suspected(const PermitKeeper *keeper, ClockMs now)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < keeper->desc.max_servers; i++) {
        const Entry *entry = &keeper->entries[i];
        ClockMs asked = entry->number == PERMIT_NO_NUMBER ? entry->last_asked
                                                          : entry->first_asked;

        if (entry->used && entry->claim > entry->released_claim &&
            now - asked <= keeper->desc.service_wide_ms) {
            count++;
        }
    }
    return count;
}

static void
notice_service_wide(PermitKeeper *keeper, const PermitView *view, ClockMs now)
{
    uint32_t suspected = count_suspected(keeper, now);

    if (suspected > Permit_Total(view) &&
        (uint64_t)suspected * 100 >
            (uint64_t)view->total * keeper->desc.service_wide_percent) {
        keeper->service_wide_until = now + SERVICE_WIDE_HOLD_MS;
    }
}

static PermitStatus
grant_new(PermitKeeper *keeper, Entry *entry, const PermitRequest *request,
          const PermitView *view, ClockMs now, PermitReply *reply)
{
    ClockMs waited = now - entry->first_asked;

    if (now - keeper->began < PERMIT_LAPSE_MS) {
        return PERMIT_NEW_KEEPER;
    }
    if (!request->settled && waited < keeper->desc.settle_ms) {
        reply->retry_ms = (uint32_t)(keeper->desc.settle_ms - waited);
        return PERMIT_WAIT;
    }
    if (now < keeper->service_wide_until) {
        return PERMIT_SERVICE_WIDE;
    }
    for (uint32_t i = keeper->desc.place; i < usable_permits(view);
         i += PERMIT_PLACES) {
        if (!is_out(keeper, (int32_t)i)) {
            entry->number = (int32_t)i;
            entry->renewed = now;
            return PERMIT_GRANTED;
        }
    }
    return PERMIT_FLOOR;
}

static PermitStatus
acquire(PermitKeeper *keeper, Entry *entry, const PermitRequest *request,
        const PermitView *view, ClockMs now, PermitReply *reply)
{
    int64_t usable = usable_permits(view);
    gboolean is_new = now - keeper->began < PERMIT_LAPSE_MS;

    if (entry->number != PERMIT_NO_NUMBER) {
        /* The permit may come from a renewal that was delayed until the
         * former keeper had given it to another owner. Only an owner that
         * still holds it may go on with it. */
        if (is_new && request->number != entry->number) {
            return PERMIT_NEW_KEEPER;
        }
        /* A permit above the usable ones is left to lapse. */
        if (entry->number >= usable) {
            return PERMIT_FLOOR;
        }
        entry->renewed = now;
        return PERMIT_GRANTED;
    }
    if (is_new && request->number != PERMIT_NO_NUMBER &&
        request->number < usable &&
        (uint32_t)request->number % PERMIT_PLACES == keeper->desc.place &&
        !is_out(keeper, request->number)) {
        entry->number = request->number;
        entry->renewed = now;
        return PERMIT_GRANTED;
    }
    return grant_new(keeper, entry, request, view, now, reply);
}

void
PermitKeeper_Handle(PermitKeeper *keeper, const PermitRequest *request,
                    const PermitView *view, ClockMs now, PermitReply *reply)
{
    Entry *entry;

    *reply = (PermitReply){
        .claim = request->claim,
        .sequence = request->sequence,
        .status = PERMIT_FLOOR,
        .number = PERMIT_NO_NUMBER,
    };
    expire(keeper, now);
    entry = find_entry(keeper, request, now);
    if (!entry) {
        return;
    }
    if (request->action == PERMIT_RELEASE) {
        if (request->claim >= entry->claim) {
            entry->claim = request->claim;
            entry->number = PERMIT_NO_NUMBER;
        }
        entry->released_claim = MAX(entry->released_claim, request->claim);
        reply->status = PERMIT_RELEASED;
        return;
    }
    if (request->claim <= entry->released_claim) {
        reply->status = PERMIT_RELEASED;
        return;
    }
    if (request->claim > entry->claim) {
        entry->claim = request->claim;
        entry->first_asked = now;
    }
    entry->last_asked = now;
    notice_service_wide(keeper, view, now);
    if (request->action == PERMIT_ANNOUNCE) {
        reply->status = PERMIT_WAIT;
        return;
    }
    reply->status = acquire(keeper, entry, request, view, now, reply);
    if (reply->status == PERMIT_GRANTED) {
        reply->number = entry->number;
    }
}

uint32_t
PermitKeeper_InUse(const PermitKeeper *keeper, ClockMs now)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < keeper->desc.max_servers; i++) {
        const Entry *entry = &keeper->entries[i];

        if (entry->used && entry->number != PERMIT_NO_NUMBER &&
            now - entry->renewed < PERMIT_LAPSE_MS) {
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
