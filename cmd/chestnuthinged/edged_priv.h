/* Shared by the files of an edge host's process. */
#ifndef EDGED_PRIV_H
#define EDGED_PRIV_H

#include "adapter.h"
#include "crashd.h"
#include "peering.h"
#include "reload.h"
#include "rolloutd.h"

typedef struct configs configs_t;

typedef struct edged {
	uv_loop_t loop;
	ticker_t ticker;
	uv_signal_t term;
	uv_signal_t intr;
	uv_signal_t hup;
	edge_settings_t *set;
	reload_t *reload;
	bool reload_requested; /* SIGHUP has come */
	counters_t *counters;
	store_link_t store;
	edge_t *edge;
	forward_t *forward;
	roster_t *roster;
	pages_t *pages;
	pages_t *metrics; /* the same pages, at the metrics address */
	follow_t *orders;
	follow_t *servers;
	follow_t *hosts;
	append_t *append;
	rolloutd_t *rollouts;
	crashd_t *crashes;
	peering_t *peering;
	GByteArray *server_news; /* records that others have to know */
	configs_t *configs;
	uint64_t inc;
	ms_t started;
	bool servers_known;
	unsigned int servers_seen; /* most listed at a time */
	ms_t last_new_server;	   /* when that last grew */
	bool stopping;
	ms_t stop_at;
	counter_t *bad_records;
} edged_t;

/* topics.c */
extern const crashd_ops_t topics_crashes_ops;
void topics_follow(edged_t *d);
void topics_reconf(edged_t *d);
void topics_tick(edged_t *d, ms_t now);
void topics_reject(edged_t *d, str_t key, const char *why);
void topics_newer_config(void *ctx);
bool topics_config_coming(void *ctx);
void topics_news(void *ctx, str_t topic, const follow_news_t *n);

/* configs.c */
configs_t *configs_new(uv_loop_t *loop, edged_t *d);
void configs_put(configs_t *cs, str_t key, str_t text, const char *from);
str_t configs_text(const configs_t *cs);
bool configs_decoding(const configs_t *cs);
void configs_close(configs_t *cs);
void configs_free(configs_t *cs);

#endif
