#include "memory/memory_buffer.h"

#include <string.h>

#define STEP_BYTES 4096

void
MemoryBuffer_Init(MemoryBuffer *buffer, Memory *memory, MemoryHolder holder,
                  uint64_t sender)
{
    memset(buffer, 0, sizeof(*buffer));
    buffer->lease = MemoryLease_Begin(memory, holder, sender);
}

static gboolean
resize(MemoryBuffer *buffer, size_t capacity)
{
    size_t old = buffer->capacity;

    if (!MemoryLease_Take(&buffer->lease, capacity)) {
        return FALSE;
    }
    buffer->bytes = g_realloc(buffer->bytes, capacity);
    buffer->capacity = capacity;
    MemoryLease_Return(&buffer->lease, old);
    return TRUE;
}

gboolean
MemoryBuffer_Reserve(MemoryBuffer *buffer, size_t length)
{
    if (length == 0 || length < buffer->capacity) {
        return TRUE;
    }
    if (length == G_MAXSIZE || !resize(buffer, length + 1)) {
        return FALSE;
    }
    buffer->bytes[buffer->length] = '\0';
    return TRUE;
}

/* Returns the capacity of the next step that holds so many bytes. */
static size_t
next_capacity(const MemoryBuffer *buffer, size_t length, size_t max_length)
{
    static const size_t first[] = {STEP_BYTES, 4 * STEP_BYTES,
                                   MEMORY_SMALL_BODY_BYTES + STEP_BYTES};
    size_t capacity = buffer->capacity + buffer->capacity / 2;

    for (size_t i = 0; i < G_N_ELEMENTS(first); i++) {
        if (buffer->capacity < first[i] && length < first[i]) {
            capacity = first[i];
            break;
        }
    }
    capacity = (capacity + STEP_BYTES - 1) / STEP_BYTES * STEP_BYTES;
    capacity = MIN(capacity, MAX(max_length, length) + 1);
    return MAX(capacity, length + 1);
}

gboolean
MemoryBuffer_Append(MemoryBuffer *buffer, const char *bytes, size_t count,
                    size_t max_length)
{
    size_t length = buffer->length + count;

    if (count == 0) {
        return TRUE;
    }
    if (length >= buffer->capacity &&
        !resize(buffer, next_capacity(buffer, length, max_length))) {
        return FALSE;
    }
    memcpy(buffer->bytes + buffer->length, bytes, count);
    buffer->length = length;
    buffer->bytes[length] = '\0';
    return TRUE;
}

char *
MemoryBuffer_Steal(MemoryBuffer *buffer, MemoryLease *lease)
{
    size_t spare = buffer->capacity - buffer->length;
    char *bytes = buffer->bytes;

    if (spare > STEP_BYTES) {
        bytes = g_realloc(bytes, buffer->length + 1);
        MemoryLease_Return(&buffer->lease, spare - 1);
    }
    *lease = buffer->lease;
    memset(buffer, 0, sizeof(*buffer));
    return bytes;
}

void
MemoryBuffer_Clear(MemoryBuffer *buffer)
{
    g_free(buffer->bytes);
    MemoryLease_Return(&buffer->lease, buffer->lease.bytes);
    buffer->bytes = NULL;
    buffer->length = 0;
    buffer->capacity = 0;
}
