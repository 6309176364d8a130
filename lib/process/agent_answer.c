/*
 * Messages from an agent to an entry about one work: ADMIT, STARTED, DATA
 * within the window, and END.
 */
#include "agent_internal.h"

void
KcAgentAnswer_Send(KcWork *work, KcMsg *msg)
{
    msg->stream = work->stream->id;
    KcLink_Send(work->stream->parent, msg);
}

void
KcAgentAnswer_SendAdmit(KcAgent *agent, KcWork *work)
{
    KcMsg msg = {.type = KC_MSG_ADMIT};

    KcAgentSchedule_FillLoad(agent, work, &msg.u.admit.load);
    KcAgentAnswer_Send(work, &msg);
}

static void
send_started(KcWork *work)
{
    KcMsg msg = {.type = KC_MSG_STARTED};

    msg.u.started = work->head;
    work->started_sent = true;
    KcAgentAnswer_Send(work, &msg);
}

static void
send_data(KcWork *work)
{
    uint64_t unacked = work->sent - work->acked;
    KcMsg msg = {.type = KC_MSG_DATA};

    msg.u.data.offset = work->sent;
    msg.u.data.tokens = work->tokens;
    msg.u.data.bytes.data = KcBuffer_Data(&work->out) + unacked;
    msg.u.data.bytes.size = KcBuffer_Size(&work->out) - (size_t)unacked;
    work->sent = KcWork_Total(work);
    KcAgentAnswer_Send(work, &msg);
}

void
KcAgentAnswer_SendEnd(KcAgent *agent, KcWork *work)
{
    KcMsg msg = {.type = KC_MSG_END};
    KcMsgEnd *end = &msg.u.end;

    end->code = work->end_code;
    end->ran = work->ran;
    end->offset = KcWork_Total(work);
    end->tokens = work->tokens;
    KcName_Copy(end->finish, work->finish, sizeof(end->finish));
    KcAgentSchedule_FillLoad(agent, work, &end->load);
    work->end_sent = true;
    KcAgentAnswer_Send(work, &msg);
}

void
KcAgentAnswer_UpdateThrottle(KcAgent *agent, KcWork *work)
{
    bool may_pause = work->stream != NULL || work->repeatable;
    bool full =
        may_pause && KcBuffer_Size(&work->out) >= agent->options.window;

    if (work->state == KC_WORK_RUNNING && full != work->throttled) {
        work->throttled = full;
        agent->options.ops->throttle(agent->options.backend, work, full);
    }
}

void
KcAgentAnswer_SendPending(KcAgent *agent, KcWork *work, KcTime now)
{
    (void)now;
    KcAgentAnswer_UpdateThrottle(agent, work);
    if (work->stream == NULL || work->end_sent) {
        return;
    }
    if (work->started && !work->started_sent) {
        send_started(work);
    }
    if (work->sent < KcWork_Total(work) &&
        KcWork_Unacked(work) < agent->options.window) {
        send_data(work);
    }
    if (work->state == KC_WORK_ENDED && work->sent == KcWork_Total(work)) {
        KcAgentAnswer_SendEnd(agent, work);
    }
}
