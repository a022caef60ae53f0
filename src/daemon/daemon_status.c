/* The status of the daemon as JSON, read by the tool. */
#include <jansson.h>
#include <urcu.h>

#include "base/counter.h"
#include "daemon/daemon_internal.h"

#define MAX_BUCKETS 200

static json_t *
hex(uint64_t value)
{
    char text[20];

    g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", value);
    return json_string(text);
}

static const char *
member_state_name(uint8_t state)
{
    static const char *const names[] = {"alive", "suspect", "dead", "left"};

    return state < G_N_ELEMENTS(names) ? names[state] : "?";
}

static json_t *
host_status(const Daemon *daemon, const MemberHost *host)
{
    const SettingsNames *regions = &daemon->settings->regions;
    const SettingsNames *centres = &daemon->settings->data_centres;

    return json_pack(
        "{s:o, s:I, s:s, s:b, s:s, s:s, s:i}", "id", hex(host->id),
        "incarnation", (json_int_t)host->incarnation, "state",
        member_state_name(host->state), "one_way", (int)host->is_one_way,
        "region",
        host->region < regions->count ? regions->items[host->region] : "?",
        "data_centre",
        host->data_centre < centres->count ? centres->items[host->data_centre]
                                           : "?",
        "backend_servers", (int)host->server_count);
}

static json_t *
hosts_status(const Daemon *daemon)
{
    json_t *hosts = json_array();
    const MemberHostList *list;

    rcu_read_lock();
    list = Member_ListHosts(daemon->member, MEMBER_ANY, MEMBER_ANY);
    for (uint32_t i = 0; i < list->count; i++) {
        json_array_append_new(hosts, host_status(daemon, list->hosts[i]));
    }
    rcu_read_unlock();
    return hosts;
}

static json_t *
counts_status(const Daemon *daemon)
{
    MemberCounts counts;

    Gossip_Count(daemon->gossip, &counts);
    return json_pack("{s:i, s:i, s:i, s:i, s:i, s:i, s:I}", "alive",
                     (int)counts.alive, "suspect", (int)counts.suspect, "dead",
                     (int)counts.dead, "left", (int)counts.left, "one_way",
                     (int)counts.one_way, "backend_servers",
                     (int)counts.servers, "bytes", (json_int_t)counts.bytes);
}

static const char *
announced_state(const OwnerServerStatus *status)
{
    if (status->announcement.state == OWNER_SERVER_LEAVING) {
        return "leaving";
    }
    if (status->announcement.state == OWNER_SERVER_DRAINING) {
        return "draining";
    }
    return status->operator_drain ? "drained by operator" : "ready";
}

static json_t *
servers_status(const Daemon *daemon)
{
    OwnerServerStatus servers[MEMBER_MAX_SERVERS];
    unsigned count = Owner_Status(daemon->owner, servers, MEMBER_MAX_SERVERS);
    json_t *array = json_array();

    for (unsigned i = 0; i < count; i++) {
        const OwnerServerStatus *server = &servers[i];

        json_array_append_new(
            array,
            json_pack(
                "{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, "
                "s:i, s:I, s:I}",
                "name", server->announcement.name, "service",
                server->announcement.service, "pool",
                server->announcement.pool, "announced",
                announced_state(server), "health",
                Health_StateName(server->verdict.state), "reason",
                Health_ReasonName(server->verdict.reason), "permit",
                Permit_StatusName(server->permit), "weight",
                (int)server->verdict.weight, "slots",
                (int)server->announcement.slots, "slots_in_use",
                (int)server->slots_in_use, "waiting", (int)server->waiting,
                "latency_us",
                (json_int_t)Health_ClassLatencyUs(
                    server->verdict.latency_class),
                "service_median_us",
                (json_int_t)Health_ClassLatencyUs(server->baseline_class)));
    }
    return array;
}

static json_t *
rate_status(const Daemon *daemon)
{
    RateServiceStatus *status = g_new0(RateServiceStatus, 1);
    RateBucketStatus *buckets = g_new0(RateBucketStatus, MAX_BUCKETS);
    json_t *slots = json_array();
    json_t *levels = json_array();
    json_t *result;
    int count;
    int known = 0;

    RateService_Status(daemon->rate, status);
    for (int i = 0; i < status->slots_held; i++) {
        json_array_append_new(slots, json_integer(status->slots[i].slot));
    }
    for (int i = 0;
         i < (int)daemon->settings->rate_slots && i < RATE_SLOTS_MAX; i++) {
        known += status->holders[i].host != 0;
    }
    count = RateService_Buckets(daemon->rate, buckets, MAX_BUCKETS);
    for (int i = 0; i < count && i < MAX_BUCKETS; i++) {
        json_array_append_new(
            levels,
            json_pack("{s:o, s:f, s:f, s:f}", "team", hex(buckets[i].team),
                      "level", (double)buckets[i].level_micro / RATE_MICRO,
                      "outstanding",
                      (double)buckets[i].outstanding_micro / RATE_MICRO,
                      "burst", (double)buckets[i].burst_micro / RATE_MICRO));
    }
    result =
        json_pack("{s:o, s:i, s:i, s:I, s:I, s:I, s:o}", "slots_held", slots,
                  "slots_with_known_holder", known, "slots_total",
                  (int)daemon->settings->rate_slots, "draws_sent",
                  (json_int_t)status->draws_sent, "draws_failed",
                  (json_int_t)status->draws_failed, "refused_exceeded",
                  (json_int_t)status->refused_exceeded, "buckets", levels);
    g_free(buckets);
    g_free(status);
    return result;
}

static json_t *
runs_status(const Daemon *daemon)
{
    RunTableStats stats;

    RunTable_GetStats(daemon->runs, &stats);
    return json_pack("{s:i, s:i, s:i, s:i, s:i}", "running",
                     (int)stats.running, "done", (int)stats.done, "void",
                     (int)stats.voided, "adopted", (int)stats.adopted,
                     "capacity", (int)stats.capacity);
}

static void
add_nonzero(void *context, Result result, const char *name, int http_status,
            const char *text)
{
    uint64_t count = Counter_GetRefusals(result);

    (void)http_status;
    (void)text;
    if (count > 0) {
        json_object_set_new(context, name, json_integer((json_int_t)count));
    }
}

static json_t *
config_status(const Daemon *daemon)
{
    ConfigStats stats;

    Config_GetStats(daemon->config, &stats);
    return json_pack("{s:I, s:i, s:i, s:i, s:i, s:i, s:I, s:I, s:b}", "ticket",
                     (json_int_t)stats.version, "services",
                     (int)stats.services, "teams", (int)stats.teams, "keys",
                     (int)stats.keys, "routes", (int)stats.routes,
                     "withdrawn_keys", (int)stats.withdrawn, "bytes",
                     (json_int_t)stats.bytes, "store_contact_age_ms",
                     (json_int_t)ConfigSync_ContactAgeMs(daemon->sync),
                     "watcher", (int)_Daemon_IsWatcher((void *)daemon));
}

char *
_Daemon_StatusJson(Daemon *daemon)
{
    json_t *refusals = json_object();
    json_t *root;
    char *text;
    char *copy;

    Result_ForEach(add_nonzero, refusals);
    root = json_pack(
        "{s:s, s:o, s:I, s:s, s:s, s:i, s:o, s:o, s:o, s:o, s:o, s:o, s:o}",
        "host", daemon->settings->host, "id", hex(daemon->host), "incarnation",
        (json_int_t)daemon->incarnation, "region", daemon->settings->region,
        "data_centre", daemon->settings->data_centre, "entry_port",
        (int)Entry_Port(daemon->entry), "config", config_status(daemon),
        "members", counts_status(daemon), "hosts", hosts_status(daemon),
        "backend_servers", servers_status(daemon), "rate", rate_status(daemon),
        "runs", runs_status(daemon), "refusals", refusals);
    text = json_dumps(root, JSON_COMPACT);
    copy = g_strdup(text);
    free(text);
    json_decref(root);
    return copy;
}
