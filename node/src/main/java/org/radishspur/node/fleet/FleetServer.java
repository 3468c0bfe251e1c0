package org.radishspur.node.fleet;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.ReadTimeoutHandler;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.peer.PeerCodec;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.supervise.Child;
import org.radishspur.node.transport.ServerSocketBinder;

/**
 * Accepts connections from other processes of the platform.
 */
public final class FleetServer implements Child {
    /** The maximum size of a frame in bytes; a catalogue of the maximum size fits easily. */
    static final int MAX_FRAME_BYTES = 32 << 20;

    /**
     * The time in seconds without a message after which a connection is closed; the other end sends a ping at least
     * every two seconds.
     */
    private static final int READ_TIMEOUT_SECONDS = 5;

    private final HostPort address;
    private final EventLoopGroup group;
    private final FleetInbox inbox;
    private Channel channel;

    /**
     * Creates a server that doesn't listen yet.
     *
     * @param address the address to listen on.
     * @param group the transport threads.
     * @param inbox receives the messages.
     */
    public FleetServer(HostPort address, EventLoopGroup group, FleetInbox inbox) {
        this.address = address;
        this.group = group;
        this.inbox = inbox;
    }

    /** {@inheritDoc} */
    @Override
    public void start(FailureListener listener) {
        channel = ServerSocketBinder.INSTANCE.bind(address, group, accepted -> {
            accepted.pipeline()
                    .addLast(new FlushConsolidationHandler(FleetLinks.MAX_UNFLUSHED_MESSAGES, true))
                    .addLast(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS));
            PeerCodec.install(accepted, MAX_FRAME_BYTES, FleetMessage.class);
            accepted.pipeline().addLast(new ConnectionHandler(accepted));
        });
        channel.closeFuture()
                .addListener(future -> listener.onFailure(
                        new RadishspurException(ErrorCode.FRAME_INVALID, "the fleet address stopped listening")));
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Handles the messages of one connection.
     */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<FleetMessage>
            implements FleetInbox.Sender {
        private final Channel connection;
        private long receivedAt = System.nanoTime();

        ConnectionHandler(Channel connection) {
            this.connection = connection;
        }

        /** {@inheritDoc} */
        @Override
        public void send(FleetMessage message) {
            connection.writeAndFlush(message, connection.voidPromise());
        }

        /** {@inheritDoc} */
        @Override
        public void sendShared(ByteBuf encoded) {
            connection.writeAndFlush(encoded.retainedDuplicate(), connection.voidPromise());
        }

        /** {@inheritDoc} */
        @Override
        public String peer() {
            return connection.id().asShortText();
        }

        /** {@inheritDoc} */
        @Override
        public long silentMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - receivedAt);
        }

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, FleetMessage message) {
            receivedAt = System.nanoTime();
            if (message instanceof FleetMessage.Ping) {
                send(new FleetMessage.Pong());
            } else {
                inbox.onMessage(this, message);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            inbox.onClosed(this);
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            ComponentLog.PEER.info(
                    "Closed a connection from " + context.channel().remoteAddress() + ": " + cause + '.');
            context.close();
        }
    }
}
