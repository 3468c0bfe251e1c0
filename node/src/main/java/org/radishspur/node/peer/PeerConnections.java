package org.radishspur.node.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.metrics.NodeMetrics;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.node.settings.PeerSettings;
import org.radishspur.node.supervise.Child;
import org.radishspur.node.transport.ClientSocket;

/**
 * Keeps one connection to each other node and sends messages over it. A message to a node without a connection is
 * dropped; the sender retries a message that must arrive.
 */
public final class PeerConnections implements Child {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long RECONNECT_DELAY_MILLIS = 150;
    private static final int MAX_BACKLOG_BYTES = 32 << 20;

    private final NodeSettings settings;
    private final PeerKey key;
    private final long incarnation;
    private final EventLoopGroup group;
    private final PeerListener peerListener;
    private final NodeMetrics metrics;
    private final Map<String, Channel> channels = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * Creates an instance without connections; {@link #start} opens them.
     *
     * @param settings the settings of the node.
     * @param key the shared key.
     * @param incarnation the run of this node's process.
     * @param group the traffic threads.
     * @param peerListener is notified when a connection is established or lost.
     * @param metrics counts refused peers.
     */
    public PeerConnections(
            NodeSettings settings,
            PeerKey key,
            long incarnation,
            EventLoopGroup group,
            PeerListener peerListener,
            NodeMetrics metrics) {
        this.settings = settings;
        this.key = key;
        this.incarnation = incarnation;
        this.group = group;
        this.peerListener = peerListener;
        this.metrics = metrics;
    }

    /** {@inheritDoc} */
    @Override
    public void start(FailureListener listener) {
        settings.peers().forEach(this::connect);
    }

    /**
     * Sends a message, or drops it where there is no connection to the receiver.
     *
     * @param node the name of the receiver.
     * @param message the message.
     */
    public void send(String node, PeerMessage message) {
        Channel channel = channels.get(node);
        if (channel == null) {
            return;
        }
        // Bounds the memory for messages to a node that no longer reads but whose connection is still open.
        if (!channel.isWritable()) {
            channel.close();
            return;
        }
        channel.writeAndFlush(message, channel.voidPromise());
    }

    /**
     * Returns whether there is a connection to a node.
     *
     * @param node the name of the node.
     * @return whether messages can be sent to it.
     */
    public boolean isConnected(String node) {
        return channels.containsKey(node);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        closed = true;
        channels.values().forEach(Channel::close);
    }

    private void connect(PeerSettings peer) {
        if (closed) {
            return;
        }
        ClientSocket.INSTANCE
                .connectForMessages(peer.address(), group, CONNECT_TIMEOUT_MILLIS, MAX_BACKLOG_BYTES, channel -> {
                    PeerCodec.install(channel, settings.limits().frameBytes(), PeerMessage.class);
                    channel.pipeline().addLast(new ClientHandshake(peer));
                })
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        reconnect(peer);
                    }
                });
    }

    private void reconnect(PeerSettings peer) {
        if (!closed && !group.isShuttingDown()) {
            group.schedule(() -> connect(peer), RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Authenticates this node and its peer after connecting, and connects again once the connection is closed.
     */
    private final class ClientHandshake extends SimpleChannelInboundHandler<PeerMessage> {
        private final PeerSettings peer;
        private final byte[] nonce = key.nonce();

        ClientHandshake(PeerSettings peer) {
            this.peer = peer;
        }

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
            if (message instanceof PeerMessage.Challenge challenge
                    && challenge.version() == PeerCodec.PROTOCOL_VERSION) {
                byte[] signature =
                        key.signHello(challenge.nonce(), settings.cluster(), settings.node(), incarnation, nonce);
                context.writeAndFlush(new PeerMessage.Hello(
                        PeerCodec.PROTOCOL_VERSION,
                        settings.cluster(),
                        settings.node(),
                        incarnation,
                        nonce,
                        signature));
            } else if (message instanceof PeerMessage.Welcome welcome
                    && key.matches(key.signWelcome(nonce), welcome.signature())) {
                channels.put(peer.node(), context.channel());
                peerListener.onConnectionChanged(peer.node(), true);
            } else {
                metrics.countError(ErrorCode.PEER_REFUSED);
                ComponentLog.PEER.warn(
                        "Node " + peer.node() + " failed the handshake: its protocol version or shared key differs.");
                context.close();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (channels.remove(peer.node(), context.channel())) {
                peerListener.onConnectionChanged(peer.node(), false);
            }
            reconnect(peer);
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
