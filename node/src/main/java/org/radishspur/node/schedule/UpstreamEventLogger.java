package org.radishspur.node.schedule;

import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.SlotScheduler;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;

/**
 * Logs what a scheduler finds out about upstreams.
 */
public abstract class UpstreamEventLogger implements SlotScheduler.Listener {
    private final EventLog events;

    /**
     * Creates a listener that logs.
     *
     * @param events the event log.
     */
    protected UpstreamEventLogger(EventLog events) {
        this.events = events;
    }

    /** {@inheritDoc} */
    @Override
    public final void onEjected(UpstreamLoad upstream, String cause) {
        events.emit(EventCode.EJECTED, upstream.upstream().id(), cause);
    }

    /** {@inheritDoc} */
    @Override
    public final void onLimitChanged(UpstreamLoad upstream) {
        events.emit(
                EventCode.LIMITED,
                upstream.upstream().id(),
                upstream.statedLimit().requestsPerMinute());
    }
}
