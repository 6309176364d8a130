/*
 * How many callers' connections the descriptors of a process allow.
 */
#include "descriptors.h"

#include <inttypes.h>
#include <sys/resource.h>

#include "log.h"

/*
 * Descriptors for files, listening sockets, the object API and connections
 * that are being refused; at most half of all.
 */
#define OWN_DESCRIPTORS_MAX 256
/*
 * Percentage of the others that callers may have. The rest is for connections
 * to backend servers, keepers and agents.
 */
#define CALLERS_PERCENT 75

int64_t
KcDescriptors_ConnectionsMax(int64_t descriptors_max)
{
    int64_t own_max = descriptors_max / 2 < OWN_DESCRIPTORS_MAX
                          ? descriptors_max / 2
                          : OWN_DESCRIPTORS_MAX;
    int64_t connections_max =
        (descriptors_max - own_max) * CALLERS_PERCENT / 100;

    return connections_max > 1 ? connections_max : 1;
}

/* Returns the descriptors that the process may open, or INT64_MAX. */
static int64_t
get_descriptors_max(const KcSettings *settings)
{
    int64_t descriptors_max =
        settings->descriptors_max > 0 ? settings->descriptors_max : INT64_MAX;
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
        limit.rlim_cur != RLIM_INFINITY &&
        limit.rlim_cur < (rlim_t)descriptors_max) {
        descriptors_max = (int64_t)limit.rlim_cur;
    }
    return descriptors_max;
}

int64_t
KcDescriptors_LimitConnections(const KcSettings *settings)
{
    int64_t descriptors_max = get_descriptors_max(settings);
    int64_t connections_max =
        descriptors_max < INT64_MAX
            ? KcDescriptors_ConnectionsMax(descriptors_max)
            : UINT32_MAX;

    if (settings->connections_max > connections_max) {
        KcLog_Write(
            KC_LOG_WARN, NULL,
            "[limits] connections_max = %" PRId64
            " is more than the descriptors allow, %" PRId64 " of %" PRId64,
            settings->connections_max, connections_max, descriptors_max);
    }
    else if (settings->connections_max > 0) {
        connections_max = settings->connections_max;
    }
    return connections_max;
}
