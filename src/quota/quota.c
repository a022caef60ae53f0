#include "quota/quota.h"

#include <inttypes.h>
#include <pthread.h>
#include <tirpc/rpc/rpc.h>
#include <urcu.h>

#include "base/counter.h"
#include "base/log.h"

/* Longest wait for one keeper's answer. */
#define QUOTA_DRAW_MS 250

/* Keepers that are asked before the own part is used. */
#define MOST_KEEPERS 2

/* Share of a data centre's part that its keeper counts; the hosts' own parts
 * share the rest. */
#define KEEPER_SHARE 0.8

/* Share of the tolerated excess that is planned with. The rest covers requests
 * that are counted in one window and run in the next. */
#define PLANNED_EXCESS 0.8

/* Hosts that an own part is sized for at least, so that a host with an empty
 * roster does not take the part of all. */
#define LEAST_HOSTS 6

typedef struct TeamCount {
    uint64_t team;
    QuotaWindow kept; /* as the keeper */
    QuotaWindow own;  /* the own part */
} TeamCount;

struct Quota {
    Quota_desc desc;
    ClockMs started;
    pthread_mutex_t lock;
    GHashTable *teams; /* &TeamCount.team -> TeamCount */
};

const char *
Quota_SourceName(QuotaSource source)
{
    static const char *const names[] = {"unlimited", "keeper", "own_part"};

    return (size_t)source < G_N_ELEMENTS(names) ? names[source] : "?";
}

double
_Quota_DataCentreLimit(const Quota_desc *desc, const CatalogTeam *team,
                       ClockMs uptime_ms)
{
    double owed = (double)team->rate_per_s * (double)desc->window_ms / 1000 +
                  (double)team->burst;
    double excess =
        (owed * desc->overage + (double)desc->slack) * PLANNED_EXCESS;
    double known = MIN((double)uptime_ms / (double)desc->window_ms, 1);

    return (owed * known + excess) / MAX(desc->data_centres, 1);
}

/* Called with the lock held. */
static TeamCount *
find_count(Quota *quota, uint64_t team, ClockMs now)
{
    TeamCount *count = g_hash_table_lookup(quota->teams, &team);

    if (count == NULL) {
        count = g_new0(TeamCount, 1);
        count->team = team;
        QuotaWindow_Init(&count->kept, quota->desc.window_ms, now);
        QuotaWindow_Init(&count->own, quota->desc.window_ms, now);
        g_hash_table_insert(quota->teams, &count->team, count);
    }
    return count;
}

static Result
take_as_keeper(Quota *quota, const CatalogTeam *team)
{
    ClockMs now = Clock_Now();
    double limit =
        _Quota_DataCentreLimit(&quota->desc, team, now - quota->started);
    gboolean taken;

    pthread_mutex_lock(&quota->lock);
    taken = QuotaWindow_Take(&find_count(quota, team->hash, now)->kept,
                             (int64_t)(limit * KEEPER_SHARE), now);
    pthread_mutex_unlock(&quota->lock);
    return taken ? RESULT_OK : RESULT_RATE_EXCEEDED;
}

static Result
take_own_part(Quota *quota, const CatalogTeam *team)
{
    ClockMs now = Clock_Now();
    double limit =
        _Quota_DataCentreLimit(&quota->desc, team, now - quota->started);
    uint32_t hosts = Roster_CountDataCentre(quota->desc.roster);
    double part = limit * (1 - KEEPER_SHARE) / MAX(hosts, LEAST_HOSTS);
    gboolean taken;

    pthread_mutex_lock(&quota->lock);
    taken = QuotaWindow_Take(&find_count(quota, team->hash, now)->own,
                             (int64_t)part, now);
    pthread_mutex_unlock(&quota->lock);
    return taken ? RESULT_OK : RESULT_RATE_EXCEEDED;
}

/* Serves a draw of a neighbour. */
static Result
serve_draw(void *context, const RpcPeer *sender, const GByteArray *body,
           GByteArray *reply)
{
    Quota *quota = context;
    CatalogTable *table = Catalog_Acquire(quota->desc.catalog);
    const CatalogTeam *team = NULL;
    uint64_t hash = 0;
    Result result = RESULT_NOT_CONFIGURED;

    (void)sender;
    (void)reply;
    if (!Rpc_Decode(body, (xdrproc_t)xdr_uint64_t, &hash)) {
        result = RESULT_MALFORMED;
    }
    else if (table != NULL) {
        team = CatalogTable_FindTeam(table, hash);
        result = team ? take_as_keeper(quota, team) : RESULT_NOT_FOUND;
    }
    CatalogTable_Unref(table);
    return result;
}

Quota *
Quota_Create(const Quota_desc *desc)
{
    Quota *quota = g_new0(Quota, 1);

    quota->desc = *desc;
    quota->started = Clock_Now();
    pthread_mutex_init(&quota->lock, NULL);
    quota->teams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    Rpc_Handle(desc->rpc, RPC_KIND_QUOTA_DRAW, serve_draw, quota);
    return quota;
}

void
Quota_Destroy(Quota *quota)
{
    if (quota != NULL) {
        g_hash_table_destroy(quota->teams);
        pthread_mutex_destroy(&quota->lock);
        g_free(quota);
    }
}

static Result
ask_keeper(Quota *quota, const RosterPeer *keeper, uint64_t team)
{
    RpcPeer peer = {.ip = ntohl(keeper->rpc.sin_addr.s_addr),
                    .port = ntohs(keeper->rpc.sin_port)};
    GByteArray *body = g_byte_array_new();
    uint64_t refused;
    Result result = RESULT_RPC_TIMEOUT;

    if (Rpc_Encode(body, (xdrproc_t)xdr_uint64_t, &team)) {
        Counter_Add(COUNTER_RATE_DRAWS, 1);
        result = Rpc_Call(quota->desc.rpc, &peer, RPC_KIND_QUOTA_DRAW, body,
                          NULL, QUOTA_DRAW_MS);
    }
    if (result == RESULT_RPC_OLD_SESSION) {
        /* The wall clock has gone back since an earlier start. */
        refused = Rpc_GetRefusedIncarnation(quota->desc.rpc);
        Rpc_SetIncarnation(quota->desc.rpc, refused + 1);
    }
    g_byte_array_unref(body);
    return result;
}

Result
Quota_Take(Quota *quota, const CatalogTeam *team, QuotaSource *source)
{
    RosterPeer order[MOST_KEEPERS];
    uint32_t count;
    Result result;

    *source = QUOTA_UNLIMITED;
    if (team->rate_per_s == 0) {
        return RESULT_OK;
    }
    *source = QUOTA_KEEPER;
    count = Roster_Rank(quota->desc.roster, team->hash, Clock_Now(), order,
                        MOST_KEEPERS);
    for (uint32_t i = 0; i < count; i++) {
        if (order[i].is_self) {
            return take_as_keeper(quota, team);
        }
        result = ask_keeper(quota, &order[i], team->hash);
        if (result == RESULT_OK || result == RESULT_RATE_EXCEEDED) {
            return result;
        }
        Log_Event(LOG_QUOTA_KEEPER_SILENT, "team=%s keeper=%016" PRIx64
                  " result=%s", team->name, order[i].host,
                  Result_Name(result));
        if (result == RESULT_RPC_TIMEOUT) {
            Roster_NoteUnreachable(quota->desc.roster, order[i].host,
                                   Clock_Now());
        }
    }
    *source = QUOTA_OWN_PART;
    return take_own_part(quota, team);
}
