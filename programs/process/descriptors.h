/*
 * How many callers' connections the descriptors of a process allow.
 */
#ifndef KCC_DESCRIPTORS_H
#define KCC_DESCRIPTORS_H

#include "settings.h"

/*
 * Returns the number of callers' connections beside which so many descriptors
 * leave room for all else that a process opens; at least 1.
 */
int64_t KcDescriptors_ConnectionsMax(int64_t descriptors_max);
/*
 * Returns the number of callers' connections at once: that of the settings, if
 * it is given and the descriptors allow it. These are limited by the settings
 * and by the process's own limit (RLIMIT_NOFILE).
 */
int64_t KcDescriptors_LimitConnections(const KcSettings *settings);

#endif
