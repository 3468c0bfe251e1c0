package org.radishspur.decision.crash;

/**
 * States that a request with a signature was in flight when an upstream ended. Processes exchange such notes, see
 * {@link CrashLedger}.
 *
 * @param signature the signature, see {@link RequestSignatures}.
 * @param upstream identifies the end of the upstream: the hash code of its run, or a number that follows it where the
 *     run has ended several times.
 * @param cleared whether a request with the signature was answered to the end since, so that the end doesn't count any
 *     more.
 * @param ageMillis how long ago the upstream ended, in milliseconds when the note was sent; the clocks of hosts differ.
 * @param answeredBefore whether a request with the signature was answered to the end some time before; false if an older
 *     build sent the note.
 * @param pool the hash code of the name of the upstream's pool, 0 if an older build sent the note.
 * @param part whether the signature is that of a part; false if an older build sent the note.
 */
public record CrashNote(
        long signature,
        int upstream,
        boolean cleared,
        long ageMillis,
        boolean answeredBefore,
        int pool,
        boolean part) {}
