/* Prototypes of lib/wire. */
#ifndef WIRE_FNS_H
#define WIRE_FNS_H

#include "base/fns.h"
#include "wire/dat.h"

/* codec.c */
void msg_encode(const msg_t *m, GByteArray *out);
code_t msg_decode(decoder_t *d, const char *p, size_t n, msg_t *m);
void decoder_clear(decoder_t *d);
const char *msg_type_name(msg_type_t type);

/* bound.c */
bool payload_bounded(const char *payload, size_t n);

/* frame.c */
void framer_init(framer_t *f, size_t max_frame);
void framer_clear(framer_t *f);
void framer_add(framer_t *f, const char *p, size_t n);
code_t framer_next(framer_t *f, str_t *payload);

/* auth.c */
void auth_mac(str_t key, const msg_hello_t *mine, const msg_hello_t *theirs,
	      uint8_t mac[WIRE_MAC_SIZE]);
bool auth_check(str_t key, const msg_hello_t *mine, const msg_hello_t *theirs,
		str_t mac);
bool bytes_equal_const_time(const void *a, const void *b, size_t n);

#endif
