/*
 * News of prompt parts and ends of servers as messages, and ids of parts as
 * text.
 */
#include <inttypes.h>
#include <stdio.h>

#include "kcc_suspects.h"

void
KcSuspectNews_ToMsg(const KcSuspectNews *news, KcMsg *msg,
                    char companions[KC_PROMPT_PARTS_MAX * KC_PART_BYTES])
{
    *msg = (KcMsg){.type = KC_MSG_SUSPECT,
                   .u.suspect = {.kind = (uint32_t)news->kind,
                                 .part = news->part,
                                 .epoch = news->epoch,
                                 .instance = news->instance,
                                 .age_ms = (uint64_t)(news->age / KC_MS),
                                 .trial_count = news->trial_count}};
    msg->u.suspect.companions = KcParts_Encode(
        news->companions,
        news->companion_count < KC_PROMPT_PARTS_MAX ? news->companion_count
                                                    : KC_PROMPT_PARTS_MAX,
        companions);
}

int
KcSuspectNews_FromMsg(const KcMsg *msg, KcSuspectNews *news,
                      uint64_t companions[KC_PROMPT_PARTS_MAX])
{
    const KcMsgSuspect *suspect = &msg->u.suspect;

    if (suspect->kind >= KC_SUSPECT_NEWS_KIND_COUNT ||
        suspect->age_ms > INT64_MAX / KC_MS) {
        return KC_ERR_PROTOCOL;
    }
    *news = (KcSuspectNews){.kind = (KcSuspectNewsKind)suspect->kind,
                            .part = suspect->part,
                            .epoch = suspect->epoch,
                            .instance = suspect->instance,
                            .age = (KcTime)suspect->age_ms * KC_MS,
                            .trial_count = suspect->trial_count,
                            .companions = companions};
    news->companion_count =
        KcParts_Decode(suspect->companions, companions, KC_PROMPT_PARTS_MAX);
    return 0;
}

void
KcServerEnd_ToMsg(const KcServerEnd *end, KcMsgType type, KcMsg *msg,
                  char parts[KC_PROMPT_PARTS_MAX * KC_PART_BYTES])
{
    *msg = (KcMsg){.type = type,
                   .u.ended = {.started_at_ms = (uint64_t)end->started_at_ms,
                               .age_ms = (uint64_t)(end->age / KC_MS)}};
    msg->u.ended.parts = KcParts_Encode(end->parts, end->part_count, parts);
}

int
KcServerEnd_FromMsg(const KcMsg *msg, KcServerEnd *end,
                    uint64_t parts[KC_PROMPT_PARTS_MAX])
{
    const KcMsgEnded *ended = &msg->u.ended;

    if (ended->started_at_ms > INT64_MAX ||
        ended->age_ms > INT64_MAX / KC_MS) {
        return KC_ERR_PROTOCOL;
    }
    *end = (KcServerEnd){.started_at_ms = (int64_t)ended->started_at_ms,
                         .age = (KcTime)ended->age_ms * KC_MS,
                         .parts = parts};
    end->part_count = KcParts_Decode(ended->parts, parts, KC_PROMPT_PARTS_MAX);
    return 0;
}

void
KcParts_Format(const uint64_t *parts, uint32_t count,
               char text[KC_PARTS_TEXT_SIZE])
{
    int size = 0;

    text[0] = '\0';
    for (uint32_t i = 0; i < count && size < KC_PARTS_TEXT_SIZE; i++) {
        size += snprintf(text + size, (size_t)(KC_PARTS_TEXT_SIZE - size),
                         "%s%08" PRIx64, i > 0 ? "," : "", parts[i]);
    }
}
