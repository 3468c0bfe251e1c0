package org.radishspur.node.http;

import java.net.ProtocolException;

/**
 * States that bytes are no message of HTTP/1.1.
 */
public final class MalformedMessageException extends ProtocolException {
    private static final long serialVersionUID = 1;

    private final MessageFault fault;

    /**
     * Creates an exception.
     *
     * @param fault what is wrong with the message.
     */
    public MalformedMessageException(MessageFault fault) {
        super("not HTTP/1.1: " + fault.code());
        this.fault = fault;
    }

    /**
     * Returns what is wrong with the message.
     *
     * @return the fault.
     */
    public MessageFault fault() {
        return fault;
    }
}
