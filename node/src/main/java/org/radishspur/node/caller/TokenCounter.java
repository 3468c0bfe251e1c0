package org.radishspur.node.caller;

import io.netty.buffer.ByteBuf;
import org.radishspur.model.table.PoolKind;

/**
 * Counts the tokens of an answer: the events of an event stream, or else a share of the bytes.
 */
final class TokenCounter {
    private final PoolKind kind;
    private boolean eventStream;
    private boolean atLineStart;
    private long bytes;
    private int eventCount;

    TokenCounter(PoolKind kind) {
        this.kind = kind;
    }

    void begin(String contentType) {
        eventStream = contentType.startsWith("text/event-stream");
    }

    void add(ByteBuf part) {
        bytes += part.readableBytes();
        if (eventStream) {
            part.forEachByte(value -> {
                if (value == '\n') {
                    eventCount += atLineStart ? 1 : 0;
                    atLineStart = !atLineStart;
                } else if (value != '\r') {
                    atLineStart = false;
                }
                return true;
            });
        }
    }

    int tokens() {
        if (kind == PoolKind.SERVICE) {
            return 1;
        }
        return eventStream ? eventCount : (int) Math.max(1, bytes / BodyDigest.BYTES_PER_TOKEN);
    }
}
