/*
 * What a keeper writes of itself to the store, and finds there when it starts
 * again: what its engine can hold, so that it can order loads before it has
 * read the configuration, which may have many routes.
 */
#ifndef KCC_KEEPER_RECORD_H
#define KCC_KEEPER_RECORD_H

#include <kcc.h>

typedef struct KcKeeperRecord {
    char service[KC_NAME_MAX];           /* of the engine */
    char address[KC_ADDRESS_MAX];        /* of the engine */
    char health_path[KC_ROUTE_PATH_MAX]; /* of the engine */
    KcEngineCapacity engine;             /* not configured: not known */
} KcKeeperRecord;

/* Begins the record of an engine of which nothing else is known. */
void KcKeeperRecord_Init(KcKeeperRecord *record, const char *service,
                         const char *address);
/* Frees what the record holds. */
void KcKeeperRecord_Clear(KcKeeperRecord *record);

/* Sets what the configuration says of the engine; both are copied. */
void KcKeeperRecord_Set(KcKeeperRecord *record, const char *health_path,
                        const KcEngineCapacity *engine);
/* Does the record tell just this? */
bool KcKeeperRecord_Tells(const KcKeeperRecord *record,
                          const char *health_path,
                          const KcEngineCapacity *engine);

/* The record as JSON text, which the caller frees.  incarnation makes the text
 * differ from that of each earlier process. */
char *KcKeeperRecord_Encode(const KcKeeperRecord *record,
                            uint64_t incarnation);
/* Reads what an earlier keeper wrote; the caller clears the record.  Returns
 * 0; KC_ERR_PARSE if the text does not tell what an engine can hold. */
int KcKeeperRecord_Decode(KcBytes text, KcKeeperRecord *record);

#endif
