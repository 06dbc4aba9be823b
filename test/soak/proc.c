/* The daemons: started, signalled and started again, by their ids only. */
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include "fns.h"

enum {
	RESTART_MS = 300,
	KILL_AFTER_MS = 4000,	/* past the grace */
	MEMORY_MAX = 260 << 20, /* bytes of a daemon */
	PORT_FIRST = 20000,	/* below the system's own range */
	PORTS = 10000,
};

static const char key[] = "000102030405060708090a0b0c0d0e0f";

static const char many_retries[] = "retry_ratio = 0.2\nretry_slack = 20\n";
/* So that they run out. */
static const char few_retries[] = "retry_ratio = 0.005\n";

static void write_ini(proc_t *p, const char *text)
{
	GError *err = NULL;

	if (!g_file_set_contents(p->ini, text, -1, &err))
		g_error("%s", err->message);
}

static void edge_ini(proc_t *p, const char *peers)
{
	soak_t *s = p->s;
	char *text = g_strdup_printf(
		"[process]\nname = %s\ndata_center = dc-1\n"
		"[listen]\ncallers = %s:%u\nready = %s:%u\npeers = %s:%u\n"
		"[fleet]\nkey = %s\n[store]\naddress = %s:%u\n"
		"[bounds]\ngrace_s = %d\n%s",
		p->name, p->callers.ip, p->callers.port, p->ready.ip,
		p->ready.port, peers, s->port, key, s->store.at.addr.ip,
		s->store.at.addr.port, (int)(s->grace / MS_PER_S),
		s->pauses_only ? few_retries : many_retries);

	write_ini(p, text);
	g_free(text);
}

static void keeper_ini(proc_t *p, const char *peers)
{
	char *text =
		g_strdup_printf("[process]\nname = %s\ndata_center = dc-1\n"
				"[listen]\npeers = %s:%u\n[fleet]\nkey = %s\n",
				p->name, peers, p->s->port, key);

	write_ini(p, text);
	g_free(text);
}

static void on_exit_proc(uv_process_t *h, int64_t status, int sig)
{
	proc_t *p = h->data;
	bool ours = p->stopping || sig == SIGKILL;

	p->running = false;
	p->stopped_until = 0;
	if (!ours || (status != 0 && sig == 0))
		violation(p->s, "exit",
			  "%s ended by itself: status %d signal %d", p->name,
			  (int)status, sig);
	p->start_at = clock_now() + RESTART_MS;
	uv_close((uv_handle_t *)h, NULL);
}

static void start(proc_t *p)
{
	soak_t *s = p->s;
	char *log = g_strdup_printf("%s/%s.log", s->dir, p->name);
	FILE *f = fopen(log, "a");
	uv_stdio_container_t io[3] = { { .flags = UV_IGNORE } };
	char *args[] = { (char *)s->daemon, p->edge ? "--edge" : "--keeper",
			 "-c", p->ini, NULL };
	uv_process_options_t o = { .file = s->daemon,
				   .args = args,
				   .exit_cb = on_exit_proc,
				   .stdio_count = 3,
				   .stdio = io };

	if (!f)
		g_error("cannot write %s", log);
	io[1].flags = UV_INHERIT_FD;
	io[1].data.fd = fileno(f);
	io[2] = io[1];
	p->start_at = 0;
	p->stopping = false;
	p->term_at = 0;
	p->handle.data = p;
	if (uv_spawn(&s->loop, &p->handle, &o))
		g_error("cannot start %s", s->daemon);
	p->running = true;
	p->disturbed_at = clock_now();
	p->starts++;
	fclose(f);
	g_free(log);
}

/* Whether nothing listens at an address. */
static bool is_free(const char *ip, uint16_t port)
{
	struct sockaddr_in a;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool yes;

	uv_ip4_addr(ip, port, &a);
	yes = fd >= 0 && bind(fd, (const struct sockaddr *)&a, sizeof(a)) == 0;
	if (fd >= 0)
		close(fd);
	return yes;
}

/* Writes the address of an edge, or of a server and its keeper. */
void proc_address(const soak_t *s, bool edge, unsigned int i, char *ip,
		  size_t n)
{
	snprintf(ip, n, "127.%u.%d.%u", s->net, edge ? 1 : 2, i + 1);
}

static bool free_on_all(const soak_t *s, uint16_t port)
{
	char ip[32];

	for (unsigned int i = 0; i < s->nedges; i++) {
		proc_address(s, true, i, ip, sizeof(ip));
		if (!is_free(ip, port))
			return false;
	}
	for (unsigned int i = 0; i < s->nservers; i++) {
		proc_address(s, false, i, ip, sizeof(ip));
		if (!is_free(ip, port))
			return false;
	}
	return true;
}

/*
 * Returns a port that is free on the addresses of all hosts. It is none of
 * those that the system gives to listeners without a port: a server beside a
 * keeper takes one of these each time it starts.
 */
static uint16_t free_everywhere(const soak_t *s)
{
	unsigned int first = (unsigned int)getpid();

	for (unsigned int i = 0; i < PORTS; i++) {
		uint16_t port = (uint16_t)(PORT_FIRST + (first + i) % PORTS);

		if (free_on_all(s, port))
			return port;
	}
	g_error("no port is free");
	return 0;
}

/*
 * Finds ports that are free now on a loopback address and differ from each
 * other: listens at all of them at once. Those that are not 0 are kept.
 */
static void free_ports(soak_t *s, const char *ip, uint16_t *ports, size_t n)
{
	listen_t *at = g_new0(listen_t, n);

	for (size_t i = 0; i < n; i++) {
		listen_start(&at[i], s, ip, ports[i]);
		ports[i] = at[i].addr.port;
	}
	for (size_t i = 0; i < n; i++)
		listen_stop(&at[i], false);
	uv_run(&s->loop, UV_RUN_NOWAIT);
	g_free(at);
}

static void add(soak_t *s, bool edge, unsigned int i)
{
	proc_t *p = &s->procs[s->nprocs++];
	uint16_t ports[] = { s->port, 0, 0 }; /* peers, callers, ready */
	char ip[32];

	p->s = s;
	p->edge = edge;
	snprintf(p->name, sizeof(p->name), "%s-%u", edge ? "edge" : "keeper",
		 i);
	p->ini = g_strdup_printf("%s/%s.ini", s->dir, p->name);
	proc_address(s, edge, i, ip, sizeof(ip));
	if (edge) {
		free_ports(s, ip, ports, G_N_ELEMENTS(ports));
		g_strlcpy(p->callers.ip, ip, sizeof(p->callers.ip));
		p->ready = p->callers;
		p->callers.port = ports[1];
		p->ready.port = ports[2];
		edge_ini(p, ip);
	} else {
		keeper_ini(p, ip);
	}
	start(p);
}

/* Starts all daemons: edges, and a keeper beside each stream server. */
void procs_start(soak_t *s)
{
	unsigned int edges = s->nedges;

	s->port = free_everywhere(s);
	for (unsigned int i = 0; i < edges; i++)
		add(s, true, i);
	for (unsigned int i = 0; i < s->nservers; i++) {
		if (s->servers[i].stream)
			add(s, false, i);
	}
}

/* Sends a signal to a daemon that runs. */
void proc_signal(proc_t *p, int number)
{
	if (!p->running)
		return;
	if (number == SIGTERM && !p->stopping)
		p->term_at = clock_now();
	p->stopping = p->stopping || number == SIGTERM;
	if (number != SIGHUP)
		p->disturbed_at = clock_now();
	uv_process_kill(&p->handle, number);
}

/* Returns a process's resident memory in bytes; 0: it is gone. */
static size_t resident(int pid)
{
	char path[64];
	char *text = NULL;
	size_t pages = 0;

	snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(text, "%*u %zu", &pages);
	g_free(text);
	return pages * (size_t)sysconf(_SC_PAGESIZE);
}

/* A sanitizer keeps freed memory, so only plain builds are held to the limit.
 */
static void check_memory(proc_t *p)
{
	size_t now = p->running ? resident(p->handle.pid) : 0;

	p->s->memory_most = MAX(p->s->memory_most, now);
#ifndef __SANITIZE_ADDRESS__
	if (now > MEMORY_MAX)
		violation(p->s, "memory", "%s has %zu bytes", p->name, now);
#endif
}

/* Wakes stopped daemons and starts those that ended. */
void procs_tick(soak_t *s, ms_t now)
{
	for (unsigned int i = 0; i < s->nprocs; i++) {
		proc_t *p = &s->procs[i];

		check_memory(p);
		if (p->running && p->stopped_until && now >= p->stopped_until) {
			p->stopped_until = 0;
			p->disturbed_at = now;
			uv_process_kill(&p->handle, SIGCONT);
		}
		if (!p->running && !s->ended && p->start_at &&
		    now >= p->start_at)
			start(p);
	}
}

/* Ends all daemons; true once none runs. */
bool procs_stop(soak_t *s)
{
	ms_t now = clock_now();
	bool any = false;

	for (unsigned int i = 0; i < s->nprocs; i++) {
		proc_t *p = &s->procs[i];

		any = any || p->running;
		if (p->running && !p->stopping) {
			uv_process_kill(&p->handle, SIGCONT);
			proc_signal(p, SIGTERM);
		} else if (p->running &&
			   now - s->end_at > s->grace + KILL_AFTER_MS) {
			violation(s, "exit", "%s did not end in its grace",
				  p->name);
			uv_process_kill(&p->handle, SIGKILL);
		}
	}
	return !any;
}
