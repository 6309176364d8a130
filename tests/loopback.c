/*
 * Reserves a loopback host for a test process, and assigns its ports.
 */
#include "loopback.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Hosts are 127.240.0.1 to 127.247.255.254. */
#define FIRST_NETWORK 0x7ff00000U
#define HOST_COUNT 0x80000U
#define TRIES_MAX 1000
#define RESERVED_PORT 9999
/* Below the ports that the kernel gives to outgoing connections. */
#define FIRST_PORT 10000
#define LAST_PORT 32000

/* Returns a host that no other process has reserved. */
static in_addr_t
reserve_host(void)
{
    for (uint32_t i = 0; i < TRIES_MAX; i++) {
        uint32_t number = ((uint32_t)getpid() + i * 7919) % HOST_COUNT;
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons(RESERVED_PORT),
                                      .sin_addr.s_addr =
                                          htonl(FIRST_NETWORK | number)};
        /* Stays open: it is the reservation. */
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        if (fd >= 0 &&
            bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
            listen(fd, 1) == 0) {
            return address.sin_addr.s_addr;
        }
        close(fd);
    }
    fprintf(stderr, "no free loopback host\n");
    exit(1);
}

void
Loopback_AssignAddress(char *address, size_t size)
{
    static struct in_addr host;
    static int next_port = FIRST_PORT;
    char host_text[INET_ADDRSTRLEN];

    if (host.s_addr == 0) {
        host.s_addr = reserve_host();
    }
    if (next_port > LAST_PORT) {
        fprintf(stderr, "no free port\n");
        exit(1);
    }
    inet_ntop(AF_INET, &host, host_text, sizeof(host_text));
    snprintf(address, size, "%s:%d", host_text, next_port++);
}
