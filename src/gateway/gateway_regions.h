/* GatewayRegions: the regions in which one request may be served, by the
 * newest configuration.
 *
 * Use by the host where the request entered:
 *  1. GatewayRegions_Update() before each attempt, also of a second one beside
 *     the first; pass the sets to Roster_Choose().
 *  2. GatewayRegions_Ref() for a copy of the request, GatewayRegions_Clear()
 *     at the end of the request and of each copy.
 * Use by an owner: GatewayRegions_Check() before a request that it received
 * or that has waited for a slot is sent to the backend server.
 *
 * A route or team that the newest configuration no longer has keeps the
 * regions that were read last.
 *
 * Limits: not thread safe; each request has its own. An owner knows the
 * regions by its own configuration, which may be older than the sender's.
 */
#ifndef GATEWAY_GATEWAY_REGIONS_H
#define GATEWAY_GATEWAY_REGIONS_H

#include <glib.h>

#include "catalog/catalog.h"

/* Zero-initialised: no restriction. */
typedef struct GatewayRegions {
    gboolean is_known;      /* has been read at least once */
    const RegionSet *route; /* both referenced; NULL: no restriction */
    const RegionSet *team;
} GatewayRegions;

/* What identifies a request in every version of the configuration. */
typedef struct GatewayRegionsKey {
    const char *host; /* Host header */
    const char *path;
    const char *team; /* NULL: none */
} GatewayRegionsKey;

/* Takes the regions of the route that matches and of the team from the table.
 * Returns TRUE if they differ from those that were read before. */
gboolean GatewayRegions_Update(GatewayRegions *regions,
                               const CatalogTable *table,
                               const GatewayRegionsKey *key);

/* The same with the newest table; FALSE if there is none yet. */
gboolean GatewayRegions_Read(GatewayRegions *regions, Catalog *catalog,
                             const GatewayRegionsKey *key);
gboolean GatewayRegions_IsRestricted(const GatewayRegions *regions);
void GatewayRegions_Ref(const GatewayRegions *regions);
void GatewayRegions_Clear(GatewayRegions *regions);

/* An owner's check of one request. */
typedef struct GatewayRegionsCheck {
    Catalog *catalog;
    uint64_t region; /* RegionSet_Hash() of the owner's region */
    GatewayRegionsKey key;
    const char *request_id;
} GatewayRegionsCheck;

/* Whether the newest configuration allows the owner's region; counts and logs
 * if it does not. `context` is a GatewayRegionsCheck. */
gboolean GatewayRegions_Check(void *context);

#endif
