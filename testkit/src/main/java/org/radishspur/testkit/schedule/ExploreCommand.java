package org.radishspur.testkit.schedule;

import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs schedules with random seeds for a given time, and prints the seed of the first one that fails.
 */
@Command(name = "explore", mixinStandardHelpOptions = true)
public final class ExploreCommand implements Callable<Integer> {
    private static final int MAXIMUM_REPLICAS = 5;
    private static final int MINIMUM_REPLICAS = 3;

    @Option(names = "--seconds", defaultValue = "60", description = "How long to run, in seconds.")
    private long seconds;

    @Option(names = "--seed", description = "Run only this seed.")
    private Long onlySeed;

    @Option(
            names = "--faulty-millis",
            defaultValue = "20000",
            description = "How long faults occur, in milliseconds of virtual time.")
    private long faultyMillis;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        long beganAt = System.nanoTime();
        long until = beganAt + TimeUnit.SECONDS.toNanos(seconds);
        long schedules = 0;
        long steps = 0;
        long commits = 0;
        while (System.nanoTime() < until) {
            long seed =
                    onlySeed != null ? onlySeed : ThreadLocalRandom.current().nextLong();
            int size = seed % 2 == 0 ? MINIMUM_REPLICAS : MAXIMUM_REPLICAS;
            try {
                ReplicaSchedule.Outcome outcome = new ReplicaSchedule(seed, size, FaultRates.HARSH).run(faultyMillis);
                schedules++;
                steps += outcome.steps();
                commits += outcome.commits();
            } catch (RuntimeException failure) {
                System.out.println("seed " + seed + " with " + size + " replicas fails");
                failure.printStackTrace(System.out);
                return 1;
            }
            if (onlySeed != null) {
                break;
            }
        }
        System.out.println(schedules + " schedules, " + steps + " steps, " + commits + " commits in "
                + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganAt) + " ms: no invariant violated");
        return 0;
    }
}
