#include <math.h>

#include "quota/quota_internal.h"

/* Shares of the data centre's part that primary and backup count against. The
 * rest is divided among the local shares of the hosts. */
#define PRIMARY_SHARE 0.85
#define BACKUP_SHARE 0.1

/* Shares of the tolerated excess that the limits include: in steady state, and
 * after a start, when an earlier process may have used up the steady limit.
 * The rest covers requests that are counted in one window and run in the next.
 */
#define STEADY_EXCESS 0.8
#define START_EXCESS 0.95

/* Minimum time between the end of a process and the start of the next. */
#define MIN_RESTART_MS 600

/* Surge limit: maximum requests admitted within SURGE_MS, as a share of the
 * window's limit plus a number of requests that absorbs the random variation
 * of small counts. */
#define SURGE_MS 1000
#define SURGE_SHARE 0.22
#define SURGE_REQUESTS 4

/* Maximum rate at which an earlier process used its part, relative to an even
 * use over the window. */
#define START_RATE_FACTOR 1.1

/* Minimum number of hosts assumed when local shares are sized, so that a host
 * with an empty roster does not take the shares of all hosts. */
#define MIN_HOSTS 6

static double
limit_with_excess(const Quota_desc *desc, const CatalogTeam *team,
                  double share)
{
    double allowance =
        (double)team->rate_per_s * (double)desc->window_ms / 1000 +
        (double)team->burst;
    double excess = allowance * desc->overage + (double)desc->slack;

    return (allowance + excess * share) / MAX(desc->data_centres, 1);
}

double
_Quota_SteadyLimit(const Quota_desc *desc, const CatalogTeam *team)
{
    return limit_with_excess(desc, team, STEADY_EXCESS);
}

double
_Quota_StartLimit(const Quota_desc *desc, const CatalogTeam *team,
                  ClockMs uptime_ms, uint32_t hosts, uint32_t reports,
                  int64_t reported)
{
    double steady = _Quota_SteadyLimit(desc, team);
    double left = 1 - (double)(uptime_ms + MIN_RESTART_MS) /
                          (double)MAX(desc->window_ms, 1);
    double unknown = steady * CLAMP(START_RATE_FACTOR * left, 0, 1);

    if (reports > 0) {
        unknown = MIN(unknown, (double)reported * (double)(hosts - reports) /
                                   (double)reports);
    }
    return MIN(steady, limit_with_excess(desc, team, START_EXCESS) - unknown);
}

static void
free_count(gpointer data)
{
    TeamCount *count = data;

    g_hash_table_destroy(count->reporters);
    g_free(count);
}

GHashTable *
_Quota_CreateTeams(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                 free_count);
}

/* Called with the lock held. */
static TeamCount *
find_count(Quota *quota, uint64_t team, ClockMs now)
{
    TeamCount *count = g_hash_table_lookup(quota->teams, &team);

    if (count == NULL) {
        count = g_new0(TeamCount, 1);
        count->team = team;
        QuotaWindow_Init(&count->as_primary, quota->desc.window_ms, now);
        QuotaWindow_Init(&count->surge, SURGE_MS, now);
        QuotaWindow_Init(&count->as_backup, quota->desc.window_ms, now);
        QuotaWindow_Init(&count->local, quota->desc.window_ms, now);
        QuotaWindow_Init(&count->admitted, quota->desc.window_ms, now);
        count->reporters =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
        g_hash_table_insert(quota->teams, &count->team, count);
    }
    return count;
}

/* Counts what the drawing host admitted before this primary started, unless it
 * has reported already or started too recently itself. Called with the lock
 * held. */
static void
note_report(Quota *quota, TeamCount *count, const QuotaDraw *draw, ClockMs now)
{
    ClockMs uptime = now - quota->started;

    if (uptime >= quota->desc.window_ms ||
        draw->uptime_ms < (uint64_t)uptime + MIN_RESTART_MS ||
        g_hash_table_contains(count->reporters, &draw->host)) {
        return;
    }
    g_hash_table_add(count->reporters,
                     g_memdup2(&draw->host, sizeof(draw->host)));
    count->reported += (int64_t)draw->admitted;
    QuotaWindow_Add(&count->as_primary, (int64_t)draw->admitted, now);
}

/* Whether this host counts in place of a primary that left. Called with the
 * lock held. */
static gboolean
is_handed_over(const TeamCount *count, ClockMs now)
{
    return now < count->handover_until;
}

/* Maximum number of requests that the primary admits in the window. Counts
 * from a handover are complete, so they need no start limit, however short the
 * uptime. Called with the lock held. */
static int64_t
primary_limit(Quota *quota, const CatalogTeam *team, TeamCount *count,
              ClockMs now)
{
    uint32_t hosts = Roster_CountDataCentre(quota->desc.roster);
    uint32_t reports = g_hash_table_size(count->reporters);
    double limit =
        is_handed_over(count, now)
            ? _Quota_SteadyLimit(&quota->desc, team)
            : _Quota_StartLimit(&quota->desc, team, now - quota->started,
                                MAX(hosts, reports), reports, count->reported);

    return llround(limit * PRIMARY_SHARE);
}

Result
_Quota_TakeAsPrimary(Quota *quota, const CatalogTeam *team,
                     const QuotaDraw *draw)
{
    ClockMs now = Clock_Now();
    double steady = _Quota_SteadyLimit(&quota->desc, team) * PRIMARY_SHARE;
    int64_t surge = (int64_t)(steady * SURGE_SHARE) + SURGE_REQUESTS;
    int64_t limit;
    TeamCount *count;
    gboolean admitted;

    if (atomic_load(&quota->leaving)) {
        return RESULT_SHUTTING_DOWN;
    }
    pthread_mutex_lock(&quota->lock);
    count = find_count(quota, team->hash, now);
    if (!is_handed_over(count, now)) {
        note_report(quota, count, draw, now);
    }
    limit = primary_limit(quota, team, count, now);
    admitted = QuotaWindow_Count(&count->as_primary, now) < limit &&
               QuotaWindow_Take(&count->surge, surge, now) &&
               QuotaWindow_Take(&count->as_primary, limit, now);
    pthread_mutex_unlock(&quota->lock);
    return admitted ? RESULT_OK : RESULT_RATE_EXCEEDED;
}

/* Whether this backup received the counts of a primary that left. */
gboolean
_Quota_HasHandover(Quota *quota, const CatalogTeam *team)
{
    ClockMs now = Clock_Now();
    gboolean handed;

    pthread_mutex_lock(&quota->lock);
    handed = is_handed_over(find_count(quota, team->hash, now), now);
    pthread_mutex_unlock(&quota->lock);
    return handed;
}

/* Ends the handover, because the primary answers again and counts itself. */
void
_Quota_EndHandover(Quota *quota, const CatalogTeam *team)
{
    pthread_mutex_lock(&quota->lock);
    find_count(quota, team->hash, Clock_Now())->handover_until = 0;
    pthread_mutex_unlock(&quota->lock);
}

/* Counts a request against the backup's share or the local share, whose limit
 * the caller gives. */
static Result
take_share(Quota *quota, const CatalogTeam *team, gboolean as_backup,
           int64_t limit)
{
    ClockMs now = Clock_Now();
    TeamCount *count;
    gboolean admitted;

    pthread_mutex_lock(&quota->lock);
    count = find_count(quota, team->hash, now);
    admitted = QuotaWindow_Take(as_backup ? &count->as_backup : &count->local,
                                limit, now);
    pthread_mutex_unlock(&quota->lock);
    return admitted ? RESULT_OK : RESULT_RATE_EXCEEDED;
}

Result
_Quota_TakeBackupShare(Quota *quota, const CatalogTeam *team)
{
    double limit = _Quota_SteadyLimit(&quota->desc, team) * BACKUP_SHARE;

    return take_share(quota, team, TRUE, llround(limit));
}

Result
_Quota_TakeLocalShare(Quota *quota, const CatalogTeam *team)
{
    double limit = _Quota_SteadyLimit(&quota->desc, team);
    uint32_t hosts = Roster_CountDataCentre(quota->desc.roster);
    double share =
        limit * (1 - PRIMARY_SHARE - BACKUP_SHARE) / MAX(hosts, MIN_HOSTS);

    return take_share(quota, team, FALSE, (int64_t)share);
}

void
_Quota_MakeDraw(Quota *quota, const CatalogTeam *team, QuotaDraw *draw)
{
    ClockMs now = Clock_Now();

    *draw = (QuotaDraw){.team = team->hash,
                        .host = quota->desc.host,
                        .uptime_ms = (uint64_t)(now - quota->started)};
    pthread_mutex_lock(&quota->lock);
    draw->admitted = (uint64_t)QuotaWindow_Count(
        &find_count(quota, team->hash, now)->admitted, now);
    pthread_mutex_unlock(&quota->lock);
}

void
_Quota_CountAdmitted(Quota *quota, const CatalogTeam *team)
{
    ClockMs now = Clock_Now();

    pthread_mutex_lock(&quota->lock);
    QuotaWindow_Add(&find_count(quota, team->hash, now)->admitted, 1, now);
    pthread_mutex_unlock(&quota->lock);
}

/* Requests in the window, which is a copy because counting moves it on. */
static int64_t
count_copy(QuotaWindow window, ClockMs now)
{
    return QuotaWindow_Count(&window, now);
}

void
_Quota_ReadCounted(Quota *quota, const CatalogTeam *team, gboolean is_primary,
                   ClockMs now, QuotaState *state)
{
    const TeamCount *count;

    pthread_mutex_lock(&quota->lock);
    count = g_hash_table_lookup(quota->teams, &team->hash);
    state->admitted = count ? count_copy(count->admitted, now) : 0;
    if (is_primary) {
        state->counted = count ? count_copy(count->as_primary, now) : 0;
    }
    pthread_mutex_unlock(&quota->lock);
}

/* Whether the counts of this primary cover the last window entirely. */
static gboolean
covers_window(const Quota *quota, const TeamCount *count, ClockMs now)
{
    return now - quota->started >= quota->desc.window_ms ||
           is_handed_over(count, now);
}

/* Returns the counts of all teams whose last window is covered entirely. */
GArray *
_Quota_ReadCounts(Quota *quota)
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

        if (covers_window(quota, count, now) &&
            QuotaWindow_Count(&count->as_primary, now) > 0) {
            QuotaWindow_Read(&count->as_primary, now, handover.counts);
            g_array_append_val(all, handover);
        }
    }
    pthread_mutex_unlock(&quota->lock);
    return all;
}

void
_Quota_MergeCounts(Quota *quota, const QuotaHandover *handover)
{
    ClockMs now = Clock_Now();
    TeamCount *count;

    pthread_mutex_lock(&quota->lock);
    count = find_count(quota, handover->team, now);
    QuotaWindow_Merge(&count->as_primary, now, handover->counts);
    count->handover_until = now + quota->desc.window_ms;
    pthread_mutex_unlock(&quota->lock);
}
