package org.radishspur.node.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

import org.radishspur.decision.path.DirectPaths;

/**
 * Tells connections to upstreams whether direct paths are broken and which hosts relay, and receives what happens on
 * direct connections. Upstreams are named by their addresses.
 */
public interface UpstreamPaths {
    /**
     * Returns whether a kept direct connection should not be used.
     *
     * @param upstream the upstream.
     * @return whether the path is broken for established connections.
     */
    boolean isBroken(String upstream);

    /**
     * Returns whether no new direct connection should be made.
     *
     * @param upstream the upstream.
     * @return whether the path is broken for new connections.
     */
    boolean isBrokenForNew(String upstream);

    /**
     * Returns whether this host is cut off from upstreams.
     *
     * @return whether it is.
     */
    boolean isCutOff();

    /**
     * Returns whether a request should try a broken path.
     *
     * @param upstream the upstream.
     * @param repeatable whether the request may run more than once.
     * @return whether to try; that is noted.
     */
    boolean takeTrial(String upstream, boolean repeatable);

    /**
     * Returns the hosts that relay connections.
     *
     * @return their addresses in the order in which to ask them; empty where paths are always direct.
     */
    List<String> relays();

    /**
     * Receives that a request was sent.
     *
     * @param upstream the upstream.
     */
    void recordSent(String upstream);

    /**
     * Receives that bytes of a response arrived.
     *
     * @param upstream the upstream.
     */
    void recordBytes(String upstream);

    /**
     * Receives that a request that was sent has ended.
     *
     * @param upstream the upstream.
     */
    void recordEnded(String upstream);

    /**
     * Receives that a connection was lost while a request was on it.
     *
     * @param upstream the upstream.
     */
    void recordLoss(String upstream);

    /**
     * Receives that a connection was established.
     *
     * @param upstream the upstream.
     */
    void recordConnected(String upstream);

    /**
     * Receives that no connection could be established.
     *
     * @param upstream the upstream.
     */
    void recordConnectFailure(String upstream);

    /**
     * Receives that another host can't reach the upstream either.
     *
     * @param upstream the upstream.
     */
    void recordUpstreamDown(String upstream);

    /**
     * Decides by what the direct connections of this host have shown.
     */
    class Tracked implements UpstreamPaths {
        private final DirectPaths paths;
        private final LongSupplier clock;
        private volatile List<String> relays = List.of();
        private int firstRelay;

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

        /** {@inheritDoc} Each call begins with another host, so that none gets all connections. */
        @Override
        public List<String> relays() {
            List<String> current = relays;
            if (current.size() < 2) {
                return current;
            }
            firstRelay = (firstRelay + 1) % current.size();
            List<String> rotated = new ArrayList<>(current.subList(firstRelay, current.size()));
            rotated.addAll(current.subList(0, firstRelay));
            return rotated;
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
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public boolean isBroken(String upstream) {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isBrokenForNew(String upstream) {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isCutOff() {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public boolean takeTrial(String upstream, boolean repeatable) {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public List<String> relays() {
            return List.of();
        }

        /** {@inheritDoc} */
        @Override
        public void recordSent(String upstream) {}

        /** {@inheritDoc} */
        @Override
        public void recordBytes(String upstream) {}

        /** {@inheritDoc} */
        @Override
        public void recordEnded(String upstream) {}

        /** {@inheritDoc} */
        @Override
        public void recordLoss(String upstream) {}

        /** {@inheritDoc} */
        @Override
        public void recordConnected(String upstream) {}

        /** {@inheritDoc} */
        @Override
        public void recordConnectFailure(String upstream) {}

        /** {@inheritDoc} */
        @Override
        public void recordUpstreamDown(String upstream) {}
    }
}
