package org.radishspur.node.fleet;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.peer.PeerCodec;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.transport.ClientSocket;

/**
 * Keeps one connection open to each of a set of addresses and sends messages over it.
 *
 * <p>A connection over which nothing is received any more is detected by {@link LinkHealth} and replaced.
 */
public final class FleetLinks implements FleetSender, AutoCloseable {
    /** The connect timeout in milliseconds; connecting over the longest network path takes about ten. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** The delay before the next attempt to connect, in milliseconds; short compared with an election. */
    private static final long RECONNECT_MILLIS = 60;

    /** The interval between health checks of the links, in milliseconds. */
    private static final long HEALTH_CHECK_INTERVAL_MILLIS = 300;

    /**
     * The maximum number of messages that are flushed together, in the order in which one iteration of the event loop
     * sent them.
     */
    static final int MAX_UNFLUSHED_MESSAGES = 64;

    /** The maximum backlog of unsent bytes for a peer that doesn't read; beyond it the connection is replaced. */
    private static final int MAX_BACKLOG_BYTES = 32 << 20;

    private final EventLoop loop;
    private final FleetInbox inbox;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final PauseDetector pauses = new PauseDetector(HEALTH_CHECK_INTERVAL_MILLIS);
    private final ScheduledFuture<?> healthChecks;
    private volatile String watchedAddress = "";
    private volatile boolean closed;

    /**
     * Creates links without any address.
     *
     * @param loop the transport thread.
     * @param inbox receives the messages that arrive over the links.
     */
    public FleetLinks(EventLoop loop, FleetInbox inbox) {
        this.loop = loop;
        this.inbox = inbox;
        pauses.onStarted(Moment.monotonicNow());
        this.healthChecks = loop.scheduleAtFixedRate(
                this::checkHealth, HEALTH_CHECK_INTERVAL_MILLIS, HEALTH_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the addresses to which connections are kept open.
     *
     * @param addresses the addresses; links to all others are closed.
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
    public void setWatchedAddress(String address) {
        watchedAddress = address;
    }

    /** {@inheritDoc} */
    @Override
    public int connectionCount(String address) {
        Link link = links.get(address);
        return link == null || link.channel == null ? 0 : link.connectionCount;
    }

    /** {@inheritDoc} */
    @Override
    public long answeredAt(String address) {
        Link link = links.get(address);
        return link == null ? Long.MIN_VALUE : link.health.answeredAt();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        closed = true;
        healthChecks.cancel(false);
        links.values().forEach(Link::remove);
        links.clear();
    }

    private void checkHealth() {
        long now = Moment.monotonicNow();
        if (!pauses.onFired(now)) {
            links.values().forEach(link -> link.checkHealth(now));
        }
    }

    /**
     * Keeps the connection to one address open.
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
            ClientSocket.INSTANCE
                    .connectForMessages(
                            HostPort.parse(address), loop, CONNECT_TIMEOUT_MILLIS, MAX_BACKLOG_BYTES, connected -> {
                                connected
                                        .pipeline()
                                        .addLast(new FlushConsolidationHandler(MAX_UNFLUSHED_MESSAGES, true));
                                PeerCodec.install(connected, FleetServer.MAX_FRAME_BYTES, FleetMessage.class);
                                connected.pipeline().addLast(this);
                            })
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
            return health.silentMillis(Moment.monotonicNow());
        }

        /** Sends a message, or the bytes of an encoded one. */
        void sendEncoded(Object message) {
            health.onSent(Moment.monotonicNow());
            write(message);
        }

        private void write(Object message) {
            Channel current = channel;
            if (current == null) {
                ReferenceCountUtil.release(message);
                return;
            }
            // Guards against filling the memory with messages for a process that is frozen while its connection stays
            // open.
            if (!current.isWritable()) {
                ReferenceCountUtil.release(message);
                current.close();
                return;
            }
            current.writeAndFlush(message, current.voidPromise());
        }

        void checkHealth(long now) {
            Channel current = channel;
            if (current == null) {
                return;
            }
            switch (health.nextAction(address.equals(watchedAddress), now)) {
                case PING -> write(new FleetMessage.Ping());
                case RECONNECT -> {
                    ComponentLog.PEER.info("No answer from " + address + "; the connection is replaced.");
                    current.close();
                }
                default -> {}
            }
        }

        void remove() {
            removed = true;
            Channel current = channel;
            if (current != null) {
                current.close();
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
            health.onOpened(Moment.monotonicNow());
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
            health.onReceived(Moment.monotonicNow());
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
