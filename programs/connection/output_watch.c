/*
 * Watches whether the peer of a connection takes its output.
 */
#include "output_watch.h"

#include <event2/buffer.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/socket.h>

/* Looks in the time after which a peer is given up. */
#define LOOKS_PER_TIMEOUT 4

/*
 * Unanswered probes of a closed window that are a sign of silence. A kernel
 * limits the rate of its answers, so a sound peer may leave one unanswered.
 */
#define UNANSWERED_PROBES_MIN 2

/* Returns false when the kernel does not tell the state of the connection. */
static bool
read_state(const KcOutputWatch *watch, struct tcp_info *state)
{
    socklen_t size = sizeof(*state);

    *state = (struct tcp_info){0};
    return getsockopt(bufferevent_getfd(watch->options.bev), IPPROTO_TCP,
                      TCP_INFO, state, &size) == 0 &&
           size >= offsetof(struct tcp_info, tcpi_notsent_bytes) +
                       sizeof(state->tcpi_notsent_bytes) &&
           state->tcpi_state != 0 && state->tcpi_rto != 0;
}

static KcTime
look_interval(const KcOutputWatch *watch)
{
    const KcOutputWatchOptions *options = &watch->options;

    return (options->silence_timeout < options->stall_timeout
                ? options->silence_timeout
                : options->stall_timeout) /
           LOOKS_PER_TIMEOUT;
}

static void
set_timer(KcOutputWatch *watch)
{
    KcTimers_Set(watch->options.loop->timers, &watch->timer,
                 KcLoop_Now() + look_interval(watch));
}

static void
on_output_changed(struct evbuffer *output,
                  const struct evbuffer_cb_info *change, void *context)
{
    KcOutputWatch *watch = context;

    (void)output;
    watch->handed_over += change->n_deleted;
    if (change->n_added > 0 && !watch->timer.is_set) {
        watch->stalled_for = 0;
        watch->silent_for = 0;
        set_timer(watch);
    }
}

static bool
is_taken(const KcOutputWatch *watch, const struct tcp_info *state)
{
    return evbuffer_get_length(bufferevent_get_output(watch->options.bev)) ==
               0 &&
           state->tcpi_unacked == 0 && state->tcpi_notsent_bytes == 0;
}

bool
KcOutputWatch_IsTaken(const KcOutputWatch *watch)
{
    struct tcp_info state;

    read_state(watch, &state);
    return is_taken(watch, &state);
}

/* Returns whether the peer was sent something and has not responded since. */
static bool
is_silent(const KcOutputWatch *watch, const struct tcp_info *state)
{
    return (state->tcpi_unacked > 0 ||
            state->tcpi_probes >= UNANSWERED_PROBES_MIN) &&
           state->tcpi_last_ack_recv * KC_MS >= look_interval(watch);
}

/*
 * Times are summed up from look to look, so that a pause of this process
 * counts as one interval.
 */
static void
on_timer(KcTimer *timer, KcTime now)
{
    KcOutputWatch *watch = timer->owner;
    struct tcp_info state;
    bool has_progress;

    (void)now;
    read_state(watch, &state);
    has_progress = watch->handed_over > 0 ||
                   state.tcpi_bytes_acked != watch->acknowledged;
    watch->handed_over = 0;
    watch->acknowledged = state.tcpi_bytes_acked;
    if (is_taken(watch, &state)) {
        return;
    }
    watch->stalled_for =
        has_progress ? 0 : watch->stalled_for + look_interval(watch);
    watch->silent_for = is_silent(watch, &state)
                            ? watch->silent_for + look_interval(watch)
                            : 0;
    if (watch->stalled_for >= watch->options.stall_timeout ||
        watch->silent_for >= watch->options.silence_timeout) {
        watch->options.on_lost(watch->options.owner);
        return;
    }
    set_timer(watch);
}

void
KcOutputWatch_Begin(KcOutputWatch *watch, const KcOutputWatchOptions *options)
{
    unsigned int no_user_timeout = 0;
    struct tcp_info state;

    *watch = (KcOutputWatch){.options = *options};
    if (read_state(watch, &state)) {
        setsockopt(bufferevent_getfd(options->bev), IPPROTO_TCP,
                   TCP_USER_TIMEOUT, &no_user_timeout,
                   sizeof(no_user_timeout));
    }
    KcTimer_Init(&watch->timer, on_timer, watch);
    evbuffer_add_cb(bufferevent_get_output(options->bev), on_output_changed,
                    watch);
}

void
KcOutputWatch_Clear(KcOutputWatch *watch)
{
    if (watch->options.loop != NULL) {
        KcTimers_Clear(watch->options.loop->timers, &watch->timer);
        evbuffer_remove_cb(bufferevent_get_output(watch->options.bev),
                           on_output_changed, watch);
    }
}
