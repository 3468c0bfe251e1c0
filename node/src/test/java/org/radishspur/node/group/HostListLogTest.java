package org.radishspur.node.group;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.radishspur.node.dialect.SkippedEntries;
import org.radishspur.node.log.EventLog;

import static org.assertj.core.api.Assertions.assertThat;

class HostListLogTest {
    private static final long START_MILLIS = 1_000;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final AtomicLong nowMillis = new AtomicLong(START_MILLIS);
    private final ControlMetrics metrics = new ControlMetrics(nowMillis::get);
    private final EventLog events = new EventLog("control-1", new PrintStream(out, true, StandardCharsets.UTF_8));
    private final HostListLog log = new HostListLog(events, metrics, nowMillis::get);

    private List<String> lines() {
        events.close();
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private long gauge(String name) {
        return (Long) metrics.registry().getGauges().get(name).getValue();
    }

    /** Guards against a log that one foreign entry fills, and against one that says nothing of it. */
    @Test
    void logsSkippedEntriesWhenTheyChange() {
        SkippedEntries one = SkippedEntries.of("{\"id\":\"\u0007\"}");
        for (int count = 0; count < 100; count++) {
            log.record(SkippedEntries.NONE);
        }
        for (int count = 0; count < 100; count++) {
            log.record(SkippedEntries.NONE.plus(one));
        }
        SkippedEntries two = one.plus(SkippedEntries.of("7"));
        log.record(two);
        log.record(SkippedEntries.of("7").plus(one));
        log.record(SkippedEntries.NONE);
        assertThat(lines())
                .satisfiesExactly(
                        line -> assertThat(line).contains("\"event\":\"LIST_SKIPPED\",\"entries\":1", "\\u0007"),
                        line -> assertThat(line).contains("\"entries\":2"),
                        line -> assertThat(line).contains("\"entries\":0"));
    }

    @Test
    void countsTheSkippedEntriesOfTheLatestReading() {
        log.record(SkippedEntries.of("7").plus(SkippedEntries.of("7")));
        assertThat(gauge("host-list.skipped-entries")).isEqualTo(2);
        log.record(SkippedEntries.NONE);
        assertThat(gauge("host-list.skipped-entries")).isZero();
    }

    /** Guards against an old list that nobody notices, because its readings have failed for long. */
    @Test
    void statesTheAgeOfTheLatestCompleteReading() {
        assertThat(gauge("host-list.age-millis")).isEqualTo(-1);
        log.record(SkippedEntries.NONE);
        nowMillis.addAndGet(500);
        log.recordFailure("no connection");
        assertThat(gauge("host-list.age-millis")).isEqualTo(500);
        log.record(SkippedEntries.NONE);
        assertThat(gauge("host-list.age-millis")).isZero();
    }

    @Test
    void keepsFewExcerptsHoweverManyEntriesAreSkipped() {
        SkippedEntries sum = SkippedEntries.NONE;
        for (int count = 0; count < 1_000; count++) {
            sum = sum.plus(SkippedEntries.of("x".repeat(1_000) + count));
        }
        assertThat(sum.count()).isEqualTo(1_000);
        assertThat(String.join(" ", sum.excerpts())).hasSizeLessThan(1_000);
    }
}
