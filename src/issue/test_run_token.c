/* Tests of run tokens: text form, MAC, RPC bodies. */
#include <glib.h>
#include <string.h>

#include "issue/run_rpc.h"

static const char secret[] = "fleet secret of the test";

static const RunToken example = {.owner = 0x0123456789abcdef,
                                 .incarnation = 1789000000123,
                                 .serial = 42,
                                 .team = 7,
                                 .route = 9,
                                 .valid_until = 600000};

/* Guards against a token that changes when formatted and parsed, or whose text
 * cannot be the value of a header. */
static void
test_round_trip(void)
{
    char text[RUN_TOKEN_TEXT_BYTES];
    RunToken token;

    RunToken_Format(&example, secret, sizeof(secret), text);
    g_assert_cmpuint(strlen(text), ==, RUN_TOKEN_TEXT_BYTES - 1);
    g_assert_cmpuint(strlen(text), <=, 300);
    for (const char *c = text; *c != '\0'; c++) {
        g_assert_true(g_ascii_isalnum(*c) || *c == '-');
    }
    g_assert_cmpint(RunToken_Verify(text, secret, sizeof(secret), &token), ==,
                    RESULT_OK);
    g_assert_cmpmem(&token, sizeof(token), &example, sizeof(example));
    g_assert_cmpint(RunToken_Parse(text, &token), ==, RESULT_OK);
    g_assert_cmpuint(token.serial, ==, 42);
}

/* Guards against a forged or alternative text of a token: changing any single
 * character must make the text invalid. */
static void
test_changed_character(void)
{
    static const char replacements[] = "0123456789abcdefABCDEF -g";
    char text[RUN_TOKEN_TEXT_BYTES];
    RunToken token;

    RunToken_Format(&example, secret, sizeof(secret), text);
    for (size_t i = 0; i < RUN_TOKEN_TEXT_BYTES - 1; i++) {
        char original = text[i];

        for (const char *c = replacements; *c != '\0'; c++) {
            text[i] = *c;
            g_assert_cmpint(
                RunToken_Verify(text, secret, sizeof(secret), &token), ==,
                *c == original ? RESULT_OK : RESULT_TOKEN_INVALID);
        }
        text[i] = original;
    }
}

/* Guards against reading beyond a text of the wrong length. */
static void
test_length(void)
{
    char text[RUN_TOKEN_TEXT_BYTES + 1];
    RunToken token;

    RunToken_Format(&example, secret, sizeof(secret), text);
    g_assert_cmpint(RunToken_Verify(text, "other", 5, &token), ==,
                    RESULT_TOKEN_INVALID);
    text[RUN_TOKEN_TEXT_BYTES - 1] = '0';
    text[RUN_TOKEN_TEXT_BYTES] = '\0';
    g_assert_cmpint(RunToken_Parse(text, &token), ==, RESULT_TOKEN_INVALID);
    for (size_t length = 0; length < RUN_TOKEN_TEXT_BYTES - 1; length++) {
        char *part = g_strndup(text, length);

        g_assert_cmpint(RunToken_Verify(part, secret, sizeof(secret), &token),
                        ==, RESULT_TOKEN_INVALID);
        g_free(part);
    }
    g_assert_cmpint(RunToken_Verify(NULL, secret, sizeof(secret), &token), ==,
                    RESULT_TOKEN_INVALID);
}

typedef struct Exchange {
    RunTable *table;
    GByteArray *body;
    GByteArray *reply;
} Exchange;

static void
open_exchange(Exchange *exchange)
{
    exchange->table =
        RunTable_Create(&(RunTable_desc){.owner = 3, .incarnation = 5});
    exchange->body = g_byte_array_new();
    exchange->reply = g_byte_array_new();
}

static void
close_exchange(Exchange *exchange)
{
    g_byte_array_unref(exchange->body);
    g_byte_array_unref(exchange->reply);
    RunTable_Destroy(exchange->table);
}

/* Returns the owner's result, or RESULT_MALFORMED if the owner cannot decode
 * the message. */
static Result
exchange_mint(Exchange *exchange, uint32_t wanted, RunToken *token,
              uint32_t *count)
{
    Result result;

    g_byte_array_set_size(exchange->body, 0);
    g_byte_array_set_size(exchange->reply, 0);
    RunRpc_EncodeMint(11, 12, wanted, exchange->body);
    result = RunRpc_ServeMint(exchange->table, exchange->body->data,
                              exchange->body->len, 100, exchange->reply);
    if (result != RESULT_OK) {
        return result;
    }
    return RunRpc_DecodeMint(exchange->reply->data, exchange->reply->len,
                             token, count);
}

/* Guards against fields that are swapped in a message. */
static void
test_rpc_mint(void)
{
    static const RunToken expected = {.owner = 3,
                                      .incarnation = 5,
                                      .serial = 1,
                                      .team = 11,
                                      .route = 12,
                                      .valid_until = 600100};
    Exchange exchange;
    RunToken token;
    uint32_t count = 0;

    open_exchange(&exchange);
    g_assert_cmpint(exchange_mint(&exchange, 0, &token, &count), ==,
                    RESULT_MALFORMED);
    g_assert_cmpint(
        exchange_mint(&exchange, RUN_RPC_MAX_TOKENS + 1, &token, &count), ==,
        RESULT_MALFORMED);
    g_assert_cmpint(exchange_mint(&exchange, 4, &token, &count), ==,
                    RESULT_OK);
    g_assert_cmpuint(count, ==, 4);
    g_assert_cmpmem(&token, sizeof(token), &expected, sizeof(expected));
    RunTable_Drain(exchange.table);
    g_assert_cmpint(exchange_mint(&exchange, 4, &token, &count), ==,
                    RESULT_SHUTTING_DOWN);
    close_exchange(&exchange);
}

/* Guards against a decoder that accepts a truncated message. */
static void
test_rpc_truncated(void)
{
    Exchange exchange;
    GByteArray *reply = g_byte_array_new();
    RunToken token;
    uint32_t count;

    open_exchange(&exchange);
    g_assert_cmpint(exchange_mint(&exchange, 4, &token, &count), ==,
                    RESULT_OK);
    for (guint length = 0; length < exchange.body->len; length++) {
        g_assert_cmpint(RunRpc_ServeMint(exchange.table, exchange.body->data,
                                         length, 0, reply),
                        ==, RESULT_MALFORMED);
    }
    for (guint length = 0; length < exchange.reply->len; length++) {
        g_assert_cmpint(
            RunRpc_DecodeMint(exchange.reply->data, length, &token, &count),
            ==, RESULT_MALFORMED);
    }
    g_byte_array_unref(reply);
    close_exchange(&exchange);
}

/* Guards against a state query that reports or voids another token. */
static void
test_rpc_state(void)
{
    Exchange exchange;
    RunToken token;
    uint32_t count;
    RunTokenState state = RUN_TOKEN_FRESH;

    open_exchange(&exchange);
    g_assert_cmpint(exchange_mint(&exchange, 2, &token, &count), ==,
                    RESULT_OK);
    g_byte_array_set_size(exchange.body, 0);
    g_byte_array_set_size(exchange.reply, 0);
    RunRpc_EncodeState(&token, exchange.body);
    g_assert_cmpint(RunRpc_ServeState(exchange.table, exchange.body->data,
                                      exchange.body->len, 100, exchange.reply),
                    ==, RESULT_OK);
    g_assert_cmpint(
        RunRpc_DecodeState(exchange.reply->data, exchange.reply->len, &state),
        ==, RESULT_OK);
    g_assert_cmpint(state, ==, RUN_TOKEN_VOID);
    g_assert_cmpint(RunTable_Begin(exchange.table, &token, 11, 12, 101).result,
                    ==, RESULT_TOKEN_VOID);
    token.serial++;
    g_assert_cmpint(RunTable_Begin(exchange.table, &token, 11, 12, 101).action,
                    ==, RUN_EXECUTE);
    close_exchange(&exchange);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/issue/run-token/round-trip", test_round_trip);
    g_test_add_func("/issue/run-token/changed-character",
                    test_changed_character);
    g_test_add_func("/issue/run-token/length", test_length);
    g_test_add_func("/issue/run-rpc/mint", test_rpc_mint);
    g_test_add_func("/issue/run-rpc/cut", test_rpc_truncated);
    g_test_add_func("/issue/run-rpc/state", test_rpc_state);
    return g_test_run();
}
