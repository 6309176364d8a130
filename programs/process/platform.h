/*
 * Interface to the users' platform, on which gateways and keepers run: one
 * table of function pointers in this project's own types. platform/ implements
 * it.
 */
#ifndef KCC_PLATFORM_H
#define KCC_PLATFORM_H

#include "../request/dialect.h"
#include "loop.h"

/*
 * Delay after a failed call to the store, doubled for each further failure up
 * to the maximum: each call is charged, and nothing announces that the store
 * is available again.
 */
#define KC_STORE_RETRY_DELAY (200 * KC_MS)
#define KC_STORE_RETRY_DELAY_MAX (1 * KC_SECOND)

/* Longest key of a customer; a longer one names no one. */
#define KC_KEY_BYTES_MAX 1024

typedef struct KcStore KcStore;

typedef struct KcStoreOptions {
    KcLoop *loop;
    const char *address; /* "address:port" */
    KcTime call_timeout; /* of each call except watches */
    KcCounters *counters;
} KcStoreOptions;

/* Collections of the store that this project reads. */
typedef enum KcCollection {
    KC_COLLECTION_ROUTING = 0, /* the routing configuration */
    KC_COLLECTION_SERVERS,     /* backend servers */
    KC_COLLECTION_VERSIONS,    /* announced versions of adapters */
    KC_COLLECTION_GATEWAYS,    /* our own records, one per gateway */
    KC_COLLECTION_COUNT
} KcCollection;

/* How a keeper reaches its engine. */
typedef struct KcEngineOptions {
    KcLoop *loop;
    const char *address;     /* "address:port" */
    const char *keeper_name; /* name of the keeper, sent with each order */
    KcTime call_timeout;     /* of each call but orders */
    KcTime order_timeout;    /* of an order; 0: call_timeout */
    KcCounters *counters;
    /* The result of an order. */
    void (*on_order_result)(void *context, KcOrderResult result);
    /* A requested report, valid during the call; NULL when the engine gave no
     * valid answer. */
    void (*on_report)(void *context, const KcEngineReport *report);
    /* In place of on_report: nothing accepts connections at the address. */
    void (*on_gone)(void *context);
    void *context; /* first argument of all callbacks */
} KcEngineOptions;

typedef struct KcEngineClient KcEngineClient;

typedef struct KcPlatform {
    /* Returns the path of this process's settings file; not to be freed. */
    const char *(*get_settings_path)(void);
    const KcHttpDialect *dialect;
    /* Names of the collections, by KcCollection. */
    const char *const *collection_names;
    /* The routing configuration in its collection; others there are none. */
    const char *routing_name;
    /*
     * The store. Its functions in feed and objects take the KcStore as their
     * context; the name of a single object is COLLECTION/OBJECT.
     */
    KcStore *(*open_store)(const KcStoreOptions *options);
    void (*close_store)(KcStore *store);
    const KcFeedOps *feed_ops;
    const KcObjectOps *object_ops;
    /*
     * Decode the body of a feed item, which may be NULL. On an error err names
     * the field at fault. read_routing returns a configuration that the caller
     * releases with KcRouting_Release(), or NULL; the others return 0 or a
     * negative error number. info must be initialised.
     */
    KcRouting *(*read_routing)(const void *body, KcError *err);
    int (*read_server)(const KcFeedItem *item, KcServerInfo *info,
                       KcError *err);
    int (*read_version)(const void *body, KcReplicaInfo *version,
                        KcError *err);
    /* Digests a key as it is sent in a header, without the blanks around it;
     * false: it is none, as it is empty or too long. */
    bool (*read_key)(const char *text, KcKeyDigest *digest);
    /* Path at which a model server answers a GET without waiting for a place,
     * as long as it lives. */
    const char *status_path;
    /* The engine of a keeper; closed with close_engine. */
    KcEngineClient *(*open_engine)(const KcEngineOptions *options);
    void (*close_engine)(KcEngineClient *engine);
    /* Sets the path at which the engine states its instance. */
    void (*set_health_path)(KcEngineClient *engine, const char *path);
    /* Sends an order; the result goes to KcEngineOptions.on_order_result. */
    void (*send_order)(KcEngineClient *engine, const KcOrder *order);
    /* Requests a report; it goes to KcEngineOptions.on_report. */
    void (*request_report)(KcEngineClient *engine);
} KcPlatform;

/* The platform that is linked into this program. */
extern const KcPlatform KcPlatform_Current;

#endif
