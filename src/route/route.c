#include "route/route.h"

#include <math.h>
#include <stdlib.h>

#include "route/route_load.h"

/* Number of draws by weight before the whole tier is scanned. */
#define MAX_DRAWS 8
/* Latencies that were measured longer ago are ignored, because they no longer
 * describe the present state. */
#define LATENCY_AGE_MS 10000
/* Weight of one choice in the moving average of the saturation. */
#define SATURATION_SHARE (1.0 / 32)
/* Unused cross-region requests that can be accumulated. */
#define MAX_CROSS_CREDIT 2.0

/* Inputs of one choice. */
typedef struct Choice {
    Route *route;
    const RouteSet *set;
    const uint64_t *excluded;
    uint32_t excluded_count;
    int drawn; /* index of the first draw, excluded from the second; -1 =
                  none */
    ClockMs now;
} Choice;

/* A candidate with its load and latency. */
typedef struct ScoredCandidate {
    int index;         /* -1 = none */
    double load;       /* requests per slot with this one added */
    double latency_us; /* 0 = unknown */
    gboolean full;     /* no free slot */
} ScoredCandidate;

/* Tier of the candidate: 0 own data centre, 1 own region, 2 other region. */
static int
tier_of(const RouteCandidate *candidate, uint64_t region, uint64_t data_centre)
{
    if (candidate->region != region) {
        return 2;
    }
    return candidate->data_centre != data_centre;
}

void
Route_Order(uint64_t id, RouteCandidate *candidates, uint32_t count,
            uint64_t own_region, uint64_t own_data_centre, RouteSet *set)
{
    uint32_t ends[3] = {0, 0, 0};
    uint32_t next = 0;

    for (int tier = 0; tier < 3; tier++) {
        for (uint32_t i = next; i < count; i++) {
            if (tier_of(&candidates[i], own_region, own_data_centre) == tier) {
                RouteCandidate swapped = candidates[next];

                candidates[next++] = candidates[i];
                candidates[i] = swapped;
            }
        }
        ends[tier] = next;
    }
    *set = (RouteSet){
        .id = id,
        .candidates = candidates,
        .count = count,
        .near_count = ends[0],
        .region_count = ends[1],
    };
}

int
Route_ChoosePool(const RoutePool *pools, uint32_t count, uint64_t subject_hash,
                 Rng *rng)
{
    uint64_t key = subject_hash ? subject_hash : Rng_Next(rng);
    double best = INFINITY;
    int chosen = -1;

    /* Weighted rendezvous hashing: a pool whose share changes either only
     * gains or only loses subjects, and the order of the pools has no
     * effect. */
    for (uint32_t i = 0; i < count; i++) {
        uint64_t bits = Rng_Mix(key, pools[i].pool) >> 11;
        double unit = ((double)bits + 0.5) * 0x1.0p-53;
        double rank;

        if (pools[i].share_percent == 0) {
            continue;
        }
        rank = -log(unit) / pools[i].share_percent;
        if (rank < best) {
            best = rank;
            chosen = (int)i;
        }
    }
    return chosen;
}

static gboolean
is_usable(const Choice *choice, uint32_t index)
{
    const RouteCandidate *candidate = &choice->set->candidates[index];

    if ((int)index == choice->drawn || candidate->state != ROUTE_READY ||
        candidate->weight == 0 ||
        Route_IsAvoided(choice->route, candidate->host, choice->now)) {
        return FALSE;
    }
    for (uint32_t i = 0; i < choice->excluded_count; i++) {
        if (choice->excluded[i] == candidate->backend_server) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Draws by weight among all usable candidates of the range; for ranges where
 * single draws find too few usable ones. */
static int
scan_by_weight(const Choice *choice, uint32_t from, uint32_t to)
{
    uint64_t total = 0;
    uint64_t target;

    for (uint32_t i = from; i < to; i++) {
        if (is_usable(choice, i)) {
            total += choice->set->candidates[i].weight;
        }
    }
    if (total == 0) {
        return -1;
    }
    target = Rng_Below(&choice->route->rng, total);
    for (uint32_t i = from; i < to; i++) {
        const RouteCandidate *candidate = &choice->set->candidates[i];

        if (!is_usable(choice, i)) {
            continue;
        }
        if (target < candidate->weight) {
            return (int)i;
        }
        target -= candidate->weight;
    }
    return -1;
}

static int
draw_by_weight(const Choice *choice, uint32_t from, uint32_t to)
{
    Rng *rng = &choice->route->rng;

    if (from >= to) {
        return -1;
    }
    for (int i = 0; i < MAX_DRAWS; i++) {
        uint32_t index = from + (uint32_t)Rng_Below(rng, to - from);
        const RouteCandidate *candidate = &choice->set->candidates[index];

        if ((candidate->weight >= 100 ||
             Rng_Below(rng, 100) < candidate->weight) &&
            is_usable(choice, index)) {
            return (int)index;
        }
    }
    return scan_by_weight(choice, from, to);
}

static ScoredCandidate
score_candidate(const Choice *choice, int index)
{
    const RouteCandidate *candidate;
    const RouteServer *server;
    ScoredCandidate scored = {.index = index};
    double slots;

    if (index < 0) {
        return scored;
    }
    candidate = &choice->set->candidates[index];
    server = RouteLoad_FindServer(choice->route, candidate->backend_server);
    slots = MAX(candidate->slots, 1);
    scored.load = RouteLoad_Expected(choice->route, server, choice->now);
    scored.full = scored.load >= slots;
    /* The weight is left out: it has its effect in the draws. If it counted
     * twice, a backend server on probation would get no trials. */
    scored.load = (scored.load + 1) / slots;
    if (candidate->latency_class > 0) {
        scored.latency_us = exp2((candidate->latency_class - 1) / 4.0);
    }
    if (server && choice->now - server->latency_at < LATENCY_AGE_MS) {
        scored.latency_us = MAX(scored.latency_us, server->latency_us);
    }
    return scored;
}

/* Whether both latencies are known and one is slow against the other. Smaller
 * differences mean little; if they counted, an idle fleet would send
 * everything to the backend server that was last seen as the fastest. */
static gboolean
latencies_differ(const ScoredCandidate *a, const ScoredCandidate *b)
{
    return a->latency_us > 0 && b->latency_us > 0 &&
           MAX(a->latency_us, b->latency_us) >
               ROUTE_SLOW_FACTOR * MIN(a->latency_us, b->latency_us);
}

/* Returns the candidate with the lower expected wait. */
static ScoredCandidate
shorter_wait(ScoredCandidate a, ScoredCandidate b)
{
    double wait_a = a.load;
    double wait_b = b.load;

    if (a.index < 0 || b.index < 0) {
        return a.index < 0 ? b : a;
    }
    if (latencies_differ(&a, &b)) {
        wait_a *= a.latency_us;
        wait_b *= b.latency_us;
    }
    return wait_b < wait_a ? b : a;
}

/* Power of two choices in a range of candidates. */
static ScoredCandidate
choose_two(const Choice *choice, uint32_t from, uint32_t to)
{
    Choice others = *choice;
    ScoredCandidate first =
        score_candidate(choice, draw_by_weight(choice, from, to));

    if (first.index < 0) {
        return first;
    }
    others.drawn = first.index;
    return shorter_wait(
        first, score_candidate(&others, draw_by_weight(&others, from, to)));
}

/* Adds one choice to the saturation of a tier, and begins or ends spilling. A
 * tier without a usable candidate counts as full. */
static void
update_saturation(const Route_desc *desc, const ScoredCandidate *scored,
                  double *saturated, gboolean *spills)
{
    double full = scored->index < 0 || scored->full ? 1 : 0;

    *saturated += (full - *saturated) * SATURATION_SHARE;
    if (*saturated * 100 > desc->saturated_percent) {
        *spills = TRUE;
    }
    else if (*saturated * 100 < desc->relaxed_percent) {
        *spills = FALSE;
    }
}

/* Chooses in the own region, with preference for the own data centre. */
static ScoredCandidate
choose_in_region(const Choice *choice, RouteSpill *spill)
{
    const RouteSet *set = choice->set;
    const Route_desc *desc = &choice->route->desc;
    ScoredCandidate near = {.index = -1};
    ScoredCandidate rest = {.index = -1};

    if (set->near_count > 0) {
        near = choose_two(choice, 0, set->near_count);
        update_saturation(desc, &near, &spill->near_saturated,
                          &spill->near_spills);
    }
    if (near.index < 0 || (spill->near_spills && near.full)) {
        rest = choose_two(choice, set->near_count, set->region_count);
    }
    return shorter_wait(near, rest);
}

/* Adds the credit of one request. Returns whether the request may go to
 * another region because the own one is saturated. */
static gboolean
may_cross(const Route_desc *desc, RouteSpill *spill,
          const ScoredCandidate *region)
{
    spill->cross_credit += desc->cross_region_percent / 100.0;
    spill->cross_credit = MIN(spill->cross_credit, MAX_CROSS_CREDIT);
    return spill->region_spills && region->full && spill->cross_credit >= 1;
}

/* Chooses among all tiers. */
static ScoredCandidate
choose_in_all_tiers(const Choice *choice, RouteSpill *spill)
{
    const RouteSet *set = choice->set;
    const Route_desc *desc = &choice->route->desc;
    ScoredCandidate best = choose_in_region(choice, spill);
    ScoredCandidate far;

    if (best.index < 0) {
        return choose_two(choice, set->region_count, set->count);
    }
    update_saturation(desc, &best, &spill->region_saturated,
                      &spill->region_spills);
    if (set->region_count == set->count || !may_cross(desc, spill, &best)) {
        return best;
    }
    far = choose_two(choice, set->region_count, set->count);
    if (far.index < 0 || far.full) {
        return best;
    }
    spill->cross_credit -= 1;
    return far;
}

int
Route_Choose(Route *route, const RouteSet *set, const uint64_t *excluded,
             uint32_t excluded_count, ClockMs now, RouteTier *tier)
{
    Choice choice = {.route = route,
                     .set = set,
                     .excluded = excluded,
                     .excluded_count = excluded_count,
                     .drawn = -1,
                     .now = now};
    ScoredCandidate best =
        choose_in_all_tiers(&choice, RouteLoad_AddSpill(route, set->id, now));
    RouteHost *host;

    if (best.index < 0) {
        return -1;
    }
    host = RouteLoad_FindHost(route, set->candidates[best.index].host);
    if (host) {
        host->trial_until = now + route->desc.avoid_ms;
    }
    if (tier) {
        *tier = (uint32_t)best.index < set->near_count ? ROUTE_TIER_DATA_CENTRE
                : (uint32_t)best.index < set->region_count
                    ? ROUTE_TIER_REGION
                    : ROUTE_TIER_OTHER_REGION;
    }
    return best.index;
}
