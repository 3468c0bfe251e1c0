package org.radishspur.node.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.radishspur.decision.move.Move;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerMessage;
import org.radishspur.node.peer.PeerMessage.ControlRequest;
import org.radishspur.node.peer.PeerMessage.ControlResult;
import org.radishspur.node.peer.PeerMessage.NodeState;
import org.radishspur.node.peer.PeerMessage.NodeStatus;
import org.radishspur.node.peer.PeerMessage.NodeSummary;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.replication.control.ProposalOutcome;
import org.radishspur.replication.state.ClaimAnswer;
import org.radishspur.replication.state.ControlAnswer;
import org.radishspur.replication.state.ControlState;
import org.radishspur.replication.state.TablesDelta;

/**
 * Serves the nodes of the cluster while this one is the control leader: answers heartbeats and calls, and sends changed
 * tables.
 */
final class LeaderService {
    private final NodeSettings settings;
    private final ControlLoop loop;
    private final ReplicaRunner replica;
    private final Sender sender;
    private final NodeRegistry registry;
    private final Map<String, Long> sentRevisions = new HashMap<>();
    private long registryTerm;
    private long termStartedAtMillis;
    /** The revision of the crash suspects, moves and evacuations, which heartbeats compare. */
    private long auxiliaryRevision;

    LeaderService(NodeSettings settings, ControlLoop loop, ReplicaRunner replica, Sender sender) {
        this.settings = settings;
        this.loop = loop;
        this.replica = replica;
        this.sender = sender;
        this.registry = new NodeRegistry(settings.timeouts().nodeLostMillis());
    }

    void onHeartbeat(NodeStatus status) {
        resetOnNewTerm();
        registry.onStatus(status, loop.nowMillis());
        Optional<ControlState> state = replica.readableState();
        if (state.isEmpty()) {
            sender.send(
                    status.node(),
                    new PeerMessage.HeartbeatReply(
                            false, Optional.empty(), Optional.empty(), 0, Map.of(), Map.of(), Set.of()));
            return;
        }
        Optional<ClusterView> view = viewOnceSettled();
        boolean viewUpToDate = view.isEmpty()
                || status.viewTerm() == view.get().term()
                        && status.viewNumber() == view.get().number();
        long current = state.get().tables().tables().revision();
        boolean tablesUpToDate = status.revisionInForce() == current;
        boolean auxiliaryUpToDate = tablesUpToDate && status.auxiliaryRevision() == auxiliaryRevision;
        if (!tablesUpToDate) {
            sentRevisions.put(status.node(), current);
        }
        sender.send(
                status.node(),
                new PeerMessage.HeartbeatReply(
                        true,
                        viewUpToDate ? Optional.empty() : view,
                        tablesUpToDate
                                ? Optional.empty()
                                : Optional.of(state.get().tables().deltaSince(status.revisionInForce())),
                        auxiliaryRevision,
                        auxiliaryUpToDate ? Map.of() : crashCounts(state.get()),
                        auxiliaryUpToDate ? Map.of() : state.get().moves().latest(),
                        auxiliaryUpToDate ? Set.of() : state.get().catalogue().evacuated()));
    }

    /** Sends changed tables to every live node immediately rather than with the reply to its next heartbeat. */
    void onApplied(ControlState state, boolean auxiliaryChanged) {
        if (auxiliaryChanged) {
            auxiliaryRevision = Math.max(auxiliaryRevision + 1, System.currentTimeMillis());
        }
        if (!replica.isLeader()) {
            return;
        }
        long current = state.tables().tables().revision();
        for (NodeStatus status : registry.liveNodes(loop.nowMillis())) {
            long knownRevision = Math.max(status.revisionInForce(), sentRevisions.getOrDefault(status.node(), 0L));
            if (knownRevision < current && status.revisionInForce() >= 0) {
                sentRevisions.put(status.node(), current);
                TablesDelta delta = state.tables().deltaSince(knownRevision);
                sender.send(
                        status.node(),
                        new PeerMessage.TablesPush(delta, state.moves().latest()));
            }
        }
    }

    void onCall(String node, PeerMessage.ControlCall call) {
        resetOnNewTerm();
        if (call.request() instanceof ControlRequest.Commit commit) {
            replica.propose(
                    commit.command(),
                    outcome -> sender.send(node, new PeerMessage.ControlReply(call.call(), resultOf(outcome))));
        } else if (call.request() instanceof ControlRequest.Status) {
            sender.send(node, new PeerMessage.ControlReply(call.call(), status()));
        } else if (call.request() instanceof ControlRequest.Replace replace) {
            sender.send(node, new PeerMessage.ControlReply(call.call(), replace(replace.node())));
        }
    }

    private ControlResult resultOf(ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Committed committed) {
            return new ControlResult.Committed(committed.answer(), isHolderLive(committed.answer()));
        } else if (outcome instanceof ProposalOutcome.Busy) {
            return new ControlResult.Busy();
        }
        return new ControlResult.NotLeader(replica.isLeader() ? "" : replica.leaderNode());
    }

    private boolean isHolderLive(ControlAnswer answer) {
        return answer instanceof ControlAnswer.ClaimResult claim
                && claim.answer() instanceof ClaimAnswer.Held held
                && registry.isLive(held.holder().node(), held.holder().incarnation(), loop.nowMillis());
    }

    private ControlResult status() {
        Optional<ControlState> state = replica.readableState();
        if (state.isEmpty()) {
            return new ControlResult.NotLeader(replica.isLeader() ? "" : replica.leaderNode());
        }
        List<NodeSummary> summaries = new ArrayList<>(registry.summaries(loop.nowMillis()));
        Set<String> missing = new TreeSet<>(Set.of(settings.node()));
        settings.peers().forEach(peer -> missing.add(peer.node()));
        summaries.forEach(summary -> missing.remove(summary.node()));
        missing.forEach(node -> summaries.add(new NodeSummary(node, NodeState.LOST, "", -1, "")));
        return new ControlResult.Report(new PeerMessage.ClusterStatus(
                settings.node(),
                replica.term(),
                state.get().tables().tables().revision(),
                replica.commitIndex(),
                replica.voters(),
                replica.learners(),
                summaries,
                state.get().claims().countsByState(),
                moves(state.get()),
                state.get().catalogue().evacuated()));
    }

    private ControlResult replace(String node) {
        if (replica.readableState().isEmpty()) {
            return new ControlResult.NotLeader(replica.isLeader() ? "" : replica.leaderNode());
        }
        String replacement = registry.liveNodes(loop.nowMillis()).stream()
                .filter(status -> status.node().equals(node))
                .map(NodeStatus::replica)
                .findFirst()
                .orElse("");
        if (replacement.isEmpty()) {
            return new ControlResult.Refused("node " + node + " is not live or has no replica");
        }
        if (replica.voters().contains(replacement)) {
            return new ControlResult.Refused("replica " + replacement + " votes already");
        }
        String lost = replica.voters().stream()
                .filter(voter -> ReplicaRunner.nodeOf(voter).equals(node))
                .findFirst()
                .orElse("");
        if (!replica.replace(replacement, lost)) {
            return new ControlResult.Refused("another change of the replicas is under way");
        }
        ComponentLog.CONTROL.info(
                "Replica " + replacement + " is to replace " + (lost.isEmpty() ? "none" : lost) + '.');
        return new ControlResult.Committed(new ControlAnswer.Done(), false);
    }

    private static List<Move> moves(ControlState state) {
        List<Move> moves = new ArrayList<>(state.moves().ended());
        moves.addAll(state.moves().latest().values());
        return moves;
    }

    private Map<String, Map<String, Integer>> crashCounts(ControlState state) {
        Map<String, Map<String, Integer>> byPool = new HashMap<>();
        for (String pool : state.tables().tables().pools().keySet()) {
            byPool.put(pool, state.suspects().crashCounts(pool));
        }
        return byPool;
    }

    /**
     * Returns the view, or nothing early in a term while live nodes may not have sent their first heartbeat: a view
     * without them would change the owners of queues only to change them back.
     */
    private Optional<ClusterView> viewOnceSettled() {
        long now = loop.nowMillis();
        long settleMillis = 3 * settings.timeouts().heartbeatMillis();
        boolean allNodesLive =
                registry.liveNodes(now).size() == settings.peers().size() + 1;
        if (!allNodesLive && now - termStartedAtMillis < settleMillis) {
            return Optional.empty();
        }
        return Optional.of(registry.view(replica.term(), now));
    }

    private void resetOnNewTerm() {
        if (replica.term() != registryTerm) {
            registryTerm = replica.term();
            termStartedAtMillis = loop.nowMillis();
            registry.reset();
            sentRevisions.clear();
        }
    }

    /**
     * Sends messages to nodes, including this one.
     */
    interface Sender {
        /**
         * Sends a message, which may be lost.
         *
         * @param node the name of the receiver.
         * @param message the message.
         */
        void send(String node, PeerMessage message);
    }
}
