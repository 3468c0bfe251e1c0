package org.radishspur.decision.move;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class VersionComparisonTest {
    private static final double USUAL_MICROS = 20_000;
    private static final long ANSWER_GAP_MILLIS = 1_200;

    private final VersionComparison comparison = new VersionComparison();
    private final Random random = new Random(3);

    private int earlierAnswers;
    private long now;

    /** Records an answer of the new version after the usual gap between answers, at fifty a minute. */
    private void advanceAndObserveNew(boolean failed, double logSlowness) {
        now += ANSWER_GAP_MILLIS;
        observeNewNow(failed, logSlowness);
    }

    private void observeNewNow(boolean failed, double logSlowness) {
        comparison.observeNew(failed, logSlowness, earlierAnswers, now);
        earlierAnswers += failed ? 0 : 1;
    }

    private void observeOldAnswers(int count) {
        for (int oldAnswer = 0; oldAnswer < count; oldAnswer++) {
            comparison.observeOld(false, random.nextGaussian() * 0.3);
        }
    }

    @Test
    void aVersionWhoseFirstAnswerFailsIsDetectedImmediately() {
        observeOldAnswers(50);
        advanceAndObserveNew(true, 0);
        assertThat(comparison.detectedFault()).isEqualTo(RollbackReason.FAILS_OUTRIGHT);
    }

    @Test
    void oneFailureAfterASuccessIsNoFault() {
        observeOldAnswers(50);
        advanceAndObserveNew(false, 0);
        advanceAndObserveNew(true, 0);
        assertThat(comparison.detectedFault()).isEqualTo(RollbackReason.NONE);
    }

    @Test
    void aVersionThatIsAFifthSlowerIsDetected() {
        observeOldAnswers(500);
        int answers = 0;
        while (comparison.detectedFault() == RollbackReason.NONE && answers < 1_000) {
            advanceAndObserveNew(false, Math.log(1.2) + random.nextGaussian() * 0.3);
            answers++;
        }
        assertThat(comparison.detectedFault()).isEqualTo(RollbackReason.SLOWER);
        assertThat(answers).isLessThan(300);
    }

    /** Guards against a good version that is rolled back as slower right after its start. */
    @Test
    void aVersionWithFourSlowFirstAnswersIsNotRolledBack() {
        for (int oldAnswer = 0; oldAnswer < 500; oldAnswer++) {
            comparison.observeOld(false, random.nextGaussian() * 0.1);
        }
        for (int answer = 0; answer < 300; answer++) {
            advanceAndObserveNew(false, answer < 4 ? Math.log(50) : random.nextGaussian() * 0.1);
            assertThat(comparison.detectedFault()).isEqualTo(RollbackReason.NONE);
        }
    }

    /** Guards against a good version that is rolled back as slower because it gets few requests. */
    @Test
    void aVersionThatIsOnlyLessBusyIsNotRolledBack() throws IOException {
        assertNotRolledBack("idle-upstream.txt");
    }

    /** Guards against a good version that is rolled back as slower in its first hundred answers on a busy host. */
    @Test
    void aVersionThatWarmsUpOnABusyHostIsNotRolledBack() throws IOException {
        assertNotRolledBack("starting-upstream.txt");
    }

    /** Guards against a good version that is rolled back as slower while its host gets no CPU time for a second. */
    @Test
    void aVersionOnACpuStarvedHostIsNotRolledBack() throws IOException {
        assertNotRolledBack("starved-upstream.txt");
    }

    private void assertNotRolledBack(String recording) throws IOException {
        try (InputStream recorded = VersionComparisonTest.class.getResourceAsStream(recording)) {
            String text = new String(recorded.readAllBytes(), StandardCharsets.UTF_8);
            text.lines().map(line -> line.split(" ")).forEach(answer -> {
                double logSlowness = Math.log(Double.parseDouble(answer[1]) / USUAL_MICROS);
                // In a recording without times each answer gets an evidence period of its own.
                now = answer.length > 2 ? Long.parseLong(answer[2]) : now + ANSWER_GAP_MILLIS;
                if (answer[0].equals("new")) {
                    observeNewNow(false, logSlowness);
                } else {
                    comparison.observeOld(false, logSlowness);
                }
                assertThat(comparison.detectedFault()).isEqualTo(RollbackReason.NONE);
            });
        }
        assertThat(comparison.evidenceLevel())
                .as("evidence against the new version, low enough for the move to advance")
                .isLessThan(0.4);
    }

    @Test
    void aVersionAsGoodAsTheOldOneIsNotRolledBack() {
        observeOldAnswers(500);
        for (int answer = 0; answer < 20_000; answer++) {
            advanceAndObserveNew(random.nextInt(1_000) == 0, random.nextGaussian() * 0.3);
        }
        assertThat(comparison.detectedFault()).isEqualTo(RollbackReason.NONE);
    }

    /** Guards against a version that becomes faulty after weeks of good answers and stays in use. */
    @Test
    void aFaultAfterManyGoodAnswersIsDetectedQuickly() {
        observeOldAnswers(500);
        for (int answer = 0; answer < 10_000; answer++) {
            advanceAndObserveNew(false, random.nextGaussian() * 0.3);
        }
        int late = 0;
        while (comparison.detectedFault() == RollbackReason.NONE && late < 1_000) {
            advanceAndObserveNew(random.nextInt(3) == 0, 0);
            late++;
        }
        assertThat(late).isLessThan(40);
    }
}
