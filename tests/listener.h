/* A listening socket of a test's own. */
#ifndef TESTS_LISTENER_H
#define TESTS_LISTENER_H

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>

/* Listens at a free port of the loopback address. */
static inline int
listen_any(guint16 *port)
{
    enum { BACKLOG = 8 };
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&address, length), 0);
    listen(fd, BACKLOG);
    getsockname(fd, (struct sockaddr *)&address, &length);
    *port = ntohs(address.sin_port);
    return fd;
}

#endif
