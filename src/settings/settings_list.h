/* The list of settings of the daemon. docs/settings.md is generated from it.
 *
 * TEXT(name, required, default, form, description)
 * LIST(name, form, description)   numeric addresses
 * NAMES(name, form, description)  names; the first one has index 0
 * NUMBER(name, unit, min, max, default, reload, description)
 * TIME(name, min, max, default, description)  milliseconds, or text such as
 *                                             "5s"
 * REAL(name, unit, min, max, default, description)
 * reload is 1 if SIGHUP applies a new value to the running daemon.
 */
#ifndef SETTINGS_SETTINGS_LIST_H
#define SETTINGS_SETTINGS_LIST_H

/* clang-format off */
#define SETTINGS_LIST(TEXT, LIST, NAMES, NUMBER, TIME, REAL) \
    TEXT(host, 1, "", "1 to 63 letters, digits, dots or dashes", \
         "name of this host, unique in the fleet") \
    TEXT(region, 1, "", "1 to 31 letters, digits or dashes", "region") \
    TEXT(data_centre, 1, "", "1 to 31 letters, digits or dashes", \
         "data centre") \
    TEXT(address, 1, "", "numeric IPv4 address", \
         "address on which all ports listen and that other hosts dial") \
    TEXT(fleet_secret, 1, "", "16 to 255 characters", \
         "secret shared by all daemons and the tool") \
    TEXT(log_level, 0, "info", "error, warning, info or debug", \
         "lowest level of events written") \
    TEXT(log_format, 0, "text", "text or json", "form of log lines") \
    TEXT(tls_certificate_file, 0, "", "path of a PEM file", \
         "certificate of the entry port; empty: no TLS") \
    TEXT(tls_key_file, 0, "", "path of a PEM file", \
         "private key of the certificate") \
    NAMES(regions, "1 to 31 letters, digits or dashes", \
          "all regions of the fleet, in the same order on all hosts") \
    NAMES(data_centres, "1 to 31 letters, digits or dashes", \
          "all data centres of the fleet, in the same order on all hosts") \
    LIST(store, "numeric address:port", "addresses of the platform's store") \
    LIST(seeds, "numeric address:port", \
         "RPC addresses of hosts through which this host joins the fleet") \
    NUMBER(entry_port, "port", 0, 65535, 0, 0, \
           "port for callers; 0: the kernel chooses") \
    NUMBER(owner_port, "port", 0, 65535, 0, 0, \
           "port for other daemons' requests") \
    NUMBER(rpc_port, "port", 0, 65535, 0, 0, "UDP port for control messages") \
    NUMBER(admin_port, "port", 0, 65535, 0, 0, \
           "port for announcements, the tool and metrics") \
    NUMBER(advertised_owner_port, "port", 0, 65535, 0, 0, \
           "owner port that other hosts dial, if it is forwarded; 0: the same") \
    NUMBER(advertised_rpc_port, "port", 0, 65535, 0, 0, \
           "UDP port that other hosts dial, if it is forwarded; 0: the same") \
    NUMBER(entry_threads, "threads", 1, 512, 64, 0, \
           "requests of callers that may block at once") \
    NUMBER(owner_threads, "threads", 1, 512, 64, 0, \
           "requests to backend servers that may block at once") \
    NUMBER(max_body_bytes, "bytes", 1, 16777216, 1048576, 0, \
           "largest body of a request") \
    NUMBER(default_deadline_ms, "ms", 1, 600000, 10000, 1, \
           "deadline of a request when neither caller nor route gives one") \
    NUMBER(queue_per_server, "requests", 0, 1000, 20, 1, \
           "requests that wait for a slot of one backend server") \
    NUMBER(silence_ms, "ms", 50, 60000, 500, 1, \
           "time without an answer after which the owner is asked by RPC " \
           "whether it still has the request") \
    NUMBER(drain_ms, "ms", 0, 600000, 30000, 1, \
           "longest wait for requests in flight at a graceful stop") \
    NUMBER(gossip_period_ms, "ms", 50, 60000, 1000, 0, \
           "time between two pings") \
    NUMBER(rate_hold_ms, "ms", 1000, 604800000, 43200000, 0, \
           "how long a rate slot is held without renewal") \
    NUMBER(rate_grant_ms, "ms", 50, 10000, 1000, 0, \
           "life of a grant of rate tokens") \
    NUMBER(rate_slots, "slots", 3, 512, 512, 0, \
           "rate slots of the fleet, the same on all hosts") \
    NUMBER(isolation_limit_ms, "ms", 0, 604800000, 0, 1, \
           "time without contact to the store, through any peer, after which " \
           "requests are refused; 0: never") \
    NUMBER(retry_budget_percent, "percent", 0, 100, 10, 1, \
           "retries allowed as a share of recent requests") \
    NUMBER(token_validity_ms, "ms", 10000, 3600000, 600000, 0, \
           "validity of run tokens") \
    NUMBER(run_table_entries, "entries", 100, 1000000, 20000, 0, \
           "issuances whose outcome is kept at once") \
    NUMBER(health_threshold_nats, "nats", 0, 1000, 0, 0, \
           "evidence of sickness (logarithm of a likelihood ratio) for an " \
           "ejection; 0: the default of the health slice") \
    NUMBER(health_stall_ms, "ms", 0, 60000, 0, 0, \
           "age from which a request in flight counts as evidence; 0: the " \
           "default of the health slice") \
    NUMBER(announce_timeout_ms, "ms", 500, 60000, 3000, 1, \
           "time without announcement after which a backend server is " \
           "dropped") \
    \
    /* mode "platform": the daemon has one local backend server and keeps all \
     * shared state in the platform's store */ \
    TEXT(mode, 0, "fleet", "fleet or platform", \
         "what the daemon keeps its fleet by: gossip and tickets, or objects " \
         "in the platform's store") \
    TEXT(service, 0, "", "name", "service of the backend server here") \
    TEXT(backend_server, 0, "", "numeric address:port", \
         "address of the backend server") \
    TEXT(entry_address, 0, "", "numeric address:port", \
         "where callers send requests") \
    TEXT(peer_address, 0, "", "numeric address:port", \
         "where other daemons send requests") \
    TEXT(announce_address, 0, "", "numeric address:port", \
         "where the backend server announces itself") \
    TEXT(ready_address, 0, "", "numeric address:port", \
         "where readiness is asked for") \
    NUMBER(metrics_port, "port", 0, 65535, 0, 0, \
           "port of the metrics; 0: the kernel chooses") \
    NUMBER(first_port, "port", 0, 65533, 0, 0, \
           "first of three ports in a row for control messages, metrics and " \
           "the mirror, where these are not set; 0: the kernel chooses") \
    NUMBER(mirror_port, "port", 0, 65535, 0, 0, \
           "port through which neighbours follow the store; 0: the kernel " \
           "chooses") \
    NUMBER(memory_mb, "MB", 64, 1048576, 160, 1, \
           "memory of the host; two fifths of it are lent to the bodies of " \
           "requests and answers, the rest is for code, stacks and control") \
    TIME(revocation_ms, 500, 600000, 5000, \
         "time after which a withdrawn key must be refused everywhere") \
    TIME(config_apply_ms, 100, 600000, 3000, \
         "time after which a change of the configuration must be in force " \
         "everywhere") \
    TIME(grace_ms, 500, 600000, 6000, \
         "time between SIGTERM and SIGKILL") \
    TIME(quota_window_ms, 100, 600000, 5000, \
         "sliding window over which a team's requests are counted") \
    REAL(quota_overage, "share", 0, 10, 0.1, \
         "excess over a team's rate that is tolerated in one window") \
    NUMBER(quota_slack, "requests", 0, 1000000, 20, 0, \
           "excess that is tolerated on top of it") \
    REAL(retry_ratio, "share", 0, 10, 0.2, \
         "repeats of requests for a service that the fleet may make") \
    NUMBER(retry_slack, "requests", 0, 1000000, 60, 0, \
           "repeats that it may make on top of it in one budget window") \
    TIME(retry_window_ms, 100, 600000, 10000, \
         "sliding window over which repeats are counted") \
    REAL(data_centre_cost, "share", 0, 100, 0.03, \
         "cost of moving a request of mean size, with its answer, to another " \
         "data centre of the region, as a share of the request's value") \
    REAL(region_cost, "share", 0, 100, 0.2, \
         "the same for another region; 0: the default, of both") \
    TEXT(features, 0, "", "names joined by commas", \
         "parts of the operator's terms in force; unknown ones are ignored") \
    REAL(cold_overage, "factor", 0, 100, 0, \
         "factor on a service's rate for cold backend servers up to which " \
         "arrivals are tolerated; 0: cold backend servers have no bound") \
    REAL(cold_slack, "requests", 0, 1000000, 0, \
         "arrivals that are tolerated on top of it in one second") \
    TIME(evacuate_ms, 0, 600000, 0, \
         "time after which an evacuated data centre must get no requests; " \
         "0: evacuations are not followed") \
    NUMBER(even_load, "0 or 1", 0, 1, 0, 0, \
           "1: the choice accounts for the age of reports and for requests " \
           "under way")
/* clang-format on */

#endif
