#include "config/config_pages.h"

#include <string.h>

void
ConfigPages_Init(ConfigPages *pages, uint32_t record_bytes, uint32_t shift)
{
    *pages = (ConfigPages){.record_bytes = record_bytes, .shift = shift};
}

static size_t
page_bytes(const ConfigPages *pages)
{
    return sizeof(ConfigPage) + ((size_t)pages->record_bytes << pages->shift);
}

void
ConfigPages_Copy(ConfigPages *to, const ConfigPages *from)
{
    *to = *from;
    to->pages = g_memdup2(from->pages, from->page_count * sizeof(void *));
}

void
ConfigPages_ClearDirectory(ConfigPages *pages)
{
    g_free(pages->pages);
    pages->pages = NULL;
    pages->page_count = 0;
}

void
ConfigPages_Clear(ConfigPages *pages, uint64_t serial)
{
    for (uint32_t i = 0; i < pages->page_count; i++) {
        ConfigPage *page = pages->pages[i];

        if (page != NULL && (serial == 0 || page->serial == serial)) {
            g_free(page);
        }
    }
    ConfigPages_ClearDirectory(pages);
}

static void
grow(ConfigPages *pages, uint32_t page_count)
{
    /* Grows by an eighth: the directory is rarely copied while a large table
     * is built, and little of it stays unused. */
    uint32_t count =
        MAX(page_count, pages->page_count + pages->page_count / 8);

    pages->pages = g_renew(ConfigPage *, pages->pages, count);
    memset(pages->pages + pages->page_count, 0,
           (count - pages->page_count) * sizeof(void *));
    pages->page_count = count;
}

void *
ConfigPages_Edit(ConfigPages *pages, uint32_t index, uint64_t serial,
                 GPtrArray *replaced)
{
    uint32_t number = index >> pages->shift;
    uint32_t offset = index & ((1u << pages->shift) - 1);
    ConfigPage *page;

    if (number >= pages->page_count) {
        grow(pages, number + 1);
    }
    page = pages->pages[number];
    if (page == NULL) {
        page = g_malloc0(page_bytes(pages));
        page->serial = serial;
        pages->pages[number] = page;
    }
    else if (page->serial != serial) {
        g_ptr_array_add(replaced, page);
        page = g_memdup2(page, page_bytes(pages));
        page->serial = serial;
        pages->pages[number] = page;
    }
    return (char *)page->bytes + (size_t)offset * pages->record_bytes;
}

size_t
ConfigPages_GetBytes(const ConfigPages *pages)
{
    size_t bytes = pages->page_count * sizeof(void *);

    for (uint32_t i = 0; i < pages->page_count; i++) {
        if (pages->pages[i] != NULL) {
            bytes += page_bytes(pages);
        }
    }
    return bytes;
}
