package org.radishspur.node.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

import io.netty.buffer.ByteBuf;
import org.radishspur.decision.permit.RequestSize;

/**
 * Digests the beginning of a request: as a whole, to recognise a retry, and block by block, to recognise a shared
 * prefix.
 */
public final class BodyDigest {
    /** The number of bytes that count as one token where token counts are estimated from sizes. */
    static final int BYTES_PER_TOKEN = 4;

    private static final int BLOCK_BYTES = RequestSize.BLOCK_TOKENS * BYTES_PER_TOKEN;
    private static final int FINGERPRINT_BYTES = 16;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;

    private BodyDigest() {}

    /**
     * Identifies a request by its content, so that a retry has the fingerprint of the first try.
     *
     * @param method the method.
     * @param uri the target of the request, with anything else that distinguishes requests.
     * @param contentLength the length of the whole body in bytes.
     * @param initialBody the beginning of the body.
     * @return the fingerprint, in hexadecimal digits.
     */
    public static String fingerprint(String method, String uri, long contentLength, ByteBuf initialBody) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((method + '\n' + uri + '\n' + contentLength + '\n').getBytes(StandardCharsets.UTF_8));
            digest.update(initialBody.nioBuffer());
            return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES);
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Digests each full block together with all blocks before it, so that equal digests mean equal prefixes. */
    static List<Long> prefixDigests(ByteBuf initialBody) {
        List<Long> blocks = new ArrayList<>();
        long chained = FNV_OFFSET_BASIS;
        int length = initialBody.readableBytes();
        for (int offset = 0; offset + BLOCK_BYTES <= length; offset += BLOCK_BYTES) {
            for (int index = offset; index < offset + BLOCK_BYTES; index++) {
                chained = (chained ^ initialBody.getByte(initialBody.readerIndex() + index)) * FNV_PRIME;
            }
            blocks.add(chained);
        }
        return blocks;
    }
}
