/* Types and counts shared by the files of the quota slice. */
#ifndef QUOTA_QUOTA_INTERNAL_H
#define QUOTA_QUOTA_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "quota/quota.h"

typedef struct TeamCount {
    uint64_t team;
    QuotaWindow kept;      /* as the keeper */
    QuotaWindow surge;     /* the same, over SURGE_MS */
    QuotaWindow deputed;   /* as the deputy */
    QuotaWindow own;       /* the own part */
    QuotaWindow taken;     /* by this host, whoever counted */
    GHashTable *reporters; /* hosts that told what they took */
    int64_t reported;      /* the sum of it */
    ClockMs handed_until;  /* counts in place of a keeper that left */
} TeamCount;

/* Body of a draw. */
typedef struct QuotaDraw {
    uint64_t team;      /* hash of the name */
    uint64_t host;      /* that draws */
    uint64_t taken;     /* by this host in the last window */
    uint64_t uptime_ms; /* of this host */
    uint64_t as_deputy; /* the receiver is asked as the deputy */
} QuotaDraw;

/* Body of a handover. */
typedef struct QuotaHandover {
    uint64_t team;
    int64_t counts[QUOTA_BUCKETS + 1]; /* QuotaWindow_Read() */
} QuotaHandover;

struct Quota {
    Quota_desc desc;
    ClockMs started;
    pthread_mutex_t lock;
    GHashTable *teams; /* &TeamCount.team -> TeamCount */
    atomic_bool leaving;
};

/* quota_count.c: what this host counts in each role. */
GHashTable *_Quota_CreateTeams(void);

/* A draw of this host, with what it took in the last window. */
void _Quota_MakeDraw(Quota *quota, const CatalogTeam *team, QuotaDraw *draw);
void _Quota_NoteTaken(Quota *quota, const CatalogTeam *team);

Result _Quota_TakeAsKeeper(Quota *quota, const CatalogTeam *team,
                           const QuotaDraw *draw);
Result _Quota_TakeDeputyPart(Quota *quota, const CatalogTeam *team);
Result _Quota_TakeOwnPart(Quota *quota, const CatalogTeam *team);

/* Counts of a keeper that leaves: those of this host, of teams whose last
 * window is known (QuotaHandover); those of another one; whether this deputy
 * has them, until the keeper answers again. */
GArray *_Quota_ReadCounts(Quota *quota);
void _Quota_MergeCounts(Quota *quota, const QuotaHandover *handover);
gboolean _Quota_HasCountsOf(Quota *quota, const CatalogTeam *team);
void _Quota_EndHandover(Quota *quota, const CatalogTeam *team);

#endif
