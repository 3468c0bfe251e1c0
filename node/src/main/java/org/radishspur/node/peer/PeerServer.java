package org.radishspur.node.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.metrics.NodeMetrics;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.node.supervise.Child;

/**
 * Accepts connections from other nodes, which must authenticate with the shared key before they send messages.
 */
public final class PeerServer implements Child {
    private static final int HANDSHAKE_TIMEOUT_SECONDS = 5;
    private static final String HANDSHAKE_TIMEOUT_HANDLER = "handshake-timeout";

    private final NodeSettings settings;
    private final PeerKey key;
    private final EventLoopGroup group;
    private final PeerListener peerListener;
    private final NodeMetrics metrics;
    private Channel channel;

    /**
     * Creates a server; {@link #start} opens its port.
     *
     * @param settings the settings of the node.
     * @param key the shared key.
     * @param group the traffic threads.
     * @param peerListener receives the messages of authenticated peers.
     * @param metrics counts refused peers and malformed frames.
     */
    public PeerServer(
            NodeSettings settings, PeerKey key, EventLoopGroup group, PeerListener peerListener, NodeMetrics metrics) {
        this.settings = settings;
        this.key = key;
        this.group = group;
        this.peerListener = peerListener;
        this.metrics = metrics;
    }

    /** {@inheritDoc} */
    @Override
    public void start(FailureListener listener) {
        channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline()
                                .addLast(HANDSHAKE_TIMEOUT_HANDLER, new ReadTimeoutHandler(HANDSHAKE_TIMEOUT_SECONDS));
                        PeerCodec.install(accepted, settings.limits().frameBytes(), PeerMessage.class);
                        accepted.pipeline().addLast(new ConnectionHandler());
                    }
                })
                .bind(settings.peerAddress().toSocketAddress())
                .syncUninterruptibly()
                .channel();
        channel.closeFuture()
                .addListener(future -> listener.onFailure(
                        new RadishspurException(ErrorCode.FRAME_INVALID, "the socket at the peer address was closed")));
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Authenticates the peer of one connection and then passes its messages to the listener.
     */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<PeerMessage> {
        private final byte[] nonce = key.nonce();
        private String node = "";
        private long incarnation;

        /** {@inheritDoc} */
        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(new PeerMessage.Challenge(PeerCodec.PROTOCOL_VERSION, nonce));
        }

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
            if (!node.isEmpty()) {
                peerListener.onMessage(node, incarnation, message);
            } else if (message instanceof PeerMessage.Hello hello && isValid(hello)) {
                node = hello.node();
                incarnation = hello.incarnation();
                context.pipeline().remove(HANDSHAKE_TIMEOUT_HANDLER);
                context.writeAndFlush(new PeerMessage.Welcome(key.signWelcome(hello.nonce())));
            } else {
                metrics.countError(ErrorCode.PEER_REFUSED);
                ComponentLog.PEER.warn("Refused the connection of a peer at "
                        + context.channel().remoteAddress() + '.');
                context.close();
            }
        }

        private boolean isValid(PeerMessage.Hello hello) {
            boolean known =
                    settings.peers().stream().anyMatch(peer -> peer.node().equals(hello.node()));
            byte[] expected = key.signHello(nonce, hello.cluster(), hello.node(), hello.incarnation(), hello.nonce());
            return known
                    && hello.version() == PeerCodec.PROTOCOL_VERSION
                    && hello.cluster().equals(settings.cluster())
                    && key.matches(expected, hello.signature());
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean malformed = cause instanceof DecoderException || cause instanceof RadishspurException;
            if (malformed) {
                metrics.countError(ErrorCode.FRAME_INVALID);
                ComponentLog.PEER.warn("Closed a connection after a malformed frame: " + cause.getMessage() + '.');
            }
            context.close();
        }
    }
}
