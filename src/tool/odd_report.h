/* OddReport: the odd objects of the platform's store in the logs of daemons.
 *
 * Use:
 *  1. OddReport_Create().
 *  2. OddReport_AddLine() for each line, of any number of daemons, in any
 *     order. Lines of other events are ignored.
 *  3. OddReport_Print(), OddReport_Destroy().
 *
 * Read are OBJECT_REJECTED lines, which name an object, and OBJECTS_UNNAMED
 * lines, which count objects without a usable name. A daemon logs each
 * revision of an object once, and nothing when the object is removed: whether
 * one is still there, the store has to tell.
 *
 * Limits: memory in proportion to objects and daemons. Not thread safe.
 */
#ifndef TOOL_ODD_REPORT_H
#define TOOL_ODD_REPORT_H

#include <glib.h>

typedef struct OddReport OddReport;

OddReport *OddReport_Create(void);
void OddReport_Destroy(OddReport *report);

/* Returns FALSE if the line is of another event or malformed. */
gboolean OddReport_AddLine(OddReport *report, const char *line);
void OddReport_Print(const OddReport *report, GString *text);

#endif
