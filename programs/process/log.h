/*
 * Structured logs: one line of key=value pairs per message, through log4c.
 */
#ifndef KCC_LOG_H
#define KCC_LOG_H

#include <kcc.h>

typedef enum KcLogLevel {
    KC_LOG_ERROR = 0,
    KC_LOG_WARN,
    KC_LOG_INFO,
    KC_LOG_DEBUG
} KcLogLevel;

/* Finds a level by name.  Returns it, or KC_ERR_NOT_FOUND. */
int KcLog_Level(const char *name);

/*
 * Opens the log on standard output.  Returns 0 or KC_ERR_INVALID.  A line
 * that cannot be written at once, or that is beyond the bound of lines a
 * second, is dropped and counted.
 */
int KcLog_Open(const char *process_name, KcLogLevel level);
void KcLog_Close(void);

/* Writes what has been gathered; called once a round of the loop. */
void KcLog_Flush(void);

/* Lines dropped since the log was opened. */
uint64_t KcLog_Dropped(void);

/* What a line says besides its text; unset fields are left out. */
typedef struct KcLogFields {
    const KcRequestId *request_id;
    const char *caller_request_id; /* a caller's name for its request */
    uint64_t generation;
    const char *peer;
    const char *step;
    int code; /* negative error number */
} KcLogFields;

/* Writes one line.  fields may be NULL; format is that of printf(). */
void KcLog_Write(KcLogLevel level, const KcLogFields *fields,
                 const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* A record of the store cannot be used; error says why. */
void KcLog_Invalid(const char *record, const KcError *error);
/* The store was lost (code negative) or regained (0). */
void KcLog_Contact(int code);

#endif
