/* Pack: compression of texts with zstd (RFC 8878).
 *
 * Use:
 *  1. Pack_Compress() makes one frame of a text. Frames can be joined: the
 *     texts of joined frames are joined, too.
 *  2. Pack_Decompress() appends the text of one or more frames to a buffer,
 *     whose account of memory lends what it grows.
 *
 * Errors: Pack_Decompress() returns RESULT_MALFORMED for bytes that are not
 * complete frames, RESULT_TOO_LARGE above the maximum, RESULT_OVERLOADED if
 * the account does not lend enough. The buffer may then hold a part.
 *
 * Limits: thread safe; a frame is compressed at the fastest level, whose
 * working memory is about 0.5 MB for the duration of the call.
 */
#ifndef PACK_PACK_H
#define PACK_PACK_H

#include <glib.h>

#include "base/result.h"
#include "memory/memory_buffer.h"

/* Value of the headers Accept-Encoding and Content-Encoding. */
#define PACK_ENCODING "zstd"

GBytes *Pack_Compress(const void *text, size_t bytes);
Result Pack_Decompress(const void *packed, size_t bytes, size_t max_bytes,
                       MemoryBuffer *text);

#endif
