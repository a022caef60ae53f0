/* Catalog: the configuration in force and the proof that it is the newest.
 *
 * Use:
 *  1. Catalog_Create().
 *  2. The one writer calls Catalog_Publish() for each configuration that it
 *     reads, and Catalog_Confirm() whenever the store has shown that nothing
 *     newer existed at some time.
 *  3. Readers, in threads registered with liburcu: Catalog_Acquire(), at the
 *     end CatalogTable_Unref(); Catalog_Age() before anything that depends on
 *     a withdrawn key.
 *
 * A watch on the store that hears nothing proves nothing, since it may be cut
 * off. The age counts from a moment at which the store's state is known, by
 * CLOCK_BOOTTIME, so it goes on while the host is suspended.
 *
 * Versions only rise: a table with an older version is dropped.
 */
#ifndef CATALOG_CATALOG_H
#define CATALOG_CATALOG_H

#include "catalog/catalog_table.h"

typedef struct Catalog Catalog;

Catalog *Catalog_Create(void);
void Catalog_Destroy(Catalog *catalog);

/* Takes over the table. FALSE if a newer one is in force. */
gboolean Catalog_Publish(Catalog *catalog, CatalogTable *table);

/* The table in force was the newest one at this time. */
void Catalog_Confirm(Catalog *catalog, ClockMs moment);

/* A reference to the table in force, NULL if there is none yet. */
CatalogTable *Catalog_Acquire(Catalog *catalog);

/* Time since the table in force was last known to be the newest;
 * CLOCK_NEVER if it never was. */
ClockMs Catalog_Age(const Catalog *catalog, ClockMs now);

#endif
