/* An address for the servers of a test that counts connections or requests.
 *
 * A port of 127.0.0.1 that was just bound may have belonged to a process of
 * another test, whose clients still try to connect to it. Each test process
 * therefore has an address of its own in 127.64.0.0/10, which has room for
 * every process id of Linux.
 */
#ifndef HTTP_TEST_ADDRESS_H
#define HTTP_TEST_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>
#include <unistd.h>

#define TEST_NETWORK 0x7f400000u /* 127.64.0.0 */
#define TEST_HOST_MASK 0x003fffffu

/* The kernel chooses the port. */
static inline struct sockaddr_in
own_address(void)
{
    guint32 host = (guint32)getpid() & TEST_HOST_MASK;

    return (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_addr.s_addr = htonl(TEST_NETWORK | host)};
}

#endif
