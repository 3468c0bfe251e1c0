package org.radishspur.node.upstream;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import org.radishspur.node.transport.ResetSensingChannel;

/**
 * Passes bytes of an upstream on to the decoder only while a response is due, and closes a connection whose other end has
 * closed it in order.
 *
 * <p>The decoder would keep the beginning of a response that it isn't given the rest of, and read the next response as its
 * continuation. The close of a channel doesn't show why it was closed, as a reset may show as a failed write only: the event
 * that the other end has shut down its output is the only proof of an orderly end. Even that proves nothing while bytes of
 * the request may be unread, as the reset of a connection that is closed with unread bytes may follow. So a response that
 * ends with its connection ends once the request has been written, which fails behind a reset, and no reset has come for a
 * moment, as what has been written may still be unread.
 */
final class InputGuard extends ChannelInboundHandlerAdapter {
    private final Connection connection;
    private Optional<ChannelHandlerContext> endedInput = Optional.empty();

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
        if (event instanceof ChannelInputShutdownEvent) {
            endedInput = Optional.of(context);
            endIfRequestWritten();
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    /** Ends the input if it has ended, unless the response ends with it and the request is still being written. */
    void endIfRequestWritten() {
        if (endedInput.isEmpty() || connection.isEndUnproved()) {
            return;
        }
        ChannelHandlerContext context = endedInput.get();
        endedInput = Optional.empty();
        if (connection.mayBeResetAfterEnd()) {
            context.executor()
                    .schedule(
                            () -> endUnlessReset(context),
                            ResetSensingChannel.RESET_DELAY_MILLIS,
                            TimeUnit.MILLISECONDS);
        } else {
            end(context);
        }
    }

    private void endUnlessReset(ChannelHandlerContext context) {
        if (ResetSensingChannel.isReset(context.channel())) {
            context.fireExceptionCaught(new IOException("reset after the end of the input"));
        } else {
            end(context);
        }
    }

    /** Passes on that the input has ended in order, and closes the connection. */
    private void end(ChannelHandlerContext context) {
        connection.onOrderlyEnd();
        // Lets the decoder end a response without a length.
        context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        context.close();
    }

    /**
     * Is the connection that the bytes belong to.
     */
    interface Connection {
        /** Returns whether the request was sent and its response isn't complete. */
        boolean isResponseDue();

        /** Invoked when the upstream has sent bytes while no response was due, which are discarded. */
        void onUnexpectedBytes();

        /** Returns whether a response that ends with the input is due while the request is still being written. */
        boolean isEndUnproved();

        /** Returns whether a reset that follows the end of the input would show that a response which ended with it is cut. */
        boolean mayBeResetAfterEnd();

        /** Invoked when the upstream has closed the connection in order, before a response ends because of that. */
        void onOrderlyEnd();
    }
}
