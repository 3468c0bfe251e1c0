package org.radishspur.model.table;

/**
 * Tells what kind of upstream a pool holds.
 */
public enum PoolKind {
    /** Model engines, which batch continuously and cache prompt prefixes. */
    ENGINE {
        @Override
        public boolean reusesPrefixes() {
            return true;
        }
    },
    /** Plain services, whose calls have no prompt. */
    SERVICE {
        @Override
        public boolean reusesPrefixes() {
            return false;
        }
    };

    /**
     * Returns whether requests of a pool of this kind gain from meeting an upstream that saw the same beginning before.
     *
     * @return whether prefixes matter.
     */
    public abstract boolean reusesPrefixes();
}
