package org.radishspur.node.schedule;

import org.radishspur.decision.dispatch.OrganisationUse;
import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.QuotaListener;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;

/**
 * Logs how a scheduler counts the use of organisations that are beyond their limits.
 */
final class QuotaLog implements QuotaListener {
    private static final long INTERVAL_MILLIS = 1_000;

    /** The maximum number of organisations that are logged each interval. */
    private static final int MAX_ORGANISATIONS = 8;

    private final QuotaLedger quotas;
    private final EventLog events;
    private long nextAt;

    QuotaLog(QuotaLedger quotas, EventLog events) {
        this.quotas = quotas;
        this.events = events;
    }

    /** Logs the use of the organisations that have been beyond their limits, if the next interval has begun. */
    void logIfDue(long now) {
        if (now >= nextAt) {
            nextAt = now + INTERVAL_MILLIS;
            quotas.takeContendedUse().stream().limit(MAX_ORGANISATIONS).forEach(this::log);
        }
    }

    private void log(OrganisationUse use) {
        events.emit(
                EventCode.QUOTA_USE,
                use.organisation(),
                Math.round(use.limit()),
                Math.round(use.window()),
                Math.round(use.assumed()),
                Math.round(use.waiting()),
                Math.round(use.reportingShare() * 100),
                quotas.ownUse().getOrDefault(use.organisation(), 0L));
    }

    /** {@inheritDoc} */
    @Override
    public void onLimitChanged(String organisation, double before, double after) {
        events.emit(EventCode.QUOTA_LIMIT, organisation, Math.round(before), Math.round(after));
    }

    /** {@inheritDoc} */
    @Override
    public void onUseAfterSilence(String peer, String organisation, long silentMillis, long use) {
        events.emit(EventCode.QUOTA_USE_AFTER_SILENCE, peer, organisation, silentMillis, use);
    }
}
