package org.radishspur.node.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.radishspur.decision.move.Move;
import org.radishspur.decision.permit.PermitOutcome;
import org.radishspur.decision.permit.Work;
import org.radishspur.model.error.Refusal;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.state.ControlAnswer;
import org.radishspur.replication.state.ControlCommand;
import org.radishspur.replication.state.TablesDelta;

/**
 * Passes between two nodes of one cluster.
 */
public sealed interface PeerMessage {
    /**
     * Opens a connection from the side that was called.
     *
     * @param version the version of the protocol.
     * @param nonce bytes that the caller must sign.
     */
    record Challenge(int version, byte[] nonce) implements PeerMessage {}

    /**
     * Answers a challenge.
     *
     * @param version the version of the protocol.
     * @param cluster the cluster of the caller.
     * @param node the name of the caller.
     * @param incarnation which run of the caller's process it is.
     * @param nonce bytes that the called side must sign.
     * @param signature the proof that the caller holds the shared key.
     */
    record Hello(int version, String cluster, String node, long incarnation, byte[] nonce, byte[] signature)
            implements PeerMessage {}

    /**
     * Accepts a connection.
     *
     * @param signature the proof that the called side holds the shared key.
     */
    record Welcome(byte[] signature) implements PeerMessage {}

    /**
     * Carries a message between control replicas.
     *
     * @param from the identity of the sending replica.
     * @param to the identity of the receiving replica.
     * @param message the message.
     */
    record Raft(String from, String to, RaftMessage message) implements PeerMessage {}

    /**
     * Shows a control node that a node lives.
     *
     * @param status what the node says of itself.
     */
    record Heartbeat(NodeStatus status) implements PeerMessage {}

    /**
     * Describes a node to the control leader.
     *
     * @param node the name of the node.
     * @param incarnation which run of its process it is.
     * @param failureDomain where it stands.
     * @param entry whether it takes callers' requests.
     * @param shuttingDown whether it is being stopped as planned.
     * @param revisionInForce the revision of the tables that it works by.
     * @param viewTerm the term of the view that it works by.
     * @param viewNumber the number of the view that it works by.
     * @param auxiliaryRevision the revision of the crash suspects and moves that it knows.
     * @param replica the identity of its control replica, or an empty text.
     */
    record NodeStatus(
            String node,
            long incarnation,
            String failureDomain,
            boolean entry,
            boolean shuttingDown,
            long revisionInForce,
            long viewTerm,
            long viewNumber,
            long auxiliaryRevision,
            String replica) {}

    /**
     * Answers a heartbeat.
     *
     * @param leader whether the sender leads and its lease holds.
     * @param view the view, where the node has an older one.
     * @param delta the changes of the tables that the node lacks.
     * @param auxiliaryRevision the revision of the crash suspects, moves and evacuations.
     * @param suspects the crash counts by pool and fingerprint, where the node has another revision.
     * @param moves the latest move of each route, where the node has another revision or gets changes of the tables.
     * @param evacuated the evacuated failure domains, where the node has another revision.
     */
    record HeartbeatReply(
            boolean leader,
            Optional<ClusterView> view,
            Optional<TablesDelta> delta,
            long auxiliaryRevision,
            Map<String, Map<String, Integer>> suspects,
            Map<String, Move> moves,
            Set<String> evacuated)
            implements PeerMessage {}

    /**
     * Carries fresh changes of the tables without waiting for a heartbeat.
     *
     * @param delta the changes.
     * @param moves the latest move of each route as of these changes.
     */
    record TablesPush(TablesDelta delta, Map<String, Move> moves) implements PeerMessage {}

    /**
     * Asks the control leader to commit a command, or for a report.
     *
     * @param call the number of the call, unique within the asking process.
     * @param request what is asked.
     */
    record ControlCall(long call, ControlRequest request) implements PeerMessage {}

    /**
     * Answers a call.
     *
     * @param call the number of the call.
     * @param result the answer.
     */
    record ControlReply(long call, ControlResult result) implements PeerMessage {}

    /**
     * Asks the owner of a pool's queue for a permit.
     *
     * @param pool the pool.
     * @param id the attempt.
     * @param tier the urgency of the request.
     * @param organisation the organisation that sent it.
     * @param route the route that it came by.
     * @param remainingMicros how long the answer keeps its value.
     * @param work how much the request asks of an upstream.
     * @param fingerprint the digest of the request's content.
     */
    record PermitAsk(
            String pool,
            PermitId id,
            Tier tier,
            String organisation,
            String route,
            long remainingMicros,
            Work work,
            String fingerprint)
            implements PeerMessage {}

    /**
     * Grants a permit.
     *
     * @param pool the pool.
     * @param id the attempt.
     * @param upstream the name of the upstream.
     * @param address the address of the upstream.
     */
    record PermitGranted(String pool, PermitId id, String upstream, String address) implements PeerMessage {}

    /**
     * Refuses a permit for good.
     *
     * @param pool the pool.
     * @param id the attempt.
     * @param refusal the final answer.
     */
    record PermitRefused(String pool, PermitId id, Refusal refusal) implements PeerMessage {}

    /**
     * Withdraws a request for a permit.
     *
     * @param pool the pool.
     * @param id the attempt.
     */
    record PermitCancel(String pool, PermitId id) implements PeerMessage {}

    /**
     * Says that the first token of an answer has come.
     *
     * @param pool the pool.
     * @param id the attempt.
     */
    record PermitFirstToken(String pool, PermitId id) implements PeerMessage {}

    /**
     * Gives a permit back.
     *
     * @param pool the pool.
     * @param id the attempt.
     * @param outcome how the permit was used.
     */
    record PermitFinish(String pool, PermitId id, PermitOutcome outcome) implements PeerMessage {}

    /**
     * Lists all that an entry process has going on in a pool, so that the owner's books agree with it.
     *
     * @param pool the pool.
     * @param incarnation which run of the entry's process it is.
     * @param inUse the permits in use.
     * @param waiting the attempts that wait for a permit.
     */
    record PermitRegister(String pool, long incarnation, List<PermitInUse> inUse, List<PermitId> waiting)
            implements PeerMessage {}

    /**
     * Passes on what an upstream said of itself at the head of an answer.
     *
     * @param pool the pool.
     * @param upstream the name of the upstream.
     * @param incarnation which run of its process it is, or 0 where it didn't say.
     * @param leaving whether it is leaving.
     * @param running how many requests it runs, or -1 where it didn't say.
     * @param waiting how many requests wait inside it.
     */
    record UpstreamWord(String pool, String upstream, long incarnation, boolean leaving, int running, int waiting)
            implements PeerMessage {}

    /**
     * Describes one permit in use.
     *
     * @param request the request for it.
     * @param upstream the upstream that it is for.
     */
    record PermitInUse(PermitAsk request, String upstream) {}

    /**
     * Names what the control leader may be asked.
     */
    sealed interface ControlRequest {
        /**
         * Asks to commit a command.
         *
         * @param command the command.
         */
        record Commit(ControlCommand command) implements ControlRequest {}

        /**
         * Asks for the state of the cluster.
         */
        record Status() implements ControlRequest {}

        /**
         * Asks to replace the control replica of a node whose disk was lost.
         *
         * @param node the node, which has started with a freshly formatted folder.
         */
        record Replace(String node) implements ControlRequest {}
    }

    /**
     * Names how a call to the control leader ends.
     */
    sealed interface ControlResult {
        /**
         * Says that the command is committed.
         *
         * @param answer what the state machine answered.
         * @param holderLives where a claim is held by another attempt, whether that attempt's process lives.
         */
        record Committed(ControlAnswer answer, boolean holderLives) implements ControlResult {}

        /**
         * Carries the state of the cluster.
         *
         * @param status the state.
         */
        record Report(ClusterStatus status) implements ControlResult {}

        /**
         * Says that another node leads, or that leadership was lost in the middle; the call may be made again.
         *
         * @param leader the node that leads, or an empty text.
         */
        record NotLeader(String leader) implements ControlResult {}

        /**
         * Says that the leader takes no more commands for now.
         */
        record Busy() implements ControlResult {}

        /**
         * Says that a replacement is not possible as things stand.
         *
         * @param problem why not.
         */
        record Refused(String problem) implements ControlResult {}

        /**
         * Says that no leader answered in time; the command may or may not be committed.
         */
        record Unreachable() implements ControlResult {}
    }

    /**
     * Describes the cluster as its control leader sees it.
     *
     * @param leader the node that leads.
     * @param term the term of its leadership.
     * @param revision the revision of the tables.
     * @param commitIndex the greatest committed index of the log.
     * @param voters the identities of the voting replicas.
     * @param learners the identities of the replicas that catch up.
     * @param nodes every node that was heard of.
     * @param claims the number of claims by state.
     * @param moves the latest move of each route, and those before it.
     * @param evacuated the failure domains whose upstreams get no new request.
     */
    record ClusterStatus(
            String leader,
            long term,
            long revision,
            long commitIndex,
            List<String> voters,
            List<String> learners,
            List<NodeSummary> nodes,
            Map<String, Integer> claims,
            List<Move> moves,
            Set<String> evacuated) {}

    /**
     * Describes one node within the cluster.
     *
     * @param node the name of the node.
     * @param state whether it lives.
     * @param failureDomain where it stands.
     * @param revisionInForce the revision of the tables that it works by.
     * @param replica the identity of its control replica, or an empty text.
     */
    record NodeSummary(String node, NodeState state, String failureDomain, long revisionInForce, String replica) {}

    /**
     * Names how a node seems to the control leader.
     */
    enum NodeState {
        /** It shows that it lives. */
        LIVE,
        /** It is being stopped as planned. */
        SHUTTING_DOWN,
        /** It was heard of, but not lately. */
        LOST
    }
}
