/** @file caller.c @brief HTTP caller that runs one agent program. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "test/standins/caller.h"

enum {
	CALL_TIMEOUT_MS = 60000,
	TURN_PAUSE_US = 100000,
	ATTEMPTS_MAX = 60,
	RETRY_PAUSE_US = 500000,
};

/* One turn and its response. */
struct turn {
	const char *key;
	const char *program;
	int number;
	const char *path;
	const char *method;
	char *body;
	GString *response;
	long status;
	double first_byte_s;
	double total_s;
};

static size_t on_write(char *buf, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, buf, (gssize)(size * n));
	return size * n;
}

static CURLcode send_turn(struct turn *turn, const char *base)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = NULL;
	char *url = g_strdup_printf("%s%s", base, turn->path);
	char line[256];
	CURLcode code;

	snprintf(line, sizeof(line), "Authorization: Bearer %s", turn->key);
	headers = curl_slist_append(headers, line);
	snprintf(line, sizeof(line), "X-Program: %s", turn->program);
	headers = curl_slist_append(headers, line);
	snprintf(line, sizeof(line), "X-Turn: %d", turn->number);
	headers = curl_slist_append(headers, line);
	headers = curl_slist_append(headers, "Content-Type: application/json");
	g_string_truncate(turn->response, 0);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, turn->response);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, turn->body);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, turn->method);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &turn->status);
	curl_easy_getinfo(easy, CURLINFO_STARTTRANSFER_TIME,
			  &turn->first_byte_s);
	curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME, &turn->total_s);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	g_free(url);
	return code;
}

/* A stream is incomplete without its last event. */
static gboolean is_complete(const struct turn *turn, CURLcode code)
{
	if (code != CURLE_OK || turn->status != 200)
		return FALSE;
	if (!g_str_has_prefix(turn->response->str, "data:"))
		return TRUE;
	return strstr(turn->response->str, "data: [DONE]") != NULL;
}

/* Sends a turn, again under the same number until it is answered in full. */
static gboolean run_turn(struct turn *turn, char **urls, int nurls)
{
	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		const char *url = urls[(turn->number + i) % nurls];
		CURLcode code = send_turn(turn, url);

		printf("turn %d via %s: status %ld, first byte %.0f ms, "
		       "total %.0f ms%s\n",
		       turn->number, url, turn->status,
		       turn->first_byte_s * 1000, turn->total_s * 1000,
		       is_complete(turn, code) ? "" : ", retrying");
		fflush(stdout);
		if (is_complete(turn, code))
			return TRUE;
		printf("  %s: %.200s\n", curl_easy_strerror(code),
		       turn->response->str);
		if (turn->status == 401 || turn->status == 400)
			return FALSE;
		usleep(RETRY_PAUSE_US);
	}
	return FALSE;
}

static char *chat_body(int number)
{
	return g_strdup_printf(
		"{\"model\":\"kitchen-model\",\"stream\":true,"
		"\"max_tokens\":64,\"messages\":[{\"role\":\"user\","
		"\"content\":\"turn %d of the coaching chat out=24\"}]}",
		number);
}

int caller_run_program(const char *key, const char *name, int turns,
		       char **urls, int nurls)
{
	char *end_path = g_strdup_printf("/v1/programs/%s", name);
	int failed = 0;

	for (int i = 0; i <= turns && !failed; i++) {
		gboolean is_order = i == turns - 2;
		struct turn turn = {.key = key,
				    .program = name,
				    .number = i,
				    .path = is_order ? "/v1/services/orders"
						     : "/v1/chat/completions",
				    .method = "POST",
				    .response = g_string_new(NULL)};

		if (i == turns) {
			turn.path = end_path;
			turn.method = "DELETE";
		}
		turn.body = is_order ? g_strdup("{\"order\":\"reprint\"}")
				     : chat_body(i);
		failed = !run_turn(&turn, urls, nurls);
		if (!failed && !g_str_has_prefix(turn.response->str, "data:"))
			printf("  response: %.200s\n", turn.response->str);
		g_free(turn.body);
		g_string_free(turn.response, TRUE);
		usleep(TURN_PAUSE_US);
	}
	g_free(end_path);
	printf("program %s: %s\n", name, failed ? "failed" : "completed");
	return failed;
}

int caller_post(const char *url, const char *body, char **headers, int nheaders)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *list = NULL;
	GString *response = g_string_new(NULL);
	long status = 0;
	CURLcode code;

	for (int i = 0; i < nheaders; i++)
		list = curl_slist_append(list, headers[i]);
	list = curl_slist_append(list, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	printf("%ld %s\n", status, response->str);
	curl_slist_free_all(list);
	curl_easy_cleanup(easy);
	g_string_free(response, TRUE);
	return code != CURLE_OK;
}
