/* Entry: receives requests of callers and sends them to owners.
 *
 * Steps for each request: look up the team by the key, find the route, check
 * that the team may use it, take a rate token, choose a backend server, send
 * an attempt to its owner, retry within the budget and the deadline, answer
 * with the run state.
 *
 * Use:
 *  1. Entry_Create() with the modules that it uses. It listens from then on.
 *  2. Entry_Drain() for a graceful stop, then Entry_Destroy().
 *
 * Paths below "/radishknot/" are reserved:
 *   POST /radishknot/v1/run-tokens?path=<path>&count=<n>  mints run tokens for
 *                                                         later use
 *
 * Limits: one service may use half of the threads, so that a service that
 * hangs does not block the others. The last eighth of these threads is
 * reserved for teams that use less than a quarter of them. Thread safe.
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

/* Stops accepting requests and waits until those in flight have ended. Returns
 * FALSE if some are still in flight at `until`. */
gboolean Entry_Drain(Entry *entry, ClockMs until);

/* Waits up to `until` for callers that still receive their answers. Returns
 * TRUE if none is left. */
gboolean Entry_AwaitReceipt(Entry *entry, ClockMs until);
void Entry_Destroy(Entry *entry);

/* Appends the explanations of recent requests that contain the text, or that
 * concern a host or backend server with this name; newest first, at most
 * `max`. */
void Entry_ExplainMatching(Entry *entry, const char *text, unsigned max,
                           GString *out);

/* Fills `hosts` with those that answer for the run table of a former
 * incarnation of a host, in the order in which they are queried. Returns their
 * number. */
unsigned Entry_Successors(const Member *member, uint64_t host,
                          uint64_t incarnation, int region, int data_centre,
                          const MemberHost **hosts, unsigned max);

#endif
