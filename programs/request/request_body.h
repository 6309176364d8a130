/*
 * The body of a caller's request, shared without copies by the caller's
 * connection and the output to each backend server. It is freed when the last
 * of them has let go of it.
 */
#ifndef KCC_REQUEST_BODY_H
#define KCC_REQUEST_BODY_H

#include <event2/buffer.h>

#include <kcc.h>

typedef struct KcRequestBody KcRequestBody;

/* Creates an empty body that will have about so many bytes, with one
 * reference. */
KcRequestBody *KcRequestBody_Create(size_t expected_bytes);
/* Gives up a reference; body may be NULL. */
void KcRequestBody_Release(KcRequestBody *body);

/* Appends a copy of the bytes; not after KcRequestBody_AddTo(). */
void KcRequestBody_Append(KcRequestBody *body, KcBytes bytes);
/* Returns the number of bytes; 0 for NULL. */
size_t KcRequestBody_Size(const KcRequestBody *body);
/* Adds the bytes to an output, which holds a reference until they are sent or
 * dropped; body may be NULL. */
void KcRequestBody_AddTo(KcRequestBody *body, struct evbuffer *out);

#endif
