/*
 * The table of message types.
 */
#include "message_table_internal.h"

#define FIELD(kind, path)                                                     \
    {                                                                         \
        kind, offsetof(KcMsg, u.path), 0                                      \
    }
#define NAME(path)                                                            \
    {                                                                         \
        KC_FIELD_NAME, offsetof(KcMsg, u.path),                               \
            sizeof(((KcMsg *)NULL)->u.path)                                   \
    }
#define U32(path) FIELD(KC_FIELD_U32, path)
#define U64(path) FIELD(KC_FIELD_U64, path)
#define I32(path) FIELD(KC_FIELD_I32, path)
#define BOOL(path) FIELD(KC_FIELD_BOOL, path)
#define BYTES(path) FIELD(KC_FIELD_BYTES, path)
#define LOAD(path)                                                            \
    U32(path.queued), U32(path.running), U32(path.pending_loads),             \
        BOOL(path.is_adapter_loaded)

static const KcField hello_fields[] = {
    NAME(hello.name),
    U64(hello.incarnation),
    U32(hello.protocol_version),
};

static const KcField propose_fields[] = {
    U64(propose.request.nonce),    U64(propose.request.sequence),
    U32(propose.attempt),          NAME(propose.service),
    NAME(propose.adapter),         U32(propose.version),
    NAME(propose.customer),        U32(propose.priority),
    U64(propose.time_left_us),     BOOL(propose.repeatable),
    U64(propose.offset),           U64(propose.tokens),
    NAME(propose.method),          NAME(propose.path),
    NAME(propose.content_type),    BYTES(propose.body),
    BYTES(propose.delivered_text),
};

static const KcField resume_fields[] = {
    U64(resume.request.nonce),
    U64(resume.request.sequence),
    U32(resume.attempt),
    U64(resume.offset),
};

static const KcField credit_fields[] = {U64(credit.offset),
                                        BOOL(credit.end_received)};

static const KcField admit_fields[] = {LOAD(admit.load)};

static const KcField refuse_fields[] = {
    I32(refuse.code),
    U64(refuse.retry_after_ms),
    LOAD(refuse.load),
};

static const KcField started_fields[] = {
    NAME(started.adapter),
    U32(started.version),
    U32(started.http_status),
    NAME(started.content_type),
};

static const KcField data_fields[] = {
    U64(data.offset),
    U64(data.tokens),
    BYTES(data.bytes),
};

static const KcField end_fields[] = {
    I32(end.code),   BOOL(end.reached_backend), U64(end.offset),
    U64(end.tokens), NAME(end.finish_reason),   LOAD(end.load),
};

static const KcField head_fields[] = {BYTES(head.json)};

static const KcField part_fields[] = {NAME(part.hash), BYTES(part.bytes)};

static const KcField want_fields[] = {
    NAME(want.model),
    NAME(want.adapter),
    U32(want.version_min),
    U32(want.priority),
};

static const KcField used_fields[] = {
    NAME(used.model),
    NAME(used.adapter),
    U32(used.uses),
    U32(used.in_flight),
};

static const KcField held_fields[] = {
    NAME(held.model),
    NAME(held.adapter),
    U32(held.version),
    U32(held.state),
};

#define LAYOUT(name, rule, fields)                                            \
    {                                                                         \
        name, rule, sizeof(fields) / sizeof((fields)[0]), fields              \
    }
#define EMPTY(name, rule)                                                     \
    {                                                                         \
        name, rule, 0, NULL                                                   \
    }

const KcMsgLayout KcMsg_Layouts[KC_MSG_COUNT] = {
    [KC_MSG_HELLO] = LAYOUT("hello", KC_RULE_ANY, hello_fields),
    [KC_MSG_PROPOSE] = LAYOUT("propose", KC_RULE_OPEN, propose_fields),
    [KC_MSG_RESUME] = LAYOUT("resume", KC_RULE_OPEN, resume_fields),
    [KC_MSG_CANCEL] = EMPTY("cancel", KC_RULE_INITIATOR),
    [KC_MSG_CREDIT] = LAYOUT("credit", KC_RULE_INITIATOR, credit_fields),
    [KC_MSG_ADMIT] = LAYOUT("admit", KC_RULE_ACCEPTOR, admit_fields),
    [KC_MSG_REFUSE] = LAYOUT("refuse", KC_RULE_ACCEPTOR, refuse_fields),
    [KC_MSG_STARTED] = LAYOUT("started", KC_RULE_ACCEPTOR, started_fields),
    [KC_MSG_DATA] = LAYOUT("data", KC_RULE_ACCEPTOR, data_fields),
    [KC_MSG_END] = LAYOUT("end", KC_RULE_ACCEPTOR, end_fields),
    [KC_MSG_LEAVING] = EMPTY("leaving", KC_RULE_ANY),
    [KC_MSG_HEAD_REQUEST] = EMPTY("head_request", KC_RULE_ANY),
    [KC_MSG_HEAD] = LAYOUT("head", KC_RULE_ANY, head_fields),
    [KC_MSG_PART_REQUEST] = LAYOUT("part_request", KC_RULE_ANY, part_fields),
    [KC_MSG_PART] = LAYOUT("part", KC_RULE_ANY, part_fields),
    [KC_MSG_PING] = EMPTY("ping", KC_RULE_ANY),
    [KC_MSG_PONG] = EMPTY("pong", KC_RULE_ANY),
    [KC_MSG_WANT] = LAYOUT("want", KC_RULE_ANY, want_fields),
    [KC_MSG_USED] = LAYOUT("used", KC_RULE_ANY, used_fields),
    [KC_MSG_HELD] = LAYOUT("held", KC_RULE_ANY, held_fields),
};
