package org.radishspur.decision.move;

import java.util.Optional;

/**
 * Decides when a move advances to its next stage, is complete, or is rolled back. Each decision is a proposal. The
 * replicated state accepts a rollback unless the move is final, and any other proposal only if the move still has the
 * state and the stage that the proposal names.
 *
 * <p>Time shares refer to the time from the start of a move to the time at which it is to be complete.
 */
public enum MoveDriver {
    /** The only instance; it keeps no state. */
    INSTANCE;

    /** After this time share in a stage the move may advance without the required number of outcomes. */
    private static final double OVERDUE_STAGE_TIME_SHARE = 0.15;

    /** The minimum time in a stage before the last, as a time share. */
    private static final double MIN_STAGE_TIME_SHARE = 0.04;

    /** The minimum time in the last stage, as a time share. */
    private static final double MIN_LAST_STAGE_TIME_SHARE = 0.1;

    /** The upper limit of the minimum time in a stage before the last, in milliseconds. */
    private static final long MIN_STAGE_MILLIS_LIMIT = 120_000;

    /** A move may advance with less evidence of a fault than this, as a share of the evidence that proves a fault. */
    private static final double MAX_EVIDENCE_FOR_REGULAR_STEP = 0.4;

    /**
     * The same for a move that is overdue in its stage. With more evidence than this at its completion time a move is
     * rolled back.
     */
    private static final double MAX_EVIDENCE_FOR_OVERDUE_STEP = 0.6;

    /** How long the versions are still compared after completion, as a time share. */
    private static final double COMPLETED_COMPARISON_TIME_SHARE = 0.5;

    /**
     * Decides whether to change the state or the stage of a move.
     *
     * @param move the move, as stored in the replicated state.
     * @param comparison the comparison of its new version with the old one.
     * @param now the current time in milliseconds since the epoch.
     * @return the change to propose, or empty if there is none.
     */
    public Optional<Proposal> decide(Move move, VersionComparison comparison, long now) {
        if (move.state().isFinal()) {
            return Optional.empty();
        }
        if (comparison.detectedFault() != RollbackReason.NONE) {
            return proposeRollback(move, comparison.detectedFault());
        }
        long moveMillis = Math.max(1, move.completeBy() - move.startedAt());
        if (move.state() == MoveState.COMPLETED) {
            boolean isComparisonOver = now - move.stageSince() >= COMPLETED_COMPARISON_TIME_SHARE * moveMillis;
            return isComparisonOver ? propose(move, MoveState.DONE, move.stage()) : Optional.empty();
        }
        if (now >= move.completeBy()) {
            return comparison.evidenceLevel() > MAX_EVIDENCE_FOR_OVERDUE_STEP
                    ? proposeRollback(move, RollbackReason.IN_DOUBT)
                    : propose(move, MoveState.COMPLETED, MoveStage.ALL);
        }
        return decideNextStep(move, comparison, now, moveMillis);
    }

    private Optional<Proposal> decideNextStep(Move move, VersionComparison comparison, long now, long moveMillis) {
        long stageMillis = now - move.stageSince();
        double minStageShare = move.stage().isLast() ? MIN_LAST_STAGE_TIME_SHARE : MIN_STAGE_TIME_SHARE;
        long minStageMillis = move.stage().isLast()
                ? (long) (minStageShare * moveMillis)
                : Math.min(MIN_STAGE_MILLIS_LIMIT, (long) (minStageShare * moveMillis));
        boolean isRegularStep = comparison.outcomesInStage() >= move.stage().requiredOutcomes()
                && comparison.evidenceLevel() < MAX_EVIDENCE_FOR_REGULAR_STEP
                && stageMillis >= minStageMillis;
        boolean isOverdueStep = stageMillis >= OVERDUE_STAGE_TIME_SHARE * moveMillis
                && comparison.evidenceLevel() < MAX_EVIDENCE_FOR_OVERDUE_STEP;
        if (!isRegularStep && !isOverdueStep) {
            return Optional.empty();
        }
        return move.stage().isLast()
                ? propose(move, MoveState.COMPLETED, MoveStage.ALL)
                : propose(move, MoveState.STEPPING, move.stage().next());
    }

    private static Optional<Proposal> propose(Move move, MoveState state, MoveStage stage) {
        return Optional.of(
                new Proposal(move.route(), move.id(), move.state(), move.stage(), state, stage, RollbackReason.NONE));
    }

    private static Optional<Proposal> proposeRollback(Move move, RollbackReason reason) {
        return Optional.of(new Proposal(
                move.route(), move.id(), move.state(), move.stage(), MoveState.TAKEN_BACK, move.stage(), reason));
    }

    /**
     * Proposes a change of the state or the stage of a move.
     *
     * @param route the name of the route.
     * @param moveId the id of the move.
     * @param expectedState the state that the move must still have, unless it is to be rolled back.
     * @param expectedStage the stage that the move must still have, unless it is to be rolled back.
     * @param state the new state.
     * @param stage the new stage.
     * @param reason why the move is to be rolled back, or {@link RollbackReason#NONE}.
     */
    public record Proposal(
            String route,
            long moveId,
            MoveState expectedState,
            MoveStage expectedStage,
            MoveState state,
            MoveStage stage,
            RollbackReason reason) {}
}
