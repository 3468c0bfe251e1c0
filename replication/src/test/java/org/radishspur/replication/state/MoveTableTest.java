package org.radishspur.replication.state;

import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.move.Move;
import org.radishspur.decision.move.MoveDriver;
import org.radishspur.decision.move.MoveStage;
import org.radishspur.decision.move.MoveState;
import org.radishspur.decision.move.RollbackReason;
import org.radishspur.decision.move.VersionSplit;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.EditAnswer;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.RouteRow;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableEdit;
import org.radishspur.model.table.UpstreamRow;

import static org.assertj.core.api.Assertions.assertThat;

class MoveTableTest {
    private static final long NOW = 1_000_000;
    private static final long HOUR_MILLIS = 3_600_000;

    private final ControlState state = new ControlState(StateOptions.DEFAULTS);
    private int editCount;

    private static UpstreamRow upstream(String version) {
        return new UpstreamRow("runs-" + version, "127.0.0.1:1", "domain", "hardware", false, version);
    }

    private EditAnswer putRoute(String version, long completeBy, long now) {
        var current = state.tables().tables().routes().get("route");
        RouteRow row = new RouteRow(
                "route", List.of(), "/", "pool", true, false, Tier.LOW, Tier.LOW, 1, 1, 1, version, completeBy);
        RowChange change = new RowChange.PutRoute(row, current == null ? 0 : current.revision());
        var answer =
                state.apply(new ControlCommand.ApplyEdit(new TableEdit("edit-" + editCount++, List.of(change)), now));
        return ((ControlAnswer.EditResult) answer).answer();
    }

    private void createRoute() {
        PoolRow pool = new PoolRow(
                "pool", PoolKind.SERVICE, List.of(upstream("1"), upstream("2"), upstream("3")), 1, 1, Map.of());
        state.apply(new ControlCommand.ApplyEdit(new TableEdit("pool", List.of(new RowChange.PutPool(pool, 0))), NOW));
        putRoute("1", 0, NOW);
    }

    private Move latestMove() {
        return state.moves().latest().get("route");
    }

    private void propose(Move expected, MoveState to, MoveStage stage, RollbackReason reason) {
        state.apply(new ControlCommand.ChangeMove(
                new MoveDriver.Proposal("route", expected.id(), expected.state(), expected.stage(), to, stage, reason),
                NOW));
    }

    private VersionSplit split() {
        return MoveTable.versionSplits(state.tables().tables(), state.moves().latest())
                .get("route");
    }

    @Test
    void anEditOfTheVersionBeginsAMove() {
        createRoute();
        putRoute("2", NOW + HOUR_MILLIS, NOW);
        assertThat(latestMove()).isEqualTo(Move.begin(3, "route", "1", "2", NOW, NOW + HOUR_MILLIS));
        assertThat(split()).isEqualTo(new VersionSplit(3, "1", "2", MoveStage.FIRST.share()));
    }

    @Test
    void anEditWithTooEarlyACompletionTimeIsInvalid() {
        createRoute();
        assertThat(putRoute("2", NOW + 1, NOW)).isInstanceOf(EditAnswer.Invalid.class);
        assertThat(latestMove()).isNull();
    }

    @Test
    void anEditToAVersionThatNoUpstreamRunsIsInvalid() {
        createRoute();
        assertThat(putRoute("9", NOW + HOUR_MILLIS, NOW)).isInstanceOf(EditAnswer.Invalid.class);
    }

    @Test
    void anEditToTheOldVersionRollsTheMoveBack() {
        createRoute();
        putRoute("2", NOW + HOUR_MILLIS, NOW);
        putRoute("1", 0, NOW);
        assertThat(latestMove().state()).isEqualTo(MoveState.TAKEN_BACK);
        assertThat(latestMove().reason()).isEqualTo(RollbackReason.BY_OPERATOR);
        assertThat(split().share()).isZero();
    }

    @Test
    void anEditToAThirdVersionStartsFromTheCurrentOne() {
        createRoute();
        putRoute("2", NOW + HOUR_MILLIS, NOW);
        putRoute("3", NOW + HOUR_MILLIS, NOW);
        assertThat(latestMove().from()).isEqualTo("1");
        assertThat(latestMove().to()).isEqualTo("3");
        assertThat(state.moves().ended()).extracting(Move::reason).containsExactly(RollbackReason.SUPERSEDED);
    }

    @Test
    void aCompletedMoveCanBeReversedByANewOne() {
        createRoute();
        putRoute("2", NOW + HOUR_MILLIS, NOW);
        propose(latestMove(), MoveState.COMPLETED, MoveStage.ALL, RollbackReason.NONE);
        propose(latestMove(), MoveState.DONE, MoveStage.ALL, RollbackReason.NONE);
        putRoute("1", NOW + HOUR_MILLIS, NOW);
        assertThat(latestMove().from()).isEqualTo("2");
        assertThat(latestMove().to()).isEqualTo("1");
    }

    @Test
    void anotherCompletionTimeDoesNotRestartAMove() {
        createRoute();
        putRoute("2", NOW + HOUR_MILLIS, NOW);
        propose(latestMove(), MoveState.STEPPING, MoveStage.SMALL, RollbackReason.NONE);
        putRoute("2", NOW + HOUR_MILLIS / 2, NOW);
        assertThat(latestMove().stage()).isEqualTo(MoveStage.SMALL);
        assertThat(latestMove().completeBy()).isEqualTo(NOW + HOUR_MILLIS / 2);
    }

    /** Guards against requests to a version whose move was rolled back, caused by delayed proposals or a snapshot. */
    @Property(seed = "99", tries = 200, shrinking = ShrinkingMode.OFF)
    void aMoveThatWasRolledBackNeverChangesAgain(@ForAll long seed) {
        Random random = new Random(seed);
        createRoute();
        putRoute("2", NOW + HOUR_MILLIS, NOW);
        List<Move> observedMoves = new java.util.ArrayList<>(List.of(latestMove()));
        boolean rolledBack = false;
        for (int step = 0; step < 60; step++) {
            Move stale = observedMoves.get(random.nextInt(observedMoves.size()));
            MoveState next = MoveState.values()[random.nextInt(MoveState.values().length)];
            MoveStage stage = next == MoveState.STEPPING ? stale.stage().next() : MoveStage.ALL;
            propose(stale, next, stage, RollbackReason.NONE);
            if (random.nextInt(5) == 0) {
                state.restore(state.image().encode());
            }
            Move now = latestMove();
            assertThat(!rolledBack || now.state() == MoveState.TAKEN_BACK).isTrue();
            assertThat(now.share()).isLessThanOrEqualTo(rolledBack ? 0 : 1);
            boolean doneAndRolledBack = now.history().stream().anyMatch(event -> event.state() == MoveState.DONE)
                    && now.state() == MoveState.TAKEN_BACK;
            assertThat(doneAndRolledBack).as("done and rolled back").isFalse();
            rolledBack |= now.state() == MoveState.TAKEN_BACK;
            observedMoves.add(now);
        }
    }
}
