package org.radishspur.node.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.radishspur.node.peer.PeerMessage;
import org.radishspur.node.peer.PeerMessage.ControlRequest;
import org.radishspur.node.peer.PeerMessage.ControlResult;
import org.radishspur.node.settings.NodeSettings;

/**
 * Calls the control leader, whichever node that is. A call is retried until it is answered or its timeout expires,
 * which is safe because every command is idempotent.
 */
final class ControlClient {
    private static final long ATTEMPT_TIMEOUT_MILLIS = 800;
    private static final long RETRY_DELAY_MILLIS = 30;
    private static final long CHECK_INTERVAL_MILLIS = 30;

    private final ControlLoop loop;
    private final List<String> controlNodes;
    private final LeaderService.Sender sender;
    private final Map<Long, Call> calls = new HashMap<>();
    private String leader = "";
    private long nextCall;
    private int nextControlNode;

    ControlClient(NodeSettings settings, ControlLoop loop, LeaderService.Sender sender) {
        this.loop = loop;
        this.sender = sender;
        this.controlNodes = List.copyOf(settings.controlNodes());
        loop.repeat(this::checkCalls, CHECK_INTERVAL_MILLIS);
    }

    void call(ControlRequest request, long timeoutMillis, Listener listener) {
        Call call = new Call(nextCall++, request, loop.nowMillis() + timeoutMillis, listener);
        calls.put(call.number, call);
        attempt(call);
    }

    void onReply(PeerMessage.ControlReply reply) {
        Call call = calls.get(reply.call());
        if (call == null) {
            return;
        }
        if (reply.result() instanceof ControlResult.NotLeader notLeader) {
            if (call.calledNode.equals(leader)) {
                leader = notLeader.leader();
            }
            call.nextAttemptAtMillis = loop.nowMillis() + RETRY_DELAY_MILLIS;
            return;
        }
        calls.remove(reply.call());
        call.listener.onResult(reply.result());
    }

    void onLeader(String node) {
        if (!leader.equals(node)) {
            leader = node;
            calls.values()
                    .forEach(call -> call.nextAttemptAtMillis = Math.min(call.nextAttemptAtMillis, loop.nowMillis()));
        }
    }

    String leader() {
        return leader;
    }

    private void attempt(Call call) {
        call.calledNode = leader.isEmpty() ? controlNodes.get(nextControlNode++ % controlNodes.size()) : leader;
        call.nextAttemptAtMillis = loop.nowMillis() + ATTEMPT_TIMEOUT_MILLIS;
        sender.send(call.calledNode, new PeerMessage.ControlCall(call.number, call.request));
    }

    private void checkCalls() {
        long now = loop.nowMillis();
        List<Call> expired = new ArrayList<>();
        Iterator<Call> remaining = calls.values().iterator();
        while (remaining.hasNext()) {
            Call call = remaining.next();
            if (now >= call.expiresAtMillis) {
                remaining.remove();
                expired.add(call);
            } else if (now >= call.nextAttemptAtMillis) {
                if (call.calledNode.equals(leader)) {
                    leader = "";
                }
                attempt(call);
            }
        }
        expired.forEach(call -> call.listener.onResult(new ControlResult.Unreachable()));
    }

    /**
     * Receives the result of a call, on the control thread.
     */
    interface Listener {
        /**
         * Receives the result, exactly once.
         *
         * @param result the answer, or {@link ControlResult.Unreachable} after the timeout.
         */
        void onResult(ControlResult result);
    }

    /**
     * Holds the state of one call.
     */
    private static final class Call {
        private final long number;
        private final ControlRequest request;
        private final long expiresAtMillis;
        private final Listener listener;
        private String calledNode = "";
        private long nextAttemptAtMillis;

        Call(long number, ControlRequest request, long expiresAtMillis, Listener listener) {
            this.number = number;
            this.request = request;
            this.expiresAtMillis = expiresAtMillis;
            this.listener = listener;
        }
    }
}
