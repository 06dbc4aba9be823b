/* The settings file of a daemon. */
#include <string.h>
#include "conf/priv.h"

enum {
	PERIOD_MIN = 10,	/* milliseconds */
	PERIOD_MAX = 600000,	/* milliseconds */
	HEADER_MIN = 1024,	/* bytes */
	HEADER_MAX = 1 << 20,	/* bytes */
	BODY_MIN = 1024,	/* bytes */
	BODY_MAX = 64 << 20,	/* bytes */
	FRAME_MIN = 64 << 10,	/* bytes */
	FRAME_MAX = 256 << 20,	/* bytes */
	FRAME_SLACK = 16 << 10, /* bytes of a frame beside the body */
	WAITING_MAX = 1000000,	/* requests */
	CONNECTIONS_MAX = 100000,
	ANSWER_MIN = 4096,    /* bytes */
	ANSWER_MAX = 1 << 30, /* bytes */
	KEY_BYTES_MAX = 1024, /* of the fleet's key */
};

/* The settings, and values that are checked together before they count. */
typedef struct draft {
	settings_t out;
	char *key;
	char *key_file;
	char *peers;
	int kind;
} draft_t;

static const char *const role_names[] = { "entry", "sidecar", NULL };
static const char *const kind_names[] = { "model", "plain", NULL };
static const char *const level_names[] = { "error", "warn", "info", "debug",
					   NULL };

#define AT(m) offsetof(draft_t, m)

static const field_t process_fields[] = {
	{ "role", FIELD_CHOICE, AT(out.role), true, 0, 0, role_names },
	{ "name", FIELD_NAME, AT(out.name), true, 0, 0, NULL },
	{ "data_center", FIELD_NAME, AT(out.data_center), true, 0, 0, NULL },
	{ "log_level", FIELD_CHOICE, AT(out.log_level), false, 0, 0,
	  level_names },
};

static const field_t listen_fields[] = {
	{ "http", FIELD_ADDR, AT(out.http), true, 0, 0, NULL },
	{ "wire", FIELD_ADDR, AT(out.wire), false, 0, 0, NULL },
};

static const field_t fleet_fields[] = {
	{ "key", FIELD_TEXT, AT(key), false, 0, 0, NULL },
	{ "key_file", FIELD_TEXT, AT(key_file), false, 0, 0, NULL },
	{ "peers", FIELD_TEXT, AT(peers), false, 0, 0, NULL },
	{ "intent_file", FIELD_TEXT, AT(out.intent_file), false, 0, 0, NULL },
};

static const field_t platform_fields[] = {
	{ "address", FIELD_ADDR, AT(out.platform), true, 0, 0, NULL },
	{ "namespace", FIELD_NAME, AT(out.platform_ns), true, 0, 0, NULL },
	{ "poll_ms", FIELD_SPAN, AT(out.platform_poll), false, PERIOD_MIN,
	  PERIOD_MAX, NULL },
	{ "hosts_poll_ms", FIELD_SPAN, AT(out.hosts_poll), false, PERIOD_MIN,
	  PERIOD_MAX, NULL },
};

static const field_t backend_fields[] = {
	{ "service", FIELD_NAME, AT(out.service), true, 0, 0, NULL },
	{ "version", FIELD_NAME, AT(out.version), true, 0, 0, NULL },
	{ "kind", FIELD_CHOICE, AT(kind), true, 0, 0, kind_names },
	{ "address", FIELD_ADDR, AT(out.backend), true, 0, 0, NULL },
};

static const field_t limits_fields[] = {
	{ "header_bytes", FIELD_SIZE, AT(out.header_max), false, HEADER_MIN,
	  HEADER_MAX, NULL },
	{ "body_bytes", FIELD_SIZE, AT(out.body_max), false, BODY_MIN, BODY_MAX,
	  NULL },
	{ "frame_bytes", FIELD_SIZE, AT(out.frame_max), false, FRAME_MIN,
	  FRAME_MAX, NULL },
	{ "connections", FIELD_SIZE, AT(out.connections_max), false, 1,
	  CONNECTIONS_MAX, NULL },
	{ "waiting", FIELD_SIZE, AT(out.waiting_max), false, 1, WAITING_MAX,
	  NULL },
	{ "answer_bytes", FIELD_SIZE, AT(out.answer_max), false, ANSWER_MIN,
	  ANSWER_MAX, NULL },
};

static const field_t timing_fields[] = {
	{ "heartbeat_ms", FIELD_SPAN, AT(out.heartbeat), false, PERIOD_MIN,
	  PERIOD_MAX, NULL },
	{ "silent_ms", FIELD_SPAN, AT(out.silent), false, PERIOD_MIN,
	  PERIOD_MAX, NULL },
};

static const section_t sections[] = {
	SECTION("process", process_fields, true),
	SECTION("listen", listen_fields, true),
	SECTION("fleet", fleet_fields, true),
	SECTION("platform", platform_fields, true),
	SECTION("backend", backend_fields, false),
	SECTION("limits", limits_fields, false),
	SECTION("timing", timing_fields, false),
};

static void set_defaults(settings_t *s)
{
	s->header_max = 16384;
	s->body_max = 1 << 20;
	s->frame_max = 16 << 20;
	s->connections_max = 1024;
	s->waiting_max = 10000;
	s->answer_max = 4 << 20;
	s->heartbeat = 500;
	s->silent = 2000;
	s->platform_poll = 500;
	s->hosts_poll = 1000;
	s->log_level = LOG_INFO;
}

/* Makes a path that is not absolute start in the settings file's directory. */
static char *beside(const char *file, const char *path)
{
	char *dir = g_path_get_dirname(file);
	char *full = g_path_is_absolute(path)
			     ? g_strdup(path)
			     : g_build_filename(dir, path, NULL);

	g_free(dir);
	return full;
}

/* Keeps an error about the file as a whole. */
static bool whole(scan_t *s, code_t code, const char *text)
{
	if (!s->err)
		s->err = g_error_new(code_quark(), code, "%s: %s", s->file,
				     text);
	return false;
}

static bool key_set(scan_t *s, settings_t *out, char *hex)
{
	size_t n;

	g_strstrip(hex);
	n = strlen(hex) / 2;
	if (n < KEY_BYTES_MIN || n > KEY_BYTES_MAX)
		return whole(s, CODE_OUT_OF_RANGE,
			     "[fleet] key: expected 16 to 1024 bytes as "
			     "hexadecimal digits");
	out->key = g_malloc0(n);
	out->key_len = n;
	if (!hex_decode(hex, out->key, n))
		return whole(s, CODE_BAD_TYPE,
			     "[fleet] key: expected hexadecimal digits");
	return true;
}

/* Reads the fleet's key from the settings or from its file. */
static bool key_load(scan_t *s, draft_t *d)
{
	GError *err = NULL;
	char *path;
	char *text = NULL;
	bool ok;

	if (!d->key == !d->key_file)
		return whole(s, CODE_MISSING_KEY,
			     "[fleet] key, key_file: expected one of them");
	if (d->key)
		return key_set(s, &d->out, d->key);
	path = beside(s->file, d->key_file);
	if (g_file_get_contents(path, &text, NULL, &err)) {
		ok = key_set(s, &d->out, text);
	} else {
		ok = whole(s, CODE_FILE, err->message);
		g_error_free(err);
	}
	g_free(text);
	g_free(path);
	return ok;
}

static bool peer_parse(settings_t *out, char *text)
{
	char *at = strchr(g_strstrip(text), '@');
	peer_addr_t *p = &out->peers[out->npeers];

	if (!at)
		return false;
	*at = '\0';
	if (!name_valid(text) || !addr_parse(at + 1, &p->addr))
		return false;
	for (size_t i = 0; i < out->npeers; i++) {
		if (strcmp(out->peers[i].name, text) == 0)
			return false;
	}
	p->name = g_strdup(text);
	out->npeers++;
	return true;
}

static bool peers_parse(scan_t *s, draft_t *d)
{
	char **parts;
	size_t n;
	bool ok = true;

	if (!d->peers)
		return true;
	parts = g_strsplit(d->peers, ",", -1);
	n = g_strv_length(parts);
	d->out.peers = g_new0(peer_addr_t, n);
	for (size_t i = 0; i < n && ok; i++)
		ok = peer_parse(&d->out, parts[i]);
	g_strfreev(parts);
	return ok || whole(s, CODE_BAD_TYPE,
			   "[fleet] peers: expected NAME@IP:PORT, ... with "
			   "each name once");
}

/* Checks what a sidecar needs and an entry must not have. */
static bool role_check(scan_t *s, const settings_t *out)
{
	bool sidecar = out->role == ROLE_SIDECAR;
	bool wire = out->wire.port != 0;
	bool backend = scan_has_section(s, "backend");

	if (sidecar && !wire)
		return whole(s, CODE_MISSING_KEY,
			     "[listen] wire: missing key, needed by a sidecar");
	if (sidecar && !backend)
		return whole(s, CODE_MISSING_KEY,
			     "missing section [backend], needed by a sidecar");
	if (!sidecar && wire)
		return whole(s, CODE_UNKNOWN_KEY,
			     "[listen] wire: only for a sidecar");
	if (!sidecar && backend)
		return whole(s, CODE_UNKNOWN_SECTION,
			     "[backend]: only for a sidecar");
	return true;
}

static bool range_check(scan_t *s, const settings_t *out)
{
	if (out->silent < 2 * out->heartbeat)
		return whole(s, CODE_OUT_OF_RANGE,
			     "[timing] silent_ms: expected at least twice "
			     "heartbeat_ms");
	if (out->frame_max < out->body_max + FRAME_SLACK)
		return whole(s, CODE_OUT_OF_RANGE,
			     "[limits] frame_bytes: expected at least "
			     "body_bytes + 16384");
	return true;
}

static void resolve_intent_file(scan_t *s, settings_t *out)
{
	char *path;

	if (!out->intent_file)
		return;
	path = beside(s->file, out->intent_file);
	g_free(out->intent_file);
	out->intent_file = path;
}

static settings_t *finish(draft_t *d, bool ok)
{
	settings_t *out = NULL;

	d->out.backend_is_model = d->kind == 0;
	g_free(d->key);
	g_free(d->key_file);
	g_free(d->peers);
	out = g_memdup2(&d->out, sizeof(d->out));
	if (ok)
		return out;
	settings_free(out);
	return NULL;
}

/*
 * Reads settings from text; name is the file's name, for messages and for the
 * directory that relative paths start in. Returns NULL with an error whose
 * code is one of the 1xx group.
 */
settings_t *settings_parse(const char *text, const char *name, GError **err)
{
	draft_t d = { 0 };
	scan_t s;
	bool ok;

	set_defaults(&d.out);
	scan_init(&s, name, text, sections, G_N_ELEMENTS(sections), &d);
	ok = scan_run(&s) && role_check(&s, &d.out) &&
	     range_check(&s, &d.out) && key_load(&s, &d) && peers_parse(&s, &d);
	resolve_intent_file(&s, &d.out);
	if (!ok)
		g_propagate_error(err, s.err);
	scan_clear(&s);
	return finish(&d, ok);
}

/* Reads a settings file. Errors as settings_parse, and CODE_FILE. */
settings_t *settings_load(const char *path, GError **err)
{
	char *text = file_read(path, err);
	settings_t *s;

	if (!text)
		return NULL;
	s = settings_parse(text, path, err);
	g_free(text);
	return s;
}

/* Frees settings; NULL is allowed. */
void settings_free(settings_t *s)
{
	if (!s)
		return;
	for (size_t i = 0; i < s->npeers; i++)
		g_free(s->peers[i].name);
	g_free(s->peers);
	g_free(s->name);
	g_free(s->data_center);
	g_free(s->platform_ns);
	g_free(s->key);
	g_free(s->intent_file);
	g_free(s->service);
	g_free(s->version);
	g_free(s);
}
