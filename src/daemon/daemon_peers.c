/* Exchange between daemons: configuration versions and bundles, hand-over of
 * the run table, roster objects. */
#include <string.h>
#include <urcu.h>

#include "base/log.h"
#include "base/rng.h"
#include "daemon/daemon_internal.h"

#define WATCHERS_PER_DATA_CENTRE 3
#define NOTICE_PEERS 3
#define NOTICE_TIMEOUT_MS 500
#define FETCH_TIMEOUT_MS 3000
#define HAND_OVER_TIMEOUT_MS 5000
#define HAND_OVER_CHUNK_BYTES 500000
#define HAND_OVER_HOSTS 3
#define ROSTER_PERIOD_MS 60000
#define ROSTER_HOSTS 16

/* Rendezvous key of the watchers, so that they are ranked independently of the
 * holders of rate slots. */
#define WATCH_KEY UINT64_C(0x7761746368657273)

gboolean
_Daemon_FindPeer(const Daemon *daemon, uint64_t host, RpcPeer *peer)
{
    const MemberHost *member = Member_FindHost(daemon->member, host);

    if (member == NULL) {
        return FALSE;
    }
    *peer = (RpcPeer){.host = member->id,
                      .incarnation = member->incarnation,
                      .ip = member->ip,
                      .port = member->rpc_port};
    return TRUE;
}

static gboolean
find_owner_address(const Daemon *daemon, uint64_t host,
                   struct sockaddr_in *address)
{
    const MemberHost *member;

    rcu_read_lock();
    member = Member_FindHost(daemon->member, host);
    if (member != NULL) {
        *address = (struct sockaddr_in){
            .sin_family = AF_INET,
            .sin_addr.s_addr = htonl(member->ip),
            .sin_port = htons(member->owner_port),
        };
    }
    rcu_read_unlock();
    return member != NULL;
}

/* Sends a signed request to another daemon's owner port. */
static Result
call_daemon(Daemon *daemon, uint64_t host, const char *method,
            const char *target, const void *body, size_t body_bytes,
            ClockMs timeout, HttpAnswer *answer)
{
    HttpHeaders headers = {0};
    HttpCall call = {.method = method,
                     .target = target,
                     .headers = &headers,
                     .body = body,
                     .body_bytes = body_bytes,
                     .deadline = Clock_Now() + timeout};
    gboolean sent;
    Result result;

    if (!find_owner_address(daemon, host, &call.address)) {
        return RESULT_MEMBER_UNKNOWN;
    }
    OwnerPort_SignPeer(method, target, body, body_bytes,
                       daemon->settings->fleet_secret, daemon->secret_bytes,
                       &headers);
    result = HttpClient_Call(daemon->client, &call, answer, &sent);
    HttpHeaders_Clear(&headers);
    if (result == RESULT_OK && answer->status != 200) {
        result = RESULT_IO;
        HttpAnswer_Clear(answer);
    }
    return result;
}

GBytes *
_Daemon_FetchBundle(void *context, uint64_t peer,
                    const ConfigSyncRequest *request, GError **error)
{
    char *query = ConfigSync_FormatRequest(request);
    char *target = g_strconcat("/peer/bundle?", query, NULL);
    HttpAnswer answer = {0};
    GBytes *bundle = NULL;
    Result result = call_daemon(context, peer, "GET", target, NULL, 0,
                                FETCH_TIMEOUT_MS, &answer);

    if (result == RESULT_OK) {
        bundle = g_bytes_new(answer.body, answer.body_bytes);
    }
    else {
        Result_SetError(error, result, "no bundle from the peer: %s",
                        Result_Text(result));
    }
    HttpAnswer_Clear(&answer);
    g_free(target);
    g_free(query);
    return bundle;
}

static void
serve_bundle(Daemon *daemon, HttpRequest *http)
{
    HttpAnswer answer = {.status = 200};
    ConfigSyncRequest request;
    GBytes *bundle;
    const void *data;
    size_t bytes;

    if (daemon->sync == NULL ||
        !ConfigSync_ParseRequest(HttpRequest_Query(http), &request)) {
        HttpAnswer_SetRefusal(&answer, RESULT_MALFORMED, RUN_NO, NULL, NULL);
    }
    else {
        bundle = ConfigSync_CreateBundle(daemon->sync, &request);
        data = g_bytes_get_data(bundle, &bytes);
        HttpAnswer_SetBody(&answer, data, bytes);
        g_bytes_unref(bundle);
    }
    HttpRequest_Respond(http, &answer);
}

static void
serve_runs(Daemon *daemon, HttpRequest *http)
{
    HttpAnswer answer = {.status = 200};
    size_t bytes;
    const char *body = HttpRequest_Body(http, &bytes);
    Result result = RunTable_Adopt(daemon->runs, body, bytes, Clock_Now());

    if (result != RESULT_OK) {
        HttpAnswer_SetRefusal(&answer, result, RUN_NO, NULL, NULL);
    }
    else {
        Log_Event(LOG_RUNS_TAKEN_OVER, "bytes=%zu", bytes);
    }
    HttpRequest_Respond(http, &answer);
}

void
_Daemon_HandlePeer(void *context, HttpRequest *request)
{
    HttpAnswer answer = {0};

    if (strcmp(HttpRequest_Path(request), "/peer/bundle") == 0) {
        serve_bundle(context, request);
    }
    else if (strcmp(HttpRequest_Path(request), "/peer/runs") == 0) {
        serve_runs(context, request);
    }
    else {
        HttpAnswer_SetRefusal(&answer, RESULT_NOT_FOUND, RUN_NO, NULL, NULL);
        HttpRequest_Respond(request, &answer);
    }
}

/* Copies the ids of the other live hosts in random order. */
static size_t
random_hosts(Daemon *daemon, uint64_t *ids, size_t max)
{
    const MemberHostList *list;
    size_t count = 0;
    Rng rng;

    Rng_Seed(&rng, Rng_ProcessSeed());
    rcu_read_lock();
    list = Member_ListHosts(daemon->member, MEMBER_ANY, MEMBER_ANY);
    if (list->count > 0) {
        uint32_t start = (uint32_t)Rng_Below(&rng, list->count);
        uint32_t step = 1;

        /* A step that divides the count would visit only a part of the hosts,
         * so such steps are rejected if there are more than two hosts. A step
         * with another common divisor is accepted and can visit a host more
         * than once. */
        do {
            step = 1 + (uint32_t)Rng_Below(&rng, list->count);
        } while (list->count > 2 && list->count % step == 0 && step > 1);
        for (uint32_t i = 0; i < list->count && count < max; i++) {
            uint64_t id =
                list->hosts[(start + (uint64_t)i * step) % list->count]->id;

            if (id != daemon->host) {
                ids[count++] = id;
            }
        }
    }
    rcu_read_unlock();
    return count;
}

size_t
_Daemon_ListPeers(void *context, uint64_t *ids, size_t max)
{
    return random_hosts(context, ids, max);
}

gboolean
_Daemon_IsWatcher(void *context)
{
    Daemon *daemon = context;
    const MemberHostList *list;
    gboolean is_watcher;

    rcu_read_lock();
    list =
        Member_ListHosts(daemon->member, daemon->region, daemon->data_centre);
    is_watcher = Member_RankOf(list, WATCH_KEY, daemon->host) <
                 WATCHERS_PER_DATA_CENTRE;
    rcu_read_unlock();
    return is_watcher;
}

/* A version notice: version, digest of withdrawals, age of the last contact
 * with the store; three XDR hypers. Sent with pings and as message kind 30. */
static gboolean
read_notice(const GByteArray *payload, int64_t *version, uint64_t *withdrawals,
            int64_t *age)
{
    XDR xdr;
    gboolean ok;

    if (payload->len != 24) {
        return FALSE;
    }
    xdrmem_create(&xdr, (char *)payload->data, payload->len, XDR_DECODE);
    ok = xdr_int64_t(&xdr, version) && xdr_uint64_t(&xdr, withdrawals) &&
         xdr_int64_t(&xdr, age);
    xdr_destroy(&xdr);
    return ok;
}

void
_Daemon_AppendVersion(void *context, GByteArray *payload)
{
    Daemon *daemon = context;
    int64_t version;
    uint64_t withdrawals;
    int64_t age;

    if (daemon->sync == NULL) {
        return;
    }
    version = Config_PeekVersion(daemon->config);
    withdrawals = Config_GetWithdrawalsDigest(daemon->config);
    age = ConfigSync_ContactAgeMs(daemon->sync);
    Rpc_Encode(payload, (xdrproc_t)xdr_int64_t, &version);
    Rpc_Encode(payload, (xdrproc_t)xdr_uint64_t, &withdrawals);
    Rpc_Encode(payload, (xdrproc_t)xdr_int64_t, &age);
}

void
_Daemon_ReadVersion(void *context, const RpcPeer *sender,
                    const GByteArray *payload)
{
    Daemon *daemon = context;
    int64_t version;
    uint64_t withdrawals;
    int64_t age;

    if (daemon->sync != NULL &&
        read_notice(payload, &version, &withdrawals, &age)) {
        ConfigSync_HandlePeerVersion(daemon->sync, sender->host, version,
                                     withdrawals, age);
    }
}

Result
_Daemon_HandleNotice(void *context, const RpcPeer *sender,
                     const GByteArray *body, GByteArray *reply)
{
    _Daemon_ReadVersion(context, sender, body);
    _Daemon_AppendVersion(context, reply);
    return RESULT_OK;
}

static void
send_notices(void *context)
{
    Daemon *daemon = context;
    uint64_t ids[NOTICE_PEERS];
    size_t count = random_hosts(daemon, ids, NOTICE_PEERS);
    GByteArray *body = g_byte_array_new();
    RpcPeer peer;
    gboolean found;

    _Daemon_AppendVersion(daemon, body);
    for (size_t i = 0; i < count; i++) {
        GByteArray *reply = g_byte_array_new();

        rcu_read_lock();
        found = _Daemon_FindPeer(daemon, ids[i], &peer);
        rcu_read_unlock();
        if (found && Rpc_Call(daemon->rpc, &peer, RPC_KIND_VERSION_NOTICE,
                              body, reply, NOTICE_TIMEOUT_MS) == RESULT_OK) {
            _Daemon_ReadVersion(daemon, &peer, reply);
        }
        g_byte_array_unref(reply);
    }
    g_byte_array_unref(body);
}

void
_Daemon_ConfigChanged(void *context, int64_t version, uint64_t withdrawals)
{
    Daemon *daemon = context;

    (void)version;
    (void)withdrawals;
    /* If the queue is full, the next pings carry the version. */
    HttpExecutor_Submit(daemon->background, send_notices, daemon);
}

/* Format of a roster object:
 * {"hosts":[{"id":"<hex>","rpc":"address:port"}...]} */
uint32_t
_Daemon_ReadRoster(void *context, RpcPeer *entries, uint32_t max)
{
    Daemon *daemon = context;
    StoreList list = {0};
    uint32_t count = 0;
    Result result;

    if (daemon->store == NULL) {
        return 0;
    }
    pthread_mutex_lock(&daemon->store_lock);
    result = Store_List(daemon->store, "roster/", 0, 0, 100, &list, NULL);
    pthread_mutex_unlock(&daemon->store_lock);
    for (guint i = 0; result == RESULT_OK && i < list.objects->len; i++) {
        json_t *hosts = json_object_get(
            g_array_index(list.objects, StoreObject, i).value, "hosts");
        struct sockaddr_in address;
        json_t *host;
        size_t index;

        json_array_foreach(hosts, index, host)
        {
            const char *rpc = json_string_value(json_object_get(host, "rpc"));

            if (count < max && rpc != NULL &&
                HttpAddress_Parse(rpc, &address)) {
                entries[count++] = Rpc_PeerAt(&address);
            }
        }
    }
    if (result == RESULT_OK) {
        StoreList_Clear(&list);
    }
    return count;
}

static json_t *
format_roster(Daemon *daemon)
{
    const MemberHost *hosts[ROSTER_HOSTS];
    json_t *array = json_array();
    struct sockaddr_in address;
    char text[32];
    char id[20];
    uint32_t count;

    rcu_read_lock();
    count = Member_Rank(
        Member_ListHosts(daemon->member, daemon->region, daemon->data_centre),
        WATCH_KEY, hosts, ROSTER_HOSTS);
    for (uint32_t i = 0; i < count; i++) {
        address = (struct sockaddr_in){
            .sin_family = AF_INET,
            .sin_addr.s_addr = htonl(hosts[i]->ip),
            .sin_port = htons(hosts[i]->rpc_port),
        };
        HttpAddress_Format(&address, text, sizeof(text));
        g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x", hosts[i]->id);
        json_array_append_new(array,
                              json_pack("{s:s, s:s}", "id", id, "rpc", text));
    }
    rcu_read_unlock();
    return json_pack("{s:o}", "hosts", array);
}

void
_Daemon_WriteRoster(Daemon *daemon, ClockMs now)
{
    const MemberHostList *list;
    StoreObject object = {0};
    json_t *value;
    char *name;
    gboolean is_first;
    Result result;

    if (daemon->store == NULL ||
        (daemon->roster_written != 0 &&
         now - daemon->roster_written < ROSTER_PERIOD_MS)) {
        return;
    }
    rcu_read_lock();
    list =
        Member_ListHosts(daemon->member, daemon->region, daemon->data_centre);
    is_first = Member_RankOf(list, WATCH_KEY, daemon->host) == 0;
    rcu_read_unlock();
    if (!is_first) {
        return;
    }
    daemon->roster_written = now;
    name = g_strconcat("roster/", daemon->settings->data_centre, NULL);
    value = format_roster(daemon);
    pthread_mutex_lock(&daemon->store_lock);
    result = Store_Get(daemon->store, name, &object, NULL);
    if (result == RESULT_NOT_FOUND ||
        (result == RESULT_OK && !json_equal(object.value, value))) {
        Store_Put(daemon->store, name, object.version, value, NULL, NULL);
    }
    pthread_mutex_unlock(&daemon->store_lock);
    StoreObject_Clear(&object);
    json_decref(value);
    g_free(name);
}

/* Sends all chunks to one host. */
static gboolean
send_runs(Daemon *daemon, uint64_t host, GPtrArray *chunks)
{
    for (guint i = 0; i < chunks->len; i++) {
        HttpAnswer answer = {0};
        size_t bytes;
        const void *data =
            g_bytes_get_data(g_ptr_array_index(chunks, i), &bytes);
        Result result = call_daemon(daemon, host, "POST", "/peer/runs", data,
                                    bytes, HAND_OVER_TIMEOUT_MS, &answer);

        HttpAnswer_Clear(&answer);
        if (result != RESULT_OK) {
            return FALSE;
        }
    }
    return TRUE;
}

uint64_t
_Daemon_HandOverRuns(Daemon *daemon)
{
    const MemberHost *hosts[HAND_OVER_HOSTS + 1];
    uint64_t ids[HAND_OVER_HOSTS + 1];
    uint64_t successor = 0;
    GPtrArray *chunks;
    unsigned count;

    rcu_read_lock();
    count = Entry_Successors(daemon->member, daemon->host, daemon->incarnation,
                             daemon->region, daemon->data_centre, hosts,
                             G_N_ELEMENTS(hosts));
    for (unsigned i = 0; i < count; i++) {
        ids[i] = hosts[i]->id;
    }
    rcu_read_unlock();
    chunks =
        RunTable_HandOver(daemon->runs, HAND_OVER_CHUNK_BYTES, Clock_Now());
    for (unsigned i = 0; i < count && successor == 0; i++) {
        if (send_runs(daemon, ids[i], chunks)) {
            successor = ids[i];
            Log_Event(LOG_RUNS_HANDED_OVER,
                      "successor=%016" G_GINT64_MODIFIER "x chunks=%u",
                      successor, chunks->len);
        }
    }
    g_ptr_array_unref(chunks);
    return successor;
}
