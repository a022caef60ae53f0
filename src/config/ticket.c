#include "config/ticket.h"

#include <stdarg.h>
#include <string.h>

#include "config/ticket_check.h"

struct Ticket {
    json_t *root;
    int64_t number;
    const char *id;
    const char *who;
    const char *when;
    const char *why;
    json_t *sets;
};

static void
free_problem(void *pointer)
{
    TicketProblem *problem = pointer;

    g_free(problem->path);
    g_free(problem->expected);
    g_free(problem);
}

GPtrArray *
Ticket_CreateProblems(void)
{
    return g_ptr_array_new_with_free_func(free_problem);
}

char *
Ticket_FormatProblems(const GPtrArray *problems)
{
    GString *out = g_string_new(NULL);

    for (guint i = 0; i < problems->len; i++) {
        const TicketProblem *problem = g_ptr_array_index(problems, i);

        g_string_append_printf(out, "%s: expected %s\n", problem->path,
                               problem->expected);
    }
    return g_string_free(out, FALSE);
}

void
_Ticket_AddProblem(GPtrArray *problems, const char *path, const char *format,
                   ...)
{
    TicketProblem *problem;
    va_list arguments;

    if (problems->len >= TICKET_MAX_PROBLEMS) {
        return;
    }
    problem = g_new(TicketProblem, 1);
    problem->path = g_strdup(path);
    va_start(arguments, format);
    problem->expected = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_ptr_array_add(problems, problem);
}

Ticket *
Ticket_Parse(const char *text, size_t length, TicketOrigin origin,
             GPtrArray *problems)
{
    json_error_t error;
    json_t *root;
    Ticket *ticket;

    if (length > TICKET_MAX_BYTES) {
        _Ticket_AddProblem(problems, "$",
                           "at most %d bytes of JSON, found %zu",
                           TICKET_MAX_BYTES, length);
        return NULL;
    }
    root = json_loadb(text, length, JSON_REJECT_DUPLICATES, &error);
    if (root == NULL) {
        _Ticket_AddProblem(problems, "$", "valid JSON; line %d, column %d: %s",
                           error.line, error.column, error.text);
        return NULL;
    }
    ticket = Ticket_FromJson(root, origin, problems);
    json_decref(root);
    return ticket;
}

Ticket *
Ticket_FromJson(json_t *value, TicketOrigin origin, GPtrArray *problems)
{
    guint before = problems->len;
    Ticket *ticket;
    char *id;

    if (!_Ticket_Check(value, origin, problems)) {
        /* Problems beyond the limit are not added. */
        if (problems->len == before && before < TICKET_MAX_PROBLEMS) {
            _Ticket_AddProblem(problems, "$", "a valid ticket");
        }
        return NULL;
    }
    ticket = g_new0(Ticket, 1);
    if (json_object_get(value, "id") == NULL) {
        ticket->root = json_copy(value);
        id = g_uuid_string_random();
        json_object_set_new(ticket->root, "id", json_string(id));
        g_free(id);
    }
    else {
        ticket->root = json_incref(value);
    }
    value = ticket->root;
    ticket->number = json_integer_value(json_object_get(value, "ticket"));
    ticket->id = json_string_value(json_object_get(value, "id"));
    ticket->who = json_string_value(json_object_get(value, "who"));
    ticket->when = json_string_value(json_object_get(value, "when"));
    ticket->why = json_string_value(json_object_get(value, "why"));
    ticket->sets = json_object_get(value, "sets");
    return ticket;
}

void
Ticket_Free(Ticket *ticket)
{
    if (ticket != NULL) {
        json_decref(ticket->root);
        g_free(ticket);
    }
}

int64_t
Ticket_GetNumber(const Ticket *ticket)
{
    return ticket->number;
}

const char *
Ticket_GetId(const Ticket *ticket)
{
    return ticket->id;
}

const char *
Ticket_GetWho(const Ticket *ticket)
{
    return ticket->who;
}

const char *
Ticket_GetWhen(const Ticket *ticket)
{
    return ticket->when;
}

const char *
Ticket_GetWhy(const Ticket *ticket)
{
    return ticket->why;
}

json_t *
Ticket_GetJson(const Ticket *ticket)
{
    return ticket->root;
}

json_t *
Ticket_GetSets(const Ticket *ticket)
{
    return ticket->sets;
}
