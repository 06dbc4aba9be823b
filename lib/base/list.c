/* Intrusive doubly linked lists with a head node. */
#include "base/fns.h"

/* Initializes an empty list, or a node that is in no list. */
void list_init(list_t *head)
{
	head->next = head;
	head->prev = head;
}

/* Returns whether the list is empty. */
bool list_empty(const list_t *head)
{
	return head->next == head;
}

static void insert(list_t *prev, list_t *node, list_t *next)
{
	node->prev = prev;
	node->next = next;
	prev->next = node;
	next->prev = node;
}

/* Adds node at the front. */
void list_add(list_t *head, list_t *node)
{
	insert(head, node, head->next);
}

/* Adds node at the back. */
void list_add_tail(list_t *head, list_t *node)
{
	insert(head->prev, node, head);
}

/* Removes node from its list; does nothing if it is in none. */
void list_del(list_t *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	list_init(node);
}

/* Returns the number of nodes, in linear time. */
size_t list_len(const list_t *head)
{
	size_t n = 0;

	for (const list_t *p = head->next; p != head; p = p->next)
		n++;
	return n;
}
