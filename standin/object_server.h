/* ObjectServer: stand-in for the platform's metadata store.
 *
 * It implements the part of the store's protocol that radishknot uses: lists,
 * watches, single objects and conditional writes. The test that owns it can
 * inject faults and restore it from an older copy.
 *
 * Use: ObjectServer_Create(), ObjectServer_Write() in place of the operator,
 * ObjectServer_SetFault(), ObjectServer_Destroy().
 *
 * Limits: a list is returned as one page unless page_items is set.
 */
#ifndef STANDIN_OBJECT_SERVER_H
#define STANDIN_OBJECT_SERVER_H

#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>

typedef struct ObjectServer ObjectServer;

typedef enum ObjectFault {
    OBJECT_FAULT_NONE,
    OBJECT_FAULT_REFUSE,      /* status 503, call not executed */
    OBJECT_FAULT_SILENT,      /* no answer, call not executed */
    OBJECT_FAULT_LOSE_ANSWERS /* writes executed but not answered */
} ObjectFault;

typedef struct ObjectServer_desc {
    struct sockaddr_in address; /* port 0: the kernel chooses */
    unsigned page_items;        /* maximum items in a page of a list; 0: all */
} ObjectServer_desc;

ObjectServer *ObjectServer_Create(const ObjectServer_desc *desc);
void ObjectServer_Destroy(ObjectServer *server);
struct sockaddr_in ObjectServer_Address(const ObjectServer *server);

/* Takes ownership of the value; NULL removes the object. Returns the revision.
 */
gint64 ObjectServer_Write(ObjectServer *server, const char *kind,
                          const char *name, json_t *value);

/* Writes an object that answers contain as this text, which need not be JSON.
 * A "%d" in it stands for the object's revision. Returns the revision. */
gint64 ObjectServer_WriteText(ObjectServer *server, const char *kind,
                              const char *name, const char *text);

/* Returns a copy of the value, or NULL if there is no such object. */
json_t *ObjectServer_Read(ObjectServer *server, const char *kind,
                          const char *name);
void ObjectServer_SetFault(ObjectServer *server, ObjectFault fault);

/* Drops all past revisions: a watch from one of them now gets status 410. */
void ObjectServer_DropHistory(ObjectServer *server);

/* Copies the objects and the revision. */
void ObjectServer_Save(ObjectServer *server);

/* Goes back to the last copy: the changes after it are lost, their revisions
 * are given out again, waiting watches end with status 503, and Store-Era
 * rises by one. */
void ObjectServer_Restore(ObjectServer *server);
unsigned ObjectServer_Calls(const ObjectServer *server);

#endif
