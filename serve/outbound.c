/** @file outbound.c @brief HTTP client of an instance. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "hdr.h"
#include "input.h"
#include "outbound.h"
#include "sse.h"

enum {
	OUTBOUND_TABLE_TIMEOUT_MS = 1000,   /* also for objects */
	OUTBOUND_RELEASE_TIMEOUT_MS = 2000, /* also for load reports */
	OUTBOUND_CONNECT_TIMEOUT_MS = 1000,
	OUTBOUND_RESPONSE_MAX_BYTES = 4 << 20,
	OUTBOUND_HEADER_MAX_BYTES = 256,
};

enum request_kind {
	KIND_MODEL,
	KIND_SERVICE,
	KIND_RELEASE,
	KIND_PROBE,
	KIND_TABLE,
	KIND_OBJECT,
};

/* A request in progress. */
struct request {
	struct outbound *outbound;
	enum request_kind kind;
	uint64_t id; /* run id or cookie */
	CURL *easy;
	struct curl_slist *headers;
	GByteArray *body;
	GByteArray *response;
	GByteArray *pending; /* text received and not yet delivered */
	struct sse sse;
	struct input_reader *reader; /* of the response's header */
	bool head_read;
	char *response_id;    /* X-Request-Id of the response */
	uint64_t incarnation; /* X-Incarnation of the response */
	bool not_executed;    /* X-Executed: no */
	bool cancelled;
	bool is_get;
};

struct outbound {
	CURLM *multi;
	char *platform;
	struct outbound_events events;
	GHashTable *requests; /* set of struct request */
};

static void request_free(void *p)
{
	struct request *request = p;

	curl_multi_remove_handle(request->outbound->multi, request->easy);
	curl_easy_cleanup(request->easy);
	curl_slist_free_all(request->headers);
	g_byte_array_unref(request->body);
	g_byte_array_unref(request->response);
	g_byte_array_unref(request->pending);
	sse_clear(&request->sse);
	input_reader_destroy(request->reader);
	g_free(request->response_id);
	g_free(request);
}

struct outbound *outbound_create(const char *platform,
				 const struct outbound_events *events)
{
	struct outbound *outbound = g_new0(struct outbound, 1);

	outbound->multi = curl_multi_init();
	outbound->platform = g_strdup(platform);
	outbound->events = *events;
	outbound->requests = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, request_free, NULL);
	return outbound;
}

void outbound_destroy(struct outbound *outbound)
{
	if (outbound == NULL)
		return;
	g_hash_table_unref(outbound->requests);
	curl_multi_cleanup(outbound->multi);
	g_free(outbound->platform);
	g_free(outbound);
}

CURLM *outbound_multi(struct outbound *outbound)
{
	return outbound->multi;
}

static void on_text(void *arg, const char *text, size_t len)
{
	struct request *request = arg;

	/* Delivered after curl returns: its callbacks may not add requests. */
	g_byte_array_append(request->pending, (const uint8_t *)text,
			    (guint)len);
}

/* Returns whether the response belongs to another request. */
static bool is_mismatched(const struct request *request)
{
	char id[32];

	snprintf(id, sizeof(id), "%" PRIu64, request->id);
	if (request->response_id != NULL &&
	    strcmp(request->response_id, id) != 0)
		return true;
	return request->kind == KIND_MODEL && request->sse.id != NULL &&
	       strcmp(request->sse.id, id) != 0;
}

/* Drops text of a cancelled run and text that belongs to another request. */
static void deliver_pending(struct request *request)
{
	const struct outbound_events *events = &request->outbound->events;

	if (request->pending->len == 0)
		return;
	if (!request->cancelled && !is_mismatched(request))
		events->run_chunk(events->arg, request->id,
				  request->incarnation, request->pending->data,
				  request->pending->len);
	g_byte_array_set_size(request->pending, 0);
}

static size_t on_write(char *buf, size_t size, size_t n, void *arg)
{
	struct request *request = arg;
	size_t len = size * n;
	long status = 0;

	curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
	if (request->kind == KIND_MODEL && status == 200) {
		sse_feed(&request->sse, buf, len, on_text, request);
		return len;
	}
	if (request->response->len + len > OUTBOUND_RESPONSE_MAX_BYTES)
		return 0;
	g_byte_array_append(request->response, (const uint8_t *)buf,
			    (guint)len);
	return len;
}

static void on_head_grow(void *arg, size_t len)
{
	(void)arg;
	(void)len;
}

static bool on_head(void *arg, const struct input_head *head)
{
	struct request *request = arg;
	const GArray *headers = input_headers(request->reader);
	const char *value = hdr_get(headers, "X-Incarnation");

	(void)head;
	request->head_read = true;
	if (value != NULL)
		request->incarnation = strtoull(value, NULL, 10);
	value = hdr_get(headers, "X-Executed");
	request->not_executed = value != NULL && strcmp(value, "no") == 0;
	request->response_id = g_strdup(hdr_get(headers, "X-Request-Id"));
	return false;
}

static bool on_head_body(void *arg, const char *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
	return false;
}

static bool on_head_end(void *arg)
{
	(void)arg;
	return false;
}

/* libcurl reads the body; the header has to be right before it counts. */
static const struct input_handler head_handler = {
	.grow = on_head_grow,
	.head = on_head,
	.body = on_head_body,
	.end = on_head_end,
};

/* Takes a line of the header. Trailers, which come here too, are not kept. */
static size_t on_header(char *buf, size_t size, size_t n, void *arg)
{
	struct request *request = arg;
	size_t len = size * n;
	size_t used;

	if (request->head_read)
		return len;
	return input_read(request->reader, buf, len, &used) != INPUT_INVALID
		       ? len
		       : 0;
}

static struct request *request_create(struct outbound *outbound,
				      enum request_kind kind, uint64_t id,
				      const char *url)
{
	struct request *request = g_new0(struct request, 1);

	request->outbound = outbound;
	request->kind = kind;
	request->id = id;
	request->body = g_byte_array_new();
	request->response = g_byte_array_new();
	request->pending = g_byte_array_new();
	sse_init(&request->sse);
	request->reader = input_reader_create(&head_handler, request);
	input_start(request->reader, false);
	request->easy = curl_easy_init();
	curl_easy_setopt(request->easy, CURLOPT_URL, url);
	curl_easy_setopt(request->easy, CURLOPT_PRIVATE, request);
	curl_easy_setopt(request->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(request->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(request->easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(request->easy, CURLOPT_WRITEDATA, request);
	curl_easy_setopt(request->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(request->easy, CURLOPT_HEADERDATA, request);
	curl_easy_setopt(request->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)OUTBOUND_CONNECT_TIMEOUT_MS);
	g_hash_table_add(outbound->requests, request);
	return request;
}

G_GNUC_PRINTF(2, 3)
static void add_header(struct request *request, const char *fmt, ...)
{
	char line[OUTBOUND_HEADER_MAX_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	request->headers = curl_slist_append(request->headers, line);
}

static void send_request(struct request *request, const char *method,
			 long timeout_ms)
{
	CURL *easy = request->easy;

	add_header(request, "Expect:");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, request->headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	if (request->body->len > 0 || strcmp(method, "POST") == 0) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)request->body->len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 request->body->len > 0
					 ? (const char *)request->body->data
					 : "");
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_multi_add_handle(request->outbound->multi, easy);
}

/* The prompt is the content of the JSON array of messages, without brackets. */
static void model_body(struct request *request, const struct node_run *run)
{
	GString *body = g_string_new("{\"stream\":true,\"model\":");
	json_object *text = json_object_new_string(run->target);

	g_string_append(body, json_object_to_json_string(text));
	json_object_put(text);
	g_string_append_printf(body, ",\"max_tokens\":%u", run->max_out);
	if (run->resume.len > 0) {
		text = json_object_new_string_len(
			(const char *)run->resume.data, (int)run->resume.len);
		g_string_append_printf(body, ",\"resume\":%s",
				       json_object_to_json_string(text));
		json_object_put(text);
	}
	g_string_append(body, ",\"messages\":[");
	g_string_append_len(body, (const char *)run->prompt.data,
			    (gssize)run->prompt.len);
	g_string_append(body, "]}");
	g_byte_array_append(request->body, (const uint8_t *)body->str,
			    (guint)body->len);
	g_string_free(body, TRUE);
}

void outbound_start_run(struct outbound *outbound, const struct node_run *run)
{
	struct request *request;
	char *url = run->is_model
			    ? g_strdup_printf("http://%s/v1/chat/completions",
					      run->addr)
			    : g_strdup_printf("http://%s/%s", run->addr,
					      run->target);

	request = request_create(outbound,
				 run->is_model ? KIND_MODEL : KIND_SERVICE,
				 run->run_id, url);
	g_free(url);
	if (run->is_model)
		model_body(request, run);
	else
		g_byte_array_append(request->body, run->prompt.data,
				    (guint)run->prompt.len);
	/*
	 * libcurl resends a request when a reused connection turns out to
	 * be closed; a new connection rules out such a second run.
	 */
	curl_easy_setopt(request->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(request->easy, CURLOPT_FORBID_REUSE, 1L);
	add_header(request, "Content-Type: application/json");
	add_header(request, "X-Request-Id: %" PRIu64, run->run_id);
	add_header(request, "X-Fencing-Token: %" PRIu64, run->fence);
	add_header(request, "X-Program: %s", run->program);
	send_request(request, "POST", (long)run->deadline_ms);
}

void outbound_cancel_run(struct outbound *outbound, uint64_t run_id)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, outbound->requests);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		struct request *request = value;

		if (request->id == run_id && request->kind <= KIND_SERVICE)
			request->cancelled = true;
	}
}

void outbound_release(struct outbound *outbound, uint64_t cookie,
		      const char *addr, const char *program, uint64_t fence)
{
	char *escaped = g_uri_escape_string(program, NULL, FALSE);
	char *url = g_strdup_printf("http://%s/v1/programs/%s", addr, escaped);
	struct request *request =
		request_create(outbound, KIND_RELEASE, cookie, url);

	g_free(url);
	g_free(escaped);
	add_header(request, "X-Fencing-Token: %" PRIu64, fence);
	send_request(request, "DELETE", OUTBOUND_RELEASE_TIMEOUT_MS);
}

void outbound_probe(struct outbound *outbound, uint64_t cookie,
		    const char *addr)
{
	char *url = g_strdup_printf("http://%s/v1/load", addr);
	struct request *request =
		request_create(outbound, KIND_PROBE, cookie, url);

	g_free(url);
	send_request(request, "GET", OUTBOUND_RELEASE_TIMEOUT_MS);
}

void outbound_table(struct outbound *outbound, uint64_t cookie,
		    const Aps__TableRequest *msg)
{
	char *url = g_strdup_printf("%s/table", outbound->platform);
	struct request *request =
		request_create(outbound, KIND_TABLE, cookie, url);

	g_free(url);
	g_byte_array_set_size(request->body,
			      (guint)aps__table_request__get_packed_size(msg));
	aps__table_request__pack(msg, request->body->data);
	add_header(request, "Content-Type: application/x-protobuf");
	send_request(request, "POST", OUTBOUND_TABLE_TIMEOUT_MS);
}

void outbound_object(struct outbound *outbound, uint64_t cookie,
		     const char *key, const uint8_t *buf, size_t len)
{
	char *escaped = g_uri_escape_string(key, NULL, FALSE);
	char *url =
		g_strdup_printf("%s/objects/%s", outbound->platform, escaped);
	struct request *request =
		request_create(outbound, KIND_OBJECT, cookie, url);

	g_free(url);
	g_free(escaped);
	request->is_get = buf == NULL;
	if (buf != NULL)
		g_byte_array_append(request->body, buf, (guint)len);
	send_request(request, buf != NULL ? "PUT" : "GET",
		     OUTBOUND_TABLE_TIMEOUT_MS);
}

/* Whether the server has got the whole request. */
static bool is_sent(const struct request *request)
{
	curl_off_t sent = 0;

	return curl_easy_getinfo(request->easy, CURLINFO_SIZE_UPLOAD_T,
				 &sent) == CURLE_OK &&
	       sent == (curl_off_t)request->body->len;
}

static enum node_run_end run_end(const struct request *request, CURLcode code,
				 long status)
{
	if (request->cancelled || code == CURLE_OPERATION_TIMEDOUT)
		return NODE_RUN_CANCELLED;
	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return NODE_RUN_NOT_SENT;
	if (code != CURLE_OK)
		return NODE_RUN_INTERRUPTED;
	if (request->not_executed && status != 200)
		return NODE_RUN_REFUSED;
	if (status != 200)
		return NODE_RUN_FAILED;
	if (!is_sent(request))
		return NODE_RUN_INTERRUPTED;
	if (is_mismatched(request))
		return NODE_RUN_MISMATCHED;
	if (request->kind == KIND_MODEL &&
	    (!request->sse.done || request->sse.malformed))
		return NODE_RUN_INTERRUPTED;
	return NODE_RUN_COMPLETE;
}

static void run_done(struct request *request, CURLcode code, long status)
{
	const struct outbound_events *events = &request->outbound->events;
	struct node_run_result result = {
		.end = run_end(request, code, status),
		.status = (uint32_t)status,
		.incarnation = request->incarnation,
		.prompt_tokens = request->sse.prompt_tokens,
		.cached_tokens = request->sse.cached_tokens,
		.out_tokens = request->sse.out_tokens,
	};

	if (request->kind == KIND_SERVICE && result.end == NODE_RUN_COMPLETE &&
	    request->response->len > 0)
		events->run_chunk(events->arg, request->id,
				  request->incarnation, request->response->data,
				  request->response->len);
	events->run_done(events->arg, request->id, &result);
}

static void table_done(struct request *request, bool ok)
{
	const struct outbound_events *events = &request->outbound->events;
	Aps__TableReply *reply = NULL;

	if (ok)
		reply = aps__table_reply__unpack(NULL, request->response->len,
						 request->response->data);
	events->table_done(events->arg, request->id, reply);
	if (reply != NULL)
		aps__table_reply__free_unpacked(reply, NULL);
}

/* Parses the load report, a JSON object {"inflight": N}. */
static void probe_done(struct request *request, bool ok)
{
	const struct outbound_events *events = &request->outbound->events;
	struct node_load load = {.incarnation = request->incarnation};
	json_object *root = NULL;
	json_object *value = NULL;

	g_byte_array_append(request->response, (const uint8_t *)"", 1);
	if (ok)
		root = json_tokener_parse(
			(const char *)request->response->data);
	ok = json_object_is_type(root, json_type_object) &&
	     json_object_object_get_ex(root, "inflight", &value) &&
	     json_object_get_int64(value) >= 0;
	if (ok)
		load.inflight = (uint32_t)json_object_get_int64(value);
	events->probe_done(events->arg, request->id, ok ? &load : NULL);
	json_object_put(root);
}

static void report_result(struct request *request, CURLcode code)
{
	const struct outbound_events *events = &request->outbound->events;
	long status = 0;
	bool ok;

	curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
	ok = code == CURLE_OK && status >= 200 && status < 300;
	switch (request->kind) {
	case KIND_MODEL:
	case KIND_SERVICE:
		run_done(request, code, status);
		break;
	case KIND_RELEASE:
		events->release_done(events->arg, request->id, ok,
				     request->incarnation);
		break;
	case KIND_PROBE:
		probe_done(request, ok);
		break;
	case KIND_TABLE:
		table_done(request, ok);
		break;
	case KIND_OBJECT:
		events->object_done(
			events->arg, request->id, ok,
			ok && request->is_get ? request->response->data : NULL,
			request->response->len);
		break;
	}
}

static void finish_request(struct request *request, CURLcode code)
{
	g_hash_table_steal(request->outbound->requests, request);
	deliver_pending(request);
	report_result(request, code);
	request_free(request);
}

/* Delivers new text and finishes cancelled requests. */
static void process_requests(struct outbound *outbound)
{
	GList *list = g_hash_table_get_keys(outbound->requests);

	for (GList *l = list; l != NULL; l = l->next) {
		struct request *request = l->data;

		deliver_pending(request);
		if (request->cancelled)
			finish_request(request, CURLE_ABORTED_BY_CALLBACK);
	}
	g_list_free(list);
}

void outbound_process(struct outbound *outbound)
{
	CURLMsg *msg;
	int unused = 0;

	curl_multi_perform(outbound->multi, &unused);
	while ((msg = curl_multi_info_read(outbound->multi, &unused)) != NULL) {
		struct request *request = NULL;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  (char **)&request);
		finish_request(request, code);
	}
	process_requests(outbound);
}
