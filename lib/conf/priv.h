/* Private to lib/conf: a scanner of INI text driven by tables of sections. */
#ifndef CONF_PRIV_H
#define CONF_PRIV_H

#include "conf/fns.h"

enum {
	NAME_LEN_MAX = 64,	/* bytes of a name */
	INI_LINE_BYTES = 65536, /* longest line, with its end */
	FIELDS_MAX = 32,	/* keys of one section */
	KEY_BYTES_MIN = 16,	/* of the fleet's key */
};

typedef enum field_kind {
	FIELD_NAME,    /* char *: letters, digits and . _ : - */
	FIELD_TEXT,    /* char *: any text but the empty one */
	FIELD_LIST,    /* char *: any text; the empty one is no entry */
	FIELD_PATH,    /* char *: starts with a slash, no blanks */
	FIELD_METHOD,  /* char *: capital letters */
	FIELD_COUNT,   /* uint64_t */
	FIELD_SIZE,    /* size_t */
	FIELD_SPAN,    /* ms_t, from milliseconds */
	FIELD_INT,     /* int */
	FIELD_REAL,    /* double, fractions included */
	FIELD_REAL_MS, /* ms_t, from milliseconds with fractions, cut off */
	FIELD_REAL_S,  /* ms_t, from seconds with fractions; range in seconds */
	FIELD_FLAG,    /* bool, from yes and no */
	FIELD_CHOICE,  /* int, the index in choices */
	FIELD_ADDR,    /* addr_t */
	FIELD_HEX32,   /* uint8_t[32] */
	FIELD_TIME,    /* int64_t seconds since 1970, from RFC 3339 in UTC */
} field_kind_t;

/* A key of a section: where its value goes and what is allowed. */
typedef struct field {
	const char *key;
	field_kind_t kind;
	size_t at; /* offset in the section's object */
	bool needed;
	uint64_t min;
	uint64_t max;
	const char *const *choices; /* ends with NULL */
} field_t;

typedef struct scan scan_t;

/* A kind of section. begin returns the object that its fields are put in. */
typedef struct section {
	const char *name;
	bool has_arg; /* "[name arg]" instead of "[name]" */
	const field_t *fields;
	size_t nfields;
	void *(*begin)(scan_t *s, const char *arg);
	bool needed;
} section_t;

/* A row of a kind of section whose fields go into the scan's context. */
#define SECTION(name, fields, needed)                                          \
	{                                                                      \
		name, false, fields, G_N_ELEMENTS(fields), scan_context,       \
			needed                                                 \
	}

/* A scan in progress. */
struct scan {
	const char *file; /* for messages */
	const char *rest; /* text not read yet */
	unsigned int line;
	const section_t *sections;
	size_t nsections;
	void *ctx;	       /* of begin */
	const section_t *open; /* current section, NULL before the first */
	char *title;	       /* "[name arg]" of the current section */
	unsigned int title_line;
	void *object;
	uint32_t seen;	    /* bit i: field i was given */
	GHashTable *titles; /* sections given, with their lines */
	GHashTable *lines;  /* objects, with the lines of their sections */
	GHashTable *given;  /* "object address/key" strings given */
	GError *err;	    /* the first error */
};

/* scan.c */
void scan_init(scan_t *s, const char *file, const char *text,
	       const section_t *sections, size_t n, void *ctx);
void scan_clear(scan_t *s);
bool scan_run(scan_t *s);
void *scan_context(scan_t *s, const char *arg);
bool scan_fail(scan_t *s, code_t code, const char *key, const char *fmt, ...)
	G_GNUC_PRINTF(4, 5);
bool scan_fail_at(scan_t *s, const void *object, code_t code, const char *fmt,
		  ...) G_GNUC_PRINTF(4, 5);
bool scan_given(const scan_t *s, const void *object, const char *key);
bool scan_has_section(const scan_t *s, const char *name);

/* field.c */
bool field_set(scan_t *s, const field_t *f, void *object, const char *value);
bool hex_decode(const char *text, uint8_t *out, size_t n);
char *file_read(const char *path, GError **err);

/* check.c */
bool intent_check(scan_t *s, const intent_t *in);

#endif
