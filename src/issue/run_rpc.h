/* RunRpc: the bodies of RPC kinds 20 (mint) and 21 (token state).
 *
 * Use at the owner: pass the body of a received message to RunRpc_ServeMint()
 * or RunRpc_ServeState() and send back the reply that they append.
 * Use at the entry: RunRpc_EncodeMint() or RunRpc_EncodeState(), send, then
 * RunRpc_DecodeMint() or RunRpc_DecodeState().
 *
 * Errors: RESULT_MALFORMED for a body that cannot be decoded. The transport
 * authenticates the messages.
 * Limits: at most RUN_RPC_MAX_TOKENS tokens per message. A message carries the
 * first token and a count, and so stays under 100 bytes.
 */
#ifndef ISSUE_RUN_RPC_H
#define ISSUE_RUN_RPC_H

#include <glib.h>

#include "issue/run_table.h"

#define RUN_RPC_MAX_TOKENS 1000

void RunRpc_EncodeMint(uint64_t team, uint64_t route, uint32_t count,
                       GByteArray *body);

/* Returns the owner's result. With RESULT_OK, the tokens are *first and those
 * with the next *count - 1 serials; the entry formats them with the fleet
 * secret. */
Result RunRpc_DecodeMint(const void *reply, size_t bytes, RunToken *first,
                         uint32_t *count);

/* Encodes a request for the state of a token. The owner voids the token if its
 * run has not started. */
void RunRpc_EncodeState(const RunToken *token, GByteArray *body);
Result RunRpc_DecodeState(const void *reply, size_t bytes,
                          RunTokenState *state);

Result RunRpc_ServeMint(RunTable *table, const void *body, size_t bytes,
                        ClockMs now, GByteArray *reply);
Result RunRpc_ServeState(RunTable *table, const void *body, size_t bytes,
                         ClockMs now, GByteArray *reply);

#endif
