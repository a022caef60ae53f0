/* HttpTls: the certificate of the process's TLS port. It can be replaced while
 * connections are open.
 *
 * Use:
 *  1. HttpTls_SetCertificate() before the server starts, and again to renew:
 *     new connections get the new certificate, open ones continue.
 *  2. _HttpTls_Retrieve() is the server's certificate callback.
 *  3. HttpTls_Clear() after the server was destroyed.
 *
 * Errors: IO for text that is not a PEM certificate or key, and for a key that
 * does not match the certificate; the certificate in use is kept.
 *
 * Limits: one certificate for each process, because GnuTLS passes no context
 * to the callback. The first certificate of the text is the server's, the
 * others are its issuers; at most 8 in all. Thread safe.
 */
#ifndef HTTP_HTTP_TLS_H
#define HTTP_HTTP_TLS_H

#include <glib.h>
#include <gnutls/abstract.h>
#include <gnutls/gnutls.h>

#include "base/clock.h"

gboolean HttpTls_SetCertificate(const char *certificate_pem,
                                const char *key_pem, ClockMs now,
                                GError **error);
void HttpTls_Clear(void);

/* Has the type gnutls_certificate_retrieve_function2. */
int _HttpTls_Retrieve(gnutls_session_t session, const gnutls_datum_t *issuers,
                      int issuer_count,
                      const gnutls_pk_algorithm_t *algorithms,
                      int algorithm_count, gnutls_pcert_st **certificates,
                      unsigned *certificate_count, gnutls_privkey_t *key);

#endif
