/* ConfigPages: array of fixed-size records in pages that are copied on write.
 *
 * Private to config. Versions of an array share their unchanged pages. A page
 * belongs to the draft whose serial it holds; only that draft writes to it.
 */
#ifndef CONFIG_CONFIG_PAGES_H
#define CONFIG_CONFIG_PAGES_H

#include <glib.h>
#include <stdint.h>

typedef struct ConfigPage {
    uint64_t serial; /* serial of the draft that created the page */
    uint64_t bytes[];
} ConfigPage;

typedef struct ConfigPages {
    ConfigPage **pages; /* NULL = page of zero records */
    uint32_t page_count;
    uint32_t record_bytes;
    uint32_t shift; /* log2 of the number of records per page */
} ConfigPages;

void ConfigPages_Init(ConfigPages *pages, uint32_t record_bytes,
                      uint32_t shift);

/* Copies the directory; the pages are shared. */
void ConfigPages_Copy(ConfigPages *to, const ConfigPages *from);

/* Frees the directory only. */
void ConfigPages_ClearDirectory(ConfigPages *pages);

/* Frees the directory and the pages of the given draft; with serial 0, all
 * pages. */
void ConfigPages_Clear(ConfigPages *pages, uint64_t serial);

/* Returns a record; NULL if no record of its page was ever written. */
static inline const void *
ConfigPages_Get(const ConfigPages *pages, uint32_t index)
{
    uint32_t page = index >> pages->shift;
    uint32_t offset = index & ((1u << pages->shift) - 1);

    if (page >= pages->page_count || pages->pages[page] == NULL) {
        return NULL;
    }
    return (const char *)pages->pages[page]->bytes +
           (size_t)offset * pages->record_bytes;
}

/* Returns a record that the draft with this serial may write to. If its page
 * belongs to another draft, copies the page and adds the original to
 * `replaced`. */
void *ConfigPages_Edit(ConfigPages *pages, uint32_t index, uint64_t serial,
                       GPtrArray *replaced);

/* Returns the bytes of the directory and of all pages. */
size_t ConfigPages_GetBytes(const ConfigPages *pages);

#endif
