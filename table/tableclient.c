/** @file tableclient.c @brief One request to the table at a time. */
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "tableclient.h"

enum {
	TABLECLIENT_TIMEOUT_MS = 5000,
};

static size_t on_write(char *buf, size_t size, size_t n, void *arg)
{
	g_byte_array_append(arg, (const uint8_t *)buf, (guint)(size * n));
	return size * n;
}

/* Sends @body by POST, or GETs if it is NULL. */
static GByteArray *fetch(const char *url, const GByteArray *body,
			 GString *errors)
{
	CURL *easy = curl_easy_init();
	GByteArray *answer = g_byte_array_new();
	long status = 0;
	CURLcode code;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)TABLECLIENT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	if (body != NULL) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)body->len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 (const char *)body->data);
	}
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	if (code == CURLE_OK && status == 200)
		return answer;
	if (code != CURLE_OK)
		g_string_append_printf(errors, "%s: %s\n", url,
				       curl_easy_strerror(code));
	else
		g_string_append_printf(errors, "%s: status %ld\n", url, status);
	g_byte_array_unref(answer);
	return NULL;
}

char *tableclient_fetch(const char *url, GString *errors)
{
	GByteArray *answer = fetch(url, NULL, errors);
	char *text;

	if (answer == NULL)
		return NULL;
	text = g_strndup((const char *)answer->data, answer->len);
	g_byte_array_unref(answer);
	return text;
}

Aps__TableReply *tableclient_request(const char *platform,
				     const Aps__TableRequest *request,
				     GString *errors)
{
	char *url = g_strdup_printf("%s/table", platform);
	GByteArray *body = g_byte_array_new();
	GByteArray *answer;
	Aps__TableReply *reply = NULL;

	g_byte_array_set_size(
		body, (guint)aps__table_request__get_packed_size(request));
	aps__table_request__pack(request, body->data);
	answer = fetch(url, body, errors);
	if (answer != NULL) {
		reply = aps__table_reply__unpack(NULL, answer->len,
						 answer->data);
		if (reply == NULL)
			g_string_append_printf(errors, "%s: malformed reply\n",
					       url);
		g_byte_array_unref(answer);
	}
	g_byte_array_unref(body);
	g_free(url);
	return reply;
}

Aps__TableReply *tableclient_get(const char *platform, const char *key,
				 GString *errors)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	char *keys = (char *)key;

	request.op = APS__TABLE_REQUEST__OP__GET;
	request.n_keys = 1;
	request.keys = &keys;
	return tableclient_request(platform, &request, errors);
}
