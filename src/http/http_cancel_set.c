#include "http/http_cancel_set.h"

#include <pthread.h>

struct HttpCancelSet {
    pthread_mutex_t lock;
    GPtrArray *cancels; /* HttpCancel */
    gboolean triggered;
};

HttpCancelSet *
HttpCancelSet_Create(void)
{
    HttpCancelSet *set = g_new0(HttpCancelSet, 1);

    pthread_mutex_init(&set->lock, NULL);
    set->cancels = g_ptr_array_new();
    return set;
}

void
HttpCancelSet_Destroy(HttpCancelSet *set)
{
    if (set != NULL) {
        g_ptr_array_unref(set->cancels);
        pthread_mutex_destroy(&set->lock);
        g_free(set);
    }
}

HttpCancel *
HttpCancelSet_Begin(HttpCancelSet *set)
{
    HttpCancel *cancel = HttpCancel_Create();

    pthread_mutex_lock(&set->lock);
    g_ptr_array_add(set->cancels, cancel);
    if (set->triggered) {
        HttpCancel_Trigger(cancel);
    }
    pthread_mutex_unlock(&set->lock);
    return cancel;
}

void
HttpCancelSet_End(HttpCancelSet *set, HttpCancel *cancel)
{
    pthread_mutex_lock(&set->lock);
    g_ptr_array_remove_fast(set->cancels, cancel);
    pthread_mutex_unlock(&set->lock);
    HttpCancel_Destroy(cancel);
}

void
HttpCancelSet_TriggerAll(HttpCancelSet *set)
{
    pthread_mutex_lock(&set->lock);
    set->triggered = TRUE;
    for (guint i = 0; i < set->cancels->len; i++) {
        HttpCancel_Trigger(g_ptr_array_index(set->cancels, i));
    }
    pthread_mutex_unlock(&set->lock);
}

gboolean
HttpCancelSet_IsTriggered(HttpCancelSet *set)
{
    gboolean triggered;

    pthread_mutex_lock(&set->lock);
    triggered = set->triggered;
    pthread_mutex_unlock(&set->lock);
    return triggered;
}
