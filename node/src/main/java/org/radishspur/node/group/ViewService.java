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
import org.radishspur.node.control.ReplicaRunner;
import org.radishspur.node.fleet.FleetInbox;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.HostList;
import org.radishspur.replication.state.CatalogueState;

/**
 * Responds to the view requests of entries and schedulers with the current control state. A response, like any other
 * read, waits until a majority of the replicas has confirmed, after the request arrived, that this replica is the
 * leader.
 */
final class ViewService {
    /** The time without a request after which an entry is no longer counted, in milliseconds. */
    private static final long ENTRY_TIMEOUT_MILLIS = 3_000;

    /** The time after which a read fails that no majority has confirmed, in milliseconds; entries retry sooner. */
    private static final long READ_TIMEOUT_MILLIS = 900;

    private final ControlLoop loop;
    private final ReplicaRunner replica;
    private final MembershipManager membership;
    private final HostListReader hostListReader;
    private final RolloutDriver rolloutDriver;
    private final ControlMetrics metrics;
    private final Map<String, Long> entriesLastSeenAt = new HashMap<>();
    private final Deque<PendingRead> pendingReads = new ArrayDeque<>();
    private final DocumentSender documentSender = new DocumentSender();
    private final DeferredRequests deferredRequests = new DeferredRequests();
    private final RelayDirectory relays = new RelayDirectory();

    ViewService(
            ControlLoop loop,
            ReplicaRunner replica,
            MembershipManager membership,
            HostListReader hostListReader,
            RolloutDriver rolloutDriver,
            ControlMetrics metrics) {
        this.metrics = metrics;
        this.loop = loop;
        this.replica = replica;
        this.membership = membership;
        this.hostListReader = hostListReader;
        this.rolloutDriver = rolloutDriver;
    }

    void onViewRequest(FleetInbox.Sender sender, FleetMessage.ViewRequest request) {
        long now = loop.nowMillis();
        if (!request.entry().isEmpty()) {
            entriesLastSeenAt.put(request.entry(), now);
            relays.record(request.entry(), request.reach(), now);
        }
        if (!replica.isLeader() && replica.leaderNode().isEmpty()) {
            deferredRequests.defer(new DeferredRequests.DeferredRequest(sender, request, now));
        } else {
            answerOnceConfirmed(sender, request, now);
        }
    }

    void onClosed(FleetInbox.Sender sender) {
        documentSender.remove(sender);
    }

    private void answerOnceConfirmed(FleetInbox.Sender sender, FleetMessage.ViewRequest request, long receivedAt) {
        if (!replica.isLeader()) {
            sender.send(new FleetMessage.ViewResponse(
                    request.nonce(),
                    false,
                    replica.leaderNode(),
                    0,
                    Optional.empty(),
                    List.of(),
                    0,
                    membership.controlHosts(),
                    Set.of(),
                    List.of(),
                    Set.of()));
            return;
        }
        if (!request.entry().isEmpty()) {
            rolloutDriver.record(request);
        }
        pendingReads.addLast(new PendingRead(receivedAt, new ReadListener() {
            @Override
            public void onConfirmed(CatalogueState state) {
                metrics.recordViewRequest(true);
                if (state.document().revision() > request.revision()) {
                    documentSender.send(sender, state.document(), loop.nowMillis());
                }
                sender.send(response(request, state));
            }

            @Override
            public void onUnconfirmed() {
                // The sender retries, perhaps at another leader.
                metrics.recordViewRequest(false);
            }
        }));
        answerReads();
    }

    /**
     * Reads the current state once a majority has confirmed that this replica is the leader.
     *
     * @param listener receives the outcome.
     */
    void read(ReadListener listener) {
        pendingReads.addLast(new PendingRead(loop.nowMillis(), listener));
        answerReads();
    }

    /**
     * Answers the deferred requests and pending reads that can be answered now, and fails the reads that are too old.
     */
    void answerPending() {
        answerDeferredRequests();
        answerReads();
    }

    private void answerDeferredRequests() {
        boolean leaderKnown = replica.isLeader() || !replica.leaderNode().isEmpty();
        deferredRequests
                .removeDue(leaderKnown, loop.nowMillis())
                .forEach(deferred -> answerOnceConfirmed(deferred.sender(), deferred.request(), deferred.receivedAt()));
    }

    private void answerReads() {
        long now = loop.nowMillis();
        while (!pendingReads.isEmpty()) {
            PendingRead first = pendingReads.peekFirst();
            if (replica.isLeadershipConfirmedSince(first.startedAt())) {
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

    private FleetMessage.ViewResponse response(FleetMessage.ViewRequest request, CatalogueState state) {
        HostList list = hostListReader.latest();
        boolean listNewer = list.isLaterThan(new HostList(request.listTerm(), request.listReading(), List.of()));
        return new FleetMessage.ViewResponse(
                request.nonce(),
                true,
                replica.leaderNode(),
                state.document().revision(),
                listNewer ? Optional.of(list) : Optional.empty(),
                new ArrayList<>(state.rollouts()),
                countEntries(),
                membership.controlHosts(),
                state.evacuated(),
                relays.relaysFor(request.entry(), loop.nowMillis()),
                rolloutDriver.pausedTrials());
    }

    private int countEntries() {
        long now = loop.nowMillis();
        entriesLastSeenAt.values().removeIf(seenAt -> now - seenAt > ENTRY_TIMEOUT_MILLIS);
        return entriesLastSeenAt.size();
    }

    /**
     * Receives the outcome of a read, on the control thread.
     */
    interface ReadListener {
        /**
         * Handles a confirmed read.
         *
         * @param state the current state.
         */
        void onConfirmed(CatalogueState state);

        /**
         * Handles a read that no majority has confirmed in time, or that began before this replica lost the leadership.
         */
        void onUnconfirmed();
    }

    /**
     * A read that is not confirmed yet.
     *
     * @param startedAt when the read began or its request arrived, by the clock of the control thread in milliseconds.
     * @param listener receives the outcome.
     */
    private record PendingRead(long startedAt, ReadListener listener) {}
}
