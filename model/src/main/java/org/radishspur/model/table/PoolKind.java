package org.radishspur.model.table;

/**
 * Lists the kinds of upstreams that a pool may consist of.
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
     * Returns whether upstreams of this kind cache prompt prefixes, so that a request runs faster at an upstream that
     * has run another request with the same prefix.
     *
     * @return whether prompt prefixes are reused.
     */
    public abstract boolean reusesPrefixes();
}
