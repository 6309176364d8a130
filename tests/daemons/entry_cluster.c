/*
 * Starts, signals and ends the processes of an entry cluster, and writes
 * their settings, the instance list and the document.
 */
#include "entry_cluster.h"

#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../programs/kcc/blocking_http.h"
#include "../loopback.h"

#define PROCESS_COUNT_MAX 300
#define WAIT_TIMEOUT_MS 30000 /* for a start or an end */
#define POLL_INTERVAL_MS 50
#define ADAPTER_COUNT_DEFAULT 40

extern char **environ;

typedef struct Process {
    EntryClusterRole role;
    uint32_t number;
    pid_t pid;                          /* 0 when it does not run */
    char address[KC_ADDRESS_MAX];       /* of HTTP; of an agent: of links */
    char admin_address[KC_ADDRESS_MAX]; /* "" for stand-ins */
    char *arguments[8];                 /* ends with NULL */
} Process;

struct EntryCluster {
    EntryClusterOptions options;
    char *directory; /* settings, logs, instance list, document */
    const char *build_directory;
    Process processes[PROCESS_COUNT_MAX];
    uint32_t process_count;
};

/* ---- processes ---------------------------------------------------------- */

static Process *
find_process(const EntryCluster *cluster, EntryClusterRole role,
             uint32_t number)
{
    for (uint32_t i = 0; i < cluster->process_count; i++) {
        const Process *process = &cluster->processes[i];

        if (process->role == role && process->number == number) {
            return (Process *)process;
        }
    }
    g_error("no process %d %u", (int)role, number);
}

static void
spawn_process(EntryCluster *cluster, Process *process)
{
    posix_spawn_file_actions_t actions;
    char *log_path = g_strdup_printf("%s/log-%d-%u", cluster->directory,
                                     (int)process->role, process->number);

    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log_path,
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    g_assert_cmpint(posix_spawn(&process->pid, process->arguments[0], &actions,
                                NULL, process->arguments, environ),
                    ==, 0);
    posix_spawn_file_actions_destroy(&actions);
    g_free(log_path);
}

static Process *
add_process(EntryCluster *cluster, EntryClusterRole role, uint32_t number,
            const char *program)
{
    Process *process = &cluster->processes[cluster->process_count++];

    g_assert_cmpuint(cluster->process_count, <, PROCESS_COUNT_MAX);
    process->role = role;
    process->number = number;
    Loopback_AssignAddress(process->address, KC_ADDRESS_MAX);
    process->arguments[0] =
        g_strdup_printf("%s/%s", cluster->build_directory, program);
    return process;
}

static Process *
add_standin(EntryCluster *cluster, EntryClusterRole role, uint32_t number,
            const char *program, const char *knob, const char *file_path)
{
    Process *process = add_process(cluster, role, number, program);
    int i = 1;

    process->arguments[i++] = g_strdup("-l");
    process->arguments[i++] = g_strdup(process->address);
    if (knob != NULL) {
        process->arguments[i++] = g_strdup("-s");
        process->arguments[i++] = g_strdup(knob);
    }
    if (file_path != NULL) {
        process->arguments[i++] = g_strdup(file_path);
    }
    return process;
}

static void
write_file(const char *path, const char *text)
{
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
}

static char *
format_path(const EntryCluster *cluster, const char *name)
{
    return g_strdup_printf("%s/%s", cluster->directory, name);
}

/* Writes NAME.ini as the settings of a daemon; frees the text. */
static void
write_settings_file(EntryCluster *cluster, Process *process, const char *name,
                    char *text)
{
    char *file_path = g_strdup_printf("%s/%s.ini", cluster->directory, name);

    write_file(file_path, text);
    process->arguments[1] = file_path;
    g_free(text);
}

static const char *
get_lease_settings(const EntryCluster *cluster)
{
    return cluster->options.lease_settings != NULL
               ? cluster->options.lease_settings
               : "confirm_spread_ms = 200\nttl_ms = 6000\nrenew_ms = 1500\n";
}

static void
add_agent(EntryCluster *cluster, uint32_t number)
{
    bool is_plain = number >= cluster->options.model_agents;
    uint32_t index =
        is_plain ? number - cluster->options.model_agents : number;
    Process *backend = find_process(
        cluster, is_plain ? ENTRY_CLUSTER_PLAIN_SERVICE : ENTRY_CLUSTER_ENGINE,
        index);
    Process *process =
        add_process(cluster, ENTRY_CLUSTER_AGENT, number, "kccd");
    char name[32];

    Loopback_AssignAddress(process->admin_address, KC_ADDRESS_MAX);
    snprintf(name, sizeof(name), "agent-%u", number);
    write_settings_file(
        cluster, process, name,
        g_strdup_printf(
            "[process]\nrole = agent\nname = %s\ndatacentre = d%u\n"
            "[listen]\nlinks = %s\nadmin = %s\n[platform]\nobjects = %s\n"
            "[lease]\n%s[backend]\naddress = %s\nservice = %s\n%s",
            name, number % 2, process->address, process->admin_address,
            EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_OBJECT_API, 0),
            get_lease_settings(cluster), backend->address,
            is_plain ? "print" : "llm",
            cluster->options.agent_settings != NULL
                ? cluster->options.agent_settings
                : ""));
}

static void
add_entry(EntryCluster *cluster, uint32_t number)
{
    Process *process =
        add_process(cluster, ENTRY_CLUSTER_ENTRY, number, "kccd");
    char name[32];

    Loopback_AssignAddress(process->admin_address, KC_ADDRESS_MAX);
    snprintf(name, sizeof(name), "entry-%u", number);
    write_settings_file(
        cluster, process, name,
        g_strdup_printf(
            "[process]\nrole = entry\nname = %s\ndatacentre = d%u\n"
            "[listen]\ncallers = %s\nadmin = %s\n[platform]\nobjects = %s\n"
            "instances = %s\ninstances_poll_ms = %u\n"
            "[lease]\n%s%s",
            name, number % 2, process->address, process->admin_address,
            EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_OBJECT_API, 0),
            EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_INSTANCE_LIST, 0),
            cluster->options.lease_settings != NULL ? 2000 : 100,
            get_lease_settings(cluster),
            cluster->options.entry_settings != NULL
                ? cluster->options.entry_settings
                : ""));
}

/* ---- instance list and document ----------------------------------------- */

/* Called after add_processes(), which assigns the agents' addresses. */
static void
write_instances(EntryCluster *cluster)
{
    GString *text = g_string_new("[");
    uint32_t agent_count =
        cluster->options.model_agents + cluster->options.plain_agents;
    char *file_path = format_path(cluster, "instances.json");

    for (uint32_t i = 0; i < agent_count; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"agent-%u\",\"service\":\"%s\",\"datacentre\":"
            "\"d%u\",\"address\":\"%s\",\"state\":\"live\"}",
            i > 0 ? "," : "", i,
            i < cluster->options.model_agents ? "llm" : "print", i % 2,
            EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_AGENT, i));
    }
    g_string_append(text, "]");
    write_file(file_path, text->str);
    g_string_free(text, TRUE);
    g_free(file_path);
}

static void
write_document(EntryCluster *cluster)
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
         cluster->options.capacity_section != NULL
             ? cluster->options.capacity_section
             : "[service llm]\nslots = 8\nbatch = 16\nload_ms = 50\n"
               "service_ms = 50\nloads_per_minute = 60000\n"},
        {"retirements.ini", "[retired]\n"},
        {"limits.ini", "[customer *]\nrate_per_s = 100000\nburst = 100000\n"},
    };

    for (uint32_t i = 0; i < cluster->options.adapter_count; i++) {
        g_string_append_printf(adapters, "a%u = llm 1 2*\n", i);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
        char *file_path = format_path(cluster, sections[i].name);

        write_file(file_path, sections[i].text);
        g_free(file_path);
    }
    {
        char *file_path = format_path(cluster, "adapters.ini");

        write_file(file_path, adapters->str);
        g_free(file_path);
    }
    g_string_free(adapters, TRUE);
}

/* ---- waiting ------------------------------------------------------------ */

static bool
is_answer_ok(const char *address, const char *path)
{
    KcHttpResponse answer;
    bool is_ok;

    KcBlockingHttp_Get(address, path, &answer);
    is_ok = answer.status == 200;
    KcHttpResponse_Clear(&answer);
    return is_ok;
}

static void
wait_for_ok(const char *address, const char *path)
{
    for (int waited_ms = 0; waited_ms < WAIT_TIMEOUT_MS;
         waited_ms += POLL_INTERVAL_MS) {
        if (is_answer_ok(address, path)) {
            return;
        }
        g_usleep(POLL_INTERVAL_MS * 1000);
    }
    g_error("%s%s does not answer", address, path);
}

void
EntryCluster_WaitUntilReady(EntryCluster *cluster, EntryClusterRole role,
                            uint32_t number)
{
    wait_for_ok(find_process(cluster, role, number)->admin_address, "/readyz");
}

/* Waits until `kcc status` prints for every daemon when it confirmed the
 * document: a year begins with 2, an unconfirmed one prints "-". */
static void
wait_until_in_force(EntryCluster *cluster)
{
    static const char *const status[] = {"status", NULL};
    uint32_t daemon_count = cluster->options.entries +
                            cluster->options.model_agents +
                            cluster->options.plain_agents;

    for (int waited_ms = 0; waited_ms < WAIT_TIMEOUT_MS;
         waited_ms += POLL_INTERVAL_MS) {
        static char output[65536];
        uint32_t confirmed_count = 0;
        int exit_status =
            EntryCluster_RunKcc(cluster, status, output, sizeof(output));

        for (char *match = output;
             (match = strstr(match, " confirmed 2")) != NULL; match++) {
            confirmed_count++;
        }
        if (exit_status == 0 && confirmed_count == daemon_count) {
            return;
        }
        g_usleep(POLL_INTERVAL_MS * 1000);
    }
    g_error("the document did not come into force");
}

/* Does an entry know so many backend servers by the instance list? */
static bool
knows_backends(const Process *entry, uint32_t count)
{
    KcHttpResponse response;
    uint32_t known = 0;

    KcBlockingHttp_Get(entry->admin_address, "/debug/state", &response);
    if (response.status == 200) {
        json_t *state = json_loadb(KcBuffer_Data(&response.body),
                                   KcBuffer_Size(&response.body), 0, NULL);

        known = (uint32_t)json_array_size(json_object_get(state, "backends"));
        json_decref(state);
    }
    KcHttpResponse_Clear(&response);
    return known == count;
}

/* The entries read the instance list after they have begun. */
static void
wait_until_listed(EntryCluster *cluster)
{
    const EntryClusterOptions *options = &cluster->options;
    uint32_t number = 0;

    for (int waited_ms = 0;
         number < options->entries && waited_ms < WAIT_TIMEOUT_MS;) {
        if (knows_backends(find_process(cluster, ENTRY_CLUSTER_ENTRY, number),
                           options->model_agents + options->plain_agents)) {
            number++;
        }
        else {
            g_usleep(POLL_INTERVAL_MS * 1000);
            waited_ms += POLL_INTERVAL_MS;
        }
    }
    g_assert_cmpuint(number, ==, options->entries);
}

/* ---- start and stop ----------------------------------------------------- */

static void
add_processes(EntryCluster *cluster)
{
    const EntryClusterOptions *options = &cluster->options;
    char *list_path = format_path(cluster, "instances.json");

    add_standin(cluster, ENTRY_CLUSTER_OBJECT_API, 0, "standin-objects", NULL,
                NULL);
    add_standin(cluster, ENTRY_CLUSTER_INSTANCE_LIST, 0, "standin-instances",
                "lag_ms=200", list_path);
    for (uint32_t i = 0; i < options->model_agents; i++) {
        add_standin(cluster, ENTRY_CLUSTER_ENGINE, i, "standin-engine",
                    options->engine_knobs, NULL);
    }
    for (uint32_t i = 0; i < options->plain_agents; i++) {
        add_standin(cluster, ENTRY_CLUSTER_PLAIN_SERVICE, i, "standin-service",
                    options->service_knobs, NULL);
    }
    for (uint32_t i = 0; i < options->model_agents + options->plain_agents;
         i++) {
        add_agent(cluster, i);
    }
    for (uint32_t i = 0; i < options->entries; i++) {
        add_entry(cluster, i);
    }
    g_free(list_path);
}

/* Fails when a process has ended: its port was in use, so that answers from
 * there come from another program. */
static void
check_all_running(EntryCluster *cluster)
{
    for (uint32_t i = 0; i < cluster->process_count; i++) {
        Process *process = &cluster->processes[i];
        int status;

        if (waitpid(process->pid, &status, WNOHANG) != 0) {
            g_error("process %d %u did not start on %s", (int)process->role,
                    process->number, process->address);
        }
    }
}

EntryCluster *
EntryCluster_Start(const EntryClusterOptions *options)
{
    EntryCluster *cluster = KcMem_New(sizeof(*cluster));
    const char *apply[] = {"apply", "--all", NULL, "--author", "test", NULL};

    cluster->options = *options;
    if (cluster->options.adapter_count == 0) {
        cluster->options.adapter_count = ADAPTER_COUNT_DEFAULT;
    }
    cluster->build_directory =
        g_getenv("BUILD") != NULL ? g_getenv("BUILD") : "build/plain";
    cluster->directory = g_dir_make_tmp("kcc-XXXXXX", NULL);
    add_processes(cluster);
    write_instances(cluster);
    write_document(cluster);
    for (uint32_t i = 0; i < cluster->process_count; i++) {
        spawn_process(cluster, &cluster->processes[i]);
    }
    wait_for_ok(EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_OBJECT_API, 0),
                "/standin/state");
    apply[2] = cluster->directory;
    g_assert_cmpint(EntryCluster_RunKcc(cluster, apply, NULL, 0), ==, 0);
    wait_until_in_force(cluster);
    wait_until_listed(cluster);
    check_all_running(cluster);
    return cluster;
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
EntryCluster_Stop(EntryCluster *cluster)
{
    for (uint32_t i = cluster->process_count; i-- > 0;) {
        Process *process = &cluster->processes[i];

        if (process->pid != 0) {
            kill(process->pid, SIGCONT);
            kill(process->pid, SIGTERM);
            EntryCluster_WaitForExit(cluster, process->role, process->number);
        }
        for (int j = 0; j < 8; j++) {
            g_free(process->arguments[j]);
        }
    }
    remove_directory(cluster->directory);
    g_free(cluster->directory);
    free(cluster);
}

const char *
EntryCluster_GetAddress(const EntryCluster *cluster, EntryClusterRole role,
                        uint32_t number)
{
    return find_process(cluster, role, number)->address;
}

pid_t
EntryCluster_GetPid(const EntryCluster *cluster, EntryClusterRole role,
                    uint32_t number)
{
    return find_process(cluster, role, number)->pid;
}

void
EntryCluster_SendSignal(EntryCluster *cluster, EntryClusterRole role,
                        uint32_t number, int signal)
{
    g_assert_cmpint(kill(find_process(cluster, role, number)->pid, signal), ==,
                    0);
}

int
EntryCluster_WaitForExit(EntryCluster *cluster, EntryClusterRole role,
                         uint32_t number)
{
    Process *process = find_process(cluster, role, number);
    int status = 0;

    for (int waited_ms = 0; waited_ms < WAIT_TIMEOUT_MS; waited_ms += 10) {
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
EntryCluster_RestartProcess(EntryCluster *cluster, EntryClusterRole role,
                            uint32_t number)
{
    Process *process = find_process(cluster, role, number);

    g_assert_cmpint(process->pid, ==, 0);
    spawn_process(cluster, process);
}

void
EntryCluster_SetKnob(EntryCluster *cluster, EntryClusterRole role,
                     uint32_t number, const char *knob)
{
    char path[128];
    KcHttpCallOptions options = {
        .address = EntryCluster_GetAddress(cluster, role, number),
        .method = "POST",
        .path = path};
    KcHttpResponse answer;

    snprintf(path, sizeof(path), "/standin/set?%s", knob);
    KcBlockingHttp_Call(&options, &answer);
    g_assert_cmpint(answer.status, ==, 200);
    KcHttpResponse_Clear(&answer);
}

json_t *
EntryCluster_ReadState(EntryCluster *cluster, EntryClusterRole role,
                       uint32_t number)
{
    KcHttpResponse answer;
    json_t *state;

    KcBlockingHttp_Get(EntryCluster_GetAddress(cluster, role, number),
                       "/standin/state", &answer);
    state = json_loads(KcBuffer_Data(&answer.body), 0, NULL);
    g_assert_nonnull(state);
    KcHttpResponse_Clear(&answer);
    return state;
}

int
EntryCluster_RunKcc(EntryCluster *cluster, const char *const *arguments,
                    char *output, size_t size)
{
    char *program = g_strdup_printf("%s/kcc", cluster->build_directory);
    const char *argv[24] = {
        program, "--objects",
        EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_OBJECT_API, 0)};
    char *text = NULL;
    int status = -1;
    int count = 3;

    while (*arguments != NULL) {
        argv[count++] = *arguments++;
    }
    g_assert_true(g_spawn_sync(NULL, (char **)argv, NULL,
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
EntryCluster_RunLoop(KcLoop *loop, int duration_ms)
{
    struct timeval duration = {duration_ms / 1000, duration_ms % 1000 * 1000};

    event_base_once(loop->base, -1, EV_TIMEOUT, stop_loop, loop, &duration);
    loop->stop_requested = false;
    KcLoop_Run(loop);
}
