/* RunTable: hand-over to a successor and adoption there. */
#include <string.h>

#include "base/log.h"
#include "issue/issue_wire.h"
#include "issue/run_table_private.h"

#define CHUNK_FORMAT 1u
/* XDR bytes of a record without its answer, rounded up. */
#define RECORD_BYTES 32
#define DEFAULT_CHUNK_BYTES ((size_t)256 << 10)

/* The clocks of two hosts drift apart by less than 1/100. */
#define CLOCK_DRIFT_DIVISOR 100

static void
fill_answer(const RunAnswer *answer, RunWireAnswer *wire)
{
    const RunAnswer_desc *view = RunAnswer_Get(answer);

    *wire = (RunWireAnswer){.status = view->status,
                            .result = (int)view->result,
                            .run = (int)view->run};
    wire->headers.headers_len = (u_int)view->header_count;
    wire->headers.headers_val = g_new(RunWireHeader, view->header_count);
    for (size_t i = 0; i < view->header_count; i++) {
        wire->headers.headers_val[i] =
            (RunWireHeader){.name = (char *)view->headers[i].name,
                            .value = (char *)view->headers[i].value};
    }
    wire->body.body_len = (u_int)view->body_bytes;
    wire->body.body_val = (char *)view->body;
}

/* Fills in what the successor gets: a run that has not ended becomes LOST. */
static void
fill_record(const _RunRecord *record, RunWireRecord *wire)
{
    *wire = (RunWireRecord){.serial = record->serial,
                            .state = record->state == RUN_RECORD_RUNNING
                                         ? RUN_RECORD_LOST
                                         : record->state,
                            .run = record->run};
    if (record->answer != NULL) {
        wire->answer = g_new0(RunWireAnswer, 1);
        fill_answer(record->answer, wire->answer);
    }
}

static void
add_chunk(GPtrArray *chunks, RunWireChunk *chunk, GArray *records)
{
    size_t bytes;
    void *buffer;
    XDR xdr;

    chunk->records.records_len = records->len;
    chunk->records.records_val = (RunWireRecord *)(void *)records->data;
    bytes = xdr_sizeof((xdrproc_t)xdr_RunWireChunk, chunk);
    buffer = g_malloc(bytes);
    xdrmem_create(&xdr, buffer, (u_int)bytes, XDR_ENCODE);
    if (!xdr_RunWireChunk(&xdr, chunk)) {
        g_error("a chunk of the run table cannot be encoded");
    }
    xdr_destroy(&xdr);
    g_ptr_array_add(chunks, g_bytes_new_take(buffer, bytes));
    for (guint i = 0; i < records->len; i++) {
        RunWireAnswer *answer =
            g_array_index(records, RunWireRecord, i).answer;

        if (answer != NULL) {
            g_free(answer->headers.headers_val);
            g_free(answer);
        }
    }
    g_array_set_size(records, 0);
    chunk->number++;
}

/* Appends the chunks of this incarnation's tokens (source 0) or of one adopted
 * incarnation. */
static void
hand_over_source(RunTable *table, uint8_t source, size_t chunk_bytes,
                 RunWireChunk *chunk, GPtrArray *chunks)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(RunWireRecord));
    size_t bytes = 0;
    uint32_t slot = 0;
    PoolHandle handle;
    _RunRecord *record;

    chunk->format = CHUNK_FORMAT;
    while ((record = Pool_Next(table->records, &slot, &handle)) != NULL) {
        size_t size = RECORD_BYTES;
        RunWireRecord wire;

        if (record->source != source) {
            continue;
        }
        if (record->answer != NULL) {
            size += _RunAnswer_Bytes(record->answer);
        }
        if (records->len > 0 && (bytes + size > chunk_bytes ||
                                 records->len == RUN_WIRE_MAX_RECORDS)) {
            add_chunk(chunks, chunk, records);
            bytes = 0;
        }
        fill_record(record, &wire);
        g_array_append_val(records, wire);
        bytes += size;
    }
    chunk->is_last = TRUE;
    add_chunk(chunks, chunk, records);
    g_array_free(records, TRUE);
}

static void
free_bytes(gpointer bytes)
{
    g_bytes_unref(bytes);
}

GPtrArray *
RunTable_HandOver(RunTable *table, size_t chunk_bytes, ClockMs now)
{
    GPtrArray *chunks = g_ptr_array_new_with_free_func(free_bytes);
    RunWireChunk own = {0};
    uint32_t running;

    if (chunk_bytes == 0) {
        chunk_bytes = DEFAULT_CHUNK_BYTES;
    }
    pthread_mutex_lock(&table->lock);
    table->is_draining = TRUE;
    own.owner = table->desc.owner;
    own.incarnation = table->desc.incarnation;
    own.last_serial = table->last_serial;
    own.handed_at = _RunTable_Advance(table, now);
    own.validity_ms = table->desc.validity_ms;
    running = table->running;
    hand_over_source(table, 0, chunk_bytes, &own, chunks);
    for (uint8_t i = 0; i < _RUN_MAX_PREDECESSORS; i++) {
        const _RunPredecessor *predecessor = &table->predecessors[i];

        if (predecessor->is_complete && predecessor->ends_at > table->now) {
            RunWireChunk chunk = {.owner = predecessor->owner,
                                  .incarnation = predecessor->incarnation,
                                  .last_serial = predecessor->last_serial,
                                  .handed_at = predecessor->handed_at,
                                  .validity_ms =
                                      predecessor->ends_at - table->now};

            hand_over_source(table, (uint8_t)(i + 1), chunk_bytes, &chunk,
                             chunks);
        }
    }
    pthread_mutex_unlock(&table->lock);
    Log_Event(LOG_RUNS_HANDED_OVER, "chunks=%u running=%u", chunks->len,
              running);
    return chunks;
}

static RunAnswer *
create_answer(const RunWireAnswer *wire)
{
    RunHeader *headers = g_new(RunHeader, wire->headers.headers_len);
    RunAnswer *answer;

    for (u_int i = 0; i < wire->headers.headers_len; i++) {
        headers[i].name = wire->headers.headers_val[i].name;
        headers[i].value = wire->headers.headers_val[i].value;
    }
    answer = RunAnswer_Create(
        &(RunAnswer_desc){.status = wire->status,
                          .result = (Result)wire->result,
                          .run = (RunState)wire->run,
                          .headers = headers,
                          .header_count = wire->headers.headers_len,
                          .body = wire->body.body_val,
                          .body_bytes = wire->body.body_len});
    g_free(headers);
    return answer;
}

static gboolean
is_run_state(int run)
{
    return run == RUN_NO || run == RUN_YES || run == RUN_UNKNOWN;
}

static gboolean
is_valid_chunk(const RunTable *table, const RunWireChunk *chunk)
{
    /* The records of this incarnation are authoritative for its own tokens. */
    if (chunk->format != CHUNK_FORMAT || chunk->validity_ms <= 0 ||
        chunk->validity_ms > CLOCK_NEVER / 4 ||
        (chunk->owner == table->desc.owner &&
         chunk->incarnation == table->desc.incarnation)) {
        return FALSE;
    }
    for (u_int i = 0; i < chunk->records.records_len; i++) {
        const RunWireRecord *record = &chunk->records.records_val[i];

        if (record->serial == 0 || record->serial > chunk->last_serial ||
            (record->state != RUN_RECORD_DONE &&
             record->state != RUN_RECORD_VOID &&
             record->state != RUN_RECORD_LOST) ||
            !is_run_state(record->run) ||
            (record->answer != NULL && (record->state != RUN_RECORD_DONE ||
                                        record->answer->run != record->run))) {
            return FALSE;
        }
    }
    return TRUE;
}

static Result
adopt_record(RunTable *table, uint8_t source, ClockMs drop_at,
             const RunWireRecord *wire)
{
    _RunRecord *record;

    if (_RunTable_Find(table, source, wire->serial) != NULL) {
        return RESULT_MALFORMED;
    }
    record = _RunTable_Add(table, source, wire->serial, FALSE);
    if (record == NULL) {
        return RESULT_FULL;
    }
    table->adopted++;
    record->state = (uint8_t)wire->state;
    record->run = (uint8_t)wire->run;
    record->drop_at = drop_at;
    if (wire->answer != NULL) {
        RunAnswer *answer = create_answer(wire->answer);

        _RunTable_Keep(table, record, answer);
        RunAnswer_Unref(answer);
    }
    return table->kept_bytes <= table->desc.max_kept_bytes ? RESULT_OK
                                                           : RESULT_FULL;
}

/* Finds the source number of the chunk's incarnation. At the first chunk,
 * returns a free source number if the incarnation has none. */
static Result
find_source(RunTable *table, const RunWireChunk *chunk, uint8_t *source)
{
    uint8_t free_source = 0;

    for (uint8_t i = 0; i < _RUN_MAX_PREDECESSORS; i++) {
        const _RunPredecessor *predecessor = &table->predecessors[i];

        if (!predecessor->is_used) {
            free_source = free_source == 0 ? (uint8_t)(i + 1) : free_source;
        }
        else if (predecessor->owner == chunk->owner &&
                 predecessor->incarnation == chunk->incarnation) {
            *source = (uint8_t)(i + 1);
            return RESULT_OK;
        }
    }
    *source = free_source;
    if (chunk->number != 0) {
        return RESULT_NOT_FOUND;
    }
    return free_source != 0 ? RESULT_OK : RESULT_FULL;
}

static Result
adopt_chunk(RunTable *table, const RunWireChunk *chunk, ClockMs now)
{
    uint8_t source;
    Result result = find_source(table, chunk, &source);
    _RunPredecessor *predecessor;

    if (result != RESULT_OK) {
        return result;
    }
    predecessor = &table->predecessors[source - 1];
    /* A hand-over that the previous owner started again replaces the earlier
     * one, in which more runs had not ended. */
    if (predecessor->is_used && chunk->number == 0 &&
        chunk->handed_at > predecessor->handed_at) {
        _RunTable_DropPredecessor(table, source);
    }
    if (!predecessor->is_used) {
        ClockMs max_validity =
            chunk->validity_ms + chunk->validity_ms / CLOCK_DRIFT_DIVISOR;

        *predecessor = (_RunPredecessor){.is_used = TRUE,
                                         .owner = chunk->owner,
                                         .incarnation = chunk->incarnation,
                                         .last_serial = chunk->last_serial,
                                         .handed_at = chunk->handed_at,
                                         .ends_at = now + max_validity + 1};
    }
    if (chunk->handed_at != predecessor->handed_at ||
        chunk->number > predecessor->next_chunk) {
        return RESULT_NOT_FOUND;
    }
    if (chunk->number < predecessor->next_chunk) {
        return RESULT_OK;
    }
    for (u_int i = 0; result == RESULT_OK && i < chunk->records.records_len;
         i++) {
        result = adopt_record(table, source, predecessor->ends_at,
                              &chunk->records.records_val[i]);
    }
    if (result != RESULT_OK) {
        /* With only some of the records, tokens that ran would be reported as
         * void. */
        _RunTable_DropPredecessor(table, source);
        return result;
    }
    predecessor->next_chunk++;
    predecessor->is_complete = chunk->is_last;
    return RESULT_OK;
}

Result
RunTable_Adopt(RunTable *table, const void *chunk, size_t bytes, ClockMs now)
{
    RunWireChunk wire = {0};
    Result result = RESULT_MALFORMED;
    XDR xdr;

    if (bytes > UINT32_MAX) {
        return RESULT_TOO_LARGE;
    }
    xdrmem_create(&xdr, (char *)chunk, (u_int)bytes, XDR_DECODE);
    if (xdr_RunWireChunk(&xdr, &wire) && xdr_getpos(&xdr) == bytes) {
        pthread_mutex_lock(&table->lock);
        now = _RunTable_Advance(table, now);
        if (table->is_draining) {
            result = RESULT_SHUTTING_DOWN;
        }
        else if (is_valid_chunk(table, &wire)) {
            result = adopt_chunk(table, &wire, now);
        }
        pthread_mutex_unlock(&table->lock);
    }
    if (result == RESULT_OK && wire.is_last) {
        Log_Event(LOG_RUNS_TAKEN_OVER,
                  "owner=%016" G_GINT64_MODIFIER
                  "x incarnation=%" G_GUINT64_FORMAT,
                  (uint64_t)wire.owner, (uint64_t)wire.incarnation);
    }
    xdr_destroy(&xdr);
    xdr_free((xdrproc_t)xdr_RunWireChunk, &wire);
    return result;
}
