package org.radishspur.node.fleet;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Records the messages that are sent over a connection, for tests.
 */
public final class RecordingSender implements FleetInbox.Sender {
    private final String peer;
    private int sharedCount;
    private final List<FleetMessage> sent = new ArrayList<>();

    /**
     * Creates a sender without recorded messages.
     *
     * @param peer the name of the other end.
     */
    public RecordingSender(String peer) {
        this.peer = peer;
    }

    /**
     * Returns the messages that were sent, except shared ones.
     *
     * @return the messages in the order in which they were sent.
     */
    public List<FleetMessage> sent() {
        return sent;
    }

    /** {@inheritDoc} */
    @Override
    public void send(FleetMessage message) {
        sent.add(message);
    }

    /** {@inheritDoc} */
    @Override
    public void sendShared(ByteBuf encoded) {
        sharedCount++;
    }

    /**
     * Returns how many shared messages were sent.
     *
     * @return the number of messages.
     */
    public int sharedCount() {
        return sharedCount;
    }

    /** {@inheritDoc} */
    @Override
    public String peer() {
        return peer;
    }

    /** {@inheritDoc} */
    @Override
    public long silentMillis() {
        return 0;
    }
}
