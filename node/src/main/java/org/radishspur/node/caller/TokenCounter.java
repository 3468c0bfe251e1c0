package org.radishspur.node.caller;

import io.netty.buffer.ByteBuf;
import org.radishspur.model.table.PoolKind;
import org.radishspur.node.upstream.EventBoundary;
import org.radishspur.node.upstream.UpstreamHeaders;

/**
 * Estimates the number of tokens of an answer: the number of events in an event stream, otherwise the number of bytes
 * divided by {@link BodyDigest#BYTES_PER_TOKEN}. An answer of a plain service counts as 1.
 */
final class TokenCounter {
    private final PoolKind kind;
    private boolean eventStream;
    private final EventBoundary events = new EventBoundary();
    private boolean nonEmptyLineEnded;
    private long bytes;
    private int eventCount;

    TokenCounter(PoolKind kind) {
        this.kind = kind;
    }

    void begin(String contentType) {
        eventStream = UpstreamHeaders.INSTANCE.isEventStream(contentType);
    }

    void add(ByteBuf part) {
        bytes += part.readableBytes();
        if (eventStream) {
            part.forEachByte(value -> {
                count(events.add(value));
                return true;
            });
        }
    }

    /** Counts an event at the empty line that ends it; further empty lines end none. */
    private void count(EventBoundary.Position position) {
        if (position == EventBoundary.Position.EVENT_END) {
            eventCount += nonEmptyLineEnded ? 1 : 0;
            nonEmptyLineEnded = false;
        } else if (position == EventBoundary.Position.LINE_END) {
            nonEmptyLineEnded = true;
        }
    }

    /** Returns whether an event stream so far ends inside an event, so that it isn't complete. */
    boolean isInsideEvent() {
        return eventStream && events.isInsideEvent();
    }

    int tokens() {
        if (kind == PoolKind.SERVICE) {
            return 1;
        }
        return eventStream ? eventCount : (int) Math.max(1, bytes / BodyDigest.BYTES_PER_TOKEN);
    }
}
