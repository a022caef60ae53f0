/* RateSim: results and faults. */
#include <string.h>

#include "rate/rate_sim_private.h"

const RateSimTeam *
RateSim_Team(const RateSim *sim, int team)
{
    return &sim->teams[team].results;
}

RateSimCost
RateSim_Cost(const RateSim *sim)
{
    return sim->cost;
}

Rng *
RateSim_Rng(RateSim *sim)
{
    return &sim->rng;
}

void
RateSim_Kill(RateSim *sim, int index)
{
    if (sim->hosts[index].up) {
        sim->hosts[index].up = FALSE;
        _RateSim_CloseHost(&sim->hosts[index]);
        _RateSim_SendView(sim, 2 * SECOND_US);
    }
}

void
RateSim_Start(RateSim *sim, int index, gboolean same_address)
{
    Host *host = &sim->hosts[index];

    if (host->up) {
        return;
    }
    if (!same_address) {
        host->record.host = Rng_Next(&sim->rng);
        g_snprintf(host->record.address, sizeof(host->record.address),
                   "10.1.%d.%d:1", index, (int)Rng_Below(&sim->rng, 1000000));
    }
    _RateSim_StartHost(sim, index);
}

void
RateSim_Restart(RateSim *sim, int index)
{
    Host *host = &sim->hosts[index];
    ClockMs now = _RateSim_LocalMs(sim, index);

    if (!host->up || host->stopping) {
        return;
    }
    host->stopping = TRUE;
    RateLease_ReleaseAll(host->lease, now);
    for (int i = 0; i < sim->desc.fleet_slots; i++) {
        RateHolder_CloseSlot(host->holder, i, now);
    }
    _RateSim_ApplyView(sim);
    _RateSim_OnLease(sim, index);
    _RateSim_Schedule(sim, EV_START, index, 2 * SECOND_US);
}

void
RateSim_Pause(RateSim *sim, int index, int ms)
{
    sim->hosts[index].paused_until_us = sim->now_us + (int64_t)ms * 1000;
}

void
RateSim_Cut(RateSim *sim, int from, int to, gboolean cut)
{
    sim->cut[from][to] = cut != FALSE;
}

void
RateSim_SetStoreDown(RateSim *sim, gboolean down)
{
    sim->store_down = down;
}

void
RateSim_Retire(RateSim *sim, int index)
{
    sim->hosts[index].retired = TRUE;
}

void
RateSim_SetLimit(RateSim *sim, int index, const RateLimit *limit)
{
    TeamState *team = &sim->teams[index];
    const RateLimit *old = &team->changes[team->change_count - 1].limit;

    g_assert(team->change_count < MAX_CHANGES);
    /* A window that contains the change may use the larger of both bursts. */
    if (limit->burst > old->burst) {
        team->check.micro += (limit->burst - old->burst) * RATE_MICRO;
    }
    team->changes[team->change_count++] = (Change){*limit, sim->now_us};
}

int
RateSim_Holder(const RateSim *sim)
{
    int best = NO_HOST;
    int max = 0;

    for (int i = 0; i < sim->host_count; i++) {
        if (sim->hosts[i].up && RateLease_Count(sim->hosts[i].lease) > max) {
            max = RateLease_Count(sim->hosts[i].lease);
            best = i;
        }
    }
    return best;
}

int
RateSim_HolderOf(const RateSim *sim, int index)
{
    uint16_t slots[RATE_SLOTS_MAX];
    const TeamState *team = &sim->teams[index];
    RateShare share =
        RateShare_Make(&team->changes[0].limit, sim->desc.fleet_slots);
    int count =
        RateShare_Slots(team->results.id, share.slots, sim->desc.fleet_slots,
                        sim->desc.regions, slots);

    for (int i = 0; i < count; i++) {
        int holder =
            _RateSim_HostIndex(sim, sim->store[slots[i]].object.holder);

        if (holder >= 0 && sim->hosts[holder].up &&
            !sim->hosts[holder].stopping) {
            return holder;
        }
    }
    return NO_HOST;
}

gboolean
RateSim_IsUp(const RateSim *sim, int index)
{
    return sim->hosts[index].up && !sim->hosts[index].stopping;
}

int
RateSim_SlotsHeld(const RateSim *sim)
{
    int held = 0;

    for (int i = 0; i < sim->host_count; i++) {
        if (sim->hosts[i].up) {
            held += RateLease_Count(sim->hosts[i].lease);
        }
    }
    return held;
}
