/* Test of `radishknot explain --request` with real daemons. */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/wait.h>

#include "site.h"

/* Second port of those that start at the site's first port. */
#define METRICS_PORT 18007

/* Exit code: result number divided by 10. */
#define EXIT_REQUEST_INVALID 34

#define HOSTS 3
#define OTHER_KEY "some-other-key"

static char *
write_key(const char *key)
{
    char *path = g_build_filename(g_get_tmp_dir(), "explain-key-XXXXXX", NULL);
    int fd = g_mkstemp(path);

    g_assert_cmpint(fd, >=, 0);
    g_assert_true(g_close(fd, NULL));
    g_assert_true(g_file_set_contents(path, key, -1, NULL));
    return path;
}

/* Runs the tool for host 0 with the words and returns all its output. */
static char *
explain(const char *const *words, int *code)
{
    struct sockaddr_in metrics = Site_EntryAddress(0);
    char address[32];
    GPtrArray *arguments = g_ptr_array_new();
    char *output = NULL;
    char *errors = NULL;
    char *all;
    int status;

    metrics.sin_port = htons(METRICS_PORT);
    HttpAddress_Format(&metrics, address, sizeof(address));
    g_ptr_array_add(arguments,
                    (char *)BINARY_DIRECTORY "/src/tool/radishknot");
    g_ptr_array_add(arguments, (char *)"explain");
    g_ptr_array_add(arguments, (char *)"--admin");
    g_ptr_array_add(arguments, address);
    for (; *words != NULL; words++) {
        g_ptr_array_add(arguments, (char *)*words);
    }
    g_ptr_array_add(arguments, NULL);
    g_assert_true(g_spawn_sync(NULL, (char **)arguments->pdata, NULL,
                               G_SPAWN_DEFAULT, NULL, NULL, &output, &errors,
                               &status, NULL));
    *code = WEXITSTATUS(status);
    all = g_strconcat(output, errors, NULL);
    g_ptr_array_unref(arguments);
    g_free(output);
    g_free(errors);
    g_test_message("%s", all);
    return all;
}

#define STRINGS(...) ((const char *const[]){__VA_ARGS__, NULL})

static void
expect(const char *const *words, int code, const char *const *texts)
{
    int exit_code;
    char *output = explain(words, &exit_code);

    g_assert_cmpint(exit_code, ==, code);
    g_assert_null(strstr(output, SITE_KEY));
    g_assert_null(strstr(output, OTHER_KEY));
    for (; *texts != NULL; texts++) {
        g_assert_nonnull(strstr(output, *texts));
    }
    g_free(output);
}

static unsigned
count_runs(Site *site)
{
    unsigned runs = 0;

    for (int i = 0; i < HOSTS; i++) {
        runs += Site_Runs(site, i);
    }
    return runs;
}

/* Files with a key. */
static char *key;
static char *other;
static char *empty;

static const char read_path[] = SITE_HOST_HEADER "/read/1?x=1";
static const char home_path[] = SITE_HOST_HEADER "/home/1";
static const char open_path[] = SITE_HOST_HEADER "/open/1";

static void
expect_all(void)
{
    for (int i = 0; i < 2; i++) {
        expect(STRINGS("--request", read_path, "--key", key), 0,
               STRINGS("/read/1 from host-0, configuration 4",
                       "result    would be sent to host-",
                       "route     read (/read/)", "team      crews", "50/s",
                       "admitted 1 in", "CHOSEN", "same_host",
                       "norte (no limit)"));
    }
    expect(STRINGS("--request", home_path, "--key", key, "--bytes", "2000",
                   "--deadline-ms", "900", "--method", "PUT", "--json"),
           0,
           STRINGS("\"by_route\": true", "\"deadline_ms\": 900",
                   "\"bytes\": 2000", "\"method\": \"PUT\""));
    expect(STRINGS("--request", read_path), 0, STRINGS("KEY_MISSING"));
    expect(STRINGS("--request", read_path, "--key", other), 0,
           STRINGS("KEY_UNKNOWN"));
    expect(STRINGS("--request", SITE_HOST_HEADER), 0,
           STRINGS("ROUTE_UNKNOWN"));
    expect(STRINGS("--request", "/open/1"), EXIT_REQUEST_INVALID,
           STRINGS("status 400: host is missing"));
    expect(STRINGS("--request", open_path, "--bytes", "-1"),
           EXIT_REQUEST_INVALID, STRINGS("status 400: bytes is not"));
    expect(STRINGS("--request", open_path, "--key", empty),
           EXIT_REQUEST_INVALID, STRINGS("does not hold one line"));
    expect(STRINGS("--json"), EXIT_REQUEST_INVALID, STRINGS("usage"));
}

/* Guards against an explanation that is sent, takes from the quota, or shows
 * or logs the key, and against a refusal or a fault that is not named. */
static void
test_request(void)
{
    Site *site = Site_Create();
    char *log;
    unsigned runs;

    Site_Configure(site, 4, "[\"" SITE_KEY "\"]", 50);
    for (int i = 0; i < HOSTS; i++) {
        (void)Site_AddHost(
            site, &(SiteHost_desc){.settings = "\"evacuate_ms\":\"5s\",",
                                   .data_centre = i < 2 ? "n1" : "n2"});
    }
    Site_AwaitReady(site);
    g_usleep(1000000); /* the hosts know of each other */
    g_assert_cmpint(Site_Request(site, 0, "GET", "/read/1", SITE_KEY).status,
                    ==, 200);
    runs = count_runs(site);
    expect_all();
    ObjectServer_Write(Site_Store(site), "evacuations", "n1", json_object());
    g_usleep(2000000);
    expect(STRINGS("--request", open_path), 0,
           STRINGS("would be sent to host-2", "excluded: evacuated"));
    g_assert_cmpuint(count_runs(site), ==, runs);
    log = Site_ReadLog(site, 0);
    g_assert_null(strstr(log, SITE_KEY));
    g_assert_null(strstr(log, OTHER_KEY));
    g_free(log);
    Site_Destroy(site);
}

int
main(int argc, char **argv)
{
    char **const files[] = {&key, &other, &empty};
    static const char *const keys[] = {SITE_KEY "\n", OTHER_KEY, "\n"};
    int status;

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
        *files[i] = write_key(keys[i]);
    }
    g_test_add_func("/explain/request", test_request);
    status = g_test_run();
    for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
        (void)g_remove(*files[i]);
        g_free(*files[i]);
    }
    return status;
}
