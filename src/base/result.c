#include "base/result.h"

#include <string.h>

typedef struct ResultRow {
    Result result;
    const char *name;
    int http_status;
    const char *text;
} ResultRow;

#define RESULT_ROW(name, number, status, text) \
    {RESULT_##name, #name, status, text},
static const ResultRow rows[] = {RESULT_LIST(RESULT_ROW)};
#undef RESULT_ROW

static const ResultRow *
find_row(int number)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if ((int)rows[i].result == number) {
            return &rows[i];
        }
    }
    return NULL;
}

GQuark
Result_Quark(void)
{
    return g_quark_from_static_string("radishknot-result");
}

const char *
Result_Name(Result result)
{
    const ResultRow *row = find_row((int)result);

    return row ? row->name : "?";
}

const char *
Result_Text(Result result)
{
    const ResultRow *row = find_row((int)result);

    return row ? row->text : "unknown result";
}

int
Result_HttpStatus(Result result)
{
    const ResultRow *row = find_row((int)result);

    return row ? row->http_status : 500;
}

int
Result_ExitCode(Result result)
{
    int code;

    if (result == RESULT_OK) {
        return 0;
    }
    code = (int)result / 10;
    return code > 0 ? code : 1;
}

gboolean
Result_FromNumber(int number, Result *result)
{
    const ResultRow *row = find_row(number);

    if (row == NULL) {
        return FALSE;
    }
    *result = row->result;
    return TRUE;
}

const char *
Result_RunName(RunState run)
{
    switch (run) {
    case RUN_NO:
        return "no";
    case RUN_YES:
        return "yes";
    default:
        return "unknown";
    }
}

RunState
Result_RunFromName(const char *name)
{
    if (name != NULL && strcmp(name, "no") == 0) {
        return RUN_NO;
    }
    if (name != NULL && strcmp(name, "yes") == 0) {
        return RUN_YES;
    }
    return RUN_UNKNOWN;
}

gboolean
Result_SetError(GError **error, Result result, const char *format, ...)
{
    va_list arguments;

    if (error != NULL) {
        va_start(arguments, format);
        *error =
            g_error_new_valist(RESULT_ERROR, (int)result, format, arguments);
        va_end(arguments);
    }
    return FALSE;
}

void
Result_ForEach(void (*callback)(void *context, Result result, const char *name,
                                int http_status, const char *text),
               void *context)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        callback(context, rows[i].result, rows[i].name, rows[i].http_status,
                 rows[i].text);
    }
}
