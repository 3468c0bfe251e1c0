package org.radishspur.node.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Selects the control hosts to query while no leader responds: a few in each round, and all of them in turn.
 *
 * <p>Guards against a slow election after a restart of all processes: if every entry queried every control host in each
 * round, the control hosts would spend their time on requests that they can't answer yet. A control host defers a
 * request until a leader is known, so that an earlier retry gains nothing.
 */
final class LeaderSearchOrder {
    /** The number of control hosts that are queried in each round. */
    static final int HOSTS_PER_ROUND = 2;

    private String lastQueried = "";

    /**
     * Returns the control hosts to query in the next round.
     *
     * @param hosts the addresses of all control hosts that may have the address of the leader.
     * @return the addresses to query, at most {@link #HOSTS_PER_ROUND}.
     */
    List<String> next(Collection<String> hosts) {
        TreeSet<String> sorted = new TreeSet<>(hosts);
        List<String> selected = new ArrayList<>();
        while (selected.size() < Math.min(HOSTS_PER_ROUND, sorted.size())) {
            String next = sorted.higher(lastQueried);
            lastQueried = next == null ? sorted.first() : next;
            selected.add(lastQueried);
        }
        return selected;
    }
}
