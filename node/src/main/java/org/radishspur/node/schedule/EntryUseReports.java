package org.radishspur.node.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UseHistory;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.node.fleet.FleetMessage;

/**
 * Counts at a scheduler what entries report of their use: what they have admitted without a scheduler, and what they had
 * used before this scheduler started. A scheduler that has just started receives it before it has a catalogue; it is held
 * until the organisations are known.
 */
final class EntryUseReports {
    /** The maximum number of reports that are held, far more than there are entries. */
    private static final int MAX_HELD = 4_096;

    private final QuotaLedger quotas;
    private final List<HeldReport> held = new ArrayList<>();

    /** The entries that have stated what they had used before this scheduler started. */
    private final Set<String> stated = new HashSet<>();

    private Map<String, OrganisationRule> organisations = Map.of();

    EntryUseReports(QuotaLedger quotas) {
        this.quotas = quotas;
    }

    /** Sets the organisations, and counts the held reports once there are any. */
    void setOrganisations(Map<String, OrganisationRule> current) {
        organisations = current;
        if (!organisations.isEmpty()) {
            held.forEach(report -> count(report.use(), report.counter()));
            held.clear();
        }
    }

    /** Counts what the report of an entry states. */
    void onReport(FleetMessage.ReportSlot report, long now) {
        countOrHold(report.localUse(), (rule, history) -> quotas.recordEntryUse(rule, history, now));
        report.recentUse()
                .filter(recent -> stated.add(recent.entry()))
                .ifPresent(recent ->
                        countOrHold(recent.use(), (rule, history) -> quotas.recordUseBeforeStart(rule, history, now)));
    }

    private void countOrHold(Map<String, UseHistory> use, BiConsumer<OrganisationRule, UseHistory> counter) {
        if (!organisations.isEmpty()) {
            count(use, counter);
        } else if (!use.isEmpty() && held.size() < MAX_HELD) {
            held.add(new HeldReport(use, counter));
        }
    }

    private void count(Map<String, UseHistory> use, BiConsumer<OrganisationRule, UseHistory> counter) {
        use.forEach((name, history) -> {
            OrganisationRule organisation = organisations.get(name);
            if (organisation != null) {
                counter.accept(organisation, history);
            }
        });
    }

    /**
     * Holds what was reported before there were organisations.
     *
     * @param use when requests were started, by organisation.
     * @param counter counts the use of one organisation as of when it was received.
     */
    private record HeldReport(Map<String, UseHistory> use, BiConsumer<OrganisationRule, UseHistory> counter) {}
}
