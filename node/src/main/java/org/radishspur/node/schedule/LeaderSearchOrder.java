package org.radishspur.node.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Chooses which control hosts are asked while no leader confirms anything, a few in each round and all of them in turn.
 *
 * <p>Guards against a restart of all processes in which every entry asks every control host in each round: those that have
 * to elect a leader then spend their time on questions that they can't answer yet. A control host keeps a question until a
 * leader is known, so that asking it again meanwhile gains nothing.
 */
final class LeaderSearchOrder {
    /** How many control hosts are asked in a round. */
    static final int HOSTS_PER_ROUND = 2;

    private String lastAsked = "";

    /**
     * Returns whom to ask in the next round.
     *
     * @param hosts the addresses of all control hosts that may know the leader.
     * @return the addresses to ask.
     */
    List<String> next(Collection<String> hosts) {
        TreeSet<String> sorted = new TreeSet<>(hosts);
        List<String> asked = new ArrayList<>();
        while (asked.size() < Math.min(HOSTS_PER_ROUND, sorted.size())) {
            String following = sorted.higher(lastAsked);
            lastAsked = following == null ? sorted.first() : following;
            asked.add(lastAsked);
        }
        return asked;
    }
}
