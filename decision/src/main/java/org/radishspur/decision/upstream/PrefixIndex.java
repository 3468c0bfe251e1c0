package org.radishspur.decision.upstream;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt blocks an engine has in its cache. The estimate is based on the prompts that were dispatched
 * to the engine and corrected by the engine's own cache events, which are late and may be incomplete.
 */
public final class PrefixIndex {
    /** The factor on the confidence at a gap in the sequence of events. */
    private static final double GAP_FACTOR = 0.5;

    /** The factor on the confidence at each event without a gap. */
    private static final double RECOVERY_FACTOR = 1.05;

    private static final double LOAD_FACTOR = 0.75;
    private static final int INITIAL_CAPACITY = 64;

    private final LinkedHashMap<Long, Boolean> blocks;
    private long lastSequence = -1;
    private double confidence = 1;

    /**
     * Creates an empty index.
     *
     * @param capacity the number of blocks that the cache of the engine is assumed to hold.
     */
    public PrefixIndex(int capacity) {
        blocks = new LinkedHashMap<>(INITIAL_CAPACITY, (float) LOAD_FACTOR, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > capacity;
            }
        };
    }

    /**
     * Records that a prompt was dispatched to the engine, which then has its blocks in the cache.
     *
     * @param blockDigests the digests of the prompt's blocks.
     */
    public void dispatched(List<Long> blockDigests) {
        for (Long block : blockDigests) {
            blocks.put(block, Boolean.TRUE);
        }
    }

    /**
     * Corrects the estimate by a cache event of the engine. An event that is not newer than the last one is ignored.
     *
     * @param sequence the sequence number of the event; a gap lowers the confidence in the estimate.
     * @param added the blocks that the engine has added to its cache.
     * @param removed the blocks that the engine has evicted.
     */
    public void applyCacheEvent(long sequence, List<Long> added, List<Long> removed) {
        if (lastSequence >= 0 && sequence <= lastSequence) {
            return;
        }
        boolean gap = lastSequence >= 0 && sequence != lastSequence + 1;
        confidence = gap ? confidence * GAP_FACTOR : Math.min(1, confidence * RECOVERY_FACTOR);
        lastSequence = sequence;
        removed.forEach(blocks::remove);
        dispatched(added);
    }

    /**
     * Removes all blocks, as after a restart of the engine.
     */
    public void clear() {
        blocks.clear();
        lastSequence = -1;
        confidence = 1;
    }

    /**
     * Estimates how many leading blocks of a prompt are in the engine's cache.
     *
     * @param blockDigests the digests of the prompt's blocks.
     * @return the number of blocks, multiplied by the confidence in the estimate, which is at most 1.
     */
    public double cachedBlocks(List<Long> blockDigests) {
        int cached = 0;
        while (cached < blockDigests.size() && blocks.containsKey(blockDigests.get(cached))) {
            cached++;
        }
        return cached * confidence;
    }
}
