package org.radishspur.replication.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.model.request.RequestKey;

/**
 * Stores for each key which attempt may dispatch the request and how the request ended. A claim never passes to another
 * attempt while it is held: even if the process of its holder has failed, the request may have run.
 */
public final class ClaimTable {
    private final long retentionMillis;
    private final LinkedHashMap<RequestKey, Claim> claims = new LinkedHashMap<>();
    private long latestMillis;

    /**
     * Creates an empty table.
     *
     * @param retentionMillis how long a key is kept after its claim last changed, in milliseconds.
     */
    public ClaimTable(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /**
     * Restores a table from a snapshot.
     *
     * @param retentionMillis how long a key is kept after its claim last changed, in milliseconds.
     * @param image the content of the table.
     */
    ClaimTable(long retentionMillis, Image image) {
        this(retentionMillis);
        latestMillis = image.latestMillis();
        image.claims().forEach(claim -> claims.put(claim.key(), claim));
    }

    /**
     * Claims a request for an attempt.
     *
     * @param command the claim.
     * @return whether the claim is granted, and if not, why.
     */
    public ClaimAnswer claim(ControlCommand.Claim command) {
        expire(command.atMillis());
        Claim current = claims.get(command.key());
        if (current == null) {
            return grant(command);
        }
        if (current.state() == State.RELEASED) {
            // A delayed duplicate of a claim that its holder has released must not be granted: no attempt would ever
            // finish it.
            return current.holder().equals(command.holder()) ? new ClaimAnswer.Withdrawn() : grant(command);
        }
        if (!current.fingerprint().equals(command.fingerprint())) {
            return new ClaimAnswer.KeyReused();
        }
        if (current.state() == State.FINISHED) {
            return new ClaimAnswer.Finished(current.answer());
        }
        return current.holder().equals(command.holder())
                ? new ClaimAnswer.Granted()
                : new ClaimAnswer.Held(current.holder());
    }

    /**
     * Records the answer to a request that has finished. Ignored if the attempt doesn't hold the claim.
     *
     * @param command the holder and the answer.
     */
    public void finish(ControlCommand.FinishClaim command) {
        expire(command.atMillis());
        endClaim(command.key(), command.holder(), State.FINISHED, command.answer());
    }

    /**
     * Releases the claim on a request that did not run. Ignored if the attempt doesn't hold the claim.
     *
     * @param command the release.
     */
    public void release(ControlCommand.ReleaseClaim command) {
        expire(command.atMillis());
        endClaim(command.key(), command.holder(), State.RELEASED, StoredAnswer.withoutBody(0));
    }

    /**
     * Returns the number of stored claims.
     *
     * @return the number of claims in any state.
     */
    public int size() {
        return claims.size();
    }

    /**
     * Returns a copy of the content for a snapshot.
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
        Claim current = claims.get(key);
        if (current != null && current.state() == State.HELD && current.holder().equals(holder)) {
            claims.remove(key);
            claims.put(key, new Claim(key, current.fingerprint(), holder, state, answer, latestMillis));
        }
    }

    /** Removes expired claims. Each change moves a claim to the end of the map, so that the oldest ones come first. */
    private void expire(long atMillis) {
        latestMillis = Math.max(latestMillis, atMillis);
        var claimIterator = claims.values().iterator();
        while (claimIterator.hasNext() && claimIterator.next().changedAtMillis() <= latestMillis - retentionMillis) {
            claimIterator.remove();
        }
    }

    /**
     * Lists the states of a claim.
     */
    public enum State {
        /** The holder may be running the request. */
        HELD,
        /** The request has finished, or its outcome is unknown and it must not run again. */
        FINISHED,
        /** The request did not run and may be claimed again. */
        RELEASED
    }

    /**
     * Holds the claim on one request.
     *
     * @param key the identity of the request.
     * @param fingerprint the digest of the request.
     * @param holder the attempt whose claim was granted last.
     * @param state the state of the claim.
     * @param answer the answer to the request, or a placeholder where the request has not finished.
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
     * @param latestMillis the latest wall clock of any command, in milliseconds since the epoch.
     * @param claims the claims, least recently changed first.
     */
    public record Image(long latestMillis, List<Claim> claims) {}

    /**
     * Counts the claims in each state, for the operators' status.
     *
     * @return the number of claims by the name of the state.
     */
    public Map<String, Integer> countsByState() {
        Map<String, Integer> counts = new java.util.TreeMap<>();
        claims.values().forEach(claim -> counts.merge(claim.state().name(), 1, Integer::sum));
        return counts;
    }
}
