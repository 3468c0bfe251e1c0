package org.radishspur.node.caller;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishspur.model.table.PoolKind;

import static org.assertj.core.api.Assertions.assertThat;

class TokenCounterTest {
    private static final String EVENT_STREAM = "text/event-stream";

    private static TokenCounter counted(String contentType, String body) {
        TokenCounter counter = new TokenCounter(PoolKind.ENGINE);
        counter.begin(contentType);
        for (byte value : body.getBytes(StandardCharsets.UTF_8)) {
            counter.add(Unpooled.wrappedBuffer(new byte[] {value}));
        }
        return counter;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "data: a\n\ndata: b\n\n",
                "data: a\r\n\r\ndata: b\r\n\r\n",
                "data: a\r\rdata: b\r\r",
                "\n\ndata: a\n\n\n\ndata: b\n\n\n\n\n"
            })
    void countsEventsWhateverEndsTheirLines(String body) {
        assertThat(counted(EVENT_STREAM, body).tokens()).isEqualTo(2);
    }

    @Test
    void findsTheEndInsideAnEventOnlyInEventStreams() {
        assertThat(counted("Text/Event-Stream; charset=utf-8", "data: a\n\nda").isInsideEvent())
                .isTrue();
        assertThat(counted(EVENT_STREAM, "data: a\n\n").isInsideEvent()).isFalse();
        assertThat(counted("application/json", "{}").isInsideEvent()).isFalse();
        assertThat(counted("", "text").isInsideEvent()).isFalse();
    }
}
