/* Tests of the headers that daemons exchange. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "gateway/peer_wire.h"

/* Guards against limits or names that are lost between encoder and decoder. */
static void
test_call(void)
{
    BackendCall call = {.service = "permits",
                        .caller = "desk",
                        .team = "crews",
                        .deadline = 5000,
                        .idempotent = TRUE,
                        .priority = -1,
                        .max_risk = 0.25,
                        .max_wait_ms = 300};
    BackendCall decoded = {0};
    HttpHeaders headers = {0};

    PeerWire_EncodeCall(&call, 2000, &headers);
    g_assert_true(PeerWire_DecodeCall(&headers, 7000, &decoded));
    g_assert_cmpint(decoded.deadline, ==, 10000);
    g_assert_true(decoded.idempotent);
    g_assert_cmpint(decoded.priority, ==, -1);
    g_assert_cmpfloat_with_epsilon(decoded.max_risk, 0.25, 0.001);
    g_assert_cmpint(decoded.max_wait_ms, ==, 300);
    g_assert_cmpstr(decoded.service, ==, "permits");
    g_assert_cmpstr(decoded.caller, ==, "desk");
    g_assert_cmpstr(decoded.team, ==, "crews");
    HttpHeaders_Clear(&headers);
}

/* Guards against an exploration or a target that gets lost on the way, and
 * against a target beyond the deadline. */
static void
test_times(void)
{
    static const struct {
        ClockMs target_ms;
        ClockMs expected_ms;
    } cases[] = {{800, 800}, {-50, 0}, {9000, 3000}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        BackendCall call = {.service = "permits",
                            .caller = "desk",
                            .deadline = 5000,
                            .target_time = 2000 + cases[i].target_ms,
                            .explore_idle_ms = 1000};
        BackendCall decoded = {0};
        HttpHeaders headers = {0};

        PeerWire_EncodeCall(&call, 2000, &headers);
        g_assert_true(PeerWire_DecodeCall(&headers, 7000, &decoded));
        g_assert_cmpint(decoded.target_time, ==, 7000 + cases[i].expected_ms);
        g_assert_cmpint(decoded.explore_idle_ms, ==, 1000);
        HttpHeaders_Clear(&headers);
    }
}

/* Guards against a call that the owner takes for malformed, and its host for
 * unreachable, because the deadline has just passed or is far away. */
static void
test_deadlines(void)
{
    static const struct {
        ClockMs left_ms;
        ClockMs expected_ms;
    } cases[] = {{-20, 0},
                 {0, 0},
                 {600000, 600000},
                 {600001, 600000},
                 {G_MAXINT32, 600000}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        BackendCall call = {.service = "permits",
                            .caller = "desk",
                            .deadline = 5000 + cases[i].left_ms,
                            .target_time = 5000 + cases[i].left_ms};
        BackendCall decoded = {0};
        HttpHeaders headers = {0};

        PeerWire_EncodeCall(&call, 5000, &headers);
        g_assert_true(PeerWire_DecodeCall(&headers, 7000, &decoded));
        g_assert_cmpint(decoded.deadline, ==, 7000 + cases[i].expected_ms);
        HttpHeaders_Clear(&headers);
    }
}

/* Guards against a retry that arrives at the owner as a first attempt, and a
 * call that arrives without its parent's priority. */
static void
test_retry(void)
{
    for (int retry = 0; retry < RETRY_KINDS; retry++) {
        BackendCall call = {.service = "permits",
                            .caller = "desk",
                            .priority = -1 - retry,
                            .retry = retry};
        BackendCall decoded = {0};
        HttpHeaders headers = {0};

        PeerWire_EncodeCall(&call, 0, &headers);
        g_assert_true(PeerWire_DecodeCall(&headers, 0, &decoded));
        g_assert_cmpint(decoded.retry, ==, retry);
        g_assert_cmpint(decoded.priority, ==, call.priority);
        HttpHeaders_Clear(&headers);
    }
}

/* Guards against a refusal for the sake of a request's calls after which other
 * owners are asked, and against a time that is malformed. */
static void
test_return(void)
{
    static const struct {
        const char *header; /* NULL: none */
        ClockMs decoded;
    } cases[] = {
        {NULL, 0}, {"1000", 1000}, {"-5", 0}, {"99999999", 600000}, {"x", 0}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        BackendReply reply = {.return_ms = 7};
        HttpHeaders headers = {0};

        HttpHeaders_Add(&headers, "Radishknot-Reply",
                        "0 1 1 0.1 4 1 0 300 0 0");
        if (cases[i].header != NULL) {
            HttpHeaders_Add(&headers, "Radishknot-Return", cases[i].header);
        }
        g_assert_true(PeerWire_DecodeReply(&headers, &reply));
        g_assert_cmpint(reply.return_ms, ==, cases[i].decoded);
        HttpHeaders_Clear(&headers);
        PeerWire_EncodeReply(&reply, &headers);
        g_assert_true(PeerWire_DecodeReply(&headers, &reply));
        g_assert_cmpint(reply.return_ms, ==, cases[i].decoded);
        HttpHeaders_Clear(&headers);
    }
}

/* Guards against an owner that takes the moment at which a stopping host
 * abandons a request for the request's own deadline. */
static void
test_stop(void)
{
    for (int ends_by_stop = 0; ends_by_stop < 2; ends_by_stop++) {
        BackendCall call = {.service = "permits",
                            .caller = "desk",
                            .ends_by_stop = ends_by_stop};
        BackendCall decoded = {.ends_by_stop = !ends_by_stop};
        HttpHeaders headers = {0};

        PeerWire_EncodeCall(&call, 0, &headers);
        g_assert_true(PeerWire_DecodeCall(&headers, 0, &decoded));
        g_assert_cmpint(decoded.ends_by_stop, ==, ends_by_stop);
        HttpHeaders_Clear(&headers);
    }
}

/* Guards against an attempt that arrives under another id or under none: its
 * owner would say that it has not arrived. */
static void
test_attempt(void)
{
    static const struct {
        uint64_t id;
        double max_risk;
        gboolean ends_by_stop;
        ClockMs allowance_ms;
        ClockMs decoded_ms;
    } cases[] = {{0, 1, FALSE, 2500, 0},
                 {0, 1, TRUE, 2500, 2500},
                 {1, 0.25, FALSE, 2500, 2500},
                 {0xfedcba9876543210, 1, TRUE, 0, 0},
                 {UINT64_MAX, 1e300, FALSE, G_MAXINT64, 600000},
                 {7, HUGE_VAL, FALSE, -1, 0}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        BackendCall call = {.service = "permits",
                            .caller = "desk",
                            .deadline = G_MAXINT64,
                            .priority = G_MININT32,
                            .max_risk = cases[i].max_risk,
                            .max_wait_ms = G_MAXINT64,
                            .explore_idle_ms = 600000,
                            .attempt_id = cases[i].id,
                            .ends_by_stop = cases[i].ends_by_stop,
                            .run_allowance_ms = cases[i].allowance_ms};
        BackendCall decoded = {.attempt_id = 9, .run_allowance_ms = 9};
        HttpHeaders headers = {0};

        PeerWire_EncodeCall(&call, 0, &headers);
        g_assert_true(PeerWire_DecodeCall(&headers, 0, &decoded));
        g_assert_cmpuint(decoded.attempt_id, ==, cases[i].id);
        g_assert_cmpint(decoded.run_allowance_ms, ==, cases[i].decoded_ms);
        HttpHeaders_Clear(&headers);
    }
}

/* Guards against refusing calls and replies of daemons of an earlier version
 * while a fleet is upgraded. */
static void
test_earlier_version(void)
{
    HttpHeaders headers = {0};
    BackendCall call = {
        .explore_idle_ms = 7, .ends_by_stop = TRUE, .attempt_id = 9};
    BackendReply reply = {.catalog_version = 9};

    HttpHeaders_Add(&headers, "Radishknot-Call", "5000 i 0 0.1 5 0");
    HttpHeaders_Add(&headers, "Radishknot-Caller", "desk");
    HttpHeaders_Add(&headers, "Radishknot-Service", "permits");
    g_assert_true(PeerWire_DecodeCall(&headers, 0, &call));
    g_assert_cmpint(call.explore_idle_ms, ==, 0);
    g_assert_cmpuint(call.attempt_id, ==, 0);
    g_assert_false(call.ends_by_stop);
    HttpHeaders_Add(&headers, "Radishknot-Reply", "0 1 1 0.1 4 1 0 300 0 0");
    g_assert_true(PeerWire_DecodeReply(&headers, &reply));
    g_assert_cmpint(reply.owner_ms, ==, -1);
    g_assert_cmpuint(reply.catalog_version, ==, 0);
    g_assert_cmpint(reply.report.cold_wait_ms, ==, 0);
    HttpHeaders_Clear(&headers);
}

/* Guards against a malformed call that is accepted. */
static void
test_malformed_calls(void)
{
    static const char *const lines[] = {"",
                                        "5000",
                                        "x i 0 0.1 5 0",
                                        "5000 z 0 0.1 5 0",
                                        "-1 i 0 1 5 0",
                                        "5000 i 0 0.1 -1 0",
                                        "5000 i 0 0.1 5",
                                        "5000 i 0 0.1 5 0 -1",
                                        "5000 o 0 0.1 5 0 0 5 0 9 -1",
                                        "9999999 i 0 1 5 0"};

    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        HttpHeaders headers = {0};
        BackendCall call = {0};

        HttpHeaders_Add(&headers, "Radishknot-Call", lines[i]);
        HttpHeaders_Add(&headers, "Radishknot-Caller", "desk");
        HttpHeaders_Add(&headers, "Radishknot-Service", "permits");
        g_assert_false(PeerWire_DecodeCall(&headers, 0, &call));
        HttpHeaders_Clear(&headers);
    }
}

/* Guards against a result or load that is lost between encoder and decoder. */
static void
test_reply(void)
{
    BackendReply reply = {.result = RESULT_BACKEND_SERVER_SHED,
                          .run = RUN_NO,
                          .arrived = TRUE,
                          .queue_ms = 40,
                          .server_ms = 200,
                          .catalog_version = UINT64_MAX,
                          .report = {.risk = 0.5,
                                     .slots = 5,
                                     .in_flight = 4,
                                     .waiting = 3,
                                     .service_ms = 250,
                                     .idle_ms = 20,
                                     .leaving = TRUE,
                                     .stop_ms = 3100,
                                     .cold_wait_ms = 101}};
    BackendReply decoded = {0};
    HttpHeaders headers = {0};

    PeerWire_EncodeReply(&reply, &headers);
    g_assert_true(PeerWire_DecodeReply(&headers, &decoded));
    g_assert_cmpint(decoded.result, ==, reply.result);
    g_assert_cmpint(decoded.run, ==, RUN_NO);
    g_assert_true(decoded.arrived);
    g_assert_cmpmem(&decoded.report, sizeof(decoded.report), &reply.report,
                    sizeof(reply.report));
    g_assert_cmpint(decoded.owner_ms, ==, 240);
    g_assert_cmpuint(decoded.catalog_version, ==, UINT64_MAX);
    HttpHeaders_Clear(&headers);
}

/* Guards against another program's answer that is accepted as a daemon's,
 * against counting a request that it refused as one that may have run, and
 * against "not run" for one that a backend server at the address has run. */
static void
test_other_program(void)
{
    static const struct {
        int status; /* 0: no answer was read */
        RunState run;
    } cases[] = {{0, RUN_NO},        {400, RUN_NO},      {404, RUN_NO},
                 {421, RUN_NO},      {429, RUN_NO},      {503, RUN_NO},
                 {200, RUN_UNKNOWN}, {302, RUN_UNKNOWN}, {500, RUN_UNKNOWN},
                 {504, RUN_UNKNOWN}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        HttpHeaders headers = {0};
        BackendReply decoded = {.answer.status = cases[i].status};

        g_test_message("status %d", cases[i].status);
        g_assert_false(PeerWire_DecodeReply(&headers, &decoded));
        g_assert_cmpint(decoded.result, ==,
                        cases[i].run == RUN_NO ? RESULT_CONNECT_FAILED
                                               : RESULT_ANSWER_MISMATCH);
        g_assert_cmpint(decoded.run, ==, cases[i].run);
        g_assert_cmpint(decoded.arrived, ==, cases[i].run != RUN_NO);
    }
}

/* Guards against numbers that make the choice leave a backend server out for
 * good, and against "not run" for a request that a daemon of another version
 * has run. */
static void
test_malformed_replies(void)
{
    static const char *const malformed[] = {
        "",
        "0 1",
        "0 9 1 0 1 1 1 1 1 0",
        "99999 1 1 0 1 1 1 1 1 0",
        "0 1 1 nan 4 1 0 300 0 0",
        "0 1 1 inf 4 1 0 300 0 0",
        "0 1 1 -1 4 1 0 300 0 0",
        "0 1 1 0.1 4 1 0 -300 0 0",
        "0 1 1 0.1 4 1 0 300 -5 0",
        "0 1 1 0.1 4 1 0 300 0 0 9 nan 0",
        "0 1 1 0.1 4 1 0 300 0 0 9 1 inf",
        "0 1 1 0.1 4 1 0 300 0 0 9 -1 0",
        "0 1 1 0.1 4 1 0 300 0 0 9 1 0 -1",
        "0 1 1 0.1 4 1 0 300 0 0 9 1 0 0 -1",
        "0 1 1 0.1 4 1 0 300 0 0 9 1 0 0 600001"};
    static const RosterReport empty = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        HttpHeaders headers = {0};
        BackendReply decoded = {0};

        HttpHeaders_Add(&headers, "Radishknot-Reply", malformed[i]);
        g_assert_false(PeerWire_DecodeReply(&headers, &decoded));
        g_assert_cmpint(decoded.result, ==, RESULT_ANSWER_MISMATCH);
        g_assert_cmpint(decoded.run, ==, RUN_UNKNOWN);
        g_assert_true(decoded.arrived);
        g_assert_cmpmem(&decoded.report, sizeof(decoded.report), &empty,
                        sizeof(empty));
        HttpHeaders_Clear(&headers);
    }
}

/* Guards against an answer that is thrown away because its report has a time
 * that is negative, since the owner read the clock before another run began,
 * or one that is long, since the grace period is. */
static void
test_report_times(void)
{
    static const ClockMs idle_ms[] = {-700000, -1, 0, 1, 700000};

    for (size_t i = 0; i < G_N_ELEMENTS(idle_ms); i++) {
        BackendReply reply = {.result = RESULT_OK,
                              .run = RUN_YES,
                              .report = {.slots = 5,
                                         .idle_ms = idle_ms[i],
                                         .stop_ms = G_MAXINT64}};
        BackendReply decoded = {0};
        HttpHeaders headers = {0};

        PeerWire_EncodeReply(&reply, &headers);
        g_assert_true(PeerWire_DecodeReply(&headers, &decoded));
        g_assert_cmpint(decoded.result, ==, RESULT_OK);
        g_assert_cmpint(decoded.report.idle_ms, ==, MAX(idle_ms[i], 0));
        g_assert_cmpint(decoded.report.stop_ms, ==, 600000);
        HttpHeaders_Clear(&headers);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peer-wire/deadlines", test_deadlines);
    g_test_add_func("/peer-wire/call", test_call);
    g_test_add_func("/peer-wire/stop", test_stop);
    g_test_add_func("/peer-wire/times", test_times);
    g_test_add_func("/peer-wire/repeat", test_retry);
    g_test_add_func("/peer-wire/return", test_return);
    g_test_add_func("/peer-wire/attempt", test_attempt);
    g_test_add_func("/peer-wire/earlier-version", test_earlier_version);
    g_test_add_func("/peer-wire/malformed-calls", test_malformed_calls);
    g_test_add_func("/peer-wire/reply", test_reply);
    g_test_add_func("/peer-wire/other-program", test_other_program);
    g_test_add_func("/peer-wire/malformed-replies", test_malformed_replies);
    g_test_add_func("/peer-wire/report-times", test_report_times);
    return g_test_run();
}
