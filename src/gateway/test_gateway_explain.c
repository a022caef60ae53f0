/* Tests of the explanation of a request that is not sent. */
#include <glib.h>
#include <string.h>
#include <urcu.h>

#include "base/counter.h"
#include "gateway/gateway_explain.h"
#include "gateway/test_gateway_fleet.h"

static json_t *
explain(Fleet *fleet, const char *path, const char *key)
{
    return GatewayExplain_Make(fleet->gateway,
                               &(GatewayExplainInput){.method = "GET",
                                                      .host = HOST,
                                                      .path = path,
                                                      .key = key,
                                                      .deadline_ms = 4000});
}

static const char *
text_of(const json_t *object, const char *name)
{
    return json_string_value(json_object_get(object, name));
}

/* Guards against a refusal that the explanation does not foresee, and against
 * a key in the answer. */
static void
test_results(void)
{
    static const struct {
        const char *regions; /* of the route */
        const char *path;
        const char *key;
        const char *result;
        const char *chosen;
    } cases[] = {
        {NULL, "/read/1", "k1", "OK", "owner-0"},
        {"r2", "/read/1", "k1", "OK", "owner-1"},
        {"", "/read/1", "k1", "HOME_REGIONS_AWAY", NULL},
        {NULL, "/none/1", "k1", "ROUTE_UNKNOWN", NULL},
        {NULL, "/read/1", NULL, "KEY_MISSING", NULL},
        {NULL, "/read/1", "other-key", "KEY_UNKNOWN", NULL},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fleet fleet;
        json_t *object;
        char *text;

        g_test_message("case %zu", i);
        open_fleet(&fleet, make_table(3, cases[i].regions, NULL));
        add_owner(&fleet, 0, FALSE);
        add_owner(&fleet, 1, FALSE);
        object = explain(&fleet, cases[i].path, cases[i].key);
        text = json_dumps(object, JSON_COMPACT);
        g_assert_cmpstr(text_of(object, "result"), ==, cases[i].result);
        g_assert_cmpstr(text_of(object, "choice"), ==, cases[i].chosen);
        g_assert_cmpint(
            json_integer_value(json_object_get(object, "configuration")), ==,
            3);
        g_assert_null(strstr(text, "k1"));
        g_assert_null(strstr(text, "other-key"));
        g_assert_cmpint(fleet.owners[0].requests + fleet.owners[1].requests,
                        ==, 0);
        free(text);
        json_decref(object);
        close_fleet(&fleet);
    }
}

/* Guards against an explanation that counts, takes a retry, or moves a random
 * generator, and against one that differs from the next request. */
static void
test_no_effect(void)
{
    GString *before = g_string_new(NULL);
    GString *after = g_string_new(NULL);
    Fleet fleet;
    HttpAnswer answer;
    ClockMs took;
    uint64_t random;

    open_fleet(&fleet, make_table(1, "r1", NULL));
    add_owner(&fleet, 0, FALSE);
    random = fleet.gateway->rng.state;
    Counter_Write(before);
    for (int i = 0; i < 100; i++) {
        json_decref(explain(&fleet, i % 2 ? "/read/1" : "/issue/1", "k1"));
    }
    Counter_Write(after);
    g_assert_cmpstr(before->str, ==, after->str);
    g_assert_cmpuint(g_hash_table_size(fleet.gateway->budgets), ==, 0);
    g_assert_cmpuint(fleet.gateway->rng.state, ==, random);
    g_assert_cmpint(fleet.owners[0].requests, ==, 0);
    answer = call(&fleet, "/read/1", &took);
    g_assert_cmpint(answer.status, ==, 200);
    g_assert_cmpint(fleet.owners[0].requests, ==, 1);
    HttpAnswer_Clear(&answer);
    close_fleet(&fleet);
    g_string_free(before, TRUE);
    g_string_free(after, TRUE);
}

int
main(int argc, char **argv)
{
    int status;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    g_test_add_func("/gateway-explain/results", test_results);
    g_test_add_func("/gateway-explain/no-effect", test_no_effect);
    status = g_test_run();
    rcu_unregister_thread();
    return status;
}
