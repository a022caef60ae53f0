/* Result: numbered result codes and their use as GError.
 *
 * Use: functions on the request path return a Result. Functions called at
 * start-up or by the tool take a GError ** as the last argument and set it
 * with Result_SetError(); the error's code is a Result.
 *
 * The codes stand in base/result_list.h and are shown in docs/results.md.
 */
#ifndef BASE_RESULT_H
#define BASE_RESULT_H

#include <glib.h>

#include "base/result_list.h"

#define _RESULT_ENUM(name, number, status, text) RESULT_##name = (number),
typedef enum Result { RESULT_LIST(_RESULT_ENUM) } Result;
#undef _RESULT_ENUM

/* Whether a request reached a backend server and ran there. */
typedef enum RunState { RUN_NO, RUN_YES, RUN_UNKNOWN } RunState;

#define RESULT_ERROR (Result_Quark())

GQuark Result_Quark(void);

/* Name without prefix, such as "KEY_MISSING"; "?" for an unknown number. */
const char *Result_Name(Result result);

/* One plain sentence without a full stop. */
const char *Result_Text(Result result);

/* HTTP status that callers get with this result. */
int Result_HttpStatus(Result result);

/* Exit code of the tool: 0 for OK, else 1 to 125, the same for all results of
 * one slice (the number divided by 10). */
int Result_ExitCode(Result result);

/* Finds a result by its number; FALSE if there is none. */
gboolean Result_FromNumber(int number, Result *result);

/* "no", "yes" or "unknown". */
const char *Result_RunName(RunState run);

/* Parses what Result_RunName() returns; anything else is RUN_UNKNOWN. */
RunState Result_RunFromName(const char *name);

/* Sets *error (if error is not NULL) to RESULT_ERROR with the given code and
 * message. Always returns FALSE, so that callers can return it. */
gboolean Result_SetError(GError **error, Result result, const char *format,
                         ...) G_GNUC_PRINTF(3, 4);

/* Calls the callback for each code in the order of the list. */
void Result_ForEach(void (*callback)(void *context, Result result,
                                     const char *name, int http_status,
                                     const char *text),
                    void *context);

#endif
