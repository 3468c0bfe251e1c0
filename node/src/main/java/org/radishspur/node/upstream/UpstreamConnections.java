package org.radishspur.node.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import org.radishspur.node.settings.HostPort;

/**
 * Holds the connections of one traffic thread to all upstreams, and starts exchanges on idle or new ones. As each
 * traffic thread has an instance of its own, an exchange runs on the thread of its caller.
 */
public final class UpstreamConnections implements UpstreamExchange.Factory {
    private final EventLoop loop;
    private final int connectMillis;
    private final long keepMillis;
    private final Map<String, Deque<Idle>> idle = new HashMap<>();

    /**
     * Creates an empty set of connections.
     *
     * @param loop the event loop of the traffic thread, on which every method must be called.
     * @param connectMillis the maximum time to connect to an upstream, in milliseconds.
     * @param keepMillis the maximum time that an idle connection is kept, in milliseconds; an upstream may state less.
     */
    public UpstreamConnections(EventLoop loop, long connectMillis, long keepMillis) {
        this.loop = loop;
        this.connectMillis = (int) connectMillis;
        this.keepMillis = keepMillis;
    }

    /** {@inheritDoc} */
    @Override
    public UpstreamExchange open(String address, UpstreamListener listener) {
        Deque<Idle> candidates = idle.getOrDefault(address, new ArrayDeque<>());
        while (!candidates.isEmpty()) {
            Idle candidate = candidates.removeLast();
            if (candidate.channel().isActive() && System.nanoTime() < candidate.keepUntilNanos()) {
                candidate.connection().begin(candidate.channel(), listener);
                loop.execute(listener::onConnected);
                return candidate.connection();
            }
            candidate.channel().close();
        }
        return connect(address, listener);
    }

    /** Makes a connection available for reuse, for a time in milliseconds that the upstream has stated. */
    void returnIdle(String address, UpstreamConnection connection, Channel channel, long maxIdleMillis) {
        long keepUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.min(keepMillis, maxIdleMillis));
        idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addLast(new Idle(connection, channel, keepUntilNanos));
        // A pending read detects that the upstream closes the idle connection, before it is reused.
        channel.read();
    }

    /** Removes a closed connection. */
    void remove(String address, UpstreamConnection connection) {
        Deque<Idle> candidates = idle.get(address);
        if (candidates != null) {
            candidates.removeIf(candidate -> candidate.connection() == connection);
            if (candidates.isEmpty()) {
                idle.remove(address);
            }
        }
    }

    private UpstreamExchange connect(String address, UpstreamListener listener) {
        UpstreamConnection connection = new UpstreamConnection(this, address);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec()).addLast(connection);
                    }
                })
                .connect(HostPort.parse(address).toSocketAddress())
                .addListener((io.netty.channel.ChannelFuture future) -> {
                    if (future.isSuccess()) {
                        connection.begin(future.channel(), listener);
                        listener.onConnected();
                    } else {
                        listener.onConnectFailed();
                    }
                });
        return connection;
    }

    /**
     * An idle connection.
     *
     * @param connection the handler of the connection.
     * @param channel the channel of the connection.
     * @param keepUntilNanos until when it may be reused, by {@link System#nanoTime()}.
     */
    private record Idle(UpstreamConnection connection, Channel channel, long keepUntilNanos) {}
}
