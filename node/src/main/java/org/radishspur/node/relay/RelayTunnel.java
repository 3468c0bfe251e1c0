package org.radishspur.node.relay;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Lets the handlers behind it use a connection to a relaying host as if it were one to the upstream.
 */
final class RelayTunnel extends ChannelDuplexHandler {
    private final String upstream;
    private final Listener listener;
    private ChannelHandlerContext context;
    private State state = State.OPENING;

    RelayTunnel(String upstream, Listener listener) {
        this.upstream = upstream;
        this.listener = listener;
    }

    /** {@inheritDoc} */
    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        context.writeAndFlush(new RelayMessage.Open(upstream));
        context.read();
    }

    void onTimeout() {
        fail(RelayMessage.Result.DECLINED);
    }

    /** Ends the opening without a connection, unless it has ended before. */
    void fail(RelayMessage.Result result) {
        if (state == State.OPENING) {
            state = State.ENDED;
            if (context != null) {
                context.close();
            }
            listener.onFailed(result);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext source, Object message) {
        if (message instanceof RelayMessage.Opened opened && state == State.OPENING) {
            if (opened.result() == RelayMessage.Result.CONNECTED) {
                state = State.OPEN;
                listener.onOpened(source.channel());
            } else {
                fail(opened.result());
            }
        } else if (message instanceof RelayMessage.Data data && state == State.OPEN) {
            source.fireChannelRead(Unpooled.wrappedBuffer(data.bytes()));
        } else if (message instanceof RelayMessage.End && state == State.OPEN) {
            state = State.ENDED;
            // The handlers behind this close the connection, as they may still be writing the request.
            source.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void write(ChannelHandlerContext target, Object message, ChannelPromise promise) {
        if (!(message instanceof ByteBuf bytes)) {
            target.write(message, promise);
            return;
        }
        while (bytes.readableBytes() > RelayMessage.Data.MAX_BYTES) {
            byte[] part = ByteBufUtil.getBytes(bytes.readSlice(RelayMessage.Data.MAX_BYTES));
            target.write(new RelayMessage.Data(part), target.voidPromise());
        }
        target.write(new RelayMessage.Data(ByteBufUtil.getBytes(bytes)), promise);
        bytes.release();
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext source) {
        if (state == State.OPEN) {
            // The relaying host was lost, or the upstream's connection was: a response without a length isn't complete.
            state = State.ENDED;
            source.fireExceptionCaught(new IOException("the relayed connection was lost"));
        }
        fail(RelayMessage.Result.DECLINED);
        source.fireChannelInactive();
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext source, Throwable cause) {
        if (state == State.OPEN) {
            state = State.ENDED;
            source.fireExceptionCaught(cause);
        }
        source.close();
    }

    /** The states of a relayed connection. */
    private enum State {
        /** The upstream isn't connected yet. */
        OPENING,
        /** Bytes are passed on. */
        OPEN,
        /** The input or the connection has ended. */
        ENDED
    }

    /**
     * Receives the outcome of the opening.
     */
    interface Listener {
        /** Invoked when the upstream is connected. */
        void onOpened(Channel channel);

        /** Invoked when the host has not connected to the upstream. */
        void onFailed(RelayMessage.Result result);
    }
}
