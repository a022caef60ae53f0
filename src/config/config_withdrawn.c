#include "config/config_withdrawn.h"

#include <pthread.h>
#include <string.h>

#include "base/rng.h"

#define BUCKET_BITS 14
#define PAGE_RECORDS 256u
#define PAGES ((CONFIG_WITHDRAWN_MAX + PAGE_RECORDS) / PAGE_RECORDS)

typedef struct WithdrawnRecord {
    ConfigKeyHash hash;
    uint32_t next;   /* place + 1 of the next record of the bucket */
    uint32_t stored; /* atomic */
} WithdrawnRecord;

struct ConfigWithdrawn {
    pthread_mutex_t lock;             /* writers */
    uint32_t count;                   /* atomic */
    uint64_t digest;                  /* atomic */
    uint32_t heads[1 << BUCKET_BITS]; /* atomic; place + 1 */
    WithdrawnRecord *pages[PAGES];    /* atomic */
};

ConfigWithdrawn *
ConfigWithdrawn_Create(void)
{
    ConfigWithdrawn *set = g_new0(ConfigWithdrawn, 1);

    pthread_mutex_init(&set->lock, NULL);
    return set;
}

void
ConfigWithdrawn_Destroy(ConfigWithdrawn *set)
{
    for (uint32_t i = 0; i < PAGES; i++) {
        g_free(set->pages[i]);
    }
    pthread_mutex_destroy(&set->lock);
    g_free(set);
}

static uint64_t
first_bytes(const ConfigKeyHash *hash)
{
    uint64_t value;

    memcpy(&value, hash->bytes, sizeof(value));
    return GUINT64_FROM_LE(value);
}

/* What a hash adds to the digest; a sum does not depend on the order. */
static uint64_t
digest_part(const ConfigKeyHash *hash)
{
    return Rng_Mix(first_bytes(hash), 1);
}

static WithdrawnRecord *
record_at(const ConfigWithdrawn *set, uint32_t place)
{
    WithdrawnRecord *page =
        __atomic_load_n(&set->pages[place / PAGE_RECORDS], __ATOMIC_ACQUIRE);

    return &page[place % PAGE_RECORDS];
}

static WithdrawnRecord *
find_record(const ConfigWithdrawn *set, const ConfigKeyHash *hash)
{
    uint64_t bucket = first_bytes(hash) >> (64 - BUCKET_BITS);
    uint32_t next = __atomic_load_n(&set->heads[bucket], __ATOMIC_ACQUIRE);

    while (next != 0) {
        WithdrawnRecord *record = record_at(set, next - 1);

        if (memcmp(&record->hash, hash, sizeof(*hash)) == 0) {
            return record;
        }
        next = record->next;
    }
    return NULL;
}

gboolean
ConfigWithdrawn_Add(ConfigWithdrawn *set, const ConfigKeyHash *hash)
{
    uint64_t bucket = first_bytes(hash) >> (64 - BUCKET_BITS);
    WithdrawnRecord *record;
    uint32_t place;

    pthread_mutex_lock(&set->lock);
    place = set->count;
    if (place == CONFIG_WITHDRAWN_MAX || find_record(set, hash) != NULL) {
        pthread_mutex_unlock(&set->lock);
        return FALSE;
    }
    if (set->pages[place / PAGE_RECORDS] == NULL) {
        __atomic_store_n(&set->pages[place / PAGE_RECORDS],
                         g_new0(WithdrawnRecord, PAGE_RECORDS),
                         __ATOMIC_RELEASE);
    }
    record = record_at(set, place);
    record->hash = *hash;
    record->next = set->heads[bucket];
    __atomic_store_n(&set->heads[bucket], place + 1, __ATOMIC_RELEASE);
    __atomic_store_n(&set->digest, set->digest + digest_part(hash),
                     __ATOMIC_RELEASE);
    __atomic_store_n(&set->count, place + 1, __ATOMIC_RELEASE);
    pthread_mutex_unlock(&set->lock);
    return TRUE;
}

gboolean
ConfigWithdrawn_Has(const ConfigWithdrawn *set, const ConfigKeyHash *hash)
{
    return find_record(set, hash) != NULL;
}

uint32_t
ConfigWithdrawn_GetCount(const ConfigWithdrawn *set)
{
    return __atomic_load_n(&set->count, __ATOMIC_ACQUIRE);
}

uint64_t
ConfigWithdrawn_GetDigest(const ConfigWithdrawn *set)
{
    return __atomic_load_n(&set->digest, __ATOMIC_ACQUIRE);
}

const ConfigKeyHash *
ConfigWithdrawn_At(const ConfigWithdrawn *set, uint32_t place)
{
    return &record_at(set, place)->hash;
}

int64_t
ConfigWithdrawn_Compare(ConfigWithdrawn *set, uint64_t digest, uint32_t reach)
{
    uint32_t count;
    uint32_t place;
    uint64_t older;

    pthread_mutex_lock(&set->lock);
    count = set->count;
    older = set->digest;
    pthread_mutex_unlock(&set->lock);
    place = count;
    while (older != digest && place > 0 && count - place < reach) {
        place--;
        older -= digest_part(ConfigWithdrawn_At(set, place));
    }
    return older == digest ? (int64_t)place : -1;
}

void
ConfigWithdrawn_SetStored(ConfigWithdrawn *set, const ConfigKeyHash *hash)
{
    WithdrawnRecord *record = find_record(set, hash);

    if (record != NULL) {
        __atomic_store_n(&record->stored, 1, __ATOMIC_RELAXED);
    }
}

gboolean
ConfigWithdrawn_IsStored(const ConfigWithdrawn *set, uint32_t place)
{
    return __atomic_load_n(&record_at(set, place)->stored, __ATOMIC_RELAXED) !=
           0;
}

size_t
ConfigWithdrawn_GetBytes(const ConfigWithdrawn *set)
{
    uint32_t pages =
        (ConfigWithdrawn_GetCount(set) + PAGE_RECORDS - 1) / PAGE_RECORDS;

    return sizeof(*set) + pages * PAGE_RECORDS * sizeof(WithdrawnRecord);
}
