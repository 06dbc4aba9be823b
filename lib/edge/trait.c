/* What a request may have in common with others that a server ended under. */
#include "edge/priv.h"

/* Returns the number of a request's traits: its content and its parts. */
size_t traits_count(const request_t *r)
{
	return r->nparts + (r->content != 0);
}

/* Returns a trait of a request, by its place; the content is the first. */
trait_t traits_at(const request_t *r, size_t place)
{
	if (r->content == 0)
		return r->parts[place];
	return place == 0 ? r->content : r->parts[place - 1];
}
