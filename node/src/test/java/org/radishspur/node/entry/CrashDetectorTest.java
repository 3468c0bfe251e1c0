package org.radishspur.node.entry;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.crash.CrashGuard;
import org.radishspur.decision.crash.CrashLedger;
import org.radishspur.decision.crash.RequestSignatures;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.entry.CrashDetector.LostRequest;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.upstream.UpstreamProbe.Result;

import static org.assertj.core.api.Assertions.assertThat;

class CrashDetectorTest {
    private static final RequestSignatures SUSPECTED = new RequestSignatures(1, List.of());

    /** Crashes of this many upstreams let a request be refused. */
    private static final int CRASHES = 3;

    private final EventLog events = new EventLog("entry", new PrintStream(OutputStream.nullOutputStream()));
    private final CrashLedger ledger = new CrashLedger();
    private final List<String> checked = new ArrayList<>();
    private final List<String> ended = new ArrayList<>();
    private Result result = Result.REFUSED;
    private int notifications;
    private int newSuspects;
    private final CrashDetector detector = new CrashDetector(
            (address, listener) -> {
                checked.add(address);
                listener.accept(result);
            },
            ledger,
            new CrashGuard(ledger, 1),
            notes -> {},
            () -> newSuspects++,
            ended::add,
            events);

    @AfterEach
    void closeLog() {
        events.close();
    }

    private LostRequest lost(boolean answered) {
        return new LostRequest("request", SUSPECTED, List.of("1a", "2b"), true, 20, answered, first -> notifications++);
    }

    private boolean isRefused() {
        return detector.admit(() -> SUSPECTED).isRefused();
    }

    private static Upstream upstream(int number) {
        return new Upstream("u" + number, 1, "pool", "127.0.0.1:" + number, "a", "v1", 4, false, false);
    }

    private void crashAll() {
        for (int number = 1; number <= CRASHES; number++) {
            detector.onConnectionLost(upstream(number), lost(false));
        }
        assertThat(isRefused()).isTrue();
    }

    /** Guards against upstreams that are checked after each of their responses because they never state their end. */
    @Test
    void checksNothingWhereNoRequestIsSuspected() {
        detector.onResponseClosed(upstream(1), () -> lost(true));
        assertThat(checked).isEmpty();
    }

    /** Guards against a request that clears itself with the responses that its own crashes cut short. */
    @Test
    void countsACrashWhereTheUpstreamHasEndedWithItsResponse() {
        crashAll();
        detector.onResponseClosed(upstream(CRASHES + 1), () -> lost(true));
        assertThat(checked).hasSize(CRASHES + 1);
        assertThat(isRefused()).isTrue();
    }

    /** Guards against a sound request that stays refused because its upstreams never state the end of a response. */
    @Test
    void clearsARequestWhoseUpstreamStillRuns() {
        crashAll();
        result = Result.ACCEPTED;
        detector.onResponseClosed(upstream(CRASHES + 1), () -> lost(true));
        assertThat(isRefused()).isFalse();
    }

    @Test
    void clearsNothingWhereTheCheckShowsNothing() {
        crashAll();
        result = Result.UNKNOWN;
        detector.onResponseClosed(upstream(CRASHES + 1), () -> lost(true));
        assertThat(isRefused()).isTrue();
    }

    /** Guards against a request that is sent to another upstream before it is noted that it may have ended the first. */
    @Test
    void notifiesRequestsAfterTheCheck() {
        detector.onConnectionLost(upstream(1), lost(false));
        assertThat(notifications).isEqualTo(1);
        assertThat(detector.mayRetry(() -> SUSPECTED)).isTrue();
        detector.onConnectionLost(upstream(2), lost(false));
        assertThat(detector.mayRetry(() -> SUSPECTED)).isFalse();
    }

    /** Guards against requests in flight that stay at their upstreams until they end them. */
    @Test
    void reportsEachNewSuspectOnce() {
        crashAll();
        detector.onConnectionLost(upstream(CRASHES + 1), lost(false));
        assertThat(newSuspects).isEqualTo(1);
        assertThat(detector.isToBeWithdrawn(SUSPECTED)).isTrue();
    }

    /** Guards against an ended upstream that leaves no evidence because its host is slow to refuse a connection. */
    @Test
    void checksAgainWhereTheCheckShowsNothing() {
        result = Result.UNKNOWN;
        detector.onConnectionLost(upstream(1), lost(false));
        assertThat(checked).hasSize(4);
        assertThat(notifications).isEqualTo(1);
    }

    /** Guards against an entry that finds itself cut off because requests like each other end its upstreams. */
    @Test
    void reportsUpstreamsThatAPartHasEnded() {
        for (int number = 1; number <= 3; number++) {
            RequestSignatures signatures = new RequestSignatures(number * 10L, List.of(7L));
            LostRequest request = new LostRequest("request", signatures, List.of("7a"), true, 20, false, first -> {});
            detector.onConnectionLost(upstream(number), request);
        }
        assertThat(ended).containsExactlyInAnyOrder("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3");
    }

    /**
     * Guards against requests that end each upstream in turn while checks of the first ones show nothing, as those of a
     * host do that is short of processor, and that counts as cut off because few upstreams have answered it lately.
     */
    @Test
    void refusesAPartWhileUpstreamsThatItMayHaveEndedAreChecked() {
        List<Consumer<Result>> checks = new ArrayList<>();
        CrashDetector slow = new CrashDetector(
                (address, listener) -> checks.add(listener),
                ledger,
                new CrashGuard(ledger, 1),
                notes -> {},
                () -> {},
                address -> {},
                events);
        RequestSignatures next = new RequestSignatures(99, List.of(7L));
        for (int number = 1; number <= 3; number++) {
            assertThat(slow.admit(() -> next).isRefused()).isFalse();
            RequestSignatures signatures = new RequestSignatures(number, List.of(7L));
            LostRequest request = new LostRequest("request", signatures, List.of("7a"), true, 20, false, first -> {});
            slow.onConnectionLost(upstream(number), request);
        }
        assertThat(slow.admit(() -> next).isRefused()).isTrue();
        List<Consumer<Result>> first = List.copyOf(checks);
        first.forEach(listener -> listener.accept(Result.UNKNOWN));
        assertThat(slow.admit(() -> next).isRefused()).isTrue();
        checks.get(checks.size() - 1).accept(Result.ACCEPTED);
        assertThat(slow.admit(() -> next).isRefused()).isFalse();
    }

    /** Guards against two checks of one upstream at once, of which the second finds no request. */
    @Test
    void checksAnUpstreamOnceAtATime() {
        result = Result.UNKNOWN;
        LostRequest lostAgain = new LostRequest(
                "request",
                SUSPECTED,
                List.of(),
                true,
                20,
                false,
                first -> detector.onConnectionLost(upstream(1), lost(false)));
        detector.onConnectionLost(upstream(1), lostAgain);
        assertThat(notifications).isEqualTo(1);
        assertThat(checked).hasSizeLessThanOrEqualTo(8);
    }
}
