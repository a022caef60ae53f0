#include "pack/pack.h"

#include <zstd.h>

#define LEVEL 1

/* Bytes that are decompressed at a time. */
#define STEP_BYTES (64 * 1024)

GBytes *
Pack_Compress(const void *text, size_t bytes)
{
    size_t bound = ZSTD_compressBound(bytes);
    char *packed = g_malloc(bound);
    size_t length = ZSTD_compress(packed, bound, text, bytes, LEVEL);

    /* Fails only if memory is exhausted, where GLib ends the process, too. */
    g_assert(!ZSTD_isError(length));
    return g_bytes_new_take(g_realloc(packed, length), length);
}

static Result
decompress_all(ZSTD_DStream *stream, ZSTD_inBuffer *input, size_t max_bytes,
               char *step, MemoryBuffer *text)
{
    size_t left = 1; /* 0: at the end of a frame */
    ZSTD_outBuffer output;

    do {
        output = (ZSTD_outBuffer){.dst = step, .size = STEP_BYTES};
        left = ZSTD_decompressStream(stream, &output, input);
        if (ZSTD_isError(left)) {
            return RESULT_MALFORMED;
        }
        if (output.pos > max_bytes - text->length) {
            return RESULT_TOO_LARGE;
        }
        if (output.pos > 0 &&
            !MemoryBuffer_Append(text, step, output.pos, max_bytes)) {
            return RESULT_OVERLOADED;
        }
    } while (input->pos < input->size || output.pos == output.size);
    return left == 0 ? RESULT_OK : RESULT_MALFORMED;
}

Result
Pack_Decompress(const void *packed, size_t bytes, size_t max_bytes,
                MemoryBuffer *text)
{
    ZSTD_inBuffer input = {.src = packed, .size = bytes};
    ZSTD_DStream *stream = ZSTD_createDStream();
    char *step = g_malloc(STEP_BYTES);
    Result result = stream != NULL && text->length <= max_bytes
                        ? decompress_all(stream, &input, max_bytes, step, text)
                        : RESULT_OVERLOADED;

    ZSTD_freeDStream(stream);
    g_free(step);
    return result;
}
