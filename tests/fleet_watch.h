/* FleetWatch: records the health of all backend servers of a fleet.
 *
 * A thread polls /v1/status of all daemons, with a pause of 50 ms between two
 * rounds.
 *
 * Use: FleetWatch_Start() when the fleet is ready, FleetWatch_Stop() before
 * the fleet is destroyed. The other functions may be called in between; they
 * report what was observed since the start or the last FleetWatch_Reset().
 *
 * A round reads the daemons one after the other, not at the same time. A
 * backend server is therefore counted as ejected only if it was ejected in two
 * consecutive rounds (an ejection lasts seconds); all backend servers that are
 * counted in one round were ejected at the same time. An excess of ejections
 * that lasts less than a round is not detected.
 */
#ifndef TESTS_FLEET_WATCH_H
#define TESTS_FLEET_WATCH_H

#include "base/clock.h"
#include "fleet.h"

typedef struct FleetWatch FleetWatch;

typedef struct FleetServerHealth {
    int ejections;         /* number of changes to state "ejected" */
    ClockMs first_ejected; /* time of the first ejection, 0 if none */
    ClockMs last_ejected;  /* last time at which it was ejected, 0 if never */
    int probation_weight;  /* first weight above 0 on probation, or 0 */
    int probation_steps;   /* number of weights of 1 to 99 on probation */
    int weight;            /* current weight, percent */
    int slots_in_use;      /* current number */
    int waiting;           /* current number of queued requests */
    char state[16];        /* current state */
} FleetServerHealth;

FleetWatch *FleetWatch_Start(Fleet *fleet);
void FleetWatch_Stop(FleetWatch *watch);

/* Clears all observations except the current states. */
void FleetWatch_Reset(FleetWatch *watch);
FleetServerHealth FleetWatch_Server(FleetWatch *watch, int server);

/* Returns the maximum number of backend servers ejected at the same time. */
int FleetWatch_MaxEjected(FleetWatch *watch);

/* Returns the number of rounds in which every daemon answered. */
int FleetWatch_Rounds(FleetWatch *watch);

/* Waits until all backend servers are healthy with full weight. Aborts the
 * test after 45 s. */
void FleetWatch_AwaitHealthy(FleetWatch *watch);

#endif
