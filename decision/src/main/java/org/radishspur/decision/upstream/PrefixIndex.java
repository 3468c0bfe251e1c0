package org.radishspur.decision.upstream;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Guesses which prompt blocks an engine has in its cache: from what was dispatched to it, corrected by the engine's own
 * events, which come late and with gaps.
 */
public final class PrefixIndex {
    private static final double GAP_FACTOR = 0.5;
    private static final double RECOVERY_FACTOR = 1.05;
    private static final double LOAD_FACTOR = 0.75;
    private static final int INITIAL_CAPACITY = 64;

    private final LinkedHashMap<Long, Boolean> blocks;
    private long lastSequence = -1;
    private double confidence = 1;

    /**
     * Creates an empty index.
     *
     * @param capacity how many blocks the engine is taken to hold.
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
     * Notes that a prompt was dispatched to the engine.
     *
     * @param prefix the digests of the prompt's blocks.
     */
    public void dispatched(List<Long> prefix) {
        for (Long block : prefix) {
            blocks.put(block, Boolean.TRUE);
        }
    }

    /**
     * Corrects the guess by an event of the engine.
     *
     * @param sequence the number of the event; a number left out lowers the trust in the index.
     * @param added the blocks that the engine has taken in.
     * @param removed the blocks that the engine has dropped.
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
     * Forgets everything, as after a restart of the engine.
     */
    public void clear() {
        blocks.clear();
        lastSequence = -1;
        confidence = 1;
    }

    /**
     * Counts the leading blocks of a prompt that the engine seems to hold.
     *
     * @param prefix the digests of the prompt's blocks.
     * @return the number of blocks, lowered where the index isn't trusted.
     */
    public double cachedBlocks(List<Long> prefix) {
        int held = 0;
        while (held < prefix.size() && blocks.containsKey(prefix.get(held))) {
            held++;
        }
        return held * confidence;
    }
}
