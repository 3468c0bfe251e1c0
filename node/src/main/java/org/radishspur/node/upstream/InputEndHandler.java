package org.radishspur.node.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Closes a connection whose other end has closed it in order, after the decoder has ended a response without a length.
 *
 * <p>The close of a channel doesn't show why it was closed: a reset may show as a failed write only. The event that the
 * other end has shut down its output is the only proof of an orderly end.
 */
final class InputEndHandler extends ChannelInboundHandlerAdapter {
    private final Runnable onOrderlyEnd;

    InputEndHandler(Runnable onOrderlyEnd) {
        this.onOrderlyEnd = onOrderlyEnd;
    }

    /** {@inheritDoc} */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        boolean inputEnded = event instanceof ChannelInputShutdownEvent;
        if (inputEnded) {
            onOrderlyEnd.run();
        }
        context.fireUserEventTriggered(event);
        if (inputEnded) {
            context.close();
        }
    }
}
