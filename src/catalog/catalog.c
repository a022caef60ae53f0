#include "catalog/catalog.h"

#include <stdatomic.h>
#include <urcu.h>

/* Value of `confirmed` before the first confirmation. */
#define UNCONFIRMED INT64_MIN

struct Catalog {
    CatalogTable *table; /* published by RCU */
    int64_t generation; /* of the store, when it last had the version in force;
                           used by the writer only */
    gboolean is_rejected; /* the store's configuration cannot be used; used by
                             the writer only */
    _Atomic uint64_t version;  /* in force; 0: none */
    _Atomic uint64_t required; /* newest version known of another host */
    _Atomic ClockMs confirmed;
    _Atomic ClockMs announced; /* arrival of a newer one; 0: none */
    _Atomic uint64_t heard;    /* newest version of another host */
    _Atomic ClockMs heard_at;  /* when it was heard of first; 0: not */
};

Catalog *
Catalog_Create(void)
{
    Catalog *catalog = g_new0(Catalog, 1);

    atomic_store(&catalog->confirmed, UNCONFIRMED);
    return catalog;
}

void
Catalog_Destroy(Catalog *catalog)
{
    if (catalog != NULL) {
        CatalogTable_Unref(catalog->table);
        g_free(catalog);
    }
}

gboolean
Catalog_Publish(Catalog *catalog, CatalogTable *table, int64_t generation)
{
    CatalogTable *old = catalog->table;

    if (old != NULL &&
        CatalogTable_Version(table) < CatalogTable_Version(old)) {
        CatalogTable_Unref(table);
        return FALSE;
    }
    catalog->generation = generation;
    catalog->is_rejected = FALSE;
    atomic_store(&catalog->version, CatalogTable_Version(table));
    atomic_store(&catalog->announced, 0);
    if (CatalogTable_Version(table) >= atomic_load(&catalog->heard)) {
        atomic_store(&catalog->heard_at, 0);
    }
    rcu_assign_pointer(catalog->table, table);
    /* Afterwards all readers that loaded the old pointer hold a reference. */
    synchronize_rcu();
    CatalogTable_Unref(old);
    return TRUE;
}

void
Catalog_Reject(Catalog *catalog)
{
    catalog->is_rejected = TRUE;
}

void
Catalog_Confirm(Catalog *catalog, ClockMs as_of, int64_t generation)
{
    if (catalog->is_rejected ||
        (catalog->table != NULL && generation != catalog->generation)) {
        return;
    }
    if (as_of > atomic_load(&catalog->confirmed)) {
        atomic_store(&catalog->confirmed, as_of);
    }
    if (as_of > atomic_load(&catalog->announced)) {
        atomic_store(&catalog->announced, 0);
    }
    if (as_of > atomic_load(&catalog->heard_at)) {
        atomic_store(&catalog->heard_at, 0);
    }
}

gboolean
Catalog_Announce(Catalog *catalog, ClockMs now)
{
    ClockMs before = atomic_exchange(&catalog->announced, now);

    return (before == 0) != (now == 0);
}

gboolean
Catalog_Hear(Catalog *catalog, uint64_t version, ClockMs now)
{
    ClockMs unknown = 0;

    if (version <= atomic_load(&catalog->version)) {
        return FALSE;
    }
    /* Two threads may hear of two versions: either one is newer than that in
     * force. */
    atomic_store(&catalog->heard, version);
    return atomic_compare_exchange_strong(&catalog->heard_at, &unknown, now);
}

/* Whether a newer version than the one in force is known. */
static gboolean
knows_newer(const Catalog *catalog)
{
    return atomic_load(&catalog->announced) != 0 ||
           (atomic_load(&catalog->heard_at) != 0 &&
            atomic_load(&catalog->heard) > atomic_load(&catalog->version));
}

gboolean
Catalog_IsOutdated(const Catalog *catalog, ClockMs now, ClockMs apply_ms)
{
    ClockMs confirmed = atomic_load(&catalog->confirmed);

    return knows_newer(catalog) &&
           (confirmed == UNCONFIRMED || now - confirmed > apply_ms);
}

void
Catalog_Require(Catalog *catalog, uint64_t version)
{
    uint64_t required = atomic_load(&catalog->required);

    while (version > required && !atomic_compare_exchange_weak(
                                     &catalog->required, &required, version)) {
    }
}

uint64_t
Catalog_Version(const Catalog *catalog)
{
    return atomic_load(&catalog->version);
}

CatalogTable *
Catalog_Acquire(Catalog *catalog)
{
    CatalogTable *table;

    rcu_read_lock();
    table = rcu_dereference(catalog->table);
    if (table != NULL) {
        CatalogTable_Ref(table);
    }
    rcu_read_unlock();
    return table;
}

ClockMs
Catalog_Age(const Catalog *catalog, ClockMs now)
{
    ClockMs confirmed = atomic_load(&catalog->confirmed);

    if (confirmed == UNCONFIRMED ||
        atomic_load(&catalog->version) < atomic_load(&catalog->required)) {
        return CLOCK_NEVER;
    }
    return MAX(now - confirmed, 0);
}
