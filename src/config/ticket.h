/* Ticket: numbered tickets, each with a change of the configuration (design
 * page, section 3.3).
 *
 * Use by the operators' tool:
 *  1. Ticket_Parse() with TICKET_FROM_OPERATOR; if NULL, show the problems.
 *  2. Ticket_CheckReferences() and Ticket_Diff() against the table in force.
 *  3. Ticket_Apply() writes `ticket/<n>` into the store.
 * Daemons parse with TICKET_FROM_STORE and pass the ticket to
 * Config_ApplyTicket().
 *
 * Errors: Ticket_Parse() lists all problems at once. Ticket_Apply() returns
 * RESULT_TICKET_CONFLICT when another ticket has the number,
 * RESULT_TICKET_INVALID when the number is not the next one, and the store's
 * errors. After RESULT_STORE_UNCERTAIN the same Ticket may be applied again;
 * its id identifies it in the store.
 *
 * Limits: the TICKET_MAX_* constants. Unknown fields are refused.
 */
#ifndef CONFIG_TICKET_H
#define CONFIG_TICKET_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "base/result.h"
#include "config/config.h"
#include "store/store.h"

/* Below the store's limit, so that a peer can add its own fields to the
 * text. */
#define TICKET_MAX_BYTES 900000
#define TICKET_MAX_NUMBER INT64_C(1000000000000)
#define TICKET_MAX_NAME 100    /* bytes of a service, team or pool name */
#define TICKET_MAX_PATH 500    /* bytes of a route's path */
#define TICKET_MAX_SEGMENTS 16 /* number of '/' in a route's path */
#define TICKET_MAX_TEXT 500    /* bytes each of who, when and why */
#define TICKET_MAX_KEYS 64     /* keys per team */
#define TICKET_MAX_TEAMS 200   /* teams per route */
#define TICKET_MAX_SPLITS CONFIG_MAX_SPLITS
#define TICKET_MAX_RATE 4000000 /* tokens per second, in steps of 0.001 */
#define TICKET_MAX_PROBLEMS 100 /* problems listed per ticket */

typedef enum TicketOrigin {
    TICKET_FROM_OPERATOR, /* id may be missing and is generated */
    TICKET_FROM_STORE     /* id is required */
} TicketOrigin;

typedef struct Ticket Ticket;

typedef struct TicketProblem {
    char *path;     /* JSON path such as $.sets.teams["a"].burst */
    char *expected; /* the expected form */
} TicketProblem;

/* Returns a GPtrArray of TicketProblem that frees its elements. */
GPtrArray *Ticket_CreateProblems(void);

/* Formats one line "path: expected ..." for each problem. Free with
 * g_free(). */
char *Ticket_FormatProblems(const GPtrArray *problems);

/* Parses and checks a ticket. Returns NULL with at least one problem added if
 * it is invalid. */
Ticket *Ticket_Parse(const char *text, size_t length, TicketOrigin origin,
                     GPtrArray *problems);

/* As Ticket_Parse(), from a JSON value, to which it adds a reference. */
Ticket *Ticket_FromJson(json_t *value, TicketOrigin origin,
                        GPtrArray *problems);

void Ticket_Free(Ticket *ticket);

int64_t Ticket_GetNumber(const Ticket *ticket);
const char *Ticket_GetId(const Ticket *ticket);
const char *Ticket_GetWho(const Ticket *ticket);
const char *Ticket_GetWhen(const Ticket *ticket);
const char *Ticket_GetWhy(const Ticket *ticket);

/* Return the whole ticket and its `sets`, both owned by the ticket. */
json_t *Ticket_GetJson(const Ticket *ticket);
json_t *Ticket_GetSets(const Ticket *ticket);

/* Adds a problem for each key that belongs to another team, and for each route
 * whose service or team exists neither in the table nor in the ticket, or
 * whose service or team the ticket removes. Returns TRUE if it added none.
 * Call between Config_ReadLock() and Config_ReadUnlock(). */
gboolean Ticket_CheckReferences(const Ticket *ticket, const ConfigTable *table,
                                GPtrArray *problems);

/* Returns the changes that the ticket makes to the table, one line for each
 * changed field, or "no change". Call between Config_ReadLock() and
 * Config_ReadUnlock(). Free with g_free(). */
char *Ticket_Diff(const Ticket *ticket, const ConfigTable *table);

/* Creates `ticket/<n>` in the store if ticket n-1 exists and n does not. After
 * an uncertain answer reads the object back and retries; makes at most 5
 * attempts. */
Result Ticket_Apply(const Ticket *ticket, Store *store, GError **error);

#endif
