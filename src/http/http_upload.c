/* Bodies of requests while they are being read. */
#include <arpa/inet.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "base/log.h"
#include "http/http_server_private.h"

/* A caller that states to wait longer is left to the idle timeout. */
#define MAX_READ_MS 86400000

/* Makes room for more bytes of the body. The first ones get small blocks. Then
 * the rest of the announced length is taken at once, so that a caller who only
 * announces a large body holds little. */
static Result
reserve_body(HttpRequest *request, size_t count)
{
    size_t max = request->server->desc.max_body_bytes;
    size_t length = request->body.length + count;

    if (MAX(length, request->announced) > max) {
        return RESULT_REQUEST_TOO_LARGE;
    }
    if (length > MEMORY_SMALL_BODY_BYTES && length < request->announced &&
        !MemoryBuffer_Reserve(&request->body, request->announced)) {
        return RESULT_OVERLOADED;
    }
    return RESULT_OK;
}

static void
note_refused_upload(const HttpRequest *request)
{
    const MemoryLease *lease = &request->body.lease;
    struct in_addr address = {.s_addr = htonl((uint32_t)lease->sender)};
    char sender[INET_ADDRSTRLEN] = "";

    (void)inet_ntop(AF_INET, &address, sender, sizeof(sender));
    Counter_Add(COUNTER_UPLOADS_WITHOUT_MEMORY, 1);
    Log_Event(LOG_UPLOAD_REFUSED, "sender=%s announced=%zu used=%zu limit=%zu",
              sender, request->announced, Memory_Used(lease->memory),
              Memory_Limit(lease->memory));
}

void
_HttpUpload_Append(HttpRequest *request, const char *bytes, size_t count)
{
    size_t max = request->announced ? request->announced
                                    : request->server->desc.max_body_bytes;

    if (request->refusal != RESULT_OK) {
        return;
    }
    request->refusal = reserve_body(request, count);
    if (request->refusal == RESULT_OK &&
        !MemoryBuffer_Append(&request->body, bytes, count, max)) {
        request->refusal = RESULT_OVERLOADED;
    }
    if (request->refusal != RESULT_OK) {
        MemoryBuffer_Clear(&request->body);
    }
    if (request->refusal == RESULT_OVERLOADED) {
        note_refused_upload(request);
    }
}

void
_HttpUpload_Begin(HttpRequest *request)
{
    HttpServer *server = request->server;
    const char *name = server->desc.time_left_header;
    const char *left = name ? MHD_lookup_connection_value(
                                  request->connection, MHD_HEADER_KIND, name)
                            : NULL;
    gint64 left_ms = left ? g_ascii_strtoll(left, NULL, 10) : 0;

    if (left_ms > 0 && left_ms < MAX_READ_MS) {
        pthread_mutex_lock(&server->lock);
        request->read_until = request->arrived + left_ms;
        g_ptr_array_add(server->uploads, request);
        server->deadlines++;
        pthread_mutex_unlock(&server->lock);
        _HttpServer_WakeWatcher(server);
    }
}

void
_HttpUpload_End(HttpRequest *request)
{
    HttpServer *server = request->server;

    if (g_ptr_array_remove_fast(server->uploads, request)) {
        server->deadlines--;
    }
}

void
_HttpUpload_Watch(HttpServer *server, ClockMs now)
{
    const union MHD_ConnectionInfo *info;

    for (unsigned i = server->uploads->len; i > 0; i--) {
        HttpRequest *request = g_ptr_array_index(server->uploads, i - 1);

        if (now >= request->read_until) {
            info = MHD_get_connection_info(request->connection,
                                           MHD_CONNECTION_INFO_CONNECTION_FD);
            if (info != NULL &&
                _HttpReceipt_IsAwaited(&request->last_answer, info->connect_fd,
                                       now)) {
                continue;
            }
            if (info != NULL) {
                shutdown(info->connect_fd, SHUT_RDWR);
            }
            _HttpUpload_End(request);
        }
    }
}
