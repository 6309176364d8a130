/*
 * Keeps the document in force up to date: watches the head in the object API
 * and fetches its parts there.  Requests the head from a peer that is ahead,
 * and parts, verified by hash, from a peer when the object API does not
 * answer.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_process.h"

/* Least time between two head requests to peers, unless the second one is for
 * a newer generation. */
#define HEAD_REQUEST_INTERVAL (200 * KC_MS)

struct KcSync {
    KcSyncOptions options;
    KcCatchup *catchup;
    uint64_t head_version;         /* object version of the head last seen */
    uint64_t requested_generation; /* of the last head request to a peer */
    uint64_t rejected_generation;  /* of the last invalid document */
    KcTime head_requested_at;      /* time of the last head request, or 0 */
    uint32_t pending_fetches;      /* PartFetch calls outstanding */
    /* By the last call: a read of a part failed, or a watch of the head found
     * the object API unavailable. */
    bool api_failed;
    bool started;        /* KcSync_Start() was called */
    bool watch_pending;  /* a watch of the head is outstanding */
    bool freed;          /* memory is freed after the outstanding calls */
    KcTimer watch_timer; /* repeats the watch */
    KcTimer fetch_timer; /* repeats fetches that failed */
};

/* A part being read from the object API. */
typedef struct PartFetch {
    KcSync *sync;
    char hash[KC_HASH_TEXT_SIZE];
} PartFetch;

static void watch_head(KcSync *sync);

static void
free_if_unused(KcSync *sync)
{
    if (sync->freed && !sync->watch_pending && sync->pending_fetches == 0) {
        free(sync);
    }
}

/* Sends a request for the head (hash NULL) or for a part. */
static void
send_request(KcLink *link, KcMsgType type, const char *hash)
{
    KcMsg msg = {.type = type};

    if (hash != NULL) {
        KcText_Copy(msg.u.part.hash, hash, sizeof(msg.u.part.hash));
    }
    KcLink_Send(link, &msg);
}

/* Repeats the fetches of parts that have not been received. */
static void
on_fetch_timer(KcTimer *timer, KcTime now)
{
    KcSync *sync = timer->owner;

    if (KcCatchup_TargetGeneration(sync->catchup) == 0) {
        return;
    }
    KcTimers_Set(sync->options.timers, timer, now + sync->options.retry_delay);
    KcCatchup_RefetchMissing(sync->catchup);
}

/* Requests a part from a peer that has the target generation, if any. */
static void
request_part(KcSync *sync, const char *hash)
{
    uint64_t target_generation = KcCatchup_TargetGeneration(sync->catchup);
    KcLink *peer =
        sync->options.find_peer(sync->options.context, target_generation);

    if (target_generation != 0 && peer != NULL) {
        send_request(peer, KC_MSG_PART_REQUEST, hash);
    }
}

static void
on_part_read(void *context, const KcObjectReply *reply)
{
    PartFetch *fetch = context;
    KcSync *sync = fetch->sync;

    sync->pending_fetches--;
    if (!sync->freed) {
        sync->api_failed = reply->code != 0;
        if (reply->code == 0) {
            KcCatchup_OnPart(sync->catchup, fetch->hash, reply->value.data,
                             reply->value.size);
        }
        else {
            request_part(sync, fetch->hash);
        }
    }
    free(fetch);
    free_if_unused(sync);
}

/* Fetches a part for the catch-up: from the object API, and also from a peer
 * while the object API does not answer. */
static void
fetch_part(void *context, const char *hash)
{
    KcSync *sync = context;
    KcTime now = sync->options.clock(sync->options.clock_context);
    char name[KC_OBJECT_NAME_MAX];
    PartFetch *fetch;

    if (sync->api_failed) {
        request_part(sync, hash);
    }
    fetch = KcMem_New(sizeof(*fetch));
    fetch->sync = sync;
    KcText_Copy(fetch->hash, hash, sizeof(fetch->hash));
    snprintf(name, sizeof(name), "%s%s", KC_OBJECT_PARTS, hash);
    sync->pending_fetches++;
    sync->options.object_ops->get(sync->options.objects, name, on_part_read,
                                  fetch);
    if (!sync->fetch_timer.is_set) {
        KcTimers_Set(sync->options.timers, &sync->fetch_timer,
                     now + sync->options.retry_delay);
    }
}

static void
adopt_document(void *context, KcDocument *document)
{
    KcSync *sync = context;
    KcTime now = sync->options.clock(sync->options.clock_context);
    KcEventInfo info = {.generation = document->generation};

    KcEvents_Add(sync->options.events, KC_EVENT_ADOPT, now, &info);
    KcCounters_Add(sync->options.counters, KC_COUNT_ADOPTIONS, 1);
    sync->options.on_adopt(sync->options.context, document, now);
}

static void
reject_document(void *context, uint64_t generation,
                const KcProblemList *problems)
{
    KcSync *sync = context;
    KcTime now = sync->options.clock(sync->options.clock_context);
    const KcProblem *first_problem = TAILQ_FIRST(problems);
    KcEventInfo info = {
        .generation = KcSync_Generation(sync),
        .detail = (int64_t)generation,
        .subject = first_problem != NULL ? first_problem->message : ""};

    sync->rejected_generation = generation;
    KcEvents_Add(sync->options.events, KC_EVENT_REJECT, now, &info);
}

static const KcCatchupOps catchup_ops = {fetch_part, adopt_document,
                                         reject_document};

/* Decodes a head and passes it to the catch-up, unless it was rejected. */
static void
handle_head(KcSync *sync, const char *json, size_t size)
{
    KcHead *head = KcMem_New(sizeof(*head));

    if (KcHead_Decode(json, size, head) == 0 &&
        head->generation != sync->rejected_generation) {
        KcCatchup_OnHead(sync->catchup, head);
    }
    free(head);
}

static void
on_watch_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    watch_head(timer->owner);
}

static void
on_head_read(void *context, const KcObjectReply *reply)
{
    KcSync *sync = context;
    KcTime delay = 0;

    sync->watch_pending = false;
    if (sync->freed) {
        free_if_unused(sync);
        return;
    }
    sync->api_failed = reply->code == KC_ERR_OBJECT_API_UNAVAILABLE;
    if (reply->code == 0) {
        sync->head_version = reply->version;
        handle_head(sync, reply->value.data, reply->value.size);
    }
    else {
        delay = sync->options.retry_delay;
    }
    KcTimers_Set(sync->options.timers, &sync->watch_timer,
                 sync->options.clock(sync->options.clock_context) + delay);
}

static void
watch_head(KcSync *sync)
{
    sync->watch_pending = true;
    sync->options.object_ops->watch(sync->options.objects, KC_OBJECT_HEAD,
                                    sync->head_version, on_head_read, sync);
}

KcSync *
KcSync_Create(const KcSyncOptions *options)
{
    KcSync *sync = KcMem_New(sizeof(*sync));

    sync->options = *options;
    sync->catchup = KcCatchup_Create(&catchup_ops, sync);
    KcTimer_Init(&sync->watch_timer, on_watch_timer, sync);
    KcTimer_Init(&sync->fetch_timer, on_fetch_timer, sync);
    return sync;
}

void
KcSync_Free(KcSync *sync)
{
    KcTimers_Clear(sync->options.timers, &sync->watch_timer);
    KcTimers_Clear(sync->options.timers, &sync->fetch_timer);
    KcCatchup_Free(sync->catchup);
    sync->catchup = NULL;
    sync->freed = true;
    free_if_unused(sync);
}

void
KcSync_Start(KcSync *sync, KcTime now)
{
    (void)now;
    assert(!sync->started);
    sync->started = true;
    watch_head(sync);
}

uint64_t
KcSync_Generation(const KcSync *sync)
{
    return KcCatchup_CurrentGeneration(sync->catchup);
}

bool
KcSync_IsBehind(const KcSync *sync, uint64_t generation)
{
    return generation > KcSync_Generation(sync);
}

/* Requests the head of a peer whose document is newer. */
static void
request_head(KcSync *sync, KcLink *link, uint64_t generation, KcTime now)
{
    bool requested_recently =
        sync->head_requested_at != 0 &&
        now - sync->head_requested_at < HEAD_REQUEST_INTERVAL;

    if (generation <= KcCatchup_TargetGeneration(sync->catchup) ||
        generation == sync->rejected_generation) {
        return;
    }
    if (requested_recently && generation <= sync->requested_generation) {
        return;
    }
    sync->requested_generation = generation;
    sync->head_requested_at = now;
    send_request(link, KC_MSG_HEAD_REQUEST, NULL);
}

static void
send_head(KcSync *sync, KcLink *link)
{
    const KcHead *head = KcCatchup_CurrentHead(sync->catchup);
    KcMsg msg = {.type = KC_MSG_HEAD};
    char *json;

    if (head == NULL) {
        return;
    }
    json = KcHead_Encode(head);
    msg.u.head.json = (KcBytes){json, strlen(json)};
    KcLink_Send(link, &msg);
    free(json);
}

static void
send_part(KcSync *sync, KcLink *link, const char *hash)
{
    KcMsg msg = {.type = KC_MSG_PART};

    msg.u.part.bytes.data =
        KcCatchup_FindPart(sync->catchup, hash, &msg.u.part.bytes.size);
    if (msg.u.part.bytes.data == NULL) {
        return;
    }
    KcText_Copy(msg.u.part.hash, hash, sizeof(msg.u.part.hash));
    KcLink_Send(link, &msg);
}

bool
KcSync_OnMessage(KcSync *sync, KcLink *link, const KcMsg *msg, KcTime now)
{
    if (KcSync_IsBehind(sync, msg->generation)) {
        request_head(sync, link, msg->generation, now);
    }
    switch (msg->type) {
    case KC_MSG_HEAD_REQUEST:
        send_head(sync, link);
        return true;
    case KC_MSG_HEAD:
        handle_head(sync, msg->u.head.json.data, msg->u.head.json.size);
        return true;
    case KC_MSG_PART_REQUEST:
        send_part(sync, link, msg->u.part.hash);
        return true;
    case KC_MSG_PART:
        KcCatchup_OnPart(sync->catchup, msg->u.part.hash,
                         msg->u.part.bytes.data, msg->u.part.bytes.size);
        return true;
    default:
        return false;
    }
}
