package org.radishspur.decision.slot;

import java.util.ArrayList;
import java.util.List;

import org.radishspur.decision.dispatch.QueuedRequest;
import org.radishspur.decision.dispatch.VersionRule;

/**
 * Asks for a slot at an upstream of a pool. Times are relative, as the clocks of hosts differ.
 *
 * @param pool the pool.
 * @param failureDomain the failure domain of the entry; upstreams there are preferred.
 * @param organisation the organisation whose quota counts, empty where there is none.
 * @param cost what the request takes from the quota, 0 where it was taken already.
 * @param rank how urgent the organisation is; 0 is the most urgent.
 * @param returning whether its caller was refused before.
 * @param mayTry whether a version under trial may serve it.
 * @param waitMillis how long waiting for a slot makes sense.
 * @param targetMillis the time until which the first byte has its full value; 0 where it is too late for that.
 * @param endMillis the time until which the whole answer has any value.
 * @param work how much the upstream has to do.
 * @param avoided the runs of upstreams that should serve it only if no other can.
 */
public record SlotRequest(
        String pool,
        String failureDomain,
        String organisation,
        double cost,
        int rank,
        boolean returning,
        boolean mayTry,
        long waitMillis,
        long targetMillis,
        long endMillis,
        Work work,
        List<String> avoided) {

    /** Copies the list. */
    public SlotRequest {
        avoided = List.copyOf(avoided);
    }

    /**
     * Returns this request as it stands some time later.
     *
     * @param millis the time that has gone by.
     * @return the request with less time left.
     */
    public SlotRequest after(long millis) {
        return new SlotRequest(
                pool,
                failureDomain,
                organisation,
                cost,
                rank,
                returning,
                mayTry,
                Math.max(0, waitMillis - millis),
                Math.max(0, targetMillis - millis),
                Math.max(0, endMillis - millis),
                work,
                avoided);
    }

    /**
     * Returns this request for another upstream, which isn't under trial.
     *
     * @param run the run of the upstream that can't serve it.
     * @return the changed request.
     */
    public SlotRequest withoutUpstream(String run) {
        List<String> longer = new ArrayList<>(avoided);
        longer.add(run);
        return new SlotRequest(
                pool,
                failureDomain,
                organisation,
                cost,
                rank,
                returning,
                false,
                waitMillis,
                targetMillis,
                endMillis,
                work,
                longer);
    }

    QueuedRequest toQueued(VersionRule versions, long now) {
        QueuedRequest queued = new QueuedRequest(
                "", rank, now, now + waitMillis, versions, work.by(now + targetMillis, now + endMillis));
        avoided.forEach(queued::avoid);
        queued.prefer(failureDomain);
        return queued;
    }

    /**
     * Says how much an upstream has to do for a request.
     *
     * @param promptTokens the tokens of the prompt, 0 for a plain call.
     * @param expectedTokens how many tokens the caller expects, 0 where it doesn't say and for a plain call.
     * @param outputLimit how many tokens the answer can have at most, 0 where the caller doesn't say.
     * @param tier the tier of the route; 0 is the most urgent.
     * @param prefix identifies the beginning of the prompt that other requests share, empty where there is none.
     * @param prefixTokens the tokens of that beginning.
     */
    public record Work(
            long promptTokens, long expectedTokens, long outputLimit, int tier, String prefix, long prefixTokens) {
        QueuedRequest.Work by(long targetAt, long endsAt) {
            return new QueuedRequest.Work(
                    promptTokens,
                    expectedTokens,
                    outputLimit,
                    tier,
                    targetAt,
                    endsAt,
                    new QueuedRequest.Prefix(prefix, prefixTokens));
        }
    }
}
