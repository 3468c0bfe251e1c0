package org.radishspur.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * A connection whose other end takes as many bytes as a test allows; all of them at first.
 */
public final class PacedChannel extends EmbeddedChannel {
    private long allowed = Long.MAX_VALUE;

    /** Stops taking bytes. */
    public void stopTaking() {
        allowed = 0;
    }

    /**
     * Takes parts until they have a number of bytes.
     *
     * @param bytes the number of bytes.
     */
    public void take(long bytes) {
        allowed = bytes;
        flush();
        runPendingTasks();
    }

    /** {@inheritDoc} */
    @Override
    protected void doWrite(ChannelOutboundBuffer waiting) {
        for (Object part = waiting.current(); part != null && allowed > 0; part = waiting.current()) {
            allowed -= bytes(part);
            handleOutboundMessage(ReferenceCountUtil.retain(part));
            waiting.remove();
        }
    }

    private static int bytes(Object part) {
        if (part instanceof HttpContent content) {
            return content.content().readableBytes();
        }
        return part instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    }
}
