package org.radishspur.node.http;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;

/**
 * Checks the transfer codings of a body; only chunked, once, is decoded. Transfer-Encoding is a hop-by-hop header, so a body in
 * another coding would be forwarded without it.
 */
public enum TransferCodings {
    /** The only instance; it has no state. */
    INSTANCE;

    /**
     * Returns whether the body of a message can be decoded.
     *
     * @param message the head of the message.
     * @return whether it states chunks or no coding.
     */
    public boolean areKnown(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
    }
}
