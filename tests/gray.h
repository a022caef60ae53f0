/* Gray: fixture for tests of gray failures: 3 daemons with 12 backend servers
 * of one service, and a caller that sends 20 requests/s for each backend
 * server. All cold starts have ended.
 *
 * Use: Gray_Start(), then the faults of the test, then Gray_Stop(), which
 * checks that the caller received no wrong answer.
 */
#ifndef TESTS_GRAY_H
#define TESTS_GRAY_H

#include "fleet.h"
#include "fleet_watch.h"

#define GRAY_SERVERS 12
/* Maximum number of ejections at the same time: 12 x (100 - 50) / 100, with
 * the floor of 50% that Fleet_ApplyDefault() sets. */
#define GRAY_PERMITS 6

typedef struct Gray {
    Fleet *fleet;
    FleetWatch *watch;
    FleetProcess *caller;
} Gray;

void Gray_Start(Gray *gray);
void Gray_Stop(Gray *gray);

/* Returns the ejections of all backend servers since the watch was reset. */
int Gray_Ejections(const Gray *gray);

/* Injects a fault into one backend server for 3.5 s. Returns the number of
 * requests that it received later than 2 s after the start of the fault, the
 * target time for the end of new work. All requests count, also those of
 * probation. */
int Gray_CountLateRequests(const Gray *gray, int server, const char *name,
                           const char *faults);

/* Checks that the watch has polled often enough in the `ms` since it was reset
 * to observe every ejection. */
void Gray_CheckRounds(const Gray *gray, int ms);

#endif
