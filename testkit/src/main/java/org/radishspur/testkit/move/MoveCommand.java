package org.radishspur.testkit.move;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Function;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Prints how simulated moves to versions of every kind end, at several request rates, by the product's policy and by a
 * canary of fixed steps.
 *
 * <p>In the table, {@code inTime} counts good versions whose move completed in time, {@code takenBack} bad versions
 * that were rolled back, and {@code wrongly} good versions that were rolled back. {@code ofWindow} is the mean of the
 * requests to the new version as a share of those expected in the window. {@code after2s} counts the requests to bad
 * versions later than two seconds after their first fault.
 */
@Command(name = "moves", mixinStandardHelpOptions = true)
public final class MoveCommand implements Callable<Integer> {
    private static final double[] REQUESTS_PER_MINUTE = {5, 50, 500};
    private static final double WINDOW_MINUTES = 60;
    private static final double MILLIS_PER_SECOND = 1_000;

    @Option(names = "--first-seed", defaultValue = "1", description = "The first seed.")
    private long firstSeed;

    @Option(names = "--seeds", defaultValue = "40", description = "How many moves of each kind and rate.")
    private int movesPerRate;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        System.out.println("kind                 rate  policy   inTime  takenBack  wrongly  ofWindow  "
                + "  after2s  medianTakeBack(s)");
        int moves = 0;
        for (VersionKind kind : VersionKind.values()) {
            for (double rate : REQUESTS_PER_MINUTE) {
                print(kind, rate, "ours", runTrials(kind, rate, MoveTrial::run));
                print(kind, rate, "canary", runTrials(kind, rate, MoveTrial::runFixedCanary));
                moves += movesPerRate;
            }
        }
        System.out.println(moves + " moves by each policy");
        return 0;
    }

    private List<MoveOutcome> runTrials(VersionKind kind, double rate, Function<MoveTrial, MoveOutcome> policy) {
        List<MoveOutcome> outcomes = new ArrayList<>();
        for (int trial = 0; trial < movesPerRate; trial++) {
            boolean secondRoute = kind == VersionKind.FAILS_ON_ONE_ROUTE && trial % 2 == 0;
            outcomes.add(policy.apply(new MoveTrial(kind, rate, secondRoute, firstSeed + trial)));
        }
        return outcomes;
    }

    private static void print(VersionKind kind, double rate, String policy, List<MoveOutcome> outcomes) {
        long bad = outcomes.stream().filter(MoveOutcome::badVersion).count();
        long good = outcomes.size() - bad;
        long inTime = outcomes.stream()
                .filter(outcome -> !outcome.badVersion() && outcome.completedInTime() && !outcome.rolledBack())
                .count();
        long rolledBackBad = outcomes.stream()
                .filter(outcome -> outcome.badVersion() && outcome.rolledBack())
                .count();
        long wrongly = outcomes.stream()
                .filter(outcome -> !outcome.badVersion() && outcome.rolledBack())
                .count();
        double shareToNew = outcomes.stream()
                .mapToDouble(outcome -> outcome.requestsToNew() / (rate * WINDOW_MINUTES))
                .average()
                .orElse(0);
        long afterFirstFault = outcomes.stream()
                .filter(MoveOutcome::badVersion)
                .mapToLong(MoveOutcome::requestsAfterFault)
                .sum();
        double median = outcomes.stream()
                .filter(outcome -> outcome.badVersion() && outcome.rolledBack())
                .mapToLong(MoveOutcome::rollbackMillis)
                .sorted()
                .skip(rolledBackBad / 2)
                .findFirst()
                .orElse(0);
        System.out.printf(
                Locale.ROOT,
                "%-20s %4.0f  %-7s %3d/%-3d  %4d/%-4d %7d %11.4f %8d %18.0f%n",
                kind,
                rate,
                policy,
                inTime,
                good,
                rolledBackBad,
                bad,
                wrongly,
                shareToNew,
                afterFirstFault,
                median / MILLIS_PER_SECOND);
    }
}
