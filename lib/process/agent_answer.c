/*
 * Messages from an agent to an entry about one work: ADMIT, STARTED, DATA
 * within the window, and END.
 */
#include "agent_internal.h"

void
KcAgentAnswer_Send(KcWork *work, KcMsg *msg)
{
    msg->stream_id = work->stream->id;
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

    msg.u.started = work->started_msg;
    work->started_sent = true;
    KcAgentAnswer_Send(work, &msg);
}

static void
send_data(KcWork *work)
{
    uint64_t unacked = work->sent_offset - work->acked_offset;
    KcMsg msg = {.type = KC_MSG_DATA};

    msg.u.data.offset = work->sent_offset;
    msg.u.data.tokens = work->tokens;
    msg.u.data.bytes.data = KcBuffer_Data(&work->answer) + unacked;
    msg.u.data.bytes.size = KcBuffer_Size(&work->answer) - (size_t)unacked;
    work->sent_offset = KcWork_EndOffset(work);
    KcAgentAnswer_Send(work, &msg);
}

void
KcAgentAnswer_SendEnd(KcAgent *agent, KcWork *work)
{
    KcMsg msg = {.type = KC_MSG_END};
    KcMsgEnd *end = &msg.u.end;

    end->code = work->end_code;
    end->reached_backend = work->has_run;
    end->offset = KcWork_EndOffset(work);
    end->tokens = work->tokens;
    KcText_Copy(end->finish_reason, work->finish_reason,
                sizeof(end->finish_reason));
    KcAgentSchedule_FillLoad(agent, work, &end->load);
    work->end_sent = true;
    KcAgentAnswer_Send(work, &msg);
}

void
KcAgentAnswer_UpdateReadingPaused(KcAgent *agent, KcWork *work)
{
    bool may_pause = work->stream != NULL || work->repeatable;
    bool must_pause = may_pause && KcBuffer_Size(&work->answer) >=
                                       agent->options.window_bytes;

    if (work->state == KC_WORK_RUNNING && must_pause != work->reading_paused) {
        work->reading_paused = must_pause;
        agent->options.ops->set_paused(agent->options.backend, work,
                                       must_pause);
    }
}

void
KcAgentAnswer_SendPending(KcAgent *agent, KcWork *work, KcTime now)
{
    (void)now;
    KcAgentAnswer_UpdateReadingPaused(agent, work);
    if (work->stream == NULL || work->end_sent) {
        return;
    }
    if (work->answer_started && !work->started_sent) {
        send_started(work);
    }
    if (work->sent_offset < KcWork_EndOffset(work) &&
        KcWork_UnackedBytes(work) < agent->options.window_bytes) {
        send_data(work);
    }
    if (work->state == KC_WORK_ENDED &&
        work->sent_offset == KcWork_EndOffset(work)) {
        KcAgentAnswer_SendEnd(agent, work);
    }
}
