package org.radishspur.node.transport;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A TCP connection that can tell whether it was reset after its input had ended. Once a read has reported that end, no
 * later read fails, and there may be nothing left to write.
 */
public final class ResetSensingChannel extends NioSocketChannel {
    /**
     * How long after the end of its input a connection may be reset by the same close, in milliseconds. A runtime that ends
     * its output and then closes does both at once; the rest is for a busy host.
     */
    public static final long RESET_DELAY_MILLIS = 20;

    /**
     * Returns whether a connection was reset.
     *
     * @param channel the connection, whose output is open.
     * @return whether it is known to have been reset; never for other kinds of connections.
     */
    public static boolean isReset(Channel channel) {
        return channel instanceof ResetSensingChannel sensing && (!sensing.isActive() || sensing.hasError());
    }

    /** Returns whether an error is pending, which a selector reports for the interest in a connect. */
    private boolean hasError() {
        try (Selector selector = Selector.open()) {
            javaChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException exception) {
            // The connection was closed, or its state can't be known.
            return true;
        }
    }
}
