#include "roster/roster_internal.h"

void
_Roster_MarkWithdrawn(const Roster *roster, RosterRow *row)
{
    uint64_t data_centre = Rng_HashString(row->entry.data_centre);

    row->withdrawn = FALSE;
    for (uint32_t i = 0; i < roster->withdrawn_count; i++) {
        row->withdrawn = row->withdrawn || roster->withdrawn[i] == data_centre;
    }
}

void
Roster_SetWithdrawn(Roster *roster, const uint64_t *data_centres,
                    uint32_t count)
{
    GHashTableIter iterator;
    gpointer row;

    pthread_mutex_lock(&roster->lock);
    g_free(roster->withdrawn);
    roster->withdrawn = g_memdup2(data_centres, count * sizeof(*data_centres));
    roster->withdrawn_count = count;
    g_hash_table_iter_init(&iterator, roster->rows);
    while (g_hash_table_iter_next(&iterator, NULL, &row)) {
        _Roster_MarkWithdrawn(roster, row);
    }
    pthread_mutex_unlock(&roster->lock);
}
