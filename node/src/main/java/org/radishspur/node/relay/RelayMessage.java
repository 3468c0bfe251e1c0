package org.radishspur.node.relay;

/**
 * A message on a connection between a host that is cut off from an upstream and the host that relays for it.
 *
 * <p>A message is encoded with the index of its type in the order of declaration, and as an array of its components in
 * their order. Neither order may change.
 */
public sealed interface RelayMessage {
    /**
     * Requests a connection to an upstream; the first message.
     *
     * @param upstream the address of the upstream.
     */
    record Open(String upstream) implements RelayMessage {}

    /**
     * Responds to {@link Open}.
     *
     * @param result whether the upstream is connected.
     */
    record Opened(Result result) implements RelayMessage {}

    /**
     * Carries bytes from or to the upstream.
     *
     * @param bytes the bytes.
     */
    record Data(byte[] bytes) implements RelayMessage {
        /** The maximum number of bytes that one message carries. */
        static final int MAX_BYTES = 64 << 10;

        /** The maximum size of a frame in bytes: the bytes and the encoding around them. */
        static final int MAX_FRAME_BYTES = MAX_BYTES + 1_024;
    }

    /** States that the upstream has closed its connection, so that no byte is missing. */
    record End() implements RelayMessage {}

    /** The results of a request for a connection. */
    enum Result {
        /** The upstream has accepted the connection. */
        CONNECTED,
        /** The upstream's host refuses connections at this address. */
        REFUSED,
        /** The upstream has not answered in time. */
        UNREACHABLE,
        /** This host doesn't relay to this upstream now. */
        DECLINED
    }
}
