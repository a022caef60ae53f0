#include "daemon/daemon.h"

#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <urcu.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/rng.h"
#include "daemon/daemon_internal.h"
#include "http/http_tls.h"
#include "issue/run_rpc.h"
#include "memory/memory.h"

#define BACKGROUND_THREADS 3
#define BACKGROUND_QUEUE 256
#define JOIN_TIMEOUT_MS 2000

/* Time for which a stopping daemon still accepts requests from entries that do
 * not know yet that it is leaving. */
#define LEAVE_PROPAGATION_MS 1500
#define RELEASE_TIMEOUT_MS 3000
#define EXPIRE_PERIOD_MS 1000

static struct sockaddr_in
listen_address(const Daemon *daemon, int64_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    inet_pton(AF_INET, daemon->settings->address, &address.sin_addr);
    return address;
}

static void
publish_servers(void *context, const MemberServer *servers, uint32_t count)
{
    Daemon *daemon = context;

    if (daemon->gossip != NULL) {
        Gossip_SetServers(daemon->gossip, servers, count);
    }
}

static int
baseline_class(void *context, uint64_t service)
{
    Daemon *daemon = context;
    const MemberService *members;
    int classes[256];
    size_t count = 0;

    if (daemon->member == NULL) {
        return HEALTH_CLASS_UNKNOWN;
    }
    rcu_read_lock();
    members = Member_FindService(daemon->member, service);
    for (uint32_t i = 0; members != NULL && i < members->count &&
                         count < G_N_ELEMENTS(classes);
         i++) {
        if (members->refs[i].server->state == MEMBER_SERVER_READY) {
            classes[count++] = members->refs[i].server->latency_class;
        }
    }
    rcu_read_unlock();
    return Health_ClassMedian(classes, count);
}

static Result
handle_mint(void *context, const RpcPeer *sender, const GByteArray *body,
            GByteArray *reply)
{
    Daemon *daemon = context;

    (void)sender;
    return RunRpc_ServeMint(daemon->runs, body->data, body->len, Clock_Now(),
                            reply);
}

static Result
handle_token_state(void *context, const RpcPeer *sender,
                   const GByteArray *body, GByteArray *reply)
{
    Daemon *daemon = context;

    (void)sender;
    return RunRpc_ServeState(daemon->runs, body->data, body->len, Clock_Now(),
                             reply);
}

static Result
handle_attempt(void *context, const RpcPeer *sender, const GByteArray *body,
               GByteArray *reply)
{
    Daemon *daemon = context;

    (void)sender;
    return EntryWatch_ServeQuery(daemon->owner_port, body, reply);
}

static Result
handle_permit(void *context, const RpcPeer *sender, const GByteArray *body,
              GByteArray *reply)
{
    Daemon *daemon = context;

    return daemon->permits == NULL
               ? RESULT_RATE_NOT_HELD
               : _DaemonPermits_Handle(daemon->permits, sender, body, reply);
}

static void
on_superseded(void *context)
{
    Daemon *daemon = context;

    atomic_store(&daemon->superseded, TRUE);
}

static gboolean
create_rpc(Daemon *daemon, GError **error)
{
    Rpc_desc desc = {.host = daemon->host,
                     .incarnation = daemon->incarnation,
                     .address = daemon->settings->address,
                     .port = (uint16_t)daemon->settings->rpc_port,
                     .secret = daemon->settings->fleet_secret,
                     .secret_bytes = daemon->secret_bytes};

    daemon->rpc = Rpc_Create(&desc, error);
    if (daemon->rpc == NULL) {
        return FALSE;
    }
    Rpc_Handle(daemon->rpc, RPC_KIND_MINT_TOKEN, handle_mint, daemon);
    Rpc_Handle(daemon->rpc, RPC_KIND_TOKEN_STATE, handle_token_state, daemon);
    Rpc_Handle(daemon->rpc, RPC_KIND_ATTEMPT_STATE, handle_attempt, daemon);
    Rpc_Handle(daemon->rpc, RPC_KIND_PERMIT, handle_permit, daemon);
    Rpc_Handle(daemon->rpc, RPC_KIND_VERSION_NOTICE, _Daemon_HandleNotice,
               daemon);
    _Daemon_RegisterRate(daemon);
    return TRUE;
}

static gboolean
create_owner(Daemon *daemon, GError **error)
{
    const Settings *settings = daemon->settings;
    RunTable_desc runs = {
        .owner = daemon->host,
        .incarnation = daemon->incarnation,
        .max_runs = (uint32_t)settings->run_table_entries,
        .validity_ms = settings->token_validity_ms,
    };
    Owner_desc owner = {
        .host = daemon->host,
        .incarnation = daemon->incarnation,
        .secret = settings->fleet_secret,
        .secret_bytes = daemon->secret_bytes,
        .client = daemon->client,
        .queue_per_server = &settings->queue_per_server,
        .announce_timeout_ms = &settings->announce_timeout_ms,
        .health = {.threshold_nats = (double)settings->health_threshold_nats,
                   .stall_ms = settings->health_stall_ms},
        .publish = publish_servers,
        .baseline = baseline_class,
        .request_permit = _DaemonPermits_Request,
        .context = daemon,
    };
    OwnerPort_desc port = {
        .address = listen_address(daemon, settings->owner_port),
        .threads = (unsigned)settings->owner_threads,
        .max_body_bytes = (size_t)settings->max_body_bytes,
        .secret = settings->fleet_secret,
        .secret_bytes = daemon->secret_bytes,
        .peer_handler = _Daemon_HandlePeer,
        .peer_context = daemon,
    };

    daemon->runs = RunTable_Create(&runs);
    owner.runs = daemon->runs;
    daemon->owner = Owner_Create(&owner);
    port.owner = daemon->owner;
    daemon->owner_port = OwnerPort_Create(&port, error);
    return daemon->owner_port != NULL;
}

static uint16_t
choose_port(int64_t advertised, uint16_t bound)
{
    return advertised > 0 ? (uint16_t)advertised : bound;
}

static gboolean
join_fleet(Daemon *daemon, GError **error)
{
    const Settings *settings = daemon->settings;
    RpcPeer seeds[SETTINGS_MAX_ADDRESSES];
    Gossip_desc desc = {
        .rpc = daemon->rpc,
        .seeds = seeds,
        .seed_count = settings->seeds.count,
        .read_roster = _Daemon_ReadRoster,
        .append_payload = _Daemon_AppendVersion,
        .read_payload = _Daemon_ReadVersion,
        .superseded = on_superseded,
        .context = daemon,
        .member = {.seed = Rng_ProcessSeed(),
                   .period_ms = (int)settings->gossip_period_ms},
    };
    struct sockaddr_in address = listen_address(daemon, 0);

    for (unsigned i = 0; i < settings->seeds.count; i++) {
        seeds[i] = Rpc_PeerAt(&settings->seeds.items[i]);
    }
    desc.member.self = (MemberSelf){
        .id = daemon->host,
        .incarnation = daemon->incarnation,
        .ip = ntohl(address.sin_addr.s_addr),
        .entry_port = (uint16_t)settings->entry_port,
        .owner_port = choose_port(settings->advertised_owner_port,
                                  OwnerPort_Number(daemon->owner_port)),
        .rpc_port = choose_port(settings->advertised_rpc_port,
                                Rpc_GetPort(daemon->rpc)),
        .region = (uint8_t)daemon->region,
        .data_centre = (uint8_t)daemon->data_centre,
    };
    daemon->gossip = Gossip_Create(&desc);
    daemon->member = Gossip_GetMember(daemon->gossip);
    if (!Rpc_Start(daemon->rpc, error)) {
        return FALSE;
    }
    Gossip_Join(daemon->gossip, JOIN_TIMEOUT_MS);
    /* The wall clock, which numbers the incarnations, went back. Run tokens
     * and leases must not be bound to an incarnation that the fleet regards as
     * an earlier one. */
    if (Rpc_GetIncarnation(daemon->rpc) != daemon->incarnation) {
        return Result_SetError(error, RESULT_RPC_OLD_SESSION,
                               "the fleet knows a later incarnation of this "
                               "host");
    }
    return TRUE;
}

static gboolean
create_config(Daemon *daemon, GError **error)
{
    ConfigSync_desc desc = {.config = daemon->config,
                            .store_addresses = daemon->store_addresses,
                            .host = daemon->settings->host,
                            .context = daemon,
                            .is_watcher = _Daemon_IsWatcher,
                            .fetch = _Daemon_FetchBundle,
                            .peers = _Daemon_ListPeers,
                            .changed = _Daemon_ConfigChanged};

    daemon->sync = ConfigSync_Create(&desc, error);
    return daemon->sync != NULL;
}

static gboolean
read_pem(const char *path, char **text, GError **error)
{
    GError *cause = NULL;

    if (path[0] == '\0') {
        return TRUE;
    }
    if (!g_file_get_contents(path, text, NULL, &cause)) {
        Result_SetError(error, RESULT_IO, "%s", cause->message);
        g_error_free(cause);
        return FALSE;
    }
    return TRUE;
}

static gboolean
create_entry(Daemon *daemon, GError **error)
{
    const Settings *settings = daemon->settings;
    Entry_desc desc = {
        .settings = settings,
        .address = listen_address(daemon, settings->entry_port),
        .host = daemon->host,
        .incarnation = daemon->incarnation,
        .config = daemon->config,
        .sync = daemon->sync,
        .member = daemon->member,
        .rate = daemon->rate,
        .owner = daemon->owner,
        .runs = daemon->runs,
        .rpc = daemon->rpc,
        .client = daemon->client,
    };

    if (!read_pem(settings->tls_certificate_file, &daemon->tls_certificate_pem,
                  error) ||
        !read_pem(settings->tls_key_file, &daemon->tls_key_pem, error)) {
        return FALSE;
    }
    desc.tls_certificate_pem = daemon->tls_certificate_pem;
    desc.tls_key_pem = daemon->tls_key_pem;
    daemon->entry = Entry_Create(&desc, error);
    return daemon->entry != NULL;
}

static void *
run_ticker(void *context)
{
    Daemon *daemon = context;
    ClockMs last_expiry = 0;
    ClockMs now;

    rcu_register_thread();
    while (!atomic_load(&daemon->stopping)) {
        (void)poll(NULL, 0, HEALTH_TICK_MS);
        now = Clock_Now();
        Owner_Tick(daemon->owner, now);
        if (now - last_expiry >= EXPIRE_PERIOD_MS) {
            RunTable_Expire(daemon->runs, now);
            _Daemon_WriteRoster(daemon, now);
            last_expiry = now;
        }
    }
    rcu_unregister_thread();
    return NULL;
}

static gboolean
open_store(Daemon *daemon, GError **error)
{
    const SettingsAddresses *store = &daemon->settings->store;
    GString *joined = g_string_new(NULL);
    Store_desc desc = {0};
    char address[32];

    for (unsigned i = 0; i < store->count; i++) {
        HttpAddress_Format(&store->items[i], address, sizeof(address));
        g_string_append_printf(joined, "%s%s", i > 0 ? "," : "", address);
    }
    if (store->count > 0) {
        daemon->store_addresses = g_strdup(joined->str);
        desc.addresses = daemon->store_addresses;
        daemon->store = Store_Create(&desc, error);
    }
    g_string_free(joined, TRUE);
    return store->count == 0 || daemon->store != NULL;
}

static gboolean
start(Daemon *daemon, GError **error)
{
    daemon->client = HttpClient_Create(&(HttpClient_desc){
        .unacked_timeout_ms = daemon->settings->silence_ms});
    daemon->background =
        HttpExecutor_Create(BACKGROUND_THREADS, BACKGROUND_QUEUE);
    daemon->config = Config_Create();
    if (!open_store(daemon, error) || !create_rpc(daemon, error) ||
        !create_owner(daemon, error) || !join_fleet(daemon, error)) {
        return FALSE;
    }
    daemon->rate = _Daemon_CreateRate(daemon);
    daemon->permits = _DaemonPermits_Create(daemon);
    if (!create_config(daemon, error) || !create_entry(daemon, error)) {
        return FALSE;
    }
    daemon->admin = _Daemon_CreateAdmin(daemon, error);
    if (daemon->admin == NULL) {
        return FALSE;
    }
    ConfigSync_Start(daemon->sync);
    RateService_Start(daemon->rate);
    daemon->ticker_started =
        pthread_create(&daemon->ticker, NULL, run_ticker, daemon) == 0;
    return TRUE;
}

static Daemon *
create(Settings *settings, uint64_t incarnation)
{
    Daemon *daemon = g_new0(Daemon, 1);

    daemon->settings = settings;
    daemon->host = Rng_HashString(settings->host);
    daemon->incarnation = incarnation;
    daemon->secret_bytes = strlen(settings->fleet_secret);
    daemon->region = Settings_IndexOf(&settings->regions, settings->region);
    daemon->data_centre =
        Settings_IndexOf(&settings->data_centres, settings->data_centre);
    daemon->retired =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    pthread_mutex_init(&daemon->store_lock, NULL);
    return daemon;
}

static void
set_memory(const Settings *settings)
{
    Memory_SetLimit(Memory_Process(),
                    Memory_LimitOfHost(Settings_Read(&settings->memory_mb)));
}

Daemon *
Daemon_Create(Settings *settings, GError **error)
{
    Daemon *daemon = create(settings, (uint64_t)Clock_WallMs());
    uint64_t incarnation;
    GError *cause = NULL;

    set_memory(settings);
    while (!start(daemon, &cause)) {
        incarnation =
            daemon->rpc != NULL ? Rpc_GetIncarnation(daemon->rpc) : 0;
        if (incarnation <= daemon->incarnation) {
            Daemon_Destroy(daemon);
            g_propagate_error(error, cause);
            return NULL;
        }
        g_clear_error(&cause);
        daemon->settings = NULL;
        Daemon_Destroy(daemon);
        daemon = create(settings, incarnation);
    }
    Log_Event(LOG_STARTED,
              "entry=%s:%u owner_port=%u rpc_port=%u admin_port=%u "
              "incarnation=%" G_GUINT64_FORMAT,
              settings->address, Entry_Port(daemon->entry),
              OwnerPort_Number(daemon->owner_port), Rpc_GetPort(daemon->rpc),
              HttpServer_Port(daemon->admin), daemon->incarnation);
    return daemon;
}

/* Reloads the certificate and its key from the files that the settings named
 * when the daemon started. */
static void
renew_certificate(const Daemon *daemon)
{
    const Settings *settings = daemon->settings;
    char *certificate = NULL;
    char *key = NULL;
    GError *error = NULL;

    if (settings->tls_certificate_file[0] == '\0') {
        return;
    }
    if (read_pem(settings->tls_certificate_file, &certificate, &error) &&
        read_pem(settings->tls_key_file, &key, &error) &&
        HttpTls_SetCertificate(certificate, key, Clock_Now(), &error)) {
        Log_Event(LOG_TLS_CERTIFICATE_RENEWED, "file=%s",
                  settings->tls_certificate_file);
    }
    else {
        Log_Event(LOG_TLS_CERTIFICATE_REJECTED, "%s", error->message);
        g_error_free(error);
    }
    g_free(certificate);
    g_free(key);
}

void
Daemon_Reload(Daemon *daemon, const char *path)
{
    GString *unchanged = g_string_new(NULL);
    GError *error = NULL;
    Settings *settings = Settings_Load(path, &error);

    if (settings == NULL) {
        Log_Event(LOG_SETTINGS_REJECTED, "%s", error->message);
        g_error_free(error);
    }
    else {
        Settings_Reload(daemon->settings, settings, unchanged);
        set_memory(daemon->settings);
        renew_certificate(daemon);
        Log_Event(LOG_SETTINGS_RELOADED, "need_restart=%s",
                  unchanged->len > 0 ? unchanged->str : "none");
        Settings_Destroy(settings);
    }
    g_string_free(unchanged, TRUE);
}

void
Daemon_Stop(Daemon *daemon)
{
    ClockMs until = Clock_Now() + Settings_Read(&daemon->settings->drain_ms);
    uint64_t successor;

    Log_Event(LOG_STOPPING, "in_flight=%s", "draining");
    /* While requests in flight still run, the draining state of the local
     * backend servers reaches the other entries, and callers switch to another
     * daemon. */
    Owner_Drain(daemon->owner);
    Entry_Drain(daemon->entry, until);
    (void)poll(NULL, 0, LEAVE_PROPAGATION_MS);
    RunTable_Drain(daemon->runs);
    RunTable_AwaitIdle(daemon->runs, until);
    RateService_Stop(daemon->rate, RELEASE_TIMEOUT_MS);
    successor = _Daemon_HandOverRuns(daemon);
    OwnerPort_Drain(daemon->owner_port, until);
    /* A connection that still sends when the process ends is reset, and its
     * caller loses what it has not received. */
    (void)Entry_AwaitReceipt(daemon->entry, until);
    (void)OwnerPort_AwaitReceipt(daemon->owner_port, until);
    ConfigSync_Stop(daemon->sync);
    Gossip_Leave(daemon->gossip, successor);
    Log_Event(LOG_STOPPED, "successor=%016" G_GINT64_MODIFIER "x", successor);
}

void
Daemon_Destroy(Daemon *daemon)
{
    if (daemon == NULL) {
        return;
    }
    atomic_store(&daemon->stopping, TRUE);
    if (daemon->ticker_started) {
        pthread_join(daemon->ticker, NULL);
    }
    HttpServer_Destroy(daemon->admin);
    Entry_Destroy(daemon->entry);
    HttpTls_Clear();
    OwnerPort_Destroy(daemon->owner_port);
    HttpExecutor_Destroy(daemon->background);
    if (daemon->rpc != NULL) {
        Rpc_Stop(daemon->rpc);
    }
    ConfigSync_Destroy(daemon->sync);
    _DaemonPermits_Destroy(daemon->permits);
    RateService_Destroy(daemon->rate);
    Gossip_Destroy(daemon->gossip);
    Owner_Destroy(daemon->owner);
    RunTable_Destroy(daemon->runs);
    Rpc_Destroy(daemon->rpc);
    Config_Destroy(daemon->config);
    Store_Destroy(daemon->store);
    HttpClient_Destroy(daemon->client);
    g_hash_table_destroy(daemon->retired);
    pthread_mutex_destroy(&daemon->store_lock);
    g_free(daemon->store_addresses);
    g_free(daemon->tls_certificate_pem);
    g_free(daemon->tls_key_pem);
    Settings_Destroy(daemon->settings);
    g_free(daemon);
}

gboolean
Daemon_IsSuperseded(const Daemon *daemon)
{
    return atomic_load(&daemon->superseded);
}
