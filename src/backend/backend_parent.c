/* Which requests make calls, and which of them may run. */
#include "backend/backend_internal.h"
#include "base/counter.h"

/* Maximum number of routes that the runs of one route call. */
#define MAX_CALLED 8

int
_Backend_Value(const BackendCall *call)
{
    return call->priority >= 0 ? call->priority
                               : Admission_ParentPriority(call->priority);
}

CallParent
Backend_FindParent(Backend *backend, uint64_t called)
{
    CallParent parent;

    pthread_mutex_lock(&backend->lock);
    parent = CallOrigin_Find(backend->origin, called, Clock_Now());
    pthread_mutex_unlock(&backend->lock);
    return parent;
}

void
Backend_NoteCalled(Backend *backend, uint64_t called, const CalledState *state)
{
    pthread_mutex_lock(&backend->lock);
    ParentGate_NoteState(backend->gate, called, state, Clock_Now());
    pthread_mutex_unlock(&backend->lock);
}

void
Backend_NoteCallEnd(Backend *backend, uint64_t called, int priority,
                    Result result)
{
    if (result != RESULT_BACKEND_SERVER_BUSY &&
        result != RESULT_DEADLINE_EXPIRED) {
        /* Served, or failed for other reasons than a lack of room. */
        return;
    }
    pthread_mutex_lock(&backend->lock);
    ParentGate_NoteRefusal(backend->gate, called, priority, Clock_Now());
    pthread_mutex_unlock(&backend->lock);
}

void
_Backend_NoteRun(Backend *backend, const BackendCall *call, ClockMs now)
{
    uint64_t called[MAX_CALLED];
    int count = CallOrigin_Called(backend->origin, call->route,
                                  PARENT_GATE_MIN_CALLS, called, MAX_CALLED);

    for (int i = 0; i < count; i++) {
        ParentGate_NoteRun(backend->gate, called[i], _Backend_Value(call),
                           now);
    }
}

Result
_Backend_CheckCalls(Backend *backend, const BackendCall *call,
                    BackendReply *reply)
{
    gboolean is_first = call->retry == RETRY_KIND_FIRST;
    ClockMs now = Clock_Now();
    uint64_t called[MAX_CALLED];
    int count = CallOrigin_Called(backend->origin, call->route,
                                  PARENT_GATE_MIN_CALLS, called, MAX_CALLED);

    for (int i = 0; i < count; i++) {
        double unit = Rng_Unit(&backend->rng);

        if (!is_first &&
            !ParentGate_AdmitsRetry(backend->gate, called[i], unit, now)) {
            Counter_Add(COUNTER_OWNER_RETRIES_REFUSED, 1);
            reply->return_ms = BACKEND_RETURN_MS;
        }
        else if (is_first && backend->desc.load_by_value &&
                 call->priority >= 0 &&
                 !ParentGate_Admits(backend->gate, called[i], call->priority,
                                    unit, now)) {
            Counter_Add(COUNTER_OWNER_PARENTS_REFUSED, 1);
            reply->return_ms = BACKEND_RETURN_MS;
        }
        if (reply->return_ms > 0) {
            return RESULT_BACKEND_SERVER_BUSY;
        }
    }
    return RESULT_OK;
}
