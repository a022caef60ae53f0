/* Injector of a backend server that sends bytes without end, at a host of its
 * own, for a part of the time; otherwise it answers well. Checked:
 *  - no daemon exceeds MAX_PEAK_KB;
 *  - a POST request that reached it ran nowhere else and was not refused.
 */
#include <stdio.h>
#include <string.h>

#include "memory_site.h"
#include "soak.h"

#define MAX_WELL_MS 3000
#define MAX_FAULTY_MS 2500
#define STEP_US 20000

/* Maximum memory of a daemon on a host of 160 MB. */
#define MAX_PEAK_KB (100L * 1024)

static void
await(Soak *soak, ClockMs milliseconds)
{
    ClockMs end = Clock_Now() + milliseconds;

    while (Clock_Now() < end && !atomic_load(&soak->stopping)) {
        g_usleep(STEP_US);
    }
}

/* Complete answers with a wrong body are none of the faults. */
static const EndlessKind *
choose_kind(Rng *rng)
{
    const EndlessKind *kind;

    do {
        kind = &EndlessServer_kinds[Rng_Below(rng, ENDLESS_KINDS)];
    } while (kind->total > 0);
    return kind;
}

void
Endless_AddHost(Soak *soak)
{
    soak->endless = EndlessServer_Create(Site_BackendAddress(soak->hosts));
    Site_AddHost(soak->site, &(SiteHost_desc){.no_server = TRUE});
}

void *
Endless_Run(void *context)
{
    Soak *soak = context;
    Rng rng;

    Rng_Seed(&rng, soak->seed + 2);
    while (!atomic_load(&soak->stopping)) {
        const EndlessKind *kind;

        await(soak, (ClockMs)Rng_Below(&rng, MAX_WELL_MS));
        kind = choose_kind(&rng);
        printf("%" G_GINT64_FORMAT " endless=%s\n", Clock_WallMs(),
               kind->name);
        EndlessServer_SetKind(soak->endless, kind);
        await(soak, (ClockMs)Rng_Below(&rng, MAX_FAULTY_MS));
        EndlessServer_SetKind(soak->endless, NULL);
    }
    return NULL;
}

static gboolean
is_refused(const Soak *soak, const char *id)
{
    for (guint i = 0; i < soak->refused_ids->len; i++) {
        if (strcmp(g_ptr_array_index(soak->refused_ids, i), id) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
check_posts(Soak *soak)
{
    GHashTableIter iterator;
    gpointer id;
    gpointer count;

    g_hash_table_iter_init(&iterator, EndlessServer_Posts(soak->endless));
    while (g_hash_table_iter_next(&iterator, &id, &count)) {
        if (GPOINTER_TO_UINT(count) > 1 || Site_HasRun(soak->site, id)) {
            Soak_ReportViolation(
                soak, "a non-idempotent request ran more than once", id, NULL);
        }
        if (is_refused(soak, id)) {
            Soak_ReportViolation(soak, "a refused request has run", id, NULL);
        }
    }
}

void
Endless_Check(Soak *soak)
{
    for (int host = 0; host <= soak->hosts; host++) {
        long peak_kb = MemorySite_PeakKb(soak->site, host);
        char *details;

        printf("host=%d peak_kb=%ld\n", host, peak_kb);
        if (peak_kb > MAX_PEAK_KB) {
            details = g_strdup_printf("host=%d peak_kb=%ld", host, peak_kb);
            Soak_ReportViolation(soak, "a daemon exceeded its memory", "-",
                                 details);
            g_free(details);
        }
    }
    check_posts(soak);
    printf("endless: %u requests, %zu bytes\n",
           EndlessServer_Requests(soak->endless),
           EndlessServer_Sent(soak->endless));
}
