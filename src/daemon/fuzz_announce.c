/* Fuzz target for the announcement decoder.
 *
 * Guards against bodies that crash the decoder, and against announcements that
 * are accepted with values outside their limits.
 */
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon_internal.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static gboolean
is_name(const char name[OWNER_NAME_BYTES])
{
    return name[0] != '\0' && memchr(name, '\0', OWNER_NAME_BYTES) != NULL;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    OwnerAnnouncement announcement;

    if (_Daemon_ReadAnnouncement((const char *)data, size, &announcement) &&
        (!is_name(announcement.name) || !is_name(announcement.service) ||
         !is_name(announcement.pool) || !is_name(announcement.session) ||
         announcement.slots < 1 || announcement.slots > 1000 ||
         announcement.state > OWNER_SERVER_LEAVING ||
         announcement.address.sin_family != AF_INET ||
         announcement.address.sin_port == 0)) {
        abort();
    }
    return 0;
}
