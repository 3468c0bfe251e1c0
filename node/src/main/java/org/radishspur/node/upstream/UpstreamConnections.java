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
 * Keeps the connections of one traffic thread to all upstreams, and begins exchanges over idle ones or new ones. Since each thread has its own, an exchange never leaves
 * the thread of its caller.
 */
public final class UpstreamConnections implements UpstreamExchange.Factory {
    private final EventLoop loop;
    private final int connectMillis;
    private final long keepMillis;
    private final Map<String, Deque<Idle>> idle = new HashMap<>();

    /**
     * Creates an empty set of connections.
     *
     * @param loop the traffic thread, on which every method must be called.
     * @param connectMillis how long making a connection may take, in milliseconds.
     * @param keepMillis how long an unused connection is kept at most, in milliseconds.
     */
    public UpstreamConnections(EventLoop loop, long connectMillis, long keepMillis) {
        this.loop = loop;
        this.connectMillis = (int) connectMillis;
        this.keepMillis = keepMillis;
    }

    /** {@inheritDoc} */
    @Override
    public UpstreamExchange open(String address, UpstreamListener listener) {
        Deque<Idle> waiting = idle.getOrDefault(address, new ArrayDeque<>());
        while (!waiting.isEmpty()) {
            Idle candidate = waiting.removeLast();
            if (candidate.channel().isActive() && System.nanoTime() < candidate.keepUntil()) {
                candidate.connection().begin(candidate.channel(), listener);
                loop.execute(listener::onConnected);
                return candidate.connection();
            }
            candidate.channel().close();
        }
        return connect(address, listener);
    }

    void returnIdle(String address, UpstreamConnection connection, Channel channel, long allowedMillis) {
        long keepUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.min(keepMillis, allowedMillis));
        idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addLast(new Idle(connection, channel, keepUntil));
        // Reading on is what shows that the upstream has closed the connection, before it is used again.
        channel.read();
    }

    void remove(String address, UpstreamConnection connection) {
        Deque<Idle> waiting = idle.get(address);
        if (waiting != null) {
            waiting.removeIf(candidate -> candidate.connection() == connection);
            if (waiting.isEmpty()) {
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
     * Holds an idle connection.
     *
     * @param connection its handler.
     * @param channel its channel.
     * @param keepUntil when it is too old to be used again, by the nanosecond clock.
     */
    private record Idle(UpstreamConnection connection, Channel channel, long keepUntil) {}
}
