package org.radishspur.node.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import org.radishspur.node.peer.PeerCodec;
import org.radishspur.node.transport.ClientSocket;

/**
 * Opens connections to upstreams through other hosts.
 */
public final class RelayDialer {
    /** How many hosts have to fail to connect; one may be cut off itself without knowing it yet. */
    private static final int MAX_FAILED = 2;

    /** The time that a host has to answer beyond its own time to connect, in milliseconds. */
    private static final long ANSWER_MARGIN_MILLIS = 100;

    private final EventLoop loop;
    private final int connectMillis;
    private int dialed;

    /**
     * Creates a dialer.
     *
     * @param loop the event loop of the traffic thread, on which {@link #dial} must be called.
     * @param connectMillis the maximum time to connect to a host, and of that host to connect to the upstream, in
     *     milliseconds.
     */
    public RelayDialer(EventLoop loop, long connectMillis) {
        this.loop = loop;
        this.connectMillis = (int) connectMillis;
    }

    /**
     * Opens a connection through one of some hosts. Each call begins with the next one, so that none gets all
     * connections.
     *
     * @param relays the addresses of the hosts.
     * @param upstream the address of the upstream.
     * @param listener receives the outcome.
     */
    public void dial(List<String> relays, String upstream, Listener listener) {
        List<String> order = new ArrayList<>(relays);
        Collections.rotate(order, -dialed++);
        new Dialing(order.iterator(), upstream, listener).next();
    }

    /**
     * Asks one host after the other until one connects, enough of them have failed, or all have been asked.
     */
    private final class Dialing implements RelayTunnel.Listener {
        private final Iterator<String> relays;
        private final String upstream;
        private final Listener listener;
        private int failed;
        private RelayMessage.Result worst = RelayMessage.Result.REFUSED;

        Dialing(Iterator<String> relays, String upstream, Listener listener) {
            this.relays = relays;
            this.upstream = upstream;
            this.listener = listener;
        }

        void next() {
            if (failed == MAX_FAILED || !relays.hasNext()) {
                listener.onFailed(failed == 0 ? RelayMessage.Result.DECLINED : worst);
                return;
            }
            RelayTunnel tunnel = new RelayTunnel(upstream, this);
            ClientSocket.INSTANCE
                    .connect(relays.next(), loop, connectMillis, channel -> {
                        PeerCodec.install(channel, RelayMessage.Data.MAX_FRAME_BYTES, RelayMessage.class);
                        channel.pipeline().addLast(tunnel);
                    })
                    .addListener((ChannelFuture future) -> {
                        if (future.isSuccess()) {
                            loop.schedule(
                                    tunnel::onTimeout, connectMillis + ANSWER_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
                        } else {
                            tunnel.fail(RelayMessage.Result.DECLINED);
                        }
                    });
        }

        /** {@inheritDoc} */
        @Override
        public void onOpened(Channel channel) {
            listener.onOpened(channel);
        }

        /** {@inheritDoc} */
        @Override
        public void onFailed(RelayMessage.Result result) {
            if (result != RelayMessage.Result.DECLINED) {
                failed++;
                worst = result == RelayMessage.Result.REFUSED ? worst : result;
            }
            next();
        }
    }

    /**
     * Receives the outcome of dialing, on the traffic thread.
     */
    public interface Listener {
        /**
         * Invoked when the upstream is connected.
         *
         * @param channel the connection, which reads only on request; bytes that are written to it reach the upstream.
         */
        void onOpened(Channel channel);

        /**
         * Invoked when no host has connected to the upstream.
         *
         * @param result what is known: the upstream refuses all hosts that have tried, at least one of them could not
         *     reach it, or no host relays.
         */
        void onFailed(RelayMessage.Result result);
    }
}
