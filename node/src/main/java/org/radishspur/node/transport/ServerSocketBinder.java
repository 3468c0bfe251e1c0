package org.radishspur.node.transport;

import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.radishspur.node.settings.HostPort;

/**
 * Binds listening sockets and initialises each accepted connection.
 */
public enum ServerSocketBinder {
    /** The only instance; it keeps no state. */
    INSTANCE;

    /**
     * Maximum number of connections that wait to be accepted; a load balancer may move all callers of a host here at
     * once.
     */
    private static final int ACCEPT_BACKLOG = 1_024;

    /**
     * Binds an address and waits until it is bound. Throws Netty's exception if that fails, such as for an address in
     * use.
     *
     * @param address the address to listen on.
     * @param group the threads that serve the connections.
     * @param initializer adds the handlers to an accepted connection.
     * @return the listening channel, which stops listening when it is closed.
     */
    public Channel bind(HostPort address, EventLoopGroup group, Consumer<SocketChannel> initializer) {
        return startBinding(address, group, initializer).syncUninterruptibly().channel();
    }

    /**
     * Starts to bind an address.
     *
     * @param address the address to listen on.
     * @param group the threads that serve the connections.
     * @param initializer adds the handlers to an accepted connection.
     * @return the future of the listening channel.
     */
    public ChannelFuture startBinding(HostPort address, EventLoopGroup group, Consumer<SocketChannel> initializer) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        initializer.accept(accepted);
                    }
                })
                .bind(address.toSocketAddress());
    }
}
