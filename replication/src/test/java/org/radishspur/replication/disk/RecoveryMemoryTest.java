package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.raft.LogEntry.Payload;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;

import static org.assertj.core.api.Assertions.assertThat;

class RecoveryMemoryTest {
    private static final Identity IDENTITY = Identity.ofFounder("cluster", "a", Set.of("a"));
    private static final int ENTRY_BYTES = 1 << 20;
    private static final int ENTRIES = 30;
    private static final int ENTRIES_PER_SNAPSHOT = 4;

    @TempDir
    Path path;

    /** Recovers a folder in a process of its own. */
    static final class Recovery {
        private Recovery() {}

        public static void main(String[] arguments) {
            try (FileDisk disk = new FileDisk(new DataFolder(Path.of(arguments[0])), IDENTITY)) {
                disk.recover();
            }
        }
    }

    /** Guards against a process that runs out of memory at each start because it reads what a snapshot covers. */
    @Test
    @Timeout(60)
    void takesTwiceTheMemoryOfAJournalAtMost() throws IOException, InterruptedException {
        DataFolder folder = new DataFolder(path.resolve("data"));
        folder.format(IDENTITY);
        try (FileDisk disk = new FileDisk(folder, IDENTITY)) {
            disk.recover();
            for (long index = 1; index <= ENTRIES; index++) {
                LogEntry entry = new LogEntry(index, 1, new Payload.Command(new byte[ENTRY_BYTES]));
                disk.write(new WriteBatch(Optional.empty(), List.of(entry), Optional.empty()));
                if (index % ENTRIES_PER_SNAPSHOT == 0) {
                    Snapshot snapshot =
                            new Snapshot(index, 1, Configuration.ofVoters(Set.of("a#founder")), new byte[ENTRY_BYTES]);
                    disk.write(new WriteBatch(Optional.empty(), List.of(), Optional.of(snapshot)));
                }
            }
        }
        Path output = path.resolve("out");
        int code = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx28m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Recovery.class.getName(),
                        folder.path().toString())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start()
                .waitFor();
        assertThat(code).as(Files.readString(output)).isZero();
    }
}
