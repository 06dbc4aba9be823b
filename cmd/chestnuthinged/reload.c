/*
 * Reloads the settings file on SIGHUP, and when it has changed without a
 * signal. Numbers take effect at once; the host's name, data centre and
 * addresses and the fleet's key need a restart. An invalid file changes
 * nothing.
 */
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include "base/fns.h"
#include "reload.h"

enum {
	POLL_MS = 1000, /* between checks of the file */
};

struct reload {
	char *path;
	struct stat seen;
	ms_t next;
};

/* Makes a watcher of the file that the process has just read. */
reload_t *reload_new(const char *path)
{
	reload_t *r = g_new0(reload_t, 1);

	r->path = g_strdup(path);
	if (stat(path, &r->seen) < 0)
		memset(&r->seen, 0, sizeof(r->seen));
	return r;
}

/* Frees the watcher. */
void reload_free(reload_t *r)
{
	g_free(r->path);
	g_free(r);
}

/* Returns whether the file has changed since the last check. */
static bool has_changed(reload_t *r)
{
	struct stat now;
	bool changed;

	if (stat(r->path, &now) < 0)
		return false; /* it is being replaced: the next check sees it */
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

/* Logs the settings that differ but need a restart. */
static void log_restart_needed(const edge_settings_t *a,
			       const edge_settings_t *b)
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
		{ "regions", g_strcmp0(a->regions_text, b->regions_text) != 0 },
		{ "key", strcmp(a->key_text, b->key_text) != 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(fixed); i++) {
		if (fixed[i].differs)
			log_line(LOG_WARN, "settings_kept",
				 "key=%s why=\"needs a restart\"",
				 fixed[i].name);
	}
}

static void copy_numbers(edge_settings_t *set, const edge_settings_t *from)
{
	set->log_level = from->log_level;
	set->drain = from->drain;
	set->config = from->config;
	set->grace = from->grace;
	set->retry_ratio = from->retry_ratio;
	set->retry_slack = from->retry_slack;
	set->retry_window = from->retry_window;
	set->quota_tolerance = from->quota_tolerance;
	set->quota_slack = from->quota_slack;
	set->quota_window = from->quota_window;
	set->canary_share = from->canary_share;
	set->canary_slack = from->canary_slack;
	set->connections_max = from->connections_max;
	set->subset = from->subset;
	set->memory_mb = from->memory_mb;
}

/*
 * Reads the file again if requested, or if it has changed. Returns true when
 * its numbers were copied into set.
 */
bool reload_poll(reload_t *r, edge_settings_t *set, bool requested, ms_t now)
{
	edge_settings_t *next;
	GError *err = NULL;

	if (!requested && now < r->next)
		return false;
	r->next = now + POLL_MS;
	if (!has_changed(r) && !requested)
		return false;
	next = edge_settings_load(r->path, &err);
	if (!next) {
		log_line(LOG_ERROR, "settings_bad", "code=%d why=\"%s\"",
			 err->code, err->message);
		g_error_free(err);
		return false;
	}
	log_restart_needed(set, next);
	copy_numbers(set, next);
	edge_settings_free(next);
	log_open(STDOUT_FILENO, set->log_level, true);
	log_line(LOG_INFO, "settings_read", "asked=%d", requested);
	return true;
}
