/* Injector of backend servers that become cold, one at a time or half of them
 * at once. Checked:
 *  - in no second does a cold one get more than the bound;
 *  - cold ones get requests at all.
 */
#include <math.h>
#include <stdio.h>

#include "soak.h"

/* cold_per_s of a site, and the settings of the hosts. */
#define PER_S 10
#define OVERAGE 1.5
#define SLACK 8

#define MAX_PAUSE_MS 3000
#define MIN_COLD_MS 500
#define MAX_COLD_MS 4000
#define STEP_US 20000

/* Share of the times in percent at which half of the hosts become cold. */
#define HALF_PERCENT 25

const char *
Cold_Settings(void)
{
    return "\"cold_overage\":1.5,\"cold_slack\":8,";
}

static void
await(Soak *soak, ClockMs milliseconds)
{
    ClockMs end = Clock_Now() + milliseconds;

    while (Clock_Now() < end && !atomic_load(&soak->stopping)) {
        g_usleep(STEP_US);
    }
}

void *
Cold_Run(void *context)
{
    Soak *soak = context;
    Rng rng;

    Rng_Seed(&rng, soak->seed + 3);
    while (!atomic_load(&soak->stopping)) {
        int first = (int)Rng_Below(&rng, (uint64_t)soak->hosts);
        int count =
            Rng_Below(&rng, 100) < HALF_PERCENT ? (soak->hosts + 1) / 2 : 1;
        ClockMs length_ms =
            MIN_COLD_MS + (ClockMs)Rng_Below(&rng, MAX_COLD_MS - MIN_COLD_MS);

        printf("%" G_GINT64_FORMAT
               " cold first=%d count=%d ms=%" G_GINT64_FORMAT "\n",
               Clock_WallMs(), first, count, length_ms);
        for (int i = 0; i < count; i++) {
            Site_SetCold(soak->site, (first + i) % soak->hosts, length_ms);
        }
        await(soak, (ClockMs)Rng_Below(&rng, MAX_PAUSE_MS));
    }
    return NULL;
}

void
Cold_Check(Soak *soak)
{
    guint all = 0;

    for (int host = 0; host < soak->hosts; host++) {
        ColdCount *count = Site_Cold(soak->site, host);

        printf("cold host=%d requests=%u most=%u\n", host,
               ColdCount_All(count), ColdCount_Most(count));
        all += ColdCount_All(count);
        if (ColdCount_Most(count) > floor(PER_S * OVERAGE + SLACK)) {
            char *details = g_strdup_printf("host=%d most=%u", host,
                                            ColdCount_Most(count));

            Soak_ReportViolation(
                soak, "a cold backend server got more than the bound", "-",
                details);
            g_free(details);
        }
    }
    if (all == 0) {
        Soak_ReportViolation(soak, "cold backend servers got nothing", "-",
                             NULL);
    }
}
