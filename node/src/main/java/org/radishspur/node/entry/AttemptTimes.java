package org.radishspur.node.entry;

import org.radishspur.decision.dispatch.UpstreamLoad;

/**
 * Measures the times of one attempt: from its sending to the first byte and between the parts of its response, without the
 * pauses in which the response isn't read. Times are in milliseconds, by {@link EntryServices#now()}.
 */
final class AttemptTimes {
    private final ReadPauses pauses = new ReadPauses();
    private long sentAt;
    private long lastByteAt;
    private boolean firstByteReceived;
    private long firstByteAt;
    private long longestPauseMillis;
    private boolean silenceNoted;

    void recordSent(long now) {
        sentAt = now;
        lastByteAt = now;
    }

    /** Records the arrival of bytes that end a silence only: a head, or a part of a response that is discarded. */
    void recordArrival(long now) {
        lastByteAt = now;
    }

    /** Records the arrival of a part of the body, and returns whether it is the first. */
    boolean recordBytes(long now) {
        boolean first = !firstByteReceived;
        if (first) {
            firstByteReceived = true;
            firstByteAt = now;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, now - lastByteAt);
        }
        lastByteAt = now;
        silenceNoted = false;
        return first;
    }

    /** Begins a pause of the reading, and returns whether none had begun. */
    boolean beginPause(long now) {
        return pauses.begin(now);
    }

    /** Ends a pause of the reading; the upstream could send nothing meanwhile. */
    void endPause(long now) {
        lastByteAt += pauses.end(now);
    }

    /** Returns for how long the response wasn't read, the present pause included. */
    long unreadMillis(long now) {
        return pauses.totalMillis(now);
    }

    /** Returns when the request was sent. */
    long sentAt() {
        return sentAt;
    }

    boolean isFirstByteReceived() {
        return firstByteReceived;
    }

    /** Returns the longest time between two parts of the response. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }

    /** Returns the time from sending the request to the first byte of the body. */
    long firstByteMillis() {
        return firstByteAt - sentAt;
    }

    /** Returns the time since the request was sent, without pauses that have ended. */
    long readMillis(long now) {
        return now - sentAt - pauses.totalMillis();
    }

    /** Returns the time from the first byte of the body to another time, without pauses that have ended. */
    long bodyMillis(long until) {
        return until - firstByteAt - pauses.totalMillis();
    }

    /** Returns the time from the first byte of the body to the last one so far, without pauses that have ended. */
    long receivedMillis() {
        return bodyMillis(lastByteAt);
    }

    /** Returns whether nothing has come for a while although the response is read. */
    boolean isStalled(long now) {
        return !pauses.isPaused() && silentMillis(now) > UpstreamLoad.MIN_SILENCE_MILLIS;
    }

    /** Returns the time since the last byte of the response, or since the request was sent. */
    long silentMillis(long now) {
        return now - lastByteAt;
    }

    /** Notes that the upstream is silent, and returns whether that wasn't noted since the last byte. */
    boolean beginSilence() {
        boolean begins = !silenceNoted;
        silenceNoted = true;
        return begins;
    }
}
