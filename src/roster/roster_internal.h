/* Types shared by the source files of the roster. */
#ifndef ROSTER_ROSTER_INTERNAL_H
#define ROSTER_ROSTER_INTERNAL_H

#include <pthread.h>

#include "base/rng.h"
#include "roster/roster.h"
#include "roster/roster_explain.h"

/* State of a region, for restricted requests; roster_regions.c. */
typedef struct RosterRegion {
    uint64_t hash;
    ClockMs reached;   /* time of the last answer of one of its hosts */
    uint32_t failures; /* hosts found unreachable since then */
    ClockMs away_ms;   /* time for which it was last avoided; 0: not away */
    ClockMs away_until;
    gboolean is_probed; /* a request tries it again */
} RosterRegion;

typedef struct RosterRow {
    RosterEntry entry;
    uint64_t host;
    uint64_t service;
    RosterRegion *region;
    ClockMs region_failed; /* time of the failure counted by the region */
    RosterTier tier;
    GrayFilter filter;
    RosterReport report;
    double estimate_weight; /* LoadEstimate_Weight() for the present choice */
    ClockMs reported;       /* time of the last report; 0: none */
    uint32_t own;           /* own requests under way */
    uint32_t own_before;    /* the same, at the last report */
    ClockMs contacted;   /* time of the last contact or attempt; initially the
                            row's creation */
    ClockMs avoid_until; /* the host is taken as unreachable */
    ClockMs leaving_until; /* its backend server accepts no new requests */
    ClockMs avoid_ms;      /* avoidance time after the last failure; 0: none */
    ClockMs ends; /* end of its host's process, which stops; 0: does not */
    ClockMs unreachable_since; /* 0: the last contact succeeded */
    ClockMs keep_until;        /* time of removal, unless set again; 0: none */
    gboolean withdrawn;        /* its data centre is (roster_withdrawn.c) */
} RosterRow;

struct Roster {
    Roster_desc desc;
    uint64_t self; /* hash of this host's name */
    pthread_mutex_t lock;
    GHashTable *rows;      /* &RosterRow.host -> RosterRow */
    GHashTable *services;  /* service hash -> GPtrArray of RosterRow */
    GHashTable *regions;   /* region hash -> RosterRegion */
    GPtrArray *neighbours; /* RosterRow of this data centre's other hosts */
    double transit_ms[ROSTER_TIERS]; /* moving average for each tier */
    uint64_t *withdrawn;             /* hashes of data centres */
    uint32_t withdrawn_count;
    Rng rng;
};

/* roster_choice.c: whether the report is recent enough to count. */
gboolean _Roster_IsRecent(const RosterRow *row, ClockMs now);

/* roster_choice.c: chooses as Roster_Choose() does, but begins no probe. `rng`
 * is the source of the random part of the costs; NULL: there is none. `list`
 * receives a RosterCandidate for each backend server of the service and needs
 * an `rng` of NULL; NULL: not wanted. Returns NULL if no host is left. Called
 * with the lock held. */
const RosterRow *_Roster_Select(const Roster *roster, const RosterQuery *query,
                                Rng *rng, ClockMs now, RosterChoice *choice,
                                GArray *list);

/* roster.c: Roster_Report() for a row. Called with the lock held. */
void _Roster_ApplyReport(RosterRow *row, const RosterReport *report,
                         ClockMs now);

/* roster_regions.c. All functions are called with the lock held. */

/* Returns the region's state; adds it if it is new. */
RosterRegion *_Roster_FindRegion(Roster *roster, const char *name);

/* A host of the region answered, or was found unreachable. */
void _Roster_NoteRegionReached(RosterRow *row, ClockMs now);
void _Roster_NoteRegionFailure(RosterRow *row, ClockMs now);

/* The host was chosen. If its region is away, further restricted requests wait
 * for what becomes of this one. */
void _Roster_BeginProbe(const RosterRow *row, const RosterQuery *query,
                        ClockMs now);

/* Whether a query that is restricted to regions may be served by the host now;
 * TRUE without a restriction. */
gboolean _Roster_IsAllowed(const RosterRow *row, const RosterQuery *query,
                           ClockMs now);

/* For a query that is restricted to regions: time until the first host in them
 * that is being avoided as unreachable is tried again; 0 if they have no
 * backend server. -1 if one of them is reachable, or without a restriction.
 * `rows` are those of the service; NULL: it has none. */
ClockMs _Roster_AwayMs(const GPtrArray *rows, const RosterQuery *query,
                       ClockMs now);

/* roster_withdrawn.c: sets `withdrawn` of a row. Called with the lock held. */
void _Roster_MarkWithdrawn(const Roster *roster, RosterRow *row);

/* Records that the host answered. Called with the lock held. */
void _Roster_MarkReached(RosterRow *row, ClockMs now);

#endif
