package org.radishspur.testkit.move;

/**
 * Describes how one simulated move ended.
 *
 * @param badVersion whether the version was bad on this route.
 * @param completedInTime whether the move completed within its window.
 * @param rolledBack whether the version was rolled back before the watch ended.
 * @param requests how many requests the route had during the move.
 * @param requestsToNew how many of them the new version received.
 * @param requestsAfterFault how many of them it received later than two seconds after its first fault.
 * @param rollbackMillis how long after the start the version was rolled back, or the move ended otherwise.
 */
record MoveOutcome(
        boolean badVersion,
        boolean completedInTime,
        boolean rolledBack,
        long requests,
        long requestsToNew,
        long requestsAfterFault,
        long rollbackMillis) {}
