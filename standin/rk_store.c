/* rk-store: stand-in for the platform's store as a process.
 *
 *     rk-store [--port=PORT]
 *
 * Prints "listening <port>" once it listens and exits on SIGTERM or SIGINT.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "store_standin.h"

static const struct argp_option options[] = {
    {"port", 'p', "PORT", 0, "TCP port on 127.0.0.1 (0 = kernel's choice)", 0},
    {0},
};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    int *port = state->input;
    char *end;
    long value;

    if (key != 'p') {
        return ARGP_ERR_UNKNOWN;
    }
    value = strtol(argument, &end, 10);
    if (*end != '\0' || end == argument || value < 0 || value > 65535) {
        argp_error(state, "PORT must be a number from 0 to 65535");
    }
    *port = (int)value;
    return 0;
}

int
main(int argc, char **argv)
{
    const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .doc = "In-memory stand-in for the platform's store.",
    };
    StoreStandin *standin;
    sigset_t signals;
    int port = 0;
    int received;

    if (argp_parse(&argp, argc, argv, 0, NULL, &port) != 0) {
        return 1;
    }
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    standin = StoreStandin_Create();
    port = StoreStandin_Listen(standin, port);
    if (port == 0) {
        fprintf(stderr, "rk-store: cannot listen on this port\n");
        StoreStandin_Destroy(standin);
        return 1;
    }
    printf("listening %d\n", port);
    fflush(stdout);
    sigwait(&signals, &received);
    StoreStandin_Destroy(standin);
    return 0;
}
