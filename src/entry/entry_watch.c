#include "entry/entry_watch.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>

#include "base/clock.h"
#include "http/http_executor.h"

#define WATCH_PERIOD_MS 50
#define ASK_TIMEOUT_MS 300
#define ASK_THREADS 4
#define ASK_QUEUE 64

/* Signs of loss in a row after which the call is ended. */
#define SIGNS_OF_LOSS 2

struct EntryWatched {
    EntryWatch *watch;
    RpcPeer owner;
    OwnerAttempt attempt;
    HttpCancel *cancel; /* NULL once the call has ended */
    ClockMs next_ask;
    unsigned signs;
    unsigned references;
    EntryVerdict verdict;
};

struct EntryWatch {
    Rpc *rpc;
    const int64_t *silence_ms;
    pthread_mutex_t lock;
    GPtrArray *watched;
    HttpExecutor *askers;
    pthread_t thread;
    atomic_bool stopping;
};

static ClockMs
silence(const EntryWatch *watch)
{
    return __atomic_load_n(watch->silence_ms, __ATOMIC_RELAXED);
}

static gboolean
ask(EntryWatched *watched, OwnerAttemptState *state)
{
    GByteArray *body = g_byte_array_new();
    GByteArray *reply = g_byte_array_new();
    uint64_t attempt = watched->attempt;
    int32_t number = 0;
    gboolean answered;

    answered = Rpc_Encode(body, (xdrproc_t)xdr_uint64_t, &attempt) &&
               Rpc_Call(watched->watch->rpc, &watched->owner, RPC_KIND_LOAD,
                        body, reply, ASK_TIMEOUT_MS) == RESULT_OK &&
               Rpc_Decode(reply, (xdrproc_t)xdr_int32_t, &number);
    *state = (OwnerAttemptState)number;
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
    return answered;
}

Result
EntryWatch_ServeAsk(OwnerPort *port, const GByteArray *body, GByteArray *reply)
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
end_call(EntryWatched *watched, EntryVerdict verdict)
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
run_ask(void *context)
{
    EntryWatched *watched = context;
    EntryWatch *watch = watched->watch;
    OwnerAttemptState state;
    gboolean answered = ask(watched, &state);

    pthread_mutex_lock(&watch->lock);
    if (answered && state == OWNER_ATTEMPT_VOID) {
        end_call(watched, ENTRY_VERDICT_VOID);
    }
    else if (answered && state == OWNER_ATTEMPT_RUNNING) {
        watched->signs = 0;
    }
    else if (++watched->signs >= SIGNS_OF_LOSS) {
        end_call(watched, answered ? ENTRY_VERDICT_ANSWERED
                                   : ENTRY_VERDICT_UNREACHABLE);
    }
    /* A sign of loss is checked again soon. */
    watched->next_ask =
        Clock_Now() + (watched->signs > 0 ? WATCH_PERIOD_MS : silence(watch));
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

            if (now < watched->next_ask) {
                continue;
            }
            watched->references++;
            watched->next_ask = CLOCK_NEVER;
            if (!HttpExecutor_Submit(watch->askers, run_ask, watched)) {
                watched->next_ask = now;
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
    watch->askers = HttpExecutor_Create(ASK_THREADS, ASK_QUEUE);
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
    HttpExecutor_Destroy(watch->askers);
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
    watched->next_ask = Clock_Now() + silence(watch);
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
