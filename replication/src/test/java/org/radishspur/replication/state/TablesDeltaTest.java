package org.radishspur.replication.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableEdit;
import org.radishspur.model.table.Tables;

import static org.assertj.core.api.Assertions.assertThat;

class TablesDeltaTest {
    private static TableEdit putPool(String changeId, String pool, int limit, long expected) {
        PoolRow row = new PoolRow(pool, PoolKind.SERVICE, List.of(), limit, 1, Map.of());
        return new TableEdit(changeId, List.of(new RowChange.PutPool(row, expected)));
    }

    /** Guards against copies that go wrong when deltas are lost, repeated or delayed, with random edits in between. */
    @Property(seed = "51", tries = 200, shrinking = ShrinkingMode.OFF)
    void aCopyNeverReturnsToAnOlderRevisionAndConverges(@ForAll long seed) {
        Random random = new Random(seed);
        TablesState source = new TablesState();
        Tables copy = Tables.EMPTY;
        List<TablesDelta> sentDeltas = new ArrayList<>();
        for (int step = 0; step < 120; step++) {
            applyRandomEdit(source, random, step);
            sentDeltas.add(source.deltaSince(copy.revision()));
            if (random.nextInt(3) > 0) {
                Tables changed =
                        sentDeltas.get(random.nextInt(sentDeltas.size())).applyTo(copy);
                assertThat(changed.revision()).isGreaterThanOrEqualTo(copy.revision());
                copy = changed;
            }
        }
        copy = source.deltaSince(copy.revision()).applyTo(copy);
        assertThat(copy).isEqualTo(source.tables());
    }

    private void applyRandomEdit(TablesState source, Random random, int step) {
        String pool = "p" + random.nextInt(5);
        var current = source.tables().pools().get(pool);
        long revision = current == null ? 0 : current.revision();
        if (current != null && random.nextInt(4) == 0) {
            source.apply(new TableEdit("c" + step, List.of(new RowChange.DeletePool(pool, revision))), 0);
        } else {
            source.apply(putPool("c" + step, pool, step + 1, revision), 0);
        }
    }
}
