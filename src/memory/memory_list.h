/* The list of those who hold memory of an account:
 * HOLDER(name, share of the account in percent, help). */
#ifndef MEMORY_MEMORY_LIST_H
#define MEMORY_MEMORY_LIST_H

/* clang-format off */
#define MEMORY_HOLDER_LIST(HOLDER) \
    HOLDER(ANSWERS_READ, 100, \
           "bodies of answers from their first byte until they are sent on") \
    HOLDER(ANSWERS_HELD, 100, \
           "bodies of answers that are being sent to callers and other hosts") \
    HOLDER(UPLOADS, 50, "bodies of requests")
/* clang-format on */

#endif
