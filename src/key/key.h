/* Key: finds a caller's key in a request and keeps it from going further.
 *
 * Use at the entry:
 *  1. Key_Extract() from the headers.
 *  2. Key_IsMisplaced() with everything that would be forwarded; refuse with
 *     RESULT_KEY_MISPLACED if it returns TRUE.
 *  3. Key_Hash() for the look-up of the team, then Key_Wipe().
 *  4. Key_Forwardable() for each header that goes to the backend server.
 *
 * A key has KEY_MIN_BYTES to KEY_MAX_BYTES characters out of letters, digits
 * and `-._~+/=` (the characters of a bearer token). A shorter key would occur
 * in harmless requests by chance.
 *
 * Errors: RESULT_KEY_MISSING, RESULT_KEY_MALFORMED (empty, folded, control
 * or other characters, wrong length), RESULT_KEY_MISPLACED (more than once, or
 * two different keys).
 * Limits: a key that was encoded otherwise than by percent signs (base64,
 * character escapes of JSON) or split over several places is not found.
 */
#ifndef KEY_KEY_H
#define KEY_KEY_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/result.h"

#define KEY_MIN_BYTES 8
#define KEY_MAX_BYTES 256
#define KEY_HASH_BYTES 32

typedef struct KeyHeader {
    const char *name;
    const char *value;
} KeyHeader;

typedef struct KeyRequest {
    const KeyHeader *headers; /* all, with trailers and the key headers */
    size_t header_count;
    const char *path;  /* as received, may hold the query too */
    const char *query; /* as received, or NULL */
    const void *body;
    size_t body_bytes;
} KeyRequest;

/* Copies the key out of `Radishknot-Key` or `Authorization: Bearer`; both may
 * be there if they hold the same key. On an error *key is empty. */
Result Key_Extract(const KeyHeader *headers, size_t count,
                   char key[KEY_MAX_BYTES + 1]);

/* Whether the key stands in any place other than the key headers: header
 * names and values, path, query or body, as they are or percent-decoded up to
 * three times, with `+` as itself or as a space. */
gboolean Key_IsMisplaced(const char *key, const KeyRequest *request);

/* Whether a header of the caller's request goes on to the backend server: not
 * the key headers, `Radishknot-*`, `Proxy-*`, hop-by-hop headers or those
 * named by a `Connection` header of the same request. */
gboolean Key_Forwardable(const KeyHeader *headers, size_t count,
                         const char *name);

/* SHA-256 of the key. */
void Key_Hash(const char *key, uint8_t hash[KEY_HASH_BYTES]);

/* Overwrites a copy of a key; the compiler cannot leave this out. */
void Key_Wipe(void *copy, size_t bytes);

#endif
