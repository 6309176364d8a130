/*
 * Formats of answers to callers: a table with one row for each path of the
 * model API. Plain services have no format; the bodies of their answers are
 * passed on unchanged.
 */
#ifndef KCC_ANSWER_H
#define KCC_ANSWER_H

#include <event2/buffer.h>

#include <kcc.h>

/* Values that are the same in all events of one answer. */
typedef struct KcAnswerInfo {
    char request_id[KC_REQUEST_ID_TEXT_SIZE]; /* "" when not known yet */
    char model[KC_ADAPTER_REF_TEXT_SIZE];     /* adapter@version, or "" */
    int64_t created_at_s;                     /* Unix time */
} KcAnswerInfo;

/* Writers for the answers of one path. */
typedef struct KcAnswerFormat {
    const char *path; /* of the model API */
    /* Writes the whole answer as one JSON object. */
    void (*write_whole)(const KcAnswerInfo *info, KcBytes text,
                        const KcResult *result, struct evbuffer *out);
    /* Writes a part of a streamed answer as a server-sent event. */
    void (*write_chunk)(const KcAnswerInfo *info, KcBytes text,
                        struct evbuffer *out);
    /*
     * Writes the last events of a streamed answer: finish reason and [DONE].
     */
    void (*write_stream_end)(const KcAnswerInfo *info, const KcResult *result,
                             struct evbuffer *out);
} KcAnswerFormat;

/*
 * Returns the format for a path of the model API, a static object, or NULL
 * when there is none.
 */
const KcAnswerFormat *KcAnswer_FindFormat(const char *path);

/*
 * Returns the HTTP status of a request that failed: that of its KcErrorCode;
 * 502 when the code has none, or one that says that the request did not run
 * though its outcome is unknown.
 */
int KcAnswer_HttpStatus(const KcResult *result);

/* Appends the error of a request to out as a JSON object. */
void KcAnswer_WriteError(const KcResult *result, struct evbuffer *out);

#endif
