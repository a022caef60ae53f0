/* Tests of the reader of JSON from other programs. */
#include <glib.h>
#include <string.h>

#include "json/json_text.h"

static JsonText
text_of(const char *text)
{
    return (JsonText){.start = text, .bytes = strlen(text)};
}

static char *
nested(size_t levels)
{
    GString *text = g_string_new(NULL);

    for (size_t i = 0; i < levels; i++) {
        g_string_append_c(text, '[');
    }
    for (size_t i = 0; i < levels; i++) {
        g_string_append_c(text, ']');
    }
    return g_string_free(text, FALSE);
}

/* Guards against a part that is cut at a bracket or quote inside a string, and
 * against a body with an unclosed part that is taken as complete. */
static void
test_bodies(void)
{
    static const struct {
        const char *text;
        gboolean valid;
    } cases[] = {
        {"{}", TRUE},
        {" [1, 2]\n", TRUE},
        {"{\"a\":\"]}\\\"{\"}", TRUE},
        {"{\"a\":[{}]}", TRUE},
        {"", FALSE},
        {" ", FALSE},
        {"null", FALSE},
        {"\"a\"", FALSE},
        {"{", FALSE},
        {"{\"a\":1", FALSE},
        {"{\"a\":\"}", FALSE},
        {"{\"a\":\"\\", FALSE},
        {"{} {}", FALSE},
        {"[1]]", FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        JsonText text;

        g_assert_cmpint(
            JsonText_FromBody(cases[i].text, strlen(cases[i].text), &text), ==,
            cases[i].valid);
    }
}

/* Guards against the value of another member or of a nested one. */
static void
test_members(void)
{
    static const struct {
        const char *object;
        const char *value; /* of "a"; NULL: none */
    } cases[] = {
        {"{\"a\":1}", "1"},
        {"{ \"b\" : {\"a\":2} , \"a\" : [3] }", "[3]"},
        {"{\"a\":1,\"a\":2}", "2"},
        {"{\"b\":\"\\\"a\\\":1\",\"a\":null}", "null"},
        {"{\"a\":\"\xff\",\"c\":1e999}", "\"\xff\""},
        {"{\"b\":{\"a\":1}}", NULL},
        {"{\"ab\":1}", NULL},
        {"{\"a\"}", NULL},
        {"{\"a\":}", NULL},
        {"[\"a\",1]", NULL},
        {"7", NULL},
        {"", NULL},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        JsonText value;
        gboolean found =
            JsonText_Member(text_of(cases[i].object), "a", &value);
        char *copy = found ? g_strndup(value.start, value.bytes) : NULL;

        g_assert_cmpstr(copy, ==, cases[i].value);
        g_free(copy);
    }
}

/* Guards against items that are lost behind an invalid one, and against an
 * unclosed array that is taken as complete. */
static void
test_items(void)
{
    static const struct {
        const char *array;
        unsigned count;
        gboolean is_broken;
    } cases[] = {
        {"[]", 0, FALSE},
        {" [ ] ", 0, FALSE},
        {"[1,{\"a\":[]},\"],\",[2]]", 4, FALSE},
        {"[1e999,\"\xff\",nonsense,99999999999999999999]", 4, FALSE},
        {"[1,", 1, TRUE},
        {"[1,\"", 1, TRUE},
        {"[,1]", 0, TRUE},
        {"{}", 0, FALSE},
        {"", 0, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *copy = g_strstrip(g_strdup(cases[i].array));
        JsonTextItems items;
        JsonText value;
        unsigned count = 0;

        JsonTextItems_Init(&items, text_of(copy));
        while (JsonTextItems_Next(&items, &value)) {
            count++;
        }
        g_assert_cmpuint(count, ==, cases[i].count);
        g_assert_cmpint(items.is_broken, ==, cases[i].is_broken);
        g_free(copy);
    }
}

/* Guards against a value that needs more stack the deeper it is nested. */
static void
test_depth(void)
{
    static const struct {
        size_t levels;
        gboolean valid;
    } cases[] = {{1, TRUE},
                 {JSON_TEXT_MAX_DEPTH, TRUE},
                 {2048, FALSE},
                 {JSON_TEXT_MAX_DEPTH + 1, FALSE},
                 {100000, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = nested(cases[i].levels);
        json_t *value = JsonText_Decode(text_of(text));

        g_assert_cmpint(value != NULL, ==, cases[i].valid);
        json_decref(value);
        g_free(text);
    }
}

/* Guards against a number that is cut to fewer bits. */
static void
test_integers(void)
{
    static const struct {
        const char *text;
        gboolean valid;
    } cases[] = {
        {"0", TRUE},     {"65535", TRUE},   {"65536", FALSE},
        {"-1", FALSE},   {"-0", TRUE},      {"4294975376", FALSE},
        {"80.0", FALSE}, {"\"80\"", FALSE}, {"true", FALSE},
        {"null", FALSE}, {"1e2", FALSE},    {"99999999999999999999", FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        json_t *value = JsonText_Decode(text_of(cases[i].text));
        int64_t result = -5;

        g_assert_cmpint(Json_ReadInteger(value, 0, 65535, &result), ==,
                        cases[i].valid);
        g_assert_cmpint(result == -5, ==, !cases[i].valid);
        json_decref(value);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/json-text/bodies", test_bodies);
    g_test_add_func("/json-text/members", test_members);
    g_test_add_func("/json-text/items", test_items);
    g_test_add_func("/json-text/depth", test_depth);
    g_test_add_func("/json-text/integers", test_integers);
    return g_test_run();
}
