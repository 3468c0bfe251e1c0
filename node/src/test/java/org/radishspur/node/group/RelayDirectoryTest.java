package org.radishspur.node.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.radishspur.node.fleet.FleetMessage.UpstreamReach;

import static org.assertj.core.api.Assertions.assertThat;

class RelayDirectoryTest {
    private final RelayDirectory directory = new RelayDirectory();

    private static List<String> entries(int count) {
        List<String> entries = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            entries.add("10.0." + number / 200 + '.' + number % 200 + ":7600");
        }
        return entries;
    }

    @Test
    void namesOtherEntriesThatReachUpstreams() {
        directory.record("a", UpstreamReach.REACHED, 0);
        directory.record("b", UpstreamReach.REACHED, 0);
        directory.record("c", UpstreamReach.CUT_OFF, 0);
        directory.record("d", UpstreamReach.NO_RELAY, 0);
        assertThat(directory.relaysFor("a", 0)).containsExactly("b");
        assertThat(directory.relaysFor("c", 0)).containsExactlyInAnyOrder("a", "b");
        assertThat(directory.relaysFor("", 0)).isEmpty();
    }

    /** Guards against entries that relay for others although they are cut off or have ended. */
    @Test
    void forgetsEntriesThatAreCutOffOrSilent() {
        directory.record("a", UpstreamReach.REACHED, 0);
        directory.record("b", UpstreamReach.REACHED, 1_000);
        directory.record("b", UpstreamReach.CUT_OFF, 1_100);
        assertThat(directory.relaysFor("c", 1_200)).containsExactly("a");
        assertThat(directory.relaysFor("c", RelayDirectory.REPORT_TIMEOUT_MILLIS + 1))
                .isEmpty();
    }

    /** Guards against a view that changes with each poll, and against a few entries that relay for all others. */
    @Test
    void namesTheSameEntriesEachTimeAndAllAboutEquallyOften() {
        List<String> entries = entries(370);
        entries.forEach(entry -> directory.record(entry, UpstreamReach.REACHED, 0));
        Map<String, Integer> named = new HashMap<>();
        for (String entry : entries) {
            List<String> relays = directory.relaysFor(entry, 0);
            assertThat(relays).hasSize(RelayDirectory.RELAYS_PER_ENTRY).doesNotContain(entry);
            assertThat(directory.relaysFor(entry, 1)).isEqualTo(relays);
            relays.forEach(relay -> named.merge(relay, 1, Integer::sum));
        }
        assertThat(named.values()).allMatch(count -> count == RelayDirectory.RELAYS_PER_ENTRY);
    }
}
