/* Waits for the entries of backend servers that the hosts of a site read. */
#include <string.h>

#include "site.h"

/* Returns whether the host has read the entry of the other one, by its log. */
static gboolean
has_read_entry(Site *site, int host, int other)
{
    char *entry = g_strdup_printf("host=host-%d instance=", other);
    char *log = Site_ReadLog(site, host);
    gboolean found = strstr(log, entry) != NULL;

    g_free(entry);
    g_free(log);
    return found;
}

void
Site_AwaitEntries(Site *site, int hosts, ClockMs end)
{
    for (int i = 0; i < hosts * hosts; i++) {
        int host = i / hosts;
        int other = i % hosts;

        while (host != other && !has_read_entry(site, host, other) &&
               Clock_Now() < end) {
            g_usleep(20000);
        }
    }
}
