package org.radishspur.decision.dispatch;

/**
 * Receives what changes the count of an organisation's use other than its own requests, so that a quota that was
 * exceeded can be traced.
 */
public interface QuotaListener {
    /**
     * Receives that another limit of an organisation is in force at this scheduler.
     *
     * @param organisation the name of the organisation.
     * @param before the previous limit, in the unit of the limit.
     * @param after the new limit.
     */
    void onLimitChanged(String organisation, double before, double after);

    /**
     * Receives that the report of a peer brought use after the peer had been silent.
     *
     * @param peer the run of the peer.
     * @param organisation the name of the organisation.
     * @param silentMillis the time since the last report of the peer on this organisation, in milliseconds.
     * @param use the use since then, in the unit of the limit.
     */
    void onUseAfterSilence(String peer, String organisation, long silentMillis, long use);

    /** Ignores everything. */
    enum NoOp implements QuotaListener {
        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public void onLimitChanged(String organisation, double before, double after) {}

        /** {@inheritDoc} */
        @Override
        public void onUseAfterSilence(String peer, String organisation, long silentMillis, long use) {}
    }
}
