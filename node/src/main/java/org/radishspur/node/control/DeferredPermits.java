package org.radishspur.node.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.radishspur.model.request.PermitId;
import org.radishspur.model.table.Tables;
import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerMessage;

/**
 * Holds requests for permits, and registrations of permits, whose pool isn't in the tables of the owner of its queue yet.
 *
 * <p>An entry obeys an edit once it has it, which may be before the owner has it. A node that has just started is chosen
 * as an owner before it has any tables. To refuse such requests would refuse what all other nodes could serve.
 */
final class DeferredPermits {
    /** The maximum number of requests that are held, which bounds the memory; registrations are bounded by entries and pools. */
    static final int MAX_REQUESTS = 10_000;

    private final long maxDeferralMillis;
    private final Map<PermitId, Request> requests = new LinkedHashMap<>();
    private final Map<RegistrationKey, Registration> registrations = new HashMap<>();

    /**
     * Creates an instance that holds nothing.
     *
     * @param maxDeferralMillis how long a message is held, in milliseconds.
     */
    DeferredPermits(long maxDeferralMillis) {
        this.maxDeferralMillis = maxDeferralMillis;
    }

    /**
     * Returns whether later tables may show the pool of a request: these don't, and the request was sent by later ones, or
     * by an earlier build that doesn't state their revision.
     */
    static boolean mayBecomeKnown(PeerMessage.PermitAcquire request, Tables tables) {
        boolean stated = request.tablesRevision() > 0;
        return tables.pool(request.pool()).isEmpty() && (!stated || request.tablesRevision() > tables.revision());
    }

    /** Holds a request, unless too many are held; one that is sent again doesn't wait longer. Returns whether it is held. */
    boolean defer(String node, PeerMessage.PermitAcquire request, long now) {
        if (requests.size() >= MAX_REQUESTS && !requests.containsKey(request.id())) {
            return false;
        }
        requests.putIfAbsent(request.id(), new Request(node, request, now));
        return true;
    }

    /** Holds a registration in place of an earlier one of the same entry for the same pool. */
    void defer(String node, PeerMessage.PermitRegister register, long now) {
        registrations.put(new RegistrationKey(register.pool(), node), new Registration(node, register, now));
    }

    /** Removes a request that was withdrawn, or a permit that was released. */
    void forget(PermitId id) {
        requests.remove(id);
        registrations.replaceAll((key, registration) -> registration.without(id));
    }

    /** Removes the registration of an entry for a pool, as a later one has been handled. */
    void removeRegistration(String node, String pool) {
        registrations.remove(new RegistrationKey(pool, node));
    }

    /** Removes all messages of a process of an entry. */
    void drop(ClusterView.Member entry) {
        requests.keySet().removeIf(id -> id.node().equals(entry.node()) && id.incarnation() == entry.incarnation());
        registrations
                .values()
                .removeIf(registration -> registration.node.equals(entry.node())
                        && registration.register.incarnation() == entry.incarnation());
    }

    /** Removes and returns the registrations for pools that the tables show and whose queues this node owns. */
    List<Registration> removeRegistrations(Tables tables, Predicate<String> isOwner) {
        return removeIf(
                registrations.values(),
                registration -> tables.pool(registration.register.pool()).isPresent()
                        && isOwner.test(registration.register.pool()));
    }

    /**
     * Removes and returns the requests whose pool the tables show, or won't show, in the order of their arrival. Those for
     * a queue that another node owns by now stay until they expire: their entries have sent them there too, and an owner
     * to which no entry registers its permits would grant slots that are taken.
     */
    List<Request> removeDecided(Tables tables, Predicate<String> isOwner) {
        return removeIf(
                requests.values(),
                request -> !mayBecomeKnown(request.message, tables)
                        && (tables.pool(request.message.pool()).isEmpty() || isOwner.test(request.message.pool())));
    }

    /** Removes the messages that have been held too long, and returns the requests among them. */
    List<Request> removeExpired(long now) {
        registrations.values().removeIf(registration -> now - registration.receivedAt > maxDeferralMillis);
        return removeIf(requests.values(), request -> now - request.receivedAt > maxDeferralMillis);
    }

    /** Returns how many messages are held. */
    int size() {
        return requests.size() + registrations.size();
    }

    private static <T> List<T> removeIf(Iterable<T> values, Predicate<T> condition) {
        List<T> removed = new ArrayList<>();
        for (Iterator<T> remaining = values.iterator(); remaining.hasNext(); ) {
            T value = remaining.next();
            if (condition.test(value)) {
                remaining.remove();
                removed.add(value);
            }
        }
        return removed;
    }

    /**
     * Represents a request that is held.
     *
     * @param node the entry that sent it.
     * @param message the request, with the time that remained when it arrived.
     * @param receivedAt when it arrived, by the clock of the control thread in milliseconds.
     */
    record Request(String node, PeerMessage.PermitAcquire message, long receivedAt) {}

    /**
     * Represents a registration that is held.
     *
     * @param node the entry that sent it.
     * @param register the registration, without permits that were released since.
     * @param receivedAt when it arrived, by the clock of the control thread in milliseconds.
     */
    record Registration(String node, PeerMessage.PermitRegister register, long receivedAt) {
        private Registration without(PermitId id) {
            List<PeerMessage.PermitInUse> remaining = register.inUse().stream()
                    .filter(permit -> !permit.request().id().equals(id))
                    .toList();
            return new Registration(
                    node,
                    new PeerMessage.PermitRegister(
                            register.pool(), register.incarnation(), remaining, register.waiting()),
                    receivedAt);
        }
    }

    /**
     * Identifies a registration.
     *
     * @param pool the name of the pool.
     * @param node the entry.
     */
    private record RegistrationKey(String pool, String node) {}
}
