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

/* Whether the host answers by RPC, as whatever it may be. */
static gboolean
is_alive(Sidecar *sidecar, const RosterLost *lost)
{
    RpcPeer peer = {.host = lost->host,
                    .ip = ntohl(lost->rpc.sin_addr.s_addr),
                    .port = ntohs(lost->rpc.sin_port)};
    Result result =
        Rpc_Call(sidecar->rpc, &peer, RPC_KIND_PING, NULL, NULL, PING_MS);

    return result != RESULT_RPC_TIMEOUT && result != RESULT_RPC_WRONG_RECEIVER;
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
        Roster_NoteReached(sidecar->roster, lost->host, Clock_Now());
        return;
    }
    result = remove_entry(sidecar, lost->name);
    Log_Event(LOG_ROSTER_LOST_REMOVED,
              "host=%s unreachable_ms=%" PRId64 " result=%s", lost->name,
              lost->unreachable_ms, Result_Name(result));
    if (result == RESULT_OK || result == RESULT_NOT_FOUND) {
        /* Others learn it from the store, this host need not ask again. */
        Roster_Remove(sidecar->roster, lost->name);
    }
}

static void
ask_silent(Sidecar *sidecar)
{
    RosterLost silent;

    if (!Roster_FindSilent(sidecar->roster, SILENT_MS, Clock_Now(), &silent)) {
        return;
    }
    if (is_alive(sidecar, &silent)) {
        Roster_NoteReached(sidecar->roster, silent.host, Clock_Now());
    }
    else {
        Log_Event(LOG_ROSTER_SILENT, "host=%s", silent.name);
        Roster_NoteUnreachable(sidecar->roster, silent.host, Clock_Now());
    }
}

static gboolean
wait_to_look(Sidecar *sidecar)
{
    struct timespec until = Condition_After(LOOK_MS);
    gboolean stopping;

    pthread_mutex_lock(&sidecar->lost_lock);
    while (!sidecar->lost_stopping &&
           pthread_cond_timedwait(&sidecar->lost_wake, &sidecar->lost_lock,
                                  &until) == 0) {
    }
    stopping = sidecar->lost_stopping;
    pthread_mutex_unlock(&sidecar->lost_lock);
    return !stopping;
}

static void *
run(void *context)
{
    Sidecar *sidecar = context;
    RosterLost lost[LOST_MOST];

    while (wait_to_look(sidecar)) {
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

void
_Sidecar_StartLost(Sidecar *sidecar)
{
    Rpc_Handle(sidecar->rpc, RPC_KIND_PING, answer_ping, NULL);
    pthread_mutex_init(&sidecar->lost_lock, NULL);
    Condition_Init(&sidecar->lost_wake);
    pthread_create(&sidecar->lost_thread, NULL, run, sidecar);
    sidecar->lost_started = TRUE;
}

void
_Sidecar_StopLost(Sidecar *sidecar)
{
    if (!sidecar->lost_started) {
        return;
    }
    pthread_mutex_lock(&sidecar->lost_lock);
    sidecar->lost_stopping = TRUE;
    pthread_cond_signal(&sidecar->lost_wake);
    pthread_mutex_unlock(&sidecar->lost_lock);
    pthread_join(sidecar->lost_thread, NULL);
    pthread_cond_destroy(&sidecar->lost_wake);
    pthread_mutex_destroy(&sidecar->lost_lock);
}
