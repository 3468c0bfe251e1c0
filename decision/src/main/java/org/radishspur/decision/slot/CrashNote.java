package org.radishspur.decision.slot;

/**
 * States that a request was in flight when an upstream ended. Processes exchange such notes, see {@link CrashLedger}.
 *
 * @param request the fingerprint of the request's content.
 * @param upstream the hash code of the upstream's run.
 * @param cleared whether a request with this content was answered to the end since, so that it doesn't count any more.
 * @param ageMillis how long ago the upstream ended, in milliseconds when the note was sent; the clocks of hosts differ.
 */
public record CrashNote(long request, int upstream, boolean cleared, long ageMillis) {}
