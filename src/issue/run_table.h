/* RunTable: the owner's records of which issuances ran.
 *
 * Use at the owner:
 *  1. RunTable_Create() with the host id and the incarnation.
 *  2. RunTable_Mint() for each requested token (RPC kind 20).
 *  3. RunTable_Begin() when an issuance arrives with a verified token. Only
 *     for RUN_EXECUTE, send the request to the backend server, and end the run
 *     with exactly one of
 *       RunTable_Finish()  an answer, or RUN_UNKNOWN if it was lost;
 *       RunTable_Abort()   known not run; the token becomes void.
 *  4. RunTable_Await() for a duplicate request with a running token
 *     (RUN_WAIT).
 *  5. RunTable_Void() for an entry that received no answer (RPC kind 21).
 *  6. On a graceful stop: RunTable_Drain(), RunTable_AwaitIdle(),
 *     RunTable_HandOver(), and RunTable_Adopt() at the successor for each
 *     chunk.
 *
 * A token is fresh (no record), running, done or void. The record of a running
 * token is never dropped. A done or void record is kept until the token's
 * validity ends, and for at least keep_ms after the run ended or the token was
 * voided.
 *
 * Run states in refusals: RUN_NO from this module is final, because the token
 * cannot run afterwards. In two cases RUN_NO applies to the refused request
 * only: with RESULT_FULL the token stays fresh, and with
 * RESULT_TOKEN_OTHER_TEAM its state is unchanged for its own team and route.
 *
 * Limits: the numbers of records and of kept bytes are fixed. While either is
 * exhausted, new runs get RESULT_FULL (run no). An eighth of the records is
 * reserved for void tokens. An answer of up to max_answer_bytes is always
 * kept, because RunTable_Begin() reserves the space. A larger answer is
 * dropped and only its run state is kept; duplicates get
 * RESULT_ANSWER_NOT_KEPT with run yes.
 *
 * Thread safe. The caller passes in the time (CLOCK_BOOTTIME). Only the two
 * Await functions block and read the clock.
 */
#ifndef ISSUE_RUN_TABLE_H
#define ISSUE_RUN_TABLE_H

#include <glib.h>

#include "base/clock.h"
#include "base/pool.h"
#include "base/result.h"
#include "issue/run_token.h"

typedef struct RunTable RunTable;

typedef struct RunTable_desc {
    uint64_t owner;
    uint64_t incarnation;
    uint32_t max_runs;       /* number of records; 0 means 65,536 */
    uint32_t max_waiters;    /* threads in RunTable_Await(); 0 means 64 */
    size_t max_answer_bytes; /* headers and body of one answer; 0 means
                                64 KiB */
    size_t max_kept_bytes;   /* size of all kept answers; 0 means 64 MiB */
    ClockMs validity_ms;     /* validity of a token; 0 means 600,000 */
    ClockMs keep_ms;         /* minimum retention of a done or void record;
                                0 means 60,000 */
} RunTable_desc;

typedef struct RunHeader {
    const char *name;
    const char *value;
} RunHeader;

/* Answer to the caller of an issuance; immutable and reference counted. */
typedef struct RunAnswer RunAnswer;

typedef struct RunAnswer_desc {
    int status;    /* HTTP status */
    Result result; /* RESULT_OK for an answer of the backend server */
    RunState run;
    const RunHeader *headers; /* headers to keep; copied */
    size_t header_count;
    const void *body; /* copied */
    size_t body_bytes;
} RunAnswer_desc;

RunAnswer *RunAnswer_Create(const RunAnswer_desc *desc);
RunAnswer *RunAnswer_Ref(RunAnswer *answer);
void RunAnswer_Unref(RunAnswer *answer);

/* Returns a view of the answer, valid as long as the caller's reference. */
const RunAnswer_desc *RunAnswer_Get(const RunAnswer *answer);

typedef enum RunAction {
    RUN_EXECUTE, /* run the request; `handle` identifies the run */
    RUN_ANSWER,  /* send `answer`, which the caller unrefs */
    RUN_WAIT,    /* running: call RunTable_Await() or refuse with `result` */
    RUN_REFUSE   /* refuse with `result` and `run` */
} RunAction;

typedef struct RunBegin {
    RunAction action;
    Result result;
    RunState run;
    PoolHandle handle;
    RunAnswer *answer;
} RunBegin;

/* State of a token in the answer to RPC kind 21. */
typedef enum RunTokenState {
    RUN_TOKEN_FRESH,   /* not started, and no room to void the token */
    RUN_TOKEN_RUNNING, /* outcome not known yet */
    RUN_TOKEN_DONE,    /* ran; a duplicate of the request gets the answer */
    RUN_TOKEN_VOID,    /* has not run and will not run */
    RUN_TOKEN_UNKNOWN  /* outcome lost, token expired, of another
                          incarnation, or invalid */
} RunTokenState;

RunTable *RunTable_Create(const RunTable_desc *desc);

/* Must not be called while another thread uses the table. */
void RunTable_Destroy(RunTable *table);

/* Mints `count` tokens with successive serials and stores the first in *first.
 * Uses no record. Returns RESULT_SHUTTING_DOWN while draining. */
Result RunTable_Mint(RunTable *table, uint64_t team, uint64_t route,
                     uint32_t count, ClockMs now, RunToken *first);

/* Decides what to do with a request that presents a token, which the caller
 * has verified with RunToken_Verify(). `team` and `route` are those of the
 * request. */
RunBegin RunTable_Begin(RunTable *table, const RunToken *token, uint64_t team,
                        uint64_t route, ClockMs now);

/* Waits until the token is no longer running, at most until the deadline (by
 * Clock_Now()), and then decides as RunTable_Begin() does for a token that is
 * not fresh; the action is never RUN_EXECUTE. Returns RUN_WAIT
 * (RESULT_STILL_RUNNING, run unknown) if the token is still running at the
 * deadline, or at once if max_waiters threads are waiting already. */
RunBegin RunTable_Await(RunTable *table, const RunToken *token, uint64_t team,
                        uint64_t route, ClockMs deadline);

/* Ends a run with its answer. The caller keeps its own reference. Returns
 * RESULT_NOT_FOUND if the run has already ended. */
Result RunTable_Finish(RunTable *table, PoolHandle handle, RunAnswer *answer,
                       ClockMs now);

/* Ends a run whose request is known not to have run on any backend server. The
 * token becomes void, because a duplicate that arrives later must not run
 * after "not run" was reported. */
Result RunTable_Abort(RunTable *table, PoolHandle handle, ClockMs now);

/* Voids the token if it is fresh, and returns its state. */
RunTokenState RunTable_Void(RunTable *table, const RunToken *token,
                            ClockMs now);

/* Drops the expired records and returns their number. To be called about every
 * second. */
uint32_t RunTable_Expire(RunTable *table, ClockMs now);

/* Starts no more runs: from now on, requests with fresh tokens get
 * RESULT_SHUTTING_DOWN (run no). */
void RunTable_Drain(RunTable *table);

/* Waits until no token is running; FALSE if the deadline passes first. */
gboolean RunTable_AwaitIdle(RunTable *table, ClockMs deadline);

/* Returns the table as chunks (GBytes) of about chunk_bytes each, which one
 * successor must pass to RunTable_Adopt() in this order. Drains the table if
 * RunTable_Drain() was not called. Runs that have not ended are handed over
 * with an unknown outcome. */
GPtrArray *RunTable_HandOver(RunTable *table, size_t chunk_bytes, ClockMs now);

/* Adopts one chunk. A duplicate chunk is accepted and ignored. Once all chunks
 * have arrived, the successor answers requests with tokens of the previous
 * incarnation, until the validity of all these tokens has ended. Then it drops
 * their records.
 *
 * Errors: RESULT_MALFORMED; RESULT_FULL (all records of this incarnation have
 * been dropped); RESULT_SHUTTING_DOWN (choose another successor);
 * RESULT_NOT_FOUND (an earlier chunk is missing: start again with the first);
 * RESULT_TOO_LARGE. */
Result RunTable_Adopt(RunTable *table, const void *chunk, size_t bytes,
                      ClockMs now);

typedef struct RunTableStats {
    uint32_t running;
    uint32_t done;
    uint32_t voided;
    uint32_t adopted;      /* records of adopted incarnations */
    uint32_t predecessors; /* number of adopted incarnations */
    uint32_t capacity;     /* max_runs */
    uint64_t kept_bytes;   /* kept answers and space reserved by runs */
    uint64_t last_serial;
} RunTableStats;

void RunTable_GetStats(RunTable *table, RunTableStats *stats);

#endif
