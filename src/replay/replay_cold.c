#include "replay/replay_private.h"

/* Length of the time in which a bound counts requests. */
#define WINDOW_MS 1000

void
_Replay_FollowCold(Replay *replay, ReplayServer *server, ClockMs now)
{
    double per_s = _Replay_FaultAt(replay, server, REPLAY_COLD, now);
    AdmissionPace pace;

    if (per_s != server->cold_per_s) {
        ColdRate_desc desc = {.per_s = per_s,
                              .overage = replay->desc.cold_overage,
                              .slack = replay->desc.cold_slack};

        server->cold_per_s = per_s;
        ColdRate_SetRate(&server->cold, &desc, now);
        ColdRate_SetCold(&server->cold, per_s > 0 ? CLOCK_NEVER : now, now);
    }
    ColdRate_Pace(&server->cold, now, &pace);
    Admission_SetPace(server->admission, &pace);
    Admission_SetSlots(server->admission,
                       MIN(replay->desc.services[server->service].slots,
                           ColdRate_MaxAtWork(&server->cold, now)));
}

void
_Replay_CountCold(ReplayServer *server, ClockMs now)
{
    if (server->cold_per_s > 0) {
        ColdRate_Take(&server->cold, 1, now);
        g_array_append_val(server->cold_sent, now);
    }
}

ClockMs
_Replay_ColdWait(const ReplayServer *server, ClockMs now)
{
    AdmissionTicket last = {.priority = G_MAXINT, .deadline = CLOCK_NEVER};

    return ColdRate_IsCold(&server->cold, now)
               ? MAX(Admission_PaceWait(server->admission, &last, now), 1)
               : 0;
}

ReplayCold
Replay_Cold(const Replay *replay, guint service)
{
    ReplayCold result = {0};

    for (guint i = 0; i < replay->server_count; i++) {
        const GArray *sent = replay->servers[i].cold_sent;
        guint first = 0;

        if (replay->servers[i].service != service) {
            continue;
        }
        result.sent += sent->len;
        for (guint last = 0; last < sent->len; last++) {
            while (g_array_index(sent, ClockMs, last) -
                       g_array_index(sent, ClockMs, first) >=
                   WINDOW_MS) {
                first++;
            }
            result.most = MAX(result.most, last - first + 1);
        }
    }
    return result;
}
