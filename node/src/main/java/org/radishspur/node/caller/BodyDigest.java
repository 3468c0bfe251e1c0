package org.radishspur.node.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

import io.netty.buffer.ByteBuf;
import org.radishspur.decision.permit.Work;

/**
 * Digests the beginning of a request: as a whole, to know it again, and block by block, to know a shared prefix.
 */
final class BodyDigest {
    /** The number of bytes that are taken for one token. */
    static final int BYTES_PER_TOKEN = 4;

    private static final int BLOCK_BYTES = Work.BLOCK_TOKENS * BYTES_PER_TOKEN;
    private static final int FINGERPRINT_BYTES = 16;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;

    private BodyDigest() {}

    static String fingerprint(String method, String uri, long contentLength, ByteBuf beginning) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((method + '\n' + uri + '\n' + contentLength + '\n').getBytes(StandardCharsets.UTF_8));
            digest.update(beginning.nioBuffer());
            return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES);
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Digests each whole block together with all before it, so that equal digests mean equal beginnings. */
    static List<Long> prefixDigests(ByteBuf beginning) {
        List<Long> blocks = new ArrayList<>();
        long chained = FNV_OFFSET_BASIS;
        int length = beginning.readableBytes();
        for (int offset = 0; offset + BLOCK_BYTES <= length; offset += BLOCK_BYTES) {
            for (int index = offset; index < offset + BLOCK_BYTES; index++) {
                chained = (chained ^ beginning.getByte(beginning.readerIndex() + index)) * FNV_PRIME;
            }
            blocks.add(chained);
        }
        return blocks;
    }
}
