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
 * Gets permits for this entry's requests from the owners of the pools' queues, whoever they are at the moment.
 */
final class PermitService {
    private static final long REGISTRATION_INTERVAL_MILLIS = 1_000;
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
            ControlLoop loop, String self, long incarnation, LeaderService.Sender sender, Reachability reachability) {
        this.loop = loop;
        this.localNode = self;
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

    void request(PeerMessage.PermitAsk ask, PermitListener listener) {
        pendingRequests.put(ask.id(), new PendingRequest(ask, loop.nowMicros(), listener));
        String owner = owners.get(ask.pool());
        if (owner != null) {
            sender.send(owner, ask);
        }
    }

    /** Withdraws an attempt that waits; returns whether it did, so that a grant can't come any more. */
    boolean cancel(PermitId id) {
        PendingRequest asked = pendingRequests.remove(id);
        if (asked != null) {
            sendToOwner(asked.request.pool(), new PeerMessage.PermitCancel(asked.request.pool(), id));
        }
        return asked != null;
    }

    void reportFirstToken(PermitId id) {
        PeerMessage.PermitInUse use = permitsInUse.get(id);
        if (use != null) {
            sendToOwner(
                    use.request().pool(),
                    new PeerMessage.PermitFirstToken(use.request().pool(), id));
        }
    }

    void reportUpstreamStatus(PeerMessage.UpstreamWord word) {
        sendToOwner(word.pool(), word);
    }

    void release(PermitId id, PermitOutcome outcome) {
        PeerMessage.PermitInUse use = permitsInUse.remove(id);
        if (use != null) {
            sendToOwner(
                    use.request().pool(),
                    new PeerMessage.PermitFinish(use.request().pool(), id, outcome));
        }
    }

    void onGranted(PeerMessage.PermitGranted granted) {
        PendingRequest asked = pendingRequests.remove(granted.id());
        if (asked == null) {
            // The request was given up meanwhile, or this is a second grant by another owner: the slot goes back.
            if (!permitsInUse.containsKey(granted.id())) {
                sendToOwner(
                        granted.pool(),
                        new PeerMessage.PermitFinish(
                                granted.pool(), granted.id(), PermitOutcome.of(PermitOutcome.Ending.UNUSED)));
            }
            return;
        }
        permitsInUse.put(granted.id(), new PeerMessage.PermitInUse(asked.request, granted.upstream()));
        asked.listener.onGranted(granted.upstream(), granted.address());
    }

    void onRefused(PeerMessage.PermitRefused refused) {
        PendingRequest asked = pendingRequests.remove(refused.id());
        if (asked != null) {
            asked.listener.onRefused(refused.refusal());
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

    /** Tells an owner all that goes on here, then asks again for what waits. Both may be repeated without harm. */
    private void register(String pool, String owner) {
        List<PeerMessage.PermitInUse> used = permitsInUse.values().stream()
                .filter(use -> use.request().pool().equals(pool))
                .map(use -> new PeerMessage.PermitInUse(remaining(use.request(), 0), use.upstream()))
                .toList();
        List<PendingRequest> asked = pendingRequests.values().stream()
                .filter(each -> each.request.pool().equals(pool))
                .toList();
        List<PermitId> ids = new ArrayList<>();
        asked.forEach(each -> ids.add(each.request.id()));
        sender.send(owner, new PeerMessage.PermitRegister(pool, incarnation, used, ids));
        asked.forEach(each -> sender.send(owner, remaining(each.request, loop.nowMicros() - each.requestedAtMicros)));
    }

    private static PeerMessage.PermitAsk remaining(PeerMessage.PermitAsk ask, long elapsedMicros) {
        return new PeerMessage.PermitAsk(
                ask.pool(),
                ask.id(),
                ask.tier(),
                ask.organisation(),
                ask.route(),
                ask.remainingMicros() - elapsedMicros,
                ask.work(),
                ask.fingerprint());
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
        List<PendingRequest> late = pendingRequests.values().stream()
                .filter(asked -> now - asked.requestedAtMicros > asked.request.remainingMicros())
                .toList();
        for (PendingRequest asked : late) {
            cancel(asked.request.id());
            asked.listener.onRefused(Refusal.notRun(
                    RefusalReason.OWNER_UNREACHABLE, "The owner of the pool's queue did not answer.", 1_000));
        }
    }

    /**
     * Tells which nodes can be reached.
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
     * Remembers a request for a permit.
     *
     * @param request the request.
     * @param requestedAtMicros when it was made, by the monotonic clock in microseconds.
     * @param listener receives the outcome.
     */
    private record PendingRequest(PeerMessage.PermitAsk request, long requestedAtMicros, PermitListener listener) {}
}
