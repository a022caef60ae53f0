/* CatalogTable: one version of the operator's configuration, immutable.
 *
 * Use by a decoder of the configuration:
 *  1. CatalogTable_Create() with the version.
 *  2. CatalogTable_AddTeam(), CatalogTable_AddKey(), CatalogTable_AddRoute(),
 *     CatalogTable_AddService().
 *  3. Catalog_Publish() (catalog/catalog.h).
 * Readers acquire a reference with Catalog_Acquire() and use the Find
 * functions.
 *
 * Keys are needed if the configuration has a table of teams. If the table is
 * empty, no key is valid.
 *
 * A route is matched by host and by the longest path prefix. Prefixes end with
 * a slash.
 *
 * Limits: CATALOG_MAX_DESTINATIONS services for one route. A table must not be
 * changed after it has been published.
 */
#ifndef CATALOG_CATALOG_TABLE_H
#define CATALOG_CATALOG_TABLE_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/rng.h"
#include "region/region_set.h"

#define CATALOG_MAX_DESTINATIONS 16

typedef struct CatalogTable CatalogTable;

typedef struct CatalogTeam {
    char *name;
    uint64_t hash;      /* Rng_HashString() of the name */
    int64_t rate_per_s; /* 0: no limit */
    int64_t burst;      /* maximum burst in requests */
    gboolean has_priority;
    int priority;             /* 0 is the highest */
    const RegionSet *regions; /* NULL: no restriction */
} CatalogTeam;

/* A service that a route sends a share of its requests to. */
typedef struct CatalogDestination {
    char *service;
    uint64_t service_hash; /* Rng_HashString() of the service */
    uint32_t weight;
} CatalogDestination;

typedef struct CatalogRoute {
    char *name;
    uint64_t hash; /* Rng_HashString() of the name */
    char *host;
    char *prefix;
    gboolean idempotent; /* requests may run more than once */
    gboolean anonymous;  /* requests need no key */
    ClockMs timeout_ms;  /* maximum total wait of a caller; 0: none */
    ClockMs target_ms;   /* latency target: answers within it are in time */
    uint32_t attempts;   /* maximum backend servers tried for one request */
    int priority;        /* 0 is the highest */
    CatalogDestination destinations[CATALOG_MAX_DESTINATIONS];
    uint32_t destination_count;
    const RegionSet *regions; /* NULL: no restriction */
} CatalogRoute;

/* What the configuration says about the backend servers of a service. */
typedef struct CatalogService {
    char *name;
    ClockMs cold_start_ms; /* time for which they are cold after a start */
    double cold_per_s;     /* requests per second that one tolerates while it
                              is cold; 0: no bound */
} CatalogService;

typedef struct CatalogTable_desc {
    uint64_t version;
    gboolean has_teams; /* the configuration has a table of teams, though maybe
                           an empty one; implied by a team */
} CatalogTable_desc;

CatalogTable *CatalogTable_Create(const CatalogTable_desc *desc);
CatalogTable *CatalogTable_Ref(CatalogTable *table);
void CatalogTable_Unref(CatalogTable *table);

/* The Add functions for teams and routes take ownership of the strings and of
 * the reference to the regions in the struct; CatalogTable_AddKey() copies the
 * key. */
const CatalogTeam *CatalogTable_AddTeam(CatalogTable *table,
                                        const CatalogTeam *team);
void CatalogTable_AddKey(CatalogTable *table, const char *key,
                         const CatalogTeam *team);
void CatalogTable_AddRoute(CatalogTable *table, const CatalogRoute *route);

/* Copies the service and its name. */
void CatalogTable_AddService(CatalogTable *table,
                             const CatalogService *service);

uint64_t CatalogTable_Version(const CatalogTable *table);
unsigned CatalogTable_TeamCount(const CatalogTable *table);
unsigned CatalogTable_KeyCount(const CatalogTable *table);

/* Whether every route that is not anonymous needs a key. */
gboolean CatalogTable_NeedsKeys(const CatalogTable *table);

/* The Find functions return NULL if there is no match. Results are valid as
 * long as the caller holds a reference to the table. */
const CatalogRoute *CatalogTable_FindRoute(const CatalogTable *table,
                                           const char *host, const char *path);
const CatalogTeam *CatalogTable_FindTeamByKey(const CatalogTable *table,
                                              const char *key);
const CatalogTeam *CatalogTable_FindTeam(const CatalogTable *table,
                                         uint64_t hash);
const CatalogService *CatalogTable_FindService(const CatalogTable *table,
                                               const char *name);

/* Chooses a service of the route at random in proportion to the weights. */
const CatalogDestination *
CatalogRoute_ChooseDestination(const CatalogRoute *route, Rng *rng);

#endif
