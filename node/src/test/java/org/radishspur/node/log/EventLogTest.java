package org.radishspur.node.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

class EventLogTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private List<String> lines() {
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void writesOneJsonObjectPerLine() {
        try (EventLog log = new EventLog("node-1", new PrintStream(out))) {
            log.emitForRequest(EventCode.RETRIED, "r1", "not-run", "i-1", 2, 30L);
        }
        assertThat(lines())
                .singleElement()
                .satisfies(line -> assertThat(line)
                        .contains("\"node\":\"node-1\",\"event\":\"RETRIED\",\"request\":\"r1\"")
                        .endsWith("\"reason\":\"not-run\",\"upstream\":\"i-1\",\"attempt\":2,\"millis\":30}"));
    }

    @Nested
    class UnderHighLoad {
        /**
         * 50 times as many request events as the rate limit allows must not fill the log: those beyond the limit are
         * dropped and counted, and events of the process are written nevertheless.
         */
        @Test
        void suppressesRequestEventsAboveTheRateLimitAndKeepsProcessEvents() {
            try (EventLog log = new EventLog("node-1", new PrintStream(out))) {
                for (int count = 0; count < 20_000; count++) {
                    log.emitForRequest(EventCode.LEFT, "r" + count, "i-1", 5L);
                }
                log.emit(EventCode.CONTROL, "lost", "leader", 600L);
            }
            assertThat(lines()).filteredOn(line -> line.contains("LEFT")).hasSizeLessThan(2_000);
            assertThat(lines()).filteredOn(line -> line.contains("CONTROL")).hasSize(1);
            assertThat(lines()).filteredOn(line -> line.contains("SUPPRESSED")).isNotEmpty();
        }

        /** A reader of standard output that has stalled must not block the thread that reports events. */
        @Test
        @Timeout(30)
        void doesNotBlockTheCallerWhenOutputIsBlocked() throws InterruptedException {
            CountDownLatch released = new CountDownLatch(1);
            PrintStream blocked = new PrintStream(new OutputStream() {
                @Override
                public void write(int octet) throws IOException {
                    try {
                        released.await(20, TimeUnit.SECONDS);
                    } catch (InterruptedException exception) {
                        throw new IOException(exception);
                    }
                }
            });
            EventLog log = new EventLog("node-1", blocked);
            for (int count = 0; count < 50_000; count++) {
                log.emit(EventCode.CONTROL, "lost", "leader", 600L);
            }
            released.countDown();
            log.close();
        }
    }

    @Test
    void everyEventAndFieldIsDocumentedForOperators() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "OPERATIONS.md"));
        for (EventCode code : EventCode.values()) {
            assertThat(page).contains('`' + code.name() + '`');
            code.fields().forEach(field -> assertThat(page).contains('`' + field + '`'));
        }
    }
}
