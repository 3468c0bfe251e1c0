package org.radishspur.node.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.radishspur.decision.slot.HeldSlot;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotReport;
import org.radishspur.decision.slot.SlotRequest;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.state.CatalogueState;

/**
 * Lists the messages between entries and control hosts.
 */
public sealed interface FleetMessage {

    /** Asks whether the other end still answers. */
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
     * @param failureDomain the failure domain of the sender.
     */
    record ReplicaAnnouncement(String replica, List<String> controls, String failureDomain) implements FleetMessage {}

    /**
     * Asks the control leader what is in force.
     *
     * @param nonce a number that the answer repeats.
     * @param entry the address of the entry; empty where a scheduler asks.
     * @param incarnation which run of the entry's process asks.
     * @param revision the revision of the catalogue that the entry has.
     * @param listTerm the term of the host list that the entry has.
     * @param listReading the reading of the host list that the entry has.
     * @param versionCounts what the entry has seen of versions, since it started.
     */
    record ViewRequest(
            long nonce,
            String entry,
            long incarnation,
            long revision,
            long listTerm,
            long listReading,
            List<VersionCounts> versionCounts)
            implements FleetMessage {}

    /**
     * Answers a {@link ViewRequest}.
     *
     * @param nonce the number from the question.
     * @param confirmed whether a majority has confirmed after the question that the sender leads; else only the leader
     *     and the control hosts count in this answer.
     * @param leader the address of the leader, or an empty text.
     * @param revision the revision of the catalogue in force.
     * @param list the host list, where the entry has an older one.
     * @param rollouts the latest rollout of each pool.
     * @param entryCount how many entries have asked lately.
     * @param controls all control hosts.
     * @param evacuated the failure domains whose upstreams are to get no new request.
     */
    record Followed(
            long nonce,
            boolean confirmed,
            String leader,
            long revision,
            Optional<HostList> list,
            List<CatalogueState.Rollout> rollouts,
            int entryCount,
            List<ControlHost> controls,
            Set<String> evacuated)
            implements FleetMessage {}

    /**
     * Shares between schedulers what the entries of one have in progress and were admitted.
     *
     * <p>Only what has changed since the last message on the same connection is carried, as parallel arrays: between
     * failure domains each byte counts.
     *
     * @param scheduler the run of the sending scheduler.
     * @param full whether everything is carried, so that what is missing is zero.
     * @param upstreams digests of the upstreams' runs.
     * @param counts for each upstream the requests in progress, the good answers, the bad ones, the step of its pace and
     *     the steps of prompt tokens that it has still to read, one after the other.
     * @param organisations what was admitted for organisations since the scheduler started.
     */
    record LoadReport(String scheduler, boolean full, int[] upstreams, int[] counts, Map<String, Long> organisations)
            implements FleetMessage {}

    /**
     * Counts what one entry has seen of one version of a pool, since it started.
     *
     * @param pool the pool.
     * @param version the version.
     * @param route the route.
     * @param answers the answers, good and bad.
     * @param failures the failed answers.
     * @param firstMillis the sum of the times to the first byte, in milliseconds.
     * @param eventMillis the sum of the times for one event or one plain answer, in milliseconds.
     */
    record VersionCounts(
            String pool,
            String version,
            String route,
            long answers,
            long failures,
            double firstMillis,
            double eventMillis) {}

    /**
     * Makes a scheduler the one of an entry.
     *
     * @param entry the address of the entry.
     * @param held the slots that the entry holds.
     */
    record Attach(String entry, List<HeldSlot> held) implements FleetMessage {}

    /** Takes leave of a scheduler; what was asked of it is asked elsewhere. */
    record Detach() implements FleetMessage {}

    /**
     * Asks a scheduler for a slot.
     *
     * @param id the number of the request at its entry.
     * @param request what is asked.
     */
    record Ask(long id, SlotRequest request) implements FleetMessage {}

    /**
     * Answers an {@link Ask}.
     *
     * @param id the number of the request at its entry.
     * @param reply the answer.
     */
    record Reply(long id, SlotReply reply) implements FleetMessage {}

    /**
     * Reports what has become of a slot.
     *
     * @param id the number of the request at its entry.
     * @param report the report.
     */
    record Report(long id, SlotReport report) implements FleetMessage {}

    /**
     * Brings a newer catalogue, before the {@link Followed} that confirms it on the same connection.
     *
     * @param revision the revision of the catalogue.
     * @param text the catalogue.
     */
    record Document(long revision, DeflatedText text) implements FleetMessage {}
}
