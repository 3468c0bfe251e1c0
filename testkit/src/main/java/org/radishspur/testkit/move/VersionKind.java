package org.radishspur.testkit.move;

import java.util.Random;

/**
 * Names the kinds of new version, by how their answers compare with those of the old version.
 */
enum VersionKind {
    /** It is as good as the old one. */
    GOOD {
        @Override
        Answer answer(Context context, Random random) {
            return drawAnswer(random, 1);
        }
    },
    /** It is as good as the old one once it has warmed up; its first answers take a third longer. */
    GOOD_AFTER_A_START {
        @Override
        Answer answer(Context context, Random random) {
            return drawAnswer(random, 1 + WARM_UP_EXTRA_TIME * Math.exp(-context.answersBefore() / WARM_UP_ANSWERS));
        }
    },
    /** It is as good as the old one, but its host stalls for five seconds in each five minutes. */
    GOOD_WITH_STALLS {
        @Override
        Answer answer(Context context, Random random) {
            boolean stalled = context.elapsedMillis() % STALL_PERIOD_MILLIS < STALL_MILLIS;
            return drawAnswer(random, stalled ? STALL_SLOWDOWN : 1);
        }
    },
    /** Every answer fails. */
    FAILS_OUTRIGHT {
        @Override
        Answer answer(Context context, Random random) {
            return Answer.FAULT;
        }
    },
    /** It takes a fifth longer. */
    SLOWER_1_2 {
        @Override
        Answer answer(Context context, Random random) {
            return drawAnswer(random, 1.2).asFault();
        }
    },
    /** It takes twice as long. */
    SLOWER_2 {
        @Override
        Answer answer(Context context, Random random) {
            return drawAnswer(random, 2).asFault();
        }
    },
    /** It takes five times as long. */
    SLOWER_5 {
        @Override
        Answer answer(Context context, Random random) {
            return drawAnswer(random, 5).asFault();
        }
    },
    /** A third of its answers fail, from the middle of the window on. */
    FAILS_LATER {
        @Override
        Answer answer(Context context, Random random) {
            boolean begun = context.elapsedFraction() > 0.5;
            return begun && random.nextInt(3) == 0 ? Answer.FAULT : drawAnswer(random, 1);
        }
    },
    /** It takes three times as long once it receives half of the requests or more. */
    SLOW_UNDER_LOAD {
        @Override
        Answer answer(Context context, Random random) {
            return context.trafficShare() >= 0.5 ? drawAnswer(random, 3).asFault() : drawAnswer(random, 1);
        }
    },
    /** A tenth of its answers fail, but only on the second of two routes. */
    FAILS_ON_ONE_ROUTE {
        @Override
        Answer answer(Context context, Random random) {
            boolean fails = context.secondRoute() && random.nextInt(10) == 0;
            return fails ? Answer.FAULT : drawAnswer(random, 1);
        }
    },
    /** One answer in a hundred is wrong. */
    WRONG_1_IN_100 {
        @Override
        Answer answer(Context context, Random random) {
            return random.nextInt(100) == 0 ? Answer.FAULT : drawAnswer(random, 1);
        }
    };

    private static final double LOG_TIME_DEVIATION = 0.3;
    private static final double WARM_UP_EXTRA_TIME = 1 / 3.0;
    private static final double WARM_UP_ANSWERS = 100;
    private static final long STALL_MILLIS = 5_000;
    private static final long STALL_PERIOD_MILLIS = 300_000;
    private static final double STALL_SLOWDOWN = 20;
    private static final int ANSWERS_PER_FAILURE = 1_000;

    abstract Answer answer(Context context, Random random);

    /** Draws an answer that takes a multiple of the usual time and fails once in a thousand times. */
    static Answer drawAnswer(Random random, double slowdown) {
        boolean failed = random.nextInt(ANSWERS_PER_FAILURE) == 0;
        return new Answer(failed, false, Math.log(slowdown) + random.nextGaussian() * LOG_TIME_DEVIATION);
    }

    boolean isBadOn(boolean secondRoute) {
        boolean good = this == GOOD || this == GOOD_AFTER_A_START || this == GOOD_WITH_STALLS;
        return !good && (this != FAILS_ON_ONE_ROUTE || secondRoute);
    }

    /**
     * Describes one answer of a version.
     *
     * @param failed whether it failed.
     * @param fault whether the fault of its version affects it.
     * @param logSlowness the natural logarithm of its time divided by the usual time.
     */
    record Answer(boolean failed, boolean fault, double logSlowness) {
        static final Answer FAULT = new Answer(true, true, 0);

        Answer asFault() {
            return new Answer(failed, true, logSlowness);
        }
    }

    /**
     * Describes the circumstances of an answer.
     *
     * @param elapsedFraction the share of the window that has passed, 0 to 1.
     * @param trafficShare the share of the requests that the version receives, 0 to 1.
     * @param secondRoute whether the request came over the second route.
     * @param answersBefore how many answers the version has given before.
     * @param elapsedMillis the time since the start of the window, in milliseconds.
     */
    record Context(
            double elapsedFraction, double trafficShare, boolean secondRoute, long answersBefore, long elapsedMillis) {}
}
