/*
 * Parts of prompts for administrators: field "parts" of /debug/state.
 */
#ifndef KCC_SUSPECTS_JSON_H
#define KCC_SUSPECTS_JSON_H

#include <jansson.h>
#include <kcc.h>

/* Adds an object to a list for each blocked or suspected part of the prompts
 * for a service: service, part, state, ends, trials, age_s since it was
 * blocked or last tried, and companions. */
void KcSuspects_AddJson(const KcSuspects *suspects, const char *service,
                        json_t *list, KcTime now);

#endif
