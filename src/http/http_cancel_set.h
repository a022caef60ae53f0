/* HttpCancelSet: cancels all calls in flight of one port at once.
 *
 * Use: HttpCancelSet_Begin() for each request, HttpCancelSet_End() at its end.
 * HttpCancelSet_TriggerAll() cancels the calls in flight, and each call that
 * begins later.
 *
 * Limits: thread safe.
 */
#ifndef HTTP_HTTP_CANCEL_SET_H
#define HTTP_HTTP_CANCEL_SET_H

#include "http/http_client.h"

typedef struct HttpCancelSet HttpCancelSet;

HttpCancelSet *HttpCancelSet_Create(void);

/* No request may be in flight. */
void HttpCancelSet_Destroy(HttpCancelSet *set);
HttpCancel *HttpCancelSet_Begin(HttpCancelSet *set);
void HttpCancelSet_End(HttpCancelSet *set, HttpCancel *cancel);
void HttpCancelSet_TriggerAll(HttpCancelSet *set);
gboolean HttpCancelSet_IsTriggered(HttpCancelSet *set);

#endif
