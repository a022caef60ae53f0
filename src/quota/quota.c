#include "quota/quota.h"

#include <inttypes.h>
#include <tirpc/rpc/rpc.h>

#include "base/counter.h"
#include "base/log.h"
#include "quota/quota_internal.h"
#include "rpc/peer_silence.h"

/* Timeouts of a draw from primary or backup, and of a draw that the backup
 * relays to the primary while the drawing host waits for the backup. */
#define QUOTA_DRAW_MS 250
#define QUOTA_RELAY_MS 100

/* Timeout of the handover of one team's counts to the backup. */
#define HANDOVER_MS 100

/* Number of hosts that can be asked to count: primary and backup. */
#define COUNTING_HOSTS 2

const char *
Quota_SourceName(QuotaSource source)
{
    static const char *const names[] = {"unlimited", "keeper", "deputy",
                                        "own_part"};

    return (size_t)source < G_N_ELEMENTS(names) ? names[source] : "?";
}

static bool_t
xdr_draw(XDR *stream, QuotaDraw *draw)
{
    return xdr_uint64_t(stream, &draw->team) &&
           xdr_uint64_t(stream, &draw->host) &&
           xdr_uint64_t(stream, &draw->admitted) &&
           xdr_uint64_t(stream, &draw->uptime_ms) &&
           xdr_uint64_t(stream, &draw->as_backup);
}

static bool_t
xdr_handover(XDR *stream, QuotaHandover *handover)
{
    return xdr_uint64_t(stream, &handover->team) &&
           xdr_vector(stream, (char *)handover->counts, QUOTA_BUCKETS + 1,
                      sizeof(handover->counts[0]), (xdrproc_t)xdr_int64_t);
}

/* Calls a host and records in the roster whether it was reached. */
static Result
call_neighbour(Quota *quota, const RosterPeer *neighbour, uint32_t kind,
               const GByteArray *body, int wait_ms)
{
    RpcPeer peer = Rpc_PeerAt(&neighbour->rpc);
    ClockMs began = Clock_Now();
    Result result =
        Rpc_Call(quota->desc.rpc, &peer, kind, body, NULL, wait_ms);
    ClockMs now = Clock_Now();

    if (result == RESULT_RPC_OLD_SESSION) {
        /* The wall clock, which gives the incarnation, was set back between
         * two starts. */
        Rpc_SetIncarnation(quota->desc.rpc,
                           Rpc_GetRefusedIncarnation(quota->desc.rpc) + 1);
    }
    if (PeerSilence_IsShown(result, now - began, wait_ms)) {
        Roster_NoteUnreachable(quota->desc.roster, neighbour->host, now);
    }
    else if (result != RESULT_RPC_TIMEOUT) {
        Roster_NoteReached(quota->desc.roster, neighbour->host, now);
    }
    return result;
}

static Result
ask_peer(Quota *quota, const RosterPeer *asked, QuotaDraw *draw, int wait_ms)
{
    GByteArray *body = g_byte_array_new();
    Result result = RESULT_TOO_LARGE;

    if (Rpc_Encode(body, (xdrproc_t)xdr_draw, draw)) {
        Counter_Add(COUNTER_RATE_DRAWS, 1);
        result =
            call_neighbour(quota, asked, RPC_KIND_QUOTA_DRAW, body, wait_ms);
    }
    g_byte_array_unref(body);
    return result;
}

/* Whether the primary has been unreachable from this host for a window. */
static gboolean
is_primary_lost(const Quota *quota, const RosterPeer *primary)
{
    return !primary->is_self &&
           primary->unreachable_ms > quota->desc.window_ms;
}

/* Relays a draw to the primary: this host may reach it even if the drawing
 * host does not. */
static Result
relay_draw(Quota *quota, const RosterPeer *primary, const QuotaDraw *draw)
{
    QuotaDraw relayed = *draw;

    relayed.as_backup = 0;
    return primary->is_reachable && !primary->is_self
               ? ask_peer(quota, primary, &relayed, QUOTA_RELAY_MS)
               : RESULT_RPC_TIMEOUT;
}

static Result
take_as_backup(Quota *quota, const CatalogTeam *team, const QuotaDraw *draw)
{
    RosterPeer primary;
    Result result;

    (void)Roster_Rank(quota->desc.roster, team->hash, TRUE, Clock_Now(),
                      &primary, 1);
    result = relay_draw(quota, &primary, draw);
    if (result == RESULT_OK || result == RESULT_RATE_EXCEEDED) {
        _Quota_EndHandover(quota, team);
        return result;
    }
    return _Quota_HasHandover(quota, team) || is_primary_lost(quota, &primary)
               ? _Quota_TakeAsPrimary(quota, team, draw)
               : _Quota_TakeBackupShare(quota, team);
}

/* Counts a request in the role that the draw asks for. */
static Result
take_in_role(Quota *quota, const CatalogTeam *team, const QuotaDraw *draw)
{
    return draw->as_backup ? take_as_backup(quota, team, draw)
                           : _Quota_TakeAsPrimary(quota, team, draw);
}

/* Serves a draw of another host. */
static Result
serve_draw(void *context, const RpcPeer *sender, const GByteArray *body,
           GByteArray *reply)
{
    Quota *quota = context;
    CatalogTable *table = Catalog_Acquire(quota->desc.catalog);
    const CatalogTeam *team = NULL;
    QuotaDraw draw = {0};
    Result result = RESULT_NOT_CONFIGURED;

    (void)sender;
    (void)reply;
    if (!Rpc_Decode(body, (xdrproc_t)xdr_draw, &draw)) {
        result = RESULT_MALFORMED;
    }
    else if (table != NULL) {
        team = CatalogTable_FindTeam(table, draw.team);
        result = team ? take_in_role(quota, team, &draw) : RESULT_NOT_FOUND;
    }
    CatalogTable_Unref(table);
    return result;
}

/* Receives the counts of a primary that leaves. */
static Result
serve_handover(void *context, const RpcPeer *sender, const GByteArray *body,
               GByteArray *reply)
{
    Quota *quota = context;
    QuotaHandover handover;

    (void)reply;
    if (!Rpc_Decode(body, (xdrproc_t)xdr_handover, &handover)) {
        return RESULT_MALFORMED;
    }
    _Quota_MergeCounts(quota, &handover);
    Log_Event(LOG_QUOTA_TAKEN_OVER,
              "team=%016" PRIx64 " host=%016" PRIx64 " until_ms=%" PRId64,
              handover.team, sender->host, quota->desc.window_ms);
    return RESULT_OK;
}

/* Sends the counts of a team to its backup. Returns TRUE if the backup
 * accepted them or this host is not the team's primary. */
static gboolean
hand_over(Quota *quota, QuotaHandover *handover)
{
    RosterPeer order[COUNTING_HOSTS];
    uint32_t count = Roster_Rank(quota->desc.roster, handover->team, TRUE,
                                 Clock_Now(), order, COUNTING_HOSTS);
    GByteArray *body;
    Result result = RESULT_TOO_LARGE;

    if (!order[0].is_self) {
        return TRUE;
    }
    if (count < COUNTING_HOSTS || !order[1].is_reachable) {
        return FALSE;
    }
    body = g_byte_array_new();
    if (Rpc_Encode(body, (xdrproc_t)xdr_handover, handover)) {
        result = call_neighbour(quota, &order[1], RPC_KIND_QUOTA_HANDOVER,
                                body, HANDOVER_MS);
    }
    g_byte_array_unref(body);
    return result == RESULT_OK;
}

void
Quota_Leave(Quota *quota, ClockMs until)
{
    GArray *all;
    guint left = 0;

    atomic_store(&quota->leaving, TRUE);
    all = _Quota_ReadCounts(quota);
    for (guint i = 0; i < all->len; i++) {
        QuotaHandover *handover = &g_array_index(all, QuotaHandover, i);

        if (Clock_Now() >= until || !hand_over(quota, handover)) {
            left++;
        }
    }
    Log_Event(LOG_QUOTA_HANDED_OVER, "teams=%u not_handed_over=%u", all->len,
              left);
    g_array_free(all, TRUE);
}

Quota *
Quota_Create(const Quota_desc *desc)
{
    Quota *quota = g_new0(Quota, 1);

    quota->desc = *desc;
    quota->started = Clock_Now();
    pthread_mutex_init(&quota->lock, NULL);
    quota->teams = _Quota_CreateTeams();
    Rpc_Handle(desc->rpc, RPC_KIND_QUOTA_DRAW, serve_draw, quota);
    Rpc_Handle(desc->rpc, RPC_KIND_QUOTA_HANDOVER, serve_handover, quota);
    return quota;
}

void
Quota_Destroy(Quota *quota)
{
    if (quota != NULL) {
        g_hash_table_destroy(quota->teams);
        pthread_mutex_destroy(&quota->lock);
        g_free(quota);
    }
}

/* Draws from the primary or the backup. */
static Result
draw_from(Quota *quota, const CatalogTeam *team, const RosterPeer *peer,
          gboolean as_backup)
{
    QuotaDraw draw;
    Result result;

    _Quota_MakeDraw(quota, team, &draw);
    draw.as_backup = as_backup;
    if (peer->is_self) {
        result = take_in_role(quota, team, &draw);
    }
    else {
        result = peer->is_reachable
                     ? ask_peer(quota, peer, &draw, QUOTA_DRAW_MS)
                     : RESULT_RPC_TIMEOUT;
    }
    if (result == RESULT_OK) {
        _Quota_CountAdmitted(quota, team);
    }
    return result;
}

Result
Quota_Take(Quota *quota, const CatalogTeam *team, QuotaSource *source)
{
    RosterPeer order[COUNTING_HOSTS];
    uint32_t count;
    Result result;

    *source = QUOTA_UNLIMITED;
    if (team->rate_per_s == 0) {
        return RESULT_OK;
    }
    count = Roster_Rank(quota->desc.roster, team->hash, TRUE, Clock_Now(),
                        order, COUNTING_HOSTS);
    for (uint32_t i = 0; i < count; i++) {
        *source = i == 0 ? QUOTA_PRIMARY : QUOTA_BACKUP;
        result = draw_from(quota, team, &order[i], i > 0);
        if (result == RESULT_OK || result == RESULT_RATE_EXCEEDED) {
            return result;
        }
        Log_Event(LOG_QUOTA_KEEPER_SILENT,
                  "team=%s source=%s host=%016" PRIx64 " result=%s",
                  team->name, Quota_SourceName(*source), order[i].host,
                  Result_Name(result));
    }
    *source = QUOTA_LOCAL_SHARE;
    return _Quota_TakeLocalShare(quota, team);
}

void
Quota_ReadState(Quota *quota, const CatalogTeam *team, QuotaState *state)
{
    RosterPeer order[COUNTING_HOSTS];
    ClockMs now = Clock_Now();
    uint32_t count;

    *state = (QuotaState){.source = QUOTA_UNLIMITED,
                          .window_ms = quota->desc.window_ms,
                          .counted = -1};
    if (team->rate_per_s == 0) {
        return;
    }
    count = Roster_Rank(quota->desc.roster, team->hash, TRUE, now, order,
                        COUNTING_HOSTS);
    state->source = QUOTA_LOCAL_SHARE;
    for (uint32_t i = count; i-- > 0;) {
        if (order[i].is_self || order[i].is_reachable) {
            state->source = i == 0 ? QUOTA_PRIMARY : QUOTA_BACKUP;
        }
    }
    state->limit = _Quota_SteadyLimit(&quota->desc, team);
    _Quota_ReadCounted(quota, team, count > 0 && order[0].is_self, now, state);
}
