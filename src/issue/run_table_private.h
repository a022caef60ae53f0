/* Parts of RunTable for the files of this slice only. */
#ifndef ISSUE_RUN_TABLE_PRIVATE_H
#define ISSUE_RUN_TABLE_PRIVATE_H

#include <pthread.h>

#include "issue/run_table.h"

#define _RUN_MAX_FORMERS 16

typedef enum _RunRecordState {
    RUN_RECORD_RUNNING,
    RUN_RECORD_DONE,
    RUN_RECORD_VOID,
    RUN_RECORD_LOST /* was still running when it was handed over */
} _RunRecordState;

/* 64 bytes. Team and route are in the token, under its MAC. */
typedef struct _RunRecord {
    uint64_t serial;
    ClockMs valid_until; /* own tokens only */
    ClockMs drop_at;     /* by the own clock; CLOCK_NEVER while running */
    RunAnswer *answer;   /* done; NULL if it was too large */
    size_t kept_bytes;   /* counted in the table's kept_bytes */
    PoolHandle handle;
    PoolHandle next; /* in the same bucket */
    uint8_t source;  /* 0 = own, else 1 + index of the former */
    uint8_t state;   /* _RunRecordState */
    uint8_t run;     /* RunState of a done run */
} _RunRecord;

/* A former incarnation whose table was handed over to this host. */
typedef struct _RunFormer {
    gboolean is_used;
    gboolean is_complete;
    uint64_t owner;
    uint64_t incarnation;
    uint64_t last_serial;
    ClockMs handed_at; /* by the former owner's clock */
    ClockMs ends_at;   /* by the own clock: no token is valid after it */
    uint32_t next_chunk;
} _RunFormer;

struct RunTable {
    RunTable_desc desc;
    pthread_mutex_t lock; /* of all that follows */
    pthread_cond_t changed;
    /* Highest time passed in. A thread that was paused between reading the
     * clock and the call would else begin a token whose record has been
     * dropped since. */
    ClockMs now;
    uint64_t last_serial;
    gboolean is_draining;
    uint32_t running;
    uint32_t done;
    uint32_t voided;
    uint32_t adopted;
    uint32_t waiters;
    size_t kept_bytes;
    Pool *records;
    PoolHandle *buckets;
    uint32_t bucket_mask;
    _RunFormer formers[_RUN_MAX_FORMERS];
};

/* The lock is held for all that follow. */
_RunRecord *_RunTable_Find(RunTable *table, uint8_t source, uint64_t serial);
/* NULL if the table is full; void records may use the reserved part. */
_RunRecord *_RunTable_Add(RunTable *table, uint8_t source, uint64_t serial,
                          gboolean may_use_reserve);
void _RunTable_Remove(RunTable *table, _RunRecord *record);
/* Gives the answer to a done record, or drops it if it is too large. */
void _RunTable_Keep(RunTable *table, _RunRecord *record, RunAnswer *answer);
void _RunTable_DropFormer(RunTable *table, uint8_t source);
/* Returns the raised time. */
ClockMs _RunTable_Advance(RunTable *table, ClockMs now);

size_t _RunAnswer_Bytes(const RunAnswer *answer);

#endif
