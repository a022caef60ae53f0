/* GatewayExplain: where a request would be sent now, and why, as JSON.
 *
 * Use: GatewayExplain_Serve() as the handler of the metrics port's path
 * GATEWAY_EXPLAIN_PATH, with the arguments `host` and `path`, optionally
 * `method`, `bytes` (of the body) and `deadline_ms`. The key is in the header
 * of the callers (WireNames.key). GatewayExplain_Make() for the answer itself.
 *
 * The steps are those of a request before its first attempt, without effect:
 * nothing is sent, counted or logged, no quota or retry is taken, no random
 * number drawn. Of a route with several services it takes the one with the
 * highest weight.
 *
 * Errors: a malformed argument is answered with 400 and a message. A request
 * that would be refused is answered with 200; its `result` says why.
 *
 * Limits: ROSTER_EXPLAINED candidates; `left_out` has the number of further
 * ones. The key is not part of the answer. Thread safe; the thread must be
 * registered with liburcu.
 */
#ifndef GATEWAY_GATEWAY_EXPLAIN_H
#define GATEWAY_GATEWAY_EXPLAIN_H

#include <jansson.h>

#include "gateway/gateway.h"
#include "http/http_server.h"

#define GATEWAY_EXPLAIN_PATH "/explain"

typedef struct GatewayExplainInput {
    const char *method; /* shown only: routes do not depend on it */
    const char *host;
    const char *path; /* without a query */
    const char *key;  /* NULL: none */
    size_t body_bytes;
    ClockMs deadline_ms; /* time that the caller waits */
} GatewayExplainInput;

/* Returns a new object. */
json_t *GatewayExplain_Make(Gateway *gateway,
                            const GatewayExplainInput *input);

void GatewayExplain_Serve(Gateway *gateway, HttpRequest *http);

#endif
