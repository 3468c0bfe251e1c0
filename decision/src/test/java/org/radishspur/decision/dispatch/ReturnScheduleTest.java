package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the returns of refused callers at one scheduler that releases a hundred slots a second, around a burst of twice
 * as many requests.
 */
class ReturnScheduleTest {
    private static final int RELEASES_PER_SECOND = 100;
    private static final long DEADLINE_MILLIS = 12_000;
    private static final long TARGET_MILLIS = 1_500;
    private static final long WAIT_MILLIS = 750;

    /** A third of the time left, the longest Retry-After that callers accept. */
    private static final long MAX_RETRY_AFTER_MILLIS = 3_960;

    private final ReturnSchedule schedule = new ReturnSchedule();
    private long now;

    private void run(int requestsPerSecond, long millis) {
        for (long end = now + millis; now < end; now++) {
            if (now % (1_000 / RELEASES_PER_SECOND) == 0) {
                schedule.recordRelease(now);
            }
            if (requestsPerSecond > 0 && now % (1_000 / requestsPerSecond) == 0) {
                schedule.recordArrival(request(0, 2, false), now);
            }
        }
    }

    private QueuedRequest request(int rank, int tier, boolean returns) {
        return request(rank, tier, returns, TARGET_MILLIS);
    }

    private QueuedRequest request(int rank, int tier, boolean returns, long targetMillis) {
        QueuedRequest queued = new QueuedRequest(
                "r",
                rank,
                now,
                now + WAIT_MILLIS,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Requirements(100, 50, tier, now + targetMillis, now + DEADLINE_MILLIS));
        if (returns) {
            queued.setReturn();
        }
        return queued;
    }

    private long book(int tier) {
        return schedule.book(request(0, tier, false), WAIT_MILLIS, now).orElseThrow();
    }

    private boolean isBooked(int rank, int tier) {
        QueuedRequest returning = request(rank, tier, true);
        schedule.recordArrival(returning, now);
        return !returning.isUnbooked();
    }

    @Nested
    class AtABurst {
        /** Guards against callers that return into the burst in which they were refused. */
        @Test
        void callersReturnAsLateAsTheyMayWhileItLasts() {
            run(50, 5_000);
            run(200, 1_000);
            assertThat(book(2)).isEqualTo(MAX_RETRY_AFTER_MILLIS);
        }

        /** Guards against callers that wait for a third of their time after the burst is over. */
        @Test
        void callersReturnSoonerOnceItIsOver() {
            run(50, 5_000);
            run(200, 2_000);
            run(50, 1_000);
            assertThat(book(2)).isLessThan(TARGET_MILLIS);
        }

        /** Guards against a return that takes the place of a new request although it can't be on time any more. */
        @Test
        void lateReturnsAreLateEnoughToBeRecognised() {
            run(50, 5_000);
            long left = DEADLINE_MILLIS
                    - schedule.book(request(0, 2, false, 0), 0, now).orElseThrow();
            assertThat(RetryAfterPolicy.INSTANCE.isRetry(left, DEADLINE_MILLIS)).isTrue();
        }

        /** Guards against a return after the target where there is room before it. */
        @Test
        void callersReturnBeforeTheirTargetWhereThereIsRoom() {
            run(50, 5_000);
            assertThat(book(2)).isBetween(WAIT_MILLIS, TARGET_MILLIS);
        }

        /** Guards against more returns at once than what is free. */
        @Test
        void returnsAreSpreadByWhatIsFree() {
            run(50, 5_000);
            List<Long> returns = new ArrayList<>();
            for (int caller = 0; caller < 40; caller++) {
                returns.add(schedule.book(request(0, 2, false, 0), 0, now).orElseThrow());
            }
            assertThat(returns).isSorted();
            // Thirty slots a second are free, those left for others not counted.
            assertThat(returns.get(39) - returns.get(0)).isBetween(1_200L, 1_500L);
        }

        /** Guards against a later caller that is told to return before an earlier one of its kind. */
        @Test
        void callersReturnInTheOrderOfTheirRefusals() {
            run(200, 4_000);
            long first = now + book(2);
            run(50, 1_000);
            assertThat(now + book(2)).isGreaterThanOrEqualTo(first);
        }

        /** Guards against urgent callers that return after the less urgent ones that were refused before them. */
        @Test
        void urgentCallersReturnFirst() {
            run(50, 5_000);
            long first = book(2);
            for (int caller = 0; caller < 30; caller++) {
                book(2);
            }
            assertThat(book(0)).isLessThanOrEqualTo(first);
        }
    }

    @Nested
    class AtAReturn {
        private void refuse(int tier) {
            run(50, 5_000);
            now += schedule.book(request(0, tier, false, 0), 0, now).orElseThrow();
        }

        /** Guards against a booked return that waits behind those without a booking, and against double use of one. */
        @Test
        void oneReturnTakesTheBookedRoom() {
            refuse(2);
            assertThat(isBooked(0, 2)).isTrue();
            assertThat(isBooked(0, 2)).isFalse();
            assertThat(schedule.returned()).isEqualTo(1);
        }

        /** Guards against an urgent caller that was refused elsewhere and waits behind a less urgent one. */
        @Test
        void moreUrgentReturnTakesIt() {
            refuse(2);
            assertThat(isBooked(0, 0)).isTrue();
        }

        /** Guards against a less urgent caller that takes the room of an urgent one. */
        @Test
        void lessUrgentReturnDoesNotTakeIt() {
            refuse(1);
            assertThat(isBooked(0, 2)).isFalse();
            assertThat(isBooked(1, 0)).isFalse();
        }

        /** Guards against room that is kept for callers that don't return. */
        @Test
        void bookingExpires() {
            refuse(2);
            now += 1_000;
            assertThat(isBooked(0, 2)).isFalse();
        }

        /** Guards against a caller that is told a time for a second return, which it never makes. */
        @Test
        void callerThatIsRefusedAgainGetsNoBooking() {
            run(50, 5_000);
            assertThat(schedule.book(request(0, 2, true), 0, now)).isEmpty();
            assertThat(schedule.refusedAgain()).isEqualTo(1);
        }
    }

    @Nested
    class WithSeveralSchedulers {
        /** Guards against bookings that are of no use where callers return to another scheduler. */
        @Test
        void returnElsewhereTakesABookingThere() {
            ReturnSchedule other = new ReturnSchedule();
            run(50, 5_000);
            for (long millis = 0; millis < now; millis++) {
                if (millis % (1_000 / RELEASES_PER_SECOND) == 0) {
                    other.recordRelease(millis);
                }
            }
            long here = schedule.book(request(0, 2, false, 0), 0, now).orElseThrow();
            long there = other.book(request(0, 2, false, 0), 0, now).orElseThrow();
            assertThat(Math.abs(there - here)).isLessThan(100);
            now += here;
            QueuedRequest returning = request(0, 2, true);
            other.recordArrival(returning, now);
            assertThat(returning.isUnbooked()).isFalse();
        }

        /** Guards against a scheduler that starts anew and books room before it knows how much there is. */
        @Test
        void newSchedulerBooksWithinASecond() {
            assertThat(schedule.book(request(0, 2, false), 0, now)).isEmpty();
            assertThat(isBooked(0, 2)).isFalse();
            run(50, 1_200);
            assertThat(schedule.book(request(0, 2, false), 0, now)).isNotEmpty();
        }

        /** Guards against bookings from the few releases that a scheduler of a single entry sees. */
        @Test
        void fewReleasesGiveNoBooking() {
            for (now = 0; now < 5_000; now++) {
                if (now % 100 == 0) {
                    schedule.recordRelease(now);
                }
            }
            assertThat(schedule.book(request(0, 2, false), 0, now)).isEqualTo(OptionalLong.empty());
        }
    }
}
