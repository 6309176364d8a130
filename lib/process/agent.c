/*
 * The agent's life cycle, document, lease, connections and planned stop.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "agent_internal.h"

/* Longest wait for the entries to send LEAVING back. */
#define LEAVING_ECHO_TIMEOUT (5 * KC_SECOND)

void
KcAgentOptions_Init(KcAgentOptions *options)
{
    memset(options, 0, sizeof(*options));
    KcMemberOptions_Init(&options->member);
    options->victim = KcVictim_Policy("kcc");
    options->fencing = true;
    options->store_share = 1;
    options->hold = 500 * KC_MS;
    options->detach = 5 * KC_SECOND;
    options->retain = 60 * KC_SECOND;
    options->inspect = 1 * KC_SECOND;
    options->window = 64 * 1024;
    options->order.priority_step_ms = 1000;
    options->order.share_step_ms = 500;
    options->load_failures_max = 3;
}

static void
adopt_document(void *context, KcDocument *document, KcTime now)
{
    KcAgent *agent = context;

    assert(agent->document == NULL ||
           agent->document->generation < document->generation);
    KcDocument_Release(agent->document);
    agent->document = document;
    agent->service = KcDocument_Service(document, agent->options.service);
    KcAgentEngine_ConfigureSlots(agent, now);
    KcLease_Confirm(agent->lease, document->generation, now);
    KcAgentWork_DecideHeld(agent, now);
    KcAgentSchedule_Run(agent, now);
}

/* Returns a link to an entry of at least this generation, or NULL. */
static KcLink *
find_peer_at_generation(void *context, uint64_t generation)
{
    KcAgent *agent = context;
    KcLink *link;

    TAILQ_FOREACH (link, &agent->links, link) {
        if (link->greeted && link->peer_generation >= generation) {
            return link;
        }
    }
    return NULL;
}

static void
on_lease_changed(void *context, uint64_t fence, KcTime now)
{
    KcAgent *agent = context;

    agent->engine_inspected = false;
    if (fence != 0) {
        KcAgentEngine_AnnounceFence(agent);
        KcAgentEngine_Inspect(agent, now);
    }
}

static const KcMemberOps member_ops = {
    "agent", adopt_document, find_peer_at_generation, on_lease_changed};

KcAgent *
KcAgent_Create(const KcAgentOptions *options)
{
    KcAgent *agent = KcMem_New(sizeof(*agent));

    agent->options = *options;
    TAILQ_INIT(&agent->links);
    TAILQ_INIT(&agent->held_works);
    TAILQ_INIT(&agent->queued_works);
    TAILQ_INIT(&agent->running_works);
    TAILQ_INIT(&agent->ended_works);
    KcAgentSchedule_Init(agent);
    agent->sync = KcMember_CreateSync(&options->member, &member_ops, agent);
    agent->lease = KcMember_CreateLease(&options->member, &member_ops, agent);
    return agent;
}

static void
free_records(KcAgent *agent)
{
    KcWatermark *watermark;
    KcWatermark *next;

    HASH_ITER(hh, agent->watermarks, watermark, next)
    {
        HASH_DEL(agent->watermarks, watermark);
        free(watermark);
    }
    if (agent->has_residency) {
        KcResidency_Clear(&agent->residency);
    }
}

static void
release_link(KcAgent *agent, KcLink *link, KcTime now)
{
    KcStream *stream;

    while ((stream = TAILQ_FIRST(&link->stream_list)) != NULL) {
        KcWork *work = stream->owner;

        stream->owner = NULL;
        KcLink_CloseStream(stream, now);
        if (work != NULL) {
            work->stream = NULL;
            KcAgentWork_Detach(agent, work, now);
        }
    }
    TAILQ_REMOVE(&agent->links, link, link);
    KcLink_Free(link);
}

void
KcAgent_Free(KcAgent *agent)
{
    KcTime now = KcMember_Now(&agent->options.member);
    KcLink *link;
    KcWork *work;
    KcWork *next;

    while ((link = TAILQ_FIRST(&agent->links)) != NULL) {
        link->ops->close(link->transport);
        release_link(agent, link, now);
    }
    HASH_ITER(hh, agent->works, work, next)
    {
        KcAgentWork_Forget(agent, work, now);
    }
    KcTimers_Clear(agent->options.member.timers, &agent->inspection_timer);
    KcTimers_Clear(agent->options.member.timers, &agent->schedule_timer);
    KcSync_Free(agent->sync);
    KcLease_Free(agent->lease);
    KcDocument_Release(agent->document);
    free_records(agent);
    free(agent);
}

void
KcAgent_Start(KcAgent *agent, KcTime now)
{
    KcSync_Start(agent->sync, now);
    KcLease_Start(agent->lease, now);
    KcAgentEngine_StartInspections(agent, now);
}

/* ---- connections -------------------------------------------------------- */

static void
stamp_message(void *context, KcMsg *msg)
{
    KcAgent *agent = context;

    msg->generation = KcSync_Generation(agent->sync);
    msg->clock = KcEvents_Clock(agent->options.member.events,
                                KcMember_Now(&agent->options.member));
}

void
KcAgent_OnConnected(KcAgent *agent, KcLink *link, KcTime now)
{
    KcMsg msg;

    (void)now;
    link->owner = agent;
    link->stamp = stamp_message;
    link->stamp_context = agent;
    TAILQ_INSERT_TAIL(&agent->links, link, link);
    KcMsg_Hello(&msg, agent->options.member.name,
                agent->options.member.incarnation);
    KcLink_Send(link, &msg);
}

void
KcAgent_OnLinkLost(KcAgent *agent, KcLink *link, int code, KcTime now)
{
    KcEventInfo info = {.peer = link->peer,
                        .generation = KcSync_Generation(agent->sync),
                        .detail = code};

    KcEvents_Add(agent->options.member.events, KC_EVENT_LINK_LOST, now, &info);
    release_link(agent, link, now);
}

static void
close_link(KcAgent *agent, KcLink *link, int code, KcTime now)
{
    link->ops->close(link->transport);
    KcAgent_OnLinkLost(agent, link, code, now);
}

/*
 * Closes an entry's older connections when it has opened a new one.  Messages
 * still unread on them must not be handled: the entry may already have got
 * the reply that an attempt in them did not run.
 */
static void
close_older_links(KcAgent *agent, const KcLink *newer, KcTime now)
{
    KcLink *link;
    KcLink *next;

    TAILQ_FOREACH_SAFE (link, &agent->links, link, next) {
        if (link != newer && link->greeted &&
            strcmp(link->peer, newer->peer) == 0) {
            close_link(agent, link, KC_ERR_CONFLICT, now);
        }
    }
}

static void
on_hello(KcAgent *agent, KcLink *link, KcTime now)
{
    KcMsg msg = {.type = KC_MSG_LEAVING};
    KcEventInfo info = {.peer = link->peer,
                        .generation = KcSync_Generation(agent->sync)};

    KcEvents_Add(agent->options.member.events, KC_EVENT_LINK_UP, now, &info);
    close_older_links(agent, link, now);
    KcAgentWork_AbandonEarlier(agent, link->peer, link->peer_incarnation, now);
    if (agent->leaving) {
        KcLink_Send(link, &msg);
    }
}

static void
on_stream_message(KcAgent *agent, KcStream *stream, const KcMsg *msg,
                  KcTime now)
{
    switch (msg->type) {
    case KC_MSG_PROPOSE:
        KcAgentWork_OnPropose(agent, stream, msg, now);
        break;
    case KC_MSG_RESUME:
        KcAgentWork_OnResume(agent, stream, msg, now);
        break;
    case KC_MSG_CANCEL:
        KcAgentWork_OnCancel(agent, stream->owner, now);
        break;
    case KC_MSG_CREDIT:
        KcAgentWork_OnCredit(agent, stream->owner, msg, now);
        break;
    default:
        break;
    }
}

void
KcAgent_OnMessage(KcAgent *agent, KcLink *link, const KcMsg *msg, KcTime now)
{
    KcStream *stream;
    KcError error;
    KcMsg pong = {.type = KC_MSG_PONG};

    KcEvents_Observe(agent->options.member.events, msg->clock, now);
    if (KcLink_Receive(link, msg, &stream, now, &error) != 0) {
        KcCounters_Add(agent->options.member.counters,
                       KC_COUNT_PROTOCOL_ERRORS, 1);
        close_link(agent, link, error.code, now);
        return;
    }
    if (msg->type == KC_MSG_HELLO) {
        on_hello(agent, link, now);
    }
    if (KcSync_OnMessage(agent->sync, link, msg, now)) {
        return;
    }
    if (msg->type == KC_MSG_PING) {
        KcLink_Send(link, &pong);
    }
    else if (stream != NULL) {
        on_stream_message(agent, stream, msg, now);
    }
}

/* ---- planned stop and views --------------------------------------------- */

void
KcAgent_Drain(KcAgent *agent, KcTime now)
{
    KcMsg msg = {.type = KC_MSG_LEAVING};
    KcLink *link;
    KcWork *work;
    KcWork *next;

    if (agent->leaving) {
        return;
    }
    agent->leaving = true;
    agent->leave_wait_until = now + LEAVING_ECHO_TIMEOUT;
    KcAgent_RecordEvent(agent, KC_EVENT_LEAVING, NULL, NULL, 0, now);
    KcLease_Leave(agent->lease, now);
    TAILQ_FOREACH (link, &agent->links, link) {
        if (link->greeted) {
            KcLink_Send(link, &msg);
        }
    }
    /* Works that have not started can run at another backend server. */
    TAILQ_FOREACH_SAFE (work, &agent->held_works, link, next) {
        KcAgentWork_Refuse(agent, work, KC_ERR_LEAVING, now);
    }
    TAILQ_FOREACH_SAFE (work, &agent->queued_works, link, next) {
        KcAgentWork_Refuse(agent, work, KC_ERR_LEAVING, now);
    }
}

/* True when every entry has sent LEAVING back: no proposal is on its way. */
static bool
all_links_leaving(const KcAgent *agent)
{
    const KcLink *link;

    TAILQ_FOREACH (link, &agent->links, link) {
        if (link->greeted && !link->leaving) {
            return false;
        }
    }
    return true;
}

/*
 * True while an answer is to be delivered.  Answers whose entry is not
 * connected are given up after the wait for LEAVING.
 */
static bool
has_undelivered_answer(const KcAgent *agent, KcTime now)
{
    const KcWork *work;

    TAILQ_FOREACH (work, &agent->ended_works, link) {
        if (work->stream != NULL || now < agent->leave_wait_until) {
            return true;
        }
    }
    return false;
}

bool
KcAgent_Drained(const KcAgent *agent)
{
    KcTime now = KcMember_Now(&agent->options.member);

    /* An entry that is frozen or cut off must not block the stop. */
    if (!all_links_leaving(agent) && now < agent->leave_wait_until) {
        return false;
    }
    return TAILQ_EMPTY(&agent->running_works) &&
           TAILQ_EMPTY(&agent->queued_works) &&
           TAILQ_EMPTY(&agent->held_works) &&
           !has_undelivered_answer(agent, now);
}

int
KcAgent_Ready(const KcAgent *agent, KcTime now)
{
    (void)now;
    if (agent->leaving) {
        return KC_ERR_LEAVING;
    }
    if (agent->document == NULL) {
        return KC_ERR_NO_DOCUMENT;
    }
    if (agent->service == NULL) {
        return KC_ERR_NOT_FOUND;
    }
    return 0;
}

uint64_t
KcAgent_Generation(const KcAgent *agent)
{
    return KcSync_Generation(agent->sync);
}

uint64_t
KcAgent_Fence(const KcAgent *agent)
{
    return KcLease_Fence(agent->lease);
}

uint32_t
KcAgent_Running(const KcAgent *agent)
{
    return agent->running_count;
}

uint32_t
KcAgent_Queued(const KcAgent *agent)
{
    return agent->queued_count;
}

const KcResidency *
KcAgent_Residency(const KcAgent *agent)
{
    return &agent->residency;
}

void
KcAgent_RecordEvent(KcAgent *agent, KcEventType type, const KcWork *work,
                    const char *subject, int64_t detail, KcTime now)
{
    char text[KC_MODEL_TEXT];
    KcEventInfo info = {.subject = subject,
                        .generation = KcSync_Generation(agent->sync),
                        .detail = detail};

    if (work != NULL) {
        info.request = &work->key.request;
        if (work->stream != NULL) {
            info.peer = work->stream->parent->peer;
        }
        if (subject == NULL && work->model.adapter[0] != '\0') {
            KcModelRef_Format(&work->model, text);
            info.subject = text;
        }
    }
    KcEvents_Add(agent->options.member.events, type, now, &info);
}
