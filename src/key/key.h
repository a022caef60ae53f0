/* Key: extracts a caller's key from a request and prevents its forwarding.
 *
 * Use at the entry:
 *  1. Key_Extract() from the headers.
 *  2. Key_IsMisplaced() with everything that would be forwarded; refuse with
 *     RESULT_KEY_MISPLACED if it returns TRUE.
 *  3. Key_Hash() to look up the team, then Key_Wipe().
 *  4. Key_Forwardable() for each header of the caller's request, before it is
 *     sent to the backend server.
 *
 * A key consists of KEY_MIN_BYTES to KEY_MAX_BYTES letters, digits and
 * characters of `-._~+/=` (the characters of a bearer token). A shorter key
 * could occur in harmless requests by chance.
 *
 * Errors: RESULT_KEY_MISSING, RESULT_KEY_MALFORMED (empty, folded, control
 * or other characters, wrong length), RESULT_KEY_MISPLACED (key given more
 * than once, or two different keys).
 * Limits: a key that is encoded by other means than percent-encoding (base64,
 * JSON character escapes) or split across several places is not found.
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
    const KeyHeader *headers; /* all, including trailers and the key headers */
    size_t header_count;
    const char *path;  /* as received, may include the query */
    const char *query; /* as received, or NULL */
    const void *body;
    size_t body_bytes;
} KeyRequest;

/* Copies the key from `Radishknot-Key` or `Authorization: Bearer`. Both may be
 * present if they hold the same key. On an error, *key is empty. */
Result Key_Extract(const KeyHeader *headers, size_t count,
                   char key[KEY_MAX_BYTES + 1]);

/* Whether the key occurs outside the key headers: in header names and values,
 * path, query or body, either as received or percent-decoded up to three
 * times, with `+` as itself or as a space. */
gboolean Key_IsMisplaced(const char *key, const KeyRequest *request);

/* Whether a header of the caller's request may be forwarded to the backend
 * server. Not forwarded are the key headers, `Radishknot-*`, `Proxy-*`,
 * hop-by-hop headers and those named by a `Connection` header of the same
 * request. */
gboolean Key_Forwardable(const KeyHeader *headers, size_t count,
                         const char *name);

/* SHA-256 of the key. */
void Key_Hash(const char *key, uint8_t hash[KEY_HASH_BYTES]);

/* Overwrites a copy of a key; the compiler cannot optimise this away. */
void Key_Wipe(void *copy, size_t bytes);

#endif
