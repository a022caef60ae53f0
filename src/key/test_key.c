/* Tests of key: ways in which a key could get past the entry. */
#include <glib.h>
#include <string.h>

#include "key/key.h"

#define KEY "norte-4f9a+zQ=="
#define OTHER "bajio-77cc+aB=="
#define MAX_HEADERS 4

typedef struct ExtractCase {
    const char *name;
    KeyHeader headers[MAX_HEADERS];
    Result result;
} ExtractCase;

static const ExtractCase extract_cases[] = {
    {"none", {{"Accept", "*/*"}}, RESULT_KEY_MISSING},
    {"own", {{"Radishknot-Key", KEY}}, RESULT_OK},
    {"own-upper", {{"RADISHKNOT-KEY", KEY}}, RESULT_OK},
    {"own-lower", {{"radishknot-key", KEY}}, RESULT_OK},
    {"own-padded", {{"Radishknot-Key", " \t" KEY "\t "}}, RESULT_OK},
    {"bearer", {{"Authorization", "Bearer " KEY}}, RESULT_OK},
    {"bearer-case", {{"aUTHORIZATION", "bEARER   " KEY}}, RESULT_OK},
    {"bearer-only", {{"Authorization", "Bearer"}}, RESULT_KEY_MALFORMED},
    {"bearer-joined", {{"Authorization", "Bearer" KEY}}, RESULT_KEY_MISSING},
    {"basic", {{"Authorization", "Basic " KEY}}, RESULT_KEY_MISSING},
    {"both-same",
     {{"Radishknot-Key", KEY}, {"Authorization", "Bearer " KEY}},
     RESULT_OK},
    {"both-different",
     {{"Radishknot-Key", KEY}, {"Authorization", "Bearer " OTHER}},
     RESULT_KEY_MISPLACED},
    {"own-and-basic",
     {{"Radishknot-Key", KEY}, {"Authorization", "Basic eA=="}},
     RESULT_OK},
    {"own-twice",
     {{"Radishknot-Key", KEY}, {"radishknot-KEY", KEY}},
     RESULT_KEY_MISPLACED},
    {"own-twice-different",
     {{"Radishknot-Key", KEY}, {"Radishknot-Key", OTHER}},
     RESULT_KEY_MISPLACED},
    {"bearer-twice",
     {{"Authorization", "Bearer " KEY}, {"Authorization", "Bearer " KEY}},
     RESULT_KEY_MISPLACED},
    {"bearer-and-basic",
     {{"Authorization", "Bearer " KEY}, {"Authorization", "Basic eA=="}},
     RESULT_KEY_MISPLACED},
    {"list", {{"Radishknot-Key", KEY ", " OTHER}}, RESULT_KEY_MALFORMED},
    {"folded",
     {{"Radishknot-Key", "norte\r\n 4f9a+zQ=="}},
     RESULT_KEY_MALFORMED},
    {"folded-first", {{"Radishknot-Key", "\r\n " KEY}}, RESULT_KEY_MALFORMED},
    {"split-header",
     {{"Radishknot-Key", KEY "\r\nX-A: b"}},
     RESULT_KEY_MALFORMED},
    {"control",
     {{"Radishknot-Key", "norte\0014f9a+zQ=="}},
     RESULT_KEY_MALFORMED},
    {"delete", {{"Radishknot-Key", KEY "\177"}}, RESULT_KEY_MALFORMED},
    {"not-ascii", {{"Radishknot-Key", KEY "\303\244"}}, RESULT_KEY_MALFORMED},
    {"quoted", {{"Radishknot-Key", "\"" KEY "\""}}, RESULT_KEY_MALFORMED},
    {"empty", {{"Radishknot-Key", ""}}, RESULT_KEY_MALFORMED},
    {"short", {{"Radishknot-Key", "1234567"}}, RESULT_KEY_MALFORMED},
    {"own-bad-bearer-good",
     {{"Radishknot-Key", ""}, {"Authorization", "Bearer " KEY}},
     RESULT_KEY_MALFORMED},
    {"underscore", {{"Radishknot_Key", KEY}}, RESULT_KEY_MISSING},
};

static size_t
count_headers(const KeyHeader headers[MAX_HEADERS])
{
    size_t count = 0;

    while (count < MAX_HEADERS && headers[count].name != NULL) {
        count++;
    }
    return count;
}

/* Guards against a key that is accepted from ambiguous headers, and against a
 * part of a refused key that remains in the buffer. */
static void
test_extract(gconstpointer data)
{
    const ExtractCase *c = data;
    char key[KEY_MAX_BYTES + 1];

    g_assert_cmpint(Key_Extract(c->headers, count_headers(c->headers), key),
                    ==, c->result);
    g_assert_cmpstr(key, ==, c->result == RESULT_OK ? KEY : "");
}

/* Guards against a buffer overrun by a key of the maximum length or one byte
 * more. */
static void
test_longest(void)
{
    char value[KEY_MAX_BYTES + 2];
    char key[KEY_MAX_BYTES + 1];
    KeyHeader header = {"Radishknot-Key", value};

    memset(value, 'k', sizeof(value));
    value[KEY_MAX_BYTES + 1] = '\0';
    g_assert_cmpint(Key_Extract(&header, 1, key), ==, RESULT_KEY_MALFORMED);
    value[KEY_MAX_BYTES] = '\0';
    g_assert_cmpint(Key_Extract(&header, 1, key), ==, RESULT_OK);
    g_assert_cmpuint(strlen(key), ==, KEY_MAX_BYTES);
}

typedef struct PlaceCase {
    const char *name;
    gboolean misplaced;
    KeyHeader header;
    const char *path;
    const char *query;
    const char *body;
} PlaceCase;

static const PlaceCase place_cases[] = {
    {"clean", FALSE, {"Accept", "*/*"}, "/permit", "a=b", "{\"a\":1}"},
    {"own", FALSE, {"RADISHKNOT-key", KEY}, "/", NULL, NULL},
    {"bearer", FALSE, {"authorization", "bearer " KEY}, "/", NULL, NULL},
    {"part", FALSE, {"X-Id", "norte-4f9a+z"}, "/", "norte", "norte-4f9a"},
    {"broken-percent", FALSE, {"X-Id", "%"}, "/%zz%4", "%2", "%%%"},
    {"header", TRUE, {"X-Api-Key", KEY}, "/", NULL, NULL},
    {"header-inside", TRUE, {"X-Log", "k=" KEY "; v=1"}, "/", NULL, NULL},
    {"header-encoded",
     TRUE,
     {"X-Log", "norte-4f9a%2BzQ%3D%3D"},
     "/",
     NULL,
     NULL},
    {"header-name", TRUE, {"X-NORTE-4F9A+ZQ==", "1"}, "/", NULL, NULL},
    {"cookie", TRUE, {"Cookie", "s=1; key=" KEY}, "/", NULL, NULL},
    {"basic", TRUE, {"Authorization", "Basic " KEY}, "/", NULL, NULL},
    {"proxy", TRUE, {"Proxy-Authorization", "Bearer " KEY}, "/", NULL, NULL},
    {"underscore", TRUE, {"Radishknot_Key", KEY}, "/", NULL, NULL},
    {"subject", TRUE, {"Radishknot-Subject", KEY}, "/", NULL, NULL},
    {"path", TRUE, {"Accept", "*/*"}, "/permit/" KEY "/1", NULL, NULL},
    {"path-encoded",
     TRUE,
     {"Accept", "*/*"},
     "/%6eorte-4f9a%2bzQ%3D%3d",
     NULL,
     NULL},
    {"query", TRUE, {"Accept", "*/*"}, "/", "key=" KEY, NULL},
    {"query-encoded",
     TRUE,
     {"Accept", "*/*"},
     "/",
     "key=%6E%6F%72%74%65%2D%34%66%39%61%2B%7A%51%3D%3D",
     NULL},
    {"query-twice",
     TRUE,
     {"Accept", "*/*"},
     "/",
     "key=norte-4f9a%252BzQ%253D%253D",
     NULL},
    {"query-three-times",
     TRUE,
     {"Accept", "*/*"},
     "/",
     "key=norte-4f9a%25252BzQ==",
     NULL},
    {"query-space",
     TRUE,
     {"Accept", "*/*"},
     "/",
     "key=norte-4f9a%20zQ==",
     NULL},
    {"query-in-path", TRUE, {"Accept", "*/*"}, "/a?key=" KEY, NULL, NULL},
    {"body-json", TRUE, {"Accept", "*/*"}, "/", NULL, "{\"k\":\"" KEY "\"}"},
    {"body-form",
     TRUE,
     {"Accept", "*/*"},
     "/",
     NULL,
     "a=1&k=norte-4f9a%2BzQ%3D%3D"},
    {"body-space", TRUE, {"Accept", "*/*"}, "/", NULL, "norte-4f9a zQ=="},
    {"body-end", TRUE, {"Accept", "*/*"}, "/", NULL, "xx" KEY},
};

/* Guards against a copy of the key being forwarded to a backend server. */
static void
test_place(gconstpointer data)
{
    const PlaceCase *c = data;
    KeyRequest request = {.headers = &c->header,
                          .header_count = 1,
                          .path = c->path,
                          .query = c->query,
                          .body = c->body,
                          .body_bytes = c->body ? strlen(c->body) : 0};

    g_assert_cmpint(Key_IsMisplaced(KEY, &request), ==, c->misplaced);
}

/* Guards against a search that stops at a zero byte of a binary body. */
static void
test_binary_body(void)
{
    static const char binary_body[] = "\0\1\2%00\0" KEY;
    KeyRequest request = {.path = "/",
                          .body = binary_body,
                          .body_bytes = sizeof(binary_body) - 1};

    g_assert_true(Key_IsMisplaced(KEY, &request));
    request.body_bytes--;
    g_assert_false(Key_IsMisplaced(KEY, &request));
}

typedef struct ForwardCase {
    const char *name;
    gboolean forwardable;
} ForwardCase;

static const ForwardCase forward_cases[] = {
    {"Accept", TRUE},
    {"Cookie", TRUE},
    {"Content-Type", TRUE},
    {"X-Radishknot-Key", TRUE},
    {"Authorization", FALSE},
    {"AUTHORIZATION", FALSE},
    {"Radishknot-Key", FALSE},
    {"radishknot-run-token", FALSE},
    {"Radishknot-Anything", FALSE},
    {"Radishknot_Team", FALSE},
    {"Radishknot-Mac", FALSE},
    {"Proxy-Authorization", FALSE},
    {"proxy-connection", FALSE},
    {"Connection", FALSE},
    {"Keep-Alive", FALSE},
    {"TE", FALSE},
    {"Trailer", FALSE},
    {"Transfer-Encoding", FALSE},
    {"Upgrade", FALSE},
    {"Host", FALSE},
    {"Content-Length", FALSE},
    {"Expect", FALSE},
    {"X-Named", FALSE},
    {"x-second", FALSE},
    {"X-Third", FALSE},
    {"X-Named-Not", TRUE},
    {"X Bad", FALSE},
    {"X-Bad:", FALSE},
    {"X-Bad\r\nA", FALSE},
    {"", FALSE},
};

/* Guards against forwarding headers that a backend server must not receive or
 * that are meant for one hop only. */
static void
test_forward(gconstpointer data)
{
    const ForwardCase *c = data;
    KeyHeader headers[] = {{"Connection", "close, x-named ,X-Second"},
                           {"CONNECTION", "X-Third"},
                           {"X-Connection", "Accept"}};

    g_assert_cmpint(Key_Forwardable(headers, G_N_ELEMENTS(headers), c->name),
                    ==, c->forwardable);
}

/* Guards against a hash other than plain SHA-256, which tickets contain. */
static void
test_hash(void)
{
    static const uint8_t expected[] = {0xba, 0x78, 0x16, 0xbf, 0x8f, 0x01};
    uint8_t hash[KEY_HASH_BYTES];
    char key[] = "abc";

    Key_Hash(key, hash);
    g_assert_cmpmem(hash, sizeof(expected), expected, sizeof(expected));
    Key_Wipe(key, sizeof(key));
    g_assert_cmpmem(key, sizeof(key), "\0\0\0\0", 4);
}

static void
add_case(const char *group, const char *name, gconstpointer data,
         GTestDataFunc function)
{
    char *path = g_strdup_printf("/key/%s/%s", group, name);

    g_test_add_data_func(path, data, function);
    g_free(path);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(extract_cases); i++) {
        add_case("extract", extract_cases[i].name, &extract_cases[i],
                 test_extract);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(place_cases); i++) {
        add_case("place", place_cases[i].name, &place_cases[i], test_place);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(forward_cases); i++) {
        char *name = g_strdup_printf("%zu", i);

        add_case("forward", name, &forward_cases[i], test_forward);
        g_free(name);
    }
    g_test_add_func("/key/extract/longest", test_longest);
    g_test_add_func("/key/place/binary-body", test_binary_body);
    g_test_add_func("/key/hash", test_hash);
    return g_test_run();
}
