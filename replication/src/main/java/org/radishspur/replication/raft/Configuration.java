package org.radishspur.replication.raft;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Lists the replicas of a cluster by role: voters, learners and voters that are about to be removed. A replica is named
 * by its identity; a replica whose disk was replaced has a new identity.
 *
 * @param voters the identities of the replicas that count for a quorum.
 * @param learners the identities of the replicas that receive the log but don't vote yet, each mapped to the identity
 *     of the voter that it is to replace, or to an empty string where it is an additional replica.
 * @param retiring the identities of the voters whose replacement votes already; they are removed next.
 */
public record Configuration(Set<String> voters, Map<String, String> learners, Set<String> retiring) {

    /** Copies the collections in sorted order, so that equal configurations have equal encodings. */
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
     * Returns the number of voters that form a majority.
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
     * @return whether it is a voter or a learner.
     */
    public boolean contains(String replica) {
        return voters.contains(replica) || learners.containsKey(replica);
    }

    /**
     * Returns this configuration with one more learner.
     *
     * @param learner the identity of the learner.
     * @param replaced the identity of the voter that it is to replace, or an empty string.
     * @return the new configuration.
     */
    public Configuration withLearner(String learner, String replaced) {
        Map<String, String> newLearners = new TreeMap<>(learners);
        // An earlier learner for the same voter has lost its disk before its promotion and can't catch up any more.
        newLearners.values().removeIf(voter -> !voter.isEmpty() && voter.equals(replaced));
        newLearners.put(learner, replaced);
        return new Configuration(voters, newLearners, retiring);
    }

    /**
     * Returns this configuration with a learner promoted to a voter, and the voter that it replaces marked as retiring.
     *
     * @param learner the identity of the learner.
     * @return the new configuration.
     */
    public Configuration withLearnerPromoted(String learner) {
        Map<String, String> remainingLearners = new TreeMap<>(learners);
        String replaced = remainingLearners.remove(learner);
        Set<String> newVoters = new TreeSet<>(voters);
        newVoters.add(learner);
        Set<String> newRetiring = new TreeSet<>(retiring);
        if (replaced != null && voters.contains(replaced)) {
            newRetiring.add(replaced);
        }
        return new Configuration(newVoters, remainingLearners, newRetiring);
    }

    /**
     * Returns this configuration without one of its replicas.
     *
     * @param replica the identity of the replica to remove.
     * @return the new configuration.
     */
    public Configuration withoutReplica(String replica) {
        Set<String> remainingVoters = new TreeSet<>(voters);
        remainingVoters.remove(replica);
        Map<String, String> remainingLearners = new TreeMap<>(learners);
        remainingLearners.remove(replica);
        Set<String> newRetiring = new TreeSet<>(retiring);
        newRetiring.remove(replica);
        return new Configuration(remainingVoters, remainingLearners, newRetiring);
    }
}
