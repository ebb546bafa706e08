/**
 * @file link_check.h
 * @brief Checks the links of this instance to the backend servers.
 *
 * Opens connections without a request to servers whose links are lost or
 * silent (see decide/links.h), and closes them again.
 */
#ifndef APS_LINK_CHECK_H
#define APS_LINK_CHECK_H

#include <event2/event.h>

#include "decide/fleet.h"
#include "decide/links.h"

struct lchk;

struct lchk *lchk_create(struct event_base *base, struct fleet *fleet,
			 struct links *links);
void lchk_destroy(struct lchk *lchk);

/** Records that a connection to @p server was established. */
void lchk_on_connected(struct lchk *lchk, const char *server);
/** Records that a connection to @p server was not established. */
void lchk_on_failed(struct lchk *lchk, const char *server);

#endif
