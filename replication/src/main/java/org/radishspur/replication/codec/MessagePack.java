package org.radishspur.replication.codec;

import java.io.IOException;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Encodes and decodes records; components that a newer version added are skipped by an older one.
 */
public enum MessagePack {
    /** The only instance; its formats are safe for all threads. */
    INSTANCE;

    private final Format.Factory formats = new Format.Factory();

    /**
     * Encodes a record by its own class.
     *
     * @param value the record.
     * @return its bytes.
     */
    public byte[] encode(Object value) {
        return encode(value, value.getClass());
    }

    /**
     * Encodes a value as one of a type, which may be a sealed one.
     *
     * @param value the value.
     * @param type the type under which it is going to be decoded.
     * @return its bytes.
     */
    public byte[] encode(Object value, Class<?> type) {
        try (MessageBufferPacker packer = org.msgpack.core.MessagePack.newDefaultBufferPacker()) {
            formats.of(type).write(value, packer);
            return packer.toByteArray();
        } catch (IOException exception) {
            throw new RadishspurException(ErrorCode.FRAME_INVALID, "can't encode " + value.getClass(), exception);
        }
    }

    /**
     * Decodes a value.
     *
     * @param bytes the bytes of exactly one value.
     * @param type the type under which it was encoded.
     * @param <T> the type of the value.
     * @return the value.
     */
    public <T> T decode(byte[] bytes, Class<T> type) {
        try (MessageUnpacker unpacker = org.msgpack.core.MessagePack.newDefaultUnpacker(bytes)) {
            return type.cast(formats.of(type).read(unpacker));
        } catch (IOException | MessagePackException | IllegalArgumentException exception) {
            throw new RadishspurException(ErrorCode.FRAME_INVALID, "can't decode a " + type.getSimpleName(), exception);
        }
    }
}
