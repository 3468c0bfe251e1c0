package org.radishspur.node.upstream;

import java.util.function.Consumer;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import org.radishspur.node.transport.ClientSocket;

/**
 * Checks whether the process of an upstream still runs, by whether its address accepts a connection.
 *
 * <p>A lost connection alone doesn't show that the upstream has ended: a fault of the network or of this host resets
 * connections to healthy upstreams.
 */
public interface UpstreamProbe {
    /**
     * Starts a check.
     *
     * @param address the host and port of the upstream.
     * @param listener receives the result, on the traffic thread.
     */
    void check(String address, Consumer<Result> listener);

    /** Lists what a check can show. */
    enum Result {
        /** The address accepts connections, so that something runs there. */
        ACCEPTED,
        /** The host refuses connections at this address: nothing runs there any more. */
        REFUSED,
        /** There was no response in time, or the host could not be reached; the upstream may still run. */
        UNKNOWN
    }

    /**
     * Checks with one new TCP connection, which is closed at once.
     */
    final class Default implements UpstreamProbe {
        /** The maximum time to connect, in milliseconds; a host that is up refuses or accepts within a round trip. */
        private static final int TIMEOUT_MILLIS = 250;

        private final EventLoop loop;

        /**
         * Creates a probe.
         *
         * @param loop the event loop of the traffic thread, on which the method must be called.
         */
        public Default(EventLoop loop) {
            this.loop = loop;
        }

        /** {@inheritDoc} */
        @Override
        public void check(String address, Consumer<Result> listener) {
            ClientSocket.INSTANCE
                    .connect(address, loop, TIMEOUT_MILLIS, channel -> {})
                    .addListener((ChannelFuture future) -> {
                        listener.accept(resultOf(future));
                        future.channel().close();
                    });
        }

        private static Result resultOf(ChannelFuture future) {
            if (future.isSuccess()) {
                return Result.ACCEPTED;
            }
            boolean refused = ClientSocket.INSTANCE.isRefused(future.cause());
            return refused ? Result.REFUSED : Result.UNKNOWN;
        }
    }
}
