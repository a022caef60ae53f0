/* Tests of requests that the gateway refuses before it looks at them. */
#include <glib.h>
#include <string.h>

#include "gateway/gateway_internal.h"

static const WireNames names = {
    .request_id = "X-Id", .time_left_ms = "X-Left", .key = "X-Key"};

static HttpAnswer
call(Gateway *gateway, HttpClient *client, const char *left_ms)
{
    HttpHeaders headers = {0};
    HttpAnswer answer = {0};
    HttpCall http = {.method = "GET",
                     .target = "/",
                     .host = "permits.example",
                     .headers = &headers,
                     .deadline = Clock_Now() + 5000,
                     .connect_ms = 1000};
    gboolean sent;

    g_assert_true(HttpAddress_Parse("127.0.0.1:1", &http.address));
    http.address.sin_port = htons(HttpServer_Port(gateway->server));
    HttpHeaders_Add(&headers, "X-Id", "r1");
    HttpHeaders_Add(&headers, "X-Left", left_ms);
    g_assert_cmpint(HttpClient_Call(client, &http, &answer, &sent), ==,
                    RESULT_OK);
    HttpHeaders_Clear(&headers);
    return answer;
}

/* Guards against a caller that gives up, or returns before the host has
 * started again, because its request arrived when the gateway had closed, and
 * against a deadline that overflows. */
static void
test_closed(void)
{
    static const struct {
        const char *left_ms;
        gboolean returns;
    } cases[] = {{"8000", TRUE},
                 {"2000", FALSE},
                 {"9223372036854775807", TRUE},
                 {"-1", FALSE}};
    Gateway_desc desc = {.threads = 1, .host = "a", .names = &names};
    HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
    Gateway *gateway;

    g_assert_true(HttpAddress_Parse("127.0.0.1:0", &desc.address));
    gateway = Gateway_Create(&desc, NULL);
    g_assert_nonnull(gateway);
    g_assert_true(Gateway_Close(gateway, Clock_Now()));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        HttpAnswer answer = call(gateway, client, cases[i].left_ms);
        const char *after = HttpHeaders_Get(&answer.headers, "Retry-After");

        g_test_message("%s ms left: Retry-After %s", cases[i].left_ms,
                       after ? after : "none");
        g_assert_cmpint(answer.status, ==, 503);
        g_assert_cmpint(after != NULL, ==, cases[i].returns);
        HttpAnswer_Clear(&answer);
    }
    Gateway_Destroy(gateway);
    HttpClient_Destroy(client);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/gateway-refusal/closed", test_closed);
    return g_test_run();
}
