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
    PHASE_HELD,     /* granted, the call may run */
    PHASE_FAILED,   /* a duplicate, or timed out */
    PHASE_RECORDING /* recording the final mark */
} ClaimPhase;

struct KcClaim {
    TAILQ_ENTRY(KcClaim) link;
    KcClaimOptions options;
    ClaimPhase phase;
    char name[KC_OBJECT_NAME_MAX];  /* of the claim object */
    char token[KC_REQUEST_ID_TEXT]; /* id of our request */
    uint64_t version;               /* of the object as last seen */
    bool is_reply_pending;          /* of the object API */
    bool is_ended;                  /* KcClaim_End() was called */
    bool is_discarded;              /* freed when the pending reply arrives */
    KcClaimMark mark;               /* final mark to record */
    KcTime record_until;            /* recording is given up then */
    KcTimer timer;                  /* next retry */
};

static void read_back(KcClaim *claim);
static void write_mark(KcClaim *claim, KcClaimMark mark,
                       uint64_t expected_version);

/* Formats the object's name; the key is hashed, as callers may put any
 * characters into it. */
static void
format_name(KcClaim *claim)
{
    const KcClaimOptions *options = &claim->options;
    char hash[KC_HASH_TEXT];
    size_t size = strlen(options->customer) + strlen(options->key) + 2;
    char *text = KcMem_New(size);

    snprintf(text, size, "%s\n%s", options->customer, options->key);
    KcHead_Hash(text, size - 1, hash);
    free(text);
    snprintf(claim->name, sizeof(claim->name), "kcc/claims/%s/%s",
             options->service, hash);
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

/* Notes a reply; false when the claim was discarded, and is freed now. */
static bool
note_reply(KcClaim *claim)
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
    KcClaimVerdict result = {code, mark};

    claim->phase = code == 0 ? PHASE_HELD : PHASE_FAILED;
    KcTimers_Clear(claim->options.timers, &claim->timer);
    claim->options.verdict(claim->options.context, &result, now);
}

/* Schedules a retry, or gives up when that would be too late. */
static void
retry_later(KcClaim *claim, KcTime now)
{
    KcTime limit = claim->phase == PHASE_RECORDING ? claim->record_until
                                                   : claim->options.give_up;
    KcTime retry_at = now + claim->options.retry;

    if (retry_at < limit) {
        KcTimers_Set(claim->options.timers, &claim->timer, retry_at);
    }
    else if (claim->phase == PHASE_RECORDING) {
        free_claim(claim);
    }
    else {
        report_result(claim, KC_ERR_UNAVAILABLE, KC_CLAIM_UNKNOWN, now);
    }
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcClaim *claim = timer->owner;

    (void)now;
    read_back(claim);
}

/* Goes on to record the mark when a reply arrives after KcClaim_End(); returns
 * whether it did. */
static bool
record_if_ended(KcClaim *claim)
{
    if (!claim->is_ended || claim->phase == PHASE_RECORDING) {
        return false;
    }
    claim->phase = PHASE_RECORDING;
    read_back(claim);
    return true;
}

static void
on_written(void *context, const KcObjectReply *reply)
{
    KcClaim *claim = context;
    KcTime now;

    if (!note_reply(claim)) {
        return;
    }
    now = claim->options.clock(claim->options.clock_context);
    if (reply->code == 0) {
        claim->version = reply->version;
    }
    if (record_if_ended(claim)) {
        return;
    }
    if (reply->code == KC_ERR_CONFLICT) {
        read_back(claim);
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

    KcName_Copy(value.token, claim->token, sizeof(value.token));
    bytes.size = KcClaimValue_Encode(&value, text, sizeof(text));
    claim->is_reply_pending = true;
    claim->options.ops->put(claim->options.objects, claim->name, bytes,
                            expected_version, on_written, claim);
}

/* Decides by the object as read in phase CLAIMING. */
static void
claim_after_read(KcClaim *claim, const KcClaimValue *value, KcTime now)
{
    bool ours = strcmp(value->token, claim->token) == 0;

    if (ours && value->mark == KC_CLAIM_CLAIMED) {
        report_result(claim, 0, KC_CLAIM_CLAIMED, now);
    }
    else if (value->mark == KC_CLAIM_RELEASED) {
        write_mark(claim, KC_CLAIM_CLAIMED, claim->version);
    }
    else {
        report_result(claim, KC_ERR_DUPLICATE, value->mark, now);
    }
}

/* Decides by the object as read in phase RECORDING. */
static void
record_after_read(KcClaim *claim, const KcClaimValue *value)
{
    bool ours = strcmp(value->token, claim->token) == 0;

    if (ours && value->mark == claim->mark) {
        free_claim(claim);
    }
    else if (ours || value->mark == KC_CLAIM_RELEASED) {
        /* Also replaces a release by another claim, so that a delayed write of
         * ours fails. */
        write_mark(claim, claim->mark, claim->version);
    }
    else {
        free_claim(claim);
    }
}

static void
on_read(void *context, const KcObjectReply *reply)
{
    KcClaim *claim = context;
    KcTime now;
    KcClaimValue value;

    if (!note_reply(claim)) {
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
    claim->version = reply->version;
    if (KcClaimValue_Decode(reply->value, &value) != 0) {
        /* The call of an object that cannot be decoded may have run. */
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
read_back(KcClaim *claim)
{
    claim->is_reply_pending = true;
    claim->options.ops->get(claim->options.objects, claim->name, on_read,
                            claim);
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
    format_name(claim);
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
    claim->record_until = now + claim->options.settle;
    KcTimers_Clear(claim->options.timers, &claim->timer);
    if (claim->is_reply_pending) {
        return; /* record_if_ended() goes on when the reply arrives */
    }
    claim->phase = PHASE_RECORDING;
    if (phase == PHASE_HELD) {
        write_mark(claim, mark, claim->version);
    }
    else {
        read_back(claim);
    }
}
