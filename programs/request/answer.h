/*
 * Forms in which an answer is given to a caller: rows of a table, one per
 * path of the model API, and one for plain services.
 */
#ifndef KCC_ANSWER_H
#define KCC_ANSWER_H

#include <event2/buffer.h>

#include <kcc.h>

/* What is the same in all pieces of one answer. */
typedef struct KcAnswerInfo {
    char request_id[KC_REQUEST_ID_TEXT];
    char model[KC_MODEL_TEXT]; /* adapter@version */
    int64_t created_at_s;      /* seconds since 1970 */
} KcAnswerInfo;

/* One form of answer. */
typedef struct KcAnswerFormat {
    const char *path; /* of the model API; NULL for plain services */
    /* The whole answer as one JSON object. */
    void (*write_whole)(const KcAnswerInfo *info, KcBytes text,
                        const KcResult *result, struct evbuffer *out);
    /* One piece of a streamed answer as a server-sent event. */
    void (*write_chunk)(const KcAnswerInfo *info, KcBytes text,
                        struct evbuffer *out);
    /* The last events of a streamed answer. */
    void (*write_stream_end)(const KcAnswerInfo *info, const KcResult *result,
                             struct evbuffer *out);
} KcAnswerFormat;

/* Finds the form for a path of the model API; NULL when there is none. */
const KcAnswerFormat *KcAnswer_FindFormat(const char *path);

/* HTTP status for an error number. */
int KcAnswer_HttpStatus(int code);

/* Writes an error as a JSON object. */
void KcAnswer_WriteError(const KcResult *result, struct evbuffer *out);

#endif
