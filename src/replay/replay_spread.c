#include <math.h>

#include "replay/replay_private.h"

/* Time between two samples, and time before the first one. */
#define SAMPLE_MS 20
#define WARM_UP_MS 6000

/* Largest value divided by the mean, and standard deviation divided by the
 * mean; 0 and 0 if all values are 0. */
static void
spread_of(const double *values, guint count, double *max, double *variation)
{
    double sum = 0;
    double squares = 0;
    double most = 0;
    double mean;

    for (guint i = 0; i < count; i++) {
        sum += values[i];
        squares += values[i] * values[i];
        most = MAX(most, values[i]);
    }
    mean = sum / MAX(count, 1);
    *max = mean > 0 ? most / mean : 0;
    *variation =
        mean > 0 ? sqrt(MAX(squares / count - mean * mean, 0)) / mean : 0;
}

static void
sample_service(Replay *replay, guint service)
{
    ReplaySpread *spread = &replay->spreads[service];
    double loads[REPLAY_MAX_SERVERS];
    double max;
    double variation;
    guint count = 0;

    for (guint i = 0; i < replay->server_count; i++) {
        ReplayServer *server = &replay->servers[i];

        if (server->service == service) {
            loads[count] = (server->running + server->waiting->len) /
                           (double)replay->desc.services[service].slots;
            server->load += loads[count++];
        }
    }
    spread_of(loads, count, &max, &variation);
    spread->now_max += max;
    spread->now_variation += variation;
    spread->samples++;
}

void
_Replay_Sample(Replay *replay, ClockMs now)
{
    ClockMs time = now - REPLAY_START_MS;

    if (time < WARM_UP_MS || time >= replay->desc.length_ms ||
        time % SAMPLE_MS != 0) {
        return;
    }
    for (guint i = 0; i < replay->desc.service_count; i++) {
        sample_service(replay, i);
    }
}

ReplaySpread
Replay_Spread(const Replay *replay, guint service)
{
    ReplaySpread spread = replay->spreads[service];
    double loads[REPLAY_MAX_SERVERS];
    guint samples = MAX(spread.samples, 1);
    guint count = 0;

    for (guint i = 0; i < replay->server_count; i++) {
        const ReplayServer *server = &replay->servers[i];

        if (server->service == service) {
            loads[count] = server->load / samples;
            spread.mean += loads[count++];
        }
    }
    spread.mean /= MAX(count, 1);
    spread_of(loads, count, &spread.max, &spread.variation);
    spread.now_max /= samples;
    spread.now_variation /= samples;
    return spread;
}
