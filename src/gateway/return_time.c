#include "gateway/return_time.h"

/* Callers wait for this share of the time that they have left at most. */
#define MAX_LEFT_SHARE (1.0 / 3)

/* Shortest time after which a request is sent again. */
#define MIN_RETURN_MS 100

/* Time after which a host that is left out is tried again, and after which a
 * configuration is expected if there is none. */
#define HOST_RETURN_MS 300
#define CONFIG_RETURN_MS 1000

/* Time after which a host that refuses because it stops has started again: the
 * rest of its running requests, and the start. */
#define RESTART_RETURN_MS 1500

/* Requests of a team beyond its rate return in the order of their arrival
 * after this many token intervals. */
#define TOKEN_INTERVALS 10

/* Random addition, as a share of the time; grows with the priority's number up
 * to MAX_SPREAD. */
#define SPREAD_STEP 0.25
#define MAX_SPREAD 1.0

static ClockMs
base_time(const ReturnInput *input)
{
    switch (input->result) {
    case RESULT_RATE_EXCEEDED:
        return MAX(TOKEN_INTERVALS * input->token_ms, MIN_RETURN_MS);
    case RESULT_SHUTTING_DOWN:
        return RESTART_RETURN_MS;
    case RESULT_HOME_REGIONS_AWAY:
        return input->away_ms > 0 ? MAX(input->away_ms, MIN_RETURN_MS)
                                  : CONFIG_RETURN_MS;
    case RESULT_ISOLATED:
    case RESULT_NOT_CONFIGURED:
        return CONFIG_RETURN_MS;
    default:
        return input->backlog_ms > 0 ? MAX(input->backlog_ms, MIN_RETURN_MS)
                                     : HOST_RETURN_MS;
    }
}

ClockMs
ReturnTime_Backlog(const RosterReport *report)
{
    double queue = (double)report->in_flight + report->waiting + 1;

    ClockMs slot_ms = (ClockMs)(MAX(queue - report->slots, 1) *
                                (double)report->service_ms / report->slots);

    return MAX(slot_ms, report->cold_wait_ms);
}

ClockMs
ReturnTime_Compute(const ReturnInput *input, double unit)
{
    double spread =
        MIN(SPREAD_STEP * (1 + MAX(input->priority, 0)), MAX_SPREAD);
    double base = (double)base_time(input);
    double limit = MAX_LEFT_SHARE * (double)input->left_ms;

    if (input->result == RESULT_HOME_REGIONS_AWAY && limit >= MIN_RETURN_MS) {
        /* A ping may reach the host before it is tried again. */
        base = MIN(base, limit);
    }
    if (base > limit) {
        return RETURN_TIME_NONE;
    }
    return (ClockMs)MIN(base * (1 + spread * unit), limit);
}
