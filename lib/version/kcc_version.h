/*
 * Versions of the service document: the parsed document (part 1), its head,
 * which lists the parts of its text (part 2), and fetching a newer version
 * (part 3).
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

/* Returns the name of a section, e.g. "adapters". */
const char *KcSection_Name(KcSection section);

/* Finds a section by name.  Returns it, or KC_ERR_NOT_FOUND. */
int KcSection_Find(const char *name);

/* An error in an INI text, and where it is. */
typedef struct KcProblem {
    TAILQ_ENTRY(KcProblem) link;
    char file[128];            /* file or section name */
    int line;                  /* 1-based; 0: concerns no single line */
    char key[KC_NAME_MAX * 2]; /* [section] key */
    char message[200];         /* what is wrong */
} KcProblem;

TAILQ_HEAD(KcProblemList, KcProblem);
typedef struct KcProblemList KcProblemList;

/* Appends a problem; format is as for printf(). */
void KcProblemList_Add(KcProblemList *list, const char *file, int line,
                       const char *key, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* Frees every problem in the list. */
void KcProblemList_Clear(KcProblemList *list);

/* One key of an INI text; the strings are borrowed for the call. */
typedef struct KcIniItem {
    const char *file;
    int line;
    const char *section;
    const char *key;
    const char *value;
} KcIniItem;

/* Called for each key; appends the problems it finds to list. */
typedef void (*KcIniVisit)(void *context, const KcIniItem *item,
                           KcProblemList *list);

/*
 * Reads an INI text of size bytes and calls visit for each key.  Syntax
 * errors, overlong lines and keys given twice in one section are appended to
 * list with their line.  Returns 0, or KC_ERR_PARSE when any problem was
 * added.
 */
int KcIni_Read(const char *file, const char *text, size_t size,
               KcIniVisit visit, void *context, KcProblemList *list);

/* Parses a whole decimal number.  Returns 0, KC_ERR_PARSE, or
 * KC_ERR_INVALID for a number outside [low, high]. */
int KcIni_ParseNumber(const char *text, int64_t low, int64_t high,
                      int64_t *value);

/* Parses "yes" or "no".  Returns 0 or KC_ERR_PARSE. */
int KcIni_ParseBool(const char *text, bool *value);

typedef enum KcServiceKind {
    KC_SERVICE_MODEL = 0, /* model engines that load adapters */
    KC_SERVICE_PLAIN = 1  /* HTTP services, selected by the request path */
} KcServiceKind;

/* A service: a set of interchangeable backend servers. */
typedef struct KcService {
    TAILQ_ENTRY(KcService) link;
    char name[KC_NAME_MAX];
    KcServiceKind kind;
    char base_model[KC_NAME_MAX];  /* model services */
    char path[KC_NAME_MAX];        /* plain services: prefix of the path */
    bool repeatable;               /* a request may run more than once */
    bool requires_idempotency_key; /* callers must send Idempotency-Key */
    int64_t adapter_slots;         /* adapters an engine holds at once */
    int64_t concurrency_max;       /* requests a backend server runs at once */
    int64_t queue_max;             /* attempts that may wait at one agent */
    int64_t load_ms;               /* nominal time to load one adapter */
    int64_t service_ms;            /* nominal time to run one request */
    int64_t default_deadline_ms;   /* longest time until an answer begins; a
                                    * request's timeout may be shorter */
    /* Weights of waits in routing, 0 to 100: 50 counts the wait once, 100
     * twice; see KcRouteOptions. */
    int64_t stall_weight;
    int64_t batch_weight;
    int64_t rare_stall_max_ms; /* longest wait for a rarely used adapter */
    int64_t loads_per_minute;  /* rate of the shared weight store */
    bool described;            /* the services section lists it */
} KcService;

TAILQ_HEAD(KcServiceList, KcService);

/* A data centre and its region. */
typedef struct KcDatacentre {
    TAILQ_ENTRY(KcDatacentre) link;
    char name[KC_NAME_MAX];
    char region[KC_NAME_MAX];
} KcDatacentre;

TAILQ_HEAD(KcDatacentreList, KcDatacentre);

/* One adapter and the versions that callers may name. */
typedef struct KcAdapter {
    UT_hash_handle hh; /* KcDocument.adapters, by name */
    char name[KC_NAME_MAX];
    KcService *service;
    uint32_t versions[KC_ADAPTER_VERSIONS_MAX];
    bool retired[KC_ADAPTER_VERSIONS_MAX]; /* by index of versions */
    uint32_t default_version;
    uint8_t version_count;
} KcAdapter;

/* Limits of one customer; "*" is the default for those not listed. */
typedef struct KcCustomerLimit {
    TAILQ_ENTRY(KcCustomerLimit) link;
    char customer[KC_NAME_MAX];
    int64_t rate_per_s;    /* requests a second over all entries */
    int64_t burst;         /* requests at once, over all entries */
    int64_t in_flight_max; /* concurrent requests at one entry */
} KcCustomerLimit;

TAILQ_HEAD(KcCustomerLimitList, KcCustomerLimit);

/* One accepted version of the document.  Immutable, reference-counted. */
typedef struct KcDocument {
    uint64_t generation;
    int references;
    struct KcServiceList services;
    struct KcDatacentreList datacentres;
    struct KcCustomerLimitList limits;
    KcAdapter *adapters; /* uthash by name */
    /* Budget of all entries for the network between regions; 0: not given, no
     * request goes to another region. */
    int64_t region_link_bytes_per_s;
} KcDocument;

/* The texts of all sections, borrowed; NULL is an empty section. */
typedef struct KcSectionTexts {
    const char *text[KC_SECTION_COUNT];
    size_t size[KC_SECTION_COUNT];
} KcSectionTexts;

/*
 * Parses all sections and validates them together.
 *
 * Every error is appended to problems.  Returns the document with one
 * reference and the given generation, or NULL when there were problems.
 */
KcDocument *KcDocument_Parse(const KcSectionTexts *texts, uint64_t generation,
                             KcProblemList *problems);

/* Adds a reference and returns document. */
KcDocument *KcDocument_Retain(KcDocument *document);

/* Drops a reference; the last one frees the document.  NULL is allowed. */
void KcDocument_Release(KcDocument *document);

/* Find an adapter, service or data centre by name; NULL when absent. */
KcAdapter *KcDocument_FindAdapter(const KcDocument *document,
                                  const char *name);
KcService *KcDocument_FindService(const KcDocument *document,
                                  const char *name);
KcDatacentre *KcDocument_FindDatacentre(const KcDocument *document,
                                        const char *name);

/* Finds the plain service whose path is path or one of its parent
 * directories; NULL when there is none. */
KcService *KcDocument_FindServiceByPath(const KcDocument *document,
                                        const char *path);

/* Returns the limits of a customer, else those of "*", else NULL. */
KcCustomerLimit *KcDocument_FindLimit(const KcDocument *document,
                                      const char *customer);

/*
 * Resolves "adapter@version" or "adapter" (default version) into ref and its
 * service.  Returns 0, KC_ERR_UNKNOWN_MODEL or KC_ERR_VERSION_RETIRED.
 */
int KcDocument_ResolveModel(const KcDocument *document, const char *model,
                            KcAdapterRef *ref, KcService **service);

/* ---- Part 2: the head --------------------------------------------------- */

/* Size of a 128-bit hash as hexadecimal text, including the NUL. */
#define KC_HASH_TEXT_SIZE 33

/* Largest part in bytes; the object API limits values to 1 MB. */
#define KC_PART_BYTES_MAX 900000
/* Smallest part in bytes; only the last part may be smaller. */
#define KC_PART_BYTES_MIN 16384
/* Most parts of one section. */
#define KC_SECTION_PARTS_MAX 512

/*
 * The head: the manifest of one generation of the document.  It lists the
 * parts that the text of each section consists of, by content hash.
 */
typedef struct KcHead {
    uint64_t generation;
    char author[KC_SECTION_COUNT][KC_NAME_MAX];    /* of the last change */
    uint64_t changed_generation[KC_SECTION_COUNT]; /* generation of the last
                                                      change */
    uint32_t part_count[KC_SECTION_COUNT];
    char part_hash[KC_SECTION_COUNT][KC_SECTION_PARTS_MAX][KC_HASH_TEXT_SIZE];
} KcHead;

/* Writes the 128-bit content hash of data into text as hexadecimal. */
void KcHash_Compute(const void *data, size_t size,
                    char text[KC_HASH_TEXT_SIZE]);

/*
 * Returns the size of the part that starts at text, at most KC_PART_BYTES_MAX;
 * 0 when a single line is longer.  Once a part has KC_PART_BYTES_MIN bytes,
 * whether it ends after a line depends on that line alone, so an edit usually
 * changes one or two parts and the others need not be fetched again.
 */
size_t KcHead_PartSize(const char *text, size_t size);

/* Returns a head as JSON text, which the caller frees. */
char *KcHead_Encode(const KcHead *head);

/* Decodes a head from JSON.  Returns 0 or KC_ERR_PARSE. */
int KcHead_Decode(const char *text, size_t size, KcHead *head);

/* ---- Part 3: catching up ------------------------------------------------ */

/* Fetches newer versions of the document, part by part. */
typedef struct KcCatchup KcCatchup;

/* Calls to the owner of a catch-up. */
typedef struct KcCatchupOps {
    /* Requests a part by hash; answered by KcCatchup_OnPart(). */
    void (*fetch)(void *context, const char *hash);
    /* A newer document is in force; the callee takes the reference. */
    void (*adopt)(void *context, KcDocument *document);
    /* A fetched version is not valid; problems are borrowed for the call. */
    void (*reject)(void *context, uint64_t generation,
                   const KcProblemList *problems);
} KcCatchupOps;

/* Creates a catch-up without a version in force; ops are copied. */
KcCatchup *KcCatchup_Create(const KcCatchupOps *ops, void *context);

/* Frees a catch-up with every part it holds. */
void KcCatchup_Free(KcCatchup *catchup);

/*
 * Starts fetching the version of a head received from the object API or a
 * peer.  A head that is not newer than the one in force or being fetched is
 * ignored: generations only grow.
 */
void KcCatchup_OnHead(KcCatchup *catchup, const KcHead *head);

/*
 * Takes a received part, which is copied.  Returns 0, KC_ERR_INVALID for
 * bytes that don't match the hash, KC_ERR_NOT_FOUND for a part that was not
 * requested.
 */
int KcCatchup_OnPart(KcCatchup *catchup, const char *hash, const void *data,
                     size_t size);

/* Requests every part that is still missing again. */
void KcCatchup_RefetchMissing(KcCatchup *catchup);

/* Returns the generation in force, 0 when there is none. */
uint64_t KcCatchup_CurrentGeneration(const KcCatchup *catchup);

/* Returns the generation being fetched, 0 when there is none. */
uint64_t KcCatchup_TargetGeneration(const KcCatchup *catchup);

/* Returns the head in force, borrowed; NULL when there is none. */
const KcHead *KcCatchup_CurrentHead(const KcCatchup *catchup);

/* Returns a part by hash, borrowed, with its size; NULL when it has not
 * been fetched. */
const char *KcCatchup_FindPart(const KcCatchup *catchup, const char *hash,
                               size_t *size);

#endif
