package org.radishspur.decision.permit;

import java.util.List;

/**
 * The estimate by which a request is found unable to meet its deadline, with its inputs. Times are in microseconds.
 *
 * @param remainingMicros the time that the request has left.
 * @param waitMicros how long a request of its tier is expected to wait.
 * @param serviceMicros how long an upstream is expected to take for it.
 * @param waiting the number of requests in the queue.
 * @param costCorrection the ratio of the actual to the estimated cost of earlier requests.
 * @param upstreams what is assumed about the upstreams of the pool.
 */
public record DeadlineEstimate(
        long remainingMicros,
        double waitMicros,
        double serviceMicros,
        int waiting,
        double costCorrection,
        List<UpstreamSnapshot> upstreams) {}
