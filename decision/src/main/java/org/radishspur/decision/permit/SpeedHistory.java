package org.radishspur.decision.permit;

import java.util.Arrays;
import java.util.function.Predicate;

/**
 * Keeps what the speeds of a pool were assumed to be over the last seconds.
 *
 * <p>Speeds that were measured while a host got no CPU time are wrong by orders of magnitude, but not for long. A
 * refusal is final for the caller, so that it needs speeds that have been assumed for a while.
 */
final class SpeedHistory {
    private static final long PERIOD_MICROS = 250_000;

    /** The number of periods kept, 12 s in all. */
    private static final int PERIODS = 48;

    private final Speeds[] periods = new Speeds[PERIODS];
    private long currentPeriod;

    /** Creates a history in which the speeds have never been measured. */
    SpeedHistory() {
        Arrays.fill(periods, Speeds.UNMEASURED);
    }

    /** Records the present speeds. Periods without a record had the speeds that were recorded before them. */
    void record(Speeds speeds, long now) {
        long period = now / PERIOD_MICROS;
        Speeds before = periods[index(currentPeriod)];
        for (long skipped = Math.max(currentPeriod + 1, period - PERIODS); skipped < period; skipped++) {
            periods[index(skipped)] = before;
        }
        periods[index(period)] = speeds;
        currentPeriod = period;
    }

    /** Returns whether a condition held in at least half of the periods within a time before the last record. */
    boolean heldMostly(Predicate<Speeds> condition, long micros) {
        int count = (int) Math.max(1, Math.min(PERIODS, micros / PERIOD_MICROS));
        int held = 0;
        for (int age = 0; age < count; age++) {
            held += condition.test(periods[index(currentPeriod - age)]) ? 1 : 0;
        }
        return 2 * held >= count;
    }

    private static int index(long period) {
        return (int) Math.floorMod(period, (long) PERIODS);
    }

    /**
     * The speeds of a pool at one time, in microseconds for each token.
     *
     * @param drainStepMicros how long the pool takes for a prompt token of its queue while all slots are in use.
     * @param drainOutputMicros the same for an output token.
     * @param fastestStepMicros how long its fastest upstream takes for a prompt token.
     * @param fastestOutputMicros the same for an output token.
     */
    record Speeds(
            double drainStepMicros, double drainOutputMicros, double fastestStepMicros, double fastestOutputMicros) {
        /** The speeds of a pool of which no upstream has been measured; they refuse nobody. */
        static final Speeds UNMEASURED = new Speeds(0, 0, 0, 0);

        double drainMicros(QueuedWork work) {
            return work.stepTokens() * drainStepMicros + work.outputTokens() * drainOutputMicros;
        }

        double serviceMicros(QueuedWork work) {
            return work.stepTokens() * fastestStepMicros + work.outputTokens() * fastestOutputMicros;
        }
    }
}
