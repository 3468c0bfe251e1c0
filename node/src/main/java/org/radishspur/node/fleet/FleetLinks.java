package org.radishspur.node.fleet;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.radishspur.node.log.PartLog;
import org.radishspur.node.peer.PeerCodec;
import org.radishspur.node.settings.HostPort;

/**
 * Keeps one connection to each wanted address and sends messages over it.
 *
 * <p>A connection that has fallen silent for good is found by {@link LinkHealth} and made anew.
 */
public final class FleetLinks implements FleetSender, AutoCloseable {
    /** How long making a connection may take, in milliseconds; the longest ways take some ten. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** How long to wait before the next attempt, in milliseconds; short beside an election. */
    private static final long RECONNECT_MILLIS = 60;

    /** How often links are looked after, in milliseconds. */
    private static final long HEALTH_CHECK_INTERVAL_MILLIS = 300;

    /** So many messages are written with one call at most, in the order in which they were sent in one turn of the loop. */
    static final int MAX_UNFLUSHED_MESSAGES = 64;

    /** How many bytes may wait for a peer that does not read; beyond them the connection is made anew. */
    private static final int MAX_BACKLOG_BYTES = 32 << 20;

    private final EventLoop loop;
    private final FleetInbox inbox;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final ScheduledFuture<?> care;
    private volatile String watchedAddress = "";
    private volatile boolean closed;

    /**
     * Creates links to nobody.
     *
     * @param loop the thread of the transport.
     * @param inbox receives what comes over the links.
     */
    public FleetLinks(EventLoop loop, FleetInbox inbox) {
        this.loop = loop;
        this.inbox = inbox;
        this.care = loop.scheduleAtFixedRate(
                this::care, HEALTH_CHECK_INTERVAL_MILLIS, HEALTH_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the addresses to which connections are kept.
     *
     * @param addresses the wanted addresses; links to others are closed.
     */
    public void setAddresses(Set<String> addresses) {
        links.forEach((address, link) -> {
            if (!addresses.contains(address)) {
                links.remove(address);
                link.remove();
            }
        });
        for (String address : addresses) {
            if (!closed && !links.containsKey(address)) {
                Link link = new Link(address);
                links.put(address, link);
                loop.execute(link::connect);
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void send(String address, FleetMessage message) {
        Link link = links.get(address);
        if (link != null) {
            link.send(message);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void send(Collection<String> addresses, FleetMessage message) {
        ByteBuf encoded = PeerCodec.encode(message, FleetMessage.class);
        try {
            for (String address : addresses) {
                Link link = links.get(address);
                if (link != null) {
                    link.sendEncoded(encoded.retainedDuplicate());
                }
            }
        } finally {
            encoded.release();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void attend(String address) {
        watchedAddress = address;
    }

    /** {@inheritDoc} */
    @Override
    public int connection(String address) {
        Link link = links.get(address);
        return link == null || link.channel == null ? 0 : link.connectionCount;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        closed = true;
        care.cancel(false);
        links.values().forEach(Link::remove);
        links.clear();
    }

    private void care() {
        long now = Moment.steadyNow();
        links.values().forEach(link -> link.checkHealth(now));
    }

    /**
     * Keeps one connection.
     */
    private final class Link extends SimpleChannelInboundHandler<FleetMessage> implements FleetInbox.Sender {
        private final String address;
        private volatile Channel channel;
        private volatile int connectionCount;
        private volatile boolean removed;
        private final LinkHealth health = new LinkHealth();

        Link(String address) {
            this.address = address;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isSharable() {
            return true;
        }

        void connect() {
            if (removed || closed) {
                return;
            }
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(
                            ChannelOption.WRITE_BUFFER_WATER_MARK,
                            new WriteBufferWaterMark(MAX_BACKLOG_BYTES / 2, MAX_BACKLOG_BYTES))
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel made) {
                            made.pipeline().addLast(new FlushConsolidationHandler(MAX_UNFLUSHED_MESSAGES, true));
                            PeerCodec.install(made, FleetServer.MAX_FRAME_BYTES, FleetMessage.class);
                            made.pipeline().addLast(Link.this);
                        }
                    })
                    .connect(HostPort.parse(address).toSocketAddress())
                    .addListener((ChannelFuture future) -> {
                        if (!future.isSuccess()) {
                            scheduleReconnect();
                        }
                    });
        }

        /** {@inheritDoc} */
        @Override
        public void send(FleetMessage message) {
            sendEncoded(message);
        }

        /** {@inheritDoc} */
        @Override
        public void sendShared(ByteBuf encoded) {
            sendEncoded(encoded.retainedDuplicate());
        }

        /** {@inheritDoc} */
        @Override
        public String peer() {
            return address;
        }

        /** {@inheritDoc} */
        @Override
        public long silentMillis() {
            return health.silentMillis(Moment.steadyNow());
        }

        /** Sends a message, or the bytes of an encoded one. */
        void sendEncoded(Object message) {
            health.onSent(Moment.steadyNow());
            write(message);
        }

        private void write(Object message) {
            Channel present = channel;
            if (present == null) {
                ReferenceCountUtil.release(message);
                return;
            }
            // Guards against filling the memory with messages for a process that has frozen but whose connection
            // stands.
            if (!present.isWritable()) {
                ReferenceCountUtil.release(message);
                present.close();
                return;
            }
            present.writeAndFlush(message, present.voidPromise());
        }

        void checkHealth(long now) {
            Channel present = channel;
            if (present == null) {
                return;
            }
            switch (health.nextAction(address.equals(watchedAddress), now)) {
                case PING -> write(new FleetMessage.Ping());
                case RECONNECT -> {
                    PartLog.PEER.info("The link to " + address + " is silent and is made anew.");
                    present.close();
                }
                default -> {}
            }
        }

        void remove() {
            removed = true;
            Channel present = channel;
            if (present != null) {
                present.close();
            }
        }

        private void scheduleReconnect() {
            if (!removed && !closed && !loop.isShuttingDown()) {
                loop.schedule(this::connect, RECONNECT_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void channelActive(ChannelHandlerContext context) {
            health.onOpened(Moment.steadyNow());
            connectionCount++;
            channel = context.channel();
            if (removed) {
                context.close();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            channel = null;
            scheduleReconnect();
            inbox.onClosed(this);
        }

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, FleetMessage message) {
            health.onReceived(Moment.steadyNow());
            if (!(message instanceof FleetMessage.Pong)) {
                inbox.onMessage(this, message);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
