package org.radishspur.node.schedule;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UseHistory;
import org.radishspur.model.catalogue.OrganisationRule;

import static org.assertj.core.api.Assertions.assertThat;

class EntryUseReportsTest {
    private static final OrganisationRule RULE =
            new OrganisationRule("organisation", Set.of("key"), 0, 1_000, 2_000, true, 10);
    private static final Map<String, OrganisationRule> ORGANISATIONS = Map.of("organisation", RULE);
    private static final Map<String, UseHistory> USE =
            Map.of("organisation", new UseHistory(0, 100, new int[] {0, 4_000}), "other", UseHistory.UNKNOWN);

    private final QuotaLedger quotas = new QuotaLedger(new QuotaLedger.Tolerance(0, 0, 8_000));
    private final EntryUseReports reports = new EntryUseReports(quotas);

    @Test
    void countsUseOfKnownOrganisations() {
        quotas.observeFrom(0);
        reports.onReport(USE, ORGANISATIONS, 10_000);
        assertThat(quotas.ownUse()).containsOnly(Map.entry("organisation", 4_000L));
    }

    /** Guards against use that is lost because a scheduler that has just started has no catalogue yet. */
    @Test
    void countsUseThatCameBeforeTheCatalogueOnceAsOfItsTime() {
        quotas.observeFrom(0);
        reports.onReport(USE, Map.of(), 10_000);
        reports.onOrganisations(Map.of());
        reports.onOrganisations(ORGANISATIONS);
        reports.onOrganisations(ORGANISATIONS);
        assertThat(quotas.ownUse()).containsOnly(Map.entry("organisation", 4_000L));
        assertThat(quotas.tryCharge(RULE, 6_001, false, 17_990)).isPresent();
        assertThat(quotas.tryCharge(RULE, 10_000, false, 18_020)).isEmpty();
    }
}
