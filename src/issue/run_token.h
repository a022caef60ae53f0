/* RunToken: text that authorises one run of one issuance.
 *
 * Use at the owner: RunTable_Mint() creates a RunToken; RunToken_Format()
 * converts it to text with the MAC.
 * Use at the entry: RunToken_Verify() checks a caller's text and returns the
 * owner to which the request must be sent. Only that owner, in that
 * incarnation, may run the request, if RunTable_Begin() allows it.
 *
 * The text is "rk1-" and 160 lower-case hexadecimal digits: six 64-bit
 * big-endian fields in the order of the struct, then HMAC-SHA256 with the
 * fleet secret over a fixed label and these fields. Every token has exactly
 * one text; another spelling of the same digits is refused.
 *
 * Errors: RESULT_TOKEN_INVALID for anything that is not a complete token with
 * a correct MAC.
 * Limits: team and route are 64-bit hashes of their names, so that a token has
 * the same meaning on all hosts, whichever configuration version they have.
 */
#ifndef ISSUE_RUN_TOKEN_H
#define ISSUE_RUN_TOKEN_H

#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"

/* Length of the text with its terminating zero byte. */
#define RUN_TOKEN_TEXT_BYTES 165

typedef struct RunToken {
    uint64_t owner;       /* host id */
    uint64_t incarnation; /* incarnation of the owner */
    uint64_t serial;      /* number within the incarnation, from 1 */
    uint64_t team;        /* RunToken_NameHash() of the team's name */
    uint64_t route;       /* RunToken_NameHash() of the route's name */
    ClockMs valid_until;  /* by the owner's clock */
} RunToken;

/* Returns the hash of a team's or route's name, the same on every host. */
uint64_t RunToken_NameHash(const char *name);

/* Writes the text with its MAC. */
void RunToken_Format(const RunToken *token, const void *secret,
                     size_t secret_bytes, char text[RUN_TOKEN_TEXT_BYTES]);

/* Reads the fields without checking the MAC, for display only. */
Result RunToken_Parse(const char *text, RunToken *token);

/* Reads the fields and checks the MAC in constant time. Does not check whether
 * the token has expired: valid_until is by the owner's clock. */
Result RunToken_Verify(const char *text, const void *secret,
                       size_t secret_bytes, RunToken *token);

#endif
