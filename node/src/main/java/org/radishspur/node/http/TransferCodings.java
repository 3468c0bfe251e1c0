package org.radishspur.node.http;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;

/**
 * Tells which codings of a body can be decoded: chunks, once. The field that states a coding holds for one connection, so a
 * body in another one would lose it on its way.
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
