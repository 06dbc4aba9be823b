/* Prints N free ports of the loopback address, as the kernel gives them. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

enum {
	PORTS_MAX = 64,
};

/* Binds them all at the same time, so that none is printed twice. */
int main(int argc, char **argv)
{
	long n = argc > 1 ? strtol(argv[1], NULL, 10) : 1;
	for (long i = 0; i < n && i < PORTS_MAX; i++) {
		struct sockaddr_in at = { .sin_family = AF_INET };
		socklen_t len = sizeof(at);
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		if (fd < 0 || bind(fd, (struct sockaddr *)&at, len) != 0 ||
		    getsockname(fd, (struct sockaddr *)&at, &len) != 0) {
			perror("ports");
			return 1;
		}
		printf("%d\n", ntohs(at.sin_port));
	}
	return 0;
}
