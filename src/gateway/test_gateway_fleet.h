/* A gateway with the owners of other hosts played by the test, for tests. */
#ifndef GATEWAY_TEST_GATEWAY_FLEET_H
#define GATEWAY_TEST_GATEWAY_FLEET_H

#include <glib.h>
#include <string.h>

#include "gateway/gateway_internal.h"
#include "gateway/peer_wire.h"

#define HOST "permits.example"

static const WireNames names = {.request_id = "X-Id",
                                .time_left_ms = "X-Left",
                                .key = "X-Key",
                                .team = "X-Team",
                                .caller = "X-Caller",
                                .expected = "X-Expected"};

/* A table with the routes /read/ (may be retried) and /issue/ (must not run
 * twice). `route` and `team` are the region of the routes and of the team, ""
 * for a restriction to none, NULL for no restriction. */
static CatalogTable *
make_table(uint64_t version, const char *route, const char *team)
{
    CatalogTable *table =
        CatalogTable_Create(&(CatalogTable_desc){.version = version});
    CatalogTeam crews = {.name = g_strdup("crews")};
    CatalogRoute read = {.name = g_strdup("read"),
                         .host = g_strdup(HOST),
                         .prefix = g_strdup("/read/"),
                         .idempotent = TRUE,
                         .attempts = 3,
                         .destination_count = 1};
    CatalogRoute issue;

    if (team != NULL) {
        crews.regions = RegionSet_Create(&team, *team != '\0');
    }
    if (route != NULL) {
        read.regions = RegionSet_Create(&route, *route != '\0');
    }
    read.destinations[0] =
        (CatalogDestination){.service = g_strdup("desk"), .weight = 1};
    issue = read;
    issue.name = g_strdup("issue");
    issue.host = g_strdup(HOST);
    issue.prefix = g_strdup("/issue/");
    issue.idempotent = FALSE;
    issue.destinations[0].service = g_strdup("desk");
    (void)RegionSet_Ref(issue.regions);
    CatalogTable_AddKey(table, "k1", CatalogTable_AddTeam(table, &crews));
    CatalogTable_AddRoute(table, &read);
    CatalogTable_AddRoute(table, &issue);
    return table;
}

typedef struct Fleet Fleet;

/* An owner of another host, played by the test. */
typedef struct FakeOwner {
    Fleet *fleet;
    HttpServer *server;
    gboolean refuses; /* as busy, after it has published the next table */
    gint requests;    /* atomic */
} FakeOwner;

struct Fleet {
    Catalog *catalog;
    CatalogTable *next; /* published by the first owner that refuses */
    Roster *roster;
    Backend *backend;
    HttpClient *client;
    Gateway *gateway;
    FakeOwner owners[2]; /* in r1 and r2 */
};

static void
serve_owner(void *context, HttpRequest *request)
{
    FakeOwner *owner = context;
    Fleet *fleet = owner->fleet;
    HttpAnswer answer = {.status = owner->refuses ? 503 : 200};
    BackendReply reply = {.result = owner->refuses ? RESULT_BACKEND_SERVER_BUSY
                                                   : RESULT_OK,
                          .run = owner->refuses ? RUN_NO : RUN_YES,
                          .arrived = !owner->refuses,
                          .report = {.slots = 5, .service_ms = 100}};

    g_atomic_int_inc(&owner->requests);
    if (owner->refuses && fleet->next != NULL) {
        Catalog_Publish(fleet->catalog, fleet->next, 1);
        fleet->next = NULL;
    }
    PeerWire_EncodeReply(&reply, &answer.headers);
    HttpRequest_Respond(request, &answer);
}

/* Adds the entry of host `number`: the first one is in r1, the others in r2.
 */
static void
add_entry(Fleet *fleet, int number, int port)
{
    RosterEntry entry = {.slots = 5};

    g_snprintf(entry.host, sizeof(entry.host), "owner-%d", number);
    g_strlcpy(entry.region, number == 0 ? "r1" : "r2", sizeof(entry.region));
    g_strlcpy(entry.data_centre, entry.region, sizeof(entry.data_centre));
    g_strlcpy(entry.instance, "i", sizeof(entry.instance));
    g_strlcpy(entry.service, "desk", sizeof(entry.service));
    g_assert_true(HttpAddress_Parse("127.0.0.1:1", &entry.peer));
    entry.peer.sin_port = htons((uint16_t)port);
    Roster_Set(fleet->roster, &entry, Clock_Now());
}

static void
add_owner(Fleet *fleet, int number, gboolean refuses)
{
    FakeOwner *owner = &fleet->owners[number];
    HttpServer_desc desc = {.event_threads = 1,
                            .worker_threads = 4,
                            .handler = serve_owner,
                            .context = owner};

    *owner = (FakeOwner){.fleet = fleet, .refuses = refuses};
    g_assert_true(HttpAddress_Parse("127.0.0.1:0", &desc.address));
    owner->server = HttpServer_Create(&desc, NULL);
    g_assert_nonnull(owner->server);
    add_entry(fleet, number, HttpServer_Port(owner->server));
}

/* Opens the gateway of a host in r1, whose own service is another one. The
 * team has no rate, so no quota is needed. */
static void
open_fleet(Fleet *fleet, CatalogTable *table)
{
    Gateway_desc desc = {.threads = 4,
                         .max_body_bytes = 1000,
                         .host = "self",
                         .region = "r1",
                         .service = "other",
                         .names = &names,
                         .max_catalog_age_ms = 10000,
                         .retry_ratio = 0.2,
                         .retry_per_minute = 600};

    *fleet = (Fleet){.catalog = Catalog_Create()};
    Catalog_Publish(fleet->catalog, table, 1);
    Catalog_Confirm(fleet->catalog, Clock_Now(), 1);
    fleet->roster = Roster_Create(&(Roster_desc){
        .host = "self", .data_centre = "r1", .region = "r1", .seed = 3});
    fleet->client = HttpClient_Create(&(HttpClient_desc){0});
    fleet->backend = Backend_Create(&(Backend_desc){
        .names = &names, .service = "other", .client = fleet->client});
    desc.catalog = fleet->catalog;
    desc.roster = fleet->roster;
    desc.backend = fleet->backend;
    desc.client = fleet->client;
    g_assert_true(HttpAddress_Parse("127.0.0.1:0", &desc.address));
    fleet->gateway = Gateway_Create(&desc, NULL);
    g_assert_nonnull(fleet->gateway);
}

static void
close_fleet(Fleet *fleet)
{
    Gateway_Destroy(fleet->gateway);
    for (size_t i = 0; i < G_N_ELEMENTS(fleet->owners); i++) {
        HttpServer_Destroy(fleet->owners[i].server);
    }
    Backend_Destroy(fleet->backend);
    HttpClient_Destroy(fleet->client);
    Roster_Destroy(fleet->roster);
    CatalogTable_Unref(fleet->next);
    Catalog_Destroy(fleet->catalog);
}

/* Sends a request with a body and fills the time that it took. */
static HttpAnswer
call(Fleet *fleet, const char *path, ClockMs *took)
{
    HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
    ClockMs began = Clock_Now();
    HttpHeaders headers = {0};
    HttpAnswer answer = {0};
    HttpCall http = {.method = "POST",
                     .target = path,
                     .host = HOST,
                     .headers = &headers,
                     .body = "secret",
                     .body_bytes = 6,
                     .deadline = began + 5000,
                     .connect_ms = 1000};
    gboolean sent;

    g_assert_true(HttpAddress_Parse("127.0.0.1:1", &http.address));
    http.address.sin_port = htons(HttpServer_Port(fleet->gateway->server));
    HttpHeaders_Add(&headers, "X-Id", "r1");
    HttpHeaders_Add(&headers, "X-Key", "k1");
    HttpHeaders_Add(&headers, "X-Left", "4000");
    g_assert_cmpint(HttpClient_Call(client, &http, &answer, &sent), ==,
                    RESULT_OK);
    *took = Clock_Now() - began;
    HttpHeaders_Clear(&headers);
    HttpClient_Destroy(client);
    return answer;
}

#endif
