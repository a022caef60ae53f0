#include "base/rng.h"

#include <math.h>
#include <string.h>
#include <sys/random.h>

#include "base/clock.h"

/* Finaliser of the splitmix64 generator. */
static uint64_t
mix(uint64_t x)
{
    x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
    return x ^ (x >> 31);
}

void
Rng_Seed(Rng *rng, uint64_t seed)
{
    rng->state = seed;
}

uint64_t
Rng_Next(Rng *rng)
{
    rng->state += UINT64_C(0x9e3779b97f4a7c15);
    return mix(rng->state);
}

uint64_t
Rng_Below(Rng *rng, uint64_t limit)
{
    return (uint64_t)(((unsigned __int128)Rng_Next(rng) * limit) >> 64);
}

double
Rng_Unit(Rng *rng)
{
    return (double)(Rng_Next(rng) >> 11) * 0x1.0p-53;
}

double
Rng_Exponential(Rng *rng, double mean)
{
    return -mean * log(1.0 - Rng_Unit(rng));
}

uint64_t
Rng_Hash(const void *bytes, size_t length)
{
    const unsigned char *next = bytes;
    uint64_t hash = UINT64_C(0xcbf29ce484222325);

    for (size_t i = 0; i < length; i++) {
        hash = (hash ^ next[i]) * UINT64_C(0x100000001b3);
    }
    return mix(hash);
}

uint64_t
Rng_HashString(const char *text)
{
    return Rng_Hash(text, strlen(text));
}

uint64_t
Rng_Mix(uint64_t a, uint64_t b)
{
    return mix(a + UINT64_C(0x9e3779b97f4a7c15) * (b + 1));
}

uint64_t
Rng_ProcessSeed(void)
{
    uint64_t seed = 0;

    if (getrandom(&seed, sizeof(seed), 0) != (ssize_t)sizeof(seed)) {
        seed = (uint64_t)Clock_NowMicroseconds();
    }
    return seed;
}
