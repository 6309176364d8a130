/*
 * The entry's life cycle, document, instance list and planned stop.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_internal.h"

/* Adapters whose last known backend servers are kept. */
#define HINTS_MAX 16384
/* Customers whose use is tracked; idle ones above this are forgotten. */
#define CUSTOMERS_MAX 16384

void
KcEntryOptions_Init(KcEntryOptions *options)
{
    memset(options, 0, sizeof(*options));
    KcMemberOptions_Init(&options->member);
    options->policy = KcRoute_Policy("kcc");
    options->attempts_max = 4;
    options->requests_max = 20000;
    options->reply_timeout = 1 * KC_SECOND;
    options->resume_timeout = 3 * KC_SECOND;
    options->resume_retry = 100 * KC_MS;
    options->cancel_grace = 500 * KC_MS;
    options->ping_after = 1 * KC_SECOND;
    options->lost_after = 3 * KC_SECOND;
    options->suspect = 500 * KC_MS;
    options->remote_cost = 60 * KC_MS;
    options->window = 64 * 1024;
    options->retry_percent = 20;
    options->retry_burst = 100;
}

/* Applies the document's region of this entry and the instances' placement. */
static void
apply_document(KcEntry *entry, KcTime now)
{
    KcDatacentre *datacentre = KcDocument_Datacentre(
        entry->document, entry->options.member.datacentre);

    KcName_Copy(entry->fleet.region,
                datacentre != NULL ? datacentre->region : "", KC_NAME_MAX);
    KcEntry_OnInstances(entry, NULL, 0, entry->entry_count, now);
}

static void
adopt_document(void *context, KcDocument *document, KcTime now)
{
    KcEntry *entry = context;

    assert(entry->document == NULL ||
           entry->document->generation < document->generation);
    KcDocument_Release(entry->document);
    entry->document = document;
    apply_document(entry, now);
    KcLease_Confirm(entry->lease, document->generation, now);
}

/* Returns a link to an agent of at least this generation, or NULL. */
static KcLink *
find_peer_at_generation(void *context, uint64_t generation)
{
    KcEntry *entry = context;
    KcBackend *backend;

    TAILQ_FOREACH (backend, &entry->fleet.backends, link) {
        if (backend->connection != NULL &&
            backend->connection->peer_generation >= generation) {
            return backend->connection;
        }
    }
    return NULL;
}

/*
 * Nothing depends on an entry's fencing number, as it gives no orders; its
 * lease serves to confirm the generation in force.
 */
static void
on_lease_changed(void *context, uint64_t fence, KcTime now)
{
    (void)context;
    (void)fence;
    (void)now;
}

static const KcMemberOps member_ops = {
    "entry", adopt_document, find_peer_at_generation, on_lease_changed};

KcEntry *
KcEntry_Create(const KcEntryOptions *options)
{
    KcEntry *entry = KcMem_New(sizeof(*entry));

    assert(options->attempts_max <= KC_ATTEMPTS_MAX);
    entry->options = *options;
    entry->random_state = options->member.incarnation | 1;
    entry->entry_count = 1;
    TAILQ_INIT(&entry->requests);
    TAILQ_INIT(&entry->claims);
    KcFleet_Init(&entry->fleet, HINTS_MAX);
    KcCustomers_Init(&entry->customers, CUSTOMERS_MAX);
    KcRetryBudget_Init(&entry->retry_budget, options->retry_percent,
                       options->retry_burst);
    entry->sync = KcMember_CreateSync(&options->member, &member_ops, entry);
    entry->lease = KcMember_CreateLease(&options->member, &member_ops, entry);
    return entry;
}

static void
close_link(KcEntry *entry, KcBackend *backend)
{
    KcLink *link = backend->connection;

    KcTimers_Clear(entry->options.member.timers, &backend->watch);
    if (link != NULL) {
        backend->connection = NULL;
        link->ops->close(link->transport);
        KcLink_Free(link);
    }
}

void
KcEntry_Free(KcEntry *entry)
{
    KcBackend *backend;

    assert(TAILQ_EMPTY(&entry->requests));
    TAILQ_FOREACH (backend, &entry->fleet.backends, link) {
        close_link(entry, backend);
    }
    KcClaim_DiscardAll(&entry->claims);
    KcFleet_Clear(&entry->fleet);
    KcCustomers_Clear(&entry->customers);
    KcSync_Free(entry->sync);
    KcLease_Free(entry->lease);
    KcDocument_Release(entry->document);
    free(entry->instances);
    free(entry);
}

void
KcEntry_Start(KcEntry *entry, KcTime now)
{
    KcSync_Start(entry->sync, now);
    KcLease_Start(entry->lease, now);
}

static void
on_backend_forgotten(void *context, KcBackend *backend)
{
    close_link(context, backend);
}

/* Copies the list: a new document may place its instances differently. */
static void
store_instances(KcEntry *entry, const KcInstance *instances, size_t count)
{
    size_t size = count * sizeof(*instances);

    free(entry->instances);
    entry->instances = KcMem_New(size);
    memcpy(entry->instances, instances, size);
    entry->instance_count = count;
}

void
KcEntry_OnInstances(KcEntry *entry, const KcInstance *instances, size_t count,
                    uint32_t entry_count, KcTime now)
{
    (void)now;
    if (instances != NULL) {
        store_instances(entry, instances, count);
    }
    entry->entry_count = entry_count > 0 ? entry_count : 1;
    if (entry->document != NULL) {
        entry->remote_budget.per_s =
            entry->document->link_bytes_per_s / (int64_t)entry->entry_count;
    }
    KcFleet_Update(&entry->fleet, entry->instances, entry->instance_count,
                   entry->document, on_backend_forgotten, entry);
}

void
KcEntry_CloseIdle(KcEntry *entry, KcTime idle_age, KcTime now)
{
    KcBackend *backend;

    TAILQ_FOREACH (backend, &entry->fleet.backends, link) {
        KcLink *link = backend->connection;

        if (link != NULL && TAILQ_EMPTY(&link->stream_list) &&
            TAILQ_EMPTY(&backend->attempt_list) &&
            now - link->idle_since >= idle_age) {
            close_link(entry, backend);
        }
    }
}

void
KcEntry_Drain(KcEntry *entry, KcTime now)
{
    KcEventInfo info = {.peer = entry->options.member.name};

    if (!entry->leaving) {
        KcEvents_Add(entry->options.member.events, KC_EVENT_LEAVING, now,
                     &info);
        KcLease_Leave(entry->lease, now);
    }
    entry->leaving = true;
}

bool
KcEntry_Drained(const KcEntry *entry)
{
    return TAILQ_EMPTY(&entry->requests) && TAILQ_EMPTY(&entry->claims);
}

int
KcEntry_Ready(const KcEntry *entry)
{
    if (entry->leaving) {
        return KC_ERR_LEAVING;
    }
    if (entry->document == NULL) {
        return KC_ERR_NO_DOCUMENT;
    }
    return 0;
}

uint64_t
KcEntry_Generation(const KcEntry *entry)
{
    return KcSync_Generation(entry->sync);
}

const KcDocument *
KcEntry_Document(const KcEntry *entry)
{
    return entry->document;
}

const KcFleet *
KcEntry_Fleet(const KcEntry *entry)
{
    return &entry->fleet;
}

uint32_t
KcEntry_RequestCount(const KcEntry *entry)
{
    return entry->request_count;
}

void
KcEntry_Hello(const KcEntry *entry, KcMsg *msg)
{
    KcMsg_Hello(msg, entry->options.member.name,
                entry->options.member.incarnation);
}

void
KcEntry_RecordEvent(KcEntry *entry, KcEventType type, const KcRequest *request,
                    const char *peer, int64_t detail, KcTime now)
{
    char subject[KC_MODEL_TEXT];
    KcEventInfo info = {.request = &request->id,
                        .peer = peer,
                        .subject = subject,
                        .generation = KcSync_Generation(entry->sync),
                        .detail = detail};

    if (request->model.adapter[0] != '\0') {
        KcModelRef_Format(&request->model, subject);
    }
    else {
        KcName_Copy(subject,
                    request->service != NULL ? request->service->name : "",
                    sizeof(subject));
    }
    KcEvents_Add(entry->options.member.events, type, now, &info);
}
