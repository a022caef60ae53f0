#include "roster/exploration.h"

/* Idle time after which a backend server is explored: in this data centre, and
 * in the other ones of the region. */
#define NEAR_IDLE_MS 1000
#define REGION_IDLE_MS 1500

/* Idle time after which the owner takes a request that does not explore. */
#define OWNER_IDLE_MS 1500

gboolean
Exploration_MayBegin(gboolean can_retry, unsigned attempts,
                     gboolean has_explored)
{
    return can_retry && attempts == 0 && !has_explored;
}

ClockMs
Exploration_IdleMs(const ExplorationInput *input)
{
    ClockMs limit =
        input->tier == ROSTER_SAME_REGION ? REGION_IDLE_MS : NEAR_IDLE_MS;

    if (!input->may_retry) {
        return 0;
    }
    if (input->is_new || (input->tier <= ROSTER_SAME_REGION &&
                          input->has_report && input->idle_ms > limit)) {
        return limit;
    }
    return 0;
}

gboolean
Exploration_IsAllowed(ClockMs wanted_ms, ClockMs idle_ms,
                      gboolean is_idempotent)
{
    return (wanted_ms > 0 && idle_ms >= wanted_ms) ||
           (is_idempotent && idle_ms >= OWNER_IDLE_MS);
}
