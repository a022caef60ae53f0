/* Quota: enforces each team's rate limit over the whole fleet.
 *
 * Each data centre has a fixed, equal part of a team's allowance for a sliding
 * window, so the fleet's limit holds even if the data centres are partitioned
 * from each other. This part is divided into fixed shares, which the team's
 * rendezvous order assigns to hosts of the data centre:
 *  - The first host, the primary, counts requests against most of it.
 *  - The second host, the backup, relays draws of hosts that cannot reach the
 *    primary. If it cannot reach the primary either, it counts them against a
 *    small share of its own; if that lasts for a whole window, it takes over
 *    the primary's share.
 *  - Each host has a still smaller local share, for requests when neither
 *    primary nor backup answers.
 *
 * Use:
 *  1. Quota_Create(), which registers its messages with Rpc.
 *  2. Quota_Take() for each request of a team, from any thread. It may block
 *     for about 250 ms each for the primary and the backup.
 *  3. Quota_Leave() at the end of a graceful stop, then Quota_Destroy().
 *
 * A primary that leaves hands its counts over to the teams' backups, which
 * then count in its place at once.
 *
 * A primary that has just started does not know what was counted before. Each
 * draw reports how many requests the drawing host admitted for the team in the
 * last window. The primary counts these, and assumes as many for each host
 * that has not drawn yet. Reports of hosts that started as recently as the
 * primary are ignored. Without reports the primary assumes that the whole part
 * was used up at a roughly even rate over the window before its start, so the
 * assumed use falls to zero within a window. A surge limit on the requests
 * admitted in a short time keeps an earlier process from using the part much
 * faster.
 *
 * Limits: a team without a rate is not counted.
 */
#ifndef QUOTA_QUOTA_H
#define QUOTA_QUOTA_H

#include "catalog/catalog.h"
#include "quota/quota_window.h"
#include "roster/roster.h"
#include "rpc/rpc.h"

typedef struct Quota Quota;

typedef struct Quota_desc {
    uint64_t host; /* hash of this host's name */
    Catalog *catalog;
    Roster *roster;
    Rpc *rpc;
    uint32_t data_centres; /* number of data centres in the fleet */
    ClockMs window_ms;     /* length of the sliding window */
    double overage;        /* tolerated excess, share of the limit */
    int64_t slack;         /* tolerated excess, additional requests */
} Quota_desc;

typedef enum QuotaSource {
    QUOTA_UNLIMITED,
    QUOTA_PRIMARY,
    QUOTA_BACKUP,
    QUOTA_LOCAL_SHARE
} QuotaSource;

Quota *Quota_Create(const Quota_desc *desc);
void Quota_Destroy(Quota *quota);

/* Stops counting as a primary and sends the counts to the backups of the
 * teams, until the given time at the latest. */
void Quota_Leave(Quota *quota, ClockMs until);

/* Counts a request of the team. Returns RESULT_OK or RESULT_RATE_EXCEEDED;
 * *source receives the share that the request was counted against. */
Result Quota_Take(Quota *quota, const CatalogTeam *team, QuotaSource *source);

/* What this host knows of a team's quota without a draw. Counts are of the
 * last window. */
typedef struct QuotaState {
    QuotaSource source; /* asked next; QUOTA_UNLIMITED: there is no limit */
    ClockMs window_ms;
    double limit;     /* requests that the data centre admits in a window */
    int64_t admitted; /* requests of this host */
    int64_t counted;  /* requests of the data centre; -1: another host, the
                         primary, counts them */
} QuotaState;

/* Changes nothing and calls no other host. */
void Quota_ReadState(Quota *quota, const CatalogTeam *team, QuotaState *state);

/* "unlimited", "keeper" (primary), "deputy" (backup) or "own_part" (local
 * share). */
const char *Quota_SourceName(QuotaSource source);

/* Maximum number of requests that a data centre admits in a window, in steady
 * state. */
double _Quota_SteadyLimit(const Quota_desc *desc, const CatalogTeam *team);

/* The same `uptime_ms` after the start of the primary, when `reports` of
 * `hosts` hosts have reported what they admitted, `reported` requests in
 * total. Hosts that started as recently as the primary do not report. */
double _Quota_StartLimit(const Quota_desc *desc, const CatalogTeam *team,
                         ClockMs uptime_ms, uint32_t hosts, uint32_t reports,
                         int64_t reported);

#endif
