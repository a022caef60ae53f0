/* ObjectServer: stand-in for the platform's metadata store.
 *
 * It speaks the part of the store's protocol that radishknot uses: lists,
 * watches, single objects, conditional writes. Faults are switched on by the
 * test that owns it.
 *
 * Use: ObjectServer_Create(), ObjectServer_Write() as the operator does,
 * ObjectServer_SetFault(), ObjectServer_Destroy().
 *
 * Limits: a list is one page, unless page_items is set.
 */
#ifndef STANDIN_OBJECT_SERVER_H
#define STANDIN_OBJECT_SERVER_H

#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>

typedef struct ObjectServer ObjectServer;

typedef enum ObjectFault {
    OBJECT_FAULT_NONE,
    OBJECT_FAULT_REFUSE,      /* 503, nothing is done */
    OBJECT_FAULT_SILENT,      /* no answer, nothing is done */
    OBJECT_FAULT_LOSE_ANSWERS /* writes are done, no answer comes */
} ObjectFault;

typedef struct ObjectServer_desc {
    struct sockaddr_in address; /* port 0: the kernel chooses */
    unsigned page_items;        /* items of one page of a list; 0: all */
} ObjectServer_desc;

ObjectServer *ObjectServer_Create(const ObjectServer_desc *desc);
void ObjectServer_Destroy(ObjectServer *server);
struct sockaddr_in ObjectServer_Address(const ObjectServer *server);

/* Takes over the value; NULL removes the object. Returns the revision. */
gint64 ObjectServer_Write(ObjectServer *server, const char *kind,
                          const char *name, json_t *value);

/* A copy of the value, NULL if there is no such object. */
json_t *ObjectServer_Read(ObjectServer *server, const char *kind,
                          const char *name);
void ObjectServer_SetFault(ObjectServer *server, ObjectFault fault);

/* Watches from earlier revisions get 410 from now on. */
void ObjectServer_DropHistory(ObjectServer *server);
unsigned ObjectServer_Calls(const ObjectServer *server);

#endif
