#include "roster/roster.h"

#include <math.h>

#include "roster/exploration.h"
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

/* Expected state of a backend server without a recent report. If the other
 * backend servers of the service fail or are slow, this one probably is, too.
 */
typedef struct ServiceMean {
    double risk;
    double wait_ms;
} ServiceMean;

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

static ClockMs
slot_wait(const RosterRow *row, ClockMs now)
{
    double slots = MAX(row->entry.slots, 1);
    double load = (double)(row->report.in_flight + row->report.waiting) *
                  load_weight(row, now);
    ClockMs service_ms = row->report.service_ms > 0 ? row->report.service_ms
                                                    : INITIAL_SERVICE_MS;

    return load < slots
               ? 0
               : (ClockMs)((load - slots + 1) * (double)service_ms / slots);
}

/* Wait for a slot, or for the next request that a cold backend server accepts;
 * other senders wait for it as well, so the latter decays like the load. */
static ClockMs
expected_wait(const RosterRow *row, ClockMs now)
{
    double cold_ms = (double)row->report.cold_wait_ms * load_weight(row, now);

    return slot_wait(row, now) + (ClockMs)cold_ms;
}

gboolean
_Roster_IsRecent(const RosterRow *row, ClockMs now)
{
    return row->reported > 0 && now - row->reported <= ROSTER_RECENT_MS;
}

static ServiceMean
mean_of(const GPtrArray *rows, ClockMs now)
{
    double risk = 0;
    double wait_ms = 0;
    double prior = 0;
    guint count = 0;

    for (guint i = 0; i < rows->len; i++) {
        const RosterRow *row = g_ptr_array_index(rows, i);

        prior = GrayFilter_LongTermRisk(&row->filter);
        if (_Roster_IsRecent(row, now)) {
            risk += GrayFilter_Risk(&row->filter, now);
            wait_ms += (double)expected_wait(row, now);
            count++;
        }
    }
    return (ServiceMean){
        .risk =
            (risk + PRIOR_RISK_REPORTS * prior) / (count + PRIOR_RISK_REPORTS),
        .wait_ms = wait_ms / (count + PRIOR_WAIT_REPORTS),
    };
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
explore_idle_ms(const RosterRow *row, const RosterQuery *query, ClockMs now)
{
    ExplorationInput input = {.tier = row->tier,
                              .may_retry = query->may_explore,
                              .is_new = is_new(row),
                              .has_report = row->reported > 0,
                              .idle_ms =
                                  row->report.idle_ms + (now - row->reported)};

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

static double
cost_of(Roster *roster, const RosterRow *row, const RosterQuery *query,
        const ServiceMean *mean, ClockMs now)
{
    gboolean recent = _Roster_IsRecent(row, now);
    double jitter = JITTER_COST * Rng_Unit(&roster->rng);
    double risk = GrayFilter_Risk(&row->filter, now);
    double load = (double)row->report.in_flight / MAX(row->entry.slots, 1);
    double stop =
        query->is_issuance && is_stopping(row, now) ? STOPPING_COST : 0;
    PlacementCandidate candidate = {
        .tier = row->tier,
        .is_known = recent,
        .load = MIN(load, 1) * load_weight(row, now),
        .wait_ms = (double)expected_wait(row, now),
        .service_ms = (double)row->report.service_ms,
        .transit_ms = roster->transit_ms[row->tier]};

    if (explore_idle_ms(row, query, now) > 0) {
        return jitter;
    }
    if (!recent && !is_new(row)) {
        risk = MAX(risk, mean->risk);
        candidate.wait_ms = MAX(candidate.wait_ms, mean->wait_ms);
    }
    candidate.fail_share = GrayFilter_FailShare(&row->filter, risk);
    return Placement_Cost(&roster->desc.placement, &query->request,
                          &candidate) +
           stop + jitter;
}

static void
fill_choice(const RosterRow *row, const RosterQuery *query, ClockMs now,
            RosterChoice *choice)
{
    choice->explore_idle_ms = explore_idle_ms(row, query, now);
    choice->entry = row->entry;
    choice->host = row->host;
    choice->tier = row->tier;
    choice->wait_ms = expected_wait(row, now);
    choice->service_ms = row->report.service_ms;
    choice->age_ms = row->reported > 0 ? now - row->reported : CLOCK_NEVER;
}

/* Returns the row with the lowest cost; NULL if there is none. Skips hosts
 * that are being avoided or stop too early, unless `include_all` is set. Hosts
 * outside the regions of the query and those of withdrawn data centres are
 * never chosen. */
static const RosterRow *
find_best(Roster *roster, const GPtrArray *rows, const RosterQuery *query,
          gboolean include_all, ClockMs now, RosterChoice *choice)
{
    ServiceMean mean = mean_of(rows, now);
    const RosterRow *best = NULL;

    choice->cost = HUGE_VAL;
    choice->other_cost = HUGE_VAL;
    for (guint i = 0; i < rows->len; i++) {
        const RosterRow *row = g_ptr_array_index(rows, i);
        double cost;

        if (row->withdrawn || row->entry.leaving ||
            is_excluded(query, row->host) ||
            !_Roster_IsAllowed(row, query, now) ||
            (!include_all &&
             (now < row->avoid_until || stops_too_early(row, query, now)))) {
            continue;
        }
        cost = cost_of(roster, row, query, &mean, now);
        if (cost < choice->cost) {
            choice->other_cost = choice->cost;
            choice->cost = cost;
            best = row;
        }
        else if (cost < choice->other_cost) {
            choice->other_cost = cost;
        }
    }
    return best;
}

gboolean
Roster_Choose(Roster *roster, const RosterQuery *query, ClockMs now,
              RosterChoice *choice)
{
    const RosterRow *best = NULL;
    GPtrArray *rows;

    pthread_mutex_lock(&roster->lock);
    rows = g_hash_table_lookup(roster->services, &query->service);
    if (rows != NULL) {
        best = find_best(roster, rows, query, FALSE, now, choice);
    }
    choice->away_ms = best != NULL ? -1 : _Roster_AwayMs(rows, query, now);
    if (rows != NULL && best == NULL && choice->away_ms < 0) {
        best = find_best(roster, rows, query, TRUE, now, choice);
    }
    if (best != NULL) {
        fill_choice(best, query, now, choice);
        _Roster_BeginProbe(best, query, now);
    }
    pthread_mutex_unlock(&roster->lock);
    return best != NULL;
}
