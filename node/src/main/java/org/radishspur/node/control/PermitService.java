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
    private static final long REGISTER_MILLIS = 1_000;
    private static final long UNREACHABLE_MILLIS = 1_500;

    private final ControlLoop loop;
    private final String self;
    private final long incarnation;
    private final LeaderService.Sender sender;
    private final Reachability reachability;
    private final Map<PermitId, Asked> waiting = new LinkedHashMap<>();
    private final Map<PermitId, PeerMessage.InUse> inUse = new HashMap<>();
    private final Map<String, String> owners = new HashMap<>();
    private final Map<String, Long> lostSince = new HashMap<>();
    private ClusterView view = ClusterView.NONE;
    private Tables tables = Tables.EMPTY;

    PermitService(
            ControlLoop loop, String self, long incarnation, LeaderService.Sender sender, Reachability reachability) {
        this.loop = loop;
        this.self = self;
        this.incarnation = incarnation;
        this.sender = sender;
        this.reachability = reachability;
        loop.repeat(this::refresh, REGISTER_MILLIS);
    }

    void onTables(Tables changed) {
        tables = changed;
        chooseOwners();
    }

    void onView(ClusterView changed) {
        view = changed;
        chooseOwners();
    }

    void onLink(String node, boolean connected) {
        if (connected) {
            lostSince.remove(node);
        } else {
            lostSince.put(node, loop.nowMillis());
        }
        chooseOwners();
        if (connected) {
            owners.forEach((pool, owner) -> {
                if (owner.equals(node)) {
                    introduce(pool, owner);
                }
            });
        }
    }

    void ask(PeerMessage.PermitAsk ask, PermitListener listener) {
        waiting.put(ask.id(), new Asked(ask, loop.nowMicros(), listener));
        String owner = owners.get(ask.pool());
        if (owner != null) {
            sender.send(owner, ask);
        }
    }

    /** Withdraws an attempt that waits; returns whether it did, so that a grant can't come any more. */
    boolean cancel(PermitId id) {
        Asked asked = waiting.remove(id);
        if (asked != null) {
            sendToOwner(asked.ask.pool(), new PeerMessage.PermitCancel(asked.ask.pool(), id));
        }
        return asked != null;
    }

    void firstToken(PermitId id) {
        PeerMessage.InUse use = inUse.get(id);
        if (use != null) {
            sendToOwner(
                    use.ask().pool(), new PeerMessage.PermitFirstToken(use.ask().pool(), id));
        }
    }

    void pass(PeerMessage.UpstreamWord word) {
        sendToOwner(word.pool(), word);
    }

    void finish(PermitId id, PermitOutcome outcome) {
        PeerMessage.InUse use = inUse.remove(id);
        if (use != null) {
            sendToOwner(use.ask().pool(), new PeerMessage.PermitFinish(use.ask().pool(), id, outcome));
        }
    }

    void onGranted(PeerMessage.PermitGranted granted) {
        Asked asked = waiting.remove(granted.id());
        if (asked == null) {
            // The request was given up meanwhile, or this is a second grant by another owner: the slot goes back.
            if (!inUse.containsKey(granted.id())) {
                sendToOwner(
                        granted.pool(),
                        new PeerMessage.PermitFinish(
                                granted.pool(), granted.id(), PermitOutcome.of(PermitOutcome.Ending.UNUSED)));
            }
            return;
        }
        inUse.put(granted.id(), new PeerMessage.InUse(asked.ask, granted.upstream()));
        asked.listener.onGranted(granted.upstream(), granted.address());
    }

    void onRefused(PeerMessage.PermitRefused refused) {
        Asked asked = waiting.remove(refused.id());
        if (asked != null) {
            asked.listener.onRefused(refused.refusal());
        }
    }

    int inUse() {
        return inUse.size();
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
            if (member.node().equals(self) || !isUnreachable(member.node())) {
                candidates.add(member.node());
            }
        }
        owners.keySet().retainAll(tables.pools().keySet());
        for (String pool : tables.pools().keySet()) {
            Optional<String> owner = Rendezvous.INSTANCE.owner(pool, candidates);
            if (owner.isPresent() && !owner.get().equals(owners.get(pool))) {
                owners.put(pool, owner.get());
                introduce(pool, owner.get());
            }
        }
    }

    /** Tells an owner all that goes on here, then asks again for what waits. Both may be repeated without harm. */
    private void introduce(String pool, String owner) {
        List<PeerMessage.InUse> used = inUse.values().stream()
                .filter(use -> use.ask().pool().equals(pool))
                .map(use -> new PeerMessage.InUse(remaining(use.ask(), 0), use.upstream()))
                .toList();
        List<Asked> asked = waiting.values().stream()
                .filter(each -> each.ask.pool().equals(pool))
                .toList();
        List<PermitId> ids = new ArrayList<>();
        asked.forEach(each -> ids.add(each.ask.id()));
        sender.send(owner, new PeerMessage.PermitRegister(pool, incarnation, used, ids));
        asked.forEach(each -> sender.send(owner, remaining(each.ask, loop.nowMicros() - each.askedAt)));
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
        long since = lostSince.computeIfAbsent(node, key -> loop.nowMillis());
        return loop.nowMillis() - since > UNREACHABLE_MILLIS;
    }

    private void refresh() {
        chooseOwners();
        owners.forEach(this::introduce);
        long now = loop.nowMicros();
        List<Asked> late = waiting.values().stream()
                .filter(asked -> now - asked.askedAt > asked.ask.remainingMicros())
                .toList();
        for (Asked asked : late) {
            cancel(asked.ask.id());
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
     * @param ask the request.
     * @param askedAt when it was made, by the monotonic clock in microseconds.
     * @param listener receives the outcome.
     */
    private record Asked(PeerMessage.PermitAsk ask, long askedAt, PermitListener listener) {}
}
