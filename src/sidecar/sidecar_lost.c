#include <inttypes.h>

#include "base/condition.h"
#include "base/log.h"
#include "sidecar/sidecar_internal.h"

/* A neighbour that has been out of reach for this long has lost its entry:
 * twice the longest graceful stop with the start after it, some 7 s. One that
 * lives nevertheless writes its entry again. */
#define LOST_MS 15000

/* Pause between two looks, and hosts looked after in each. */
#define LOOK_MS 1000
#define LOST_MOST 8

/* A neighbour that no request or draw went to for this long is asked whether
 * it lives; so one that nobody uses is found, too. */
#define SILENT_MS 5000

/* Longest wait for the answer. */
#define PING_MS 500

struct SidecarLost {
    Sidecar *sidecar;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    gboolean stopping;
};

/* Whether the host answers by RPC, as whatever it may be. */
static gboolean
is_alive(Sidecar *sidecar, const RosterLost *lost)
{
    RpcPeer peer = Rpc_PeerAt(&lost->peer.rpc);
    Result result;

    peer.host = lost->peer.host;
    result = Rpc_Call(sidecar->rpc, &peer, RPC_KIND_PING, NULL, NULL, PING_MS);
    if (result == RESULT_RPC_TIMEOUT || result == RESULT_RPC_WRONG_RECEIVER) {
        return FALSE;
    }
    Roster_NoteReached(sidecar->roster, peer.host, Clock_Now());
    return TRUE;
}

/* Removes the entry unless it changes meanwhile. */
static Result
remove_entry(Sidecar *sidecar, const char *name)
{
    const ObjectStore *store = sidecar->store;
    ObjectRecord record = {0};
    Result result =
        store->get(store->context, SIDECAR_ROSTER_KIND, name, &record);

    if (result == RESULT_OK) {
        result = store->remove(store->context, SIDECAR_ROSTER_KIND, name,
                               record.revision);
    }
    ObjectRecord_Clear(&record);
    return result;
}

static void
look_after(Sidecar *sidecar, const RosterLost *lost)
{
    Result result;

    if (is_alive(sidecar, lost)) {
        return;
    }
    result = remove_entry(sidecar, lost->name);
    Log_Event(LOG_ROSTER_LOST_REMOVED,
              "host=%s unreachable_ms=%" PRId64 " result=%s", lost->name,
              lost->peer.unreachable_ms, Result_Name(result));
    if (result == RESULT_OK || result == RESULT_NOT_FOUND) {
        /* Others learn it from the store, this host need not ask again. */
        Roster_Remove(sidecar->roster, lost->name);
    }
}

static void
ask_silent(Sidecar *sidecar)
{
    RosterLost silent;

    if (Roster_FindSilent(sidecar->roster, SILENT_MS, Clock_Now(), &silent) &&
        !is_alive(sidecar, &silent)) {
        Log_Event(LOG_ROSTER_SILENT, "host=%s", silent.name);
        Roster_NoteUnreachable(sidecar->roster, silent.peer.host, Clock_Now());
    }
}

static gboolean
wait_to_look(SidecarLost *self)
{
    struct timespec until = Condition_After(LOOK_MS);
    gboolean stopping;

    pthread_mutex_lock(&self->lock);
    while (!self->stopping &&
           pthread_cond_timedwait(&self->wake, &self->lock, &until) == 0) {
    }
    stopping = self->stopping;
    pthread_mutex_unlock(&self->lock);
    return !stopping;
}

static void *
run(void *context)
{
    SidecarLost *self = context;
    Sidecar *sidecar = self->sidecar;
    RosterLost lost[LOST_MOST];

    while (wait_to_look(self)) {
        uint32_t count = Roster_FindLost(sidecar->roster, LOST_MS, Clock_Now(),
                                         lost, LOST_MOST);

        for (uint32_t i = 0; i < count; i++) {
            look_after(sidecar, &lost[i]);
        }
        ask_silent(sidecar);
    }
    return NULL;
}

static Result
answer_ping(void *context, const RpcPeer *sender, const GByteArray *body,
            GByteArray *reply)
{
    (void)context;
    (void)sender;
    (void)body;
    (void)reply;
    return RESULT_OK;
}

SidecarLost *
_Sidecar_StartLost(Sidecar *sidecar)
{
    SidecarLost *self = g_new0(SidecarLost, 1);

    self->sidecar = sidecar;
    Rpc_Handle(sidecar->rpc, RPC_KIND_PING, answer_ping, NULL);
    pthread_mutex_init(&self->lock, NULL);
    Condition_Init(&self->wake);
    pthread_create(&self->thread, NULL, run, self);
    return self;
}

void
_Sidecar_StopLost(SidecarLost *self)
{
    if (self == NULL) {
        return;
    }
    pthread_mutex_lock(&self->lock);
    self->stopping = TRUE;
    pthread_cond_signal(&self->wake);
    pthread_mutex_unlock(&self->lock);
    pthread_join(self->thread, NULL);
    pthread_cond_destroy(&self->wake);
    pthread_mutex_destroy(&self->lock);
    g_free(self);
}
