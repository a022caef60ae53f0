#include "stop/stop_plan.h"

/* Time from the start of a stop until the platform routes no more callers to
 * this host: it polls readiness once a second and needs two consecutive
 * answers that are not ready. */
#define READY_LAG_MS 2300

/* Largest share of the grace period in which requests are taken. */
#define MAX_TAKE_SHARE 2

/* Time before the end of the grace period at which pending requests get their
 * final answer, and at which the process ends. The former is at most a sixth
 * of the grace period: until then a running request is not cut. */
#define ABANDON_MARGIN_MS 800
#define MAX_ABANDON_SHARE 6
#define STOP_MARGIN_MS 400

StopPlan
StopPlan_None(void)
{
    return (StopPlan){.begin = CLOCK_NEVER,
                      .take_until = CLOCK_NEVER,
                      .abandon = CLOCK_NEVER,
                      .end = CLOCK_NEVER};
}

StopPlan
StopPlan_Make(ClockMs begin, ClockMs grace_ms)
{
    ClockMs margin = MIN(ABANDON_MARGIN_MS, grace_ms / MAX_ABANDON_SHARE);

    return (StopPlan){
        .begin = begin,
        .take_until = begin + MIN(READY_LAG_MS, grace_ms / MAX_TAKE_SHARE),
        .abandon = begin + grace_ms - margin,
        .end = begin + grace_ms - MIN(STOP_MARGIN_MS, margin / 2)};
}

gboolean
StopPlan_Takes(const StopPlan *plan, ClockMs deadline, ClockMs now)
{
    return now <= plan->take_until || deadline <= plan->abandon;
}

gboolean
StopPlan_TakesRun(const StopPlan *plan, ClockMs deadline, ClockMs expected_ms,
                  ClockMs now)
{
    return deadline <= plan->abandon || expected_ms <= plan->abandon - now;
}

gboolean
StopPlan_LeavesTime(ClockMs end, ClockMs deadline, ClockMs allowance_ms,
                    ClockMs now)
{
    return MIN(deadline - now, allowance_ms) <= end - now;
}
