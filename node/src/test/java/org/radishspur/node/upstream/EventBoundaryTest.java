package org.radishspur.node.upstream;

import java.nio.charset.StandardCharsets;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishspur.node.upstream.EventBoundary.Position;

import static org.assertj.core.api.Assertions.assertThat;

class EventBoundaryTest {
    private static boolean endsInsideEvent(String text) {
        EventBoundary boundary = new EventBoundary();
        for (byte value : text.getBytes(StandardCharsets.UTF_8)) {
            boundary.add(value);
        }
        return boundary.isInsideEvent();
    }

    private static long countEvents(String text) {
        EventBoundary boundary = new EventBoundary();
        long events = 0;
        for (byte value : text.getBytes(StandardCharsets.UTF_8)) {
            events += boundary.add(value) == Position.EVENT_END ? 1 : 0;
        }
        return events;
    }

    /** Guards against broken streams that count as complete, for each place inside an event. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "d",
                "data",
                "data: a",
                "data: a\n",
                "data: a\r",
                "data: a\r\n",
                "id",
                "id: 1",
                "id: 1\n",
                "event: x\n",
                "other: x\n",
                "retry",
                "retry: 5",
                ":",
                ": com",
                "data: a\n: comment\n",
                "data: a\nretry: 5\n",
                "retryable: 5\n",
                "data: a\n\nid: 2\n",
                "data: a\n\n \nid: 2\n",
                "\u00e9"
            })
    void streamEndsInsideAnEvent(String text) {
        assertThat(endsInsideEvent(text)).isTrue();
    }

    /** Guards against complete streams that count as broken. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "\n",
                "\r",
                "   ",
                " \t\n",
                "data: a\n\n",
                "data: a\r\n\r\n",
                "data: a\r\r",
                "data: a\r\n\r",
                "data: a\n\n\n\n",
                ": comment\n",
                "retry: 5\n",
                "retry\n",
                "data: a\n\n: comment\n",
                "data: a\n\n: comment\r\nretry: 5\r\n",
                "data: a\n\n  "
            })
    void streamEndsBetweenEvents(String text) {
        assertThat(endsInsideEvent(text)).isFalse();
    }

    @Test
    void continuesWithAWholeEventAfterTheDiscardedOne() {
        EventBoundary boundary = new EventBoundary();
        for (byte value : "data: a\r".getBytes(StandardCharsets.UTF_8)) {
            boundary.add(value);
        }
        boundary.discardEvent();
        assertThat(boundary.isInsideEvent()).isFalse();
        assertThat(boundary.add((byte) '\n')).isEqualTo(Position.EVENT_END);
    }

    @Group
    class Streams {
        @Provide
        Arbitrary<String> lineEnds() {
            return Arbitraries.of("\n", "\r", "\r\n");
        }

        @Provide
        Arbitrary<List<String>> events() {
            Arbitrary<String> line = Arbitraries.of("data: a", "data", "id: 7", "event: end", "x-version: 3");
            Arbitrary<String> event = line.list().ofMinSize(1).ofMaxSize(3).map(lines -> String.join("~", lines) + "~");
            return event.list().ofMinSize(1).ofMaxSize(4);
        }

        /** Guards against line ends of one kind that are read differently from the others. */
        @Property(seed = "1", tries = 300)
        void areCutInsideAnEventAtEachPlaceButItsEnd(
                @ForAll("events") List<String> events, @ForAll("lineEnds") String lineEnd) {
            StringBuilder sent = new StringBuilder();
            for (String event : events) {
                String text = event.replace("~", lineEnd);
                for (int length = 1; length <= text.length(); length++) {
                    assertThat(endsInsideEvent(sent + text.substring(0, length)))
                            .isTrue();
                }
                sent.append(text).append(lineEnd);
                assertThat(endsInsideEvent(sent.toString())).isFalse();
            }
            assertThat(countEvents(sent.toString())).isEqualTo(events.size());
        }
    }
}
