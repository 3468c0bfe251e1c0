package org.radishspur.node.group;

import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/**
 * Encodes the texts of answers. A large text, which is that of the catalogue, is encoded once for all calls that read it.
 */
final class AnswerEncoder {
    private static final int LARGE_CHARS = 64 << 10;

    private WeakReference<String> latestText = new WeakReference<>("");
    private ByteBuf latest = Unpooled.EMPTY_BUFFER;

    /** Returns the text in UTF-8, in a buffer that the caller must release. */
    ByteBuf encode(String text) {
        if (text.length() < LARGE_CHARS) {
            return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        }
        if (!latestText.refersTo(text)) {
            latest.release();
            latest = Unpooled.directBuffer(ByteBufUtil.utf8Bytes(text));
            ByteBufUtil.writeUtf8(latest, text);
            latestText = new WeakReference<>(text);
        }
        return latest.retainedDuplicate();
    }
}
