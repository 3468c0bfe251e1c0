package org.radishspur.node.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.state.CatalogueState;

/**
 * Lists the messages between entries and control hosts.
 */
public sealed interface FleetMessage {

    /** Asks whether the other end still hears. */
    record Ping() implements FleetMessage {}

    /** Answers a {@link Ping}. */
    record Pong() implements FleetMessage {}

    /**
     * Carries a message of the consensus core.
     *
     * @param from the identity of the sending replica.
     * @param to the identity of the receiving replica.
     * @param message the message.
     */
    record Raft(String from, String to, RaftMessage message) implements FleetMessage {}

    /**
     * Says that a replica is there, and which other control hosts it knows.
     *
     * @param replica the identity of the replica.
     * @param controls the addresses of control hosts.
     */
    record Candidate(String replica, List<String> controls) implements FleetMessage {}

    /**
     * Asks the control leader what is in force.
     *
     * @param nonce a number that the answer repeats.
     * @param entry the address of the entry.
     * @param run which run of the entry's process asks.
     * @param revision the revision of the catalogue that the entry has.
     * @param listTerm the term of the host list that the entry has.
     * @param listReading the reading of the host list that the entry has.
     * @param tallies what the entry has seen of versions, since it started.
     */
    record Follow(
            long nonce,
            String entry,
            long run,
            long revision,
            long listTerm,
            long listReading,
            List<VersionTally> tallies)
            implements FleetMessage {}

    /**
     * Answers a {@link Follow}.
     *
     * @param nonce the number from the question.
     * @param confirmed whether a majority has confirmed after the question that the sender leads; else only the leader
     *     and the control hosts count in this answer.
     * @param leader the address of the leader, or an empty text.
     * @param revision the revision of the catalogue in force.
     * @param document the catalogue, where the entry has an older one.
     * @param list the host list, where the entry has an older one.
     * @param rollouts the latest rollout of each pool.
     * @param entries the addresses of all entries that were heard lately.
     * @param controls the addresses of all control hosts.
     */
    record Followed(
            long nonce,
            boolean confirmed,
            String leader,
            long revision,
            Optional<CatalogueState.Document> document,
            Optional<HostList> list,
            List<CatalogueState.Rollout> rollouts,
            List<String> entries,
            List<String> controls)
            implements FleetMessage {}

    /**
     * Shares what one entry has in progress and has admitted.
     *
     * <p>Only what has changed since the last message on the same connection is carried, as parallel arrays: between
     * failure domains each byte counts. Entries of an older version send no more than the use by organisation and what stands
     * before it.
     *
     * @param entry the run of the sending entry.
     * @param whole whether everything is carried, so that what is missing is zero.
     * @param upstreams digests of the upstreams' runs.
     * @param counts for each upstream the requests in progress, the good answers, the bad ones and the step of its pace, one
     *     after the other.
     * @param organisations what was admitted for organisations since the entry started.
     * @param failureDomain the failure domain of the sending entry, empty where it doesn't say.
     * @param unread for each upstream the steps of prompt tokens that it has still to read; none where the entry doesn't say.
     */
    record Load(
            String entry,
            boolean whole,
            int[] upstreams,
            int[] counts,
            Map<String, Long> organisations,
            String failureDomain,
            int[] unread)
            implements FleetMessage {

        /** Fills in what an entry of an older version doesn't send. */
        public Load {
            failureDomain = failureDomain == null ? "" : failureDomain;
            unread = unread == null ? new int[0] : unread;
        }

        /**
         * Returns how many steps of prompt tokens an upstream has still to read.
         *
         * @param index the place of the upstream in the arrays.
         * @return the steps, 0 where the entry doesn't say.
         */
        public int unreadAt(int index) {
            return index < unread.length ? unread[index] : 0;
        }
    }

    /**
     * Counts what one entry has seen of one version of a pool, since it started.
     *
     * @param pool the pool.
     * @param version the version.
     * @param route the route.
     * @param answers the answers, good and bad.
     * @param failures the failed answers.
     * @param firstMillis the sum of the times to the first byte, in milliseconds.
     * @param paceMillis the sum of the times for one event or one plain answer, in milliseconds.
     */
    record VersionTally(
            String pool,
            String version,
            String route,
            long answers,
            long failures,
            double firstMillis,
            double paceMillis) {}
}
