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
final class FollowService {
    /** An entry that has not asked for so long doesn't count any more, in milliseconds. */
    private static final long ENTRY_LOST_MILLIS = 3_000;

    /** A read that a majority has not confirmed by then is given up, in milliseconds; callers ask again sooner. */
    private static final long READ_MILLIS = 900;

    private final ControlLoop loop;
    private final ReplicaHost replica;
    private final MembershipManager members;
    private final HostListReader hostList;
    private final RolloutDriver rollouts;
    private final ControlMetrics metrics;
    private final Map<String, Long> entries = new HashMap<>();
    private final Deque<PendingRead> pending = new ArrayDeque<>();
    private final DocumentSender documents = new DocumentSender();
    private final ParkedQuestions parked = new ParkedQuestions();

    FollowService(
            ControlLoop loop,
            ReplicaHost replica,
            MembershipManager members,
            HostListReader hostList,
            RolloutDriver rollouts,
            ControlMetrics metrics) {
        this.metrics = metrics;
        this.loop = loop;
        this.replica = replica;
        this.members = members;
        this.hostList = hostList;
        this.rollouts = rollouts;
    }

    void onFollow(FleetInbox.Sender sender, FleetMessage.Follow question) {
        long now = loop.nowMillis();
        if (!question.entry().isEmpty()) {
            entries.put(question.entry(), now);
        }
        if (!replica.isLeader() && replica.leaderNode().isEmpty()) {
            parked.park(new ParkedQuestions.Parked(sender, question, now));
        } else {
            follow(sender, question, now);
        }
    }

    void onClosed(FleetInbox.Sender sender) {
        documents.forget(sender);
    }

    private void follow(FleetInbox.Sender sender, FleetMessage.Follow question, long askedAt) {
        if (!replica.isLeader()) {
            sender.send(new FleetMessage.Followed(
                    question.nonce(),
                    false,
                    replica.leaderNode(),
                    0,
                    Optional.empty(),
                    List.of(),
                    0,
                    members.controls(),
                    Set.of()));
            return;
        }
        if (!question.entry().isEmpty()) {
            rollouts.onCounts(question.entry() + '/' + question.run(), question.tallies());
        }
        pending.addLast(new PendingRead(askedAt, new ReadListener() {
            @Override
            public void onConfirmed(CatalogueState state) {
                metrics.followed(true);
                if (state.document().revision() > question.revision()) {
                    documents.send(sender, state.document(), loop.nowMillis());
                }
                sender.send(answer(question, state));
            }

            @Override
            public void onUnconfirmed() {
                // The entry asks again, and by then perhaps another leader.
                metrics.followed(false);
            }
        }));
        settleReads();
    }

    /**
     * Reads the latest state.
     *
     * @param listener receives the outcome.
     */
    void read(ReadListener listener) {
        pending.addLast(new PendingRead(loop.nowMillis(), listener));
        settleReads();
    }

    /** Answers the questions and reads that can be answered by now, and gives up those that are too old. */
    void settle() {
        settleParked();
        settleReads();
    }

    private void settleParked() {
        boolean known = replica.isLeader() || !replica.leaderNode().isEmpty();
        parked.due(known, loop.nowMillis())
                .forEach(question -> follow(question.sender(), question.question(), question.askedAt()));
    }

    private void settleReads() {
        long now = loop.nowMillis();
        while (!pending.isEmpty()) {
            PendingRead first = pending.peekFirst();
            if (replica.confirmedSince(first.askedAt())) {
                pending.removeFirst().listener().onConfirmed(replica.state().catalogue());
            } else if (!replica.isLeader() || now - first.askedAt() > READ_MILLIS) {
                pending.removeFirst().listener().onUnconfirmed();
            } else {
                return;
            }
        }
    }

    private FleetMessage.Followed answer(FleetMessage.Follow question, CatalogueState state) {
        HostList list = hostList.latest();
        boolean listNewer = list.isLaterThan(new HostList(question.listTerm(), question.listReading(), List.of()));
        return new FleetMessage.Followed(
                question.nonce(),
                true,
                replica.leaderNode(),
                state.document().revision(),
                listNewer ? Optional.of(list) : Optional.empty(),
                new ArrayList<>(state.rollouts()),
                countEntries(),
                members.controls(),
                state.evacuated());
    }

    private int countEntries() {
        long now = loop.nowMillis();
        entries.values().removeIf(receivedAt -> now - receivedAt > ENTRY_LOST_MILLIS);
        return entries.size();
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
     * @param askedAt when it began, by the clock of the control thread.
     * @param listener receives the outcome.
     */
    private record PendingRead(long askedAt, ReadListener listener) {}
}
