/* Catalog: the configuration in force, and when it was last known to be the
 * newest.
 *
 * Use:
 *  1. Catalog_Create().
 *  2. The single writer calls Catalog_Publish() for each configuration that it
 *     reads, and Catalog_Confirm() whenever the store has shown that no newer
 *     one existed at some time. Catalog_Reject() for a configuration that
 *     cannot be used.
 *  3. Readers, in threads registered with liburcu, call Catalog_Acquire() and
 *     finally CatalogTable_Unref(). They call Catalog_Age() before an
 *     operation that must not rely on a revoked key.
 *
 * A large configuration may take longer to arrive than a change may take to be
 * in force. A daemon that knows of one, or hears that another has it, stops to
 * use the one before in time (Catalog_IsOutdated()). One that receives none,
 * because the store is away, goes on with requests that need no key.
 *
 * A pending watch does not confirm the configuration, since its connection may
 * be cut off. The age counts from a time at which the store's state is known.
 * It is measured by CLOCK_BOOTTIME, so it includes time in suspend.
 *
 * Versions only rise: a table with an older version is discarded. A store that
 * was restored from an older copy holds one until the operator has written the
 * newest again. A configuration in the store that cannot be used may have
 * withdrawn a key, so nothing confirms the one in force until a table is
 * published again. Until the version in force has been read in the store's new
 * generation, nothing confirms it: a version that this daemon never read, with
 * a key withdrawn, may have been lost, too.
 */
#ifndef CATALOG_CATALOG_H
#define CATALOG_CATALOG_H

#include "catalog/catalog_table.h"

typedef struct Catalog Catalog;

Catalog *Catalog_Create(void);
void Catalog_Destroy(Catalog *catalog);

/* Publishes a table that was read in the given generation of the store. Takes
 * ownership of the table. Returns FALSE if a newer one is in force. */
gboolean Catalog_Publish(Catalog *catalog, CatalogTable *table,
                         int64_t generation);

/* States that the last table read in the generation was the newest one in the
 * store at the time as_of. */
void Catalog_Confirm(Catalog *catalog, ClockMs as_of, int64_t generation);

/* States that a newer configuration has begun to arrive, or with 0 that it no
 * longer does. The former holds until a table is published, or confirmed as of
 * a later time. Returns whether this is new. */
gboolean Catalog_Announce(Catalog *catalog, ClockMs now);

/* States that another host has this version in force. If it is newer than the
 * one in force, it is known until it is in force here, or a proof of a later
 * time says otherwise. Returns whether this is new. */
gboolean Catalog_Hear(Catalog *catalog, uint64_t version, ClockMs now);

/* Whether a newer configuration is known and the one in force was last
 * known to be the newest more than apply_ms ago: it must not be used. */
gboolean Catalog_IsOutdated(const Catalog *catalog, ClockMs now,
                            ClockMs apply_ms);

/* States that the store holds a configuration that cannot be used. */
void Catalog_Reject(Catalog *catalog);

/* States that another host has had this version in force. As long as an older
 * one is in force here, it is not known to be the newest. */
void Catalog_Require(Catalog *catalog, uint64_t version);

/* Returns the version in force, 0 if there is none yet. */
uint64_t Catalog_Version(const Catalog *catalog);

/* Returns a new reference to the table in force, NULL if there is none yet. */
CatalogTable *Catalog_Acquire(Catalog *catalog);

/* Returns the time since the table in force was last known to be the newest,
 * CLOCK_NEVER without any confirmation. */
ClockMs Catalog_Age(const Catalog *catalog, ClockMs now);

#endif
