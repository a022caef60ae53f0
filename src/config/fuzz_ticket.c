/* Fuzz target of the ticket decoder, for libFuzzer; `make fuzz` runs it.
 *
 * Guards against texts that crash the decoder or the tables, and against
 * accepted tickets that produce a table that cannot be written as a valid
 * snapshot.
 */
#include <stdlib.h>
#include <urcu.h>

#include "config/config_table.h"
#include "config/ticket_check.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static Config *
get_config(void)
{
    static Config *config;

    if (config == NULL) {
        rcu_register_thread();
        config = Config_Create();
    }
    return config;
}

/* Applies the ticket to a draft, then dumps the draft as a snapshot and
 * applies the snapshot to it. */
static void
check_draft(const Ticket *ticket)
{
    GPtrArray *problems = Ticket_CreateProblems();
    ConfigDraft draft;
    GString *text;
    json_t *sets;

    _Config_BeginDraft(get_config(), &draft);
    if (_Config_ApplySets(&draft, Ticket_GetSets(ticket), NULL) == RESULT_OK) {
        text = _Config_DumpPart(draft.table, 0, 1);
        sets = json_loadb(text->str, text->len, JSON_REJECT_DUPLICATES, NULL);
        if (sets == NULL || !_Ticket_CheckSets(sets, problems) ||
            _Config_ApplyPart(&draft, sets, 0, 1, NULL) != RESULT_OK) {
            abort();
        }
        json_decref(sets);
        g_string_free(text, TRUE);
    }
    _Config_AbortDraft(&draft);
    g_ptr_array_unref(problems);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GPtrArray *problems = Ticket_CreateProblems();
    Ticket *ticket =
        Ticket_Parse((const char *)data, size, TICKET_FROM_OPERATOR, problems);
    const ConfigTable *table;

    if ((ticket == NULL) != (problems->len > 0)) {
        abort();
    }
    if (ticket != NULL) {
        table = Config_ReadLock(get_config());
        Ticket_CheckReferences(ticket, table, problems);
        g_free(Ticket_Diff(ticket, table));
        Config_ReadUnlock(get_config());
        check_draft(ticket);
    }
    g_free(Ticket_FormatProblems(problems));
    Ticket_Free(ticket);
    g_ptr_array_unref(problems);
    return 0;
}
