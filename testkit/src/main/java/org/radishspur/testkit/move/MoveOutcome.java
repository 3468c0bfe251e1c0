package org.radishspur.testkit.move;

/**
 * Tells how one move ended.
 *
 * @param badVersion whether the version was bad on this route.
 * @param completedInTime whether the move was complete at the time asked for.
 * @param takenBack whether the version was taken back by the end of the watch.
 * @param requests how many requests the route had while the move was open.
 * @param toNew how many of them the new version got.
 * @param afterFirstFault how many of them it got later than two seconds after its fault first showed.
 * @param takeBackMillis how long after the start the version was taken back.
 */
record MoveOutcome(
        boolean badVersion,
        boolean completedInTime,
        boolean takenBack,
        long requests,
        long toNew,
        long afterFirstFault,
        long takeBackMillis) {}
