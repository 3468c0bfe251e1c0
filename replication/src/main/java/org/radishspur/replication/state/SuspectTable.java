package org.radishspur.replication.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Stores the crash suspects: the requests that were in flight at an upstream when it crashed. As the table is
 * replicated, a request that crashes each upstream is detected even if its caller retries it at another node.
 */
public final class SuspectTable {
    /** The number of crashes after which all nodes refuse the request. */
    public static final int CRASHES_TO_REFUSE = 2;

    /** The maximum number of suspects; the one that was reported least recently is dropped first. */
    private static final int MAXIMUM_SUSPECTS = 10_000;

    private final long retentionMillis;
    private final LinkedHashMap<String, Suspect> suspects = new LinkedHashMap<>();
    private long latestMillis;

    /**
     * Creates an empty table.
     *
     * @param retentionMillis how long a suspect is kept after its latest report, in milliseconds.
     */
    public SuspectTable(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    SuspectTable(long retentionMillis, Image image) {
        this(retentionMillis);
        latestMillis = image.latestMillis();
        image.suspects().forEach(suspect -> suspects.put(keyOf(suspect.pool(), suspect.fingerprint()), suspect));
    }

    /**
     * Records that a request was in flight when an upstream crashed. Several reports of one crash count once.
     *
     * @param command the report.
     */
    public void report(ControlCommand.ReportCrash command) {
        expire(command.atMillis());
        String key = keyOf(command.pool(), command.fingerprint());
        Suspect current = suspects.remove(key);
        Set<String> crashIds = new TreeSet<>(current == null ? Set.of() : current.crashIds());
        crashIds.add(command.crashId());
        suspects.put(key, new Suspect(command.pool(), command.fingerprint(), crashIds, latestMillis));
        if (suspects.size() > MAXIMUM_SUSPECTS) {
            suspects.remove(suspects.keySet().iterator().next());
        }
    }

    /**
     * Removes a suspect that has finished without a crash.
     *
     * @param command the suspect to remove.
     */
    public void clear(ControlCommand.ClearSuspect command) {
        expire(command.atMillis());
        suspects.remove(keyOf(command.pool(), command.fingerprint()));
    }

    /**
     * Counts the crashes of each suspect of a pool.
     *
     * @param pool the pool.
     * @return the number of crashes by fingerprint.
     */
    public Map<String, Integer> crashCounts(String pool) {
        Map<String, Integer> counts = new TreeMap<>();
        for (Suspect suspect : suspects.values()) {
            if (suspect.pool().equals(pool)) {
                counts.put(suspect.fingerprint(), suspect.crashIds().size());
            }
        }
        return counts;
    }

    Image image() {
        return new Image(latestMillis, new ArrayList<>(suspects.values()));
    }

    private void expire(long atMillis) {
        latestMillis = Math.max(latestMillis, atMillis);
        var suspectIterator = suspects.values().iterator();
        while (suspectIterator.hasNext()
                && suspectIterator.next().reportedAtMillis() <= latestMillis - retentionMillis) {
            suspectIterator.remove();
        }
    }

    private static String keyOf(String pool, String fingerprint) {
        return pool + '/' + fingerprint;
    }

    /**
     * Holds one crash suspect.
     *
     * @param pool the pool whose upstreams crashed.
     * @param fingerprint the digest of the request's content.
     * @param crashIds the identities of the crashes during which the request was in flight.
     * @param reportedAtMillis when a crash was last reported, in milliseconds since the epoch.
     */
    public record Suspect(String pool, String fingerprint, Set<String> crashIds, long reportedAtMillis) {}

    /**
     * Holds the content of the table for a snapshot.
     *
     * @param latestMillis the latest wall clock of any command, in milliseconds since the epoch.
     * @param suspects the suspects, least recently reported first.
     */
    public record Image(long latestMillis, List<Suspect> suspects) {}
}
