#include <string.h>

#include "config/ticket.h"

#define MAX_ATTEMPTS 5
#define RETRY_DELAY_US 100000

static char *
object_name(int64_t number)
{
    return g_strdup_printf("ticket/%" G_GINT64_FORMAT, number);
}

/* Rejects a number that would leave a gap: daemons apply tickets in sequence,
 * so a ticket after a gap would never come into force. */
static Result
check_previous(const Ticket *ticket, Store *store, GError **error)
{
    int64_t number = Ticket_GetNumber(ticket);
    StoreObject object;
    char *name;
    Result result;

    if (number == 1) {
        return RESULT_OK;
    }
    name = object_name(number - 1);
    result = Store_Get(store, name, &object, error);
    StoreObject_Clear(&object);
    g_free(name);
    if (result == RESULT_NOT_FOUND) {
        g_clear_error(error);
        Result_SetError(error, RESULT_TICKET_INVALID,
                        "ticket %" G_GINT64_FORMAT
                        " does not exist yet; numbers rise by one, without "
                        "gaps",
                        number - 1);
        return RESULT_TICKET_INVALID;
    }
    return result;
}

/* Compares the object with the ticket's number to the ticket. Returns
 * RESULT_OK if they have the same id. */
static Result
compare_object(const Ticket *ticket, const StoreObject *object, GError **error)
{
    const char *id = json_string_value(json_object_get(object->value, "id"));
    const char *who = json_string_value(json_object_get(object->value, "who"));
    const char *when =
        json_string_value(json_object_get(object->value, "when"));
    gboolean same;

    if (id != NULL && strcmp(id, Ticket_GetId(ticket)) == 0) {
        return RESULT_OK;
    }
    same = json_equal(json_object_get(object->value, "sets"),
                      Ticket_GetSets(ticket));
    Result_SetError(error, RESULT_TICKET_CONFLICT,
                    "ticket %" G_GINT64_FORMAT
                    " was accepted first from %s, who wrote it at %s (id "
                    "%s)%s",
                    Ticket_GetNumber(ticket), who ? who : "?",
                    when ? when : "?", id ? id : "?",
                    same ? "; its changes are the same as yours" : "");
    return RESULT_TICKET_CONFLICT;
}

/* Makes one attempt to create the object; after an uncertain answer, first
 * reads it back. A second create is safe, because the condition on the write
 * lets only one of the writes with this id take effect. */
static Result
try_once(const Ticket *ticket, Store *store, const char *name,
         gboolean read_back, GError **error)
{
    StoreObject object = {0};
    Result result = RESULT_NOT_FOUND;

    if (read_back) {
        result = Store_Get(store, name, &object, error);
        if (result == RESULT_OK) {
            result = compare_object(ticket, &object, error);
            StoreObject_Clear(&object);
            return result;
        }
    }
    if (result == RESULT_NOT_FOUND) {
        g_clear_error(error);
        result =
            Store_Put(store, name, 0, Ticket_GetJson(ticket), &object, error);
    }
    if (result == RESULT_STORE_CONFLICT) {
        g_clear_error(error);
        result = compare_object(ticket, &object, error);
    }
    StoreObject_Clear(&object);
    return result;
}

Result
Ticket_Apply(const Ticket *ticket, Store *store, GError **error)
{
    char *name = object_name(Ticket_GetNumber(ticket));
    GError *last = NULL;
    gboolean uncertain = FALSE;
    Result result = check_previous(ticket, store, &last);

    for (int i = 0; result == RESULT_OK && i < MAX_ATTEMPTS; i++) {
        g_clear_error(&last);
        if (i > 0) {
            g_usleep((gulong)i * RETRY_DELAY_US);
        }
        result = try_once(ticket, store, name, uncertain, &last);
        uncertain |= result == RESULT_STORE_UNCERTAIN;
        if (!uncertain || (result != RESULT_STORE_UNCERTAIN &&
                           result != RESULT_STORE_UNAVAILABLE)) {
            break;
        }
        result = RESULT_OK; /* retry */
        if (i + 1 == MAX_ATTEMPTS) {
            result = RESULT_STORE_UNCERTAIN;
        }
    }
    if (result == RESULT_STORE_UNCERTAIN) {
        g_clear_error(&last);
        Result_SetError(&last, RESULT_STORE_UNCERTAIN,
                        "the store did not confirm ticket %" G_GINT64_FORMAT
                        " (id %s) in %d attempts; it may be accepted",
                        Ticket_GetNumber(ticket), Ticket_GetId(ticket),
                        MAX_ATTEMPTS);
    }
    if (last != NULL) {
        g_propagate_error(error, last);
    }
    g_free(name);
    return result;
}
