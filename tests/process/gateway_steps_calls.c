/*
 * Requests of the cases of gateway_steps.c.
 */
#include <stdlib.h>
#include <string.h>

#include "gateway_steps_internal.h"

/* Removes the last word if it has the prefix; returns what is behind that,
 * NULL for another word. */
static char *
take_option(char **words, const char *prefix)
{
    uint32_t last = g_strv_length(words) - 1;
    char *value = NULL;

    if (g_str_has_prefix(words[last], prefix)) {
        value = g_strdup(words[last] + strlen(prefix));
        g_clear_pointer(&words[last], g_free);
    }
    return value;
}

/* Reads "PROMPT,ANSWER". */
static void
set_tokens(KcForwardCall *call, const char *text)
{
    char *rest;
    uint64_t prompt_tokens = strtoull(text, &rest, 10);
    uint64_t answer_tokens_max = strtoull(rest + 1, NULL, 10);

    KcForwardCall_SetTokens(call, prompt_tokens, answer_tokens_max,
                            UINT64_MAX);
}

void
GatewaySteps_WithCall(Fixture *fixture, char **words,
                      void (*use)(Fixture *fixture, int number,
                                  const KcForwardCall *call))
{
    KcForwardCall call = {.id = words[1],
                          .host = "H:80",
                          .path = words[2],
                          .model = "",
                          .adapter = "",
                          .prompt_tokens = 10};
    uint64_t prompt_parts[KC_PROMPT_PARTS_MAX];
    uint32_t last = g_strv_length(words) - 1;
    char *prompt_part_ids;
    char *tokens;
    char **parts;

    if (GatewaySteps_TakeKey(&call, words[last])) {
        g_clear_pointer(&words[last], g_free);
    }
    prompt_part_ids = take_option(words, "parts=");
    if (prompt_part_ids != NULL) {
        call.parts = prompt_parts;
        call.part_count =
            GatewaySteps_ReadParts(prompt_part_ids, prompt_parts);
    }
    tokens = take_option(words, "tokens=");
    if (tokens != NULL) {
        set_tokens(&call, tokens);
    }
    parts = words[3] != NULL ? g_strsplit(words[3], "/", 2) : NULL;
    if (parts != NULL) {
        call.model = parts[0];
        call.adapter = parts[1] != NULL ? parts[1] : "";
        call.answer_events_max =
            words[4] != NULL ? (uint64_t)atoi(words[4]) : 0;
        call.has_last_event = words[4] != NULL && words[5] != NULL;
        call.last_event_id =
            call.has_last_event ? (uint64_t)atoi(words[5]) : 0;
    }
    use(fixture, atoi(words[1]), &call);
    g_strfreev(parts);
    g_free(tokens);
    g_free(prompt_part_ids);
}
