package org.radishspur.node.transport;

import java.net.ConnectException;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.radishspur.node.settings.HostPort;

/**
 * Opens outgoing connections that read only on request.
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
     * Starts to connect.
     *
     * @param address the host and port.
     * @param loop the event loop of the connection.
     * @param connectMillis the maximum time to connect, in milliseconds.
     * @param initializer adds the handlers to the connection.
     * @return a future of the connection, which fails where none is established in time.
     */
    public ChannelFuture connect(
            String address, EventLoop loop, int connectMillis, Consumer<SocketChannel> initializer) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initializer.accept(channel);
                    }
                })
                .connect(HostPort.parse(address).toSocketAddress());
    }
}
