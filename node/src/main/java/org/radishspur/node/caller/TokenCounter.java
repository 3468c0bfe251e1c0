package org.radishspur.node.caller;

import io.netty.buffer.ByteBuf;
import org.radishspur.model.table.PoolKind;

/**
 * Estimates the number of tokens of an answer: the number of events in an event stream, otherwise the number of bytes
 * divided by {@link BodyDigest#BYTES_PER_TOKEN}. An answer of a plain service counts as 1.
 */
final class TokenCounter {
    private final PoolKind kind;
    private boolean eventStream;
    private boolean nonEmptyLineEnded;
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
                // An empty line ends an event.
                if (value == '\n') {
                    eventCount += nonEmptyLineEnded ? 1 : 0;
                    nonEmptyLineEnded = !nonEmptyLineEnded;
                } else if (value != '\r') {
                    nonEmptyLineEnded = false;
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
