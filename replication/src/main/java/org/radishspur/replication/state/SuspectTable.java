package org.radishspur.replication.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Remembers which requests were in flight at upstreams when they crashed, so that a request that crashes every upstream
 * is found although its caller sends it again to another entry.
 */
public final class SuspectTable {
    /** The number of crashes after which a request is refused everywhere. */
    public static final int CRASHES_TO_REFUSE = 2;

    private static final int MAXIMUM_SUSPECTS = 10_000;

    private final long retentionMillis;
    private final LinkedHashMap<String, Suspect> suspects = new LinkedHashMap<>();
    private long latestMillis;

    /**
     * Creates an empty table.
     *
     * @param keepMillis how long a suspect is remembered after its latest crash.
     */
    public SuspectTable(long keepMillis) {
        this.retentionMillis = keepMillis;
    }

    SuspectTable(long keepMillis, Image image) {
        this(keepMillis);
        latestMillis = image.latestMillis();
        image.suspects().forEach(suspect -> suspects.put(keyOf(suspect.pool(), suspect.fingerprint()), suspect));
    }

    /**
     * Records that a request was in flight at a crash; several reports of one crash count once.
     *
     * @param command the report.
     */
    public void report(ControlCommand.ReportCrash command) {
        expire(command.atMillis());
        String key = keyOf(command.pool(), command.fingerprint());
        Suspect present = suspects.remove(key);
        Set<String> crashes = new TreeSet<>(present == null ? Set.of() : present.crashIds());
        crashes.add(command.crashId());
        suspects.put(key, new Suspect(command.pool(), command.fingerprint(), crashes, latestMillis));
        if (suspects.size() > MAXIMUM_SUSPECTS) {
            suspects.remove(suspects.keySet().iterator().next());
        }
    }

    /**
     * Forgets a suspect that ran to its end.
     *
     * @param command the news.
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
    public Map<String, Integer> crashes(String pool) {
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
        var oldest = suspects.values().iterator();
        while (oldest.hasNext() && oldest.next().reportedAtMillis() <= latestMillis - retentionMillis) {
            oldest.remove();
        }
    }

    private static String keyOf(String pool, String fingerprint) {
        return pool + '/' + fingerprint;
    }

    /**
     * Holds one suspect.
     *
     * @param pool the pool whose upstreams crashed.
     * @param fingerprint the digest of the request's content.
     * @param crashIds the crashes at which the request was in flight.
     * @param reportedAtMillis when the latest one was reported, in milliseconds since the epoch.
     */
    public record Suspect(String pool, String fingerprint, Set<String> crashIds, long reportedAtMillis) {}

    /**
     * Holds the content of the table for a snapshot.
     *
     * @param latestMillis the latest wall clock seen.
     * @param suspects the suspects, those that were touched longest ago first.
     */
    public record Image(long latestMillis, List<Suspect> suspects) {}
}
