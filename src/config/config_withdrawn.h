/* ConfigWithdrawn: grow-only set of withdrawn key hashes.
 *
 * Private to config. Look-ups take no lock: records never move and are never
 * removed, and a record is complete before its bucket refers to it. Records
 * stay in order of insertion, so that peers can send only the newest ones.
 */
#ifndef CONFIG_CONFIG_WITHDRAWN_H
#define CONFIG_CONFIG_WITHDRAWN_H

#include <glib.h>
#include <stdint.h>

#include "config/config.h"

#define CONFIG_WITHDRAWN_MAX 1048575u

typedef struct ConfigWithdrawn ConfigWithdrawn;

ConfigWithdrawn *ConfigWithdrawn_Create(void);
void ConfigWithdrawn_Destroy(ConfigWithdrawn *set);

/* Returns TRUE if the hash is new; FALSE if it is known or the set is full. */
gboolean ConfigWithdrawn_Add(ConfigWithdrawn *set, const ConfigKeyHash *hash);
gboolean ConfigWithdrawn_Has(const ConfigWithdrawn *set,
                             const ConfigKeyHash *hash);
uint32_t ConfigWithdrawn_GetCount(const ConfigWithdrawn *set);
uint64_t ConfigWithdrawn_GetDigest(const ConfigWithdrawn *set);

/* Returns the hash at a position below the count, in order of insertion. */
const ConfigKeyHash *ConfigWithdrawn_At(const ConfigWithdrawn *set,
                                        uint32_t position);

/* Returns the position of the first hash that a peer with this digest lacks:
 * the count if the digests are equal; -1 unless the peer's set is this set
 * without up to `max_missing` of its newest hashes. */
int64_t ConfigWithdrawn_Compare(ConfigWithdrawn *set, uint64_t digest,
                                uint32_t max_missing);

/* Record and return whether `withdrawn/<hex>` is known to exist in the
 * store. */
void ConfigWithdrawn_SetStored(ConfigWithdrawn *set,
                               const ConfigKeyHash *hash);
gboolean ConfigWithdrawn_IsStored(const ConfigWithdrawn *set,
                                  uint32_t position);

size_t ConfigWithdrawn_GetBytes(const ConfigWithdrawn *set);

#endif
