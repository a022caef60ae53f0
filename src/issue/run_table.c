/* RunTable: states of run tokens and decisions on requests. */
#include <string.h>
#include <time.h>

#include "base/condition.h"
#include "base/counter.h"
#include "base/rng.h"
#include "issue/run_table_private.h"

#define DEFAULT_MAX_RUNS 65536u
#define DEFAULT_MAX_WAITERS 64u
#define DEFAULT_ANSWER_BYTES ((size_t)64 << 10)
#define DEFAULT_KEPT_BYTES ((size_t)64 << 20)
#define DEFAULT_VALIDITY_MS 600000
#define DEFAULT_KEEP_MS 60000

/* One record in this many is reserved for void tokens. So when runs have
 * filled the table, a fresh token can still be voided and reported as "not
 * run". */
#define RESERVE_DIVISOR 8

RunTable *
RunTable_Create(const RunTable_desc *desc)
{
    RunTable *table = g_new0(RunTable, 1);
    uint32_t buckets = 4;

    table->desc = *desc;
    if (table->desc.max_runs == 0) {
        table->desc.max_runs = DEFAULT_MAX_RUNS;
    }
    if (table->desc.max_waiters == 0) {
        table->desc.max_waiters = DEFAULT_MAX_WAITERS;
    }
    if (table->desc.max_answer_bytes == 0) {
        table->desc.max_answer_bytes = DEFAULT_ANSWER_BYTES;
    }
    if (table->desc.max_kept_bytes == 0) {
        table->desc.max_kept_bytes = DEFAULT_KEPT_BYTES;
    }
    if (table->desc.validity_ms == 0) {
        table->desc.validity_ms = DEFAULT_VALIDITY_MS;
    }
    if (table->desc.keep_ms == 0) {
        table->desc.keep_ms = DEFAULT_KEEP_MS;
    }
    pthread_mutex_init(&table->lock, NULL);
    Condition_Init(&table->changed);
    table->now = INT64_MIN;
    table->records = Pool_Create(sizeof(_RunRecord), table->desc.max_runs);
    while (buckets < table->desc.max_runs) {
        buckets *= 2;
    }
    table->buckets = g_new0(PoolHandle, buckets);
    table->bucket_mask = buckets - 1;
    return table;
}

void
RunTable_Destroy(RunTable *table)
{
    uint32_t slot = 0;
    PoolHandle handle;
    _RunRecord *record;

    while ((record = Pool_Next(table->records, &slot, &handle)) != NULL) {
        RunAnswer_Unref(record->answer);
    }
    Pool_Destroy(table->records);
    g_free(table->buckets);
    pthread_cond_destroy(&table->changed);
    pthread_mutex_destroy(&table->lock);
    g_free(table);
}

static PoolHandle *
bucket_of(RunTable *table, uint8_t source, uint64_t serial)
{
    return &table->buckets[Rng_Mix(serial, source) & table->bucket_mask];
}

_RunRecord *
_RunTable_Find(RunTable *table, uint8_t source, uint64_t serial)
{
    _RunRecord *record =
        Pool_Get(table->records, *bucket_of(table, source, serial));

    while (record != NULL &&
           (record->serial != serial || record->source != source)) {
        record = Pool_Get(table->records, record->next);
    }
    return record;
}

_RunRecord *
_RunTable_Add(RunTable *table, uint8_t source, uint64_t serial,
              gboolean may_use_reserve)
{
    uint32_t limit = table->desc.max_runs;
    PoolHandle *bucket = bucket_of(table, source, serial);
    void *memory;
    _RunRecord *record;
    PoolHandle handle;

    if (!may_use_reserve) {
        limit -= limit / RESERVE_DIVISOR;
    }
    if (Pool_Count(table->records) >= limit) {
        return NULL;
    }
    handle = Pool_Add(table->records, &memory);
    if (handle == POOL_NONE) {
        return NULL;
    }
    record = memory;
    *record = (_RunRecord){.serial = serial,
                           .source = source,
                           .handle = handle,
                           .next = *bucket,
                           .drop_at = CLOCK_NEVER};
    *bucket = handle;
    return record;
}

/* Returns the counter that includes the record. */
static uint32_t *
counter_of(RunTable *table, const _RunRecord *record)
{
    if (record->source != 0) {
        return &table->adopted;
    }
    switch ((_RunRecordState)record->state) {
    case RUN_RECORD_RUNNING:
        return &table->running;
    case RUN_RECORD_DONE:
        return &table->done;
    default:
        return &table->voided;
    }
}

void
_RunTable_Remove(RunTable *table, _RunRecord *record)
{
    PoolHandle *link = bucket_of(table, record->source, record->serial);

    while (*link != record->handle) {
        _RunRecord *other = Pool_Get(table->records, *link);

        link = &other->next;
    }
    *link = record->next;
    (*counter_of(table, record))--;
    table->kept_bytes -= record->kept_bytes;
    RunAnswer_Unref(record->answer);
    Pool_Remove(table->records, record->handle);
}

void
_RunTable_Keep(RunTable *table, _RunRecord *record, RunAnswer *answer)
{
    size_t bytes = _RunAnswer_Bytes(answer);

    table->kept_bytes -= record->kept_bytes;
    record->kept_bytes = 0;
    record->run = (uint8_t)RunAnswer_Get(answer)->run;
    if (bytes <= table->desc.max_answer_bytes) {
        record->answer = RunAnswer_Ref(answer);
        record->kept_bytes = bytes;
        table->kept_bytes += bytes;
    }
}

ClockMs
_RunTable_Advance(RunTable *table, ClockMs now)
{
    table->now = MAX(table->now, now);
    return table->now;
}

Result
RunTable_Mint(RunTable *table, uint64_t team, uint64_t route, uint32_t count,
              ClockMs now, RunToken *first)
{
    Result result = RESULT_OK;

    pthread_mutex_lock(&table->lock);
    now = _RunTable_Advance(table, now);
    if (table->is_draining) {
        result = RESULT_SHUTTING_DOWN;
    }
    else {
        *first = (RunToken){.owner = table->desc.owner,
                            .incarnation = table->desc.incarnation,
                            .serial = table->last_serial + 1,
                            .team = team,
                            .route = route,
                            .valid_until = now + table->desc.validity_ms};
        table->last_serial += count;
        Counter_Add(COUNTER_ISSUE_TOKENS, count);
    }
    pthread_mutex_unlock(&table->lock);
    return result;
}

static RunBegin
refuse(Result result, RunState run)
{
    return (RunBegin){.action = RUN_REFUSE, .result = result, .run = run};
}

/* Returns 1 + the index of the adopted incarnation that minted the token; 0 if
 * there is none. */
static uint8_t
find_predecessor(const RunTable *table, const RunToken *token)
{
    for (uint8_t i = 0; i < _RUN_MAX_PREDECESSORS; i++) {
        const _RunPredecessor *predecessor = &table->predecessors[i];

        if (predecessor->is_used && predecessor->is_complete &&
            predecessor->owner == token->owner &&
            predecessor->incarnation == token->incarnation) {
            return (uint8_t)(i + 1);
        }
    }
    return 0;
}

static gboolean
is_own(const RunTable *table, const RunToken *token)
{
    return token->owner == table->desc.owner &&
           token->incarnation == table->desc.incarnation;
}

static RunBegin
decide_by_record(const _RunRecord *record)
{
    switch ((_RunRecordState)record->state) {
    case RUN_RECORD_RUNNING:
        return (RunBegin){.action = RUN_WAIT,
                          .result = RESULT_STILL_RUNNING,
                          .run = RUN_UNKNOWN};
    case RUN_RECORD_DONE:
        if (record->answer == NULL) {
            return refuse(RESULT_ANSWER_NOT_KEPT, (RunState)record->run);
        }
        return (RunBegin){.action = RUN_ANSWER,
                          .result = RunAnswer_Get(record->answer)->result,
                          .run = (RunState)record->run,
                          .answer = RunAnswer_Ref(record->answer)};
    case RUN_RECORD_VOID:
        return refuse(RESULT_TOKEN_VOID, RUN_NO);
    default:
        return refuse(RESULT_OUTCOME_UNKNOWN, RUN_UNKNOWN);
    }
}

/* Decides on a token without a record. Returns FALSE if the token is fresh and
 * may still begin. */
static gboolean
decide_without_record(const RunTable *table, uint8_t source,
                      const RunToken *token, RunBegin *begin)
{
    const _RunPredecessor *predecessor =
        source > 0 ? &table->predecessors[source - 1] : NULL;
    uint64_t last_serial =
        predecessor ? predecessor->last_serial : table->last_serial;
    /* Records are kept at least until the end of the validity, so a token that
     * was valid at the hand-over and has no record never ran. */
    ClockMs now = predecessor ? predecessor->handed_at : table->now;

    if (token->serial == 0 || token->serial > last_serial ||
        (predecessor == NULL &&
         token->valid_until > now + table->desc.validity_ms)) {
        *begin = refuse(RESULT_TOKEN_INVALID, RUN_UNKNOWN);
        return TRUE;
    }
    if (token->valid_until <= now) {
        *begin = refuse(RESULT_TOKEN_EXPIRED, RUN_UNKNOWN);
        return TRUE;
    }
    if (predecessor != NULL) {
        *begin = refuse(RESULT_TOKEN_VOID, RUN_NO);
        return TRUE;
    }
    if (table->is_draining) {
        *begin = refuse(RESULT_SHUTTING_DOWN, RUN_NO);
        return TRUE;
    }
    return FALSE;
}

/* Decides on a token; FALSE if the token is fresh and may still begin. */
static gboolean
decide(RunTable *table, const RunToken *token, uint64_t team, uint64_t route,
       RunBegin *begin)
{
    uint8_t source = is_own(table, token) ? 0 : find_predecessor(table, token);
    const _RunRecord *record;

    if (source == 0 && !is_own(table, token)) {
        *begin = refuse(RESULT_OUTCOME_UNKNOWN, RUN_UNKNOWN);
        return TRUE;
    }
    if (token->team != team || token->route != route) {
        *begin = refuse(RESULT_TOKEN_OTHER_TEAM, RUN_NO);
        return TRUE;
    }
    record = _RunTable_Find(table, source, token->serial);
    if (record != NULL) {
        *begin = decide_by_record(record);
        return TRUE;
    }
    return decide_without_record(table, source, token, begin);
}

static RunBegin
begin_run(RunTable *table, const RunToken *token)
{
    size_t reserved = table->desc.max_answer_bytes;
    _RunRecord *record;

    if (table->kept_bytes + reserved > table->desc.max_kept_bytes) {
        return refuse(RESULT_FULL, RUN_NO);
    }
    record = _RunTable_Add(table, 0, token->serial, FALSE);
    if (record == NULL) {
        return refuse(RESULT_FULL, RUN_NO);
    }
    record->valid_until = token->valid_until;
    record->state = RUN_RECORD_RUNNING;
    record->kept_bytes = reserved;
    table->kept_bytes += reserved;
    table->running++;
    Counter_Add(COUNTER_ISSUE_RUNS, 1);
    return (RunBegin){.action = RUN_EXECUTE,
                      .result = RESULT_OK,
                      .run = RUN_UNKNOWN,
                      .handle = record->handle};
}

RunBegin
RunTable_Begin(RunTable *table, const RunToken *token, uint64_t team,
               uint64_t route, ClockMs now)
{
    RunBegin begin = {.action = RUN_REFUSE};

    pthread_mutex_lock(&table->lock);
    _RunTable_Advance(table, now);
    if (!decide(table, token, team, route, &begin)) {
        begin = begin_run(table, token);
    }
    pthread_mutex_unlock(&table->lock);
    if (begin.action == RUN_ANSWER) {
        Counter_Add(COUNTER_ISSUE_REPEATS, 1);
    }
    return begin;
}

/* Waits for a change, at most until the deadline by Clock_Now(). */
static void
wait_for_change(RunTable *table, ClockMs deadline)
{
    ClockMs remaining = deadline - Clock_Now();

    /* A condition variable cannot use CLOCK_BOOTTIME, which counts the time of
     * a suspended host. Waking up at least every second limits the overshoot
     * after a suspension to one second. */
    (void)Condition_Wait(&table->changed, &table->lock,
                         CLAMP(remaining, 0, 1000));
}

RunBegin
RunTable_Await(RunTable *table, const RunToken *token, uint64_t team,
               uint64_t route, ClockMs deadline)
{
    RunBegin begin = {.action = RUN_REFUSE};
    gboolean may_wait;

    pthread_mutex_lock(&table->lock);
    may_wait = table->waiters < table->desc.max_waiters;
    table->waiters += may_wait ? 1 : 0;
    for (;;) {
        ClockMs now = Clock_Now();

        if (!decide(table, token, team, route, &begin)) {
            begin = refuse(RESULT_OUTCOME_UNKNOWN, RUN_UNKNOWN);
        }
        if (begin.action != RUN_WAIT || !may_wait || now >= deadline) {
            break;
        }
        wait_for_change(table, deadline);
    }
    table->waiters -= may_wait ? 1 : 0;
    pthread_mutex_unlock(&table->lock);
    if (begin.action == RUN_ANSWER) {
        Counter_Add(COUNTER_ISSUE_REPEATS, 1);
    }
    return begin;
}

/* Ends the run with this handle; returns NULL if there is no such run. */
static _RunRecord *
end_run(RunTable *table, PoolHandle handle, _RunRecordState state, ClockMs now)
{
    _RunRecord *record = Pool_Get(table->records, handle);

    if (record == NULL || record->source != 0 ||
        record->state != RUN_RECORD_RUNNING) {
        return NULL;
    }
    now = _RunTable_Advance(table, now);
    (*counter_of(table, record))--;
    record->state = (uint8_t)state;
    (*counter_of(table, record))++;
    record->drop_at = MAX(record->valid_until, now + table->desc.keep_ms);
    pthread_cond_broadcast(&table->changed);
    return record;
}

Result
RunTable_Finish(RunTable *table, PoolHandle handle, RunAnswer *answer,
                ClockMs now)
{
    _RunRecord *record;

    pthread_mutex_lock(&table->lock);
    record = end_run(table, handle, RUN_RECORD_DONE, now);
    if (record != NULL) {
        _RunTable_Keep(table, record, answer);
    }
    pthread_mutex_unlock(&table->lock);
    return record != NULL ? RESULT_OK : RESULT_NOT_FOUND;
}

Result
RunTable_Abort(RunTable *table, PoolHandle handle, ClockMs now)
{
    _RunRecord *record;

    pthread_mutex_lock(&table->lock);
    record = end_run(table, handle, RUN_RECORD_VOID, now);
    if (record != NULL) {
        table->kept_bytes -= record->kept_bytes;
        record->kept_bytes = 0;
        Counter_Add(COUNTER_ISSUE_VOIDED, 1);
    }
    pthread_mutex_unlock(&table->lock);
    return record != NULL ? RESULT_OK : RESULT_NOT_FOUND;
}

static RunTokenState
void_fresh(RunTable *table, const RunToken *token)
{
    _RunRecord *record = _RunTable_Add(table, 0, token->serial, TRUE);

    if (record == NULL) {
        return RUN_TOKEN_FRESH;
    }
    record->valid_until = token->valid_until;
    record->state = RUN_RECORD_VOID;
    record->run = RUN_NO;
    record->drop_at =
        MAX(token->valid_until, table->now + table->desc.keep_ms);
    table->voided++;
    Counter_Add(COUNTER_ISSUE_VOIDED, 1);
    return RUN_TOKEN_VOID;
}

/* Returns the token state for a RunState. The answer of a done run can have
 * been lost (RUN_UNKNOWN), or state that the request did not run (RUN_NO). */
static RunTokenState
state_of_done(RunState run)
{
    switch (run) {
    case RUN_YES:
        return RUN_TOKEN_DONE;
    case RUN_NO:
        return RUN_TOKEN_VOID;
    default:
        return RUN_TOKEN_UNKNOWN;
    }
}

RunTokenState
RunTable_Void(RunTable *table, const RunToken *token, ClockMs now)
{
    RunTokenState state = RUN_TOKEN_UNKNOWN;
    RunBegin begin = {.action = RUN_REFUSE};

    pthread_mutex_lock(&table->lock);
    _RunTable_Advance(table, now);
    if (!decide(table, token, token->team, token->route, &begin)) {
        state = void_fresh(table, token);
    }
    else if (begin.action == RUN_WAIT) {
        state = RUN_TOKEN_RUNNING;
    }
    else {
        state = state_of_done(begin.run);
    }
    if (begin.action == RUN_ANSWER) {
        RunAnswer_Unref(begin.answer);
    }
    pthread_mutex_unlock(&table->lock);
    return state;
}

void
_RunTable_DropPredecessor(RunTable *table, uint8_t source)
{
    uint32_t slot = 0;
    PoolHandle handle;
    _RunRecord *record;

    while ((record = Pool_Next(table->records, &slot, &handle)) != NULL) {
        if (record->source == source) {
            _RunTable_Remove(table, record);
        }
    }
    table->predecessors[source - 1] = (_RunPredecessor){0};
}

uint32_t
RunTable_Expire(RunTable *table, ClockMs now)
{
    uint32_t slot = 0;
    uint32_t before;
    uint32_t after;
    PoolHandle handle;
    _RunRecord *record;

    pthread_mutex_lock(&table->lock);
    now = _RunTable_Advance(table, now);
    before = Pool_Count(table->records);
    while ((record = Pool_Next(table->records, &slot, &handle)) != NULL) {
        if (record->drop_at <= now) {
            _RunTable_Remove(table, record);
        }
    }
    for (uint8_t i = 0; i < _RUN_MAX_PREDECESSORS; i++) {
        if (table->predecessors[i].is_used &&
            table->predecessors[i].ends_at <= now) {
            _RunTable_DropPredecessor(table, (uint8_t)(i + 1));
        }
    }
    after = Pool_Count(table->records);
    pthread_mutex_unlock(&table->lock);
    return before - after;
}

void
RunTable_Drain(RunTable *table)
{
    pthread_mutex_lock(&table->lock);
    table->is_draining = TRUE;
    pthread_mutex_unlock(&table->lock);
}

gboolean
RunTable_AwaitIdle(RunTable *table, ClockMs deadline)
{
    gboolean is_idle;

    pthread_mutex_lock(&table->lock);
    while (table->running > 0 && Clock_Now() < deadline) {
        wait_for_change(table, deadline);
    }
    is_idle = table->running == 0;
    pthread_mutex_unlock(&table->lock);
    return is_idle;
}

void
RunTable_GetStats(RunTable *table, RunTableStats *stats)
{
    pthread_mutex_lock(&table->lock);
    *stats = (RunTableStats){.running = table->running,
                             .done = table->done,
                             .voided = table->voided,
                             .adopted = table->adopted,
                             .capacity = table->desc.max_runs,
                             .kept_bytes = table->kept_bytes,
                             .last_serial = table->last_serial};
    for (uint8_t i = 0; i < _RUN_MAX_PREDECESSORS; i++) {
        stats->predecessors += table->predecessors[i].is_used ? 1 : 0;
    }
    pthread_mutex_unlock(&table->lock);
}
