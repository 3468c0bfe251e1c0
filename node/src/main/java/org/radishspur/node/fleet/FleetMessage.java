package org.radishspur.node.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.radishspur.decision.crash.CrashNote;
import org.radishspur.decision.dispatch.UseHistory;
import org.radishspur.decision.slot.HeldSlot;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotReport;
import org.radishspur.decision.slot.SlotRequest;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.state.CatalogueState;

/**
 * A message between two processes of the platform, entries or control hosts.
 *
 * <p>A message is encoded with the index of its type in the order of declaration, and as an array of its components in
 * their order. Neither order may change.
 */
public sealed interface FleetMessage {

    /** Requests a {@link Pong}, to check that the other end still responds. */
    record Ping() implements FleetMessage {}

    /** Responds to a {@link Ping}. */
    record Pong() implements FleetMessage {}

    /**
     * Carries a Raft message between two replicas of the control state.
     *
     * @param from the identity of the sending replica.
     * @param to the identity of the receiving replica.
     * @param message the message.
     */
    record Raft(String from, String to, RaftMessage message) implements FleetMessage {}

    /**
     * Announces a replica to the other control hosts, repeatedly; one that isn't a member yet may become one.
     *
     * @param replica the identity of the replica.
     * @param memberAddresses the addresses of the members known to the sender.
     * @param failureDomain the failure domain of the sender.
     */
    record ReplicaAnnouncement(String replica, List<String> memberAddresses, String failureDomain)
            implements FleetMessage {}

    /**
     * Requests the current control state from the control leader.
     *
     * @param nonce a number that the response carries as well.
     * @param entry the address of the entry, or empty if a scheduler sends the request.
     * @param incarnation the time at which the sender started, in milliseconds since the epoch, which distinguishes its
     *     runs.
     * @param revision the revision of the sender's catalogue, 0 if it has none.
     * @param listTerm the term of the sender's host list.
     * @param listReading the reading of the sender's host list within that term.
     * @param versionCounts the responses that the entry has counted during the current rollouts, by version.
     * @param reach whether the sender reaches upstreams, so that it could relay for others.
     * @param rolloutTimes the response times that the entry has measured during the current rollouts.
     * @param countsBefore the responses of all versions that the entry has counted in the time before the current rollouts.
     */
    record ViewRequest(
            long nonce,
            String entry,
            long incarnation,
            long revision,
            long listTerm,
            long listReading,
            List<VersionCounts> versionCounts,
            UpstreamReach reach,
            List<RolloutTimes> rolloutTimes,
            List<VersionCounts> countsBefore)
            implements FleetMessage {
        /** Replaces what an older build doesn't send. */
        public ViewRequest {
            countsBefore = countsBefore == null ? List.of() : countsBefore;
            reach = reach == null ? UpstreamReach.NO_RELAY : reach;
            rolloutTimes = rolloutTimes == null ? List.of() : rolloutTimes;
        }
    }

    /** What a process can do for others that don't reach upstreams. */
    enum UpstreamReach {
        /** It relays no connections. */
        NO_RELAY,
        /** It reaches upstreams, and relays connections to them. */
        REACHED,
        /** It is cut off from upstreams itself. */
        CUT_OFF
    }

    /**
     * Responds to a {@link ViewRequest}.
     *
     * @param nonce the number from the request.
     * @param confirmed whether a majority has confirmed, after the request arrived, that the sender leads; otherwise
     *     only the leader and the control hosts of this response are valid.
     * @param leader the address of the leader, or empty if it isn't known.
     * @param revision the revision of the current catalogue.
     * @param list the host list, if the receiver has an older one.
     * @param rollouts the latest rollout of each pool.
     * @param entryCount the number of entries that have sent requests recently.
     * @param controlHosts all control hosts.
     * @param evacuated the failure domains whose upstreams must get no new requests.
     * @param relays the addresses of some entries that relay connections to upstreams.
     * @param pausedTrials the pools whose version under trial must get no requests for now.
     */
    record ViewResponse(
            long nonce,
            boolean confirmed,
            String leader,
            long revision,
            Optional<HostList> list,
            List<CatalogueState.Rollout> rollouts,
            int entryCount,
            List<ControlHost> controlHosts,
            Set<String> evacuated,
            List<String> relays,
            Set<String> pausedTrials)
            implements FleetMessage {
        /** Replaces what an older build doesn't send. */
        public ViewResponse {
            pausedTrials = pausedTrials == null ? Set.of() : pausedTrials;
            relays = relays == null ? List.of() : relays;
        }
    }

    /**
     * Reports the load and the quota usage at one scheduler to another one.
     *
     * <p>Unless the report is full, it carries only the upstreams and organisations whose values have changed since the
     * last report. Parallel arrays keep it small, because traffic between failure domains is limited.
     *
     * @param scheduler the incarnation of the sending scheduler.
     * @param full whether the report carries all upstreams, so that the counts of any other upstream are zero.
     * @param upstreams the hash codes of the runs of the upstreams.
     * @param counts five numbers for each upstream, one upstream after the other: requests in progress, successful
     *     responses, failed responses, the logarithmic step of the time per event, and the pending prompt tokens in
     *     units of 256.
     * @param organisations the total usage admitted for each organisation since the scheduler started.
     * @param crashes the notes on crashes that have changed since the last report, or all of them after a connection was
     *     made.
     * @param limits four numbers for each upstream that states a limit or has stated one, one upstream after the other:
     *     the hash code of its run, the requests per minute or 0, the age of that statement in milliseconds, and the
     *     requests that the scheduler has sent to it since it started.
     * @param waitingUsage the part of the usage of each organisation whose requests wait for a slot; none of an
     *     organisation that isn't listed.
     * @param history when the scheduler has started the requests of each organisation; only where the receiver may have
     *     missed reports.
     */
    record LoadReport(
            String scheduler,
            boolean full,
            int[] upstreams,
            int[] counts,
            Map<String, Long> organisations,
            List<CrashNote> crashes,
            int[] limits,
            Map<String, Long> waitingUsage,
            Map<String, UseHistory> history)
            implements FleetMessage {
        /** Replaces what an older build doesn't send. */
        public LoadReport {
            crashes = crashes == null ? List.of() : crashes;
            limits = limits == null ? new int[0] : limits;
            waitingUsage = waitingUsage == null ? Map.of() : waitingUsage;
            history = history == null ? Map.of() : history;
        }
    }

    /**
     * Counts the responses of one version of a pool on one route that an entry has received during a rollout. They are
     * counted from the rollout's start, so that a new leader has all of them at once, and no rollout has those of another.
     *
     * @param pool the pool.
     * @param version the version; empty where the counts are those of all versions.
     * @param route the route.
     * @param answers the number of responses, failed ones included.
     * @param failures the number of failed responses.
     * @param firstMillis a sum of times that only older builds send and use, in milliseconds.
     * @param eventMillis another one.
     * @param rolloutStartedAtMillis the start of the rollout, which identifies it among those of its pool, in
     *     milliseconds since the epoch; 0 if an older build sent the counts.
     * @param unanswered the number of requests that were given up after the version had sent nothing for a while.
     */
    record VersionCounts(
            String pool,
            String version,
            String route,
            long answers,
            long failures,
            double firstMillis,
            double eventMillis,
            long rolloutStartedAtMillis,
            long unanswered) {}

    /**
     * Carries the response times of upstreams that an entry has measured during a rollout.
     *
     * @param pool the pool.
     * @param rolloutStartedAtMillis the start of the rollout, in milliseconds since the epoch.
     * @param times the times, as {@link org.radishspur.decision.rollout.UpstreamTimes#toArray()} returns them.
     */
    record RolloutTimes(String pool, long rolloutStartedAtMillis, int[] times) {}

    /**
     * Attaches an entry to a scheduler, which from then on grants the slots of the entry.
     *
     * @param entry the address of the entry.
     * @param held the slots that the entry holds already.
     * @param crashes the notes on crashes that the entry has.
     */
    record Attach(String entry, List<HeldSlot> held, List<CrashNote> crashes) implements FleetMessage {
        /** Replaces notes that an older build doesn't send. */
        public Attach {
            crashes = crashes == null ? List.of() : crashes;
        }
    }

    /** Detaches an entry from a scheduler; the entry sends its pending requests to another one. */
    record Detach() implements FleetMessage {}

    /**
     * Requests a slot from a scheduler.
     *
     * @param id the number of the request at its entry.
     * @param request the request.
     */
    record RequestSlot(long id, SlotRequest request) implements FleetMessage {}

    /**
     * Replies to a {@link RequestSlot}.
     *
     * @param id the number of the request at its entry.
     * @param reply the reply.
     * @param crashes the notes on crashes that have changed since the last reply to the same entry.
     */
    record Reply(long id, SlotReply reply, List<CrashNote> crashes) implements FleetMessage {
        /** Replaces notes that an older build doesn't send. */
        public Reply {
            crashes = crashes == null ? List.of() : crashes;
        }
    }

    /**
     * Reports to a scheduler how the use of a slot proceeds or has ended.
     *
     * @param id the number of the request at its entry, 0 if the message is about no slot.
     * @param report the report.
     * @param crashes new notes on crashes. They aren't a message of their own, which an older build could not decode; nor
     *     is the local use.
     * @param localUse the use that the entry has admitted without a scheduler and has reported to none, by organisation.
     * @param recentUse all that the entry has used lately, for a scheduler that may have just started.
     */
    record ReportSlot(
            long id,
            SlotReport report,
            List<CrashNote> crashes,
            Map<String, UseHistory> localUse,
            Optional<EntryUse> recentUse)
            implements FleetMessage {
        /** Replaces what an older build doesn't send. */
        public ReportSlot {
            crashes = crashes == null ? List.of() : crashes;
            localUse = localUse == null ? Map.of() : localUse;
            recentUse = recentUse == null ? Optional.empty() : recentUse;
        }

        /**
         * Creates a report without use that a scheduler doesn't know.
         *
         * @param id the number of the request at its entry, 0 if the message is about no slot.
         * @param report the report.
         * @param crashes new notes on crashes.
         */
        public ReportSlot(long id, SlotReport report, List<CrashNote> crashes) {
            this(id, report, crashes, Map.of(), Optional.empty());
        }
    }

    /**
     * States what the requests of one entry have used, whoever has admitted them.
     *
     * @param entry the address of the entry.
     * @param use when they were started, by organisation.
     */
    record EntryUse(String entry, Map<String, UseHistory> use) {}

    /**
     * Carries a newer catalogue, and precedes the {@link ViewResponse} that confirms it on the same connection.
     *
     * @param revision the revision of the catalogue.
     * @param text the text of the catalogue.
     */
    record Document(long revision, DeflatedText text) implements FleetMessage {}
}
