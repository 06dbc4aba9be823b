/* Settings of one process, and intents: what the operators want to be so. */
#ifndef CONF_DAT_H
#define CONF_DAT_H

#include "base/dat.h"

typedef enum role {
	ROLE_ENTRY,
	ROLE_SIDECAR,
	ROLE_EDGE, /* has settings of its own, edge_settings_t */
} role_t;

/* An IP address with a port. */
typedef struct addr {
	char ip[46];
	uint16_t port;
} addr_t;

/* Another process of the system, as named in settings or the host list. */
typedef struct peer_addr {
	char *name;
	addr_t addr;
} peer_addr_t;

/* The settings file of one daemon. docs/SETTINGS.md describes each key. */
typedef struct settings {
	role_t role;
	char *name;	   /* this host's name, unique in the fleet */
	char *data_center; /* as in the host list */

	addr_t http; /* entry: callers and operators; sidecar: metrics */
	addr_t wire; /* sidecar: connections from entries */

	addr_t platform;   /* log service and host list */
	char *platform_ns; /* name under which our streams live there */

	uint8_t *key; /* the fleet's key */
	size_t key_len;
	peer_addr_t *peers; /* sidecars known without the host list */
	size_t npeers;
	char *intent_file; /* configuration used until the log has one */

	char *service; /* sidecar: what its backend server runs */
	char *version; /* sidecar: version loaded at start */
	addr_t backend;
	bool backend_is_model;

	size_t header_max;	/* bytes */
	size_t body_max;	/* bytes */
	size_t frame_max;	/* bytes */
	size_t connections_max; /* callers' connections */
	size_t waiting_max;	/* requests waiting in this process */
	size_t answer_max;	/* bytes kept of one answer for resuming */

	ms_t heartbeat;	    /* period of heartbeats */
	ms_t silent;	    /* a connection silent this long is replaced */
	ms_t platform_poll; /* period of reading the log's end */
	ms_t hosts_poll;    /* period of reading the host list */
	log_level_t log_level;
} settings_t;

/* The settings file of an edge host. docs/SETTINGS.md describes each key. */
typedef struct edge_settings {
	char *name;
	char *data_center;
	log_level_t log_level;
	addr_t callers;
	addr_t ready;
	addr_t metrics; /* port 0: on the ready address only */
	addr_t peers;	/* where other edge hosts connect */
	addr_t store;
	uint8_t *key; /* the fleet's key */
	size_t key_len;
	char *key_text;
	ms_t drain;  /* a leaving server gets nothing new after this */
	ms_t settle; /* from the store's return until all it says must act */
	ms_t config; /* a configuration acts within this */
	ms_t grace;  /* from the order to stop to the kill */
	double retry_ratio; /* repeated sends, by requests, over all hosts */
	double retry_slack; /* repeated sends beyond that, over all hosts */
	ms_t retry_window;
	double quota_tolerance; /* more than a quota, by it, that is let pass */
	double quota_slack;
	ms_t quota_window;
	double canary_share; /* most of the traffic for a version on trial */
	double canary_slack; /* requests that it may get beyond that */
	size_t connections_max;
	size_t subset; /* servers of a version that the host uses */
	size_t memory_mb;
	char *regions_text;
	GHashTable *regions; /* region by data centre */
} edge_settings_t;

/* The settings file of the operators' tool. */
typedef struct operator_conf {
	addr_t platform;
	char *platform_ns;
} operator_conf_t;

typedef enum service_kind {
	SERVICE_MODEL,
	SERVICE_PLAIN,
} service_kind_t;

/* Something that callers ask for. */
typedef struct service {
	char *name; /* for a model, the "model" of the request */
	service_kind_t kind;
	char *prefix;		/* plain: start of the paths it serves */
	ms_t first_token;	/* target */
	ms_t token_gap;		/* target */
	ms_t deadline;		/* of a request that gives none */
	uint64_t output_tokens; /* first estimate of an answer's length */
} service_t;

/* A kind of call of a service. */
typedef struct route {
	char *service;
	char *name;
	char *path;   /* plain: start of the path; model: unused */
	char *method; /* NULL: any */
	bool idempotent;
	bool key_needed; /* refuse calls without an Idempotency-Key */
} route_t;

/* A customer, known by the SHA-256 of its key. */
typedef struct customer {
	char *name;
	uint8_t key_sha256[32];
	int tier;		 /* the highest it may use, 0 to 3 */
	uint64_t requests_per_s; /* 0: no limit */
	uint64_t tokens_per_s;	 /* 0: no limit */
	uint64_t weight;	 /* share within a tier, 1 or more */
} customer_t;

/* A backend server version that carries, or shall carry, a service. */
typedef struct version {
	char *service;
	char *name;
	char *replaces; /* NULL for the version in place */
	int64_t by;	/* seconds since 1970: carries all traffic; 0 none */
	uint64_t first_percent; /* share of the first stage */
} version_t;

/* All that operators declare. Tables in the order of the text. */
typedef struct intent {
	GPtrArray *services;	  /* of service_t */
	GPtrArray *routes;	  /* of route_t */
	GPtrArray *customers;	  /* of customer_t */
	GPtrArray *versions;	  /* of version_t */
	uint64_t claim_window_s;  /* how long an Idempotency-Key is held */
	uint64_t log_retention_s; /* how long the log keeps records at least */
	GHashTable *by_key;	  /* customers by the 32 bytes of key_sha256 */
} intent_t;

#endif
