/*
 * Real daemons and stand-ins on loopback.
 */
#include "fleet.h"

#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../programs/kcc/blocking_http.h"

#define PROCESS_MAX 300
#define WAIT_MS 30000
#define POLL_MS 50
#define ADAPTERS 40

extern char **environ;

typedef struct Process {
    FleetRole role;
    uint32_t number;
    pid_t pid; /* 0 when it has ended */
    char address[KC_ADDRESS_MAX];
    char admin[KC_ADDRESS_MAX]; /* "" for stand-ins */
    char *arguments[8];
} Process;

struct Fleet {
    FleetOptions options;
    char *directory;
    const char *build;
    Process processes[PROCESS_MAX];
    uint32_t count;
    uint16_t next_port;
};

/* ---- processes ---------------------------------------------------------- */

static Process *
find_process(const Fleet *fleet, FleetRole role, uint32_t number)
{
    for (uint32_t i = 0; i < fleet->count; i++) {
        const Process *process = &fleet->processes[i];

        if (process->role == role && process->number == number) {
            return (Process *)process;
        }
    }
    g_error("no process %d %u", (int)role, number);
}

static void
spawn(Fleet *fleet, Process *process)
{
    posix_spawn_file_actions_t actions;
    char *log = g_strdup_printf("%s/log-%d-%u", fleet->directory,
                                (int)process->role, process->number);

    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log,
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    g_assert_cmpint(posix_spawn(&process->pid, process->arguments[0], &actions,
                                NULL, process->arguments, environ),
                    ==, 0);
    posix_spawn_file_actions_destroy(&actions);
    g_free(log);
}

static void
new_address(Fleet *fleet, char *address)
{
    snprintf(address, KC_ADDRESS_MAX, "127.0.0.1:%u", fleet->next_port++);
}

static Process *
add_process(Fleet *fleet, FleetRole role, uint32_t number, const char *program)
{
    Process *process = &fleet->processes[fleet->count++];

    g_assert_cmpuint(fleet->count, <, PROCESS_MAX);
    process->role = role;
    process->number = number;
    new_address(fleet, process->address);
    process->arguments[0] = g_strdup_printf("%s/%s", fleet->build, program);
    return process;
}

static Process *
add_standin(Fleet *fleet, FleetRole role, uint32_t number, const char *program,
            const char *knob, const char *file)
{
    Process *process = add_process(fleet, role, number, program);
    int i = 1;

    process->arguments[i++] = g_strdup("-l");
    process->arguments[i++] = g_strdup(process->address);
    if (knob != NULL) {
        process->arguments[i++] = g_strdup("-s");
        process->arguments[i++] = g_strdup(knob);
    }
    if (file != NULL) {
        process->arguments[i++] = g_strdup(file);
    }
    return process;
}

static void
write_file(const char *path, const char *text)
{
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
}

static char *
path_of(const Fleet *fleet, const char *name)
{
    return g_strdup_printf("%s/%s", fleet->directory, name);
}

/* Gives a daemon its settings file. */
static void
set_settings(Fleet *fleet, Process *process, const char *name, char *text)
{
    char *file = g_strdup_printf("%s/%s.ini", fleet->directory, name);

    write_file(file, text);
    process->arguments[1] = file;
    g_free(text);
}

static const char *
lease_of(const Fleet *fleet)
{
    return fleet->options.lease != NULL
               ? fleet->options.lease
               : "confirm_spread_ms = 200\nttl_ms = 6000\nrenew_ms = 1500\n";
}

static void
add_agent(Fleet *fleet, uint32_t number)
{
    bool plain = number >= fleet->options.model_agents;
    uint32_t index = plain ? number - fleet->options.model_agents : number;
    Process *backend =
        find_process(fleet, plain ? FLEET_SERVICE : FLEET_ENGINE, index);
    Process *process = add_process(fleet, FLEET_AGENT, number, "kccd");
    char name[32];

    new_address(fleet, process->admin);
    snprintf(name, sizeof(name), "agent-%u", number);
    set_settings(
        fleet, process, name,
        g_strdup_printf(
            "[process]\nrole = agent\nname = %s\ndatacentre = d%u\n"
            "[listen]\nlinks = %s\nadmin = %s\n[platform]\nobjects = %s\n"
            "[lease]\n%s[backend]\naddress = %s\nservice = %s\n%s",
            name, number % 2, process->address, process->admin,
            Fleet_Address(fleet, FLEET_OBJECTS, 0), lease_of(fleet),
            backend->address, plain ? "print" : "llm",
            fleet->options.agent_settings != NULL
                ? fleet->options.agent_settings
                : ""));
}

static void
add_entry(Fleet *fleet, uint32_t number)
{
    Process *process = add_process(fleet, FLEET_ENTRY, number, "kccd");
    char name[32];

    new_address(fleet, process->admin);
    snprintf(name, sizeof(name), "entry-%u", number);
    set_settings(
        fleet, process, name,
        g_strdup_printf(
            "[process]\nrole = entry\nname = %s\ndatacentre = d%u\n"
            "[listen]\ncallers = %s\nadmin = %s\n[platform]\nobjects = %s\n"
            "instances = %s\ninstances_poll_ms = %u\n"
            "[lease]\n%s%s",
            name, number % 2, process->address, process->admin,
            Fleet_Address(fleet, FLEET_OBJECTS, 0),
            Fleet_Address(fleet, FLEET_INSTANCES, 0),
            fleet->options.lease != NULL ? 2000 : 100, lease_of(fleet),
            fleet->options.entry_settings != NULL
                ? fleet->options.entry_settings
                : ""));
}

/* ---- platform files ----------------------------------------------------- */

/* The list needs the agents' addresses, which follow those before them. */
static void
write_instances(Fleet *fleet)
{
    GString *text = g_string_new("[");
    uint32_t agents =
        fleet->options.model_agents + fleet->options.plain_agents;
    char *file = path_of(fleet, "instances.json");

    for (uint32_t i = 0; i < agents; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"agent-%u\",\"service\":\"%s\",\"datacentre\":"
            "\"d%u\",\"address\":\"%s\",\"state\":\"live\"}",
            i > 0 ? "," : "", i,
            i < fleet->options.model_agents ? "llm" : "print", i % 2,
            Fleet_Address(fleet, FLEET_AGENT, i));
    }
    g_string_append(text, "]");
    write_file(file, text->str);
    g_string_free(text, TRUE);
    g_free(file);
}

static void
write_document(Fleet *fleet)
{
    GString *adapters = g_string_new("[adapters]\n");
    const struct {
        const char *name;
        const char *text;
    } sections[] = {
        {"regions.ini", "[region r0]\ndatacentres = d0\n"
                        "[region r1]\ndatacentres = d1\n"
                        "[link]\nbytes_per_s = 3750000\n"},
        {"services.ini",
         "[service llm]\nkind = model\nbase_model = base\n"
         "[service print]\nkind = plain\npath = /print\nrepeatable = no\n"},
        {"capacity.ini",
         fleet->options.capacity != NULL
             ? fleet->options.capacity
             : "[service llm]\nslots = 8\nbatch = 16\nload_ms = 50\n"
               "service_ms = 50\nloads_per_minute = 60000\n"},
        {"retirements.ini", "[retired]\n"},
        {"limits.ini", "[customer *]\nrate_per_s = 100000\nburst = 100000\n"},
    };

    for (uint32_t i = 0; i < fleet->options.adapters; i++) {
        g_string_append_printf(adapters, "a%u = llm 1 2*\n", i);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
        char *file = path_of(fleet, sections[i].name);

        write_file(file, sections[i].text);
        g_free(file);
    }
    {
        char *file = path_of(fleet, "adapters.ini");

        write_file(file, adapters->str);
        g_free(file);
    }
    g_string_free(adapters, TRUE);
}

/* ---- waiting ------------------------------------------------------------ */

static bool
answers(const char *address, const char *path)
{
    KcHttpResponse answer;
    bool good;

    KcBlockingHttp_Get(address, path, &answer);
    good = answer.status == 200;
    KcHttpResponse_Clear(&answer);
    return good;
}

static void
await(const char *address, const char *path)
{
    for (int waited = 0; waited < WAIT_MS; waited += POLL_MS) {
        if (answers(address, path)) {
            return;
        }
        g_usleep(POLL_MS * 1000);
    }
    g_error("%s%s does not answer", address, path);
}

void
Fleet_AwaitReady(Fleet *fleet, FleetRole role, uint32_t number)
{
    await(find_process(fleet, role, number)->admin, "/readyz");
}

static void
await_in_force(Fleet *fleet)
{
    static const char *const status[] = {"status", NULL};
    uint32_t processes = fleet->options.entries + fleet->options.model_agents +
                         fleet->options.plain_agents;

    for (int waited = 0; waited < WAIT_MS; waited += POLL_MS) {
        static char output[65536];
        uint32_t confirmed = 0;
        int code = Fleet_Kcc(fleet, status, output, sizeof(output));

        for (char *at = output; (at = strstr(at, " confirmed 2")) != NULL;
             at++) {
            confirmed++;
        }
        if (code == 0 && confirmed == processes) {
            return;
        }
        g_usleep(POLL_MS * 1000);
    }
    g_error("the document did not come into force");
}

/* ---- the fleet ---------------------------------------------------------- */

static void
add_all(Fleet *fleet)
{
    const FleetOptions *options = &fleet->options;
    char *list = path_of(fleet, "instances.json");

    add_standin(fleet, FLEET_OBJECTS, 0, "standin-objects", NULL, NULL);
    add_standin(fleet, FLEET_INSTANCES, 0, "standin-instances", "lag_ms=200",
                list);
    for (uint32_t i = 0; i < options->model_agents; i++) {
        add_standin(fleet, FLEET_ENGINE, i, "standin-engine",
                    options->engine_knobs, NULL);
    }
    for (uint32_t i = 0; i < options->plain_agents; i++) {
        add_standin(fleet, FLEET_SERVICE, i, "standin-service",
                    options->service_knobs, NULL);
    }
    for (uint32_t i = 0; i < options->model_agents + options->plain_agents;
         i++) {
        add_agent(fleet, i);
    }
    for (uint32_t i = 0; i < options->entries; i++) {
        add_entry(fleet, i);
    }
    g_free(list);
}

/* A process that ended at once found its address taken: what answers there
 * is not ours. */
static void
check_running(Fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->count; i++) {
        Process *process = &fleet->processes[i];
        int status;

        if (waitpid(process->pid, &status, WNOHANG) != 0) {
            g_error("process %d %u did not start on %s", (int)process->role,
                    process->number, process->address);
        }
    }
}

Fleet *
Fleet_Start(const FleetOptions *options)
{
    Fleet *fleet = KcMem_New(sizeof(*fleet));
    const char *apply[] = {"apply", "--all", NULL, "--author", "test", NULL};

    fleet->options = *options;
    if (fleet->options.adapters == 0) {
        fleet->options.adapters = ADAPTERS;
    }
    fleet->next_port = options->port;
    fleet->build =
        g_getenv("BUILD") != NULL ? g_getenv("BUILD") : "build/plain";
    fleet->directory = g_dir_make_tmp("kcc-XXXXXX", NULL);
    add_all(fleet);
    write_instances(fleet);
    write_document(fleet);
    for (uint32_t i = 0; i < fleet->count; i++) {
        spawn(fleet, &fleet->processes[i]);
    }
    await(Fleet_Address(fleet, FLEET_OBJECTS, 0), "/standin/state");
    apply[2] = fleet->directory;
    g_assert_cmpint(Fleet_Kcc(fleet, apply, NULL, 0), ==, 0);
    await_in_force(fleet);
    check_running(fleet);
    return fleet;
}

static void
remove_directory(const char *directory)
{
    GDir *entries = g_dir_open(directory, 0, NULL);
    const char *name;

    while ((name = g_dir_read_name(entries)) != NULL) {
        char *path = g_build_filename(directory, name, NULL);

        g_remove(path);
        g_free(path);
    }
    g_dir_close(entries);
    g_rmdir(directory);
}

void
Fleet_Stop(Fleet *fleet)
{
    for (uint32_t i = fleet->count; i-- > 0;) {
        Process *process = &fleet->processes[i];

        if (process->pid != 0) {
            kill(process->pid, SIGCONT);
            kill(process->pid, SIGTERM);
            Fleet_Wait(fleet, process->role, process->number);
        }
        for (int j = 0; j < 8; j++) {
            g_free(process->arguments[j]);
        }
    }
    remove_directory(fleet->directory);
    g_free(fleet->directory);
    free(fleet);
}

const char *
Fleet_Address(const Fleet *fleet, FleetRole role, uint32_t number)
{
    return find_process(fleet, role, number)->address;
}

pid_t
Fleet_Pid(const Fleet *fleet, FleetRole role, uint32_t number)
{
    return find_process(fleet, role, number)->pid;
}

void
Fleet_Signal(Fleet *fleet, FleetRole role, uint32_t number, int signal)
{
    g_assert_cmpint(kill(find_process(fleet, role, number)->pid, signal), ==,
                    0);
}

int
Fleet_Wait(Fleet *fleet, FleetRole role, uint32_t number)
{
    Process *process = find_process(fleet, role, number);
    int status = 0;

    for (int waited = 0; waited < WAIT_MS; waited += 10) {
        if (waitpid(process->pid, &status, WNOHANG) == process->pid) {
            process->pid = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        g_usleep(10000);
    }
    kill(process->pid, SIGKILL);
    waitpid(process->pid, &status, 0);
    process->pid = 0;
    g_test_message("process %d %u did not end by itself", (int)role, number);
    return -2;
}

void
Fleet_Restart(Fleet *fleet, FleetRole role, uint32_t number)
{
    Process *process = find_process(fleet, role, number);

    g_assert_cmpint(process->pid, ==, 0);
    spawn(fleet, process);
}

void
Fleet_Set(Fleet *fleet, FleetRole role, uint32_t number, const char *knob)
{
    char path[128];
    KcHttpCallOptions options = {.address = Fleet_Address(fleet, role, number),
                                 .method = "POST",
                                 .path = path};
    KcHttpResponse answer;

    snprintf(path, sizeof(path), "/standin/set?%s", knob);
    KcBlockingHttp_Call(&options, &answer);
    g_assert_cmpint(answer.status, ==, 200);
    KcHttpResponse_Clear(&answer);
}

json_t *
Fleet_State(Fleet *fleet, FleetRole role, uint32_t number)
{
    KcHttpResponse answer;
    json_t *state;

    KcBlockingHttp_Get(Fleet_Address(fleet, role, number), "/standin/state",
                       &answer);
    state = json_loads(KcBuffer_Data(&answer.body), 0, NULL);
    g_assert_nonnull(state);
    KcHttpResponse_Clear(&answer);
    return state;
}

int
Fleet_Kcc(Fleet *fleet, const char *const *arguments, char *output,
          size_t size)
{
    char *program = g_strdup_printf("%s/kcc", fleet->build);
    const char *list[24] = {program, "--objects",
                            Fleet_Address(fleet, FLEET_OBJECTS, 0)};
    char *text = NULL;
    int status = -1;
    int count = 3;

    while (*arguments != NULL) {
        list[count++] = *arguments++;
    }
    g_assert_true(g_spawn_sync(NULL, (char **)list, NULL,
                               G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL, &text,
                               NULL, &status, NULL));
    if (output != NULL) {
        KcText_Copy(output, text, size);
    }
    g_free(text);
    g_free(program);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void
stop_loop(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    KcLoop_Stop(context);
}

void
Fleet_Run(KcLoop *loop, int milliseconds)
{
    struct timeval wait = {milliseconds / 1000, milliseconds % 1000 * 1000};

    event_base_once(loop->base, -1, EV_TIMEOUT, stop_loop, loop, &wait);
    loop->stop_requested = false;
    KcLoop_Run(loop);
}
