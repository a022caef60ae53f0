/* Types shared by the files of the roster. */
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
    ClockMs reported;  /* 0: never */
    ClockMs contacted; /* last contact or attempt of one; at first when the row
                          was made */
    ClockMs avoid_until;
    ClockMs avoid_ms;
    ClockMs unreachable_since; /* 0: the last contact went well */
} RosterRow;

struct Roster {
    Roster_desc desc;
    uint64_t self; /* hash of the own host */
    pthread_mutex_t lock;
    GHashTable *rows;      /* &RosterRow.host -> RosterRow */
    GHashTable *services;  /* service hash -> GPtrArray of RosterRow */
    GPtrArray *neighbours; /* RosterRow of the own data centre, others' */
    Rng rng;
};

/* Notes that the host has answered; with the lock held. */
void _Roster_MarkReached(RosterRow *row, ClockMs now);

#endif
