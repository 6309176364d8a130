/*
 * Encodes and decodes messages: a four-byte length in network byte order,
 * then a msgpack array [type, generation, clock, stream, field...].
 */
#include <arpa/inet.h>
#include <assert.h>
#include <endian.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "message_table_internal.h"

#define LENGTH_PREFIX_SIZE 4
#define HEADER_FIELD_COUNT 4

struct KcEncoder {
    msgpack_sbuffer buffer;
};

struct KcDecoder {
    msgpack_unpacked unpacked;
};

KcEncoder *
KcEncoder_Create(void)
{
    KcEncoder *encoder = KcMem_New(sizeof(*encoder));

    msgpack_sbuffer_init(&encoder->buffer);
    return encoder;
}

void
KcEncoder_Free(KcEncoder *encoder)
{
    msgpack_sbuffer_destroy(&encoder->buffer);
    free(encoder);
}

static void
pack_bytes(msgpack_packer *packer, const char *data, size_t size)
{
    msgpack_pack_bin(packer, size);
    msgpack_pack_bin_body(packer, data, size);
}

/* Appends one field of a message to the array. */
static void
pack_field(msgpack_packer *packer, const KcMsg *msg, const KcField *field)
{
    const char *field_data = (const char *)msg + field->offset;

    switch (field->kind) {
    case KC_FIELD_U32:
        msgpack_pack_uint32(packer, *(const uint32_t *)field_data);
        break;
    case KC_FIELD_U64:
        msgpack_pack_uint64(packer, *(const uint64_t *)field_data);
        break;
    case KC_FIELD_I32:
        msgpack_pack_int32(packer, *(const int32_t *)field_data);
        break;
    case KC_FIELD_BOOL:
        if (*(const bool *)field_data) {
            msgpack_pack_true(packer);
        }
        else {
            msgpack_pack_false(packer);
        }
        break;
    case KC_FIELD_STRING:
        pack_bytes(packer, field_data, strnlen(field_data, field->size - 1));
        break;
    case KC_FIELD_BYTES:
        pack_bytes(packer, ((const KcBytes *)field_data)->data,
                   ((const KcBytes *)field_data)->size);
        break;
    }
}

int
KcEncoder_Encode(KcEncoder *encoder, const KcMsg *msg, KcBytes *bytes)
{
    const KcMsgLayout *layout = &KcMsg_Layouts[msg->type];
    msgpack_packer packer;
    uint32_t length = 0;

    assert((unsigned)msg->type < KC_MSG_COUNT);
    msgpack_sbuffer_clear(&encoder->buffer);
    msgpack_sbuffer_write(&encoder->buffer, (const char *)&length,
                          LENGTH_PREFIX_SIZE);
    msgpack_packer_init(&packer, &encoder->buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, HEADER_FIELD_COUNT + layout->field_count);
    msgpack_pack_uint32(&packer, (uint32_t)msg->type);
    msgpack_pack_uint64(&packer, msg->generation);
    msgpack_pack_uint64(&packer, msg->clock);
    msgpack_pack_uint32(&packer, msg->stream_id);
    for (size_t i = 0; i < layout->field_count; i++) {
        pack_field(&packer, msg, &layout->fields[i]);
    }
    if (encoder->buffer.size - LENGTH_PREFIX_SIZE > KC_FRAME_BYTES_MAX) {
        return KC_ERR_TOO_LARGE;
    }
    length = htonl((uint32_t)(encoder->buffer.size - LENGTH_PREFIX_SIZE));
    memcpy(encoder->buffer.data, &length, LENGTH_PREFIX_SIZE);
    bytes->data = encoder->buffer.data;
    bytes->size = encoder->buffer.size;
    return 0;
}

KcDecoder *
KcDecoder_Create(void)
{
    KcDecoder *decoder = KcMem_New(sizeof(*decoder));

    msgpack_unpacked_init(&decoder->unpacked);
    return decoder;
}

void
KcDecoder_Free(KcDecoder *decoder)
{
    msgpack_unpacked_destroy(&decoder->unpacked);
    free(decoder);
}

int
KcDecoder_ReadFrameSize(const unsigned char prefix[4], size_t *size)
{
    uint32_t length;

    memcpy(&length, prefix, LENGTH_PREFIX_SIZE);
    length = ntohl(length);
    if (length == 0) {
        return KC_ERR_PARSE;
    }
    if (length > KC_FRAME_BYTES_MAX) {
        return KC_ERR_TOO_LARGE;
    }
    *size = length;
    return 0;
}

/* Reads an unsigned number up to limit.  Returns 0 or KC_ERR_PARSE. */
static int
read_unsigned(const msgpack_object *object, uint64_t limit, uint64_t *value)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->via.u64 > limit) {
        return KC_ERR_PARSE;
    }
    *value = object->via.u64;
    return 0;
}

static int
read_i32(const msgpack_object *object, int32_t *value)
{
    if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
        object->via.u64 <= INT32_MAX) {
        *value = (int32_t)object->via.u64;
        return 0;
    }
    if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER &&
        object->via.i64 >= INT32_MIN) {
        *value = (int32_t)object->via.i64;
        return 0;
    }
    return KC_ERR_PARSE;
}

/* Reads bytes into a char array and terminates them.  Returns KC_ERR_PARSE
 * when they don't fit or contain a NUL. */
static int
read_string(const msgpack_object *object, char *to, size_t size)
{
    const msgpack_object_bin *bin = &object->via.bin;

    if (object->type != MSGPACK_OBJECT_BIN || bin->size >= size ||
        memchr(bin->ptr, '\0', bin->size) != NULL) {
        return KC_ERR_PARSE;
    }
    memcpy(to, bin->ptr, bin->size);
    to[bin->size] = '\0';
    return 0;
}

/* Decodes one field of a message.  Returns 0 or KC_ERR_PARSE. */
static int
read_field(const msgpack_object *object, KcMsg *msg, const KcField *field)
{
    char *field_data = (char *)msg + field->offset;
    uint64_t number = 0;
    int code;

    switch (field->kind) {
    case KC_FIELD_U32:
        code = read_unsigned(object, field->maximum, &number);
        *(uint32_t *)field_data = (uint32_t)number;
        return code;
    case KC_FIELD_U64:
        return read_unsigned(object, field->maximum, (uint64_t *)field_data);
    case KC_FIELD_I32:
        return read_i32(object, (int32_t *)field_data);
    case KC_FIELD_BOOL:
        if (object->type != MSGPACK_OBJECT_BOOLEAN) {
            return KC_ERR_PARSE;
        }
        *(bool *)field_data = object->via.boolean;
        return 0;
    case KC_FIELD_STRING:
        return read_string(object, field_data, field->size);
    case KC_FIELD_BYTES:
        if (object->type != MSGPACK_OBJECT_BIN) {
            return KC_ERR_PARSE;
        }
        ((KcBytes *)field_data)->data = object->via.bin.ptr;
        ((KcBytes *)field_data)->size = object->via.bin.size;
        return 0;
    }
    return KC_ERR_PARSE;
}

/* Decodes the four fields common to all messages.  Returns 0, KC_ERR_PARSE or
 * KC_ERR_UNKNOWN_MESSAGE. */
static int
read_header(const msgpack_object *header_fields, KcMsg *msg)
{
    uint64_t type = 0;
    uint64_t stream = 0;

    if (read_unsigned(&header_fields[0], INT32_MAX, &type) != 0 ||
        read_unsigned(&header_fields[1], UINT64_MAX, &msg->generation) != 0 ||
        read_unsigned(&header_fields[2], UINT64_MAX, &msg->clock) != 0 ||
        read_unsigned(&header_fields[3], UINT32_MAX, &stream) != 0) {
        return KC_ERR_PARSE;
    }
    msg->type = (KcMsgType)type;
    msg->stream_id = (uint32_t)stream;
    return type < KC_MSG_COUNT ? 0 : KC_ERR_UNKNOWN_MESSAGE;
}

int
KcDecoder_Decode(KcDecoder *decoder, const void *frame, size_t size,
                 KcMsg *msg)
{
    const KcMsgLayout *layout;
    const msgpack_object_array *array;
    size_t consumed = 0;
    int code;

    memset(msg, 0, sizeof(*msg));
    if (!KcFrame_HasFewElements(frame, size) ||
        msgpack_unpack_next(&decoder->unpacked, frame, size, &consumed) !=
            MSGPACK_UNPACK_SUCCESS ||
        consumed != size ||
        decoder->unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
        return KC_ERR_PARSE;
    }
    array = &decoder->unpacked.data.via.array;
    if (array->size < HEADER_FIELD_COUNT) {
        return KC_ERR_PARSE;
    }
    code = read_header(array->ptr, msg);
    if (code != 0) {
        return code;
    }
    layout = &KcMsg_Layouts[msg->type];
    if (array->size < HEADER_FIELD_COUNT + layout->field_count) {
        return KC_ERR_PARSE;
    }
    for (size_t i = 0; i < layout->field_count; i++) {
        if (read_field(&array->ptr[HEADER_FIELD_COUNT + i], msg,
                       &layout->fields[i]) != 0) {
            return KC_ERR_PARSE;
        }
    }
    return 0;
}

/* ---- parts of prompts ---------------------------------------------------- */

KcBytes
KcParts_Encode(const uint64_t *parts, uint32_t count, char *buffer)
{
    for (uint32_t i = 0; i < count; i++) {
        uint64_t id = htobe64(parts[i]);

        memcpy(buffer + (size_t)i * KC_PART_BYTES, &id, KC_PART_BYTES);
    }
    return (KcBytes){buffer, (size_t)count * KC_PART_BYTES};
}

uint32_t
KcParts_Decode(KcBytes bytes, uint64_t *parts, uint32_t parts_max)
{
    uint32_t count = 0;

    while (count < parts_max &&
           (size_t)(count + 1) * KC_PART_BYTES <= bytes.size) {
        memcpy(&parts[count], bytes.data + (size_t)count * KC_PART_BYTES,
               KC_PART_BYTES);
        parts[count] = be64toh(parts[count]);
        count++;
    }
    return count;
}
