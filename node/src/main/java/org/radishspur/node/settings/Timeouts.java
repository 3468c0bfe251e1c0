package org.radishspur.node.settings;

/**
 * Holds the timeouts and intervals of a node, in milliseconds.
 *
 * @param connectMillis the maximum time to connect to an upstream.
 * @param firstByteMillis the time without data from an upstream before its answer begins after which it is silent.
 * @param idleMillis the time without data from an upstream within its answer after which it is silent.
 * @param callerIdleMillis the maximum time without data from a caller, between requests and within one.
 * @param upstreamKeepMillis how long an idle connection to an upstream is kept open.
 * @param controlCallMillis the maximum duration of a call to the control leader, such as an edit or a claim.
 * @param heartbeatMillis the interval between the heartbeats that a node sends to the control nodes.
 * @param nodeLostMillis the time without a heartbeat after which a node is considered lost.
 * @param raftHeartbeatMillis the interval between the control leader's Raft heartbeats.
 * @param electionMillis the minimum time without a Raft heartbeat after which a control node starts an election.
 * @param shutdownMillis the maximum time that a shutdown waits for requests in progress.
 * @param claimKeepMillis how long the claim of a request's idempotency key is kept.
 * @param suspectKeepMillis how long a request stays suspected of crashing upstreams.
 */
public record Timeouts(
        long connectMillis,
        long firstByteMillis,
        long idleMillis,
        long callerIdleMillis,
        long upstreamKeepMillis,
        long controlCallMillis,
        long heartbeatMillis,
        long nodeLostMillis,
        long raftHeartbeatMillis,
        long electionMillis,
        long shutdownMillis,
        long claimKeepMillis,
        long suspectKeepMillis) {}
