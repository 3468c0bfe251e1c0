package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

import org.radishspur.model.catalogue.OrganisationRule;

/**
 * Keeps the quotas by which an entry schedules while it has no scheduler. Each entry has a share of each quota; what the
 * entry has used of it through schedulers counts as well, or all entries together would add a whole burst to what an
 * organisation has used up already.
 */
public final class EntryQuotas {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** The number of slices in which an entry states what it has used. */
    private static final int SLICES = 80;

    private final long windowMillis;

    /** Has no tolerance: other entries may schedule by themselves too, each granting its share of the quotas. */
    private final QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);

    private final UnreportedUse unreported;

    /** What the entry has used through schedulers and by itself, by organisation. */
    private final Map<String, UsageWindow> used = new HashMap<>();

    private final Map<String, Long> refusedAt = new HashMap<>();

    /**
     * Creates quotas without use.
     *
     * @param windowMillis the window over which schedulers measure quotas, in milliseconds; 0 if they don't, and the
     *     use through schedulers doesn't count here.
     */
    public EntryQuotas(long windowMillis) {
        this.windowMillis = windowMillis;
        unreported = new UnreportedUse(windowMillis);
    }

    /**
     * Returns the ledger by which the entry schedules.
     *
     * @return the ledger; its rules have to be those of the organisations with the entry's share.
     */
    public QuotaLedger ledger() {
        return ledger;
    }

    /**
     * Records that a scheduler has granted a request of this entry and charged its cost.
     *
     * @param organisation the organisation with the entry's share of its limit.
     * @param cost the cost in the unit of the limit.
     * @param now the current time in milliseconds.
     */
    public void recordGrantElsewhere(OrganisationRule organisation, double cost, long now) {
        if (windowMillis > 0 && cost > 0) {
            boolean exhausted = now - refusedAt.getOrDefault(organisation.name(), NEVER) <= windowMillis;
            double limit = organisation.ratePerSecond() * windowMillis / 1_000 + organisation.burst();
            double room = limit - recordUse(organisation.name(), cost, now);
            ledger.recordUseElsewhere(organisation, cost, Math.max(0, room), exhausted, now);
        }
    }

    /** Records use and returns what was used in the window. */
    private double recordUse(String organisation, double cost, long now) {
        UsageWindow window = used.computeIfAbsent(organisation, key -> new UsageWindow(windowMillis, SLICES, now));
        window.advance(now);
        window.add(cost, now);
        return window.total();
    }

    /**
     * Records that a scheduler has refused a request of this entry because the organisation has used up its quota.
     *
     * @param organisation the name of the organisation.
     * @param now the current time in milliseconds.
     */
    public void recordRefusalElsewhere(String organisation, long now) {
        refusedAt.put(organisation, now);
    }

    /**
     * Records that the entry has granted a request by itself.
     *
     * @param organisation the name of the organisation.
     * @param cost the cost in the unit of the limit.
     * @param now the current time in milliseconds.
     */
    public void recordLocalGrant(String organisation, double cost, long now) {
        unreported.add(organisation, cost, now);
        if (windowMillis > 0 && cost > 0) {
            recordUse(organisation, cost, now);
        }
    }

    /**
     * Returns what requests of this entry have used lately, whoever has granted it.
     *
     * @param now the current time in milliseconds.
     * @return when it was started, by organisation.
     */
    public Map<String, UseHistory> recentUse(long now) {
        Map<String, UseHistory> histories = new HashMap<>();
        used.forEach((organisation, window) -> {
            window.advance(now);
            histories.put(organisation, window.history(now));
        });
        histories.values().removeIf(history -> history.total() == 0);
        return histories;
    }

    /**
     * Returns whether the entry has granted anything by itself that no scheduler counts.
     *
     * @return whether {@link #takeUnreportedUse} would return any use.
     */
    public boolean hasUnreportedUse() {
        return !unreported.isEmpty();
    }

    /**
     * Removes what the entry has granted by itself and no scheduler counts.
     *
     * @param now the current time in milliseconds.
     * @return when it was started, by organisation.
     */
    public Map<String, UseHistory> takeUnreportedUse(long now) {
        return unreported.take(now);
    }
}
