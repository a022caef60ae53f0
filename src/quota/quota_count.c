#include <math.h>

#include "quota/quota_internal.h"

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

/* Whether a keeper that left has handed its counts over; with the lock held.
 */
static gboolean
is_handed_over(const TeamCount *count, ClockMs now)
{
    return now < count->handed_until;
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
        is_handed_over(count, now)
            ? _Quota_SteadyLimit(&quota->desc, team)
            : _Quota_StartLimit(&quota->desc, team, now - quota->started,
                                MAX(hosts, reports), reports, count->reported);

    return llround(limit * KEEPER_SHARE);
}

Result
_Quota_TakeAsKeeper(Quota *quota, const CatalogTeam *team,
                    const QuotaDraw *draw)
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
    if (!is_handed_over(count, now)) {
        note_report(quota, count, draw, now);
    }
    limit = keeper_limit(quota, team, count, now);
    taken = QuotaWindow_Count(&count->kept, now) < limit &&
            QuotaWindow_Take(&count->surge, surge, now) &&
            QuotaWindow_Take(&count->kept, limit, now);
    pthread_mutex_unlock(&quota->lock);
    return taken ? RESULT_OK : RESULT_RATE_EXCEEDED;
}

/* Whether a keeper that left has handed its counts over to this deputy. */
gboolean
_Quota_HasCountsOf(Quota *quota, const CatalogTeam *team)
{
    ClockMs now = Clock_Now();
    gboolean handed;

    pthread_mutex_lock(&quota->lock);
    handed = is_handed_over(find_count(quota, team->hash, now), now);
    pthread_mutex_unlock(&quota->lock);
    return handed;
}

/* A keeper that answers again counts itself. */
void
_Quota_EndHandover(Quota *quota, const CatalogTeam *team)
{
    pthread_mutex_lock(&quota->lock);
    find_count(quota, team->hash, Clock_Now())->handed_until = 0;
    pthread_mutex_unlock(&quota->lock);
}

/* Counts a request in the window that the caller holds the limit of: TRUE for
 * the deputy's part, else the own part. */
static Result
take_part(Quota *quota, const CatalogTeam *team, gboolean as_deputy,
          int64_t limit)
{
    ClockMs now = Clock_Now();
    TeamCount *count;
    gboolean taken;

    pthread_mutex_lock(&quota->lock);
    count = find_count(quota, team->hash, now);
    taken = QuotaWindow_Take(as_deputy ? &count->deputed : &count->own, limit,
                             now);
    pthread_mutex_unlock(&quota->lock);
    return taken ? RESULT_OK : RESULT_RATE_EXCEEDED;
}

Result
_Quota_TakeDeputyPart(Quota *quota, const CatalogTeam *team)
{
    double limit = _Quota_SteadyLimit(&quota->desc, team) * DEPUTY_SHARE;

    return take_part(quota, team, TRUE, llround(limit));
}

Result
_Quota_TakeOwnPart(Quota *quota, const CatalogTeam *team)
{
    double limit = _Quota_SteadyLimit(&quota->desc, team);
    uint32_t hosts = Roster_CountDataCentre(quota->desc.roster);
    double part =
        limit * (1 - KEEPER_SHARE - DEPUTY_SHARE) / MAX(hosts, LEAST_HOSTS);

    return take_part(quota, team, FALSE, (int64_t)part);
}

void
_Quota_MakeDraw(Quota *quota, const CatalogTeam *team, QuotaDraw *draw)
{
    ClockMs now = Clock_Now();

    *draw = (QuotaDraw){.team = team->hash,
                        .host = quota->desc.host,
                        .uptime_ms = (uint64_t)(now - quota->started)};
    pthread_mutex_lock(&quota->lock);
    draw->taken = (uint64_t)QuotaWindow_Count(
        &find_count(quota, team->hash, now)->taken, now);
    pthread_mutex_unlock(&quota->lock);
}

void
_Quota_NoteTaken(Quota *quota, const CatalogTeam *team)
{
    ClockMs now = Clock_Now();

    pthread_mutex_lock(&quota->lock);
    QuotaWindow_Add(&find_count(quota, team->hash, now)->taken, 1, now);
    pthread_mutex_unlock(&quota->lock);
}

/* Whether this keeper has counted all of the last window. */
static gboolean
is_whole(const Quota *quota, const TeamCount *count, ClockMs now)
{
    return now - quota->started >= quota->desc.window_ms ||
           is_handed_over(count, now);
}

/* All teams whose last window is known. */
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

        if (is_whole(quota, count, now) &&
            QuotaWindow_Count(&count->kept, now) > 0) {
            QuotaWindow_Read(&count->kept, now, handover.counts);
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
    QuotaWindow_Merge(&count->kept, now, handover->counts);
    count->handed_until = now + quota->desc.window_ms;
    pthread_mutex_unlock(&quota->lock);
}
