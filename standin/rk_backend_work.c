/* rk-backend: slots, faults, executions and received texts. */
#include <math.h>
#include <poll.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/condition.h"
#include "rk_backend.h"

/* libmicrohttpd does not watch a suspended connection, so suspended
 * connections are polled at this interval for a disconnected sender. */
#define DISCONNECT_POLL_US 10000

void
Work_Init(Backend *backend)
{
    Condition_Init(&backend->changed);
    pthread_mutex_init(&backend->lock, NULL);
    Rng_Seed(&backend->rng, backend->seed);
    g_snprintf(backend->session, sizeof(backend->session),
               "%016" G_GINT64_MODIFIER "x", Rng_ProcessSeed());
    backend->faults.slow_factor = 1.0;
    backend->state = "ready";
    g_queue_init(&backend->waiting);
    backend->running = g_ptr_array_new();
    backend->tokens =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    backend->requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    backend->nonces =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    backend->seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static int64_t
monotonic_us(void)
{
    return g_get_monotonic_time();
}

static void
count_text(GHashTable *table, const char *text)
{
    gsize count;

    if (text == NULL) {
        return;
    }
    count = GPOINTER_TO_SIZE(g_hash_table_lookup(table, text));
    g_hash_table_insert(table, g_strdup(text), GSIZE_TO_POINTER(count + 1));
}

/* Log-normal service time with mean service_ms * slow_factor; constant if
 * sigma is 0. */
static int64_t
service_us(Backend *backend)
{
    double mean_us =
        backend->service_ms * 1000.0 * backend->faults.slow_factor;
    double z;

    if (backend->sigma <= 0) {
        return (int64_t)mean_us;
    }
    z = sqrt(-2.0 * log(1.0 - Rng_Unit(&backend->rng))) *
        cos(2.0 * G_PI * Rng_Unit(&backend->rng));
    return (int64_t)(mean_us * exp(backend->sigma * z -
                                   backend->sigma * backend->sigma / 2.0));
}

static void
start_waiting(Backend *backend)
{
    while ((int)backend->running->len < backend->slots &&
           !g_queue_is_empty(&backend->waiting)) {
        Request *request = g_queue_pop_head(&backend->waiting);

        request->finish_us = monotonic_us() + service_us(backend);
        backend->started_expired += monotonic_us() > request->expires_us;
        backend->served++;
        if (!request->is_idempotent) {
            backend->executions++;
            count_text(backend->tokens, request->run_token);
            count_text(backend->requests, request->request_id);
            count_text(backend->nonces, request->nonce);
        }
        g_ptr_array_add(backend->running, request);
    }
}

/* Resumes completed requests. Returns the time at which the next one
 * completes. */
static int64_t
finish_running(Backend *backend, int64_t now_us)
{
    int64_t next_us = INT64_MAX;

    for (guint i = 0; i < backend->running->len;) {
        Request *request = g_ptr_array_index(backend->running, i);

        if (request->finish_us <= now_us) {
            g_ptr_array_remove_index_fast(backend->running, i);
            request->phase = PHASE_READY;
            MHD_resume_connection(request->connection);
        }
        else {
            next_us = MIN(next_us, request->finish_us);
            i++;
        }
    }
    return next_us;
}

static gboolean
has_disconnected(const Request *request)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct pollfd socket = {.fd = info->connect_fd, .events = POLLRDHUP};

    return poll(&socket, 1, 0) > 0 &&
           (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Cancels a request whose sender closed the connection. A non-idempotent
 * request is not cancelled, because it would be unknown whether it took
 * effect. */
static gboolean
cancel_if_disconnected(Backend *backend, Request *request)
{
    if (!request->is_idempotent || !has_disconnected(request)) {
        return FALSE;
    }
    backend->cancelled++;
    request->outcome = OUTCOME_CLOSE;
    request->phase = PHASE_READY;
    MHD_resume_connection(request->connection);
    return TRUE;
}

static void
cancel_disconnected(Backend *backend)
{
    guint waiting = g_queue_get_length(&backend->waiting);

    for (guint i = 0; i < backend->running->len;) {
        if (cancel_if_disconnected(backend,
                                   g_ptr_array_index(backend->running, i))) {
            g_ptr_array_remove_index_fast(backend->running, i);
        }
        else {
            i++;
        }
    }
    for (guint i = 0; i < waiting; i++) {
        Request *request = g_queue_pop_head(&backend->waiting);

        if (!cancel_if_disconnected(backend, request)) {
            g_queue_push_tail(&backend->waiting, request);
        }
    }
}

void *
Work_Run(void *context)
{
    Backend *backend = context;

    pthread_mutex_lock(&backend->lock);
    while (!backend->is_stopping) {
        int64_t next_us = INT64_MAX;

        /* A hanging server behaves like a stopped process: it accepts
         * requests but executes them only after the hang ends. */
        if (backend->faults.hang == 0) {
            guint running;

            cancel_disconnected(backend);
            do {
                running = backend->running->len;
                next_us = finish_running(backend, monotonic_us());
                start_waiting(backend);
            } while (backend->running->len != running);
            for (guint i = 0; i < backend->running->len; i++) {
                Request *request = g_ptr_array_index(backend->running, i);

                next_us = MIN(next_us, request->finish_us);
            }
            if (backend->running->len > 0) {
                next_us = MIN(next_us, monotonic_us() + DISCONNECT_POLL_US);
            }
        }
        if (next_us == INT64_MAX) {
            pthread_cond_wait(&backend->changed, &backend->lock);
        }
        else {
            struct timespec until = {.tv_sec = next_us / 1000000,
                                     .tv_nsec = next_us % 1000000 * 1000};

            pthread_cond_timedwait(&backend->changed, &backend->lock, &until);
        }
    }
    for (guint i = 0; i < backend->running->len; i++) {
        g_queue_push_tail(&backend->waiting,
                          g_ptr_array_index(backend->running, i));
    }
    while (!g_queue_is_empty(&backend->waiting)) {
        Request *request = g_queue_pop_head(&backend->waiting);

        request->outcome = OUTCOME_CLOSE;
        request->phase = PHASE_READY;
        MHD_resume_connection(request->connection);
    }
    pthread_mutex_unlock(&backend->lock);
    return NULL;
}

gboolean
Work_Add(Backend *backend, Request *request)
{
    pthread_mutex_lock(&backend->lock);
    if (backend->is_stopping) {
        pthread_mutex_unlock(&backend->lock);
        return FALSE;
    }
    MHD_suspend_connection(request->connection);
    if ((int)backend->running->len >= backend->slots ||
        !g_queue_is_empty(&backend->waiting)) {
        backend->over_slots++;
    }
    g_queue_push_tail(&backend->waiting, request);
    pthread_cond_signal(&backend->changed);
    pthread_mutex_unlock(&backend->lock);
    return TRUE;
}

static gboolean
sample_fault(Backend *backend, double percent)
{
    return percent > 0 && Rng_Unit(&backend->rng) * 100.0 < percent;
}

Outcome
Work_ChooseOutcome(Backend *backend)
{
    Outcome outcome = OUTCOME_ANSWER;
    const Faults *faults = &backend->faults;

    pthread_mutex_lock(&backend->lock);
    if (sample_fault(backend, faults->shed_percent)) {
        outcome = OUTCOME_SHED;
        backend->shed++;
    }
    else if (sample_fault(backend, faults->close_after_read)) {
        outcome = OUTCOME_CLOSE;
    }
    else if (sample_fault(backend, faults->error_percent)) {
        outcome = OUTCOME_ERROR;
    }
    else if (sample_fault(backend, faults->wrong_percent)) {
        outcome = OUTCOME_WRONG;
    }
    else if (sample_fault(backend, faults->short_body_percent)) {
        outcome = OUTCOME_SHORT_BODY;
    }
    pthread_mutex_unlock(&backend->lock);
    return outcome;
}

gboolean
Work_SampleCloseBeforeRead(Backend *backend)
{
    gboolean is_closed;

    pthread_mutex_lock(&backend->lock);
    is_closed = sample_fault(backend, backend->faults.close_before_read);
    pthread_mutex_unlock(&backend->lock);
    return is_closed;
}

void
Work_RecordArrival(Backend *backend)
{
    pthread_mutex_lock(&backend->lock);
    backend->received++;
    if (backend->drain_us != 0) {
        backend->after_drain++;
        backend->last_after_drain_us = monotonic_us() - backend->drain_us;
    }
    pthread_mutex_unlock(&backend->lock);
}

void
Work_RecordSeen(Backend *backend, const char *text, size_t length)
{
    char *copy;

    if (text == NULL || length == 0) {
        return;
    }
    /* Replace zero bytes, since the search would stop at the first one. */
    copy = g_strndup("", length);
    for (size_t i = 0; i < length; i++) {
        copy[i] = (char)(text[i] == '\0' ? ' ' : text[i]);
    }
    pthread_mutex_lock(&backend->lock);
    if (!g_hash_table_contains(backend->seen, copy)) {
        if (backend->seen_bytes + length <= backend->seen_limit_bytes) {
            backend->seen_bytes += length;
            g_hash_table_add(backend->seen, g_steal_pointer(&copy));
        }
        else {
            backend->is_seen_full = TRUE;
        }
    }
    pthread_mutex_unlock(&backend->lock);
    g_free(copy);
}

gboolean
Work_WasSeen(Backend *backend, const char *text)
{
    GHashTableIter iterator;
    gpointer entry;
    gboolean found = FALSE;

    pthread_mutex_lock(&backend->lock);
    g_hash_table_iter_init(&iterator, backend->seen);
    while (!found && g_hash_table_iter_next(&iterator, &entry, NULL)) {
        found = strstr(entry, text) != NULL;
    }
    pthread_mutex_unlock(&backend->lock);
    return found;
}

void
Work_Stop(Backend *backend)
{
    pthread_mutex_lock(&backend->lock);
    backend->is_stopping = TRUE;
    pthread_cond_broadcast(&backend->changed);
    pthread_mutex_unlock(&backend->lock);
}

gboolean
Work_IsIdle(Backend *backend)
{
    gboolean is_idle;

    pthread_mutex_lock(&backend->lock);
    is_idle =
        backend->running->len == 0 && g_queue_is_empty(&backend->waiting);
    pthread_mutex_unlock(&backend->lock);
    return is_idle;
}
