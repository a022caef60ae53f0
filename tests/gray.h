/* Gray: 3 daemons with 12 backend servers of one service and a caller that
 * sends 20 requests/s for each of them; all have ended their cold starts.
 *
 * Use: Gray_Start(), the faults of the test, Gray_Stop(), which checks that no
 * caller got a wrong answer.
 */
#ifndef TESTS_GRAY_H
#define TESTS_GRAY_H

#include "fleet.h"
#include "fleet_watch.h"

#define GRAY_SERVERS 12
/* 12 x (100 - 50) / 100, from the floor in Fleet_ApplyDefault(). */
#define GRAY_PERMITS 6

typedef struct Gray {
    Fleet *fleet;
    FleetWatch *watch;
    FleetProcess *caller;
} Gray;

void Gray_Start(Gray *gray);
void Gray_Stop(Gray *gray);

/* Ejections of all backend servers since the watch was reset. */
int Gray_Ejections(const Gray *gray);

/* Gives one backend server a fault for 3.5 s; returns the requests that it
 * received later than 2 s after the fault began, which is the target for new
 * work. All count, those of probation too. */
int Gray_CountLate(const Gray *gray, int server, const char *name,
                   const char *faults);

/* Checks that the watch looked often enough, in the time since it was reset,
 * to see every ejection. */
void Gray_CheckRounds(const Gray *gray, int ms);

#endif
