#include "rpc/server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <tirpc/rpc/svc_dg.h>
#include <unistd.h>
#include <urcu.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/result.h"

/* Exceeds the size of any message with its ONC RPC header. */
#define MAX_DATAGRAM_BYTES 8192

struct RpcServer {
    RpcServer_desc desc;
    int socket;
    int stop_event;
    uint16_t port;
    SVCXPRT *transport;
    pthread_t thread;
    gboolean is_running;
};

/* The server that owns this thread; libtirpc passes no context to its dispatch
 * function. */
static __thread RpcServer *current_server;

static void
dispatch(struct svc_req *request, SVCXPRT *transport)
{
    const struct netbuf *caller = svc_getrpccaller(transport);
    RpcServer *server = current_server;
    RpcSealed message = {.header = {0}};
    struct sockaddr_in from;
    RpcReplyAddress reply_to;

    if (server == NULL || request->rq_proc != RPC_CALL ||
        caller->len < sizeof(from)) {
        Counter_Add(COUNTER_RPC_REFUSED, 1);
        return;
    }
    if (!svc_getargs(transport, (xdrproc_t)xdr_RpcSealed, &message)) {
        Counter_Add(COUNTER_RPC_REFUSED, 1);
        xdr_free((xdrproc_t)xdr_RpcSealed, &message);
        return;
    }
    memcpy(&from, caller->buf, sizeof(from));
    reply_to = (RpcReplyAddress){.xid = *__rpcb_get_dg_xidp(transport),
                                 .ip = ntohl(from.sin_addr.s_addr),
                                 .port = ntohs(from.sin_port)};
    server->desc.receive(server->desc.context, &message, &reply_to);
    xdr_free((xdrproc_t)xdr_RpcSealed, &message);
}

static gboolean
bind_socket(RpcServer *server, GError **error)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(server->desc.port)};
    socklen_t length = sizeof(address);

    if (inet_pton(AF_INET, server->desc.address, &address.sin_addr) != 1) {
        return Result_SetError(error, RESULT_SETTINGS_INVALID,
                               "%s is not a numeric IPv4 address",
                               server->desc.address);
    }
    server->socket =
        socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (server->socket < 0 ||
        bind(server->socket, (struct sockaddr *)&address, sizeof(address)) !=
            0 ||
        getsockname(server->socket, (struct sockaddr *)&address, &length) !=
            0) {
        return Result_SetError(error, RESULT_IO, "cannot bind UDP %s:%u: %s",
                               server->desc.address, server->desc.port,
                               strerror(errno));
    }
    server->port = ntohs(address.sin_port);
    return TRUE;
}

RpcServer *
RpcServer_Create(const RpcServer_desc *desc, GError **error)
{
    RpcServer *server = g_new0(RpcServer, 1);

    server->desc = *desc;
    server->socket = -1;
    server->stop_event = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (server->stop_event < 0 || !bind_socket(server, error)) {
        RpcServer_Destroy(server);
        return NULL;
    }
    server->transport =
        svc_dg_create(server->socket, MAX_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES);
    if (server->transport == NULL || !svc_reg(server->transport, RPC_PROGRAM,
                                              RPC_VERSION, dispatch, NULL)) {
        Result_SetError(error, RESULT_IO,
                        "cannot register the RPC program on UDP port %u",
                        server->port);
        RpcServer_Destroy(server);
        return NULL;
    }
    return server;
}

uint16_t
RpcServer_GetPort(const RpcServer *server)
{
    return server->port;
}

static void *
run(void *context)
{
    RpcServer *server = context;
    struct pollfd fds[] = {{.fd = server->socket, .events = POLLIN},
                           {.fd = server->stop_event, .events = POLLIN}};

    rcu_register_thread();
    current_server = server;
    while (fds[1].revents == 0) {
        if (poll(fds, G_N_ELEMENTS(fds), -1) > 0 && fds[0].revents != 0) {
            svc_getreq_common(server->socket);
        }
    }
    current_server = NULL;
    rcu_unregister_thread();
    return NULL;
}

gboolean
RpcServer_Start(RpcServer *server, GError **error)
{
    int status = pthread_create(&server->thread, NULL, run, server);

    if (status != 0) {
        return Result_SetError(error, RESULT_IO, "cannot start a thread: %s",
                               strerror(status));
    }
    server->is_running = TRUE;
    return TRUE;
}

void
RpcServer_Stop(RpcServer *server)
{
    uint64_t one = 1;

    if (server->is_running) {
        if (write(server->stop_event, &one, sizeof(one)) != sizeof(one)) {
            g_error("cannot write an eventfd: %s", strerror(errno));
        }
        pthread_join(server->thread, NULL);
        server->is_running = FALSE;
    }
}

void
RpcServer_Destroy(RpcServer *server)
{
    if (server == NULL) {
        return;
    }
    RpcServer_Stop(server);
    if (server->transport != NULL) {
        svc_destroy(server->transport); /* closes the socket */
    }
    else if (server->socket >= 0) {
        close(server->socket);
    }
    if (server->stop_event >= 0) {
        close(server->stop_event);
    }
    g_free(server);
}

void
RpcServer_Send(RpcServer *server, const RpcReplyAddress *reply_to,
               const RpcSealed *reply)
{
    char datagram[MAX_DATAGRAM_BYTES];
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(reply_to->port),
                             .sin_addr.s_addr = htonl(reply_to->ip)};
    struct rpc_msg message = {.rm_xid = reply_to->xid, .rm_direction = REPLY};
    struct accepted_reply *accepted = &message.rm_reply.rp_acpt;
    ssize_t sent;
    XDR xdr;

    message.rm_reply.rp_stat = MSG_ACCEPTED;
    accepted->ar_verf = _null_auth;
    accepted->ar_stat = SUCCESS;
    accepted->ar_results.where = (caddr_t)reply;
    accepted->ar_results.proc = (xdrproc_t)xdr_RpcSealed;
    xdrmem_create(&xdr, datagram, sizeof(datagram), XDR_ENCODE);
    if (xdr_replymsg(&xdr, &message)) {
        /* Errors are ignored: the caller retransmits when a reply is lost. */
        sent = sendto(server->socket, datagram, xdr_getpos(&xdr), 0,
                      (struct sockaddr *)&to, sizeof(to));
        if (sent > 0) {
            Counter_Add(COUNTER_RPC_SENT, 1);
            Counter_Add(COUNTER_RPC_BYTES_SENT, (uint64_t)sent);
        }
    }
    xdr_destroy(&xdr);
}
