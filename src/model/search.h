/* Search: visits all states that a small model can reach, breadth first.
 *
 * A model is a state and a list of events that change it. The search applies
 * each event to each state, so the order of events that it finds is a shortest
 * one that breaks a promise.
 *
 * Use, in a test: Search_Run() with the model and what it has to find.
 *
 * Errors: the test fails if the search finds something else, or if it has to
 * end at max_states.
 *
 * Limits: a state is compared and hashed by its bytes, so it must have no
 * padding and no pointers.
 */
#ifndef MODEL_SEARCH_H
#define MODEL_SEARCH_H

#include <glib.h>

typedef struct Search_desc {
    const void *context; /* of the model's functions */
    const void *initial; /* state */
    size_t state_bytes;
    const char *const *events; /* names */
    unsigned event_count;
    unsigned max_states; /* zero means 1,000,000 */

    /* Applies an event. Returns FALSE if it cannot occur in the state. Sets
     * *broken to the promise that it breaks. */
    gboolean (*apply)(const void *context, unsigned event, void *state,
                      const char **broken);
    /* Returns the promise that a new state breaks or NULL; may be NULL. */
    const char *(*check)(const void *context, const void *state);
} Search_desc;

/* Searches until a promise is broken. `broken` and `order` are the promise and
 * the events, separated by "; ", that are expected; NULL if none is. */
void Search_Run(const Search_desc *desc, const char *broken,
                const char *order);

#endif
