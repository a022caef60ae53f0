/* Fuzz target for the decoders of the issue module: token texts, the bodies of
 * RPC kinds 20 and 21, and the chunks of a hand-over. The first byte selects
 * the decoder.
 *
 * Guards against messages that crash a decoder, against a token text that
 * passes the MAC check without having been made with the secret, and against a
 * table that cannot be handed over after it adopted a chunk.
 */
#include <stdlib.h>

#include "issue/run_rpc.h"
#include "issue/run_table.h"

#define NOW 100000
#define CHUNK_BYTES 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static RunTable *
create_table(uint64_t owner)
{
    return RunTable_Create(&(RunTable_desc){.owner = owner,
                                            .incarnation = 1,
                                            .max_runs = 64,
                                            .max_kept_bytes = 1024 * 1024});
}

static void
check_token(const uint8_t *data, size_t size)
{
    static const char secret[] = "0123456789abcdef";
    char *text = g_strndup((const char *)data, size);
    char again[RUN_TOKEN_TEXT_BYTES];
    RunToken token;

    if (RunToken_Parse(text, &token) == RESULT_OK) {
        RunToken_Format(&token, secret, sizeof(secret), again);
        if (RunToken_Verify(again, secret, sizeof(secret), &token) !=
            RESULT_OK) {
            abort();
        }
    }
    if (RunToken_Verify(text, secret, sizeof(secret), &token) == RESULT_OK) {
        abort();
    }
    g_free(text);
}

static void
check_messages(const uint8_t *data, size_t size)
{
    RunTable *table = create_table(1);
    GByteArray *reply = g_byte_array_new();
    RunTokenState state = RUN_TOKEN_UNKNOWN;
    RunToken first;
    uint32_t count;

    (void)RunRpc_ServeMint(table, data, size, NOW, reply);
    (void)RunRpc_DecodeMint(reply->data, reply->len, &first, &count);
    g_byte_array_set_size(reply, 0);
    (void)RunRpc_ServeState(table, data, size, NOW, reply);
    (void)RunRpc_DecodeState(reply->data, reply->len, &state);
    (void)RunRpc_DecodeMint(data, size, &first, &count);
    if (RunRpc_DecodeState(data, size, &state) == RESULT_OK &&
        state > RUN_TOKEN_UNKNOWN) {
        abort();
    }
    g_byte_array_unref(reply);
    RunTable_Destroy(table);
}

static void
check_chunk(const uint8_t *data, size_t size)
{
    RunTable *table = create_table(1);
    RunTable *successor = create_table(2);
    GPtrArray *chunks;

    (void)RunTable_Adopt(table, data, size, NOW);
    (void)RunTable_Adopt(table, data, size, NOW);
    chunks = RunTable_HandOver(table, CHUNK_BYTES, NOW);
    for (guint i = 0; i < chunks->len; i++) {
        gsize bytes;
        const void *chunk =
            g_bytes_get_data(g_ptr_array_index(chunks, i), &bytes);

        if (RunTable_Adopt(successor, chunk, bytes, NOW) != RESULT_OK) {
            abort();
        }
    }
    g_ptr_array_unref(chunks);
    RunTable_Destroy(successor);
    RunTable_Destroy(table);
}

/* Returns the first chunk of a table with a finished, a running and a void
 * token. */
static GBytes *
create_chunk(void)
{
    RunTable *table = create_table(3);
    RunHeader header = {.name = "Content-Type", .value = "text/plain"};
    RunAnswer *answer = RunAnswer_Create(&(RunAnswer_desc){.status = 200,
                                                           .run = RUN_YES,
                                                           .headers = &header,
                                                           .header_count = 1,
                                                           .body = "permit",
                                                           .body_bytes = 6});
    GPtrArray *chunks;
    GBytes *chunk;
    RunToken token;
    RunBegin begun;

    (void)RunTable_Mint(table, 1, 1, 3, NOW, &token);
    begun = RunTable_Begin(table, &token, 1, 1, NOW);
    (void)RunTable_Finish(table, begun.handle, answer, NOW);
    token.serial++;
    (void)RunTable_Begin(table, &token, 1, 1, NOW);
    token.serial++;
    (void)RunTable_Void(table, &token, NOW);
    chunks = RunTable_HandOver(table, CHUNK_BYTES, NOW);
    chunk = g_bytes_ref(g_ptr_array_index(chunks, 0));
    g_ptr_array_unref(chunks);
    RunAnswer_Unref(answer);
    RunTable_Destroy(table);
    return chunk;
}

/* Changes bytes of a valid chunk: the input is a list of pairs of an offset
 * and a new value. */
static void
check_changed_chunk(const uint8_t *data, size_t size)
{
    static GBytes *chunk;
    gsize bytes;
    uint8_t *copy;

    if (chunk == NULL) {
        chunk = create_chunk();
    }
    copy = g_memdup2(g_bytes_get_data(chunk, &bytes), g_bytes_get_size(chunk));
    for (size_t i = 0; i + 1 < size; i += 2) {
        copy[data[i] % bytes] = data[i + 1];
    }
    check_chunk(copy, bytes);
    g_free(copy);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size == 0) {
        return 0;
    }
    switch (data[0] % 4) {
    case 0:
        check_token(data + 1, size - 1);
        break;
    case 1:
        check_messages(data + 1, size - 1);
        break;
    case 2:
        check_changed_chunk(data + 1, size - 1);
        break;
    default:
        check_chunk(data + 1, size - 1);
        break;
    }
    return 0;
}
