#include "roster/roster_internal.h"

/* Hosts of a region that must be found unreachable, with no answer from the
 * region between them, for the whole region to count as away. Two that end at
 * the same moment do not suffice. */
#define AWAY_HOSTS 3

/* A region that is away is tried again after MIN_AWAY_MS, then after times
 * that double up to MAX_AWAY_MS, like a host. */
#define MIN_AWAY_MS 400
#define MAX_AWAY_MS 4000

/* Time in which the request that tries a region again finds out: the connect
 * timeout to another region, and some more. */
#define PROBE_MS 600

RosterRegion *
_Roster_FindRegion(Roster *roster, const char *name)
{
    uint64_t hash = RegionSet_Hash(name);
    RosterRegion *region = g_hash_table_lookup(roster->regions, &hash);

    if (region == NULL) {
        region = g_new0(RosterRegion, 1);
        region->hash = hash;
        g_hash_table_insert(roster->regions, &region->hash, region);
    }
    return region;
}

void
_Roster_NoteRegionReached(RosterRow *row, ClockMs now)
{
    RosterRegion *region = row->region;

    *region = (RosterRegion){.hash = region->hash, .reached = now};
}

void
_Roster_NoteRegionFailure(RosterRow *row, ClockMs now)
{
    RosterRegion *region = row->region;

    /* Each host counts once. */
    region->failures += row->region_failed <= region->reached;
    row->region_failed = MAX(now, region->reached + 1);
    if (region->failures < AWAY_HOSTS) {
        return;
    }
    if (region->away_ms == 0) {
        region->away_ms = MIN_AWAY_MS;
    }
    else if (region->is_probed) {
        region->away_ms = MIN(2 * region->away_ms, MAX_AWAY_MS);
    }
    else {
        /* The request was on its way when the region was found to be away. */
        return;
    }
    region->is_probed = FALSE;
    region->away_until = now + region->away_ms;
}

static gboolean
is_restricted(const RosterQuery *query)
{
    return query->route_regions != NULL || query->team_regions != NULL;
}

void
_Roster_BeginProbe(const RosterRow *row, const RosterQuery *query, ClockMs now)
{
    RosterRegion *region = row->region;

    if (is_restricted(query) && region->away_ms > 0) {
        region->is_probed = TRUE;
        region->away_until = now + PROBE_MS;
    }
}

static gboolean
is_inside(const RosterRow *row, const RosterQuery *query)
{
    return RegionSet_Allows(query->route_regions, row->region->hash) &&
           RegionSet_Allows(query->team_regions, row->region->hash);
}

gboolean
_Roster_IsAllowed(const RosterRow *row, const RosterQuery *query, ClockMs now)
{
    return !is_restricted(query) ||
           (is_inside(row, query) && now >= row->region->away_until);
}

ClockMs
_Roster_AwayMs(const GPtrArray *rows, const RosterQuery *query, ClockMs now)
{
    ClockMs first = CLOCK_NEVER;

    if (!is_restricted(query)) {
        return -1;
    }
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const RosterRow *row = g_ptr_array_index(rows, i);
        ClockMs until = row->region->away_until;

        if (row->entry.leaving || !is_inside(row, query)) {
            continue;
        }
        if (row->unreachable_since > 0) {
            until = MAX(until, row->avoid_until);
        }
        if (now >= until) {
            return -1;
        }
        first = MIN(first, until);
    }
    return first == CLOCK_NEVER ? 0 : first - now;
}
