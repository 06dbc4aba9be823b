/* Shared by the files of peering: connections, reports, quotas. */
#ifndef PEERING_PRIV_H
#define PEERING_PRIV_H

#include "peering.h"
#include "quotad.h"

struct peering {
	edge_t *edge;
	const edge_settings_t *set;
	const peering_ops_t *ops;
	void *ctx;
	peers_t *peers;
	GHashTable *names;	 /* name by incarnation, of hosts that are up */
	GHashTable *keepers;	 /* IP by incarnation, of keepers that are up */
	quotad_t *quotas;	 /* kept here, when this host is a relay */
	GHashTable *reported_to; /* set of incarnations, of hosts of an earlier
				    release, or not known yet */
	ms_t next_report;
	uint64_t reported_version; /* of the configuration in the last report */
	bool tell_evacuations; /* with the next report: a host is new, or they
				  have changed */
	uint64_t reported_evacuations; /* their version in the last report */
	GArray *kv;	 /* fact_kv_t, of the message being made */
	GPtrArray *keys; /* its strings */
	pause_watch_t pauses;
	bool paused;	   /* lately, and logged */
	counter_t *lapsed; /* grants that came before the end of a pause */
	relays_t *relays;
	GHashTable *addresses; /* addr_t by name, of the other listed hosts */
	bool hosts_changed;    /* addresses, since the last connect_relays */
	ms_t next_connect;
	uint64_t heard_version; /* newest configuration that a host reported */
	uint64_t heard_from;	/* incarnation of that host */
	ms_t heard_at;
	ms_t config_asked_at;
	uint64_t inc;		      /* of this process */
	counter_t *customers_omitted; /* left out of a full message */
	bool reaches_store;	      /* this host */
	GHashTable *cut_off; /* set of incarnations, of hosts that say that they
				don't reach the store */
	uint64_t analyst; /* incarnation of the host that runs canary analysis;
			     0 none */
	ms_t next_count_report;
};

/* peering.c */
void peering_take_word(peering_t *p, const char *from, const fact_kv_t *kv);

/* reports.c */
void peering_take_facts(peering_t *p, uint64_t inc, const char *name,
			const msg_facts_t *f);
void peering_send_config(peering_t *p, uint64_t inc, uint64_t newer_than);
void peering_request_config(peering_t *p, ms_t now);
void peering_report(peering_t *p, ms_t now);

/* quotas.c */
void peering_quota_down(peering_t *p, uint64_t inc, bool silent);
void peering_quota_recv(peering_t *p, uint64_t inc, const msg_t *msg);
void peering_quota_send(void *ctx, uint64_t host, const msg_t *m);
void peering_name_quota_relays(peering_t *p);

#endif
