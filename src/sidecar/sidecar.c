#include "sidecar/sidecar.h"

#include <inttypes.h>
#include <poll.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "memory/memory.h"
#include "sidecar/sidecar_internal.h"
#include "stop/stop_plan.h"


/* The maximum age of the configuration is the time in which a revoked key may
 * still be used, less this margin for a delayed watch and for queued requests.
 */
#define FRESHNESS_MARGIN_MS 1500

/* Connections to other daemons are closed when sent data stays unacknowledged
 * for this long. */
#define UNACKED_TIMEOUT_MS 800

#define MS_PER_MINUTE 60000

/* Timeout of the handover of quota counts. */
#define HANDOVER_TIMEOUT_MS 200

/* Time before the end of a stop at which the last runs are cut, so that their
 * callers get an answer. */
#define FINAL_ANSWER_MS 100

/* Longest sleep between two checks of the clock. */
#define STOP_POLL_MS 50

/* Interval at which a stop checks whether requests are in flight. */
#define IDLE_POLL_MS 10

/* Sets the ports that are 0 to consecutive numbers from first_port. */
static void
set_ports(Settings *settings)
{
    int64_t *const ports[] = {&settings->rpc_port, &settings->metrics_port,
                              &settings->mirror_port};

    for (size_t i = 0; i < G_N_ELEMENTS(ports); i++) {
        if (*ports[i] == 0 && settings->first_port != 0) {
            *ports[i] = settings->first_port + (int64_t)i;
        }
    }
}

static void
set_memory(const Settings *settings)
{
    Memory_SetLimit(Memory_Process(),
                    Memory_LimitOfHost(Settings_Read(&settings->memory_mb)));
}

static gboolean
open_rpc(Sidecar *sidecar, GError **error)
{
    const Settings *settings = sidecar->settings;
    Rpc_desc desc = {.host = Rng_HashString(settings->host),
                     .incarnation = (uint64_t)Clock_WallMs(),
                     .address = settings->address,
                     .port = (uint16_t)settings->rpc_port,
                     .secret = settings->fleet_secret,
                     .secret_bytes = strlen(settings->fleet_secret)};

    sidecar->rpc = Rpc_Create(&desc, error);
    return sidecar->rpc != NULL;
}

/* Called with the instance that left while an earlier process ran. */
static void
note_departure(void *context, const char *instance, int64_t born)
{
    Sidecar *sidecar = context;

    Backend_MarkStopped(sidecar->backend, instance, born);
}

static gboolean
deposit_departure(void *context, const char *instance, int64_t born)
{
    Sidecar *sidecar = context;

    return DepartureKeeper_Deposit(sidecar->keeper, instance, born);
}

static gboolean
collect_departures(void *context)
{
    Sidecar *sidecar = context;

    return _Sidecar_AwaitRoster(sidecar) &&
           DepartureKeeper_Collect(sidecar->keeper);
}

static gboolean
return_departure(void *context, const char *instance, int64_t born)
{
    Sidecar *sidecar = context;

    return Departure_Adopt(sidecar->departure, instance, born);
}

static void
create_state(Sidecar *sidecar)
{
    const Settings *settings = sidecar->settings;
    Roster_desc roster = {
        .host = settings->host,
        .data_centre = settings->data_centre,
        .region = settings->region,
        .placement = {.data_centre_cost = settings->data_centre_cost,
                      .region_cost = settings->region_cost},
        .even_load = settings->even_load != 0};
    Backend_desc backend = {.names = sidecar->adapter->names,
                            .service = settings->service,
                            .client = sidecar->client,
                            .cold_overage = settings->cold_overage,
                            .cold_slack = settings->cold_slack,
                            .load_by_value = sidecar->features.load_by_value,
                            .changed = _Sidecar_PublishBackend,
                            .context = sidecar};
    Quota_desc quota = {.host = Rng_HashString(settings->host),
                        .data_centres = settings->data_centres.count,
                        .window_ms = settings->quota_window_ms,
                        .overage = settings->quota_overage,
                        .slack = settings->quota_slack};
    ObjectWriter_desc writer = {.store = sidecar->store,
                                .kind = SIDECAR_ROSTER_KIND,
                                .name = settings->host};
    Departure_desc departure = {.store = sidecar->store,
                                .host = settings->host,
                                .left = note_departure,
                                .deposit = deposit_departure,
                                .collect = collect_departures,
                                .context = sidecar};

    sidecar->catalog = Catalog_Create();
    sidecar->roster = Roster_Create(&roster);
    sidecar->backend = Backend_Create(&backend);
    quota.catalog = sidecar->catalog;
    quota.roster = sidecar->roster;
    quota.rpc = sidecar->rpc;
    sidecar->quota = Quota_Create(&quota);
    sidecar->writer = ObjectWriter_Start(&writer);
    sidecar->keeper = DepartureKeeper_Create(
        &(DepartureKeeper_desc){.rpc = sidecar->rpc,
                                .roster = sidecar->roster,
                                .host = settings->host,
                                .address = settings->address,
                                .returned = return_departure,
                                .context = sidecar});
    sidecar->departure = Departure_Create(&departure);
    /* Without a fixed RPC port, an earlier process may still run. */
    sidecar->attempts = AttemptLog_Create(&(AttemptLog_desc){
        .started = settings->rpc_port > 0 ? Clock_Now() : CLOCK_NEVER});
    AttemptRpc_Serve(sidecar->rpc, sidecar->attempts);
}

static gboolean
open_request_path(Sidecar *sidecar, GError **error)
{
    const Settings *settings = sidecar->settings;
    PeerPort_desc peer = {.threads = (unsigned)settings->owner_threads,
                          .max_body_bytes = (size_t)settings->max_body_bytes,
                          .names = sidecar->adapter->names,
                          .backend = sidecar->backend,
                          .catalog = sidecar->catalog,
                          .region = settings->region,
                          .attempts = sidecar->attempts};
    Gateway_desc gateway = {
        .threads = (unsigned)settings->entry_threads,
        .max_body_bytes = (size_t)settings->max_body_bytes,
        .host = settings->host,
        .region = settings->region,
        .service = settings->service,
        .names = sidecar->adapter->names,
        .catalog = sidecar->catalog,
        .roster = sidecar->roster,
        .backend = sidecar->backend,
        .quota = sidecar->quota,
        .client = sidecar->client,
        .rpc = sidecar->rpc,
        .max_catalog_age_ms = sidecar->max_catalog_age_ms,
        .config_apply_ms =
            MIN(settings->config_apply_ms, sidecar->max_catalog_age_ms),
        .load_by_value = sidecar->features.load_by_value,
        .retry_ratio = settings->retry_ratio,
        .retry_per_minute = (double)settings->retry_slack * MS_PER_MINUTE /
                            (double)settings->retry_window_ms};

    (void)HttpAddress_Parse(settings->peer_address, &peer.address);
    (void)HttpAddress_Parse(settings->entry_address, &gateway.address);
    sidecar->peer_port = PeerPort_Create(&peer, error);
    if (sidecar->peer_port == NULL) {
        return FALSE;
    }
    sidecar->gateway = Gateway_Create(&gateway, error);
    return sidecar->gateway != NULL;
}

Sidecar *
Sidecar_Create(Settings *settings, const SidecarAdapter *adapter,
               GError **error)
{
    Sidecar *sidecar = g_new0(Sidecar, 1);

    sidecar->settings = settings;
    sidecar->adapter = adapter;
    sidecar->features = adapter->decode_features(settings->features);
    sidecar->max_catalog_age_ms =
        MAX(settings->revocation_ms - FRESHNESS_MARGIN_MS,
            settings->revocation_ms / 2);
    set_ports(settings);
    set_memory(settings);
    if (!open_rpc(sidecar, error)) {
        g_free(sidecar);
        return NULL;
    }
    sidecar->store = adapter->open_store(&settings->store.items[0]);
    sidecar->client = HttpClient_Create(
        &(HttpClient_desc){.unacked_timeout_ms = UNACKED_TIMEOUT_MS});
    sidecar->mirror_client =
        HttpClient_Create(&(HttpClient_desc){.memory = Memory_Control()});
    create_state(sidecar);
    sidecar->monitor = _Sidecar_StartMonitor(sidecar);
    sidecar->ticker = _Sidecar_StartTicker(sidecar);
    if (!_Sidecar_StartState(sidecar, error) ||
        !Rpc_Start(sidecar->rpc, error) ||
        !open_request_path(sidecar, error) ||
        !_Sidecar_OpenPorts(sidecar, error)) {
        Sidecar_Destroy(sidecar);
        return NULL;
    }
    Log_Event(LOG_STARTED,
              "mode=platform service=%s backend_server=%s data_centre=%s "
              "region=%s proof_ms=%" PRId64,
              settings->service, settings->backend_server,
              settings->data_centre, settings->region,
              sidecar->max_catalog_age_ms);
    return sidecar;
}

void
Sidecar_Reload(Sidecar *sidecar, const char *path)
{
    GError *error = NULL;
    Settings *loaded = Settings_Load(path, &error);
    GString *needs_restart = g_string_new(NULL);

    if (loaded == NULL) {
        Log_Event(LOG_SETTINGS_REJECTED, "%s", error->message);
        g_error_free(error);
    }
    else {
        Settings_Reload(sidecar->settings, loaded, needs_restart);
        set_memory(sidecar->settings);
        Log_Event(LOG_SETTINGS_RELOADED, "needs_restart=\"%s\"",
                  needs_restart->str);
        Settings_Destroy(loaded);
    }
    g_string_free(needs_restart, TRUE);
}

static void
sleep_until(ClockMs moment)
{
    while (Clock_Now() < moment) {
        (void)poll(NULL, 0, (int)MIN(moment - Clock_Now(), STOP_POLL_MS));
    }
}

/* Waits until no request is in flight. New connections are still accepted, for
 * calls of the running requests, for callers, who are told when to return, and
 * for runs that end before the stop does: once the backend is closed, nobody
 * can use its server until the next process has received its announcement. */
static void
await_idle(Sidecar *sidecar, ClockMs until)
{
    while (Clock_Now() < until &&
           Gateway_InFlight(sidecar->gateway) +
                   PeerPort_InFlight(sidecar->peer_port) >
               0) {
        (void)poll(NULL, 0, IDLE_POLL_MS);
    }
}

/* Ends the requests in flight with an answer, except for runs that may not be
 * repeated. */
static void
cancel_requests(Sidecar *sidecar)
{
    PeerPort_CancelRequests(sidecar->peer_port);
    Gateway_CancelRequests(sidecar->gateway);
}

void
Sidecar_Stop(Sidecar *sidecar)
{
    StopPlan plan = StopPlan_Make(Clock_Now(), sidecar->settings->grace_ms);
    ClockMs closed;
    gboolean is_cut;
    gboolean done;

    Log_Event(LOG_STOPPING, "in_flight=%u peers_in_flight=%u",
              Gateway_InFlight(sidecar->gateway),
              PeerPort_InFlight(sidecar->peer_port));
    atomic_store(&sidecar->leaving, TRUE);
    Backend_Leave(sidecar->backend, &plan);
    Gateway_Leave(sidecar->gateway, &plan);
    PeerPort_Leave(sidecar->peer_port);
    sleep_until(plan.take_until);
    await_idle(sidecar, plan.abandon);
    Backend_Close(sidecar->backend);
    (void)Gateway_Drain(sidecar->gateway, plan.abandon);
    closed = Clock_Now();
    (void)PeerPort_Drain(sidecar->peer_port, plan.abandon);
    is_cut = Gateway_InFlight(sidecar->gateway) +
                     PeerPort_InFlight(sidecar->peer_port) >
                 0 &&
             Clock_Now() >= plan.abandon;
    if (is_cut) {
        cancel_requests(sidecar);
    }
    Quota_Leave(sidecar->quota, Clock_Now() + HANDOVER_TIMEOUT_MS);
    /* Requests that arrived on open connections meanwhile have been served. */
    done = Gateway_Close(sidecar->gateway, plan.abandon);
    done = PeerPort_Close(sidecar->peer_port, plan.abandon) && done;
    if (!done) {
        cancel_requests(sidecar);
        (void)Gateway_Close(sidecar->gateway, plan.end - FINAL_ANSWER_MS);
        Gateway_CancelRuns(sidecar->gateway);
        (void)Gateway_Close(sidecar->gateway, plan.end);
        (void)PeerPort_Close(sidecar->peer_port, plan.end);
    }
    /* A connection that still sends when the process ends is reset, and its
     * caller loses what it has not received. */
    (void)Gateway_AwaitReceipt(sidecar->gateway, plan.end);
    (void)PeerPort_AwaitReceipt(sidecar->peer_port, plan.end);
    /* Requests that met the closed port are sent elsewhere only if this
     * process still says that they did not arrive. */
    sleep_until(MIN(closed + ATTEMPT_LAST_QUESTIONS_MS, plan.end));
    Log_Event(LOG_STOPPED, "drained=%d after_ms=%" PRId64, done && !is_cut,
              Clock_Now() - plan.begin);
}

void
Sidecar_Destroy(Sidecar *sidecar)
{
    if (sidecar == NULL) {
        return;
    }
    _Sidecar_StopMonitor(sidecar->monitor);
    _Sidecar_StopTicker(sidecar->ticker);
    /* The metrics port uses the gateway. */
    _Sidecar_ClosePorts(sidecar);
    Gateway_Destroy(sidecar->gateway);
    PeerPort_Destroy(sidecar->peer_port);
    _Sidecar_StopState(sidecar);
    ObjectWriter_Stop(sidecar->writer);
    /* Its handlers use the departure and the evacuations. */
    Rpc_Stop(sidecar->rpc);
    _Sidecar_CloseEvacuation(sidecar);
    Departure_Destroy(sidecar->departure);
    Quota_Destroy(sidecar->quota);
    Rpc_Destroy(sidecar->rpc);
    DepartureKeeper_Destroy(sidecar->keeper);
    AttemptLog_Destroy(sidecar->attempts);
    Backend_Destroy(sidecar->backend);
    Roster_Destroy(sidecar->roster);
    Catalog_Destroy(sidecar->catalog);
    HttpClient_Destroy(sidecar->client);
    HttpClient_Destroy(sidecar->mirror_client);
    sidecar->adapter->close_store(sidecar->store);
    Settings_Destroy(sidecar->settings);
    g_free(sidecar);
}
