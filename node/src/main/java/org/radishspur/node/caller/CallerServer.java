package org.radishspur.node.caller;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.node.http.RequestHeadCheck;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.settings.Limits;
import org.radishspur.node.supervise.Child;

/**
 * Accepts callers' connections, up to a limit, and closes those above it immediately.
 */
public final class CallerServer implements Child {
    private static final int BACKLOG = 4_096;
    private static final int MAX_CHUNK_BYTES = 8_192;

    private final CallerServices services;
    private final EventLoopGroup group;
    private final AtomicInteger connections = new AtomicInteger();
    private volatile boolean stopping;
    private volatile Channel channel;

    /**
     * Creates a server, which doesn't listen before its start.
     *
     * @param services the services that all exchanges share.
     * @param group the event loops that serve the connections.
     */
    public CallerServer(CallerServices services, EventLoopGroup group) {
        this.services = services;
        this.group = group;
    }

    /** {@inheritDoc} */
    @Override
    public void start(FailureListener listener) {
        channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        initialisePipeline(accepted);
                    }
                })
                .bind(services.settings().callerAddress().toSocketAddress())
                .syncUninterruptibly()
                .channel();
        ComponentLog.NODE.info("Callers are served at " + services.settings().callerAddress() + '.');
        channel.closeFuture().addListener(future -> {
            if (!stopping) {
                listener.onFailure(
                        new RadishspurException(ErrorCode.CALL_INVALID, "the caller address stopped listening"));
            }
        });
    }

    /**
     * Returns whether callers can connect.
     *
     * @return whether the address listens.
     */
    public boolean isListening() {
        Channel current = channel;
        return !stopping && current != null && current.isActive();
    }

    /** Stops accepting connections; open connections stay open. */
    public void stopAccepting() {
        stopping = true;
        close();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private void initialisePipeline(SocketChannel accepted) {
        Limits limits = services.settings().limits();
        if (connections.incrementAndGet() > limits.callerConnections()) {
            connections.decrementAndGet();
            accepted.close();
            return;
        }
        accepted.closeFuture().addListener(future -> connections.decrementAndGet());
        accepted.pipeline()
                .addLast(new IdleStateHandler(
                        services.settings().timeouts().callerIdleMillis(), 0, 0, TimeUnit.MILLISECONDS))
                .addLast(new HttpServerCodec(limits.headerBytes(), limits.headerBytes(), MAX_CHUNK_BYTES))
                .addLast(new RequestHeadCheck())
                .addLast(new CallerHandler(services));
    }
}
