package org.radishspur.decision.dispatch;

/**
 * Computes weights for rendezvous hashing: all processes with the same list of candidates choose the same ones without
 * a message, and when a candidate leaves, only its own keys move.
 */
public enum RendezvousWeight {
    /** The only instance. */
    INSTANCE;

    private static final int KEY_FACTOR = 31;

    /** Spreads hash codes that differ in their last bits only, as Knuth's multiplicative hashing does. */
    private static final int GOLDEN_RATIO = 0x9E3779B9;

    private static final int UPPER_HALF_SHIFT = 15;

    /**
     * Returns the weight of a candidate; the candidate with the least weight is chosen.
     *
     * @param key the key to assign.
     * @param candidate the name of the candidate.
     * @return the weight, of any sign.
     */
    public int of(String key, String candidate) {
        int mixed = (key.hashCode() * KEY_FACTOR + candidate.hashCode()) * GOLDEN_RATIO;
        return (mixed ^ mixed >>> UPPER_HALF_SHIFT) * GOLDEN_RATIO;
    }
}
