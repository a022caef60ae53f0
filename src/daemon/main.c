/* radishknotd: the daemon of one backend server host. */
#include <argp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <urcu.h>

#include "base/log.h"
#include "base/result.h"
#include "daemon/daemon.h"
#include "memory/heap.h"
#include "platform/platform.h"
#include "sidecar/sidecar.h"

const char *argp_program_version = "radishknotd 0.1.0";

#define SUPERSEDED_CHECK_MS 500

typedef struct Options {
    const char *settings;
    gboolean check_only;
} Options;

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    Options *options = state->input;

    switch (key) {
    case 'c':
        options->check_only = TRUE;
        return 0;
    case ARGP_KEY_ARG:
        if (state->arg_num > 0) {
            argp_usage(state);
        }
        options->settings = argument;
        return 0;
    case ARGP_KEY_END:
        if (options->settings == NULL) {
            argp_usage(state);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* Blocks the signals in all threads and returns a descriptor to read them. */
static int
open_signals(void)
{
    sigset_t signals;

    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &signals, SFD_CLOEXEC);
}

/* Returns when the daemon has to stop. */
static void
serve(Daemon *daemon, int signals, const char *path)
{
    struct pollfd poll_fd = {.fd = signals, .events = POLLIN};
    struct signalfd_siginfo info;

    while (!Daemon_IsSuperseded(daemon)) {
        if (poll(&poll_fd, 1, SUPERSEDED_CHECK_MS) <= 0) {
            continue;
        }
        if (read(signals, &info, sizeof(info)) != sizeof(info)) {
            continue;
        }
        if (info.ssi_signo != SIGHUP) {
            return;
        }
        Daemon_Reload(daemon, path);
    }
}

static gboolean
is_on_platform(const Settings *settings)
{
    return strcmp(settings->mode, "platform") == 0;
}

static void
set_up_log(const Settings *settings)
{
    Log_desc log = {.json = settings->log_format[0] == 'j',
                    .stream = is_on_platform(settings) ? stdout : stderr,
                    .host = settings->host};

    Log_LevelFromName(settings->log_level, &log.level);
    Log_Setup(&log);
}

static int
report_start_failure(GError *error)
{
    Log_Event(LOG_START_FAILED, "%s", error->message);
    return Result_ExitCode((Result)error->code);
}

static int
run_sidecar(Settings *settings, int signals, const char *path)
{
    struct signalfd_siginfo info;
    GError *error = NULL;
    Sidecar *sidecar = Sidecar_Create(settings, Platform_Adapter(), &error);

    if (sidecar == NULL) {
        return report_start_failure(error);
    }
    while (read(signals, &info, sizeof(info)) == sizeof(info) &&
           info.ssi_signo == SIGHUP) {
        Sidecar_Reload(sidecar, path);
    }
    Sidecar_Stop(sidecar);
    /* Threads that still wait for the store are not joined: they end with the
     * process. */
    _exit(0);
}

static int
run_daemon(Settings *settings, int signals, const char *path)
{
    GError *error = NULL;
    Daemon *daemon = Daemon_Create(settings, &error);

    if (daemon == NULL) {
        return report_start_failure(error);
    }
    serve(daemon, signals, path);
    Daemon_Stop(daemon);
    Daemon_Destroy(daemon);
    return 0;
}

int
main(int argc, char **argv)
{
    static const struct argp_option argp_options[] = {
        {"check", 'c', NULL, 0, "check the settings and exit", 0}, {0}};
    static const struct argp argp = {
        argp_options,
        parse_option,
        "SETTINGS",
        "Runs the radishknot daemon with the settings in a JSON file.",
        0,
        0,
        0};
    Options options = {0};
    GError *error = NULL;
    Settings *settings;
    int signals;
    int code;

    Heap_Bound();
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    settings = Settings_Load(options.settings, &error);
    if (settings == NULL) {
        fprintf(stderr, "radishknotd: %s\n", error->message);
        return Result_ExitCode((Result)error->code);
    }
    if (options.check_only) {
        Settings_Destroy(settings);
        return 0;
    }
    set_up_log(settings);
    signals = open_signals();
    rcu_register_thread();
    code = is_on_platform(settings)
               ? run_sidecar(settings, signals, options.settings)
               : run_daemon(settings, signals, options.settings);
    rcu_unregister_thread();
    return code;
}
