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
 * Chooses the scheduler that one entry sends its requests to. It prefers schedulers in the failure domain of the entry
 * and falls back to those in other failure domains. Rendezvous hashing spreads entries over equally preferred
 * schedulers.
 */
public final class SchedulerChoice {
    /**
     * How long a scheduler is avoided after its first failure, in milliseconds; doubles with each consecutive failure.
     */
    private static final long FIRST_AVOIDANCE_MILLIS = 1_000;

    /** The maximum time for which a scheduler is avoided after a failure, in milliseconds. */
    private static final long MAX_AVOIDANCE_MILLIS = 8_000;

    /**
     * How long a scheduler is avoided after it has replied that it isn't ready, in milliseconds; doubles with each
     * consecutive such reply.
     */
    private static final long UNREADY_AVOIDANCE_MILLIS = 100;

    /** The maximum time for which a scheduler is avoided that isn't ready, in milliseconds. */
    private static final long MAX_UNREADY_AVOIDANCE_MILLIS = 400;

    /**
     * How long a scheduler that wasn't ready doesn't replace one that serves, in milliseconds. Each change withdraws all
     * pending requests of the entry, which lose their positions in the queue.
     */
    private static final long RETURN_AFTER_MILLIS = 1_000;

    private final String entry;
    private final String failureDomain;
    private final Map<String, Avoidance> avoidances = new HashMap<>();
    private List<String> preferredOrder = List.of();

    /**
     * Creates a choice without schedulers; {@link #setSchedulers(Map)} sets them.
     *
     * @param entry the address of the entry.
     * @param failureDomain the failure domain of the entry.
     */
    public SchedulerChoice(String entry, String failureDomain) {
        this.entry = entry;
        this.failureDomain = failureDomain;
    }

    /**
     * Sorts schedulers by preference for one client: those in its failure domain first, then by rendezvous weight.
     * Processes with the same list of schedulers compute the same order for a client.
     *
     * @param name identifies the client, such as the address of an entry.
     * @param failureDomain the failure domain of the client.
     * @param failureDomains the failure domain of each scheduler, by scheduler address.
     * @return the addresses, the most preferred first.
     */
    public static List<String> sortByPreference(String name, String failureDomain, Map<String, String> failureDomains) {
        List<String> addresses = new ArrayList<>(failureDomains.keySet());
        addresses.sort(Comparator.<String, Boolean>comparing(
                        address -> !failureDomains.get(address).equals(failureDomain))
                .thenComparingInt(address -> RendezvousWeight.INSTANCE.of(name, address)));
        return List.copyOf(addresses);
    }

    /**
     * Replaces the set of known schedulers.
     *
     * @param failureDomains the failure domain of each scheduler, by scheduler address.
     */
    public void setSchedulers(Map<String, String> failureDomains) {
        preferredOrder = sortByPreference(entry, failureDomain, failureDomains);
        avoidances.keySet().retainAll(failureDomains.keySet());
    }

    /**
     * Returns the most preferred scheduler that is connected and isn't avoided.
     *
     * @param reachable returns whether there is a connection to a scheduler.
     * @param now the current time in milliseconds.
     * @return the address of the scheduler, or empty if there is no such scheduler.
     */
    public Optional<String> choose(Predicate<String> reachable, long now) {
        return choose(reachable, "", now);
    }

    /**
     * Returns the most preferred scheduler that is connected and isn't avoided. One that recently wasn't ready doesn't
     * replace the current one.
     *
     * @param reachable returns whether there is a connection to a scheduler.
     * @param current the address of the scheduler that serves the entry, or empty if none does.
     * @param now the current time in milliseconds.
     * @return the address of the scheduler, or empty if there is no such scheduler.
     */
    public Optional<String> choose(Predicate<String> reachable, String current, long now) {
        boolean serves = preferredOrder.contains(current) && !isAvoided(current, now) && reachable.test(current);
        return preferredOrder.stream()
                .filter(address -> !isAvoided(address, now) && reachable.test(address))
                .filter(address -> !serves
                        || address.equals(current)
                        || now
                                >= avoidances
                                        .getOrDefault(address, Avoidance.NONE)
                                        .returnsAt())
                .findFirst();
    }

    /**
     * Records that a scheduler has not replied in time, or that the connection to it was lost.
     *
     * @param address the address of the scheduler.
     * @param now the current time in milliseconds.
     */
    public void recordFailure(String address, long now) {
        int consecutiveFailures =
                avoidances.getOrDefault(address, Avoidance.NONE).consecutiveFailures();
        long millis = Math.min(MAX_AVOIDANCE_MILLIS, FIRST_AVOIDANCE_MILLIS << Math.min(consecutiveFailures, 10));
        avoidances.put(address, new Avoidance(now + millis, now + millis, consecutiveFailures + 1, 0));
    }

    /**
     * Records that a scheduler has replied that it isn't ready.
     *
     * @param address the address of the scheduler.
     * @param now the current time in milliseconds.
     */
    public void recordUnready(String address, long now) {
        int consecutive = avoidances.getOrDefault(address, Avoidance.NONE).consecutiveUnready();
        long millis = Math.min(MAX_UNREADY_AVOIDANCE_MILLIS, UNREADY_AVOIDANCE_MILLIS << Math.min(consecutive, 10));
        avoidances.put(address, new Avoidance(now + millis, now + RETURN_AFTER_MILLIS, 0, consecutive + 1));
    }

    /**
     * Records that a scheduler has replied, which ends its avoidance.
     *
     * @param address the address of the scheduler.
     */
    public void recordReply(String address) {
        avoidances.remove(address);
    }

    /** Returns the addresses of all known schedulers, the most preferred first. */
    List<String> schedulers() {
        return preferredOrder;
    }

    private boolean isAvoided(String address, long now) {
        return now < avoidances.getOrDefault(address, Avoidance.NONE).until();
    }

    /**
     * Describes how long a scheduler is avoided.
     *
     * @param until the time in milliseconds from which the scheduler may be chosen again.
     * @param returnsAt the time in milliseconds from which it may replace a scheduler that serves.
     * @param consecutiveFailures the number of failures since the last reply.
     * @param consecutiveUnready the number of replies that it isn't ready since the last other reply or failure.
     */
    private record Avoidance(long until, long returnsAt, int consecutiveFailures, int consecutiveUnready) {
        static final Avoidance NONE = new Avoidance(Long.MIN_VALUE, Long.MIN_VALUE, 0, 0);
    }
}
