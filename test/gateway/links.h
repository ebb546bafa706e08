/**
 * @file links.h
 * @brief Links of instance 0 to the backend servers, which can fail.
 *
 * Instance 0 reaches the servers of the fixture through proxies on other
 * addresses; instance 1 reaches them directly.
 */
#ifndef APS_TEST_LINKS_H
#define APS_TEST_LINKS_H

/** How the links fail. */
enum link_fault {
	LINK_REFUSES, /**< new connections are refused, and kept ones closed */
	LINK_HANGS,   /**< new connections are never established */
};

struct links;

/** Opens the links; servers must be listed anew after that. */
struct links *links_open(void);
void links_cut(struct links *links, enum link_fault fault);
void links_restore(struct links *links);
void links_close(struct links *links);

#endif
