#include "roster/roster_explain.h"

#include <string.h>

#include "roster/roster_internal.h"

static gint
compare(gconstpointer a, gconstpointer b, gpointer chosen)
{
    const RosterCandidate *first = a;
    const RosterCandidate *second = b;
    const uint64_t *host = chosen;

    if (first->host == *host || second->host == *host) {
        return (second->host == *host) - (first->host == *host);
    }
    if ((first->exclusion == ROSTER_NOT_EXCLUDED) !=
        (second->exclusion == ROSTER_NOT_EXCLUDED)) {
        return first->exclusion == ROSTER_NOT_EXCLUDED ? -1 : 1;
    }
    if (first->cost != second->cost) {
        return first->cost < second->cost ? -1 : 1;
    }
    return strcmp(first->entry.host, second->entry.host);
}

static void
add_region(RosterExplanation *explanation, const char *name)
{
    for (uint32_t i = 0; i < explanation->region_count; i++) {
        if (strcmp(explanation->regions[i], name) == 0) {
            return;
        }
    }
    if (explanation->region_count < ROSTER_EXPLAINED_REGIONS) {
        g_strlcpy(explanation->regions[explanation->region_count++], name,
                  ROSTER_NAME_BYTES);
    }
}

static void
list_regions(const Roster *roster, const RosterQuery *query,
             RosterExplanation *explanation)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, roster->rows);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const RosterRow *row = value;

        if (RegionSet_Allows(query->route_regions, row->region->hash) &&
            RegionSet_Allows(query->team_regions, row->region->hash)) {
            add_region(explanation, row->entry.region);
        }
    }
}

/* Selects with the own report in force, and restores the row. */
static gboolean
select_with(Roster *roster, const RosterQuery *query, const RosterReport *own,
            ClockMs now, RosterChoice *choice, GArray *list)
{
    RosterRow *row = g_hash_table_lookup(roster->rows, &roster->self);
    gboolean found;

    if (own != NULL && row != NULL) {
        RosterRow row_before = *row;
        RosterRegion region_before = *row->region;

        _Roster_ApplyReport(row, own, now);
        found = _Roster_Select(roster, query, NULL, now, choice, list) != NULL;
        *row->region = region_before;
        *row = row_before;
        return found;
    }
    return _Roster_Select(roster, query, NULL, now, choice, list) != NULL;
}

void
Roster_Explain(Roster *roster, const RosterQuery *query,
               const RosterReport *own, ClockMs now,
               RosterExplanation *explanation)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(RosterCandidate));

    *explanation = (RosterExplanation){0};
    pthread_mutex_lock(&roster->lock);
    explanation->is_chosen =
        select_with(roster, query, own, now, &explanation->choice, list);
    list_regions(roster, query, explanation);
    pthread_mutex_unlock(&roster->lock);
    g_array_sort_with_data(list, compare, &explanation->choice.host);
    explanation->count = MIN(list->len, ROSTER_EXPLAINED);
    explanation->left_out = list->len - explanation->count;
    if (explanation->count > 0) {
        memcpy(explanation->candidates, list->data,
               explanation->count * sizeof(RosterCandidate));
    }
    g_array_free(list, TRUE);
}

const char *
RosterExclusion_Name(RosterExclusion exclusion)
{
    static const char *const names[] = {
        [ROSTER_NOT_EXCLUDED] = "",
        [ROSTER_EXCLUDED_STOPPING] = "stopping",
        [ROSTER_EXCLUDED_AVOIDED] = "avoided",
        [ROSTER_EXCLUDED_REGION] = "region",
        [ROSTER_EXCLUDED_BY_QUERY] = "excluded",
        [ROSTER_EXCLUDED_LEAVING] = "leaving",
        [ROSTER_EXCLUDED_EVACUATED] = "evacuated"};

    return names[exclusion];
}

const char *
RosterTier_Name(RosterTier tier)
{
    static const char *const names[ROSTER_TIERS] = {
        [ROSTER_SAME_HOST] = "same_host",
        [ROSTER_SAME_DATA_CENTRE] = "same_data_centre",
        [ROSTER_SAME_REGION] = "same_region",
        [ROSTER_OTHER_REGION] = "other_region"};

    return names[tier];
}
