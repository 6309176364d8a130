#include "store_objects.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

StoreObject *
StoreObjects_Find(const struct StoreObjectList *objects,
                  const char *collection, const char *name)
{
    StoreObject *object;

    assert(name != NULL);
    TAILQ_FOREACH (object, objects, link) {
        if (strcmp(object->collection, collection) == 0 &&
            strcmp(object->name, name) == 0) {
            return object;
        }
    }
    return NULL;
}

StoreObject *
StoreObjects_Insert(struct StoreObjectList *objects, const char *collection,
                    const char *name)
{
    StoreObject *object = KcMem_New(sizeof(*object));
    StoreObject *successor;

    KcText_Copy(object->collection, collection, STORE_COLLECTION_MAX);
    KcText_Copy(object->name, name, sizeof(object->name));
    TAILQ_FOREACH (successor, objects, link) {
        if (strcmp(successor->name, name) > 0) {
            TAILQ_INSERT_BEFORE(successor, object, link);
            return object;
        }
    }
    TAILQ_INSERT_TAIL(objects, object, link);
    return object;
}

void
StoreObjects_Remove(struct StoreObjectList *objects, StoreObject *object)
{
    TAILQ_REMOVE(objects, object, link);
    json_decref(object->spec);
    free(object);
}

void
StoreObjects_Copy(struct StoreObjectList *objects,
                  const struct StoreObjectList *source)
{
    const StoreObject *object;

    while (!TAILQ_EMPTY(objects)) {
        StoreObjects_Remove(objects, TAILQ_FIRST(objects));
    }
    TAILQ_FOREACH (object, source, link) {
        StoreObject *copy =
            StoreObjects_Insert(objects, object->collection, object->name);

        copy->revision = object->revision;
        copy->spec = json_incref(object->spec);
    }
}
