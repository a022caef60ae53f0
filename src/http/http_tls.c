#include "http/http_tls.h"

#include <pthread.h>
#include <string.h>

#include "base/result.h"

#define MAX_CERTIFICATES 8
#define KEY_ID_BYTES 64

/* A replaced certificate is freed after this time. By then every handshake
 * that uses it has ended, since a connection without progress is closed after
 * two minutes. */
#define RETENTION_MS 600000

typedef struct Certificate {
    gnutls_pcert_st chain[MAX_CERTIFICATES];
    unsigned count;
    gnutls_privkey_t key;
    ClockMs replaced; /* time at which a newer one replaced it */
    struct Certificate *older;
} Certificate;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static Certificate *newest; /* protected by lock */

static void
free_certificate(Certificate *certificate)
{
    for (unsigned i = 0; i < certificate->count; i++) {
        gnutls_pcert_deinit(&certificate->chain[i]);
    }
    if (certificate->key != NULL) {
        gnutls_privkey_deinit(certificate->key);
    }
    g_free(certificate);
}

static void
free_list(Certificate *certificate)
{
    Certificate *older;

    for (; certificate != NULL; certificate = older) {
        older = certificate->older;
        free_certificate(certificate);
    }
}

/* Returns TRUE if the key belongs to the first certificate. */
static gboolean
key_matches(const Certificate *certificate)
{
    unsigned char ids[2][KEY_ID_BYTES];
    size_t bytes[2] = {KEY_ID_BYTES, KEY_ID_BYTES};
    gnutls_pubkey_t public_key;
    gboolean matches;

    if (gnutls_pubkey_init(&public_key) != 0) {
        return FALSE;
    }
    matches =
        gnutls_pubkey_import_privkey(public_key, certificate->key, 0, 0) ==
            0 &&
        gnutls_pubkey_get_key_id(public_key, 0, ids[0], &bytes[0]) == 0 &&
        gnutls_pubkey_get_key_id(certificate->chain[0].pubkey, 0, ids[1],
                                 &bytes[1]) == 0 &&
        bytes[0] == bytes[1] && memcmp(ids[0], ids[1], bytes[0]) == 0;
    gnutls_pubkey_deinit(public_key);
    return matches;
}

static Certificate *
read_certificate(const char *certificate_pem, const char *key_pem,
                 GError **error)
{
    Certificate *certificate = g_new0(Certificate, 1);
    gnutls_datum_t text = {(unsigned char *)certificate_pem,
                           (unsigned)strlen(certificate_pem)};
    gnutls_datum_t key = {(unsigned char *)key_pem, (unsigned)strlen(key_pem)};
    unsigned count = MAX_CERTIFICATES;
    int code = gnutls_pcert_list_import_x509_raw(
        certificate->chain, &count, &text, GNUTLS_X509_FMT_PEM, 0);

    if (code < 0) {
        Result_SetError(error, RESULT_IO, "TLS certificate: %s",
                        gnutls_strerror(code));
        free_certificate(certificate);
        return NULL;
    }
    certificate->count = count;
    code = gnutls_privkey_init(&certificate->key);
    if (code == 0) {
        code = gnutls_privkey_import_x509_raw(certificate->key, &key,
                                              GNUTLS_X509_FMT_PEM, NULL, 0);
    }
    if (code < 0) {
        Result_SetError(error, RESULT_IO, "TLS key: %s",
                        gnutls_strerror(code));
    }
    else if (!key_matches(certificate)) {
        code = -1;
        Result_SetError(error, RESULT_IO,
                        "the TLS key does not belong to the certificate");
    }
    if (code < 0) {
        free_certificate(certificate);
        return NULL;
    }
    return certificate;
}

gboolean
HttpTls_SetCertificate(const char *certificate_pem, const char *key_pem,
                       ClockMs now, GError **error)
{
    Certificate *certificate =
        read_certificate(certificate_pem, key_pem, error);
    Certificate *last;

    if (certificate == NULL) {
        return FALSE;
    }
    pthread_mutex_lock(&lock);
    if (newest != NULL) {
        newest->replaced = now;
    }
    certificate->older = newest;
    newest = certificate;
    last = newest;
    while (last->older != NULL && now - last->older->replaced < RETENTION_MS) {
        last = last->older;
    }
    free_list(last->older);
    last->older = NULL;
    pthread_mutex_unlock(&lock);
    return TRUE;
}

void
HttpTls_Clear(void)
{
    pthread_mutex_lock(&lock);
    free_list(newest);
    newest = NULL;
    pthread_mutex_unlock(&lock);
}

int
_HttpTls_Retrieve(gnutls_session_t session, const gnutls_datum_t *issuers,
                  int issuer_count, const gnutls_pk_algorithm_t *algorithms,
                  int algorithm_count, gnutls_pcert_st **certificates,
                  unsigned *certificate_count, gnutls_privkey_t *key)
{
    int code = -1;

    (void)session;
    (void)issuers;
    (void)issuer_count;
    (void)algorithms;
    (void)algorithm_count;
    pthread_mutex_lock(&lock);
    if (newest != NULL) {
        *certificates = newest->chain;
        *certificate_count = newest->count;
        *key = newest->key;
        code = 0;
    }
    pthread_mutex_unlock(&lock);
    return code;
}
