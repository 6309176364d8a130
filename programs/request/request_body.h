/*
 * The body of a caller's request, shared without copies by the caller's
 * connection and the output to each backend server. It is freed when the last
 * of them has let go of it, and takes its part of a pool until then.
 */
#ifndef KCC_REQUEST_BODY_H
#define KCC_REQUEST_BODY_H

#include <event2/buffer.h>

#include <kcc.h>

typedef struct KcRequestBody KcRequestBody;

/*
 * Creates an empty body, with one reference. The pool, unless it is NULL,
 * holds room for the head and expected_bytes, so that the body can be received
 * whatever comes after it. Returns NULL when the pool has no such room.
 */
KcRequestBody *KcRequestBody_Create(KcIntakePool *pool, size_t head_bytes,
                                    size_t expected_bytes);
/* Gives up a reference; body may be NULL. */
void KcRequestBody_Release(KcRequestBody *body);

/*
 * Appends a copy of the bytes; not after KcRequestBody_AddTo(). Returns 0, or
 * KC_ERR_BUSY when the body exceeds what was expected and the pool has no room
 * for it.
 */
int KcRequestBody_Append(KcRequestBody *body, KcBytes bytes);
/* Returns the number of bytes; 0 for NULL. */
size_t KcRequestBody_Size(const KcRequestBody *body);
/* Adds the bytes to an output, which holds a reference until they are sent or
 * dropped; body may be NULL. */
void KcRequestBody_AddTo(KcRequestBody *body, struct evbuffer *out);

#endif
