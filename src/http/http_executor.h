/* HttpExecutor: bounded pool of threads for blocking calls.
 *
 * Use: HttpExecutor_Create(), HttpExecutor_Submit() tasks, at the end
 * HttpExecutor_Destroy(), which runs the queued tasks and joins the threads.
 *
 * Limits: HttpExecutor_Submit() returns FALSE while max_waiting tasks are
 * queued. Threads start on demand, at most max_threads, and run until
 * HttpExecutor_Destroy().
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
