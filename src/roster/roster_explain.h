/* RosterExplanation: where a request would be sent now, and why.
 *
 * Use: Roster_Explain() with the query that the request would be chosen by.
 *
 * The choice and the costs come from the functions of Roster_Choose(), without
 * their random part. Nothing is changed: no random number is drawn, no probe
 * of a region begins, and the report of this host's own backend server is
 * dropped again. Among candidates of nearly equal cost, and with even_load
 * among those of nearly equal load, Roster_Choose() takes different ones.
 *
 * Limits: ROSTER_EXPLAINED candidates and ROSTER_EXPLAINED_REGIONS regions.
 * Holds the lock of the roster as long as a choice, plus one step for each
 * backend server of the service. Thread safe.
 */
#ifndef ROSTER_ROSTER_EXPLAIN_H
#define ROSTER_ROSTER_EXPLAIN_H

#include "roster/roster.h"

#define ROSTER_EXPLAINED 32
#define ROSTER_EXPLAINED_REGIONS 32

/* Why a backend server is not a candidate. Those up to ROSTER_LAST_RESORT are
 * chosen if no other is left. */
typedef enum RosterExclusion {
    ROSTER_NOT_EXCLUDED,
    ROSTER_EXCLUDED_STOPPING,
    ROSTER_EXCLUDED_AVOIDED,
    ROSTER_LAST_RESORT = ROSTER_EXCLUDED_AVOIDED,
    ROSTER_EXCLUDED_REGION, /* not allowed, or away */
    ROSTER_EXCLUDED_BY_QUERY,
    ROSTER_EXCLUDED_LEAVING,
    ROSTER_EXCLUDED_EVACUATED
} RosterExclusion;

typedef struct RosterCandidate {
    RosterEntry entry;
    uint64_t host; /* hash of the host name */
    RosterTier tier;
    RosterExclusion exclusion;
    ClockMs age_ms;          /* of the last report; CLOCK_NEVER: none */
    double fail_share;       /* expected share of failed requests, 0 to 1 */
    double load;             /* expected requests, running and waiting */
    ClockMs wait_ms;         /* expected wait for a slot */
    ClockMs explore_idle_ms; /* above 0: would be explored */
    double cost;             /* share of the request's value */
} RosterCandidate;

typedef struct RosterExplanation {
    gboolean is_chosen;  /* a host is left to choose from */
    RosterChoice choice; /* as Roster_Choose() fills it */
    /* Best first: the chosen one, the other ones by cost, then the excluded
     * ones by cost. */
    RosterCandidate candidates[ROSTER_EXPLAINED];
    uint32_t count;
    uint32_t left_out; /* further ones */
    /* Regions of known hosts that the query allows. */
    char regions[ROSTER_EXPLAINED_REGIONS][ROSTER_NAME_BYTES];
    uint32_t region_count;
} RosterExplanation;

/* Fills the explanation. `own` is the present report of this host's backend
 * server, which counts as if Roster_Report() had been called; NULL: none. */
void Roster_Explain(Roster *roster, const RosterQuery *query,
                    const RosterReport *own, ClockMs now,
                    RosterExplanation *explanation);

/* "", "stopping", "avoided", "region", "excluded", "leaving" or "evacuated".
 */
const char *RosterExclusion_Name(RosterExclusion exclusion);

/* "same_host", "same_data_centre", "same_region" or "other_region". */
const char *RosterTier_Name(RosterTier tier);

#endif
