/* Helpers of the config tests: create tickets from short JSON texts. */
#ifndef CONFIG_TEST_SUPPORT_H
#define CONFIG_TEST_SUPPORT_H

#include <glib.h>
#include <string.h>

#include "config/ticket.h"

/* Creates a first GError, so that GLib allocates the lock of its error
 * domains. GLib is not instrumented, so the thread sanitizer would report a
 * race if two threads caused the allocation at the same time. */
static inline void
init_error_domains(void)
{
    GError *error = NULL;

    Result_SetError(&error, RESULT_INTERNAL, "first error");
    g_clear_error(&error);
}

/* Returns a ticket with the given sets; single quotes stand for double
 * quotes. */
static inline Ticket *
make_ticket(int64_t number, const char *who, const char *sets)
{
    char *text = g_strdup_printf("{'ticket':%" G_GINT64_FORMAT ",'who':'%s',"
                                 "'when':'2026-01-31T12:00:00Z','why':'test',"
                                 "'sets':%s}",
                                 number, who, sets);
    GPtrArray *problems = Ticket_CreateProblems();
    Ticket *ticket;
    char *list;

    g_strdelimit(text, "'", '"');
    ticket = Ticket_Parse(text, strlen(text), TICKET_FROM_OPERATOR, problems);
    if (ticket == NULL) {
        list = Ticket_FormatProblems(problems);
        g_error("%s: %s", text, list);
    }
    g_ptr_array_unref(problems);
    g_free(text);
    return ticket;
}

/* Applies a ticket with the next number. */
static inline Result
apply_sets(Config *config, const char *sets)
{
    Ticket *ticket = make_ticket(Config_PeekVersion(config) + 1, "ana", sets);
    gboolean applied;
    Result result = Config_ApplyTicket(config, ticket, &applied, NULL);

    g_assert_true(applied);
    Ticket_Free(ticket);
    return result;
}

/* Returns the hash of the key "key-<number>", as hex. */
static inline const char *
key_hex(int number, char hex[65])
{
    char key[32];
    ConfigKeyHash hash;

    g_snprintf(key, sizeof(key), "key-%d", number);
    Config_HashKey(key, strlen(key), &hash);
    Config_HashToHex(&hash, hex);
    return hex;
}

#endif
