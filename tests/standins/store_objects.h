/*
 * Objects of the store stand-in, and copies of all of them.
 */
#ifndef KCC_STORE_OBJECTS_H
#define KCC_STORE_OBJECTS_H

#include <jansson.h>
#include <kcc.h>

#define STORE_COLLECTION_MAX 32

typedef struct StoreObject {
    TAILQ_ENTRY(StoreObject) link;
    char collection[STORE_COLLECTION_MAX];
    char name[KC_OBJECT_NAME_MAX];
    int64_t revision;
    json_t *spec;
} StoreObject;

/* In the order of names, which pages rely on. */
TAILQ_HEAD(StoreObjectList, StoreObject);

/* Returns NULL when there is none. */
StoreObject *StoreObjects_Find(const struct StoreObjectList *objects,
                               const char *collection, const char *name);
/* Adds an object without spec. */
StoreObject *StoreObjects_Insert(struct StoreObjectList *objects,
                                 const char *collection, const char *name);
void StoreObjects_Remove(struct StoreObjectList *objects, StoreObject *object);
/* Replaces a list by a copy of another one. */
void StoreObjects_Copy(struct StoreObjectList *objects,
                       const struct StoreObjectList *source);

#endif
