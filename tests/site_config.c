/* The configurations of a site. */
#include <jansson.h>

#include "site.h"

static json_t *
make_route(const char *prefix, const char *kind, gboolean anonymous,
           const char *timeout)
{
    return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:b}", "host",
                     SITE_HOST_HEADER, "path_prefix", prefix, "kind", kind,
                     "service", "desk", "timeout", timeout, "target_latency",
                     "2000ms", "priority", 1, "attempts", 3, "allow_anonymous",
                     anonymous);
}

/* Takes ownership of the table of teams, NULL for none. */
static void
write_configuration(Site *site, unsigned version, json_t *teams,
                    const char *prefix, int more_routes)
{
    char *text = g_strdup_printf("%08x", version);
    json_t *home = make_route("/home/", "safe", FALSE, "5000ms");
    json_t *routes = json_pack(
        "{s:o, s:o, s:o, s:o, s:o, s:o}", "home", home, "read",
        make_route("/read/", "safe", FALSE, "5000ms"), "issue",
        make_route("/issue/", "non_idempotent", FALSE, "5000ms"), "open",
        make_route("/open/", "safe", TRUE, "5000ms"), "patient",
        make_route("/patient/", "safe", TRUE, "20000ms"), "commit",
        make_route("/commit/", "non_idempotent", FALSE, "20000ms"));
    json_t *value = json_pack("{s:s, s:O, s:{s:{s:s, s:i}}}", "version", text,
                              "routes", routes, "services", "desk",
                              "cold_start", "5s", "cold_per_s", 10);

    g_assert_nonnull(value);
    if (teams != NULL) {
        json_object_set_new(value, "tenants", teams);
    }
    json_object_set_new(home, "allowed_regions", json_pack("[s]", "norte"));
    if (prefix != NULL) {
        json_object_set_new(routes, "probe",
                            make_route(prefix, "safe", TRUE, "5000ms"));
    }
    for (int i = 0; i < more_routes; i++) {
        char *more = g_strdup_printf("/more-%d/", i);

        json_object_set_new(routes, more,
                            make_route(more, "safe", TRUE, "5000ms"));
        g_free(more);
    }
    json_decref(routes);
    ObjectServer_Write(Site_Store(site), "config", "main", value);
    g_free(text);
}

void
Site_ConfigureTeams(Site *site, unsigned version, const char *teams)
{
    write_configuration(
        site, version, teams ? json_loads(teams, JSON_DECODE_ANY, NULL) : NULL,
        NULL, 0);
}

static json_t *
make_teams(const char *keys, int rate_per_s)
{
    return json_pack("{s:{s:o, s:i, s:i}}", "crews", "api_keys",
                     json_loads(keys, 0, NULL), "rate_per_s", rate_per_s,
                     "burst", rate_per_s);
}

void
Site_ConfigureSize(Site *site, unsigned version, const char *keys,
                   int rate_per_s, const char *prefix, int routes)
{
    write_configuration(site, version, make_teams(keys, rate_per_s), prefix,
                        routes);
}

void
Site_ConfigureRoute(Site *site, unsigned version, const char *keys,
                    int rate_per_s, const char *prefix)
{
    Site_ConfigureSize(site, version, keys, rate_per_s, prefix, 0);
}

void
Site_Configure(Site *site, unsigned version, const char *keys, int rate_per_s)
{
    Site_ConfigureRoute(site, version, keys, rate_per_s, NULL);
}
