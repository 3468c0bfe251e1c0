package org.radishspur.testkit.measure;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;

import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableEdit;
import org.radishspur.replication.codec.MessagePack;
import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.state.ControlCommand;
import org.radishspur.replication.state.ControlState;
import org.radishspur.replication.state.StateOptions;
import picocli.CommandLine.Command;

/**
 * Measures the cost of claims and edits in the state machine: time, heap and snapshot size.
 */
@Command(name = "state", mixinStandardHelpOptions = true)
final class MeasureState implements Callable<Integer> {
    private static final double NANOS_PER_MILLI = 1e6;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        for (int claims : new int[] {10_000, 100_000, 400_000}) {
            measureClaims(claims);
        }
        measureEdits(5_000);
        return 0;
    }

    private static void measureClaims(int claims) {
        ControlState state = new ControlState(StateOptions.DEFAULTS);
        long before = Samples.usedHeap();
        Samples samples = new Samples();
        for (long index = 1; index <= claims; index++) {
            var payload = (LogEntry.Payload.Command) MeasureLog.claim(index).payload();
            long beganAt = System.nanoTime();
            state.apply(MessagePack.INSTANCE.decode(payload.bytes(), ControlCommand.class));
            samples.add(System.nanoTime() - beganAt);
        }
        long heap = (Samples.usedHeap() - before) / claims;
        printResults("claims", claims, samples, heap, state);
    }

    private static void measureEdits(int edits) {
        ControlState state = new ControlState(StateOptions.DEFAULTS);
        long before = Samples.usedHeap();
        Samples samples = new Samples();
        for (int index = 1; index <= edits; index++) {
            String name = "pool-" + index % 500;
            var present = state.tables().tables().pools().get(name);
            PoolRow row = new PoolRow(name, PoolKind.SERVICE, List.of(), index, 1, Map.of());
            TableEdit edit = new TableEdit(
                    "change-" + index, List.of(new RowChange.PutPool(row, present == null ? 0 : present.revision())));
            long beganAt = System.nanoTime();
            state.apply(new ControlCommand.ApplyEdit(edit, index));
            samples.add(System.nanoTime() - beganAt);
        }
        long heap = (Samples.usedHeap() - before) / edits;
        printResults("edits over 500 rows", edits, samples, heap, state);
    }

    private static void printResults(String label, int count, Samples samples, long heap, ControlState state) {
        long beganAt = System.nanoTime();
        ControlState.Image image = state.image();
        long copiedAt = System.nanoTime();
        byte[] encoded = image.encode();
        long encodedAt = System.nanoTime();
        ControlState restored = new ControlState(StateOptions.DEFAULTS);
        restored.restore(encoded);
        System.out.printf(
                Locale.ROOT,
                "%d %s: apply p50 %.1f us, %d bytes of heap each; snapshot of %d bytes copied in %.1f ms,"
                        + " encoded in %.0f ms, restored in %.0f ms%n",
                count,
                label,
                samples.medianMicros(),
                heap,
                encoded.length,
                (copiedAt - beganAt) / NANOS_PER_MILLI,
                (encodedAt - copiedAt) / NANOS_PER_MILLI,
                (System.nanoTime() - encodedAt) / NANOS_PER_MILLI);
    }
}
