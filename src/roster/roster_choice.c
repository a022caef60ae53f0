#include "roster/roster.h"

#include <math.h>

#include "roster/exploration.h"
#include "roster/load_estimate.h"
#include "roster/roster_explain.h"
#include "roster/roster_internal.h"
#include "stop/stop_plan.h"

/* Maximum random addition to a cost; breaks ties. */
#define JITTER_COST 0.01

/* Prior of a service's mean: it is computed as if there were this many more
 * reports, with the long-term mean of the risk and with no wait. */
#define PRIOR_RISK_REPORTS 8
#define PRIOR_WAIT_REPORTS 2

/* Cost of a host that stops, for an issuance: more than that of another data
 * centre, less than that of another region. */
#define STOPPING_COST 0.1

/* Maximum age of the report that a host stops. It ends early if it is idle,
 * and is back about a second later. */
#define STOP_KNOWN_MS 1000

/* Time constant of the exponential decay of a reported load. */
#define LOAD_DECAY_MS 1000

/* Service time assumed before the first report. */
#define INITIAL_SERVICE_MS 500

/* A service counts as full if all recent reports say so, and there are those
 * of this many candidates, and of one in FULL_SHARE. A sender with few
 * requests never has recent reports of all. */
#define MIN_FULL_REPORTS 3
#define FULL_SHARE 8

/* Candidates of nearly equal distance. */
enum { NEAR, IN_REGION, FAR, GROUPS };

/* Best candidate of a group by its rank. */
typedef struct Preferred {
    const RosterRow *row;
    double rank;
    double cost;
} Preferred;

/* Expected state of a backend server without a recent report. If the other
 * backend servers of the service fail or are slow, this one probably is, too.
 */
typedef struct ServiceMean {
    double risk;
    double wait_ms;
    /* With even_load only: */
    double load;       /* LoadEstimate_Mean() */
    double service_ms; /* mean service time */
    double capacity;   /* mean of row_capacity() */
    guint candidates[GROUPS];
} ServiceMean;

static guint
group_of(const RosterRow *row)
{
    switch (row->tier) {
    case ROSTER_SAME_HOST:
    case ROSTER_SAME_DATA_CENTRE:
        return NEAR;
    case ROSTER_SAME_REGION:
        return IN_REGION;
    default:
        return FAR;
    }
}

static gboolean
is_excluded(const RosterQuery *query, uint64_t host)
{
    for (uint32_t i = 0; i < query->excluded_count; i++) {
        if (query->excluded[i] == host) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Weight of the reported load, which decays with the report's age. */
static double
load_weight(const RosterRow *row, ClockMs now)
{
    if (row->reported == 0) {
        return 0;
    }
    return exp(-(double)(now - row->reported) / LOAD_DECAY_MS);
}

static LoadReport
load_report(const RosterRow *row)
{
    return (LoadReport){.slots = row->entry.slots,
                        .requests =
                            row->report.in_flight + row->report.waiting,
                        .own_before = row->own_before,
                        .own_now = row->own,
                        .weight = row->estimate_weight};
}

/* Requests that are expected to run and wait at the backend server. */
static double
expected_load(const Roster *roster, const RosterRow *row, double mean,
              ClockMs now)
{
    if (roster->desc.even_load) {
        LoadReport report = load_report(row);

        return LoadEstimate_Load(&report, mean);
    }
    return (double)(row->report.in_flight + row->report.waiting) *
           load_weight(row, now);
}

static ClockMs
slot_wait(const RosterRow *row, double load)
{
    double slots = MAX(row->entry.slots, 1);
    ClockMs service_ms = row->report.service_ms > 0 ? row->report.service_ms
                                                    : INITIAL_SERVICE_MS;

    return load < slots
               ? 0
               : (ClockMs)((load - slots + 1) * (double)service_ms / slots);
}

/* Wait for a slot, or for the next request that a cold backend server accepts;
 * other senders wait for it as well, so the latter decays like the load. */
static ClockMs
expected_wait(const RosterRow *row, double load, ClockMs now)
{
    double cold_ms = (double)row->report.cold_wait_ms * load_weight(row, now);

    return slot_wait(row, load) + (ClockMs)cold_ms;
}

gboolean
_Roster_IsRecent(const RosterRow *row, ClockMs now)
{
    return row->reported > 0 && now - row->reported <= ROSTER_RECENT_MS;
}

/* Requests for each millisecond; `service_ms` is assumed if its own service
 * time is not known. */
static double
row_capacity(const RosterRow *row, double service_ms)
{
    return MAX(row->entry.slots, 1) / (row->report.service_ms > 0
                                           ? (double)row->report.service_ms
                                           : service_ms);
}

/* Fills what even_load needs of the service. */
static void
set_load_mean(const GPtrArray *rows, ClockMs now, ServiceMean *mean)
{
    LoadSum sum = {0};
    double service_ms = 0;
    guint known = 0;

    for (guint i = 0; i < rows->len; i++) {
        RosterRow *row = g_ptr_array_index(rows, i);
        LoadReport report;

        row->estimate_weight =
            row->reported > 0 ? LoadEstimate_Weight(now - row->reported,
                                                    row->report.service_ms)
                              : 0;
        report = load_report(row);
        LoadEstimate_Add(&sum, &report);
        service_ms += (double)row->report.service_ms;
        known += row->report.service_ms > 0;
        mean->candidates[group_of(row)]++;
    }
    mean->load = LoadEstimate_Mean(&sum);
    mean->service_ms = known > 0 ? service_ms / known : INITIAL_SERVICE_MS;
    for (guint i = 0; i < rows->len; i++) {
        mean->capacity +=
            row_capacity(g_ptr_array_index(rows, i), mean->service_ms) /
            rows->len;
    }
}

static ServiceMean
mean_of(const Roster *roster, const GPtrArray *rows, ClockMs now)
{
    ServiceMean mean = {0};
    double prior = 0;
    guint count = 0;

    if (roster->desc.even_load) {
        set_load_mean(rows, now, &mean);
    }
    for (guint i = 0; i < rows->len; i++) {
        const RosterRow *row = g_ptr_array_index(rows, i);

        prior = GrayFilter_LongTermRisk(&row->filter);
        if (_Roster_IsRecent(row, now)) {
            mean.risk += GrayFilter_Risk(&row->filter, now);
            mean.wait_ms += (double)expected_wait(
                row, expected_load(roster, row, mean.load, now), now);
            count++;
        }
    }
    mean.risk = (mean.risk + PRIOR_RISK_REPORTS * prior) /
                (count + PRIOR_RISK_REPORTS);
    mean.wait_ms /= count + PRIOR_WAIT_REPORTS;
    return mean;
}

/* Whether the backend server is on a host of this data centre and has neither
 * reported nor been found unreachable yet. */
static gboolean
is_new(const RosterRow *row)
{
    return row->reported == 0 && row->unreachable_since == 0 &&
           row->tier <= ROSTER_SAME_DATA_CENTRE;
}

static ClockMs
explore_idle_ms(const Roster *roster, const RosterRow *row,
                const RosterQuery *query, ClockMs now)
{
    ExplorationInput input = {.tier = row->tier,
                              .may_retry = query->may_explore,
                              .is_new = is_new(row),
                              .has_report = row->reported > 0,
                              .idle_ms =
                                  row->report.idle_ms + (now - row->reported)};

    if (roster->desc.even_load && row->unreachable_since == 0 &&
        (row->reported == 0 ||
         row->report.risk <= GrayFilter_LongTermRisk(&row->filter))) {
        /* Not gray: it is chosen for its cost, also if its report is old. */
        input.is_new = FALSE;
        input.idle_ms = row->report.idle_ms;
    }
    return Exploration_IdleMs(&input);
}

/* Whether the host is known to stop. */
static gboolean
is_stopping(const RosterRow *row, ClockMs now)
{
    return now < row->ends && now - row->reported <= STOP_KNOWN_MS;
}

/* Whether the host would refuse the request because it stops. */
static gboolean
stops_too_early(const RosterRow *row, const RosterQuery *query, ClockMs now)
{
    return query->is_issuance && is_stopping(row, now) &&
           !StopPlan_LeavesTime(row->ends, query->deadline,
                                query->run_allowance_ms, now);
}

/* Slots in use, 0 to 1. */
static double
used_share(const Roster *roster, const RosterRow *row, double load,
           ClockMs now)
{
    double slots = MAX(row->entry.slots, 1);

    if (roster->desc.even_load) {
        return MIN(load / slots, 1);
    }
    return MIN(row->report.in_flight / slots, 1) * load_weight(row, now);
}

static double
relative_capacity(const RosterRow *row, const ServiceMean *mean)
{
    return row_capacity(row, mean->service_ms) / mean->capacity;
}

static double
random_unit(Rng *rng)
{
    return rng != NULL ? Rng_Unit(rng) : 0;
}

/* Breaks ties. */
static double
random_cost(const Roster *roster, const RosterRow *row,
            const ServiceMean *mean, Rng *rng)
{
    double random = random_unit(rng);

    return roster->desc.even_load
               ? LoadEstimate_RandomCost(relative_capacity(row, mean), random)
               : JITTER_COST * random;
}

static PlacementCandidate
candidate_of(const Roster *roster, const RosterRow *row,
             const ServiceMean *mean, ClockMs now)
{
    gboolean recent = _Roster_IsRecent(row, now);
    double risk = GrayFilter_Risk(&row->filter, now);
    double load = expected_load(roster, row, mean->load, now);
    PlacementCandidate candidate = {
        .tier = row->tier,
        .is_known = recent,
        .load = used_share(roster, row, load, now),
        .wait_ms = (double)expected_wait(row, load, now),
        .service_ms = (double)row->report.service_ms,
        .transit_ms = roster->transit_ms[row->tier]};

    if (!recent && !is_new(row)) {
        risk = MAX(risk, mean->risk);
        candidate.wait_ms = MAX(candidate.wait_ms, mean->wait_ms);
    }
    candidate.fail_share = GrayFilter_FailShare(&row->filter, risk);
    return candidate;
}

static double
cost_of(const Roster *roster, const RosterRow *row, const RosterQuery *query,
        const ServiceMean *mean, const PlacementCandidate *candidate, Rng *rng,
        ClockMs now)
{
    double jitter = random_cost(roster, row, mean, rng);
    double stop =
        query->is_issuance && is_stopping(row, now) ? STOPPING_COST : 0;

    if (explore_idle_ms(roster, row, query, now) > 0) {
        return jitter;
    }
    return Placement_Cost(&roster->desc.placement, &query->request,
                          candidate) +
           stop + jitter;
}

static void
fill_choice(const Roster *roster, const RosterRow *row,
            const RosterQuery *query, double mean, ClockMs now,
            RosterChoice *choice)
{
    choice->explore_idle_ms = explore_idle_ms(roster, row, query, now);
    choice->entry = row->entry;
    choice->host = row->host;
    choice->tier = row->tier;
    choice->wait_ms =
        expected_wait(row, expected_load(roster, row, mean, now), now);
    choice->service_ms = row->report.service_ms;
    choice->load =
        roster->desc.even_load
            ? expected_load(roster, row, mean, now) / MAX(row->entry.slots, 1)
            : -1;
    choice->age_ms = row->reported > 0 ? now - row->reported : CLOCK_NEVER;
}

/* What the candidates have lately reported. */
typedef struct Fullness {
    guint candidates;
    guint reports;
    guint full;
    ClockMs wait_ms; /* shortest one of those that are full */
} Fullness;

static void
add_fullness(Fullness *fullness, const RosterRow *row, ClockMs now)
{
    uint32_t requests = row->report.in_flight + row->report.waiting;

    fullness->candidates++;
    if (row->reported == 0 || now - row->reported > ROSTER_FULL_MS) {
        return;
    }
    fullness->reports++;
    if (requests >= row->entry.slots) {
        ClockMs wait_ms = MAX(expected_wait(row, requests, now), 1);

        fullness->wait_ms =
            fullness->full == 0 ? wait_ms : MIN(fullness->wait_ms, wait_ms);
        fullness->full++;
    }
}

/* Shortest wait for a slot of a service that is known to be full; 0
 * otherwise. */
static ClockMs
full_wait(const Fullness *fullness)
{
    guint enough = MAX(fullness->candidates / FULL_SHARE, MIN_FULL_REPORTS);

    return fullness->full == fullness->reports &&
                   fullness->reports >= MIN(enough, fullness->candidates)
               ? fullness->wait_ms
               : 0;
}

/* Cost by which candidates of a group are compared with even_load. */
static double
rank_of(const Roster *roster, const RosterRow *row, const RosterQuery *query,
        const ServiceMean *mean, double cost, Rng *rng, ClockMs now)
{
    gboolean is_preferred =
        explore_idle_ms(roster, row, query, now) > 0 ||
        LoadEstimate_IsPreferred(relative_capacity(row, mean),
                                 mean->candidates[group_of(row)],
                                 random_unit(rng));

    return is_preferred ? cost : cost + LOAD_ESTIMATE_PREFERENCE;
}

/* Takes the preferred candidate of the best one's group, so that distance and
 * risk decide as without even_load. */
static const RosterRow *
prefer(const Preferred *preferred, const RosterRow *best, RosterChoice *choice)
{
    const Preferred *in_group = &preferred[group_of(best)];

    if (in_group->row != best) {
        choice->other_cost = choice->cost;
        choice->cost = in_group->cost;
    }
    return in_group->row;
}

static RosterExclusion
exclusion_of(const RosterRow *row, const RosterQuery *query, ClockMs now)
{
    if (row->withdrawn) {
        return ROSTER_EXCLUDED_EVACUATED;
    }
    if (row->entry.leaving) {
        return ROSTER_EXCLUDED_LEAVING;
    }
    if (is_excluded(query, row->host)) {
        return ROSTER_EXCLUDED_BY_QUERY;
    }
    if (!_Roster_IsAllowed(row, query, now)) {
        return ROSTER_EXCLUDED_REGION;
    }
    if (now < MAX(row->avoid_until, row->leaving_until)) {
        return ROSTER_EXCLUDED_AVOIDED;
    }
    return stops_too_early(row, query, now) ? ROSTER_EXCLUDED_STOPPING
                                            : ROSTER_NOT_EXCLUDED;
}

static void
add_candidate(GArray *list, const Roster *roster, const RosterRow *row,
              const RosterQuery *query, const PlacementCandidate *placement,
              double load, double cost, ClockMs now)
{
    RosterCandidate candidate = {
        .entry = row->entry,
        .host = row->host,
        .tier = row->tier,
        .exclusion = exclusion_of(row, query, now),
        .age_ms = row->reported > 0 ? now - row->reported : CLOCK_NEVER,
        .fail_share = placement->fail_share,
        .load = load,
        .wait_ms = (ClockMs)placement->wait_ms,
        .explore_idle_ms = explore_idle_ms(roster, row, query, now),
        .cost = cost};

    g_array_append_val(list, candidate);
}

/* Returns the row with the lowest cost; NULL if there is none. Skips hosts
 * that are being avoided or stop too early, unless `include_all` is set. Hosts
 * outside the regions of the query and those of withdrawn data centres are
 * never chosen. Adds each row, also a skipped one, to `list`; NULL: not
 * wanted.
 */
static const RosterRow *
find_best(const Roster *roster, const GPtrArray *rows,
          const RosterQuery *query, const ServiceMean *mean,
          gboolean include_all, Rng *rng, ClockMs now, RosterChoice *choice,
          GArray *list)
{
    Preferred preferred[GROUPS] = {0};
    const RosterRow *best = NULL;
    Fullness fullness = {0};

    choice->cost = HUGE_VAL;
    choice->other_cost = HUGE_VAL;
    choice->full_wait_ms = 0;
    for (guint i = 0; i < rows->len; i++) {
        const RosterRow *row = g_ptr_array_index(rows, i);
        gboolean skipped =
            exclusion_of(row, query, now) >
            (include_all ? ROSTER_LAST_RESORT : ROSTER_NOT_EXCLUDED);
        PlacementCandidate candidate;
        double cost;

        if (skipped && list == NULL) {
            continue;
        }
        candidate = candidate_of(roster, row, mean, now);
        cost = cost_of(roster, row, query, mean, &candidate, rng, now);
        if (list != NULL) {
            add_candidate(list, roster, row, query, &candidate,
                          expected_load(roster, row, mean->load, now), cost,
                          now);
            if (skipped) {
                continue;
            }
        }
        if (cost < choice->cost) {
            choice->other_cost = choice->cost;
            choice->cost = cost;
            best = row;
        }
        else if (cost < choice->other_cost) {
            choice->other_cost = cost;
        }
        add_fullness(&fullness, row, now);
        if (roster->desc.even_load) {
            Preferred ranked = {
                row, rank_of(roster, row, query, mean, cost, rng, now), cost};
            Preferred *group = &preferred[group_of(row)];

            if (group->row == NULL || ranked.rank < group->rank) {
                *group = ranked;
            }
        }
    }
    if (!roster->desc.even_load || best == NULL) {
        return best;
    }
    choice->full_wait_ms = full_wait(&fullness);
    return prefer(preferred, best, choice);
}

const RosterRow *
_Roster_Select(const Roster *roster, const RosterQuery *query, Rng *rng,
               ClockMs now, RosterChoice *choice, GArray *list)
{
    const RosterRow *best = NULL;
    ServiceMean mean;
    GPtrArray *rows = g_hash_table_lookup(roster->services, &query->service);

    if (rows != NULL) {
        mean = mean_of(roster, rows, now);
        best = find_best(roster, rows, query, &mean, FALSE, rng, now, choice,
                         list);
    }
    choice->away_ms = best != NULL ? -1 : _Roster_AwayMs(rows, query, now);
    if (rows != NULL && best == NULL && choice->away_ms < 0) {
        best = find_best(roster, rows, query, &mean, TRUE, rng, now, choice,
                         NULL);
    }
    if (best != NULL) {
        fill_choice(roster, best, query, mean.load, now, choice);
    }
    return best;
}

gboolean
Roster_Choose(Roster *roster, const RosterQuery *query, ClockMs now,
              RosterChoice *choice)
{
    const RosterRow *best;

    pthread_mutex_lock(&roster->lock);
    best = _Roster_Select(roster, query, &roster->rng, now, choice, NULL);
    if (best != NULL) {
        _Roster_BeginProbe(best, query, now);
    }
    pthread_mutex_unlock(&roster->lock);
    return best != NULL;
}
