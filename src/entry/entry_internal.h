/* Types and functions shared by the files of this folder. */
#ifndef ENTRY_ENTRY_INTERNAL_H
#define ENTRY_ENTRY_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "base/rng.h"
#include "config/ticket.h"
#include "entry/entry.h"
#include "entry/entry_watch.h"
#include "issue/run_token.h"

#define ENTRY_MAX_FAILED 8
#define ENTRY_MAX_TOKENS 16
#define ENTRY_ID_BYTES 33
#define ENTRY_RECORDS 2048
#define ENTRY_TRACE_BYTES 400

/* Retry budget and threads in use of one service. */
typedef struct EntryService {
    uint64_t service;
    RetryBudget budget;
    unsigned in_flight;
    GHashTable *teams; /* &EntryTeam.team -> EntryTeam, teams with requests in
                          flight */
} EntryService;

typedef struct EntryTeam {
    uint64_t team;
    unsigned in_flight;
} EntryTeam;

struct Entry {
    Entry_desc desc;
    HttpServer *server;
    EntryWatch *watch;
    pthread_mutex_t lock; /* protects the fields below */
    Route *route;
    GHashTable *services; /* &EntryService.service -> EntryService */
    Rng rng;
    char *records[ENTRY_RECORDS]; /* ring buffer of explanations */
    unsigned next_record;         /* index of the record to be replaced next */
};

/* A backend server and the owner through which it is reached. */
typedef struct EntryTarget {
    uint64_t backend_server;
    uint64_t host;
    uint64_t incarnation;
    struct sockaddr_in owner_address;
    RpcPeer rpc;
    gboolean is_local;
    RouteTier tier;
} EntryTarget;

typedef struct EntryRequest {
    Entry *entry;
    HttpRequest *http;
    char id[ENTRY_ID_BYTES];
    char *target; /* HTTP request target: path and query */
    const char *body;
    size_t body_bytes;
    HttpHeaders forwarded;
    ClockMs deadline;

    /* From the configuration. */
    char team[TICKET_MAX_NAME + 1];
    uint64_t team_hash;
    RateLimit limit;
    uint64_t service;
    char route[TICKET_MAX_PATH + 1];
    uint64_t route_hash;
    gboolean issuance;
    gboolean idempotent;
    uint32_t retries;
    RoutePool pools[CONFIG_MAX_SPLITS];
    uint32_t pool_count;
    uint32_t pool; /* hash of the chosen pool; valid if pool_count > 0 */

    RateToken rate_token;
    gboolean has_rate_token;

    RunToken token;
    /* Texts of all run tokens of the request; the last one is sent with the
     * answer. All stay allocated as long as the request, because another
     * thread may write the answer at the deadline. */
    char *token_texts[ENTRY_MAX_TOKENS];
    uint32_t token_count;
    _Atomic(const char *) token_text;
    gboolean is_caller_token;

    uint64_t failed[ENTRY_MAX_FAILED]; /* excluded backend servers */
    uint32_t failed_count;
    /* In the last attempt only the connection failed: the owner still answers
     * by RPC, so the target is not excluded and may be tried again. */
    gboolean is_connection_fault;
    uint32_t attempts;
    uint32_t redirects;
    _Atomic int run; /* RunState to report if the request ended now */
    char trace[ENTRY_TRACE_BYTES];
} EntryRequest;

/* entry_request.c: parses the request, finds team and route. */
Result _Entry_ReadRequest(EntryRequest *request);
void _Entry_ClearRequest(EntryRequest *request);

/* Sets the run token of the request. Returns FALSE if it has had
 * ENTRY_MAX_TOKENS already. */
gboolean _Entry_SetToken(EntryRequest *request, const char *text);

/* entry_target.c: chooses targets and makes attempts. */
Result _Entry_ChooseTarget(EntryRequest *request, EntryTarget *target);

/* Fills the target for the request's run token: with n = 0 the owner that
 * the token names, otherwise the n-th successor that may answer for it.
 * Returns FALSE if there is none. */
gboolean _Entry_TokenTarget(EntryRequest *request, unsigned n,
                            EntryTarget *target);
void _Entry_Attempt(EntryRequest *request, const EntryTarget *target,
                    OwnerReply *reply);

/* Excludes the backend server of a failed attempt from further ones, unless
 * only the connection failed. */
void _Entry_Exclude(EntryRequest *request, const EntryTarget *target);

/* entry_issue.c */
Result _Entry_Mint(EntryRequest *request, const EntryTarget *target,
                   uint32_t count, RunToken *first, uint32_t *minted);
void _Entry_RunIssuance(EntryRequest *request, OwnerReply *reply);
void _Entry_ServeRunTokens(EntryRequest *request);

#endif
