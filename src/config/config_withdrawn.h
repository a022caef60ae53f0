/* ConfigWithdrawn: grow-only set of withdrawn key hashes.
 *
 * Private to config. Look-ups take no lock: records never move and are never
 * removed, and a record is complete before its bucket refers to it. Records
 * keep their order of arrival, which peers use to send only the newest ones.
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

/* TRUE if the hash is new. A full set refuses further hashes (FALSE). */
gboolean ConfigWithdrawn_Add(ConfigWithdrawn *set, const ConfigKeyHash *hash);
gboolean ConfigWithdrawn_Has(const ConfigWithdrawn *set,
                             const ConfigKeyHash *hash);
uint32_t ConfigWithdrawn_GetCount(const ConfigWithdrawn *set);
uint64_t ConfigWithdrawn_GetDigest(const ConfigWithdrawn *set);

/* The hash at a place below the count, in order of arrival. */
const ConfigKeyHash *ConfigWithdrawn_At(const ConfigWithdrawn *set,
                                        uint32_t place);

/* The place from which a peer with this digest lacks hashes: the count if the
 * digests are equal; -1 if the peer's set is not this set without some of its
 * newest `reach` hashes. */
int64_t ConfigWithdrawn_Compare(ConfigWithdrawn *set, uint64_t digest,
                                uint32_t reach);

/* Whether `withdrawn/<hex>` is known to exist in the store. */
void ConfigWithdrawn_SetStored(ConfigWithdrawn *set,
                               const ConfigKeyHash *hash);
gboolean ConfigWithdrawn_IsStored(const ConfigWithdrawn *set, uint32_t place);

size_t ConfigWithdrawn_GetBytes(const ConfigWithdrawn *set);

#endif
