package org.radishspur.decision.slot;

/**
 * States that a request was in flight when an upstream ended. Processes exchange such notes, see {@link CrashLedger}.
 *
 * @param request the fingerprint of the request's content.
 * @param upstream identifies the end of the upstream: the hash code of its run, or a number that follows it where the
 *     run has ended several times.
 * @param cleared whether a request with this content was answered to the end since, so that it doesn't count any more.
 * @param ageMillis how long ago the upstream ended, in milliseconds when the note was sent; the clocks of hosts differ.
 */
public record CrashNote(long request, int upstream, boolean cleared, long ageMillis) {}
