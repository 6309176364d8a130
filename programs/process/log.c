/*
 * Structured logs through log4c.
 *
 * log4c keeps its categories in a global table of its own; this file is the
 * only one that touches it.
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
/* Lines are gathered up to this many bytes before they are written. */
#define GATHER_SIZE 16384
/* Lines a second at the most; the rest is dropped and counted. */
#define LINES_PER_SECOND 2000

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
    char text[GATHER_SIZE];
    size_t used;
    time_t second; /* in which lines are counted */
    unsigned lines;
    uint64_t dropped;
    uint64_t told; /* of these, told of in the log */
} gathered;

static log4c_category_t *category;
static char process[KC_NAME_MAX];

int
KcLog_Level(const char *name)
{
    for (int i = 0; i < LEVEL_COUNT; i++) {
        if (strcmp(levels[i].name, name) == 0) {
            return i;
        }
    }
    return KC_ERR_NOT_FOUND;
}

/* log4c hands on the message; the line is complete but for its end. */
static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    static char line[LINE_SIZE + 2];

    (void)layout;
    snprintf(line, sizeof(line), "%s\n", event->evt_msg);
    return line;
}

static const log4c_layout_type_t layout_type = {"kcc", format_line};

/* Writes without blocking; what does not fit is dropped. */
void
KcLog_Flush(void)
{
    ssize_t written;

    if (gathered.used == 0) {
        return;
    }
    written = write(STDOUT_FILENO, gathered.text, gathered.used);
    if (written < (ssize_t)gathered.used) {
        for (size_t i = written > 0 ? (size_t)written : 0; i < gathered.used;
             i++) {
            gathered.dropped += gathered.text[i] == '\n' ? 1 : 0;
        }
    }
    gathered.used = 0;
}

uint64_t
KcLog_Dropped(void)
{
    return gathered.dropped;
}

/* log4c's appender: gathers the rendered line. */
static int
gather(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    size_t size = strlen(event->evt_rendered_msg);

    (void)appender;
    if (gathered.used + size > GATHER_SIZE) {
        KcLog_Flush();
    }
    memcpy(gathered.text + gathered.used, event->evt_rendered_msg, size);
    gathered.used += size;
    return 0;
}

static const log4c_appender_type_t appender_type = {"kcc", NULL, gather, NULL};

int
KcLog_Open(const char *process_name, KcLogLevel level)
{
    log4c_appender_t *appender;
    log4c_layout_t *layout;

    KcText_Copy(process, process_name, sizeof(process));
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

/* Appends formatted text; stays within the line. */
static size_t
append(char *line, size_t used, const char *format, ...)
{
    va_list args;
    int length;

    va_start(args, format);
    length = vsnprintf(line + used, LINE_SIZE - used, format, args);
    va_end(args);
    used += length > 0 ? (size_t)length : 0;
    return used < LINE_SIZE ? used : LINE_SIZE - 1;
}

static size_t
append_time(char *line, size_t used)
{
    struct timespec now;
    struct tm utc;
    char text[32];

    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &utc);
    strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
    return append(line, used, "time=%s.%03ldZ", text, now.tv_nsec / 1000000);
}

static size_t
append_fields(char *line, size_t used, const KcLogFields *fields)
{
    char id[KC_REQUEST_ID_TEXT_SIZE];

    if (fields->request_id != NULL) {
        KcRequestId_Format(fields->request_id, id);
        used = append(line, used, " request=%s", id);
    }
    if (fields->caller_request_id != NULL &&
        fields->caller_request_id[0] != '\0') {
        used = append(line, used, " id=%s", fields->caller_request_id);
    }
    if (fields->generation != 0) {
        used = append(line, used, " generation=%" PRIu64, fields->generation);
    }
    if (fields->peer != NULL && fields->peer[0] != '\0') {
        used = append(line, used, " peer=%s", fields->peer);
    }
    if (fields->step != NULL && fields->step[0] != '\0') {
        used = append(line, used, " step=\"%s\"", fields->step);
    }
    if (fields->code != 0) {
        used = append(line, used, " error=%s code=%d",
                      KcError_Name(fields->code), fields->code);
    }
    return used;
}

/* Is there room for a further line in this second? */
static bool
within_bound(void)
{
    time_t now = time(NULL);

    if (now != gathered.second) {
        gathered.second = now;
        gathered.lines = 0;
    }
    if (gathered.lines++ < LINES_PER_SECOND) {
        return true;
    }
    gathered.dropped++;
    return false;
}

/* Tells of lines that were dropped, with the next one that is not. */
static void
tell_dropped(void)
{
    char line[LINE_SIZE];
    size_t used = append_time(line, 0);

    if (gathered.dropped == gathered.told) {
        return;
    }
    append(line, used,
           " level=warn process=%s dropped=%" PRIu64
           " msg=\"log lines were dropped\"",
           process, gathered.dropped - gathered.told);
    gathered.told = gathered.dropped;
    log4c_category_log(category, LOG4C_PRIORITY_WARN, "%s", line);
}

void
KcLog_Write(KcLogLevel level, const KcLogFields *fields, const char *format,
            ...)
{
    char line[LINE_SIZE];
    char text[512];
    size_t used = 0;
    va_list args;

    if (category == NULL ||
        !log4c_category_is_priority_enabled(category,
                                            levels[level].priority) ||
        !within_bound()) {
        return;
    }
    tell_dropped();
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    for (char *at = text; *at != '\0'; at++) {
        if (*at == '"' || *at == '\n') {
            *at = '\'';
        }
    }
    used = append_time(line, used);
    used = append(line, used, " level=%s process=%s", levels[level].name,
                  process);
    if (fields != NULL) {
        used = append_fields(line, used, fields);
    }
    append(line, used, " msg=\"%s\"", text);
    log4c_category_log(category, levels[level].priority, "%s", line);
}

void
KcLog_Invalid(const char *record, const KcError *error)
{
    KcLogFields fields = {
        .peer = record, .step = error->step, .code = error->code};

    KcLog_Write(KC_LOG_WARN, &fields, "record cannot be used");
}

void
KcLog_Contact(int code)
{
    KcLogFields fields = {.step = "store", .code = code};

    KcLog_Write(code == 0 ? KC_LOG_INFO : KC_LOG_WARN, &fields,
                code == 0 ? "store answers again" : "store does not answer");
}
