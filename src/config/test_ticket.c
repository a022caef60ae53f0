/* Tests of tickets: form, differences, references, writing to the store. */
#include <pthread.h>
#include <urcu.h>

#include "config/test_support.h"
#include "store_standin.h"

#define HEAD                                                              \
    "'ticket':1,'id':'0b0f4d3e-8a54-4a6c-9d0f-5c8f3f1c2a11','who':'ana'," \
    "'when':'2026-01-31T12:00:00Z','why':'x'"
#define KEY \
    "'00000000000000000000000000000000000000000000000000000000000000aa'"
#define TEAM "{'rate_per_s':1,'burst':2,'keys':[]}"
#define ROUTE \
    "'service':'s','teams':[],'issuance':false,'deadline_ms':1,'retries':0"

typedef struct FormCase {
    const char *name;
    const char *text;  /* single quotes stand for double quotes */
    const char *paths; /* JSON paths of the expected problems, each
                          followed by a newline */
} FormCase;

static const FormCase form_cases[] = {
    {"valid", "{" HEAD ",'sets':{'teams':{'a':" TEAM "}}}", ""},
    {"not-json", "{" HEAD ",'sets':", "$\n"},
    {"empty", "", "$\n"},
    {"list", "[]", "$\n"},
    {"deep", "[[[[[[[[[[[[[[[[[[[[[[", "$\n"},
    {"duplicate-field", "{'ticket':1,'ticket':2}", "$\n"},
    {"trailing", "{" HEAD ",'sets':{'teams':{'a':null}}} x", "$\n"},
    {"missing-all", "{}", "$.ticket\n$.who\n$.when\n$.why\n$.sets\n$.id\n"},
    {"no-id",
     "{'ticket':1,'who':'a','when':'2026-01-31T12:00:00Z','why':'x',"
     "'sets':{'teams':{'a':null}}}",
     "$.id\n"},
    {"wrong-types",
     "{'ticket':'1','id':7,'who':1,'when':'soon','why':'','sets':[]}",
     "$.ticket\n$.id\n$.who\n$.when\n$.why\n$.sets\n"},
    {"number-zero",
     "{'ticket':0,'id':'0b0f4d3e-8a54-4a6c-9d0f-5c8f3f1c2a11','who':'a',"
     "'when':'2026-01-31T12:00:00Z','why':'x','sets':{'teams':{'a':null}}}",
     "$.ticket\n"},
    {"no-change", "{" HEAD ",'sets':{}}", "$.sets\n"},
    {"unknown-fields",
     "{" HEAD ",'note':1,'sets':{'groups':{},'teams':{'a':{'rate_per_s':1,"
     "'burst':2,'keys':[],'rate':3}}}}",
     "$.note\n$.sets.groups\n$.sets.teams[\"a\"].rate\n"},
    {"unknown-setting", "{" HEAD ",'sets':{'fleet':{'speed':1}}}",
     "$.sets.fleet.speed\n"},
    {"setting-range", "{" HEAD ",'sets':{'fleet':{'rate_slots':2}}}",
     "$.sets.fleet.rate_slots\n"},
    {"partial-team", "{" HEAD ",'sets':{'teams':{'a':{'burst':1}}}}",
     "$.sets.teams[\"a\"].rate_per_s\n$.sets.teams[\"a\"].keys\n"},
    {"amounts",
     "{" HEAD ",'sets':{'teams':{'a':{'rate_per_s':-1,'burst':0.0001,"
     "'keys':[]},'b':{'rate_per_s':4000001,'burst':1e300,'keys':[]}}}}",
     "$.sets.teams[\"a\"].rate_per_s\n$.sets.teams[\"a\"].burst\n"
     "$.sets.teams[\"b\"].rate_per_s\n$.sets.teams[\"b\"].burst\n"},
    {"key-form",
     "{" HEAD ",'sets':{'teams':{'a':{'rate_per_s':1,'burst':1,"
     "'keys':['AA',7]}}}}",
     "$.sets.teams[\"a\"].keys[0]\n$.sets.teams[\"a\"].keys[1]\n"},
    {"key-twice",
     "{" HEAD ",'sets':{'teams':{'a':{'rate_per_s':1,'burst':1,'keys':[" KEY
     "]},'b':{'rate_per_s':1,'burst':1,'keys':[" KEY "]}}}}",
     "$.sets.teams[\"b\"].keys[0]\n"},
    {"names",
     "{" HEAD ",'sets':{'teams':{'':null,' a':null,'a/b':null,'a\\u0001':"
     "null}}}",
     "$.sets.teams[\"\"]\n$.sets.teams[\" a\"]\n$.sets.teams[\"a/b\"]\n"
     "$.sets.teams[\"a\001\"]\n"},
    {"paths",
     "{" HEAD ",'sets':{'routes':{'a':null,'/a/../b':null,'/a//b':null,"
     "'/a?b':null,'/a%2fb':null,'/ok/':null,"
     "'/1/2/3/4/5/6/7/8/9/0/1/2/3/4/5/6/7':null}}}",
     "$.sets.routes[\"a\"]\n$.sets.routes[\"/a/../b\"]\n"
     "$.sets.routes[\"/a//b\"]\n$.sets.routes[\"/a?b\"]\n"
     "$.sets.routes[\"/a%2fb\"]\n"
     "$.sets.routes[\"/1/2/3/4/5/6/7/8/9/0/1/2/3/4/5/6/7\"]\n"},
    {"split-sum",
     "{" HEAD ",'sets':{'routes':{'/a':{" ROUTE ",'split':[{'pool':'old',"
     "'share_percent':50},{'pool':'new','share_percent':49}]}}}}",
     "$.sets.routes[\"/a\"].split\n"},
    {"split-fields",
     "{" HEAD ",'sets':{'routes':{'/a':{" ROUTE ",'split':[{'pool':'old'},"
     "{'pool':'old','share_percent':101}]}}}}",
     "$.sets.routes[\"/a\"].split[0].share_percent\n"
     "$.sets.routes[\"/a\"].split[1].share_percent\n"
     "$.sets.routes[\"/a\"].split[1]\n"},
    {"teams-twice",
     "{" HEAD ",'sets':{'routes':{'/a':{'service':'s','teams':['a','a'],"
     "'issuance':1,'deadline_ms':0,'retries':11}}}}",
     "$.sets.routes[\"/a\"].teams[1]\n$.sets.routes[\"/a\"].issuance\n"
     "$.sets.routes[\"/a\"].deadline_ms\n$.sets.routes[\"/a\"].retries\n"},
};

/* Guards against invalid tickets that are accepted, and against an incomplete
 * list of problems. */
static void
test_form(const void *data)
{
    const FormCase *test_case = data;
    char *text = g_strdelimit(g_strdup(test_case->text), "'", '"');
    GPtrArray *problems = Ticket_CreateProblems();
    Ticket *ticket =
        Ticket_Parse(text, strlen(text), TICKET_FROM_STORE, problems);
    GString *paths = g_string_new(NULL);

    for (guint i = 0; i < problems->len; i++) {
        TicketProblem *problem = g_ptr_array_index(problems, i);

        g_string_append_printf(paths, "%s\n", problem->path);
        g_assert_cmpint(strlen(problem->expected), >, 0);
    }
    g_assert_cmpstr(paths->str, ==, test_case->paths);
    g_assert_true((ticket != NULL) == (test_case->paths[0] == '\0'));
    Ticket_Free(ticket);
    g_string_free(paths, TRUE);
    g_ptr_array_unref(problems);
    g_free(text);
}

/* Guards against a crash or a partial ticket on a truncated text, and against
 * accepting a text over the size limit. */
static void
test_truncated(void)
{
    char *text = g_strdelimit(g_strdup("{" HEAD ",'sets':{'teams':{'a':" TEAM
                                       "},'routes':{'/a':{" ROUTE "}}}}"),
                              "'", '"');
    GPtrArray *problems = Ticket_CreateProblems();
    char *large = g_strnfill(TICKET_MAX_BYTES + 1, ' ');

    for (size_t length = 0; length < strlen(text); length++) {
        g_assert_null(Ticket_Parse(text, length, TICKET_FROM_STORE, problems));
        g_assert_cmpuint(problems->len, ==, 1);
        g_ptr_array_set_size(problems, 0);
    }
    for (size_t i = 0; text[i] != '\0'; i++) {
        large[i] = text[i];
    }
    g_assert_null(Ticket_Parse(large, TICKET_MAX_BYTES + 1, TICKET_FROM_STORE,
                               problems));
    g_assert_cmpuint(problems->len, ==, 1);
    g_ptr_array_unref(problems);
    g_free(large);
    g_free(text);
}

/* Guards against a diff that omits a change. */
static void
test_diff(void)
{
    Config *config = Config_Create();
    const ConfigTable *table;
    ConfigKeyHash hash;
    Ticket *ticket;
    char *diff;

    apply_sets(config, "{'services':{'s':{'floor_percent':80,'total':12}},"
                       "'teams':{'a':{'rate_per_s':10,'burst':20,'keys':[" KEY
                       "]},'b':" TEAM "},'routes':{'/a':{" ROUTE "}}}");
    ticket = make_ticket(
        2, "ana",
        "{'fleet':{'rate_slots':1024,'grant_ms':1000},"
        "'services':{'s':{'floor_percent':80,'total':12},'t':null},"
        "'teams':{'a':{'rate_per_s':10.0,'burst':20.5,'keys':[]},'b':null},"
        "'routes':{'/a':{'service':'s','teams':['a'],'issuance':true,"
        "'deadline_ms':1,'retries':0},'/b':{" ROUTE "}}}");
    table = Config_ReadLock(config);
    diff = Ticket_Diff(ticket, table);
    g_assert_cmpstr(
        diff, ==,
        "fleet: rate_slots 512 -> 1024\n"
        "team \"a\": burst 20 -> 20.5\n"
        "team \"a\": keys removed "
        "00000000000000000000000000000000000000000000000000000000000000aa\n"
        "team \"b\": removed\n"
        "route \"/a\": teams added a\n"
        "route \"/a\": issuance false -> true\n"
        "route \"/b\": added {\"service\":\"s\",\"teams\":[],"
        "\"issuance\":false,\"deadline_ms\":1,\"retries\":0}\n");
    g_free(diff);
    Ticket_Free(ticket);
    memset(&hash, 0, sizeof(hash));
    hash.bytes[31] = 0xaa;
    Config_WithdrawKey(config, &hash);
    ticket = make_ticket(2, "ana",
                         "{'teams':{'a':{'rate_per_s':10,'burst':20,"
                         "'keys':[" KEY "]}}}");
    diff = Ticket_Diff(ticket, table);
    g_assert_nonnull(strstr(diff, "was withdrawn and stays refused"));
    g_free(diff);
    Config_ReadUnlock(config);
    Ticket_Free(ticket);
    Config_Destroy(config);
}

typedef struct ReferenceCase {
    const char *sets;
    const char *path; /* NULL = no problem */
} ReferenceCase;

static const ReferenceCase reference_cases[] = {
    {"{'routes':{'/b':{" ROUTE "}}}", NULL},
    {"{'routes':{'/b':{'service':'t','teams':[],'issuance':false,"
     "'deadline_ms':1,'retries':0}}}",
     "$.sets.routes[\"/b\"].service"},
    {"{'routes':{'/b':{'service':'s','teams':['c'],'issuance':false,"
     "'deadline_ms':1,'retries':0}}}",
     "$.sets.routes[\"/b\"].teams[0]"},
    {"{'routes':{'/b':{'service':'t','teams':['c'],'issuance':false,"
     "'deadline_ms':1,'retries':0}},'teams':{'c':" TEAM "},"
     "'services':{'t':{'floor_percent':1,'total':1}}}",
     NULL},
    {"{'services':{'s':null}}", "$.sets.routes[\"/a\"].service"},
    {"{'services':{'s':null},'routes':{'/a':null}}", NULL},
    {"{'teams':{'b':null}}", "$.sets.routes[\"/a\"].teams[0]"},
    {"{'teams':{'c':{'rate_per_s':1,'burst':1,'keys':[" KEY "]}}}",
     "$.sets.teams[\"c\"].keys[0]"},
    {"{'teams':{'a':" TEAM ",'c':{'rate_per_s':1,'burst':1,'keys':[" KEY
     "]}}}",
     NULL},
    {"{'teams':{'a':{'rate_per_s':1,'burst':1,'keys':[" KEY "]}}}", NULL},
};

/* Guards against accepting tickets that refer to services or teams that do not
 * exist, or that assign a key to two teams. */
static void
test_references(void)
{
    Config *config = Config_Create();

    apply_sets(config, "{'services':{'s':{'floor_percent':80,'total':12}},"
                       "'teams':{'a':{'rate_per_s':10,'burst':20,'keys':[" KEY
                       "]},'b':" TEAM "},'routes':{'/a':{'service':'s',"
                       "'teams':['b'],'issuance':false,'deadline_ms':1,"
                       "'retries':0}}}");
    for (size_t i = 0; i < G_N_ELEMENTS(reference_cases); i++) {
        const ReferenceCase *test_case = &reference_cases[i];
        Ticket *ticket = make_ticket(2, "ana", test_case->sets);
        GPtrArray *problems = Ticket_CreateProblems();
        const ConfigTable *table = Config_ReadLock(config);
        gboolean valid = Ticket_CheckReferences(ticket, table, problems);

        Config_ReadUnlock(config);
        g_assert_true(valid == (test_case->path == NULL));
        if (test_case->path != NULL) {
            g_assert_cmpuint(problems->len, ==, 1);
            g_assert_cmpstr(
                ((TicketProblem *)g_ptr_array_index(problems, 0))->path, ==,
                test_case->path);
        }
        g_ptr_array_unref(problems);
        Ticket_Free(ticket);
    }
    Config_Destroy(config);
}

typedef struct Fixture {
    StoreStandin *standin;
    Store *store;
    char *address;
} Fixture;

static void
set_up(Fixture *fixture, gconstpointer data)
{
    Store_desc desc = {.timeout_ms = 1000};

    (void)data;
    fixture->standin = StoreStandin_Create();
    fixture->address = g_strdup_printf(
        "127.0.0.1:%d", StoreStandin_Listen(fixture->standin, 0));
    desc.addresses = fixture->address;
    fixture->store = Store_Create(&desc, NULL);
}

static void
tear_down(Fixture *fixture, gconstpointer data)
{
    (void)data;
    Store_Destroy(fixture->store);
    StoreStandin_Destroy(fixture->standin);
    g_free(fixture->address);
}

#define OPERATORS 4
#define RACES 25

typedef struct Operator {
    const char *address;
    char who[8];
    Result results[RACES];
    char *errors[RACES];
} Operator;

/* Applies the tickets 1 to RACES; continues with the next number after a
 * conflict. */
static void *
run_operator(void *context)
{
    Operator *operator= context;
    Store_desc desc = {.addresses = operator->address, .timeout_ms = 1000};
    Store *store = Store_Create(&desc, NULL);

    for (int i = 0; i < RACES; i++) {
        Ticket *ticket =
            make_ticket(i + 1, operator->who, "{'teams':{'a':" TEAM "}}");
        GError *error = NULL;

        do {
            g_clear_error(&error);
            operator->results[i] = Ticket_Apply(ticket, store, &error);
        } while (operator->results[i] == RESULT_STORE_UNCERTAIN);
        operator->errors[i] = g_strdup(error ? error->message : "");
        g_clear_error(&error);
        Ticket_Free(ticket);
    }
    Store_Destroy(store);
    return NULL;
}

/* Guards against two winners or none when operators race for the same number
 * and half of the answers are lost, and against a conflict error that does not
 * name the winner and the time of its ticket. */
static void
test_race(Fixture *fixture, gconstpointer data)
{
    Operator operators[OPERATORS] = {0};
    pthread_t threads[OPERATORS];

    (void)data;
    StoreStandin_SetFaults(fixture->standin, "{\"lose_answer_percent\":50}");
    for (int i = 0; i < OPERATORS; i++) {
        operators[i].address = fixture->address;
        g_snprintf(operators[i].who, sizeof(operators[i].who), "op%d", i);
        pthread_create(&threads[i], NULL, run_operator, &operators[i]);
    }
    for (int i = 0; i < OPERATORS; i++) {
        pthread_join(threads[i], NULL);
    }
    for (int n = 0; n < RACES; n++) {
        int winner = -1;

        for (int i = 0; i < OPERATORS; i++) {
            if (operators[i].results[n] == RESULT_OK) {
                g_assert_cmpint(winner, ==, -1);
                winner = i;
            }
        }
        g_assert_cmpint(winner, >=, 0);
        for (int i = 0; i < OPERATORS; i++) {
            if (i != winner) {
                g_assert_cmpint(operators[i].results[n], ==,
                                RESULT_TICKET_CONFLICT);
                g_assert_nonnull(
                    strstr(operators[i].errors[n], operators[winner].who));
                g_assert_nonnull(
                    strstr(operators[i].errors[n], "2026-01-31T12:00:00Z"));
            }
            g_free(operators[i].errors[n]);
        }
    }
}

typedef struct ApplyCase {
    const char *name;
    const char *faults;
    int64_t number;
    Result result;
    Result second_result; /* result of the same ticket without the fault */
} ApplyCase;

/* Ticket 1 exists. */
static const ApplyCase apply_cases[] = {
    {"next", "{}", 2, RESULT_OK, RESULT_OK},
    {"taken", "{}", 1, RESULT_TICKET_CONFLICT, RESULT_TICKET_CONFLICT},
    {"gap", "{}", 3, RESULT_TICKET_INVALID, RESULT_TICKET_INVALID},
    {"down", "{\"down\":true}", 2, RESULT_STORE_UNAVAILABLE, RESULT_OK},
    {"all-answers-lost", "{\"lose_answer_percent\":100}", 2, RESULT_OK,
     RESULT_OK},
    /* The read of ticket 1 times out, so nothing is written. */
    {"slow", "{\"slow_ms\":1500,\"count\":2}", 2, RESULT_STORE_UNAVAILABLE,
     RESULT_OK},
    /* The replica does not have ticket 1 yet, so ticket 2 seems to leave a
     * gap, and nothing is written. */
    {"stale", "{\"stale_versions\":1}", 2, RESULT_TICKET_INVALID, RESULT_OK},
};

/* Guards against a reported result that differs from the ticket's outcome. */
static void
test_apply(Fixture *fixture, gconstpointer data)
{
    const ApplyCase *test_case = data;
    Ticket *first = make_ticket(1, "eva", "{'teams':{'a':" TEAM "}}");
    Ticket *ticket =
        make_ticket(test_case->number, "ana", "{'teams':{'a':" TEAM "}}");

    g_assert_cmpint(Ticket_Apply(first, fixture->store, NULL), ==, RESULT_OK);
    g_assert_true(StoreStandin_SetFaults(fixture->standin, test_case->faults));
    g_assert_cmpint(Ticket_Apply(ticket, fixture->store, NULL), ==,
                    test_case->result);
    g_assert_true(StoreStandin_SetFaults(fixture->standin, "{}"));
    g_assert_cmpint(Ticket_Apply(ticket, fixture->store, NULL), ==,
                    test_case->second_result);
    Ticket_Free(first);
    Ticket_Free(ticket);
}

/* Guards against a ticket that conflicts with itself when its write takes
 * effect only after the client's timeout and retry. */
static void
test_late_write(Fixture *fixture, gconstpointer data)
{
    Ticket *ticket = make_ticket(1, "ana", "{'teams':{'a':" TEAM "}}");

    (void)data;
    StoreStandin_SetFaults(fixture->standin, "{\"slow_ms\":1500,\"count\":1}");
    g_assert_cmpint(Ticket_Apply(ticket, fixture->store, NULL), ==, RESULT_OK);
    g_assert_cmpint(Ticket_Apply(ticket, fixture->store, NULL), ==, RESULT_OK);
    Ticket_Free(ticket);
}

int
main(int argc, char **argv)
{
    int result;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    init_error_domains();
    for (size_t i = 0; i < G_N_ELEMENTS(form_cases); i++) {
        char *path = g_strconcat("/ticket/form/", form_cases[i].name, NULL);

        g_test_add_data_func(path, &form_cases[i], test_form);
        g_free(path);
    }
    g_test_add_func("/ticket/truncated", test_truncated);
    g_test_add_func("/ticket/diff", test_diff);
    g_test_add_func("/ticket/references", test_references);
    g_test_add("/ticket/race", Fixture, NULL, set_up, test_race, tear_down);
    g_test_add("/ticket/late-write", Fixture, NULL, set_up, test_late_write,
               tear_down);
    for (size_t i = 0; i < G_N_ELEMENTS(apply_cases); i++) {
        char *path = g_strconcat("/ticket/apply/", apply_cases[i].name, NULL);

        g_test_add(path, Fixture, &apply_cases[i], set_up, test_apply,
                   tear_down);
        g_free(path);
    }
    result = g_test_run();
    rcu_unregister_thread();
    return result;
}
