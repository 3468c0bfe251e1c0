package org.radishspur.decision.move;

import java.util.ArrayList;
import java.util.List;

/**
 * Describes the move of a route from one upstream version to another. Times are in milliseconds since the epoch.
 *
 * @param id the revision of the table edit that started the move.
 * @param route the name of the route.
 * @param from the old version.
 * @param to the new version.
 * @param startedAt when the move started.
 * @param completeBy when the move is to be complete.
 * @param state the state of the move.
 * @param stage the stage that the move has reached.
 * @param stageSince when the state or the stage last changed.
 * @param reason why the move was rolled back, or {@link RollbackReason#NONE}.
 * @param history the changes of state and stage, the earliest first.
 */
public record Move(
        long id,
        String route,
        String from,
        String to,
        long startedAt,
        long completeBy,
        MoveState state,
        MoveStage stage,
        long stageSince,
        RollbackReason reason,
        List<Event> history) {

    /** Copies the history. */
    public Move {
        history = List.copyOf(history);
    }

    /**
     * Creates a move in its first stage.
     *
     * @param id the revision of the table edit that starts the move.
     * @param route the name of the route.
     * @param from the old version.
     * @param to the new version.
     * @param now the current time in milliseconds since the epoch.
     * @param completeBy when the move is to be complete, in milliseconds since the epoch.
     * @return the move.
     */
    public static Move begin(long id, String route, String from, String to, long now, long completeBy) {
        return new Move(
                id,
                route,
                from,
                to,
                now,
                completeBy,
                MoveState.STEPPING,
                MoveStage.FIRST,
                now,
                RollbackReason.NONE,
                List.of(new Event(now, MoveState.STEPPING, MoveStage.FIRST, RollbackReason.NONE)));
    }

    /**
     * Returns the maximum share of the route's requests that the new version may get.
     *
     * @return the share, from 0 to 1.
     */
    public double share() {
        return switch (state) {
            case STEPPING -> stage.share();
            case COMPLETED, DONE -> 1;
            case TAKEN_BACK -> 0;
        };
    }

    /**
     * Returns the version that serves the route once the move is final.
     *
     * @return the old version if the move was rolled back, otherwise the new one.
     */
    public String finalVersion() {
        return state == MoveState.TAKEN_BACK ? from : to;
    }

    /**
     * Returns this move in another state or stage, with the change added to its history.
     *
     * @param newState the new state.
     * @param newStage the new stage.
     * @param newReason why the move is rolled back, or {@link RollbackReason#NONE}.
     * @param now the current time in milliseconds since the epoch.
     * @return the changed move.
     */
    public Move with(MoveState newState, MoveStage newStage, RollbackReason newReason, long now) {
        List<Event> extended = new ArrayList<>(history);
        extended.add(new Event(now, newState, newStage, newReason));
        return new Move(id, route, from, to, startedAt, completeBy, newState, newStage, now, newReason, extended);
    }

    /**
     * Describes one change of the state or the stage of a move.
     *
     * @param at when the change happened, in milliseconds since the epoch.
     * @param state the state after the change.
     * @param stage the stage after the change.
     * @param reason why the move was rolled back, or {@link RollbackReason#NONE}.
     */
    public record Event(long at, MoveState state, MoveStage stage, RollbackReason reason) {}
}
