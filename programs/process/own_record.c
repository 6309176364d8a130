/*
 * Writes a process's record about itself to the object API.
 */
#include "own_record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "loop.h"
#include "platform.h"

static void put_record(KcOwnRecord *record, uint64_t expected_version);

static void
on_put_result(void *context, const KcObjectReply *reply)
{
    KcOwnRecord *record = context;
    KcLogFields fields = {.step = record->options.collection,
                          .code = reply->code};

    record->is_calling = false;
    if (reply->code == 0 && reply->version > 0) {
        record->retry_delay = KC_STORE_RETRY_DELAY;
        if (record->options.on_written != NULL) {
            record->options.on_written(
                record->options.context,
                (KcRevision){.era = reply->era, .number = reply->version});
        }
        if (record->may_be_lost) {
            put_record(record, KC_OBJECT_ABSENT);
        }
        else if (record->is_changed) {
            put_record(record, KC_OBJECT_ANY);
        }
        return;
    }
    if (reply->code == KC_ERR_CONFLICT) {
        /* Replaces the record that an earlier process has left. */
        put_record(record, KC_OBJECT_ANY);
        return;
    }
    KcLog_Write(KC_LOG_WARN, &fields, "own record is not written yet");
    KcTimers_Set(record->options.timers, &record->retry_timer,
                 KcLoop_Now() + record->retry_delay);
    record->retry_delay *= 2;
    if (record->retry_delay > KC_STORE_RETRY_DELAY_MAX) {
        record->retry_delay = KC_STORE_RETRY_DELAY_MAX;
    }
}

static const char *
format_name(const KcOwnRecord *record, char name[KC_OBJECT_NAME_MAX])
{
    snprintf(name, KC_OBJECT_NAME_MAX, "%s/%s", record->options.collection,
             record->options.name);
    return name;
}

static void
put_record(KcOwnRecord *record, uint64_t expected_version)
{
    const KcOwnRecordOptions *options = &record->options;
    char name[KC_OBJECT_NAME_MAX];

    record->is_calling = true;
    record->is_changed = false;
    record->may_be_lost = false;
    options->object_ops->put(options->object_context,
                             format_name(record, name),
                             (KcBytes){record->value, strlen(record->value)},
                             expected_version, on_put_result, record);
}

static void
on_retry_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    put_record(timer->owner, KC_OBJECT_ABSENT);
}

static void
on_get_result(void *context, const KcObjectReply *reply)
{
    KcOwnRecord *record = context;
    bool is_found = reply->code == 0;

    record->options.on_found(record->options.context,
                             is_found ? reply->value : (KcBytes){"", 0});
    put_record(record, is_found ? KC_OBJECT_ANY : KC_OBJECT_ABSENT);
}

static void
set_value(KcOwnRecord *record, const char *value)
{
    size_t size = strlen(value) + 1;

    free(record->value);
    record->value = KcMem_New(size);
    memcpy(record->value, value, size);
}

void
KcOwnRecord_Write(KcOwnRecord *record, const KcOwnRecordOptions *options,
                  const char *value)
{
    char name[KC_OBJECT_NAME_MAX];

    record->options = *options;
    record->retry_delay = KC_STORE_RETRY_DELAY;
    set_value(record, value);
    KcTimer_Init(&record->retry_timer, on_retry_timer, record);
    if (options->on_found == NULL) {
        put_record(record, KC_OBJECT_ABSENT);
        return;
    }
    record->is_calling = true;
    options->object_ops->get(options->object_context,
                             format_name(record, name), on_get_result, record);
}

void
KcOwnRecord_Change(KcOwnRecord *record, const char *value)
{
    set_value(record, value);
    record->is_changed = true;
    if (!record->is_calling && !record->retry_timer.is_set) {
        put_record(record, KC_OBJECT_ANY);
    }
}

void
KcOwnRecord_Renew(KcOwnRecord *record)
{
    record->may_be_lost = true;
    if (!record->is_calling && !record->retry_timer.is_set) {
        put_record(record, KC_OBJECT_ABSENT);
    }
}

void
KcOwnRecord_Clear(KcOwnRecord *record)
{
    KcTimers_Clear(record->options.timers, &record->retry_timer);
    free(record->value);
    record->value = NULL;
}
