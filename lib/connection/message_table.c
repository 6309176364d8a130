/*
 * Fields and sender of each message type.  Peers identify types, and fields
 * within a type, by their position: reordering them breaks the protocol.
 */
#include "message_table_internal.h"

/* Rows of the tables of fields; path is the field's member in KcMsg.u. */
#define FIELD(kind, path, maximum)                                            \
    {                                                                         \
        kind, offsetof(KcMsg, u.path), 0, maximum                             \
    }
#define STRING(path)                                                          \
    {                                                                         \
        KC_FIELD_STRING, offsetof(KcMsg, u.path),                             \
            sizeof(((KcMsg *)NULL)->u.path), 0                                \
    }
#define U32(path) FIELD(KC_FIELD_U32, path, UINT32_MAX)
#define U64(path) FIELD(KC_FIELD_U64, path, UINT64_MAX)
#define I32(path) FIELD(KC_FIELD_I32, path, 0)
#define BOOL(path) FIELD(KC_FIELD_BOOL, path, 0)
#define BYTES(path) FIELD(KC_FIELD_BYTES, path, 0)
/* A number that is added to others: bytes, tokens, ms or us. */
#define AMOUNT(path) FIELD(KC_FIELD_U64, path, KC_MSG_AMOUNT_MAX)

static const KcField hello_fields[] = {
    STRING(hello.name),
    U64(hello.incarnation),
    U32(hello.protocol_version),
};

static const KcField propose_fields[] = {
    U64(propose.request.nonce),    U64(propose.request.sequence),
    U32(propose.attempt),          STRING(propose.service),
    STRING(propose.adapter),       U32(propose.version),
    STRING(propose.customer),      U32(propose.priority),
    AMOUNT(propose.time_left_us),  BOOL(propose.repeatable),
    AMOUNT(propose.offset),        AMOUNT(propose.tokens),
    STRING(propose.method),        STRING(propose.path),
    STRING(propose.content_type),  BYTES(propose.body),
    BYTES(propose.delivered_text),
};

static const KcField resume_fields[] = {
    U64(resume.request.nonce),
    U64(resume.request.sequence),
    U32(resume.attempt),
    AMOUNT(resume.offset),
};

static const KcField credit_fields[] = {AMOUNT(credit.offset),
                                        BOOL(credit.end_received)};

static const KcField admit_fields[] = {
    U32(admit.load.queued), U32(admit.load.running),
    U32(admit.load.pending_loads), BOOL(admit.load.is_adapter_resident)};

static const KcField refuse_fields[] = {
    I32(refuse.code),
    AMOUNT(refuse.retry_after_ms),
    U32(refuse.load.queued),
    U32(refuse.load.running),
    U32(refuse.load.pending_loads),
    BOOL(refuse.load.is_adapter_resident),
};

static const KcField started_fields[] = {
    STRING(started.adapter),
    U32(started.version),
    U32(started.http_status),
    STRING(started.content_type),
};

static const KcField data_fields[] = {
    AMOUNT(data.offset),
    AMOUNT(data.tokens),
    BYTES(data.bytes),
};

static const KcField end_fields[] = {
    I32(end.code),
    BOOL(end.reached_backend),
    AMOUNT(end.offset),
    AMOUNT(end.tokens),
    STRING(end.finish_reason),
    U32(end.load.queued),
    U32(end.load.running),
    U32(end.load.pending_loads),
    BOOL(end.load.is_adapter_resident),
};

static const KcField head_fields[] = {BYTES(head.json)};

static const KcField part_fields[] = {STRING(part.hash), BYTES(part.bytes)};

static const KcField want_fields[] = {
    STRING(want.model),
    STRING(want.adapter),
    U32(want.version_min),
    U32(want.priority),
};

static const KcField used_fields[] = {
    STRING(used.model),
    STRING(used.adapter),
    U32(used.uses),
    U32(used.in_flight),
};

static const KcField held_fields[] = {
    STRING(held.model),
    STRING(held.adapter),
    U32(held.version),
    U32(held.state),
};

static const KcField ended_fields[] = {
    AMOUNT(ended.started_at_ms),
    AMOUNT(ended.age_ms),
    BYTES(ended.parts),
};

static const KcField suspect_fields[] = {
    U32(suspect.kind),         U64(suspect.part),
    U32(suspect.epoch),        U64(suspect.instance),
    AMOUNT(suspect.age_ms),    U32(suspect.trial_count),
    BYTES(suspect.companions),
};

static const KcField usage_fields[] = {
    U32(usage.sequence), U32(usage.joined),      U32(usage.gateway_count),
    U32(usage.lease_ms), BOOL(usage.is_leaving), BYTES(usage.rows),
};

static const KcField totals_fields[] = {
    U32(totals.sequence),      U32(totals.joined), U32(totals.group_size),
    U32(totals.gateway_count), BYTES(totals.rows),
};

#define LAYOUT(name, rule, fields)                                            \
    {                                                                         \
        name, rule, sizeof(fields) / sizeof((fields)[0]), fields              \
    }
#define NO_FIELDS(name, rule)                                                 \
    {                                                                         \
        name, rule, 0, NULL                                                   \
    }

const KcMsgLayout KcMsg_Layouts[KC_MSG_COUNT] = {
    [KC_MSG_HELLO] = LAYOUT("hello", KC_RULE_CONNECTION, hello_fields),
    [KC_MSG_PROPOSE] = LAYOUT("propose", KC_RULE_OPENS_STREAM, propose_fields),
    [KC_MSG_RESUME] = LAYOUT("resume", KC_RULE_OPENS_STREAM, resume_fields),
    [KC_MSG_CANCEL] = NO_FIELDS("cancel", KC_RULE_INITIATOR),
    [KC_MSG_CREDIT] = LAYOUT("credit", KC_RULE_INITIATOR, credit_fields),
    [KC_MSG_ADMIT] = LAYOUT("admit", KC_RULE_ACCEPTOR, admit_fields),
    [KC_MSG_REFUSE] = LAYOUT("refuse", KC_RULE_ACCEPTOR, refuse_fields),
    [KC_MSG_STARTED] = LAYOUT("started", KC_RULE_ACCEPTOR, started_fields),
    [KC_MSG_DATA] = LAYOUT("data", KC_RULE_ACCEPTOR, data_fields),
    [KC_MSG_END] = LAYOUT("end", KC_RULE_ACCEPTOR, end_fields),
    [KC_MSG_LEAVING] = NO_FIELDS("leaving", KC_RULE_CONNECTION),
    [KC_MSG_HEAD_REQUEST] = NO_FIELDS("head_request", KC_RULE_CONNECTION),
    [KC_MSG_HEAD] = LAYOUT("head", KC_RULE_CONNECTION, head_fields),
    [KC_MSG_PART_REQUEST] =
        LAYOUT("part_request", KC_RULE_CONNECTION, part_fields),
    [KC_MSG_PART] = LAYOUT("part", KC_RULE_CONNECTION, part_fields),
    [KC_MSG_PING] = NO_FIELDS("ping", KC_RULE_CONNECTION),
    [KC_MSG_PONG] = NO_FIELDS("pong", KC_RULE_CONNECTION),
    [KC_MSG_WANT] = LAYOUT("want", KC_RULE_CONNECTION, want_fields),
    [KC_MSG_USED] = LAYOUT("used", KC_RULE_CONNECTION, used_fields),
    [KC_MSG_HELD] = LAYOUT("held", KC_RULE_CONNECTION, held_fields),
    [KC_MSG_LOST] = LAYOUT("lost", KC_RULE_CONNECTION, ended_fields),
    [KC_MSG_ENDED] = LAYOUT("ended", KC_RULE_CONNECTION, ended_fields),
    [KC_MSG_SUSPECT] = LAYOUT("suspect", KC_RULE_CONNECTION, suspect_fields),
    [KC_MSG_USAGE] = LAYOUT("usage", KC_RULE_CONNECTION, usage_fields),
    [KC_MSG_TOTALS] = LAYOUT("totals", KC_RULE_CONNECTION, totals_fields),
};
