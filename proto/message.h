/**
 * @file message.h
 * @brief Packs and copies protobuf-c messages of any type.
 */
#ifndef APS_MESSAGE_H
#define APS_MESSAGE_H

#include <protobuf-c/protobuf-c.h>

#include <glib.h>

/** Packs @p msg; g_free() the result. @p len receives its length in bytes. */
static inline uint8_t *msg_pack(const ProtobufCMessage *msg, size_t *len)
{
	uint8_t *buf;

	*len = protobuf_c_message_get_packed_size(msg);
	buf = (uint8_t *)g_malloc(*len + 1);
	protobuf_c_message_pack(msg, buf);
	return buf;
}

/** Returns a deep copy of @p msg; protobuf_c_message_free_unpacked() it. */
static inline void *msg_dup(const ProtobufCMessage *msg)
{
	size_t len;
	uint8_t *buf = msg_pack(msg, &len);
	void *copy = protobuf_c_message_unpack(msg->descriptor, NULL, len, buf);

	g_free(buf);
	return copy;
}

#endif
