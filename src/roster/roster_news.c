#include "roster/roster_internal.h"

/* Puts the report into the list, which is sorted by age. Returns the new
 * number of reports. */
static uint32_t
insert_news(RosterNews *news, uint32_t count, uint32_t max,
            const RosterNews *item)
{
    uint32_t place = count < max ? count : max - 1;

    if (count == max && news[place].age_ms <= item->age_ms) {
        return count;
    }
    while (place > 0 && news[place - 1].age_ms > item->age_ms) {
        news[place] = news[place - 1];
        place--;
    }
    news[place] = *item;
    return MIN(count + 1, max);
}

uint32_t
Roster_GetNews(Roster *roster, uint64_t service, uint64_t receiver,
               ClockMs now, RosterNews *news, uint32_t max)
{
    uint32_t count = 0;
    GPtrArray *rows;

    pthread_mutex_lock(&roster->lock);
    rows = g_hash_table_lookup(roster->services, &service);
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const RosterRow *row = g_ptr_array_index(rows, i);
        RosterNews item = {.host = row->host,
                           .risk = GrayFilter_Risk(&row->filter, now),
                           .in_flight = row->report.in_flight,
                           .waiting = row->report.waiting,
                           .age_ms = now - row->reported};

        if (row->reported > 0 && item.age_ms <= ROSTER_NEWS_MS &&
            row->unreachable_since == 0 && now >= row->avoid_until &&
            row->host != receiver) {
            count = insert_news(news, count, max, &item);
        }
    }
    pthread_mutex_unlock(&roster->lock);
    return count;
}

static gboolean
add_news(RosterRow *row, const RosterNews *item, ClockMs now)
{
    ClockMs reported = now - item->age_ms;

    if (item->age_ms > ROSTER_NEWS_MS || reported <= row->reported ||
        row->unreachable_since > 0 || now < row->avoid_until) {
        return FALSE;
    }
    GrayFilter_Set(&row->filter, item->risk, now);
    row->report.risk = item->risk;
    row->report.in_flight = item->in_flight;
    row->report.waiting = item->waiting;
    row->report.idle_ms = 0;
    row->reported = reported;
    row->own_before = row->own;
    return TRUE;
}

uint32_t
Roster_AddNews(Roster *roster, uint64_t service, const RosterNews *news,
               uint32_t count, ClockMs now)
{
    uint32_t added = 0;

    pthread_mutex_lock(&roster->lock);
    for (uint32_t i = 0; i < count; i++) {
        RosterRow *row = g_hash_table_lookup(roster->rows, &news[i].host);

        if (row != NULL && row->service == service &&
            row->tier != ROSTER_SAME_HOST) {
            added += add_news(row, &news[i], now);
        }
    }
    pthread_mutex_unlock(&roster->lock);
    return added;
}
