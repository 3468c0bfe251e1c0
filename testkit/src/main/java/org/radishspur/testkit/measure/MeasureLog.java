package org.radishspur.testkit.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;

import org.radishspur.model.request.RequestKey;
import org.radishspur.replication.codec.MessagePack;
import org.radishspur.replication.disk.DataFolder;
import org.radishspur.replication.disk.FileDisk;
import org.radishspur.replication.disk.Identity;
import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.raft.RecoveredState;
import org.radishspur.replication.raft.WriteBatch;
import org.radishspur.replication.state.ClaimHolder;
import org.radishspur.replication.state.ControlCommand;
import picocli.CommandLine.Command;

/**
 * Measures the log on a local disk: one sync for each claim, group commit, and recovery.
 */
@Command(name = "log", mixinStandardHelpOptions = true)
final class MeasureLog implements Callable<Integer> {
    private static final int BATCHES_PER_SIZE = 500;
    private static final double NANOS_PER_MILLI = 1e6;

    /** {@inheritDoc} */
    @Override
    public Integer call() throws IOException {
        for (int size : new int[] {1, 8, 64}) {
            measureWrites(size);
        }
        for (int entries : new int[] {1_000, 10_000, 100_000}) {
            measureRecovery(entries);
        }
        return 0;
    }

    private static void measureWrites(int size) throws IOException {
        Path folder = Files.createTempDirectory("measure-log");
        Samples samples = new Samples();
        try (FileDisk disk = open(folder)) {
            disk.recover();
            long index = 1;
            for (int batch = 0; batch < BATCHES_PER_SIZE; batch++) {
                WriteBatch write = batch(index, size);
                long beganAt = System.nanoTime();
                disk.write(write);
                samples.add(System.nanoTime() - beganAt);
                index += size;
            }
        }
        delete(folder);
        System.out.printf(
                Locale.ROOT,
                "batches of %d claims: sync p50 %.0f us, p99 %.0f us, %.0f claims/s%n",
                size,
                samples.medianMicros(),
                samples.p99Micros(),
                size * 1e6 / samples.medianMicros());
    }

    private static void measureRecovery(int entries) throws IOException {
        Path folder = Files.createTempDirectory("measure-log");
        try (FileDisk disk = open(folder)) {
            disk.recover();
            for (long index = 1; index <= entries; index += 100) {
                disk.write(batch(index, 100));
            }
        }
        long bytes = size(folder);
        long beganAt = System.nanoTime();
        try (FileDisk disk = reopen(folder)) {
            RecoveredState recovered = disk.recover();
            System.out.printf(
                    Locale.ROOT,
                    "recovery of %d entries without a snapshot: %.0f ms, %d bytes on disk%n",
                    recovered.entries().size(),
                    (System.nanoTime() - beganAt) / NANOS_PER_MILLI,
                    bytes);
        }
        delete(folder);
    }

    static LogEntry claim(long index) {
        RequestKey key = new RequestKey("organisation-" + index % 100, "0f8fad5b-d9cb-469f-a165-" + index);
        ControlCommand command = new ControlCommand.Claim(
                key, "5d41402abc4b2a76b9719d911017c592", new ClaimHolder("entry-1", 1_764_720_000_000L, index), index);
        return new LogEntry(
                index, 1, new LogEntry.Payload.Command(MessagePack.INSTANCE.encode(command, ControlCommand.class)));
    }

    private static WriteBatch batch(long from, int size) {
        List<LogEntry> entries = new ArrayList<>();
        for (int offset = 0; offset < size; offset++) {
            entries.add(claim(from + offset));
        }
        return new WriteBatch(Optional.empty(), entries, Optional.empty());
    }

    private static FileDisk open(Path folder) {
        DataFolder data = new DataFolder(folder);
        data.format(Identity.ofFounder("measure", "a", Set.of("a")));
        return reopen(folder);
    }

    private static FileDisk reopen(Path folder) {
        DataFolder data = new DataFolder(folder);
        return new FileDisk(data, data.identity("measure", "a"));
    }

    private static long size(Path folder) throws IOException {
        long total = 0;
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                total += Files.size(file);
            }
        }
        return total;
    }

    private static void delete(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
