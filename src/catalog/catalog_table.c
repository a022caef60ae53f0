#include "catalog/catalog_table.h"

#include <stdatomic.h>
#include <string.h>

struct CatalogTable {
    _Atomic int references;
    CatalogTable_desc desc;
    GHashTable *hosts; /* host -> GPtrArray of routes, longest prefix first */
    GHashTable *keys;  /* key -> CatalogTeam */
    GHashTable *teams; /* &CatalogTeam.hash -> CatalogTeam */
    GHashTable *services; /* CatalogService.name -> CatalogService */
};

static void
free_route(gpointer data)
{
    CatalogRoute *route = data;

    for (uint32_t i = 0; i < route->destination_count; i++) {
        g_free(route->destinations[i].service);
    }
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    RegionSet_Unref(route->regions);
    g_free(route);
}

static void
free_routes(gpointer data)
{
    g_ptr_array_free(data, TRUE);
}

static void
free_team(gpointer data)
{
    CatalogTeam *team = data;

    g_free(team->name);
    RegionSet_Unref(team->regions);
    g_free(team);
}

static void
free_service(gpointer data)
{
    CatalogService *service = data;

    g_free(service->name);
    g_free(service);
}

CatalogTable *
CatalogTable_Create(const CatalogTable_desc *desc)
{
    CatalogTable *table = g_new0(CatalogTable, 1);

    atomic_store(&table->references, 1);
    table->desc = *desc;
    table->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_routes);
    table->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    table->teams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_team);
    table->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    return table;
}

CatalogTable *
CatalogTable_Ref(CatalogTable *table)
{
    atomic_fetch_add(&table->references, 1);
    return table;
}

void
CatalogTable_Unref(CatalogTable *table)
{
    if (table == NULL || atomic_fetch_sub(&table->references, 1) > 1) {
        return;
    }
    g_hash_table_destroy(table->hosts);
    g_hash_table_destroy(table->keys);
    g_hash_table_destroy(table->teams);
    g_hash_table_destroy(table->services);
    g_free(table);
}

const CatalogTeam *
CatalogTable_AddTeam(CatalogTable *table, const CatalogTeam *team)
{
    CatalogTeam *copy = g_memdup2(team, sizeof(*team));

    copy->hash = Rng_HashString(copy->name);
    g_hash_table_insert(table->teams, &copy->hash, copy);
    return copy;
}

void
CatalogTable_AddKey(CatalogTable *table, const char *key,
                    const CatalogTeam *team)
{
    g_hash_table_insert(table->keys, g_strdup(key), (gpointer)team);
}

static gint
compare_prefixes(gconstpointer a, gconstpointer b)
{
    const CatalogRoute *left = *(CatalogRoute *const *)a;
    const CatalogRoute *right = *(CatalogRoute *const *)b;
    size_t left_length = strlen(left->prefix);
    size_t right_length = strlen(right->prefix);

    return (left_length < right_length) - (left_length > right_length);
}

void
CatalogTable_AddRoute(CatalogTable *table, const CatalogRoute *route)
{
    CatalogRoute *copy = g_memdup2(route, sizeof(*route));
    GPtrArray *routes = g_hash_table_lookup(table->hosts, copy->host);

    copy->hash = Rng_HashString(copy->name);
    for (uint32_t i = 0; i < copy->destination_count; i++) {
        copy->destinations[i].service_hash =
            Rng_HashString(copy->destinations[i].service);
    }
    if (routes == NULL) {
        routes = g_ptr_array_new_with_free_func(free_route);
        g_hash_table_insert(table->hosts, g_strdup(copy->host), routes);
    }
    g_ptr_array_add(routes, copy);
    g_ptr_array_sort(routes, compare_prefixes);
}

void
CatalogTable_AddService(CatalogTable *table, const CatalogService *service)
{
    CatalogService *copy = g_memdup2(service, sizeof(*service));

    copy->name = g_strdup(service->name);
    g_hash_table_replace(table->services, copy->name, copy);
}

uint64_t
CatalogTable_Version(const CatalogTable *table)
{
    return table->desc.version;
}

unsigned
CatalogTable_TeamCount(const CatalogTable *table)
{
    return g_hash_table_size(table->teams);
}

unsigned
CatalogTable_KeyCount(const CatalogTable *table)
{
    return g_hash_table_size(table->keys);
}

gboolean
CatalogTable_NeedsKeys(const CatalogTable *table)
{
    return table->desc.has_teams || g_hash_table_size(table->teams) > 0;
}

const CatalogRoute *
CatalogTable_FindRoute(const CatalogTable *table, const char *host,
                       const char *path)
{
    GPtrArray *routes = g_hash_table_lookup(table->hosts, host);

    for (guint i = 0; routes != NULL && i < routes->len; i++) {
        const CatalogRoute *route = g_ptr_array_index(routes, i);

        if (g_str_has_prefix(path, route->prefix)) {
            return route;
        }
    }
    return NULL;
}

const CatalogTeam *
CatalogTable_FindTeamByKey(const CatalogTable *table, const char *key)
{
    return g_hash_table_lookup(table->keys, key);
}

const CatalogTeam *
CatalogTable_FindTeam(const CatalogTable *table, uint64_t hash)
{
    return g_hash_table_lookup(table->teams, &hash);
}

const CatalogService *
CatalogTable_FindService(const CatalogTable *table, const char *name)
{
    return g_hash_table_lookup(table->services, name);
}

const CatalogDestination *
CatalogRoute_ChooseDestination(const CatalogRoute *route, Rng *rng)
{
    uint64_t total = 0;
    uint64_t draw;

    for (uint32_t i = 0; i < route->destination_count; i++) {
        total += route->destinations[i].weight;
    }
    if (total == 0) {
        return route->destination_count > 0 ? &route->destinations[0] : NULL;
    }
    draw = Rng_Below(rng, total);
    for (uint32_t i = 0; i < route->destination_count; i++) {
        if (draw < route->destinations[i].weight) {
            return &route->destinations[i];
        }
        draw -= route->destinations[i].weight;
    }
    return &route->destinations[route->destination_count - 1];
}
