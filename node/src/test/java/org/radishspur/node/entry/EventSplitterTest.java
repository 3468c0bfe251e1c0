package org.radishspur.node.entry;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventSplitterTest {
    private final EventSplitter splitter = new EventSplitter(-1);

    private String take(String text) {
        ByteBuf whole = splitter.take(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        String taken = whole.toString(StandardCharsets.UTF_8);
        whole.release();
        return taken;
    }

    @Test
    void passesWholeEventsOn() {
        assertThat(take("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(splitter.lastId()).isEqualTo(2);
        assertThat(splitter.events()).isEqualTo(2);
    }

    /**
     * An upstream crashes in the middle of an event. The caller would get the half event and then, from the upstream that
     * resumes the stream, the whole one.
     */
    @Test
    void keepsAHalfEventBackUntilTheRestComes() {
        assertThat(take("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(splitter.lastId()).isEqualTo(1);
        assertThat(take("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(splitter.lastId()).isEqualTo(2);
    }

    @Test
    void forgetsAHalfEventOfABrokenStream() {
        take("id: 7\nda");
        splitter.restart();
        assertThat(take("id: 7\ndata: c\n\n")).isEqualTo("id: 7\ndata: c\n\n");
    }

    /** The bytes are passed on by the caller of the splitter as well, which must find them unread. */
    @Test
    void leavesTheBytesUnread() {
        ByteBuf bytes = Unpooled.copiedBuffer("id: 1\ndata: a\n\n", StandardCharsets.UTF_8);
        splitter.take(bytes).release();
        assertThat(bytes.readableBytes()).isEqualTo(15);
    }

    @Test
    void understandsLinesThatEndWithCarriageReturns() {
        assertThat(take("id: 3\r\ndata: a\r\n\r\n")).endsWith("\r\n\r\n");
        assertThat(splitter.lastId()).isEqualTo(3);
    }
}
