/** @file links.c @brief Which backend servers an instance can connect to. */
#include <string.h>

#include <glib.h>

#include "links.h"

enum {
	/* Servers in a row that can't be connected to: one may have crashed. */
	ALL_LOST_MIN = 2,
	SILENT_MS = 300, /* several times what most responses take to begin */
	CHECK_PERIOD_MS = 400, /* longer than a connection attempt */
};

struct links {
	GPtrArray *lost; /* ids of servers, in the order in which they failed */
	uint32_t failed_in_a_row; /* different servers, without a success */
	bool all_lost;
	uint32_t waiting; /* requests without a complete response */
	int64_t waiting_since_ms;
	int64_t received_ms;
	int64_t checked_ms;
};

struct links *links_create(void)
{
	struct links *links = g_new0(struct links, 1);

	links->lost = g_ptr_array_new_with_free_func(g_free);
	return links;
}

void links_destroy(struct links *links)
{
	if (links == NULL)
		return;
	g_ptr_array_free(links->lost, TRUE);
	g_free(links);
}

static bool find_lost(const struct links *links, const char *server, guint *i)
{
	return g_ptr_array_find_with_equal_func(links->lost, server,
						g_str_equal, i);
}

bool links_on_connected(struct links *links, const char *server, int64_t now)
{
	bool was_all_lost = links->all_lost;
	guint i;

	links->received_ms = now;
	links->failed_in_a_row = 0;
	links->all_lost = false;
	/* Links that were lost together are likely to be back together. */
	if (was_all_lost)
		g_ptr_array_set_size(links->lost, 0);
	else if (find_lost(links, server, &i))
		g_ptr_array_remove_index(links->lost, i);
	return was_all_lost;
}

bool links_on_failed(struct links *links, const char *server, int64_t now)
{
	(void)now;
	if (!find_lost(links, server, NULL)) {
		g_ptr_array_add(links->lost, g_strdup(server));
		links->failed_in_a_row++;
	}
	if (links->all_lost || links->failed_in_a_row < ALL_LOST_MIN)
		return false;
	links->all_lost = true;
	links->checked_ms = 0;
	return true;
}

void links_on_sent(struct links *links, int64_t now)
{
	if (links->waiting++ == 0)
		links->waiting_since_ms = now;
}

void links_on_received(struct links *links, int64_t now)
{
	links->received_ms = now;
}

void links_on_ended(struct links *links)
{
	if (links->waiting > 0)
		links->waiting--;
}

bool links_is_lost(const struct links *links, const char *server)
{
	return links->all_lost || find_lost(links, server, NULL);
}

bool links_all_lost(const struct links *links)
{
	return links->all_lost;
}

int64_t links_silent_ms(const struct links *links, int64_t now)
{
	if (links->waiting == 0)
		return 0;
	return now - MAX(links->received_ms, links->waiting_since_ms);
}

bool links_is_silent(const struct links *links, int64_t now)
{
	return links_silent_ms(links, now) >= SILENT_MS;
}

bool links_take_check(struct links *links, int64_t now)
{
	if (now - links->checked_ms < CHECK_PERIOD_MS ||
	    (links->lost->len == 0 && !links_is_silent(links, now)))
		return false;
	links->checked_ms = now;
	return true;
}

const char *links_next_lost(struct links *links)
{
	char *server;

	if (links->lost->len == 0)
		return NULL;
	server = g_ptr_array_steal_index(links->lost, 0);
	g_ptr_array_add(links->lost, server);
	return server;
}

void links_forget(struct links *links, const char *server)
{
	guint i;

	if (find_lost(links, server, &i))
		g_ptr_array_remove_index(links->lost, i);
}
