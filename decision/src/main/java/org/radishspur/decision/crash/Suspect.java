package org.radishspur.decision.crash;

/**
 * Describes a signature that is taken to end upstreams.
 *
 * @param signature the signature.
 * @param ends the number of open ends.
 * @param firstEndAt the time of the first open end, in milliseconds.
 * @param blamedAt the time of the end with which it became a suspect, in milliseconds.
 * @param latestEndAt the time of the latest open end, in milliseconds.
 * @param pool the hash code of the name of the pool of the latest end.
 * @param sole whether enough of its ends have no other suspect.
 * @param answeredBefore whether a request with it was answered some time before the ends.
 */
public record Suspect(
        long signature,
        int ends,
        long firstEndAt,
        long blamedAt,
        long latestEndAt,
        int pool,
        boolean sole,
        boolean answeredBefore) {}
