/*
 * Request line or status line and headers of one received HTTP/1.1 message.
 */
#ifndef KCC_HTTP_MESSAGE_H
#define KCC_HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Largest number of headers in one message. */
#define KC_HTTP_MESSAGE_FIELDS_MAX 64

/* A received header. Both strings are NUL-terminated. */
typedef struct KcHttpField {
    const char *name;
    const char *value;
} KcHttpField;

/*
 * The parsed head of a message. KcHttpConnection owns it and every string in
 * it; they are valid until KcHttpConnection_ReadNextMessage() or the end of
 * the connection.
 */
typedef struct KcHttpMessage {
    const char *method;      /* of a request */
    const char *target;      /* of a request */
    int status;              /* of a response, from 100 to 599 */
    bool is_before_http_1_1; /* HTTP/1.0 or older */
    KcHttpField fields[KC_HTTP_MESSAGE_FIELDS_MAX];
    size_t field_count;
    bool keep_alive;         /* the connection may carry another message */
    bool has_content_length; /* the message has a Content-Length header */
    uint64_t content_length; /* bytes; 0 without has_content_length */
    bool chunked;
    bool ends_with_connection; /* it had no other framing, and its peer has
                                  closed the connection; set at its end */
    size_t head_bytes;         /* of target, header names and values */
} KcHttpMessage;

/*
 * Returns whether name and value contain only the characters that HTTP allows:
 * the name is a token, the value has no control character but tab.
 */
bool KcHttpField_HasValidCharacters(const KcHttpField *field);

/* Returns whether a reason phrase or the value of a header goes on with the
 * status line of another response. */
bool KcHttpText_HoldsStatusLine(const char *text);

/*
 * Returns the value of the first header with this name, compared without
 * regard to case, or NULL when there is none. Owned by the message.
 */
const char *KcHttpMessage_FindField(const KcHttpMessage *message,
                                    const char *name);

/*
 * Returns whether a header that holds a comma-separated list, such as
 * Connection, contains this token, compared without regard to case.
 */
bool KcHttpMessage_FieldHasToken(const KcHttpMessage *message,
                                 const char *name, const char *token);

#endif
