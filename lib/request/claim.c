/*
 * The at-most-once claim, kept as one object of the object API for each
 * service, customer and key.
 *
 * Every write is conditional, so of two concurrent writers one fails.  A write
 * whose reply is lost may still take effect later.  The object is therefore
 * read back, and a claim that ends writes a conditional mark of its own, which
 * makes the delayed write fail.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_request.h"

typedef enum ClaimPhase {
    PHASE_CLAIMING, /* trying to get the claim */
    PHASE_GRANTED,  /* the call may run */
    PHASE_FAILED,   /* a duplicate, or timed out */
    PHASE_RECORDING /* recording the final mark */
} ClaimPhase;

struct KcClaim {
    TAILQ_ENTRY(KcClaim) link;
    KcClaimOptions options;
    ClaimPhase phase;
    char object_name[KC_OBJECT_NAME_MAX]; /* of service, customer and key */
    char token[KC_REQUEST_ID_TEXT_SIZE];  /* id of our request */
    uint64_t object_version; /* of the claim object as last read or written */
    bool is_reply_pending;   /* of the object API */
    bool is_ended;           /* KcClaim_End() was called */
    bool is_discarded;       /* freed when the pending reply arrives */
    KcClaimMark mark;        /* final mark to record */
    KcTime record_until;     /* recording ends then, successful or not */
    KcTimer timer;           /* next retry */
};

static void read_back_object(KcClaim *claim);
static void write_mark(KcClaim *claim, KcClaimMark mark,
                       uint64_t expected_version);

/* Formats the object's name.  Customer and key are hashed, as callers may put
 * any characters into the key. */
static void
format_object_name(KcClaim *claim)
{
    const KcClaimOptions *options = &claim->options;
    char hash[KC_HASH_TEXT_SIZE];
    size_t size = strlen(options->customer) + strlen(options->key) + 2;
    char *text = KcMem_New(size);

    snprintf(text, size, "%s\n%s", options->customer, options->key);
    KcHash_Compute(text, size - 1, hash);
    free(text);
    snprintf(claim->object_name, sizeof(claim->object_name),
             "kcc/claims/%s/%s", options->service, hash);
}

static void
free_claim(KcClaim *claim)
{
    KcTimers_Clear(claim->options.timers, &claim->timer);
    TAILQ_REMOVE(claim->options.list, claim, link);
    free(claim);
}

void
KcClaim_DiscardAll(KcClaimList *list)
{
    KcClaim *claim;

    while ((claim = TAILQ_FIRST(list)) != NULL) {
        TAILQ_REMOVE(list, claim, link);
        KcTimers_Clear(claim->options.timers, &claim->timer);
        claim->is_discarded = true;
        if (!claim->is_reply_pending) {
            free(claim);
        }
    }
}

/* Handles the arrival of a reply.  Returns false if the claim had been
 * discarded, and frees it then. */
static bool
handle_reply_arrival(KcClaim *claim)
{
    claim->is_reply_pending = false;
    if (claim->is_discarded) {
        free(claim);
        return false;
    }
    return true;
}

static void
report_result(KcClaim *claim, int code, KcClaimMark mark, KcTime now)
{
    KcClaimResult result = {code, mark};

    claim->phase = code == 0 ? PHASE_GRANTED : PHASE_FAILED;
    KcTimers_Clear(claim->options.timers, &claim->timer);
    claim->options.on_result(claim->options.context, &result, now);
}

/* Schedules a retry; if the time limit would have passed by then, fails the
 * claim or ends its recording. */
static void
retry_later(KcClaim *claim, KcTime now)
{
    KcTime retry_until = claim->phase == PHASE_RECORDING
                             ? claim->record_until
                             : claim->options.claim_until;
    KcTime retry_at = now + claim->options.retry_delay;

    if (retry_at < retry_until) {
        KcTimers_Set(claim->options.timers, &claim->timer, retry_at);
    }
    else if (claim->phase == PHASE_RECORDING) {
        free_claim(claim);
    }
    else {
        report_result(claim, KC_ERR_OBJECT_API_UNAVAILABLE, KC_CLAIM_UNKNOWN,
                      now);
    }
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcClaim *claim = timer->owner;

    (void)now;
    read_back_object(claim);
}

/* Starts to record the mark if KcClaim_End() was called while a reply was
 * pending.  Returns true if it did. */
static bool
record_if_ended(KcClaim *claim)
{
    if (!claim->is_ended || claim->phase == PHASE_RECORDING) {
        return false;
    }
    claim->phase = PHASE_RECORDING;
    read_back_object(claim);
    return true;
}

static void
on_mark_written(void *context, const KcObjectReply *reply)
{
    KcClaim *claim = context;
    KcTime now;

    if (!handle_reply_arrival(claim)) {
        return;
    }
    now = claim->options.clock(claim->options.clock_context);
    if (reply->code == 0) {
        claim->object_version = reply->version;
    }
    if (record_if_ended(claim)) {
        return;
    }
    if (reply->code == KC_ERR_CONFLICT) {
        read_back_object(claim);
    }
    else if (reply->code != 0) {
        retry_later(claim, now);
    }
    else if (claim->phase == PHASE_RECORDING) {
        free_claim(claim);
    }
    else {
        report_result(claim, 0, KC_CLAIM_CLAIMED, now);
    }
}

static void
write_mark(KcClaim *claim, KcClaimMark mark, uint64_t expected_version)
{
    KcClaimValue value = {.mark = mark};
    char text[128];
    KcBytes bytes = {text, 0};

    KcText_Copy(value.token, claim->token, sizeof(value.token));
    bytes.size = KcClaimValue_Encode(&value, text, sizeof(text));
    claim->is_reply_pending = true;
    claim->options.ops->put(claim->options.objects, claim->object_name, bytes,
                            expected_version, on_mark_written, claim);
}

/* Continues phase CLAIMING by the object's value. */
static void
claim_after_read(KcClaim *claim, const KcClaimValue *value, KcTime now)
{
    bool is_ours = strcmp(value->token, claim->token) == 0;

    if (is_ours && value->mark == KC_CLAIM_CLAIMED) {
        report_result(claim, 0, KC_CLAIM_CLAIMED, now);
    }
    else if (value->mark == KC_CLAIM_RELEASED) {
        write_mark(claim, KC_CLAIM_CLAIMED, claim->object_version);
    }
    else {
        report_result(claim, KC_ERR_DUPLICATE, value->mark, now);
    }
}

/* Continues phase RECORDING by the object's value. */
static void
record_after_read(KcClaim *claim, const KcClaimValue *value)
{
    bool is_ours = strcmp(value->token, claim->token) == 0;

    if (is_ours && value->mark == claim->mark) {
        free_claim(claim);
    }
    else if (is_ours || value->mark == KC_CLAIM_RELEASED) {
        /* Also replaces a release by another claim, so that a delayed write of
         * ours fails. */
        write_mark(claim, claim->mark, claim->object_version);
    }
    else {
        free_claim(claim);
    }
}

static void
on_object_read(void *context, const KcObjectReply *reply)
{
    KcClaim *claim = context;
    KcTime now;
    KcClaimValue value;

    if (!handle_reply_arrival(claim)) {
        return;
    }
    now = claim->options.clock(claim->options.clock_context);
    if (record_if_ended(claim)) {
        return;
    }
    if (reply->code == KC_ERR_NOT_FOUND) {
        write_mark(claim,
                   claim->phase == PHASE_RECORDING ? claim->mark
                                                   : KC_CLAIM_CLAIMED,
                   KC_OBJECT_ABSENT);
        return;
    }
    if (reply->code != 0) {
        retry_later(claim, now);
        return;
    }
    claim->object_version = reply->version;
    if (KcClaimValue_Decode(reply->value, &value) != 0) {
        /* An object that cannot be decoded may belong to a call that ran. */
        value.token[0] = '\0';
        value.mark = KC_CLAIM_UNKNOWN;
    }
    if (claim->phase == PHASE_RECORDING) {
        record_after_read(claim, &value);
    }
    else {
        claim_after_read(claim, &value, now);
    }
}

static void
read_back_object(KcClaim *claim)
{
    claim->is_reply_pending = true;
    claim->options.ops->get(claim->options.objects, claim->object_name,
                            on_object_read, claim);
}

KcClaim *
KcClaim_Start(const KcClaimOptions *options, KcTime now)
{
    KcClaim *claim = KcMem_New(sizeof(*claim));

    (void)now;
    claim->options = *options;
    KcRequestId_Format(options->token, claim->token);
    KcTimer_Init(&claim->timer, on_timer, claim);
    TAILQ_INSERT_TAIL(options->list, claim, link);
    format_object_name(claim);
    write_mark(claim, KC_CLAIM_CLAIMED, KC_OBJECT_ABSENT);
    return claim;
}

void
KcClaim_End(KcClaim *claim, KcClaimMark mark, KcTime now)
{
    ClaimPhase phase = claim->phase;

    assert(!claim->is_ended);
    claim->is_ended = true;
    claim->mark = mark;
    claim->record_until = now + claim->options.record_timeout;
    KcTimers_Clear(claim->options.timers, &claim->timer);
    if (claim->is_reply_pending) {
        return; /* record_if_ended() starts recording after the reply */
    }
    claim->phase = PHASE_RECORDING;
    if (phase == PHASE_GRANTED) {
        write_mark(claim, mark, claim->object_version);
    }
    else {
        read_back_object(claim);
    }
}
