/*
 * libkcc: the coordination parts of kingcupcrank.
 *
 * The library has no sockets, no clock and no global state.  The present
 * time is an argument of every function that decides, and all input and
 * output goes through tables of function pointers given by the caller.
 *
 * Simple use: parse and validate a document (KcDocument_Parse()), or run an
 * entry (KcEntry_Create()) or an agent (KcAgent_Create()) over transports
 * and seams of your own.
 *
 * Advanced use: the parts by themselves, by life span: messages and links
 * (kcc_connection.h), claims, retries and the order of work
 * (kcc_request.h), documents and catching up (kcc_version.h), routing,
 * limits and leases (kcc_process.h), residency
 * (kcc_residency.h).
 *
 * Unstable: the fields of structures other than option structs, which may
 * change between versions.
 */
#ifndef KCC_H
#define KCC_H

#define KCC_VERSION "0.1.0"

/* Simple use. */
#include "kcc_types.h"
#include "kcc_version.h"
#include "kcc_entry.h"
#include "kcc_agent.h"
#include "kcc_gateway.h"
#include "kcc_keeper.h"

/* Advanced use. */
#include "kcc_connection.h"
#include "kcc_feed.h"
#include "kcc_forward.h"
#include "kcc_process.h"
#include "kcc_request.h"
#include "kcc_residency.h"
#include "kcc_routing.h"

#endif
