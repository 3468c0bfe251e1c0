package org.radishspur.decision.crash;

/**
 * Decides when one request with a suspected signature may run to find out whether it still ends upstreams. All processes
 * compute the time from the same ends, and each adds a delay of its own, so that a trial that fails puts off the others.
 */
enum TrialPolicy {
    /** The only instance; it keeps no state. */
    INSTANCE;

    /** The number of ends from which a suspect needs no early trial. */
    private static final int ENDS_WITHOUT_EARLY_TRIAL = 5;

    /** The time from the latest end to the early trial of a certain suspect, in milliseconds. */
    static final long EARLY_TRIAL_MILLIS = 1_000;

    /** The shortest time between two trials of one suspect of several, in milliseconds. */
    private static final long MIN_AMBIGUOUS_MILLIS = 1_000;

    /**
     * The shortest time between two trials of a sole suspect while the pool answers nothing, in milliseconds. The pool
     * shows meanwhile whether other requests are answered, as soon as it has upstreams again.
     */
    private static final long MIN_UNCERTAIN_MILLIS = 4_000;

    /** The longest time between two trials of a suspect that isn't certain, in milliseconds. */
    private static final long MAX_UNCERTAIN_MILLIS = 15_000;

    /** The shortest time between two trials of a certain suspect, in milliseconds. */
    private static final long MIN_CERTAIN_MILLIS = 120_000;

    /** The longest time between two trials, in milliseconds, which callers wait at most after upstreams were fixed. */
    private static final long MAX_CERTAIN_MILLIS = 300_000;

    /** The minimum mean time between the trials of two processes, in milliseconds; a failed trial is known by then. */
    private static final long MILLIS_PER_PROCESS = 100;

    /** How many times later a request is tried whose other signatures have open ends too. */
    private static final long MIXED_FACTOR = 3;

    /**
     * Returns when a request may be the next trial of a suspect.
     *
     * @param suspect the suspect.
     * @param knownSince the time from which this process has known of the suspect.
     * @param certain whether it is the only explanation of its ends, and the pool has answered others since.
     * @param mixed whether other signatures of the request have open ends too, so that a trial shows less.
     * @param processes the number of processes that try suspects.
     * @param draw a number from 0 to 1 that this process has drawn for this trial.
     * @return the time in milliseconds.
     */
    long dueAt(Suspect suspect, long knownSince, boolean certain, boolean mixed, int processes, double draw) {
        long delay = delayMillis(suspect, certain) * (mixed ? MIXED_FACTOR : 1);
        // A process that has just started has seen no answers yet, and would try every suspect at once.
        long since = Math.max(suspect.latestEndAt(), knownSince);
        return since + delay + (long) (draw * Math.max(delay, processes * MILLIS_PER_PROCESS));
    }

    private static long delayMillis(Suspect suspect, boolean certain) {
        long sinceBlamed = suspect.latestEndAt() - suspect.blamedAt();
        if (!certain) {
            long shortest = suspect.sole() ? MIN_UNCERTAIN_MILLIS : MIN_AMBIGUOUS_MILLIS;
            return Math.min(Math.max(2 * sinceBlamed, shortest), MAX_UNCERTAIN_MILLIS);
        }
        boolean tried = sinceBlamed >= EARLY_TRIAL_MILLIS || suspect.ends() >= ENDS_WITHOUT_EARLY_TRIAL;
        return tried ? Math.min(Math.max(2 * sinceBlamed, MIN_CERTAIN_MILLIS), MAX_CERTAIN_MILLIS) : EARLY_TRIAL_MILLIS;
    }
}
