#include "evacuation/evacuation.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#include "base/rng.h"

typedef struct DataCentre {
    char *name;
    gboolean is_evacuated;
    ClockMs began; /* of its evacuation */
} DataCentre;

struct Evacuation {
    pthread_mutex_t lock;
    DataCentre *rows;
    unsigned count;
    uint64_t changes;
};

static DataCentre *
find(Evacuation *evacuation, const char *name)
{
    for (unsigned i = 0; i < evacuation->count; i++) {
        if (strcmp(evacuation->rows[i].name, name) == 0) {
            return &evacuation->rows[i];
        }
    }
    return NULL;
}

Evacuation *
Evacuation_Create(const char *const *names, unsigned count)
{
    Evacuation *evacuation = g_new0(Evacuation, 1);

    pthread_mutex_init(&evacuation->lock, NULL);
    evacuation->rows = g_new0(DataCentre, MAX(count, 1));
    for (unsigned i = 0; i < count; i++) {
        if (find(evacuation, names[i]) == NULL) {
            evacuation->rows[evacuation->count++].name = g_strdup(names[i]);
        }
    }
    return evacuation;
}

void
Evacuation_Destroy(Evacuation *evacuation)
{
    if (evacuation == NULL) {
        return;
    }
    for (unsigned i = 0; i < evacuation->count; i++) {
        g_free(evacuation->rows[i].name);
    }
    g_free(evacuation->rows);
    pthread_mutex_destroy(&evacuation->lock);
    g_free(evacuation);
}

/* Called with the lock held. */
static EvacuationChange
set_row(Evacuation *evacuation, DataCentre *row, gboolean is_evacuated,
        ClockMs now, ClockMs *lasted_ms)
{
    if (row->is_evacuated == is_evacuated) {
        return EVACUATION_SAME;
    }
    row->is_evacuated = is_evacuated;
    evacuation->changes++;
    if (is_evacuated) {
        row->began = now;
        return EVACUATION_BEGAN;
    }
    *lasted_ms = now - row->began;
    return EVACUATION_ENDED;
}

EvacuationChange
Evacuation_Set(Evacuation *evacuation, const char *name, gboolean is_evacuated,
               ClockMs now, ClockMs *lasted_ms)
{
    EvacuationChange change = EVACUATION_UNKNOWN;
    DataCentre *row;

    pthread_mutex_lock(&evacuation->lock);
    row = find(evacuation, name);
    if (row != NULL) {
        change =
            set_row(evacuation, row, is_evacuated != FALSE, now, lasted_ms);
    }
    pthread_mutex_unlock(&evacuation->lock);
    return change;
}

gboolean
Evacuation_Contains(Evacuation *evacuation, const char *name)
{
    const DataCentre *row;
    gboolean contains;

    pthread_mutex_lock(&evacuation->lock);
    row = find(evacuation, name);
    contains = row != NULL && row->is_evacuated;
    pthread_mutex_unlock(&evacuation->lock);
    return contains;
}

uint64_t *
Evacuation_Hashes(Evacuation *evacuation, uint32_t *count)
{
    uint64_t *hashes = g_new0(uint64_t, MAX(evacuation->count, 1));

    *count = 0;
    pthread_mutex_lock(&evacuation->lock);
    for (unsigned i = 0; i < evacuation->count; i++) {
        if (evacuation->rows[i].is_evacuated) {
            hashes[(*count)++] = Rng_HashString(evacuation->rows[i].name);
        }
    }
    pthread_mutex_unlock(&evacuation->lock);
    return hashes;
}

uint64_t
Evacuation_Changes(Evacuation *evacuation)
{
    uint64_t changes;

    pthread_mutex_lock(&evacuation->lock);
    changes = evacuation->changes;
    pthread_mutex_unlock(&evacuation->lock);
    return changes;
}

void
Evacuation_Write(Evacuation *evacuation, ClockMs now, GString *out)
{
    pthread_mutex_lock(&evacuation->lock);
    g_string_append(
        out, "# HELP radishknot_evacuated whether the backend servers of the "
             "data centre get no requests\n"
             "# TYPE radishknot_evacuated gauge\n");
    for (unsigned i = 0; i < evacuation->count; i++) {
        g_string_append_printf(
            out, "radishknot_evacuated{data_centre=\"%s\"} %d\n",
            evacuation->rows[i].name, evacuation->rows[i].is_evacuated);
    }
    g_string_append(out, "# HELP radishknot_evacuated_seconds time since the "
                         "evacuation began\n"
                         "# TYPE radishknot_evacuated_seconds gauge\n");
    for (unsigned i = 0; i < evacuation->count; i++) {
        const DataCentre *row = &evacuation->rows[i];

        g_string_append_printf(
            out,
            "radishknot_evacuated_seconds{data_centre=\"%s\"} %" PRId64 "\n",
            row->name,
            row->is_evacuated ? (now - row->began) / 1000 : (ClockMs)0);
    }
    pthread_mutex_unlock(&evacuation->lock);
}
