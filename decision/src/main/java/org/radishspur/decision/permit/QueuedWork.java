package org.radishspur.decision.permit;

import org.radishspur.decision.upstream.SpeedEstimate;

/**
 * The sizes of queued requests in total. It is converted to a time only when a wait is estimated, so that speeds which
 * have changed since a request arrived don't stay in the estimate.
 *
 * @param stepTokens the prompt tokens, with those that a step of the engine counts for.
 * @param outputTokens the tokens of the answers.
 */
record QueuedWork(long stepTokens, long outputTokens) {
    static final QueuedWork NONE = new QueuedWork(0, 0);

    static QueuedWork of(RequestSize size) {
        return new QueuedWork(SpeedEstimate.stepTokens(size.promptTokens()), size.outputTokens());
    }

    QueuedWork plus(QueuedWork other) {
        return new QueuedWork(stepTokens + other.stepTokens, outputTokens + other.outputTokens);
    }

    QueuedWork minus(QueuedWork other) {
        return new QueuedWork(stepTokens - other.stepTokens, outputTokens - other.outputTokens);
    }
}
