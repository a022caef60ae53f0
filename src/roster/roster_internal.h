/* Types shared by the source files of the roster. */
#ifndef ROSTER_ROSTER_INTERNAL_H
#define ROSTER_ROSTER_INTERNAL_H

#include <pthread.h>

#include "base/rng.h"
#include "roster/roster.h"

typedef struct RosterRow {
    RosterEntry entry;
    uint64_t host;
    uint64_t service;
    RosterTier tier;
    GrayFilter filter;
    RosterReport report;
    double estimate_weight; /* LoadEstimate_Weight() for the present choice */
    ClockMs reported;       /* time of the last report; 0: none */
    uint32_t own;           /* own requests under way */
    uint32_t own_before;    /* the same, at the last report */
    ClockMs contacted; /* time of the last contact or attempt; initially the
                          row's creation */
    ClockMs avoid_until;
    ClockMs avoid_ms; /* avoidance time after the last failure; 0: none */
    ClockMs ends;     /* end of its host's process, which stops; 0: does not */
    ClockMs unreachable_since; /* 0: the last contact succeeded */
    ClockMs keep_until;        /* time of removal, unless set again; 0: none */
} RosterRow;

struct Roster {
    Roster_desc desc;
    uint64_t self; /* hash of this host's name */
    pthread_mutex_t lock;
    GHashTable *rows;      /* &RosterRow.host -> RosterRow */
    GHashTable *services;  /* service hash -> GPtrArray of RosterRow */
    GPtrArray *neighbours; /* RosterRow of this data centre's other hosts */
    double transit_ms[ROSTER_TIERS]; /* moving average for each tier */
    Rng rng;
};

/* roster_choice.c: whether the report is recent enough to count. */
gboolean _Roster_IsRecent(const RosterRow *row, ClockMs now);

/* Records that the host answered. Called with the lock held. */
void _Roster_MarkReached(RosterRow *row, ClockMs now);

#endif
