/* LoadReport: what became of the requests in the logs of daemons, for each
 * service and second.
 *
 * Use:
 *  1. LoadReport_Create().
 *  2. LoadReport_AddLine() for each line, of any number of daemons, in any
 *     order. Lines of other events are ignored.
 *  3. LoadReport_Print(), LoadReport_Destroy().
 *
 * Read are REQUEST_ENDED lines for requests, calls (requests without a team)
 * and attempts, and CALL_RUN lines for the queues of owners. Lines that the
 * daemon dropped are missing here, too (radishknot_log_suppressed_total).
 *
 * Limits: memory in proportion to services, seconds and kinds of result. Not
 * thread safe.
 */
#ifndef TOOL_LOAD_REPORT_H
#define TOOL_LOAD_REPORT_H

#include <glib.h>

typedef struct LoadReport LoadReport;

LoadReport *LoadReport_Create(void);
void LoadReport_Destroy(LoadReport *report);

/* Returns FALSE if the line is of another event or malformed. */
gboolean LoadReport_AddLine(LoadReport *report, const char *line);
void LoadReport_Print(const LoadReport *report, GString *text);

#endif
