/*
 * The head of an HTTP/1.1 message, as it was read.
 */
#ifndef KCC_HTTP_MESSAGE_H
#define KCC_HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Headers of one message at the most. */
#define KC_HTTP_MESSAGE_FIELDS_MAX 64

/* One header.  Both texts end with a NUL. */
typedef struct KcHttpField {
    const char *name;
    const char *value;
} KcHttpField;

/* The head of a message; valid until KcHttpPeer_Next(). */
typedef struct KcHttpMessage {
    const char *method;      /* of a request */
    const char *target;      /* of a request */
    int status;              /* of a response */
    bool is_before_http_1_1; /* of a version before HTTP/1.1 */
    KcHttpField fields[KC_HTTP_MESSAGE_FIELDS_MAX];
    size_t field_count;
    bool keep_alive;         /* the connection may be used again */
    bool has_content_length; /* Content-Length was given */
    uint64_t content_length; /* valid with has_content_length */
    bool chunked;
    size_t head_bytes; /* bytes */
} KcHttpMessage;

/* Are name and value of a header made of what they may be? */
bool KcHttpField_HasValidCharacters(const KcHttpField *field);

/* The value of the first header of this name, NULL when there is none. */
const char *KcHttpMessage_Find(const KcHttpMessage *message, const char *name);

/* Does a list header, such as Connection, name this token? */
bool KcHttpMessage_Lists(const KcHttpMessage *message, const char *name,
                         const char *token);

#endif
