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
 * Makes this node's calls to the control leader, wherever that is: a call is repeated until it is answered or its time
 * is up, which is safe because every command may be proposed again without harm.
 */
final class ControlLink {
    private static final long ATTEMPT_MILLIS = 800;
    private static final long RETRY_MILLIS = 30;
    private static final long SWEEP_MILLIS = 30;

    private final ControlLoop loop;
    private final List<String> controlNodes;
    private final LeaderService.Sender sender;
    private final Map<Long, Call> calls = new HashMap<>();
    private String leader = "";
    private long nextCall;
    private int nextGuess;

    ControlLink(NodeSettings settings, ControlLoop loop, LeaderService.Sender sender) {
        this.loop = loop;
        this.sender = sender;
        this.controlNodes = List.copyOf(settings.controlNodes());
        loop.repeat(this::sweep, SWEEP_MILLIS);
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
        if (reply.result() instanceof ControlResult.NotLeader other) {
            if (call.askedNode.equals(leader)) {
                leader = other.leader();
            }
            call.attemptAt = loop.nowMillis() + RETRY_MILLIS;
            return;
        }
        calls.remove(reply.call());
        call.listener.onEnd(reply.result());
    }

    void onLeader(String node) {
        if (!leader.equals(node)) {
            leader = node;
            calls.values().forEach(call -> call.attemptAt = Math.min(call.attemptAt, loop.nowMillis()));
        }
    }

    String leader() {
        return leader;
    }

    private void attempt(Call call) {
        call.askedNode = leader.isEmpty() ? controlNodes.get(nextGuess++ % controlNodes.size()) : leader;
        call.attemptAt = loop.nowMillis() + ATTEMPT_MILLIS;
        sender.send(call.askedNode, new PeerMessage.ControlCall(call.number, call.request));
    }

    private void sweep() {
        long now = loop.nowMillis();
        List<Call> late = new ArrayList<>();
        Iterator<Call> remaining = calls.values().iterator();
        while (remaining.hasNext()) {
            Call call = remaining.next();
            if (now >= call.endsAt) {
                remaining.remove();
                late.add(call);
            } else if (now >= call.attemptAt) {
                if (call.askedNode.equals(leader)) {
                    leader = "";
                }
                attempt(call);
            }
        }
        late.forEach(call -> call.listener.onEnd(new ControlResult.Unreachable()));
    }

    /**
     * Receives how a call ends, on the control thread.
     */
    interface Listener {
        /**
         * Takes the end.
         *
         * @param result how the call ended.
         */
        void onEnd(ControlResult result);
    }

    /**
     * Tracks one call.
     */
    private static final class Call {
        private final long number;
        private final ControlRequest request;
        private final long endsAt;
        private final Listener listener;
        private String askedNode = "";
        private long attemptAt;

        Call(long number, ControlRequest request, long endsAt, Listener listener) {
            this.number = number;
            this.request = request;
            this.endsAt = endsAt;
            this.listener = listener;
        }
    }
}
