/**
 * The syntax of the heads of HTTP/1.1 messages, by RFC 9110 and RFC 9112, for all readers of responses and requests.
 * Netty's decoders accept more than that, and drop what doesn't fit.
 */
package org.radishspur.node.http;
