/* CatalogTable: one version of the operator's configuration, immutable.
 *
 * Use, by whoever decodes a configuration:
 *  1. CatalogTable_Create() with the version.
 *  2. CatalogTable_AddTeam(), CatalogTable_AddKey(), CatalogTable_AddRoute().
 *  3. Catalog_Publish() (catalog/catalog.h).
 * Readers take a reference with Catalog_Acquire() and use the Find functions.
 *
 * A route is found by host and by the longest path prefix. Prefixes end with
 * a slash.
 *
 * Limits: CATALOG_MAX_PARTS services for one route. A table must not change
 * once it was published.
 */
#ifndef CATALOG_CATALOG_TABLE_H
#define CATALOG_CATALOG_TABLE_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/rng.h"

#define CATALOG_MAX_PARTS 16

typedef struct CatalogTable CatalogTable;

typedef struct CatalogTeam {
    char *name;
    uint64_t hash;      /* Rng_HashString() of the name */
    int64_t rate_per_s; /* 0: no limit */
    int64_t burst;      /* requests */
    gboolean has_priority;
    int priority; /* 0 is the highest */
} CatalogTeam;

typedef struct CatalogPart {
    char *service;
    uint64_t service_hash; /* Rng_HashString() of the service */
    uint32_t weight;
} CatalogPart;

typedef struct CatalogRoute {
    char *name;
    char *host;
    char *prefix;
    gboolean idempotent; /* may run more than once */
    gboolean anonymous;  /* needs no key */
    ClockMs timeout_ms;  /* longest time that a caller waits; 0: none */
    ClockMs target_ms;   /* an answer within it is in time */
    uint32_t attempts;   /* backend servers that one request may be sent to */
    int priority;        /* 0 is the highest */
    CatalogPart parts[CATALOG_MAX_PARTS];
    uint32_t part_count;
} CatalogRoute;

typedef struct CatalogTable_desc {
    uint64_t version;
} CatalogTable_desc;

CatalogTable *CatalogTable_Create(const CatalogTable_desc *desc);
CatalogTable *CatalogTable_Ref(CatalogTable *table);
void CatalogTable_Unref(CatalogTable *table);

/* These take ownership of the strings in the argument. */
const CatalogTeam *CatalogTable_AddTeam(CatalogTable *table,
                                        const CatalogTeam *team);
void CatalogTable_AddKey(CatalogTable *table, const char *key,
                         const CatalogTeam *team);
void CatalogTable_AddRoute(CatalogTable *table, const CatalogRoute *route);

uint64_t CatalogTable_Version(const CatalogTable *table);

/* TRUE if routes that are not anonymous need a key. */
gboolean CatalogTable_HasTeams(const CatalogTable *table);

/* NULL if there is none. Valid as long as the table is referenced. */
const CatalogRoute *CatalogTable_FindRoute(const CatalogTable *table,
                                           const char *host, const char *path);
const CatalogTeam *CatalogTable_FindTeamByKey(const CatalogTable *table,
                                              const char *key);
const CatalogTeam *CatalogTable_FindTeam(const CatalogTable *table,
                                         uint64_t hash);

/* Chooses a part of the route in proportion to the weights. */
const CatalogPart *CatalogRoute_ChoosePart(const CatalogRoute *route,
                                           Rng *rng);

#endif
