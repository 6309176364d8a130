/*
 * Bytes without end that a server in trouble sends as an answer.
 */
#ifndef KCC_ENDLESS_H
#define KCC_ENDLESS_H

#include <kcc.h>

typedef struct EndlessPattern {
    const char *name;
    const char *start;   /* sent once */
    const char *filler;  /* sent again and again; "%" in it is replaced by a
                          * number that grows */
    size_t filler_count; /* copies of the filler in one write */
    KcTime interval;     /* between two writes; 0: whenever the last one was
                          * sent */
} EndlessPattern;

/* Returns pattern 1 to Endless_PatternCount(). */
const EndlessPattern *Endless_Pattern(size_t number);
size_t Endless_PatternCount(void);
/* Returns the number of the pattern with this name, 0 when there is none. */
size_t Endless_FindPattern(const char *name);

/* Appends what is sent once, with the id of the request where the answer is
 * one to it; "" is none. */
void Endless_AppendStart(const EndlessPattern *pattern, const char *request_id,
                         KcBuffer *out);

/* Appends the bytes of one write.  counter holds the number that grows. */
void Endless_AppendFiller(const EndlessPattern *pattern, uint64_t *counter,
                          KcBuffer *out);

#endif
