/*
 * Loopback addresses for tests, which several test processes on one machine
 * may use at the same time.
 */
#ifndef KCC_TEST_LOOPBACK_H
#define KCC_TEST_LOOPBACK_H

#include <stddef.h>

/*
 * Writes "host:port" with a host that this process has reserved until it ends,
 * and a port that it has not been given before.  Exits when no host is free.
 */
void Loopback_AssignAddress(char *address, size_t size);

#endif
