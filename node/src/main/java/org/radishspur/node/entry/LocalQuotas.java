package org.radishspur.node.entry;

import java.util.HashMap;
import java.util.Map;

import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UnreportedUse;
import org.radishspur.decision.dispatch.UseHistory;
import org.radishspur.node.schedule.PoolSet;

/**
 * Keeps the quotas by which an entry schedules while it has no scheduler. Each entry has a share of each quota; what the
 * entry has used of it through schedulers counts as well, or all entries together would add a whole burst to what an
 * organisation has used up already.
 */
final class LocalQuotas {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final PoolSet pools;
    private final long windowMillis;

    /** Has no tolerance: other entries may use their local schedulers too, each granting its share of the quotas. */
    private final QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);

    private final UnreportedUse unreported;
    private final Map<String, Long> refusedAt = new HashMap<>();

    /**
     * Creates quotas without use.
     *
     * @param pools the organisations with the entry's share of their quotas.
     * @param windowMillis the window over which schedulers measure quotas, in milliseconds; 0 if they don't, and the
     *     use through schedulers doesn't count here.
     */
    LocalQuotas(PoolSet pools, long windowMillis) {
        this.pools = pools;
        this.windowMillis = windowMillis;
        unreported = new UnreportedUse(windowMillis);
    }

    /** Returns the ledger of the local scheduler. */
    QuotaLedger ledger() {
        return ledger;
    }

    /** Records that another scheduler has granted a slot, whose cost it has charged. */
    void recordGrantElsewhere(UpstreamSlot slot, long now) {
        if (windowMillis > 0 && slot.quotaCost() > 0) {
            boolean exhausted = now - refusedAt.getOrDefault(slot.organisation(), NEVER) <= windowMillis;
            pools.organisationRule(slot.organisation())
                    .ifPresent(rule -> ledger.recordUseElsewhere(rule, slot.quotaCost(), exhausted, now));
        }
    }

    /** Records that another scheduler has refused a request because its organisation has used up its quota. */
    void recordRefusalElsewhere(UpstreamSlot slot, long now) {
        refusedAt.put(slot.organisation(), now);
    }

    /** Records that the local scheduler has granted a slot. */
    void recordLocalGrant(UpstreamSlot slot, long now) {
        unreported.add(slot.organisation(), slot.quotaCost(), now);
    }

    /** Returns whether the local scheduler has granted anything that no scheduler counts. */
    boolean hasUnreportedUse() {
        return !unreported.isEmpty();
    }

    /** Removes and returns what the local scheduler has granted and no scheduler counts, by organisation. */
    Map<String, UseHistory> takeUnreportedUse(long now) {
        return unreported.take(now);
    }
}
