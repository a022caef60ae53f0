#include <inttypes.h>
#include <string.h>

#include "base/condition.h"
#include "base/log.h"
#include "rpc/peer_silence.h"
#include "sidecar/sidecar_internal.h"

/* The entry of a neighbour is removed when it has been unreachable for this
 * long: twice the longest graceful stop plus restart, about 7 s. A neighbour
 * that is running nevertheless writes its entry again. */
#define REMOVE_AFTER_MS 15000

/* Pause between two checks, and maximum number of unreachable hosts handled in
 * each. */
#define CHECK_PERIOD_MS 1000
#define MAX_SUSPECTS 8

/* A neighbour that got no request or draw for this long is pinged, so that the
 * failure of an unused one is detected, too. */
#define PING_AFTER_MS 5000

#define PING_TIMEOUT_MS 500

/* Number of neighbours that are asked for their version of the configuration,
 * and timeout of each answer. */
#define MAX_ASKED 3
#define ASK_TIMEOUT_MS 200

struct SidecarMonitor {
    Sidecar *sidecar;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    gboolean stopping;
};

/* Whether the host does not answer a ping. Any answer counts, an error too,
 * except one from another host at its address. */
static gboolean
is_silent(Sidecar *sidecar, const RosterSuspect *suspect)
{
    RpcPeer peer = Rpc_PeerAt(&suspect->peer.rpc);
    GByteArray *body = _Sidecar_EncodeEvacuations(sidecar);
    ClockMs began = Clock_Now();
    ClockMs now;
    Result result;

    peer.host = suspect->peer.host;
    result = Rpc_Call(sidecar->rpc, &peer, RPC_KIND_PING, body, NULL,
                      PING_TIMEOUT_MS);
    g_byte_array_unref(body);
    now = Clock_Now();
    if (result == RESULT_RPC_TIMEOUT || result == RESULT_RPC_WRONG_RECEIVER) {
        return result == RESULT_RPC_WRONG_RECEIVER ||
               PeerSilence_IsShown(result, now - began, PING_TIMEOUT_MS);
    }
    Roster_NoteReached(sidecar->roster, peer.host, now);
    return FALSE;
}

/* Removes the entry unless it changes after it was read. */
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
check_unreachable(Sidecar *sidecar, const RosterSuspect *suspect)
{
    Result result;

    if (!is_silent(sidecar, suspect)) {
        return;
    }
    result = remove_entry(sidecar, suspect->name);
    Log_Event(LOG_ROSTER_LOST_REMOVED,
              "host=%s unreachable_ms=%" PRId64 " result=%s", suspect->name,
              suspect->peer.unreachable_ms, Result_Name(result));
    if (result == RESULT_OK || result == RESULT_NOT_FOUND) {
        /* Other hosts receive the removal from the store. This host applies
         * it at once so that it does not check the host again. */
        Roster_Remove(sidecar->roster, suspect->name);
    }
}

static void
ping_silent(Sidecar *sidecar)
{
    RosterSuspect suspect;

    if (Roster_FindSilent(sidecar->roster, PING_AFTER_MS, Clock_Now(),
                          &suspect) &&
        is_silent(sidecar, &suspect)) {
        Log_Event(LOG_ROSTER_SILENT, "host=%s", suspect.name);
        Roster_NoteUnreachable(sidecar->roster, suspect.peer.host,
                               Clock_Now());
    }
}

static gboolean
wait_for_next_check(SidecarMonitor *monitor)
{
    struct timespec until = Condition_After(CHECK_PERIOD_MS);
    gboolean stopping;

    pthread_mutex_lock(&monitor->lock);
    while (!monitor->stopping &&
           pthread_cond_timedwait(&monitor->wake, &monitor->lock, &until) ==
               0) {
    }
    stopping = monitor->stopping;
    pthread_mutex_unlock(&monitor->lock);
    return !stopping;
}

static void *
run(void *context)
{
    SidecarMonitor *monitor = context;
    Sidecar *sidecar = monitor->sidecar;
    RosterSuspect suspects[MAX_SUSPECTS];

    while (wait_for_next_check(monitor)) {
        uint32_t count = Roster_FindLost(sidecar->roster, REMOVE_AFTER_MS,
                                         Clock_Now(), suspects, MAX_SUSPECTS);

        Roster_Expire(sidecar->roster, Clock_Now());
        for (uint32_t i = 0; i < count; i++) {
            check_unreachable(sidecar, &suspects[i]);
        }
        ping_silent(sidecar);
        DepartureKeeper_Return(sidecar->keeper);
        if (atomic_load(&sidecar->must_ask)) {
            _Sidecar_AskVersions(sidecar);
        }
    }
    return NULL;
}

/* Answers with the version of the configuration in force. Earlier versions of
 * the daemon answer with an empty body, and send one. */
static Result
answer_ping(void *context, const RpcPeer *sender, const GByteArray *body,
            GByteArray *reply)
{
    Sidecar *sidecar = context;
    uint64_t version = GUINT64_TO_BE(Catalog_Version(sidecar->catalog));

    (void)sender;
    _Sidecar_AdoptEvacuations(sidecar, body);
    g_byte_array_append(reply, (const guint8 *)&version, sizeof(version));
    return RESULT_OK;
}

/* Returns the version of the configuration that the host has in force, 0 if
 * that is unknown. */
static uint64_t
ask_version(Sidecar *sidecar, const RosterPeer *neighbour)
{
    RpcPeer peer = Rpc_PeerAt(&neighbour->rpc);
    GByteArray *reply = g_byte_array_new();
    uint64_t version = 0;

    peer.host = neighbour->host;
    if (Rpc_Call(sidecar->rpc, &peer, RPC_KIND_PING, NULL, reply,
                 ASK_TIMEOUT_MS) == RESULT_OK &&
        reply->len == sizeof(version)) {
        memcpy(&version, reply->data, sizeof(version));
    }
    g_byte_array_unref(reply);
    return GUINT64_FROM_BE(version);
}

void
_Sidecar_AskVersions(Sidecar *sidecar)
{
    RosterPeer peers[MAX_ASKED + 1];
    uint64_t key = Rng_HashString(sidecar->settings->host);
    uint64_t newest = 0;
    uint32_t count;

    atomic_store(&sidecar->must_ask, TRUE);
    count = Roster_Rank(sidecar->roster, key, FALSE, Clock_Now(), peers,
                        G_N_ELEMENTS(peers));
    for (uint32_t i = 0; i < count && !atomic_load(&sidecar->leaving); i++) {
        if (!peers[i].is_self) {
            uint64_t version = ask_version(sidecar, &peers[i]);

            newest = MAX(newest, version);
        }
    }
    if (newest > 0) {
        Catalog_Require(sidecar->catalog, newest);
        atomic_store(&sidecar->must_ask, FALSE);
    }
}

SidecarMonitor *
_Sidecar_StartMonitor(Sidecar *sidecar)
{
    SidecarMonitor *monitor = g_new0(SidecarMonitor, 1);

    monitor->sidecar = sidecar;
    Rpc_Handle(sidecar->rpc, RPC_KIND_PING, answer_ping, sidecar);
    pthread_mutex_init(&monitor->lock, NULL);
    Condition_Init(&monitor->wake);
    pthread_create(&monitor->thread, NULL, run, monitor);
    return monitor;
}

void
_Sidecar_StopMonitor(SidecarMonitor *monitor)
{
    if (monitor == NULL) {
        return;
    }
    pthread_mutex_lock(&monitor->lock);
    monitor->stopping = TRUE;
    pthread_cond_signal(&monitor->wake);
    pthread_mutex_unlock(&monitor->lock);
    pthread_join(monitor->thread, NULL);
    pthread_cond_destroy(&monitor->wake);
    pthread_mutex_destroy(&monitor->lock);
    g_free(monitor);
}
