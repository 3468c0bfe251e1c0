package org.radishspur.node.fleet;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Holds a text in compressed form. Compression reduces a catalogue, which every process receives after each edit, to a
 * tenth.
 *
 * @param bytes the text in UTF-8, deflated.
 */
public record DeflatedText(byte[] bytes) {
    /**
     * Compresses a text.
     *
     * @param text the text.
     * @return the text in compressed form.
     */
    public static DeflatedText of(String text) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        Deflater fast = new Deflater(Deflater.BEST_SPEED);
        try (DeflaterOutputStream deflating = new DeflaterOutputStream(compressed, fast)) {
            deflating.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException exception) {
            throw new RadishspurException(ErrorCode.FRAME_INVALID, "can't compress the text", exception);
        } finally {
            fast.end();
        }
        return new DeflatedText(compressed.toByteArray());
    }

    /**
     * Decompresses the text.
     *
     * @return the text.
     * @throws RadishspurException if the bytes aren't a compressed text, with {@link ErrorCode#FRAME_INVALID}.
     */
    public String text() {
        try (InflaterInputStream inflating = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            return new String(inflating.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException exception) {
            throw new RadishspurException(ErrorCode.FRAME_INVALID, "can't decompress the text", exception);
        }
    }
}
