/** @file links.c @brief Links of instance 0 to the backend servers. */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "fixture.h"
#include "links.h"
#include "test/soak/proxy.h"

#define DIRECT_PREFIX "127.0.0.1:1840"
#define LINK_PREFIX "127.0.0.2:1840"

enum {
	LINK_COUNT = 4,
	FIRST_PORT = 18401,
	TARPIT_CONNS = 4,
};

struct links {
	struct proxy *proxies[LINK_COUNT];
	int tarpits[LINK_COUNT];
	int tarpit_conns[LINK_COUNT][TARPIT_CONNS];
};

static void open_proxy(struct links *links, int i)
{
	char *address =
		g_strdup_printf("%s%d", LINK_PREFIX, FIRST_PORT % 10 + i);
	char *target =
		g_strdup_printf("%s%d", DIRECT_PREFIX, FIRST_PORT % 10 + i);

	links->proxies[i] = proxy_create(fx.base, address, target);
	assert_non_null(links->proxies[i]);
	g_free(address);
	g_free(target);
}

struct links *links_open(void)
{
	struct links *links = g_new0(struct links, 1);

	rowstore_set_alternate_host(fx.store, STORE_ALT_ADDRESS, DIRECT_PREFIX,
				    LINK_PREFIX);
	for (int i = 0; i < LINK_COUNT; i++) {
		open_proxy(links, i);
		links->tarpits[i] = -1;
	}
	return links;
}

/* Listens on the address of a link, with a queue that is full. */
static void open_tarpit(struct links *links, int i)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port =
					   htons((uint16_t)(FIRST_PORT + i))};
	int one = 1;

	inet_pton(AF_INET, "127.0.0.2", &addr.sin_addr);
	links->tarpits[i] = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(links->tarpits[i], SOL_SOCKET, SO_REUSEADDR, &one,
		   sizeof(one));
	assert_int_equal(
		bind(links->tarpits[i], (struct sockaddr *)&addr, sizeof(addr)),
		0);
	assert_int_equal(listen(links->tarpits[i], 0), 0);
	for (int n = 0; n < TARPIT_CONNS; n++) {
		links->tarpit_conns[i][n] =
			socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(links->tarpit_conns[i][n],
			      (struct sockaddr *)&addr, sizeof(addr));
	}
}

static void close_tarpit(struct links *links, int i)
{
	if (links->tarpits[i] < 0)
		return;
	close(links->tarpits[i]);
	for (int n = 0; n < TARPIT_CONNS; n++)
		close(links->tarpit_conns[i][n]);
	links->tarpits[i] = -1;
}

void links_cut(struct links *links, enum link_fault fault)
{
	for (int i = 0; i < LINK_COUNT; i++) {
		proxy_destroy(links->proxies[i]);
		links->proxies[i] = NULL;
		if (fault == LINK_HANGS)
			open_tarpit(links, i);
	}
}

void links_restore(struct links *links)
{
	for (int i = 0; i < LINK_COUNT; i++) {
		close_tarpit(links, i);
		open_proxy(links, i);
	}
}

void links_close(struct links *links)
{
	for (int i = 0; i < LINK_COUNT; i++) {
		proxy_destroy(links->proxies[i]);
		close_tarpit(links, i);
	}
	g_free(links);
}
