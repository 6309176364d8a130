/*
 * Parts of prompts as JSON.
 */
#include "suspects_json.h"

static void
add_list(const struct KcSuspectList *suspect_list, const char *service,
         const char *state, json_t *list, KcTime now)
{
    const KcSuspect *suspect;
    char part[KC_PARTS_TEXT_SIZE];
    char companions[KC_PARTS_TEXT_SIZE];

    TAILQ_FOREACH (suspect, suspect_list, link) {
        KcTime since = suspect->state == KC_SUSPECT_BLOCKED
                           ? suspect->blocked_at
                           : suspect->ends[0].at;

        KcParts_Format(&suspect->part, 1, part);
        KcParts_Format(suspect->companions, suspect->companion_count,
                       companions);
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:i, s:i, s:I, s:s}", "service",
                            service, "part", part, "state", state, "ends",
                            (int)suspect->end_count, "trials",
                            (int)suspect->trial_count, "age_s",
                            (json_int_t)((now - since) / KC_SECOND),
                            "companions", companions));
    }
}

void
KcSuspects_AddJson(const KcSuspects *suspects, const char *service,
                   json_t *list, KcTime now)
{
    add_list(&suspects->lists[KC_SUSPECT_BLOCKED], service, "blocked", list,
             now);
    add_list(&suspects->lists[KC_SUSPECT_SUSPECTED], service, "suspected",
             list, now);
}
