package org.radishspur.replication.disk;

import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Checks that no acknowledged batch is lost, whenever processes end, the power is lost or the disk is full. The system
 * property {@code disk.trials} repeats each trial with as many seeds.
 */
class FileDiskPropertyTest {
    private static final int TRIALS = Integer.getInteger("disk.trials", 1);
    private static final int BATCHES = 120;
    private static final int OPERATIONS_BETWEEN_STOPS = 60;
    /** A thousandth of the real size, as the journals are, so that many trials take little time. */
    private static final int SCALED_ENTRY_BYTES = 6_000;

    private static final int ENTRY_BYTES = 6_000_000;
    private static final int JOURNAL_BYTES = 16 << 20;
    private static final Logger REPLAY_LOGGER = Logger.getLogger(JournalReplay.class.getName());

    /** Guards against acknowledged entries, votes and snapshots that are lost, and replicas that don't start again. */
    @Property(seed = "81", tries = 300, shrinking = ShrinkingMode.OFF)
    void anyAcknowledgedBatchIsRecovered(@ForAll long seed) {
        runScaled(seed, false);
    }

    /** Guards against the same with journals that an earlier version has written. */
    @Property(seed = "82", tries = 100, shrinking = ShrinkingMode.OFF)
    void anyBatchAcknowledgedByAnEarlierVersionIsRecovered(@ForAll long seed) {
        // Thousands of starts keep entries that the earlier version would have dropped, and say so.
        REPLAY_LOGGER.setLevel(Level.OFF);
        try {
            runScaled(seed, true);
        } finally {
            REPLAY_LOGGER.setLevel(null);
        }
    }

    /** Guards against the same with journals and entries of their real sizes. */
    @Property(seed = "83", tries = 2, shrinking = ShrinkingMode.OFF)
    void anyAcknowledgedBatchOfRealSizeIsRecovered(@ForAll long seed) {
        Random seeds = new Random(seed);
        for (int trial = 0; trial < TRIALS; trial++) {
            new DiskTrial(
                            seeds.nextLong(),
                            new DiskTrial.Conditions(JOURNAL_BYTES, ENTRY_BYTES, OPERATIONS_BETWEEN_STOPS, false))
                    .run(BATCHES);
        }
    }

    private static void runScaled(long seed, boolean earlierRecords) {
        Random seeds = new Random(seed);
        for (int trial = 0; trial < TRIALS; trial++) {
            // From journals of one batch each to journals that no trial fills.
            int journalBytes = 1 << (8 + seeds.nextInt(10));
            new DiskTrial(
                            seeds.nextLong(),
                            new DiskTrial.Conditions(
                                    journalBytes, SCALED_ENTRY_BYTES, OPERATIONS_BETWEEN_STOPS, earlierRecords))
                    .run(BATCHES);
        }
    }
}
