/* Embeds the rate module of libradishknot-core: a program enforces the rate of
 * one team by itself, with the holder of all rate slots and an entry's cache
 * in one process.
 *
 * Time is a parameter, so the program simulates four seconds of traffic at
 * twice the team's rate without waiting. Then it compares the number of
 * admitted requests with the bound (rate x time + burst).
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/rng.h"
#include "rate/rate_cache.h"
#include "rate/rate_holder.h"
#include "rate/rate_share.h"

#define HOST 1
#define INCARNATION 1
/* A bucket stays empty until 6 s after its limit came into force (at time 0).
 */
#define START_MS 10000
#define RUN_MS 4000
#define LEASE_END_MS (START_MS + 60 * RUN_MS)
#define STEP_MS 5 /* one request every 5 ms: 200 requests/s */
#define MAX_PLANS 8
#define MAX_USES 64

static const RateLimit limit = {.rate_per_s = 100, .burst = 20};

static gboolean
look_up_team(void *context, uint64_t team, RateLimit *found,
             ClockMs *in_force_ms)
{
    const uint64_t *known = context;

    if (team != *known) {
        return FALSE;
    }
    *found = limit;
    *in_force_ms = 0;
    return TRUE;
}

/* Draws tokens from the holder. In a fleet, a draw is a message. */
static void
draw(RateCache *cache, RateHolder *holder, uint64_t team, ClockMs now)
{
    RatePlan plans[MAX_PLANS];
    int count = RateCache_Plan(cache, team, 1, now, plans, MAX_PLANS);

    for (int i = 0; i < count; i++) {
        RateGrant grant = {0};
        Result result = RateHolder_Draw(holder, &plans[i].draw, now, &grant);

        if (result == RESULT_OK) {
            RateCache_Granted(cache, &plans[i], &grant, now);
        }
        else {
            RateCache_Failed(cache, &plans[i], result, now);
        }
    }
}

/* Takes a token and uses it. Returns TRUE if the request may be sent. */
static gboolean
admit(RateCache *cache, RateHolder *holder, uint64_t team, ClockMs now)
{
    RateToken token;
    int retry_ms;
    Result result =
        RateCache_Take(cache, team, &limit, now, &token, &retry_ms);

    if (result == RESULT_NOT_FOUND) {
        draw(cache, holder, team, now);
        result = RateCache_Take(cache, team, &limit, now, &token, &retry_ms);
    }
    return result == RESULT_OK &&
           RateCache_Use(cache, &token, now) == RESULT_OK;
}

/* Reports the used tokens to the holder. */
static void
settle(RateCache *cache, RateHolder *holder, ClockMs now)
{
    RateUse uses[MAX_USES];
    uint64_t host;
    uint64_t incarnation;
    int count;

    while (RateCache_NextSettlement(cache, now, &host, &incarnation)) {
        count =
            RateCache_Settle(cache, host, incarnation, uses, MAX_USES, now);
        if (count == 0) {
            break;
        }
        RateHolder_Settle(holder, HOST, uses, count, now);
    }
}

int
main(void)
{
    uint64_t team = Rng_HashString("crews");
    RateHolder *holder = RateHolder_Create(
        &(RateHolder_desc){.lookup = look_up_team, .context = &team});
    RateCache *cache = RateCache_Create(
        &(RateCache_desc){.entry = HOST, .incarnation = INCARNATION});
    int64_t offered = 0;
    int64_t admitted = 0;
    int64_t bound = limit.rate_per_s * RUN_MS / 1000 + limit.burst;

    for (int slot = 0; slot < RATE_SLOTS_MAX; slot++) {
        RateHolder_OpenSlot(holder, slot, 1, START_MS, LEASE_END_MS, START_MS);
        RateCache_SetHolder(cache, slot, HOST, INCARNATION, RATE_SELF);
    }
    for (ClockMs now = START_MS; now < START_MS + RUN_MS; now += STEP_MS) {
        offered++;
        admitted += admit(cache, holder, team, now);
        settle(cache, holder, now);
        RateHolder_Tick(holder, now);
        RateCache_Tick(cache, now);
    }
    printf("offered %" PRId64 ", admitted %" PRId64 ", bound %" PRId64 "\n",
           offered, admitted, bound);
    RateCache_Destroy(cache);
    RateHolder_Destroy(holder);
    /* The bucket starts empty, so a little less than rate x time is
     * admitted. */
    return admitted <= bound && admitted >= bound * 8 / 10 ? EXIT_SUCCESS
                                                           : EXIT_FAILURE;
}
