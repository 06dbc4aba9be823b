/* SIGTERM and SIGINT ask for a graceful shutdown. */
#include <signal.h>
#include "fns.h"

static void on_signal(uv_signal_t *s, int number)
{
	daemon_t *d = s->data;

	if (d->stopping) {
		log_line(LOG_INFO, "signal", "number=%d already=stopping",
			 number);
		return;
	}
	log_line(LOG_INFO, "signal", "number=%d", number);
	daemon_stop(d);
}

/* Starts listening to signals. */
void signals_start(daemon_t *d)
{
	signal(SIGPIPE, SIG_IGN);
	uv_signal_init(&d->loop, &d->term);
	uv_signal_init(&d->loop, &d->intr);
	d->term.data = d;
	d->intr.data = d;
	uv_signal_start(&d->term, on_signal, SIGTERM);
	uv_signal_start(&d->intr, on_signal, SIGINT);
}

/* Closes the handles. */
void signals_close(daemon_t *d)
{
	uv_close((uv_handle_t *)&d->term, NULL);
	uv_close((uv_handle_t *)&d->intr, NULL);
}
