/* Addresses and listeners of TCP. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include "base/fns.h"
#include "net/fns.h"

/* Makes a socket address. Returns 0, or libuv's error for a bad address. */
int tcp_sockaddr(const addr_t *a, struct sockaddr_storage *out)
{
	if (strchr(a->ip, ':'))
		return uv_ip6_addr(a->ip, a->port, (struct sockaddr_in6 *)out);
	return uv_ip4_addr(a->ip, a->port, (struct sockaddr_in *)out);
}

/*
 * Listens at an address, with at most backlog connections not yet accepted.
 * Returns 0, or libuv's error when the address is not to be had.
 */
int tcp_listen(uv_tcp_t *listener, const addr_t *at, int backlog,
	       uv_connection_cb on_connection)
{
	struct sockaddr_storage sa;
	int err = tcp_sockaddr(at, &sa);

	if (!err)
		err = uv_tcp_bind(listener, (struct sockaddr *)&sa, 0);
	if (!err)
		err = uv_listen((uv_stream_t *)listener, backlog,
				on_connection);
	if (err)
		log_line(LOG_ERROR, "listen_failed",
			 "address=%s port=%u why=%s", at->ip, at->port,
			 uv_err_name(err));
	return err;
}

/*
 * Returns what the next read of a connection would find. The event loop reads
 * sockets only after its timers, so what a timer decides on may be older.
 */
tcp_unread_t tcp_unread(const uv_tcp_t *conn)
{
	uv_os_fd_t fd;
	char byte;
	ssize_t n;

	if (uv_fileno((const uv_handle_t *)conn, &fd))
		return TCP_UNREAD_NONE;
	n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0)
		return TCP_UNREAD_BYTES;
	if (n == 0)
		return TCP_UNREAD_END;
	return errno == EAGAIN || errno == EINTR ? TCP_UNREAD_NONE
						 : TCP_UNREAD_ERROR;
}

/*
 * Ends our direction of a connection that has nothing left to write, at once:
 * uv_shutdown waits for a later turn of the event loop.
 */
void tcp_end(const uv_tcp_t *conn)
{
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)conn, &fd) == 0 &&
	    shutdown(fd, SHUT_WR) && errno != ENOTCONN)
		log_line(LOG_WARN, "shutdown_failed", "why=%s",
			 g_strerror(errno));
}
