package org.radishspur.node.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.radishspur.decision.permit.PermitOutcome;
import org.radishspur.model.error.Refusal;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.table.Tables;
import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerMessage;

/**
 * Requests permits for this entry node's requests from the owners of the pools' queues, and tracks changes of the
 * owners.
 */
final class PermitService {
    private static final long REGISTRATION_INTERVAL_MILLIS = 1_000;
    /** How long an owner may be without a connection before another node is chosen. */
    private static final long OWNER_LOST_MILLIS = 1_500;

    private final ControlLoop loop;
    private final String localNode;
    private final long incarnation;
    private final LeaderService.Sender sender;
    private final Reachability reachability;
    private final Map<PermitId, PendingRequest> pendingRequests = new LinkedHashMap<>();
    private final Map<PermitId, PeerMessage.PermitInUse> permitsInUse = new HashMap<>();
    private final Map<String, String> owners = new HashMap<>();
    private final Map<String, Long> disconnectedSinceMillis = new HashMap<>();
    private ClusterView view = ClusterView.NONE;
    private Tables tables = Tables.EMPTY;

    PermitService(
            ControlLoop loop,
            String localNode,
            long incarnation,
            LeaderService.Sender sender,
            Reachability reachability) {
        this.loop = loop;
        this.localNode = localNode;
        this.incarnation = incarnation;
        this.sender = sender;
        this.reachability = reachability;
        loop.repeat(this::refresh, REGISTRATION_INTERVAL_MILLIS);
    }

    void onTables(Tables changed) {
        tables = changed;
        chooseOwners();
    }

    void onView(ClusterView changed) {
        view = changed;
        chooseOwners();
    }

    void onConnectionChanged(String node, boolean connected) {
        if (connected) {
            disconnectedSinceMillis.remove(node);
        } else {
            disconnectedSinceMillis.put(node, loop.nowMillis());
        }
        chooseOwners();
        if (connected) {
            owners.forEach((pool, owner) -> {
                if (owner.equals(node)) {
                    register(pool, owner);
                }
            });
        }
    }

    void request(PeerMessage.PermitAcquire request, PermitListener listener) {
        pendingRequests.put(request.id(), new PendingRequest(request, loop.nowMicros(), listener));
        String owner = owners.get(request.pool());
        if (owner != null) {
            sender.send(owner, request);
        }
    }

    /** Withdraws a pending request; returns whether it was pending, in which case no grant will be passed on. */
    boolean cancel(PermitId id) {
        PendingRequest pending = pendingRequests.remove(id);
        if (pending != null) {
            sendToOwner(pending.request.pool(), new PeerMessage.PermitCancel(pending.request.pool(), id));
        }
        return pending != null;
    }

    void reportFirstToken(PermitId id) {
        PeerMessage.PermitInUse permit = permitsInUse.get(id);
        if (permit != null) {
            sendToOwner(
                    permit.request().pool(),
                    new PeerMessage.PermitFirstToken(permit.request().pool(), id));
        }
    }

    /** Keeps whether the upstream of a permit is silent, which the next registration reports to its owner. */
    void reportSilence(PermitId id, boolean silent) {
        permitsInUse.computeIfPresent(
                id, (key, permit) -> new PeerMessage.PermitInUse(permit.request(), permit.upstream(), silent));
    }

    void reportUpstreamStatus(PeerMessage.UpstreamStatus status) {
        sendToOwner(status.pool(), status);
    }

    void release(PermitId id, PermitOutcome outcome) {
        PeerMessage.PermitInUse permit = permitsInUse.remove(id);
        if (permit != null) {
            sendToOwner(
                    permit.request().pool(),
                    new PeerMessage.PermitRelease(permit.request().pool(), id, outcome));
        }
    }

    void onGranted(PeerMessage.PermitGranted granted) {
        PendingRequest pending = pendingRequests.remove(granted.id());
        if (pending == null) {
            // The request was withdrawn in the meantime, or another owner has granted a second permit: the slot is
            // released.
            if (!permitsInUse.containsKey(granted.id())) {
                sendToOwner(
                        granted.pool(),
                        new PeerMessage.PermitRelease(
                                granted.pool(), granted.id(), PermitOutcome.of(PermitOutcome.Ending.UNUSED)));
            }
            return;
        }
        permitsInUse.put(granted.id(), new PeerMessage.PermitInUse(pending.request, granted.upstream(), false));
        pending.listener.onGranted(granted.upstream(), granted.address());
    }

    /** Passes a refusal on, unless it comes from a node that no longer owns the queue: the request waits at the present one. */
    void onRefused(String node, PeerMessage.PermitRefused refused) {
        String owner = owners.get(refused.pool());
        if (owner != null && !owner.equals(node)) {
            return;
        }
        PendingRequest pending = pendingRequests.remove(refused.id());
        if (pending != null) {
            pending.listener.onRefused(refused.refusal());
        }
    }

    int permitsInUse() {
        return permitsInUse.size();
    }

    Map<String, String> owners() {
        return Map.copyOf(owners);
    }

    private void sendToOwner(String pool, PeerMessage message) {
        String owner = owners.get(pool);
        if (owner != null) {
            sender.send(owner, message);
        }
    }

    private void chooseOwners() {
        TreeSet<String> candidates = new TreeSet<>();
        for (ClusterView.Member member : view.entries()) {
            if (member.node().equals(localNode) || !isUnreachable(member.node())) {
                candidates.add(member.node());
            }
        }
        owners.keySet().retainAll(tables.pools().keySet());
        for (String pool : tables.pools().keySet()) {
            Optional<String> owner = RendezvousHash.INSTANCE.owner(pool, candidates);
            if (owner.isPresent() && !owner.get().equals(owners.get(pool))) {
                owners.put(pool, owner.get());
                register(pool, owner.get());
            }
        }
    }

    /** Registers the permits in use with an owner, then requests the pending ones again. Both are idempotent. */
    private void register(String pool, String owner) {
        List<PeerMessage.PermitInUse> registered = permitsInUse.values().stream()
                .filter(permit -> permit.request().pool().equals(pool))
                .toList();
        List<PendingRequest> pending = pendingRequests.values().stream()
                .filter(request -> request.request.pool().equals(pool))
                .toList();
        List<PermitId> ids = new ArrayList<>();
        pending.forEach(request -> ids.add(request.request.id()));
        sender.send(owner, new PeerMessage.PermitRegister(pool, incarnation, registered, ids));
        pending.forEach(request ->
                sender.send(owner, request.request.afterWaiting(loop.nowMicros() - request.requestedAtMicros)));
    }

    private boolean isUnreachable(String node) {
        if (reachability.isConnected(node)) {
            return false;
        }
        long since = disconnectedSinceMillis.computeIfAbsent(node, key -> loop.nowMillis());
        return loop.nowMillis() - since > OWNER_LOST_MILLIS;
    }

    private void refresh() {
        chooseOwners();
        owners.forEach(this::register);
        long now = loop.nowMicros();
        List<PendingRequest> expired = pendingRequests.values().stream()
                .filter(pending -> now - pending.requestedAtMicros > pending.request.remainingMicros())
                .toList();
        for (PendingRequest pending : expired) {
            cancel(pending.request.id());
            pending.listener.onRefused(Refusal.notRun(
                    RefusalReason.OWNER_UNREACHABLE, "The owner of the pool's queue did not answer.", 1_000));
        }
    }

    /**
     * Checks the connections to other nodes.
     */
    interface Reachability {
        /**
         * Returns whether messages to a node can be sent now.
         *
         * @param node the name of the node.
         * @return whether there is a connection.
         */
        boolean isConnected(String node);
    }

    /**
     * Holds a pending request for a permit.
     *
     * @param request the request.
     * @param requestedAtMicros when it was made, by the control thread's clock in microseconds.
     * @param listener receives the outcome.
     */
    private record PendingRequest(PeerMessage.PermitAcquire request, long requestedAtMicros, PermitListener listener) {}
}
