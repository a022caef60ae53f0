#include "departure/departure_keeper.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#include "base/log.h"
#include "base/rng.h"
#include "departure/departure.h"

/* Number of neighbours that keep a copy, and of those that are asked for one:
 * more, since others may have been out of reach at the time of the departure.
 */
#define KEEPERS 3
#define MAX_ASKED 6

#define CALL_TIMEOUT_MS 200

/* Time for which a copy is kept; that of the records in the store. */
#define RETENTION_MS 600000

#define MAX_COPIES 1024

/* Maximum number of hosts to which copies are returned at a time. A copy is
 * returned again after this part of the time for which it has been kept, as
 * its host may never come back. */
#define MAX_RETURNS 4
#define RETURN_PART 8

typedef struct Copy {
    char instance[DEPARTURE_NAME_BYTES]; /* "": none */
    int64_t born;
    uint32_t ip;   /* of its host's RPC, host byte order */
    uint32_t port; /* the same */
} Copy;

typedef struct Kept {
    Copy copy;
    RpcPeer host;
    ClockMs since;
    ClockMs returned; /* time of the last try to return it */
} Kept;

struct DepartureKeeper {
    DepartureKeeper_desc desc;
    uint64_t self; /* hash of this host's name */
    pthread_mutex_t lock;
    GHashTable *kept; /* &Kept.host.host -> Kept */
};

/* One of several calls that are made at the same time. */
typedef struct Call {
    DepartureKeeper *keeper;
    RpcPeer peer;
    uint32_t kind;
    const Copy *copy; /* sent; NULL: an empty body */
    Copy reply;
    Result result;
    pthread_t thread;
} Call;

static bool_t
xdr_copy(XDR *stream, Copy *copy)
{
    return xdr_opaque(stream, copy->instance, sizeof(copy->instance)) &&
           xdr_int64_t(stream, &copy->born) &&
           xdr_uint32_t(stream, &copy->ip) &&
           xdr_uint32_t(stream, &copy->port);
}

static gboolean
decode_copy(const GByteArray *body, Copy *copy)
{
    return Rpc_Decode(body, (xdrproc_t)xdr_copy, copy) &&
           memchr(copy->instance, '\0', sizeof(copy->instance)) != NULL;
}

static Copy
make_copy(DepartureKeeper *keeper, const char *instance, int64_t born)
{
    Copy copy = {.born = born,
                 .ip = ntohl(inet_addr(keeper->desc.address)),
                 .port = Rpc_GetPort(keeper->desc.rpc)};

    g_strlcpy(copy.instance, instance, sizeof(copy.instance));
    return copy;
}

static Result
keep(void *context, const RpcPeer *sender, const GByteArray *body,
     GByteArray *reply)
{
    DepartureKeeper *keeper = context;
    Copy copy = {0};
    Kept *kept;
    Result result = RESULT_OK;

    (void)reply;
    if (!decode_copy(body, &copy) || copy.instance[0] == '\0' ||
        copy.port > UINT16_MAX) {
        return RESULT_MALFORMED;
    }
    pthread_mutex_lock(&keeper->lock);
    kept = g_hash_table_lookup(keeper->kept, &sender->host);
    if (kept == NULL && g_hash_table_size(keeper->kept) >= MAX_COPIES) {
        result = RESULT_FULL;
    }
    else if (kept == NULL) {
        kept = g_new0(Kept, 1);
        kept->host.host = sender->host;
        g_hash_table_insert(keeper->kept, &kept->host.host, kept);
    }
    if (kept != NULL && (kept->copy.born == 0 || copy.born == 0 ||
                         copy.born >= kept->copy.born)) {
        kept->copy = copy;
        kept->host.ip = copy.ip;
        kept->host.port = (uint16_t)copy.port;
        kept->since = Clock_Now();
    }
    pthread_mutex_unlock(&keeper->lock);
    return result;
}

static Result
serve_collect(void *context, const RpcPeer *sender, const GByteArray *body,
              GByteArray *reply)
{
    DepartureKeeper *keeper = context;
    Copy copy = {0};
    const Kept *kept;

    (void)body;
    pthread_mutex_lock(&keeper->lock);
    kept = g_hash_table_lookup(keeper->kept, &sender->host);
    if (kept != NULL) {
        copy = kept->copy;
    }
    pthread_mutex_unlock(&keeper->lock);
    return Rpc_Encode(reply, (xdrproc_t)xdr_copy, &copy) ? RESULT_OK
                                                         : RESULT_INTERNAL;
}

static Result
take_return(void *context, const RpcPeer *sender, const GByteArray *body,
            GByteArray *reply)
{
    DepartureKeeper *keeper = context;
    Copy copy = {0};
    int32_t is_written;

    (void)sender;
    if (!decode_copy(body, &copy) || copy.instance[0] == '\0') {
        return RESULT_MALFORMED;
    }
    is_written =
        keeper->desc.returned(keeper->desc.context, copy.instance, copy.born);
    return Rpc_Encode(reply, (xdrproc_t)xdr_int32_t, &is_written)
               ? RESULT_OK
               : RESULT_INTERNAL;
}

static void *
run_call(void *context)
{
    Call *call = context;
    GByteArray *body = g_byte_array_new();
    GByteArray *reply = g_byte_array_new();

    call->result = RESULT_TOO_LARGE;
    if (call->copy == NULL ||
        Rpc_Encode(body, (xdrproc_t)xdr_copy, call->copy)) {
        call->result = Rpc_Call(call->keeper->desc.rpc, &call->peer,
                                call->kind, body, reply, CALL_TIMEOUT_MS);
    }
    if (call->result == RESULT_OK &&
        call->kind == RPC_KIND_DEPARTURE_COLLECT &&
        !decode_copy(reply, &call->reply)) {
        call->result = RESULT_MALFORMED;
    }
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
    return NULL;
}

/* Calls the first neighbours in the order of this host at the same time, so
 * that silent ones do not add up. Returns the number of calls. */
static uint32_t
call_neighbours(DepartureKeeper *keeper, uint32_t kind, const Copy *copy,
                Call *calls, uint32_t max)
{
    RosterPeer peers[MAX_ASKED + 1];
    uint32_t known = Roster_Rank(keeper->desc.roster, keeper->self, FALSE,
                                 Clock_Now(), peers, G_N_ELEMENTS(peers));
    uint32_t count = 0;

    for (uint32_t i = 0; i < known && count < max; i++) {
        if (!peers[i].is_self) {
            calls[count] = (Call){.keeper = keeper,
                                  .peer = Rpc_PeerAt(&peers[i].rpc),
                                  .kind = kind,
                                  .copy = copy};
            calls[count].peer.host = peers[i].host;
            count++;
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        pthread_create(&calls[i].thread, NULL, run_call, &calls[i]);
    }
    for (uint32_t i = 0; i < count; i++) {
        pthread_join(calls[i].thread, NULL);
    }
    return count;
}

DepartureKeeper *
DepartureKeeper_Create(const DepartureKeeper_desc *desc)
{
    DepartureKeeper *keeper = g_new0(DepartureKeeper, 1);

    keeper->desc = *desc;
    keeper->self = Rng_HashString(desc->host);
    pthread_mutex_init(&keeper->lock, NULL);
    keeper->kept =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    Rpc_Handle(desc->rpc, RPC_KIND_DEPARTURE_KEEP, keep, keeper);
    Rpc_Handle(desc->rpc, RPC_KIND_DEPARTURE_COLLECT, serve_collect, keeper);
    Rpc_Handle(desc->rpc, RPC_KIND_DEPARTURE_RETURN, take_return, keeper);
    return keeper;
}

void
DepartureKeeper_Destroy(DepartureKeeper *keeper)
{
    if (keeper != NULL) {
        g_hash_table_destroy(keeper->kept);
        pthread_mutex_destroy(&keeper->lock);
        g_free(keeper);
    }
}

gboolean
DepartureKeeper_Deposit(DepartureKeeper *keeper, const char *instance,
                        int64_t born)
{
    Copy copy = make_copy(keeper, instance, born);
    Call calls[KEEPERS];
    uint32_t count = call_neighbours(keeper, RPC_KIND_DEPARTURE_KEEP, &copy,
                                     calls, KEEPERS);
    uint32_t copies = 0;

    for (uint32_t i = 0; i < count; i++) {
        copies += calls[i].result == RESULT_OK;
    }
    Log_Event(LOG_DEPARTURE_DEPOSITED,
              "instance=%s born=%" PRId64 " asked=%u copies=%u", instance,
              born, count, copies);
    return copies > 0;
}

gboolean
DepartureKeeper_Collect(DepartureKeeper *keeper)
{
    Call calls[MAX_ASKED];
    uint32_t count = call_neighbours(keeper, RPC_KIND_DEPARTURE_COLLECT, NULL,
                                     calls, MAX_ASKED);
    uint32_t answers = 0;

    for (uint32_t i = 0; i < count; i++) {
        const Copy *copy = &calls[i].reply;

        /* A neighbour of an earlier version keeps no copies. */
        answers += calls[i].result == RESULT_OK ||
                   calls[i].result == RESULT_RPC_UNKNOWN_KIND;
        if (calls[i].result == RESULT_OK && copy->instance[0] != '\0') {
            (void)keeper->desc.returned(keeper->desc.context, copy->instance,
                                        copy->born);
        }
    }
    return count == 0 || answers > 0;
}

/* Finds copies whose return has waited longest, and drops the old ones. */
static uint32_t
find_returns(DepartureKeeper *keeper, Kept *returns)
{
    GHashTableIter iterator;
    gpointer value;
    ClockMs now = Clock_Now();
    uint32_t count = 0;

    pthread_mutex_lock(&keeper->lock);
    g_hash_table_iter_init(&iterator, keeper->kept);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Kept *kept = value;
        uint32_t place = count;

        if (now - kept->since > RETENTION_MS) {
            g_hash_table_iter_remove(&iterator);
            continue;
        }
        if (now - kept->returned < (now - kept->since) / RETURN_PART) {
            continue;
        }
        while (place > 0 && returns[place - 1].returned > kept->returned) {
            place--;
        }
        if (place < MAX_RETURNS) {
            count = MIN(count + 1, MAX_RETURNS);
            memmove(&returns[place + 1], &returns[place],
                    (count - place - 1) * sizeof(Kept));
            returns[place] = *kept;
        }
    }
    pthread_mutex_unlock(&keeper->lock);
    return count;
}

/* Notes the try, and drops the copy if the store has the record. */
static void
end_return(DepartureKeeper *keeper, const Kept *returned, gboolean is_written)
{
    Kept *kept;

    pthread_mutex_lock(&keeper->lock);
    kept = g_hash_table_lookup(keeper->kept, &returned->host.host);
    if (kept != NULL) {
        kept->returned = Clock_Now();
    }
    if (kept != NULL && is_written &&
        strcmp(kept->copy.instance, returned->copy.instance) == 0 &&
        kept->copy.born == returned->copy.born) {
        g_hash_table_remove(keeper->kept, &returned->host.host);
    }
    pthread_mutex_unlock(&keeper->lock);
}

void
DepartureKeeper_Return(DepartureKeeper *keeper)
{
    Kept returns[MAX_RETURNS];
    uint32_t count = find_returns(keeper, returns);

    for (uint32_t i = 0; i < count; i++) {
        GByteArray *body = g_byte_array_new();
        GByteArray *reply = g_byte_array_new();
        int32_t is_written = 0;

        if (!Rpc_Encode(body, (xdrproc_t)xdr_copy, &returns[i].copy) ||
            Rpc_Call(keeper->desc.rpc, &returns[i].host,
                     RPC_KIND_DEPARTURE_RETURN, body, reply,
                     CALL_TIMEOUT_MS) != RESULT_OK ||
            !Rpc_Decode(reply, (xdrproc_t)xdr_int32_t, &is_written)) {
            is_written = 0;
        }
        end_return(keeper, &returns[i], is_written != 0);
        g_byte_array_unref(body);
        g_byte_array_unref(reply);
    }
}
