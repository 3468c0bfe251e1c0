package org.radishspur.decision.crash;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class CrashLedgerPropertyTest {
    private static final long NOW = 1_000_000;

    /**
     * Guards against processes that disagree because notes were lost with a connection, came twice, late or in
     * another order: each ledger sends what changed to some others, positions are forgotten at random.
     */
    @Property(tries = 100, seed = "47")
    void makesAllLedgersAgree(
            @ForAll @IntRange(min = 2, max = 12) int processes,
            @ForAll @IntRange(min = 1, max = 30) int crashes,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<CrashLedger> ledgers = new ArrayList<>();
        for (int process = 0; process < processes; process++) {
            ledgers.add(new CrashLedger());
        }
        long[][] positions = new long[processes][processes];
        for (int crash = 0; crash < crashes; crash++) {
            CrashLedger ledger = ledgers.get(random.nextInt(processes));
            ledger.recordCrash(random.nextInt(4), true, random.nextInt(5), random.nextInt(9) == 0, 7, NOW + crash);
            if (random.nextInt(6) == 0) {
                ledgers.get(random.nextInt(processes)).recordCompletion(random.nextInt(4));
            }
            int from = random.nextInt(processes);
            int to = random.nextInt(processes);
            boolean lost = random.nextInt(4) == 0;
            if (lost) {
                positions[from][to] = 0;
            } else {
                positions[from][to] = exchange(ledgers.get(from), ledgers.get(to), positions[from][to]);
            }
        }
        for (int round = 0; round < processes; round++) {
            for (int from = 0; from < processes; from++) {
                int to = (from + 1) % processes;
                positions[from][to] = exchange(ledgers.get(from), ledgers.get(to), positions[from][to]);
            }
        }
        for (long request = 0; request < 4; request++) {
            RequestSignatures signatures = new RequestSignatures(request, List.of());
            boolean first = new CrashGuard(ledgers.get(0), 1)
                    .admit(signatures, NOW + crashes)
                    .isRefused();
            for (CrashLedger ledger : ledgers) {
                assertThat(new CrashGuard(ledger, 1)
                                .admit(signatures, NOW + crashes)
                                .isRefused())
                        .isEqualTo(first);
            }
        }
    }

    private long exchange(CrashLedger from, CrashLedger to, long position) {
        CrashLedger.Changes changes = from.changesSince(position, NOW + 40);
        List<CrashNote> shuffled = new ArrayList<>(changes.notes());
        Collections.shuffle(shuffled, new Random(position));
        to.merge(shuffled, NOW + 40);
        to.merge(shuffled, NOW + 40);
        return changes.position();
    }
}
