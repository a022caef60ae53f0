/* Entry: takes callers' requests and sends them to owners.
 *
 * For each request: key to team, route, team allowed on it, rate token, choice
 * of a backend server, attempt at its owner, retries within budget and
 * deadline, answer with the run state.
 *
 * Use:
 *  1. Entry_Create() with the slices that it joins; it listens at once.
 *  2. Entry_Drain() for a graceful stop, then Entry_Destroy().
 *
 * Paths below "/radishknot/" are the system's own:
 *   POST /radishknot/v1/run-tokens?path=<path>&count=<n>  run tokens ahead
 *
 * Limits: half of the threads for one service, so that a service that hangs
 * does not stop the others; the last eighth of these only for teams that use
 * less than a quarter. Thread safe.
 */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include <glib.h>
#include <netinet/in.h>

#include "config/config.h"
#include "config/config_sync.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "issue/run_table.h"
#include "member/gossip.h"
#include "owner/owner.h"
#include "rate/rate_service.h"
#include "retry/retry.h"
#include "route/route.h"
#include "rpc/rpc.h"
#include "settings/settings.h"

typedef struct Entry Entry;

typedef struct Entry_desc {
    const Settings *settings;
    struct sockaddr_in address;
    uint64_t host;
    uint64_t incarnation;
    Config *config;
    ConfigSync *sync;
    const Member *member;
    RateService *rate;
    Owner *owner;
    RunTable *runs;
    Rpc *rpc;
    HttpClient *client;
    const char *tls_certificate_pem; /* NULL: no TLS */
    const char *tls_key_pem;
} Entry_desc;

Entry *Entry_Create(const Entry_desc *desc, GError **error);
uint16_t Entry_Port(const Entry *entry);

/* Stops accepting and waits for what is in flight. */
gboolean Entry_Drain(Entry *entry, ClockMs until);
void Entry_Destroy(Entry *entry);

/* Appends the recent lines that contain the text, or name a host or backend
 * server of this name, newest first. */
void Entry_ExplainMatching(Entry *entry, const char *text, unsigned max,
                           GString *out);

/* Hosts that answer for the run table of a former incarnation of a host, in
 * the order in which they are asked. Returns their number. */
unsigned Entry_Successors(const Member *member, uint64_t host,
                          uint64_t incarnation, int region, int data_centre,
                          const MemberHost **hosts, unsigned max);

#endif
