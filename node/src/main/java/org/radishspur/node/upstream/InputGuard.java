package org.radishspur.node.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes bytes of an upstream on to the decoder only while a response is due, and closes a connection whose other end has
 * closed it in order.
 *
 * <p>The decoder would keep the beginning of a response that it isn't given the rest of, and read the next response as its
 * continuation. The close of a channel doesn't show why it was closed, as a reset may show as a failed write only: the event
 * that the other end has shut down its output is the only proof of an orderly end.
 */
final class InputGuard extends ChannelInboundHandlerAdapter {
    private final Connection connection;

    InputGuard(Connection connection) {
        this.connection = connection;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (connection.isResponseDue()) {
            context.fireChannelRead(bytes);
        } else {
            ReferenceCountUtil.release(bytes);
            connection.onUnexpectedBytes();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        boolean inputEnded = event instanceof ChannelInputShutdownEvent;
        if (inputEnded) {
            connection.onOrderlyEnd();
        }
        // Lets the decoder end a response without a length.
        context.fireUserEventTriggered(event);
        if (inputEnded) {
            context.close();
        }
    }

    /**
     * Is the connection that the bytes belong to.
     */
    interface Connection {
        /** Returns whether the request was sent and its response isn't complete. */
        boolean isResponseDue();

        /** Invoked when the upstream has sent bytes while no response was due, which are discarded. */
        void onUnexpectedBytes();

        /** Invoked when the upstream has closed the connection in order, before a response ends because of that. */
        void onOrderlyEnd();
    }
}
