/*
 * What lives for one accepted version of the service document: the parsed
 * document, its head, and the fetch of a newer version.
 *
 * Part 1 is the document, part 2 the head, part 3 catching up.
 */
#ifndef KCC_VERSION_H
#define KCC_VERSION_H

#include <uthash.h>

#include "kcc_types.h"

/* ---- Part 1: the document ----------------------------------------------- */

/* The sections of the document; each belongs to one team. */
typedef enum KcSection {
    KC_SECTION_ADAPTERS = 0,
    KC_SECTION_CAPACITY,
    KC_SECTION_REGIONS,
    KC_SECTION_RETIREMENTS,
    KC_SECTION_SERVICES,
    KC_SECTION_LIMITS,
    KC_SECTION_COUNT
} KcSection;

/* Name of a section, e.g. "adapters". */
const char *KcSection_Name(KcSection section);

/* Finds a section by name.  Returns it, or KC_ERR_NOT_FOUND. */
int KcSection_Find(const char *name);

/* One mistake in a text, with the place where it was found. */
typedef struct KcProblem {
    TAILQ_ENTRY(KcProblem) link;
    char file[128];            /* file or section name */
    int line;                  /* 1-based, 0 when no single line is at fault */
    char key[KC_NAME_MAX * 2]; /* [section] key */
    char message[200];         /* what is wrong */
} KcProblem;

TAILQ_HEAD(KcProblemList, KcProblem);
typedef struct KcProblemList KcProblemList;

/* Appends a problem; format is that of printf(). */
void KcProblemList_Add(KcProblemList *list, const char *file, int line,
                       const char *key, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* Frees every problem in the list. */
void KcProblemList_Clear(KcProblemList *list);

/* One key of an INI text as it is read. */
typedef struct KcIniItem {
    const char *file;
    int line;
    const char *section;
    const char *key;
    const char *value;
} KcIniItem;

/* Called for each key.  Problems are appended to list. */
typedef void (*KcIniVisit)(void *context, const KcIniItem *item,
                           KcProblemList *list);

/*
 * Reads an INI text of size bytes.  Syntax mistakes, overlong lines and
 * keys given twice in one section are appended to list with their line.
 * Returns 0, or KC_ERR_PARSE when any problem was added.
 */
int KcIni_Read(const char *file, const char *text, size_t size,
               KcIniVisit visit, void *context, KcProblemList *list);

/* Parses a whole decimal number within [low, high] into *value. */
int KcIni_ParseNumber(const char *text, int64_t low, int64_t high,
                      int64_t *value);

/* Parses "yes" or "no" into *value. */
int KcIni_ParseBool(const char *text, bool *value);

typedef enum KcServiceKind {
    KC_SERVICE_MODEL = 0, /* model engines that load adapters */
    KC_SERVICE_PLAIN = 1  /* services called under a path of their own */
} KcServiceKind;

/* A service: a set of backend servers that are interchangeable. */
typedef struct KcService {
    TAILQ_ENTRY(KcService) link;
    char name[KC_NAME_MAX];
    KcServiceKind kind;
    char base_model[KC_NAME_MAX];  /* model services */
    char path[KC_NAME_MAX];        /* plain services: callers' path */
    bool repeatable;               /* a call may be sent twice */
    bool requires_idempotency_key; /* callers must send Idempotency-Key */
    int64_t adapter_slots;         /* adapters an engine holds at once */
    int64_t concurrency_max;       /* calls a backend server runs at once */
    int64_t queue_max;             /* calls that may wait at one agent */
    int64_t load_ms;               /* nominal time to load one adapter */
    int64_t service_ms;            /* nominal time of one call */
    int64_t default_deadline_ms;   /* default deadline of a call */
    int64_t stall_weight;          /* 0-100: weight of load stalls */
    int64_t batch_weight;          /* 0-100: weight of batch efficiency */
    int64_t rare_stall_max_ms;     /* bound on the wait of a rare adapter */
    int64_t loads_per_minute;      /* weight store: shared rate */
    bool described;                /* seen in the services section */
} KcService;

TAILQ_HEAD(KcServiceList, KcService);

/* A data centre and the region it stands in. */
typedef struct KcDatacentre {
    TAILQ_ENTRY(KcDatacentre) link;
    char name[KC_NAME_MAX];
    char region[KC_NAME_MAX];
} KcDatacentre;

TAILQ_HEAD(KcDatacentreList, KcDatacentre);

/* One adapter and the versions it may be asked for. */
typedef struct KcAdapter {
    UT_hash_handle hh; /* KcDocument.adapters, by name */
    char name[KC_NAME_MAX];
    KcService *service;
    uint32_t versions[KC_ADAPTER_VERSIONS_MAX];
    bool retired[KC_ADAPTER_VERSIONS_MAX];
    uint32_t default_version;
    uint8_t version_count;
} KcAdapter;

/* Limits of one customer; "*" is the default for all others. */
typedef struct KcCustomerLimit {
    TAILQ_ENTRY(KcCustomerLimit) link;
    char customer[KC_NAME_MAX];
    int64_t rate_per_s;    /* requests a second over all entries */
    int64_t burst;         /* requests at once */
    int64_t in_flight_max; /* concurrent requests at one entry */
} KcCustomerLimit;

TAILQ_HEAD(KcCustomerLimitList, KcCustomerLimit);

/* One accepted version of the document.  Immutable, counted. */
typedef struct KcDocument {
    uint64_t generation;
    int references;
    struct KcServiceList services;
    struct KcDatacentreList datacentres;
    struct KcCustomerLimitList limits;
    KcAdapter *adapters;             /* uthash by name */
    int64_t region_link_bytes_per_s; /* budget of the link between regions */
} KcDocument;

/* The texts of all sections, borrowed. */
typedef struct KcSectionTexts {
    const char *text[KC_SECTION_COUNT];
    size_t size[KC_SECTION_COUNT];
} KcSectionTexts;

/*
 * Parses and validates the combination of all sections.
 *
 * Every mistake is appended to problems.  Returns the document with one
 * reference and the given generation, or NULL when there were problems.
 */
KcDocument *KcDocument_Parse(const KcSectionTexts *texts, uint64_t generation,
                             KcProblemList *problems);

/* Adds a reference. */
KcDocument *KcDocument_Retain(KcDocument *document);

/* Drops a reference; the last one frees the document.  NULL is allowed. */
void KcDocument_Release(KcDocument *document);

/* Finds an adapter, service or data centre by name; NULL if absent. */
KcAdapter *KcDocument_FindAdapter(const KcDocument *document,
                                  const char *name);
KcService *KcDocument_FindService(const KcDocument *document,
                                  const char *name);
KcDatacentre *KcDocument_FindDatacentre(const KcDocument *document,
                                        const char *name);

/* Finds the plain service whose path is a prefix of path; NULL if none. */
KcService *KcDocument_FindServiceByPath(const KcDocument *document,
                                        const char *path);

/* Limits of a customer, or those of "*"; NULL when neither is set. */
KcCustomerLimit *KcDocument_FindLimit(const KcDocument *document,
                                      const char *customer);

/*
 * Resolves "adapter@version" or "adapter" (default version).
 * Returns 0, KC_ERR_UNKNOWN_MODEL or KC_ERR_VERSION_RETIRED.
 */
int KcDocument_ResolveModel(const KcDocument *document, const char *model,
                            KcAdapterRef *ref, KcService **service);

/* ---- Part 2: the head --------------------------------------------------- */

#define KC_HASH_TEXT_SIZE 33 /* 128 bits as hexadecimal, with NUL */
#define KC_PART_BYTES_MAX                                                     \
    900000 /* bytes; values of the object API end at 1 MB */
#define KC_PART_BYTES_MIN 16384 /* bytes; only a last part is smaller */
#define KC_SECTION_PARTS_MAX 512

/* The head object: it names the accepted combination of all sections. */
typedef struct KcHead {
    uint64_t generation;
    char author[KC_SECTION_COUNT][KC_NAME_MAX];    /* of the last change */
    uint64_t changed_generation[KC_SECTION_COUNT]; /* generation of the last
                                                      change */
    uint32_t part_count[KC_SECTION_COUNT];
    char part_hash[KC_SECTION_COUNT][KC_SECTION_PARTS_MAX][KC_HASH_TEXT_SIZE];
} KcHead;

/* Content hash of a part as hexadecimal text. */
void KcHash_Compute(const void *data, size_t size,
                    char text[KC_HASH_TEXT_SIZE]);

/*
 * Where the part that starts at text ends.  Where a part ends depends on the
 * lines near its end alone, so that an edit changes one part or two and the
 * others need not be fetched again.  Returns its size, at most
 * KC_PART_BYTES_MAX; 0 when a single line is longer.
 */
size_t KcHead_PartSize(const char *text, size_t size);

/* Encodes a head as JSON.  The caller frees the result. */
char *KcHead_Encode(const KcHead *head);

/* Decodes a head from JSON.  Returns 0 or KC_ERR_PARSE. */
int KcHead_Decode(const char *text, size_t size, KcHead *head);

/* ---- Part 3: catching up ------------------------------------------------ */

typedef struct KcCatchup KcCatchup;

/* Outward calls of a catch-up. */
typedef struct KcCatchupOps {
    /* Asks for a part by hash; answered by KcCatchup_OnPart(). */
    void (*fetch)(void *context, const char *hash);
    /* A newer document is in force; the callee takes the reference. */
    void (*adopt)(void *context, KcDocument *document);
    /* The head named a combination that cannot be used. */
    void (*reject)(void *context, uint64_t generation,
                   const KcProblemList *problems);
} KcCatchupOps;

/* Creates a catch-up that holds no document yet. */
KcCatchup *KcCatchup_Create(const KcCatchupOps *ops, void *context);

/* Frees it with every part it keeps. */
void KcCatchup_Free(KcCatchup *catchup);

/*
 * Offers a head, from the object API or a peer.  A head that is not newer
 * than the one in force or being fetched is ignored: generations only grow.
 */
void KcCatchup_OnHead(KcCatchup *catchup, const KcHead *head);

/*
 * Delivers a part.  Its hash is verified; returns KC_ERR_INVALID for bytes
 * that do not match, KC_ERR_NOT_FOUND for a part nobody asked for.
 */
int KcCatchup_OnPart(KcCatchup *catchup, const char *hash, const void *data,
                     size_t size);

/* Asks again for every part that is still missing, e.g. from a peer. */
void KcCatchup_RefetchMissing(KcCatchup *catchup);

/* Generation in force, 0 when none. */
uint64_t KcCatchup_CurrentGeneration(const KcCatchup *catchup);

/* Generation being fetched, 0 when none. */
uint64_t KcCatchup_TargetGeneration(const KcCatchup *catchup);

/* Head in force, NULL when none: what a peer is sent. */
const KcHead *KcCatchup_CurrentHead(const KcCatchup *catchup);

/* A part of the head in force; NULL when it is not held. */
const char *KcCatchup_FindPart(const KcCatchup *catchup, const char *hash,
                               size_t *size);

#endif
