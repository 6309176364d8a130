/*
 * JSON text that is taken apart before it is decoded.  The JSON library
 * decodes or rejects a text as a whole: a list whose elements come from
 * several writers is split here and decoded element by element, so that one
 * that the library rejects doesn't hide the others.
 *
 * Only strings and brackets are looked at, and nothing recurses: a value may
 * be nested to any depth, and whether it is valid is left to the library.
 */
#ifndef KCC_JSON_TEXT_H
#define KCC_JSON_TEXT_H

#include <jansson.h>

#include "kcc.h"

/* A member of an object. */
typedef struct KcJsonMember {
    const char *name; /* without characters that JSON escapes */
    KcBytes value;    /* its text; empty: the object has no such member */
} KcJsonMember;

/*
 * Finds members of an object by their names; of several with one name the last
 * counts, as in the library.  The values point into text.  Returns 0, or
 * KC_ERR_PARSE when text is not one object; values are then undefined.
 */
int KcJsonText_FindMembers(KcBytes text, KcJsonMember *members, size_t count);

/* Begins to split an array, whose text is in *rest.  Returns 0, or
 * KC_ERR_PARSE when it is not an array. */
int KcJsonText_BeginArray(KcBytes *rest);

/*
 * Takes the next element of an array that KcJsonText_BeginArray() began.
 * Returns 1 with the text of the element, 0 at the end of the array, or
 * KC_ERR_PARSE when it can't be split further.
 */
int KcJsonText_TakeElement(KcBytes *rest, KcBytes *element);

/* Decodes a value of any type by the library, with its decoding flags; the
 * caller drops the reference.  Returns NULL when text is empty or the library
 * rejects it. */
json_t *KcJsonText_Decode(KcBytes text, size_t flags);

/* Decodes a whole number.  Returns 0, or KC_ERR_PARSE when text is none of at
 * most 64 bits. */
int KcJsonText_DecodeInteger(KcBytes text, int64_t *number);

/*
 * Decodes the named members of an object into an object that holds just these;
 * the caller drops the reference.  Returns NULL when text is not one object,
 * or the library rejects one of the members.
 */
json_t *KcJsonText_DecodeMembers(KcBytes text, KcJsonMember *members,
                                 size_t count);

/* Copies the text of an object's member.  Returns 0, or KC_ERR_PARSE when it
 * is missing, no text or too long. */
int KcJsonText_CopyMember(const json_t *object, const char *name, char *text,
                          size_t size);

#endif
