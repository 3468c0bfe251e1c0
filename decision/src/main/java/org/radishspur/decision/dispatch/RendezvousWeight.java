package org.radishspur.decision.dispatch;

/**
 * Weighs candidates for a key, as rendezvous hashing does: all who know the same candidates choose the same ones without a
 * message, and a candidate that leaves moves no other key.
 */
public enum RendezvousWeight {
    /** The only instance. */
    INSTANCE;

    private static final int KEY_FACTOR = 31;

    /** Spreads hash codes that differ in their last bits only, as Knuth's multiplicative hashing does. */
    private static final int GOLDEN_RATIO = 0x9E3779B9;

    private static final int UPPER_HALF_SHIFT = 15;

    /**
     * Returns the weight of a candidate; the least one is chosen.
     *
     * @param key what is looked for.
     * @param candidate the name of the candidate.
     * @return the weight, of any sign.
     */
    public int of(String key, String candidate) {
        int mixed = (key.hashCode() * KEY_FACTOR + candidate.hashCode()) * GOLDEN_RATIO;
        return (mixed ^ mixed >>> UPPER_HALF_SHIFT) * GOLDEN_RATIO;
    }
}
