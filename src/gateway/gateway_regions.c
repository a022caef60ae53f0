#include "gateway/gateway_regions.h"

#include "base/counter.h"
#include "base/log.h"

/* Replaces a set; TRUE if the new one differs. */
static gboolean
replace(const RegionSet **set, const RegionSet *newer)
{
    gboolean differs = !RegionSet_Equals(*set, newer);

    (void)RegionSet_Ref(newer);
    RegionSet_Unref(*set);
    *set = newer;
    return differs;
}

gboolean
GatewayRegions_Update(GatewayRegions *regions, const CatalogTable *table,
                      const GatewayRegionsKey *key)
{
    const CatalogRoute *route =
        CatalogTable_FindRoute(table, key->host, key->path);
    const CatalogTeam *team =
        key->team == NULL
            ? NULL
            : CatalogTable_FindTeam(table, Rng_HashString(key->team));
    gboolean was_known = regions->is_known;
    gboolean differs = FALSE;

    if (route != NULL) {
        differs = replace(&regions->route, route->regions);
    }
    if (team != NULL) {
        differs = replace(&regions->team, team->regions) || differs;
    }
    regions->is_known = TRUE;
    return was_known && differs;
}

gboolean
GatewayRegions_Read(GatewayRegions *regions, Catalog *catalog,
                    const GatewayRegionsKey *key)
{
    CatalogTable *table = Catalog_Acquire(catalog);
    gboolean differs = FALSE;

    if (table != NULL) {
        differs = GatewayRegions_Update(regions, table, key);
        CatalogTable_Unref(table);
    }
    return differs;
}

gboolean
GatewayRegions_IsRestricted(const GatewayRegions *regions)
{
    return regions->route != NULL || regions->team != NULL;
}

void
GatewayRegions_Ref(const GatewayRegions *regions)
{
    (void)RegionSet_Ref(regions->route);
    (void)RegionSet_Ref(regions->team);
}

void
GatewayRegions_Clear(GatewayRegions *regions)
{
    RegionSet_Unref(regions->route);
    RegionSet_Unref(regions->team);
    *regions = (GatewayRegions){0};
}

gboolean
GatewayRegions_Check(void *context)
{
    const GatewayRegionsCheck *check = context;
    GatewayRegions regions = {0};
    gboolean allowed;

    (void)GatewayRegions_Read(&regions, check->catalog, &check->key);
    allowed = RegionSet_Allows(regions.route, check->region) &&
              RegionSet_Allows(regions.team, check->region);
    GatewayRegions_Clear(&regions);
    if (!allowed) {
        Counter_Add(COUNTER_ROUTE_REGIONS_LEFT, 1);
        Log_Event(LOG_REGION_NOT_ALLOWED, "request=%s team=%s",
                  check->request_id, check->key.team ? check->key.team : "-");
    }
    return allowed;
}
