/*
 * The table of message types: the fields of each, for the encoder and the
 * decoder, and the side that may send it, for the link.
 */
#ifndef KCC_MESSAGE_TABLE_INTERNAL_H
#define KCC_MESSAGE_TABLE_INTERNAL_H

#include "kcc_connection.h"

typedef enum KcFieldKind {
    KC_FIELD_U32,
    KC_FIELD_U64,
    KC_FIELD_I32,
    KC_FIELD_BOOL,
    KC_FIELD_STRING, /* char array of the given size, NUL terminated */
    KC_FIELD_BYTES   /* KcBytes */
} KcFieldKind;

/* One field of a message. */
typedef struct KcField {
    KcFieldKind kind;
    size_t offset;    /* within KcMsg */
    size_t size;      /* of a KC_FIELD_STRING */
    uint64_t maximum; /* of a KC_FIELD_U32 or KC_FIELD_U64 */
} KcField;

/* Which side may send a message, and on which stream. */
typedef enum KcMsgRule {
    KC_RULE_CONNECTION = 0,   /* both sides, on stream 0 */
    KC_RULE_OPENS_STREAM = 1, /* initiator, on a new stream */
    KC_RULE_INITIATOR = 2,    /* initiator, on an open stream */
    KC_RULE_ACCEPTOR = 3      /* acceptor, on an open stream */
} KcMsgRule;

/* One message type; its fields in the order in which they are encoded. */
typedef struct KcMsgLayout {
    const char *name;
    KcMsgRule rule;
    size_t field_count;
    const KcField *fields;
} KcMsgLayout;

/* By KcMsgType. */
extern const KcMsgLayout KcMsg_Layouts[KC_MSG_COUNT];

/* Is a frame, without its prefix, one whole element of msgpack with no more
 * elements in it than a message may have? */
bool KcFrame_HasFewElements(const unsigned char *frame, size_t size);

#endif
