package org.radishspur.replication.raft;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Says which replicas vote and which only learn. A replica is named by its identity, which a new disk never inherits.
 *
 * @param voters the identities of the replicas that count for a quorum.
 * @param learners the identities of the replicas that are catching up, each with the voter that it is to replace, or
 *     with an empty text where it is to be added.
 * @param retiring the identities of voters whose replacement already votes and that are to be removed next.
 */
public record Configuration(Set<String> voters, Map<String, String> learners, Set<String> retiring) {

    /** Copies the collections in a stable order, so that equal configurations have equal encodings. */
    public Configuration {
        voters = java.util.Collections.unmodifiableSet(new TreeSet<>(voters));
        learners = java.util.Collections.unmodifiableMap(new TreeMap<>(learners));
        retiring = java.util.Collections.unmodifiableSet(new TreeSet<>(retiring));
    }

    /**
     * Creates the configuration of a new cluster.
     *
     * @param voters the identities of its first replicas.
     * @return the configuration.
     */
    public static Configuration ofVoters(Set<String> voters) {
        return new Configuration(voters, Map.of(), Set.of());
    }

    /**
     * Returns the number of voters that make a majority.
     *
     * @return the size of a quorum.
     */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /**
     * Returns whether a replica belongs to the configuration in any role.
     *
     * @param replica the identity of the replica.
     * @return whether it votes or learns.
     */
    public boolean contains(String replica) {
        return voters.contains(replica) || learners.containsKey(replica);
    }

    /**
     * Returns this configuration with one more learner.
     *
     * @param learner the identity of the learner.
     * @param replaced the voter that it is to replace, or an empty text.
     * @return the new configuration.
     */
    public Configuration withLearner(String learner, String replaced) {
        Map<String, String> changed = new TreeMap<>(learners);
        // A blank replica that lost its disk again before it was promoted will never catch up.
        changed.values().removeIf(other -> !other.isEmpty() && other.equals(replaced));
        changed.put(learner, replaced);
        return new Configuration(voters, changed, retiring);
    }

    /**
     * Returns this configuration with a learner turned into a voter, and the voter that it replaces marked as retiring.
     *
     * @param learner the identity of the learner.
     * @return the new configuration.
     */
    public Configuration withPromoted(String learner) {
        Map<String, String> remaining = new TreeMap<>(learners);
        String replaced = remaining.remove(learner);
        Set<String> grown = new TreeSet<>(voters);
        grown.add(learner);
        Set<String> leaving = new TreeSet<>(retiring);
        if (replaced != null && voters.contains(replaced)) {
            leaving.add(replaced);
        }
        return new Configuration(grown, remaining, leaving);
    }

    /**
     * Returns this configuration without a replica.
     *
     * @param replica the identity of the replica that goes.
     * @return the new configuration.
     */
    public Configuration without(String replica) {
        Set<String> shrunk = new TreeSet<>(voters);
        shrunk.remove(replica);
        Map<String, String> remaining = new TreeMap<>(learners);
        remaining.remove(replica);
        Set<String> leaving = new TreeSet<>(retiring);
        leaving.remove(replica);
        return new Configuration(shrunk, remaining, leaving);
    }
}
