package org.radishspur.node.transport;

import java.net.ConnectException;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import org.radishspur.node.settings.HostPort;

/**
 * Opens outgoing connections.
 */
public enum ClientSocket {
    /** The only instance. */
    INSTANCE;

    /**
     * Returns whether a host refused a connection, and did not just fail to answer in time.
     *
     * @param cause why no connection was established.
     * @return whether nothing listens at the address.
     */
    public boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    /**
     * Starts to connect; the connection reads only on request.
     *
     * @param address the host and port.
     * @param loop the event loop of the connection.
     * @param connectMillis the maximum time to connect, in milliseconds.
     * @param initializer adds the handlers to the connection.
     * @return a future of the connection, which fails where none is established in time.
     */
    public ChannelFuture connect(
            String address, EventLoop loop, int connectMillis, Consumer<SocketChannel> initializer) {
        return bootstrap(loop, connectMillis, initializer)
                .option(ChannelOption.AUTO_READ, false)
                .connect(HostPort.parse(address).toSocketAddress());
    }

    /**
     * Starts to connect; unlike with {@link #connect}, the connection reads automatically, and the caller sets how much may
     * wait to be sent.
     *
     * @param address the host and port.
     * @param group the event loops of which one serves the connection.
     * @param connectMillis the maximum time to connect, in milliseconds.
     * @param maxBacklogBytes the size of unsent messages beyond which the connection isn't writable, in bytes.
     * @param initializer adds the handlers to the connection.
     * @return a future of the connection, which fails where none is established in time.
     */
    public ChannelFuture connectForMessages(
            HostPort address,
            EventLoopGroup group,
            int connectMillis,
            int maxBacklogBytes,
            Consumer<SocketChannel> initializer) {
        return bootstrap(group, connectMillis, initializer)
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(maxBacklogBytes / 2, maxBacklogBytes))
                .connect(address.toSocketAddress());
    }

    private static Bootstrap bootstrap(EventLoopGroup group, int connectMillis, Consumer<SocketChannel> initializer) {
        return new Bootstrap()
                .group(group)
                .channelFactory(ResetSensingChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initializer.accept(channel);
                    }
                });
    }
}
