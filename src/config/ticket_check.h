/* TicketCheck: checks the JSON form of tickets and of snapshot parts.
 *
 * Private to config. Continues after a problem, so that all problems are
 * listed at once.
 */
#ifndef CONFIG_TICKET_CHECK_H
#define CONFIG_TICKET_CHECK_H

#include "config/ticket.h"

void _Ticket_AddProblem(GPtrArray *problems, const char *path,
                        const char *format, ...) G_GNUC_PRINTF(3, 4);

/* Checks a whole ticket. Returns TRUE if it is valid. */
gboolean _Ticket_Check(json_t *root, TicketOrigin origin, GPtrArray *problems);

/* Checks the `sets` of a snapshot's part. They may be empty and must not
 * remove anything (no null states). */
gboolean _Ticket_CheckSets(json_t *sets, GPtrArray *problems);

#endif
