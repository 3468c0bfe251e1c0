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
}
