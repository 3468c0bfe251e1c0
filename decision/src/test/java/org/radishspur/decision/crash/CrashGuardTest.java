package org.radishspur.decision.crash;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CrashGuardTest {
    private static final String POOL = "pool";
    private static final long START = 1_000_000;
    private static final long PART = RequestSignatures.ofPart("part");
    private static final long OTHER_PART = RequestSignatures.ofPart("other");
    private static final long EVERYBODY = RequestSignatures.ofPart("everybody");

    private final CrashLedger ledger = new CrashLedger();
    private final CrashGuard guard = new CrashGuard(ledger, 1);
    private long now = START;
    private long lastContent;
    private int lastUpstream;

    /** Returns a request whose content no other has. */
    private RequestSignatures request(Long... parts) {
        return new RequestSignatures(++lastContent, List.of(parts));
    }

    /** Ends one upstream while some requests are in flight there. */
    private void end(RequestSignatures... inFlight) {
        now += 50;
        lastUpstream++;
        for (RequestSignatures request : inFlight) {
            guard.recordCrash(request, POOL, lastUpstream, now);
        }
    }

    private void answer(RequestSignatures request) {
        guard.recordAnswer(request.parts(), POOL, now);
        guard.clear(request);
    }

    private void answerOthers(int count) {
        for (int number = 0; number < count; number++) {
            now += 10;
            answer(request((long) number));
        }
    }

    private Admission.Verdict verdict(Long... parts) {
        return guard.admit(request(parts), now).verdict();
    }

    private boolean isRefused(Long... parts) {
        return verdict(parts) == Admission.Verdict.REFUSED;
    }

    /** Lets time pass until a request is not refused, and returns how long that took; fails after an hour. */
    private long awaitTrial(Long... parts) {
        long from = now;
        while (isRefused(parts)) {
            now += 10;
            assertThat(now - from).isLessThan(3_600_000);
        }
        return now - from;
    }

    private void blamePart() {
        for (int end = 0; end < 3; end++) {
            end(request(PART));
        }
    }

    @Nested
    class DuringChecks {
        /** Lets a request lose its connection to an upstream that is checked from then on. */
        private int lose(Long... parts) {
            guard.beginCheck(request(parts), ++lastUpstream);
            return lastUpstream;
        }

        /** Guards against requests that end one upstream after the other while slow checks of the first ones go on. */
        @Test
        void refuseAPartThatIsASuspectIfTheUpstreamsHaveEnded() {
            end(request(PART));
            lose(PART);
            assertThat(isRefused(PART)).isFalse();
            lose(PART);
            assertThat(isRefused(7L, PART)).isTrue();
            assertThat(isRefused(7L)).isFalse();
        }

        /** Guards against a part that stays refused after a check has shown that its upstream runs. */
        @Test
        void allowThePartAgainOnceAnUpstreamIsFoundRunning() {
            lose(PART);
            lose(PART);
            int running = lose(PART);
            assertThat(isRefused(PART)).isTrue();
            guard.endCheck(running);
            assertThat(isRefused(PART)).isFalse();
        }

        /** Guards against a second trial of a suspect while the upstream that the first one has ended is still checked. */
        @Test
        void putOffTheNextTrialOfASuspect() {
            blamePart();
            awaitTrial(PART);
            int trial = lose(PART);
            now += 1_000;
            assertThat(isRefused(PART)).isTrue();
            guard.endCheck(trial);
            assertThat(isRefused(PART)).isFalse();
        }

        /** Guards against a host that refuses sound requests because it has lost its links to several upstreams. */
        @Test
        void allowWhatWasAnsweredBefore() {
            answer(request(EVERYBODY));
            for (int upstream = 0; upstream < 5; upstream++) {
                lose(EVERYBODY, (long) upstream);
            }
            assertThat(isRefused(EVERYBODY)).isFalse();
        }
    }

    @Nested
    class Attribution {
        /** Guards against a part that is let through because no two requests with it have the same content. */
        @Test
        void blamesAPartThatUnlikeRequestsShare() {
            end(request(EVERYBODY, PART));
            end(request(PART, OTHER_PART));
            assertThat(isRefused(7L, PART)).isFalse();
            end(request(PART));
            assertThat(isRefused(7L, PART)).isTrue();
            assertThat(isRefused(7L, OTHER_PART)).isFalse();
        }

        /** Guards against a part that everybody shares and that is blamed for the ends that another part causes. */
        @Test
        void doesNotBlameWhatWasAnsweredBefore() {
            answer(request(EVERYBODY));
            for (int end = 0; end < 8; end++) {
                end(request(EVERYBODY, PART), request(EVERYBODY), request(EVERYBODY, 5L));
            }
            assertThat(isRefused(EVERYBODY)).isFalse();
            assertThat(isRefused(PART)).isTrue();
            answerOthers(100);
            assertThat(isRefused(EVERYBODY)).isFalse();
        }

        /** Guards against a part that everybody shares and that is refused when upstreams end for other reasons. */
        @Test
        void neverBlamesWhatEverybodySharesWhileNothingElseIsAnswered() {
            answer(request(EVERYBODY));
            for (int end = 0; end < 40; end++) {
                end(request(EVERYBODY), request(EVERYBODY));
                assertThat(isRefused(EVERYBODY)).isFalse();
            }
        }

        /** Guards against a part that is let through for ever because it was harmless once. */
        @Test
        void blamesWhatWasAnsweredBeforeOnceOnlyOthersAreAnswered() {
            answer(request(PART));
            for (int end = 0; end < 5; end++) {
                end(request(PART));
            }
            assertThat(isRefused(PART)).isFalse();
            answerOthers(10);
            assertThat(isRefused(PART)).isTrue();
        }

        /** Guards against a second part that hides behind the first because both are in flight at the same ends. */
        @Test
        void blamesTwoParts() {
            for (int end = 0; end < 3; end++) {
                end(request(PART));
                end(request(OTHER_PART));
            }
            assertThat(isRefused(PART)).isTrue();
            assertThat(isRefused(OTHER_PART)).isTrue();
        }

        /** Guards against new sound parts that stay refused because they were first sent beside one that ends upstreams. */
        @Test
        void freesTheWeakerPartWhenTheOtherHasMoreEnds() {
            for (int end = 0; end < 3; end++) {
                end(request(PART), request(OTHER_PART));
            }
            assertThat(isRefused(OTHER_PART)).isTrue();
            end(request(PART));
            assertThat(isRefused(OTHER_PART)).isFalse();
            assertThat(isRefused(PART)).isTrue();
        }

        /** Guards against processes that disagree because only one of them has seen a part answered. */
        @Test
        void sharesWhatWasAnsweredBefore() {
            CrashGuard other = new CrashGuard(new CrashLedger(), 2);
            answer(request(EVERYBODY));
            CrashLedger origin = new CrashLedger();
            for (int upstream = 0; upstream < 3; upstream++) {
                origin.recordCrash(EVERYBODY, true, upstream, false, POOL.hashCode(), now);
            }
            assertThat(guard.merge(origin.strongestNotes(now), now)).isTrue();
            other.merge(origin.strongestNotes(now), now);
            assertThat(other.admit(request(EVERYBODY), now).isRefused()).isTrue();
            other.merge(ledger.strongestNotes(now), now);
            assertThat(other.admit(request(EVERYBODY), now).isRefused()).isFalse();
        }
    }

    @Nested
    class EndsOfParts {
        @Test
        void areThoseOfAPartThatWasNeverAnswered() {
            answer(request(EVERYBODY));
            RequestSignatures retried = request();
            end(request(EVERYBODY, PART), retried);
            end(request(EVERYBODY, PART), retried);
            assertThat(guard.upstreamsEndedByParts(now)).isEmpty();
            end(request(EVERYBODY, PART));
            assertThat(guard.upstreamsEndedByParts(now)).containsExactlyInAnyOrder(1, 2, 3);
        }

        /** Guards against a lost link that is taken for the fault of the request that was sent on to two upstreams. */
        @Test
        void areNotThoseOfOneContentOrOfAnsweredParts() {
            answer(request(EVERYBODY));
            RequestSignatures retried = request(EVERYBODY);
            end(retried, request(PART));
            end(retried, request(OTHER_PART));
            end(retried);
            assertThat(guard.upstreamsEndedByParts(now)).isEmpty();
        }
    }

    @Nested
    class Retries {
        /** Guards against a second engine that ends under a request whose part has ended several already. */
        @Test
        void areAllowedAfterOneEndOnly() {
            RequestSignatures first = request(PART);
            end(first);
            assertThat(guard.mayRetry(first, now)).isTrue();
            end(request(PART));
            assertThat(guard.mayRetry(request(PART), now)).isFalse();
        }

        /** Guards against requests that aren't sent on when a rack of upstreams is lost with what everybody shares. */
        @Test
        void areAllowedWhenManyUpstreamsAreLostAtOnce() {
            answer(request(EVERYBODY));
            for (int end = 0; end < 8; end++) {
                end(request(EVERYBODY), request(EVERYBODY));
            }
            assertThat(guard.mayRetry(request(EVERYBODY), now)).isTrue();
            assertThat(guard.isExplained(lastUpstream, now)).isFalse();
        }

        /** Guards against sound requests that lose their retries because they were in flight beside a suspect. */
        @Test
        void areAllowedForWhatASuspectExplains() {
            RequestSignatures sound = request(OTHER_PART);
            blamePart();
            end(request(PART), sound);
            end(request(PART), sound);
            assertThat(guard.mayRetry(sound, now)).isTrue();
        }
    }

    @Nested
    class Trials {
        /** Guards against a part that is sent to upstreams again and again as a trial. */
        @Test
        void ofACertainSuspectAreOneEarlyAndThenRare() {
            blamePart();
            answerOthers(3);
            assertThat(awaitTrial(PART)).isLessThanOrEqualTo(2_000);
            end(request(PART));
            assertThat(awaitTrial(PART)).isBetween(120_000L, 240_000L);
            end(request(PART));
            assertThat(awaitTrial(PART)).isBetween(120_000L, 600_000L);
        }

        /** Guards against a late trial of a part that has ended many upstreams within moments. */
        @Test
        void areRareFromTheFifthEnd() {
            for (int end = 0; end < 5; end++) {
                end(request(PART));
            }
            answerOthers(3);
            assertThat(awaitTrial(PART)).isGreaterThanOrEqualTo(119_000);
        }

        /** Guards against a part that stays refused after the upstreams were fixed. */
        @Test
        void clearASuspectThatIsAnswered() {
            blamePart();
            answerOthers(3);
            awaitTrial(PART);
            RequestSignatures trial = request(PART);
            guard.beginTrial(trial, now);
            answer(trial);
            guard.endTrial(trial);
            assertThat(verdict(PART)).isEqualTo(Admission.Verdict.ALLOWED);
        }

        /** Guards against a part that everybody shares and that locks the pool after all processes were started anew. */
        @Test
        void freeWhatEverybodySharesWithinSeconds() {
            for (int end = 0; end < 3; end++) {
                end(request(EVERYBODY, PART));
            }
            assertThat(isRefused(EVERYBODY)).isTrue();
            assertThat(awaitTrial(EVERYBODY)).isLessThanOrEqualTo(2_000);
            assertThat(isRefused(EVERYBODY, PART)).isTrue();
            answer(request(EVERYBODY));
            assertThat(verdict(EVERYBODY)).isEqualTo(Admission.Verdict.ALLOWED);
            assertThat(isRefused(EVERYBODY, PART)).isTrue();
        }

        /** Guards against requests with the suspect that run beside a trial. */
        @Test
        void runAlone() {
            blamePart();
            answerOthers(3);
            awaitTrial(PART);
            RequestSignatures trial = request(PART);
            guard.beginTrial(trial, now);
            assertThat(isRefused(PART)).isTrue();
            guard.endTrial(trial);
            assertThat(isRefused(PART)).isFalse();
        }

        /** Guards against a process that tries each suspect at once because it has just started. */
        @Test
        void waitInAProcessThatHasJustStarted() {
            for (int end = 0; end < 5; end++) {
                end(request(PART));
            }
            now += 60_000;
            CrashGuard started = new CrashGuard(new CrashLedger(), 3);
            started.merge(ledger.strongestNotes(now), now);
            assertThat(started.admit(request(PART), now).isRefused()).isTrue();
            for (int number = 0; number < 3; number++) {
                now += 1_000;
                assertThat(started.admit(request(PART), now).isRefused()).isTrue();
                started.recordAnswer(List.of((long) number), POOL, now);
            }
            now += 60_000;
            assertThat(started.admit(request(PART), now).isRefused()).isTrue();
        }

        /** Guards against hundreds of processes that try the same suspect at the same moment. */
        @Test
        void ofSeveralProcessesComeOneAfterTheOther() {
            blamePart();
            int processes = 370;
            List<Long> dueMillis = new ArrayList<>();
            for (int process = 0; process < processes; process++) {
                CrashGuard each = new CrashGuard(ledger, process * 31L);
                each.setProcesses(processes);
                long elapsed = 0;
                for (int answered = 0; answered < 3; answered++) {
                    each.recordAnswer(List.of(), POOL, now + 1 + answered);
                }
                while (each.admit(request(PART), now + 10 + elapsed).isRefused()) {
                    elapsed += 50;
                }
                dueMillis.add(elapsed);
            }
            dueMillis.sort(null);
            long first = dueMillis.get(0);
            assertThat(first).isLessThan(10_000);
            assertThat(dueMillis).filteredOn(due -> due < first + 200).hasSizeLessThan(10);
        }

        /** Guards against a retry-after at which the request is refused again. */
        @Test
        void areDueAtTheStatedTime() {
            blamePart();
            answerOthers(3);
            Admission refused = guard.admit(request(PART), now);
            now += refused.retryAfterMillis();
            assertThat(verdict(PART)).isEqualTo(Admission.Verdict.TRIAL);
        }
    }
}
