#include "entry/entry_watch.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>

#include "base/clock.h"
#include "http/http_executor.h"

#define WATCH_PERIOD_MS 50
#define QUERY_TIMEOUT_MS 300
#define QUERY_THREADS 4
#define QUERY_QUEUE 64

/* Number of negative queries in a row after which the call is cancelled: the
 * owner did not reply, or the answer is lost. */
#define MAX_NEGATIVE_QUERIES 2

struct EntryWatched {
    EntryWatch *watch;
    RpcPeer owner;
    OwnerAttempt attempt;
    HttpCancel *cancel; /* NULL after the call has ended */
    ClockMs next_query;
    unsigned negative_queries; /* in a row */
    unsigned references;
    EntryVerdict verdict;
};

struct EntryWatch {
    Rpc *rpc;
    const int64_t *silence_ms;
    pthread_mutex_t lock;
    GPtrArray *watched;
    HttpExecutor *query_executor;
    pthread_t thread;
    atomic_bool stopping;
};

static ClockMs
silence_limit(const EntryWatch *watch)
{
    return __atomic_load_n(watch->silence_ms, __ATOMIC_RELAXED);
}

/* Returns FALSE if the owner did not reply. */
static gboolean
query_attempt(EntryWatched *watched, OwnerAttemptState *state)
{
    GByteArray *body = g_byte_array_new();
    GByteArray *reply = g_byte_array_new();
    uint64_t attempt = watched->attempt;
    int32_t number = 0;
    gboolean replied;

    replied =
        Rpc_Encode(body, (xdrproc_t)xdr_uint64_t, &attempt) &&
        Rpc_Call(watched->watch->rpc, &watched->owner, RPC_KIND_ATTEMPT_STATE,
                 body, reply, QUERY_TIMEOUT_MS) == RESULT_OK &&
        Rpc_Decode(reply, (xdrproc_t)xdr_int32_t, &number);
    *state = (OwnerAttemptState)number;
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
    return replied;
}

Result
EntryWatch_ServeQuery(OwnerPort *port, const GByteArray *body,
                      GByteArray *reply)
{
    uint64_t attempt = 0;
    int32_t state;

    if (!Rpc_Decode(body, (xdrproc_t)xdr_uint64_t, &attempt)) {
        return RESULT_MALFORMED;
    }
    state = (int32_t)OwnerPort_QueryAttempt(port, attempt, Clock_Now());
    return Rpc_Encode(reply, (xdrproc_t)xdr_int32_t, &state) ? RESULT_OK
                                                             : RESULT_INTERNAL;
}

/* Called with the lock held. */
static void
cancel_call(EntryWatched *watched, EntryVerdict verdict)
{
    if (watched->cancel != NULL && watched->verdict == ENTRY_VERDICT_NONE) {
        watched->verdict = verdict;
        HttpCancel_Trigger(watched->cancel);
    }
}

/* Called with the lock held. */
static void
unref_watched(EntryWatched *watched)
{
    if (--watched->references == 0) {
        g_free(watched);
    }
}

static void
run_query(void *context)
{
    EntryWatched *watched = context;
    EntryWatch *watch = watched->watch;
    OwnerAttemptState state;
    gboolean replied = query_attempt(watched, &state);

    pthread_mutex_lock(&watch->lock);
    if (replied && state == OWNER_ATTEMPT_VOID) {
        cancel_call(watched, ENTRY_VERDICT_VOID);
    }
    else if (replied && state == OWNER_ATTEMPT_RUNNING) {
        watched->negative_queries = 0;
    }
    else if (++watched->negative_queries >= MAX_NEGATIVE_QUERIES) {
        cancel_call(watched, replied ? ENTRY_VERDICT_ANSWERED
                                     : ENTRY_VERDICT_UNREACHABLE);
    }
    /* After a negative query, the next round makes another one. */
    watched->next_query =
        Clock_Now() + (watched->negative_queries > 0 ? WATCH_PERIOD_MS
                                                     : silence_limit(watch));
    unref_watched(watched);
    pthread_mutex_unlock(&watch->lock);
}

static void *
watch_attempts(void *context)
{
    EntryWatch *watch = context;
    ClockMs now;

    while (!atomic_load(&watch->stopping)) {
        (void)poll(NULL, 0, WATCH_PERIOD_MS);
        now = Clock_Now();
        pthread_mutex_lock(&watch->lock);
        for (guint i = 0; i < watch->watched->len; i++) {
            EntryWatched *watched = g_ptr_array_index(watch->watched, i);

            if (now < watched->next_query) {
                continue;
            }
            watched->references++;
            watched->next_query = CLOCK_NEVER;
            if (!HttpExecutor_Submit(watch->query_executor, run_query,
                                     watched)) {
                watched->next_query = now;
                unref_watched(watched);
            }
        }
        pthread_mutex_unlock(&watch->lock);
    }
    return NULL;
}

EntryWatch *
EntryWatch_Create(Rpc *rpc, const int64_t *silence_ms)
{
    EntryWatch *watch = g_new0(EntryWatch, 1);

    watch->rpc = rpc;
    watch->silence_ms = silence_ms;
    pthread_mutex_init(&watch->lock, NULL);
    watch->watched = g_ptr_array_new();
    watch->query_executor = HttpExecutor_Create(QUERY_THREADS, QUERY_QUEUE);
    pthread_create(&watch->thread, NULL, watch_attempts, watch);
    return watch;
}

void
EntryWatch_Destroy(EntryWatch *watch)
{
    if (watch == NULL) {
        return;
    }
    atomic_store(&watch->stopping, TRUE);
    pthread_join(watch->thread, NULL);
    HttpExecutor_Destroy(watch->query_executor);
    g_ptr_array_free(watch->watched, TRUE);
    pthread_mutex_destroy(&watch->lock);
    g_free(watch);
}

EntryWatched *
EntryWatch_Begin(EntryWatch *watch, const RpcPeer *owner, OwnerAttempt attempt,
                 HttpCancel *cancel)
{
    EntryWatched *watched = g_new0(EntryWatched, 1);

    watched->watch = watch;
    watched->owner = *owner;
    watched->attempt = attempt;
    watched->cancel = cancel;
    watched->next_query = Clock_Now() + silence_limit(watch);
    watched->references = 1;
    pthread_mutex_lock(&watch->lock);
    g_ptr_array_add(watch->watched, watched);
    pthread_mutex_unlock(&watch->lock);
    return watched;
}

EntryVerdict
EntryWatch_End(EntryWatch *watch, EntryWatched *watched)
{
    EntryVerdict verdict;

    pthread_mutex_lock(&watch->lock);
    g_ptr_array_remove_fast(watch->watched, watched);
    verdict = watched->verdict;
    watched->cancel = NULL;
    unref_watched(watched);
    pthread_mutex_unlock(&watch->lock);
    return verdict;
}
