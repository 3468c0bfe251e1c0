package org.radishspur.node.group;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.control.ReplicaHost;
import org.radishspur.node.fleet.FleetInbox;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.HostList;
import org.radishspur.replication.state.CatalogueState;

/**
 * Tells entries what is in force, once a majority has confirmed after their question that this replica leads.
 */
final class ViewService {
    /** An entry that has not asked for so long doesn't count any more, in milliseconds. */
    private static final long ENTRY_TIMEOUT_MILLIS = 3_000;

    /** A read that a majority has not confirmed by then is given up, in milliseconds; callers ask again sooner. */
    private static final long READ_TIMEOUT_MILLIS = 900;

    private final ControlLoop loop;
    private final ReplicaHost replica;
    private final MembershipManager membership;
    private final HostListReader hostListReader;
    private final RolloutDriver rolloutDriver;
    private final ControlMetrics metrics;
    private final Map<String, Long> entriesLastSeenAt = new HashMap<>();
    private final Deque<PendingRead> pendingReads = new ArrayDeque<>();
    private final DocumentSender documentSender = new DocumentSender();
    private final DeferredRequests deferredRequests = new DeferredRequests();

    ViewService(
            ControlLoop loop,
            ReplicaHost replica,
            MembershipManager members,
            HostListReader hostList,
            RolloutDriver rollouts,
            ControlMetrics metrics) {
        this.metrics = metrics;
        this.loop = loop;
        this.replica = replica;
        this.membership = members;
        this.hostListReader = hostList;
        this.rolloutDriver = rollouts;
    }

    void onViewRequest(FleetInbox.Sender sender, FleetMessage.ViewRequest question) {
        long now = loop.nowMillis();
        if (!question.entry().isEmpty()) {
            entriesLastSeenAt.put(question.entry(), now);
        }
        if (!replica.isLeader() && replica.leaderNode().isEmpty()) {
            deferredRequests.defer(new DeferredRequests.DeferredRequest(sender, question, now));
        } else {
            answerOnceConfirmed(sender, question, now);
        }
    }

    void onClosed(FleetInbox.Sender sender) {
        documentSender.remove(sender);
    }

    private void answerOnceConfirmed(FleetInbox.Sender sender, FleetMessage.ViewRequest question, long askedAt) {
        if (!replica.isLeader()) {
            sender.send(new FleetMessage.Followed(
                    question.nonce(),
                    false,
                    replica.leaderNode(),
                    0,
                    Optional.empty(),
                    List.of(),
                    0,
                    membership.controlHosts(),
                    Set.of()));
            return;
        }
        if (!question.entry().isEmpty()) {
            rolloutDriver.recordCounts(question.entry() + '/' + question.incarnation(), question.versionCounts());
        }
        pendingReads.addLast(new PendingRead(askedAt, new ReadListener() {
            @Override
            public void onConfirmed(CatalogueState state) {
                metrics.recordViewRequest(true);
                if (state.document().revision() > question.revision()) {
                    documentSender.send(sender, state.document(), loop.nowMillis());
                }
                sender.send(response(question, state));
            }

            @Override
            public void onUnconfirmed() {
                // The entry asks again, and by then perhaps another leader.
                metrics.recordViewRequest(false);
            }
        }));
        answerReads();
    }

    /**
     * Reads the latest state.
     *
     * @param listener receives the outcome.
     */
    void read(ReadListener listener) {
        pendingReads.addLast(new PendingRead(loop.nowMillis(), listener));
        answerReads();
    }

    /** Answers the questions and reads that can be answered by now, and gives up those that are too old. */
    void answerPending() {
        answerDeferredRequests();
        answerReads();
    }

    private void answerDeferredRequests() {
        boolean known = replica.isLeader() || !replica.leaderNode().isEmpty();
        deferredRequests
                .removeDue(known, loop.nowMillis())
                .forEach(question -> answerOnceConfirmed(question.sender(), question.request(), question.receivedAt()));
    }

    private void answerReads() {
        long now = loop.nowMillis();
        while (!pendingReads.isEmpty()) {
            PendingRead first = pendingReads.peekFirst();
            if (replica.confirmedSince(first.startedAt())) {
                pendingReads
                        .removeFirst()
                        .listener()
                        .onConfirmed(replica.state().catalogue());
            } else if (!replica.isLeader() || now - first.startedAt() > READ_TIMEOUT_MILLIS) {
                pendingReads.removeFirst().listener().onUnconfirmed();
            } else {
                return;
            }
        }
    }

    private FleetMessage.Followed response(FleetMessage.ViewRequest question, CatalogueState state) {
        HostList list = hostListReader.latest();
        boolean listNewer = list.isLaterThan(new HostList(question.listTerm(), question.listReading(), List.of()));
        return new FleetMessage.Followed(
                question.nonce(),
                true,
                replica.leaderNode(),
                state.document().revision(),
                listNewer ? Optional.of(list) : Optional.empty(),
                new ArrayList<>(state.rollouts()),
                countEntries(),
                membership.controlHosts(),
                state.evacuated());
    }

    private int countEntries() {
        long now = loop.nowMillis();
        entriesLastSeenAt.values().removeIf(receivedAt -> now - receivedAt > ENTRY_TIMEOUT_MILLIS);
        return entriesLastSeenAt.size();
    }

    /**
     * Receives how a read ends, on the control thread.
     */
    interface ReadListener {
        /**
         * Takes the latest state.
         *
         * @param state the state.
         */
        void onConfirmed(CatalogueState state);

        /** Learns that no majority has confirmed the read. */
        void onUnconfirmed();
    }

    /**
     * Remembers a read.
     *
     * @param startedAt when it began, by the clock of the control thread.
     * @param listener receives the outcome.
     */
    private record PendingRead(long startedAt, ReadListener listener) {}
}
