/* Quota: holds each team to its rate over the whole fleet.
 *
 * Each data centre has a fixed, equal part of a team's allowance for a sliding
 * window, so the sum holds however the data centres are cut off from each
 * other. Inside a data centre that part is split beforehand: the first host in
 * the team's rendezvous order, the keeper, counts most of it; the second, the
 * deputy, passes on the draws of hosts that cannot reach the first, and counts
 * a small share for them when it cannot either; each host counts a still
 * smaller one for itself when neither answers. A deputy
 * that has not reached the keeper for a whole window takes the keeper's share.
 *
 * Use:
 *  1. Quota_Create(), which registers its message with Rpc.
 *  2. Quota_Take() for each request of a team, from any thread. It may block
 *     for some 250 ms for each of keeper and deputy.
 *  3. Quota_Leave() at the end of a graceful stop, then Quota_Destroy().
 *
 * A keeper that leaves hands its counts over to the deputies, which then count
 * in its place at once.
 *
 * A keeper that has just started does not know what another counted before.
 * With each draw a host tells how many requests it took for the team in the
 * last window, so the keeper counts these, and expects as many of the hosts
 * that have not drawn yet. Of hosts that are as young as itself it knows
 * nothing and takes the whole part for used up, falling with the time. The
 * surge that is let through in a short time is bounded, so that it does fall.
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
    uint64_t host; /* own */
    Catalog *catalog;
    Roster *roster;
    Rpc *rpc;
    uint32_t data_centres; /* in the fleet */
    ClockMs window_ms;     /* over which a team's requests are counted */
    double overage;        /* share above the limit that is tolerated */
    int64_t slack;         /* requests above it that are tolerated */
} Quota_desc;

typedef enum QuotaSource {
    QUOTA_UNLIMITED,
    QUOTA_KEEPER,
    QUOTA_DEPUTY,
    QUOTA_OWN_PART
} QuotaSource;

Quota *Quota_Create(const Quota_desc *desc);
void Quota_Destroy(Quota *quota);

/* Hands the counts of the teams that this host keeps over to their deputies,
 * until the given time at most, and counts for nobody from now on. */
void Quota_Leave(Quota *quota, ClockMs until);

/* RESULT_OK or RESULT_RATE_EXCEEDED; *source tells who counted. */
Result Quota_Take(Quota *quota, const CatalogTeam *team, QuotaSource *source);

/* "unlimited", "keeper", "deputy", "own_part". */
const char *Quota_SourceName(QuotaSource source);

/* What a data centre may let through in one window, in the long run. */
double _Quota_SteadyLimit(const Quota_desc *desc, const CatalogTeam *team);

/* The same for a keeper so long after its start, of which `reports` of `hosts`
 * hosts have told what they took, `reported` requests in all. Young hosts are
 * not among them. */
double _Quota_StartLimit(const Quota_desc *desc, const CatalogTeam *team,
                         ClockMs uptime_ms, uint32_t hosts, uint32_t reports,
                         int64_t reported);

#endif
