/*
 * Structured log through log4c.
 *
 * log4c keeps its categories in a global table; only this file uses it.
 */
#include "log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_SIZE 1024
/* Lines are buffered up to this many bytes before they are written. */
#define BUFFER_SIZE 16384
/* Further lines within the same second are dropped and counted. */
#define LINES_PER_SECOND_MAX 2000

static const struct {
    const char *name;
    int priority;
} levels[] = {
    [KC_LOG_ERROR] = {"error", LOG4C_PRIORITY_ERROR},
    [KC_LOG_WARN] = {"warn", LOG4C_PRIORITY_WARN},
    [KC_LOG_INFO] = {"info", LOG4C_PRIORITY_INFO},
    [KC_LOG_DEBUG] = {"debug", LOG4C_PRIORITY_DEBUG},
};

#define LEVEL_COUNT ((int)(sizeof(levels) / sizeof(levels[0])))

static struct {
    char text[BUFFER_SIZE];
    size_t used_bytes;
    time_t counted_second; /* in which line_count lines were logged */
    unsigned line_count;
    uint64_t dropped_count;
    uint64_t reported_dropped_count; /* of them, already reported in the log */
} output;

static log4c_category_t *category;
static char logged_process_name[KC_NAME_MAX];

int
KcLog_FindLevel(const char *name)
{
    for (int i = 0; i < LEVEL_COUNT; i++) {
        if (strcmp(levels[i].name, name) == 0) {
            return i;
        }
    }
    return KC_ERR_NOT_FOUND;
}

/* log4c's layout: appends a newline to the message, which has all fields. */
static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    static char line[LINE_SIZE + 2];

    (void)layout;
    snprintf(line, sizeof(line), "%s\n", event->evt_msg);
    return line;
}

static const log4c_layout_type_t layout_type = {"kcc", format_line};

/* Writes without blocking and drops what standard output does not take. */
void
KcLog_Flush(void)
{
    ssize_t written;

    if (output.used_bytes == 0) {
        return;
    }
    written = write(STDOUT_FILENO, output.text, output.used_bytes);
    if (written < (ssize_t)output.used_bytes) {
        for (size_t i = written > 0 ? (size_t)written : 0;
             i < output.used_bytes; i++) {
            output.dropped_count += output.text[i] == '\n' ? 1 : 0;
        }
    }
    output.used_bytes = 0;
}

uint64_t
KcLog_DroppedCount(void)
{
    return output.dropped_count;
}

/* log4c's appender: adds the rendered line to the output buffer. */
static int
append_to_output(log4c_appender_t *appender,
                 const log4c_logging_event_t *event)
{
    size_t size = strlen(event->evt_rendered_msg);

    (void)appender;
    if (output.used_bytes + size > BUFFER_SIZE) {
        KcLog_Flush();
    }
    memcpy(output.text + output.used_bytes, event->evt_rendered_msg, size);
    output.used_bytes += size;
    return 0;
}

static const log4c_appender_type_t appender_type = {"kcc", NULL,
                                                    append_to_output, NULL};

int
KcLog_Open(const char *process_name, KcLogLevel level)
{
    log4c_appender_t *appender;
    log4c_layout_t *layout;

    KcText_Copy(logged_process_name, process_name,
                sizeof(logged_process_name));
    if (log4c_init() != 0) {
        return KC_ERR_INVALID;
    }
    log4c_layout_type_set(&layout_type);
    layout = log4c_layout_get("kcc");
    log4c_layout_set_type(layout, &layout_type);
    log4c_appender_type_set(&appender_type);
    appender = log4c_appender_get("kcc");
    log4c_appender_set_type(appender, &appender_type);
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    log4c_appender_set_layout(appender, layout);
    category = log4c_category_get("kcc");
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, levels[level].priority);
    return 0;
}

void
KcLog_Close(void)
{
    KcLog_Flush();
    category = NULL;
    log4c_fini();
}

/* Appends formatted text, cut off at LINE_SIZE. Returns the new length. */
static size_t
append_format(char *line, size_t used_bytes, const char *format, ...)
{
    va_list args;
    int length;

    va_start(args, format);
    length =
        vsnprintf(line + used_bytes, LINE_SIZE - used_bytes, format, args);
    va_end(args);
    used_bytes += length > 0 ? (size_t)length : 0;
    return used_bytes < LINE_SIZE ? used_bytes : LINE_SIZE - 1;
}

static size_t
append_time(char *line, size_t used_bytes)
{
    struct timespec now;
    struct tm utc;
    char text[32];

    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &utc);
    strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
    return append_format(line, used_bytes, "time=%s.%03ldZ", text,
                         now.tv_nsec / 1000000);
}

static size_t
append_fields(char *line, size_t used_bytes, const KcLogFields *fields)
{
    char id[KC_REQUEST_ID_TEXT_SIZE];

    if (fields->request_id != NULL) {
        KcRequestId_Format(fields->request_id, id);
        used_bytes = append_format(line, used_bytes, " request=%s", id);
    }
    if (fields->caller_request_id != NULL &&
        fields->caller_request_id[0] != '\0') {
        used_bytes = append_format(line, used_bytes, " id=%s",
                                   fields->caller_request_id);
    }
    if (fields->generation != 0) {
        used_bytes = append_format(line, used_bytes, " generation=%" PRIu64,
                                   fields->generation);
    }
    if (fields->peer != NULL && fields->peer[0] != '\0') {
        used_bytes = append_format(line, used_bytes, " peer=%s", fields->peer);
    }
    if (fields->step != NULL && fields->step[0] != '\0') {
        used_bytes =
            append_format(line, used_bytes, " step=\"%s\"", fields->step);
    }
    if (fields->code != 0) {
        used_bytes = append_format(line, used_bytes, " error=%s code=%d",
                                   KcError_Name(fields->code), fields->code);
    }
    return used_bytes;
}

/* Counts a line. Returns false when this second's limit is reached. */
static bool
is_within_rate(void)
{
    time_t now = time(NULL);

    if (now != output.counted_second) {
        output.counted_second = now;
        output.line_count = 0;
    }
    if (output.line_count++ < LINES_PER_SECOND_MAX) {
        return true;
    }
    output.dropped_count++;
    return false;
}

/* Logs how many lines were dropped since the last report. */
static void
report_dropped_lines(void)
{
    char line[LINE_SIZE];
    size_t used_bytes = append_time(line, 0);

    if (output.dropped_count == output.reported_dropped_count) {
        return;
    }
    append_format(line, used_bytes,
                  " level=warn process=%s dropped=%" PRIu64
                  " msg=\"log lines were dropped\"",
                  logged_process_name,
                  output.dropped_count - output.reported_dropped_count);
    output.reported_dropped_count = output.dropped_count;
    log4c_category_log(category, LOG4C_PRIORITY_WARN, "%s", line);
}

void
KcLog_Write(KcLogLevel level, const KcLogFields *fields, const char *format,
            ...)
{
    char line[LINE_SIZE];
    char text[512];
    size_t used_bytes = 0;
    va_list args;

    if (category == NULL ||
        !log4c_category_is_priority_enabled(category,
                                            levels[level].priority) ||
        !is_within_rate()) {
        return;
    }
    report_dropped_lines();
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    for (char *character = text; *character != '\0'; character++) {
        if (*character == '"' || *character == '\n') {
            *character = '\'';
        }
    }
    used_bytes = append_time(line, used_bytes);
    used_bytes = append_format(line, used_bytes, " level=%s process=%s",
                               levels[level].name, logged_process_name);
    if (fields != NULL) {
        used_bytes = append_fields(line, used_bytes, fields);
    }
    append_format(line, used_bytes, " msg=\"%s\"", text);
    log4c_category_log(category, levels[level].priority, "%s", line);
}

void
KcLog_RecordInvalid(const char *record, const KcError *error)
{
    KcLogFields fields = {
        .peer = record, .step = error->step, .code = error->code};

    KcLog_Write(KC_LOG_WARN, &fields, "record cannot be used");
}

void
KcLog_SkippedMessage(void *context, KcLink *link, int type)
{
    KcLogFields fields = {.peer = link->peer_name,
                          .step = "link",
                          .code = KC_ERR_UNKNOWN_MESSAGE};

    (void)context;
    KcLog_Write(KC_LOG_WARN, &fields,
                "message skipped, type=%d; later ones are counted only", type);
}

void
KcLog_StoreStatus(int code)
{
    KcLogFields fields = {.step = "store", .code = code};

    KcLog_Write(code == 0 ? KC_LOG_INFO : KC_LOG_WARN, &fields,
                code == 0 ? "store is available again"
                          : "store is unavailable");
}

void
KcLog_StoreRestored(uint64_t era, uint64_t previous_era)
{
    KcLogFields fields = {.step = "store"};

    KcLog_Write(KC_LOG_WARN, &fields,
                "store was restored from a copy, its era is %" PRIu64
                ", was %" PRIu64,
                era, previous_era);
}

void
KcLog_Suspect(const char *service, KcSuspectStep step,
              const KcSuspect *suspect, bool is_own)
{
    KcLogFields fields = {.peer = service, .step = "prompt part"};
    char part[KC_PARTS_TEXT_SIZE];
    char companions[KC_PARTS_TEXT_SIZE];

    KcParts_Format(&suspect->part, 1, part);
    KcParts_Format(suspect->companions, suspect->companion_count, companions);
    KcLog_Write(is_own || suspect->state == KC_SUSPECT_BLOCKED ? KC_LOG_INFO
                                                               : KC_LOG_DEBUG,
                &fields,
                "part %s, part=%s ends=%u trials=%u epoch=%u companions=%s",
                KcSuspectStep_Name(step), part, suspect->end_count,
                suspect->trial_count, suspect->epoch, companions);
}
