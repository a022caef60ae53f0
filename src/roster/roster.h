/* Roster: the fleet's backend servers as this daemon sees them, and the choice
 * of one for a request.
 *
 * Use:
 *  1. Roster_Create().
 *  2. Roster_Set() and Roster_Remove() for what the store shows.
 *  3. For each attempt of a request: Roster_Choose(); ask the owner of the
 *     chosen backend server; Roster_Report() with the load and the risk that
 *     came back, or Roster_NoteUnreachable().
 *
 * The choice minimises an expected cost in shares of the request's worth:
 * the expected share of failures times what a failure costs, the price of the
 * distance, and the wait for a slot. A backend server that nobody has sent
 * anything for a while is explored by requests that can be repeated, so that
 * one that has recovered is used again and none is left out for long. What an
 * owner reported last ages: its
 * risk drifts to the fleet's long-term mean, its load is forgotten.
 *
 * Limits: ROSTER_MAX_TRIED hosts can be left out of one choice. Thread safe.
 */
#ifndef ROSTER_ROSTER_H
#define ROSTER_ROSTER_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "health/gray_filter.h"
#include "roster/roster_entry.h"

#define ROSTER_MAX_TRIED 16

typedef struct Roster Roster;

typedef struct Roster_desc {
    const char *host; /* own */
    const char *data_centre;
    const char *region;
    GrayFilter_desc gray;
    double data_centre_cost; /* of another data centre of the region (0.03) */
    double region_cost;      /* of another region (0.2) */
} Roster_desc;

typedef enum RosterTier {
    ROSTER_SAME_HOST,
    ROSTER_SAME_DATA_CENTRE,
    ROSTER_SAME_REGION,
    ROSTER_OTHER_REGION
} RosterTier;

/* What an owner tells of its backend server. */
typedef struct RosterReport {
    double risk;
    uint32_t slots;
    uint32_t in_flight;
    uint32_t waiting;
    ClockMs service_ms; /* mean time of one request */
    ClockMs idle_ms;    /* since the last request was sent to it */
    gboolean leaving;
} RosterReport;

typedef struct RosterQuery {
    uint64_t service;     /* hash of the name */
    double failure_cost;  /* share of the worth that a failure costs */
    gboolean may_explore; /* a failure can be repaired by a repeat */
    ClockMs time_left_ms; /* until the answer would come too late */
    uint64_t tried[ROSTER_MAX_TRIED]; /* host hashes that are left out */
    uint32_t tried_count;
} RosterQuery;

typedef struct RosterChoice {
    RosterEntry entry;
    uint64_t host; /* hash of the name */
    RosterTier tier;
    double cost;
    double other_cost; /* of the second best; above 1 if there is none */
    double distance_cost;
    ClockMs wait_ms;         /* expected wait for a slot */
    ClockMs service_ms;      /* mean time of a request; 0: not known */
    gboolean is_exploration; /* chosen to learn about it, whatever its risk */
    ClockMs age_ms; /* of the report behind it; CLOCK_NEVER if there is none */
} RosterChoice;

/* A host of the own data centre, or the own host. */
typedef struct RosterPeer {
    uint64_t host;
    gboolean is_self;
    gboolean is_reachable;
    ClockMs unreachable_ms; /* time since it was last reached, if it is not */
    struct sockaddr_in rpc;
    struct sockaddr_in mirror; /* port 0: mirrors nothing */
} RosterPeer;

/* A host that has been out of reach or silent for long. */
typedef struct RosterLost {
    RosterPeer peer;
    char name[ROSTER_NAME_BYTES];
} RosterLost;

Roster *Roster_Create(const Roster_desc *desc);
void Roster_Destroy(Roster *roster);

void Roster_Set(Roster *roster, const RosterEntry *entry, ClockMs now);
void Roster_Remove(Roster *roster, const char *host);

/* Removes all but the named hosts and the own one. */
void Roster_Retain(Roster *roster, GHashTable *names);

gboolean Roster_Choose(Roster *roster, const RosterQuery *query, ClockMs now,
                       RosterChoice *choice);
void Roster_Report(Roster *roster, uint64_t host, const RosterReport *report,
                   ClockMs now);

/* A connection to the host failed or went silent: it is left out for a time
 * that grows with each failure in a row, unless there is no other. */
void Roster_NoteUnreachable(Roster *roster, uint64_t host, ClockMs now);

/* The host has answered something other than a request. */
void Roster_NoteReached(Roster *roster, uint64_t host, ClockMs now);

/* The first hosts in the rendezvous order of a key among those of the own data
 * centre, the own one included. With `all` those that cannot be reached are
 * in it, too, so that the order is the same everywhere. */
uint32_t Roster_Rank(Roster *roster, uint64_t key, gboolean all, ClockMs now,
                     RosterPeer *peers, uint32_t max);

/* Hosts of the own data centre that this one has not reached for so long and
 * is the one to look after: the first in the rendezvous order of the lost host
 * among those that it reaches. None while this host reaches fewer than it has
 * lost, since then it may be the one that is cut off. Returns their number. */
uint32_t Roster_FindLost(Roster *roster, ClockMs lost_ms, ClockMs now,
                         RosterLost *lost, uint32_t max);

/* The host of the own data centre that was contacted longest ago, if that is
 * so long. */
gboolean Roster_FindSilent(Roster *roster, ClockMs silent_ms, ClockMs now,
                           RosterLost *silent);

/* Hosts of the own data centre, the own one included. */
uint32_t Roster_CountDataCentre(Roster *roster);

/* All hosts. */
uint32_t Roster_Count(Roster *roster);

#endif
