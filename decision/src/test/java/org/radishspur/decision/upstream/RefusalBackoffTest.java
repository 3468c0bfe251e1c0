package org.radishspur.decision.upstream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RefusalBackoffTest {
    private static final long START = 10_000;
    private static final long INTERVAL_MILLIS = 2_000;
    private static final long STREAM_MILLIS = 1_000;

    private final RefusalBackoff backoff = new RefusalBackoff();

    private void refuse(int times) {
        for (int number = 0; number < times; number++) {
            backoff.recordRefusal(START + number * INTERVAL_MILLIS);
        }
    }

    /** Guards against an upstream that is left alone for one full queue. */
    @Test
    void oneRefusalHasNoEffect() {
        refuse(1);
        assertThat(backoff.until()).isLessThan(START);
        assertThat(backoff.isTesting()).isFalse();
    }

    /** Guards against several refusals at the same moment that count as if the upstream had refused again and again. */
    @Test
    void refusalsOfRequestsThatWereOnTheirWayTogetherCountOnce() {
        for (int number = 0; number < 20; number++) {
            backoff.recordRefusal(START + number);
        }
        assertThat(backoff.until()).isLessThan(START);
    }

    /** Guards against refusals that follow each other closely and all count as the first one, however long they last. */
    @Property(seed = "66")
    void aSteadyStreamOfRefusalsCountsAgainAndAgain(@ForAll @LongRange(min = 1, max = 200) long intervalMillis) {
        RefusalBackoff ofThisStream = new RefusalBackoff();
        long now = START;
        while (now < START + STREAM_MILLIS) {
            ofThisStream.recordRefusal(now);
            now += intervalMillis;
        }
        assertThat(ofThisStream.isTesting()).isTrue();
        assertThat(ofThisStream.until()).isGreaterThan(now);
    }

    /** Guards against an upstream that turns everything away and gets request after request. */
    @Test
    void furtherRefusalsPostponeTheNextRequestUpToABound() {
        refuse(2);
        assertThat(backoff.until() - (START + INTERVAL_MILLIS)).isEqualTo(50);
        refuse(20);
        assertThat(backoff.until() - (START + 19 * INTERVAL_MILLIS)).isEqualTo(1_600);
        assertThat(backoff.isTesting()).isTrue();
    }

    /** Guards against an upstream that takes requests again and stays restricted to one at a time. */
    @Test
    void aRunEndsTheTests() {
        refuse(5);
        backoff.recordRun();
        assertThat(backoff.isTesting()).isFalse();
        backoff.recordRefusal(START + 6 * INTERVAL_MILLIS);
        assertThat(backoff.until()).isLessThan(START + 6 * INTERVAL_MILLIS);
    }
}
