/* Roster: this daemon's view of the fleet's backend servers. Chooses the
 * backend server for a request.
 *
 * Use:
 *  1. Roster_Create().
 *  2. Roster_Set() and Roster_Remove() to follow the entries in the store.
 *  3. For each attempt of a request: Roster_Choose(); send the request to the
 *     owner of the chosen backend server, between Roster_Begin() and
 *     Roster_End(); Roster_Report() with the load and risk that it reported,
 *     or Roster_NoteUnreachable().
 *
 * The choice minimises the expected cost (roster/placement.h). A backend
 * server that has been idle for a while is explored with requests that can be
 * retried, so that one that has recovered is used again and none is excluded
 * for long. An issuance goes to a backend server whose host stops only if
 * others cost more, and to one that would refuse it (StopPlan_LeavesTime())
 * only if no other is left. A request that is restricted to regions goes to no
 * host elsewhere, whatever the cost (roster_regions.c). Reports age: the risk
 * drifts to the fleet's long-term mean and the weight of the load decays. With
 * even_load the load is estimated from the report's age and the own requests
 * under way.
 *
 * Limits: ROSTER_MAX_EXCLUDED hosts can be excluded from one choice. Thread
 * safe.
 */
#ifndef ROSTER_ROSTER_H
#define ROSTER_ROSTER_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "health/gray_filter.h"
#include "region/region_set.h"
#include "retry/retry.h"
#include "roster/placement.h"
#include "roster/roster_entry.h"

#define ROSTER_MAX_EXCLUDED 16

/* Maximum age of a report that tells the state of a backend server and counts
 * towards the mean of its service. */
#define ROSTER_RECENT_MS 3000

/* Maximum age of a report that says that a backend server is full. */
#define ROSTER_FULL_MS 500

typedef struct Roster Roster;

typedef struct Roster_desc {
    const char *host; /* name of this host */
    const char *data_centre;
    const char *region;
    GrayFilter_desc gray;
    Placement_desc placement;
    uint64_t seed;      /* of the random part of a choice; 0: of the process */
    gboolean even_load; /* roster/load_estimate.h */
} Roster_desc;

/* Load and risk that an owner reports of its backend server. */
typedef struct RosterReport {
    double risk;
    uint32_t slots;
    uint32_t in_flight;
    uint32_t waiting;
    ClockMs service_ms; /* mean service time of a request */
    ClockMs idle_ms;    /* time since the last request was sent */
    gboolean leaving;   /* accepts no new requests */
    ClockMs stop_ms;    /* time until its process ends; 0: does not stop */
    double per_s;       /* RetryRates of the backend server */
    double retries_per_s;
    ClockMs cold_wait_ms; /* time until the backend server, which is cold,
                             accepts another request; 0: it is not cold */
} RosterReport;

typedef struct RosterQuery {
    uint64_t service; /* hash of the service name */
    PlacementRequest request;
    gboolean may_explore; /* a retry could follow a failure */
    gboolean is_issuance; /* may not be repeated: lost if its owner's stop cuts
                          it */
    ClockMs deadline;     /* of an issuance */
    ClockMs run_allowance_ms; /* the same; time allowed for its run */
    uint64_t excluded[ROSTER_MAX_EXCLUDED]; /* hashes of the excluded hosts */
    uint32_t excluded_count;
    const RegionSet *route_regions; /* hosts outside of either set are not */
    const RegionSet *team_regions;  /* chosen; NULL: no restriction */
} RosterQuery;

typedef struct RosterChoice {
    RosterEntry entry;
    uint64_t host; /* hash of the host name */
    RosterTier tier;
    double cost;
    double other_cost;       /* cost of the second best; HUGE_VAL if none */
    ClockMs wait_ms;         /* expected wait for a slot */
    ClockMs service_ms;      /* mean service time of a request; 0: unknown */
    ClockMs explore_idle_ms; /* above 0: chosen for a fresh report, if it has
                                been idle for this long; 0: for its cost */
    ClockMs full_wait_ms;    /* shortest wait for a slot if the service is
                                known to be full; otherwise, and without
                                even_load, 0 */
    double load;             /* requests expected at the backend server for
                                each slot; -1 without even_load */
    ClockMs age_ms;  /* age of the last report; CLOCK_NEVER if there is none */
    ClockMs away_ms; /* time until the first host in the allowed regions is
                        tried again; 0: they have no backend server; -1: a
                        host was chosen, or there are other reasons */
} RosterChoice;

/* A host of this data centre, possibly this host itself. */
typedef struct RosterPeer {
    uint64_t host;
    gboolean is_self;
    gboolean is_reachable;  /* not avoided at present */
    ClockMs unreachable_ms; /* time since contact was lost; 0: not lost */
    struct sockaddr_in rpc;
    struct sockaddr_in mirror; /* port 0: no mirror service */
} RosterPeer;

/* A host that has been unreachable, or not contacted, for a long time. */
typedef struct RosterSuspect {
    RosterPeer peer;
    char name[ROSTER_NAME_BYTES];
} RosterSuspect;

Roster *Roster_Create(const Roster_desc *desc);
void Roster_Destroy(Roster *roster);

void Roster_Set(Roster *roster, const RosterEntry *entry, ClockMs now);
void Roster_Remove(Roster *roster, const char *host);

/* Removes all hosts except the named ones and this host. With a keep_until
 * above 0 they stay until Roster_Expire() is called at that time or later,
 * unless they are set again. */
void Roster_Retain(Roster *roster, GHashTable *names, ClockMs keep_until);
void Roster_Expire(Roster *roster, ClockMs now);

/* Sets the data centres whose backend servers get no requests, as hashes of
 * their names. Replaces the earlier ones. */
void Roster_SetWithdrawn(Roster *roster, const uint64_t *data_centres,
                         uint32_t count);

/* Fills the choice; FALSE if no host is left to choose from. Then only
 * `away_ms` of the choice is set, if the request is restricted to regions that
 * have no backend server of the service, or none that is not being avoided as
 * unreachable. */
gboolean Roster_Choose(Roster *roster, const RosterQuery *query, ClockMs now,
                       RosterChoice *choice);
void Roster_Report(Roster *roster, uint64_t host, const RosterReport *report,
                   ClockMs now);

/* Brackets each attempt at the host: it counts as an own request under way
 * from Roster_Begin() to Roster_End(). */
void Roster_Begin(Roster *roster, uint64_t host);
void Roster_End(Roster *roster, uint64_t host);

/* Highest risk at which this share of requests is expected to fail. */
double Roster_RiskAt(const Roster *roster, double fail_share);

/* Sums the rates that the owners of a service have reported lately. Returns
 * the share of the service's backend servers that they stand for, without
 * those of withdrawn data centres. */
double Roster_RetryRates(Roster *roster, uint64_t service, ClockMs now,
                         RetryRates *rates);

/* What is known of the backend servers of a service; the last three add up
 * those that have reported lately. */
typedef struct RosterLoad {
    uint32_t servers; /* known, whether or not they have reported */
    uint32_t reports;
    uint32_t slots;
    uint32_t in_flight;
    uint32_t waiting;
} RosterLoad;

void Roster_ServiceLoad(Roster *roster, uint64_t service, ClockMs now,
                        RosterLoad *load);

/* Records the time that a request to the host and its answer spent on the way,
 * without the wait for a slot and the service time. */
void Roster_NoteTransit(Roster *roster, uint64_t host, ClockMs transit_ms);

/* A connection to the host failed or timed out: the host is avoided for a time
 * that grows with each consecutive failure, unless no other host is left. */
void Roster_NoteUnreachable(Roster *roster, uint64_t host, ClockMs now);

/* The host answered a message that carries no report. */
void Roster_NoteReached(Roster *roster, uint64_t host, ClockMs now);

/* Fills the first hosts of this data centre, this host included, in the
 * rendezvous order of a key, and returns their number. With `all`, unreachable
 * hosts are included, so that every host computes the same order. */
uint32_t Roster_Rank(Roster *roster, uint64_t key, gboolean all, ClockMs now,
                     RosterPeer *peers, uint32_t max);

/* Fills the host of this data centre with the hash. Returns FALSE if there is
 * none, or it is this host. */
gboolean Roster_FindPeer(Roster *roster, uint64_t host, ClockMs now,
                         RosterPeer *peer);

/* Fills the hosts of this data centre that have been unreachable for `lost_ms`
 * and whose entries this host has to remove, and returns their number. The
 * entry of a lost host is removed by the first host in the lost host's
 * rendezvous order, among those that are reachable from here. Returns 0 if
 * this host reaches fewer hosts (itself included) than it has lost, since it
 * may then be the partitioned one. */
uint32_t Roster_FindLost(Roster *roster, ClockMs lost_ms, ClockMs now,
                         RosterSuspect *lost, uint32_t max);

/* Finds the host of this data centre with the oldest contact; FALSE if that
 * was less than `silent_ms` ago. */
gboolean Roster_FindSilent(Roster *roster, ClockMs silent_ms, ClockMs now,
                           RosterSuspect *silent);

/* Number of hosts in this data centre, this host included. */
uint32_t Roster_CountDataCentre(Roster *roster);

/* Number of all hosts. */
uint32_t Roster_Count(Roster *roster);

#endif
