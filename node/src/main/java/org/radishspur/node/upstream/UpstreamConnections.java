package org.radishspur.node.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import org.radishspur.node.relay.RelayDialer;
import org.radishspur.node.relay.RelayMessage;
import org.radishspur.node.transport.ClientSocket;

/**
 * Holds the connections of one traffic thread to all upstreams, and starts exchanges on idle or new ones. As each
 * traffic thread has an instance of its own, an exchange runs on the thread of its caller.
 *
 * <p>Where the direct path to an upstream is broken, connections are made through another host, if one relays.
 */
public final class UpstreamConnections implements UpstreamExchange.Factory {
    /** The sizes between which buffers for reads are chosen, and the first one, in bytes; Netty's defaults. */
    private static final int MIN_READ_BYTES = 64;

    private static final int INITIAL_READ_BYTES = 2_048;

    private final EventLoop loop;
    private final int connectMillis;
    private final long keepMillis;
    private final UpstreamPaths paths;
    private final RelayDialer dialer;
    private Optional<RecvByteBufAllocator> readSizes = Optional.empty();
    private final Map<String, Deque<Idle>> directIdle = new HashMap<>();
    private final Map<String, Deque<Idle>> relayedIdle = new HashMap<>();
    private int connectionCount;

    /**
     * Creates an empty set of direct connections.
     *
     * @param loop the event loop of the traffic thread, on which every method must be called.
     * @param connectMillis the maximum time to connect to an upstream, in milliseconds.
     * @param keepMillis the maximum time that an idle connection is kept, in milliseconds; an upstream may state less.
     */
    public UpstreamConnections(EventLoop loop, long connectMillis, long keepMillis) {
        this(loop, connectMillis, keepMillis, UpstreamPaths.DirectOnly.INSTANCE);
    }

    /**
     * Creates an empty set of connections.
     *
     * @param loop the event loop of the traffic thread, on which every method must be called.
     * @param connectMillis the maximum time to connect to an upstream, in milliseconds.
     * @param keepMillis the maximum time that an idle connection is kept, in milliseconds; an upstream may state less.
     * @param paths states which direct paths are broken and which hosts relay.
     */
    public UpstreamConnections(EventLoop loop, long connectMillis, long keepMillis, UpstreamPaths paths) {
        this.loop = loop;
        this.connectMillis = (int) connectMillis;
        this.keepMillis = keepMillis;
        this.paths = paths;
        this.dialer = new RelayDialer(loop, connectMillis);
    }

    /**
     * Limits the bytes of each read on direct connections that are made from now on.
     *
     * @param bytes the maximum, in bytes.
     */
    public void setMaxReadBytes(int bytes) {
        readSizes = Optional.of(
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, bytes).maxMessagesPerRead(1));
    }

    /** {@inheritDoc} */
    @Override
    public UpstreamExchange open(UpstreamCall call, UpstreamListener listener) {
        String address = call.address();
        Target direct = new Target(address, false);
        if (paths.isBroken(address)) {
            closeIdle(direct);
        }
        Optional<Idle> kept = takeIdle(direct, call.identity());
        boolean directAllowed =
                kept.isPresent() || !paths.isBrokenForNew(address) || paths.takeTrial(address, call.repeatable());
        if (kept.isEmpty() && !directAllowed && call.relayable()) {
            kept = takeIdle(new Target(address, true), call.identity());
        }
        if (kept.isPresent()) {
            UpstreamConnection connection = kept.get().connection();
            connection.begin(kept.get().channel(), call.identity(), listener);
            loop.execute(listener::onConnected);
            return connection;
        }
        Target target = new Target(address, !directAllowed && call.relayable());
        UpstreamConnection connection = new UpstreamConnection(this, ++connectionCount, target);
        if (directAllowed) {
            connectDirectly(connection, call, listener);
        } else if (!call.relayable()) {
            loop.execute(listener::onConnectFailed);
        } else {
            connectThroughRelay(connection, call, listener);
        }
        return connection;
    }

    /** Returns the idle connections of one kind by the addresses of their upstreams. */
    private Map<String, Deque<Idle>> idle(Target target) {
        return target.relayed() ? relayedIdle : directIdle;
    }

    /** Takes the connection that became idle last and may carry a request, and closes those that were idle too long. */
    private Optional<Idle> takeIdle(Target target, RequestIdentity request) {
        Deque<Idle> candidates = idle(target).getOrDefault(target.address(), new ArrayDeque<>());
        List<Idle> unusable = new ArrayList<>();
        Optional<Idle> taken = Optional.empty();
        for (Iterator<Idle> newestFirst = candidates.descendingIterator(); taken.isEmpty() && newestFirst.hasNext(); ) {
            Idle candidate = newestFirst.next();
            if (!candidate.channel().isActive() || System.nanoTime() >= candidate.keepUntilNanos()) {
                newestFirst.remove();
                unusable.add(candidate);
            } else if (candidate.connection().mayCarry(request)) {
                newestFirst.remove();
                taken = Optional.of(candidate);
            }
        }
        unusable.forEach(each -> each.channel().close());
        return taken;
    }

    private void closeIdle(Target target) {
        Deque<Idle> closed = idle(target).remove(target.address());
        if (closed != null) {
            closed.forEach(each -> each.channel().close());
        }
    }

    /** Makes a connection available for reuse, for a time in milliseconds that the upstream has stated. */
    void returnIdle(Target target, UpstreamConnection connection, Channel channel, long maxIdleMillis) {
        long keepUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.min(keepMillis, maxIdleMillis));
        idle(target)
                .computeIfAbsent(target.address(), key -> new ArrayDeque<>())
                .addLast(new Idle(connection, channel, keepUntilNanos));
        // A pending read detects that the upstream closes the idle connection, before it is reused.
        channel.read();
    }

    /** Removes a closed connection. */
    void remove(Target target, UpstreamConnection connection) {
        Deque<Idle> candidates = idle(target).get(target.address());
        if (candidates != null) {
            candidates.removeIf(candidate -> candidate.connection() == connection);
            if (candidates.isEmpty()) {
                idle(target).remove(target.address());
            }
        }
    }

    UpstreamPaths paths() {
        return paths;
    }

    private void connectDirectly(UpstreamConnection connection, UpstreamCall call, UpstreamListener listener) {
        String address = call.address();
        ClientSocket.INSTANCE
                .connect(address, loop, connectMillis, channel -> {
                    channel.config().setAllowHalfClosure(true);
                    readSizes.ifPresent(channel.config()::setRecvByteBufAllocator);
                })
                .addListener((ChannelFuture future) -> {
                    if (future.isSuccess()) {
                        paths.recordConnected(address);
                        begin(connection, future.channel(), call, listener);
                        return;
                    }
                    paths.recordConnectFailure(address);
                    if (call.relayable() && paths.isBrokenForNew(address)) {
                        connection.setTarget(new Target(address, true));
                        connectThroughRelay(connection, call, listener);
                    } else {
                        listener.onConnectFailed();
                    }
                });
    }

    /**
     * Adds the handlers to a new channel and begins the exchange. Netty adds a handler to one channel only, so it must not be
     * added to the direct channel before that is connected: the relayed one may be used instead.
     */
    private static void begin(
            UpstreamConnection connection, Channel channel, UpstreamCall call, UpstreamListener listener) {
        connection.install(channel);
        connection.begin(channel, call.identity(), listener);
        listener.onConnected();
    }

    /** Connects through one of some hosts. Where the upstream refuses these as well, it is itself at fault. */
    private void connectThroughRelay(UpstreamConnection connection, UpstreamCall call, UpstreamListener listener) {
        dialer.dial(paths.relays(), call.address(), new RelayDialer.Listener() {
            @Override
            public void onOpened(Channel channel) {
                begin(connection, channel, call, listener);
            }

            @Override
            public void onFailed(RelayMessage.Result result) {
                if (result == RelayMessage.Result.REFUSED) {
                    paths.recordUpstreamDown(call.address());
                }
                listener.onConnectFailed();
            }
        });
    }

    /**
     * Where connections lead.
     *
     * @param address the address of the upstream.
     * @param relayed whether they are made through another host.
     */
    record Target(String address, boolean relayed) {}

    /**
     * An idle connection.
     *
     * @param connection the handler of the connection.
     * @param channel the channel of the connection.
     * @param keepUntilNanos until when it may be reused, by {@link System#nanoTime()}.
     */
    private record Idle(UpstreamConnection connection, Channel channel, long keepUntilNanos) {}
}
