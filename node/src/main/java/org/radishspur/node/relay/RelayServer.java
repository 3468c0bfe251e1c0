package org.radishspur.node.relay;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import org.radishspur.node.peer.PeerCodec;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.supervise.Child;
import org.radishspur.node.transport.ClientSocket;
import org.radishspur.node.transport.ResetSensingChannel;
import org.radishspur.node.transport.ServerSocketBinder;

/**
 * Connects other hosts to upstreams that they can't reach. Only upstreams of the host list are connected, and never
 * through a third host.
 */
public final class RelayServer implements Child {
    /** The maximum number of relayed connections, so that the callers of this host keep most of its descriptors. */
    private static final int MAX_CONNECTIONS = 500;

    /**
     * The time since the last bytes of a response for which more may come, in milliseconds; longer than the silence that
     * a sound upstream may show.
     */
    private static final long BUSY_MILLIS = 3_000;

    private final HostPort address;
    private final EventLoop loop;
    private final int connectMillis;
    private final Predicate<String> relaysTo;
    private final Consumer<String> connectFailures;
    private final LongSupplier clock;
    private Channel channel;
    private volatile int connections;
    private volatile int unanswered;
    private volatile long respondedAt;

    /**
     * Creates a server that doesn't listen yet.
     *
     * @param address the address to listen on.
     * @param loop the event loop of the traffic thread.
     * @param connectMillis the maximum time to connect to an upstream, in milliseconds.
     * @param relaysTo returns whether connections to an upstream's address are relayed now.
     * @param connectFailures receives the upstreams to which no connection could be made, which may show that this host
     *     is cut off as well.
     * @param clock the monotonic clock in milliseconds.
     */
    public RelayServer(
            HostPort address,
            EventLoop loop,
            long connectMillis,
            Predicate<String> relaysTo,
            Consumer<String> connectFailures,
            LongSupplier clock) {
        this.address = address;
        this.loop = loop;
        this.connectMillis = (int) connectMillis;
        this.relaysTo = relaysTo;
        this.connectFailures = connectFailures;
        this.clock = clock;
        respondedAt = clock.getAsLong() - BUSY_MILLIS;
    }

    /** {@inheritDoc} */
    @Override
    public void start(FailureListener listener) {
        channel = ServerSocketBinder.INSTANCE.bind(address, loop, accepted -> {
            PeerCodec.install(accepted, RelayMessage.Data.MAX_FRAME_BYTES, RelayMessage.class);
            accepted.pipeline().addLast(new Relay(accepted));
        });
    }

    /**
     * Returns whether requests may be in progress on relayed connections; any thread may call this.
     *
     * @return whether a request has no response yet, or bytes of a response were passed on a moment ago.
     */
    public boolean isBusy() {
        return unanswered > 0 || clock.getAsLong() - respondedAt < BUSY_MILLIS;
    }

    /**
     * Returns the number of connections of other hosts; any thread may call this.
     *
     * @return the number.
     */
    public int connections() {
        return connections;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Passes the bytes of one connection on, in both directions. Each side is read only while the other is writable.
     */
    private final class Relay extends SimpleChannelInboundHandler<RelayMessage> {
        private final Channel host;
        private final UpstreamSide upstreamSide = new UpstreamSide();
        private Channel upstream;
        private boolean awaitsResponse;
        private int pendingWrites;

        Relay(Channel host) {
            this.host = host;
        }

        /** {@inheritDoc} */
        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections++;
        }

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, RelayMessage message) {
            if (message instanceof RelayMessage.Open open) {
                open(open.upstream());
            } else if (message instanceof RelayMessage.Data data && upstream != null) {
                setAwaitsResponse(true);
                pendingWrites++;
                upstream.writeAndFlush(Unpooled.wrappedBuffer(data.bytes())).addListener(written -> onWritten());
            }
        }

        private void onWritten() {
            pendingWrites--;
            upstreamSide.endIfRequestWritten();
        }

        /** Counts this connection while the last bytes were those of a request. */
        private void setAwaitsResponse(boolean awaits) {
            if (awaits != awaitsResponse) {
                awaitsResponse = awaits;
                unanswered += awaits ? 1 : -1;
            }
        }

        private void open(String target) {
            if (connections > MAX_CONNECTIONS || !relaysTo.test(target)) {
                decline(RelayMessage.Result.DECLINED);
                return;
            }
            ClientSocket.INSTANCE
                    .connect(target, loop, connectMillis, connected -> {
                        connected.config().setAllowHalfClosure(true);
                        connected.pipeline().addLast(upstreamSide);
                    })
                    .addListener((ChannelFuture future) -> onConnected(target, future));
        }

        private void onConnected(String target, ChannelFuture future) {
            if (!future.isSuccess()) {
                connectFailures.accept(target);
                boolean refused = ClientSocket.INSTANCE.isRefused(future.cause());
                decline(refused ? RelayMessage.Result.REFUSED : RelayMessage.Result.UNREACHABLE);
            } else if (!host.isActive()) {
                future.channel().close();
            } else {
                upstream = future.channel();
                upstream.config().setAutoRead(true);
                host.writeAndFlush(new RelayMessage.Opened(RelayMessage.Result.CONNECTED), host.voidPromise());
            }
        }

        private void decline(RelayMessage.Result result) {
            host.writeAndFlush(new RelayMessage.Opened(result)).addListener(ChannelFutureListener.CLOSE);
        }

        /** {@inheritDoc} */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (upstream != null) {
                upstream.config().setAutoRead(host.isWritable());
            }
        }

        /** {@inheritDoc} */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections--;
            setAwaitsResponse(false);
            if (upstream != null) {
                upstream.close();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        /** Handles the connection to the upstream. */
        private final class UpstreamSide extends ChannelInboundHandlerAdapter {
            private boolean inputEnded;

            /** {@inheritDoc} */
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                respondedAt = clock.getAsLong();
                setAwaitsResponse(false);
                ByteBuf bytes = (ByteBuf) message;
                while (bytes.isReadable()) {
                    int count = Math.min(bytes.readableBytes(), RelayMessage.Data.MAX_BYTES);
                    byte[] part = ByteBufUtil.getBytes(bytes.readSlice(count));
                    host.write(new RelayMessage.Data(part), host.voidPromise());
                }
                ReferenceCountUtil.release(message);
            }

            /** {@inheritDoc} */
            @Override
            public void channelReadComplete(ChannelHandlerContext context) {
                host.flush();
            }

            /** {@inheritDoc} */
            @Override
            public void channelWritabilityChanged(ChannelHandlerContext context) {
                host.config().setAutoRead(context.channel().isWritable());
            }

            /** {@inheritDoc} */
            @Override
            public void userEventTriggered(ChannelHandlerContext context, Object event) {
                if (event instanceof ChannelInputShutdownEvent) {
                    inputEnded = true;
                    endIfRequestWritten();
                }
            }

            /**
             * Reports the end of the input once all that has come of the request is written and no reset follows, as a close
             * alone doesn't show that no byte is missing.
             */
            private void endIfRequestWritten() {
                if (inputEnded && pendingWrites == 0) {
                    inputEnded = false;
                    upstream.eventLoop()
                            .schedule(
                                    this::endUnlessReset,
                                    ResetSensingChannel.RESET_DELAY_MILLIS,
                                    TimeUnit.MILLISECONDS);
                }
            }

            /** Leaves the connection to the other host, which may still send the rest of the request, open. */
            private void endUnlessReset() {
                if (ResetSensingChannel.isReset(upstream)) {
                    upstream.close();
                } else {
                    host.writeAndFlush(new RelayMessage.End(), host.voidPromise());
                }
            }

            /** {@inheritDoc} */
            @Override
            public void channelInactive(ChannelHandlerContext context) {
                host.close();
            }

            /** {@inheritDoc} */
            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                context.close();
            }
        }
    }
}
