#include "config/config_withdrawn.h"

#include <pthread.h>
#include <string.h>

#include "base/rng.h"

#define BUCKET_BITS 14
#define PAGE_RECORDS 256u
#define PAGES ((CONFIG_WITHDRAWN_MAX + PAGE_RECORDS) / PAGE_RECORDS)

typedef struct WithdrawnRecord {
    ConfigKeyHash hash;
    uint32_t next;   /* position + 1 of the next record in the bucket */
    uint32_t stored; /* atomic */
} WithdrawnRecord;

struct ConfigWithdrawn {
    pthread_mutex_t lock;             /* held by writers */
    uint32_t count;                   /* atomic */
    uint64_t digest;                  /* atomic */
    uint32_t heads[1 << BUCKET_BITS]; /* atomic; position + 1, 0 = empty */
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

/* Contribution of a hash to the digest, which is the sum of them and thus
 * independent of the order. */
static uint64_t
digest_term(const ConfigKeyHash *hash)
{
    return Rng_Mix(first_bytes(hash), 1);
}

static WithdrawnRecord *
record_at(const ConfigWithdrawn *set, uint32_t position)
{
    WithdrawnRecord *page = __atomic_load_n(
        &set->pages[position / PAGE_RECORDS], __ATOMIC_ACQUIRE);

    return &page[position % PAGE_RECORDS];
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
    uint32_t position;

    pthread_mutex_lock(&set->lock);
    position = set->count;
    if (position == CONFIG_WITHDRAWN_MAX || find_record(set, hash) != NULL) {
        pthread_mutex_unlock(&set->lock);
        return FALSE;
    }
    if (set->pages[position / PAGE_RECORDS] == NULL) {
        __atomic_store_n(&set->pages[position / PAGE_RECORDS],
                         g_new0(WithdrawnRecord, PAGE_RECORDS),
                         __ATOMIC_RELEASE);
    }
    record = record_at(set, position);
    record->hash = *hash;
    record->next = set->heads[bucket];
    __atomic_store_n(&set->heads[bucket], position + 1, __ATOMIC_RELEASE);
    __atomic_store_n(&set->digest, set->digest + digest_term(hash),
                     __ATOMIC_RELEASE);
    __atomic_store_n(&set->count, position + 1, __ATOMIC_RELEASE);
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
ConfigWithdrawn_At(const ConfigWithdrawn *set, uint32_t position)
{
    return &record_at(set, position)->hash;
}

int64_t
ConfigWithdrawn_Compare(ConfigWithdrawn *set, uint64_t digest,
                        uint32_t max_missing)
{
    uint32_t count;
    uint32_t position;
    uint64_t older;

    pthread_mutex_lock(&set->lock);
    count = set->count;
    older = set->digest;
    pthread_mutex_unlock(&set->lock);
    position = count;
    while (older != digest && position > 0 && count - position < max_missing) {
        position--;
        older -= digest_term(ConfigWithdrawn_At(set, position));
    }
    return older == digest ? (int64_t)position : -1;
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
ConfigWithdrawn_IsStored(const ConfigWithdrawn *set, uint32_t position)
{
    return __atomic_load_n(&record_at(set, position)->stored,
                           __ATOMIC_RELAXED) != 0;
}

size_t
ConfigWithdrawn_GetBytes(const ConfigWithdrawn *set)
{
    uint32_t pages =
        (ConfigWithdrawn_GetCount(set) + PAGE_RECORDS - 1) / PAGE_RECORDS;

    return sizeof(*set) + pages * PAGE_RECORDS * sizeof(WithdrawnRecord);
}
