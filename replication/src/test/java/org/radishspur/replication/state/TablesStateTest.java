package org.radishspur.replication.state;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.model.table.EditAnswer;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableEdit;
import org.radishspur.model.table.Tables;

import static org.assertj.core.api.Assertions.assertThat;

class TablesStateTest {
    private final TablesState state = new TablesState();

    private static TableEdit putPool(String changeId, String pool, int limit, long expected) {
        PoolRow row = new PoolRow(pool, PoolKind.SERVICE, List.of(), limit, 1, Map.of());
        return new TableEdit(changeId, List.of(new RowChange.PutPool(row, expected)));
    }

    @Nested
    class ConcurrentEdits {
        @Test
        void exactlyOneOfTwoEditsWithEqualRevisionsIsAccepted() {
            state.apply(putPool("first", "p", 1, 0), 0);
            assertThat(state.apply(putPool("left", "p", 2, 1), 0)).isEqualTo(new EditAnswer.Accepted(2));
            EditAnswer late = state.apply(putPool("right", "p", 3, 1), 0);
            assertThat(late).isInstanceOfSatisfying(EditAnswer.Conflict.class, conflict -> {
                assertThat(conflict.currentRevision()).isEqualTo(2);
                assertThat(conflict.currentRow()).contains("\"queueLimit\":2");
            });
        }

        /** Guards against a late retry of an accepted edit that is answered with a conflict. */
        @Test
        void aRetryAfterAThousandEditsAndASnapshotGetsTheFirstAnswer() {
            EditAnswer first = state.apply(putPool("lost", "p", 1, 0), 0);
            for (int edit = 0; edit < 1_000; edit++) {
                state.apply(putPool("edit-" + edit, "q", edit + 1, edit == 0 ? 0 : edit + 1), 0);
            }
            TablesState restored = new TablesState(state.image());
            assertThat(restored.apply(putPool("lost", "p", 1, 0), 0)).isEqualTo(first);
            assertThat(restored.tables().revision()).isEqualTo(1_001);
        }

        @Test
        void aChangeIdThatIsUsedForAnotherEditIsInvalid() {
            state.apply(putPool("same", "p", 1, 0), 0);
            assertThat(state.apply(putPool("same", "p", 2, 1), 0)).isInstanceOf(EditAnswer.Invalid.class);
            assertThat(state.tables().revision()).isEqualTo(1);
        }
    }

    @Nested
    class Validation {
        @Test
        void anEditIsAppliedAtomically() {
            PoolRow good = new PoolRow("good", PoolKind.SERVICE, List.of(), 1, 1, Map.of());
            PoolRow bad = new PoolRow("Bad Name", PoolKind.SERVICE, List.of(), 0, 1, Map.of());
            EditAnswer answer = state.apply(
                    new TableEdit("both", List.of(new RowChange.PutPool(good, 0), new RowChange.PutPool(bad, 0))), 0);
            assertThat(answer)
                    .isInstanceOfSatisfying(
                            EditAnswer.Invalid.class,
                            invalid -> assertThat(invalid.faults()).hasSize(2));
            assertThat(state.tables()).isEqualTo(Tables.EMPTY);
        }
    }
}
