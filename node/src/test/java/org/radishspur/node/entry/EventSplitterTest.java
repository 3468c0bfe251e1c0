package org.radishspur.node.entry;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventSplitterTest {
    private final EventSplitter splitter = new EventSplitter(-1);

    private String split(String text) {
        ByteBuf complete = splitter.split(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        String events = complete.toString(StandardCharsets.UTF_8);
        complete.release();
        return events;
    }

    @Test
    void returnsCompleteEvents() {
        assertThat(split("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(splitter.lastEventId()).isEqualTo(2);
        assertThat(splitter.eventCount()).isEqualTo(2);
    }

    /**
     * Guards against a caller that receives a partial event from an upstream that crashes, followed by the complete one
     * from the upstream that resumes the stream.
     */
    @Test
    void holdsAPartialEventUntilItIsComplete() {
        assertThat(split("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(splitter.lastEventId()).isEqualTo(1);
        assertThat(split("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(splitter.lastEventId()).isEqualTo(2);
    }

    @Test
    void discardsThePartialEventOfABrokenStream() {
        split("id: 7\nda");
        splitter.discardPartial();
        assertThat(split("id: 7\ndata: c\n\n")).isEqualTo("id: 7\ndata: c\n\n");
    }

    /** The attempt forwards the same buffer to the caller where the route does not resume streams. */
    @Test
    void doesNotConsumeItsInput() {
        ByteBuf bytes = Unpooled.copiedBuffer("id: 1\ndata: a\n\n", StandardCharsets.UTF_8);
        splitter.split(bytes).release();
        assertThat(bytes.readableBytes()).isEqualTo(15);
    }

    @Test
    void acceptsLinesThatEndWithCarriageReturns() {
        assertThat(split("id: 3\r\ndata: a\r\n\r\n")).endsWith("\r\n\r\n");
        assertThat(splitter.lastEventId()).isEqualTo(3);
    }

    /** Guards against events that are held back until the next one because their lines end with carriage returns. */
    @Test
    void acceptsLinesThatEndWithASingleCarriageReturn() {
        assertThat(split("id: 4\rdata: a\r\r")).isEqualTo("id: 4\rdata: a\r\r");
        assertThat(splitter.lastEventId()).isEqualTo(4);
    }

    /** Guards against a line feed that counts as an event because its carriage return came in the part before it. */
    @Test
    void acceptsALineEndThatArrivesInTwoParts() {
        assertThat(split("id: 5\r\ndata: a\r\n\r")).isEqualTo("id: 5\r\ndata: a\r\n\r");
        assertThat(split("\nid: 6\r")).isEqualTo("\n");
        assertThat(split("\ndata: b\r\n\r\n")).isEqualTo("id: 6\r\ndata: b\r\n\r\n");
        assertThat(splitter.lastEventId()).isEqualTo(6);
        assertThat(splitter.eventCount()).isEqualTo(2);
    }

    @Test
    void findsTheSameEventsInPartsOfEachSize() {
        String stream = ": c\r\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\rdata: c\r\r";
        for (int size = 1; size <= stream.length(); size++) {
            EventSplitter parts = new EventSplitter(-1);
            StringBuilder received = new StringBuilder();
            for (int start = 0; start < stream.length(); start += size) {
                String part = stream.substring(start, Math.min(stream.length(), start + size));
                ByteBuf complete = parts.split(Unpooled.copiedBuffer(part, StandardCharsets.UTF_8));
                received.append(complete.toString(StandardCharsets.UTF_8));
                complete.release();
            }
            assertThat(received.toString()).isEqualTo(stream);
            assertThat(parts.lastEventId()).isEqualTo(3);
            assertThat(parts.eventCount()).isEqualTo(3);
        }
    }
}
