/* Tests of the owner against a backend server whose answers have a status that
 * no answer may have, and a complete body. */
#include "backend/test_script.h"

static const char *const statuses[] = {
    " 000 OK", " 099 OK", " 600 OK", " 999 OK", " 2000 OK", " 20 OK",
    "  200",   " +20 OK", " 0x1 OK", "",        " ",        " OK",
    " 101 OK", " 200x",   " 1e2 OK", " 000"};

/* What comes before the status line; an answer on a kept connection is that to
 * the second request, "r2". */
static const struct {
    const char *name;
    const char *before;
    gboolean kept;
} places[] = {
    {"first", "", FALSE},
    {"second", "", TRUE},
    {"behind an interim answer", "HTTP/1.1 100 Continue\r\n\r\n", FALSE},
    {"second, behind an interim answer", "HTTP/1.1 103 Hints\r\n\r\n", TRUE},
    {"behind the answer of another request",
     "HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
     "\r\n",
     TRUE},
    {"in a cut refusal", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1", TRUE},
    {"in a cut refusal without a value",
     "HTTP/1.1 503 Busy\r\nX-Not-Run: ", TRUE},
    {"in a cut name", "HTTP/1.1 503 Busy\r\nX-Not", TRUE},
    {"in a cut status line", "HTTP/1.1 503 Bu", TRUE},
};

static void
check(size_t place, const char *status, gboolean idempotent,
      gboolean is_signed)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK}};
    const char *id = places[place].kept ? "r2" : "r1";
    char *text = g_strdup_printf(
        "%sHTTP/1.1%s\r\nX-Id: %s\r\n%sContent-Length: 2\r\n\r\nok",
        places[place].before, status, id,
        is_signed ? "X-Signature: s\r\n" : "");
    BackendCall call;
    BackendReply reply;

    open_fixture(&fixture);
    if (places[place].kept) {
        call = make_call();
        Backend_Run(fixture.backend, &call, &reply);
        g_assert_cmpint(reply.result, ==, RESULT_OK);
        HttpAnswer_Clear(&reply.answer);
    }
    atomic_store(&fixture.script.answer, text);
    call = make_call();
    call.request_id = id;
    call.idempotent = idempotent;
    Backend_Run(fixture.backend, &call, &reply);
    g_test_message("%s, \"%s\", %d %d: %s run=%s status=%d",
                   places[place].name, status, idempotent, is_signed,
                   Result_Name(reply.result), Result_RunName(reply.run),
                   reply.answer.status);
    g_assert_cmpint(reply.result, ==, RESULT_ANSWER_LOST);
    g_assert_cmpint(reply.run, ==, RUN_UNKNOWN);
    g_assert_cmpint(reply.answer.status, ==, 0);
    g_assert_cmpint(fixture.script.connection_count, ==, 1);
    close_fixture(&fixture);
    g_free(text);
}

/* Behind a separator, a version without a number may be text of a header. */
static gboolean
is_text(size_t place, const char *status)
{
    return g_str_has_suffix(places[place].before, " ") &&
           (status[0] == '\0' || strcmp(status, " OK") == 0);
}

/* Guards against an answer without a valid status that is passed on, and
 * against one that is taken for the rest of a refusal: the request it answers
 * has run. */
static void
test_odd_status(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        for (size_t place = 0; place < G_N_ELEMENTS(places); place++) {
            for (int variant = 0; variant < 4 && !is_text(place, statuses[i]);
                 variant++) {
                check(place, statuses[i], variant & 1, variant & 2);
            }
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/odd-status/answers", test_odd_status);
    return g_test_run();
}
