package org.radishspur.node.fleet;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Stands for the other end of a connection, and keeps what is sent to it.
 */
public final class RecordingSender implements FleetInbox.Sender {
    private final String peer;
    private int sharedCount;
    private final List<FleetMessage> sent = new ArrayList<>();

    /**
     * Creates an end to which nothing was sent.
     *
     * @param peer its name.
     */
    public RecordingSender(String peer) {
        this.peer = peer;
    }

    /**
     * Returns what was sent.
     *
     * @return the messages in order.
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
     * Counts what was sent as shared bytes.
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
