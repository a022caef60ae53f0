/* Rng: small seeded random generator and hash functions.
 *
 * Use: Rng_Seed() once, then Rng_Next() and the functions built on it. Equal
 * seeds give equal sequences on every machine, so that tests can reproduce a
 * run.
 *
 * Limits: not cryptographically secure, so not for secrets; not thread safe.
 */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stddef.h>
#include <stdint.h>

typedef struct Rng {
    uint64_t state;
} Rng;

void Rng_Seed(Rng *rng, uint64_t seed);
uint64_t Rng_Next(Rng *rng);

/* Returns a uniform number in [0, limit); limit must not be 0. */
uint64_t Rng_Below(Rng *rng, uint64_t limit);

/* Returns a uniform number in [0, 1). */
double Rng_Unit(Rng *rng);

/* Returns an exponentially distributed number with the given mean. */
double Rng_Exponential(Rng *rng, double mean);

/* Returns a 64-bit hash of a byte string (FNV-1a with a final mix), the same
 * on every host; used for rendezvous hashing. */
uint64_t Rng_Hash(const void *bytes, size_t length);
uint64_t Rng_HashString(const char *text);

/* Mixes two hashes into one. */
uint64_t Rng_Mix(uint64_t a, uint64_t b);

/* Returns a seed that differs for each process start. */
uint64_t Rng_ProcessSeed(void);

#endif
