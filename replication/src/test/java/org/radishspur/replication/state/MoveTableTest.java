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
import org.radishspur.decision.move.TakeBackReason;
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
    private static final long HOUR = 3_600_000;

    private final ControlState state = new ControlState(StateOptions.STANDARD);
    private int editCount;

    private static UpstreamRow upstream(String version) {
        return new UpstreamRow("runs-" + version, "127.0.0.1:1", "domain", "hardware", false, version);
    }

    private EditAnswer put(String version, long completeBy, long now) {
        var current = state.tables().tables().routes().get("route");
        RouteRow row = new RouteRow(
                "route", List.of(), "/", "pool", true, false, Tier.LOW, Tier.LOW, 1, 1, 1, version, completeBy);
        RowChange change = new RowChange.PutRoute(row, current == null ? 0 : current.revision());
        var answer =
                state.apply(new ControlCommand.ApplyEdit(new TableEdit("edit-" + editCount++, List.of(change)), now));
        return ((ControlAnswer.OfEdit) answer).answer();
    }

    private void start() {
        PoolRow pool = new PoolRow(
                "pool", PoolKind.SERVICE, List.of(upstream("1"), upstream("2"), upstream("3")), 1, 1, Map.of());
        state.apply(new ControlCommand.ApplyEdit(new TableEdit("pool", List.of(new RowChange.PutPool(pool, 0))), NOW));
        put("1", 0, NOW);
    }

    private Move move() {
        return state.moves().latest().get("route");
    }

    private void propose(Move seen, MoveState to, MoveStage stage, TakeBackReason reason) {
        state.apply(new ControlCommand.ChangeMove(
                new MoveDriver.Proposal("route", seen.id(), seen.state(), seen.stage(), to, stage, reason), NOW));
    }

    private VersionSplit split() {
        return MoveTable.splits(state.tables().tables(), state.moves().latest()).get("route");
    }

    @Test
    void anEditOfTheVersionBeginsAMove() {
        start();
        put("2", NOW + HOUR, NOW);
        assertThat(move()).isEqualTo(Move.begin(3, "route", "1", "2", NOW, NOW + HOUR));
        assertThat(split()).isEqualTo(new VersionSplit(3, "1", "2", MoveStage.FIRST.share()));
    }

    @Test
    void anEditWithTooEarlyACompletionTimeIsInvalid() {
        start();
        assertThat(put("2", NOW + 1, NOW)).isInstanceOf(EditAnswer.Invalid.class);
        assertThat(move()).isNull();
    }

    @Test
    void anEditToAVersionThatNoUpstreamRunsIsInvalid() {
        start();
        assertThat(put("9", NOW + HOUR, NOW)).isInstanceOf(EditAnswer.Invalid.class);
    }

    @Test
    void askingForTheOldVersionTakesTheMoveBack() {
        start();
        put("2", NOW + HOUR, NOW);
        put("1", 0, NOW);
        assertThat(move().state()).isEqualTo(MoveState.TAKEN_BACK);
        assertThat(move().reason()).isEqualTo(TakeBackReason.BY_OPERATOR);
        assertThat(split().share()).isZero();
    }

    @Test
    void askingForYetAnotherVersionStartsFromTheOneInUse() {
        start();
        put("2", NOW + HOUR, NOW);
        put("3", NOW + HOUR, NOW);
        assertThat(move().from()).isEqualTo("1");
        assertThat(move().to()).isEqualTo("3");
        assertThat(state.moves().ended()).extracting(Move::reason).containsExactly(TakeBackReason.SUPERSEDED);
    }

    @Test
    void aCompletedMoveCanBeReversedByANewOne() {
        start();
        put("2", NOW + HOUR, NOW);
        propose(move(), MoveState.COMPLETED, MoveStage.ALL, TakeBackReason.NONE);
        propose(move(), MoveState.DONE, MoveStage.ALL, TakeBackReason.NONE);
        put("1", NOW + HOUR, NOW);
        assertThat(move().from()).isEqualTo("2");
        assertThat(move().to()).isEqualTo("1");
    }

    @Test
    void anotherCompletionTimeDoesNotRestartAMove() {
        start();
        put("2", NOW + HOUR, NOW);
        propose(move(), MoveState.STEPPING, MoveStage.SMALL, TakeBackReason.NONE);
        put("2", NOW + HOUR / 2, NOW);
        assertThat(move().stage()).isEqualTo(MoveStage.SMALL);
        assertThat(move().completeBy()).isEqualTo(NOW + HOUR / 2);
    }

    /** Guards against requests to a version whose move was taken back, caused by delayed proposals or a snapshot. */
    @Property(seed = "99", tries = 200, shrinking = ShrinkingMode.OFF)
    void aMoveThatWasTakenBackNeverChangesAgain(@ForAll long seed) {
        Random random = new Random(seed);
        start();
        put("2", NOW + HOUR, NOW);
        List<Move> seen = new java.util.ArrayList<>(List.of(move()));
        boolean takenBack = false;
        for (int step = 0; step < 60; step++) {
            Move stale = seen.get(random.nextInt(seen.size()));
            MoveState next = MoveState.values()[random.nextInt(MoveState.values().length)];
            MoveStage stage = next == MoveState.STEPPING ? stale.stage().next() : MoveStage.ALL;
            propose(stale, next, stage, TakeBackReason.NONE);
            if (random.nextInt(5) == 0) {
                state.restore(state.image().encode());
            }
            Move now = move();
            assertThat(!takenBack || now.state() == MoveState.TAKEN_BACK).isTrue();
            assertThat(now.share()).isLessThanOrEqualTo(takenBack ? 0 : 1);
            boolean doneAndTakenBack = now.history().stream().anyMatch(event -> event.state() == MoveState.DONE)
                    && now.state() == MoveState.TAKEN_BACK;
            assertThat(doneAndTakenBack).as("done and taken back").isFalse();
            takenBack |= now.state() == MoveState.TAKEN_BACK;
            seen.add(now);
        }
    }
}
