#include "catalog/catalog_table.h"

#include <stdatomic.h>
#include <string.h>

/* The beginning of a path; the text is not terminated. */
typedef struct Prefix {
    const char *text;
    size_t bytes;
} Prefix;

/* The routes of one host. */
typedef struct HostRoutes {
    GPtrArray *routes;
    GHashTable *prefixes; /* Prefix -> CatalogRoute */
    GArray *lengths;      /* size_t, those of the prefixes, descending */
} HostRoutes;

struct CatalogTable {
    _Atomic int references;
    CatalogTable_desc desc;
    GHashTable *hosts;    /* host -> HostRoutes */
    GHashTable *keys;     /* key -> CatalogTeam */
    GHashTable *teams;    /* &CatalogTeam.hash -> CatalogTeam */
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

static guint
hash_prefix(gconstpointer key)
{
    const Prefix *prefix = key;

    return (guint)Rng_Hash(prefix->text, prefix->bytes);
}

static gboolean
equal_prefix(gconstpointer a, gconstpointer b)
{
    const Prefix *left = a;
    const Prefix *right = b;

    return left->bytes == right->bytes &&
           memcmp(left->text, right->text, left->bytes) == 0;
}

static HostRoutes *
create_routes(void)
{
    HostRoutes *routes = g_new0(HostRoutes, 1);

    routes->routes = g_ptr_array_new_with_free_func(free_route);
    routes->prefixes =
        g_hash_table_new_full(hash_prefix, equal_prefix, g_free, NULL);
    routes->lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
    return routes;
}

static void
free_routes(gpointer data)
{
    HostRoutes *routes = data;

    g_hash_table_destroy(routes->prefixes);
    g_ptr_array_free(routes->routes, TRUE);
    g_array_free(routes->lengths, TRUE);
    g_free(routes);
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

/* Few lengths occur, so a request is looked up once for each of them. */
static void
add_length(GArray *lengths, size_t length)
{
    guint at = 0;

    while (at < lengths->len && g_array_index(lengths, size_t, at) > length) {
        at++;
    }
    if (at == lengths->len || g_array_index(lengths, size_t, at) != length) {
        g_array_insert_val(lengths, at, length);
    }
}

void
CatalogTable_AddRoute(CatalogTable *table, const CatalogRoute *route)
{
    CatalogRoute *copy = g_memdup2(route, sizeof(*route));
    HostRoutes *routes = g_hash_table_lookup(table->hosts, copy->host);
    Prefix prefix = {.text = copy->prefix, .bytes = strlen(copy->prefix)};

    copy->hash = Rng_HashString(copy->name);
    for (uint32_t i = 0; i < copy->destination_count; i++) {
        copy->destinations[i].service_hash =
            Rng_HashString(copy->destinations[i].service);
    }
    if (routes == NULL) {
        routes = create_routes();
        g_hash_table_insert(table->hosts, g_strdup(copy->host), routes);
    }
    g_ptr_array_add(routes->routes, copy);
    /* Of several routes with one prefix, the first one counts. */
    if (!g_hash_table_contains(routes->prefixes, &prefix)) {
        g_hash_table_insert(routes->prefixes,
                            g_memdup2(&prefix, sizeof(prefix)), copy);
        add_length(routes->lengths, prefix.bytes);
    }
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
    const HostRoutes *routes = g_hash_table_lookup(table->hosts, host);
    size_t path_bytes = strlen(path);

    for (guint i = 0; routes != NULL && i < routes->lengths->len; i++) {
        Prefix prefix = {.text = path,
                         .bytes = g_array_index(routes->lengths, size_t, i)};
        const CatalogRoute *route =
            prefix.bytes <= path_bytes
                ? g_hash_table_lookup(routes->prefixes, &prefix)
                : NULL;

        if (route != NULL) {
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
