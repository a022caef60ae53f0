#include "quota/quota.h"

#include <inttypes.h>
#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <tirpc/rpc/rpc.h>
#include <urcu.h>

#include "base/counter.h"
#include "base/log.h"

/* Longest wait for one keeper's answer, and for the keeper's answer to a draw
 * that its deputy passes on, while the drawing host waits for the deputy. */
#define QUOTA_DRAW_MS 250
#define QUOTA_RELAY_MS 100

/* Longest wait for a deputy that takes over the counts of one team. */
#define HANDOVER_MS 100

/* Keeper and deputy. */
#define COUNTERS 2

/* Shares of a data centre's part that keeper and deputy count; the hosts' own
 * parts share the rest. */
#define KEEPER_SHARE 0.85
#define DEPUTY_SHARE 0.1

/* Shares of the tolerated excess that are planned with: in the long run, and
 * after a start, when an earlier process may have used up the first. The rest
 * covers requests that are counted in one window and run in the next. */
#define STEADY_EXCESS 0.8
#define START_EXCESS 0.95

/* Least time between the end of a process and the start of the next. */
#define RESTART_MS 600

/* Bound of the surge: of the window's limit so much, and so many requests for
 * the chance of small numbers, within SURGE_MS. */
#define SURGE_MS 1000
#define SURGE_SHARE 0.22
#define SURGE_REQUESTS 4

/* How much faster than evenly an earlier process may have used its part. */
#define START_SURGE 1.1

/* Hosts that an own part is sized for at least, so that a host with an empty
 * roster does not take the part of all. */
#define LEAST_HOSTS 6

typedef struct TeamCount {
    uint64_t team;
    QuotaWindow kept;      /* as the keeper */
    QuotaWindow surge;     /* the same, over SURGE_MS */
    QuotaWindow deputed;   /* as the deputy */
    QuotaWindow own;       /* the own part */
    QuotaWindow taken;     /* by this host, whoever counted */
    GHashTable *reporters; /* hosts that told what they took */
    int64_t reported;      /* the sum of it */
    ClockMs handed_until;  /* counts in place of a keeper that left */
} TeamCount;

/* Body of a draw. */
typedef struct QuotaDraw {
    uint64_t team;      /* hash of the name */
    uint64_t host;      /* that draws */
    uint64_t taken;     /* by this host in the last window */
    uint64_t uptime_ms; /* of this host */
    uint64_t as_deputy; /* the receiver is asked as the deputy */
} QuotaDraw;

/* Body of a handover. */
typedef struct QuotaHandover {
    uint64_t team;
    int64_t counts[QUOTA_BUCKETS + 1]; /* QuotaWindow_Read() */
} QuotaHandover;

struct Quota {
    Quota_desc desc;
    ClockMs started;
    pthread_mutex_t lock;
    GHashTable *teams; /* &TeamCount.team -> TeamCount */
    atomic_bool leaving;
};

const char *
Quota_SourceName(QuotaSource source)
{
    static const char *const names[] = {"unlimited", "keeper", "deputy",
                                        "own_part"};

    return (size_t)source < G_N_ELEMENTS(names) ? names[source] : "?";
}

static double
limit_with(const Quota_desc *desc, const CatalogTeam *team, double share)
{
    double owed = (double)team->rate_per_s * (double)desc->window_ms / 1000 +
                  (double)team->burst;
    double excess = owed * desc->overage + (double)desc->slack;

    return (owed + excess * share) / MAX(desc->data_centres, 1);
}

double
_Quota_SteadyLimit(const Quota_desc *desc, const CatalogTeam *team)
{
    return limit_with(desc, team, STEADY_EXCESS);
}

double
_Quota_StartLimit(const Quota_desc *desc, const CatalogTeam *team,
                  ClockMs uptime_ms, uint32_t hosts, uint32_t reports,
                  int64_t reported)
{
    double steady = _Quota_SteadyLimit(desc, team);
    double left =
        1 - (double)(uptime_ms + RESTART_MS) / (double)MAX(desc->window_ms, 1);
    double unknown = steady * CLAMP(START_SURGE * left, 0, 1);

    if (reports > 0) {
        unknown = MIN(unknown, (double)reported * (double)(hosts - reports) /
                                   (double)reports);
    }
    return MIN(steady, limit_with(desc, team, START_EXCESS) - unknown);
}

static bool_t
xdr_draw(XDR *stream, QuotaDraw *draw)
{
    return xdr_uint64_t(stream, &draw->team) &&
           xdr_uint64_t(stream, &draw->host) &&
           xdr_uint64_t(stream, &draw->taken) &&
           xdr_uint64_t(stream, &draw->uptime_ms) &&
           xdr_uint64_t(stream, &draw->as_deputy);
}

static bool_t
xdr_handover(XDR *stream, QuotaHandover *handover)
{
    return xdr_uint64_t(stream, &handover->team) &&
           xdr_vector(stream, (char *)handover->counts, QUOTA_BUCKETS + 1,
                      sizeof(handover->counts[0]), (xdrproc_t)xdr_int64_t);
}

static void
free_count(gpointer data)
{
    TeamCount *count = data;

    g_hash_table_destroy(count->reporters);
    g_free(count);
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
        QuotaWindow_Init(&count->surge, SURGE_MS, now);
        QuotaWindow_Init(&count->deputed, quota->desc.window_ms, now);
        QuotaWindow_Init(&count->own, quota->desc.window_ms, now);
        QuotaWindow_Init(&count->taken, quota->desc.window_ms, now);
        count->reporters =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
        g_hash_table_insert(quota->teams, &count->team, count);
    }
    return count;
}

/* Counts what a host took before this keeper started; with the lock held. */
static void
note_report(Quota *quota, TeamCount *count, const QuotaDraw *draw, ClockMs now)
{
    ClockMs uptime = now - quota->started;

    if (uptime >= quota->desc.window_ms ||
        draw->uptime_ms < (uint64_t)uptime + RESTART_MS ||
        g_hash_table_contains(count->reporters, &draw->host)) {
        return;
    }
    g_hash_table_add(count->reporters,
                     g_memdup2(&draw->host, sizeof(draw->host)));
    count->reported += (int64_t)draw->taken;
    QuotaWindow_Add(&count->kept, (int64_t)draw->taken, now);
}

/* What the keeper may let through in the window; with the lock held. Counts
 * that were handed over are whole: nothing is unknown, however young the
 * process. */
static int64_t
keeper_limit(Quota *quota, const CatalogTeam *team, TeamCount *count,
             ClockMs now)
{
    uint32_t hosts = Roster_CountDataCentre(quota->desc.roster);
    uint32_t reports = g_hash_table_size(count->reporters);
    double limit =
        now < count->handed_until
            ? _Quota_SteadyLimit(&quota->desc, team)
            : _Quota_StartLimit(&quota->desc, team, now - quota->started,
                                MAX(hosts, reports), reports, count->reported);

    return llround(limit * KEEPER_SHARE);
}

static Result
take_as_keeper(Quota *quota, const CatalogTeam *team, const QuotaDraw *draw)
{
    ClockMs now = Clock_Now();
    double steady = _Quota_SteadyLimit(&quota->desc, team) * KEEPER_SHARE;
    int64_t surge = (int64_t)(steady * SURGE_SHARE) + SURGE_REQUESTS;
    int64_t limit;
    TeamCount *count;
    gboolean taken;

    if (atomic_load(&quota->leaving)) {
        return RESULT_SHUTTING_DOWN;
    }
    pthread_mutex_lock(&quota->lock);
    count = find_count(quota, team->hash, now);
    if (now >= count->handed_until) {
        note_report(quota, count, draw, now);
    }
    limit = keeper_limit(quota, team, count, now);
    taken = QuotaWindow_Count(&count->kept, now) < limit &&
            QuotaWindow_Take(&count->surge, surge, now) &&
            QuotaWindow_Take(&count->kept, limit, now);
    pthread_mutex_unlock(&quota->lock);
    return taken ? RESULT_OK : RESULT_RATE_EXCEEDED;
}

/* Sends a draw to a neighbour and notes whether that can be reached. */
static Result
ask_peer(Quota *quota, const RosterPeer *asked, QuotaDraw *draw, int wait_ms)
{
    RpcPeer peer = {.ip = ntohl(asked->rpc.sin_addr.s_addr),
                    .port = ntohs(asked->rpc.sin_port)};
    GByteArray *body = g_byte_array_new();
    uint64_t refused;
    Result result = RESULT_RPC_TIMEOUT;

    if (Rpc_Encode(body, (xdrproc_t)xdr_draw, draw)) {
        Counter_Add(COUNTER_RATE_DRAWS, 1);
        result = Rpc_Call(quota->desc.rpc, &peer, RPC_KIND_QUOTA_DRAW, body,
                          NULL, wait_ms);
    }
    if (result == RESULT_RPC_OLD_SESSION) {
        /* The wall clock has gone back since an earlier start. */
        refused = Rpc_GetRefusedIncarnation(quota->desc.rpc);
        Rpc_SetIncarnation(quota->desc.rpc, refused + 1);
    }
    g_byte_array_unref(body);
    if (result == RESULT_RPC_TIMEOUT) {
        Roster_NoteUnreachable(quota->desc.roster, asked->host, Clock_Now());
    }
    else {
        Roster_NoteReached(quota->desc.roster, asked->host, Clock_Now());
    }
    return result;
}

/* Whether the keeper has been out of this host's reach for a window. */
static gboolean
has_lost(const Quota *quota, const RosterPeer *keeper)
{
    return !keeper->is_self && keeper->unreachable_ms > quota->desc.window_ms;
}

/* Passes a draw on to the keeper, which the drawing host does not reach: a
 * path can be cut that is whole from here. */
static Result
relay(Quota *quota, const RosterPeer *keeper, const QuotaDraw *draw)
{
    QuotaDraw passed_on = *draw;

    passed_on.as_deputy = 0;
    return keeper->is_reachable && !keeper->is_self
               ? ask_peer(quota, keeper, &passed_on, QUOTA_RELAY_MS)
               : RESULT_RPC_TIMEOUT;
}

/* Whether a keeper that left has handed its counts over to this deputy. */
static gboolean
has_counts_of(Quota *quota, const CatalogTeam *team)
{
    ClockMs now = Clock_Now();
    gboolean handed;

    pthread_mutex_lock(&quota->lock);
    handed = now < find_count(quota, team->hash, now)->handed_until;
    pthread_mutex_unlock(&quota->lock);
    return handed;
}

/* A keeper that answers again counts itself. */
static void
end_handover(Quota *quota, const CatalogTeam *team)
{
    pthread_mutex_lock(&quota->lock);
    find_count(quota, team->hash, Clock_Now())->handed_until = 0;
    pthread_mutex_unlock(&quota->lock);
}

static Result
take_deputy_part(Quota *quota, const CatalogTeam *team)
{
    ClockMs now = Clock_Now();
    double limit = _Quota_SteadyLimit(&quota->desc, team) * DEPUTY_SHARE;
    gboolean taken;

    pthread_mutex_lock(&quota->lock);
    taken = QuotaWindow_Take(&find_count(quota, team->hash, now)->deputed,
                             llround(limit), now);
    pthread_mutex_unlock(&quota->lock);
    return taken ? RESULT_OK : RESULT_RATE_EXCEEDED;
}

static Result
take_as_deputy(Quota *quota, const CatalogTeam *team, const QuotaDraw *draw)
{
    RosterPeer keeper;
    Result result;

    (void)Roster_Rank(quota->desc.roster, team->hash, TRUE, Clock_Now(),
                      &keeper, 1);
    result = relay(quota, &keeper, draw);
    if (result == RESULT_OK || result == RESULT_RATE_EXCEEDED) {
        end_handover(quota, team);
        return result;
    }
    return has_counts_of(quota, team) || has_lost(quota, &keeper)
               ? take_as_keeper(quota, team, draw)
               : take_deputy_part(quota, team);
}

/* Counts a request of a host in the role that it asks for. */
static Result
take_for(Quota *quota, const CatalogTeam *team, const QuotaDraw *draw)
{
    return draw->as_deputy ? take_as_deputy(quota, team, draw)
                           : take_as_keeper(quota, team, draw);
}

static Result
take_own_part(Quota *quota, const CatalogTeam *team)
{
    ClockMs now = Clock_Now();
    double limit = _Quota_SteadyLimit(&quota->desc, team);
    uint32_t hosts = Roster_CountDataCentre(quota->desc.roster);
    double part =
        limit * (1 - KEEPER_SHARE - DEPUTY_SHARE) / MAX(hosts, LEAST_HOSTS);
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
    QuotaDraw draw = {0};
    Result result = RESULT_NOT_CONFIGURED;

    (void)sender;
    (void)reply;
    if (!Rpc_Decode(body, (xdrproc_t)xdr_draw, &draw)) {
        result = RESULT_MALFORMED;
    }
    else if (table != NULL) {
        team = CatalogTable_FindTeam(table, draw.team);
        result = team ? take_for(quota, team, &draw) : RESULT_NOT_FOUND;
    }
    CatalogTable_Unref(table);
    return result;
}

/* Takes over the counts of a keeper that leaves. */
static Result
serve_handover(void *context, const RpcPeer *sender, const GByteArray *body,
               GByteArray *reply)
{
    Quota *quota = context;
    QuotaHandover handover;
    ClockMs now = Clock_Now();
    TeamCount *count;

    (void)reply;
    if (!Rpc_Decode(body, (xdrproc_t)xdr_handover, &handover)) {
        return RESULT_MALFORMED;
    }
    pthread_mutex_lock(&quota->lock);
    count = find_count(quota, handover.team, now);
    QuotaWindow_Merge(&count->kept, now, handover.counts);
    count->handed_until = now + quota->desc.window_ms;
    pthread_mutex_unlock(&quota->lock);
    Log_Event(LOG_QUOTA_TAKEN_OVER,
              "team=%016" PRIx64 " host=%016" PRIx64 " until_ms=%" PRId64,
              handover.team, sender->host, quota->desc.window_ms);
    return RESULT_OK;
}

/* Whether this keeper has counted all of the last window. */
static gboolean
is_whole(const Quota *quota, const TeamCount *count, ClockMs now)
{
    return now - quota->started >= quota->desc.window_ms ||
           now < count->handed_until;
}

/* All teams whose last window is known. */
static GArray *
read_counts(Quota *quota)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(QuotaHandover));
    ClockMs now = Clock_Now();
    GHashTableIter iterator;
    gpointer value;

    pthread_mutex_lock(&quota->lock);
    g_hash_table_iter_init(&iterator, quota->teams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        TeamCount *count = value;
        QuotaHandover handover = {.team = count->team};

        if (is_whole(quota, count, now) &&
            QuotaWindow_Count(&count->kept, now) > 0) {
            QuotaWindow_Read(&count->kept, now, handover.counts);
            g_array_append_val(all, handover);
        }
    }
    pthread_mutex_unlock(&quota->lock);
    return all;
}

/* Returns FALSE if the deputy did not take the counts over. */
static gboolean
hand_over(Quota *quota, QuotaHandover *handover)
{
    RosterPeer order[COUNTERS];
    uint32_t count = Roster_Rank(quota->desc.roster, handover->team, TRUE,
                                 Clock_Now(), order, COUNTERS);
    RpcPeer deputy;
    GByteArray *body;
    Result result = RESULT_RPC_TIMEOUT;

    if (!order[0].is_self) {
        return TRUE;
    }
    if (count < COUNTERS || !order[1].is_reachable) {
        return FALSE;
    }
    deputy = (RpcPeer){.ip = ntohl(order[1].rpc.sin_addr.s_addr),
                       .port = ntohs(order[1].rpc.sin_port)};
    body = g_byte_array_new();
    if (Rpc_Encode(body, (xdrproc_t)xdr_handover, handover)) {
        result = Rpc_Call(quota->desc.rpc, &deputy, RPC_KIND_QUOTA_HANDOVER,
                          body, NULL, HANDOVER_MS);
    }
    g_byte_array_unref(body);
    if (result == RESULT_RPC_TIMEOUT) {
        Roster_NoteUnreachable(quota->desc.roster, order[1].host, Clock_Now());
    }
    return result == RESULT_OK;
}

void
Quota_Leave(Quota *quota, ClockMs until)
{
    GArray *all;
    guint left = 0;

    atomic_store(&quota->leaving, TRUE);
    all = read_counts(quota);
    for (guint i = 0; i < all->len; i++) {
        QuotaHandover *handover = &g_array_index(all, QuotaHandover, i);

        if (Clock_Now() >= until || !hand_over(quota, handover)) {
            left++;
        }
    }
    Log_Event(LOG_QUOTA_HANDED_OVER, "teams=%u not_handed_over=%u", all->len,
              left);
    g_array_free(all, TRUE);
}

Quota *
Quota_Create(const Quota_desc *desc)
{
    Quota *quota = g_new0(Quota, 1);

    quota->desc = *desc;
    quota->started = Clock_Now();
    pthread_mutex_init(&quota->lock, NULL);
    quota->teams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_count);
    Rpc_Handle(desc->rpc, RPC_KIND_QUOTA_DRAW, serve_draw, quota);
    Rpc_Handle(desc->rpc, RPC_KIND_QUOTA_HANDOVER, serve_handover, quota);
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

static QuotaDraw
make_draw(Quota *quota, const CatalogTeam *team)
{
    ClockMs now = Clock_Now();
    QuotaDraw draw = {.team = team->hash,
                      .host = quota->desc.host,
                      .uptime_ms = (uint64_t)(now - quota->started)};

    pthread_mutex_lock(&quota->lock);
    draw.taken = (uint64_t)QuotaWindow_Count(
        &find_count(quota, team->hash, now)->taken, now);
    pthread_mutex_unlock(&quota->lock);
    return draw;
}

static void
note_taken(Quota *quota, const CatalogTeam *team)
{
    ClockMs now = Clock_Now();

    pthread_mutex_lock(&quota->lock);
    QuotaWindow_Add(&find_count(quota, team->hash, now)->taken, 1, now);
    pthread_mutex_unlock(&quota->lock);
}

/* Draws at keeper or deputy. */
static Result
draw_at(Quota *quota, const CatalogTeam *team, const RosterPeer *peer,
        gboolean as_deputy)
{
    QuotaDraw draw = make_draw(quota, team);
    Result result;

    draw.as_deputy = as_deputy;
    if (peer->is_self) {
        result = take_for(quota, team, &draw);
    }
    else {
        result = peer->is_reachable
                     ? ask_peer(quota, peer, &draw, QUOTA_DRAW_MS)
                     : RESULT_RPC_TIMEOUT;
    }
    if (result == RESULT_OK) {
        note_taken(quota, team);
    }
    return result;
}

Result
Quota_Take(Quota *quota, const CatalogTeam *team, QuotaSource *source)
{
    RosterPeer order[COUNTERS];
    uint32_t count;
    Result result;

    *source = QUOTA_UNLIMITED;
    if (team->rate_per_s == 0) {
        return RESULT_OK;
    }
    count = Roster_Rank(quota->desc.roster, team->hash, TRUE, Clock_Now(),
                        order, COUNTERS);
    for (uint32_t i = 0; i < count; i++) {
        *source = i == 0 ? QUOTA_KEEPER : QUOTA_DEPUTY;
        result = draw_at(quota, team, &order[i], i > 0);
        if (result == RESULT_OK || result == RESULT_RATE_EXCEEDED) {
            return result;
        }
        Log_Event(LOG_QUOTA_KEEPER_SILENT,
                  "team=%s source=%s host=%016" PRIx64 " result=%s",
                  team->name, Quota_SourceName(*source), order[i].host,
                  Result_Name(result));
    }
    *source = QUOTA_OWN_PART;
    return take_own_part(quota, team);
}
