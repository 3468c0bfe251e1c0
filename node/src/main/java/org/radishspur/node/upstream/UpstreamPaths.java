package org.radishspur.node.upstream;

import java.util.List;
import java.util.function.LongSupplier;

import org.radishspur.decision.path.DirectPaths;

/**
 * Decides for connections to upstreams whether direct paths are broken and which hosts relay, and receives what happens
 * on direct connections. Upstreams are named by their addresses. Without more, paths are always direct.
 */
public interface UpstreamPaths {
    /**
     * Returns whether a kept direct connection should not be used.
     *
     * @param upstream the upstream.
     * @return whether the path is broken for established connections.
     */
    default boolean isBroken(String upstream) {
        return false;
    }

    /**
     * Returns whether no new direct connection should be made.
     *
     * @param upstream the upstream.
     * @return whether the path is broken for new connections.
     */
    default boolean isBrokenForNew(String upstream) {
        return false;
    }

    /**
     * Returns whether this host is cut off from upstreams.
     *
     * @return whether it is.
     */
    default boolean isCutOff() {
        return false;
    }

    /**
     * Returns whether a request should try a broken path.
     *
     * @param upstream the upstream.
     * @param repeatable whether the request may run more than once.
     * @return whether to try; that is noted.
     */
    default boolean takeTrial(String upstream, boolean repeatable) {
        return false;
    }

    /**
     * Returns the hosts that relay connections.
     *
     * @return their addresses; empty where paths are always direct.
     */
    default List<String> relays() {
        return List.of();
    }

    /**
     * Receives that a request was sent.
     *
     * @param upstream the upstream.
     */
    default void recordSent(String upstream) {}

    /**
     * Receives that bytes of a response arrived.
     *
     * @param upstream the upstream.
     */
    default void recordBytes(String upstream) {}

    /**
     * Receives that a request that was sent has ended.
     *
     * @param upstream the upstream.
     */
    default void recordEnded(String upstream) {}

    /**
     * Receives that a connection was lost while a request was on it.
     *
     * @param upstream the upstream.
     */
    default void recordLoss(String upstream) {}

    /**
     * Receives that a connection was established.
     *
     * @param upstream the upstream.
     */
    default void recordConnected(String upstream) {}

    /**
     * Receives that no connection could be established.
     *
     * @param upstream the upstream.
     */
    default void recordConnectFailure(String upstream) {}

    /**
     * Receives that another host can't reach the upstream either.
     *
     * @param upstream the upstream.
     */
    default void recordUpstreamDown(String upstream) {}

    /**
     * Decides by what the direct connections of this host have shown.
     */
    class Tracked implements UpstreamPaths {
        private final DirectPaths paths;
        private final LongSupplier clock;
        private List<String> relays = List.of();

        /**
         * Creates an instance without relaying hosts.
         *
         * @param paths what is known of direct paths.
         * @param clock the monotonic clock in milliseconds.
         */
        public Tracked(DirectPaths paths, LongSupplier clock) {
            this.paths = paths;
            this.clock = clock;
        }

        /**
         * Sets the hosts that relay connections.
         *
         * @param addresses their addresses.
         */
        public void setRelays(List<String> addresses) {
            relays = List.copyOf(addresses);
        }

        /** {@inheritDoc} */
        @Override
        public List<String> relays() {
            return relays;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isBroken(String upstream) {
            return !relays.isEmpty() && paths.isBroken(upstream, clock.getAsLong());
        }

        /** {@inheritDoc} */
        @Override
        public boolean isBrokenForNew(String upstream) {
            return !relays.isEmpty() && paths.isBrokenForNew(upstream, clock.getAsLong());
        }

        /** {@inheritDoc} */
        @Override
        public boolean isCutOff() {
            return paths.isCutOff(clock.getAsLong());
        }

        /** {@inheritDoc} */
        @Override
        public boolean takeTrial(String upstream, boolean repeatable) {
            return paths.takeTrial(upstream, repeatable, clock.getAsLong());
        }

        /** {@inheritDoc} */
        @Override
        public void recordSent(String upstream) {
            paths.recordSent(upstream, clock.getAsLong());
        }

        /** {@inheritDoc} */
        @Override
        public void recordBytes(String upstream) {
            paths.recordBytes(upstream, clock.getAsLong());
        }

        /** {@inheritDoc} */
        @Override
        public void recordEnded(String upstream) {
            paths.recordEnded(upstream, clock.getAsLong());
        }

        /** {@inheritDoc} */
        @Override
        public void recordLoss(String upstream) {
            paths.recordLoss(upstream, clock.getAsLong());
        }

        /** {@inheritDoc} */
        @Override
        public void recordConnected(String upstream) {
            paths.recordConnected(upstream);
        }

        /** {@inheritDoc} */
        @Override
        public void recordConnectFailure(String upstream) {
            paths.recordConnectFailure(upstream, clock.getAsLong());
        }

        /** {@inheritDoc} */
        @Override
        public void recordUpstreamDown(String upstream) {
            paths.recordUpstreamDown(upstream);
        }
    }

    /**
     * Has direct paths only, and no other hosts.
     */
    enum DirectOnly implements UpstreamPaths {
        /** The only instance. */
        INSTANCE
    }
}
