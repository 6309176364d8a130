/*
 * The platform that a gateway and a keeper stand on: one table of function
 * pointers, in the project's own words.  platform/ implements it.
 */
#ifndef KCC_PLATFORM_H
#define KCC_PLATFORM_H

#include "../request/dialect.h"
#include "loop.h"

/* Delay after a call of the store that failed; doubles up to the second:
 * every call is priced, and the store is back unannounced. */
#define KC_STORE_RETRY (200 * KC_MS)
#define KC_STORE_RETRY_MAX (1 * KC_SECOND)

typedef struct KcStore KcStore;

typedef struct KcStoreOptions {
    KcLoop *loop;
    const char *address;
    KcTime call_timeout; /* of a call that does not wait */
    KcCounters *counters;
} KcStoreOptions;

/* Collections of the store that the project reads. */
typedef enum KcCollection {
    KC_COLLECTION_ROUTING = 0, /* the routing configuration */
    KC_COLLECTION_SERVERS,     /* backend servers */
    KC_COLLECTION_VERSIONS,    /* announced versions of adapters */
    KC_COLLECTION_GATEWAYS,    /* our own records, one a gateway */
    KC_COLLECTION_COUNT
} KcCollection;

/* How the keeper reaches its engine. */
typedef struct KcEngineOptions {
    KcLoop *loop;
    const char *address;
    const char *holder; /* name under which orders are given */
    KcTime call_timeout;
    KcCounters *counters;
    void (*on_order_result)(void *context, KcOrderResult end);
    /* report NULL: no answer. */
    void (*on_report)(void *context, const KcEngineReport *report);
    void *context;
} KcEngineOptions;

typedef struct KcEngineClient KcEngineClient;

typedef struct KcPlatform {
    /* Where the platform put the settings of this process. */
    const char *(*get_settings_path)(void);
    const KcHttpDialect *dialect;
    /* Names of the collections. */
    const char *const *collection_names;
    /* The store: collections by KcFeedOps, single objects by KcObjectOps,
     * where a name is collection/object. */
    KcStore *(*open_store)(const KcStoreOptions *options);
    void (*close_store)(KcStore *store);
    const KcFeedOps *feed_ops;
    const KcObjectOps *object_ops;
    /* Decoders; body is a feed item's.  Errors name the field at fault. */
    KcRouting *(*read_routing)(const void *body, KcError *err);
    int (*read_server)(const KcFeedItem *item, KcServerInfo *info,
                       KcError *err);
    int (*read_version)(const void *body, KcReplicaInfo *version,
                        KcError *err);
    /* The engine beside a keeper. */
    KcEngineClient *(*open_engine)(const KcEngineOptions *options);
    void (*close_engine)(KcEngineClient *engine);
    /* Path at which the engine says which instance it is. */
    void (*set_health_path)(KcEngineClient *engine, const char *path);
    void (*send_order)(KcEngineClient *engine, const KcOrder *order);
    void (*request_report)(KcEngineClient *engine);
} KcPlatform;

extern const KcPlatform KcPlatform_Here;

#endif
