#include "model/search.h"

#include <string.h>

#define DEFAULT_MAX_STATES 1000000

/* A state that was reached, and how. */
typedef struct Node {
    GBytes *state;
    guint parent;
    unsigned event;
    unsigned depth;
} Node;

typedef struct Search {
    const Search_desc *desc;
    GArray *nodes;    /* in the order of their depth */
    GHashTable *seen; /* GBytes */
    const char *broken;
    char *order; /* events that lead to it */
} Search;

/* Adds a state unless it is known. Returns whether it is new. */
static gboolean
add_state(Search *search, gconstpointer state, guint parent, unsigned event)
{
    Node node = {.state = g_bytes_new(state, search->desc->state_bytes),
                 .parent = parent,
                 .event = event};

    if (search->nodes->len > 0) {
        node.depth = g_array_index(search->nodes, Node, parent).depth + 1;
    }
    if (g_hash_table_contains(search->seen, node.state)) {
        g_bytes_unref(node.state);
        return FALSE;
    }
    g_hash_table_add(search->seen, node.state);
    g_array_append_val(search->nodes, node);
    return TRUE;
}

/* Writes the events from the initial state to a node, then one more. */
static char *
describe(const Search *search, guint index, unsigned last)
{
    const char *const *names = search->desc->events;
    GString *order = g_string_new(names[last]);

    while (index > 0) {
        const Node *node = &g_array_index(search->nodes, Node, index);

        g_string_prepend(order, "; ");
        g_string_prepend(order, names[node->event]);
        index = node->parent;
    }
    return g_string_free(order, FALSE);
}

/* Applies all events to one state. */
static void
expand(Search *search, guint index)
{
    const Search_desc *desc = search->desc;
    GBytes *state = g_array_index(search->nodes, Node, index).state;
    gpointer next = g_malloc(desc->state_bytes);

    for (unsigned event = 0;
         event < desc->event_count && search->broken == NULL; event++) {
        memcpy(next, g_bytes_get_data(state, NULL), desc->state_bytes);
        if (desc->apply(desc->context, event, next, &search->broken) &&
            search->broken == NULL && add_state(search, next, index, event) &&
            desc->check != NULL) {
            search->broken = desc->check(desc->context, next);
        }
        if (search->broken != NULL) {
            search->order = describe(search, index, event);
        }
    }
    g_free(next);
}

void
Search_Run(const Search_desc *desc, const char *broken, const char *order)
{
    unsigned max_states =
        desc->max_states > 0 ? desc->max_states : DEFAULT_MAX_STATES;
    Search search = {
        .desc = desc,
        .nodes = g_array_new(FALSE, FALSE, sizeof(Node)),
        .seen = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
                                      (GDestroyNotify)g_bytes_unref, NULL)};
    guint next = 0;

    (void)add_state(&search, desc->initial, 0, 0);
    while (next < search.nodes->len && search.nodes->len <= max_states &&
           search.broken == NULL) {
        expand(&search, next++);
    }
    g_test_message(
        "%u states, %u events deep: %s%s%s%s", search.nodes->len,
        g_array_index(search.nodes, Node, search.nodes->len - 1).depth,
        search.broken ? "not kept: " : "all promises kept",
        search.broken ? search.broken : "", search.broken ? ": " : "",
        search.order ? search.order : "");
    g_assert_cmpstr(search.order, ==, order);
    g_assert_cmpstr(search.broken, ==, broken);
    g_assert_true(search.broken != NULL || next == search.nodes->len);
    g_free(search.order);
    g_hash_table_destroy(search.seen);
    g_array_unref(search.nodes);
}
