/* Tests of TLS on the entry port of a running daemon, with certificates that
 * the test creates. */
#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "fleet.h"

#define AWAIT_MS 10000
#define POLL_MS 50
#define TIMEOUT_MS 5000
#define PEM_BYTES 8192
#define YEAR_S 31536000

typedef struct Files {
    char *folder;
    char *certificate;
    char *key;
} Files;

typedef struct Client {
    int fd;
    gnutls_session_t session;
    gnutls_certificate_credentials_t credentials;
} Client;

static void
write_text(const char *path, const gnutls_datum_t *text)
{
    g_assert_true(g_file_set_contents(path, (const char *)text->data,
                                      (gssize)text->size, NULL));
}

/* Creates a self-signed certificate with this serial number and its key. NULL
 * as a path omits that file. */
static void
make_certificate(unsigned char serial, const char *certificate_path,
                 const char *key_path)
{
    gnutls_x509_privkey_t key;
    gnutls_x509_crt_t certificate;
    gnutls_datum_t text;

    gnutls_x509_privkey_init(&key);
    gnutls_x509_crt_init(&certificate);
    g_assert_cmpint(gnutls_x509_privkey_generate(key, GNUTLS_PK_ECDSA, 256, 0),
                    ==, 0);
    gnutls_x509_crt_set_version(certificate, 3);
    gnutls_x509_crt_set_serial(certificate, &serial, 1);
    gnutls_x509_crt_set_dn(certificate, "CN=entry.example", NULL);
    gnutls_x509_crt_set_activation_time(certificate, time(NULL) - 60);
    gnutls_x509_crt_set_expiration_time(certificate, time(NULL) + YEAR_S);
    gnutls_x509_crt_set_key(certificate, key);
    g_assert_cmpint(gnutls_x509_crt_sign2(certificate, certificate, key,
                                          GNUTLS_DIG_SHA256, 0),
                    ==, 0);
    if (certificate_path != NULL) {
        gnutls_x509_crt_export2(certificate, GNUTLS_X509_FMT_PEM, &text);
        write_text(certificate_path, &text);
        gnutls_free(text.data);
    }
    if (key_path != NULL) {
        gnutls_x509_privkey_export2(key, GNUTLS_X509_FMT_PEM, &text);
        write_text(key_path, &text);
        gnutls_free(text.data);
    }
    gnutls_x509_crt_deinit(certificate);
    gnutls_x509_privkey_deinit(key);
}

static void
connect_client(Client *client, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int code;

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    client->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(
        connect(client->fd, (struct sockaddr *)&address, sizeof(address)), ==,
        0);
    gnutls_certificate_allocate_credentials(&client->credentials);
    gnutls_init(&client->session, GNUTLS_CLIENT);
    gnutls_set_default_priority(client->session);
    gnutls_credentials_set(client->session, GNUTLS_CRD_CERTIFICATE,
                           client->credentials);
    gnutls_transport_set_int(client->session, client->fd);
    gnutls_handshake_set_timeout(client->session, TIMEOUT_MS);
    gnutls_record_set_timeout(client->session, TIMEOUT_MS);
    do {
        code = gnutls_handshake(client->session);
    } while (code < 0 && gnutls_error_is_fatal(code) == 0);
    if (code < 0) {
        g_error("TLS handshake: %s", gnutls_strerror(code));
    }
}

static void
close_client(Client *client)
{
    gnutls_deinit(client->session);
    gnutls_certificate_free_credentials(client->credentials);
    close(client->fd);
}

/* Returns the serial number of the server certificate. */
static int
peer_serial(const Client *client)
{
    unsigned count;
    const gnutls_datum_t *list =
        gnutls_certificate_get_peers(client->session, &count);
    gnutls_x509_crt_t certificate;
    unsigned char serial[20] = {0};
    size_t bytes = sizeof(serial);

    g_assert_cmpuint(count, ==, 1);
    gnutls_x509_crt_init(&certificate);
    gnutls_x509_crt_import(certificate, list, GNUTLS_X509_FMT_DER);
    gnutls_x509_crt_get_serial(certificate, serial, &bytes);
    gnutls_x509_crt_deinit(certificate);
    g_assert_cmpuint(bytes, ==, 1);
    return serial[0];
}

/* Sends a request without a key, which is refused without using the rate, and
 * returns the status. Reads the answer to the end of its body, so that the
 * connection can be used for the next request; only the head is checked. */
static int
request(Client *client)
{
    static const char text[] =
        "GET /permits/1 HTTP/1.1\r\nHost: entry.example\r\n\r\n";
    char answer[4096];
    size_t length = 0;
    const char *body;
    const char *length_header;
    ssize_t received;

    g_assert_cmpint(
        gnutls_record_send(client->session, text, sizeof(text) - 1), ==,
        sizeof(text) - 1);
    for (;;) {
        received = gnutls_record_recv(client->session, answer + length,
                                      sizeof(answer) - 1 - length);
        if (received == GNUTLS_E_AGAIN || received == GNUTLS_E_INTERRUPTED) {
            continue;
        }
        if (received <= 0) {
            g_error("TLS connection ended: %s",
                    gnutls_strerror((int)received));
        }
        length += (size_t)received;
        answer[length] = '\0';
        body = strstr(answer, "\r\n\r\n");
        length_header = strstr(answer, "Content-Length: ");
        if (body != NULL && length_header != NULL &&
            length - (size_t)(body + 4 - answer) >=
                g_ascii_strtoull(length_header + 16, NULL, 10)) {
            return (int)g_ascii_strtoll(answer + 9, NULL, 10);
        }
    }
}

static int
serial_of_new_connection(const Fleet *fleet)
{
    Client client;
    int serial;

    connect_client(&client, fleet->daemons[0]->entry_port);
    serial = peer_serial(&client);
    g_assert_cmpint(request(&client), ==, 401);
    close_client(&client);
    return serial;
}

/* Waits until the log of the daemon contains the text. */
static void
await_log(const FleetProcess *process, const char *text)
{
    ClockMs until = Clock_Now() + AWAIT_MS;
    char *log = NULL;

    for (;;) {
        g_file_get_contents(process->output, &log, NULL, NULL);
        if (log != NULL && strstr(log, text) != NULL) {
            break;
        }
        if (Clock_Now() > until) {
            g_error("no \"%s\" in the log:\n%s", text, log);
        }
        g_clear_pointer(&log, g_free);
        (void)poll(NULL, 0, POLL_MS);
    }
    g_free(log);
}

static gboolean
has_ticket(void *context, json_t *status)
{
    (void)context;
    return Fleet_Number(status, "config.ticket") >= 1;
}

static Fleet *
start_fleet(Files *files)
{
    Fleet *fleet = Fleet_Create();
    char *extra;

    files->folder = g_dir_make_tmp("radishknot-tls-XXXXXX", NULL);
    files->certificate = g_build_filename(files->folder, "cert.pem", NULL);
    files->key = g_build_filename(files->folder, "key.pem", NULL);
    make_certificate(1, files->certificate, files->key);
    extra = g_strdup_printf(
        ",\"tls_certificate_file\":\"%s\",\"tls_key_file\":\"%s\"",
        files->certificate, files->key);
    Fleet_AddDaemon(fleet, &(FleetDaemon_desc){.extra = extra});
    g_free(extra);
    Fleet_ApplyDefault(fleet, 1);
    /* Fleet_AwaitReady() sends plain HTTP requests, which the TLS port
     * refuses. */
    Fleet_Await(fleet, 0, has_ticket, NULL, "the ticket");
    return fleet;
}

static void
end_fleet(Fleet *fleet, Files *files)
{
    Fleet_Destroy(fleet);
    g_unlink(files->certificate);
    g_unlink(files->key);
    g_rmdir(files->folder);
    g_free(files->certificate);
    g_free(files->key);
    g_free(files->folder);
}

/* Guards against a certificate renewal that needs a restart or breaks open
 * connections, and against invalid files that leave the port without a usable
 * certificate. */
static void
test_renew(void)
{
    Files files;
    Fleet *fleet = start_fleet(&files);
    Client open;

    connect_client(&open, fleet->daemons[0]->entry_port);
    g_assert_cmpint(peer_serial(&open), ==, 1);
    g_assert_cmpint(request(&open), ==, 401);

    make_certificate(2, files.certificate, files.key);
    Fleet_Signal(fleet->daemons[0], SIGHUP);
    await_log(fleet->daemons[0], "TLS_CERTIFICATE_RENEWED");
    g_assert_cmpint(serial_of_new_connection(fleet), ==, 2);
    g_assert_cmpint(request(&open), ==, 401);

    /* The new certificate without its key. */
    make_certificate(3, files.certificate, NULL);
    Fleet_Signal(fleet->daemons[0], SIGHUP);
    await_log(fleet->daemons[0], "TLS_CERTIFICATE_REJECTED");
    g_assert_cmpint(serial_of_new_connection(fleet), ==, 2);
    g_assert_cmpint(request(&open), ==, 401);
    close_client(&open);
    end_fleet(fleet, &files);
}

/* Guards against a port that serves plain HTTP although a certificate is
 * configured. */
static void
test_plain_refused(void)
{
    Files files;
    Fleet *fleet = start_fleet(&files);
    FleetReply reply;

    Fleet_Request(fleet, 0, &(FleetRequest){.path = "/permits/1"}, &reply);
    g_assert_cmpint(reply.result, !=, RESULT_OK);
    FleetReply_Clear(&reply);
    end_fleet(fleet, &files);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/tls/renew", test_renew);
    g_test_add_func("/tls/plain-refused", test_plain_refused);
    return g_test_run();
}
