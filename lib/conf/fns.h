/* Prototypes of lib/conf. */
#ifndef CONF_FNS_H
#define CONF_FNS_H

#include "base/fns.h"
#include "conf/dat.h"

/* field.c */
bool name_valid(const char *name);

/* settings.c: errors name file, line, key and what was expected. */
settings_t *settings_load(const char *path, GError **err);
settings_t *settings_parse(const char *text, const char *name, GError **err);
void settings_free(settings_t *s);

/* edge.c: as settings.c, for an edge host. */
edge_settings_t *edge_settings_load(const char *path, GError **err);
edge_settings_t *edge_settings_parse(const char *text, const char *name,
				     GError **err);
void edge_settings_free(edge_settings_t *s);

/* operator.c */
bool operator_load(const char *path, operator_conf_t *c, GError **err);

/* intent.c */
intent_t *intent_parse(const char *text, const char *name, GError **err);
intent_t *intent_load(const char *path, GError **err);
void intent_free(intent_t *in);
const service_t *intent_service(const intent_t *in, const char *name);
const service_t *intent_service_by_path(const intent_t *in, const char *path);
const route_t *intent_route(const intent_t *in, const char *service,
			    const char *method, const char *path);
const customer_t *intent_customer_by_key(const intent_t *in, const char *key);
const customer_t *intent_customer(const intent_t *in, const char *name);
const version_t *intent_version(const intent_t *in, const char *service,
				const char *name);

/* addr.c */
bool addr_parse(const char *text, addr_t *a);
void addr_print(const addr_t *a, char out[64]);

#endif
