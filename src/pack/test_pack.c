/* Tests of compressed texts. */
#include <string.h>

#include "pack/pack.h"

#define MAX_BYTES (1024 * 1024)

static GByteArray *
pack(const char *text, size_t repeat)
{
    GByteArray *packed = g_byte_array_new();
    GBytes *frame = Pack_Compress(text, strlen(text));

    for (size_t i = 0; i < repeat; i++) {
        g_byte_array_append(packed, g_bytes_get_data(frame, NULL),
                            (guint)g_bytes_get_size(frame));
    }
    g_bytes_unref(frame);
    return packed;
}

/* Guards against a text that is not the one that was packed, and against one
 * that is taken for complete although its end is missing, that is larger than
 * the reader allows, or that comes from bytes of another kind. */
static void
test_texts(void)
{
    static const struct {
        const char *what;
        const char *text;
        size_t repeat;
        size_t cut;  /* bytes that are missing at the end */
        int changed; /* a byte in the middle is another one */
        size_t max_bytes;
        Result result;
    } cases[] = {
        {"short", "{\"a\":1}", 1, 0, 0, MAX_BYTES, RESULT_OK},
        {"empty", "", 1, 0, 0, MAX_BYTES, RESULT_OK},
        {"many frames", "routes and keys, ", 9999, 0, 0, MAX_BYTES, RESULT_OK},
        {"as large as allowed", "0123456789", 10, 0, 0, 100, RESULT_OK},
        {"larger than allowed", "0123456789", 10, 0, 0, 99, RESULT_TOO_LARGE},
        {"cut", "routes and keys", 3, 1, 0, MAX_BYTES, RESULT_MALFORMED},
        {"cut in the head", "routes and keys", 1, 20, 0, MAX_BYTES,
         RESULT_MALFORMED},
        {"not packed", "routes and keys", 1, 0, 1, MAX_BYTES,
         RESULT_MALFORMED},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GByteArray *packed = pack(cases[i].text, cases[i].repeat);
        MemoryBuffer text;

        g_test_message("%s", cases[i].what);
        MemoryBuffer_Init(&text, Memory_Control(), MEMORY_ANSWERS_READ, 1);
        if (cases[i].changed) {
            packed->data[0] ^= 1;
        }
        g_assert_cmpint(Pack_Decompress(packed->data,
                                        packed->len - cases[i].cut,
                                        cases[i].max_bytes, &text),
                        ==, cases[i].result);
        if (cases[i].result == RESULT_OK) {
            size_t bytes = strlen(cases[i].text);

            g_assert_cmpuint(text.length, ==, bytes * cases[i].repeat);
            for (size_t n = 0; n < cases[i].repeat; n++) {
                g_assert_cmpmem(text.bytes + n * bytes, bytes, cases[i].text,
                                bytes);
            }
        }
        MemoryBuffer_Clear(&text);
        g_byte_array_unref(packed);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pack/texts", test_texts);
    return g_test_run();
}
