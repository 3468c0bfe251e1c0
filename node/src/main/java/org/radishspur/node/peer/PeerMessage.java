package org.radishspur.node.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.radishspur.decision.move.Move;
import org.radishspur.decision.permit.PermitOutcome;
import org.radishspur.decision.permit.RequestSize;
import org.radishspur.model.error.Refusal;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.state.ControlAnswer;
import org.radishspur.replication.state.ControlCommand;
import org.radishspur.replication.state.TablesDelta;

/**
 * A message between two nodes of one cluster. The wire format numbers the subtypes in the order of their declaration
 * and writes the components of each in their order.
 */
public sealed interface PeerMessage {
    /**
     * Starts the handshake; sent by the accepting node.
     *
     * @param version the version of the protocol.
     * @param nonce the nonce that the connecting node must sign.
     */
    record Challenge(int version, byte[] nonce) implements PeerMessage {}

    /**
     * Answers a challenge; sent by the connecting node.
     *
     * @param version the version of the protocol.
     * @param cluster the cluster of the connecting node.
     * @param node the name of the connecting node.
     * @param incarnation the run of the connecting node's process.
     * @param nonce the nonce that the accepting node must sign.
     * @param signature the connecting node's signature with the shared key.
     */
    record Hello(int version, String cluster, String node, long incarnation, byte[] nonce, byte[] signature)
            implements PeerMessage {}

    /**
     * Ends the handshake; sent by the accepting node.
     *
     * @param signature the accepting node's signature with the shared key.
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
     * Reports to a control node that the sender is alive.
     *
     * @param status the status of the sender.
     */
    record Heartbeat(NodeStatus status) implements PeerMessage {}

    /**
     * Describes the status of a node to the control leader.
     *
     * @param node the name of the node.
     * @param incarnation the run of its process.
     * @param failureDomain the failure domain that it runs in.
     * @param entry whether it accepts callers' requests.
     * @param shuttingDown whether the node is shutting down.
     * @param revisionInForce the revision of the tables in force on it, or -1 where it has none.
     * @param viewTerm the term of its view of the cluster.
     * @param viewNumber the number of its view within the term.
     * @param auxiliaryRevision the revision of the crash suspects, moves and evacuations that it has.
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
     * @param leader whether the sender is the control leader and holds a valid lease.
     * @param view the view of the cluster, where the node has another one.
     * @param delta the changes of the tables since the node's revision, where it has another one than the leader.
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
     * Sends changes of the tables without waiting for a heartbeat.
     *
     * @param delta the changes.
     * @param moves the latest move of each route as of these changes.
     */
    record TablesPush(TablesDelta delta, Map<String, Move> moves) implements PeerMessage {}

    /**
     * Calls the control leader.
     *
     * @param call the number of the call, unique within the calling process.
     * @param request the request.
     */
    record ControlCall(long call, ControlRequest request) implements PeerMessage {}

    /**
     * Answers a call.
     *
     * @param call the number of the call.
     * @param result the result.
     */
    record ControlReply(long call, ControlResult result) implements PeerMessage {}

    /**
     * Requests a permit from the owner of a pool's queue.
     *
     * @param pool the name of the pool.
     * @param id the identity of the attempt.
     * @param tier the priority tier of the request.
     * @param organisation the organisation that sent the request.
     * @param route the route that the request was sent to.
     * @param remainingMicros the time until the deadline of the request, in microseconds.
     * @param size the estimated size of the request: how much an upstream has to compute for it.
     * @param fingerprint the digest of the request's content.
     * @param tablesRevision the revision of the tables by which the entry node sends the request, or 0 where an older
     *     build doesn't state it.
     */
    record PermitAcquire(
            String pool,
            PermitId id,
            Tier tier,
            String organisation,
            String route,
            long remainingMicros,
            RequestSize size,
            String fingerprint,
            long tablesRevision)
            implements PeerMessage {
        /**
         * Returns this request after it has waited.
         *
         * @param elapsedMicros how long it has waited, in microseconds.
         * @return the request with the time that remains.
         */
        public PermitAcquire afterWaiting(long elapsedMicros) {
            return new PermitAcquire(
                    pool,
                    id,
                    tier,
                    organisation,
                    route,
                    remainingMicros - elapsedMicros,
                    size,
                    fingerprint,
                    tablesRevision);
        }
    }

    /**
     * Grants a permit; sent by the owner of the pool's queue.
     *
     * @param pool the name of the pool.
     * @param id the identity of the attempt.
     * @param upstream the name of the upstream.
     * @param address the address of the upstream.
     */
    record PermitGranted(String pool, PermitId id, String upstream, String address) implements PeerMessage {}

    /**
     * Refuses a permit; the request for it is not retried.
     *
     * @param pool the name of the pool.
     * @param id the identity of the attempt.
     * @param refusal the reason and the time after which the caller may retry.
     */
    record PermitRefused(String pool, PermitId id, Refusal refusal) implements PeerMessage {}

    /**
     * Withdraws a request for a permit.
     *
     * @param pool the name of the pool.
     * @param id the identity of the attempt.
     */
    record PermitCancel(String pool, PermitId id) implements PeerMessage {}

    /**
     * Reports the first token of an answer.
     *
     * @param pool the name of the pool.
     * @param id the identity of the attempt.
     */
    record PermitFirstToken(String pool, PermitId id) implements PeerMessage {}

    /**
     * Releases a permit.
     *
     * @param pool the name of the pool.
     * @param id the identity of the attempt.
     * @param outcome how the attempt ended.
     */
    record PermitRelease(String pool, PermitId id, PermitOutcome outcome) implements PeerMessage {}

    /**
     * Lists all permits and pending requests of an entry node in a pool, so that the owner can reconcile its state.
     *
     * @param pool the name of the pool.
     * @param incarnation the run of the entry node's process.
     * @param inUse the permits in use.
     * @param waiting the attempts whose request for a permit is pending.
     */
    record PermitRegister(String pool, long incarnation, List<PermitInUse> inUse, List<PermitId> waiting)
            implements PeerMessage {}

    /**
     * Passes on the status that an upstream reported in the headers of an answer.
     *
     * @param pool the name of the pool.
     * @param upstream the name of the upstream.
     * @param incarnation the run of its process, or 0 where it wasn't reported.
     * @param leaving whether the upstream is shutting down.
     * @param running the number of requests that it runs, or -1 where it wasn't reported.
     * @param waiting the number of requests queued inside it.
     */
    record UpstreamStatus(String pool, String upstream, long incarnation, boolean leaving, int running, int waiting)
            implements PeerMessage {}

    /**
     * Describes one permit in use.
     *
     * @param request the request that it was granted for.
     * @param upstream the name of the upstream whose slot it holds.
     * @param silent whether the upstream has sent nothing for longer than the time allowed.
     */
    record PermitInUse(PermitAcquire request, String upstream, boolean silent) {}

    /**
     * A request to the control leader.
     */
    sealed interface ControlRequest {
        /**
         * Requests that a command is committed.
         *
         * @param command the command.
         */
        record Commit(ControlCommand command) implements ControlRequest {}

        /**
         * Requests the status of the cluster.
         */
        record Status() implements ControlRequest {}

        /**
         * Requests that the control replica of a node whose disk was lost is replaced.
         *
         * @param node the node, which must have started with a newly formatted data folder.
         */
        record Replace(String node) implements ControlRequest {}
    }

    /**
     * The result of a call to the control leader.
     */
    sealed interface ControlResult {
        /**
         * The command is committed.
         *
         * @param answer the answer of the state machine.
         * @param holderIsLive whether the process of the attempt that holds the claim is live; false where the answer
         *     isn't a claim held by another attempt.
         */
        record Committed(ControlAnswer answer, boolean holderIsLive) implements ControlResult {}

        /**
         * The status of the cluster.
         *
         * @param status the status.
         */
        record Report(ClusterStatus status) implements ControlResult {}

        /**
         * The called node is not the control leader, or lost the leadership during the call; the call may be retried.
         *
         * @param leader the name of the leader's node, or an empty text where it isn't known.
         */
        record NotLeader(String leader) implements ControlResult {}

        /**
         * The leader accepts no more commands for now, because too many are pending or its disk is nearly full.
         */
        record Busy() implements ControlResult {}

        /**
         * The replica cannot be replaced at present.
         *
         * @param problem the reason.
         */
        record Refused(String problem) implements ControlResult {}

        /**
         * No leader answered before the timeout; the command may or may not be committed. Not sent, only passed to
         * listeners.
         */
        record Unreachable() implements ControlResult {}
    }

    /**
     * Describes the cluster as its control leader sees it.
     *
     * @param leader the name of the leader's node.
     * @param term the current term.
     * @param revision the revision of the tables.
     * @param commitIndex the index of the last committed log entry.
     * @param voters the identities of the voting replicas.
     * @param learners the identities of the replicas that catch up before they may vote.
     * @param nodes the nodes in the settings and those that have sent a heartbeat.
     * @param claims the number of claims by state.
     * @param moves the latest move of each route and those that ended before it.
     * @param evacuated the failure domains whose upstreams get no new requests.
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
     * Describes one node in the status of the cluster.
     *
     * @param node the name of the node.
     * @param state the state of the node, as the control leader sees it.
     * @param failureDomain the failure domain that it runs in, or an empty text where it has sent no heartbeat.
     * @param revisionInForce the revision of the tables in force on it, or -1 where it is unknown.
     * @param replica the identity of its control replica, or an empty text.
     */
    record NodeSummary(String node, NodeState state, String failureDomain, long revisionInForce, String replica) {}

    /**
     * The state of a node, as the control leader sees it.
     */
    enum NodeState {
        /** Its latest heartbeat is recent. */
        LIVE,
        /** Its latest heartbeat is recent and reports that it is shutting down. */
        SHUTTING_DOWN,
        /** No heartbeat was received recently, or none at all. */
        LOST
    }
}
