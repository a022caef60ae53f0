#include "roster/roster.h"

#include <string.h>

#include "roster/roster_internal.h"

/* Weight of the newest sample in the moving average of the transit time. */
#define TRANSIT_WEIGHT 0.1

/* Time for which a host is avoided whose backend server accepts no new
 * requests. It may be restarting, which takes about a second. */
#define LEAVING_AVOID_MS 800

Roster *
Roster_Create(const Roster_desc *desc)
{
    Roster *roster = g_new0(Roster, 1);

    roster->desc = *desc;
    roster->self = Rng_HashString(desc->host);
    pthread_mutex_init(&roster->lock, NULL);
    roster->rows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    roster->services =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                              (GDestroyNotify)g_ptr_array_unref);
    roster->regions =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    roster->neighbours = g_ptr_array_new();
    Rng_Seed(&roster->rng, desc->seed > 0 ? desc->seed : Rng_ProcessSeed());
    return roster;
}

void
Roster_Destroy(Roster *roster)
{
    if (roster != NULL) {
        g_free(roster->withdrawn);
        g_ptr_array_unref(roster->neighbours);
        g_hash_table_destroy(roster->services);
        g_hash_table_destroy(roster->rows);
        g_hash_table_destroy(roster->regions);
        pthread_mutex_destroy(&roster->lock);
        g_free(roster);
    }
}

static RosterTier
tier_of(const Roster *roster, const RosterEntry *entry)
{
    if (strcmp(entry->host, roster->desc.host) == 0) {
        return ROSTER_SAME_HOST;
    }
    if (strcmp(entry->data_centre, roster->desc.data_centre) == 0) {
        return ROSTER_SAME_DATA_CENTRE;
    }
    return strcmp(entry->region, roster->desc.region) == 0
               ? ROSTER_SAME_REGION
               : ROSTER_OTHER_REGION;
}

/* Returns the rows of a service; creates the array if there is none. */
static GPtrArray *
service_rows(Roster *roster, uint64_t service)
{
    GPtrArray *rows = g_hash_table_lookup(roster->services, &service);

    if (rows == NULL) {
        rows = g_ptr_array_new();
        g_hash_table_insert(roster->services,
                            g_memdup2(&service, sizeof(service)), rows);
    }
    return rows;
}

static void
unlink_row(Roster *roster, RosterRow *row)
{
    g_ptr_array_remove_fast(service_rows(roster, row->service), row);
    g_ptr_array_remove_fast(roster->neighbours, row);
}

void
Roster_Set(Roster *roster, const RosterEntry *entry, ClockMs now)
{
    uint64_t host = Rng_HashString(entry->host);
    uint64_t service = Rng_HashString(entry->service);
    RosterRow *row;

    pthread_mutex_lock(&roster->lock);
    row = g_hash_table_lookup(roster->rows, &host);
    if (row == NULL) {
        row = g_new0(RosterRow, 1);
        row->host = host;
        row->contacted = now;
        g_hash_table_insert(roster->rows, &row->host, row);
    }
    else {
        unlink_row(roster, row);
    }
    if (strcmp(row->entry.instance, entry->instance) != 0) {
        /* A new instance: reports of the old one do not apply. */
        GrayFilter_Init(&row->filter, &roster->desc.gray, now);
        row->reported = 0;
        row->avoid_until = 0;
        row->leaving_until = 0;
        row->avoid_ms = 0;
        row->unreachable_since = 0;
    }
    row->keep_until = 0;
    row->entry = *entry;
    row->service = service;
    row->region = _Roster_FindRegion(roster, entry->region);
    row->tier = tier_of(roster, entry);
    _Roster_MarkWithdrawn(roster, row);
    g_ptr_array_add(service_rows(roster, service), row);
    if (row->tier == ROSTER_SAME_DATA_CENTRE) {
        g_ptr_array_add(roster->neighbours, row);
    }
    pthread_mutex_unlock(&roster->lock);
}

void
Roster_Remove(Roster *roster, const char *host)
{
    uint64_t hash = Rng_HashString(host);
    RosterRow *row;

    pthread_mutex_lock(&roster->lock);
    row = g_hash_table_lookup(roster->rows, &hash);
    if (row != NULL) {
        unlink_row(roster, row);
        g_hash_table_remove(roster->rows, &hash);
    }
    pthread_mutex_unlock(&roster->lock);
}

void
Roster_Retain(Roster *roster, GHashTable *names, ClockMs keep_until)
{
    GHashTableIter iterator;
    gpointer value;

    pthread_mutex_lock(&roster->lock);
    g_hash_table_iter_init(&iterator, roster->rows);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        RosterRow *row = value;

        if (row->tier == ROSTER_SAME_HOST ||
            g_hash_table_contains(names, row->entry.host)) {
            continue;
        }
        if (keep_until > 0) {
            row->keep_until = keep_until;
        }
        else if (row->keep_until == 0) {
            unlink_row(roster, row);
            g_hash_table_iter_remove(&iterator);
        }
    }
    pthread_mutex_unlock(&roster->lock);
}

void
Roster_Expire(Roster *roster, ClockMs now)
{
    GHashTableIter iterator;
    gpointer value;

    pthread_mutex_lock(&roster->lock);
    g_hash_table_iter_init(&iterator, roster->rows);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        RosterRow *row = value;

        if (row->keep_until > 0 && now >= row->keep_until) {
            unlink_row(roster, row);
            g_hash_table_iter_remove(&iterator);
        }
    }
    pthread_mutex_unlock(&roster->lock);
}

void
_Roster_MarkReached(RosterRow *row, ClockMs now)
{
    row->contacted = now;
    row->avoid_ms = 0;
    row->unreachable_since = 0;
    _Roster_NoteRegionReached(row, now);
}

void
_Roster_ApplyReport(RosterRow *row, const RosterReport *report, ClockMs now)
{
    GrayFilter_Set(&row->filter, report->risk, now);
    row->report = *report;
    row->reported = now;
    row->own_before = row->own;
    _Roster_MarkReached(row, now);
    /* Only a host that stops cannot be reached soon. Others serve their
     * neighbours, whether or not their backend server accepts requests. */
    row->leaving_until = report->leaving ? now + LEAVING_AVOID_MS : 0;
    row->avoid_until = report->stop_ms > 0 ? row->leaving_until : 0;
    row->ends = report->stop_ms > 0 ? now + report->stop_ms : 0;
}

void
Roster_Report(Roster *roster, uint64_t host, const RosterReport *report,
              ClockMs now)
{
    RosterRow *row;

    pthread_mutex_lock(&roster->lock);
    row = g_hash_table_lookup(roster->rows, &host);
    if (row != NULL) {
        _Roster_ApplyReport(row, report, now);
    }
    pthread_mutex_unlock(&roster->lock);
}

void
Roster_Begin(Roster *roster, uint64_t host)
{
    RosterRow *row;

    pthread_mutex_lock(&roster->lock);
    row = g_hash_table_lookup(roster->rows, &host);
    if (row != NULL) {
        row->own++;
    }
    pthread_mutex_unlock(&roster->lock);
}

void
Roster_End(Roster *roster, uint64_t host)
{
    RosterRow *row;

    pthread_mutex_lock(&roster->lock);
    row = g_hash_table_lookup(roster->rows, &host);
    /* The row may have been created anew since the attempt began. */
    if (row != NULL && row->own > 0) {
        row->own--;
    }
    pthread_mutex_unlock(&roster->lock);
}

double
Roster_RiskAt(const Roster *roster, double fail_share)
{
    return GrayFilter_RiskAt(&roster->desc.gray, fail_share);
}

double
Roster_RetryRates(Roster *roster, uint64_t service, ClockMs now,
                  RetryRates *rates)
{
    GPtrArray *rows;
    guint reported = 0;
    guint in_use = 0;
    guint count = 0;

    *rates = (RetryRates){.updated = now};
    pthread_mutex_lock(&roster->lock);
    rows = g_hash_table_lookup(roster->services, &service);
    count = rows != NULL ? rows->len : 0;
    for (guint i = 0; i < count; i++) {
        const RosterRow *row = g_ptr_array_index(rows, i);

        if (row->withdrawn) {
            continue;
        }
        in_use++;
        if (_Roster_IsRecent(row, now)) {
            rates->per_s += row->report.per_s;
            rates->retries_per_s += row->report.retries_per_s;
            reported++;
        }
    }
    pthread_mutex_unlock(&roster->lock);
    return in_use > 0 ? (double)reported / in_use : 0;
}

void
Roster_ServiceLoad(Roster *roster, uint64_t service, ClockMs now,
                   RosterLoad *load)
{
    const GPtrArray *rows;

    *load = (RosterLoad){0};
    pthread_mutex_lock(&roster->lock);
    rows = g_hash_table_lookup(roster->services, &service);
    load->servers = rows != NULL ? rows->len : 0;
    for (uint32_t i = 0; i < load->servers; i++) {
        const RosterRow *row = g_ptr_array_index(rows, i);

        if (_Roster_IsRecent(row, now)) {
            load->reports++;
            load->slots += row->report.slots;
            load->in_flight += row->report.in_flight;
            load->waiting += row->report.waiting;
        }
    }
    pthread_mutex_unlock(&roster->lock);
}

void
Roster_NoteTransit(Roster *roster, uint64_t host, ClockMs transit_ms)
{
    RosterRow *row;

    pthread_mutex_lock(&roster->lock);
    row = g_hash_table_lookup(roster->rows, &host);
    if (row != NULL) {
        double *average = &roster->transit_ms[row->tier];

        *average += TRANSIT_WEIGHT * ((double)transit_ms - *average);
    }
    pthread_mutex_unlock(&roster->lock);
}

uint32_t
Roster_Count(Roster *roster)
{
    uint32_t count;

    pthread_mutex_lock(&roster->lock);
    count = g_hash_table_size(roster->rows);
    pthread_mutex_unlock(&roster->lock);
    return count;
}
