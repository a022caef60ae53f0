#include "gateway/full_service.h"

gboolean
FullService_Decide(const RosterChoice *choice, unsigned *offers)
{
    if (choice->full_wait_ms == 0) {
        return TRUE;
    }
    if (*offers >= FULL_SERVICE_OFFERS) {
        return FALSE;
    }
    (*offers)++;
    return TRUE;
}

ClockMs
FullService_WaitLimit(const RosterChoice *choice, ClockMs limit_ms,
                      ClockMs left_ms)
{
    return choice->full_wait_ms > 0 ? MAX(limit_ms, left_ms) : limit_ms;
}
