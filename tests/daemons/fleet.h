/*
 * Real daemons and stand-ins on loopback, started and ended by a test.
 */
#ifndef KCC_FLEET_H
#define KCC_FLEET_H

#include <jansson.h>
#include <sys/types.h>

#include "../../programs/process/loop.h"
#include "../../programs/request/http_call.h"

typedef struct Fleet Fleet;

/* Processes of a fleet, by role and number. */
typedef enum FleetRole {
    FLEET_OBJECTS,
    FLEET_INSTANCES,
    FLEET_ENGINE,  /* one beside each model agent */
    FLEET_SERVICE, /* one beside each plain agent */
    FLEET_AGENT,   /* model agents, then plain agents */
    FLEET_ENTRY,
    FLEET_ROLE_COUNT
} FleetRole;

typedef struct FleetOptions {
    uint16_t port; /* first of the ports that are used */
    uint32_t entries;
    uint32_t model_agents;
    uint32_t plain_agents;
    const char *agent_settings; /* added to each agent's settings */
    const char *entry_settings;
    const char *engine_knobs; /* "NAME=VALUE", or NULL */
    const char *service_knobs;
    const char *lease;    /* [lease] settings, NULL: short ones */
    const char *capacity; /* section of the document, NULL: a default */
    uint32_t adapters;    /* a0, a1, ...; 0: a default */
} FleetOptions;

/* Starts everything, applies the document and waits until it is in force. */
Fleet *Fleet_Start(const FleetOptions *options);

/* Ends every process with SIGTERM and forgets the fleet. */
void Fleet_Stop(Fleet *fleet);

/* Address of a process that speaks HTTP; of an entry, for callers. */
const char *Fleet_Address(const Fleet *fleet, FleetRole role, uint32_t number);

pid_t Fleet_Pid(const Fleet *fleet, FleetRole role, uint32_t number);

/* Sends a signal to a process. */
void Fleet_Signal(Fleet *fleet, FleetRole role, uint32_t number, int signal);

/* Starts a process again after it has ended. */
void Fleet_Restart(Fleet *fleet, FleetRole role, uint32_t number);

/* Waits for a process to end; returns its exit status, -1 by a signal. */
int Fleet_Wait(Fleet *fleet, FleetRole role, uint32_t number);

/* Waits until a process that was restarted is ready. */
void Fleet_AwaitReady(Fleet *fleet, FleetRole role, uint32_t number);

/* Sets a knob of a stand-in, "NAME=VALUE". */
void Fleet_Set(Fleet *fleet, FleetRole role, uint32_t number,
               const char *knob);

/* State of a stand-in; the caller drops the reference. */
json_t *Fleet_State(Fleet *fleet, FleetRole role, uint32_t number);

/* Runs kcc with arguments ending in NULL; returns its exit status. */
int Fleet_Kcc(Fleet *fleet, const char *const *arguments, char *output,
              size_t size);

/* Lets the loop of the test run for some milliseconds. */
void Fleet_Run(KcLoop *loop, int milliseconds);

#endif
