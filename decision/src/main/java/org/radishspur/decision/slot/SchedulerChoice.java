package org.radishspur.decision.slot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.radishspur.decision.dispatch.RendezvousWeight;

/**
 * Chooses the scheduler of one entry: one of its own failure domain where that answers, else any other. Entries without one of
 * their own spread over the others by rendezvous hashing.
 */
public final class SchedulerChoice {
    /** How long a scheduler that didn't answer gets no request, in milliseconds; it doubles with each further time. */
    private static final long AVOIDED_MILLIS = 1_000;

    /** The longest such time, in milliseconds. */
    private static final long LONGEST_AVOIDED_MILLIS = 8_000;

    /** How long one gets no request that says that it isn't ready, in milliseconds. */
    private static final long UNREADY_MILLIS = 100;

    private final String entry;
    private final String failureDomain;
    private final Map<String, Avoidance> avoided = new HashMap<>();
    private List<String> inOrder = List.of();

    /**
     * Creates a choice among no schedulers.
     *
     * @param entry the address of the entry.
     * @param failureDomain the failure domain of the entry.
     */
    public SchedulerChoice(String entry, String failureDomain) {
        this.entry = entry;
        this.failureDomain = failureDomain;
    }

    /**
     * Puts schedulers in the order in which something should use them: those of its failure domain first, and each in an order
     * of its own, on which all agree that know the same schedulers.
     *
     * @param name what should use a scheduler.
     * @param failureDomain where it stands.
     * @param failureDomains the failure domain of each scheduler, by its address.
     * @return the addresses, the best first.
     */
    public static List<String> inOrder(String name, String failureDomain, Map<String, String> failureDomains) {
        List<String> addresses = new ArrayList<>(failureDomains.keySet());
        addresses.sort(Comparator.<String, Boolean>comparing(
                        address -> !failureDomains.get(address).equals(failureDomain))
                .thenComparingInt(address -> RendezvousWeight.INSTANCE.of(name, address)));
        return List.copyOf(addresses);
    }

    /**
     * Sets the schedulers.
     *
     * @param failureDomains the failure domain of each scheduler, by its address.
     */
    public void schedulers(Map<String, String> failureDomains) {
        inOrder = inOrder(entry, failureDomain, failureDomains);
        avoided.keySet().retainAll(failureDomains.keySet());
    }

    /**
     * Returns the scheduler to ask.
     *
     * @param reachable tells whether there is a connection to a scheduler.
     * @param now the clock in milliseconds.
     * @return its address, or nothing where none is likely to answer.
     */
    public Optional<String> choose(Predicate<String> reachable, long now) {
        return inOrder.stream()
                .filter(address -> !isAvoided(address, now) && reachable.test(address))
                .findFirst();
    }

    /**
     * Notes that a scheduler has not answered in time, or that the connection to it was lost.
     *
     * @param address the scheduler.
     * @param now the clock in milliseconds.
     */
    public void failed(String address, long now) {
        int failures = avoided.getOrDefault(address, Avoidance.NONE).failures();
        long millis = Math.min(LONGEST_AVOIDED_MILLIS, AVOIDED_MILLIS << Math.min(failures, 10));
        avoided.put(address, new Avoidance(now + millis, failures + 1));
    }

    /**
     * Notes that a scheduler isn't ready.
     *
     * @param address the scheduler.
     * @param now the clock in milliseconds.
     */
    public void unready(String address, long now) {
        avoided.put(address, new Avoidance(now + UNREADY_MILLIS, 0));
    }

    /**
     * Notes that a scheduler has answered.
     *
     * @param address the scheduler.
     */
    public void answered(String address) {
        avoided.remove(address);
    }

    private boolean isAvoided(String address, long now) {
        return now < avoided.getOrDefault(address, Avoidance.NONE).until();
    }

    /**
     * Says until when a scheduler gets no request.
     *
     * @param until the clock in milliseconds.
     * @param failures how many times in a row it has not answered.
     */
    private record Avoidance(long until, int failures) {
        static final Avoidance NONE = new Avoidance(Long.MIN_VALUE, 0);
    }
}
