/* Messages between edge hosts and to keepers. */
#ifndef PEERING_H
#define PEERING_H

#include "adapter.h"
#include "edge/fns.h"
#include "net/fns.h"

typedef struct peering peering_t;

typedef struct peering_ops {
	/* The text of the configuration in force; empty before the first. */
	str_t (*config_text)(void *ctx);
	/* Another host sent its configuration. */
	void (*config)(void *ctx, str_t text);
	/* A host's count for a rollout has come, or one of this host. */
	void (*rollout_count)(void *ctx, uint64_t host, const char *service,
			      uint64_t order, const char *cell, uint64_t value);
	/* The connection to a host is down. */
	void (*gone)(void *ctx, uint64_t host);
	/* There is a configuration newer than the one in force. */
	void (*newer_config)(void *ctx);
	/* Whether one is being received or decoded. */
	bool (*config_coming)(void *ctx);
	/* A relay has read a topic of the store. */
	void (*news)(void *ctx, str_t topic, const follow_news_t *n);
} peering_ops_t;

peering_t *peering_new(uv_loop_t *loop, edge_t *edge,
		       const edge_settings_t *set, uint64_t inc,
		       const peering_ops_t *ops, void *ctx,
		       counters_t *counters);
code_t peering_listen(peering_t *p);
void peering_host(peering_t *p, str_t name, str_t value);
void peering_keeper(peering_t *p, const addr_t *server, bool wanted);
void peering_request_slot(peering_t *p, const backend_t *b, const request_t *r,
			  ms_t target_ms, ms_t now);
void peering_tell_leaving(peering_t *p, const backend_t *b);
void peering_tell_warmup(peering_t *p, const backend_t *b,
			 const warmup_conf_t *c, ms_t cold_left);
void peering_tell_limit(peering_t *p, const backend_t *b, bool hosts);
void peering_release_slot(peering_t *p, uint64_t keeper, const request_t *r,
			  slot_end_t how);
void peering_quota_join(peering_t *p, uint64_t server, const quota_join_t *j);
void peering_quota_leave(peering_t *p, uint64_t server, const char *customer);
void peering_quota_take(peering_t *p, uint64_t server, const request_t *r);
bool peering_is_relay(const peering_t *p);
bool peering_has_followers(const peering_t *p);
void peering_relay(peering_t *p, const char *topic, const follow_news_t *n);
void peering_reconf(peering_t *p);
void peering_tick(peering_t *p, ms_t now);
void peering_reaches_store(peering_t *p, bool reaches);
bool peering_runs_analysis(const peering_t *p);
void peering_close(peering_t *p);
void peering_free(peering_t *p);

#endif
