package org.radishspur.replication.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.model.request.RequestKey;

/**
 * Remembers for each key which attempt may dispatch the request and how it ended. A claim is never taken over: even
 * when its holder is dead, nobody can know whether the request ran.
 */
public final class ClaimTable {
    private final long retentionMillis;
    private final LinkedHashMap<RequestKey, Claim> claims = new LinkedHashMap<>();
    private long latestMillis;

    /**
     * Creates an empty table.
     *
     * @param keepMillis how long a key is remembered after it was last touched.
     */
    public ClaimTable(long keepMillis) {
        this.retentionMillis = keepMillis;
    }

    /**
     * Restores a table.
     *
     * @param keepMillis how long a key is remembered.
     * @param image the content of the table.
     */
    ClaimTable(long keepMillis, Image image) {
        this(keepMillis);
        latestMillis = image.latestMillis();
        image.claims().forEach(claim -> claims.put(claim.key(), claim));
    }

    /**
     * Claims a request.
     *
     * @param command the claim.
     * @return what the claiming attempt may do.
     */
    public ClaimAnswer claim(ControlCommand.Claim command) {
        expire(command.atMillis());
        Claim present = claims.get(command.key());
        if (present == null) {
            return grant(command);
        }
        if (present.state() == State.RELEASED) {
            // A late copy of the claim that its own holder has given up must not bring that claim back to life: nobody
            // would ever finish it.
            return present.holder().equals(command.holder()) ? new ClaimAnswer.Withdrawn() : grant(command);
        }
        if (!present.fingerprint().equals(command.fingerprint())) {
            return new ClaimAnswer.Reused();
        }
        if (present.state() == State.FINISHED) {
            return new ClaimAnswer.Finished(present.answer());
        }
        return present.holder().equals(command.holder())
                ? new ClaimAnswer.Granted()
                : new ClaimAnswer.Held(present.holder());
    }

    /**
     * Records how a request ended.
     *
     * @param command the end.
     */
    public void finish(ControlCommand.FinishClaim command) {
        expire(command.atMillis());
        endClaim(command.key(), command.holder(), State.FINISHED, command.answer());
    }

    /**
     * Frees a request that did not run.
     *
     * @param command the release.
     */
    public void release(ControlCommand.ReleaseClaim command) {
        expire(command.atMillis());
        endClaim(command.key(), command.holder(), State.RELEASED, StoredAnswer.withoutBody(0));
    }

    /**
     * Returns the number of keys remembered.
     *
     * @return the number.
     */
    public int size() {
        return claims.size();
    }

    /**
     * Copies the content of the table.
     *
     * @return the content.
     */
    Image image() {
        return new Image(latestMillis, new ArrayList<>(claims.values()));
    }

    private ClaimAnswer grant(ControlCommand.Claim command) {
        claims.remove(command.key());
        claims.put(
                command.key(),
                new Claim(
                        command.key(),
                        command.fingerprint(),
                        command.holder(),
                        State.HELD,
                        StoredAnswer.withoutBody(0),
                        latestMillis));
        return new ClaimAnswer.Granted();
    }

    private void endClaim(RequestKey key, ClaimHolder holder, State state, StoredAnswer answer) {
        Claim present = claims.get(key);
        if (present != null && present.state() == State.HELD && present.holder().equals(holder)) {
            claims.remove(key);
            claims.put(key, new Claim(key, present.fingerprint(), holder, state, answer, latestMillis));
        }
    }

    /** Forgets what was last touched too long ago. Every touch moves a claim to the end, so the oldest come first. */
    private void expire(long atMillis) {
        latestMillis = Math.max(latestMillis, atMillis);
        var oldest = claims.values().iterator();
        while (oldest.hasNext() && oldest.next().changedAtMillis() <= latestMillis - retentionMillis) {
            oldest.remove();
        }
    }

    /**
     * Names how far a claim has come.
     */
    public enum State {
        /** Its holder may be running the request. */
        HELD,
        /** The request ran. */
        FINISHED,
        /** The request did not run. */
        RELEASED
    }

    /**
     * Holds one claim.
     *
     * @param key the identity of the request.
     * @param fingerprint the digest of the request.
     * @param holder the attempt that claimed it last.
     * @param state how far the claim has come.
     * @param answer the answer, where the request ran.
     * @param changedAtMillis when the claim last changed, in milliseconds since the epoch.
     */
    public record Claim(
            RequestKey key,
            String fingerprint,
            ClaimHolder holder,
            State state,
            StoredAnswer answer,
            long changedAtMillis) {}

    /**
     * Holds the content of the table for a snapshot.
     *
     * @param latestMillis the latest wall clock seen.
     * @param claims the claims, those that were touched longest ago first.
     */
    public record Image(long latestMillis, List<Claim> claims) {}

    /**
     * Counts the claims in each state, for operators.
     *
     * @return the number of held claims.
     */
    public Map<String, Integer> counts() {
        Map<String, Integer> counts = new java.util.TreeMap<>();
        claims.values().forEach(claim -> counts.merge(claim.state().name(), 1, Integer::sum));
        return counts;
    }
}
