#include "roster/roster_internal.h"

gboolean
_Roster_IsAllowed(const RosterRow *row, const RosterQuery *query)
{
    return RegionSet_Allows(query->route_regions, row->region) &&
           RegionSet_Allows(query->team_regions, row->region);
}

ClockMs
_Roster_AwayMs(const GPtrArray *rows, const RosterQuery *query, ClockMs now)
{
    ClockMs first = CLOCK_NEVER;

    if (query->route_regions == NULL && query->team_regions == NULL) {
        return -1;
    }
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const RosterRow *row = g_ptr_array_index(rows, i);

        if (row->entry.leaving || !_Roster_IsAllowed(row, query)) {
            continue;
        }
        if (row->unreachable_since == 0 || now >= row->avoid_until) {
            return -1;
        }
        first = MIN(first, row->avoid_until);
    }
    return first == CLOCK_NEVER ? 0 : first - now;
}
