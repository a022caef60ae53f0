/* FullService: whether a request is still offered to owners of a service that
 * its sender knows to be full.
 *
 * Load pattern: more requests arrive than a service can serve. Each request is
 * offered to one owner after the other with a limit of wait that none of them
 * can keep, although their last reports say that all are full; the offers cost
 * processor time and bytes on every host.
 *
 * Once all reports younger than ROSTER_FULL_MS say that their owners are full,
 * and there are enough of them (RosterChoice.full_wait_ms), the request is
 * offered to the best owners with its whole time as the limit of wait, so that
 * it waits there until a slot is free. An owner that refuses this has computed
 * that the request cannot be served by its deadline. After FULL_SERVICE_OFFERS
 * such offers the request is refused at once; the shortest wait among the
 * reports becomes the time of its return.
 *
 * Use: FullService_Decide() after each choice, FullService_WaitLimit() for the
 * limit sent to the owner.
 *
 * Errors and limits: none; pure functions. A request that was not offered is
 * never refused here. Without even_load no service is known to be full.
 */
#ifndef GATEWAY_FULL_SERVICE_H
#define GATEWAY_FULL_SERVICE_H

#include <glib.h>

#include "base/clock.h"
#include "roster/roster.h"

/* Offers with the widest limit of wait. After only one, more of the requests
 * were refused that another owner would have served. */
#define FULL_SERVICE_OFFERS 2

/* Whether the request is offered to the chosen owner; `offers` counts those
 * made while the service was known to be full, and is updated. */
gboolean FullService_Decide(const RosterChoice *choice, unsigned *offers);

/* Limit of wait for the chosen owner; `limit_ms` is that of
 * Placement_Limits().
 */
ClockMs FullService_WaitLimit(const RosterChoice *choice, ClockMs limit_ms,
                              ClockMs left_ms);

#endif
