/* FleetWatch: follows the health of all backend servers of a fleet.
 *
 * A thread reads /v1/status of all daemons every 50 ms.
 *
 * Use: FleetWatch_Start() once the fleet is ready, FleetWatch_Stop() before
 * the fleet is destroyed. The other functions may be called in between and
 * tell what was seen since the start or since FleetWatch_Reset().
 *
 * Two daemons are never read at the same moment. A backend server counts as
 * ejected between two rounds of reading when both saw it ejected (an ejection
 * lasts seconds), so those that are counted together were ejected together.
 * More ejections than allowed are not seen if they last less than a round.
 */
#ifndef TESTS_FLEET_WATCH_H
#define TESTS_FLEET_WATCH_H

#include "base/clock.h"
#include "fleet.h"

typedef struct FleetWatch FleetWatch;

typedef struct FleetSeen {
    int ejections;         /* changes to "ejected" */
    ClockMs first_ejected; /* 0 if never */
    ClockMs last_ejected;  /* when it was last seen ejected, 0 if never */
    int trial_weight;      /* first weight above 0 after an ejection, or 0 */
    int steps;             /* weights of 1 to 99 seen on probation */
    int weight;            /* now */
    int slots_in_use;      /* now */
    int waiting;           /* now */
    char state[16];        /* now */
} FleetSeen;

FleetWatch *FleetWatch_Start(Fleet *fleet);
void FleetWatch_Stop(FleetWatch *watch);

/* Forgets what was seen, except the present states. */
void FleetWatch_Reset(FleetWatch *watch);
FleetSeen FleetWatch_Server(FleetWatch *watch, int server);

/* Most backend servers that were ejected at once. */
int FleetWatch_MostEjected(FleetWatch *watch);

/* Rounds in which every daemon answered. */
int FleetWatch_Rounds(FleetWatch *watch);

/* Until all backend servers are healthy with full weight; ends the test when
 * that does not come. */
void FleetWatch_AwaitHealthy(FleetWatch *watch);

#endif
