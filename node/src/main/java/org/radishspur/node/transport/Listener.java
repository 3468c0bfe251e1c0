package org.radishspur.node.transport;

import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.radishspur.node.settings.HostPort;

/**
 * Listens on an address and sets each accepted connection up.
 */
public enum Listener {
    /** The only instance; it keeps no state. */
    INSTANCE;

    /** How many connections may wait to be accepted; a balancer may move all callers of a host here at once. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /**
     * Starts to listen.
     *
     * @param address where to listen.
     * @param group the threads that carry the connections.
     * @param setup adds the handlers of an accepted connection.
     * @return the channel that listens; closing it stops the listening.
     */
    public Channel listen(HostPort address, EventLoopGroup group, Consumer<SocketChannel> setup) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        setup.accept(accepted);
                    }
                })
                .bind(address.toSocketAddress())
                .syncUninterruptibly()
                .channel();
    }
}
