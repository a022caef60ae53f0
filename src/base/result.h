/* Result: numbered result codes and their use as GError.
 *
 * Use: functions on the request path return a Result. Functions called at
 * start-up or by the tool take a GError ** as the last argument and set it
 * with Result_SetError(); the error's code is a Result.
 *
 * The codes are listed in base/result_list.h and in docs/results.md.
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

/* Returns the name without prefix, such as "KEY_MISSING"; "?" for an unknown
 * number. */
const char *Result_Name(Result result);

/* Returns a short description without a full stop. */
const char *Result_Text(Result result);

/* Returns the HTTP status of an answer with this result. */
int Result_HttpStatus(Result result);

/* Returns the exit code of the tool: 0 for OK, else the result's number
 * divided by 10, at least 1 and at most 125. Related results share a code. */
int Result_ExitCode(Result result);

/* Finds a result by its number. Returns FALSE if there is none. */
gboolean Result_FromNumber(int number, Result *result);

/* Returns "no", "yes" or "unknown". */
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
