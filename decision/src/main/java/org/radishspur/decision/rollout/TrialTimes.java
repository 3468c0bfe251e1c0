package org.radishspur.decision.rollout;

import org.radishspur.decision.rollout.UpstreamTimes.Evidence;

/**
 * Keeps the response times of a trial apart by windows of time, so that those of windows in which the other versions were
 * slower than usual don't count: a second of silence of all upstreams makes most of the few responses of a new version slow.
 */
final class TrialTimes {
    /** The number of responses of the version under trial in undisturbed windows from which they alone count. */
    private static final int MIN_RESPONSES = 6;

    private final UpstreamTimes undisturbed = new UpstreamTimes();
    private UpstreamTimes all = new UpstreamTimes();
    private UpstreamTimes windowStart = new UpstreamTimes();

    /**
     * Records the times so far.
     *
     * @param sums the times since the start of the rollout and before.
     * @param windowEnds whether a window ends with them.
     */
    void update(UpstreamTimes sums, boolean windowEnds) {
        all = sums;
        if (!windowEnds) {
            return;
        }
        UpstreamTimes window = sums.since(windowStart);
        UpstreamTimes others = undisturbed.of(false, false);
        others.addAll(window.of(false, true));
        if (others.slowness() == Evidence.NONE) {
            undisturbed.addAll(window);
        }
        windowStart = sums;
    }

    /**
     * Returns the evidence that the version's upstreams are slower, so far as it shows at any time. If the others were slow nearly all the time, the
     * version is compared with what was usual otherwise, and only suspected.
     */
    Evidence slowness() {
        if (undisturbed.trialResponses() >= MIN_RESPONSES) {
            return undisturbed.slowness();
        }
        UpstreamTimes usual = undisturbed.of(false, false);
        usual.addAll(all.of(true, true));
        return usual.slowness() == Evidence.NONE ? Evidence.NONE : Evidence.SUSPECTED;
    }

    /** Returns the evidence at the end of the trial, when a few responses must do. */
    Evidence finalSlowness() {
        Evidence evidence = slowness();
        return evidence == Evidence.NONE && undisturbed.mayBePartlySlow() ? Evidence.SUSPECTED : evidence;
    }
}
