/* How the server closes connections. */
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "base/counter.h"
#include "base/log.h"
#include "http/http_server_private.h"

void
_HttpClose_Check(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    int unread = 0;
    int unsent = 0;

    if (info != NULL && ioctl(info->connect_fd, FIONREAD, &unread) == 0 &&
        ioctl(info->connect_fd, SIOCOUTQ, &unsent) == 0 && unread > 0 &&
        unsent > 0) {
        Counter_Add(COUNTER_ANSWERS_RESET, 1);
        Log_Event(LOG_ANSWER_RESET, "unread=%d unacknowledged=%d", unread,
                  unsent);
    }
}
