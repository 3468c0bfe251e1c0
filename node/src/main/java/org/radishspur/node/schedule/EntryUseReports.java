package org.radishspur.node.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UseHistory;
import org.radishspur.model.catalogue.OrganisationRule;

/**
 * Counts at a scheduler what entries have admitted without one. A scheduler that has just started receives it before it
 * has a catalogue; it is held until the organisations are known.
 */
final class EntryUseReports {
    /** The maximum number of reports that are held, far more than there are entries. */
    private static final int MAX_HELD = 4_096;

    private final QuotaLedger quotas;
    private final List<HeldReport> held = new ArrayList<>();

    EntryUseReports(QuotaLedger quotas) {
        this.quotas = quotas;
    }

    /** Counts what an entry has admitted, or holds it as long as there are no organisations. */
    void onReport(Map<String, UseHistory> use, Map<String, OrganisationRule> organisations, long now) {
        if (use.isEmpty()) {
            return;
        }
        if (organisations.isEmpty() && held.size() < MAX_HELD) {
            held.add(new HeldReport(use, now));
        }
        count(use, organisations, now);
    }

    /** Counts the held reports once organisations are known. */
    void onOrganisations(Map<String, OrganisationRule> organisations) {
        if (!organisations.isEmpty()) {
            held.forEach(report -> count(report.use(), organisations, report.receivedAt()));
            held.clear();
        }
    }

    private void count(Map<String, UseHistory> use, Map<String, OrganisationRule> organisations, long at) {
        use.forEach((name, history) -> {
            OrganisationRule organisation = organisations.get(name);
            if (organisation != null) {
                quotas.recordEntryUse(organisation, history, at);
            }
        });
    }

    /**
     * Holds a report.
     *
     * @param use when the entry has started the requests, by organisation.
     * @param receivedAt when the report was received, in milliseconds.
     */
    private record HeldReport(Map<String, UseHistory> use, long receivedAt) {}
}
