/*
 * The question of GET /explain as a table of fields, and its answer as JSON.
 * No field takes a key, which comes with the question and isn't in the answer.
 */
#ifndef KCC_EXPLAIN_JSON_H
#define KCC_EXPLAIN_JSON_H

#include <jansson.h>
#include <kcc.h>

/* A request that is described; its texts are borrowed. */
typedef struct KcExplainQuestion {
    KcForwardCall call;
    const char *customer; /* "": none */
    uint64_t hint_tokens; /* of the answer, as it is expected; 0: not said */
    uint64_t parts[KC_PROMPT_PARTS_MAX];
} KcExplainQuestion;

/*
 * Reads a question from an object of texts: host, path, model, adapter,
 * customer, parts (hexadecimal, separated by commas), prompt_tokens,
 * answer_tokens, hint_tokens, timeout_ms.  Returns NULL, or static text on
 * what is wrong, which holds nothing of the question.
 */
const char *KcExplainQuestion_Read(KcExplainQuestion *question,
                                   const json_t *fields);

/* Returns what a gateway foresees, which the caller owns.  Times are in ms;
 * null: unknown. */
json_t *KcExplanation_ToJson(const KcExplanation *explanation);

#endif
