/** @file tableserver.c @brief Serves an in-memory table over HTTP. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "memtable.h"
#include "proto/message.h"
#include "tableserver.h"

enum {
	TABLESERVER_BODY_MAX_BYTES = 64 << 20,
};

struct tableserver {
	GMutex lock;
	struct memtable *table;
	GHashTable *objects; /* name to GBytes */
};

static void bytes_free(void *p)
{
	g_bytes_unref(p);
}

/* Returns the request body; NULL if it is too long or incomplete. */
static GByteArray *read_body(struct mg_connection *conn)
{
	long long len = mg_get_request_info(conn)->content_length;
	GByteArray *body = g_byte_array_new();
	int n;

	if (len < 0 || len > TABLESERVER_BODY_MAX_BYTES) {
		mg_send_http_error(conn, 413, "body length");
		g_byte_array_unref(body);
		return NULL;
	}
	g_byte_array_set_size(body, (guint)len);
	n = len > 0 ? mg_read(conn, body->data, (size_t)len) : 0;
	if (n != len) {
		g_byte_array_unref(body);
		return NULL;
	}
	return body;
}

static void send_reply(struct mg_connection *conn, const void *buf, size_t len)
{
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: application/x-protobuf\r\n"
		  "Content-Length: %zu\r\n\r\n",
		  len);
	if (len > 0)
		mg_write(conn, buf, len);
}

static int on_table(struct mg_connection *conn, void *arg)
{
	struct tableserver *server = arg;
	GByteArray *body = read_body(conn);
	Aps__TableRequest *request;
	Aps__TableReply *reply;
	uint8_t *buf;
	size_t len;

	if (body == NULL)
		return 400;
	request = aps__table_request__unpack(NULL, body->len, body->data);
	g_byte_array_unref(body);
	if (request == NULL) {
		mg_send_http_error(conn, 400, "not a table request");
		return 400;
	}
	g_mutex_lock(&server->lock);
	reply = memtable_request(server->table, request);
	g_mutex_unlock(&server->lock);
	buf = msg_pack(&reply->base, &len);
	send_reply(conn, buf, len);
	g_free(buf);
	aps__table_reply__free_unpacked(reply, NULL);
	aps__table_request__free_unpacked(request, NULL);
	return 200;
}

static int put_object(struct tableserver *server, struct mg_connection *conn,
		      const char *name)
{
	GByteArray *body = read_body(conn);

	if (body == NULL)
		return 400;
	g_mutex_lock(&server->lock);
	g_hash_table_replace(server->objects, g_strdup(name),
			     g_byte_array_free_to_bytes(body));
	g_mutex_unlock(&server->lock);
	send_reply(conn, NULL, 0);
	return 200;
}

static int get_object(struct tableserver *server, struct mg_connection *conn,
		      const char *name)
{
	GBytes *bytes;
	const void *buf;
	gsize len;

	g_mutex_lock(&server->lock);
	bytes = g_hash_table_lookup(server->objects, name);
	if (bytes != NULL)
		g_bytes_ref(bytes);
	g_mutex_unlock(&server->lock);
	if (bytes == NULL) {
		mg_send_http_error(conn, 404, "no such object");
		return 404;
	}
	buf = g_bytes_get_data(bytes, &len);
	send_reply(conn, buf, len);
	g_bytes_unref(bytes);
	return 200;
}

static int on_object(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const char *name = info->local_uri + strlen("/objects/");

	if (strcmp(info->request_method, "PUT") == 0)
		return put_object(arg, conn, name);
	return get_object(arg, conn, name);
}

struct tableserver *tableserver_create(struct mg_context *ctx)
{
	struct tableserver *server = g_new0(struct tableserver, 1);

	g_mutex_init(&server->lock);
	server->table = memtable_create();
	server->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						bytes_free);
	mg_set_request_handler(ctx, "/table$", on_table, server);
	mg_set_request_handler(ctx, "/objects/", on_object, server);
	return server;
}

void tableserver_destroy(struct tableserver *server)
{
	if (server == NULL)
		return;
	memtable_destroy(server->table);
	g_hash_table_unref(server->objects);
	g_mutex_clear(&server->lock);
	g_free(server);
}
