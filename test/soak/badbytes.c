/** @file badbytes.c @brief Bytes that are no request or no response. */
#include <stdio.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>

#include "badbytes.h"
#include "serve/sock.h"
#include "soak.h"
#include "test/standins/backend.h"

/* The handler answers this one by itself: there is no such route. */
#define REQUEST                                                                \
	"GET /nowhere HTTP/1.1\r\nHost: h\r\nRequest-Id: b%u\r\n"              \
	"Content-Length: 0\r\n\r\n"

struct bad_bytes {
	struct badbytes_config config;
	struct rng rng;
	GHashTable *callers; /* set of struct bufferevent */
	guint sent;
	guint modes;
};

static void on_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);

	(void)arg;
	evbuffer_drain(in, evbuffer_get_length(in));
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct bad_bytes *bad = arg;

	if (what & BEV_EVENT_CONNECTED)
		return;
	g_hash_table_remove(bad->callers, bev);
	bufferevent_free(bev);
}

static void send_bytes(struct bad_bytes *bad)
{
	static const char *const bytes[] = {"}", "0\r\n\r\n", "\r\n0",
					    "\x16\x03\x01", "Z"};
	struct bufferevent *bev = bufferevent_socket_new(
		bad->config.base, -1,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	int gateway = (int)rng_below(&bad->rng, (uint64_t)soak_gateway_count());
	char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   bad->config.port + gateway * SOAK_ADDRESS_STEP);
	bufferevent_setcb(bev, on_read, NULL, on_event, bad);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	evbuffer_add_printf(bufferevent_get_output(bev), REQUEST "%s",
			    bad->sent++,
			    bytes[rng_below(&bad->rng, G_N_ELEMENTS(bytes))]);
	g_hash_table_add(bad->callers, bev);
	if (!sock_connect(bev, address))
		on_event(bev, BEV_EVENT_ERROR, bad);
}

static void set_server_mode(struct bad_bytes *bad)
{
	static const enum backend_mode modes[] = {
		BACKEND_UNSIGNED_TEXT, BACKEND_CUT, BACKEND_ERROR_CUT,
		BACKEND_LATE_COPY, BACKEND_LATE_COPY};

	bad->modes++;
	backend_set_mode(servers_pick_backend(bad->config.servers, &bad->rng),
			 modes[rng_below(&bad->rng, G_N_ELEMENTS(modes))]);
}

void badbytes_inject(struct bad_bytes *bad)
{
	if (rng_below(&bad->rng, 3) == 0)
		send_bytes(bad);
	if (rng_below(&bad->rng, 6) == 0)
		set_server_mode(bad);
}

struct bad_bytes *badbytes_create(const struct badbytes_config *config)
{
	struct bad_bytes *bad = g_new0(struct bad_bytes, 1);

	bad->config = *config;
	bad->rng.state = config->seed;
	bad->callers = g_hash_table_new(NULL, NULL);
	return bad;
}

void badbytes_destroy(struct bad_bytes *bad)
{
	GHashTableIter it;
	gpointer bev;

	g_hash_table_iter_init(&it, bad->callers);
	while (g_hash_table_iter_next(&it, &bev, NULL))
		bufferevent_free(bev);
	g_hash_table_destroy(bad->callers);
	g_free(bad);
}

void badbytes_print(const struct bad_bytes *bad)
{
	printf("bad bytes: sent %u times to gateways, set %u times at "
	       "servers\n",
	       bad->sent, bad->modes);
}
