/* The settings file of the operators' tool: where the platform is. */
#include "conf/priv.h"

#define AT(m) offsetof(operator_conf_t, m)

static const field_t platform_fields[] = {
	{ "address", FIELD_ADDR, AT(platform), true, 0, 0, NULL },
	{ "namespace", FIELD_NAME, AT(platform_ns), true, 0, 0, NULL },
};

static const section_t sections[] = {
	SECTION("platform", platform_fields, true),
};

/*
 * Reads the file into c, whose platform_ns the caller frees. Returns false
 * with an error of the 1xx group.
 */
bool operator_load(const char *path, operator_conf_t *c, GError **err)
{
	char *text = file_read(path, err);
	scan_t s;
	bool ok;

	if (!text)
		return false;
	scan_init(&s, path, text, sections, G_N_ELEMENTS(sections), c);
	ok = scan_run(&s);
	if (!ok)
		g_propagate_error(err, s.err);
	scan_clear(&s);
	g_free(text);
	return ok;
}
