/* HttpExecutor: bounded pool of threads for blocking calls.
 *
 * Use: HttpExecutor_Create(), HttpExecutor_Submit() tasks, at the end
 * HttpExecutor_Destroy(), which runs the tasks that still wait and joins.
 *
 * Limits: a submit fails when as many tasks wait as the queue holds. Threads
 * start on demand up to the limit and stay.
 */
#ifndef HTTP_HTTP_EXECUTOR_H
#define HTTP_HTTP_EXECUTOR_H

#include <glib.h>

typedef struct HttpExecutor HttpExecutor;
typedef void (*HttpTask)(void *context);

HttpExecutor *HttpExecutor_Create(unsigned max_threads, unsigned max_waiting);
gboolean HttpExecutor_Submit(HttpExecutor *executor, HttpTask task,
                             void *context);
void HttpExecutor_Destroy(HttpExecutor *executor);

#endif
