package org.radishspur.node.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import org.radishspur.node.http.RequestHeadCheck;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.supervise.Child;
import org.radishspur.node.transport.ServerSocketBinder;

/**
 * Accepts the connections of callers while the link has room for them, and closes those that stay idle for too long.
 */
final class FrontServer implements Child {
    /** The maximum size of the request line, and also of all headers, in bytes; the catalogue states a lower limit. */
    private static final int MAX_HEAD_BYTES = 65_536;

    /** The maximum size of a part of a body that the decoder passes on, in bytes. */
    private static final int MAX_CHUNK_BYTES = 16_384;

    /** How often idle connections are checked, in milliseconds. */
    private static final long IDLE_CHECK_MILLIS = 1_000;

    /** How often it is checked whether the link has room again, in milliseconds. */
    private static final long ROOM_CHECK_MILLIS = 50;

    /** How many reads a connection gets before the event loop serves others; Netty's default for connections. */
    private static final int MAX_READS_PER_TURN = 16;

    private final HostPort address;
    private final EventLoop loop;
    private final EntryServices services;
    private final Map<Channel, FrontConnection> connections = new HashMap<>();
    private Channel channel;
    private boolean refusing;
    private volatile boolean stopped;

    FrontServer(HostPort address, EventLoop loop, EntryServices services) {
        this.address = address;
        this.loop = loop;
        this.services = services;
    }

    /** {@inheritDoc} */
    @Override
    public void start(FailureListener listener) {
        stopped = false;
        channel = ServerSocketBinder.INSTANCE.bind(address, loop, this::initialize);
        loop.scheduleAtFixedRate(this::closeIdle, IDLE_CHECK_MILLIS, IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void initialize(SocketChannel accepted) {
        // Reads until the socket is empty, so that a close by the caller is received together with its last request.
        accepted.config()
                .setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator()
                        .respectMaybeMoreData(false)
                        .maxMessagesPerRead(MAX_READS_PER_TURN));
        accepted.pipeline()
                .addLast(new ByteCounter())
                .addLast(new HttpServerCodec(MAX_HEAD_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES))
                .addLast(new RequestHeadCheck())
                .addLast(new FrontConnection(services, FrontServer.this));
    }

    /**
     * Refuses connections until the link has room again. A connection that is refused costs its caller only a moment, and
     * the link nothing, as the caller sends its request to another entry.
     */
    private void refuseUntilLinkHasRoom() {
        if (refusing || stopped) {
            return;
        }
        refusing = true;
        services.metrics().countRefusing();
        channel.close();
        loop.schedule(this::acceptAgain, ROOM_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void acceptAgain() {
        if (stopped) {
            return;
        }
        if (services.linkLoad().isFull()) {
            loop.schedule(this::acceptAgain, ROOM_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        ServerSocketBinder.INSTANCE
                .startBinding(address, loop, this::initialize)
                .addListener((ChannelFuture bound) -> {
                    if (bound.isSuccess()) {
                        channel = bound.channel();
                        refusing = false;
                        closeIfStopped();
                    } else {
                        loop.schedule(this::acceptAgain, ROOM_CHECK_MILLIS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void closeIfStopped() {
        if (stopped) {
            channel.close();
        }
    }

    void add(Channel accepted, FrontConnection connection) {
        connections.put(accepted, connection);
        if (services.linkLoad().isFull()) {
            refuseUntilLinkHasRoom();
        }
    }

    void remove(Channel accepted) {
        connections.remove(accepted);
    }

    int connections() {
        return connections.size();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        stopped = true;
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Stops accepting connections and closes those without a request in progress, in the last phase of a planned stop.
     */
    void stopAccepting() {
        stopped = true;
        channel.close();
        connections.entrySet().stream()
                .filter(entry -> entry.getValue().isIdle())
                .map(Map.Entry::getKey)
                .toList()
                .forEach(Channel::close);
    }

    private void closeIdle() {
        long now = EntryServices.now();
        long maxIdleMillis = services.limits().idleTimeoutMillis();
        connections.entrySet().stream()
                .filter(entry ->
                        entry.getValue().isIdle() && now - entry.getValue().idleSince() > maxIdleMillis)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(Channel::close);
    }

    /** Counts the bytes that one connection brings. */
    private final class ByteCounter extends ChannelInboundHandlerAdapter {
        /** {@inheritDoc} */
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            int bytes = ((ByteBuf) message).readableBytes();
            context.fireChannelRead(message);
            if (services.linkLoad().add(bytes)) {
                refuseUntilLinkHasRoom();
            }
        }
    }
}
