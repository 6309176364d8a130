/*
 * libkcc: the coordination logic of kingcupcrank; this header includes all
 * of its public headers.
 *
 * The library has no sockets, no clock and no global state.  The current
 * time is an argument of every function that depends on it, and all input
 * and output goes through tables of function pointers given by the caller.
 *
 * Simple use: parse and validate a document (KcDocument_Parse()), or run an
 * entry (KcEntry_Create()), an agent (KcAgent_Create()), a gateway
 * (KcGateway_Create()) or a keeper (KcKeeper_Create()) over your own
 * transports and function tables.
 *
 * Advanced use: single modules, by the lifetime of their data: messages and
 * links (kcc_connection.h), claims, retries and the order of work
 * (kcc_request.h), limits of answers that are read (kcc_intake.h), a gateway's
 * requests (kcc_forward.h), documents and fetching newer versions
 * (kcc_version.h), the routing configuration of gateways (kcc_routing.h),
 * collections of the object API (kcc_feed.h, kcc_revision.h), backend servers,
 * limits and leases (kcc_process.h), adapters loaded at an engine
 * (kcc_residency.h).
 *
 * Unstable: the fields of structures other than option structs may change
 * between versions.
 */
#ifndef KCC_H
#define KCC_H

#define KCC_VERSION "0.1.0"

/* Simple use. */
#include "kcc_types.h"
#include "kcc_version.h"
#include "kcc_entry.h"
#include "kcc_agent.h"
#include "kcc_explain.h"
#include "kcc_gateway.h"
#include "kcc_keeper.h"
#include "kcc_quota.h"

/* Advanced use. */
#include "kcc_connection.h"
#include "kcc_feed.h"
#include "kcc_forward.h"
#include "kcc_intake.h"
#include "kcc_load.h"
#include "kcc_output_pool.h"
#include "kcc_process.h"
#include "kcc_request.h"
#include "kcc_residency.h"
#include "kcc_revision.h"
#include "kcc_routing.h"
#include "kcc_second_attempts.h"
#include "kcc_suspects.h"

#endif
