/*
 * The at-most-once claim.
 *
 * A claim is an object of its own, named by a hash of service, customer and
 * key.  Every write is conditional, so of two writers one fails.  A write
 * whose reply is lost may still take effect later; the object is therefore
 * read back, and whoever gives up writes a conditional mark of its own,
 * which makes the delayed write fail.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_request.h"

typedef enum ClaimPhase {
    PHASE_CLAIMING, /* trying to hold the claim */
    PHASE_HELD,     /* granted, the call may run */
    PHASE_FAILED,   /* a duplicate, or given up */
    PHASE_SETTLING  /* recording what became of the call */
} ClaimPhase;

struct KcClaim {
    TAILQ_ENTRY(KcClaim) link;
    KcClaimOptions options;
    ClaimPhase phase;
    char name[KC_OBJECT_NAME_MAX];
    char token[KC_REQUEST_ID_TEXT_SIZE];
    uint64_t version; /* version of the object that was last seen */
    bool waiting;     /* an answer of the object API is outstanding */
    bool ended;       /* KcClaim_End() was called */
    bool discarded;   /* freed when the outstanding answer arrives */
    KcClaimMark mark; /* to be recorded */
    KcTime settle_until;
    KcTimer timer;
};

static void read_back(KcClaim *claim);
static void write_mark(KcClaim *claim, KcClaimMark mark, uint64_t expected);

/* Names the object: keys are the callers' and may hold any character. */
static void
set_name(KcClaim *claim)
{
    const KcClaimOptions *options = &claim->options;
    char hash[KC_HASH_TEXT_SIZE];
    size_t size = strlen(options->customer) + strlen(options->key) + 2;
    char *text = KcMem_New(size);

    snprintf(text, size, "%s\n%s", options->customer, options->key);
    KcHash_Compute(text, size - 1, hash);
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
        claim->discarded = true;
        if (!claim->waiting) {
            free(claim);
        }
    }
}

/* Notes an answer.  False when the claim was discarded meanwhile. */
static bool
take_answer(KcClaim *claim)
{
    claim->waiting = false;
    if (claim->discarded) {
        free(claim);
        return false;
    }
    return true;
}

static void
give_verdict(KcClaim *claim, int code, KcClaimMark mark, KcTime now)
{
    KcClaimResult verdict = {code, mark};

    claim->phase = code == 0 ? PHASE_HELD : PHASE_FAILED;
    KcTimers_Clear(claim->options.timers, &claim->timer);
    claim->options.on_result(claim->options.context, &verdict, now);
}

/* Tries again later, or gives up when it is too late for that. */
static void
try_later(KcClaim *claim, KcTime now)
{
    KcTime limit = claim->phase == PHASE_SETTLING ? claim->settle_until
                                                  : claim->options.give_up_at;
    KcTime next = now + claim->options.retry_delay;

    if (next < limit) {
        KcTimers_Set(claim->options.timers, &claim->timer, next);
    }
    else if (claim->phase == PHASE_SETTLING) {
        free_claim(claim);
    }
    else {
        give_verdict(claim, KC_ERR_OBJECT_API_UNAVAILABLE, KC_CLAIM_UNKNOWN,
                     now);
    }
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcClaim *claim = timer->owner;

    (void)now;
    read_back(claim);
}

/* An answer arrived after KcClaim_End(): go on to settle the claim. */
static bool
settle_if_ended(KcClaim *claim)
{
    if (!claim->ended || claim->phase == PHASE_SETTLING) {
        return false;
    }
    claim->phase = PHASE_SETTLING;
    read_back(claim);
    return true;
}

static void
on_written(void *context, const KcObjectReply *reply)
{
    KcClaim *claim = context;
    KcTime now;

    if (!take_answer(claim)) {
        return;
    }
    now = claim->options.clock(claim->options.clock_context);
    if (reply->code == 0) {
        claim->version = reply->version;
    }
    if (settle_if_ended(claim)) {
        return;
    }
    if (reply->code == KC_ERR_CONFLICT) {
        read_back(claim);
    }
    else if (reply->code != 0) {
        try_later(claim, now);
    }
    else if (claim->phase == PHASE_SETTLING) {
        free_claim(claim);
    }
    else {
        give_verdict(claim, 0, KC_CLAIM_CLAIMED, now);
    }
}

static void
write_mark(KcClaim *claim, KcClaimMark mark, uint64_t expected)
{
    KcClaimValue value = {.mark = mark};
    char text[128];
    KcBytes bytes = {text, 0};

    KcText_Copy(value.token, claim->token, sizeof(value.token));
    bytes.size = KcClaimValue_Encode(&value, text, sizeof(text));
    claim->waiting = true;
    claim->options.ops->put(claim->options.objects, claim->name, bytes,
                            expected, on_written, claim);
}

/* Decides on the object as read while trying to hold the claim. */
static void
claim_after_read(KcClaim *claim, const KcClaimValue *value, KcTime now)
{
    bool ours = strcmp(value->token, claim->token) == 0;

    if (ours && value->mark == KC_CLAIM_CLAIMED) {
        give_verdict(claim, 0, KC_CLAIM_CLAIMED, now);
    }
    else if (value->mark == KC_CLAIM_RELEASED) {
        write_mark(claim, KC_CLAIM_CLAIMED, claim->version);
    }
    else {
        give_verdict(claim, KC_ERR_DUPLICATE, value->mark, now);
    }
}

/* Decides on the object as read while recording what became of the call. */
static void
settle_after_read(KcClaim *claim, const KcClaimValue *value)
{
    bool ours = strcmp(value->token, claim->token) == 0;

    if (ours && value->mark == claim->mark) {
        free_claim(claim);
    }
    else if (ours || value->mark == KC_CLAIM_RELEASED) {
        /* Also over another's release: it defeats a delayed write of ours. */
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

    if (!take_answer(claim)) {
        return;
    }
    now = claim->options.clock(claim->options.clock_context);
    if (settle_if_ended(claim)) {
        return;
    }
    if (reply->code == KC_ERR_NOT_FOUND) {
        write_mark(claim,
                   claim->phase == PHASE_SETTLING ? claim->mark
                                                  : KC_CLAIM_CLAIMED,
                   KC_OBJECT_ABSENT);
        return;
    }
    if (reply->code != 0) {
        try_later(claim, now);
        return;
    }
    claim->version = reply->version;
    if (KcClaimValue_Decode(reply->value, &value) != 0) {
        /* An object we cannot read may stand for a call that ran. */
        value.token[0] = '\0';
        value.mark = KC_CLAIM_UNKNOWN;
    }
    if (claim->phase == PHASE_SETTLING) {
        settle_after_read(claim, &value);
    }
    else {
        claim_after_read(claim, &value, now);
    }
}

static void
read_back(KcClaim *claim)
{
    claim->waiting = true;
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
    set_name(claim);
    write_mark(claim, KC_CLAIM_CLAIMED, KC_OBJECT_ABSENT);
    return claim;
}

void
KcClaim_End(KcClaim *claim, KcClaimMark mark, KcTime now)
{
    ClaimPhase phase = claim->phase;

    assert(!claim->ended);
    claim->ended = true;
    claim->mark = mark;
    claim->settle_until = now + claim->options.record_timeout;
    KcTimers_Clear(claim->options.timers, &claim->timer);
    if (claim->waiting) {
        return; /* settle_if_ended() goes on when the answer arrives */
    }
    claim->phase = PHASE_SETTLING;
    if (phase == PHASE_HELD) {
        write_mark(claim, mark, claim->version);
    }
    else {
        read_back(claim);
    }
}
