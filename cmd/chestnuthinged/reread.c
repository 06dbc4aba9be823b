/*
 * Settings read again: on SIGHUP, and when the file has changed without a
 * signal. Numbers are taken at once; what names this host, its addresses and
 * the fleet's key need a start, and a file that can't be read changes nothing.
 */
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include "base/fns.h"
#include "reread.h"

enum {
	LOOK_MS = 1000, /* between looks at the file: a change without a signal
			   is known this late */
};

struct reread {
	char *path;
	struct stat seen;
	ms_t next;
};

/* Makes a watcher of the file that the process has just read. */
reread_t *reread_new(const char *path)
{
	reread_t *r = g_new0(reread_t, 1);

	r->path = g_strdup(path);
	if (stat(path, &r->seen) < 0)
		memset(&r->seen, 0, sizeof(r->seen));
	return r;
}

/* Frees the watcher. */
void reread_free(reread_t *r)
{
	g_free(r->path);
	g_free(r);
}

/* Whether the file is another one than at the last look. */
static bool has_changed(reread_t *r)
{
	struct stat now;
	bool changed;

	if (stat(r->path, &now) < 0)
		return false; /* it is being replaced: the next look tells */
	changed = now.st_ino != r->seen.st_ino ||
		  now.st_size != r->seen.st_size ||
		  now.st_mtim.tv_sec != r->seen.st_mtim.tv_sec ||
		  now.st_mtim.tv_nsec != r->seen.st_mtim.tv_nsec;
	r->seen = now;
	return changed;
}

static bool same_addr(const addr_t *a, const addr_t *b)
{
	return a->port == b->port && strcmp(a->ip, b->ip) == 0;
}

/* Tells which of the settings that need a start differ. */
static void tell_kept(const edge_settings_t *a, const edge_settings_t *b)
{
	const struct {
		const char *name;
		bool differs;
	} fixed[] = {
		{ "name", strcmp(a->name, b->name) != 0 },
		{ "data_center", strcmp(a->data_center, b->data_center) != 0 },
		{ "callers", !same_addr(&a->callers, &b->callers) },
		{ "ready", !same_addr(&a->ready, &b->ready) },
		{ "metrics", !same_addr(&a->metrics, &b->metrics) },
		{ "peers", !same_addr(&a->peers, &b->peers) },
		{ "store", !same_addr(&a->store, &b->store) },
		{ "key", strcmp(a->key_text, b->key_text) != 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(fixed); i++) {
		if (fixed[i].differs)
			log_line(LOG_WARN, "settings_kept",
				 "key=%s why=\"needs a start\"", fixed[i].name);
	}
}

static void take_numbers(edge_settings_t *set, const edge_settings_t *from)
{
	set->log_level = from->log_level;
	set->drain = from->drain;
	set->config = from->config;
	set->grace_s = from->grace_s;
	set->retry_ratio = from->retry_ratio;
	set->retry_slack = from->retry_slack;
	set->retry_window_s = from->retry_window_s;
	set->quota_tolerance = from->quota_tolerance;
	set->quota_slack = from->quota_slack;
	set->quota_window_s = from->quota_window_s;
	set->canary_share = from->canary_share;
	set->connections_max = from->connections_max;
}

/*
 * Reads the file again if asked, or if it has changed. Returns true when its
 * numbers were taken into set.
 */
bool reread_look(reread_t *r, edge_settings_t *set, bool asked, ms_t now)
{
	edge_settings_t *next;
	GError *err = NULL;

	if (!asked && now < r->next)
		return false;
	r->next = now + LOOK_MS;
	if (!has_changed(r) && !asked)
		return false;
	next = edge_settings_load(r->path, &err);
	if (!next) {
		log_line(LOG_ERROR, "settings_bad", "code=%d why=\"%s\"",
			 err->code, err->message);
		g_error_free(err);
		return false;
	}
	tell_kept(set, next);
	take_numbers(set, next);
	edge_settings_free(next);
	log_open(STDOUT_FILENO, set->log_level, true);
	log_line(LOG_INFO, "settings_read", "asked=%d", asked);
	return true;
}
