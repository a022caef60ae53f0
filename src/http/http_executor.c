#include "http/http_executor.h"

#include <pthread.h>
#include <urcu.h>

typedef struct Task {
    HttpTask run;
    void *context;
} Task;

struct HttpExecutor {
    pthread_mutex_t lock;
    pthread_cond_t wake;
    Task *queue; /* ring of max_waiting tasks */
    unsigned max_waiting;
    unsigned first;
    unsigned waiting;
    pthread_t *threads;
    unsigned max_threads;
    unsigned started;
    unsigned idle;
    gboolean stopping;
};

HttpExecutor *
HttpExecutor_Create(unsigned max_threads, unsigned max_waiting)
{
    HttpExecutor *executor = g_new0(HttpExecutor, 1);

    pthread_mutex_init(&executor->lock, NULL);
    pthread_cond_init(&executor->wake, NULL);
    executor->queue = g_new0(Task, max_waiting);
    executor->max_waiting = max_waiting;
    executor->threads = g_new0(pthread_t, max_threads);
    executor->max_threads = max_threads;
    return executor;
}

/* Waits for a task; FALSE if the executor stops and the queue is empty. */
static gboolean
take_task(HttpExecutor *executor, Task *task)
{
    gboolean found = FALSE;

    pthread_mutex_lock(&executor->lock);
    executor->idle++;
    while (executor->waiting == 0 && !executor->stopping) {
        pthread_cond_wait(&executor->wake, &executor->lock);
    }
    executor->idle--;
    if (executor->waiting > 0) {
        *task = executor->queue[executor->first];
        executor->first = (executor->first + 1) % executor->max_waiting;
        executor->waiting--;
        found = TRUE;
    }
    pthread_mutex_unlock(&executor->lock);
    return found;
}

static void *
run_tasks(void *context)
{
    Task task;

    rcu_register_thread();
    while (take_task(context, &task)) {
        task.run(task.context);
    }
    rcu_unregister_thread();
    return NULL;
}

gboolean
HttpExecutor_Submit(HttpExecutor *executor, HttpTask task, void *context)
{
    gboolean accepted = FALSE;
    unsigned last;

    pthread_mutex_lock(&executor->lock);
    if (executor->waiting < executor->max_waiting && !executor->stopping) {
        last = (executor->first + executor->waiting) % executor->max_waiting;
        executor->queue[last] = (Task){.run = task, .context = context};
        executor->waiting++;
        accepted = TRUE;
        if (executor->idle < executor->waiting &&
            executor->started < executor->max_threads &&
            pthread_create(&executor->threads[executor->started], NULL,
                           run_tasks, executor) == 0) {
            executor->started++;
        }
        pthread_cond_signal(&executor->wake);
    }
    pthread_mutex_unlock(&executor->lock);
    return accepted;
}

void
HttpExecutor_Destroy(HttpExecutor *executor)
{
    if (executor == NULL) {
        return;
    }
    pthread_mutex_lock(&executor->lock);
    executor->stopping = TRUE;
    pthread_cond_broadcast(&executor->wake);
    pthread_mutex_unlock(&executor->lock);
    for (unsigned i = 0; i < executor->started; i++) {
        pthread_join(executor->threads[i], NULL);
    }
    pthread_cond_destroy(&executor->wake);
    pthread_mutex_destroy(&executor->lock);
    g_free(executor->threads);
    g_free(executor->queue);
    g_free(executor);
}
