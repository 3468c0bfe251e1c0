package org.radishspur.decision.path;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DirectPathsTest {
    private static final List<String> UPSTREAMS = List.of("a", "b", "c", "d", "e", "f");

    private final DirectPaths paths = new DirectPaths();
    private long now = 10_000;

    private void answer(String upstream) {
        paths.recordSent(upstream, now);
        paths.recordBytes(upstream, now);
        paths.recordEnded(upstream, now);
    }

    private void answerAll() {
        UPSTREAMS.forEach(this::answer);
    }

    private void lose(String upstream) {
        paths.recordSent(upstream, now);
        paths.recordLoss(upstream, now);
        paths.recordEnded(upstream, now);
    }

    private void pass(long millis) {
        now += millis;
    }

    @Nested
    class EndedUpstream {
        /** Guards against a host that finds itself cut off because requests end upstreams. */
        @Test
        void showsNothingAboutTheLinks() {
            answerAll();
            pass(100);
            lose("a");
            lose("b");
            paths.recordEnd("a");
            paths.recordEnd("b");
            paths.recordConnectFailure("a", now);
            paths.recordConnectFailure("b", now);
            pass(DirectPaths.CONFIRMATION_MILLIS);
            assertThat(paths.isCutOff(now)).isFalse();
        }

        /** Guards against a cut that is overlooked after upstreams have ended and are back. */
        @Test
        void countsAgainOnceItAnswers() {
            answerAll();
            paths.recordEnd("a");
            answer("a");
            pass(100);
            lose("a");
            lose("b");
            pass(DirectPaths.CONFIRMATION_MILLIS);
            assertThat(paths.isCutOff(now)).isTrue();
        }
    }

    @Nested
    class Cut {
        /** Guards against requests that are lost at each upstream in turn before the host finds its links broken. */
        @Test
        void isFoundAfterTwoUpstreamsForAll() {
            answerAll();
            pass(100);
            lose("a");
            lose("b");
            pass(DirectPaths.CONFIRMATION_MILLIS);
            assertThat(paths.isCutOff(now)).isTrue();
            assertThat(UPSTREAMS).allMatch(upstream -> paths.isBroken(upstream, now));
            assertThat(paths.isBrokenForNew("unknown", now)).isTrue();
        }

        @Test
        void isFoundByFailedConnectsForNewConnectionsOnly() {
            answerAll();
            pass(100);
            paths.recordConnectFailure("a", now);
            paths.recordConnectFailure("b", now);
            pass(DirectPaths.CONFIRMATION_MILLIS);
            assertThat(UPSTREAMS).allMatch(upstream -> paths.isBrokenForNew(upstream, now));
            assertThat(UPSTREAMS).noneMatch(upstream -> paths.isBroken(upstream, now));
        }

        /** Guards against a cut that goes unseen because one upstream still answers. */
        @Test
        void isFoundWhileOneUpstreamAnswers() {
            answerAll();
            pass(100);
            for (String upstream : UPSTREAMS.subList(1, 4)) {
                lose(upstream);
                pass(100);
                answer("a");
            }
            assertThat(paths.isBroken("a", now)).isFalse();
            assertThat(UPSTREAMS.subList(1, 6)).allMatch(upstream -> paths.isBroken(upstream, now));
        }

        /** Guards against upstreams that are avoided because two of many have ended. */
        @Test
        void isNotFoundWhereMostUpstreamsAnswer() {
            answerAll();
            pass(100);
            lose("a");
            lose("b");
            pass(10);
            UPSTREAMS.subList(2, 6).forEach(DirectPathsTest.this::answer);
            pass(100);
            assertThat(paths.isCutOff(now)).isFalse();
            assertThat(UPSTREAMS).noneMatch(upstream -> paths.isBrokenForNew(upstream, now));
        }

        /** Guards against a host that counts its own links as broken because one upstream has ended. */
        @Test
        void isNotFoundForOneUpstream() {
            for (int count = 0; count < 10; count++) {
                lose("a");
                pass(100);
            }
            assertThat(paths.isCutOff(now)).isFalse();
            assertThat(paths.isBroken("b", now)).isFalse();
        }

        @Test
        void isNotFoundWhereAnotherHostReachesTheUpstreamsNoBetter() {
            lose("a");
            lose("b");
            paths.recordUpstreamDown("b");
            pass(DirectPaths.CONFIRMATION_MILLIS);
            assertThat(paths.isCutOff(now)).isFalse();
        }
    }

    @Nested
    class Silence {
        private Set<String> sendAndWait(long millis, String... upstreams) {
            for (String upstream : upstreams) {
                paths.recordSent(upstream, now);
            }
            pass(millis);
            return paths.findSilent(now);
        }

        /** Guards against requests that hang until their deadlines at a host that receives nothing any more. */
        @Test
        void ofAllUpstreamsIsACut() {
            answerAll();
            assertThat(sendAndWait(DirectPaths.SILENCE_MILLIS + 1, "a", "b")).containsExactlyInAnyOrder("a", "b");
            pass(DirectPaths.CONFIRMATION_MILLIS);
            assertThat(paths.isCutOff(now)).isTrue();
        }

        /** Guards against a sound upstream that is avoided because it is silent for a second or so. */
        @Test
        void ofOneUpstreamIsNone() {
            assertThat(sendAndWait(10_000, "a")).isEmpty();
            assertThat(paths.isBrokenForNew("a", now)).isFalse();
        }

        @Test
        void ofTwoUpstreamsForASecondIsNoneWhileOthersAnswer() {
            paths.recordSent("a", now);
            paths.recordSent("b", now);
            pass(1_200);
            answer("c");
            assertThat(paths.findSilent(now)).isEmpty();
        }

        @Test
        void ofSeveralUpstreamsIsACutAfterLongerWhileOneAnswers() {
            paths.recordSent("a", now);
            paths.recordSent("b", now);
            pass(DirectPaths.PARTIAL_SILENCE_MILLIS + 1);
            answer("c");
            assertThat(paths.findSilent(now)).containsExactlyInAnyOrder("a", "b");
        }

        /** Guards against a host with one request at a time that never finds two upstreams silent at the same moment. */
        @Test
        void ofOneUpstreamAfterTheOtherIsACut() {
            paths.recordSent("a", now);
            pass(1_501);
            assertThat(paths.findSilent(now)).isEmpty();
            paths.recordEnded("a", now);
            paths.recordSent("b", now);
            pass(DirectPaths.SILENCE_MILLIS + 50);
            assertThat(paths.findSilent(now)).containsExactlyInAnyOrder("a", "b");
        }

        /** Guards against short silences that count as long ones because time passes after them. */
        @Test
        void countsForNoLongerThanTheRequestsWaited() {
            for (String upstream : List.of("a", "b")) {
                paths.recordSent(upstream, now);
            }
            pass(DirectPaths.SILENCE_MILLIS + 1);
            for (String upstream : List.of("a", "b")) {
                paths.recordEnded(upstream, now);
            }
            answer("c");
            pass(DirectPaths.PARTIAL_SILENCE_MILLIS);
            answer("c");
            assertThat(paths.findSilent(now)).isEmpty();
        }

        /** Guards against evidence that is lost because the requests were given up for their silence. */
        @Test
        void countsForSomeTimeAfterTheRequestsWereGivenUp() {
            paths.recordSent("a", now);
            pass(100);
            paths.recordSent("b", now);
            pass(DirectPaths.SILENCE_MILLIS - 99);
            paths.recordEnded("a", now);
            pass(100);
            assertThat(paths.findSilent(now)).containsExactlyInAnyOrder("a", "b");
        }
    }

    @Nested
    class WayBack {
        private void cutOff() {
            UPSTREAMS.forEach(DirectPathsTest.this::lose);
            pass(DirectPaths.CONFIRMATION_MILLIS);
        }

        /** Guards against a burst of requests that are lost because all of them try broken paths at the same time. */
        @Test
        void isTriedByOneRequestAtATime() {
            cutOff();
            assertThat(paths.takeTrial("a", true, now)).isTrue();
            lose("a");
            assertThat(paths.takeTrial("b", true, now)).isFalse();
            pass(DirectPaths.TRIAL_INTERVAL_MILLIS);
            assertThat(paths.takeTrial("b", false, now)).isFalse();
            assertThat(paths.takeTrial("b", true, now)).isTrue();
        }

        @Test
        void isTriedByARequestThatMayRunOnlyOnceIfThereIsNoOther() {
            cutOff();
            paths.takeTrial("a", true, now);
            lose("a");
            pass(DirectPaths.MAX_TRIAL_DELAY_MILLIS);
            assertThat(paths.takeTrial("b", false, now)).isTrue();
        }

        /** Guards against requests without a retry that hang one after the other, each as the trial of a broken path. */
        @Test
        void isNotTriedByARequestThatCannotBeSentAgainWhileTheCutIsNew() {
            cutOff();
            assertThat(paths.takeTrial("a", false, now)).isFalse();
        }

        /** Guards against a host that uses broken paths again because nothing was sent on them for some seconds. */
        @Test
        void staysClosedWhileTrialsFail() {
            cutOff();
            for (int second = 0; second < 60; second++) {
                assertThat(paths.takeTrial("a", true, now)).isTrue();
                lose("a");
                pass(DirectPaths.TRIAL_INTERVAL_MILLIS);
                assertThat(UPSTREAMS).allMatch(upstream -> paths.isBrokenForNew(upstream, now));
            }
        }

        @Test
        void staysClosedWhileTrialsAreSilent() {
            cutOff();
            for (int second = 0; second < 20; second++) {
                assertThat(paths.takeTrial("a", true, now)).isTrue();
                paths.recordConnected("a");
                paths.recordSent("a", now);
                pass(DirectPaths.SILENCE_MILLIS + 1);
                paths.findSilent(now);
                paths.recordEnded("a", now);
                pass(DirectPaths.TRIAL_INTERVAL_MILLIS - DirectPaths.SILENCE_MILLIS);
                assertThat(UPSTREAMS).allMatch(upstream -> paths.isBroken(upstream, now));
            }
        }

        /** Guards against trials that count as failed at once because older requests hang on the same path. */
        @Test
        void isNotBarredByRequestsThatHang() {
            UPSTREAMS.forEach(upstream -> paths.recordSent(upstream, now));
            pass(DirectPaths.SILENCE_MILLIS + 1);
            paths.findSilent(now);
            pass(DirectPaths.CONFIRMATION_MILLIS);
            for (String upstream : UPSTREAMS) {
                assertThat(paths.takeTrial(upstream, true, now)).isTrue();
                paths.recordSent(upstream, now);
                pass(20);
                paths.findSilent(now);
                paths.recordBytes(upstream, now);
            }
            assertThat(paths.isCutOff(now)).isFalse();
        }

        /** Guards against a host that needs a second for each upstream to find out that its links are back. */
        @Test
        void opensForAllWithOneTrialAfterTheOther() {
            cutOff();
            for (String upstream : UPSTREAMS) {
                assertThat(paths.takeTrial(upstream, true, now)).isTrue();
                paths.recordConnected(upstream);
                answer(upstream);
                pass(10);
            }
            assertThat(paths.isCutOff(now)).isFalse();
            assertThat(UPSTREAMS).noneMatch(upstream -> paths.isBrokenForNew(upstream, now));
        }
    }

    @Group
    class AnyTraffic {
        /** Guards against a cut that depends on the number of upstreams or on which of them fail first. */
        @Property(seed = "7", tries = 200)
        void finds(@ForAll @IntRange(min = 3, max = 40) int count, @ForAll long seed) {
            Random random = new Random(seed);
            DirectPaths seen = new DirectPaths();
            List<String> upstreams = new ArrayList<>();
            for (int number = 0; number < count; number++) {
                upstreams.add("u" + number);
            }
            long time = 0;
            for (; time < 2_000; time += 5) {
                String upstream = upstreams.get(random.nextInt(count));
                seen.recordSent(upstream, time);
                seen.recordBytes(upstream, time);
                seen.recordEnded(upstream, time);
                assertThat(seen.isCutOff(time)).isFalse();
            }
            int losses = 0;
            for (; time < 3_000 && !seen.isCutOff(time); time += 20) {
                String upstream = upstreams.get(random.nextInt(count));
                seen.recordSent(upstream, time);
                seen.recordLoss(upstream, time);
                seen.recordEnded(upstream, time);
                losses++;
            }
            assertThat(losses).isLessThan(20);
            long found = time;
            assertThat(upstreams).allMatch(upstream -> seen.isBrokenForNew(upstream, found));
        }

        /** Guards against sound paths that are avoided because single upstreams end, as they do all the time. */
        @Property(seed = "8", tries = 200)
        void losesNoPathToUpstreamsThatAnswer(@ForAll long seed) {
            Random random = new Random(seed);
            DirectPaths seen = new DirectPaths();
            for (long time = 0; time < 20_000; time += 10) {
                // One upstream after the other is down for two seconds.
                String down = UPSTREAMS.get((int) (time / 2_000) % UPSTREAMS.size());
                String upstream = UPSTREAMS.get(random.nextInt(UPSTREAMS.size()));
                seen.recordSent(upstream, time);
                if (upstream.equals(down)) {
                    seen.recordLoss(upstream, time);
                } else {
                    seen.recordBytes(upstream, time);
                }
                seen.recordEnded(upstream, time);
                assertThat(seen.isCutOff(time)).isFalse();
            }
        }
    }
}
