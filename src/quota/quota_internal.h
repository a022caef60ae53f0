/* Types and functions shared by the source files of the quota. */
#ifndef QUOTA_QUOTA_INTERNAL_H
#define QUOTA_QUOTA_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "quota/quota.h"

typedef struct TeamCount {
    uint64_t team;
    QuotaWindow as_primary; /* requests counted against the primary's share */
    QuotaWindow surge;      /* the same requests over SURGE_MS */
    QuotaWindow as_backup;  /* requests counted against the backup's share */
    QuotaWindow local;      /* requests counted against the local share */
    QuotaWindow admitted;   /* this host's requests, whoever counted them */
    GHashTable *reporters;  /* hosts that reported what they admitted */
    int64_t reported;       /* sum of the reported requests */
    ClockMs handover_until; /* end of counting for a primary that left */
} TeamCount;

/* Body of a draw: asks another host to count a request. */
typedef struct QuotaDraw {
    uint64_t team;      /* hash of the team's name */
    uint64_t host;      /* hash of the drawing host's name */
    uint64_t admitted;  /* requests it admitted in the last window */
    uint64_t uptime_ms; /* uptime of the drawing host's daemon */
    uint64_t as_backup; /* 1: the receiver acts as the backup; 0: primary */
} QuotaDraw;

/* Body of a handover. */
typedef struct QuotaHandover {
    uint64_t team;
    int64_t counts[QUOTA_BUCKETS + 1]; /* from QuotaWindow_Read() */
} QuotaHandover;

struct Quota {
    Quota_desc desc;
    ClockMs started;
    pthread_mutex_t lock;
    GHashTable *teams; /* &TeamCount.team -> TeamCount */
    atomic_bool leaving;
};

/* quota_count.c: the counts of this host in each role. */
GHashTable *_Quota_CreateTeams(void);

/* Fills a draw with what this host admitted in the last window. */
void _Quota_MakeDraw(Quota *quota, const CatalogTeam *team, QuotaDraw *draw);
void _Quota_CountAdmitted(Quota *quota, const CatalogTeam *team);

/* Fills `admitted` and, as the primary, `counted`. */
void _Quota_ReadCounted(Quota *quota, const CatalogTeam *team,
                        gboolean is_primary, ClockMs now, QuotaState *state);

Result _Quota_TakeAsPrimary(Quota *quota, const CatalogTeam *team,
                            const QuotaDraw *draw);
Result _Quota_TakeBackupShare(Quota *quota, const CatalogTeam *team);
Result _Quota_TakeLocalShare(Quota *quota, const CatalogTeam *team);

/* Handover of a primary that leaves. The leaving primary reads its counts, an
 * array of QuotaHandover for the teams whose last window it counted entirely.
 * The backup merges them and counts in place of the primary until a window has
 * passed or the primary answers again. */
GArray *_Quota_ReadCounts(Quota *quota);
void _Quota_MergeCounts(Quota *quota, const QuotaHandover *handover);
gboolean _Quota_HasHandover(Quota *quota, const CatalogTeam *team);
void _Quota_EndHandover(Quota *quota, const CatalogTeam *team);

#endif
